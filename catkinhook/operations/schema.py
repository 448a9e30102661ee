"""JSON schema and reference pages of documents and settings, generated from attrs classes."""

import re
import types
import typing
from typing import Any

import attrs

from catkinhook.yamlfile import Bytes, Seconds

_QUANTITY_SCHEMA_BY_TYPE = {
    Seconds: {"type": "string", "pattern": r"^[0-9.]+ *(us|ms|s|min|h|d)$"},
    Bytes: {"type": "string", "pattern": r"^[0-9.]+ *(B|[KMGT]i?B)$"},
}
_JSON_TYPE_BY_SCALAR = {str: "string", bool: "boolean", int: "integer", float: "number"}
_BYTES_PER_UNIT = (("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1))


def _parse_descriptions(attrs_class: type) -> dict[str, str]:
    """Return the descriptions in ``:ivar`` fields of a docstring by attribute name."""
    text = re.sub(r"\s+", " ", attrs_class.__doc__ or "")
    found = re.findall(r":ivar (\w+): (.*?)(?= :ivar |$)", text)
    return {name: description.strip() for name, description in found}


def _make_type_schema(hint: Any) -> dict[str, Any]:
    if hint in _QUANTITY_SCHEMA_BY_TYPE:
        return dict(_QUANTITY_SCHEMA_BY_TYPE[hint])
    if hint in _JSON_TYPE_BY_SCALAR:
        return {"type": _JSON_TYPE_BY_SCALAR[hint]}
    if attrs.has(hint):
        return make_schema(hint)
    origin, args = typing.get_origin(hint), typing.get_args(hint)
    if origin is list:
        return {"type": "array", "items": _make_type_schema(args[0])}
    if origin is dict:
        return {"type": "object", "additionalProperties": _make_type_schema(args[1])}
    if origin in (typing.Union, types.UnionType):
        return {"anyOf": [_make_type_schema(arg) for arg in args]}
    return {}


def make_schema(attrs_class: type) -> dict[str, Any]:
    """Return the JSON schema (2020-12) for the YAML form of an attrs class."""
    hints = typing.get_type_hints(attrs_class)
    descriptions = _parse_descriptions(attrs_class)
    properties = {}
    for field in attrs.fields(attrs_class):
        properties[field.name] = _make_type_schema(hints[field.name])
        if field.name in descriptions:
            properties[field.name]["description"] = descriptions[field.name]
    required = [field.name for field in attrs.fields(attrs_class) if field.default is attrs.NOTHING]
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
    format_by_type = {
        Seconds: _format_seconds,
        Bytes: _format_bytes,
        bool: lambda v: str(v).lower(),
    }
    return f"`{format_by_type.get(hint, str)(field.default)}`"


def _find_nested_classes(hint: Any) -> list[type]:
    if attrs.has(hint):
        return [hint]
    return [inner for arg in typing.get_args(hint) for inner in _find_nested_classes(arg)]


def render_reference(attrs_class: type, path: str = "") -> str:
    """Render Markdown tables of the keys of an attrs class, with defaults and descriptions.

    :param path: key path of the class, empty for the top level.
    """
    hints = typing.get_type_hints(attrs_class)
    descriptions = _parse_descriptions(attrs_class)
    heading = f"## `{path}`" if path else "## Top level"
    summary = (attrs_class.__doc__ or "").strip().splitlines()[0]
    lines = [heading, "", summary, "", "| key | default | meaning |", "| --- | --- | --- |"]
    nested = []
    for field in attrs.fields(attrs_class):
        default = _format_default(field, hints[field.name])
        lines.append(f"| `{field.name}` | {default} | {descriptions.get(field.name, '')} |")
        key_path = f"{path}.{field.name}" if path else field.name
        nested += [(inner, key_path) for inner in _find_nested_classes(hints[field.name])]
    text = "\n".join(lines) + "\n"
    return "\n".join([text, *(render_reference(inner, key_path) for inner, key_path in nested)])
