"""Refusals of requests that can't start in time, with reasons and Retry-After."""

import math
from collections.abc import Callable

from catkinhook.errors import Ran, Refusal
from catkinhook.requests import refusalreasons, startforecast
from catkinhook.requests.endpointavailability import MAX_PAUSE_S
from catkinhook.requests.endpointfigures import expect_first_event, find_figures
from catkinhook.requests.refusalreasons import MAX_EXPLAINED_ENDPOINTS, EndpointState, WaitForecast
from catkinhook.requests.refusals import AVOID_S
from catkinhook.requests.routedrequest import RoutedRequest
from catkinhook.requests.schedulerstate import (
    STEP,
    CompletionInterval,
    PendingRequest,
    SchedulerState,
    refusal_status,
)

# An attempt must start this long before the caller times out, or its answer arrives too late.
START_MARGIN_S = 0.25
# Share of the caller's timeout for which a request may be queued while no forecast says when its
# item will be available.
NO_FORECAST_WAIT_SHARE = 0.3
RETRY_AFTER_MIN_S = 0.2
RETRY_AFTER_MAX_S = 10.0
# Time within which the holder tells of another copy after the last endpoint of an item said that it
# leaves.
LEAVING_RETRY_AFTER_S = 1.0
# Relative jitter of Retry-After, so that callers refused together don't retry together.
RETRY_AFTER_JITTER_RATIO = 0.25
# Longest queue of one host, which bounds its memory and threads.
MAX_QUEUE_LENGTH = 400


def refuse_if_too_late(
    state: SchedulerState,
    pending: PendingRequest,
    queued_ahead: int,
    queue_length: int,
    explain: Callable[[RoutedRequest, float], str],
    now: float,
) -> Refusal | None:
    """Refuse a request that no endpoint can take now, or return None if it stays queued.

    :param queued_ahead: requests ahead of it that stay queued.
    :param queue_length: number of queued requests.
    :param explain: returns why a request can't start at once.
    """
    request = pending.request
    latest_start = request.caller_deadline() - START_MARGIN_S
    next_at = find_next_return(state, request, now)
    forecast = _forecast_wait(state, pending, queued_ahead, now) if next_at is None else None
    if forecast is not None:
        ready_at = now + forecast.wait_s
        is_late = startforecast.is_too_late(forecast.wait_s, forecast.time_left_s, forecast.serve_s)
    else:
        ready_at = _predict_start(state, pending, queued_ahead, now) if next_at is None else next_at
        is_late = ready_at > latest_start
    is_refused = next_at is not None or state.is_stopping or is_late
    if not is_refused and queue_length <= MAX_QUEUE_LENGTH:
        return None
    return refuse_to_wait(state, pending, ready_at, next_at, explain, now, forecast)


def _forecast_wait(
    state: SchedulerState, pending: PendingRequest, queued_ahead: int, now: float
) -> WaitForecast | None:
    """Forecast the start of a request for which all endpoints are full.

    :returns: None where capacity is not shared, no endpoint can take the request, or nothing is
        known of the time that requests hold a place.
    """
    request = pending.request
    holding_s = state.policy.holding_times.find(request.service, request.model, now)
    if not state.shares_capacity or holding_s is None:
        return None
    views = [
        state.endpoint_by_id[endpoint]
        for endpoint in state.find_reachable(request.service, request.item, now)
        if pending.ran is Ran.NO or endpoint not in pending.exclude
    ]
    if not views:
        return None
    figures = [find_figures(state, request, view, now, has_reading=False) for view in views]
    endpoints = [startforecast.EndpointPlaces(item.places, item.load) for item in figures]
    is_stream = request.route.is_stream
    return WaitForecast(
        wait_s=startforecast.predict_wait(endpoints, holding_s, queued_ahead),
        places=sum(endpoint.places for endpoint in endpoints),
        holding_s=holding_s,
        ahead=queued_ahead,
        time_left_s=request.caller_deadline() - now,
        serve_s=expect_first_event(state, request, now) if is_stream else holding_s,
    )


def refuse_to_wait(
    state: SchedulerState,
    pending: PendingRequest,
    ready_at: float,
    next_at: float | None,
    explain: Callable[[RoutedRequest, float], str],
    now: float,
    forecast: WaitForecast | None = None,
) -> Refusal:
    """Refuse a request that can't start in time.

    :param ready_at: predicted start.
    :param next_at: result of ``find_next_return``.
    :param explain: returns why a request can't start at once.
    """
    request = pending.request
    reason = explain(request, now)
    if forecast is not None:
        reason = f"{reason}; {forecast.describe()}"
    if state.is_stopping:
        # Another host can queue the request for longer than this process will run.
        ready_at, reason = now, f"the host is stopping; {reason}"
    if state.shares_capacity and next_at is None:
        time_left_s = request.caller_deadline() - now
        retry_after_s = startforecast.choose_retry_after(ready_at - now, time_left_s, state.rng)
    else:
        # The end of a pause is known, and callers that come earlier are refused again.
        longest_s = RETRY_AFTER_MAX_S if next_at is None else MAX_PAUSE_S
        retry_after_s = min(longest_s, max(RETRY_AFTER_MIN_S, ready_at - now))
        if not math.isfinite(retry_after_s):
            retry_after_s = RETRY_AFTER_MAX_S
        retry_after_s *= 1.0 + RETRY_AFTER_JITTER_RATIO * state.rng.random()
    state.demand(request).count_unmet(now)
    status = refusal_status(pending.ran)
    return Refusal(STEP, "", reason, "no-capacity", status, pending.ran, retry_after_s)


def find_next_return(state: SchedulerState, request: RoutedRequest, now: float) -> float | None:
    """Return when an item may be available again, None unless all endpoints leave or pause.

    If one of them pauses, requests don't wait for the end of the pause, where they would all
    start at once. If all leave, they wait for another copy that the holder has announced.
    """
    key = (request.service, request.item)
    views = [state.endpoint_by_id[endpoint] for endpoint in state.index.find(*key)]
    if not views or any(state.availability.is_available(view, now) for view in views):
        return None
    ends = [state.availability.find_pause_end(view) for view in views]
    if any(end is not None for end in ends):
        return min(end for end in ends if end is not None)
    return None if key in state.forecast_by_item else now + LEAVING_RETRY_AFTER_S


def refuse_repeat(state: SchedulerState, pending: PendingRequest, now: float) -> Refusal | None:
    """Refuse a repeat if each endpoint that could take it refuses all requests.

    The caller may return without spending the retry budget, and reach another host.
    """
    request = pending.request
    avoided_until_by_id = {
        endpoint: state.refusing.avoided_until(endpoint)
        for endpoint in state.find_reachable(request.service, request.item, now)
        if pending.ran is Ran.NO or endpoint not in pending.exclude
    }
    ready_at = min(avoided_until_by_id.values(), default=0.0)
    if not pending.is_charged or ready_at <= now:
        return None
    endpoints = ", ".join(sorted(avoided_until_by_id)[:MAX_EXPLAINED_ENDPOINTS])
    reason = f"all endpoints of {request.item or request.service} refuse requests: {endpoints}"
    retry_after_s = max(AVOID_S, ready_at - now)
    retry_after_s *= 1.0 + RETRY_AFTER_JITTER_RATIO * state.rng.random()
    state.demand(request).count_unmet(now)
    status = refusal_status(pending.ran)
    return Refusal(STEP, "", reason, "no-capacity", status, pending.ran, retry_after_s)


def _predict_start(
    state: SchedulerState, pending: PendingRequest, queued_ahead: int, now: float
) -> float:
    """Return the predicted start of a queued request."""
    request = pending.request
    key = (request.service, request.item)
    # A repeat that may have run must not be sent to the same endpoint again.
    if any(
        pending.ran is Ran.NO or endpoint not in pending.exclude
        for endpoint in state.find_reachable(*key, now)
    ):
        interval_s = state.interval_by_service.get(request.service, CompletionInterval()).seconds
        return now + interval_s * (queued_ahead + 1)
    expected = state.forecast_by_item.get(key)
    if expected is not None:
        return max(now, expected)
    max_wait_s = NO_FORECAST_WAIT_SHARE * (request.caller_deadline() - request.arrived)
    return now if now - pending.queued_at < max_wait_s else math.inf


def explain_wait(
    state: SchedulerState,
    request: RoutedRequest,
    explain_full: Callable[[RoutedRequest, float], str],
    now: float,
) -> str:
    """Return why a request can't start at once.

    :param explain_full: returns the states of the endpoints if all are full.
    """
    key = (request.service, request.item)
    if state.find_reachable(*key, now):
        return explain_full(request, now)
    reason = refusalreasons.explain_missing(
        request.item or request.service,
        find_next_return(state, request, now) is not None,
        key in state.forecast_by_item,
    )
    return f"{reason}; {refusalreasons.explain_forecast_age(state.forecast_at, now)}"


def explain_full(state: SchedulerState, request: RoutedRequest, now: float) -> str:
    """Return the states of the endpoints of a request, which are all full."""
    states = []
    endpoints = state.find_reachable(request.service, request.item, now)
    for endpoint in endpoints[:MAX_EXPLAINED_ENDPOINTS]:
        load = state.load(endpoint).current()
        states.append(
            EndpointState(
                endpoint,
                load,
                state.endpoint_by_id[endpoint].slots,
                state.reserved_tokens_by_id.get(endpoint, 0),
                state.estimates.token_seconds(endpoint, request.model, load, now),
            )
        )
    return refusalreasons.explain_full(request.item or request.service, states)
