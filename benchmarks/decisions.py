"""Processor time of a host's decisions on one request: ``python -m benchmarks.decisions``.

The load: 45 engines with 2 models each, half of their slots in use by requests of all hosts, and
streams of which a third are for one model with 9 copies.
"""

import random
import sys
import time

from catkinhook.hostsettings import Bounds
from catkinhook.requests.hostscheduler import Scheduler
from catkinhook.requests.outcomes import Outcome
from catkinhook.requests.routedrequest import Assignment, Decision, RoutedRequest
from catkinhook.requests.routetable import EngineSpec, RetryMode, Route, RouteTable, ServiceSpec
from catkinhook.requests.workspaces import Workspace, WorkspaceDirectory
from catkinhook.state.views import EndpointView

ENGINES = 45
MODELS = 60
SLOTS = 16
REQUESTS = 2_000
REPEATS = 5
# Share of a core that the smallest host of the deployments has.
SMALLEST_CORE_SHARE = 0.387
# Longest processor time of the decisions on one request on that share of a core, in seconds.
DECISION_LIMIT_S = 0.001

ROUTE = Route(
    name="live",
    host="h",
    prefix="/",
    retry_mode=RetryMode.NEVER,
    is_stream=True,
    timeout_s=10.0,
    objective_s=0.5,
    gap_s=0.3,
    priority=1,
    max_attempts=1,
    weight_by_service=(("llm", 1.0),),
)


def make_scheduler(has_workspaces: bool, rng: random.Random) -> Scheduler:
    """Return a scheduler that knows the engines and their load."""
    scheduler = Scheduler("z1", "host/1", Bounds(), rng)
    spec = EngineSpec(
        slots=SLOTS, cache_tokens=60_000, memory_mb=200_000, adapter_slots=8, loads_per_s=13
    )
    workspace = Workspace(name="w", keys=("k",))
    scheduler.set_table(
        RouteTable(
            version=1,
            routes=(ROUTE,),
            service_by_name={"llm": ServiceSpec(name="llm", max_connections=99, engine=spec)},
            workspaces=WorkspaceDirectory(workspaces=(workspace,)) if has_workspaces else None,
        )
    )
    views = {}
    for index in range(ENGINES):
        busy = "m0" if index % 5 == 0 else f"m{1 + index % 9}"
        models = frozenset({busy, f"m{10 + index % (MODELS - 10)}"})
        views[f"e{index}"] = EndpointView(
            endpoint=f"e{index}",
            address=f"e{index}:1",
            service="llm",
            zone=f"z{index % 3}",
            boot_id="1",
            models=models,
            adapters=frozenset(f"{model}/a{index % 8}" for model in models),
            slots=SLOTS,
        )
    scheduler.set_endpoints(views, 0.0)
    scheduler.record_host_count(28, 0.0, 0.0)
    for endpoint in views:
        scheduler.record_load(endpoint, rng.randrange(SLOTS), 0, 0.0)
    return scheduler


def measure(has_workspaces: bool) -> float:
    """Return the processor seconds of all decisions on one request, the least of some repeats."""
    seconds = []
    for repeat in range(REPEATS):
        rng = random.Random(repeat)
        scheduler = make_scheduler(has_workspaces, rng)
        requests = [_make_request(number, has_workspaces, rng) for number in range(REQUESTS)]
        decisions: list[Decision] = []
        started = time.process_time()
        for number, request in enumerate(requests):
            now = number * 0.01
            scheduler.submit(request, decisions.append, now)
            if decisions and isinstance(decisions[-1], Assignment):
                attempt = decisions[-1].attempt
                scheduler.record_first_event(attempt, now + 0.005)
                scheduler.finish(attempt, Outcome.COMPLETED, now + 0.008)
        seconds.append((time.process_time() - started) / REQUESTS)
    return min(seconds)


def _make_request(number: int, has_workspaces: bool, rng: random.Random) -> RoutedRequest:
    model = "m0" if rng.random() < 0.3 else f"m{rng.randrange(1, 50)}"
    parts = (f"{model}|s{rng.randrange(20)}", f"{model}|{number}")
    return RoutedRequest(
        request_id=str(number),
        service="llm",
        route=ROUTE,
        arrived=number * 0.01,
        deadline=number * 0.01 + 10.0,
        item=model,
        prompt_tokens=int(rng.lognormvariate(7.0, 0.8)),
        output_tokens=170,
        prefixes=parts,
        fingerprint=str(number),
        workspace="w" if has_workspaces else "",
    )


def main() -> int:
    """Print the figures; return 1 if a decision takes too long on the smallest host."""
    is_slow = False
    for name, has_workspaces in (("without workspaces", False), ("with workspaces", True)):
        seconds = measure(has_workspaces)
        on_smallest = seconds / SMALLEST_CORE_SHARE
        is_slow = is_slow or on_smallest > DECISION_LIMIT_S
        print(
            f"{name}: {seconds * 1e6:.0f} us of processor time a request, "
            f"{on_smallest * 1e6:.0f} us on {SMALLEST_CORE_SHARE} of a core"
        )
    return 1 if is_slow else 0


if __name__ == "__main__":
    sys.exit(main())
