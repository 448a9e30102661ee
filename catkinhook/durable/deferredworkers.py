"""Threads of a gateway that execute deferred requests under leases."""

import logging
import threading
from collections.abc import Callable

from catkinhook.clocks import monotonic
from catkinhook.durable.claimanswers import Answer
from catkinhook.durable.deferred import DeferredStore, Lease

POLL_INTERVAL_S = 1.0
RENEWALS_PER_LEASE = 3

_log = logging.getLogger(__name__)

# Executes a request; None releases its lease, for example when no endpoint can execute it now.
ExecuteRequest = Callable[[Lease], Answer | None]


class DeferredWorkers:
    """Leases, executes and completes deferred requests, and renews their leases.

    :param workers: number of threads, each of which executes one request at a time.
    :param lease_time: lease time of ``deferred`` in seconds.
    :param poll_interval: seconds to wait before the next poll when there was no work.
    """

    def __init__(
        self,
        deferred: DeferredStore,
        execute: ExecuteRequest,
        workers: int,
        lease_time: float,
        poll_interval: float = POLL_INTERVAL_S,
    ) -> None:
        self._deferred = deferred
        self._execute = execute
        self._renew_interval = lease_time / RENEWALS_PER_LEASE
        self._poll_interval = poll_interval
        self._draining = threading.Event()
        self._stopped = threading.Event()
        self._workers = [
            threading.Thread(target=self._run_worker, name=f"deferred {n}", daemon=True)
            for n in range(workers)
        ]
        self._renewal_thread = threading.Thread(
            target=self._run_renewals, name="deferred renewal", daemon=True
        )

    def start(self) -> None:
        """Start the threads."""
        for thread in (*self._workers, self._renewal_thread):
            thread.start()

    def drain(self, timeout: float) -> None:
        """Stop leasing requests and wait for those in progress.

        :param timeout: seconds to wait for all threads together.
        """
        self._draining.set()
        deadline = monotonic() + timeout
        for thread in self._workers:
            thread.join(max(0.0, deadline - monotonic()))

    def close(self) -> None:
        """Stop renewals and release the leases of requests that are still in progress."""
        self._draining.set()
        self._stopped.set()
        self._renewal_thread.join()
        self._deferred.release_all()

    def _run_worker(self) -> None:
        while not self._draining.is_set():
            try:
                if not self._process_next():
                    self._draining.wait(self._poll_interval)
            except Exception:
                _log.exception("processing of a deferred request failed")
                self._draining.wait(self._poll_interval)

    def _process_next(self) -> bool:
        leases = self._deferred.acquire_leases(1).unwrap_or([])
        for lease in leases:
            answer = None
            try:
                answer = self._execute(lease)
            finally:
                if answer is None:
                    self._deferred.release_lease(lease)
            if answer is None:
                # ``_run_worker`` then waits, so that a request without an endpoint is not retried
                # immediately.
                return False
            self._deferred.complete(lease, answer)
        return bool(leases)

    def _run_renewals(self) -> None:
        while not self._stopped.wait(self._renew_interval):
            try:
                self._deferred.flush()
                self._deferred.renew_all()
            except Exception:
                _log.exception("renewal of deferred leases failed")
