"""When each endpoint was last heard, over all requests of this host."""

import time
from collections.abc import Callable

from catkinhook.clocks import Clock, monotonic

# An endpoint that sent nothing to any request for this long counts as dark. An engine that reads
# several long prompts is silent for over a second; callers leave a stream after two at least.
SILENCE_TIMEOUT_S = 1.8
MAX_ENDPOINTS = 4096


class EndpointActivity:
    """Last sign of life by endpoint; safe for use by many threads.

    An engine that reads long prompts is silent towards single requests, but not towards all.
    """

    def __init__(self, clock: Clock = monotonic) -> None:
        self._clock = clock
        self._heard_at: dict[str, float] = {}

    def note(self, endpoint: str) -> None:
        """Record a sign of life."""
        if len(self._heard_at) >= MAX_ENDPOINTS and endpoint not in self._heard_at:
            self._heard_at.clear()
        self._heard_at[endpoint] = self._clock()

    def is_silent(self, endpoint: str, since: float) -> bool:
        """Whether an endpoint has been silent towards all requests.

        :param since: time from which this request has waited for it.
        """
        heard_at = max(since, self._heard_at.get(endpoint, float("-inf")))
        return self._clock() - heard_at >= SILENCE_TIMEOUT_S


def read_until_silent(
    read: Callable[[float], bytes],
    activity: EndpointActivity,
    endpoint: str,
    limit_s: float,
    stop_if_silent: bool,
) -> bytes:
    """Read from an endpoint until the limit, or until it counts as dark.

    :param read: reads with a timeout in seconds, and raises ``TimeoutError`` after it.
    :param limit_s: longest wait in seconds, even for an endpoint that others hear.
    :param stop_if_silent: whether to give up on a silent endpoint. A request that can only run
        here
        loses nothing by waiting.
    :raises TimeoutError: if the endpoint is dark or the limit is reached.
    """
    since = time.monotonic()
    while True:
        waited = time.monotonic() - since
        try:
            data = read(max(0.001, min(SILENCE_TIMEOUT_S, limit_s - waited)))
        except TimeoutError:
            is_over = time.monotonic() - since >= limit_s
            if is_over or (stop_if_silent and activity.is_silent(endpoint, since)):
                raise
            continue
        activity.note(endpoint)
        return data
