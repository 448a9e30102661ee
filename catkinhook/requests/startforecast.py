"""Forecast of the start of a queued request, and whether it is refused at once.

Addresses bursts in which requests waited for 1.2 s on average before they were refused. Places fall
free for the requests of all hosts, at the rate of the slots divided by the time that requests hold
one.
"""

import random
from collections.abc import Sequence

import attrs

from catkinhook.requests.estimates import DecayingMean

# An attempt must start this long before the caller leaves, or its answer arrives too late.
START_MARGIN_S = 0.25
# A request is refused if it would start too late even after this share of the predicted wait.
# Callers are served better by a late answer than by a refusal.
FORECAST_TOLERANCE_SHARE = 0.8
# Part of their remaining time for which callers honour Retry-After.
HONOURED_SHARE = 1.0 / 3.0
RETRY_AFTER_MIN_S = 0.1
# Callers that are refused together return within this part of the predicted wait.
JITTER_SHARE = 0.25
# Observations below which no forecast is made.
MIN_OBSERVATIONS = 2.0


@attrs.frozen
class EndpointPlaces:
    """Places of one endpoint that holds the item of a request.

    :ivar places: requests that it may have.
    :ivar load: requests that it has, over all hosts, waiting ones included.
    """

    places: float
    load: float


class HoldingTimes:
    """Mean time in seconds for which a request holds a place, by service and model."""

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], DecayingMean] = {}

    def record(self, service: str, model: str, seconds: float, now: float) -> None:
        """Record a completed request."""
        for key in {(service, model), (service, "")}:
            self._means.setdefault(key, DecayingMean()).observe(seconds, now)

    def find(self, service: str, model: str, now: float) -> float | None:
        """Return the mean of a model, or else that of its service; None if neither is known."""
        for key in ((service, model), (service, "")):
            mean = self._means.get(key)
            if mean is not None and mean.weight_at(now) >= MIN_OBSERVATIONS:
                return mean.value
        return None


def predict_wait(endpoints: Sequence[EndpointPlaces], holding_s: float, ahead: int) -> float:
    """Return the predicted seconds until a request that found no place gets one.

    :param holding_s: mean time for which a request holds a place.
    :param ahead: requests ahead of it at this host.
    """
    rate = sum(endpoint.places for endpoint in endpoints) / max(1e-3, holding_s)
    if rate <= 0.0:
        return 0.0
    waiting = sum(max(0.0, endpoint.load - endpoint.places) for endpoint in endpoints)
    free = sum(max(0.0, endpoint.places - endpoint.load) for endpoint in endpoints)
    return max(1.0, ahead + 1 + waiting - free) / rate


def is_too_late(wait_s: float, time_left_s: float, serve_s: float) -> bool:
    """Return whether a request can't be served usefully any more.

    :param wait_s: predicted time to its start.
    :param time_left_s: time until its caller leaves.
    :param serve_s: predicted time from the start to the first event, or to the complete answer if
        it is no stream.
    """
    latest_start_s = time_left_s - max(START_MARGIN_S, serve_s)
    return FORECAST_TOLERANCE_SHARE * wait_s > latest_start_s


def choose_retry_after(wait_s: float, time_left_s: float, rng: random.Random) -> float:
    """Return the seconds after which a refused caller should return.

    They lie within the part of its time for which a caller honours them, and differ between callers
    that were refused together.
    """
    honoured_s = HONOURED_SHARE * max(0.0, time_left_s)
    longest_s = min(honoured_s, max(RETRY_AFTER_MIN_S, wait_s * (1.0 + JITTER_SHARE)))
    return longest_s * (1.0 - 2.0 * JITTER_SHARE * rng.random())
