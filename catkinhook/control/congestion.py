"""Congestion model: expected load of replicas and the requests that miss their objective."""

import math
from collections.abc import Iterable, Mapping

import attrs

# Batch size at capacity of a replica whose absolute speed is unknown.
FULL_BATCH = 32.0
# Batch size at which a request runs at half of its speed alone.
HALF_SPEED_BATCH = 16.0
# Share of the batch size allowed by the objective between tokens that also meets the first-token
# objective.
FIRST_TOKEN_BATCH_SHARE = 0.5
MIN_SPEED_SHARE = 0.05
# Fluctuation of the load around its mean, as a share of the capacity.
FLUCTUATION = 0.2
MIN_LATENCY_S = 0.2
MAX_LATENCY_S = 8.0
DEFAULT_LATENCY_S = 2.0
BALANCE_ITERATIONS = 3


@attrs.frozen
class ItemLoad:
    """Load of one model over all of its copies.

    :ivar rate: requests per second.
    :ivar work: requests in progress if all are admitted, or the tokens per second that they need.
    """

    rate: float
    work: float


def estimate_load(rate: float, unmet: float, in_progress: float) -> ItemLoad:
    """Estimate the load of a model by Little's law.

    :param rate: requests per second, including refused ones.
    :param unmet: refused requests per second.
    :param in_progress: requests in progress.
    """
    served = rate - unmet
    latency = in_progress / served if in_progress and served > 0 else DEFAULT_LATENCY_S
    latency = min(MAX_LATENCY_S, max(MIN_LATENCY_S, latency))
    return ItemLoad(rate, max(float(in_progress), rate * latency))


def miss_share(load: float) -> float:
    """Return the expected share of requests that miss their objective or are refused.

    Admission refuses load above the capacity, so misses are proportional to the excess. Below the
    capacity a few requests miss their objective because the load fluctuates.

    :param load: work as a share of a replica's capacity.
    """
    if load <= 0:
        return 0.0
    excess = (load - 1.0) / FLUCTUATION
    missing = excess if excess > 30.0 else math.log1p(math.exp(excess))
    return FLUCTUATION * missing / load


def work_capacities(
    speeds: Mapping[str, tuple[float, int]], between_tokens: float
) -> dict[str, float]:
    """Return the tokens per second that each replica can produce within the objective.

    :param speeds: tokens per second of one request and the batch size at that moment, by replica;
        0 means an unknown speed.
    :param between_tokens: objective for the seconds between tokens.
    """
    alone = {r: speed * slowdown(batch) for r, (speed, batch) in speeds.items()}
    mean = mean_speed(alone.values())
    # Speeds that are only relative to each other are too low to meet any objective.
    is_relative = mean * between_tokens <= 1.0
    capacities = {}
    for replica, known in alone.items():
        speed = max(MIN_SPEED_SHARE * mean, known or mean)
        headroom = max(MIN_SPEED_SHARE, speed * between_tokens - 1.0)
        batch = FULL_BATCH if is_relative else FIRST_TOKEN_BATCH_SHARE * HALF_SPEED_BATCH * headroom
        capacities[replica] = batch * speed / (1.0 if is_relative else slowdown(batch))
    return capacities


def mean_speed(speeds: Iterable[float]) -> float:
    """Return the mean of the known speeds, or 1 when none is known."""
    known = [speed for speed in speeds if speed > 0]
    return sum(known) / len(known) if known else 1.0


def slowdown(batch: float) -> float:
    """Return the factor by which a request is slower in a batch than alone."""
    return 1.0 + batch / HALF_SPEED_BATCH


def balance_load(
    work: float, other: Mapping[str, float], capacity: Mapping[str, float]
) -> dict[str, float]:
    """Split a model's work over its replicas by water-filling, which equalizes their utilization.

    :param other: work for other models by replica.
    :param capacity: capacity of each replica.
    :returns: work by replica.
    """
    order = sorted(other, key=lambda replica: other[replica] / capacity[replica])
    level_capacity = level_load = 0.0
    level = 0.0
    for position, replica in enumerate(order):
        level_capacity += capacity[replica]
        level_load += other[replica]
        level = (work + level_load) / level_capacity
        last = position + 1 == len(order)
        if last or level <= other[order[position + 1]] / capacity[order[position + 1]]:
            break
    return {replica: max(0.0, level * capacity[replica] - other[replica]) for replica in order}


class Congestion:
    """Expected work on each replica for a given placement.

    :param capacity: capacity of each replica in units of work.
    :param load_by_item: load by model.
    :param replicas_by_item: replicas by model.
    """

    def __init__(
        self,
        capacity: Mapping[str, float],
        load_by_item: Mapping[str, ItemLoad],
        replicas_by_item: Mapping[str, Iterable[str]],
    ) -> None:
        self._capacity = capacity
        self._load_by_item = load_by_item
        self._total = dict.fromkeys(capacity, 0.0)
        self._rate = dict.fromkeys(capacity, 0.0)
        self._parts: dict[str, dict[str, float]] = {}
        items_by_work = sorted(load_by_item, key=lambda item: (-load_by_item[item].work, item))
        for _ in range(BALANCE_ITERATIONS):
            for item in items_by_work:
                self.set_replicas(item, replicas_by_item.get(item, ()))

    def set_replicas(self, item: str, replicas: Iterable[str]) -> None:
        """Set the replicas of a model and split its load over them."""
        self._apply(item, -1.0)
        self._parts[item] = self._split(item, replicas)
        self._apply(item, 1.0)

    def utilization(self, replica: str) -> float:
        """Return the work of a replica as a share of its capacity."""
        return self._total[replica] / self._capacity[replica]

    def expected_misses(self, item: str) -> float:
        """Return the requests per second of a model that are expected to miss their objective."""
        load = self._load_by_item.get(item)
        if load is None or load.work <= 0:
            return 0.0
        parts = self._parts.get(item)
        if not parts:
            return load.rate
        return sum(
            load.rate * part / load.work * miss_share(self.utilization(replica))
            for replica, part in parts.items()
        )

    def miss_reduction(self, item: str, replicas: Iterable[str]) -> float:
        """Return the reduction of misses in requests per second with other replicas of a model.

        :param replicas: replicas of the model after the change.
        """
        load = self._load_by_item.get(item)
        if load is None or load.work <= 0:
            return 0.0
        before = self._parts.get(item, {})
        after = self._split(item, replicas)
        ratio = load.rate / load.work
        gain = 0.0 if before else load.rate
        for replica in before.keys() | after.keys():
            old, new = before.get(replica, 0.0), after.get(replica, 0.0)
            rate = self._rate[replica]
            gain += rate * miss_share(self.utilization(replica))
            total = self._total[replica] + new - old
            rate += (new - old) * ratio
            gain -= rate * miss_share(total / self._capacity[replica])
        return gain - (0.0 if after else load.rate)

    def _split(self, item: str, replicas: Iterable[str]) -> dict[str, float]:
        parts = self._parts.get(item, {})
        other = {
            replica: max(0.0, self._total[replica] - parts.get(replica, 0.0))
            for replica in replicas
        }
        load = self._load_by_item.get(item)
        if not other or load is None:
            return {}
        return balance_load(load.work, other, self._capacity)

    def _apply(self, item: str, sign: float) -> None:
        load = self._load_by_item.get(item)
        if load is None or load.work <= 0:
            return
        ratio = load.rate / load.work
        for replica, part in self._parts.get(item, {}).items():
            self._total[replica] += sign * part
            self._rate[replica] += sign * part * ratio
