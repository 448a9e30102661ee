"""Reader of a configuration file in the platform's JSON form, for its check by operators.

Hosts stop at the first invalid value; here, each entry is decoded by itself, so that all are found.
"""

import json
from collections.abc import Iterator
from typing import Any

from result import Err, Ok, Result

from catkinhook.jsontexts import decode_json
from catkinhook.operations.configurationcheck import Finding, Kind
from catkinhook.platform.records import decode_configuration
from catkinhook.platform.workspacerecords import TOKEN_UNIT
from catkinhook.requests.routetable import RouteTable

_ROUTE_KINDS = frozenset({"stream", "idempotent", "non_idempotent"})
_UNITS = frozenset({TOKEN_UNIT, "requests"})


def read_configuration(raw: bytes) -> tuple[RouteTable | None, list[Finding]]:
    """Return a configuration and what is wrong with its form.

    :returns: None for a configuration that hosts would not accept.
    """
    decoded = decode_configuration(raw)
    parsed = _parse(raw)
    if parsed.is_err():
        return None, [Finding(Kind.ERROR, "configuration", parsed.unwrap_err())]
    record = parsed.unwrap()
    findings = [*_find_repeated(record), *_find_unknown_words(record)]
    if decoded.is_ok():
        return decoded.unwrap(), findings
    invalid = list(_find_invalid(record))
    if not invalid:
        invalid = [Finding(Kind.ERROR, "configuration", decoded.unwrap_err())]
    return None, [*invalid, *findings]


def _parse(raw: bytes) -> Result[dict[str, Any], str]:
    try:
        record = decode_json(raw)
    except (ValueError, RecursionError) as error:
        return Err(f"is not JSON: {error}")
    return Ok(record) if isinstance(record, dict) else Err("is not an object")


def _list_entries(record: dict[str, Any], field: str) -> list:
    entries = record.get(field)
    return entries if isinstance(entries, list) else []


def _name_entry(field: str, number: int, entry: Any) -> str:
    name = entry.get("name") if isinstance(entry, dict) else None
    return f"{field} {number}" + (f" ({name!r})" if isinstance(name, str) else "")


def _find_invalid(record: dict[str, Any]) -> Iterator[Finding]:
    """Yield the entries and fields that can't be decoded."""
    sound = {"version": 1, "routes": [], "services": []}
    for field in ("routes", "services"):
        for number, entry in enumerate(_list_entries(record, field), 1):
            result = decode_configuration(json.dumps({**sound, field: [entry]}).encode())
            if result.is_err():
                subject = _name_entry(field, number, entry)
                yield Finding(Kind.ERROR, subject, result.unwrap_err())
    rest = {**record, "routes": [], "services": []}
    for field in ("routes", "services"):
        if not isinstance(record.get(field), list):
            yield Finding(Kind.ERROR, field, "is not a list")
    result = decode_configuration(json.dumps(rest).encode())
    if result.is_err():
        yield Finding(Kind.ERROR, "configuration", result.unwrap_err())


def _find_repeated(record: dict[str, Any]) -> Iterator[Finding]:
    """Yield services and models whose name is that of an earlier one, which they replace."""
    services = _list_entries(record, "services")
    yield from _find_repeated_names("service", services)
    for service in services:
        engine = service.get("engine") if isinstance(service, dict) else None
        if isinstance(engine, dict):
            kind = f"model of service {service.get('name')!r}"
            yield from _find_repeated_names(kind, _list_entries(engine, "models"))


def _find_repeated_names(kind: str, entries: list) -> Iterator[Finding]:
    names: set[str] = set()
    for entry in entries:
        name = entry.get("name") if isinstance(entry, dict) else None
        if isinstance(name, str):
            if name in names:
                yield Finding(Kind.ERROR, f"{kind} {name!r}", "it is listed twice; the last counts")
            names.add(name)


def _find_unknown_words(record: dict[str, Any]) -> Iterator[Finding]:
    """Yield words that hosts take for a default."""
    for number, entry in enumerate(_list_entries(record, "routes"), 1):
        kind = entry.get("kind") if isinstance(entry, dict) else None
        if isinstance(kind, str) and kind not in _ROUTE_KINDS:
            reason = f"the kind {kind!r} is unknown; its requests are not repeated"
            yield Finding(Kind.ERROR, _name_entry("routes", number, entry), reason)
    for number, entry in enumerate(_list_entries(record, "tenants"), 1):
        unit = entry.get("unit") if isinstance(entry, dict) else None
        if unit is not None and (not isinstance(unit, str) or unit not in _UNITS):
            reason = f"the unit {unit!r} is unknown; requests are counted"
            yield Finding(Kind.ERROR, _name_entry("tenants", number, entry), reason)
