"""Detection of endpoints that send no data to any request of this host."""

import time
from collections.abc import Callable

from catkinhook.clocks import Clock, monotonic

# An endpoint is silent if it has sent no data to any request for this long. An engine that prefills
# several long prompts sends nothing for over a second; callers close a stream after two seconds or
# more.
SILENCE_TIMEOUT_S = 1.8
MAX_ENDPOINTS = 4096


class EndpointActivity:
    """Time at which each endpoint last sent data; thread-safe.

    A request that receives nothing doesn't show that its engine is down: while an engine prefills
    long prompts, it sends data to some requests only.
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
    timeout_s: float,
    stop_if_silent: bool,
) -> bytes:
    """Read from an endpoint; give up after the timeout or when the endpoint is silent.

    :param read: reads with a timeout in seconds, and raises ``TimeoutError`` after it.
    :param timeout_s: longest wait in seconds, even if the endpoint sends data to other requests.
    :param stop_if_silent: whether to give up early on a silent endpoint. A request that can't run
        elsewhere gains nothing by that.
    :raises TimeoutError: after the timeout or when the endpoint is silent.
    """
    since = time.monotonic()
    while True:
        waited = time.monotonic() - since
        try:
            data = read(max(0.001, min(SILENCE_TIMEOUT_S, timeout_s - waited)))
        except TimeoutError:
            is_timed_out = time.monotonic() - since >= timeout_s
            if is_timed_out or (stop_if_silent and activity.is_silent(endpoint, since)):
                raise
            continue
        activity.record(endpoint)
        return data
