"""Pacing of a host's exchanges with the holder of the order lease.

The load pattern: hundreds of hosts that now and then wait for one missing model or adapter each. A
host's average rate is bounded, so that the holder can answer all of them, but the few exchanges of
one missing item don't wait for each other.
"""

import attrs

from catkinhook.control.ordercoordinator import BASELINE_HOSTS, exchange_interval

# Minimum time between two exchanges of a host, and the wait that is assumed for a missing item
# while the holder has no estimate.
MIN_EXCHANGE_INTERVAL_S = 0.01
DEFAULT_WAIT_S = 0.03
# Exchanges a second of all hosts that the holder can answer.
MAX_EXCHANGE_RATE = 250.0
# Added to the mean time between exchanges for each host beyond ``BASELINE_HOSTS``.
INTERVAL_PER_HOST_S = 0.005
# Exchanges that a host may make at ``MIN_EXCHANGE_INTERVAL_S`` after a time of rest: one reports
# that an item is missing, and the others ask whether it has arrived.
BURST_EXCHANGES = 4


def min_exchange_interval(hosts: int) -> float:
    """Return the minimum mean time in seconds between the exchanges of a host."""
    by_size = MIN_EXCHANGE_INTERVAL_S + INTERVAL_PER_HOST_S * max(0, hosts - BASELINE_HOSTS)
    return max(by_size, hosts / MAX_EXCHANGE_RATE)


def choose_exchange_interval(
    missing: set[tuple[str, str]], wait_by_item: dict[tuple[str, str], float], hosts: int = 1
) -> float:
    """Return the seconds until the next exchange.

    :param missing: items that requests wait for.
    :param wait_by_item: estimated seconds until each item is available, from the holder.
    :param hosts: number of hosts that exchange with the holder.
    """
    if not missing:
        return exchange_interval(hosts)
    wait = min(wait_by_item.get(item, DEFAULT_WAIT_S) for item in missing)
    return min(exchange_interval(hosts), wait + MIN_EXCHANGE_INTERVAL_S)


@attrs.define
class ExchangePacer:
    """Bounds the mean rate of a host's exchanges; a burst is allowed after a time of rest."""

    _exchanges: float = BURST_EXCHANGES
    _refilled_at: float = 0.0
    _last_at: float = float("-inf")

    def next_at(self, now: float, hosts: int) -> float:
        """Return the time from which the next exchange is allowed."""
        self._refill(now, hosts)
        lacking = max(0.0, 1.0 - self._exchanges)
        refilled_at = now + lacking * min_exchange_interval(hosts)
        return max(refilled_at, self._last_at + MIN_EXCHANGE_INTERVAL_S)

    def record_exchange(self, now: float, hosts: int) -> None:
        """Record that an exchange begins."""
        self._refill(now, hosts)
        self._exchanges -= 1.0
        self._last_at = now

    def _refill(self, now: float, hosts: int) -> None:
        refilled = (now - self._refilled_at) / min_exchange_interval(hosts)
        self._exchanges = min(BURST_EXCHANGES, self._exchanges + max(0.0, refilled))
        self._refilled_at = now
