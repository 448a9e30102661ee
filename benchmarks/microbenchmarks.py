"""Microbenchmarks of routing and placement decisions, compared as ratios within one run."""

import random
import time
from collections.abc import Callable

from catkinhook.control.placement import ModelDemand, Planner, Replica
from catkinhook.requests.gatewaydispatcher import Dispatcher, Request
from catkinhook.requests.outcomes import Outcome
from catkinhook.state.documents import Document, Endpoints, Model, WeightStore, build_catalog
from catkinhook.state.views import EndpointView, LoadReport, Snapshot

GIB = 1 << 30
REPEATS = 7
PICKS = 200
CANDIDATES = (10, 100, 1000)
PLACEMENT_SIZES = ((18, 5), (480, 100))  # models and replicas
ZONES = ("a", "b", "c", "d")


def _min_seconds(function: Callable[[], None], repeats: int = REPEATS) -> float:
    seconds = []
    for _ in range(repeats):
        started = time.perf_counter()
        function()
        seconds.append(time.perf_counter() - started)
    return min(seconds)


def _make_document(models: int) -> Document:
    return Document(
        service="s",
        owner="o",
        endpoints=Endpoints(weight_store=WeightStore(loads_per_second=16.0, loads_at_once=64)),
        models=[Model(name=f"m{index}", memory=4 * GIB) for index in range(models)],
    )


def measure_pick(candidates: int) -> float:
    """Return the seconds to choose an endpoint and to finish the attempt."""
    document = _make_document(1)
    views = {
        f"s/{index}": EndpointView(
            f"s/{index}",
            "127.0.0.1:1",
            "s",
            ZONES[index % len(ZONES)],
            models=frozenset({"m0"}),
            report=LoadReport(index % 16, 0, 80.0, 0.0),
        )
        for index in range(candidates)
    }
    dispatcher = Dispatcher("a", random.Random(1))
    dispatcher.update(Snapshot(1, build_catalog(1, [document]), views), 0.0)
    request = Request(
        request_id="r",
        document=document,
        class_name="default",
        caller_class=document.get_class("default"),
        fingerprint="f",
        arrived=0.0,
        model="m0",
        prompt_tokens=200,
        output_tokens=50,
    )

    def pick_many() -> None:
        for _ in range(PICKS):
            choice = dispatcher.pick(request, 1.0).unwrap()
            dispatcher.finish(choice.attempt_id, Outcome.CANCELLED, 0, 1.0)

    return _min_seconds(pick_many) / PICKS


def measure_placement_round(models: int, replicas: int) -> float:
    """Return the seconds of one placement round in which the demand has just shifted."""
    document = _make_document(models)
    catalog = build_catalog(1, [document])
    rng = random.Random(2)
    names = [model.name for model in document.models]
    models_by_endpoint = {f"s/{index}": set() for index in range(replicas)}
    for position, name in enumerate(names * 2):
        models_by_endpoint[f"s/{position % replicas}"].add(name)
    demand = {
        name: ModelDemand(requests_per_second=rng.expovariate(0.5), in_progress=rng.randrange(20))
        for name in names
    }
    demand |= {name: ModelDemand(requests_per_second=40.0, in_progress=90) for name in names[:8]}
    placed_replicas = [
        Replica(
            endpoint=endpoint,
            service="s",
            zone=ZONES[index % len(ZONES)],
            memory=80 * GIB,
            reserved=4 * GIB * len(resident),
            models=frozenset(resident),
            tokens_per_second=rng.choice((50.0, 100.0, 200.0)),
        )
        for index, (endpoint, resident) in enumerate(models_by_endpoint.items())
    ]
    return _min_seconds(
        lambda: Planner().plan(catalog, placed_replicas, demand, 0.0, random.Random(3)) and None, 3
    )


def measure() -> tuple[dict[int, float], dict[tuple[int, int], float]]:
    """Return the seconds of a choice by candidates, and of a round by models and replicas."""
    return (
        {count: measure_pick(count) for count in CANDIDATES},
        {size: measure_placement_round(*size) for size in PLACEMENT_SIZES},
    )
