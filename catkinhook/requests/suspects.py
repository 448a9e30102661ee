"""Requests that may crash endpoints: suspicion, one retry alone, quarantine, exchange of events."""

import enum
from collections.abc import Iterable

import attrs

CRASHES_TO_QUARANTINE = 2
EVENT_TTL_S = 3600.0
# A retry that ended without a verdict, such as a caller that left, frees the fingerprint by then.
PROBE_TTL_S = 120.0
MAX_EVENTS = 4096


class EventKind(enum.StrEnum):
    """What happened to a fingerprint."""

    CRASH = "crash"
    PROBE = "probe"  # a retry alone on its endpoint started
    CLEAR = "clear"  # the request completed
    END = "end"  # a retry alone ended without telling whether the request is harmless


class SuspectStatus(enum.StrEnum):
    """How requests with a fingerprint are treated."""

    HARMLESS = "harmless"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@attrs.frozen(kw_only=True)
class SuspectEvent:
    """One event, identified by origin and sequence.

    :ivar age: seconds since the event, as of the moment at which it was sent.
    :ivar endpoint: endpoint that crashed or runs the retry.
    :ivar boot_id: its boot id. One crash seen by several instances, or under several copies of a
        request, counts once.
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
    """Mergeable set of events; the status of a fingerprint is a function of the set.

    :param origin: unique name of this instance and its incarnation.
    """

    def __init__(self, origin: str) -> None:
        self._origin = origin
        self._sequence = 0
        self._at_by_event: dict[tuple[str, int], tuple[SuspectEvent, float]] = {}
        self._keys_by_fingerprint: dict[str, set[tuple[str, int]]] = {}
        self._quarantined: frozenset[str] = frozenset()
        self._suspected: frozenset[str] = frozenset()

    def set_confirmed(self, quarantined: frozenset[str], suspected: frozenset[str]) -> None:
        """Take over the fingerprints of the latest snapshot."""
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
        new = [e for e in events if (e.origin, e.sequence) not in self._at_by_event]
        for event in new:
            if event.age < EVENT_TTL_S:
                self._add(event, now - event.age)
        return len(new)

    def events(
        self, now: float, limit: int = 256, max_age: float = EVENT_TTL_S
    ) -> list[SuspectEvent]:
        """Return the newest events with their present age, for another instance.

        :param max_age: seconds; older events are left out.
        """
        self._expire(now)
        recent = [item for item in self._at_by_event.values() if now - item[1] <= max_age]
        newest = sorted(recent, key=lambda item: -item[1])[:limit]
        return [attrs.evolve(event, age=max(0.0, now - at)) for event, at in newest]

    def status(self, fingerprint: str, now: float) -> SuspectStatus:
        """Return how a request with this fingerprint is to be treated."""
        if fingerprint in self._quarantined:
            return SuspectStatus.QUARANTINED
        crashes = self._crashes(fingerprint, now)
        if crashes >= CRASHES_TO_QUARANTINE:
            return SuspectStatus.QUARANTINED
        known = crashes > 0 or (
            fingerprint in self._suspected and fingerprint not in self._keys_by_fingerprint
        )
        return SuspectStatus.SUSPECT if known else SuspectStatus.HARMLESS

    def is_probed(self, fingerprint: str, now: float) -> bool:
        """Tell whether a retry alone was started and has neither crashed nor completed."""
        items = self._items(fingerprint)
        decided = max((at for e, at in items if e.kind != EventKind.PROBE), default=float("-inf"))
        return any(
            event.kind == EventKind.PROBE and at > decided and now - at < PROBE_TTL_S
            for event, at in items
        )

    def probed_endpoints(self, now: float) -> set[str]:
        """Return the endpoints on which another suspect runs."""
        return {
            event.endpoint
            for event, _ in self._at_by_event.values()
            if event.kind == EventKind.PROBE and self.is_probed(event.fingerprint, now)
        }

    def quarantined(self, now: float) -> set[str]:
        """Return the fingerprints that this instance's events put into quarantine."""
        return {
            fingerprint
            for fingerprint in self._keys_by_fingerprint
            if self._crashes(fingerprint, now) >= CRASHES_TO_QUARANTINE
        }

    def suspected(self, now: float) -> dict[str, str]:
        """Return the model by suspected fingerprint, quarantined ones left out."""
        return {
            fingerprint: self._items(fingerprint)[0][0].model
            for fingerprint in self._keys_by_fingerprint
            if self.status(fingerprint, now) is SuspectStatus.SUSPECT
        }

    def _crashes(self, fingerprint: str, now: float) -> int:
        items = self._items(fingerprint)
        cleared = max((at for e, at in items if e.kind == EventKind.CLEAR), default=float("-inf"))
        return len(
            {
                (event.endpoint, event.boot_id) if event.boot_id else (event.origin, event.sequence)
                for event, at in items
                if event.kind == EventKind.CRASH and at > cleared and now - at < EVENT_TTL_S
            }
        )

    def _items(self, fingerprint: str) -> list[tuple[SuspectEvent, float]]:
        keys = self._keys_by_fingerprint.get(fingerprint, ())
        return [self._at_by_event[key] for key in keys]

    def _add(self, event: SuspectEvent, at: float) -> None:
        key = (event.origin, event.sequence)
        self._at_by_event[key] = (event, at)
        self._keys_by_fingerprint.setdefault(event.fingerprint, set()).add(key)
        if len(self._at_by_event) > MAX_EVENTS:
            self._remove(min(self._at_by_event, key=lambda k: self._at_by_event[k][1]))

    def _expire(self, now: float) -> None:
        for key in [k for k, (_, at) in self._at_by_event.items() if now - at >= EVENT_TTL_S]:
            self._remove(key)

    def _remove(self, key: tuple[str, int]) -> None:
        event, _ = self._at_by_event.pop(key)
        keys = self._keys_by_fingerprint[event.fingerprint]
        keys.discard(key)
        if not keys:
            del self._keys_by_fingerprint[event.fingerprint]


def may_host_suspect(
    models: frozenset[str], copies_by_model: dict[str, int], hosts_suspect: bool
) -> bool:
    """Tell whether an endpoint may run a suspect.

    :param models: models resident on the endpoint; its loss must not make any of them unreachable.
    :param copies_by_model: reachable copies, those on this endpoint included.
    :param hosts_suspect: another suspect runs there.
    """
    return not hosts_suspect and all(copies_by_model.get(model, 0) > 1 for model in models)
