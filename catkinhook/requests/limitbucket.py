"""Balance of one workspace's limit on a host."""

import math

import attrs

from catkinhook.requests.limitsizes import (
    FALLBACK_PART,
    FALLBACK_S,
    host_capacity,
    max_overdraft,
)
from catkinhook.requests.workspaces import TokenLimit

# Time constant in seconds of the mean of what callers ask for.
DEMAND_MEAN_S = 15.0
# Time added to the age of a workspace's demand. It begins with a request, so that the mean over its
# age alone would be too high.
DEMAND_START_S = 3.0
# Part of the mean cost that the balance has to hold for a request.
NEEDED_PART = 0.1
# Seconds of demand that a host tries to have in its balance.
KEPT_DEMAND_S = 0.5
# Units that a message may lose, as balances and credit are rounded down.
ROUNDING_UNITS = 2.0
# Part of its equal portion of the rate that a host uses without a share.
UNKNOWN_SHARE_PART = 0.5
# Costs of requests up to which a host may save without a share, so that it can admit one.
UNKNOWN_SHARE_REQUESTS = 1.0


@attrs.define
class HeldCredit:
    """Credit beyond the capacity of a balance.

    :ivar expires_at: time on the clock that also advances while the host is suspended.
    """

    expires_at: float
    units: float


@attrs.define
class Bucket:
    """Balance of one workspace on this host.

    :ivar last_share: share that was last leased, from which the fallback is derived.
    :ivar balance: units from the share, and from credit up to the capacity.
    :ivar held: credit beyond the capacity, in order of expiry.
    :ivar cost_by_ticket: costs of requests that wait for credit, in order of arrival.
    :ivar factor: factor on the share, 1 while the holder answers.
    :ivar wanted: credit that the latest report asked for.
    :ivar asked: credit that the latest call asked for, for requests that wait.
    :ivar short_at: time at which the holder last granted less than that.
    :ivar has_shares: whether the holder has ever leased a share.
    :ivar start_requests: requests admitted before the host reached a holder.
    """

    limit: TokenLimit
    began_at: float
    refilled_at: float
    demand_at: float
    mean_cost: float
    balance: float = 0.0
    share: float = 0.0
    last_share: float = 0.0
    lapses_at: float = float("-inf")
    confirmed_at: float = float("-inf")
    held: list[HeldCredit] = attrs.Factory(list)
    demand: float = 0.0
    cost_by_ticket: dict[int, float] = attrs.Factory(dict)
    factor: float = 1.0
    wanted: float = 0.0
    asked: float = 0.0
    short_at: float = float("-inf")
    has_shares: bool = False
    start_requests: int = 0
    start_request_at: float = float("-inf")
    refused_at: float = float("-inf")
    is_limited: bool = False
    is_fallback_told: bool = False

    @property
    def available(self) -> float:
        """Units that may be admitted now, negative if overdrawn."""
        return self.balance + sum(credit.units for credit in self.held)

    def spend(self, cost: float) -> None:
        """Take the cost of a request, first from credit that expires."""
        while self.held and cost > 0:
            part = min(cost, self.held[0].units)
            cost -= part
            self.held[0].units -= part
            if self.held[0].units <= 0:
                del self.held[0]
        self.balance -= cost

    def add_credit(self, units: float, expires_at: float, now: float) -> None:
        """Add credit; what exceeds the capacity of a share is held until it expires."""
        capacity = host_capacity(self.limit, self.share) if now < self.lapses_at else 0.0
        part = min(units, max(0.0, capacity - self.balance))
        self.balance += part
        if units > part and expires_at > now:
            self.held.append(HeldCredit(expires_at, units - part))
            self.held.sort(key=lambda credit: credit.expires_at)

    def drop_stock(self) -> None:
        """Drop all that is saved; what is overdrawn stays."""
        self.balance = min(0.0, self.balance)
        self.held.clear()

    def fallback(self, now: float, hosts: int) -> float:
        """Return the units per second that may be used without a share."""
        equal = UNKNOWN_SHARE_PART * self.limit.rate / hosts
        if now - self.confirmed_at > FALLBACK_S:
            return equal
        return max(equal, FALLBACK_PART * self.last_share)

    def rate(self, now: float, hosts: int) -> float:
        """Return the units per second that refill the balance."""
        is_leased = now < self.lapses_at
        return self.factor * self.share if is_leased else self.fallback(now, hosts)

    def capacity(self, now: float, hosts: int) -> float:
        """Return the balance up to which the share refills."""
        if now < self.lapses_at:
            return host_capacity(self.limit, self.share)
        saved = host_capacity(self.limit, self.fallback(now, hosts))
        return max(saved, UNKNOWN_SHARE_REQUESTS * self.mean_cost)

    def refill(self, now: float, hosts: int) -> None:
        """Bring the balance up to date; what was saved from a lapsed share lapses with it."""
        if self.refilled_at < self.lapses_at:
            ends_at = min(now, self.lapses_at)
            self._refill_part(
                ends_at, self.factor * self.share, host_capacity(self.limit, self.share)
            )
            if now >= self.lapses_at:
                self.balance = min(0.0, self.balance)
                self.refilled_at = self.lapses_at
        if now >= self.lapses_at:
            self._refill_part(now, self.fallback(now, hosts), self.capacity(now, hosts))
        while self.held and self.held[0].expires_at <= now:
            del self.held[0]

    def _refill_part(self, until: float, rate: float, capacity: float) -> None:
        refilled = rate * max(0.0, until - self.refilled_at)
        self.refilled_at = max(self.refilled_at, until)
        self.balance = min(capacity, self.balance + refilled)

    def decay(self, now: float) -> None:
        """Bring the mean of the demand up to date."""
        self.demand *= math.exp(-max(0.0, now - self.demand_at) / DEMAND_MEAN_S)
        self.demand_at = max(self.demand_at, now)

    def estimate_demand(self, now: float) -> float:
        """Return the units per second that callers ask for, from the time observed so far."""
        age = DEMAND_START_S + now - self.began_at
        return self.demand / (1.0 - math.exp(-age / DEMAND_MEAN_S))

    def needed(self, cost: float) -> float:
        """Return the balance that admits a request.

        Only a share pays back what is overdrawn: callers that move between hosts would leave a debt
        on each of them.
        """
        if self.share <= 0.0:
            return max(0.0, cost - ROUNDING_UNITS)
        least = min(cost, NEEDED_PART * self.mean_cost)
        return max(least, cost - max_overdraft(self.limit, self.share))

    def kept(self) -> float:
        """Return the balance below which the host asks for credit."""
        wished = KEPT_DEMAND_S * self.estimate_demand(self.demand_at)
        return max(self.mean_cost, min(wished, host_capacity(self.limit, self.share)))
