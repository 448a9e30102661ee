"""Reports of a gateway to its controller."""

import math
from collections import Counter

import pykka

from catkinhook.clocks import Clock, monotonic
from catkinhook.control.placement import ModelDemand
from catkinhook.operations.burn import BurnCounters
from catkinhook.requests.dispatchactor import DispatcherProxy
from catkinhook.requests.gatewaydispatcher import Dispatcher
from catkinhook.requests.suspects import SuspectEvent
from catkinhook.requests.web import RequestSlots, ServingState
from catkinhook.state.gatewayreports import Demand, GatewayReport, Suspect

# The burn counters of a day are too large to be sent with every report, and consumers don't need
# them more often than this.
BURN_INTERVAL_S = 10.0


class Reporter:
    """Builds reports for the threads of the snapshot client, one at a time for each thread.

    :param gateway: unique name of this gateway.
    :param incarnation: number that differs after each restart.
    """

    def __init__(
        self,
        gateway: str,
        incarnation: int,
        dispatch: DispatcherProxy,
        slots: RequestSlots,
        state: ServingState,
        clock: Clock = monotonic,
    ) -> None:
        self._gateway = gateway
        self._incarnation = incarnation
        self._dispatch = dispatch
        self._slots = slots
        self._state = state
        self._clock = clock
        self._reported_at = clock()
        self._burn_reported_at = -math.inf
        self._unmet: Counter[str] = Counter()
        self._last_sequence = 0

    def make_report(self) -> GatewayReport:
        """Return a report of the current state; each suspect event is in one report only."""
        # The actor runs one call at a time, so ``_build`` needs no lock for its fields.
        try:
            return self._dispatch.ask(self._build)
        except (pykka.Timeout, pykka.ActorDeadError):
            return GatewayReport(gateway=self._gateway, incarnation=self._incarnation, ready=False)

    def _build(self, dispatcher: Dispatcher, burn: BurnCounters) -> GatewayReport:
        now = self._clock()
        elapsed, self._reported_at = now - self._reported_at, now
        demand = dispatcher.demand(now)
        burn_buckets = ()
        if now - self._burn_reported_at >= BURN_INTERVAL_S:
            burn_buckets, self._burn_reported_at = tuple(burn.export(now)), now
        return GatewayReport(
            gateway=self._gateway,
            incarnation=self._incarnation,
            in_progress=self._slots.in_use,
            demands=tuple(
                self._convert_demand(item, item_demand, elapsed)
                for item, item_demand in demand.items()
            ),
            suspects=tuple(self._new_suspects(dispatcher.suspects.events(now), now)),
            burn=burn_buckets,
            ready=not self._state.explain_unready(),
        )

    def _convert_demand(self, item: str, demand: ModelDemand, elapsed: float) -> Demand:
        # Reports contain integers; the fraction is carried over to the next report.
        self._unmet[item] += demand.unmet * elapsed
        unmet = int(self._unmet[item])
        self._unmet[item] -= unmet
        return Demand(
            model=item,
            requests_per_second=demand.requests_per_second,
            in_progress=demand.in_progress,
            unmet=unmet,
        )

    def _new_suspects(self, events: list[SuspectEvent], now: float) -> list[Suspect]:
        suspects = []
        for event in sorted(events, key=lambda event: event.sequence):
            if event.origin == self._gateway and event.sequence > self._last_sequence:
                self._last_sequence = event.sequence
                suspects.append(_convert_suspect(event, now))
        return suspects


def _convert_suspect(event: SuspectEvent, now: float) -> Suspect:
    return Suspect(
        fingerprint=event.fingerprint,
        model=event.model,
        kind=event.kind,
        origin=event.origin,
        sequence=event.sequence,
        seen_at=now - event.age,
        endpoint=event.endpoint,
        boot_id=event.boot_id,
    )
