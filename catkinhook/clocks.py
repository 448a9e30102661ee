"""Type of the clocks that are injected into time-dependent code."""

import time
from collections.abc import Callable

# Returns seconds on a monotonic clock, which can't be compared with the clocks of other hosts.
Clock = Callable[[], float]

monotonic: Clock = time.monotonic


def boot_clock() -> float:
    """Return seconds on a clock that also advances while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
