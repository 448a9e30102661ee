"""Records of attempts: their start, the events of their answers and their end."""

from catkinhook.requests import promptpacing
from catkinhook.requests.endpointfigures import find_figures
from catkinhook.requests.estimates import DecayingMean
from catkinhook.requests.outcomes import Outcome
from catkinhook.requests.queuepolicy import EndpointFigures
from catkinhook.requests.routedrequest import Assignment, RoutedRequest
from catkinhook.requests.schedulerstate import (
    Attempt,
    CompletionInterval,
    SchedulerState,
    reserved_tokens,
)
from catkinhook.requests.suspects import EventKind
from catkinhook.state.views import EndpointView

# An endpoint that reported an item as absent receives no requests for it for this long.
ABSENT_ITEM_TTL_S = 1.2
# An endpoint that refused a connection receives no requests for this long.
DOWN_TTL_S = 0.8
# Tokens of an event of a stream.
TOKENS_PER_EVENT = 5


def start_attempt(
    state: SchedulerState,
    request: RoutedRequest,
    view: EndpointView,
    reply_margin_s: float,
    now: float,
) -> Assignment:
    """Record an attempt that starts, and return its assignment.

    :param reply_margin_s: time by which the endpoint's deadline is earlier than that of the host.
    """
    number, state.next_attempt = state.next_attempt, state.next_attempt + 1
    figures = find_figures(state, request, view, now) if state.shares_capacity else None
    load = state.load(view.endpoint)
    uncached_tokens, hinted_share = state.estimate_uncached_tokens(request, view, now)
    state.attempt_by_number[number] = Attempt(
        request,
        view.endpoint,
        view.boot_id,
        now,
        load.current(),
        uncached_tokens,
        hinted_share,
    )
    if state.shares_capacity:
        forecast = state.selection.forecast(request, view, now)
        state.attempt_by_number[number].forecast = forecast
    load.start(now)
    reserved = reserved_tokens(request)
    state.room.start(number, view.endpoint, request.model, uncached_tokens, reserved, now)
    tokens = state.reserved_tokens_by_id.get(view.endpoint, 0) + reserved
    state.reserved_tokens_by_id[view.endpoint] = tokens
    state.demand(request).in_progress += 1
    return _make_assignment(state, number, request, view, figures, reply_margin_s, now)


def _make_assignment(
    state: SchedulerState,
    attempt: int,
    request: RoutedRequest,
    view: EndpointView,
    figures: EndpointFigures | None,
    reply_margin_s: float,
    now: float,
) -> Assignment:
    """Return the assignment of an attempt that was recorded.

    :param figures: figures of the endpoint without this request, None where capacity is not
        shared.
    """
    if figures is None:
        priority = promptpacing.route_priority(request)
        return Assignment(endpoint=view, attempt=attempt, priority=priority)
    return Assignment(
        endpoint=view,
        attempt=attempt,
        priority=state.policy.record_start(attempt, request, figures, now),
        prompt_class=state.policy.find_prompt_class(request),
        reply_margin_s=reply_margin_s,
    )


def record_first_event(
    state: SchedulerState, attempt: int, now: float, is_success: bool = True
) -> None:
    """Record the arrival of the first bytes of an attempt's answer.

    :param is_success: whether the answer is not an error. An error shows nothing about the
        prompt: an engine whose deadline ends while it reads the prompt answers 504.
    """
    record = state.attempt_by_number.get(attempt)
    if record is None or record.first_event_at is not None:
        return
    record.first_event_at = record.observed_at = now
    state.policy.record_read(attempt)
    record.is_success = is_success
    request = record.request
    state.refusing.record_answer(record.endpoint, record.started_at)
    state.room.record_first_event(attempt)
    if record.forecast is not None:
        state.selection.record_first_event(
            request,
            record.endpoint,
            record.forecast,
            now - record.started_at,
            now,
            record.hinted_share,
            is_success,
        )
    elif request.item:
        full = state.estimates.first_token_seconds(
            record.endpoint, request.model, request.prompt_tokens, record.load, now
        )
        state.prefixes.update_saving(record.hinted_share, full, now - record.started_at)
    state.estimates.observe_first_token(
        record.endpoint,
        request.model,
        record.uncached_tokens,
        record.load,
        now - record.started_at,
        now,
    )
    state.prefixes.record(record.endpoint, request.prefixes, now)


def record_events(state: SchedulerState, attempt: int, events: int, now: float) -> None:
    """Update the estimated decode speed of an endpoint from the events of one stream.

    :param events: events since the last call, or since the first event.
    """
    record = state.attempt_by_number.get(attempt)
    if record is None or record.first_event_at is None:
        return
    load = state.load(record.endpoint).current()
    seconds = now - record.observed_at
    model = record.request.model
    state.estimates.observe_tokens(record.endpoint, model, events + 1, load, seconds, now)
    if events > 0 and seconds > 0.0 and state.shares_capacity:
        state.room.observe_events(record.endpoint, model, seconds / events, now)
    record.observed_at = now
    record.events += events
    if state.shares_capacity:
        # The next call comes after as many events at most.
        output_tokens = (record.events + events) * TOKENS_PER_EVENT
        state.room.record_tokens(attempt, record.request.prompt_tokens + output_tokens)


def record_harmless(state: SchedulerState, attempt: int, now: float) -> None:
    """Record that an attempt's answer got beyond its beginning, which clears its prompt."""
    record = state.attempt_by_number.get(attempt)
    if record is not None and record.is_success and not record.is_harmless:
        record.is_harmless = True
        state.parts.record_answer(record.request.units, now)


def record_crash(
    state: SchedulerState, attempt: int, has_started: bool, now: float, has_begun: bool = False
) -> None:
    """Record that the endpoint of an attempt crashed when its answer had at most begun.

    An endpoint that is leaving or was removed has ended as planned, which no request caused.

    :param has_started: whether the endpoint had started to answer, without an event.
    :param has_begun: whether it had just sent the first events.
    """
    record = state.attempt_by_number.get(attempt)
    if record is None or record.is_harmless or _is_leaving(state, record):
        return
    request = record.request
    # The entry may already be that of the next start.
    crash_id = (record.endpoint, record.boot_id)
    state.parts.record_crash(request.units, crash_id, has_started, now, has_begun)
    if record.first_event_at is not None and not has_begun:
        # Two crashes quarantine a whole request, too few for a stream that had gone on.
        return
    state.suspects.record(
        EventKind.CRASH, request.fingerprint, request.model, now, record.endpoint, record.boot_id
    )


def finish(
    state: SchedulerState,
    attempt: int,
    outcome: Outcome,
    now: float,
    is_absent: bool = False,
    is_down: bool = False,
    is_unbounded: bool = False,
) -> bool:
    """End an attempt.

    :param is_absent: whether the endpoint reported that it does not have the item.
    :param is_down: whether the endpoint can't be reached.
    :param is_unbounded: whether the endpoint sent more bytes than an answer may have. It is
        then ejected at once.
    :returns: whether the attempt was in progress.
    """
    record = state.attempt_by_number.pop(attempt, None)
    if record is None:
        return False
    request, endpoint = record.request, record.endpoint
    state.policy.record_read(attempt)
    if state.shares_capacity and outcome is Outcome.COMPLETED:
        held_s = now - record.started_at
        state.policy.holding_times.record(request.service, request.model, held_s, now)
    state.load(endpoint).finish(now)
    state.room.finish(attempt, now)
    used = state.reserved_tokens_by_id.get(endpoint, 0) - reserved_tokens(request)
    state.reserved_tokens_by_id[endpoint] = max(0, used)
    state.forget_absent_load(endpoint)
    demand = state.demand(request)
    demand.in_progress = max(0, demand.in_progress - 1)
    state.interval_by_service.setdefault(request.service, CompletionInterval()).record(now)
    if is_down:
        state.down_until[endpoint] = now + DOWN_TTL_S
    if is_absent:
        state.absent_until[endpoint, request.item] = now + ABSENT_ITEM_TTL_S
    elif outcome is Outcome.COMPLETED:
        if record.is_success and not record.is_harmless:
            state.parts.record_answer(request.units, now)
        state.ejections.record_success(endpoint)
        if record.events:
            mean = state.events_by_route.setdefault(request.route.name, DecayingMean())
            mean.observe(record.events, now)
        if state.suspects.crash_times(request.fingerprint, now):
            state.suspects.record(EventKind.CLEAR, request.fingerprint, request.model, now)
    elif outcome is not Outcome.CANCELLED:
        if outcome is Outcome.NOT_RUN and not is_down:
            state.refusing.record_refusal(endpoint, now)
        ejects = outcome is Outcome.CRASHED or is_unbounded
        state.ejections.record_failure(endpoint, ejects, now)
    if record.is_probe and outcome is not Outcome.COMPLETED:
        state.suspects.record(EventKind.END, request.fingerprint, request.model, now, endpoint)
    return True


def _is_leaving(state: SchedulerState, record: Attempt) -> bool:
    """Return whether the endpoint of an attempt was removed or is leaving."""
    view = state.endpoint_by_id.get(record.endpoint)
    return (
        view is None
        or view.leaving
        or state.availability.is_leaving(record.endpoint, record.boot_id)
    )
