"""A request of a host from its arrival to the end of its answer."""

import threading
import time
from collections.abc import Callable, Iterator
from typing import Protocol

import attrs

from catkinhook.errors import Ran, Refusal
from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.operations.hostmetrics import HostMetrics
from catkinhook.requests.attempts import AttemptError
from catkinhook.requests.events import EventError, EventOrder, EventSplitter, RawEvent
from catkinhook.requests.outcomes import Outcome
from catkinhook.requests.routed import Assignment, Decision, RoutedRequest, patience
from catkinhook.requests.routes import RetryMode
from catkinhook.requests.scheduling import PendingRequest, Scheduler
from catkinhook.requests.watch import DisconnectMonitor
from catkinhook.stateactor import StateActor
from catkinhook.units import MIB

STEP = "forwarding"
# Attempts of one request, those included that an endpoint refused without running them.
MAX_SENDS = 6
# Part of a caller's patience after which a stream is given up on an endpoint that others hear.
SILENCE_SHARE = 0.9
# Events of a stream between two observations of its speed.
OBSERVED_EVENTS = 8
# Part of the time left that one attempt may take when another one could follow.
ATTEMPT_SHARE = 0.6
# Time that an answer needs to reach its caller before the deadline.
ANSWER_MARGIN_S = 0.02
MIN_TIME_S = 0.03
# Largest answer that is read whole before it is passed on, which bounds the memory of a request.
MAX_ANSWER_BYTES = 8 * MIB


class UpstreamAnswer(Protocol):
    """An endpoint's answer, read by one thread.

    :ivar status: HTTP status.
    :ivar headers: headers for the caller.
    :ivar load: running and waiting requests of the endpoint, None when it did not tell.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    load: tuple[int, int] | None

    def read(self, timeout_s: float) -> bytes:
        """Return the next bytes, empty at the marked end.

        :raises AttemptError: if it broke off, or nothing came in time.
        """

    def finish(self) -> None:
        """Keep the connection for other requests if the answer was read to its end."""

    def close(self) -> None:
        """Close the connection, which stops the work of the endpoint."""

    def abort(self) -> None:
        """Break the connection from another thread, so that a blocked read returns."""


class Upstream(Protocol):
    """Sends one request to chosen endpoints."""

    def open(
        self,
        assignment: Assignment,
        time_left_s: float,
        timeout_s: float,
        last_event: int | None,
        stop_if_silent: bool,
    ) -> UpstreamAnswer:
        """Send the request and read the head of the answer.

        :param time_left_s: time that the endpoint is given.
        :param timeout_s: time after which the head counts as not coming.
        :param last_event: number of the last event that the caller has, None for none.
        :param stop_if_silent: whether to give up earlier on an endpoint that no request hears.
        :raises AttemptError: if no answer of this attempt came.
        """

    def abort(self) -> None:
        """Break off an ``open`` from another thread."""


@attrs.frozen(kw_only=True)
class Reply:
    """What goes back to the caller.

    :ivar body: chunks; an iterator that raises breaks the connection off.
    :ivar length: bytes of the body, None for a stream.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterator[bytes]
    length: int | None = None


class CallerDisconnectedError(ConnectionAbortedError):
    """The caller closed its connection."""


class Forwarder:
    """Runs requests of callers, each in its own thread."""

    def __init__(
        self,
        scheduler: StateActor[Scheduler],
        watch: DisconnectMonitor,
        metrics: HostMetrics,
        log: DecisionLog,
        on_waiting: Callable[[], None],
    ) -> None:
        self._scheduler = scheduler
        self._watch = watch
        self._metrics = metrics
        self._log = log
        self._on_waiting = on_waiting

    def run(
        self,
        request: RoutedRequest,
        upstream: Upstream,
        has_left: Callable[[], bool] | None,
        last_event: int | None = None,
    ) -> Reply | Refusal:
        """Run a request to its answer, or a stream to its first event.

        :param last_event: number of the last event that the caller already has.
        :raises CallerDisconnectedError: if the caller left.
        """
        job = _Job(self, request, upstream, has_left, last_event)
        return job.run()

    # Used by jobs.

    def place(self, job: "_Job") -> Decision | None:
        """Wait for an endpoint; None when the request may not be repeated."""
        decided = threading.Event()
        box: list[Decision] = []

        def decide(decision: Decision) -> None:
            box.append(decision)
            decided.set()

        request, now = job.request, time.monotonic()

        def submit(scheduler: Scheduler) -> PendingRequest | None:
            if job.sends == 0:
                return scheduler.submit(request, decide, now)
            return scheduler.resubmit(request, job.tried, job.ran, decide, now, job.has_arrived)

        pending = self._scheduler.ask(submit)
        if pending is None:
            return None
        if not decided.is_set():
            self._on_waiting()
            self._watch.add(job.key, job.has_left, job.leave)
            job.on_left = decided.set
            left_s = max(0.0, request.caller_deadline() - time.monotonic())
            decided.wait(left_s + 1.0)
            self._watch.remove(job.key)
            job.on_left = None
        if not box:
            self._scheduler.ask(lambda scheduler: scheduler.cancel(pending))
        if not box:
            reason = "no endpoint was free in time"
            status = 503 if job.ran is Ran.NO else 504
            return Refusal(STEP, "", reason, "no-capacity", status, job.ran, 1.0)
        return box[0]

    def finish(self, assignment: Assignment, outcome: Outcome, fault: str = "") -> None:
        """End an attempt.

        :param fault: ``absent`` or ``down`` when the endpoint was found so.
        """
        now = time.monotonic()
        absent, down = fault == "absent", fault == "down"
        self._scheduler.tell(lambda s: s.finish(assignment.attempt, outcome, now, absent, down))

    def record_first_event(self, assignment: Assignment, load: tuple[int, int] | None) -> None:
        """Record the first bytes of an answer."""
        now = time.monotonic()

        def change(scheduler: Scheduler) -> None:
            scheduler.record_first_event(assignment.attempt, now)
            if load is not None:
                scheduler.record_load(assignment.endpoint.endpoint, load[0], load[1], now)

        self._scheduler.tell(change)

    def record_events(self, assignment: Assignment, events: int) -> None:
        """Record events of a stream since the last call."""
        now = time.monotonic()
        self._scheduler.tell(
            lambda scheduler: scheduler.record_events(assignment.attempt, events, now)
        )

    def watch_caller(self, job: "_Job") -> None:
        """Break the request off when its caller leaves."""
        if job.has_left is not None:
            self._watch.add(job.key, job.has_left, job.leave)

    def unwatch(self, job: "_Job") -> None:
        """Stop watching the caller."""
        self._watch.remove(job.key)

    def record(self, job: "_Job", outcome: str, status: int, reason: str = "") -> None:
        """Log and count the end of a request."""
        request, now = job.request, time.monotonic()
        route = request.route
        self._metrics.requests.labels(request.service, route.name, str(status)).inc()
        self._metrics.duration.labels(request.service, route.name).observe(now - request.arrived)
        if job.first_at is not None:
            first = job.first_at - request.arrived
            self._metrics.first_event.labels(request.service, route.name).observe(first)
        line: dict[str, object] = {
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
            "configuration": request.configuration,
        }
        if job.first_at is not None:
            line["first_s"] = round(job.first_at - request.arrived, 3)
        if job.order.last:
            line["events"] = job.order.last
        if reason:
            line["reason"] = reason
        self._log.record("request", outcome=outcome, **line)

    def record_attempt(self, job: "_Job", assignment: Assignment, error: AttemptError) -> None:
        """Log and count an attempt that failed."""
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
            number=job.sends,
        )


class _Job:
    """One request; used by its thread, except for ``leave``."""

    def __init__(
        self,
        forwarder: Forwarder,
        request: RoutedRequest,
        upstream: Upstream,
        has_left: Callable[[], bool] | None,
        last_event: int | None,
    ) -> None:
        self._forwarder = forwarder
        self.request = request
        self._upstream = upstream
        self.has_left = has_left
        self.key = f"{request.request_id}/{id(self)}"
        self.tried: frozenset[str] = frozenset()
        self.endpoints: list[str] = []
        self.sends = 0
        self.has_arrived = False
        self.runs = 0
        self.ran = Ran.NO
        self.waited_s = 0.0
        self.first_at: float | None = None
        self.order = EventOrder(last_event or 0)
        self._resumes = last_event is not None
        self._answer: UpstreamAnswer | None = None
        self._is_gone = False
        self.on_left: Callable[[], None] | None = None

    def leave(self) -> None:
        """Break off what is in progress, because the caller left."""
        self._is_gone = True
        on_left = self.on_left
        if on_left is not None:
            on_left()
        self._upstream.abort()
        answer = self._answer
        if answer is not None:
            answer.abort()

    def run(self) -> Reply | Refusal:
        """Run the request."""
        try:
            result = self._try_endpoints()
        except CallerDisconnectedError:
            self._forwarder.record(self, "caller left", 499)
            raise
        finally:
            if self._answer is None:
                self._forwarder.unwatch(self)
        if isinstance(result, Refusal):
            self._forwarder.unwatch(self)
            self._forwarder.record(self, f"refused: {result.code}", result.status, result.reason)
        return result

    def _try_endpoints(self) -> Reply | Refusal:
        failed: AttemptError | None = None
        while True:
            assignment = self._place(failed)
            if isinstance(assignment, Refusal):
                return assignment
            try:
                return self._try_once(assignment)
            except AttemptError as error:
                self._end_failed(assignment, error)
                failed = error
            if not self._may_try_again(failed):
                return self._explain(failed, "not repeated")

    def _place(self, failed: AttemptError | None) -> Assignment | Refusal:
        started = time.monotonic()
        decision = self._forwarder.place(self)
        self.waited_s += time.monotonic() - started
        if self._is_gone:
            if isinstance(decision, Assignment):
                self._forwarder.finish(decision, Outcome.CANCELLED)
            raise CallerDisconnectedError("the caller left")
        if decision is None:
            return self._explain(failed, "the retry budget is used up")
        if isinstance(decision, Refusal) and failed is not None:
            reason = f"{failed.reason}; then {decision.reason}"
            return attrs.evolve(decision, reason=reason, ran=self.ran)
        return decision

    def _try_once(self, assignment: Assignment) -> Reply:
        answer = self._open(assignment)
        try:
            if self.request.route.is_stream and answer.status == 200:
                return self._begin_stream(assignment, answer)
            return self._read_whole(assignment, answer)
        except AttemptError:
            answer.close()
            raise

    def _open(self, assignment: Assignment) -> UpstreamAnswer:
        """Send the next attempt and read the head of its answer."""
        self.sends += 1
        self.tried |= {assignment.endpoint.endpoint}
        self.endpoints.append(assignment.endpoint.endpoint)
        left = self.request.deadline - time.monotonic() - ANSWER_MARGIN_S
        if left < MIN_TIME_S:
            reason = "the time is up"
            raise AttemptError(STEP, "", reason, Ran.NO, outcome=Outcome.CANCELLED, fault="late")
        if self.order.last:
            self.order.resume()
        last = self.order.last if self._resumes or self.order.last else None
        self._forwarder.watch_caller(self)
        timeout, stop_if_silent = self._head_timeout(left), self._may_repeat()
        self._answer = self._upstream.open(assignment, left, timeout, last, stop_if_silent)
        return self._answer

    def _head_timeout(self, left: float) -> float:
        route = self.request.route
        if not self._may_repeat():
            return left
        if route.is_stream:
            return min(left, SILENCE_SHARE * patience(route))
        return max(MIN_TIME_S, left * ATTEMPT_SHARE)

    def _silence(self) -> float:
        route = self.request.route
        left = max(MIN_TIME_S, self.request.deadline - time.monotonic())
        if not self._may_repeat():
            return left
        if self.first_at is None:
            return self._head_timeout(left)
        return min(left, SILENCE_SHARE * patience(route))

    def _may_repeat(self) -> bool:
        return self.request.is_repeatable and self.runs + 1 < self.request.route.max_attempts

    def _read_whole(self, assignment: Assignment, answer: UpstreamAnswer) -> Reply:
        parts, size = [], 0
        while part := answer.read(self._silence()):
            parts.append(part)
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                reason = f"endpoint sent more than {MAX_ANSWER_BYTES} bytes"
                raise AttemptError(STEP, assignment.endpoint.endpoint, reason, Ran.UNKNOWN)
        body = b"".join(parts)
        self.first_at = time.monotonic()
        is_failure = answer.status >= 500
        if is_failure and self.request.route.retry_mode is RetryMode.ALWAYS and self._may_repeat():
            answer.finish()
            raise AttemptError(
                STEP,
                assignment.endpoint.endpoint,
                f"endpoint answered {answer.status}",
                Ran.YES,
                answer.status,
                Outcome.FAILED,
            )
        self._forwarder.record_first_event(assignment, answer.load)
        answer.finish()
        self._answer = None
        self._forwarder.unwatch(self)
        outcome = Outcome.FAILED if is_failure else Outcome.COMPLETED
        self._forwarder.finish(assignment, outcome)
        self.ran = Ran.YES
        self._forwarder.record(self, "answered", answer.status)
        return Reply(
            status=answer.status, headers=answer.headers, body=iter((body,)), length=len(body)
        )

    def _begin_stream(self, assignment: Assignment, answer: UpstreamAnswer) -> Reply:
        chunks = self._read_events(assignment, answer)
        first = next(chunks, b"")
        body = self._pass_on(assignment, answer, first, chunks)
        return Reply(status=answer.status, headers=answer.headers, body=body)

    def _read_events(self, assignment: Assignment, answer: UpstreamAnswer) -> Iterator[bytes]:
        """Yield whole events of one attempt as they come."""
        splitter = EventSplitter()
        is_begun = False
        unobserved = 0
        try:
            while data := answer.read(self._silence()):
                events = splitter.feed(data)
                if not events:
                    continue
                if self.first_at is None:
                    self.first_at = time.monotonic()
                chunk, error = self._accept(events)
                if not is_begun:
                    is_begun = True
                    self._forwarder.record_first_event(assignment, answer.load)
                unobserved += len(events)
                if unobserved >= OBSERVED_EVENTS:
                    self._forwarder.record_events(assignment, unobserved)
                    unobserved = 0
                if chunk:
                    yield chunk
                if error is not None:
                    raise error
            if splitter.pending:
                raise EventError("the stream ended within an event")
        except EventError as error:
            raise AttemptError(
                STEP, assignment.endpoint.endpoint, str(error), Ran.UNKNOWN, fault="sequence"
            ) from error

    def _accept(self, events: list[RawEvent]) -> tuple[bytes, EventError | None]:
        accepted = []
        for event in events:
            try:
                self.order.accept(event)
            except EventError as error:
                return b"".join(accepted), error
            accepted.append(event.raw)
        return b"".join(accepted), None

    def _pass_on(
        self, assignment: Assignment, answer: UpstreamAnswer, first: bytes, chunks: Iterator[bytes]
    ) -> Iterator[bytes]:
        """Yield the events of a stream, which goes on at other endpoints when one breaks off."""
        outcome, reason = "caller left", ""
        try:
            if first:
                yield first
            while True:
                try:
                    yield from chunks
                    break
                except AttemptError as error:
                    answer.close()
                    self._answer = None
                    if self._is_gone:
                        raise CallerDisconnectedError("the caller left") from error
                    self._end_failed(assignment, error)
                    again = self._go_on(error)
                    if isinstance(again, str):
                        outcome, reason = "broken off", f"{error.reason}; {again}"
                        raise ConnectionAbortedError(reason) from error
                    assignment, answer, chunks = again
            outcome = "answered"
            self.ran = Ran.YES
            answer.finish()
            self._forwarder.finish(assignment, Outcome.COMPLETED)
            assignment = None
        finally:
            self._forwarder.unwatch(self)
            if assignment is not None and outcome != "broken off":
                answer.close()
                self._forwarder.finish(assignment, Outcome.CANCELLED)
            self._forwarder.record(self, outcome, 200, reason)

    def _go_on(
        self, error: AttemptError
    ) -> tuple[Assignment, UpstreamAnswer, Iterator[bytes]] | str:
        """Go on with a stream at another endpoint, or tell why that isn't possible."""
        while True:
            if self.request.route.retry_mode is not RetryMode.RESUME or not self._may_try_again(
                error
            ):
                return "it can't go on elsewhere"
            assignment = self._place(error)
            if isinstance(assignment, Refusal):
                return assignment.reason
            try:
                reply = self._resume(assignment)
            except AttemptError as again:
                self._end_failed(assignment, again)
                error = again
                continue
            return assignment, self._answer, reply

    def _resume(self, assignment: Assignment) -> Iterator[bytes]:
        answer = self._open(assignment)
        if answer.status != 200:
            answer.close()
            reason = f"endpoint answered {answer.status} to a resume"
            raise AttemptError(STEP, assignment.endpoint.endpoint, reason, status=answer.status)
        return self._read_events(assignment, answer)

    def _end_failed(self, assignment: Assignment, error: AttemptError) -> None:
        self._answer = None
        if self._is_gone:
            self._forwarder.finish(assignment, Outcome.CANCELLED)
            raise CallerDisconnectedError("the caller left") from error
        if error.ran is not Ran.NO or error.fault != "down":
            self.has_arrived = True
        if error.ran is not Ran.NO:
            self.ran = Ran.UNKNOWN
            self.runs += 1
        self._forwarder.record_attempt(self, assignment, error)
        self._forwarder.finish(assignment, error.outcome, error.fault)

    def _may_try_again(self, error: AttemptError) -> bool:
        if error.outcome is Outcome.CANCELLED or self.sends >= MAX_SENDS:
            return False
        if time.monotonic() + MIN_TIME_S >= self.request.deadline:
            return False
        if error.ran is Ran.NO:
            return True
        return self.request.is_repeatable and self.runs < self.request.route.max_attempts

    def _explain(self, error: AttemptError, why: str) -> Refusal:
        is_over = time.monotonic() + MIN_TIME_S >= self.request.deadline
        status = 503 if self.ran is Ran.NO else 504 if is_over else 502
        reason = f"{error.reason}; {why}"
        code = "late" if is_over else "endpoint-failed"
        return Refusal(error.step, error.peer, reason, code, status, self.ran, 0.5)
