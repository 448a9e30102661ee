"""Counters and log lines of the retries of a host, by cause."""

import enum
import threading
import time
from collections import Counter
from collections.abc import Callable

import attrs

from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.operations.hostmetrics import HostMetrics

# Seconds between two log lines of a service whose state does not change.
LINE_INTERVAL_S = 1.0


class RetryCause(enum.StrEnum):
    """Why a request needs another attempt; the values appear in metric labels and log lines."""

    NOT_REACHED = "not reached"  # no attempt has reached an endpoint, so the retry is free
    REFUSED = "refused"  # the endpoint stated that it did not run the request
    FAILED = "failed"  # the endpoint ran the request and answered with an error
    BROKEN = "broken"  # the attempt may have run and ended before the first event
    RESUMED = "resumed"  # the stream ended after the caller had received events
    MOVED = "moved"  # the request left a silent endpoint


@attrs.frozen
class RetryBudgetState:
    """Retry budget of a service at a decision.

    :ivar balance: retries that the budget permits at once.
    :ivar hosts: number of hosts among which the slack is divided, 0 while it is unknown.
    """

    balance: float
    hosts: int


@attrs.define
class _ServiceCounts:
    granted_by_cause: Counter[RetryCause] = attrs.Factory(Counter)
    denied_by_cause: Counter[RetryCause] = attrs.Factory(Counter)
    is_used_up: bool = False
    logged_at: float = float("-inf")


class RetryCounts:
    """Counts retries, and logs the budget when it is used up or available again.

    Under load, each service also has a line per ``LINE_INTERVAL_S``.
    """

    def __init__(
        self,
        metrics: HostMetrics,
        log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._lock = threading.Lock()
        self._counts_by_service: dict[str, _ServiceCounts] = {}

    def record(
        self, service: str, cause: RetryCause, is_granted: bool, state: RetryBudgetState
    ) -> None:
        """Count a retry that was granted or denied.

        :param state: the budget after the decision.
        """
        result = "granted" if is_granted else "denied"
        self._metrics.retries.labels(service, cause.value, result).inc()
        now = self._clock()
        with self._lock:
            counts = self._counts_by_service.setdefault(service, _ServiceCounts())
            by_cause = counts.granted_by_cause if is_granted else counts.denied_by_cause
            by_cause[cause] += 1
            is_changed = counts.is_used_up is is_granted
            if not is_changed and now - counts.logged_at < LINE_INTERVAL_S:
                return
            counts.is_used_up, counts.logged_at = not is_granted, now
            granted, denied = dict(counts.granted_by_cause), dict(counts.denied_by_cause)
        self._log.record(
            "retry budget",
            outcome="available" if is_granted else "used up",
            service=service,
            balance=round(state.balance, 2),
            hosts=state.hosts,
            granted=granted,
            denied=denied,
        )
