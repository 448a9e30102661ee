"""Measured speeds of endpoints and models, merged by the holder of the order lease.

Each report carries what a host measured since its last report, so that merging takes the same time
with any number of hosts. A lost report loses a few measurements.
"""

import itertools
from collections.abc import Iterable

import attrs

from catkinhook.requests.estimates import HALF_LIFE_S
from catkinhook.requests.sharedspeeds import (
    MAX_MERGED_WEIGHT,
    MODEL_PREFIX,
    OVERALL,
    MeasuredSpeed,
)

# Relative change of a speed from which all hosts are told.
MIN_CHANGE = 0.05
# Seconds after which a speed that hosts still measure is told again, as its weight decays.
RETELL_S = 10.0
# Speeds in one view. A host that has none yet gets more.
MAX_SPEEDS_IN_VIEW = 48
MAX_SPEEDS_IN_FIRST_VIEW = 512
# Keys that are kept; the least recently measured are dropped.
MAX_KEYS = 4096
# Limits of seconds per prompt token and per event in a report.
MAX_PROMPT_TOKEN_S = 0.1
MAX_EVENT_S = 60.0


@attrs.define
class _Mean:
    """Weighted mean whose weight decays."""

    value: float = 0.0
    weight: float = 0.0
    at: float = float("-inf")
    told: float = 0.0

    def add(self, value: float, weight: float, now: float) -> None:
        kept = self.weight * 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)
        weight = min(MAX_MERGED_WEIGHT, weight)
        kept = min(kept, MAX_MERGED_WEIGHT - weight)
        self.value = (self.value * kept + value * weight) / (kept + weight)
        self.weight, self.at = kept + weight, now

    def is_changed(self) -> bool:
        return abs(self.value - self.told) > MIN_CHANGE * self.told


@attrs.define
class _Merged:
    """Speed of one key.

    :ivar paces: mean of the paces that an endpoint told.
    :ivar told_at: time at which all hosts were last told.
    """

    prompt: _Mean = attrs.Factory(_Mean)
    event: _Mean = attrs.Factory(_Mean)
    pace: float | None = None
    pace_at: float = float("-inf")
    paces: _Mean = attrs.Factory(_Mean)
    told_at: float = float("-inf")


class SpeedMerger:
    """Merged speeds by key, with the revision in which each changed."""

    def __init__(self) -> None:
        self._merged_by_key: dict[str, _Merged] = {}
        # Revision of the latest change by key, the latest last.
        self._changed_in_by_key: dict[str, int] = {}

    def record(self, speeds: Iterable[MeasuredSpeed], next_revision: int, now: float) -> bool:
        """Merge the speeds of one report.

        :param next_revision: revision of the changes, if there are any.
        :returns: whether a speed changed of which all hosts are to be told.
        """
        has_changed = False
        for speed in speeds:
            merged = self._merged_by_key.pop(speed.key, None) or _Merged()
            # Inserted last, so that the first keys are the least recently measured.
            self._merged_by_key[speed.key] = merged
            if 0.0 < speed.prompt_token_s <= MAX_PROMPT_TOKEN_S:
                merged.prompt.add(speed.prompt_token_s, speed.weight, now)
            if 0.0 < speed.event_s <= MAX_EVENT_S:
                merged.event.add(speed.event_s, speed.weight, now)
            if speed.pace is not None and speed.pace_at > merged.pace_at:
                merged.pace, merged.pace_at = speed.pace, speed.pace_at
                merged.paces.add(speed.pace, 1.0, now)
            is_due = now - merged.told_at >= RETELL_S
            if is_due or merged.prompt.is_changed() or merged.event.is_changed():
                self._changed_in_by_key.pop(speed.key, None)
                self._changed_in_by_key[speed.key] = next_revision
                merged.told_at = now
                merged.prompt.told, merged.event.told = merged.prompt.value, merged.event.value
                has_changed = True
        while len(self._merged_by_key) > MAX_KEYS:
            oldest = next(iter(self._merged_by_key))
            del self._merged_by_key[oldest]
            self._changed_in_by_key.pop(oldest, None)
        return has_changed

    def changes_after(self, revision: int) -> tuple[MeasuredSpeed, ...]:
        """Return the speeds that changed after a revision, the latest first, bounded.

        :param revision: -1 or 0 for a host that has none yet.
        """
        limit = MAX_SPEEDS_IN_VIEW if revision > 0 else MAX_SPEEDS_IN_FIRST_VIEW
        newest = itertools.islice(reversed(self._changed_in_by_key.items()), limit)
        changed = itertools.takewhile(lambda entry: entry[1] > revision, newest)
        return tuple(self._make_speed(key) for key, _ in changed)

    def work_factors(self) -> dict[str, float]:
        """Return the duration of work at each endpoint relative to the mean of all endpoints.

        It is the mean over paces, which change within a second, and so faster than copies move.
        """
        overall = self._merged_by_key.get(OVERALL)
        mean_event_s = overall.event.value if overall is not None else 0.0
        factor_by_id = {}
        for key, merged in self._merged_by_key.items():
            if key == OVERALL or key.startswith(MODEL_PREFIX):
                continue
            factor = merged.event.value / mean_event_s if mean_event_s else 1.0
            pace = merged.paces.value if merged.paces.weight else 1.0
            factor_by_id[key] = (factor or 1.0) * pace
        return factor_by_id

    def clear(self) -> None:
        """Forget all speeds; the hosts keep what they were told."""
        self._merged_by_key.clear()
        self._changed_in_by_key.clear()

    def _make_speed(self, key: str) -> MeasuredSpeed:
        merged = self._merged_by_key[key]
        return MeasuredSpeed(
            key=key,
            prompt_token_s=merged.prompt.value,
            event_s=merged.event.value,
            weight=max(merged.prompt.weight, merged.event.weight),
            pace=merged.pace,
            pace_at=merged.pace_at,
        )
