"""Calls for credit of workspaces' limits to the holder of the order lease.

The load pattern: 80 hosts with a few callers each, whose requests come in clumps and find no
credit. An exchange with the holder is paced to one every 0.3 s; a call takes one round trip.
"""

import threading
from collections.abc import Callable

from result import Err, Ok, Result

from catkinhook.clocks import Clock
from catkinhook.control.limitholder import LimitHolder
from catkinhook.control.orderleasemanager import LeaseManager
from catkinhook.errors import StepError
from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.operations.hostmetrics import HostMetrics
from catkinhook.peering.creditmessages import (
    decode_credit_answer,
    decode_credit_request,
    encode_credit_answer,
    encode_credit_request,
)
from catkinhook.peering.peers import PeerPool
from catkinhook.requests.limitcredit import CreditAnswer, CreditRequest
from catkinhook.requests.limitgate import LimitGate
from catkinhook.thrift_hosts import ttypes

# Timeout of a call, after which its requests wait for an exchange.
CALL_TIMEOUT_S = 0.1
# Timeout for a new connection, during which exchanges are used. The holder starts a thread for it,
# which takes up to some hundred milliseconds on a busy machine.
OPEN_TIMEOUT_S = 0.5
# Time for which exchanges are used after a failed call, by its outcome. It ends early when the
# holder changes.
PAUSE_S_BY_OUTCOME = {"refused": 0.1, "failed": 0.5, "no-holder": 0.0, "unknown-call": 5.0}
# What the thrift library answers to a call that the server's interface does not have.
UNKNOWN_CALL_REASON = "Unknown function"


class CreditLink:
    """Service with one thread that calls the holder, one call at a time.

    Requests that need credit during a call are combined into the next one.

    :param address: address of this host's thrift listener.
    :param pool: connections of their own, because an exchange on the same one would delay a call;
        its timeout is ``CALL_TIMEOUT_S``.
    :param request_exchange: starts an exchange with the holder soon.
    """

    def __init__(
        self,
        node: str,
        address: str,
        incarnation: str,
        lease: LeaseManager,
        holder: LimitHolder,
        gate: LimitGate,
        pool: PeerPool,
        request_exchange: Callable[[], None],
        metrics: HostMetrics,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        self._node = node
        self._address = address
        self._incarnation = incarnation
        self._lease = lease
        self._holder = holder
        self._gate = gate
        self._pool = pool
        self._request_exchange = request_exchange
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._sequence = 0
        self._paused_until = float("-inf")
        self._paused_fence = 0
        self._logged_outcome = ""
        self._last_error = ""
        self._requested = threading.Event()
        self._is_opening = False
        self._is_closed = False
        self._thread = threading.Thread(target=self._run, name="credit-link", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread without waiting for a call in progress."""
        self._is_closed = True
        self._requested.set()

    def request(self) -> None:
        """Start a call soon; this never blocks, so the caller may hold locks."""
        self._requested.set()
        if self._is_opening:
            self._request_exchange()

    def connect(self) -> None:
        """Connect to the holder, which has changed, before requests need it."""
        if self._gate.is_active:
            self._requested.set()

    def handle(self, struct: ttypes.CreditRequest) -> ttypes.CreditAnswer:
        """Answer the call of another host.

        :raises StepError: if the call is invalid, or there are too many.
        """
        request = decode_credit_request(struct)
        if request.faults:
            self._log_faults(request.faults, request.node)
        return encode_credit_answer(self._answer(request))

    def step(self) -> None:
        """Call the holder if credit is needed."""
        record = self._lease.holder()
        fence = 0 if record is None else record.fence
        is_paused = self._clock() < self._paused_until and fence == self._paused_fence
        if is_paused:
            self._request_exchange()
            return
        is_remote = record is not None and record.address != self._address
        if is_remote and not self._lease.is_held() and not self._open(record.address):
            self._record("failed", fence)
            return
        version, wishes = self._gate.ask_credit()
        if not wishes:
            return
        self._sequence += 1
        request = CreditRequest(
            fence=fence,
            node=self._node,
            incarnation=self._incarnation,
            sequence=self._sequence,
            version=version,
            wishes=wishes,
        )
        asked_at = self._clock()
        outcome = "no-holder"
        if self._lease.is_held():
            outcome = self._apply(self._answer_own(request), request, asked_at)
        elif is_remote:
            outcome = self._apply(self._call(record.address, request), request, asked_at)
        self._record(outcome, fence)

    def _open(self, address: str) -> bool:
        if self._pool.is_open(address):
            return True
        self._is_opening = True
        self._gate.set_credit_calls(False)
        self._request_exchange()
        try:
            result = self._pool.open(address, OPEN_TIMEOUT_S)
        finally:
            self._is_opening = False
        if result.is_err():
            self._last_error = f"{address}: {result.unwrap_err().reason}"
        return result.is_ok()

    def _run(self) -> None:
        while True:
            self._requested.wait()
            self._requested.clear()
            if self._is_closed:
                return
            try:
                self.step()
            except Exception as error:
                # The thread must survive, or requests would get no credit any more.
                self._record("failed", self._paused_fence)
                self._log.record("limit", outcome=f"credit call failed: {error!r}")

    def _answer(self, request: CreditRequest) -> CreditAnswer:
        record = self._lease.holder()
        if record is None or not self._lease.is_held():
            return CreditAnswer(fence=0, holds=False)
        return self._holder.handle_credit(request, record.fence)

    def _answer_own(self, request: CreditRequest) -> Result[CreditAnswer, StepError]:
        try:
            return Ok(self._answer(request))
        except StepError as error:
            return Err(error)

    def _call(self, address: str, request: CreditRequest) -> Result[CreditAnswer, StepError]:
        result = self._pool.call(address, "credit", encode_credit_request(request))
        return result.map(lambda struct: decode_credit_answer(struct, address))

    def _apply(
        self, result: Result[CreditAnswer, StepError], request: CreditRequest, asked_at: float
    ) -> str:
        """Apply an answer; return the outcome of the call."""
        if result.is_err():
            error = result.unwrap_err()
            self._last_error = f"{error.peer}: {error.reason}"
            if UNKNOWN_CALL_REASON in error.reason:
                return "unknown-call"
            return "refused" if error.step == "limits" else "failed"
        answer = result.unwrap()
        if answer.faults:
            self._log_faults(answer.faults, "holder")
        if not answer.holds or answer.fence != request.fence:
            return "no-holder"
        return self._gate.apply_credit(answer.grants, asked_at, answer.version)

    def _record(self, outcome: str, fence: int) -> None:
        self._metrics.credit_calls.labels(outcome).inc()
        has_failed = outcome in PAUSE_S_BY_OUTCOME
        self._gate.set_credit_calls(not has_failed)
        if has_failed:
            self._paused_until = self._clock() + PAUSE_S_BY_OUTCOME[outcome]
            self._paused_fence = fence
            self._request_exchange()
        change = outcome if has_failed else "answered"
        if change != self._logged_outcome:
            self._logged_outcome = change
            self._log.record(
                "limit", outcome=f"credit calls: {change}", fence=fence, reason=self._last_error
            )
            self._last_error = ""

    def _log_faults(self, faults: tuple[str, ...], peer: str) -> None:
        self._log.record("limit", outcome=f"ignored: {faults[0]}", peer=peer, count=len(faults))
