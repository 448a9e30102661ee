"""Model copies by capacity: the slots that a model needs against those that its copies have left.

The load pattern: a few models get most of the requests, demand moves to other models within
seconds, and two or three models share the slots of an endpoint. A model whose endpoints are full of
other models' requests needs another copy, however many slots its endpoints have. Each load from the
weight store has a cost, so a copy is loaded only if it gains more than it costs.
"""

import math

import attrs

from catkinhook.control.demandhistory import DemandHistory, required_slots, return_probability
from catkinhook.control.enginepool import EnginePool
from catkinhook.control.enginerecords import EngineRecord
from catkinhook.control.modelcopies import (
    HORIZON_S,
    MEAN_DRAIN_S,
    MIN_GAIN,
    MIN_RESIDENCE_S,
)

# Share of an endpoint's slots that plans count on, because arrivals vary.
TARGET_USE_SHARE = 0.7
# Factor on the slots that a model needs when it is examined whether one of its copies is spare. It
# keeps a copy from being evicted and loaded again at a demand between the two thresholds.
SPARE_FACTOR = 1.25
# Cost of a load from the weight store, in requests.
STORE_LOAD_COST = 1.5
# Share of an endpoint's slots that requests occupy before more of them are lost.
FULL_USE_SHARE = 0.9
# Time for which a demand is expected to last. Rises last 4 to 8 s or the rest of the day.
DEMAND_S = 8.0
# Share of the requests beyond the slots that are lost; the others wait.
LOST_SHARE = 0.8
# Share of the requests for a model with one copy that are lost because its endpoint fails.
FAILOVER_SHARE = 0.3
# Time for which a model is expected to stay on an engine if it has few requests.
RETURN_HORIZON_S = 12.0
# Request rate from which the current rate of a model is used instead of the long-term mean.
STEADY_RATE = 1.0
# Gain of serving a request that waits for a model's first copy, in requests. It is late by then.
WAITING_GAIN = 0.5
# Gain, in requests, added for each second for which a requested model has had no copy. Models of
# low demand therefore replace each other only after some seconds, and none is starved.
MISSING_GAIN_PER_S = 0.5
MAX_MISSING_GAIN = 10.0
# Cost of each request that runs on an endpoint that a model is loaded on, in requests.
RUNNING_COST = 0.02
# Requests per second above which a model counts as requested.
MIN_REQUESTED_RATE = 0.05
# Passes that divide the models' requests over their copies.
DIVISION_PASSES = 2
# Bounds of the duration of work on an endpoint, relative to the normal one.
MIN_PACE = 0.25
MAX_PACE = 8.0


@attrs.frozen(kw_only=True)
class CopyInputs:
    """Inputs of the decision on a model's copies, for the log.

    :ivar rate: requests per second.
    :ivar hold_s: mean seconds for which a request holds a slot.
    :ivar required: slots that the model needs.
    :ivar available: slots that its copies have left beside other models' requests.
    :ivar short: slots that are lacking.
    :ivar reason: why no load is planned although slots are lacking, empty otherwise.
    :ivar gain: gain of another copy in requests, if the cost is the reason.
    :ivar cost: its cost in requests.
    """

    model: str
    copies: int
    loading: int
    rate: float
    unmet: float
    waiting: int
    running: int
    hold_s: float
    required: float
    available: float
    short: float
    reason: str = ""
    gain: float = 0.0
    cost: float = 0.0


@attrs.frozen(kw_only=True)
class Option:
    """An engine on which a copy may be loaded.

    :ivar least_loss: lower bound of the cost in requests, without the load itself.
    :ivar victim: model whose eviction costs least, empty for none.
    :ivar victim_loss: cost of its eviction in requests.
    :ivar room: slots that the engine has left.
    :ivar room_without_victim: the same after the eviction.
    :ivar busy_s: seconds until the engine completes its order.
    :ivar drain_s: mean seconds until the requests of the victim have ended.
    """

    engine: EngineRecord
    least_loss: float
    running_cost: float
    victim: str
    victim_loss: float
    free_mb: float
    room: float
    room_without_victim: float
    adapter_rate: float
    busy_s: float
    drain_s: float


class CopyRoom:
    """Room of each engine for the requests of each model, during one planning pass.

    :ivar reason_by_model: reasons outside of this module for which a load is not planned.
    """

    def __init__(
        self,
        service: str,
        pool: EnginePool,
        history: DemandHistory,
    ) -> None:
        self.pool = pool
        self.reason_by_model: dict[str, str] = {}
        self._service = service
        self._history = history
        self._required_by_model = {
            name: required_slots(demand, history.find(service, name))
            for name, demand in pool.demand.items()
            if name in pool.spec.model_by_name
        }
        self._smallest_mb = min(
            (model.memory_mb for model in pool.spec.model_by_name.values()), default=0.0
        )
        self._usable_slots_by_id = {
            engine.view.endpoint: usable_slots(pool.spec.slots, engine.pace)
            for engine in pool.engines
        }
        for name in pool.demand:
            history.mark_missing(service, name, not pool.copies(name), pool.now)
        self._options: list[Option] | None = None
        # Caches until the plan changes.
        self._full_slots_by_model: dict[str, float] = {}
        self._lost_rate_by_model: dict[str, float] = {}
        self._part_by_use: dict[tuple[str, str], float] = {}
        self._used_by_id: dict[str, float] = {}
        self.update()

    def update(self) -> None:
        """Divide the models' requests over their copies, after the plan has changed."""
        self._options = None
        self._full_slots_by_model.clear()
        self._lost_rate_by_model.clear()
        holders_by_model = {name: self._holders(name) for name in self._required_by_model}
        parts: dict[tuple[str, str], float] = {}
        used = dict.fromkeys(self._usable_slots_by_id, 0.0)
        for division in range(1 + DIVISION_PASSES):
            previous_parts, previous_used = parts, used
            parts, used = {}, dict.fromkeys(self._usable_slots_by_id, 0.0)
            for name, holders in holders_by_model.items():
                required = self._required_by_model[name]
                if not holders or not required:
                    continue
                weights = [
                    (
                        max(
                            0.5,
                            self._usable_slots_by_id[endpoint]
                            - previous_used[endpoint]
                            + previous_parts[name, endpoint],
                        )
                        if division
                        else 1.0
                    )
                    for endpoint in holders
                ]
                factor = required / sum(weights)
                for endpoint, weight in zip(holders, weights, strict=True):
                    parts[name, endpoint] = factor * weight
                    used[endpoint] += factor * weight
        self._part_by_use, self._used_by_id = parts, used

    def _holders(self, name: str) -> list[str]:
        engines = self.pool.copies(name) + self.pool.loading(name)
        return list(dict.fromkeys(engine.view.endpoint for engine in engines))

    def required(self, name: str) -> float:
        """Return the slots that a model needs."""
        return self._required_by_model.get(name, 0.0)

    def available(self, name: str) -> float:
        """Return the slots that a model's copies have left, copies that are loading included."""
        return sum(self._room_for(name, endpoint) for endpoint in self._holders(name))

    def shortage(self, name: str) -> float:
        """Return the slots that a model is lacking."""
        return max(0.0, self.required(name) - self.available(name))

    def _room(self, endpoint: str, victim: str = "") -> float:
        """Return the slots that an engine has left, after the eviction of a model."""
        used = self._used_by_id[endpoint] - self._part_by_use.get((victim, endpoint), 0.0)
        return max(0.0, self._usable_slots_by_id[endpoint] - used)

    def _room_for(self, name: str, endpoint: str) -> float:
        others = self._used_by_id[endpoint] - self._part_by_use.get((name, endpoint), 0.0)
        return max(0.0, self._usable_slots_by_id[endpoint] - others)

    def expected_requests(self, name: str) -> float:
        """Return the requests for a model that one copy would serve if it stays resident."""
        history = self._history.find(self._service, name)
        rate = history.planned_rate(self.pool.demand_for(name).rate)
        if rate < STEADY_RATE:
            rate = history.mean_rate
        return RETURN_HORIZON_S * rate

    def first_copy_gain(self, name: str) -> float:
        """Return the gain of a model's first copy, which grows while the model is missing."""
        demand = self.pool.demand_for(name)
        history = self._history.find(self._service, name)
        since = history.missing_since
        missing_s = 0.0 if since is None else self.pool.now - since
        gain = WAITING_GAIN * demand.waiting + self.expected_requests(name)
        return gain + min(MAX_MISSING_GAIN, MISSING_GAIN_PER_S * missing_s)

    def full_slots(self, name: str) -> float:
        """Return the slots that a model's requests may occupy before more of them are lost."""
        slots = self._full_slots_by_model.get(name)
        if slots is None:
            slots = sum(self._full_room(name, endpoint) for endpoint in self._holders(name))
            self._full_slots_by_model[name] = slots
        return slots

    def _full_room(self, name: str, endpoint: str) -> float:
        others = self._used_by_id[endpoint] - self._part_by_use.get((name, endpoint), 0.0)
        full = self._usable_slots_by_id[endpoint] * FULL_USE_SHARE / TARGET_USE_SHARE
        return max(0.0, full - others)

    def lost_rate(self, name: str, slots: float, factor: float = 1.0) -> float:
        """Return the requests per second that a model loses if it has some slots.

        :param factor: factor on the slots that it needs.
        """
        required = factor * self.required(name)
        hold_s = self._history.find(self._service, name).hold_s
        return LOST_SHARE * excess_slots(required, slots) / hold_s

    def copy_gain(self, name: str, added: float, seconds: float) -> float:
        """Return the requests that another copy serves and that are lost without it.

        :param added: slots of the copy.
        :param seconds: time until it is ready, within which the demand may end.
        """
        slots = self.full_slots(name)
        lost_rate = self._lost_rate_by_model.get(name)
        if lost_rate is None:
            lost_rate = self._lost_rate_by_model[name] = self.lost_rate(name, slots)
        rate = lost_rate - self.lost_rate(name, slots + added)
        return rate * DEMAND_S * math.exp(-seconds / DEMAND_S)

    def highest_gain(self, name: str) -> float:
        """Return the gain of copies that serve all requests of a model at once."""
        return self.copy_gain(name, self.required(name), 0.0)

    def is_superfluous(self, name: str, endpoint: str) -> bool:
        """Whether a load that is planned on an endpoint and has not started is no longer wanted."""
        if not self.pool.copies(name):
            return not self.is_requested(name)
        slots = self.full_slots(name) - self._full_room(name, endpoint)
        return self.lost_rate(name, slots) * DEMAND_S < MIN_GAIN

    def options(self) -> list["Option"]:
        """Return what a load on each engine would evict and cost, cheapest first."""
        if self._options is None:
            options = (self._make_option(engine) for engine in self.pool.load_candidates())
            self._options = sorted(
                (option for option in options if option is not None),
                key=lambda option: (option.least_loss, option.engine.view.endpoint),
            )
        return self._options

    def _make_option(self, engine: EngineRecord) -> "Option | None":
        losses = [
            (self._eviction_loss(engine, name), name)
            for name in self.pool.usable_models(engine)
            if self._is_evictable(engine, name)
        ]
        free_mb = self.pool.spec.memory_mb - self.pool.memory_mb(engine)
        loss, victim = min(losses, default=(float("inf"), ""))
        if not losses and free_mb <= 0.0:
            return None
        endpoint = engine.view.endpoint
        running_cost = RUNNING_COST * engine.running
        return Option(
            engine=engine,
            least_loss=running_cost + (0.0 if free_mb >= self._smallest_mb else loss),
            running_cost=running_cost,
            victim=victim,
            victim_loss=loss,
            free_mb=free_mb,
            room=self._room(endpoint),
            room_without_victim=self._room(endpoint, victim),
            adapter_rate=self.pool.adapter_rate(engine),
            busy_s=self.pool.busy_seconds(engine),
            drain_s=MEAN_DRAIN_S if engine.running_by_model.get(victim) else 0.0,
        )

    def _is_evictable(self, engine: EngineRecord, name: str) -> bool:
        pool = self.pool
        if pool.now - engine.loaded_at.get(name, float("-inf")) < MIN_RESIDENCE_S:
            return False
        return len(pool.copies(name)) > 1 or not pool.demand_for(name).waiting

    def is_requested(self, name: str) -> bool:
        """Whether requests ask for a model, the only copy of which may be evicted."""
        demand = self.pool.demand_for(name)
        return demand.rate > MIN_REQUESTED_RATE or demand.running + demand.waiting > 0

    def _eviction_loss(self, engine: EngineRecord, name: str) -> float:
        """Return the cost in requests of evicting a model from an engine."""
        pool, history = self.pool, self._history.find(self._service, name)
        demand, copies = pool.demand_for(name), len(pool.copies(name))
        if copies <= 1:
            is_on_disk = name in engine.on_disk or name not in pool.spec.model_by_name
            reload_cost = 0.0 if is_on_disk else STORE_LOAD_COST
            returning = return_probability(history.mean_rate, RETURN_HORIZON_S)
            return self.expected_requests(name) + 2.0 * demand.running + returning * reload_cost
        required = self.required(name)
        factor = SPARE_FACTOR * max(1.0, history.peak_slots / required if required else 1.0)
        slots = self.full_slots(name)
        left = slots - self._full_room(name, engine.view.endpoint)
        lost_rate = self.lost_rate(name, left, factor) - self.lost_rate(name, slots, factor)
        loss = DEMAND_S * lost_rate + FAILOVER_SHARE * demand.running / copies
        if copies == 2:
            loss += FAILOVER_SHARE * HORIZON_S * demand.rate
        return loss

    def describe(self, name: str) -> CopyInputs:
        """Return the inputs of the decision on a model."""
        demand = self.pool.demand_for(name)
        return CopyInputs(
            model=name,
            copies=len(self.pool.copies(name)),
            loading=len(self.pool.loading(name)),
            rate=round(demand.rate, 2),
            unmet=round(demand.unmet, 2),
            waiting=demand.waiting,
            running=demand.running,
            hold_s=round(self._history.find(self._service, name).hold_s, 2),
            required=round(self.required(name), 1),
            available=round(self.available(name), 1),
            short=round(self.shortage(name), 1),
        )


def excess_slots(required: float, slots: float) -> float:
    """Return the slots that requests need on average beyond those that there are.

    The number of requests at a time varies like a Poisson variable.

    :param required: mean number of slots that the requests need.
    """
    if required <= 0.0:
        return 0.0
    deviation = math.sqrt(required)
    excess = (required - slots) / deviation
    density = math.exp(-0.5 * excess * excess) / math.sqrt(2.0 * math.pi)
    return deviation * (density + excess * 0.5 * math.erfc(-excess / math.sqrt(2.0)))


def bounded_pace(pace: float) -> float:
    """Return a plausible duration of an endpoint's work relative to the normal one."""
    return min(MAX_PACE, max(MIN_PACE, pace if pace > 0.0 else 1.0))


def usable_slots(slots: int, pace: float) -> float:
    """Return the slots of an endpoint that plans count on, in slots of normal speed.

    :param pace: duration of the endpoint's work relative to the normal one.
    """
    return TARGET_USE_SHARE * slots / bounded_pace(pace)
