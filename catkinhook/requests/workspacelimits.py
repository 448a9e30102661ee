"""Admission of a host's requests within the limits of their workspaces.

The load pattern: some 80 hosts, each with a few callers of one or a few workspaces, whose requests
come in clumps. A host admits from a balance that its leased share refills, and asks the holder of
the order lease for credit where that is not enough. ``limitsizes`` has the argument why the sum
over all hosts stays within the limit.
"""

import math
from collections.abc import Mapping

import attrs

from catkinhook.requests.limitbucket import DEMAND_MEAN_S, Bucket
from catkinhook.requests.limitcredit import CreditGrant, CreditWish
from catkinhook.requests.limitsizes import (
    ALONE_FACTOR,
    LEASE_S,
    credit_hold_s,
    host_capacity,
    units_of,
)
from catkinhook.requests.workspaces import TokenLimit

# Weight of the newest request in the mean cost of requests.
COST_WEIGHT = 0.1
# Demand in units per second below which a workspace is not reported, if no request waits.
MIN_DEMAND = 0.02
# Minimum seconds between two exchanges that a low balance triggers.
LOW_BALANCE_PAUSE_S = 0.5
# The same for calls to the holder, which cost less.
LOW_BALANCE_CALL_PAUSE_S = 0.05
# Seconds of demand for which a host without a share asks for credit in advance. What is not used
# within ``credit_hold_s`` is lost.
ADVANCE_S = 0.25
# Number of hosts that is assumed before the holder has told it.
ASSUMED_HOSTS = 100
# Requests that a host admits for each workspace before it has reached a holder, and the minimum
# seconds between them.
MAX_START_REQUESTS = 6
START_REQUEST_PAUSE_S = 1.0
# Exchanges in a row without an answer from which no credit is expected; one may be lost by chance.
MAX_UNANSWERED = 2
# Part of the wanted credit that counts as all of it; credit is rounded down.
GRANTED_PART = 0.9
# Time after the holder granted less credit than was wanted for which a host does not ask again.
SHORT_PAUSE_S = 0.6
# The same for calls: calls per second of all hosts for a workspace that is over its limit, and the
# minimum.
SHORT_CALLS_PER_S = 400.0
MIN_SHORT_PAUSE_S = 0.1
# Range of the Retry-After of requests over the limit, in seconds.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 8.0
# Age of a report from which the credit in its answer is not used any more, as in a process that was
# frozen meanwhile.
CREDIT_VALID_S = 2.0
# Time without a refusal after which a workspace is not limited any more.
RECOVERY_S = 5.0


@attrs.frozen(kw_only=True)
class LimitUse:
    """A host's use of the limit of one workspace.

    :ivar demand: units per second that its callers ask for, over the limit included.
    :ivar share: units per second that the host may admit.
    :ivar share_left_s: seconds until the share lapses.
    :ivar balance: units that may be admitted now, negative if overdrawn.
    :ivar wanted: units of credit that the host asks for.
    :ivar admitted: units admitted since the start of the host, without deduction of refunds: the
        holder recognizes a report without a number that was overtaken by a lower count.
    """

    workspace: str
    demand: float
    share: float = 0.0
    share_left_s: float = 0.0
    balance: float = 0.0
    wanted: float = 0.0
    admitted: float = 0.0


@attrs.frozen(kw_only=True)
class LimitShare:
    """The part of a workspace's limit that the holder leases to one host.

    :ivar share: units per second.
    :ivar credit: units to add to the balance once.
    :ivar lapses_in_s: seconds after the report until the share lapses.
    """

    workspace: str
    share: float
    credit: float = 0.0
    lapses_in_s: float = LEASE_S


@attrs.frozen(kw_only=True)
class LimitStatus:
    """Figures of one workspace for metrics."""

    admitted: float
    share: float
    balance: float
    is_fallback: bool


@attrs.define
class WorkspaceLimits:
    """Balances of all workspaces that have callers on this host.

    All times are on the clock that also advances while the host is suspended.
    """

    _limit_by_name: Mapping[str, TokenLimit] | None = None
    _version: int = 0
    _hosts: int = 0
    _bucket_by_name: dict[str, Bucket] = attrs.Factory(dict)
    _admitted_by_name: dict[str, float] = attrs.Factory(dict)
    _has_view: bool = False
    _unanswered: int = 0
    _asked_at: float = float("-inf")
    _has_credit_calls: bool = False

    @property
    def version(self) -> int:
        """Version of the configuration in force."""
        return self._version

    @property
    def is_active(self) -> bool:
        """Whether the configuration has workspaces with limits."""
        return bool(self._limit_by_name)

    def set_limits(
        self, limit_by_name: Mapping[str, TokenLimit] | None, version: int, now: float
    ) -> None:
        """Apply the limits of a configuration; balances are kept, up to the new capacity.

        A share of a limit that became lower is reduced in proportion at once. A higher limit takes
        effect with the next share.
        """
        limits = limit_by_name or {}
        for name, bucket in list(self._bucket_by_name.items()):
            limit = limits.get(name)
            if limit is None:
                del self._bucket_by_name[name]
                continue
            bucket.refill(now, self._known_hosts())
            part = min(1.0, limit.rate / bucket.limit.rate) if bucket.limit.rate > 0 else 1.0
            bucket.limit = limit
            bucket.share *= part
            bucket.last_share *= part
            bucket.balance = min(bucket.balance, bucket.capacity(now, self._known_hosts()))
            bucket.held.clear()
        self._limit_by_name, self._version = limits, version

    def has_limit(self, workspace: str) -> bool:
        """Whether requests of a workspace need to be admitted."""
        return bool(self._limit_by_name) and workspace in self._limit_by_name

    def units(self, workspace: str) -> float:
        """Return the units for each token or request that a workspace's limit counts."""
        return units_of(self._limit_by_name[workspace])

    def arrive(self, workspace: str, cost: float, now: float) -> None:
        """Count a request in the demand of its workspace."""
        bucket = self._bucket(workspace, cost, now)
        bucket.decay(now)
        bucket.demand += cost / DEMAND_MEAN_S
        bucket.mean_cost += COST_WEIGHT * (cost - bucket.mean_cost)

    def admit(self, workspace: str, cost: float, now: float, ticket: int | None = None) -> bool:
        """Take a request's cost from the balance if it suffices and no earlier request waits.

        :param ticket: number of a request that waits, None for one that has just arrived.
        """
        bucket = self._bucket(workspace, cost, now)
        bucket.refill(now, self._known_hosts())
        first = next(iter(bucket.cost_by_ticket), ticket)
        if first != ticket or bucket.available < bucket.needed(cost):
            return False
        self._take(workspace, bucket, cost)
        return True

    def admit_at_start(self, workspace: str, cost: float, now: float) -> bool:
        """Admit a few requests of a workspace on a host that has not reached a holder yet.

        After a failure of all hosts there is no holder for some seconds, and no share. What the
        hosts would have used in that time is free.
        """
        bucket = self._bucket(workspace, cost, now)
        is_early = now - bucket.start_request_at < START_REQUEST_PAUSE_S
        if self._has_view or is_early or cost > bucket.limit.rate:
            return False
        if bucket.start_requests >= MAX_START_REQUESTS:
            return False
        bucket.start_requests += 1
        bucket.start_request_at = now
        self._take(workspace, bucket, cost)
        return True

    def wait(self, workspace: str, cost: float, ticket: int, now: float) -> None:
        """Let a request wait for credit."""
        self._bucket(workspace, cost, now).cost_by_ticket[ticket] = cost

    def leave(self, workspace: str, ticket: int) -> None:
        """End the wait of a request."""
        bucket = self._bucket_by_name.get(workspace)
        if bucket is not None:
            bucket.cost_by_ticket.pop(ticket, None)

    def refund(self, workspace: str, cost: float, now: float) -> None:
        """Give back the cost of a request that did not run."""
        bucket = self._bucket_by_name.get(workspace)
        if bucket is None:
            return
        bucket.refill(now, self._known_hosts())
        room = max(0.0, bucket.capacity(now, self._known_hosts()) - bucket.balance)
        bucket.balance += min(cost, room)

    def retry_after(self, workspace: str, cost: float, now: float) -> float:
        """Return the seconds after which the balance will have refilled for a request."""
        bucket = self._bucket(workspace, cost, now)
        bucket.refill(now, self._known_hosts())
        lacking = max(0.0, bucket.needed(cost) - bucket.available)
        rate = bucket.rate(now, self._known_hosts())
        wait = lacking / rate if rate > 0 else MAX_RETRY_AFTER_S
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))

    def wait_for_refill(self, workspace: str, cost: float, ticket: int, now: float) -> float:
        """Return the seconds until the share alone admits a request that waits.

        It is at least a millisecond, and infinite while an earlier request waits.
        """
        bucket = self._bucket(workspace, cost, now)
        if next(iter(bucket.cost_by_ticket), ticket) != ticket:
            return float("inf")
        bucket.refill(now, self._known_hosts())
        rate = bucket.rate(now, self._known_hosts())
        lacking = bucket.needed(cost) - bucket.available
        return max(0.001, lacking / rate) if rate > 0 else MAX_RETRY_AFTER_S

    def short_left(self, workspace: str, now: float) -> float:
        """Return the seconds until a host asks again that got less credit than it asked for.

        It is infinite if the host may ask now.
        """
        bucket = self._bucket_by_name.get(workspace)
        pause_s = SHORT_PAUSE_S
        if self._has_credit_calls:
            pause_s = max(MIN_SHORT_PAUSE_S, self._known_hosts() / SHORT_CALLS_PER_S)
        left_s = 0.0 if bucket is None else bucket.short_at + pause_s - now
        return left_s if left_s > 0 else float("inf")

    def asks_for_credit(self, workspace: str, now: float) -> bool:
        """Return whether a request that waits for credit needs an exchange now.

        A workspace over its limit would use up the exchanges that others on the host need.
        """
        return workspace in self._bucket_by_name and math.isinf(self.short_left(workspace, now))

    def expects_credit(self, workspace: str, now: float) -> bool:
        """Return whether a request that waits is likely to get credit from the next exchange.

        It is not while no holder answers, or while the holder has less credit than was asked for.
        """
        is_answered = self._has_view and self._unanswered < MAX_UNANSWERED
        return is_answered and self.asks_for_credit(workspace, now)

    def asks_early(self, workspace: str, now: float) -> bool:
        """Return whether to exchange now because the balance is low, at most now and then."""
        bucket = self._bucket_by_name.get(workspace)
        pause_s = LOW_BALANCE_CALL_PAUSE_S if self._has_credit_calls else LOW_BALANCE_PAUSE_S
        if bucket is None or now - self._asked_at < pause_s:
            return False
        if not self.asks_for_credit(workspace, now):
            return False
        is_leased = now < bucket.lapses_at and bucket.share > 0.0
        is_asking = is_leased or self._has_credit_calls and self._expects_use(bucket)
        if not is_asking or bucket.available >= bucket.mean_cost:
            return False
        self._asked_at = now
        return True

    def report(self, now: float) -> tuple[LimitUse, ...] | None:
        """Return the uses of the workspaces in use, None if none has a limit."""
        if not self._limit_by_name:
            return None
        uses = []
        for name, bucket in list(self._bucket_by_name.items()):
            bucket.refill(now, self._known_hosts())
            bucket.decay(now)
            if bucket.demand < MIN_DEMAND * bucket.mean_cost and not bucket.cost_by_ticket:
                # The holder takes a share as released when the report does not name it.
                bucket.share = bucket.last_share = 0.0
                bucket.lapses_at = float("-inf")
                bucket.drop_stock()
                if bucket.balance == 0:
                    del self._bucket_by_name[name]
                continue
            uses.append(self._make_use(name, bucket, now))
        return tuple(uses)

    def apply(
        self, shares: tuple[LimitShare, ...], reported_at: float, now: float, version: int
    ) -> None:
        """Apply the holder's answer to a report.

        :param reported_at: time of the report, from which shares last.
        :param version: version of the configuration from which the holder derived the shares.
        """
        self._has_view, self._unanswered = True, 0
        for granted in shares:
            bucket = self._bucket_by_name.get(granted.workspace)
            if bucket is None or reported_at + granted.lapses_in_s <= now:
                continue
            bucket.refill(now, self._known_hosts())
            is_same_version = version == self._version
            share = granted.share
            if not is_same_version:
                share = min(share, bucket.rate(now, self._known_hosts()))
            bucket.share = bucket.last_share = min(share, bucket.limit.rate)
            bucket.lapses_at = reported_at + min(LEASE_S, granted.lapses_in_s)
            bucket.confirmed_at = now
            bucket.has_shares = True
            bucket.balance = min(bucket.balance, host_capacity(bucket.limit, bucket.share))
            if granted.credit < GRANTED_PART * bucket.wanted:
                bucket.short_at = now
            is_credit_valid = now - reported_at < CREDIT_VALID_S
            if is_same_version and is_credit_valid and granted.credit > 0:
                bucket.add_credit(granted.credit, now + credit_hold_s(bucket.limit), now)

    def ask_credit(self, now: float) -> tuple[CreditWish, ...]:
        """Return what to ask the holder for in one call."""
        wishes = []
        for name, bucket in self._bucket_by_name.items():
            if not self.asks_for_credit(name, now):
                continue
            bucket.refill(now, self._known_hosts())
            bucket.decay(now)
            is_leased = now < bucket.lapses_at and bucket.share > 0.0
            kept = bucket.kept()
            if not is_leased:
                kept = max(bucket.mean_cost, ADVANCE_S * bucket.estimate_demand(now))
            lacking = sum(bucket.cost_by_ticket.values()) - bucket.available
            bucket.asked = max(0.0, lacking) if bucket.cost_by_ticket else 0.0
            advance = max(0.0, lacking + kept) - bucket.asked
            is_early = is_leased or self._expects_use(bucket)
            if bucket.asked > 0 or is_early and advance > 0:
                wishes.append(CreditWish(workspace=name, needed=bucket.asked, advance=advance))
        return tuple(wishes)

    def apply_credit(
        self, grants: tuple[CreditGrant, ...], asked_at: float, now: float, version: int
    ) -> str:
        """Add the credit in the answer to a call, and return the outcome of the call.

        :param asked_at: time before the call, from which the credit lasts.
        :param version: version of the configuration from which the holder derived the credit.
        """
        self._has_view = True
        if version != self._version:
            return "other-version"
        if now - asked_at >= CREDIT_VALID_S:
            return "late"
        outcome = "granted"
        units_by_name = {grant.workspace: grant.units for grant in grants}
        for name, bucket in self._bucket_by_name.items():
            units = units_by_name.get(name, 0.0)
            if units < GRANTED_PART * bucket.asked:
                bucket.short_at, outcome = now, "short"
            bucket.asked = 0.0
            if units > 0:
                bucket.refill(now, self._known_hosts())
                bucket.add_credit(units, asked_at + credit_hold_s(bucket.limit), now)
        return outcome

    def set_credit_calls(self, has_calls: bool) -> None:
        """Set whether the holder answers calls for credit; otherwise reports ask for it."""
        self._has_credit_calls = has_calls

    def record_exchange(self, is_answered: bool, now: float) -> None:
        """Record whether the holder answered the latest report."""
        self._unanswered = 0 if is_answered else self._unanswered + 1
        factor = 1.0 if is_answered else ALONE_FACTOR
        for bucket in self._bucket_by_name.values():
            if bucket.factor != factor:
                bucket.refill(now, self._known_hosts())
                bucket.factor = factor

    def set_host_count(self, hosts: int) -> None:
        """Set the number of hosts that report to the holder."""
        self._hosts = hosts

    def record_refusal(self, workspace: str, now: float) -> bool:
        """Record a refusal; return whether the workspace became limited on this host."""
        bucket = self._bucket_by_name.get(workspace)
        if bucket is None:
            return False
        bucket.refused_at = now
        has_changed, bucket.is_limited = not bucket.is_limited, True
        return has_changed

    def take_recovered(self, now: float) -> list[str]:
        """Return the workspaces that have stopped being limited."""
        recovered = []
        for name, bucket in self._bucket_by_name.items():
            if bucket.is_limited and now - bucket.refused_at >= RECOVERY_S:
                bucket.is_limited = False
                recovered.append(name)
        return recovered

    def take_fallback_changes(self, now: float) -> list[tuple[str, bool]]:
        """Return the workspaces whose share has lapsed or is leased again since the last call."""
        changes = []
        for name, bucket in self._bucket_by_name.items():
            is_fallback = now >= bucket.lapses_at and bucket.has_shares
            if is_fallback != bucket.is_fallback_told:
                bucket.is_fallback_told = is_fallback
                changes.append((name, is_fallback))
        return changes

    def status(self, now: float) -> dict[str, LimitStatus]:
        """Return figures of each workspace with callers on this host."""
        hosts = self._known_hosts()
        return {
            name: LimitStatus(
                admitted=self._admitted_by_name.get(name, 0.0),
                share=bucket.rate(now, hosts),
                balance=bucket.available,
                is_fallback=now >= bucket.lapses_at,
            )
            for name, bucket in self._bucket_by_name.items()
        }

    @staticmethod
    def _expects_use(bucket: Bucket) -> bool:
        """Return whether credit in advance is likely to be used before it expires."""
        return bucket.demand * credit_hold_s(bucket.limit) >= bucket.mean_cost

    def _known_hosts(self) -> int:
        return self._hosts or ASSUMED_HOSTS

    def _bucket(self, workspace: str, cost: float, now: float) -> Bucket:
        bucket = self._bucket_by_name.get(workspace)
        if bucket is None:
            limit = self._limit_by_name[workspace]
            bucket = Bucket(
                limit=limit, began_at=now, refilled_at=now, demand_at=now, mean_cost=cost
            )
            self._bucket_by_name[workspace] = bucket
        return bucket

    def _take(self, workspace: str, bucket: Bucket, cost: float) -> None:
        bucket.spend(cost)
        self._admitted_by_name[workspace] = self._admitted_by_name.get(workspace, 0.0) + cost

    def _make_use(self, name: str, bucket: Bucket, now: float) -> LimitUse:
        is_leased = now < bucket.lapses_at
        factor = bucket.factor if is_leased else 1.0
        # Credit beyond the capacity lapses, so that a host without a share asks for no stock of it.
        kept = bucket.kept() if is_leased and bucket.share > 0.0 else 0.0
        lacking = sum(bucket.cost_by_ticket.values()) + kept - bucket.available
        # What waits for a call must not be asked for twice.
        is_asking = not self._has_credit_calls and bool(kept or bucket.cost_by_ticket)
        bucket.wanted = max(0.0, lacking) if is_asking else 0.0
        return LimitUse(
            workspace=name,
            demand=bucket.estimate_demand(now),
            share=bucket.rate(now, self._known_hosts()) / factor if bucket.has_shares else 0.0,
            share_left_s=max(0.0, bucket.lapses_at - now) if is_leased else 0.0,
            balance=bucket.available,
            wanted=bucket.wanted,
            admitted=self._admitted_by_name.get(name, 0.0),
        )
