"""Choice of the models that get another copy, and of the engine and the model to evict for it.

The load pattern is that of ``copyroom``. For the log, ``explain_missing_load`` tells why a model
that lacks slots gets no copy.
"""

import attrs

from catkinhook.control.copyroom import (
    FAILOVER_SHARE,
    FULL_USE_SHARE,
    STEADY_RATE,
    STORE_LOAD_COST,
    TARGET_USE_SHARE,
    CopyRoom,
    Option,
)
from catkinhook.control.enginerecords import EngineRecord
from catkinhook.control.modelcopies import DELAY_COST, HORIZON_S, MIN_GAIN, SPARE_COPY_RATE
from catkinhook.requests.routetable import ModelSpec

# Refusals per second that a refusal of the last 2 s causes. Without one or a waiting request,
# a model of low demand is not loaded, because nobody is there to use it.
RECENT_REFUSAL_RATE = 0.12
# Copies of one model that one plan may start to load.
MAX_COPIES_AT_ONCE = 4
# Reasons for which no load is planned for a model that lacks slots.
NO_ENGINE_FREE = "no engine free"
COST_ABOVE_GAIN = "cost above gain"
LOAD_LIMIT = "load limit"
VICTIM_BUSY = "eviction victim busy"


def find_copy_needs(room: CopyRoom) -> list[tuple[str, float]]:
    """Return the models that need another copy, with its gain in requests."""
    needs = []
    pool = room.pool
    for name, demand in pool.demand.items():
        if name not in pool.spec.model_by_name:
            continue
        copies, loading = pool.copies(name), pool.loading(name)
        expected_requests = demand.waiting + HORIZON_S * max(demand.rate, demand.unmet)
        if not copies and not loading:
            is_asked_for = demand.waiting or demand.unmet >= RECENT_REFUSAL_RATE
            if expected_requests > MIN_GAIN and (is_asked_for or demand.rate >= STEADY_RATE):
                needs.append((name, room.first_copy_gain(name)))
            continue
        gain = room.highest_gain(name) if room.shortage(name) > 0.0 else 0.0
        if len(copies) + len(loading) == 1 and demand.rate >= SPARE_COPY_RATE:
            gain = max(gain, FAILOVER_SHARE * HORIZON_S * demand.rate)
        if gain > MIN_GAIN:
            needs.append((name, gain))
    return needs


@attrs.frozen(kw_only=True)
class _Evaluation:
    """Gain and cost in requests of a copy on an engine, and the model to evict first."""

    benefit: float
    cost: float
    victim: str
    seconds: float


@attrs.frozen(kw_only=True)
class _Wanted:
    """What a copy of a model is for.

    :ivar slots: slots that it should have.
    :ivar is_spare: it is for failover alone.
    """

    slots: float
    is_first: bool
    is_spare: bool


def _find_wanted(room: CopyRoom, name: str) -> _Wanted:
    """Return what another copy of a model is for."""
    is_first = not room.pool.copies(name)
    slots = room.required(name) if is_first else room.shortage(name)
    is_spare = not is_first and slots <= 0.0
    # A copy for failover needs as much room as the model uses.
    slots = max(1.0, slots or room.required(name))
    return _Wanted(slots=slots, is_first=is_first, is_spare=is_spare)


def _evaluate(
    room: CopyRoom, model: ModelSpec, wanted: _Wanted, option: Option, gain: float
) -> _Evaluation | None:
    """Return the gain and cost of a copy on an engine, None if there is no place for it."""
    engine = option.engine
    load_s = engine.load_seconds(model)
    seconds = load_s + option.busy_s
    loss = option.running_cost + DELAY_COST * load_s * option.adapter_rate
    victim, free_slots = "", option.room
    if model.memory_mb > option.free_mb:
        # A copy for failover alone does not evict a requested model.
        if not option.victim or (wanted.is_spare and room.is_requested(option.victim)):
            return None
        victim, free_slots = option.victim, option.room_without_victim
        loss += option.victim_loss
        seconds += option.drain_s
    if wanted.is_first or wanted.is_spare:
        benefit = gain * min(1.0, free_slots / wanted.slots) * HORIZON_S / (HORIZON_S + seconds)
    else:
        added = free_slots * FULL_USE_SHARE / TARGET_USE_SHARE
        benefit = room.copy_gain(model.name, added, seconds)
    is_from_store = not engine.has_local_weights(model.name)
    cost = loss + (STORE_LOAD_COST if is_from_store else 0.0)
    return _Evaluation(benefit=benefit, cost=cost, victim=victim, seconds=seconds)


def choose_engine(
    room: CopyRoom, model: ModelSpec, gain: float
) -> tuple[EngineRecord, str, float] | None:
    """Return the engine for a new copy, the model to evict first, and the seconds until ready.

    :param gain: highest gain in requests that a copy may have.
    """
    best: tuple[float, EngineRecord, str, float] | None = None
    wanted = _find_wanted(room, model.name)
    for option in room.options():
        # The options that follow cost more, and no copy gains more than ``gain``.
        least_net = best[0] if best is not None else MIN_GAIN
        if gain - option.least_loss <= least_net:
            break
        engine = option.engine
        # More copies of a model that has one do not justify the wait for a busy engine.
        if model.name in engine.adapters or not (wanted.is_first or engine.is_free):
            continue
        found = _evaluate(room, model, wanted, option, gain)
        if found is None:
            continue
        net = found.benefit - found.cost
        # The first copy is loaded on the best engine even if all engines are full.
        is_worth = found.cost + MIN_GAIN < (gain if wanted.is_first else found.benefit)
        if is_worth and (best is None or net > best[0]):
            best = (net, engine, found.victim, found.seconds)
    return None if best is None else best[1:]


def explain_missing_load(room: CopyRoom, name: str) -> tuple[str, float, float]:
    """Return why no load is planned for a model that lacks slots, with the gain and the cost.

    The gain and the cost, in requests, are those of the best engine, zero if there is none.
    """
    if name in room.reason_by_model:
        return room.reason_by_model[name], 0.0, 0.0
    pool, model = room.pool, room.pool.spec.model_by_name[name]
    engines = [e for e in pool.load_candidates() if e.is_free and name not in e.adapters]
    if not engines:
        return NO_ENGINE_FREE, 0.0, 0.0
    gain = room.highest_gain(name) if pool.copies(name) else room.first_copy_gain(name)
    wanted = _find_wanted(room, model.name)
    found = [
        _evaluate(room, model, wanted, option, gain)
        for option in room.options()
        if option.engine.is_free and name not in option.engine.adapters
    ]
    known = [evaluation for evaluation in found if evaluation is not None]
    if not known:
        return VICTIM_BUSY, 0.0, 0.0
    best = max(known, key=lambda evaluation: evaluation.benefit - evaluation.cost)
    return COST_ABOVE_GAIN, best.benefit, best.cost
