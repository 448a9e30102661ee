"""Conversion of YAML to validated attrs objects, or to a list of faults with line numbers."""

import math
import re
from typing import Any, NewType, TypeVar

import attrs
import cattrs
from result import Err, Ok, Result
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedBase
from ruamel.yaml.error import MarkedYAMLError

from catkinhook.validationerrors import Fault

Seconds = NewType("Seconds", float)
Bytes = NewType("Bytes", int)

# Limit on the number of nodes after alias expansion, because aliases can expand a small text into a
# large tree.
MAX_NODES = 200_000
# Limit on the nesting depth, to which the scanner's time for each token of a flow collection is
# proportional.
MAX_DEPTH = 64

_SECONDS_BY_UNIT = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0, "d": 86400.0}
_BYTES_BY_UNIT = {
    "B": 1,
    "KiB": 1 << 10,
    "MiB": 1 << 20,
    "GiB": 1 << 30,
    "TiB": 1 << 40,
    "KB": 10**3,
    "MB": 10**6,
    "GB": 10**9,
    "TB": 10**12,
}
_QUANTITY_PATTERN = re.compile(r"^\s*([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]+)\s*$")

T = TypeVar("T")


@attrs.frozen
class Parsed:
    """Validated object with its YAML source.

    :ivar value: the attrs object.
    :ivar tree: YAML tree from which the object was converted, for line numbers in faults.
    :ivar file: file name in faults.
    """

    value: Any
    tree: Any
    file: str

    def make_fault(self, path: tuple[str | int, ...], reason: str) -> Fault:
        """Create a fault for the value at a path of keys and list indexes."""
        return Fault(self.file, find_line(self.tree, path), format_path(path), reason)


def _parse_quantity(value: Any, factor_by_unit: dict[str, float], example: str) -> float:
    match = _QUANTITY_PATTERN.match(value) if isinstance(value, str) else None
    if match is None or match.group(2) not in factor_by_unit:
        units = ", ".join(factor_by_unit)
        raise ValueError(f"{value!r} is not a quantity with a unit ({units}), such as {example}")
    number = float(match.group(1)) * factor_by_unit[match.group(2)]
    if not math.isfinite(number):
        raise ValueError("the quantity is too large")
    return number


def parse_seconds(value: Any) -> Seconds:
    """Convert a duration such as ``310ms`` to seconds.

    :raises ValueError: if it is not a number with a known unit, or is too large.
    """
    return Seconds(_parse_quantity(value, _SECONDS_BY_UNIT, "310ms"))


def parse_bytes(value: Any) -> Bytes:
    """Convert a size such as ``14GiB`` to bytes.

    :raises ValueError: if it is not a number with a known unit, or is too large.
    """
    return Bytes(round(_parse_quantity(value, _BYTES_BY_UNIT, "14GiB")))


def _make_strict_hook(scalar: type, description: str):
    """Return a structure hook that rejects values of other types, which cattrs would convert."""

    def structure(value: Any, _type: Any) -> Any:
        allowed = (int, float) if scalar is float else scalar
        if isinstance(value, bool) and scalar is not bool or not isinstance(value, allowed):
            raise ValueError(f"{value!r} is not {description}")
        if scalar is float and not math.isfinite(value):
            raise ValueError(f"{value!r} is not a finite number")
        return scalar(value)

    return structure


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _make_strict_hook(str, "a text"))
    converter.register_structure_hook(bool, _make_strict_hook(bool, "true or false"))
    converter.register_structure_hook(int, _make_strict_hook(int, "a whole number"))
    converter.register_structure_hook(float, _make_strict_hook(float, "a number"))
    converter.register_structure_hook(Seconds, lambda value, _: parse_seconds(value))
    converter.register_structure_hook(Bytes, lambda value, _: parse_bytes(value))
    return converter


_CONVERTER = _make_converter()


def _parse_path(text: str) -> tuple[str | int, ...]:
    """Parse a path from a cattrs message, such as ``.models[0].memory``."""
    parts: list[str | int] = []
    for name, index, key in re.findall(r"\.(\w+)|\[(\d+)\]|\['([^']*)'\]", text):
        parts.append(int(index) if index else name or key)
    return tuple(parts)


def format_path(path: tuple[str | int, ...]) -> str:
    """Format a path of keys and list indexes, such as ``models[0].memory``."""
    text = "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in path)
    return text.lstrip(".")


def find_line(tree: Any, path: tuple[str | int, ...]) -> int:
    """Return the 1-based line of the deepest part of a path that exists in the tree."""
    line = 1
    for part in path:
        if not isinstance(tree, CommentedBase):
            break
        try:
            line = (tree.lc.item(part) if isinstance(part, int) else tree.lc.key(part))[0] + 1
            tree = tree[part]
        except (KeyError, IndexError, TypeError, AttributeError):
            break
    return line


def _count_nodes(tree: Any, limit: int) -> int:
    """Return the number of nodes with aliases expanded, or a number above the limit."""
    count, pending = 0, [tree]
    while pending and count <= limit:
        node = pending.pop()
        count += 1
        children = list(node.values()) if isinstance(node, dict) else node
        if isinstance(children, list):
            # Returns early, because a list that contains itself would be appended again for each
            # counted node.
            if count + len(pending) + len(children) > limit:
                return limit + 1
            pending.extend(children)
    return count


def _to_plain_types(node: Any) -> Any:
    """Convert a tree to dicts and lists; line numbers are looked up in the original tree."""
    if isinstance(node, dict):
        return {key: _to_plain_types(value) for key, value in node.items()}
    if isinstance(node, list):
        return [_to_plain_types(value) for value in node]
    return node


def _collect_faults(error: Exception, tree: Any, file: str) -> list[Fault]:
    faults = []
    for message in cattrs.transform_error(error, format_exception=_format_error):
        reason, _, location = message.rpartition(" @ $")
        extra = re.match(r"extra fields found \((.*)\)", reason)
        for key in [part.strip() for part in extra.group(1).split(",")] if extra else [None]:
            path = _parse_path(location) + ((key,) if key else ())
            text = f"unknown key {key!r}" if key else reason
            faults.append(Fault(file, find_line(tree, path), format_path(path), text))
    return faults


def _format_error(error: BaseException, type_: type | None) -> str:
    if isinstance(error, KeyError):
        return f"required key {error.args[0]!r} is missing"
    if isinstance(error, cattrs.errors.ForbiddenExtraKeysError):
        return f"extra fields found ({', '.join(sorted(map(str, error.extra_fields)))})"
    if isinstance(error, (ValueError, TypeError)) and str(error):
        return str(error)
    return f"value does not have the form of {getattr(type_, '__name__', type_)}"


def parse_yaml(text: str, attrs_class: type[T], file: str) -> Result[Parsed, list[Fault]]:
    """Parse a YAML text into an attrs object; unknown keys are faults.

    :param text: a single YAML 1.2 document.
    :param attrs_class: class of the top-level mapping.
    :param file: file name in faults.
    :returns: the parsed object, or all faults.
    """
    try:
        yaml = YAML(typ="rt")
        yaml.max_depth = MAX_DEPTH
        tree = yaml.load(text)
    except MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        return Err([Fault(file, line, "", error.problem or "is not valid YAML")])
    except Exception as error:  # noqa: BLE001 - ruamel.yaml also raises built-in exceptions
        return Err([Fault(file, 0, "", f"is not valid YAML: {error}")])
    if not isinstance(tree, dict):
        return Err([Fault(file, 1, "", "top level must be a mapping of keys to values")])
    if _count_nodes(tree, MAX_NODES) > MAX_NODES:
        return Err([Fault(file, 1, "", f"has more than {MAX_NODES} values with aliases expanded")])
    try:
        return Ok(Parsed(_CONVERTER.structure(_to_plain_types(tree), attrs_class), tree, file))
    except RecursionError:
        return Err([Fault(file, 1, "", "is nested too deeply or refers to itself")])
    except Exception as error:  # noqa: BLE001 - cattrs wraps any exception of a hook
        return Err(_collect_faults(error, tree, file))
