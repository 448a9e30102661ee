"""Decisions on copies of models: which need one, on which engine, and what makes room for it."""

from catkinhook.control.enginepool import EnginePool
from catkinhook.control.enginerecords import Demand, EngineRecord
from catkinhook.requests.routes import EngineSpec, ModelSpec

# A model stays for this long after it was loaded, so that those who wait for it are served.
MIN_RESIDENCE_S = 2.0
# Share of an engine's slots in use at which its model gets another copy.
CROWDED_SHARE = 0.5
# Requests a second that one copy serves without a queue of prompts: an engine reads 19 tokens in a
# ms, and prompts have about 1,500. Source: the platform's sheets.
COPY_RATE = 6.0
# Requests a second at which a model should have a second copy, in case its engine is lost.
SPARE_COPY_RATE = 1.0
# Requests a second at which a model that no engine holds is loaded on two engines at once.
HOT_RATE = 3.0
# Part of the engines that may load from the weight store at once for models without many callers.
# The others stay free for models whose demand rises or whose engine is lost.
RARE_LOAD_SHARE = 0.5
# Seconds for which a need is reckoned to last, to weigh it against the loss of another model.
HORIZON_S = 5.0
# Gain of a first copy beyond its requests, so that each model is served now and then.
MISSING_GAIN = 3.0
# Part of a request that is lost for each second of its wait.
DELAY_COST = 0.25
# A model is moved only for a gain of this many requests.
MIN_GAIN = 0.3
# Seconds until the requests of a model that is retired have ended, on average.
RETIRE_S = 2.0


def is_hot(wanted: Demand) -> bool:
    """Whether so many ask for a model that it gets more than one copy at once."""
    return max(wanted.rate, wanted.unmet) >= HOT_RATE


def find_needs(pool: EnginePool) -> list[tuple[str, float]]:
    """Return the models that need a copy, with the requests it would serve, most first."""
    needs = []
    spec = pool.spec
    for name, wanted in pool.demand.items():
        if name not in spec.model_by_name:
            continue
        copies, coming = pool.copies(name), pool.loading(name)
        if coming and (copies or not is_hot(wanted) or len(coming) > 1):
            continue
        lasting = wanted.waiting + HORIZON_S * max(wanted.rate, wanted.unmet)
        if not copies:
            if lasting > MIN_GAIN:
                needs.append((name, MISSING_GAIN + 2.0 * lasting))
            continue
        places = spec.slots * len(copies)
        crowded = wanted.running + wanted.waiting - CROWDED_SHARE * places
        crowded = max(crowded, HORIZON_S * (wanted.rate - COPY_RATE * len(copies)))
        if crowded > 0:
            needs.append((name, crowded))
        elif len(copies) == 1 and wanted.rate >= SPARE_COPY_RATE:
            needs.append((name, 0.3 * wanted.rate * HORIZON_S))
    return sorted(needs, key=lambda need: -need[1])


def choose_engine(
    pool: EnginePool, model: ModelSpec, gain: float
) -> tuple[EngineRecord, str, float] | None:
    """Return the engine for a copy, the model to drop there first, and the seconds it takes.

    :param gain: requests that the copy would serve.
    """
    best: tuple[float, EngineRecord, str, float] | None = None
    for book in pool.places():
        if model.name in book.adapters:
            continue
        seconds = book.load_seconds(model) + pool.busy_seconds(book, model.disk_load_s)
        victim, loss, retire_s = "", 0.0, 0.0
        if pool.memory_mb(book) + model.memory_mb > pool.spec.memory_mb:
            found = choose_victim(pool, book)
            if found is None:
                continue
            victim, loss = found
            retire_s = RETIRE_S if book.running_by_model.get(victim) else 0.0
        # No adapter can be brought there meanwhile, but most of those who wait stay.
        loss += DELAY_COST * seconds * pool.adapter_rate(book)
        if loss + MIN_GAIN >= gain:
            continue
        cost = loss + DELAY_COST * (seconds + retire_s) * gain + 0.02 * book.running
        if best is None or cost < best[0]:
            best = (cost, book, victim, seconds + retire_s)
    return None if best is None else best[1:]


def choose_victim(pool: EnginePool, book: EngineRecord) -> tuple[str, float] | None:
    """Return the model whose copy is missed least, and the requests that its loss costs."""
    endpoint = book.view.endpoint
    if endpoint not in pool.victim_by_id:
        pool.victim_by_id[endpoint] = _compare_victims(pool, book)
    return pool.victim_by_id[endpoint]


def _compare_victims(pool: EnginePool, book: EngineRecord) -> tuple[str, float] | None:
    best: tuple[str, float] | None = None
    for name in pool.usable_models(book):
        if pool.now - book.loaded_at.get(name, float("-inf")) < MIN_RESIDENCE_S:
            continue
        wanted = pool.wanted(name)
        copies = len(pool.copies(name))
        if copies <= 1:
            if wanted.waiting:
                continue
            loss = 2.0 * HORIZON_S * wanted.rate + 2.0 * wanted.running
        else:
            # What runs here is finished first, and the other copies take what comes.
            places = pool.spec.slots * (copies - 1)
            crowded = max(0.0, wanted.running + wanted.waiting - CROWDED_SHARE * places)
            spare = 0.3 * HORIZON_S * wanted.rate if copies == 2 else 0.0
            loss = crowded + spare + 0.3 * wanted.running / copies
        if best is None or loss < best[1]:
            best = (name, loss)
    return best


def choose_spare(spec: EngineSpec, book: EngineRecord, resident: dict[str, int]) -> str:
    """Return a model that can come back from the engine's own disk, rare ones first.

    What many engines hold at the start was busy before.
    """
    spare = [
        name
        for name in book.adapters
        if name in book.on_disk
        and name in spec.model_by_name
        and not spec.model_by_name[name].adapters
    ]
    return min(spare, key=lambda name: (resident[name], name), default="")


def max_rare_loads(books: list[EngineRecord]) -> int:
    """Return how many engines may be in such loads for models without many callers."""
    return max(1, int(RARE_LOAD_SHARE * sum(book.is_usable for book in books)))
