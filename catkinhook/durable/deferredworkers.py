"""Threads of a gateway that run deferred requests under leases."""

import logging
import threading
from collections.abc import Callable

from catkinhook.clocks import monotonic
from catkinhook.durable.claimanswers import Answer
from catkinhook.durable.deferred import DeferredStore, Lease

POLL_INTERVAL_S = 1.0
RENEWALS_PER_LEASE = 3

_log = logging.getLogger(__name__)

# Runs a request; None hands it back, for example when no endpoint can run it now.
Run = Callable[[Lease], Answer | None]


class DeferredWorkers:
    """Takes, runs, renews and completes deferred requests.

    :param workers: requests run at once.
    :param lease_time: the lease time of ``deferred`` in seconds.
    :param poll_interval: seconds between looks for work when there was none.
    """

    def __init__(
        self,
        deferred: DeferredStore,
        run: Run,
        workers: int,
        lease_time: float,
        poll_interval: float = POLL_INTERVAL_S,
    ) -> None:
        self._deferred = deferred
        self._run = run
        self._renew_interval = lease_time / RENEWALS_PER_LEASE
        self._poll_interval = poll_interval
        self._draining = threading.Event()
        self._stopped = threading.Event()
        self._runners = [
            threading.Thread(target=self._work, name=f"deferred {n}", daemon=True)
            for n in range(workers)
        ]
        self._renewer = threading.Thread(target=self._renew, name="deferred renewal", daemon=True)

    def start(self) -> None:
        """Begin to take work."""
        for thread in (*self._runners, self._renewer):
            thread.start()

    def drain(self, timeout: float) -> None:
        """Take no more work and wait for the requests in progress.

        :param timeout: seconds to wait in all.
        """
        self._draining.set()
        limit = monotonic() + timeout
        for thread in self._runners:
            thread.join(max(0.0, limit - monotonic()))

    def close(self) -> None:
        """Hand back what is still in progress and stop."""
        self._draining.set()
        self._stopped.set()
        self._renewer.join()
        self._deferred.release_all()

    def _work(self) -> None:
        while not self._draining.is_set():
            try:
                if not self._run_one():
                    self._draining.wait(self._poll_interval)
            except Exception:
                _log.exception("deferred request failed")
                self._draining.wait(self._poll_interval)

    def _run_one(self) -> bool:
        leases = self._deferred.acquire_leases(1).unwrap_or([])
        for lease in leases:
            answer = None
            try:
                answer = self._run(lease)
            finally:
                if answer is None:
                    self._deferred.release_lease(lease)
            if answer is None:
                # The wait keeps a request that can't run now from going round at once.
                return False
            self._deferred.complete(lease, answer)
        return bool(leases)

    def _renew(self) -> None:
        while not self._stopped.wait(self._renew_interval):
            try:
                self._deferred.flush()
                self._deferred.renew_all()
            except Exception:
                _log.exception("renewal of deferred leases failed")
