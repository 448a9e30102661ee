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
# Lower bound of a replica's speed as a share of the mean speed, and of its headroom above the
# objective between tokens. Both keep the capacity above 0.
MIN_SPEED_SHARE = 0.05
# Fluctuation of the load around its mean, as a share of the capacity.
FLUCTUATION = 0.2
# Bounds of the estimated duration of a request, and the estimate when no request is in progress.
MIN_LATENCY_S = 0.2
MAX_LATENCY_S = 8.0
DEFAULT_LATENCY_S = 2.0
# Passes over all models in which each model's load is split, given the load of the others.
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

    Load above the capacity is refused by admission, so misses grow in proportion to the excess.
    Below the capacity a few requests miss their objective because the load fluctuates.

    :param load: work as a share of a replica's capacity.
    """
    if load <= 0:
        return 0.0
    excess = (load - 1.0) / FLUCTUATION
    missed = excess if excess > 30.0 else math.log1p(math.exp(excess))
    return FLUCTUATION * missed / load


def work_capacities(
    speeds: Mapping[str, tuple[float, int]], between_tokens: float
) -> dict[str, float]:
    """Return the tokens per second that each replica can produce within the objective.

    :param speeds: tokens per second of one request and the batch size at that moment, by replica;
        0 means an unknown speed.
    :param between_tokens: objective for the seconds between tokens.
    """
    solo_speeds = {r: speed * slowdown(batch) for r, (speed, batch) in speeds.items()}
    mean_solo_speed = mean_speed(solo_speeds.values())
    # Speeds too low to meet the objective are assumed to be relative, not tokens per second.
    is_relative = mean_solo_speed * between_tokens <= 1.0
    capacities = {}
    for replica, solo_speed in solo_speeds.items():
        speed = max(MIN_SPEED_SHARE * mean_solo_speed, solo_speed or mean_solo_speed)
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
    work: float, other_work: Mapping[str, float], capacity: Mapping[str, float]
) -> dict[str, float]:
    """Split a model's work over its replicas by water-filling, which equalizes their utilization.

    :param other_work: work for other models by replica.
    :param capacity: capacity of each replica.
    :returns: work by replica.
    """
    order = sorted(other_work, key=lambda replica: other_work[replica] / capacity[replica])
    level_capacity = level_load = 0.0
    level = 0.0
    for position, replica in enumerate(order):
        level_capacity += capacity[replica]
        level_load += other_work[replica]
        level = (work + level_load) / level_capacity
        is_last = position + 1 == len(order)
        if is_last or level <= other_work[order[position + 1]] / capacity[order[position + 1]]:
            break
    return {replica: max(0.0, level * capacity[replica] - other_work[replica]) for replica in order}


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
        self._total_work = dict.fromkeys(capacity, 0.0)
        self._total_rate = dict.fromkeys(capacity, 0.0)
        self._work_by_item: dict[str, dict[str, float]] = {}
        items_by_work = sorted(load_by_item, key=lambda item: (-load_by_item[item].work, item))
        for _ in range(BALANCE_ITERATIONS):
            for item in items_by_work:
                self.set_replicas(item, replicas_by_item.get(item, ()))

    def set_replicas(self, item: str, replicas: Iterable[str]) -> None:
        """Set the replicas of a model and split its load over them."""
        self._add_to_totals(item, -1.0)
        self._work_by_item[item] = self._split(item, replicas)
        self._add_to_totals(item, 1.0)

    def utilization(self, replica: str) -> float:
        """Return the work of a replica as a share of its capacity."""
        return self._total_work[replica] / self._capacity[replica]

    def expected_misses(self, item: str) -> float:
        """Return the requests per second of a model that are expected to miss their objective."""
        load = self._load_by_item.get(item)
        if load is None or load.work <= 0:
            return 0.0
        work_by_replica = self._work_by_item.get(item)
        if not work_by_replica:
            return load.rate
        return sum(
            load.rate * work / load.work * miss_share(self.utilization(replica))
            for replica, work in work_by_replica.items()
        )

    def miss_reduction(self, item: str, replicas: Iterable[str]) -> float:
        """Return the reduction of misses in requests per second with other replicas of a model.

        :param replicas: replicas of the model after the change.
        """
        load = self._load_by_item.get(item)
        if load is None or load.work <= 0:
            return 0.0
        before = self._work_by_item.get(item, {})
        after = self._split(item, replicas)
        rate_per_work = load.rate / load.work
        reduction = 0.0 if before else load.rate
        for replica in before.keys() | after.keys():
            old_work, new_work = before.get(replica, 0.0), after.get(replica, 0.0)
            rate = self._total_rate[replica]
            reduction += rate * miss_share(self.utilization(replica))
            new_work_total = self._total_work[replica] + new_work - old_work
            rate += (new_work - old_work) * rate_per_work
            reduction -= rate * miss_share(new_work_total / self._capacity[replica])
        return reduction - (0.0 if after else load.rate)

    def _split(self, item: str, replicas: Iterable[str]) -> dict[str, float]:
        current_work = self._work_by_item.get(item, {})
        other_work = {
            replica: max(0.0, self._total_work[replica] - current_work.get(replica, 0.0))
            for replica in replicas
        }
        load = self._load_by_item.get(item)
        if not other_work or load is None:
            return {}
        return balance_load(load.work, other_work, self._capacity)

    def _add_to_totals(self, item: str, sign: float) -> None:
        load = self._load_by_item.get(item)
        if load is None or load.work <= 0:
            return
        rate_per_work = load.rate / load.work
        for replica, work in self._work_by_item.get(item, {}).items():
            self._total_work[replica] += sign * work
            self._total_rate[replica] += sign * work * rate_per_work
