"""Readiness and request counts of a host."""

import threading
import time
from collections.abc import Callable

from catkinhook.operations.decisionlog import DecisionLog

# Safety margin between the last deadline of an accepted request and the end of a stop.
FINISH_MARGIN_S = 0.5
# Time after a stop request for which all requests are accepted, whatever their deadlines. By the
# platform's rules, requests that arrive more than 3 s after it must get complete answers.
ACCEPT_ALL_AFTER_STOP_S = 2.5


class HostState:
    """Readiness, requests in progress and shutdown of one host.

    :param max_requests: maximum number of requests in progress, each of which occupies a thread.
    :param grace_s: seconds between the request to stop and the end of the process.
    :param explain: returns the reason why the host can't serve yet, empty when it can.
    """

    def __init__(
        self, max_requests: int, grace_s: float, explain: Callable[[], str], log: DecisionLog
    ) -> None:
        self._max_requests = max_requests
        self._grace_s = grace_s
        self._explain = explain
        self._log = log
        self._lock = threading.Lock()
        self._stop_requested_at: float | None = None
        self._was_ready = False
        self._is_closed = False
        self.in_progress = 0

    @property
    def is_stopping(self) -> bool:
        """Whether a stop was requested."""
        return self._stop_requested_at is not None

    def begin_request(self) -> bool:
        """Count a new request and return true, or return false if it must be refused.

        It is refused at the limit of requests and after ``close_if_idle``.
        """
        with self._lock:
            if self._is_closed or self.in_progress >= self._max_requests:
                return False
            self.in_progress += 1
            return True

    def end_request(self) -> None:
        """Count a request as finished."""
        with self._lock:
            self.in_progress -= 1

    def close_if_idle(self) -> bool:
        """Refuse all later requests if none is in progress; return whether that is so.

        A request that is passed on while the process ends would be cut.
        """
        with self._lock:
            self._is_closed = self._is_closed or not self.in_progress
            return self._is_closed

    def stop(self) -> None:
        """Mark the host as stopping, which makes it not ready."""
        self._stop_requested_at = time.monotonic()

    def may_accept(self, deadline: float) -> bool:
        """Whether a request may be accepted.

        From ``ACCEPT_ALL_AFTER_STOP_S`` after a stop request on, its deadline must be before the
        end of the process.

        :param deadline: latest time at which the request ends.
        """
        if self._stop_requested_at is None:
            return True
        end = self._stop_requested_at + self._grace_s - FINISH_MARGIN_S
        is_early = time.monotonic() - self._stop_requested_at < ACCEPT_ALL_AFTER_STOP_S
        return is_early or deadline <= end

    def explain_unready(self) -> str:
        """Return the reason why the host is not ready, empty when it is ready."""
        reason = "the host is stopping" if self.is_stopping else self._explain()
        if (not reason) != self._was_ready:
            self._was_ready = not reason
            self._log.record("ready", outcome="no" if reason else "yes", reason=reason)
        return reason

    def log_unhandled_error(self, error: Exception) -> None:
        """Log an exception that no step of the request path handled."""
        self._log.record("fault", outcome="unhandled", reason=repr(error))
