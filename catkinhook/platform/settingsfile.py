"""Parser of the platform's settings file, which has lines of the form ``a.b=value``."""

import math
import os
from collections.abc import Callable
from pathlib import Path

import attrs
from result import Err, Ok, Result

from catkinhook.addresses import split_address
from catkinhook.hostsettings import Bounds, HostSettings
from catkinhook.platform.protocolnames import SETTINGS_VARIABLE
from catkinhook.requests.limitbound import choose_bound
from catkinhook.validationerrors import Fault

_MS = 0.001

# Field in the file, name of the setting, and factor that converts the unit.
_NUMBER_FIELDS: tuple[tuple[str, str, float], ...] = (
    ("heartbeat_ms", "heartbeat_s", _MS),
    ("limits.max_fds", "max_descriptors", 1),
    ("limits.cpu_share", "processor_share", 1),
    ("limits.cores", "core_speed", 1),
    ("limits.memory_mb", "memory_mb", 1),
    ("limits.link_mbps", "link_mbps", 1),
)
_BOUND_FIELDS: tuple[tuple[str, str, float], ...] = (
    ("bounds.drain_ms", "drain_s", _MS),
    ("bounds.grace_s", "grace_s", 1),
    ("bounds.config_apply_ms", "apply_s", _MS),
    ("bounds.contact_ms", "contact_s", _MS),
    ("bounds.retry_budget", "retry_share", 1),
    ("bounds.budget_window_s", "retry_window_s", 1),
    ("bounds.retry_slack", "retry_slack", 1),
    ("bounds.lease_ms", "lease_s", _MS),
    ("bounds.ceiling_window_s", "load_window_s", 1),
    ("bounds.ceiling_overage", "load_overage", 1),
)
_ADDRESS_FIELDS: tuple[tuple[str, str], ...] = (
    ("listen.front", "front_address"),
    ("listen.ready", "ready_address"),
    ("listen.control", "peer_address"),
    ("platform.address", "store_address"),
)


def find_settings_file() -> Path | None:
    """Return the path that the platform specifies, None if it specifies none."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    return Path(path) if path else None


def read_settings_file(path: Path) -> Result[HostSettings, list[Fault]]:
    """Read and validate a settings file; unknown fields are ignored.

    :returns: the settings, or all faults with their lines.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([Fault(str(path), 0, "", f"cannot read: {error}")])
    return parse_settings_text(text, str(path))


def parse_settings_text(text: str, file: str) -> Result[HostSettings, list[Fault]]:
    """Parse and validate the text of a settings file.

    :param file: file name for faults.
    """
    value_by_field: dict[str, str] = {}
    line_by_field: dict[str, int] = {}
    for number, line in enumerate(text.splitlines(), 1):
        field, separator, value = line.partition("=")
        if separator:
            value_by_field[field.strip()] = value.strip()
            line_by_field[field.strip()] = number
    faults: list[Fault] = []

    def read_field(field: str, convert: Callable[[str], object], default: object = None) -> object:
        if not value_by_field.get(field):
            if default is None:
                faults.append(Fault(file, 0, field, "is missing"))
            return default
        try:
            return convert(value_by_field[field])
        except ValueError as error:
            faults.append(Fault(file, line_by_field[field], field, str(error)))
            return default

    def read_numbers(
        table: tuple[tuple[str, str, float], ...], attrs_class: type
    ) -> dict[str, object]:
        defaults = {field.name: field.default for field in attrs.fields(attrs_class)}
        return {
            name: read_field(field, _number_converter(factor, type(defaults[name])), defaults[name])
            for field, name, factor in table
        }

    values: dict[str, object] = {
        name: read_field(field, _parse_address) for field, name in _ADDRESS_FIELDS
    }
    values |= {name: read_field(name, str) for name in ("node", "zone")}
    values["region"] = read_field("region", str, "default")
    values["seeds"] = read_field("seeds", _parse_addresses, ())
    values |= read_numbers(_NUMBER_FIELDS, HostSettings)
    bounds = read_numbers(_BOUND_FIELDS, Bounds)
    bounds["engines_check_fences"] = read_field("bounds.require_fence", _parse_flag, False)
    bounds |= _read_limit_bound(value_by_field)
    if faults:
        return Err(faults)
    return Ok(HostSettings(bounds=Bounds(**bounds), **values))


def _read_limit_bound(value_by_field: dict[str, str]) -> dict[str, object]:
    """Return the bound on the use of limits; a host starts with the default for invalid values."""

    def read(name: str) -> float | None:
        text = value_by_field.get(f"bounds.quota_{name}")
        try:
            return float(text) if text else None
        except ValueError:
            return math.nan

    bound, faults = choose_bound(read("window_s"), read("overage"), read("slack"))
    return {
        "limit_window_s": bound.window_s,
        "limit_overage": bound.overage,
        "limit_slack": bound.slack,
        "limit_faults": faults,
    }


def _number_converter(factor: float, number_type: type) -> Callable[[str], object]:
    def convert(text: str) -> object:
        number = float(text) * factor
        if not math.isfinite(number) or number < 0:
            raise ValueError(f"{text!r} is not a number from 0")
        return number_type(number)

    return convert


def _parse_flag(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError(f"{text!r} is neither true nor false")
    return text == "true"


def _parse_address(text: str) -> str:
    split_address(text)
    return text


def _parse_addresses(text: str) -> tuple[str, ...]:
    return tuple(_parse_address(part) for part in text.split(",") if part)
