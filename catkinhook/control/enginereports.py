"""Updates of the lease holder's engine records from the engines' reports.

A report is some hundred milliseconds old, and it shows what an engine holds, not the order that it
is executing. What a record only expects, such as the end of a load, therefore stays counted until a
report confirms it.
"""

import attrs

from catkinhook.control.enginerecords import EngineRecord, OpenOrder, group_adapters
from catkinhook.control.sequencedorders import EngineState, SequencedOrder

# Maximum age of the state in a report when it is read.
REPORT_LAG_S = 0.35
# Order of an engine that is busy for a reason unknown here. Only a report can show its completion.
_UNKNOWN_ORDER = SequencedOrder(is_load=False, model="", expected=0, holder="", fence=0)


@attrs.frozen(kw_only=True)
class RecordCorrection:
    """Change of an engine's record by a report with the same sequence number.

    :ivar busy: whether the report says that the engine is executing an order.
    :ivar added: models and adapters that the record did not count before.
    :ivar dropped: models and adapters that the record counted before.
    :ivar reopened: whether an order whose expected end has passed counts as open again.
    """

    sequence: int
    busy: bool
    reopened: bool
    added: tuple[str, ...]
    dropped: tuple[str, ...]


def apply_report(
    engine: EngineRecord, state: EngineState, requested_at: float
) -> RecordCorrection | None:
    """Update an engine's record from a report of the same boot.

    :param requested_at: time at which the report was requested.
    :returns: what the report changed at an unchanged sequence number, None for nothing.
    """
    engine.reported_at = requested_at
    # A lower sequence number is that of an older state, unless the report is known to be newer
    # than the reply after which the record's number is in doubt.
    doubted_at = engine.resync_at if engine.resync_at is not None else float("inf")
    if state.sequence < engine.sequence and requested_at < doubted_at + REPORT_LAG_S:
        return None
    sequence, counted_before = engine.sequence, engine.counted_items()
    was_open = engine.open_order is not None
    if state.in_memory or state.on_disk:
        engine.in_memory, engine.on_disk = state.in_memory, state.on_disk
    is_resynced = engine.resync_at is not None and requested_at >= engine.resync_at
    if state.sequence > engine.sequence or is_resynced:
        _replace_from_report(engine, state, requested_at)
    elif engine.resync_at is None and engine.in_flight_order is None:
        _compare_with_report(engine, state, requested_at)
    counted = engine.counted_items()
    reopened = engine.open_order is not None and not was_open
    if state.sequence != sequence or (counted == counted_before and not reopened):
        return None
    return RecordCorrection(
        sequence=sequence,
        busy=state.busy,
        reopened=reopened,
        added=tuple(sorted(counted - counted_before)),
        dropped=tuple(sorted(counted_before - counted)),
    )


def _replace_from_report(engine: EngineRecord, state: EngineState, now: float) -> None:
    """Replace the engine's state, because the report may reflect orders unknown here."""
    known_order = engine.open_order or engine.unconfirmed_order
    late_order = known_order if state.sequence == engine.sequence else None
    engine.sequence = state.sequence
    engine.resync_at = None
    engine.unanswered_order = None
    engine.adapters = group_adapters(state)
    engine.ready_at_by_adapter = dict.fromkeys(state.incoming, now + REPORT_LAG_S)
    engine.open_order = engine.unconfirmed_order = None
    if state.busy:
        engine.open_order = _find_order_in_progress(late_order, now)


def _compare_with_report(engine: EngineRecord, state: EngineState, requested_at: float) -> None:
    """Correct the expected state from a report with the known sequence number."""
    order = engine.open_order
    if order is None:
        if requested_at < max(engine.loaded_at.values(), default=0.0) + REPORT_LAG_S:
            return
        if state.busy:
            _reopen_order(engine, state, requested_at)
        else:
            # Adapters in transit occupy slots, so they stay counted until a report lists them
            # as resident.
            engine.ready_at_by_adapter = dict.fromkeys(state.incoming, requested_at + REPORT_LAG_S)
            engine.adapters = group_adapters(state)
            engine.unconfirmed_order = None
        return
    is_unloading = f"{order.order.model}/{order.order.adapter}" in state.adapters
    if state.busy or is_unloading or requested_at < order.sent_at + REPORT_LAG_S:
        return
    engine.open_order = engine.unconfirmed_order = None
    engine.adapters = group_adapters(state)
    engine.ready_at_by_adapter = dict.fromkeys(state.incoming, requested_at)
    if not order.order.adapter:
        engine.loaded_at[order.order.model] = requested_at


def _reopen_order(engine: EngineRecord, state: EngineState, requested_at: float) -> None:
    """Count an order as open again, because it takes longer than expected."""
    engine.open_order = _find_order_in_progress(engine.unconfirmed_order, requested_at)
    engine.unconfirmed_order = None
    engine.adapters = group_adapters(state)


def _find_order_in_progress(late_order: OpenOrder | None, now: float) -> OpenOrder:
    """Return the order that a busy engine is executing, whose end only a report can show.

    :param late_order: order whose expected end has passed, None when none is known.
    """
    order = late_order or OpenOrder(_UNKNOWN_ORDER, now, now)
    return attrs.evolve(order, done_at=float("inf"))
