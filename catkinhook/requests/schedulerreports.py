"""What a host's scheduler reports to other hosts and to the holder of the order lease."""

from collections.abc import Sequence

from catkinhook.requests.endpointassignment import has_capacity
from catkinhook.requests.schedulerstate import PendingRequest, SchedulerState


def sum_demand(
    state: SchedulerState, queue: Sequence[PendingRequest], now: float
) -> dict[tuple[str, str], tuple[float, float, int, int]]:
    """Return request rate, refusal rate, queued and running requests by service and item."""
    waiting: dict[tuple[str, str], int] = {}
    for pending in queue:
        key = (pending.request.service, pending.request.item)
        waiting[key] = waiting.get(key, 0) + 1
    summary = {}
    for key, demand in list(state.demand_by_item.items()):
        rate, unmet = demand.rates(now)
        if rate < 1e-3 and not demand.in_progress and key not in waiting:
            del state.demand_by_item[key]
            continue
        summary[key] = (rate, unmet, waiting.get(key, 0), demand.in_progress)
    return summary


def find_quarantined_attempts(state: SchedulerState) -> list[int]:
    """Return the attempts whose endpoint may crash when it starts to answer."""
    return [
        number
        for number, attempt in state.attempt_by_number.items()
        if attempt.first_event_at is None and state.parts.find(attempt.request.units) is not None
    ]


def find_missing_items(
    state: SchedulerState, queue: Sequence[PendingRequest], now: float
) -> set[tuple[str, str]]:
    """Return the items of queued requests that no reachable endpoint has.

    Where hosts share capacity, an endpoint without room for the request does not count.
    """
    request_by_key = {
        (pending.request.service, pending.request.item): pending.request
        for pending in queue
        if pending.request.item
    }
    return {
        key
        for key, request in request_by_key.items()
        if not any(
            not state.shares_capacity
            or has_capacity(state, state.endpoint_by_id[endpoint], request, now)
            for endpoint in state.find_reachable(*key, now)
        )
    }
