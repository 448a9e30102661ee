"""Rate and concurrency limits of services, divided among the gateways."""

import attrs

# Capacity of the token bucket, in seconds of the permitted rate.
BURST_S = 1.0


def scale_limit(limit: float, share: float) -> float:
    """Return this gateway's share of a limit, at least one request."""
    return max(1.0, limit * share)


def update_share(current: float, reported: float, is_certain: bool) -> float:
    """Return the share of the limits to use after a snapshot.

    An uncertain peer list must not raise the share, because unreachable peers may still use theirs,
    nor lower it, because callers would be refused unnecessarily.
    """
    return reported if is_certain and 0.0 < reported <= 1.0 else current


@attrs.define
class ServiceLimit:
    """Concurrency limit and token bucket of one service in this gateway."""

    in_progress: int = 0
    _tokens: float = 0.0
    _refilled_at: float | None = None

    def acquire(self, concurrent: float, per_second: float, now: float) -> tuple[bool, str, float]:
        """Admit one request if both limits allow it.

        :param concurrent: requests in progress that this gateway may have.
        :param per_second: requests per second that this gateway may admit.
        :returns: whether it was admitted; if not, the limit that was reached and the seconds after
            which a retry may succeed.
        """
        burst = max(1.0, per_second * BURST_S)
        if self._refilled_at is None:
            self._tokens = burst
        else:
            elapsed = max(0.0, now - self._refilled_at)
            self._tokens = min(burst, self._tokens + elapsed * per_second)
        self._refilled_at = now if self._refilled_at is None else max(self._refilled_at, now)
        if self.in_progress + 1 > concurrent:
            return False, "concurrent_requests", 1.0
        if self._tokens < 1.0:
            return False, "requests_per_second", (1.0 - self._tokens) / per_second
        self._tokens -= 1.0
        self.in_progress += 1
        return True, "", 0.0

    def release(self) -> None:
        """Count the end of an admitted request."""
        self.in_progress = max(0, self.in_progress - 1)
