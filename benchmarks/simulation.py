"""Simulation of callers, engines and moves under one policy, on a virtual clock."""

import heapq
import random
from collections.abc import Callable

import attrs

from benchmarks.deployments import Deployment, RequestSource
from benchmarks.enginemodel import Engine, Job
from catkinhook.control.placement import Move, MoveKind
from catkinhook.requests.gatewaydispatcher import Request
from catkinhook.requests.outcomes import Outcome
from catkinhook.state.documents import build_catalog
from catkinhook.state.modelnames import split_model
from catkinhook.state.views import EndpointView, LoadReport

REPORT_INTERVAL_S = 0.5
PLAN_INTERVAL_S = 1.0
RESTART_S = 8.0
REFUSED_CONNECTION_S = 0.002
LOAD_BYTES_PER_SECOND = 2 << 30
ADAPTER_LOAD_S = 0.03
MAX_PICK_WAIT_S = 10.0
DRAIN_S = 95.0  # after the last arrival, for deferred work to end
CRASHING_FINGERPRINT = "crashing"


@attrs.define
class Result:
    """Counts of one run."""

    met: dict[str, int] = attrs.Factory(lambda: {"live": 0, "night": 0})
    offered: dict[str, int] = attrs.Factory(lambda: {"live": 0, "night": 0})
    moves: int = 0
    refusals: int = 0
    retries: int = 0
    first_token_seconds: list[float] = attrs.Factory(list)
    engine_crashes: int = 0
    unreachable: set[str] = attrs.Factory(set)
    overcommitted: int = 0


@attrs.define(eq=False)
class Call:
    """A request of a caller with the state of its attempts."""

    request: Request
    gateway: int
    admitted: bool = False
    attempts: int = 0
    first_token_at: float | None = None
    tried: frozenset[str] = frozenset()


class Simulation:
    """Simulates callers, engines, reports and moves around one policy.

    :param report_lag: seconds between taking and delivering a report.
    """

    def __init__(self, deployment: Deployment, policy, seed: int, report_lag: float = 0.5) -> None:
        self.deployment, self.policy = deployment, policy
        self.rng = random.Random(seed)
        self.requests = RequestSource(deployment, random.Random(seed + 1))
        self.result = Result()
        self.catalog = build_catalog(1, [deployment.document])
        self.stores_down = False
        self.report_lag = report_lag
        self.now = 0.0
        self._events: list[tuple[float, int, Callable]] = []
        self._sequence = 0
        self._load_ends: list[float] = []
        self._next_load_at = 0.0
        self._views: dict[str, EndpointView] = {}
        self._memory = {m.name: m.memory for m in deployment.document.models}
        for model in deployment.document.models:
            self._memory |= {f"{model.name}/{a.name}": a.memory for a in model.adapters}
        self.engines = {
            endpoint: Engine(endpoint, zone, speed, deployment.memory, self.schedule)
            for endpoint, (speed, zone) in deployment.engines.items()
        }

    def schedule(self, at: float, function: Callable[[float], object]) -> None:
        """Call ``function(time)`` at a time of the virtual clock."""
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, function))

    def set_placement(self, placement: dict[str, set[str]]) -> None:
        """Make items resident by endpoint before the run."""
        for endpoint, items in placement.items():
            self.engines[endpoint].resident = {item: self._memory[item] for item in sorted(items)}

    def run(self, seconds: float, rates: Callable[[float], dict[str, float]]) -> Result:
        """Run for a time with requests a second by model."""
        self._deliver({e: self._make_view(engine, 0.0) for e, engine in self.engines.items()})
        self._take_reports(0.0)
        self._run_planner(0.0)
        self._schedule_arrivals(0.0, seconds, rates)
        while self._events and self.now <= seconds + DRAIN_S:
            self.now, _, function = heapq.heappop(self._events)
            function(self.now)
        return self.result

    def send_request(self, request: Request) -> None:
        """Send a request through a random gateway."""
        self.result.offered[request.class_name] += 1
        self._admit(Call(request, self.rng.randrange(self.deployment.gateways)), self.now)

    def crash(self, endpoint: str) -> None:
        """Crash an engine, which restarts without models."""
        self.engines[endpoint].crash(self.now)

    def execute_move(self, move: Move) -> None:
        """Execute a move if memory permits; a model load takes time and a weight-store slot."""
        engine, item = self.engines[move.endpoint], move.item
        if not engine.alive or self.stores_down:
            return
        if move.kind in (MoveKind.UNLOAD_MODEL, MoveKind.UNLOAD_ADAPTER):
            if item in engine.resident:
                self.result.moves += 1
                for adapter in [i for i in engine.resident if i.startswith(item + "/")]:
                    engine.unload(adapter, self.now)
                engine.unload(item, self.now)
            return
        if item in engine.resident or item in engine.loading or item in engine.draining:
            return
        memory = self._memory[item]
        if engine.used_memory + memory > engine.memory:
            return
        seconds = ADAPTER_LOAD_S
        if move.kind is MoveKind.LOAD_MODEL:
            seconds = self._reserve_load(memory)
            if seconds is None:
                return
        self.result.moves += 1
        engine.loading[item] = memory
        boot_number = engine.boot_number
        self.schedule(self.now + seconds, lambda t: self._finish_load(engine, item, boot_number))

    def _reserve_load(self, memory: int) -> float | None:
        store = self.deployment.document.endpoints.weight_store
        self._load_ends = [end for end in self._load_ends if end > self.now]
        if len(self._load_ends) >= store.loads_at_once or self.now < self._next_load_at:
            return None
        self._next_load_at = self.now + 1.0 / store.loads_per_second
        end = self.now + memory / LOAD_BYTES_PER_SECOND
        self._load_ends.append(end)
        return end - self.now

    def _finish_load(self, engine: Engine, item: str, boot_number: int) -> None:
        if engine.alive and engine.boot_number == boot_number and item in engine.loading:
            engine.resident[item] = engine.loading.pop(item)

    def _schedule_arrivals(self, now: float, end: float, rates: Callable) -> None:
        for model, rate in rates(now).items():
            at = now + self.rng.expovariate(rate) if rate > 0 else end
            while at < min(now + 1.0, end):
                self.schedule(
                    at,
                    lambda t, model=model: self.send_request(self.requests.make_request(model, t)),
                )
                at += self.rng.expovariate(rate)
        if now + 1.0 < end:
            self.schedule(now + 1.0, lambda t: self._schedule_arrivals(t, end, rates))

    def _admit(self, call: Call, now: float) -> None:
        wait = self.policy.admit(call.gateway, call.request, now)
        if wait is None:
            call.admitted = True
            self._start_attempt(call, now)
            return
        caller_class = call.request.caller_class
        left = caller_class.finish_within - (now - call.request.arrived)
        if caller_class.priority == "deferrable" and left > wait:
            # The gateway retries deferred work until its deadline.
            self.schedule(now + max(wait, 1.0), lambda t: self._admit(call, t))
        else:
            self.result.refusals += 1

    def _start_attempt(self, call: Call, now: float) -> None:
        choice, wait = self.policy.pick(call.gateway, call.request, now, call.tried)
        if choice is None:
            if wait and now + wait - call.request.arrived < MAX_PICK_WAIT_S:
                self.schedule(now + wait, lambda t: self._start_attempt(call, t))
            else:
                self.result.refusals += 1
                self._end_request(call, False, now)
            return
        call.attempts += 1
        self.result.retries += call.attempts > 1
        job = Job(
            choice.attempt_id,
            call.request,
            choice.priority,
            lambda job, t: self._record_first_token(call, choice, t),
            lambda job, t: self._complete_attempt(call, choice, t),
            lambda job, t: self._fail_attempt(call, choice, Outcome.CRASHED, t),
            call.request.fingerprint == CRASHING_FINGERPRINT,
        )
        engine = self.engines[choice.endpoint.endpoint]
        if engine.can_run(call.request):
            engine.submit(job, now)
        else:
            at = now + REFUSED_CONNECTION_S
            self.schedule(at, lambda t: self._fail_attempt(call, choice, Outcome.NOT_RUN, t))

    def _record_first_token(self, call: Call, choice, now: float) -> None:
        engine = self.engines[choice.endpoint.endpoint]
        self.policy.record_first_token(
            call.gateway, choice.attempt_id, engine.running, engine.waiting, now
        )
        if call.first_token_at is None:
            call.first_token_at = now
            if call.request.class_name == "live":
                self.result.first_token_seconds.append(now - call.request.arrived)

    def _complete_attempt(self, call: Call, choice, now: float) -> None:
        request, caller_class = call.request, call.request.caller_class
        tokens = request.output_tokens
        if caller_class.priority == "interactive":
            token_gap = (now - call.first_token_at) / max(1, tokens - 1)
            met = call.first_token_at - request.arrived <= caller_class.first_token
            met = met and token_gap <= caller_class.between_tokens
        else:
            met = now - request.arrived <= caller_class.finish_within
        self.policy.finish(call.gateway, choice.attempt_id, Outcome.COMPLETED, tokens, now)
        self._end_request(call, met, now)

    def _fail_attempt(self, call: Call, choice, outcome: Outcome, now: float) -> None:
        self.policy.finish(call.gateway, choice.attempt_id, outcome, 0, now)
        wait = self.policy.retry(call.gateway, call.request, outcome, now)
        if wait is None:
            self._end_request(call, False, now)
            return
        call.tried |= {choice.endpoint.endpoint}
        call.first_token_at = None
        self.schedule(now + wait, lambda t: self._start_attempt(call, t))

    def _end_request(self, call: Call, met: bool, now: float) -> None:
        self.policy.release(call.gateway, call.request, met, now)
        self.result.met[call.request.class_name] += met

    def _take_reports(self, now: float) -> None:
        reported_views = {
            endpoint: self._make_view(engine, now) for endpoint, engine in self.engines.items()
        }
        self.schedule(now + self.report_lag, lambda t: self._deliver(reported_views))
        self.schedule(now + REPORT_INTERVAL_S, self._take_reports)
        self._check_placement()
        for engine in self.engines.values():
            if not engine.alive and not engine.restarting:
                engine.restarting = True
                self.result.engine_crashes += 1
                self.schedule(now + RESTART_S, engine.restart)

    def _make_view(self, engine: Engine, now: float) -> EndpointView:
        models = frozenset(item for item in engine.resident if "/" not in item)
        return EndpointView(
            endpoint=engine.endpoint,
            address="127.0.0.1:1",
            service=self.deployment.document.service,
            zone=engine.zone,
            boot_id=str(engine.boot_number),
            models=models,
            adapters=frozenset(
                i for i in engine.resident if "/" in i and split_model(i)[0] in models
            ),
            report=LoadReport(engine.running, engine.waiting, engine.rate(), now),
        )

    def _deliver(self, reported_views: dict[str, EndpointView]) -> None:
        # Orders and restarts are visible to gateways immediately; only the reported load lags.
        views = {}
        for endpoint, view in reported_views.items():
            current_view = self._make_view(self.engines[endpoint], self.now)
            views[endpoint] = attrs.evolve(current_view, report=view.report)
        self._views = views
        self.policy.update(views, self.now)

    def _run_planner(self, now: float) -> None:
        for move in self.policy.plan(self, now):
            self.execute_move(move)
        self.schedule(now + PLAN_INTERVAL_S, self._run_planner)

    def _check_placement(self) -> None:
        engines = [engine for engine in self.engines.values() if engine.alive]
        for model in self.deployment.document.models:
            if not any(model.name in engine.resident for engine in engines):
                self.result.unreachable.add(model.name)
        self.result.overcommitted += any(engine.used_memory > engine.memory for engine in engines)
