"""One request of a caller: its attempts at endpoints and its answer."""

import contextlib
import time
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs

from catkinhook.errors import Ran, Refusal
from catkinhook.requests.attempts import (
    DESCRIPTORS_FAULT,
    DOWN_FAULT,
    UNAVAILABLE_FAULT,
    UNBOUNDED_FAULT,
    AttemptError,
)
from catkinhook.requests.eventsplitter import (
    EventError,
    EventOrderChecker,
    EventSizeError,
    EventSplitter,
)
from catkinhook.requests.memorybudget import HeldBody, MemoryHolder, MemoryLimitError
from catkinhook.requests.outcomes import Outcome
from catkinhook.requests.partevidence import ANSWER_BEGINNING_S, ANSWER_FIRST_EVENTS_S
from catkinhook.requests.retrycounts import RetryCause
from catkinhook.requests.routedrequest import (
    Assignment,
    AttemptProgress,
    RoutedRequest,
    caller_idle_timeout,
)
from catkinhook.requests.routetable import RetryMode
from catkinhook.requests.upstreams import CallerDisconnectedError, Reply, Upstream, UpstreamAnswer
from catkinhook.units import MIB

if TYPE_CHECKING:
    from catkinhook.requests.forwarding import Forwarder

STEP = "forwarding"
# Attempts of one request, including those that an endpoint refused without running the request.
MAX_ATTEMPTS = 6
# Share of the caller's idle timeout after which an attempt without an event is abandoned, even if
# the endpoint still sends data to other requests.
IDLE_TIMEOUT_SHARE = 0.9
# Events of a stream between two updates of the estimated decode speed.
RECORD_INTERVAL_EVENTS = 8
# Share of the remaining time that an attempt may take if another attempt can follow.
ATTEMPT_TIME_SHARE = 0.6
# Time before the deadline that is reserved for sending the answer to the caller.
ANSWER_MARGIN_S = 0.02
MIN_ATTEMPT_TIME_S = 0.03
# Largest answer that is held before it is sent. ``MemoryBudget`` bounds the sum over all requests.
MAX_ANSWER_BYTES = 8 * MIB
# Larger answers that can't be repeated are passed on while they arrive. The callers of smaller ones
# get a status that says so if their answer is broken off.
RELAYED_ANSWER_BYTES = MIB
EVENT_STREAM = "text/event-stream"
# Faults of attempts that sent nothing, so that the next attempt is not a retry at an endpoint.
UNREACHED_FAULTS = frozenset({DOWN_FAULT, UNAVAILABLE_FAULT})
# Code and status of requests that were not sent for a reason of their own or of this host's, by the
# attempt's fault.
_REFUSAL_BY_FAULT = {
    DESCRIPTORS_FAULT: ("no-descriptors", 503),
    "missing-key": ("missing-key", 401),
    "malformed-key": ("malformed-key", 401),
    "unknown-key": ("unknown-key", 401),
    "removed-key": ("removed-key", 401),
    "workspace-changed": ("workspace-changed", 503),
}
# Fault of an answer whose events are incomplete or out of order.
SEQUENCE_FAULT = "sequence"


class RequestJob:
    """State of one request; used by its thread, except for ``abort``.

    :ivar tried_endpoints: ids of the endpoints of all attempts, for exclusion.
    :ivar endpoints: the same ids in the order of the attempts, for the log.
    :ivar has_reached_endpoint: whether an attempt reached an endpoint.
    :ivar retry_cause: why the request needs another attempt, once an attempt has failed.
    :ivar attempts_run: number of failed attempts that may have run.
    :ivar progress: how much of the answer to the latest attempt has arrived.
    :ivar first_event_at: time of the first event of the latest attempt, None before it.
    :ivar ran: whether an endpoint ran the request.
    :ivar first_received_at: time at which the first event or the complete answer arrived.
    :ivar prompt_class: class of the prompt in the latest assignment.
    :ivar shares_capacity: whether capacity was shared when the request was last queued.
    :ivar on_disconnect: called when the caller disconnects, None if no wait has to be ended.
    """

    def __init__(
        self,
        forwarder: "Forwarder",
        request: RoutedRequest,
        upstream: Upstream,
        is_disconnected: Callable[[], bool] | None,
        last_event: int | None,
    ) -> None:
        self._forwarder = forwarder
        self.request = request
        self._upstream = upstream
        self.is_disconnected = is_disconnected
        self.key = f"{request.request_id}/{id(self)}"
        self.tried_endpoints: frozenset[str] = frozenset()
        self.endpoints: list[str] = []
        self.attempts_sent = 0
        self.has_reached_endpoint = False
        self.retry_cause = RetryCause.NOT_REACHED
        self.attempts_run = 0
        self.progress = AttemptProgress.NONE
        self.first_event_at: float | None = None
        self.ran = Ran.NO
        self.waited_s = 0.0
        self.first_received_at: float | None = None
        self.event_order = EventOrderChecker(last_event or 0)
        self._is_resume = last_event is not None
        self._next_assignment: Assignment | None = None
        # Whether a run is counted in the limit of the workspace that has not taken place.
        self._has_credit = False
        self._answer: UpstreamAnswer | None = None
        self._is_disconnected = False
        self._is_quarantined = False
        self.on_disconnect: Callable[[], None] | None = None
        self.prompt_class = ""
        self.shares_capacity = False

    def abort(self) -> None:
        """Cancel the request, because its caller disconnected."""
        self._is_disconnected = True
        on_disconnect = self.on_disconnect
        if on_disconnect is not None:
            on_disconnect()
        self._upstream.abort()
        answer = self._answer
        if answer is not None:
            answer.abort()

    def cancel_quarantined(self) -> None:
        """Cancel the attempt in progress, unless the caller has events of its answer."""
        if self.progress is not AttemptProgress.EVENTS:
            self._is_quarantined = True
            self._upstream.cancel_attempt()

    def run(self) -> Reply | Refusal:
        """Run the request."""
        try:
            result = self._run_attempts()
        except CallerDisconnectedError:
            self._forwarder.record_end(self, "caller left", 499)
            raise
        finally:
            self._give_back_place()
            if self._answer is None:
                self._forwarder.unwatch_caller(self)
        if isinstance(result, Refusal):
            self._forwarder.unwatch_caller(self)
            self._forwarder.record_refusal(self, result)
            self._forwarder.record_end(
                self, f"refused: {result.code}", result.status, result.reason
            )
        return result

    def _run_attempts(self) -> Reply | Refusal:
        failed: AttemptError | None = None
        while True:
            assignment = self._wait_for_assignment(failed)
            if isinstance(assignment, Refusal):
                return assignment
            try:
                return self._run_attempt(assignment)
            except AttemptError as error:
                self._end_failed_attempt(assignment, error)
                failed = error
            except Exception:
                self._drop_attempt(assignment)
                raise
            if not self._may_retry(failed):
                return self._make_refusal(failed, "not repeated")

    def _drop_attempt(self, assignment: Assignment) -> None:
        """End an attempt after an unexpected error, so that its place is free again."""
        self._upstream.abort()
        self._answer = None
        self._forwarder.finish(assignment, Outcome.CANCELLED)

    def _wait_for_assignment(self, failed: AttemptError | None) -> Assignment | Refusal:
        started = time.monotonic()
        refusal = self._take_credit(failed)
        if refusal is not None:
            return refusal
        decision, self._next_assignment = self._next_assignment, None
        if decision is None:
            decision = self._forwarder.wait_for_assignment(self)
        self.waited_s += time.monotonic() - started
        if self._is_disconnected:
            if isinstance(decision, Assignment):
                self._forwarder.finish(decision, Outcome.CANCELLED)
            raise CallerDisconnectedError("the caller disconnected")
        if decision is None:
            return self._make_refusal(failed, "the retry budget is used up")
        if isinstance(decision, Refusal) and failed is not None:
            reason = f"{failed.reason}; then {decision.reason}"
            return attrs.evolve(decision, reason=reason, ran=self.ran)
        return decision

    def _take_credit(self, failed: AttemptError | None) -> Refusal | None:
        """Count the next run in the limit of the workspace; each run counts, also a repeat."""
        if self._has_credit:
            return None
        refusal = self._forwarder.admit(self.request)
        self._has_credit = refusal is None
        if refusal is None or failed is None:
            return refusal
        return self._make_refusal(failed, f"not repeated: {refusal.reason}")

    def _run_attempt(self, assignment: Assignment) -> Reply:
        answer = self._open(assignment)
        try:
            if self._is_stream(answer):
                return self._begin_stream(assignment, answer)
            if self._may_relay(answer):
                return self._begin_relay(assignment, answer)
            return self._read_complete_answer(assignment, answer)
        except AttemptError:
            answer.close()
            raise

    def _is_stream(self, answer: UpstreamAnswer) -> bool:
        """Return whether the answer to a first attempt has to be a stream of events.

        One of another type is forwarded when it is complete, unless the caller joins it to events
        that it already has.
        """
        if not self.request.route.is_stream or answer.status != 200:
            return False
        return self._is_resume or _is_event_stream(answer)

    def _may_relay(self, answer: UpstreamAnswer) -> bool:
        """Return whether a large answer is passed on while it arrives.

        Its caller knows its length, so that it never looks complete too early, and no other attempt
        could replace it.
        """
        is_large = answer.length is not None and answer.length > RELAYED_ANSWER_BYTES
        may_be_repeated = self._may_run_again() and self.attempts_sent < MAX_ATTEMPTS
        return is_large and answer.length <= MAX_ANSWER_BYTES and not may_be_repeated

    def _open(self, assignment: Assignment) -> UpstreamAnswer:
        """Send the request to an endpoint and read the head of the answer."""
        self.attempts_sent += 1
        self.progress = AttemptProgress.NONE
        self.first_event_at = None
        self.tried_endpoints |= {assignment.endpoint.endpoint}
        self.endpoints.append(assignment.endpoint.endpoint)
        time_left = self.request.deadline - time.monotonic() - ANSWER_MARGIN_S
        if time_left < MIN_ATTEMPT_TIME_S:
            reason = "the time is up"
            raise AttemptError(STEP, "", reason, Ran.NO, outcome=Outcome.CANCELLED, fault="late")
        if self.event_order.last:
            self.event_order.resume()
        last_event = self.event_order.last if self._is_resume or self.event_order.last else None
        self._forwarder.watch_caller(self)
        self._forwarder.begin_attempt(self, assignment)
        self.prompt_class = assignment.prompt_class
        self._has_credit = False
        self._answer = self._upstream.open(
            assignment,
            max(MIN_ATTEMPT_TIME_S, time_left - assignment.reply_margin_s),
            self._silence_timeout(time_left),
            last_event,
            self._try_move,
        )
        self.progress = AttemptProgress.HEAD
        return self._answer

    def _read(self, answer: UpstreamAnswer) -> bytes:
        time_left = max(MIN_ATTEMPT_TIME_S, self.request.deadline - time.monotonic())
        return answer.read(self._silence_timeout(time_left), self._try_move)

    @contextlib.contextmanager
    def _memory_errors(
        self, assignment: Assignment, held: HeldBody | MemoryHolder
    ) -> Iterator[None]:
        """Raise an ``AttemptError`` for an attempt that was evicted from memory.

        The eviction aborts the read in progress, whose error would be that of a caller who left.
        """
        try:
            yield
        except (AttemptError, MemoryLimitError) as error:
            if not held.is_evicted:
                raise
            reason = "endpoint sent more bytes than this process can hold"
            raise _make_unbounded_error(assignment, reason) from error

    def _silence_timeout(self, time_left: float) -> float:
        """Return the longest wait in seconds for the next bytes of an endpoint."""
        route = self.request.route
        if not self._may_leave_silent():
            return time_left
        if route.is_stream:
            return min(time_left, IDLE_TIMEOUT_SHARE * caller_idle_timeout(route))
        return max(MIN_ATTEMPT_TIME_S, time_left * ATTEMPT_TIME_SHARE)

    def _may_leave_silent(self) -> bool:
        """Whether a silent endpoint may be given up for another one.

        Not once the caller has received events: if no other endpoint takes the stream, its
        connection could only be closed, and the silent endpoint may go on.
        """
        is_last_attempt = self.attempts_sent >= MAX_ATTEMPTS
        return self.first_received_at is None and not is_last_attempt and self._may_run_again()

    def _try_move(self) -> bool:
        """Reserve a place at another endpoint, and return whether there is one.

        With the place in hand, a silent endpoint is given up. Without it, requests that leave an
        endpoint together would compete for one place, and the others would be refused.
        """
        if not self._may_leave_silent():
            return False
        self._next_assignment = self._forwarder.try_move(self)
        return self._next_assignment is not None

    def _give_back_place(self) -> None:
        """Give back a place and credit that no attempt used, such as after the caller has left."""
        if self._has_credit:
            self._has_credit = False
            self._forwarder.return_credit(self.request)
        assignment, self._next_assignment = self._next_assignment, None
        if assignment is not None:
            self._forwarder.finish(assignment, Outcome.CANCELLED)

    def _may_run_again(self) -> bool:
        return (
            self.request.is_repeatable and self.attempts_run + 1 < self.request.route.max_attempts
        )

    def _read_complete_answer(self, assignment: Assignment, answer: UpstreamAnswer) -> Reply:
        if answer.length is not None and answer.length > MAX_ANSWER_BYTES:
            reason = f"endpoint announced an answer of more than {MAX_ANSWER_BYTES} bytes"
            raise AttemptError(STEP, assignment.endpoint.endpoint, reason, Ran.UNKNOWN)
        body = HeldBody(self._forwarder.memory, answer.abort)
        try:
            with self._memory_errors(assignment, body):
                while part := self._read(answer):
                    body.append(part)
                    if body.size > MAX_ANSWER_BYTES:
                        reason = f"endpoint sent more than {MAX_ANSWER_BYTES} bytes"
                        raise _make_unbounded_error(assignment, reason)
                if body.is_evicted:
                    raise MemoryLimitError("the answer was dropped when it was complete")
            if body.size:
                self._check_end(assignment, answer)
            return self._finish_answer(assignment, answer, body)
        except BaseException:
            body.close()
            raise

    def _finish_answer(
        self, assignment: Assignment, answer: UpstreamAnswer, body: HeldBody
    ) -> Reply:
        """End an attempt whose answer is complete."""
        self.progress = AttemptProgress.EVENTS
        self.first_received_at = self.first_event_at = time.monotonic()
        is_failure = answer.status >= 500
        if (
            is_failure
            and self.request.route.retry_mode is RetryMode.ALWAYS
            and self._may_run_again()
        ):
            answer.finish()
            raise AttemptError(
                STEP,
                assignment.endpoint.endpoint,
                f"endpoint answered {answer.status}",
                Ran.YES,
                answer.status,
                Outcome.FAILED,
            )
        is_success = answer.status < HTTPStatus.BAD_REQUEST
        self._forwarder.record_first_event(assignment, answer.load, is_success)
        answer.finish()
        self._answer = None
        self._forwarder.unwatch_caller(self)
        outcome = Outcome.FAILED if is_failure else Outcome.COMPLETED
        self._forwarder.finish(assignment, outcome)
        self.ran = Ran.YES
        self._forwarder.record_end(self, "answered", answer.status)
        length = answer.announced_length if answer.is_to_head else body.size
        return Reply(status=answer.status, headers=answer.headers, body=body, length=length)

    def _begin_relay(self, assignment: Assignment, answer: UpstreamAnswer) -> Reply:
        first = self._read(answer)
        self.progress = AttemptProgress.EVENTS
        self.first_received_at = self.first_event_at = time.monotonic()
        is_success = answer.status < HTTPStatus.BAD_REQUEST
        self._forwarder.record_first_event(assignment, answer.load, is_success)
        body = self._relay_body(assignment, answer, first)
        # As in ``_begin_stream``.
        next(body)
        return Reply(status=answer.status, headers=answer.headers, body=body, length=answer.length)

    def _relay_body(
        self, assignment: Assignment, answer: UpstreamAnswer, first: bytes
    ) -> Iterator[bytes]:
        """Yield the parts of an answer that can't be repeated."""
        end, reason, outcome, fault = "caller left", "", Outcome.CANCELLED, ""
        try:
            yield b""
            yield first
            while part := self._read(answer):
                yield part
            end, self.ran = "answered", Ran.YES
            is_failure = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            outcome = Outcome.FAILED if is_failure else Outcome.COMPLETED
        except AttemptError as error:
            if not self._is_disconnected:
                end, reason, outcome, fault = "broken off", error.reason, error.outcome, error.fault
                self.ran = Ran.UNKNOWN
                self._forwarder.record_attempt(self, assignment, error)
                self._record_crash(assignment, error)
            raise ConnectionAbortedError(error.reason) from error
        finally:
            # Closes the connection unless the answer was read to its end.
            answer.finish()
            self._answer = None
            self._forwarder.unwatch_caller(self)
            self._forwarder.finish(assignment, outcome, fault)
            self._forwarder.record_end(self, end, answer.status, reason)

    def _begin_stream(self, assignment: Assignment, answer: UpstreamAnswer) -> Reply:
        chunks = self._read_events(assignment, answer)
        first = next(chunks, b"")
        body = self._relay_events(assignment, answer, first, chunks)
        # A generator that has not started ignores ``close``, and the place would stay taken.
        next(body)
        return Reply(status=answer.status, headers=answer.headers, body=body)

    def _read_events(self, assignment: Assignment, answer: UpstreamAnswer) -> Iterator[bytes]:
        """Yield complete events of one attempt as they arrive.

        :raises AttemptError: if the attempt failed, or its answer is not a stream of events that
            continues what the caller received.
        """
        held = self._forwarder.memory.open("event", answer.abort)
        with contextlib.closing(held), self._memory_errors(assignment, held):
            yield from self._split_events(assignment, answer, held)

    def _split_events(
        self, assignment: Assignment, answer: UpstreamAnswer, held: MemoryHolder
    ) -> Iterator[bytes]:
        splitter = EventSplitter()
        is_started = False
        unrecorded = 0
        is_beginning = True
        try:
            if not _is_event_stream(answer):
                raise EventError("the answer is not a stream of events")
            while data := self._read(answer):
                chunk, events, error = self._accept(splitter.feed(data))
                held.resize(splitter.pending_bytes)
                if events and self.first_received_at is None:
                    self.first_received_at = time.monotonic()
                if events and not is_started:
                    is_started = True
                    self.progress = AttemptProgress.EVENTS
                    self.first_event_at = time.monotonic()
                    self._forwarder.record_first_event(assignment, answer.load)
                unrecorded += events
                if is_beginning and events and self._answered_s() >= ANSWER_BEGINNING_S:
                    is_beginning = False
                    self._forwarder.record_harmless(assignment)
                if unrecorded >= RECORD_INTERVAL_EVENTS:
                    self._forwarder.record_events(assignment, unrecorded)
                    unrecorded = 0
                if chunk:
                    yield chunk
                if error is not None:
                    raise error
            splitter.finish(answer.is_delimited)
            if not is_started:
                # Streams have no end marker, so an empty one can't be told from a complete one.
                raise EventError("the stream ended without an event")
            self._check_end(assignment, answer)
        except EventError as error:
            fault = UNBOUNDED_FAULT if isinstance(error, EventSizeError) else SEQUENCE_FAULT
            raise AttemptError(
                STEP, assignment.endpoint.endpoint, str(error), Ran.UNKNOWN, fault=fault
            ) from error

    def _check_end(self, assignment: Assignment, answer: UpstreamAnswer) -> None:
        """Check that an answer did not end because its endpoint crashed.

        The end of a connection that delimits an answer may be that of the process.

        :raises AttemptError: if the endpoint refuses connections.
        """
        if answer.is_delimited or not self._upstream.is_endpoint_down(assignment, checks=1):
            return
        reason = "endpoint ended its answer with the connection and then refused connections"
        endpoint = assignment.endpoint.endpoint
        raise AttemptError(STEP, endpoint, reason, Ran.UNKNOWN, outcome=Outcome.CRASHED)

    def _accept(self, blocks: list[bytes]) -> tuple[bytes, int, EventError | None]:
        """Return the bytes of the blocks before an invalid one, and the number of their events."""
        accepted: list[bytes] = []
        events = 0
        for block in blocks:
            try:
                events += self.event_order.accept(block)
            except EventError as error:
                return b"".join(accepted), events, error
            accepted.append(block)
        return b"".join(accepted), events, None

    def _relay_events(
        self, assignment: Assignment, answer: UpstreamAnswer, first: bytes, chunks: Iterator[bytes]
    ) -> Iterator[bytes]:
        """Yield the events of a stream; if an attempt fails, resume at another endpoint."""
        outcome, reason = "caller left", ""
        try:
            yield b""
            if first:
                yield first
            while True:
                try:
                    yield from chunks
                    break
                except AttemptError as error:
                    answer.close()
                    self._answer = None
                    if self._is_disconnected:
                        raise CallerDisconnectedError("the caller disconnected") from error
                    self._end_failed_attempt(assignment, error)
                    resumed = self._resume_elsewhere(error)
                    if isinstance(resumed, str):
                        outcome, reason = "broken off", f"{error.reason}; {resumed}"
                        raise ConnectionAbortedError(reason) from error
                    assignment, answer, chunks = resumed
            outcome = "answered"
            self.ran = Ran.YES
            answer.finish()
            self._forwarder.finish(assignment, Outcome.COMPLETED)
            assignment = None
        except Exception as error:
            if outcome == "caller left" and not isinstance(error, CallerDisconnectedError):
                outcome, reason = "fault", repr(error)
            raise
        finally:
            self._give_back_place()
            self._forwarder.unwatch_caller(self)
            if assignment is not None and outcome != "broken off":
                answer.close()
                self._forwarder.finish(assignment, Outcome.CANCELLED)
            self._forwarder.record_end(self, outcome, 200, reason)

    def _resume_elsewhere(
        self, error: AttemptError
    ) -> tuple[Assignment, UpstreamAnswer, Iterator[bytes]] | str:
        """Resume a stream at another endpoint, or return why that is not possible."""
        while True:
            if self.request.route.retry_mode is not RetryMode.RESUME or not self._may_retry(error):
                return "it can't go on elsewhere"
            assignment = self._wait_for_assignment(error)
            if isinstance(assignment, Refusal):
                return assignment.reason
            try:
                reply = self._resume(assignment)
            except AttemptError as resume_error:
                self._end_failed_attempt(assignment, resume_error)
                error = resume_error
                continue
            except Exception:
                self._drop_attempt(assignment)
                raise
            return assignment, self._answer, reply

    def _resume(self, assignment: Assignment) -> Iterator[bytes]:
        answer = self._open(assignment)
        if answer.status != 200:
            answer.close()
            reason = f"endpoint answered {answer.status} to a resume"
            raise AttemptError(STEP, assignment.endpoint.endpoint, reason, status=answer.status)
        return self._read_events(assignment, answer)

    def _end_failed_attempt(self, assignment: Assignment, error: AttemptError) -> None:
        self._answer = None
        if error.ran is Ran.NO:
            self._has_credit = True
        if self._is_disconnected:
            self._forwarder.finish(assignment, Outcome.CANCELLED)
            raise CallerDisconnectedError("the caller disconnected") from error
        if error.ran is not Ran.NO or error.fault not in UNREACHED_FAULTS:
            self.has_reached_endpoint = True
        self.retry_cause = self._find_retry_cause(error)
        if error.ran is not Ran.NO:
            self.ran = Ran.UNKNOWN
            self.attempts_run += 1
        self._forwarder.record_attempt(self, assignment, error)
        self._record_crash(assignment, error)
        self._forwarder.finish(assignment, error.outcome, error.fault)

    def _find_retry_cause(self, error: AttemptError) -> RetryCause:
        if not self.has_reached_endpoint:
            return RetryCause.NOT_REACHED
        if self.first_received_at is not None and self.request.route.is_stream:
            return RetryCause.RESUMED
        if error.outcome is Outcome.FAILED:
            return RetryCause.FAILED
        return RetryCause.REFUSED if error.ran is Ran.NO else RetryCause.BROKEN

    def _answered_s(self) -> float:
        """Return the seconds since the first event of the latest attempt, 0 before it."""
        return 0.0 if self.first_event_at is None else time.monotonic() - self.first_event_at

    def _record_crash(self, assignment: Assignment, error: AttemptError) -> None:
        """Record a failed attempt as evidence against its request if its endpoint crashed."""
        answered_s = self._answered_s()
        if self._has_crashed_endpoint(assignment, error):
            has_started = self.progress is AttemptProgress.HEAD
            has_events = self.progress is AttemptProgress.EVENTS
            has_begun = has_events and answered_s < ANSWER_FIRST_EVENTS_S
            self._forwarder.record_crash(assignment, has_started, has_begun)

    def _has_crashed_endpoint(self, assignment: Assignment, error: AttemptError) -> bool:
        """Return whether an endpoint crashed under a request whose answer had at most begun.

        An endpoint that only breaks off its answer has not crashed, and still accepts connections.
        A stream without length and chunks has no broken connection; it only ends too early.
        """
        is_broken_off = error.outcome is Outcome.CRASHED or error.fault == SEQUENCE_FAULT
        return (
            is_broken_off
            and error.ran is not Ran.NO
            and self._answered_s() < ANSWER_BEGINNING_S
            and self._upstream.is_endpoint_down(assignment)
        )

    def _may_retry(self, error: AttemptError) -> bool:
        if error.outcome is Outcome.CANCELLED or self.attempts_sent >= MAX_ATTEMPTS:
            return False
        if time.monotonic() + MIN_ATTEMPT_TIME_S >= self.request.deadline:
            return False
        if error.ran is Ran.NO:
            return True
        return self.request.is_repeatable and self.attempts_run < self.request.route.max_attempts

    def _make_refusal(self, error: AttemptError, no_retry_reason: str) -> Refusal:
        is_timed_out = time.monotonic() + MIN_ATTEMPT_TIME_S >= self.request.deadline
        status = 503 if self.ran is Ran.NO else 504 if is_timed_out else 502
        reason = f"{error.reason}; {no_retry_reason}"
        code = "late" if is_timed_out else "endpoint-failed"
        if self._is_quarantined:
            reason = f"its prompt has a quarantined part; {reason}"
            code = "quarantined"
        elif self.ran is Ran.NO:
            code, status = _REFUSAL_BY_FAULT.get(error.fault, (code, status))
        return Refusal(error.step, error.peer, reason, code, status, self.ran, 0.5)


def _make_unbounded_error(assignment: Assignment, reason: str) -> AttemptError:
    return AttemptError(
        STEP, assignment.endpoint.endpoint, reason, Ran.UNKNOWN, fault=UNBOUNDED_FAULT
    )


def _is_event_stream(answer: UpstreamAnswer) -> bool:
    """Return whether the type of an answer is that of a stream of events, or missing."""
    types = [value for name, value in answer.headers if name.lower() == "content-type"]
    return all(value.partition(";")[0].strip().lower() == EVENT_STREAM for value in types)
