"""Service for deferred requests: connects the web application, the store and the workers."""

from collections.abc import Callable, Iterable

from result import Err, Ok, Result

from catkinhook.clocks import Clock, monotonic
from catkinhook.durable.claimanswers import Answer
from catkinhook.durable.claimtypes import hash_key
from catkinhook.durable.deferred import DeferredRequest, DeferredStore, Lease
from catkinhook.durable.deferredworkers import DeferredWorkers
from catkinhook.errors import PROBLEM_CONTENT_TYPE, Refusal, render_problem
from catkinhook.requests.callrunner import Call, CallRunner
from catkinhook.requests.intake import InboundRequest, build_call, qualify_caller_name
from catkinhook.state.views import Snapshot

# Statuses of refusals that a retry can't change; they become the answer of a deferred request.
_FINAL_STATUSES = frozenset({400, 404, 405, 413, 422})


class DeferredService:
    """Accepts deferred requests and executes them under leases.

    :param read_snapshot: returns the newest snapshot, or None before the first.
    :param drain_time: seconds for which a planned stop waits for requests in progress.
    """

    def __init__(
        self,
        deferred: DeferredStore,
        calls: CallRunner,
        read_snapshot: Callable[[], Snapshot | None],
        workers: int,
        lease_time: float,
        drain_time: float,
        clock: Clock = monotonic,
    ) -> None:
        self._deferred = deferred
        self._calls = calls
        self._read_snapshot = read_snapshot
        self._drain_time = drain_time
        self._clock = clock
        self._workers = DeferredWorkers(deferred, self.execute, workers, lease_time)

    def start(self) -> None:
        """Start the workers."""
        self._workers.start()

    def stop_leasing(self) -> None:
        """Lease no more requests; those in progress continue."""
        self._workers.drain(0.0)

    def close(self) -> None:
        """Wait for requests in progress, then release the remaining leases."""
        self._workers.drain(self._drain_time)
        self._workers.close()

    def accept(self, inbound: InboundRequest, call: Call) -> Result[str, Refusal]:
        """Store a request; a repeat with the same ``Idempotency-Key`` gets the same id."""
        service = call.request.document.service
        key = inbound.headers.get("Idempotency-Key", "")
        request = DeferredRequest(
            service=service,
            caller=qualify_caller_name(service, inbound.caller),
            class_name=inbound.class_name,
            method=inbound.method,
            path=inbound.path + (f"?{inbound.query}" if inbound.query else ""),
            headers=inbound.headers,
            finish_within=call.request.caller_class.finish_within,
        )
        request_id = hash_key(service, inbound.caller, key)[:32] if key else ""
        return self._deferred.accept(request, inbound.body, request_id)

    def find_answer(
        self, request_id: str, callers: Iterable[str]
    ) -> Result[Answer | None, Refusal]:
        """Return the answer of a deferred request, or None while it has none.

        :param callers: names that the caller has authenticated as, from ``find_callers``.
        """
        for caller in callers:
            result = self._deferred.find_answer(request_id, caller)
            if result.is_ok() or result.unwrap_err().status != 404:
                return result
        return result

    def execute(self, lease: Lease) -> Answer | None:
        """Execute a leased request; return None when it can't be executed now."""
        snapshot = self._read_snapshot()
        if snapshot is None:
            return None
        request = lease.request
        path, _, query = request.path.partition("?")
        inbound = InboundRequest(
            method=request.method,
            path=path,
            query=query,
            headers=request.headers,
            body=lease.body,
            class_name=request.class_name,
        )
        try:
            call = build_call(inbound, snapshot, self._clock() - lease.waited)
            result = self._calls.run(call)
        except Refusal as refusal:
            # The service or model was withdrawn after the request was accepted.
            result = Err(refusal)
        match result:
            case Ok(Answer() as answer):
                return answer
            case Err(Refusal() as refusal) if refusal.status in _FINAL_STATUSES:
                headers = {"Content-Type": PROBLEM_CONTENT_TYPE}
                return Answer(status=refusal.status, headers=headers, body=render_problem(refusal))
        return None
