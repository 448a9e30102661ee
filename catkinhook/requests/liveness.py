"""Detection of endpoints that send no data to any request of this host."""

import time
from collections.abc import Callable

from catkinhook.clocks import Clock, monotonic

# An endpoint is silent if it has sent nothing to any request for this long. An engine sends nothing
# for over a second while it prefills several long prompts; callers close a stream after at least
# two seconds.
SILENCE_TIMEOUT_S = 1.8
MAX_ENDPOINTS = 4096


class EndpointActivity:
    """Time at which each endpoint last sent data; thread-safe.

    An engine that prefills long prompts sends nothing to single requests, but it does to others.
    """

    def __init__(self, clock: Clock = monotonic) -> None:
        self._clock = clock
        self._received_at: dict[str, float] = {}

    def record(self, endpoint: str) -> None:
        """Record that an endpoint sent data."""
        if len(self._received_at) >= MAX_ENDPOINTS and endpoint not in self._received_at:
            self._received_at.clear()
        self._received_at[endpoint] = self._clock()

    def is_silent(self, endpoint: str, since: float) -> bool:
        """Return whether an endpoint has sent nothing to any request.

        :param since: time since which this request has waited for the endpoint.
        """
        received_at = max(since, self._received_at.get(endpoint, float("-inf")))
        return self._clock() - received_at >= SILENCE_TIMEOUT_S


def read_until_silent(
    read: Callable[[float], bytes],
    activity: EndpointActivity,
    endpoint: str,
    limit_s: float,
    stop_if_silent: bool,
) -> bytes:
    """Read from an endpoint until the limit, or until the endpoint is silent.

    :param read: reads with a timeout in seconds, and raises ``TimeoutError`` after it.
    :param limit_s: longest wait in seconds, even if the endpoint sends data to other requests.
    :param stop_if_silent: whether to stop waiting for a silent endpoint. A request that can't run
        elsewhere gains nothing by stopping early.
    :raises TimeoutError: if the endpoint is silent or the limit is reached.
    """
    since = time.monotonic()
    while True:
        waited = time.monotonic() - since
        try:
            data = read(max(0.001, min(SILENCE_TIMEOUT_S, limit_s - waited)))
        except TimeoutError:
            is_timed_out = time.monotonic() - since >= limit_s
            if is_timed_out or (stop_if_silent and activity.is_silent(endpoint, since)):
                raise
            continue
        activity.record(endpoint)
        return data
