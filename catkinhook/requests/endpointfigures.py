"""Figures of endpoints that the decisions on a request need."""

from catkinhook.requests import capacity
from catkinhook.requests.queuepolicy import EndpointFigures
from catkinhook.requests.routedrequest import RoutedRequest
from catkinhook.requests.schedulerstate import SchedulerState
from catkinhook.state.views import EndpointView


def find_figures(
    state: SchedulerState,
    request: RoutedRequest,
    view: EndpointView,
    now: float,
    has_reading: bool = True,
) -> EndpointFigures:
    """Return what is known of an endpoint that may take a request, of all hosts together.

    :param has_reading: whether the figures about the reading of prompts are needed.
    """
    endpoint, room = view.endpoint, state.room
    unread_tokens = token_s = uncached_tokens = 0.0
    if has_reading:
        uncached_tokens, _ = state.estimate_uncached_tokens(request, view, now)
        token_s = room.prompt_token_seconds(endpoint, request.model, now)
        token_s *= room.pace(endpoint, now)
        unread_tokens = room.unread_prompt_tokens(endpoint, now)
    return EndpointFigures(
        endpoint=endpoint,
        places=state.selection.count_places(request, view),
        load=room.requests(endpoint, now),
        unread_tokens=unread_tokens,
        token_seconds=token_s,
        own_tokens=uncached_tokens,
    )


def expect_first_event(state: SchedulerState, request: RoutedRequest, now: float) -> float:
    """Return the time from a request's start to its first event, 0 if it is plain.

    It is predicted for an endpoint of mean speed that has nothing else to read.
    """
    if not request.item:
        return 0.0
    token_s = state.room.prompt_token_seconds("", request.model, now)
    return capacity.first_event_seconds(0.0, request.prompt_tokens, token_s, 0.0, 1.0)
