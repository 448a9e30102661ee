"""Placement of model copies: models that need a copy, engines for them, and models to evict."""

from catkinhook.control.enginepool import EnginePool
from catkinhook.control.enginerecords import Demand, EngineRecord
from catkinhook.requests.routetable import EngineSpec, ModelSpec

# Minimum time from the load of a model to its eviction, so that the requests that wait for it are
# served.
MIN_RESIDENCE_S = 2.0
# Share of a model's slots in use, over all of its copies, above which it gets another copy.
SCALE_OUT_SHARE = 0.5
# Requests per second that one copy serves without queueing prompts. An engine prefills 19 tokens
# per ms, and a prompt has about 1,500 tokens. Source: the platform's data sheets.
COPY_CAPACITY_RATE = 6.0
# Requests per second from which a model gets a second copy for failover.
SPARE_COPY_RATE = 1.0
# Requests per second from which a model without a copy is loaded on two engines at once.
HOT_RATE = 3.0
# Share of the engines that may load low-demand models from the weight store at the same time. The
# others stay available for models whose demand rises or whose engine fails.
LOW_DEMAND_LOAD_SHARE = 0.5
# Assumed duration of the current demand when the gain of a new copy is compared with the cost of an
# eviction.
HORIZON_S = 5.0
# Extra gain of a model's first copy, in requests, so that low-demand models are eventually served.
FIRST_COPY_GAIN = 3.0
# Cost of each second that a request waits, as a share of a lost request.
DELAY_COST = 0.25
# Minimum gain of a placement change, in requests.
MIN_GAIN = 0.3
# Mean seconds until the requests of a draining model have completed.
MEAN_DRAIN_S = 2.0


def is_hot(demand: Demand) -> bool:
    """Whether the demand for a model justifies more than one copy at once."""
    return max(demand.rate, demand.unmet) >= HOT_RATE


def find_copy_needs(pool: EnginePool) -> list[tuple[str, float]]:
    """Return the models that need another copy with its gain in requests, highest gain first."""
    needs = []
    spec = pool.spec
    for name, demand in pool.demand.items():
        if name not in spec.model_by_name:
            continue
        copies, loading = pool.copies(name), pool.loading(name)
        if loading and (copies or not is_hot(demand) or len(loading) > 1):
            continue
        expected_requests = demand.waiting + HORIZON_S * max(demand.rate, demand.unmet)
        if not copies:
            if expected_requests > MIN_GAIN:
                needs.append((name, FIRST_COPY_GAIN + 2.0 * expected_requests))
            continue
        total_slots = spec.slots * len(copies)
        excess_requests = demand.running + demand.waiting - SCALE_OUT_SHARE * total_slots
        excess_requests = max(
            excess_requests, HORIZON_S * (demand.rate - COPY_CAPACITY_RATE * len(copies))
        )
        if excess_requests > 0:
            needs.append((name, excess_requests))
        elif len(copies) == 1 and demand.rate >= SPARE_COPY_RATE:
            needs.append((name, 0.3 * demand.rate * HORIZON_S))
    return sorted(needs, key=lambda need: -need[1])


def choose_engine(
    pool: EnginePool, model: ModelSpec, gain: float
) -> tuple[EngineRecord, str, float] | None:
    """Return the engine for a new copy, the model to evict first, and the seconds until ready.

    :param gain: gain of the copy in requests.
    """
    best: tuple[float, EngineRecord, str, float] | None = None
    for engine in pool.load_candidates():
        if model.name in engine.adapters:
            continue
        seconds = engine.load_seconds(model) + pool.busy_seconds(engine, model.disk_load_s)
        victim, loss, drain_s = "", 0.0, 0.0
        if pool.memory_mb(engine) + model.memory_mb > pool.spec.memory_mb:
            victim_and_loss = choose_victim(pool, engine)
            if victim_and_loss is None:
                continue
            victim, loss = victim_and_loss
            drain_s = MEAN_DRAIN_S if engine.running_by_model.get(victim) else 0.0
        # The engine can't load adapters during the load. Most of the waiting callers don't give up,
        # so only a share of their requests counts as lost.
        loss += DELAY_COST * seconds * pool.adapter_rate(engine)
        if loss + MIN_GAIN >= gain:
            continue
        cost = loss + DELAY_COST * (seconds + drain_s) * gain + 0.02 * engine.running
        if best is None or cost < best[0]:
            best = (cost, engine, victim, seconds + drain_s)
    return None if best is None else best[1:]


def choose_victim(pool: EnginePool, engine: EngineRecord) -> tuple[str, float] | None:
    """Return the model whose eviction costs least, and that cost in requests."""
    endpoint = engine.view.endpoint
    if endpoint not in pool.victim_by_id:
        pool.victim_by_id[endpoint] = _find_cheapest_victim(pool, engine)
    return pool.victim_by_id[endpoint]


def _find_cheapest_victim(pool: EnginePool, engine: EngineRecord) -> tuple[str, float] | None:
    best: tuple[str, float] | None = None
    for name in pool.usable_models(engine):
        if pool.now - engine.loaded_at.get(name, float("-inf")) < MIN_RESIDENCE_S:
            continue
        demand = pool.demand_for(name)
        copies = len(pool.copies(name))
        if copies <= 1:
            if demand.waiting:
                continue
            loss = 2.0 * HORIZON_S * demand.rate + 2.0 * demand.running
        else:
            # Running requests complete before the unload, and the other copies serve new requests.
            total_slots = pool.spec.slots * (copies - 1)
            excess_requests = max(
                0.0, demand.running + demand.waiting - SCALE_OUT_SHARE * total_slots
            )
            failover_loss = 0.3 * HORIZON_S * demand.rate if copies == 2 else 0.0
            loss = excess_requests + failover_loss + 0.3 * demand.running / copies
        if best is None or loss < best[1]:
            best = (name, loss)
    return best


def choose_warming_victim(spec: EngineSpec, engine: EngineRecord, resident: dict[str, int]) -> str:
    """Return the model to evict for the warm-up of the disk cache, empty when there is none.

    It is the one with the fewest copies among those that the engine can reload from its disk. A
    model with many copies at the start had high demand before, so it is kept.
    """
    reloadable = [
        name
        for name in engine.adapters
        if name in engine.on_disk
        and name in spec.model_by_name
        and not spec.model_by_name[name].adapters
    ]
    return min(reloadable, key=lambda name: (resident[name], name), default="")


def max_low_demand_loads(engines: list[EngineRecord]) -> int:
    """Return how many engines may load low-demand models from the weight store at the same time."""
    return max(1, int(LOW_DEMAND_LOAD_SHARE * sum(engine.is_usable for engine in engines)))
