"""One placement round of a service: required and preferred copies, beneficial moves, adapters."""

import random
from collections.abc import Collection, Iterable

from catkinhook.control.congestion import Congestion, ItemLoad, mean_speed, work_capacities
from catkinhook.control.placementtypes import Move, MoveKind, Replica
from catkinhook.state.documents import CallerClass, Document, Model
from catkinhook.state.modelnames import split_model

# Copies of each model where memory allows, in different availability zones.
PREFERRED_COPIES = 2
MAX_BENEFICIAL_MOVES = 4
MAX_EXAMINED_MODELS = 8
MAX_EXAMINED_REPLICAS = 6


class PlacementRound:
    """One placement round of one service.

    :param models: models that this service's document owns.
    :param demand: load by model or ``model/adapter``.
    :param recently_loaded: pairs of endpoint and model that only urgent loads may evict.
    :ivar moves: planned moves.
    :ivar charged: the moves that count against the budget.
    """

    def __init__(
        self,
        document: Document,
        models: list[Model],
        replicas: list[Replica],
        demand: dict[str, ItemLoad],
        recently_loaded: Collection[tuple[str, str]],
        rng: random.Random,
    ) -> None:
        self._document = document
        self._model_by_name = {model.name: model for model in models}
        self._replica_by_id = {r.endpoint: r for r in replicas if not r.leaving}
        self._recently_loaded = recently_loaded
        self._rng = rng
        self._tie_break = {endpoint: rng.random() for endpoint in sorted(self._replica_by_id)}
        self._free_bytes = {e: r.memory - r.reserved for e, r in self._replica_by_id.items()}
        self._free_bytes_after_unloads = {
            endpoint: replica.memory - self._used_memory(replica)
            for endpoint, replica in self._replica_by_id.items()
        }
        self._resident_by_model: dict[str, set[str]] = {name: set() for name in self._model_by_name}
        self._endpoints_by_model: dict[str, set[str]] = {
            name: set() for name in self._model_by_name
        }
        for endpoint, replica in self._replica_by_id.items():
            for name in replica.models & self._model_by_name.keys():
                self._resident_by_model[name].add(endpoint)
                self._endpoints_by_model[name].add(endpoint)
            for name in replica.loading & self._model_by_name.keys():
                self._endpoints_by_model[name].add(endpoint)
        self._zone_count = len({r.zone for r in self._replica_by_id.values()})
        self._demand = demand
        self._load = self._aggregate_load()
        self._congestion = Congestion(
            _capacities(document, self._replica_by_id.values()),
            self._load,
            self._endpoints_by_model,
        )
        loading = sum(len(r.loading) for r in replicas)
        self._remaining_loads = max(0, document.endpoints.weight_store.loads_at_once - loading)
        self._pending_models: set[str] = set()
        self.moves: list[Move] = []
        self.charged: list[Move] = []

    def run(self, budget: float) -> None:
        """Plan the moves.

        :param budget: number of moves that may be charged.
        """
        self._restore_required_copies()
        self._add_adapters()
        self._add_preferred_copies(budget)
        self._add_beneficial_moves(budget)

    def _aggregate_load(self) -> dict[str, ItemLoad]:
        """Sum the demand for each model and its adapters, with work in tokens per second.

        The work is not measured in requests in progress, because a slower endpoint has more of them
        at the same request rate.
        """
        speeds = {e: r.tokens_per_second for e, r in self._replica_by_id.items()}
        mean = mean_speed(speeds.values())
        load: dict[str, ItemLoad] = {}
        for item, item_load in self._demand.items():
            name, _ = split_model(item)
            if name in self._model_by_name:
                known_speeds = [
                    speeds[e] or mean for e in sorted(self._resident_by_model[name])
                ] or [mean]
                # The mean is weighted by speed, because faster endpoints get more of the requests.
                speed = sum(s * s for s in known_speeds) / sum(known_speeds)
                total = load.get(name, ItemLoad(0.0, 0.0))
                load[name] = ItemLoad(
                    total.rate + item_load.rate, total.work + item_load.work * speed
                )
        return load

    def _used_memory(self, replica: Replica) -> int:
        names = replica.models | replica.loading
        used = sum(self._model_by_name[n].memory for n in names if n in self._model_by_name)
        return used + sum(self._adapter_memory(item) for item in replica.adapters)

    def _adapter_memory(self, item: str) -> int:
        name, adapter = split_model(item)
        model = self._model_by_name.get(name)
        adapters = model.adapters if model else ()
        return next((a.memory for a in adapters if a.name == adapter), 0)

    def _restore_required_copies(self) -> None:
        under_replicated = [
            m
            for m in self._model_by_name.values()
            if len(self._endpoints_by_model[m.name]) < m.copies
        ]
        under_replicated.sort(
            key=lambda m: (len(self._resident_by_model[m.name]), -self._rate(m.name), m.name)
        )
        for model in under_replicated:
            urgent = not self._resident_by_model[model.name]
            for _ in range(model.copies - len(self._endpoints_by_model[model.name])):
                if not self._load_copy(model, urgent) and not self._evict_surplus_copies(model):
                    break

    def _add_preferred_copies(self, budget: float) -> None:
        models = sorted(self._model_by_name.values(), key=lambda m: (-self._rate(m.name), m.name))
        for model in models:
            if len(self.charged) + 1 > budget:
                return
            endpoints = self._endpoints_by_model[model.name]
            if (
                not endpoints
                or len(endpoints) >= model.max_copies
                or self._is_spread_over_zones(endpoints)
            ):
                continue
            used_zones = self._zones(endpoints)
            targets = [
                e for e in self._endpoints_with_room(model) if self._zone(e) not in used_zones
            ]
            if not targets and len(endpoints) < PREFERRED_COPIES:
                targets = self._endpoints_with_room(model)
            if targets:
                self._plan_load(model, self._choose_target(targets), charged=True)

    def _add_beneficial_moves(self, budget: float) -> None:
        for _ in range(MAX_BENEFICIAL_MOVES):
            best = max(self._propose_moves(), key=lambda p: p[0], default=None)
            if best is None or best[0] <= 0 or self._remaining_loads <= 0:
                return
            _, model, endpoint, victims = best
            cost = 1 + sum(2 if self._find_relocation_target(v, endpoint) else 1 for v in victims)
            if len(self.charged) + cost > budget:
                return
            # A victim that must keep its number of copies is first loaded elsewhere. Memory is free
            # only after the unload has closed, so the load itself is planned in a later round.
            for victim in victims:
                target = self._find_relocation_target(victim, endpoint)
                if target:
                    self._plan_load(victim, target, charged=True)
                else:
                    self._plan_unload(victim, endpoint, charged=True)
            if victims:
                self._free_bytes_after_unloads[endpoint] -= model.memory
                self._pending_models.add(model.name)
            else:
                self._plan_load(model, endpoint, charged=True)

    def _propose_moves(self) -> Iterable[tuple[float, Model, str, list[Model]]]:
        cost = self._document.placement.move_cost
        congested = sorted(self._load, key=lambda n: (-self._congestion.expected_misses(n), n))
        by_load = sorted(
            self._replica_by_id, key=lambda e: (self._congestion.utilization(e), self._tie_break[e])
        )
        for name in congested[:MAX_EXAMINED_MODELS]:
            model, endpoints = self._model_by_name[name], self._endpoints_by_model[name]
            if len(endpoints) >= model.max_copies or not endpoints or name in self._pending_models:
                continue
            for endpoint in [e for e in by_load if e not in endpoints][:MAX_EXAMINED_REPLICAS]:
                gain = self._congestion.miss_reduction(name, endpoints | {endpoint})
                if gain <= cost:
                    continue
                victims = self._find_victims(model, endpoint)
                if victims is None:
                    continue
                value = (
                    gain - sum(self._eviction_cost(victim, endpoint) for victim in victims) - cost
                )
                if value > 0:
                    yield value, model, endpoint, victims

    def _eviction_cost(self, victim: Model, endpoint: str) -> float:
        """Return the cost of unloading a copy, including that of the moves."""
        endpoints = self._endpoints_by_model[victim.name] - {endpoint}
        target = self._find_relocation_target(victim, endpoint)
        moves = 1
        if target:
            endpoints, moves = endpoints | {target}, 2
        loss = max(0.0, -self._congestion.miss_reduction(victim.name, endpoints))
        return loss + moves * self._document.placement.move_cost

    def _find_relocation_target(self, victim: Model, endpoint: str) -> str:
        """Return the endpoint to load a copy on before the unload, or ``""`` when there is none."""
        if self._may_unload(victim, endpoint, urgent=False):
            return ""
        remaining = self._resident_by_model[victim.name] - {endpoint}
        targets = [
            e
            for e in self._endpoints_with_room(victim)
            if e != endpoint and self._is_spread_over_zones(remaining | {e})
        ]
        return self._choose_target(targets) if targets else ""

    def _find_victims(
        self, model: Model, endpoint: str, urgent: bool = False
    ) -> list[Model] | None:
        """Return the models to unload so that a model fits, or None if that is impossible now.

        The list is empty if the model fits without an unload. The result is also None while open or
        planned unloads still have to free the memory.
        """
        if self._free_bytes_after_unloads[endpoint] >= model.memory:
            return [] if self._free_bytes[endpoint] >= model.memory else None
        missing = model.memory - self._free_bytes_after_unloads[endpoint]
        candidates = [
            other
            for name, other in self._model_by_name.items()
            if endpoint in self._resident_by_model[name]
            and (
                self._may_unload(other, endpoint, urgent)
                or (not urgent and self._may_relocate(other, endpoint))
            )
        ]
        candidates.sort(key=lambda m: (self._rate(m.name) / m.memory, m.name))
        victims: list[Model] = []
        for other in candidates:
            if missing <= 0:
                break
            victims.append(other)
            missing -= other.memory
        return victims if missing <= 0 else None

    def _may_relocate(self, model: Model, endpoint: str) -> bool:
        is_moving = self._endpoints_by_model[model.name] != self._resident_by_model[model.name]
        is_recent = (endpoint, model.name) in self._recently_loaded
        return (
            not is_moving and not is_recent and bool(self._find_relocation_target(model, endpoint))
        )

    def _may_unload(self, model: Model, endpoint: str, urgent: bool) -> bool:
        remaining = self._resident_by_model[model.name] - {endpoint}
        if len(remaining) < model.copies:
            return False
        if urgent:
            return True
        return (endpoint, model.name) not in self._recently_loaded and self._is_spread_over_zones(
            remaining
        )

    def _evict_surplus_copies(self, model: Model) -> bool:
        """Unload surplus copies of other models to make room for a model that lacks copies.

        The model itself is loaded in a later round, when the memory is free.

        :returns: whether room was found.
        """
        endpoints = self._endpoints_by_model[model.name]
        options = []
        for endpoint in self._replica_by_id:
            if endpoint in endpoints:
                continue
            if self._free_bytes_after_unloads[endpoint] >= model.memory:
                self._free_bytes_after_unloads[endpoint] -= model.memory
                return True
            victims = self._find_victims(model, endpoint, urgent=True)
            if victims:
                options.append((len(victims), self._tie_break[endpoint], endpoint, victims))
        if not options:
            return False
        _, _, endpoint, victims = min(options, key=lambda option: option[:2])
        for victim in victims:
            self._plan_unload(victim, endpoint, charged=False)
        self._free_bytes_after_unloads[endpoint] -= model.memory
        return True

    def _load_copy(self, model: Model, urgent: bool) -> bool:
        targets = self._endpoints_with_room(model)
        if not targets:
            return False
        used_zones = self._zones(self._endpoints_by_model[model.name])
        in_other_zones = [
            endpoint for endpoint in targets if self._zone(endpoint) not in used_zones
        ]
        self._plan_load(
            model, self._choose_target(in_other_zones or targets), charged=False, urgent=urgent
        )
        return True

    def _endpoints_with_room(self, model: Model) -> list[str]:
        if self._remaining_loads <= 0:
            return []
        return [
            endpoint
            for endpoint in self._replica_by_id
            if endpoint not in self._endpoints_by_model[model.name]
            and min(self._free_bytes[endpoint], self._free_bytes_after_unloads[endpoint])
            >= model.memory
        ]

    def _choose_target(self, targets: list[str]) -> str:
        """Return the target with the lowest sum of utilization and used share of memory."""
        return min(targets, key=lambda e: (self._utilization(e), self._tie_break[e]))

    def _utilization(self, endpoint: str) -> float:
        memory = self._replica_by_id[endpoint].memory
        used = 1.0 - self._free_bytes[endpoint] / memory if memory else 1.0
        return round(self._congestion.utilization(endpoint) + used, 2)

    def _add_adapters(self) -> None:
        """Keep each adapter on one copy of its model, two with demand, all with high demand."""
        remaining_loads = self._document.endpoints.adapters_in_flight // 2
        for name, model in self._model_by_name.items():
            for adapter in model.adapters:
                item = f"{name}/{adapter.name}"
                endpoints = sorted(self._resident_by_model[name])
                holding_endpoints = [
                    e for e in endpoints if item in self._replica_by_id[e].adapters
                ]
                wanted_copies = self._wanted_adapter_copies(item, len(endpoints))
                candidates = [e for e in endpoints if e not in holding_endpoints]
                candidates.sort(key=lambda e: (self._congestion.utilization(e), self._tie_break[e]))
                for endpoint in candidates[: max(0, wanted_copies - len(holding_endpoints))]:
                    if remaining_loads > 0 and self._ensure_adapter_memory(
                        endpoint, adapter.memory
                    ):
                        remaining_loads -= 1
                        self._plan_adapter_load(
                            endpoint, item, adapter.memory, urgent=not holding_endpoints
                        )

    def _wanted_adapter_copies(self, item: str, copies: int) -> int:
        demand = self._demand.get(item)
        if demand is None:
            return min(1, copies)
        # The gain of another copy is at most the request rate for the adapter.
        is_worthwhile = demand.rate > self._document.placement.move_cost
        return copies if is_worthwhile else min(PREFERRED_COPIES, copies)

    def _ensure_adapter_memory(self, endpoint: str, memory: int) -> bool:
        if min(self._free_bytes[endpoint], self._free_bytes_after_unloads[endpoint]) >= memory:
            return True
        if self._free_bytes_after_unloads[endpoint] >= memory:
            return False
        resident = self._replica_by_id[endpoint].adapters
        idle_adapters = [item for item in sorted(resident) if item not in self._demand]
        for item in idle_adapters:
            elsewhere = any(
                item in r.adapters for e, r in self._replica_by_id.items() if e != endpoint
            )
            if elsewhere and self._adapter_memory(item) >= memory:
                self.moves.append(Move(kind=MoveKind.UNLOAD_ADAPTER, endpoint=endpoint, item=item))
                self._free_bytes_after_unloads[endpoint] += self._adapter_memory(item) - memory
                return False
        return False

    def _plan_adapter_load(self, endpoint: str, item: str, memory: int, urgent: bool) -> None:
        self._free_bytes[endpoint] -= memory
        self._free_bytes_after_unloads[endpoint] -= memory
        self.moves.append(
            Move(
                kind=MoveKind.LOAD_ADAPTER,
                endpoint=endpoint,
                item=item,
                memory=memory,
                urgent=urgent,
            )
        )

    def _plan_load(self, model: Model, endpoint: str, charged: bool, urgent: bool = False) -> None:
        move = Move(
            kind=MoveKind.LOAD_MODEL,
            endpoint=endpoint,
            item=model.name,
            memory=model.memory,
            urgent=urgent,
        )
        self._remaining_loads -= 1
        self._free_bytes[endpoint] -= model.memory
        self._free_bytes_after_unloads[endpoint] -= model.memory
        self._endpoints_by_model[model.name].add(endpoint)
        self._congestion.set_replicas(model.name, self._endpoints_by_model[model.name])
        self._record(move, charged)

    def _plan_unload(self, model: Model, endpoint: str, charged: bool) -> None:
        self._free_bytes_after_unloads[endpoint] += model.memory
        self._resident_by_model[model.name].discard(endpoint)
        self._endpoints_by_model[model.name].discard(endpoint)
        self._congestion.set_replicas(model.name, self._endpoints_by_model[model.name])
        self._record(Move(kind=MoveKind.UNLOAD_MODEL, endpoint=endpoint, item=model.name), charged)

    def _record(self, move: Move, charged: bool) -> None:
        self.moves.append(move)
        if charged:
            self.charged.append(move)

    def _rate(self, name: str) -> float:
        load = self._load.get(name)
        return load.rate if load else 0.0

    def _zone(self, endpoint: str) -> str:
        return self._replica_by_id[endpoint].zone

    def _zones(self, endpoints: Iterable[str]) -> set[str]:
        return {self._zone(endpoint) for endpoint in endpoints}

    def _is_spread_over_zones(self, endpoints: set[str]) -> bool:
        if len(endpoints) < min(PREFERRED_COPIES, len(self._replica_by_id)):
            return False
        return len(self._zones(endpoints)) >= min(PREFERRED_COPIES, self._zone_count)


def _capacities(document: Document, replicas: Iterable[Replica]) -> dict[str, float]:
    interactive = [c for c in document.classes.values() if c.priority == "interactive"]
    between_tokens = min(
        (c.between_tokens for c in interactive), default=CallerClass().between_tokens
    )
    speeds = {r.endpoint: (r.tokens_per_second, r.running) for r in replicas}
    return work_capacities(speeds, between_tokens)
