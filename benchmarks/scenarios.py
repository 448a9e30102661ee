"""Demand and faults of each scenario, and the runs over policies and seeds."""

import multiprocessing
import random
from collections.abc import Callable

import attrs

from benchmarks.deployments import Deployment, jusoor, kegyelet, request_shares
from benchmarks.enginemodel import TOKENS_PER_SECOND
from benchmarks.policies import POLICY_BY_NAME
from benchmarks.simulation import CRASHING_FINGERPRINT, Result, Simulation
from catkinhook.control.placement import ModelDemand, MoveKind, Planner, Replica
from catkinhook.state.documents import build_catalog

DURATION_S = 150.0
EVENT_AT_S = 30.0
BURST_END_S = 110.0
OUTAGE_END_S = 80.0
WORKERS = 5
DEPLOYMENT_BY_NAME = {"jusoor": jusoor, "kegyelet": kegyelet}

Rates = Callable[[float], dict[str, float]]


@attrs.frozen(kw_only=True)
class Scenario:
    """Demand over time and faults.

    :ivar make_rates: function of deployment and seed that returns the rates.
    :ivar schedule_faults: schedules faults in a simulation.
    """

    make_rates: Callable[[Deployment, int], Rates]
    schedule_faults: Callable[[Simulation], None] = lambda simulation: None
    report_lag: float = 0.5


@attrs.frozen
class Run:
    """One run of one policy."""

    deployment: str
    scenario: str
    policy: str
    seed: int


def _steady_rates(deployment: Deployment, seed: int) -> Rates:
    rates = {
        m: share * deployment.requests_per_second for m, share in request_shares(deployment).items()
    }
    return lambda now: rates


def _burst_rates(deployment: Deployment, seed: int) -> Rates:
    """The demand for three models of medium popularity rises eightfold for a limited time."""
    base = _steady_rates(deployment, seed)(0.0)
    chosen = random.Random(seed).sample(_sort_by_rate(base)[4:12], 3)
    burst = base | {model: base[model] * 8.0 for model in chosen}
    return lambda now: burst if EVENT_AT_S <= now < BURST_END_S else base


def _tenfold_shift_rates(deployment: Deployment, seed: int) -> Rates:
    """Demand for two rarely used models rises tenfold; the two most popular drop to a tenth."""
    base = _steady_rates(deployment, seed)(0.0)
    ordered = _sort_by_rate(base)
    rising = random.Random(seed).sample(ordered[6:14], 2)
    shifted = base | {model: base[model] * 10.0 for model in rising}
    shifted |= {model: base[model] / 10.0 for model in ordered[:2]}
    return lambda now: shifted if now >= EVENT_AT_S else base


def _sort_by_rate(rates: dict[str, float]) -> list[str]:
    return sorted(rates, key=lambda model: (-rates[model], model))


def _fastest_endpoint(simulation: Simulation) -> str:
    speed_by_endpoint = {e: engine.speed for e, engine in simulation.engines.items()}
    return max(sorted(speed_by_endpoint), key=speed_by_endpoint.__getitem__)


def _schedule_slowdown(simulation: Simulation) -> None:
    engine = simulation.engines[_fastest_endpoint(simulation)]
    simulation.schedule(EVENT_AT_S, lambda t: engine.set_speed_factor(0.08, t))


def _schedule_crash(simulation: Simulation) -> None:
    endpoint = _fastest_endpoint(simulation)
    simulation.schedule(EVENT_AT_S, lambda t: simulation.crash(endpoint))


def _schedule_outage(simulation: Simulation) -> None:
    def set_stores_down(down: bool) -> None:
        simulation.stores_down = down

    simulation.schedule(EVENT_AT_S, lambda t: set_stores_down(True))
    simulation.schedule(OUTAGE_END_S, lambda t: set_stores_down(False))


def _schedule_crashing_requests(simulation: Simulation) -> None:
    """One caller sends a request that crashes any endpoint, and repeats it every 7 seconds."""
    model = _sort_by_rate(request_shares(simulation.deployment))[2]

    def send(now: float) -> None:
        request = simulation.requests.make_request(model, now, CRASHING_FINGERPRINT)
        live = simulation.deployment.document.classes["live"]
        request = attrs.evolve(request, class_name="live", caller_class=live, adapter="")
        simulation.send_request(request)

    for number in range(10):
        simulation.schedule(EVENT_AT_S + 7.0 * number, send)


SCENARIO_BY_NAME = {
    "steady": Scenario(make_rates=_steady_rates),
    "burst": Scenario(make_rates=_burst_rates),
    "tenfold shift": Scenario(make_rates=_tenfold_shift_rates),
    "slow endpoint": Scenario(make_rates=_steady_rates, schedule_faults=_schedule_slowdown),
    "crash": Scenario(make_rates=_steady_rates, schedule_faults=_schedule_crash),
    "stale reports": Scenario(make_rates=_steady_rates, report_lag=6.0),
    "store outage": Scenario(make_rates=_burst_rates, schedule_faults=_schedule_outage),
    "crashing request": Scenario(
        make_rates=_steady_rates, schedule_faults=_schedule_crashing_requests
    ),
}


def initial_placement(deployment: Deployment) -> dict[str, set[str]]:
    """Return the planner's placement for steady demand, which all policies start from."""
    document = deployment.document
    catalog = build_catalog(1, [document])
    rates = _steady_rates(deployment, 0)(0.0)
    demand = {m: ModelDemand(requests_per_second=rate) for m, rate in rates.items()}
    for model in document.models:
        for adapter in model.adapters:
            demand[f"{model.name}/{adapter.name}"] = ModelDemand(requests_per_second=0.01)
    placement: dict[str, set[str]] = {endpoint: set() for endpoint in deployment.engines}
    memory = {m.name: m.memory for m in document.models}
    memory |= {f"{m.name}/{a.name}": a.memory for m in document.models for a in m.adapters}
    planner, rng = Planner(), random.Random(0)
    for step in range(200):
        replicas = [
            Replica(
                endpoint=endpoint,
                service=document.service,
                zone=zone,
                memory=deployment.memory,
                reserved=sum(memory[item] for item in placement[endpoint]),
                models=frozenset(i for i in placement[endpoint] if "/" not in i),
                adapters=frozenset(i for i in placement[endpoint] if "/" in i),
                tokens_per_second=speed * TOKENS_PER_SECOND,
            )
            for endpoint, (speed, zone) in deployment.engines.items()
        ]
        moves = planner.plan(catalog, replicas, demand, step * 60.0, rng)
        if not moves:
            break
        for move in moves:
            if move.kind in (MoveKind.LOAD_MODEL, MoveKind.LOAD_ADAPTER):
                placement[move.endpoint].add(move.item)
            else:
                placement[move.endpoint].discard(move.item)
    return placement


def run_one(run: Run) -> Result:
    """Run one policy through one scenario."""
    deployment = DEPLOYMENT_BY_NAME[run.deployment]()
    scenario = SCENARIO_BY_NAME[run.scenario]
    policy = POLICY_BY_NAME[run.policy](deployment, run.seed)
    simulation = Simulation(deployment, policy, run.seed, scenario.report_lag)
    simulation.set_placement(initial_placement(deployment))
    scenario.schedule_faults(simulation)
    return simulation.run(DURATION_S, scenario.make_rates(deployment, run.seed))


def run_all(runs: list[Run], workers: int = WORKERS) -> dict[Run, Result]:
    """Run in worker processes; the results do not depend on their number."""
    with multiprocessing.get_context("spawn").Pool(workers) as pool:
        return dict(zip(runs, pool.map(run_one, runs, chunksize=1), strict=True))
