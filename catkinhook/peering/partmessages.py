"""Conversion of events about prompt parts to and from thrift structs.

They share the struct and the list of the suspect events of whole requests. Receivers leave out the
kinds that they don't know.
"""

from collections.abc import Iterable

from catkinhook.peering.thriftfields import decode_age, encode_age, encode_count
from catkinhook.requests.partquarantine import PartEvent, PartEventKind
from catkinhook.thrift_gen import ttypes

# Maximum number of events about prompt parts in one message.
MAX_PART_EVENTS = 64
MAX_UNITS_LENGTH = 4096
MAX_ENDPOINT_LENGTH = 512

_KINDS = frozenset(kind.value for kind in PartEventKind)


def encode_part_events(events: Iterable[PartEvent], now: float) -> list[ttypes.Suspect]:
    """Return the structs of events."""
    return [
        ttypes.Suspect(
            fingerprint=event.units,
            model="",
            kind=event.kind.value,
            endpoint=event.endpoint,
            boot_id=event.boot_id,
            age_ms=encode_age(now - event.age, now),
            origin="",
            sequence=encode_count(event.strikes),
        )
        for event in events
    ]


def decode_part_events(structs: Iterable[ttypes.Suspect], now: float) -> tuple[PartEvent, ...]:
    """Return the events of structs, except for other kinds and names that are too long."""
    return tuple(
        PartEvent(
            kind=PartEventKind(struct.kind),
            units=struct.fingerprint,
            age=now - decode_age(struct.age_ms, now),
            endpoint=struct.endpoint,
            boot_id=struct.boot_id,
            strikes=max(0, struct.sequence),
        )
        for struct in structs
        if struct.kind in _KINDS and _is_within_limits(struct)
    )


def _is_within_limits(struct: ttypes.Suspect) -> bool:
    return (
        0 < len(struct.fingerprint) <= MAX_UNITS_LENGTH
        and max(len(struct.endpoint), len(struct.boot_id)) <= MAX_ENDPOINT_LENGTH
    )
