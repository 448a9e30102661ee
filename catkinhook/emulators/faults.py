"""Fault switches that every emulator takes at ``/faults``."""

import threading
from typing import Any

import attrs


@attrs.define(kw_only=True)
class Faults:
    """Switches of one emulator; counts fall by one with each use.

    :ivar down: an endpoint drops all connections, the platform answers 503.
    :ivar slow_ms: milliseconds added to each request.
    :ivar lose_answers: changing requests whose answer is lost after the effect.
    :ivar lose_orders: posts of orders that are lost before the effect.
    :ivar delay_orders_ms: milliseconds until posted orders arrive.
    :ivar crash_on: text in a body that crashes the endpoint; empty for none.
    :ivar paused: requests and work stand still.
    :ivar leaving: the endpoint reports that it is about to stop.
    :ivar refuse: requests answered 503 with ``X-Not-Run``.
    :ivar break_streams: streams whose connection drops after their second event.
    :ivar cross_events: events sent under the id of another attempt.
    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    lose_orders: int = 0
    delay_orders_ms: int = 0
    crash_on: str = ""
    paused: bool = False
    leaving: bool = False
    refuse: int = 0
    break_streams: int = 0
    cross_events: int = 0
    _lock: threading.Lock = attrs.field(factory=threading.Lock, repr=False, eq=False)

    def set_switches(self, changes: dict[str, Any]) -> None:
        """Set the named switches and leave the others.

        :raises ValueError: if a switch is unknown or has a value of another type.
        """
        types = {field.name: field.type for field in _public_fields()}
        for name, value in changes.items():
            if name not in types:
                raise ValueError(f"fault {name!r} does not exist, only {', '.join(types)}")
            if type(value) is not types[name]:
                raise ValueError(f"fault {name!r} takes a value of type {types[name].__name__}")
        for name, value in changes.items():
            setattr(self, name, value)

    def list_switches(self) -> dict[str, Any]:
        """Return the value of each switch by name."""
        return {field.name: getattr(self, field.name) for field in _public_fields()}

    def consume(self, name: str) -> bool:
        """Use up one of a count; true when there was one."""
        with self._lock:
            left = getattr(self, name)
            if left > 0:
                setattr(self, name, left - 1)
            return left > 0


def _public_fields() -> list[attrs.Attribute]:
    return [field for field in attrs.fields(Faults) if not field.name.startswith("_")]
