"""Demand of models and adapters over time: how long requests hold slots, and how often they return.

The load pattern: the demand of a host report decays within seconds, so a model that is requested
every ten seconds looks unused between two requests, and two such models would evict each other in
turn.
"""

import math
from collections.abc import Mapping

import attrs

from catkinhook.control.enginerecords import Demand
from catkinhook.requests.demand import HALF_LIFE_S

# Seconds for which a request holds a slot, until it is measured, and the requests per second that
# this assumption weighs as much as.
PRIOR_HOLD_S = 1.0
PRIOR_WEIGHT = 1.0
# Bounds of the measured time. A rate lags behind a rise of the running requests by some seconds.
MIN_HOLD_S = 0.3
MAX_HOLD_S = 4.0
# Time within which queued requests are to start. While a copy is loading, the queue grows to the
# requests of about 2 s, and each of them would otherwise count as one more slot.
BACKLOG_S = 2.0
# Share of the refused requests that counts beside the request rate, which includes them.
UNMET_SHARE = 0.5
# Half-life of the measured time.
HOLD_HALF_LIFE_S = 4.0
# Half-life of the highest recent number of required slots. Demand moves between models within 4 to
# 8 s, so that slots that were required a few seconds ago may be required again.
PEAK_HALF_LIFE_S = 3.0
# Half-life of the mean request rate that decides what may be evicted.
MEAN_RATE_HALF_LIFE_S = 20.0
# Half-life of the current request rate. It is computed from the change of the smoothed rates,
# which lag behind a rise by several seconds.
CURRENT_RATE_HALF_LIFE_S = 1.0
# Requests per second at which the current rate counts as much as the hosts' smoothed one. The
# current rate of fewer requests varies too much.
CURRENT_RATE_WEIGHT = 2.0
# Seconds after the start of a term in which the first reports of hosts look like a rise.
SETTLE_S = 4.0
# Mean rate below which an item without demand is forgotten.
MIN_MEAN_RATE = 1e-3


@attrs.define
class ItemHistory:
    """Past demand for one model, adapters included, or for one ``model/adapter``.

    :ivar hold_s: mean seconds for which a request holds a slot.
    :ivar peak_slots: highest recent number of required slots, decaying.
    :ivar mean_rate: requests per second, averaged over ``MEAN_RATE_HALF_LIFE_S``.
    :ivar rate: requests per second as the hosts report them.
    :ivar current_rate: requests per second within the last seconds.
    :ivar work_share: slots of normal speed that each running request holds on average.
    :ivar used_at: last time at which requests were running or waiting.
    :ivar missing_since: first request since the model has had no copy, None while it has one.
    """

    hold_s: float = PRIOR_HOLD_S
    peak_slots: float = 0.0
    mean_rate: float = 0.0
    rate: float = 0.0
    current_rate: float = 0.0
    work_share: float = 1.0
    used_at: float = float("-inf")
    missing_since: float | None = None

    def planned_rate(self, rate: float) -> float:
        """Return the requests per second to plan for.

        :param rate: the hosts' rate, or that of the previous term if it is higher.
        """
        if rate > self.rate:
            return rate
        weight = rate / (rate + CURRENT_RATE_WEIGHT)
        return rate + weight * (self.current_rate - rate)


def required_slots(demand: Demand, history: ItemHistory) -> float:
    """Return the slots that the requests of an item need, refused and queued ones included."""
    steady = (history.planned_rate(demand.rate) + UNMET_SHARE * demand.unmet) * history.hold_s
    backlog = demand.waiting * min(1.0, history.hold_s / BACKLOG_S)
    return max(steady, demand.running * history.work_share) + backlog


class DemandHistory:
    """Past demand by service and item; items without a ``/`` are models, adapters included."""

    def __init__(self) -> None:
        self._by_key: dict[tuple[str, str], ItemHistory] = {}
        self._updated_at: float | None = None
        self._started_at = float("-inf")

    def begin_term(self, now: float) -> None:
        """Expect the first reports of all hosts."""
        self._started_at = now

    def find(self, service: str, item: str) -> ItemHistory:
        """Return the history of an item, a neutral one if it was not requested."""
        return self._by_key.get((service, item), _NO_HISTORY)

    def mark_missing(self, service: str, name: str, is_missing: bool, now: float) -> None:
        """Record whether a requested model has no copy."""
        history = self._by_key.get((service, name))
        if history is None:
            return
        if not is_missing:
            history.missing_since = None
        elif history.missing_since is None:
            history.missing_since = now

    def record(
        self,
        demand: dict[tuple[str, str], Demand],
        now: float,
        work_shares: Mapping[tuple[str, str], float] | None = None,
    ) -> None:
        """Record the demand of all hosts.

        :param demand: demand by service and item, as the hosts report it.
        :param work_shares: slots of normal speed that a running request holds, by service and
            model, where they differ from 1.
        """
        elapsed_s = now - self._updated_at if self._updated_at is not None else 0.0
        elapsed_s, self._updated_at = max(0.0, elapsed_s), now
        peak_decay = 0.5 ** (elapsed_s / PEAK_HALF_LIFE_S)
        rate_decay = 0.5 ** (elapsed_s / MEAN_RATE_HALF_LIFE_S)
        hold_decay = 0.5 ** (elapsed_s / HOLD_HALF_LIFE_S)
        current_decay = 0.5 ** (elapsed_s / CURRENT_RATE_HALF_LIFE_S)
        # Requests per second, for a change of a rate that is smoothed with ``HALF_LIFE_S``.
        per_change = HALF_LIFE_S / (math.log(2.0) * elapsed_s) if elapsed_s > 0.0 else 0.0
        totals = _add_models(demand)
        for key in [key for key in self._by_key if key not in totals]:
            history = self._by_key[key]
            history.rate = history.current_rate = 0.0
            history.mean_rate *= rate_decay
            history.peak_slots *= peak_decay
            if history.mean_rate < MIN_MEAN_RATE:
                del self._by_key[key]
        for key, total in totals.items():
            known = self._by_key.get(key)
            if known is None:
                known = self._by_key[key] = ItemHistory(current_rate=total.rate)
            arrivals = (total.rate - known.rate * 0.5 ** (elapsed_s / HALF_LIFE_S)) * per_change
            is_settled = elapsed_s > 0.0 and now - self._started_at >= SETTLE_S
            current = max(0.0, arrivals) if is_settled else total.rate
            known.current_rate = current + (known.current_rate - current) * current_decay
            known.rate = total.rate
            model_key = (key[0], key[1].partition("/")[0])
            known.work_share = work_shares.get(model_key, 1.0) if work_shares else 1.0
            known.hold_s = _merge_hold(known.hold_s, total, known.work_share, hold_decay)
            known.mean_rate = total.rate + (known.mean_rate - total.rate) * rate_decay
            known.peak_slots = max(known.peak_slots * peak_decay, required_slots(total, known))
            if total.running or total.waiting:
                known.used_at = now


def return_probability(mean_rate: float, seconds: float) -> float:
    """Return the probability of a request for an item within some seconds."""
    return 1.0 - math.exp(-mean_rate * seconds)


def _add_models(demand: dict[tuple[str, str], Demand]) -> dict[tuple[str, str], Demand]:
    """Return the demand by item, with that of adapters also added to their models."""
    totals: dict[tuple[str, str], Demand] = {}
    for (service, item), item_demand in demand.items():
        model, _, adapter = item.partition("/")
        key = (service, model)
        totals[key] = totals[key].plus(item_demand) if key in totals else item_demand
        if adapter:
            totals[service, item] = item_demand
    return totals


def _merge_hold(hold_s: float, demand: Demand, work_share: float, decay: float) -> float:
    """Return the mean holding time after another measurement."""
    served_rate = max(0.0, demand.rate - demand.unmet)
    running = demand.running * work_share
    measured_s = (running + PRIOR_WEIGHT * PRIOR_HOLD_S) / (served_rate + PRIOR_WEIGHT)
    measured_s = min(MAX_HOLD_S, max(MIN_HOLD_S, measured_s))
    # Few requests say little about the mean.
    weight = (1.0 - decay) * served_rate / (served_rate + PRIOR_WEIGHT)
    if demand.rate > 0.0:
        # The rates of requests and refusals are smoothed, so their difference lags behind a rise.
        weight *= served_rate / demand.rate
    return hold_s + (measured_s - hold_s) * weight


_NO_HISTORY = ItemHistory()
