"""Injectable faults, which every emulator exposes at ``/faults``."""

import threading
from typing import Any

import attrs


@attrs.define(kw_only=True)
class Faults:
    """Injected faults of one emulator; a counter is decremented each time its fault occurs.

    :ivar down: an endpoint drops all connections, the platform answers 503.
    :ivar slow_ms: milliseconds added to each request.
    :ivar lose_answers: number of non-GET requests that take effect but get no response.
    :ivar lose_orders: number of order requests dropped before they take effect.
    :ivar delay_orders_ms: milliseconds before posted orders are processed.
    :ivar crash_on: substring of a request body that crashes the endpoint; empty for none.
    :ivar paused: request handling and generation are suspended.
    :ivar leaving: the endpoint reports that it is about to shut down.
    :ivar refuse: number of requests answered 503 with ``X-Not-Run``.
    :ivar break_streams: number of streams whose connection drops after the second event.
    :ivar cross_events: number of events sent with the id of another attempt.
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
        """Set the named switches and leave the others unchanged.

        :raises ValueError: if a switch is unknown or has a value of another type.
        """
        types = {field.name: field.type for field in _switch_fields()}
        for name, value in changes.items():
            if name not in types:
                raise ValueError(f"fault {name!r} does not exist, only {', '.join(types)}")
            if type(value) is not types[name]:
                raise ValueError(f"fault {name!r} takes a value of type {types[name].__name__}")
        for name, value in changes.items():
            setattr(self, name, value)

    def list_switches(self) -> dict[str, Any]:
        """Return the value of each switch by name."""
        return {field.name: getattr(self, field.name) for field in _switch_fields()}

    def consume(self, name: str) -> bool:
        """Decrement a counter; returns whether it was above zero."""
        with self._lock:
            remaining = getattr(self, name)
            if remaining > 0:
                setattr(self, name, remaining - 1)
            return remaining > 0


def _switch_fields() -> list[attrs.Attribute]:
    return [field for field in attrs.fields(Faults) if not field.name.startswith("_")]
