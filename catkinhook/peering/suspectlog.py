"""Bounded log of suspect events from all instances."""

from collections.abc import Iterable

from catkinhook.state.reports import Suspect

MAX_EVENTS = 512
MAX_FINGERPRINT = 128
MAX_ENDPOINT = 512
RETENTION = 900.0


class SuspectLog:
    """Newest suspect events by name; not thread-safe."""

    def __init__(self) -> None:
        self._by_event: dict[tuple[str, int], Suspect] = {}

    def add(self, events: Iterable[Suspect], now: float) -> list[Suspect]:
        """Add events and forget old ones.

        :returns: the events that were not known.
        """
        new = []
        for event in events:
            short = max(map(len, (event.fingerprint, event.model, event.origin))) <= MAX_FINGERPRINT
            short = short and max(len(event.endpoint), len(event.boot_id)) <= MAX_ENDPOINT
            fresh = now - event.seen_at < RETENTION
            if fresh and short and event.event_id not in self._by_event:
                self._by_event[event.event_id] = event
                new.append(event)
        old = [key for key, event in self._by_event.items() if now - event.seen_at >= RETENTION]
        for key in old:
            del self._by_event[key]
        surplus = len(self._by_event) - MAX_EVENTS
        if surplus > 0:
            for event in self.newest(len(self._by_event))[-surplus:]:
                del self._by_event[event.event_id]
        return new

    def newest(self, count: int) -> list[Suspect]:
        """Return events, newest first."""
        ordered = sorted(self._by_event.values(), key=lambda event: -event.seen_at)
        return ordered[:count]
