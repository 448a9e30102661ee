"""Index of one service's engines during one planning pass, with cached derived values."""

from collections.abc import Iterable

from catkinhook.control.enginerecords import (
    NO_DEMAND,
    Demand,
    EngineRecord,
    is_loading,
)
from catkinhook.requests.routetable import EngineSpec, ModelSpec

# Remaining seconds above which a load counts as long.
LONG_LOAD_S = 2.0
# Remaining seconds assumed for an order whose completion only a report can show.
UNKNOWN_REMAINING_S = 0.5


class EnginePool:
    """Copies of each model and the demand for them, as one plan uses them.

    A plan looks up the same values for each pair of model and engine. Without a cache this took
    seconds with 45 engines and 196 models, so the values are cached until ``refresh``.

    :param demand: demand by model, adapters included.
    :param adapter_rates: requests per second for the adapters of a model, by model.
    :ivar victim_by_id: model whose eviction from an engine costs least, and that cost.
    """

    def __init__(
        self,
        spec: EngineSpec,
        engines: Iterable[EngineRecord],
        demand: dict[str, Demand],
        adapter_rates: dict[str, float],
        now: float,
    ) -> None:
        self.spec = spec
        self.engines = list(engines)
        self.demand = demand
        self.now = now
        self.victim_by_id: dict[str, tuple[str, float] | None] = {}
        self._adapter_rate_by_model = adapter_rates
        self._copies_by_model: dict[str, list[EngineRecord]] = {}
        self._loading_by_model: dict[str, list[EngineRecord]] = {}
        self._models_by_id: dict[str, tuple[frozenset[str], frozenset[str]]] = {}
        self._load_candidates: list[EngineRecord] | None = None
        self._queued_loads = 0
        self._long_load_remaining_s: list[float] | None = None
        self._memory_by_id: dict[str, float] = {}
        self._rate_by_id: dict[str, float] = {}
        for engine in self.engines:
            self._index(engine)

    def copies(self, name: str) -> list[EngineRecord]:
        """Return the usable engines that may receive requests for a model."""
        return self._copies_by_model.get(name, [])

    def loading(self, name: str) -> list[EngineRecord]:
        """Return the usable engines that are loading a model or are planned to load it."""
        return self._loading_by_model.get(name, [])

    def usable_models(self, engine: EngineRecord) -> frozenset[str]:
        """Return the models of an engine that may receive requests."""
        return self._models_by_id[engine.view.endpoint][0]

    def memory_mb(self, engine: EngineRecord) -> float:
        """Return an engine's memory use after its loads in progress, in MB."""
        endpoint = engine.view.endpoint
        if endpoint not in self._memory_by_id:
            self._memory_by_id[endpoint] = engine.memory_mb(self.spec)
        return self._memory_by_id[endpoint]

    def adapter_rate(self, engine: EngineRecord) -> float:
        """Return the engine's share of the requests per second for adapters of its models."""
        endpoint = engine.view.endpoint
        if endpoint not in self._rate_by_id:
            self._rate_by_id[endpoint] = sum(
                self._adapter_rate_by_model.get(name, 0.0) / max(1, len(self.copies(name)))
                for name in engine.adapters
            )
        return self._rate_by_id[endpoint]

    def load_candidates(self) -> list[EngineRecord]:
        """Return the engines that a model load can be planned on."""
        if self._load_candidates is None:
            self._load_candidates = [
                engine
                for engine in self.engines
                if engine.is_usable
                and engine.sequence >= 0
                and engine.resync_at is None
                and not engine.planned_model
                and not engine.is_unloading_adapter
            ]
        return self._load_candidates

    def busy_seconds(self, engine: EngineRecord, longest_s: float = float("inf")) -> float:
        """Return the seconds until an engine completes its order, capped at ``longest_s``."""
        if engine.open_order is None:
            return 0.0
        remaining_s = engine.open_order.done_at - self.now
        return min(remaining_s, longest_s) if remaining_s != float("inf") else UNKNOWN_REMAINING_S

    def long_load_remaining_s(self) -> list[float]:
        """Return the seconds until each long load ends, infinite for one that has not started."""
        if self._long_load_remaining_s is None:
            usable = (engine for engine in self.engines if engine.is_usable)
            remaining = (self._remaining_long_load_s(engine) for engine in usable)
            self._long_load_remaining_s = sorted(
                seconds for seconds in remaining if seconds is not None
            )
        return self._long_load_remaining_s

    def queue_long_load(self, model: ModelSpec) -> float:
        """Queue a long load behind those in progress and return the seconds until it may start."""
        remaining = self.long_load_remaining_s()
        rounds, index = divmod(self._queued_loads, len(remaining))
        self._queued_loads += 1
        return min(remaining[index], model.load_s) + rounds * model.load_s

    def _remaining_long_load_s(self, engine: EngineRecord) -> float | None:
        if engine.open_order is not None and engine.open_order.order.is_load:
            remaining_s = self.busy_seconds(engine)
            return remaining_s if remaining_s > LONG_LOAD_S else None
        is_load = (
            engine.in_flight_order is not None
            and engine.in_flight_order.is_load
            and not engine.in_flight_order.adapter
        )
        model = self.spec.model_by_name.get(
            engine.in_flight_order.model if is_load else engine.planned_model
        )
        is_long = model is not None and engine.load_seconds(model) > LONG_LOAD_S
        return float("inf") if is_long else None

    def demand_for(self, name: str) -> Demand:
        """Return the demand for a model, adapters included."""
        return self.demand.get(name, NO_DEMAND)

    def refresh(self, engine: EngineRecord) -> None:
        """Update the cached values after the plan has changed an engine."""
        self._unindex(engine)
        self._index(engine)
        self._memory_by_id.pop(engine.view.endpoint, None)
        self._rate_by_id.clear()
        self.victim_by_id.clear()
        self._load_candidates = self._long_load_remaining_s = None

    def _index(self, engine: EngineRecord) -> None:
        usable = engine.usable_models()
        loading = frozenset(name for name in _pending_models(engine) if is_loading(engine, name))
        self._models_by_id[engine.view.endpoint] = (usable, loading)
        if not engine.is_usable:
            return
        for name in usable:
            self._copies_by_model.setdefault(name, []).append(engine)
        for name in loading:
            self._loading_by_model.setdefault(name, []).append(engine)

    def _unindex(self, engine: EngineRecord) -> None:
        usable, loading = self._models_by_id.pop(engine.view.endpoint)
        for names, by_model in (
            (usable, self._copies_by_model),
            (loading, self._loading_by_model),
        ):
            for name in names:
                if name in by_model:
                    by_model[name] = [other for other in by_model[name] if other is not engine]


def _pending_models(engine: EngineRecord) -> set[str]:
    orders = (engine.in_flight_order, engine.open_order.order if engine.open_order else None)
    names = {engine.planned_model} | {order.model for order in orders if order is not None}
    return names - {""}
