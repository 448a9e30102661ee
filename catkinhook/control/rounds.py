"""One placement round for one service: copies, spares, gainful moves and adapters."""

import random
from collections.abc import Collection, Iterable

from catkinhook.control.congestion import Congestion, ItemLoad, mean_speed, work_capacities
from catkinhook.control.moves import Move, MoveKind, Replica
from catkinhook.state.documents import CallerClass, Document, Model
from catkinhook.state.modelnames import split_model

# Hosts that a model has where memory allows, in different availability zones.
SPARE_COPIES = 2
MAX_GAINFUL_MOVES = 4
EXAMINED_MODELS = 8
EXAMINED_REPLICAS = 6


class Round:
    """One placement round for one service."""

    def __init__(
        self,
        document: Document,
        models: list[Model],
        replicas: list[Replica],
        demand: dict[str, ItemLoad],
        held: Collection[tuple[str, str]],
        rng: random.Random,
    ) -> None:
        self._document = document
        self._model_by_name = {model.name: model for model in models}
        self._replica_by_id = {r.endpoint: r for r in replicas if not r.leaving}
        self._held = held
        self._rng = rng
        self._order = {endpoint: rng.random() for endpoint in sorted(self._replica_by_id)}
        self._room_now = {e: r.memory - r.reserved for e, r in self._replica_by_id.items()}
        self._room_soon = {
            endpoint: replica.memory - self._used(replica)
            for endpoint, replica in self._replica_by_id.items()
        }
        self._resident: dict[str, set[str]] = {name: set() for name in self._model_by_name}
        self._hosts: dict[str, set[str]] = {name: set() for name in self._model_by_name}
        for endpoint, replica in self._replica_by_id.items():
            for name in replica.models & self._model_by_name.keys():
                self._resident[name].add(endpoint)
                self._hosts[name].add(endpoint)
            for name in replica.loading & self._model_by_name.keys():
                self._hosts[name].add(endpoint)
        self._zone_count = len({r.zone for r in self._replica_by_id.values()})
        self._demand = demand
        self._load = self._find_load()
        self._congestion = Congestion(
            _capacities(document, self._replica_by_id.values()), self._load, self._hosts
        )
        loading = sum(len(r.loading) for r in replicas)
        self._loads_left = max(0, document.endpoints.weight_store.loads_at_once - loading)
        self._pending: set[str] = set()
        self.moves: list[Move] = []
        self.charged: list[Move] = []

    def run(self, budget: float) -> None:
        """Fill ``moves``; those in ``charged`` count against the budget."""
        self._restore_copies()
        self._add_adapters()
        self._add_spares(budget)
        self._add_gainful(budget)

    def _find_load(self) -> dict[str, ItemLoad]:
        """Add up the demand of a model and of its adapters, as tokens a second.

        Requests in progress cannot be compared between endpoints: a slow one has more of them at
        the same rate.
        """
        speeds = {e: r.tokens_per_second for e, r in self._replica_by_id.items()}
        mean = mean_speed(speeds.values())
        load: dict[str, ItemLoad] = {}
        for item, part in self._demand.items():
            name, _ = split_model(item)
            if name in self._model_by_name:
                hosts = [speeds[e] or mean for e in sorted(self._resident[name])] or [mean]
                # Faster hosts get more of the requests.
                speed = sum(s * s for s in hosts) / sum(hosts)
                known = load.get(name, ItemLoad(0.0, 0.0))
                load[name] = ItemLoad(known.rate + part.rate, known.work + part.work * speed)
        return load

    def _used(self, replica: Replica) -> int:
        names = replica.models | replica.loading
        used = sum(self._model_by_name[n].memory for n in names if n in self._model_by_name)
        return used + sum(self._adapter_memory(item) for item in replica.adapters)

    def _adapter_memory(self, item: str) -> int:
        name, adapter = split_model(item)
        model = self._model_by_name.get(name)
        adapters = model.adapters if model else ()
        return next((a.memory for a in adapters if a.name == adapter), 0)

    def _restore_copies(self) -> None:
        short = [m for m in self._model_by_name.values() if len(self._hosts[m.name]) < m.copies]
        short.sort(key=lambda m: (len(self._resident[m.name]), -self._rate(m.name), m.name))
        for model in short:
            urgent = not self._resident[model.name]
            for _ in range(model.copies - len(self._hosts[model.name])):
                if not self._load_somewhere(model, urgent) and not self._make_room(model):
                    break

    def _add_spares(self, budget: float) -> None:
        models = sorted(self._model_by_name.values(), key=lambda m: (-self._rate(m.name), m.name))
        for model in models:
            if len(self.charged) + 1 > budget:
                return
            hosts = self._hosts[model.name]
            if not hosts or len(hosts) >= model.max_copies or self._is_spread(hosts):
                continue
            used = self._zones(hosts)
            targets = [e for e in self._fitting(model) if self._zone(e) not in used]
            if not targets and len(hosts) < SPARE_COPIES:
                targets = self._fitting(model)
            if targets:
                self._emit_load(model, self._best(targets), charged=True)

    def _add_gainful(self, budget: float) -> None:
        for _ in range(MAX_GAINFUL_MOVES):
            best = max(self._proposals(), key=lambda p: p[0], default=None)
            if best is None or best[0] <= 0 or self._loads_left <= 0:
                return
            _, model, endpoint, victims = best
            cost = 1 + sum(2 if self._parking(v, endpoint) else 1 for v in victims)
            if len(self.charged) + cost > budget:
                return
            # A victim that must keep its copies is first loaded elsewhere, and memory is free only
            # when the unload has closed, so the load itself follows in a later round.
            for victim in victims:
                parking = self._parking(victim, endpoint)
                if parking:
                    self._emit_load(victim, parking, charged=True)
                else:
                    self._emit_unload(victim, endpoint, charged=True)
            if victims:
                self._room_soon[endpoint] -= model.memory
                self._pending.add(model.name)
            else:
                self._emit_load(model, endpoint, charged=True)

    def _proposals(self) -> Iterable[tuple[float, Model, str, list[Model]]]:
        cost = self._document.placement.move_cost
        congested = sorted(self._load, key=lambda n: (-self._congestion.missing(n), n))
        idle = sorted(self._replica_by_id, key=lambda e: (self._congestion.load(e), self._order[e]))
        for name in congested[:EXAMINED_MODELS]:
            model, hosts = self._model_by_name[name], self._hosts[name]
            if len(hosts) >= model.max_copies or not hosts or name in self._pending:
                continue
            for endpoint in [e for e in idle if e not in hosts][:EXAMINED_REPLICAS]:
                gain = self._congestion.change(name, hosts | {endpoint})
                if gain <= cost:
                    continue
                victims = self._victims(model, endpoint)
                if victims is None:
                    continue
                value = gain - sum(self._loss(victim, endpoint) for victim in victims) - cost
                if value > 0:
                    yield value, model, endpoint, victims

    def _loss(self, victim: Model, endpoint: str) -> float:
        """Return what unloading a copy costs, moves included."""
        hosts = self._hosts[victim.name] - {endpoint}
        parking = self._parking(victim, endpoint)
        moves = 1
        if parking:
            hosts, moves = hosts | {parking}, 2
        lost = max(0.0, -self._congestion.change(victim.name, hosts))
        return lost + moves * self._document.placement.move_cost

    def _parking(self, victim: Model, endpoint: str) -> str:
        """Return where a copy must be loaded before the one on ``endpoint`` may go, or ``""``."""
        if self._may_unload(victim, endpoint, urgent=False):
            return ""
        left = self._resident[victim.name] - {endpoint}
        targets = [
            e for e in self._fitting(victim) if e != endpoint and self._is_spread(left | {e})
        ]
        return self._best(targets) if targets else ""

    def _victims(self, model: Model, endpoint: str, urgent: bool = False) -> list[Model] | None:
        """Return copies whose unload makes room, an empty list when there is room, or None."""
        if self._room_soon[endpoint] >= model.memory:
            return [] if self._room_now[endpoint] >= model.memory else None
        missing = model.memory - self._room_soon[endpoint]
        surplus = [
            other
            for name, other in self._model_by_name.items()
            if endpoint in self._resident[name]
            and (
                self._may_unload(other, endpoint, urgent)
                or (not urgent and self._may_park(other, endpoint))
            )
        ]
        surplus.sort(key=lambda m: (self._rate(m.name) / m.memory, m.name))
        victims: list[Model] = []
        for other in surplus:
            if missing <= 0:
                break
            victims.append(other)
            missing -= other.memory
        return victims if missing <= 0 else None

    def _may_park(self, model: Model, endpoint: str) -> bool:
        is_moving = self._hosts[model.name] != self._resident[model.name]
        held = (endpoint, model.name) in self._held
        return not is_moving and not held and bool(self._parking(model, endpoint))

    def _may_unload(self, model: Model, endpoint: str, urgent: bool) -> bool:
        left = self._resident[model.name] - {endpoint}
        if len(left) < model.copies:
            return False
        if urgent:
            return True
        return (endpoint, model.name) not in self._held and self._is_spread(left)

    def _make_room(self, model: Model) -> bool:
        """Unload surplus copies for a model that lacks copies; the load follows when room is."""
        hosts = self._hosts[model.name]
        options = []
        for endpoint in self._replica_by_id:
            if endpoint in hosts:
                continue
            if self._room_soon[endpoint] >= model.memory:
                self._room_soon[endpoint] -= model.memory
                return True
            victims = self._victims(model, endpoint, urgent=True)
            if victims:
                options.append((len(victims), self._order[endpoint], endpoint, victims))
        if not options:
            return False
        _, _, endpoint, victims = min(options, key=lambda option: option[:2])
        for victim in victims:
            self._emit_unload(victim, endpoint, charged=False)
        self._room_soon[endpoint] -= model.memory
        return True

    def _load_somewhere(self, model: Model, urgent: bool) -> bool:
        targets = self._fitting(model)
        if not targets:
            return False
        used = self._zones(self._hosts[model.name])
        apart = [endpoint for endpoint in targets if self._zone(endpoint) not in used]
        self._emit_load(model, self._best(apart or targets), charged=False, urgent=urgent)
        return True

    def _fitting(self, model: Model) -> list[str]:
        if self._loads_left <= 0:
            return []
        return [
            endpoint
            for endpoint in self._replica_by_id
            if endpoint not in self._hosts[model.name]
            and min(self._room_now[endpoint], self._room_soon[endpoint]) >= model.memory
        ]

    def _best(self, targets: list[str]) -> str:
        """Return the target with the least sum of load and memory in use."""
        return min(targets, key=lambda e: (self._fullness(e), self._order[e]))

    def _fullness(self, endpoint: str) -> float:
        memory = self._replica_by_id[endpoint].memory
        used = 1.0 - self._room_now[endpoint] / memory if memory else 1.0
        return round(self._congestion.load(endpoint) + used, 2)

    def _add_adapters(self) -> None:
        """Keep each adapter on a host of its model, on two in demand, on all where it pays."""
        left = self._document.endpoints.adapters_in_flight // 2
        for name, model in self._model_by_name.items():
            for adapter in model.adapters:
                item = f"{name}/{adapter.name}"
                hosts = sorted(self._resident[name])
                having = [e for e in hosts if item in self._replica_by_id[e].adapters]
                wanted = self._wanted_hosts(item, len(hosts))
                without = [e for e in hosts if e not in having]
                without.sort(key=lambda e: (self._congestion.load(e), self._order[e]))
                for endpoint in without[: max(0, wanted - len(having))]:
                    if left > 0 and self._make_adapter_room(endpoint, adapter.memory):
                        left -= 1
                        self._emit_adapter(endpoint, item, adapter.memory, urgent=not having)

    def _wanted_hosts(self, item: str, hosts: int) -> int:
        demand = self._demand.get(item)
        if demand is None:
            return min(1, hosts)
        # One more copy can gain no more than all requests for the adapter.
        pays = demand.rate > self._document.placement.move_cost
        return hosts if pays else min(SPARE_COPIES, hosts)

    def _make_adapter_room(self, endpoint: str, memory: int) -> bool:
        if min(self._room_now[endpoint], self._room_soon[endpoint]) >= memory:
            return True
        if self._room_soon[endpoint] >= memory:
            return False
        held = self._replica_by_id[endpoint].adapters
        idle = [item for item in sorted(held) if item not in self._demand]
        for item in idle:
            elsewhere = any(
                item in r.adapters for e, r in self._replica_by_id.items() if e != endpoint
            )
            if elsewhere and self._adapter_memory(item) >= memory:
                self.moves.append(Move(kind=MoveKind.UNLOAD_ADAPTER, endpoint=endpoint, item=item))
                self._room_soon[endpoint] += self._adapter_memory(item) - memory
                return False
        return False

    def _emit_adapter(self, endpoint: str, item: str, memory: int, urgent: bool) -> None:
        self._room_now[endpoint] -= memory
        self._room_soon[endpoint] -= memory
        self.moves.append(
            Move(
                kind=MoveKind.LOAD_ADAPTER,
                endpoint=endpoint,
                item=item,
                memory=memory,
                urgent=urgent,
            )
        )

    def _emit_load(self, model: Model, endpoint: str, charged: bool, urgent: bool = False) -> None:
        move = Move(
            kind=MoveKind.LOAD_MODEL,
            endpoint=endpoint,
            item=model.name,
            memory=model.memory,
            urgent=urgent,
        )
        self._loads_left -= 1
        self._room_now[endpoint] -= model.memory
        self._room_soon[endpoint] -= model.memory
        self._hosts[model.name].add(endpoint)
        self._congestion.place(model.name, self._hosts[model.name])
        self._record(move, charged)

    def _emit_unload(self, model: Model, endpoint: str, charged: bool) -> None:
        self._room_soon[endpoint] += model.memory
        self._resident[model.name].discard(endpoint)
        self._hosts[model.name].discard(endpoint)
        self._congestion.place(model.name, self._hosts[model.name])
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

    def _is_spread(self, endpoints: set[str]) -> bool:
        if len(endpoints) < min(SPARE_COPIES, len(self._replica_by_id)):
            return False
        return len(self._zones(endpoints)) >= min(SPARE_COPIES, self._zone_count)


def _capacities(document: Document, replicas: Iterable[Replica]) -> dict[str, float]:
    promises = [p for p in document.classes.values() if p.priority == "interactive"]
    between = min((p.between_tokens for p in promises), default=CallerClass().between_tokens)
    speeds = {r.endpoint: (r.tokens_per_second, r.running) for r in replicas}
    return work_capacities(speeds, between)
