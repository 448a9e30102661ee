"""Shared helpers for fields of thrift structs: required fields, ages and suspect events.

They are separate from ``controllermessages`` so that a host, which converts few structs, doesn't
import the modules for documents and membership.
"""

from collections.abc import Collection, Iterable
from typing import Any

from catkinhook.errors import StepError
from catkinhook.requests.suspects import EventKind
from catkinhook.state.gatewayreports import Suspect
from catkinhook.thrift_gen import ttypes

MS_PER_S = 1000

_EVENT_KINDS = frozenset(kind.value for kind in EventKind)
_MAX_I32 = 2**31 - 1


def require_fields(
    struct: Any,
    peer: str,
    optional: Collection[str] = (),
    nested_optional: Collection[str] = (),
) -> None:
    """Check that a struct from a peer has all of its fields, nested ones included.

    :param optional: fields that older versions of the sender leave out.
    :param nested_optional: fields of nested structs that a sender may leave out.
    :raises StepError: if a field is absent, which thrift decodes as None.
    """
    for field in struct.thrift_spec:
        if field is None:
            continue
        value = getattr(struct, field[2])
        if value is None and field[2] in optional:
            continue
        if value is None:
            reason = f"field {field[2]!r} of {type(struct).__name__} is absent"
            raise StepError("wire", peer, reason)
        nested = value if isinstance(value, list) else [value]
        for item in nested:
            if hasattr(item, "thrift_spec"):
                require_fields(item, peer, nested_optional, nested_optional)


def make_refused(error: StepError) -> ttypes.Refused:
    """Return the thrift exception for an error."""
    return ttypes.Refused(error.step, error.peer, error.reason)


def encode_count(value: float) -> int:
    """Return a number as an i32 field, capped; one field out of range fails the whole message."""
    return round(min(_MAX_I32, max(0, value)))


def encode_age(at: float, now: float) -> int:
    """Convert a time on the local clock to an age in milliseconds for the wire."""
    return encode_count((now - at) * MS_PER_S)


def decode_age(age: int, now: float) -> float:
    """Convert an age in milliseconds from the wire to a time on the local clock."""
    # Negative ages are clamped to 0, as an i32 one could keep an event recent for up to 24 days.
    return now - max(0, age) / MS_PER_S


def encode_suspects(events: Iterable[Suspect], now: float) -> list[ttypes.Suspect]:
    """Return the structs of suspect events."""
    return [
        ttypes.Suspect(
            fingerprint=event.fingerprint,
            model=event.model,
            kind=event.kind.value,
            endpoint=event.endpoint,
            boot_id=event.boot_id,
            age_ms=encode_age(event.seen_at, now),
            origin=event.origin,
            sequence=event.sequence,
        )
        for event in events
    ]


def decode_suspects(structs: Iterable[ttypes.Suspect], now: float) -> list[Suspect]:
    """Return the suspect events of structs, except for unknown kinds sent by newer versions."""
    return [
        Suspect(
            fingerprint=struct.fingerprint,
            model=struct.model,
            kind=EventKind(struct.kind),
            endpoint=struct.endpoint,
            boot_id=struct.boot_id,
            origin=struct.origin,
            sequence=struct.sequence,
            seen_at=decode_age(struct.age_ms, now),
        )
        for struct in structs
        if struct.kind in _EVENT_KINDS
    ]
