"""Assignment of a request to one of the endpoints that can take it."""

import math

import attrs

from catkinhook.errors import Ran
from catkinhook.requests import attemptrecords, endpointselection, retries
from catkinhook.requests.endpointfigures import expect_first_event, find_figures
from catkinhook.requests.queuepolicy import EndpointFigures
from catkinhook.requests.routedrequest import Assignment, RoutedRequest
from catkinhook.requests.schedulerstate import (
    LARGE_OUTPUT_FACTOR,
    PLAIN_QUEUE_RATIO,
    PendingRequest,
    SchedulerState,
    reserved_tokens,
)
from catkinhook.state.views import EndpointView

# Share of the KV cache that may be reserved; the rest is headroom for answers that exceed the mean
# length.
MAX_CACHE_SHARE = 0.92


def try_assign(
    state: SchedulerState, pending: PendingRequest, reply_margin_s: float, now: float
) -> Assignment | None:
    """Start an attempt of a request if an endpoint can take it now.

    :param reply_margin_s: time by which the endpoint's deadline is earlier than that of the host.
    """
    request = pending.request
    found = _usable_endpoints(state, pending, now)
    if state.shares_capacity:
        # Only the decisions on long prompts need the figures about reading at all endpoints.
        is_long = state.policy.is_long(request)
        figures_by_id = {
            view.endpoint: find_figures(state, request, view, now, is_long) for view in found
        }
        found = _leave_room(state, request, found, figures_by_id, now)
        chosen = state.selection.choose(
            request, found, now, lambda found: _weigh(state, request, found, figures_by_id, now)
        )
        return (
            None
            if chosen is None
            else attemptrecords.start_attempt(state, request, chosen, reply_margin_s, now)
        )
    best = endpointselection.choose_best([_predict(state, request, view, now) for view in found])
    if best is None:
        return None
    return attemptrecords.start_attempt(
        state, request, state.endpoint_by_id[best.endpoint], reply_margin_s, now
    )


def _usable_endpoints(
    state: SchedulerState, pending: PendingRequest, now: float
) -> list[EndpointView]:
    """Return endpoints with spare capacity that are not ejected, or one that is ejected."""
    request = pending.request
    resident = [
        state.endpoint_by_id[endpoint]
        for endpoint in state.find_reachable(request.service, request.item, now)
        if state.absent_until.get((endpoint, request.item), 0.0) <= now
    ]
    # If all endpoints were tried, a request that can't have run may use one of them again.
    untried = [view for view in resident if view.endpoint not in pending.exclude]
    if not untried and pending.ran is Ran.NO:
        untried = resident
    if pending.is_charged:
        untried = [
            view
            for view in untried
            if state.refusing.may_repeat(view.endpoint, view.endpoint in pending.exclude, now)
        ]
    available = [view for view in untried if has_capacity(state, view, request, now)]
    # An ejected endpoint with spare capacity is preferred to queueing for a full one.
    return retries.exclude_ejected(
        available,
        lambda view: state.ejections.is_ejected(view.endpoint, now),
        lambda view: state.ejections.ejection_end(view.endpoint),
    )


def _has_shared_capacity(
    state: SchedulerState, view: EndpointView, request: RoutedRequest, now: float
) -> bool:
    spec = state.table.service_by_name.get(request.service) if state.table else None
    has_cache = request.item and spec is not None and spec.engine is not None
    limit = MAX_CACHE_SHARE * spec.engine.cache_tokens if has_cache else math.inf
    return state.selection.has_capacity(request, view, reserved_tokens(request), limit, now)


def has_capacity(
    state: SchedulerState, view: EndpointView, request: RoutedRequest, now: float
) -> bool:
    """Return whether an endpoint has a free slot and KV cache for a request."""
    if state.shares_capacity:
        return _has_shared_capacity(state, view, request, now)
    load = state.load(view.endpoint).current()
    if not request.item:
        return load < max(1, view.slots) * (1.0 + PLAIN_QUEUE_RATIO)
    if load >= max(1, view.slots):
        return False
    spec = state.table.service_by_name.get(request.service) if state.table else None
    if spec is None or spec.engine is None:
        return True
    own_tokens = state.reserved_tokens_by_id.get(view.endpoint, 0)
    other_requests = max(0.0, load - state.load(view.endpoint).own_requests)
    # Requests of other hosts are assumed to reserve as many tokens as those of this host do.
    reserved = reserved_tokens(request)
    mean_reserved = own_tokens / max(1, _own_requests(state, view)) if own_tokens else reserved
    used = own_tokens + other_requests * mean_reserved
    return used == 0 or used + reserved <= MAX_CACHE_SHARE * spec.engine.cache_tokens


def _own_requests(state: SchedulerState, view: EndpointView) -> int:
    return state.load(view.endpoint).own_requests


def _predict(
    state: SchedulerState, request: RoutedRequest, view: EndpointView, now: float
) -> endpointselection.Prediction:
    load = state.load(view.endpoint).current()
    uncached_tokens, _ = state.estimate_uncached_tokens(request, view, now)
    first_event_s = state.estimates.first_token_seconds(
        view.endpoint, request.model, uncached_tokens, load, now
    )
    event_interval_s = finish_s = 0.0
    mean = state.events_by_route.get(request.route.name)
    if mean is not None:
        event_interval_s = state.estimates.token_seconds(view.endpoint, request.model, load, now)
        finish_s = first_event_s + LARGE_OUTPUT_FACTOR * mean.value * event_interval_s
    route = request.route
    targets = (max(1e-3, route.objective_s), route.gap_s or math.inf, route.timeout_s)
    return endpointselection.Prediction(
        endpoint=view.endpoint,
        ratio=endpointselection.latency_ratio(first_event_s, event_interval_s, finish_s, targets),
        finish_s=first_event_s,
        same_zone=view.zone == state.zone,
    )


def _leave_room(
    state: SchedulerState,
    request: RoutedRequest,
    views: list[EndpointView],
    figures_by_id: dict[str, EndpointFigures],
    now: float,
) -> list[EndpointView]:
    """Return the endpoints at which a request leaves enough room for more urgent ones."""
    first_event_s = expect_first_event(state, request, now)
    return [
        view
        for view in views
        if state.policy.may_start(request, figures_by_id[view.endpoint], first_event_s, now)
    ]


def _weigh(
    state: SchedulerState,
    request: RoutedRequest,
    predictions: list[endpointselection.Prediction],
    figures_by_id: dict[str, EndpointFigures],
    now: float,
) -> list[endpointselection.Prediction]:
    """Return predictions that take into account what a long prompt costs pending short ones."""
    if not state.policy.is_long(request):
        return predictions
    weighed = []
    for found in predictions:
        # The prediction already has the time to read what is ahead.
        figures = attrs.evolve(figures_by_id[found.endpoint], unread_tokens=0.0)
        weighed.append(state.policy.weigh(request, found, figures, now))
    return weighed
