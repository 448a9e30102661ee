"""Forwarding of a host's requests: what its requests in progress share."""

import contextlib
import logging
import threading
import time
from collections.abc import Callable, Iterable

import pykka

from catkinhook.clocks import boot_clock
from catkinhook.errors import Ran, Refusal
from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.operations.hostmetrics import HostMetrics
from catkinhook.requests.attempts import (
    DOWN_FAULT,
    UNAVAILABLE_FAULT,
    UNBOUNDED_FAULT,
    AttemptError,
)
from catkinhook.requests.disconnectmonitor import DisconnectMonitor
from catkinhook.requests.hostscheduler import QUEUE_CHECK_S, PendingRequest, Scheduler
from catkinhook.requests.limitgate import LimitGate
from catkinhook.requests.memorybudget import MemoryBudget
from catkinhook.requests.outcomes import Outcome
from catkinhook.requests.refusals import REPEAT_PAUSE_S
from catkinhook.requests.requestjob import STEP, RequestJob
from catkinhook.requests.retrycounts import RetryBudgetState, RetryCause, RetryCounts
from catkinhook.requests.routedrequest import Assignment, Decision, RoutedRequest
from catkinhook.requests.upstreams import NORMAL_PACE, Reply, Upstream
from catkinhook.stateactor import StateActor

_log = logging.getLogger(__name__)

# Time after the caller's deadline for which a decision of the scheduler is still awaited.
DECISION_GRACE_S = 1.0


class Forwarder:
    """Runs requests of callers, each in the thread that calls ``run``.

    :param on_waiting: called when a request has to wait for an endpoint.
    :param on_crash: called when there is new evidence about prompt parts that crash engines.
    :param limits: limits of workspaces, None if none is enforced.
    :ivar memory: account of the bytes that requests hold.
    """

    def __init__(
        self,
        scheduler: StateActor[Scheduler],
        monitor: DisconnectMonitor,
        metrics: HostMetrics,
        log: DecisionLog,
        on_waiting: Callable[[], None],
        on_crash: Callable[[], None],
        memory: MemoryBudget,
        limits: LimitGate | None = None,
    ) -> None:
        self.memory = memory
        self._limits = limits
        self._scheduler = scheduler
        self._monitor = monitor
        self._metrics = metrics
        self._log = log
        self._retry_counts = RetryCounts(metrics, log)
        self._on_waiting = on_waiting
        self._on_crash = on_crash
        self._lock = threading.Lock()
        self._job_by_attempt: dict[int, RequestJob] = {}

    def run(
        self,
        request: RoutedRequest,
        upstream: Upstream,
        is_disconnected: Callable[[], bool] | None,
        last_event: int | None = None,
    ) -> Reply | Refusal:
        """Run a request until its answer is complete, or a stream until its first event.

        :param last_event: number of the last event that the caller already received.
        :raises CallerDisconnectedError: if the caller disconnected.
        """
        job = RequestJob(self, request, upstream, is_disconnected, last_event)
        return job.run()

    def cancel_attempts(self, attempts: Iterable[int]) -> None:
        """End attempts at endpoints that a quarantined prompt part may crash."""
        with self._lock:
            jobs = [self._job_by_attempt.get(attempt) for attempt in attempts]
        for job in jobs:
            if job is not None:
                job.cancel_quarantined()

    def record_key_refusal(self, code: str) -> None:
        """Count a request that was refused for its caller's key.

        :param code: code of the refusal, such as ``unknown-key``.
        """
        self._metrics.key_refusals.labels(code.removesuffix("-key")).inc()

    # Methods for ``RequestJob``.

    def admit(self, request: RoutedRequest) -> Refusal | None:
        """Count a run of a request in its workspace's limit, or return why it may not run."""
        return None if self._limits is None else self._limits.admit(request)

    def return_credit(self, request: RoutedRequest) -> None:
        """Give back what was counted for a run that did not take place."""
        if self._limits is not None:
            self._limits.refund(request)

    def begin_attempt(self, job: RequestJob, assignment: Assignment) -> None:
        """Let ``cancel_attempts`` find an attempt."""
        with self._lock:
            self._job_by_attempt[assignment.attempt] = job

    def wait_for_assignment(self, job: RequestJob) -> Decision | None:
        """Wait for an endpoint; return None if the request must not be retried."""
        decided = threading.Event()
        decisions: list[Decision] = []

        def on_decision(decision: Decision) -> None:
            decisions.append(decision)
            decided.set()

        request, now = job.request, time.monotonic()
        boot_now = boot_clock()

        requested: list[PendingRequest] = []
        budget_states: list[RetryBudgetState] = []
        check_intervals_s: list[float] = []

        def submit(scheduler: Scheduler) -> PendingRequest | None:
            scheduler.record_boot_time(boot_now, now)
            job.shares_capacity = scheduler.shares_capacity
            if job.shares_capacity:
                check_intervals_s.append(QUEUE_CHECK_S)
            elif job.attempts_sent:
                check_intervals_s.append(REPEAT_PAUSE_S)
            if job.attempts_sent == 0:
                pending = scheduler.submit(request, on_decision, now)
            else:
                pending = scheduler.resubmit(
                    request,
                    job.tried_endpoints,
                    job.ran,
                    on_decision,
                    now,
                    job.has_reached_endpoint,
                )
                budget_states.append(scheduler.retry_budget_state(request.service, now))
            if pending is not None:
                requested.append(pending)
            return pending

        try:
            pending = self._scheduler.ask(submit)
        except pykka.Timeout:
            self._withdraw(requested, decisions)
            return self._make_stuck_refusal(job)
        except Exception as error:
            # The request is at no endpoint: its caller is told so, and not that the host failed.
            _log.exception("no decision on a request")
            self._withdraw(requested, decisions)
            return self._make_undecided_refusal(job, f"the scheduler failed: {error!r}")
        for state in budget_states:
            is_granted = pending is not None
            self._retry_counts.record(request.service, job.retry_cause, is_granted, state)
        if pending is None:
            return None
        if not decided.is_set():
            self._on_waiting()
            # Set first: the caller may leave as soon as it is watched, and is reported only once.
            job.on_disconnect = decided.set
            self._monitor.add(job.key, job.is_disconnected, job.abort)
            for interval_s in check_intervals_s:
                self._wait_for_repeat(pending, decided, interval_s)
            time_left_s = max(0.0, request.caller_deadline() - time.monotonic())
            decided.wait(time_left_s + DECISION_GRACE_S)
            self._monitor.remove(job.key)
            job.on_disconnect = None
        if not decisions:
            try:
                self._scheduler.ask(lambda scheduler: scheduler.cancel(pending))
            except pykka.Timeout:
                self._withdraw(requested, decisions)
                return self._make_stuck_refusal(job)
        # The scheduler may have decided before it ran the cancel.
        if not decisions:
            return self._make_undecided_refusal(job, "no endpoint was free in time")
        return decisions[0]

    def _wait_for_repeat(
        self, pending: PendingRequest, decided: threading.Event, interval_s: float
    ) -> None:
        """Wait for the decision on a repeat while endpoints that refused requests get none.

        Nothing else may wake the scheduler when such a pause ends. Refusals of other requests
        prolong it. Where capacity is shared, all requests are checked until they are decided on.

        :param interval_s: seconds until the first check.
        """

        def dispatch(scheduler: Scheduler) -> float | None:
            now = time.monotonic()
            repeat_at = scheduler.dispatch_repeat(pending, now)
            return None if repeat_at is None else repeat_at - now

        wait_s: float | None = interval_s
        ends_at = pending.request.caller_deadline()
        with contextlib.suppress(pykka.Timeout):
            while wait_s is not None and time.monotonic() < ends_at and not decided.wait(wait_s):
                wait_s = self._scheduler.ask(dispatch)

    def _withdraw(self, requested: list[PendingRequest], decisions: list[Decision]) -> None:
        """Withdraw a request whose scheduler did not answer in time.

        The scheduler runs this after the call that timed out, which may still have taken a place.
        """

        def withdraw(scheduler: Scheduler) -> None:
            now = time.monotonic()
            for pending in requested:
                scheduler.cancel(pending)
            for decision in decisions:
                if isinstance(decision, Assignment):
                    scheduler.finish(decision.attempt, Outcome.CANCELLED, now)

        self._scheduler.tell(withdraw)

    def _make_stuck_refusal(self, job: RequestJob) -> Refusal:
        return self._make_undecided_refusal(job, "the scheduler did not answer in time")

    def _make_undecided_refusal(self, job: RequestJob, reason: str) -> Refusal:
        status = 503 if job.ran is Ran.NO else 504
        return Refusal(STEP, "", reason, "no-capacity", status, job.ran, 1.0)

    def try_move(self, job: RequestJob) -> Assignment | None:
        """Assign a request to another endpoint if it can start there at once."""
        now = time.monotonic()
        service = job.request.service
        moved: list[Assignment] = []
        budget_states: list[RetryBudgetState] = []

        def move(scheduler: Scheduler) -> Assignment | None:
            assignment = scheduler.try_move(job.request, job.tried_endpoints, now)
            if assignment is not None:
                moved.append(assignment)
                budget_states.append(scheduler.retry_budget_state(service, now))
            return assignment

        try:
            assignment = self._scheduler.ask(move)
        except pykka.Timeout:
            self._withdraw([], moved)
            return None
        for state in budget_states:
            self._retry_counts.record(service, RetryCause.MOVED, True, state)
        return assignment

    def finish(self, assignment: Assignment, outcome: Outcome, fault: str = "") -> None:
        """End an attempt.

        :param fault: ``absent`` if the endpoint lacks the item, ``down`` if it can't be reached,
            ``UNBOUNDED_FAULT`` if it sent too many bytes, ``UNAVAILABLE_FAULT`` if it wants no
            requests and got none.
        """
        with self._lock:
            self._job_by_attempt.pop(assignment.attempt, None)
        now = time.monotonic()
        is_absent, is_down = fault == "absent", fault == DOWN_FAULT
        is_unbounded = fault == UNBOUNDED_FAULT
        if fault == UNAVAILABLE_FAULT:
            # Nothing was sent, so this is neither a refusal nor a failure of the endpoint.
            outcome = Outcome.CANCELLED
        if is_unbounded and outcome is not Outcome.CANCELLED:
            self._metrics.unbounded_answers.inc()
            self._log.record(
                "endpoint",
                outcome="ejected: it sent more bytes than an answer may have",
                endpoint=assignment.endpoint.endpoint,
                address=assignment.endpoint.address,
            )
        self._scheduler.tell(
            lambda scheduler: scheduler.finish(
                assignment.attempt, outcome, now, is_absent, is_down, is_unbounded
            )
        )

    def record_crash(self, assignment: Assignment, has_started: bool, has_begun: bool) -> None:
        """Record that an endpoint crashed when its answer had at most begun.

        The next attempt waits for this, so that it takes the crash into account.

        :param has_started: whether the endpoint had started to answer, without an event.
        :param has_begun: whether it had just sent the first events.
        """
        now = time.monotonic()
        # After a timeout, the crash is recorded later, and the attempt still has to be finished.
        with contextlib.suppress(pykka.Timeout):
            self._scheduler.ask(
                lambda scheduler: scheduler.record_crash(
                    assignment.attempt, has_started, now, has_begun
                )
            )
        if has_started or has_begun:
            self._on_crash()

    def record_first_event(
        self, assignment: Assignment, load: tuple[int, ...] | None, is_success: bool = True
    ) -> None:
        """Record the arrival of the first bytes of an answer.

        :param load: see ``UpstreamAnswer``.
        :param is_success: whether the answer is not an error.
        """
        now = time.monotonic()

        def record(scheduler: Scheduler) -> None:
            if load is not None:
                # Before the first event, whose time is compared with the pace.
                pace = load[2] / NORMAL_PACE if len(load) > 2 else None
                endpoint = assignment.endpoint.endpoint
                scheduler.record_load_header(endpoint, load[0], load[1], pace, now)
            scheduler.record_first_event(assignment.attempt, now, is_success)
            if load is not None:
                scheduler.record_load(assignment.endpoint.endpoint, load[0], load[1], now)

        self._scheduler.tell(record)

    def record_harmless(self, assignment: Assignment) -> None:
        """Record that the answer to an attempt got beyond its beginning."""
        now = time.monotonic()
        self._scheduler.tell(lambda scheduler: scheduler.record_harmless(assignment.attempt, now))

    def record_events(self, assignment: Assignment, events: int) -> None:
        """Record the number of events of a stream since the last call."""
        now = time.monotonic()
        self._scheduler.tell(
            lambda scheduler: scheduler.record_events(assignment.attempt, events, now)
        )

    def watch_caller(self, job: RequestJob) -> None:
        """Cancel the request when its caller disconnects."""
        if job.is_disconnected is not None:
            self._monitor.add(job.key, job.is_disconnected, job.abort)

    def unwatch_caller(self, job: RequestJob) -> None:
        """Stop watching the caller."""
        self._monitor.remove(job.key)

    def record_end(self, job: RequestJob, outcome: str, status: int, reason: str = "") -> None:
        """Log and count the end of a request."""
        request, now = job.request, time.monotonic()
        route = request.route
        self._metrics.requests.labels(request.service, route.name, str(status)).inc()
        self._metrics.duration.labels(request.service, route.name).observe(now - request.arrived)
        if job.first_received_at is not None:
            first = job.first_received_at - request.arrived
            self._metrics.first_event.labels(request.service, route.name).observe(first)
            if job.prompt_class:
                self._metrics.first_event_by_prompt.labels(
                    request.service, route.name, job.prompt_class
                ).observe(first)
        fields: dict[str, object] = {
            "id": request.request_id,
            "status": status,
            "route": route.name,
            "service": request.service,
            "item": request.item,
            "repeat": route.retry_mode.value,
            "endpoints": job.endpoints,
            "ran": job.ran.value,
            "waited_s": round(job.waited_s, 3),
            "total_s": round(now - request.arrived, 3),
            "limit_s": round(request.deadline - request.arrived, 3),
            "route_limit_s": request.route.timeout_s,
            "configuration": request.configuration,
        }
        if job.first_received_at is not None:
            fields["first_s"] = round(job.first_received_at - request.arrived, 3)
        if job.prompt_class:
            fields["prompt"] = job.prompt_class
        if job.shares_capacity and request.item:
            fields["prompt_tokens"] = request.prompt_tokens
        if job.event_order.last:
            fields["events"] = job.event_order.last
        if reason:
            fields["reason"] = reason
        self._log.record("request", outcome=outcome, **fields)

    def record_refusal(self, job: RequestJob, refusal: Refusal) -> None:
        """Count a refusal, and the time for which the request was held before it."""
        labels = (job.request.service, job.request.route.name, refusal.code)
        held_s = time.monotonic() - job.request.arrived
        self._metrics.refusals.labels(*labels, refusal.ran.value).inc()
        self._metrics.refusal_wait.labels(*labels).observe(held_s)

    def record_attempt(self, job: RequestJob, assignment: Assignment, error: AttemptError) -> None:
        """Log and count a failed attempt."""
        now = time.monotonic()
        self._metrics.failed_attempts.labels(job.request.service, error.outcome.value).inc()
        self._log.record(
            "attempt",
            outcome=error.outcome.value,
            id=job.request.request_id,
            endpoint=assignment.endpoint.endpoint,
            address=assignment.endpoint.address,
            sequence=assignment.endpoint.sequence,
            ran=error.ran.value,
            status=error.status,
            reason=error.reason,
            number=job.attempts_sent,
            progress=job.progress.value,
            answered_s=round(now - job.first_event_at, 3) if job.first_event_at else None,
            model=job.request.model,
            parts=job.request.shared_parts,
        )
