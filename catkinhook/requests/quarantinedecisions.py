"""Decisions on requests that may crash endpoints."""

from collections.abc import Callable

from catkinhook.errors import Ran, Refusal
from catkinhook.requests.requesthold import RequestHold, find_hold
from catkinhook.requests.routedrequest import Assignment, Decision
from catkinhook.requests.schedulerstate import (
    STEP,
    PendingRequest,
    SchedulerState,
    refusal_status,
)
from catkinhook.requests.suspects import EventKind
from catkinhook.requests.waitrefusals import RETRY_AFTER_MAX_S, RETRY_AFTER_MIN_S


def decide_quarantined(
    state: SchedulerState,
    pending: PendingRequest,
    assign: Callable[[PendingRequest, float], Assignment | None],
    now: float,
) -> Decision | None:
    """Refuse a quarantined request or assign it as a probe; return None for any other.

    :param assign: starts an attempt of a request if an endpoint can take it now.
    """
    request = pending.request
    hold = find_hold(state.suspects.crash_times(request.fingerprint, now))
    if hold is not None and now < hold.ends_at:
        return _decide_held(state, pending, hold, assign, now)
    quarantine = state.parts.find(request.units)
    if quarantine is None:
        return None
    is_first_attempt = pending.ran is Ran.NO and not pending.exclude
    if is_first_attempt and state.parts.is_probe_due(request.units, now):
        assignment = assign(pending, now)
        if assignment is not None:
            state.parts.record_probe(request.units, now)
            return assignment
    reason = (
        f"prompt part {quarantine.key} is quarantined: it crashed "
        f"{quarantine.describe_crashes(now)}"
    )
    retry_after_s = max(RETRY_AFTER_MIN_S, quarantine.probe_due_at() - now)
    return _make_quarantine_refusal(pending, reason, min(RETRY_AFTER_MAX_S, retry_after_s))


def _decide_held(
    state: SchedulerState,
    pending: PendingRequest,
    hold: RequestHold,
    assign: Callable[[PendingRequest, float], Assignment | None],
    now: float,
) -> Decision:
    """Assign a request that crashed endpoints as a probe if one is due, or refuse it."""
    request = pending.request
    is_probe_due = (
        now >= hold.probe_at
        and pending.ran is Ran.NO
        and not pending.exclude
        and state.may_probe()
        and not state.suspects.has_running_probe(request.fingerprint, now)
    )
    assignment = assign(pending, now) if is_probe_due else None
    if assignment is not None:
        state.attempt_by_number[assignment.attempt].is_probe = True
        state.suspects.record(
            EventKind.PROBE,
            request.fingerprint,
            request.model,
            now,
            assignment.endpoint.endpoint,
        )
        return assignment
    reason = f"the request crashed endpoints {hold.crashes} times and is quarantined"
    retry_after_s = max(RETRY_AFTER_MIN_S, min(hold.probe_at, hold.ends_at) - now)
    return _make_quarantine_refusal(pending, reason, min(RETRY_AFTER_MAX_S, retry_after_s))


def _make_quarantine_refusal(pending: PendingRequest, reason: str, retry_after_s: float) -> Refusal:
    status = refusal_status(pending.ran)
    return Refusal(STEP, "", reason, "quarantined", status, pending.ran, retry_after_s)
