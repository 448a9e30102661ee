"""Division of the limits of workspaces among hosts, on the holder of the order lease.

The load pattern: 80 hosts of which each has a few callers of some workspaces; demand moves between
hosts and exceeds limits by several times for seconds. Shares follow the demand that hosts report,
and the rest of the rate fills a pool for credit. ``requests/limitsizes`` has the argument why the
sum stays within the limit.
"""

import math
from collections.abc import Mapping

import attrs

from catkinhook.control.reportorder import ReportOrder
from catkinhook.requests.limitcredit import CreditGrant, CreditWish
from catkinhook.requests.limitreports import ALL_READ, UnreadUses
from catkinhook.requests.limitsizes import (
    ALONE_FACTOR,
    FALLBACK_PART,
    LEASE_S,
    LEASED_PART,
    OVERDUE_S,
    RESERVE_S,
    min_leased_demand,
    pool_capacity,
    term_start,
)
from catkinhook.requests.workspacelimits import LimitShare, LimitUse
from catkinhook.requests.workspaces import TokenLimit

# Share that a host gets for its demand while the limit is not reached. More is lost at hosts whose
# balances are full, and missing in the pool: with 1.6, 8 in 100 requests were refused in a replay
# of usual use, and with 1.0 to 1.15 about 1 in 100.
HEADROOM = 1.15
# Time that a holder adds to the leases of hosts, as these start with their reports.
LEASE_MARGIN_S = 0.5
# Seconds between two passes that end lapsed leases.
SWEEP_INTERVAL_S = 0.25
# Part of the pool's capacity above which credit is granted in advance.
AMPLE_PART = 0.5
# Time after which a new holder that has never heard of other hosts knows all that exist.
FIRST_TERM_SETTLE_S = 0.8


@attrs.define
class _Lease:
    """What one host may use of a workspace's limit.

    :ivar counted: units per second that the host may use, as far as the holder knows.
    :ivar last_share: share that the host had when the lease lapsed, or has.
    """

    counted: float = 0.0
    last_share: float = 0.0
    demand: float = 0.0
    admitted: float = 0.0
    reported_at: float = float("-inf")
    lapses_at: float = float("-inf")


@attrs.define
class _Pool:
    """Limit of one workspace: leases by host, and tokens for credit.

    :ivar counted: sum over the leases.
    :ivar demand: sum over the leases.
    :ivar reserved: sum over the leases that have lapsed.
    :ivar reported_at_start: sum of the shares that hosts had in their first report of the term.
    """

    limit: TokenLimit
    level: float
    refilled_at: float
    counted: float = 0.0
    demand: float = 0.0
    reserved: float = 0.0
    reported_at_start: float = 0.0
    lease_by_node: dict[str, _Lease] = attrs.Factory(dict)

    def refill(self, unknown: float, now: float) -> None:
        rate = max(0.0, self.limit.rate - self.counted - unknown)
        level = self.level + rate * max(0.0, now - self.refilled_at)
        self.level = min(pool_capacity(self.limit, self.counted), level)
        self.refilled_at = max(self.refilled_at, now)

    def set_lease(self, lease: _Lease, counted: float, demand: float) -> None:
        self.counted += counted - lease.counted
        self.demand += demand - lease.demand
        lease.counted, lease.demand = counted, demand

    def remove(self, node: str) -> None:
        lease = self.lease_by_node.pop(node, None)
        if lease is not None:
            self.set_lease(lease, 0.0, 0.0)

    def end_lapsed(self, now: float) -> None:
        """Keep only a reserve for hosts whose leases have lapsed, and sum up again."""
        for node, lease in list(self.lease_by_node.items()):
            if now < lease.lapses_at:
                if now - lease.reported_at >= OVERDUE_S:
                    lease.counted = ALONE_FACTOR * lease.last_share
                continue
            if now - lease.reported_at >= RESERVE_S:
                del self.lease_by_node[node]
                continue
            lease.counted, lease.demand = FALLBACK_PART * lease.last_share, 0.0
        leases = self.lease_by_node.values()
        self.reserved = sum(lease.counted for lease in leases if now >= lease.lapses_at)
        self.counted = sum(lease.counted for lease in leases)
        self.demand = sum(lease.demand for lease in leases)


@attrs.define
class LimitAllocator:
    """Shares and credit of all workspaces in one term of the holder."""

    _limit_by_name: Mapping[str, TokenLimit] = attrs.Factory(dict)
    _version: int = 0
    _pool_by_name: dict[str, _Pool] = attrs.Factory(dict)
    _level_by_name: dict[str, float] = attrs.Factory(dict)
    _incarnation_by_node: dict[str, str] = attrs.Factory(dict)
    _report_order: ReportOrder = attrs.Factory(ReportOrder)
    _term_began_at: float = float("-inf")
    _expected_hosts: int = 0
    _is_first_term: bool = False
    _swept_at: float = float("-inf")

    @property
    def version(self) -> int:
        """Version of the configuration from which shares are derived."""
        return self._version

    def begin_term(self, expected_hosts: int, now: float, is_first: bool = False) -> None:
        """Forget an earlier term.

        :param expected_hosts: hosts that reported to the previous holder, 0 if not known.
        :param is_first: whether no host ever held the lease before, so that no host has a share.
        """
        # A host that loses the lease and gets it back must not fill its pools each time.
        for name, pool in self._pool_by_name.items():
            self._level_by_name[name] = pool.level
        self._pool_by_name.clear()
        self._incarnation_by_node.clear()
        self._term_began_at, self._expected_hosts = now, expected_hosts
        self._is_first_term = is_first and not expected_hosts

    def set_limits(
        self, limit_by_name: Mapping[str, TokenLimit] | None, version: int, now: float
    ) -> None:
        """Apply the limits of a configuration; no pool gets more tokens by that."""
        limits = limit_by_name or {}
        for name, pool in list(self._pool_by_name.items()):
            pool.refill(self._unknown_share(pool, now), now)
            if name not in limits:
                # A limit that is removed and added again must not fill its pool.
                self._level_by_name[name] = pool.level
                del self._pool_by_name[name]
                continue
            pool.limit = limits[name]
            pool.level = min(pool.level, pool_capacity(pool.limit))
        self._limit_by_name, self._version = limits, version

    def handle_report(
        self,
        node: str,
        incarnation: str,
        uses: tuple[LimitUse, ...] | None,
        now: float,
        number: int | None = None,
        unread: UnreadUses = ALL_READ,
    ) -> tuple[LimitShare, ...] | None:
        """Record a host's uses and return its shares, None if no workspace has a limit.

        A report that comes after a later one of its host is ignored and gets no shares.

        :param uses: None if the report says nothing about limits.
        :param number: rises with each report of an incarnation, None for older senders.
        :param unread: entries of the report that are not in ``uses``. Leases of their workspaces
            are not released but lapse, as the host may use them until then.
        """
        if not self._limit_by_name or uses is None:
            return None
        if not self._report_order.accept(node, incarnation, number, now):
            return ()
        self._sweep(now)
        previous = self._incarnation_by_node.get(node)
        is_first = previous is None
        if previous != incarnation:
            # The earlier process has ended, and its balances with it.
            for pool in self._pool_by_name.values():
                pool.refill(self._unknown_share(pool, now), now)
                pool.remove(node)
            self._incarnation_by_node[node] = incarnation
        used = {use.workspace for use in uses}
        for name, pool in self._pool_by_name.items():
            is_named = name in used or unread.may_name(name)
            if node in pool.lease_by_node and not is_named:
                pool.refill(self._unknown_share(pool, now), now)
                pool.remove(node)
        is_numbered = number is not None
        shares = (self._allocate(node, use, is_first, is_numbered, now) for use in uses)
        return tuple(share for share in shares if share is not None)

    def grant_credit(
        self, wishes: tuple[CreditWish, ...], version: int, now: float
    ) -> tuple[CreditGrant, ...]:
        """Return the credit for a host's wishes, taken from the pools.

        :param version: version of the configuration in force at the host.
        """
        if version != self._version or not self._limit_by_name:
            return ()
        self._sweep(now)
        grants = (self._grant(wish, now) for wish in wishes)
        return tuple(grant for grant in grants if grant.units > 0)

    def leased(self, workspace: str) -> float:
        """Return the units per second that hosts may use of a workspace's limit."""
        pool = self._pool_by_name.get(workspace)
        return 0.0 if pool is None else pool.counted

    def _grant(self, wish: CreditWish, now: float) -> CreditGrant:
        limit = self._limit_by_name.get(wish.workspace)
        if limit is None:
            return CreditGrant(workspace=wish.workspace, units=0.0)
        pool = self._find_pool(wish.workspace, limit, now)
        pool.refill(self._unknown_share(pool, now), now)
        ample = pool.level - AMPLE_PART * pool_capacity(limit, pool.counted)
        advance = max(0.0, min(wish.advance, ample - wish.needed))
        # Whole units, as the message holds integers and a lost fraction would be lost at each call.
        units = float(math.floor(max(0.0, min(wish.needed + advance, pool.level))))
        pool.level -= units
        return CreditGrant(workspace=wish.workspace, units=units)

    def _find_pool(self, name: str, limit: TokenLimit, now: float) -> _Pool:
        pool = self._pool_by_name.get(name)
        if pool is None:
            level = term_start(limit, self._is_first_term)
            level = min(level, self._level_by_name.get(name, float("inf")))
            pool = _Pool(limit=limit, level=level, refilled_at=now)
            self._pool_by_name[name] = pool
        return pool

    def _allocate(
        self, node: str, use: LimitUse, is_first: bool, is_numbered: bool, now: float
    ) -> LimitShare | None:
        limit = self._limit_by_name.get(use.workspace)
        if limit is None:
            return None
        pool = self._find_pool(use.workspace, limit, now)
        lease = pool.lease_by_node.setdefault(node, _Lease())
        is_less = use.admitted < lease.admitted and use.share < lease.last_share
        if is_less and not is_numbered:
            # A report that was overtaken by a later one; its sender does not wait for the answer.
            return None
        if is_first:
            pool.reported_at_start += use.share
        pool.refill(self._unknown_share(pool, now), now)
        pool.set_lease(lease, use.share, use.demand)
        share = self._choose_share(pool, lease, now)
        pool.set_lease(lease, max(use.share, share), use.demand)
        lease.last_share, lease.admitted = max(use.share, share), use.admitted
        lease.reported_at, lease.lapses_at = now, now + LEASE_S + LEASE_MARGIN_S
        credit = max(0.0, min(use.wanted, pool.level))
        pool.level -= credit
        return LimitShare(workspace=use.workspace, share=share, credit=credit)

    def _choose_share(self, pool: _Pool, lease: _Lease, now: float) -> float:
        leasable = LEASED_PART * pool.limit.rate - self._unknown_share(pool, now)
        if lease.demand < min_leased_demand(pool.limit):
            return 0.0
        part = max(0.0, leasable - pool.reserved) / max(pool.demand, 1e-9)
        target = lease.demand * min(HEADROOM, part)
        return max(0.0, min(target, leasable - (pool.counted - lease.counted)))

    def _unknown_share(self, pool: _Pool, now: float) -> float:
        """Return what hosts that have not reported in this term may use."""
        if self._expected_hosts and len(self._incarnation_by_node) >= self._expected_hosts:
            return 0.0
        lost = max(0.0, LEASED_PART * pool.limit.rate - pool.reported_at_start)
        lost *= ALONE_FACTOR
        age = now - self._term_began_at
        if not self._expected_hosts:
            if self._is_first_term:
                return 0.0
            return lost if age < FIRST_TERM_SETTLE_S else 0.0
        if age < LEASE_S:
            return lost
        return FALLBACK_PART * lost if age < RESERVE_S else 0.0

    def _sweep(self, now: float) -> None:
        if now - self._swept_at < SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        for pool in self._pool_by_name.values():
            pool.refill(self._unknown_share(pool, now), now)
            pool.end_lapsed(now)
