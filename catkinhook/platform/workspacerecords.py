"""Decoder of the workspaces in the platform's configuration.

Values that can't be used have a fallback, which ``WorkspaceDirectory.notes`` names without any key.
"""

import re
import reprlib
from typing import Any

import attrs

from catkinhook.platform.recordbounds import MAX_COUNT, MAX_NAME_CHARS, MAX_QUANTITY
from catkinhook.requests.workspaces import TokenLimit, Workspace, WorkspaceDirectory
from catkinhook.texts import is_encodable

# Tokens that a request counts for that states none, if its workspace sets no other number.
DEFAULT_PLAIN_TOKENS = 200
# Fallbacks of one version that are named one by one; the rest are counted.
MAX_NOTES = 20
TOKEN_UNIT = "tokens"

# Keys are sent in a header, after the scheme.
_KEY = re.compile(r"[!-~]+", re.ASCII)


class _Notes:
    """Notes on values that have a fallback."""

    def __init__(self) -> None:
        self._texts: list[str] = []
        self._omitted = 0

    def add(self, text: str) -> None:
        """Add a note, or count it if there are many."""
        if len(self._texts) < MAX_NOTES:
            self._texts.append(text)
        else:
            self._omitted += 1

    def texts(self) -> tuple[str, ...]:
        """Return all notes."""
        more = [f"{self._omitted} more values have a fallback"] if self._omitted else []
        return (*self._texts, *more)


def decode_workspaces(entries: list) -> WorkspaceDirectory:
    """Return the workspaces of a configuration.

    Entries without a valid name are ignored. An entry with the name of an earlier one only adds its
    keys to it.
    """
    notes = _Notes()
    workspace_by_name: dict[str, Workspace] = {}
    owner_by_key: dict[str, str] = {}
    for number, entry in enumerate(entries, 1):
        name = entry.get("name") if isinstance(entry, dict) else None
        if not _is_name(name):
            notes.add(f"entry {number} of tenants has no valid name; it and its keys are ignored")
            continue
        keys = _decode_keys(entry, name, owner_by_key, notes)
        known = workspace_by_name.get(name)
        if known is not None:
            notes.add(f"workspace {name!r} is listed again; only the keys of entry {number} count")
            workspace_by_name[name] = attrs.evolve(known, keys=known.keys + keys)
            continue
        workspace_by_name[name] = Workspace(
            name=name,
            keys=keys,
            priority=_decode_priority(entry, name, notes),
            limit=_decode_limit(entry, name, notes),
        )
    return WorkspaceDirectory(workspaces=tuple(workspace_by_name.values()), notes=notes.texts())


def _is_name(value: Any) -> bool:
    """Whether a name can be sent in a header and comes out of it unchanged."""
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_NAME_CHARS
        and value.isprintable()
        and value == value.strip()
        and is_encodable(value)
    )


def _decode_keys(
    entry: dict[str, Any], name: str, owner_by_key: dict[str, str], notes: _Notes
) -> tuple[str, ...]:
    """Return the keys that no earlier entry has, and record this workspace as their owner."""
    values = entry.get("api_keys")
    if values is None:
        return ()
    if not isinstance(values, list):
        notes.add(f"api_keys of workspace {name!r} is not a list; it has no key")
        return ()
    keys = []
    for number, key in enumerate(values, 1):
        if not isinstance(key, str) or not _KEY.fullmatch(key):
            notes.add(
                f"key {number} of workspace {name!r} can't be sent in a header; it is ignored"
            )
            continue
        owner = owner_by_key.setdefault(key, name)
        if owner != name:
            notes.add(f"key {number} of workspace {name!r} belongs to {owner!r}, which is first")
        elif key in keys:
            notes.add(f"key {number} of workspace {name!r} is listed twice")
        else:
            keys.append(key)
    return tuple(keys)


def _decode_priority(entry: dict[str, Any], name: str, notes: _Notes) -> int | None:
    value = entry.get("priority")
    if value is None:
        return None
    if not _is_quantity(value):
        notes.add(
            f"priority of workspace {name!r} is {reprlib.repr(value)}; that of the route counts"
        )
        return None
    return int(min(value, MAX_COUNT))


def _decode_limit(entry: dict[str, Any], name: str, notes: _Notes) -> TokenLimit | None:
    """Return the limit of a workspace, None if it has none or an invalid one."""
    rate, burst = entry.get("rate_per_s") or 0, entry.get("burst") or 0
    for field, value in (("rate_per_s", rate), ("burst", burst)):
        if not _is_quantity(value):
            notes.add(
                f"{field} of workspace {name!r} is {reprlib.repr(value)}; it has no limit at all"
            )
            return None
    if not rate:
        return None
    plain_tokens = entry.get("plain_tokens")
    if plain_tokens is not None and not _is_quantity(plain_tokens):
        notes.add(
            f"plain_tokens of workspace {name!r} is {reprlib.repr(plain_tokens)}; "
            f"{DEFAULT_PLAIN_TOKENS} is used"
        )
        plain_tokens = None
    return TokenLimit(
        rate=float(min(rate, MAX_QUANTITY)),
        burst=float(min(burst, MAX_QUANTITY)),
        counts_tokens=entry.get("unit") == TOKEN_UNIT,
        plain_tokens=int(
            DEFAULT_PLAIN_TOKENS if plain_tokens is None else min(plain_tokens, MAX_COUNT)
        ),
    )


def _is_quantity(value: Any) -> bool:
    """Whether a value is a number that is not negative; infinity is capped like large numbers."""
    return isinstance(value, (int, float)) and not isinstance(value, bool) and value >= 0
