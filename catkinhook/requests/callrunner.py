"""Execution of a gateway's requests from admission to the answer, with attempts and retries."""

import time
from collections.abc import Callable, Iterator
from typing import Protocol

import attrs
from result import Err, Ok, Result

from catkinhook.clocks import Clock, monotonic
from catkinhook.durable.claimanswers import Answer
from catkinhook.durable.claimtypes import StoredAnswer
from catkinhook.durable.heldclaims import ClaimOperations, HeldClaim
from catkinhook.errors import Ran, Refusal, render_problem
from catkinhook.operations.metrics import GatewayMetrics
from catkinhook.requests.attempts import (
    Attempt,
    AttemptError,
    AttemptLimits,
    ConnectionPool,
    ResponseHead,
)
from catkinhook.requests.disconnectmonitor import DisconnectMonitor
from catkinhook.requests.dispatchactor import DispatcherProxy
from catkinhook.requests.gatewaydispatcher import Choice, Request
from catkinhook.requests.memorybudget import MemoryBudget
from catkinhook.requests.outcomes import Outcome
from catkinhook.requests.pump import Pump
from catkinhook.requests.relay import StreamRelay, render_error
from catkinhook.texts import parse_count

STEP = "calls"
EVENT_STREAM = "text/event-stream"
MAX_LABEL_LENGTH = 200
CALLER_DISCONNECTED = "caller-left"
QUARANTINED = "quarantined"
SUSPECT_WAITS = "suspect-waits"
# Harmless requests that ran on an endpoint with a crashing one are retried one at a time, which can
# take this long.
SUSPECT_TIMEOUT_S = 30.0
SUSPECT_POLL_INTERVAL_S = 0.2

# Hop-by-hop and internal headers, which are not forwarded to the caller.
_PRIVATE_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "te",
        "trailers",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "date",
        "server",
        "x-request-id",
        "x-boot-id",
        "x-engine-running",
        "x-engine-waiting",
    }
)

_REFUSAL_BY_OUTCOME = {
    Outcome.NOT_RUN: ("not-run", 503),
    Outcome.FAILED: ("endpoint-failed", 502),
    Outcome.CRASHED: ("endpoint-crashed", 502),
    Outcome.BROKEN: ("connection-lost", 502),
    Outcome.CANCELLED: (CALLER_DISCONNECTED, 499),
}


@attrs.frozen(kw_only=True)
class Call:
    """A validated request of a caller.

    :ivar path: path at the endpoint, with the query.
    :ivar headers: headers for the endpoint.
    :ivar stream: whether the answer is an event stream.
    :ivar claim_key: key of a non-repeatable request, equal if its caller sends it again.
    :ivar body_hash: hash that detects a different request under the same key.
    """

    request: Request
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    stream: bool = False
    claim_key: str = ""
    body_hash: str = ""


class StreamAnswer:
    """A streamed answer whose first bytes have arrived; iterate it once, then close it.

    :ivar write: sends bytes to the caller outside the iteration, None if the server doesn't support
        that.
    :ivar is_behind: returns whether too many written bytes are unsent because the caller reads
        slowly.
    """

    def __init__(self, on_close: Callable[[], None]) -> None:
        self.write: Callable[[bytes], object] | None = None
        self.is_behind: Callable[[], bool] | None = None
        self.chunks: Iterator[bytes] = iter(())
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        return self.chunks

    def close(self) -> None:
        """End the stream; if it is not complete, the request is cancelled on the engine."""
        self._on_close()


class AdapterProvider(Protocol):
    """Loads adapters that are resident on no endpoint."""

    def ensure_available(self, request: Request) -> bool:
        """Wait until the adapter of a request is available; request a load if necessary."""


@attrs.frozen
class QuarantineGuard:
    """Quarantine of requests that crash endpoints, shared by all gateways.

    :ivar is_quarantined: returns whether a fingerprint is refused.
    :ivar begin_probe: reserves the retry of a suspect, of which one may run at a time.
    """

    is_quarantined: Callable[[str], bool] = lambda fingerprint: False
    begin_probe: Callable[[str, str], Result[None, Refusal]] = lambda name, endpoint: Ok(None)


class CallRunner:
    """Runs calls; thread-safe.

    :param claims: None to refuse requests that must run at most once.
    :param adapters: None to refuse requests whose adapter is resident on no endpoint.
    :param guard: None if no other instance runs requests.
    :param on_crash: called after a crash was recorded in the dispatcher.
    :param memory: account of the bytes that requests hold, None for one without a limit.
    """

    def __init__(
        self,
        dispatch: DispatcherProxy,
        connections: ConnectionPool,
        limits: AttemptLimits,
        monitor: DisconnectMonitor,
        pump: Pump,
        metrics: GatewayMetrics,
        claims: ClaimOperations | None = None,
        adapters: AdapterProvider | None = None,
        guard: QuarantineGuard | None = None,
        on_crash: Callable[[], None] = lambda: None,
        clock: Clock = monotonic,
        sleep: Callable[[float], None] = time.sleep,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._memory = memory or MemoryBudget()
        self._dispatch = dispatch
        self._connections = connections
        self._limits = limits
        self._monitor = monitor
        self._pump = pump
        self._metrics = metrics
        self._claims = claims
        self._adapters = adapters
        self._guard = guard or QuarantineGuard()
        self._on_crash = on_crash
        self._clock = clock
        self._sleep = sleep

    def run(
        self, call: Call, is_disconnected: Callable[[], bool] | None = None
    ) -> Result[Answer | StreamAnswer, Refusal]:
        """Run a call until its answer is complete, or a stream until its first bytes.

        :param is_disconnected: returns whether the caller has disconnected, None if no caller
            waits.
        """
        if call.request.repeatable:
            return self._admit_and_run(call, None, is_disconnected)
        if self._claims is None:
            reason = "requests that must run at most once are not available here"
            return Err(Refusal(STEP, "", reason, "no-claims", 503, Ran.NO, 1.0))
        return self._claim_and_run(call, self._claims)

    def _claim_and_run(self, call: Call, claims: ClaimOperations) -> Result[Answer, Refusal]:
        service, class_name = _metric_labels(call)
        labels = {"service": service, "class": class_name, "path": call.path[:MAX_LABEL_LENGTH]}
        timeout = call.request.caller_class.first_token
        acquired = claims.acquire(call.claim_key, call.body_hash, timeout, labels)
        if acquired.is_err():
            return acquired
        if isinstance(acquired.unwrap(), StoredAnswer):
            return Ok(acquired.unwrap().answer)
        claim = HeldClaim(claims, acquired.unwrap().claim)
        try:
            # The answer is stored for a repeat of the request, so a disconnect doesn't cancel it.
            return self._admit_and_run(call, claim, None)
        finally:
            claim.close()

    def _admit_and_run(
        self, call: Call, claim: HeldClaim | None, is_disconnected: Callable[[], bool] | None
    ) -> Result[Answer | StreamAnswer, Refusal]:
        if self._guard.is_quarantined(call.request.fingerprint):
            reason = "the request crashed endpoints repeatedly and is quarantined"
            return Err(Refusal(STEP, "", reason, QUARANTINED, 422, Ran.NO))
        if self._adapters is not None:
            # If the adapter is still missing, the dispatcher refuses the request.
            self._adapters.ensure_available(call.request)
        admitted = self._dispatch.begin(call.request)
        if admitted.is_err():
            return admitted
        released = met_targets = False
        try:
            result = self._run_attempts(call, admitted.unwrap(), claim, is_disconnected)
            # A successful answer or stream releases the request at its end.
            released = result.is_ok()
            # A caller that disconnects before the latency target passes is not counted as a miss.
            met_targets = (
                not released
                and result.unwrap_err().code == CALLER_DISCONNECTED
                and self._is_within_target(call)
            )
            return result
        finally:
            if not released:
                self._dispatch.release(call.request, met_targets)

    def _is_within_target(self, call: Call) -> bool:
        return self._clock() - call.request.arrived <= _target_seconds(call, 1)

    def _run_attempts(
        self,
        call: Call,
        choice: Choice,
        claim: HeldClaim | None,
        is_disconnected: Callable[[], bool] | None,
    ) -> Result[Answer | StreamAnswer, Refusal]:
        tried_endpoints: frozenset[str] = frozenset()
        failed: AttemptError | None = None
        picked: Result[Choice, Refusal] = Ok(choice)
        while True:
            prepared = self._wait_for_choice(
                call, picked, tried_endpoints, claim, is_disconnected, failed is not None
            )
            if prepared.is_err():
                refusal = prepared.unwrap_err()
                return Err(refusal if failed is None else _no_retry_refusal(failed, refusal))
            choice = prepared.unwrap()
            tried_endpoints |= {choice.endpoint.endpoint}
            attempt = self._make_attempt(call, choice)
            try:
                return Ok(self._run_attempt(call, attempt, choice, claim, is_disconnected))
            except AttemptError as error:
                outcome = self._end_failed_attempt(call, attempt, error, 0)
                failed = attrs.evolve(_keep_earlier_ran(failed, error), outcome=outcome)
            except Exception:
                self._finish_failed(call, attempt, Outcome.CANCELLED, 0)
                raise
            planned = self._plan_retry(call, claim, failed)
            if planned.is_err():
                return planned
            self._metrics.retries.labels(call.request.document.service).inc()
            self._sleep(planned.unwrap())
            picked = self._dispatch.pick(call.request, tried_endpoints)

    def _wait_for_choice(
        self,
        call: Call,
        picked: Result[Choice, Refusal],
        tried_endpoints: frozenset[str],
        claim: HeldClaim | None,
        is_disconnected: Callable[[], bool] | None,
        may_wait: bool,
    ) -> Result[Choice, Refusal]:
        """Return a choice whose attempt may be sent.

        :param may_wait: whether a suspect waits until an endpoint may run it.
        """
        deadline = self._clock() + (SUSPECT_TIMEOUT_S if may_wait else 0.0)
        while True:
            refused = picked
            if picked.is_ok():
                choice = picked.unwrap()
                allowed = self._persist_before_send(call, choice, claim)
                if allowed.is_ok():
                    return picked
                self._dispatch.finish(choice.attempt_id, Outcome.CANCELLED, 0)
                refused = Err(allowed.unwrap_err())
            disconnected = is_disconnected is not None and is_disconnected()
            if (
                refused.unwrap_err().code != SUSPECT_WAITS
                or disconnected
                or self._clock() >= deadline
            ):
                return refused
            self._sleep(SUSPECT_POLL_INTERVAL_S)
            picked = self._dispatch.pick(call.request, tried_endpoints)
            if picked.is_err() and picked.unwrap_err().code != SUSPECT_WAITS:
                # An excluded endpoint that crashed may have restarted meanwhile.
                picked = self._dispatch.pick(call.request, frozenset())

    def _persist_before_send(
        self, call: Call, choice: Choice, claim: HeldClaim | None
    ) -> Result[None, Refusal]:
        """Write the records that must be durable before the first byte of an attempt is sent."""
        if choice.probe:
            probing = self._guard.begin_probe(call.request.fingerprint, choice.endpoint.endpoint)
            if probing.is_err():
                return probing
        return Ok(None) if claim is None else claim.mark_sent()

    def _plan_retry(
        self, call: Call, claim: HeldClaim | None, failed: AttemptError
    ) -> Result[float, Refusal]:
        refused = Err(_make_refusal(failed))
        if failed.outcome is Outcome.CANCELLED:
            return refused
        if claim is not None:
            # A claimed request is retried only if its attempt did not run.
            if failed.outcome is not Outcome.NOT_RUN or failed.ran is not Ran.NO:
                return refused
            if claim.release_for_retry().is_err():
                return refused
        planned = self._dispatch.plan_retry(call.request, failed.outcome)
        return planned if planned.is_ok() else Err(_no_retry_refusal(failed, planned.unwrap_err()))

    def _make_attempt(self, call: Call, choice: Choice) -> Attempt:
        fresh = not call.request.repeatable
        return Attempt(
            self._connections,
            choice.endpoint,
            choice.attempt_id,
            self._limits,
            fresh=fresh,
            memory=self._memory,
        )

    def _run_attempt(
        self,
        call: Call,
        attempt: Attempt,
        choice: Choice,
        claim: HeldClaim | None,
        is_disconnected: Callable[[], bool] | None,
    ) -> Answer | StreamAnswer:
        if is_disconnected is not None:
            self._monitor.add(attempt.attempt_id, is_disconnected, attempt.abort)
        headers = call.headers
        if choice.endpoint.kind == "engine":
            headers = {**headers, "X-Priority": str(choice.priority)}
        may_send = None if claim is None else claim.may_send
        head = attempt.send(call.method, call.path, headers, call.body, may_send)
        if call.stream and head.status == 200:
            return self._begin_stream(call, attempt, head)
        answer = Answer(
            status=head.status, headers=_public_headers(head), body=attempt.read_answer()
        )
        _check_status(attempt, head)
        if claim is not None:
            claim.complete(answer)
        self._monitor.remove(attempt.attempt_id)
        # A plain service sends its answer at once: its speed is estimated from the complete answer.
        self._dispatch.record_response_start(
            attempt.attempt_id, _read_load(head), not call.request.model
        )
        now = self._clock()
        met_targets = now - call.request.arrived <= _target_seconds(
            call, call.request.output_tokens
        )
        self._complete(call, attempt, 0, met_targets, now)
        return answer

    def _begin_stream(self, call: Call, attempt: Attempt, head: ResponseHead) -> StreamAnswer:
        attempt.begin_stream()
        relay = StreamRelay(attempt, self._metrics)
        chunks = iter(relay)
        first = next(chunks)
        self._dispatch.record_response_start(attempt.attempt_id, _read_load(head), True)
        first_at = self._clock()
        self._metrics.first_token.labels(*_metric_labels(call)).observe(
            first_at - call.request.arrived
        )
        ended = False

        def end_failed(error: AttemptError) -> Outcome:
            nonlocal ended
            ended = True
            outcome = self._end_failed_attempt(call, attempt, error, relay.tokens)
            disconnected_in_time = outcome is Outcome.CANCELLED and _has_stream_met_targets(
                call, first_at, self._clock(), relay.tokens
            )
            self._dispatch.release(call.request, disconnected_in_time)
            self._metrics.tokens.labels(call.request.document.service).inc(relay.tokens)
            return outcome

        def relay_events() -> Iterator[bytes]:
            nonlocal ended
            yield first
            try:
                if answer.write is not None:
                    self._pump.relay(relay, answer.write, answer.is_behind)
                yield from chunks
            except AttemptError as error:
                refusal = _make_refusal(attrs.evolve(error, outcome=end_failed(error)))
                yield render_error(render_problem(refusal))
                return
            ended = True
            self._monitor.remove(attempt.attempt_id)
            now = self._clock()
            met_targets = _has_stream_met_targets(call, first_at, now, relay.tokens)
            self._complete(call, attempt, relay.tokens, met_targets, now)

        def close() -> None:
            if not ended:
                end_failed(relay.fail_on_disconnect())

        answer = StreamAnswer(close)
        answer.chunks = relay_events()
        return answer

    def _complete(
        self, call: Call, attempt: Attempt, tokens: int, met_targets: bool, now: float
    ) -> None:
        service, class_name = _metric_labels(call)
        self._dispatch.complete(call.request, attempt.attempt_id, tokens, met_targets)
        self._metrics.attempts.labels(service, Outcome.COMPLETED.name.lower()).inc()
        self._metrics.tokens.labels(service).inc(tokens)
        self._metrics.duration.labels(service, class_name).observe(now - call.request.arrived)

    def _end_failed_attempt(
        self, call: Call, attempt: Attempt, error: AttemptError, tokens: int
    ) -> Outcome:
        self._monitor.remove(attempt.attempt_id)
        outcome = error.outcome
        if attempt.aborted or outcome is Outcome.CANCELLED:
            outcome = Outcome.CANCELLED
            self._metrics.callers_left.inc()
        elif outcome is Outcome.BROKEN and attempt.has_crashed():
            outcome = Outcome.CRASHED
        if error.fault:
            self._metrics.dropped_events.labels(error.fault).inc()
        may_be_running = outcome in (Outcome.CANCELLED, Outcome.BROKEN)
        if may_be_running and call.request.model and error.ran is not Ran.NO:
            attempt.cancel()
        self._finish_failed(call, attempt, outcome, tokens)
        return outcome

    def _finish_failed(self, call: Call, attempt: Attempt, outcome: Outcome, tokens: int) -> None:
        self._metrics.attempts.labels(call.request.document.service, outcome.name.lower()).inc()
        self._dispatch.finish(attempt.attempt_id, outcome, tokens)
        if outcome is Outcome.CRASHED:
            self._on_crash()


def _read_load(head: ResponseHead) -> tuple[int, int] | None:
    running = parse_count(head.headers.get("x-engine-running", ""))
    waiting = parse_count(head.headers.get("x-engine-waiting", ""))
    return None if running is None or waiting is None else (running, waiting)


def _check_status(attempt: Attempt, head: ResponseHead) -> None:
    """Raise for error answers of an engine; those of a plain service are forwarded."""
    if attempt.endpoint.kind != "engine" or (head.status < 500 and head.status != 404):
        return
    address, reason = attempt.endpoint.address, f"endpoint answered {head.status}"
    if head.status == 404:
        reason = "the model is not resident any more"
        raise AttemptError(STEP, address, reason, Ran.NO, 404, Outcome.NOT_RUN)
    raise AttemptError(STEP, address, reason, Ran.UNKNOWN, head.status, Outcome.FAILED)


def _metric_labels(call: Call) -> tuple[str, str]:
    return call.request.document.service, call.request.class_name


def _target_seconds(call: Call, tokens: int) -> float:
    caller_class = call.request.caller_class
    if caller_class.priority != "interactive":
        return caller_class.finish_within
    return caller_class.first_token + caller_class.between_tokens * max(0, tokens - 1)


def _has_stream_met_targets(call: Call, first_at: float, now: float, tokens: int) -> bool:
    caller_class, arrived = call.request.caller_class, call.request.arrived
    if caller_class.priority == "interactive" and first_at - arrived > caller_class.first_token:
        return False
    return now - arrived <= _target_seconds(call, tokens)


def _public_headers(head: ResponseHead) -> dict[str, str]:
    return {name: value for name, value in head.headers.items() if name not in _PRIVATE_HEADERS}


def _keep_earlier_ran(earlier: AttemptError | None, error: AttemptError) -> AttemptError:
    """Keep ``ran`` of an earlier attempt that may have run, if the later attempt did not run."""
    if earlier is not None and earlier.ran is not Ran.NO and error.ran is Ran.NO:
        return attrs.evolve(error, ran=earlier.ran)
    return error


def _no_retry_refusal(failed: AttemptError, no_retry: Refusal) -> Refusal:
    """Return a refusal with the failure of the last attempt and why it was not retried."""
    refusal = _make_refusal(failed)
    if no_retry.code == QUARANTINED:
        refusal = attrs.evolve(no_retry, ran=failed.ran)
    return attrs.evolve(refusal, reason=f"{failed.reason}; not retried: {no_retry.reason}")


def _make_refusal(error: AttemptError) -> Refusal:
    code, status = _REFUSAL_BY_OUTCOME[error.outcome]
    if error.ran is not Ran.NO and status == 503:
        status = 502
    retry_after = 1.0 if error.ran is Ran.NO else 0.0
    return Refusal(error.step, error.peer, error.reason, code, status, error.ran, retry_after)
