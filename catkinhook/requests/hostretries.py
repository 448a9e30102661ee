"""Retry budget of one host, as its part of the budget of all hosts of a service.

The bound on all hosts holds in each window, and a process does not know what its predecessor on the
host spent. Each process therefore starts with an empty bucket, so that a restart only loses
retries: all processes of a host together spend at most the capacity, the refill of one window and
the share of the requests in that window.

The state reads no clock; callers pass the time in.
"""

import math
from collections import deque

import attrs

# Share of the slack that the known hosts use. The rest is for hosts that still serve although the
# holder has not heard them for a window, and for retries that arrive later than they were sent.
SLACK_SHARE = 0.8
# Share of a host's part of the slack that is refilled over a window; the rest is the capacity. A
# larger capacity covers more failures at once, and a faster refill more of a long fault or after a
# restart.
REFILL_SHARE = 0.5
# A bucket with a smaller capacity would never permit a retry.
MIN_CAPACITY = 1.0


@attrs.define
class HostCount:
    """Number of hosts that share a budget: the largest number seen within one window.

    The list of a new holder is incomplete until all hosts have reported. So a smaller number is
    used only after a window, and the first number after ``settle_s``.

    :ivar window_s: length of the window in seconds.
    """

    window_s: float
    _first_at: float | None = None
    _known_at: float = math.inf
    _counts: deque[tuple[float, int]] = attrs.Factory(deque)

    def record(self, count: int, settle_s: float, now: float) -> None:
        """Record the number of hosts that the holder knows.

        :param settle_s: time in seconds within which this many hosts report to a new holder.
        """
        if self._first_at is None:
            self._first_at = now
            self._known_at = now + settle_s
        elif now < self._known_at:
            self._known_at = max(self._known_at, self._first_at + settle_s)
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))

    def get(self, now: float) -> int:
        """Return the number of hosts, 0 while it is unknown."""
        if now < self._known_at:
            return 0
        while len(self._counts) > 1 and self._counts[0][0] <= now - self.window_s:
            self._counts.popleft()
        return self._counts[0][1]


@attrs.define
class RetryBucket:
    """Retry budget of one service on one host.

    A retry is reserved when it is requested and spent when it is sent. Reserved retries count
    towards the capacity, because they may be sent in a later window than that of their request.

    :ivar window_s: length in seconds of the window in which the rule counts retries.
    :ivar share: permitted retries as a share of the requests in the window.
    :ivar slack: further retries permitted in each window, over all hosts.
    :ivar started_at: start of this process, when the bucket is empty.
    """

    window_s: float
    share: float
    slack: float
    started_at: float
    _balance: float = 0.0
    _reserved: int = 0
    _refilled_at: float = attrs.field(
        default=attrs.Factory(lambda self: self.started_at, takes_self=True)
    )

    def record_request(self, hosts: int, now: float) -> None:
        """Add the share of a retry that a request permits.

        :param hosts: number of hosts that share the slack, 0 while it is unknown.
        """
        self._refill(hosts, now)
        self._add(self.share, hosts)

    def balance(self, hosts: int, now: float) -> float:
        """Return the number of retries that may be reserved now."""
        self._refill(hosts, now)
        return self._balance

    def try_reserve(self, hosts: int, now: float) -> bool:
        """Reserve one retry, or return False if the budget is used up."""
        if self.balance(hosts, now) < 1.0:
            return False
        self._balance -= 1.0
        self._reserved += 1
        return True

    def spend(self) -> None:
        """Record that a reserved retry was sent."""
        self._reserved -= 1

    def give_back(self) -> None:
        """Return a reserved retry that was not sent."""
        self._reserved -= 1
        self._balance += 1.0

    def _refill(self, hosts: int, now: float) -> None:
        seconds = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        if hosts and seconds:
            self._add(seconds * REFILL_SHARE * self._slack_part(hosts) / self.window_s, hosts)

    def _add(self, retries: float, hosts: int) -> None:
        capacity = MIN_CAPACITY
        if hosts:
            capacity = max(capacity, (1.0 - REFILL_SHARE) * self._slack_part(hosts))
        self._balance = min(max(0.0, capacity - self._reserved), self._balance + retries)

    def _slack_part(self, hosts: int) -> float:
        return SLACK_SHARE * self.slack / hosts
