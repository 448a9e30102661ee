"""JSON schema and reference tables of documents and settings, generated from their classes."""

import re
import types
import typing
from typing import Any

import attrs

from catkinhook.yamlfile import Bytes, Seconds

_QUANTITY_BY_TYPE = {
    Seconds: {"type": "string", "pattern": r"^[0-9.]+ *(us|ms|s|min|h|d)$"},
    Bytes: {"type": "string", "pattern": r"^[0-9.]+ *(B|[KMGT]i?B)$"},
}
_SCALAR_BY_TYPE = {str: "string", bool: "boolean", int: "integer", float: "number"}
_BYTES_PER_UNIT = (("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1))


def _read_descriptions(kind: type) -> dict[str, str]:
    text = re.sub(r"\s+", " ", kind.__doc__ or "")
    found = re.findall(r":ivar (\w+): (.*?)(?= :ivar |$)", text)
    return {name: description.strip() for name, description in found}


def _describe_type(hint: Any) -> dict[str, Any]:
    if hint in _QUANTITY_BY_TYPE:
        return dict(_QUANTITY_BY_TYPE[hint])
    if hint in _SCALAR_BY_TYPE:
        return {"type": _SCALAR_BY_TYPE[hint]}
    if attrs.has(hint):
        return make_schema(hint)
    origin, args = typing.get_origin(hint), typing.get_args(hint)
    if origin is list:
        return {"type": "array", "items": _describe_type(args[0])}
    if origin is dict:
        return {"type": "object", "additionalProperties": _describe_type(args[1])}
    if origin in (typing.Union, types.UnionType):
        return {"anyOf": [_describe_type(arg) for arg in args]}
    return {}


def make_schema(kind: type) -> dict[str, Any]:
    """Return the JSON schema (2020-12) of an attrs class as it is written in YAML."""
    hints = typing.get_type_hints(kind)
    descriptions = _read_descriptions(kind)
    properties = {}
    for field in attrs.fields(kind):
        properties[field.name] = _describe_type(hints[field.name])
        if field.name in descriptions:
            properties[field.name]["description"] = descriptions[field.name]
    required = [field.name for field in attrs.fields(kind) if field.default is attrs.NOTHING]
    return {
        "type": "object",
        "properties": properties,
        "required": required,
        "additionalProperties": False,
    }


def _format_seconds(value: float) -> str:
    return f"{value:g}s" if value >= 1 else f"{value * 1000:g}ms"


def _format_bytes(value: int) -> str:
    unit, factor = next(pair for pair in _BYTES_PER_UNIT if value % pair[1] == 0)
    return f"{value // factor}{unit}"


def _format_default(field: attrs.Attribute, hint: Any) -> str:
    if field.default is attrs.NOTHING:
        return "required"
    if isinstance(field.default, attrs.Factory):
        return "see below" if attrs.has(hint) else "empty"
    formats = {Seconds: _format_seconds, Bytes: _format_bytes, bool: lambda v: str(v).lower()}
    return f"`{formats.get(hint, str)(field.default)}`"


def _find_nested(hint: Any) -> list[type]:
    if attrs.has(hint):
        return [hint]
    return [inner for arg in typing.get_args(hint) for inner in _find_nested(arg)]


def render_reference(kind: type, path: str = "") -> str:
    """Return Markdown tables of all keys of a class with their defaults and descriptions."""
    hints = typing.get_type_hints(kind)
    descriptions = _read_descriptions(kind)
    title = f"## `{path}`" if path else "## Top level"
    summary = (kind.__doc__ or "").strip().splitlines()[0]
    lines = [title, "", summary, "", "| key | default | meaning |", "| --- | --- | --- |"]
    nested = []
    for field in attrs.fields(kind):
        default = _format_default(field, hints[field.name])
        lines.append(f"| `{field.name}` | {default} | {descriptions.get(field.name, '')} |")
        prefix = f"{path}.{field.name}" if path else field.name
        nested += [(inner, prefix) for inner in _find_nested(hints[field.name])]
    text = "\n".join(lines) + "\n"
    return "\n".join([text, *(render_reference(inner, prefix) for inner, prefix in nested)])
