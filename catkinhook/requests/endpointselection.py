"""Endpoint selection: load correction, random sampling and comparison of predicted latencies."""

import random
from collections import deque
from collections.abc import Callable, Sequence
from typing import TypeVar

import attrs

from catkinhook.state.views import LoadReport

# With larger samples, all gateways would pick the same endpoint that a stale report shows as idle.
SAMPLE_SIZE = 4
# Candidates that are examined before a request is refused for lack of one that meets its targets.
MAX_CANDIDATES = 32
# Predictions within this relative difference are ties, which the availability zone breaks.
TIE_TOLERANCE = 0.05
# Retention of local starts and ends; a report is never older than this when it arrives.
CHANGE_HISTORY_S = 60.0

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class Prediction:
    """Predicted latency of a request on one endpoint.

    :ivar ratio: predicted latency divided by its target; above 1 the target is missed.
    :ivar finish_s: seconds until the last token; predictions for a host set the seconds until the
        first event instead.
    :ivar interactive_ratio: predicted latency divided by the tightest interactive target of the
        service.
    """

    endpoint: str
    ratio: float
    finish_s: float
    interactive_ratio: float = 0.0
    same_zone: bool = False


@attrs.define
class EndpointLoad:
    """Requests on one endpoint: the latest report and local changes since then.

    :ivar own_requests: requests of this process in progress.
    """

    report: LoadReport | None = None
    own_requests: int = 0
    _changes: deque[tuple[float, int]] = attrs.Factory(deque)

    def apply_report(self, report: LoadReport) -> None:
        """Replace the report unless the current one is newer."""
        if self.report is None or report.taken_at >= self.report.taken_at:
            self.report = report
            self._prune(report.taken_at)

    def start(self, now: float) -> None:
        """Count the start of a request that this process sent."""
        self.own_requests += 1
        self._changes.append((now, 1))
        self._prune(now - CHANGE_HISTORY_S)

    def finish(self, now: float) -> None:
        """Count the end of a request that this process sent."""
        self.own_requests -= 1
        self._changes.append((now, -1))

    def current(self) -> float:
        """Return the reported load plus local starts minus local ends since the report."""
        if self.report is None:
            return float(self.own_requests)
        taken_at = self.report.taken_at
        net_change = sum(step for at, step in self._changes if at > taken_at)
        return float(max(self.own_requests, self.report.running + self.report.waiting + net_change))

    def _prune(self, until: float) -> None:
        while self._changes and self._changes[0][0] <= until:
            self._changes.popleft()


def sample(
    items: Sequence[T], count: int, usable: Callable[[T], bool], rng: random.Random
) -> list[T]:
    """Return up to ``count`` distinct usable items in random order.

    Draws random indices before it falls back to a scan, so the cost is independent of the number
    of items as long as most of them are usable.
    """
    if len(items) > 4 * count:
        drawn = {rng.randrange(len(items)) for _ in range(2 * count)}
        found = [items[index] for index in sorted(drawn) if usable(items[index])]
        if len(found) >= count:
            return rng.sample(found, count)
    found = [item for item in items if usable(item)]
    return rng.sample(found, min(count, len(found)))


def choose_best(predictions: Sequence[Prediction]) -> Prediction | None:
    """Return the prediction with the lowest ratio; ties prefer the local availability zone."""
    if not predictions:
        return None
    best = min(predictions, key=lambda p: (p.ratio, p.finish_s))
    ties = [p for p in predictions if p.ratio <= best.ratio * (1.0 + TIE_TOLERANCE)]
    return min(ties, key=lambda p: (not p.same_zone, p.ratio, p.finish_s))


def latency_ratio(
    first_token_s: float,
    token_interval_s: float,
    finish_s: float,
    targets: tuple[float, float, float],
) -> float:
    """Return the largest ratio of predicted latency to target.

    :param targets: seconds to the first token, between tokens and to the finish; infinite where
        there is no target.
    """
    return max(first_token_s / targets[0], token_interval_s / targets[1], finish_s / targets[2])
