"""Placement: decides which models should be resident on which endpoints."""

import random

from catkinhook.control.congestion import ItemLoad, estimate_load
from catkinhook.control.placementround import PlacementRound
from catkinhook.control.placementtypes import ModelDemand, Move, MoveKind, Replica
from catkinhook.state.documents import Catalog, Document, Model

__all__ = ["ModelDemand", "Move", "MoveKind", "Planner", "Replica"]

# Minimum time for which a loaded copy is kept, so that fluctuating demand causes no moves.
MIN_RESIDENCE_S = 120.0
# Half-life with which falling demand decays, for the same reason. Rising demand counts immediately.
DEMAND_DECAY_HALF_LIFE_S = 60.0
# Share of the hourly move budget that may be used in a burst, which a tenfold rise in demand needs.
BUDGET_BURST_SHARE = 0.25
# A move that is planned repeatedly within this time is charged only once.
CHARGE_DEDUP_S = 60.0


class Planner:
    """Planner of moves, with hysteresis and a move budget per service."""

    def __init__(self) -> None:
        self._demand: dict[str, ItemLoad] = {}
        self._planned_at: float | None = None
        self._loaded_at: dict[tuple[str, str], float] = {}
        self._charged_at: dict[tuple[MoveKind, str, str], float] = {}
        self._budget: dict[str, float] = {}

    def plan(
        self,
        catalog: Catalog,
        replicas: list[Replica],
        demand_by_item: dict[str, ModelDemand],
        now: float,
        rng: random.Random,
    ) -> list[Move]:
        """Return the moves to make now, most urgent first.

        :param now: seconds on the local monotonic clock.
        """
        elapsed = 0.0 if self._planned_at is None else max(0.0, now - self._planned_at)
        self._smooth_demand(demand_by_item, elapsed)
        self._record_loads(replicas, now)
        moves: list[Move] = []
        for service in sorted(catalog.document_by_service):
            document = catalog.document_by_service[service]
            own_replicas = [r for r in replicas if r.service == service]
            models = [m for m in document.models if _is_owner(catalog, m, document)]
            if not own_replicas or not models:
                continue
            self._refill_budget(document, elapsed)
            recently_loaded = self._loaded_at.keys()
            placement_round = PlacementRound(
                document, models, own_replicas, self._demand, recently_loaded, rng
            )
            placement_round.run(self._budget[service])
            moves += placement_round.moves
            self._charge(service, placement_round.charged, now)
        self._planned_at = now
        return sorted(moves, key=lambda move: not move.urgent)

    def _smooth_demand(self, demand_by_item: dict[str, ModelDemand], elapsed: float) -> None:
        decay = 0.5 ** (elapsed / DEMAND_DECAY_HALF_LIFE_S)
        smoothed = {}
        for item in self._demand.keys() | demand_by_item.keys():
            demand = demand_by_item.get(item, ModelDemand())
            # Gateways count refused requests in the request rate too.
            rate = max(demand.requests_per_second, demand.unmet)
            current = estimate_load(rate, demand.unmet, demand.in_progress)
            previous = self._demand.get(item, ItemLoad(0.0, 0.0))
            smoothed_load = ItemLoad(
                max(current.rate, previous.rate * decay), max(current.work, previous.work * decay)
            )
            if smoothed_load.rate > 1e-3:
                smoothed[item] = smoothed_load
        self._demand = smoothed

    def _record_loads(self, replicas: list[Replica], now: float) -> None:
        loading = {(r.endpoint, item) for r in replicas for item in r.loading}
        for key in loading:
            self._loaded_at[key] = now
        for key in [k for k, at in self._loaded_at.items() if now - at > MIN_RESIDENCE_S]:
            del self._loaded_at[key]

    def _refill_budget(self, document: Document, elapsed: float) -> None:
        moves_per_hour = document.placement.moves_per_hour
        capacity = max(2.0, moves_per_hour * BUDGET_BURST_SHARE)
        balance = self._budget.get(document.service, capacity)
        self._budget[document.service] = min(capacity, balance + moves_per_hour * elapsed / 3600.0)

    def _charge(self, service: str, moves: list[Move], now: float) -> None:
        for key in [k for k, at in self._charged_at.items() if now - at > CHARGE_DEDUP_S]:
            del self._charged_at[key]
        for move in moves:
            key = (move.kind, move.endpoint, move.item)
            if key not in self._charged_at:
                self._charged_at[key] = now
                self._budget[service] -= 1.0


def _is_owner(catalog: Catalog, model: Model, document: Document) -> bool:
    entry = catalog.entry_by_model.get(model.name)
    return entry is not None and entry.document.service == document.service
