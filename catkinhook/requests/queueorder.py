"""Order of a host's queued requests, and which of them share a decision."""

from catkinhook.requests import fairqueue
from catkinhook.requests.endpointfigures import expect_first_event
from catkinhook.requests.routedrequest import RoutedRequest
from catkinhook.requests.schedulerstate import PendingRequest, SchedulerState


def sort_queue(
    state: SchedulerState, queue: list[PendingRequest], now: float
) -> list[PendingRequest]:
    """Return the queued requests in the order in which they are decided on."""
    if not state.shares_capacity:
        return sorted(queue, key=lambda pending: fairqueue.deadline_key(pending.request, now))
    requests = [pending.request for pending in queue]
    seconds = [expect_first_event(state, request, now) for request in requests]
    return [queue[index] for index in state.policy.sort(requests, seconds, now)]


def block_key(state: SchedulerState, request: RoutedRequest, now: float) -> tuple[object, ...]:
    """Return a key that is equal for requests that the same endpoints can take."""
    key = (request.service, request.item)
    if not state.shares_capacity:
        return key
    first_event_s = expect_first_event(state, request, now)
    return (*key, *state.policy.describe_needs(request, first_event_s, now))
