"""The compared policies: the daemons' own decisions and naive baselines."""

import random
from collections.abc import Callable

from benchmarks.deployments import Deployment
from catkinhook.control.placement import ModelDemand, Move, MoveKind, Planner, Replica
from catkinhook.requests.gatewaydispatcher import Choice, Dispatcher, Request
from catkinhook.requests.outcomes import Outcome
from catkinhook.state.documents import build_catalog
from catkinhook.state.views import EndpointView, Snapshot

MAX_EXCHANGED_EVENTS = 64
BUSY_REQUESTS = 8  # requests on an endpoint beyond which load on demand adds a copy
NAIVE_WAIT_S = 0.25
NAIVE_RETRIES = 20


class CatkinhookPolicy:
    """One dispatcher for each gateway and one planner, as the daemons wire them."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        zones = deployment.zones
        self._catalog = build_catalog(1, [deployment.document])
        self._gateways = [
            Dispatcher(zones[index % len(zones)], random.Random(seed * 100 + index), f"g{index}")
            for index in range(deployment.gateways)
        ]
        self._planner = Planner()
        self._rng = random.Random(seed)
        self._revision = 0
        self._views: dict[str, EndpointView] = {}

    def update(self, views: dict[str, EndpointView], now: float) -> None:
        """Give all gateways a snapshot and the suspect events of the others."""
        self._revision += 1
        self._views = views
        share = 1.0 / len(self._gateways)
        snapshot = Snapshot(self._revision, self._catalog, views, share)
        events = [e for g in self._gateways for e in g.suspects.events(now, MAX_EXCHANGED_EVENTS)]
        for gateway in self._gateways:
            gateway.suspects.merge(events, now)
            gateway.update(snapshot, now)

    def admit(self, gateway: int, request: Request, now: float) -> float | None:
        """Return None, or the seconds after which a refused request may be sent again."""
        result = self._gateways[gateway].admit(request, now)
        return None if result.is_ok() else result.unwrap_err().retry_after_s

    def pick(
        self, gateway: int, request: Request, now: float, tried: frozenset[str]
    ) -> tuple[Choice | None, float]:
        """Return a choice, or None and the seconds to wait, 0 to give up."""
        result = self._gateways[gateway].pick(request, now, tried)
        if result.is_err() and tried:
            result = self._gateways[gateway].pick(request, now)
        if result.is_ok():
            return result.unwrap(), 0.0
        return None, result.unwrap_err().retry_after_s

    def record_first_token(
        self, gateway: int, attempt_id: str, running: int, waiting: int, now: float
    ) -> None:
        """Record the headers and the first token of a response."""
        self._gateways[gateway].record_load(attempt_id, running, waiting, now)
        self._gateways[gateway].record_first_token(attempt_id, now)

    def finish(
        self, gateway: int, attempt_id: str, outcome: Outcome, tokens: int, now: float
    ) -> None:
        """Record the end of an attempt."""
        self._gateways[gateway].finish(attempt_id, outcome, tokens, now)

    def retry(self, gateway: int, request: Request, outcome: Outcome, now: float) -> float | None:
        """Return the seconds to wait before a retry, or None."""
        return self._gateways[gateway].plan_retry(request, outcome, now).ok()

    def release(self, gateway: int, request: Request, met: bool, now: float) -> None:
        """End a request."""
        self._gateways[gateway].release(request, met, now)

    def plan(self, simulation, now: float) -> list[Move]:
        """Return the planner's moves for the demand of all gateways."""
        demand: dict[str, ModelDemand] = {}
        for gateway in self._gateways:
            for item, gateway_demand in gateway.demand(now).items():
                total = demand.get(item, ModelDemand())
                demand[item] = ModelDemand(
                    requests_per_second=total.requests_per_second
                    + gateway_demand.requests_per_second,
                    in_progress=total.in_progress + gateway_demand.in_progress,
                    unmet=total.unmet + gateway_demand.unmet,
                )
        service = simulation.deployment.document.service
        replicas = [
            _make_replica(e, service, self._views) for e in simulation.engines.values() if e.alive
        ]
        return self._planner.plan(simulation.catalog, replicas, demand, now, self._rng)


def _make_replica(engine, service: str, views: dict[str, EndpointView]) -> Replica:
    resident = engine.resident.keys() | engine.loading.keys()
    view = views.get(engine.endpoint)
    report = view.report if view else None
    return Replica(
        endpoint=engine.endpoint,
        service=service,
        zone=engine.zone,
        memory=engine.memory,
        reserved=engine.used_memory,
        models=frozenset(item for item in engine.resident if "/" not in item),
        loading=frozenset(item for item in engine.loading if "/" not in item),
        adapters=frozenset(item for item in resident if "/" in item),
        tokens_per_second=report.tokens_per_second if report else 0.0,
        running=report.running if report else 0,
    )


EndpointSelector = Callable[[list[EndpointView], random.Random], EndpointView]


def select_randomly(views: list[EndpointView], rng: random.Random) -> EndpointView:
    """Choose any endpoint."""
    return rng.choice(views)


def make_round_robin_selector() -> EndpointSelector:
    """Return a function that takes endpoints in turn."""
    sequence = 0

    def select(views: list[EndpointView], rng: random.Random) -> EndpointView:
        nonlocal sequence
        sequence += 1
        return views[sequence % len(views)]

    return select


def select_least_loaded(views: list[EndpointView], rng: random.Random) -> EndpointView:
    """Choose the endpoint with the least reported load."""
    return min(views, key=lambda view: (_reported_load(view), rng.random()))


def _reported_load(view: EndpointView) -> int:
    return view.report.running + view.report.waiting if view.report else 0


class NaivePolicy:
    """Fixed placement, no admission control; copies lost in a crash are loaded again.

    :param retries: retries of each request.
    """

    def __init__(
        self, deployment: Deployment, seed: int, select: EndpointSelector, retries: int = 0
    ) -> None:
        self._rng = random.Random(seed)
        self._select = select
        self._retries = retries
        self._attempts: dict[str, int] = {}
        self._placement: dict[str, set[str]] | None = None
        self._sequence = 0
        self.views: dict[str, EndpointView] = {}

    def update(self, views: dict[str, EndpointView], now: float) -> None:
        """Store the reported views."""
        self.views = views

    def admit(self, gateway: int, request: Request, now: float) -> float | None:
        """Admit everything."""
        return None

    def pick(
        self, gateway: int, request: Request, now: float, tried: frozenset[str]
    ) -> tuple[Choice | None, float]:
        """Return a choice among the endpoints with the model, or None and the seconds to wait."""
        views = [view for view in self.views.values() if _has_item(view, request)]
        if not views:
            return None, NAIVE_WAIT_S
        return self._make_choice(self._select(views, self._rng), request), 0.0

    def _make_choice(self, view: EndpointView, request: Request) -> Choice:
        self._sequence += 1
        priority = 0 if request.caller_class.priority == "interactive" else 9
        return Choice(attempt_id=str(self._sequence), endpoint=view, priority=priority)

    def record_first_token(
        self, gateway: int, attempt_id: str, running: int, waiting: int, now: float
    ) -> None:
        """Ignore the load in response headers."""

    def finish(
        self, gateway: int, attempt_id: str, outcome: Outcome, tokens: int, now: float
    ) -> None:
        """Ignore the outcome."""

    def retry(self, gateway: int, request: Request, outcome: Outcome, now: float) -> float | None:
        """Retry almost immediately, up to the maximum number of retries."""
        count = self._attempts.get(request.request_id, 0)
        self._attempts[request.request_id] = count + 1
        return 0.01 if count < self._retries else None

    def release(self, gateway: int, request: Request, met: bool, now: float) -> None:
        """End a request."""
        self._attempts.pop(request.request_id, None)

    def plan(self, simulation, now: float) -> list[Move]:
        """Reload the items that an engine lost."""
        if self._placement is None:
            self._placement = {e: set(engine.resident) for e, engine in simulation.engines.items()}
        return [
            _make_load_move(endpoint, item)
            for endpoint, items in self._placement.items()
            for item in sorted(items)
            if item not in simulation.engines[endpoint].resident
        ]


class LoadOnDemandPolicy(NaivePolicy):
    """Loads a model where there is least load when its endpoints are busy, and unloads the least
    recently used one to make room."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        super().__init__(deployment, seed, select_least_loaded)
        self._simulation = None
        self._used_at: dict[tuple[str, str], float] = {}

    def plan(self, simulation, now: float) -> list[Move]:
        """Plan nothing; requests cause the moves."""
        self._simulation = simulation
        return []

    def pick(
        self, gateway: int, request: Request, now: float, tried: frozenset[str]
    ) -> tuple[Choice | None, float]:
        """Return a choice, loading the model elsewhere when its endpoints are busy or absent."""
        views = [v for v in self.views.values() if request.model in v.models]
        best = select_least_loaded(views, self._rng) if views else None
        if best is None or _reported_load(best) > BUSY_REQUESTS:
            self._load_elsewhere(request, now)
        if best is None:
            return None, NAIVE_WAIT_S
        self._used_at[best.endpoint, request.model] = now
        if not _has_item(best, request):
            self._simulation.execute_move(
                _make_load_move(best.endpoint, f"{request.model}/{request.adapter}")
            )
            return None, NAIVE_WAIT_S
        return self._make_choice(best, request), 0.0

    def _load_elsewhere(self, request: Request, now: float) -> None:
        engines = self._simulation.engines
        views = [
            view
            for view in self.views.values()
            if engines[view.endpoint].alive
            and request.model not in engines[view.endpoint].resident
            and not engines[view.endpoint].loading
            and not engines[view.endpoint].draining
        ]
        if not views:
            return
        view = select_least_loaded(views, self._rng)
        engine = engines[view.endpoint]
        model = next(m for m in request.document.models if m.name == request.model)
        if engine.used_memory + model.memory > engine.memory:
            oldest = min(
                (item for item in engine.resident if "/" not in item),
                key=lambda item: (self._used_at.get((view.endpoint, item), 0.0), item),
            )
            self._simulation.execute_move(
                Move(kind=MoveKind.UNLOAD_MODEL, endpoint=view.endpoint, item=oldest)
            )
        self._simulation.execute_move(_make_load_move(view.endpoint, request.model))


def _has_item(view: EndpointView, request: Request) -> bool:
    if request.adapter and f"{request.model}/{request.adapter}" not in view.adapters:
        return False
    return request.model in view.models


def _make_load_move(endpoint: str, item: str) -> Move:
    kind = MoveKind.LOAD_ADAPTER if "/" in item else MoveKind.LOAD_MODEL
    return Move(kind=kind, endpoint=endpoint, item=item)


NAIVE_BY_NAME: dict[str, Callable[[Deployment, int], NaivePolicy]] = {
    "random": lambda d, s: NaivePolicy(d, s, select_randomly),
    "round robin": lambda d, s: NaivePolicy(d, s, make_round_robin_selector()),
    "least load": lambda d, s: NaivePolicy(d, s, select_least_loaded),
    "load on demand": LoadOnDemandPolicy,
    "retry always": lambda d, s: NaivePolicy(d, s, select_randomly, NAIVE_RETRIES),
}
POLICY_BY_NAME = {"catkinhook": CatkinhookPolicy, **NAIVE_BY_NAME}
