"""Quarantine of prompt parts that crash engines, on all hosts.

Hosts refuse requests with a quarantined part. The host that holds the lease for orders sends one of
them as a probe after a while, and its answer lifts the quarantine.
"""

import enum
import functools
import heapq
from collections.abc import Callable, Iterable

import attrs

from catkinhook.requests.partevidence import (
    WAITING_WEIGHT,
    Crash,
    CrashEvidence,
    CrashId,
    find_service,
    weigh,
)

# Time after which quarantined parts are probed, which grows with each probe that crashes an engine.
FIRST_HOLD_S = 60.0
HOLD_GROWTH = 4.0
MAX_HOLD_S = 3600.0
# Probes that may crash an engine before only an operator, or the end of the quarantine, lets the
# part back in.
MAX_PROBES = 3
# A quarantine ends after this many times ``hold_s``. The holder may get no request with a part that
# is asked for seldom, and so never probe it.
HOLDS_TO_EXPIRY = 10
# Enough to reach the maximum. Strikes come in messages, and a large power overflows.
MAX_HOLD_STEPS = 16
# Time for which the strikes of a lifted quarantine are remembered.
LIFTED_TTL_S = 2 * MAX_HOLD_S
MAX_QUARANTINES = 64
UNIT_SEPARATOR = ","


class PartEventKind(enum.StrEnum):
    """Kind of an event that hosts exchange; the value is part of their messages."""

    STARTED = "part-started"  # an engine crashed under a request that it had started to answer
    BEGUN = "part-begun"  # an engine crashed under a request whose first events it had just sent
    WAITING = "part-waiting"  # an engine crashed under a request without an answer
    ANSWERED = "part-answered"
    QUARANTINED = "part-quarantined"
    LIFTED = "part-lifted"


_URGENT_KINDS = frozenset(
    {
        PartEventKind.STARTED,
        PartEventKind.BEGUN,
        PartEventKind.QUARANTINED,
        PartEventKind.LIFTED,
    }
)


@attrs.frozen(kw_only=True)
class PartEvent:
    """One event for other hosts.

    :ivar units: the suspected unit, or the key of a quarantine.
    :ivar age: age in seconds when the event was sent.
    :ivar endpoint: engine that crashed.
    :ivar boot_id: boot id of that engine.
    :ivar strikes: strikes of the quarantine.
    """

    kind: PartEventKind
    units: str
    age: float
    endpoint: str = ""
    boot_id: str = ""
    strikes: int = 0


@attrs.define(kw_only=True)
class Quarantine:
    """Units that are quarantined together: a request is refused if it has all of them.

    They crashed the same engines, and a unit that is answered without the others drops out.

    :ivar at: time of the quarantine or of its latest renewal.
    :ivar suspected_since: time of the first crash that counted.
    :ivar strikes: number of times that the units were quarantined, which orders the states that
        hosts exchange. Their clocks differ, so times can't.
    :ivar contradicted_at: time at which a host last sent this lifted quarantine as in force.
    :ivar crash_by_id: the crashes that counted.
    """

    units: tuple[str, ...]
    at: float
    suspected_since: float
    strikes: int = 1
    lifted_at: float | None = None
    contradicted_at: float = float("-inf")
    probed_at: float = float("-inf")
    crash_by_id: dict[CrashId, Crash] = attrs.Factory(dict)

    @property
    def key(self) -> str:
        """Name for messages and operators."""
        return UNIT_SEPARATOR.join(self.units)

    @property
    def is_active(self) -> bool:
        """Whether requests are refused."""
        return self.lifted_at is None

    @property
    def hold_s(self) -> float:
        """Seconds after which the units may be probed."""
        steps = min(self.strikes - 1, MAX_HOLD_STEPS)
        return min(MAX_HOLD_S, FIRST_HOLD_S * HOLD_GROWTH**steps)

    def probe_due_at(self) -> float:
        """Return the time from which a probe may be sent."""
        if self.strikes > MAX_PROBES:
            return self.expires_at()
        return max(self.at, self.probed_at) + self.hold_s

    def expires_at(self) -> float:
        """Return the time at which the quarantine ends without a probe."""
        return self.at + HOLDS_TO_EXPIRY * self.hold_s

    def describe_crashes(self, now: float) -> str:
        """Return the engines that crashed, with the age of each crash."""
        crashes = sorted(self.crash_by_id.items(), key=lambda item: item[1].at)
        described = [f"{endpoint} {now - crash.at:.1f} s ago" for (endpoint, _), crash in crashes]
        return ", ".join(described) or "engines that other hosts saw"


class PartQuarantine:
    """Evidence against prompt parts and the quarantines that follow from it; not thread-safe.

    :param on_change: called with a quarantine that changed, what happened and the time.
    :param may_probe: returns whether this host may send a probe now. Only the holder of the lease
        for orders may, so that there is one at a time.
    """

    def __init__(
        self,
        on_change: Callable[[Quarantine, str, float], None],
        may_probe: Callable[[], bool] = lambda: False,
    ) -> None:
        self._on_change = on_change
        self._may_probe = may_probe
        self._evidence = CrashEvidence()
        self._quarantine_by_key: dict[str, Quarantine] = {}
        self._answered_at_by_service: dict[str, float] = {}
        # Services of suspects that wait for an answer to another request.
        self._unconfirmed_services: set[str] = set()

    def record_crash(
        self,
        units: tuple[str, ...],
        crash_id: CrashId,
        has_started: bool,
        now: float,
        has_begun: bool = False,
    ) -> None:
        """Record that an engine crashed under a request whose answer had at most begun.

        :param has_started: whether the engine had started to answer, without an event.
        :param has_begun: whether it had just sent the first events.
        """
        crash = Crash(now, has_started, has_begun)
        for quarantine in self._find_all(units):
            # Requests that were sent before the quarantine are no probes.
            if now >= quarantine.at + quarantine.hold_s:
                quarantine.strikes += 1
                quarantine.at = now
                quarantine.crash_by_id[crash_id] = crash
                self._on_change(quarantine, "renewed", now)
        for unit in units:
            self._evidence.add_crash(unit, crash_id, crash)
        self._quarantine_suspects(now)

    def record_answer(self, units: tuple[str, ...], now: float) -> None:
        """Record that the answer to a request has got beyond its beginning."""
        if not units:
            return
        service = find_service(units[0])
        self._answered_at_by_service[service] = now
        for unit in units:
            self._evidence.add_answer(unit, now)
        for quarantine in self._find_all(units):
            self._lift(quarantine, now, "lifted: answered")
        if service in self._unconfirmed_services:
            self._quarantine_suspects(now)

    def find(self, units: tuple[str, ...]) -> Quarantine | None:
        """Return a quarantine that refuses a request, None if there is none."""
        return next(iter(self._find_all(units)), None)

    def is_probe_due(self, units: tuple[str, ...], now: float) -> bool:
        """Return whether a request with quarantined units may be sent as a probe."""
        found = self._find_all(units)
        is_due = all(now >= quarantine.probe_due_at() for quarantine in found)
        return is_due and self._may_probe()

    def record_probe(self, units: tuple[str, ...], now: float) -> None:
        """Record that a request with quarantined units is sent as a probe."""
        for quarantine in self._find_all(units):
            quarantine.probed_at = now
            self._on_change(quarantine, "probed", now)

    def lift(self, key: str, now: float) -> bool:
        """Lift a quarantine on request of an operator; return whether it was in force."""
        quarantine = self._quarantine_by_key.get(key)
        if quarantine is None or not quarantine.is_active:
            return False
        self._lift(quarantine, now, "lifted: operator")
        return True

    def active(self) -> list[Quarantine]:
        """Return the quarantines in force."""
        return [q for q in self._quarantine_by_key.values() if q.is_active]

    # Exchange with other hosts.

    def events(self, now: float, limit: int, max_age: float) -> list[PartEvent]:
        """Return events for another host, the most important first.

        :param max_age: seconds after which evidence and lifted quarantines are omitted. Those in
            force are always included, so that a host that has just started learns of them. Lifted
            ones are included again after a host that was cut off has sent them as in force.
        """
        self._expire(now)
        quarantine_events = self._quarantine_events(now, max_age)[:limit]
        room = limit - len(quarantine_events)
        return quarantine_events + self._evidence_events(now, room, max_age)

    def active_events(self, now: float) -> list[PartEvent]:
        """Return the quarantines in force as events for another process, the newest first."""
        self._expire(now)
        events = self._quarantine_events(now, max_age=0.0)
        return [event for event in events if event.kind is PartEventKind.QUARANTINED]

    def merge(self, events: Iterable[PartEvent], now: float) -> bool:
        """Add events of other hosts.

        :returns: whether a quarantine changed or a new event has to reach all hosts soon.
        """
        new = [event for event in events if _MERGE_BY_KIND[event.kind](self, event, now)]
        is_quarantined = bool(new) and self._quarantine_suspects(now)
        return is_quarantined or any(event.kind in _URGENT_KINDS for event in new)

    def _merge_crash(self, event: PartEvent, now: float) -> bool:
        """Add a crash; return whether it makes the suspicion graver.

        Crashes at the same time don't: of more than a unit can have, each host keeps others, and
        would take those of its peers for new ones without end.
        """
        before = weigh(self._evidence.open_crashes(event.units).values())
        crash = Crash(
            now - event.age,
            has_started=event.kind is PartEventKind.STARTED,
            has_begun=event.kind is PartEventKind.BEGUN,
        )
        self._evidence.add_crash(event.units, (event.endpoint, event.boot_id), crash)
        return weigh(self._evidence.open_crashes(event.units).values()) > before

    def _merge_answer(self, event: PartEvent, now: float) -> bool:
        if not self._evidence.open_crashes(event.units):
            # An answer is passed on only while it clears a crash.
            return False
        self._evidence.add_answer(event.units, now - event.age)
        return not self._evidence.open_crashes(event.units)

    def _merge_quarantine(self, event: PartEvent, now: float) -> bool:
        known = self._quarantine_by_key.get(event.units)
        if known is not None and known.strikes >= event.strikes:
            if not known.is_active:
                known.contradicted_at = now
            return False
        units = tuple(event.units.split(UNIT_SEPARATOR))
        added = self._add(units, now - event.age, event.strikes, "added: another host", now)
        if all(map(self._evidence.is_cleared, units)):
            self._lift(added, now, "lifted: answered here since the crashes")
        return True

    def _merge_lift(self, event: PartEvent, now: float) -> bool:
        known = self._quarantine_by_key.get(event.units)
        if known is None or not known.is_active or known.strikes > event.strikes:
            return False
        known.strikes = event.strikes
        self._lift(known, now - event.age, "lifted: another host")
        return True

    def _quarantine_events(self, now: float, max_age: float) -> list[PartEvent]:
        events = []
        for quarantine in self._quarantine_by_key.values():
            kind, at = PartEventKind.QUARANTINED, quarantine.at
            if quarantine.lifted_at is not None:
                kind, at = PartEventKind.LIFTED, quarantine.lifted_at
            told_at = max(at, quarantine.contradicted_at)
            if quarantine.is_active or now - told_at <= max_age:
                strikes = quarantine.strikes
                events.append(
                    PartEvent(kind=kind, units=quarantine.key, age=now - at, strikes=strikes)
                )
        return sorted(events, key=lambda event: event.age)

    def _evidence_events(self, now: float, limit: int, max_age: float) -> list[PartEvent]:
        """Return the open crashes and the answers after crashes, the gravest suspicion first.

        Evidence is kept much longer than it is sent, so units without any to send are skipped.
        """
        # Weight, age and a function that makes the event; messages have room for a few only.
        found: list[tuple[int, float, Callable[[], PartEvent]]] = []
        for unit in self._evidence.crashed_units():
            crash_by_id = self._evidence.open_crashes(unit)
            recent = [
                (crash_id, crash, max(0.0, now - crash.at))
                for crash_id, crash in crash_by_id.items()
                if now - crash.at <= max_age
            ]
            weight = weigh(crash_by_id.values()) if recent else 0
            found += [
                (weight, age, functools.partial(_make_crash_event, unit, crash_id, crash, age))
                for crash_id, crash, age in recent
            ]
            age = max(0.0, now - self._evidence.answered_at(unit))
            if age <= max_age:
                found.append(
                    (WAITING_WEIGHT, age, functools.partial(_make_answer_event, unit, age))
                )
        gravest = heapq.nsmallest(limit, found, key=lambda item: (-item[0], item[1]))
        return [make() for _, _, make in gravest]

    # Quarantines.

    def _find_all(self, units: tuple[str, ...]) -> list[Quarantine]:
        # Few quarantines have a unit in common with a request, and all queued requests are checked.
        given = frozenset(units)
        return [
            q for q in self.active() if not given.isdisjoint(q.units) and self._covers(q, given)
        ]

    def _covers(self, quarantine: Quarantine, units: frozenset[str]) -> bool:
        """Return whether a request has all units of a quarantine that are not known to be sound.

        If each was answered since the crashes, but no request with all of them, only such requests
        are covered.
        """
        unanswered = [
            unit
            for unit in quarantine.units
            if self._evidence.answered_at(unit) < quarantine.suspected_since
        ]
        return units.issuperset(unanswered or quarantine.units)

    def _quarantine_suspects(self, now: float) -> bool:
        """Quarantine the suspects of services that answer; return whether there were any."""
        is_any = False
        self._unconfirmed_services.clear()
        for units, crash_by_id in self._evidence.find_suspects(now):
            since = min(crash.at for crash in crash_by_id.values())
            service = find_service(units[0])
            answered_at = self._answered_at_by_service.get(service, float("-inf"))
            if answered_at <= since:
                # A service that answers nothing at all has another fault than a part of a prompt.
                self._unconfirmed_services.add(service)
            elif self.find(units) is None:
                known = self._quarantine_by_key.get(UNIT_SEPARATOR.join(units))
                strikes = known.strikes + 1 if known else 1
                self._add(units, now, strikes, "added", now)
                is_any = True
        return is_any

    def _add(
        self, units: tuple[str, ...], at: float, strikes: int, outcome: str, now: float
    ) -> Quarantine:
        crash_by_id: dict[CrashId, Crash] = {}
        for unit in units:
            crash_by_id |= self._evidence.open_crashes(unit)
        quarantine = Quarantine(
            units=units,
            at=at,
            suspected_since=min((crash.at for crash in crash_by_id.values()), default=at),
            strikes=strikes,
            crash_by_id=crash_by_id,
        )
        self._quarantine_by_key[quarantine.key] = quarantine
        if len(self._quarantine_by_key) > MAX_QUARANTINES:
            oldest = min(self._quarantine_by_key.values(), key=lambda q: (q.is_active, q.at))
            del self._quarantine_by_key[oldest.key]
        self._on_change(quarantine, outcome, now)
        return quarantine

    def _lift(self, quarantine: Quarantine, at: float, outcome: str) -> None:
        quarantine.lifted_at = at
        for unit in quarantine.units:
            self._evidence.clear(unit, at)
        self._on_change(quarantine, outcome, at)

    def _expire(self, now: float) -> None:
        self._evidence.expire(now)
        for key, quarantine in list(self._quarantine_by_key.items()):
            lifted_at = quarantine.lifted_at
            if lifted_at is None and now >= quarantine.expires_at():
                self._lift(quarantine, now, "lifted: expired")
            elif lifted_at is not None and now - lifted_at > LIFTED_TTL_S:
                del self._quarantine_by_key[key]


_MERGE_BY_KIND: dict[PartEventKind, Callable[[PartQuarantine, PartEvent, float], bool]] = {
    PartEventKind.STARTED: PartQuarantine._merge_crash,
    PartEventKind.BEGUN: PartQuarantine._merge_crash,
    PartEventKind.WAITING: PartQuarantine._merge_crash,
    PartEventKind.ANSWERED: PartQuarantine._merge_answer,
    PartEventKind.QUARANTINED: PartQuarantine._merge_quarantine,
    PartEventKind.LIFTED: PartQuarantine._merge_lift,
}


def _make_crash_event(unit: str, crash_id: CrashId, crash: Crash, age: float) -> PartEvent:
    begun_or_waiting = PartEventKind.BEGUN if crash.has_begun else PartEventKind.WAITING
    kind = PartEventKind.STARTED if crash.has_started else begun_or_waiting
    endpoint, boot_id = crash_id
    return PartEvent(kind=kind, units=unit, age=age, endpoint=endpoint, boot_id=boot_id)


def _make_answer_event(unit: str, age: float) -> PartEvent:
    return PartEvent(kind=PartEventKind.ANSWERED, units=unit, age=age)
