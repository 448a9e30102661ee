"""Bounded log of the suspect events of all instances."""

from collections.abc import Iterable

from catkinhook.state.gatewayreports import Suspect

MAX_EVENTS = 512
# Maximum lengths: of fingerprint, model and origin, and of endpoint and boot id.
MAX_NAME_LENGTH = 128
MAX_ENDPOINT_LENGTH = 512
RETENTION_S = 900.0


class SuspectLog:
    """Latest suspect events by origin and sequence number; not thread-safe."""

    def __init__(self) -> None:
        self._event_by_key: dict[tuple[str, int], Suspect] = {}

    def add(self, events: Iterable[Suspect], now: float) -> list[Suspect]:
        """Add events and remove expired ones.

        :returns: the events that were not in the log yet.
        """
        new = []
        for event in events:
            names = (event.fingerprint, event.model, event.origin)
            is_within_limits = (
                max(map(len, names)) <= MAX_NAME_LENGTH
                and max(len(event.endpoint), len(event.boot_id)) <= MAX_ENDPOINT_LENGTH
            )
            is_recent = now - event.seen_at < RETENTION_S
            if is_recent and is_within_limits and event.event_id not in self._event_by_key:
                self._event_by_key[event.event_id] = event
                new.append(event)
        expired = [
            key for key, event in self._event_by_key.items() if now - event.seen_at >= RETENTION_S
        ]
        for key in expired:
            del self._event_by_key[key]
        excess = len(self._event_by_key) - MAX_EVENTS
        if excess > 0:
            for event in self.newest(len(self._event_by_key))[-excess:]:
                del self._event_by_key[event.event_id]
        return new

    def newest(self, count: int) -> list[Suspect]:
        """Return up to ``count`` events, newest first."""
        ordered = sorted(self._event_by_key.values(), key=lambda event: -event.seen_at)
        return ordered[:count]
