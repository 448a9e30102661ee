"""Lease expiry and age of rows, measured on the observer's own monotonic clock.

Wall clocks are never compared between hosts: a lease has expired when one observer has seen its row
unchanged for the duration of the lease.
"""

import threading
from collections import OrderedDict

import attrs

from catkinhook.clocks import Clock
from catkinhook.state.tableservice import NONCE_KEY, Row

MAX_OBSERVED_ROWS = 100_000
# A process runs for hours and an answer is kept for a day, so one observer can't measure the whole
# retention. The age is therefore stored in the row and advanced in this number of steps.
AGE_STEPS = 16
AGE_KEY = "age"


@attrs.frozen
class _Observation:
    version: int
    nonce: str
    since: float


class RowObserver:
    """Tracks since when each row has been unchanged; thread-safe.

    :param clock: monotonic clock in seconds.
    :param capacity: number of rows tracked; the least recently used ones are evicted first.
    """

    def __init__(self, clock: Clock, capacity: int = MAX_OBSERVED_ROWS) -> None:
        self._clock = clock
        self._capacity = capacity
        self._lock = threading.Lock()
        self._observation_by_row: OrderedDict[tuple[str, str], _Observation] = OrderedDict()

    def measure_unchanged(self, row: Row) -> float:
        """Return the seconds since this observer first saw the row in this version."""
        key = (row.table, row.key)
        nonce = row.value.get(NONCE_KEY, "")
        with self._lock:
            observation = self._observation_by_row.get(key)
            if observation is None or (observation.version, observation.nonce) != (
                row.version,
                nonce,
            ):
                observation = _Observation(row.version, nonce, self._clock())
                self._observation_by_row[key] = observation
            self._observation_by_row.move_to_end(key)
            while len(self._observation_by_row) > self._capacity:
                self._observation_by_row.popitem(last=False)
            return self._clock() - observation.since

    def forget(self, table: str, key: str) -> None:
        """Stop tracking a row."""
        with self._lock:
            self._observation_by_row.pop((table, key), None)


def is_age_step_due(observer: RowObserver, row: Row, retention: float) -> bool:
    """Return whether the row's age must advance by one step.

    :param retention: seconds for which the row's content is kept.
    """
    return observer.measure_unchanged(row) >= retention / AGE_STEPS


def advance_age(row: Row, nonce: str) -> dict | None:
    """Return the row's value with its age advanced, or None when its retention has ended."""
    age = row.value.get(AGE_KEY, 0) + 1
    return None if age >= AGE_STEPS else row.value | {AGE_KEY: age, NONCE_KEY: nonce}
