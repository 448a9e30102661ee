"""The holder's part of the limits of workspaces, for reports and for calls for credit.

The load pattern: 80 hosts of which each asks for credit when a request arrives, some 300 times per
second together. A call must not wait for a plan of the coordinator's actor, so the limits have a
lock of their own.
"""

import threading

import attrs

from catkinhook.clocks import Clock
from catkinhook.control.limitallocation import LimitAllocator
from catkinhook.errors import StepError
from catkinhook.requests.limitbound import LimitBound
from catkinhook.requests.limitcredit import CreditAnswer, CreditGrant, CreditRequest
from catkinhook.requests.limitreports import ALL_READ, UnreadUses
from catkinhook.requests.limitsizes import limits_of
from catkinhook.requests.routetable import RouteTable
from catkinhook.requests.workspacelimits import LimitShare, LimitUse

STEP = "limits"
# Fencing token of the first term of a deployment.
FIRST_FENCE = 1
# Calls for credit per second that the holder answers, and calls that may come at once.
MAX_CREDIT_CALLS_PER_S = 1000.0
MAX_CREDIT_CALL_BURST = 200.0
# Hosts whose latest calls are remembered; those that called last are kept.
MAX_CALLERS = 1024


@attrs.frozen(kw_only=True)
class _LatestCall:
    incarnation: str
    sequence: int
    grants: tuple[CreditGrant, ...]


@attrs.define
class CreditCalls:
    """Bounds the rate of calls, and recognizes those that come again or late."""

    _left: float = MAX_CREDIT_CALL_BURST
    _refilled_at: float = 0.0
    _latest_by_node: dict[str, _LatestCall] = attrs.Factory(dict)

    def clear(self) -> None:
        """Forget the calls of an earlier term."""
        self._latest_by_node.clear()

    def take(self, now: float) -> bool:
        """Return whether one more call may be answered."""
        refilled = MAX_CREDIT_CALLS_PER_S * max(0.0, now - self._refilled_at)
        self._left = min(MAX_CREDIT_CALL_BURST, self._left + refilled)
        self._refilled_at = max(self._refilled_at, now)
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True

    def find_earlier(self, request: CreditRequest) -> tuple[CreditGrant, ...] | None:
        """Return the grants of a call that came before, None if the call is new.

        A call that was overtaken by a later one gets nothing: its sender does not wait any more.
        """
        latest = self._latest_by_node.get(request.node)
        is_new = latest is None or latest.incarnation != request.incarnation
        if is_new or request.sequence > latest.sequence:
            return None
        return latest.grants if request.sequence == latest.sequence else ()

    def record(self, request: CreditRequest, grants: tuple[CreditGrant, ...]) -> None:
        """Remember the grants of a call."""
        self._latest_by_node.pop(request.node, None)
        self._latest_by_node[request.node] = _LatestCall(
            incarnation=request.incarnation, sequence=request.sequence, grants=grants
        )
        if len(self._latest_by_node) > MAX_CALLERS:
            del self._latest_by_node[next(iter(self._latest_by_node))]


class LimitHolder:
    """Shares and credit that this host divides while it holds the lease; for any thread.

    :param clock: monotonic seconds that include time in which the host is suspended.
    :param bound: bound of the deployment, None for the default.
    """

    def __init__(self, clock: Clock, bound: LimitBound | None = None) -> None:
        self._clock = clock
        self._bound = bound
        self._lock = threading.Lock()
        self._allocator = LimitAllocator()
        self._calls = CreditCalls()
        self._fence = 0

    def begin_term(self, fence: int, known_hosts: int) -> None:
        """Forget an earlier term.

        :param known_hosts: hosts that reported to the previous holder, 0 if not known.
        """
        with self._lock:
            self._fence = fence
            self._allocator.begin_term(known_hosts, self._clock(), fence == FIRST_FENCE)
            self._calls.clear()

    def set_table(self, table: RouteTable) -> None:
        """Apply the limits of a configuration."""
        limit_by_name = limits_of(table.workspaces, self._bound)
        with self._lock:
            self._allocator.set_limits(limit_by_name, table.version, self._clock())

    def handle_report(
        self,
        node: str,
        incarnation: str,
        uses: tuple[LimitUse, ...] | None,
        number: int | None = None,
        unread: UnreadUses = ALL_READ,
    ) -> tuple[tuple[LimitShare, ...] | None, int]:
        """Return a host's shares, and the version of the configuration that they derive from.

        :param number: rises with each report of an incarnation, None for older senders.
        :param unread: entries of the report that are not in ``uses``.
        """
        with self._lock:
            now = self._clock()
            shares = self._allocator.handle_report(node, incarnation, uses, now, number, unread)
            return shares, self._allocator.version

    def handle_credit(self, request: CreditRequest, fence: int) -> CreditAnswer:
        """Return the credit for a call.

        :param fence: fencing token of the lease that this host holds.
        :raises StepError: if there are too many calls.
        """
        with self._lock:
            now = self._clock()
            if not self._calls.take(now):
                raise StepError(STEP, request.node, "too many calls for credit")
            grants: tuple[CreditGrant, ...] = ()
            # A term begins a moment after the lease was acquired.
            if request.fence == fence == self._fence:
                grants = self._grant(request, now)
            return CreditAnswer(
                fence=fence, holds=True, version=self._allocator.version, grants=grants
            )

    def _grant(self, request: CreditRequest, now: float) -> tuple[CreditGrant, ...]:
        earlier = self._calls.find_earlier(request)
        if earlier is not None:
            return earlier
        grants = self._allocator.grant_credit(request.wishes, request.version, now)
        self._calls.record(request, grants)
        return grants
