"""Detection and quarantine of requests that crash endpoints.

A request whose endpoint crashed becomes a suspect and is retried only on an endpoint that runs no
other suspect. A second crash quarantines it. All gateways and hosts exchange the events from which
each derives the status of a request.
"""

import enum
from collections.abc import Iterable

import attrs

CRASHES_TO_QUARANTINE = 2
EVENT_TTL_S = 3600.0
# A probe that ended without a result, for example because its caller disconnected, blocks further
# probes of the fingerprint for at most this long.
PROBE_TTL_S = 120.0
MAX_EVENTS = 4096


class EventKind(enum.StrEnum):
    """Kind of a suspect event."""

    CRASH = "crash"
    PROBE = "probe"  # a retry of the suspect started
    CLEAR = "clear"  # the request completed
    END = "end"  # the retry ended without showing whether the request is harmless


class SuspectStatus(enum.StrEnum):
    """Status of a fingerprint."""

    HARMLESS = "harmless"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@attrs.frozen(kw_only=True)
class SuspectEvent:
    """One event, identified by origin and sequence number.

    :ivar age: age in seconds when the event was sent.
    :ivar endpoint: endpoint that crashed or runs the retry.
    :ivar boot_id: boot id of the endpoint. A crash counts once per boot, even if several instances
        detect it or several copies of a request ran there.
    """

    fingerprint: str
    model: str
    kind: EventKind
    origin: str
    sequence: int
    age: float = 0.0
    endpoint: str = ""
    boot_id: str = ""


class Suspects:
    """Mergeable set of suspect events that determines the status of each fingerprint.

    The result of merging is independent of the order of events.

    :param origin: unique name of this instance and its incarnation.
    """

    def __init__(self, origin: str) -> None:
        self._origin = origin
        self._sequence = 0
        self._event_by_key: dict[tuple[str, int], tuple[SuspectEvent, float]] = {}
        self._keys_by_fingerprint: dict[str, set[tuple[str, int]]] = {}
        self._quarantined: frozenset[str] = frozenset()
        self._suspected: frozenset[str] = frozenset()

    def set_confirmed(self, quarantined: frozenset[str], suspected: frozenset[str]) -> None:
        """Set the fingerprints that the latest snapshot lists."""
        self._quarantined, self._suspected = quarantined, suspected

    def record(
        self,
        kind: EventKind,
        fingerprint: str,
        model: str,
        now: float,
        endpoint: str = "",
        boot_id: str = "",
    ) -> SuspectEvent:
        """Add an event of this instance and return it for the other instances."""
        self._sequence += 1
        event = SuspectEvent(
            fingerprint=fingerprint,
            model=model,
            kind=kind,
            origin=self._origin,
            sequence=self._sequence,
            endpoint=endpoint,
            boot_id=boot_id,
        )
        self._add(event, now)
        return event

    def merge(self, events: Iterable[SuspectEvent], now: float) -> int:
        """Add events of other instances; return how many were new."""
        new = [e for e in events if (e.origin, e.sequence) not in self._event_by_key]
        for event in new:
            if event.age < EVENT_TTL_S:
                self._add(event, now - event.age)
        return len(new)

    def events(
        self, now: float, limit: int = 256, max_age: float = EVENT_TTL_S
    ) -> list[SuspectEvent]:
        """Return events with their present age, for another instance.

        Those of quarantined requests go first, as an ordinary crash cuts many other requests, and
        then the newest.

        :param max_age: seconds after which events are omitted.
        """
        self._expire(now)
        recent = [item for item in self._event_by_key.values() if now - item[1] <= max_age]
        fingerprints = {event.fingerprint for event, _ in recent}
        quarantined = {
            name for name in fingerprints if self._crashes(name, now) >= CRASHES_TO_QUARANTINE
        }
        chosen = sorted(recent, key=lambda item: (item[0].fingerprint not in quarantined, -item[1]))
        return [attrs.evolve(event, age=max(0.0, now - at)) for event, at in chosen[:limit]]

    def quarantined_events(self, now: float) -> list[SuspectEvent]:
        """Return all events of the requests that are quarantined, with their present age."""
        return [
            attrs.evolve(event, age=max(0.0, now - at))
            for fingerprint in sorted(self.quarantined(now))
            for event, at in self._timed_events(fingerprint)
        ]

    def status(self, fingerprint: str, now: float) -> SuspectStatus:
        """Return the status of a fingerprint."""
        if fingerprint in self._quarantined:
            return SuspectStatus.QUARANTINED
        crashes = self._crashes(fingerprint, now)
        if crashes >= CRASHES_TO_QUARANTINE:
            return SuspectStatus.QUARANTINED
        is_suspect = crashes > 0 or (
            fingerprint in self._suspected and fingerprint not in self._keys_by_fingerprint
        )
        return SuspectStatus.SUSPECT if is_suspect else SuspectStatus.HARMLESS

    def crash_times(self, fingerprint: str, now: float) -> list[float]:
        """Return the times of the crashes since the request last completed, the first one first."""
        return sorted(self._crash_times_by_id(fingerprint, now).values())

    def has_running_probe(self, fingerprint: str, now: float) -> bool:
        """Return whether a retry of a suspect has started and not ended."""
        timed_events = self._timed_events(fingerprint)
        ended_at = max(
            (at for e, at in timed_events if e.kind != EventKind.PROBE), default=float("-inf")
        )
        return any(
            event.kind == EventKind.PROBE and at > ended_at and now - at < PROBE_TTL_S
            for event, at in timed_events
        )

    def probing_endpoints(self, now: float) -> set[str]:
        """Return the endpoints on which a suspect is being retried."""
        return {
            event.endpoint
            for event, _ in self._event_by_key.values()
            if event.kind == EventKind.PROBE and self.has_running_probe(event.fingerprint, now)
        }

    def quarantined(self, now: float) -> set[str]:
        """Return the fingerprints that are quarantined according to these events."""
        return {
            fingerprint
            for fingerprint, keys in self._keys_by_fingerprint.items()
            if len(keys) >= CRASHES_TO_QUARANTINE
            and self._crashes(fingerprint, now) >= CRASHES_TO_QUARANTINE
        }

    def suspected(self, now: float) -> dict[str, str]:
        """Return the model by suspected fingerprint, without quarantined ones."""
        return {
            fingerprint: self._timed_events(fingerprint)[0][0].model
            for fingerprint in self._keys_by_fingerprint
            if self.status(fingerprint, now) is SuspectStatus.SUSPECT
        }

    def _crashes(self, fingerprint: str, now: float) -> int:
        return len(self._crash_times_by_id(fingerprint, now))

    def _crash_times_by_id(
        self, fingerprint: str, now: float
    ) -> dict[tuple[str, str | int], float]:
        """Return the time of each crash by endpoint and boot id, as its first observer saw it."""
        timed_events = self._timed_events(fingerprint)
        cleared_at = max(
            (at for e, at in timed_events if e.kind == EventKind.CLEAR), default=float("-inf")
        )
        crashed_at_by_id: dict[tuple[str, str | int], float] = {}
        for event, at in timed_events:
            if event.kind == EventKind.CRASH and at > cleared_at and now - at < EVENT_TTL_S:
                is_named = bool(event.boot_id)
                endpoint = (event.endpoint, event.boot_id)
                crash_id = endpoint if is_named else (event.origin, event.sequence)
                crashed_at_by_id[crash_id] = min(at, crashed_at_by_id.get(crash_id, at))
        return crashed_at_by_id

    def _timed_events(self, fingerprint: str) -> list[tuple[SuspectEvent, float]]:
        keys = self._keys_by_fingerprint.get(fingerprint, ())
        return [self._event_by_key[key] for key in keys]

    def _add(self, event: SuspectEvent, at: float) -> None:
        key = (event.origin, event.sequence)
        self._event_by_key[key] = (event, at)
        self._keys_by_fingerprint.setdefault(event.fingerprint, set()).add(key)
        if len(self._event_by_key) > MAX_EVENTS:
            self._remove(min(self._event_by_key, key=lambda k: self._event_by_key[k][1]))

    def _expire(self, now: float) -> None:
        for key in [k for k, (_, at) in self._event_by_key.items() if now - at >= EVENT_TTL_S]:
            self._remove(key)

    def _remove(self, key: tuple[str, int]) -> None:
        event, _ = self._event_by_key.pop(key)
        keys = self._keys_by_fingerprint[event.fingerprint]
        keys.discard(key)
        if not keys:
            del self._keys_by_fingerprint[event.fingerprint]


def may_host_suspect(
    models: frozenset[str], copies_by_model: dict[str, int], hosts_suspect: bool
) -> bool:
    """Return whether an endpoint may run a suspect.

    :param models: models resident on the endpoint; each must have another copy if it crashes.
    :param copies_by_model: reachable copies, including those on this endpoint.
    :param hosts_suspect: whether another suspect runs there.
    """
    return not hosts_suspect and all(copies_by_model.get(model, 0) > 1 for model in models)
