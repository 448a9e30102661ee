"""Provisioning by the lease holder: which models and adapters each engine loads or unloads."""

from collections import deque

import attrs

from catkinhook.control import copychoice, copyroom
from catkinhook.control.adapterplacement import (
    FULL_WAIT_S,
    MIN_UNMET_RATE,
    AdapterPlanner,
)
from catkinhook.control.copyrecord import CopyRecord
from catkinhook.control.demandhistory import DemandHistory
from catkinhook.control.engineorders import LOAD_MARGIN_S, UNLOAD_S, EngineOrders
from catkinhook.control.enginepool import EnginePool
from catkinhook.control.enginerecords import (
    NO_DEMAND,
    Demand,
    EngineRecord,
    OutgoingOrder,
    is_loading,
)
from catkinhook.control.modelcopies import (
    MEAN_DRAIN_S,
    choose_engine,
    choose_warming_victim,
    find_copy_needs,
    is_hot,
    max_low_demand_loads,
)
from catkinhook.hostsettings import Bounds
from catkinhook.requests.routetable import EngineSpec, ModelSpec

# Assumed time until an engine can accept a model load when none can now.
CAPACITY_WAIT_S = 1.0
# A new lease holder orders no model changes for this long, so that all hosts report their demand
# first.
DEMAND_COLLECTION_S = 0.6
# Half-life of the weight of the request rates inherited from the previous lease holder.
INHERITED_RATES_HALF_LIFE_S = 4.0
MIN_INHERITED_RATE = 0.05
MAX_INHERITED_RATES = 64
# Priority aging: gain, in requests, added per second for which a requested model has had no copy,
# so that models with few callers are not starved.
AGING_GAIN_PER_S = 1.0
# Maximum time to drain a model before its unload is sent. An unload waits for the model's requests
# and blocks adapter loads on the engine. Source: according to the data sheets, a stream takes up to
# 5 s.
MAX_DRAIN_S = 6.0


@attrs.frozen(kw_only=True)
class ProvisioningStatus:
    """Counters that show whether engines or placement fall short of demand.

    :ivar missing: requested models and adapters that no usable engine holds.
    :ivar models_without_copy: models among them.
    :ivar engines: usable engines whose state is known.
    :ivar free: engines that would accept an order now.
    :ivar loading: engines that are loading a model.
    """

    missing: int
    models_without_copy: int
    engines: int
    free: int
    loading: int


class Provisioner(EngineOrders):
    """Plans the orders to all engines; owned by one actor.

    :param node: name of this host, sent with each order.
    """

    def __init__(self, node: str, bounds: Bounds) -> None:
        super().__init__(node)
        self._bounds = bounds
        self._demand: dict[tuple[str, str], Demand] = {}
        self._items_by_model: dict[tuple[str, str], list[str]] = {}
        self._adapters = AdapterPlanner(self._make_orders)
        self._history = DemandHistory()
        self.copy_record = CopyRecord()
        self._plans_by_capacity = False
        self._missing_since: dict[str, dict[str, float]] = {}
        self._recent_store_loads: deque[float] = deque()
        self._available_at: dict[tuple[str, str], float] = {}
        self._term_started_at = 0.0
        self._inherited_rates: dict[str, float] = {}
        self._now = 0.0

    def begin_term(self, fence: int, rates: dict[str, float], now: float) -> None:
        """Start to plan orders with a fencing token and discard the known state of all engines.

        :param rates: requests per second by model, from the previous lease holder.
        """
        self._term_started_at = now
        self._inherited_rates = rates
        self._missing_since = {}
        self.copy_record.clear()
        self._history.begin_term(now)
        # The previous lease holder may have used up the weight store's rate limit, so some recent
        # loads are assumed.
        window_s = self._bounds.load_window_s
        self._recent_store_loads = deque([now] * int(window_s / 2))
        self.discard_records(fence)

    @property
    def has_workspaces(self) -> bool:
        """Whether the configuration in force has workspaces."""
        return self._table is not None and self._table.workspaces is not None

    def set_planning_mode(self, plans_by_capacity: bool) -> None:
        """Set whether copies are planned by the endpoints' capacity."""
        if not plans_by_capacity:
            self.copy_record.clear()
        self._plans_by_capacity = plans_by_capacity

    def set_demand(self, demand: dict[tuple[str, str], Demand], now: float) -> None:
        """Replace the aggregated demand of all hosts."""
        self._demand = demand
        self._items_by_model = {}
        self._adapters.record_demand(demand, now)
        if self._plans_by_capacity:
            self._history.record(demand, now, self._work_shares())
        for service, item in demand:
            key = (service, item.partition("/")[0])
            self._items_by_model.setdefault(key, []).append(item)

    def _work_shares(self) -> dict[tuple[str, str], float]:
        """Return the slots of normal speed that a running request holds, by service and model.

        An endpoint that takes longer does less work in a slot, and requests beyond its slots wait.
        """
        requests: dict[tuple[str, str], int] = {}
        work: dict[tuple[str, str], float] = {}
        for engine in self._record_by_id.values():
            slots = max(1, engine.view.slots)
            share = min(1.0, slots / max(1, engine.running)) / copyroom.bounded_pace(engine.pace)
            for model, count in engine.running_by_model.items():
                key = (engine.view.service, model)
                requests[key] = requests.get(key, 0) + count
                work[key] = work.get(key, 0.0) + share * count
        return {key: work[key] / count for key, count in requests.items() if count}

    def plan(self, now: float) -> list[OutgoingOrder]:
        """Return the orders to send now and update the expected waits."""
        self._available_at = {}
        self._now = now
        self._apply_expected_completions(now)
        self._forget_late_loads(now)
        if self._table is None:
            return []
        orders = self._resend_unanswered()
        for service in self._table.service_by_name.values():
            if service.engine is not None:
                pool = EnginePool(
                    service.engine,
                    [e for e in self._record_by_id.values() if e.view.service == service.name],
                    self._demand_by_model(service.name),
                    self._adapter_rate_by_model(service.name),
                    now,
                )
                orders += self._plan_models(service.name, pool)
                orders += self._plan_adapters(service.name, pool)
        return orders

    def expected_waits(self, now: float) -> dict[tuple[str, str], float]:
        """Return the expected seconds until missing items are available, by service and item."""
        return {item: max(0.0, at - now) for item, at in self._available_at.items()}

    def status(self) -> ProvisioningStatus:
        """Return counters of unmet demand and of the engines' activity."""
        usable = [engine for engine in self.known_engines() if engine.is_usable]
        models = {name for engine in usable for name in engine.usable_models()}
        items = models | {item for engine in usable for item in engine.resident_adapters()}
        missing = [
            item
            for (_, item), item_demand in self._demand.items()
            if item
            and item not in items
            and (item_demand.waiting or item_demand.unmet > MIN_UNMET_RATE)
        ]
        return ProvisioningStatus(
            missing=len(missing),
            models_without_copy=len({item.partition("/")[0] for item in missing} - models),
            engines=len(usable),
            free=sum(engine.is_free for engine in usable),
            loading=sum(
                engine.open_order is not None and engine.open_order.order.is_load
                for engine in usable
            ),
        )

    def _plan_models(self, service: str, pool: EnginePool) -> list[OutgoingOrder]:
        if self._plans_by_capacity and pool.demand:
            self._cancel_superfluous_loads(service, pool)
        orders = self._load_planned_models(pool)
        if pool.now - self._term_started_at < DEMAND_COLLECTION_S:
            return orders
        if not pool.demand:
            orders += self._warm_disk_caches(pool)
        if self._plans_by_capacity:
            orders += self._plan_copies_by_capacity(service, pool)
            return orders
        for name, gain in self._sort_with_aging(service, pool, find_copy_needs(pool)):
            choice = choose_engine(pool, pool.spec.model_by_name[name], gain)
            orders += self._plan_copy(service, pool, pool.spec.model_by_name[name], choice)
        self._set_availability_of_loads(service, pool)
        return orders

    def _cancel_superfluous_loads(self, service: str, pool: EnginePool) -> None:
        """Cancel planned loads that no demand justifies any more, before they have started.

        The model that drains for such a load gets requests again, unless its unload was sent.
        """
        draining = [e for e in pool.engines if e.draining_model and e.planned_model]
        if not draining:
            return
        room = copyroom.CopyRoom(service, pool, self._history)
        for engine in draining:
            if room.is_superfluous(engine.planned_model, engine.view.endpoint):
                engine.planned_model = engine.draining_model = ""
                pool.refresh(engine)
                room.update()

    def _plan_copies_by_capacity(self, service: str, pool: EnginePool) -> list[OutgoingOrder]:
        """Return the orders for copies of models that lack slots, several copies if need be."""
        orders = []
        room = copyroom.CopyRoom(service, pool, self._history)
        needs = self._sort_with_aging(service, pool, copychoice.find_copy_needs(room))
        for name, first_gain in needs:
            gain, model = first_gain, pool.spec.model_by_name[name]
            for _ in range(copychoice.MAX_COPIES_AT_ONCE):
                choice = copychoice.choose_engine(room, model, gain)
                loads_before = len(pool.loading(name))
                orders += self._plan_copy(service, pool, model, choice)
                if len(pool.loading(name)) == loads_before:
                    if choice is not None:
                        is_free = choice[0].is_free
                        reason = copychoice.LOAD_LIMIT if is_free else copychoice.NO_ENGINE_FREE
                        room.reason_by_model[name] = reason
                    break
                room.update()
                if room.shortage(name) <= 0.0:
                    break
                gain = room.highest_gain(name)
        self._set_availability_of_loads(service, pool)
        for name in pool.demand:
            if pool.copies(name) and self._demand.get((service, name), NO_DEMAND).waiting:
                self._available_at.setdefault((service, name), pool.now + FULL_WAIT_S)
        self.copy_record.update(service, room)
        return orders

    def _sort_with_aging(
        self, service: str, pool: EnginePool, needs: list[tuple[str, float]]
    ) -> list[tuple[str, float]]:
        """Sort by gain, with priority aging of the models that have no copy."""
        missing = {name for name, _ in needs if not pool.copies(name)}
        known = self._missing_since.get(service, {})
        since = {name: known.get(name, pool.now) for name in missing}
        self._missing_since[service] = since

        def aged_gain(need: tuple[str, float]) -> float:
            name, gain = need
            return gain + AGING_GAIN_PER_S * (pool.now - since.get(name, pool.now))

        return sorted(needs, key=aged_gain, reverse=True)

    def _plan_copy(
        self,
        service: str,
        pool: EnginePool,
        model: ModelSpec,
        choice: tuple[EngineRecord, str, float] | None,
    ) -> list[OutgoingOrder]:
        """Return the first order for another copy of a model and record its availability time.

        :param choice: engine, model to evict first, and seconds until the copy is ready.
        """
        long_loads_s = pool.long_load_remaining_s()
        is_load_limit_reached = len(long_loads_s) >= max_low_demand_loads(
            pool.engines
        ) and not is_hot(pool.demand_for(model.name))
        must_wait = (
            choice is not None
            and is_load_limit_reached
            and not choice[0].has_local_weights(model.name)
        )
        if not pool.copies(model.name):
            # Without a choice now, assume that an engine becomes free within ``CAPACITY_WAIT_S``.
            wait = choice[2] if choice else model.disk_load_s + CAPACITY_WAIT_S
            if must_wait and long_loads_s:
                wait += pool.queue_long_load(model)
            self._set_available_at(service, model.name, pool.now + wait)
        if choice is None or must_wait:
            return []
        engine, victim, _ = choice
        if not engine.is_free or not self._admit_load(engine, model, pool.spec, pool.now):
            return []
        if victim:
            engine.planned_model = model.name
            engine.draining_model, engine.drain_started_at = victim, pool.now
            orders = self._unload_drained(engine, pool.now)
        else:
            orders = self._make_orders(engine, True, model.name, "", pool.now)
        pool.refresh(engine)
        return orders

    def _set_available_at(self, service: str, name: str, at: float) -> None:
        for item in self._items_by_model.get((service, name), ()):
            item_demand = self._demand[service, item]
            if item_demand.waiting or item_demand.unmet:
                self._available_at[service, item] = at

    def _load_planned_models(self, pool: EnginePool) -> list[OutgoingOrder]:
        """Load the planned models whose memory is free; their loads were admitted when planned."""
        orders = []
        spec = pool.spec
        for engine in pool.engines:
            if engine.draining_model not in engine.adapters or not engine.planned_model:
                engine.draining_model = ""
            if engine.draining_model:
                orders += self._unload_drained(engine, pool.now)
                pool.refresh(engine)
                continue
            model = spec.model_by_name.get(engine.planned_model)
            if not engine.planned_model or not engine.is_free:
                continue
            fits_in_memory = (
                engine.memory_mb(spec) + model.memory_mb <= spec.memory_mb if model else False
            )
            if model is None or model.name in engine.adapters or not fits_in_memory:
                engine.planned_model = ""
            else:
                orders += self._make_orders(engine, True, model.name, "", pool.now)
            pool.refresh(engine)
        return orders

    def _unload_drained(self, engine: EngineRecord, now: float) -> list[OutgoingOrder]:
        """Unload a draining model once no request uses it, or after ``MAX_DRAIN_S``."""
        is_used = engine.running_by_model.get(engine.draining_model, 0) > 0
        if not engine.is_free or (is_used and now - engine.drain_started_at < MAX_DRAIN_S):
            return []
        return self._make_orders(engine, False, engine.draining_model, "", now)

    def _warm_disk_caches(self, pool: EnginePool) -> list[OutgoingOrder]:
        """Before traffic, load the models with the fewest copies to put their weights on disk.

        A load from disk takes a fifth of the time of a load from the weight store, so demand that
        shifts to another model is served sooner.
        """
        orders = []
        spec, now = pool.spec, pool.now
        resident = {name: len(pool.copies(name)) for name in spec.model_by_name}
        copy_count = dict(resident)
        for engine in pool.engines:
            for name in spec.model_by_name:
                is_on_disk_only = name in engine.on_disk and name not in engine.adapters
                copy_count[name] += is_on_disk_only or is_loading(engine, name)
        for engine in pool.engines:
            # Only one load per engine can complete before traffic starts.
            if not engine.is_free or engine.planned_model or engine.loaded_at:
                continue
            candidates = [
                model
                for name, model in spec.model_by_name.items()
                if name not in engine.adapters and name not in engine.on_disk
                # Models with adapters have the most callers and the most variable demand, so they
                # are cached on two engines.
                and copy_count[name] < (2 if model.adapters else 1)
            ]
            model = min(candidates, key=lambda m: (copy_count[m.name], m.name), default=None)
            if model is None:
                continue
            victim = ""
            if engine.memory_mb(spec) + model.memory_mb > spec.memory_mb:
                victim = choose_warming_victim(spec, engine, resident)
                if not victim:
                    continue
            if not self._admit_load(engine, model, spec, now):
                break
            copy_count[model.name] += 1
            if victim:
                resident[victim] -= 1
                engine.planned_model = model.name
                orders += self._make_orders(engine, False, victim, "", now)
            else:
                orders += self._make_orders(engine, True, model.name, "", now)
            pool.refresh(engine)
        return orders

    def _demand_by_model(self, service: str) -> dict[str, Demand]:
        demand_by_model: dict[str, Demand] = {}
        for (owner, item), demand in self._demand.items():
            if owner == service and item:
                name = item.partition("/")[0]
                demand_by_model[name] = demand_by_model.get(name, NO_DEMAND).plus(demand)
        spec = self._table.service_by_name[service].engine if self._table else None
        decay = 0.5 ** ((self._now - self._term_started_at) / INHERITED_RATES_HALF_LIFE_S)
        for name, rate in self._inherited_rates.items():
            if (
                spec is not None
                and name in spec.model_by_name
                and rate * decay > MIN_INHERITED_RATE
            ):
                known = demand_by_model.get(name, NO_DEMAND)
                demand_by_model[name] = attrs.evolve(known, rate=max(known.rate, rate * decay))
        return demand_by_model

    def request_rates(self) -> dict[str, float]:
        """Return the requests per second by model, for the next lease holder."""
        rates: dict[str, float] = {}
        for (_, item), demand in self._demand.items():
            if item:
                name = item.partition("/")[0]
                rates[name] = rates.get(name, 0.0) + demand.rate
        highest = sorted(rates.items(), key=lambda pair: -pair[1])[:MAX_INHERITED_RATES]
        return {name: round(rate, 2) for name, rate in highest if rate >= MIN_INHERITED_RATE}

    def _adapter_rate_by_model(self, service: str) -> dict[str, float]:
        """Return the requests per second for adapters, by model."""
        rates: dict[str, float] = {}
        for (owner, item), demand in self._demand.items():
            model, _, adapter = item.partition("/")
            if adapter and owner == service:
                rates[model] = rates.get(model, 0.0) + demand.rate + demand.unmet
        return rates

    def _set_availability_of_loads(self, service: str, pool: EnginePool) -> None:
        for engine in pool.engines:
            pending = self._find_pending_load(pool, engine) if engine.is_usable else None
            if pending is None or pool.copies(pending[0]):
                continue
            name, at = pending
            for item in self._items_by_model.get((service, name), ()):
                known_at = self._available_at.get((service, item), float("inf"))
                self._available_at[service, item] = min(known_at, at)

    def _find_pending_load(
        self, pool: EnginePool, engine: EngineRecord
    ) -> tuple[str, float] | None:
        """Return the model that an engine loads now or next, and the expected end of the load."""
        order, in_flight_order = engine.open_order, engine.in_flight_order
        if order is not None and order.order.is_load:
            return order.order.model, pool.now + pool.busy_seconds(engine)
        is_load = (
            in_flight_order is not None and in_flight_order.is_load and not in_flight_order.adapter
        )
        model = pool.spec.model_by_name.get(
            in_flight_order.model if is_load else engine.planned_model
        )
        if model is None:
            return None
        at = pool.now + engine.load_seconds(model) + LOAD_MARGIN_S
        if engine.draining_model:
            is_used = engine.running_by_model.get(engine.draining_model, 0) > 0
            at += UNLOAD_S + (MEAN_DRAIN_S if is_used else 0.0)
        return model.name, at

    def _admit_load(
        self, engine: EngineRecord, model: ModelSpec, spec: EngineSpec, now: float
    ) -> bool:
        """Whether a load may start; one from the weight store is charged to its rate limit."""
        if engine.has_local_weights(model.name):
            return True
        window_s, recent_loads = self._bounds.load_window_s, self._recent_store_loads
        while recent_loads and recent_loads[0] <= now - window_s - LOAD_MARGIN_S:
            recent_loads.popleft()
        if len(recent_loads) + 1 > spec.loads_per_s * window_s * self._bounds.load_overage:
            return False
        recent_loads.append(now)
        return True

    def _plan_adapters(self, service: str, pool: EnginePool) -> list[OutgoingOrder]:
        if self._plans_by_capacity:
            return self._adapters.plan_by_capacity(
                service, pool, self._history, self._demand, self._available_at
            )
        return self._adapters.plan(service, pool, self._demand, self._available_at)
