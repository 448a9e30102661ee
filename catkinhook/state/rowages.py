"""Leases and ages of rows, measured on the observer's own clock.

Wall clocks are never compared between hosts: a lease has lapsed when its row has not changed for
the length of the lease as seen by one observer.
"""

import threading
from collections import OrderedDict

import attrs

from catkinhook.clocks import Clock
from catkinhook.state.tables import NONCE_KEY, Row

MAX_OBSERVED_ROWS = 100_000
# Observers live for hours and answers for a day, so the age is counted in the row by steps.
AGE_STEPS = 16
AGE_KEY = "age"


@attrs.frozen
class _Sight:
    version: int
    nonce: str
    since: float


class RowObserver:
    """Remembers since when each row has been unchanged; safe for use by many threads.

    :param clock: seconds on a monotonic clock.
    :param capacity: rows remembered; the longest unasked ones are forgotten first.
    """

    def __init__(self, clock: Clock, capacity: int = MAX_OBSERVED_ROWS) -> None:
        self._clock = clock
        self._capacity = capacity
        self._lock = threading.Lock()
        self._sights: OrderedDict[tuple[str, str], _Sight] = OrderedDict()

    def measure_unchanged(self, row: Row) -> float:
        """Return the seconds since this observer first saw this version of the row."""
        key = (row.table, row.key)
        nonce = row.value.get(NONCE_KEY, "")
        with self._lock:
            sight = self._sights.get(key)
            if sight is None or (sight.version, sight.nonce) != (row.version, nonce):
                sight = _Sight(row.version, nonce, self._clock())
                self._sights[key] = sight
            self._sights.move_to_end(key)
            while len(self._sights) > self._capacity:
                self._sights.popitem(last=False)
            return self._clock() - sight.since

    def forget(self, table: str, key: str) -> None:
        """Forget a row that is no longer of interest."""
        with self._lock:
            self._sights.pop((table, key), None)


def is_age_step_due(observer: RowObserver, row: Row, retention: float) -> bool:
    """Return whether the row's age must rise by a step.

    :param retention: seconds that the row's content is kept in all.
    """
    return observer.measure_unchanged(row) >= retention / AGE_STEPS


def advance_age(row: Row, nonce: str) -> dict | None:
    """Return the row's value with a higher age, or None when its retention is over."""
    age = row.value.get(AGE_KEY, 0) + 1
    return None if age >= AGE_STEPS else row.value | {AGE_KEY: age, NONCE_KEY: nonce}
