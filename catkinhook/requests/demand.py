"""Demand for models in one gateway or host."""

import attrs

HALF_LIFE_S = 4.0
_LN2 = 0.6931471805599453


@attrs.define
class _Rate:
    """Exponentially smoothed events per second."""

    value: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float) -> None:
        self.value = self.value_at(now) + _LN2 / HALF_LIFE_S
        self.updated_at = now

    def value_at(self, now: float) -> float:
        return self.value * 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)


@attrs.define
class ItemDemand:
    """Demand for one model, or for ``model/adapter``.

    :ivar in_progress: requests in progress.
    """

    in_progress: int = 0
    _requests: _Rate = attrs.Factory(_Rate)
    _unmet: _Rate = attrs.Factory(_Rate)

    def count_request(self, now: float) -> None:
        """Count a new request."""
        self._requests.add(now)

    def count_unmet(self, now: float) -> None:
        """Count a request that was refused because of missing capacity."""
        self._unmet.add(now)

    def rates(self, now: float) -> tuple[float, float]:
        """Return the requests and the unmet requests per second."""
        return self._requests.value_at(now), self._unmet.value_at(now)
