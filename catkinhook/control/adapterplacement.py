"""Placement of adapters: which engine loads an adapter, and which one it evicts.

The load pattern of the placement by capacity: a fifth of the streams use some of hundreds of
adapters, of which an engine holds eight. Adapters that only full endpoints hold are needed on
another endpoint of the model, and adapters that are evicted are requested again soon.
"""

from collections.abc import Callable

import attrs

from catkinhook.control.demandhistory import DemandHistory
from catkinhook.control.enginepool import EnginePool
from catkinhook.control.enginerecords import Demand, EngineRecord, OutgoingOrder, estimate_free_at
from catkinhook.requests.routetable import EngineSpec, ModelSpec

# Load time of an adapter: a fixed part and a part per MB. Source: the platform's data sheets give
# 6.3 ms for 12 MB and 19 ms for 66 MB.
ADAPTER_BASE_S = 0.008
ADAPTER_S_PER_MB = 0.0003
# Adapters that one engine may load at once. Source: the platform's documentation of engines.
MAX_LOADING_ADAPTERS = 4
# Minimum time since the last use of an adapter before it may be evicted for another one.
ADAPTER_MIN_IDLE_S = 0.3
# The same if no request waits for the adapter that is to be loaded. Refused callers retry within a
# few seconds, and without this limit two such adapters would evict each other in turn.
NO_WAITERS_MIN_IDLE_S = 2.0
# Refused requests per second above which an item without waiting requests is loaded.
MIN_UNMET_RATE = 0.05
# Requests in progress per copy of an adapter at which another copy is loaded.
ADAPTER_SCALE_OUT_REQUESTS = 12
# Time since the last use within which an adapter is evicted only if no other one can be.
RECENT_USE_S = 2.0
# Share of an endpoint's slots in use from which it counts as full for the adapters that it holds.
FULL_USE_SHARE = 0.8
# Share of an endpoint's slots that must be free before it receives another copy of an adapter that
# full endpoints hold.
MIN_FREE_SHARE = 0.25
# Weights of the use of an endpoint's slots, and of the mean request rate of the adapter to evict,
# when the endpoint for an adapter is chosen.
USE_WEIGHT = 1.0
EVICTION_WEIGHT = 8.0
# Cost of an eviction beside that: an order, and a later load.
EVICTION_COST = 0.3
# Advantage of the endpoint that held the adapter last.
LAST_PLACE_BONUS = 0.1
# Seconds until a request that waits for a slot is expected to start, if nothing is loaded for it.
FULL_WAIT_S = 0.2


@attrs.frozen(kw_only=True)
class _AdapterNeed:
    """An adapter that requests wait for."""

    service: str
    model: ModelSpec
    adapter: str
    demand: Demand

    @property
    def item(self) -> str:
        return f"{self.model.name}/{self.adapter}"


class AdapterPlanner:
    """Plans adapter loads and unloads, and tracks the use of adapters.

    :param make_orders: returns the order to load or unload a model or adapter, empty while it is
        not safe; parameters: engine, whether it is a load, model, adapter, time.
    """

    def __init__(
        self, make_orders: Callable[[EngineRecord, bool, str, str, float], list[OutgoingOrder]]
    ) -> None:
        self._make_orders = make_orders
        self._last_used_at: dict[str, float] = {}
        self._last_place: dict[str, str] = {}

    def record_demand(self, demand: dict[tuple[str, str], Demand], now: float) -> None:
        """Record which items are in use, from the aggregated demand of all hosts."""
        for (_, item), item_demand in demand.items():
            if item_demand.running or item_demand.waiting:
                self._last_used_at[item] = now

    def plan(
        self,
        service: str,
        pool: EnginePool,
        demand_by_item: dict[tuple[str, str], Demand],
        available_at: dict[tuple[str, str], float],
    ) -> list[OutgoingOrder]:
        """Return the orders for the adapters that requests wait for.

        :param demand_by_item: demand by service and item.
        :param available_at: expected times of missing items, which are added.
        """
        orders = []
        spec, now = pool.spec, pool.now
        requested = [
            (demand, item)
            for (owner, item), demand in demand_by_item.items()
            if owner == service
            and "/" in item
            and (demand.waiting or demand.unmet > MIN_UNMET_RATE)
        ]
        for demand, item in sorted(requested, key=lambda pair: -pair[0].waiting):
            name, _, adapter = item.partition("/")
            model = spec.model_by_name.get(name)
            copies = pool.copies(name)
            if model is None or not copies:
                continue
            ready_times = [
                e.ready_at_by_adapter[item] for e in copies if item in e.ready_at_by_adapter
            ]
            with_adapter = [e for e in copies if adapter in e.adapters[name]]
            if ready_times:
                available_at[service, item] = min(ready_times)
                continue
            if with_adapter and demand.running < ADAPTER_SCALE_OUT_REQUESTS * len(with_adapter):
                continue
            earliest_free_at = min(estimate_free_at(engine, now) for engine in copies)
            available_at.setdefault((service, item), earliest_free_at + 2 * ADAPTER_BASE_S)
            for engine in sorted(copies, key=lambda e: (e.running, e.view.endpoint)):
                is_outcome_unknown = (
                    engine.unanswered_order is not None or engine.resync_at is not None
                )
                if (
                    engine in with_adapter
                    or engine.in_flight_order is not None
                    or is_outcome_unknown
                ):
                    continue
                min_idle_s = ADAPTER_MIN_IDLE_S if demand.waiting else NO_WAITERS_MIN_IDLE_S
                adapter_orders = self._load_adapter(spec, engine, model, adapter, min_idle_s, now)
                orders += adapter_orders
                if adapter_orders:
                    break
        return orders

    def _load_adapter(
        self,
        spec: EngineSpec,
        engine: EngineRecord,
        model: ModelSpec,
        adapter: str,
        min_idle_s: float,
        now: float,
    ) -> list[OutgoingOrder]:
        """Return the next order for loading an adapter: its load, or an unload that makes room.

        :param min_idle_s: seconds since its last use after which an adapter may be evicted.
        """
        # Engines refuse adapter orders while they execute a model order.
        if engine.open_order is not None or len(engine.ready_at_by_adapter) >= MAX_LOADING_ADAPTERS:
            return []
        loaded = engine.resident_adapters()
        has_free_slot = len(loaded) + len(engine.ready_at_by_adapter) < spec.adapter_slots
        if has_free_slot and engine.memory_mb(spec) + model.adapter_mb <= spec.memory_mb:
            return self._make_orders(engine, True, model.name, adapter, now)
        never = float("-inf")
        last_used_at = {
            i: max(self._last_used_at.get(i, never), engine.loaded_at.get(i, never)) for i in loaded
        }
        idle_adapters = [item for item in loaded if now - last_used_at[item] >= min_idle_s]
        if not idle_adapters:
            return []
        victim = min(idle_adapters, key=lambda item: (last_used_at[item], item))
        name, _, victim_adapter = victim.partition("/")
        return self._make_orders(engine, False, name, victim_adapter, now)

    # Placement by capacity.

    def plan_by_capacity(
        self,
        service: str,
        pool: EnginePool,
        history: DemandHistory,
        demand_by_item: dict[tuple[str, str], Demand],
        available_at: dict[tuple[str, str], float],
    ) -> list[OutgoingOrder]:
        """Return the orders for adapters that no endpoint with room holds.

        :param demand_by_item: demand by service and item.
        :param available_at: expected times of missing items, which are added.
        """
        needs = [
            _AdapterNeed(service=service, model=model, adapter=adapter, demand=demand)
            for (owner, item), demand in demand_by_item.items()
            if owner == service and (demand.waiting or demand.unmet > MIN_UNMET_RATE)
            for name, _, adapter in [item.partition("/")]
            if adapter and (model := pool.spec.model_by_name.get(name)) is not None
        ]
        orders = []
        for need in sorted(needs, key=lambda need: (-need.demand.waiting, need.item)):
            orders += self._place(need, pool, history, available_at)
        return orders

    def _place(
        self,
        need: _AdapterNeed,
        pool: EnginePool,
        history: DemandHistory,
        available_at: dict[tuple[str, str], float],
    ) -> list[OutgoingOrder]:
        """Return the next order for one adapter, on the endpoint where it costs least."""
        copies, now = pool.copies(need.model.name), pool.now
        if not copies:
            return []
        ready_times = [
            engine.ready_at_by_adapter[need.item]
            for engine in copies
            if need.item in engine.ready_at_by_adapter
        ]
        if ready_times:
            available_at[need.service, need.item] = min(ready_times)
            return []
        holders = [e for e in copies if need.adapter in e.adapters.get(need.model.name, ())]
        use_by_id = {e.view.endpoint: _use_share(e, pool.spec) for e in copies}
        is_lacking_room = all(use_by_id[e.view.endpoint] >= FULL_USE_SHARE for e in holders)
        is_in_heavy_use = need.demand.running >= ADAPTER_SCALE_OUT_REQUESTS * len(holders)
        if holders and not (is_lacking_room or is_in_heavy_use):
            if need.demand.waiting:
                available_at.setdefault((need.service, need.item), now + FULL_WAIT_S)
            return []
        wait_s = FULL_WAIT_S if holders else 2 * ADAPTER_BASE_S
        earliest_free_at = min(estimate_free_at(engine, now) for engine in copies)
        available_at.setdefault((need.service, need.item), earliest_free_at + wait_s)
        choices = []
        for engine in copies:
            use = use_by_id[engine.view.endpoint]
            if engine in holders or not _accepts_adapter(engine):
                continue
            if holders and use > 1.0 - MIN_FREE_SHARE:
                continue
            choice = self._choose_victim(need, engine, pool, history)
            if choice is not None:
                victim, cost = choice
                cost += USE_WEIGHT * use
                if self._last_place.get(need.item) == engine.view.endpoint:
                    cost -= LAST_PLACE_BONUS
                choices.append((cost, engine.view.endpoint, engine, victim))
        for _, endpoint, engine, victim in sorted(choices, key=lambda choice: choice[:2]):
            if victim:
                name, _, adapter = victim.partition("/")
                orders = self._make_orders(engine, False, name, adapter, now)
            else:
                orders = self._make_orders(engine, True, need.model.name, need.adapter, now)
            if orders:
                self._last_place[need.item] = endpoint
                return orders
        return []

    def _choose_victim(
        self, need: _AdapterNeed, engine: EngineRecord, pool: EnginePool, history: DemandHistory
    ) -> tuple[str, float] | None:
        """Return the adapter to evict, empty for none, and the cost; None if there is no room."""
        spec, now = pool.spec, pool.now
        loaded = engine.resident_adapters()
        has_free_slot = len(loaded) + len(engine.ready_at_by_adapter) < spec.adapter_slots
        if has_free_slot and pool.memory_mb(engine) + need.model.adapter_mb <= spec.memory_mb:
            return "", 0.0
        idle_s = {item: now - self._used_at(engine, item) for item in loaded}
        min_idle_s = ADAPTER_MIN_IDLE_S if need.demand.waiting else NO_WAITERS_MIN_IDLE_S
        evictable = [item for item in loaded if idle_s[item] >= min_idle_s]
        if not evictable:
            return None
        victim = min(evictable, key=lambda item: (idle_s[item] < RECENT_USE_S, -idle_s[item], item))
        cost = EVICTION_COST + EVICTION_WEIGHT * history.find(need.service, victim).mean_rate
        return victim, cost + (1.0 if idle_s[victim] < RECENT_USE_S else 0.0)

    def _used_at(self, engine: EngineRecord, item: str) -> float:
        never = float("-inf")
        return max(self._last_used_at.get(item, never), engine.loaded_at.get(item, never))


def _use_share(engine: EngineRecord, spec: EngineSpec) -> float:
    """Return the share of an engine's slots that requests of all hosts use."""
    return engine.running / max(1, spec.slots)


def _accepts_adapter(engine: EngineRecord) -> bool:
    """Whether an engine may receive an order for an adapter now."""
    return (
        engine.open_order is None
        and engine.in_flight_order is None
        and engine.unanswered_order is None
        and engine.resync_at is None
        and len(engine.ready_at_by_adapter) < MAX_LOADING_ADAPTERS
    )
