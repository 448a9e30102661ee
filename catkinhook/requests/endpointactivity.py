"""Detection of endpoints that send no data to any request of this host."""

import time
from collections.abc import Callable

from catkinhook.clocks import Clock, monotonic

# An endpoint is silent if it has sent no data to any request for this long. An engine that prefills
# several long prompts sends nothing for over a second; callers close a stream after two seconds or
# more.
SILENCE_TIMEOUT_S = 1.8
# Time between two attempts to leave a silent endpoint; a place elsewhere may become free meanwhile.
LEAVE_CHECK_INTERVAL_S = 0.3
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
    may_leave: Callable[[], bool],
) -> bytes:
    """Read from an endpoint; give up after the timeout or when the endpoint is silent.

    :param read: reads a socket with a timeout in seconds, and raises ``TimeoutError`` after it.
    :param timeout_s: longest wait in seconds, even if the endpoint sends data to other requests.
    :param may_leave: called while the endpoint is silent; returns whether to give up on it early. A
        request that can't run elsewhere gains nothing by that, and a silent endpoint may go on.
    :raises TimeoutError: after the timeout or when the endpoint is silent.
    :raises ConnectionResetError: if the kernel closed the connection of an endpoint that is gone.
    """
    since = time.monotonic()
    wait_s = SILENCE_TIMEOUT_S
    while True:
        waited = time.monotonic() - since
        try:
            data = read(max(0.001, min(wait_s, timeout_s - waited)))
        except TimeoutError as error:
            if error.errno is not None:
                # ETIMEDOUT. The next read would return no bytes, like the end of an answer.
                raise ConnectionResetError(error.errno, "the endpoint is gone") from error
            is_timed_out = time.monotonic() - since >= timeout_s
            if is_timed_out or (activity.is_silent(endpoint, since) and may_leave()):
                raise
            wait_s = LEAVE_CHECK_INTERVAL_S
            continue
        activity.record(endpoint)
        return data
