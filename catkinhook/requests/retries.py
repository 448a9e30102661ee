"""Retry budgets, backoff and outlier ejection of endpoints."""

import random
from collections.abc import Callable, Sequence
from typing import TypeVar

import attrs

# Initial balance, which permits retries before first attempts have added to the budget.
INITIAL_BALANCE = 16.0
# A lost endpoint fails its whole batch at once; the maximum balance covers two such losses.
MAX_BALANCE = 64.0

BACKOFF_BASE_S = 0.02
BACKOFF_MAX_S = 1.0
JITTER_RANGE = (0.5, 1.5)

FAILURES_TO_EJECT = 3
EJECTION_BASE_S = 2.0
EJECTION_MAX_S = 60.0

T = TypeVar("T")


@attrs.define
class RetryBudget:
    """Retry budget of one service: each first attempt adds a share of a retry to the balance."""

    _balance: float = INITIAL_BALANCE

    def deposit(self, share: float) -> None:
        """Add the share of a retry that a first attempt permits."""
        self._balance = min(MAX_BALANCE, self._balance + share)

    def try_withdraw(self) -> bool:
        """Withdraw one retry, or return False if the budget is used up."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


def backoff(retry: int, rng: random.Random) -> float:
    """Return the backoff before a retry in seconds, with jitter.

    :param retry: number of the retry, from 1.
    """
    seconds = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** max(0, retry - 1))
    return seconds * rng.uniform(*JITTER_RANGE)


@attrs.define
class _Health:
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class Ejections:
    """Endpoints that temporarily receive no requests after consecutive failures."""

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}

    def record_success(self, endpoint: str) -> None:
        """Reset the failure count after a completed request."""
        self._health.pop(endpoint, None)

    def record_failure(self, endpoint: str, is_crash: bool, now: float) -> None:
        """Count a failure, and eject the endpoint after too many of them.

        :param is_crash: whether the endpoint refused the connection or restarted, in which case it
            is ejected at once.
        """
        health = self._health.setdefault(endpoint, _Health())
        health.failures += 1
        if is_crash or health.failures >= FAILURES_TO_EJECT:
            if health.ejected_until <= now:
                health.ejections += 1
            seconds = min(EJECTION_MAX_S, EJECTION_BASE_S * 2 ** (health.ejections - 1))
            health.ejected_until = now + seconds
            health.failures = 0

    def reset(self, endpoint: str) -> None:
        """Remove the failures of an endpoint that restarted."""
        self._health.pop(endpoint, None)

    def is_ejected(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint is ejected."""
        health = self._health.get(endpoint)
        return health is not None and health.ejected_until > now

    def ejection_end(self, endpoint: str) -> float:
        """Return the time at which the ejection of an endpoint ends."""
        health = self._health.get(endpoint)
        return health.ejected_until if health else 0.0


def exclude_ejected(
    candidates: Sequence[T], is_ejected: Callable[[T], bool], ejection_end: Callable[[T], float]
) -> list[T]:
    """Return the candidates that are not ejected, or the one whose ejection ends first.

    A model thus keeps one endpoint even if all of its endpoints are ejected.
    """
    healthy = [candidate for candidate in candidates if not is_ejected(candidate)]
    if healthy or not candidates:
        return healthy
    return [min(candidates, key=ejection_end)]
