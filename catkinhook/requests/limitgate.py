"""Gate at which a host's requests wait for the limit of their workspace.

Requests wait in their own threads, outside the actor of the scheduler.
"""

import itertools
import threading
import time
from collections.abc import Callable

from catkinhook.clocks import Clock
from catkinhook.errors import Ran, Refusal
from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.operations.hostmetrics import HostMetrics
from catkinhook.requests.limitbound import LimitBound
from catkinhook.requests.limitcredit import CreditGrant, CreditWish
from catkinhook.requests.limitsizes import limits_of
from catkinhook.requests.routedrequest import RoutedRequest
from catkinhook.requests.routetable import RouteTable
from catkinhook.requests.workspacelimits import LimitShare, LimitUse, WorkspaceLimits

STEP = "limits"
# Part of the objective of a request for which it waits for credit that the holder was short of.
SHORT_WAIT_PART = 0.2
# Longest wait in seconds for credit otherwise, which covers the time between two exchanges of a
# host, and the part of the time left to the caller that it may take. Callers are served
# better by a late answer than by a refusal within the limit.
MAX_WAIT_S = 1.0
MAX_WAIT_PART = 0.4


class LimitGate:
    """Admits requests within the limits of workspaces.

    :param clock: clock that also advances while the host is suspended, for leases.
    :param request_exchange: starts an exchange with the holder soon, without blocking.
    :param bound: bound of the deployment, None for the default.
    :param bound_faults: settings of the bound for which the default is used; they are logged once
        a workspace has a limit.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: HostMetrics,
        log: DecisionLog,
        request_exchange: Callable[[], None],
        bound: LimitBound | None = None,
        bound_faults: tuple[str, ...] = (),
    ) -> None:
        self._bound = bound
        self._bound_faults = bound_faults
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._request_credit = request_exchange
        self._limits = WorkspaceLimits()
        self._changed = threading.Condition()
        self._tickets = itertools.count(1)

    @property
    def is_active(self) -> bool:
        """Whether the configuration has workspaces with limits."""
        return self._limits.is_active

    def set_credit_link(self, request_credit: Callable[[], None]) -> None:
        """Set what asks the holder for credit in place of an exchange.

        :param request_credit: called with the lock held, so it must not block.
        """
        self._request_credit = request_credit

    def set_table(self, table: RouteTable) -> None:
        """Apply the limits of a configuration."""
        with self._changed:
            limit_by_name = limits_of(table.workspaces, self._bound)
            self._limits.set_limits(limit_by_name, table.version, self._clock())
            self._changed.notify_all()
        faults = self._bound_faults if limit_by_name else ()
        if faults:
            self._bound_faults = ()
            self._log.record("limit", outcome="default bound is used", reason="; ".join(faults))

    def admit(self, request: RoutedRequest) -> Refusal | None:
        """Take the cost of one run of a request from its workspace's balance.

        Waits for credit for a part of the request's objective.

        :returns: None if the request may run.
        """
        name, cost = request.workspace, request.limit_cost
        if not name or cost <= 0:
            return None
        with self._changed:
            # Without workspaces in the configuration, no request has one.
            if not self._limits.has_limit(name):
                return None
            now, units = self._clock(), cost * self._limits.units(name)
            self._limits.arrive(name, units, now)
            is_admitted = self._limits.admit(name, units, now)
            if is_admitted:
                asks_early = self._limits.asks_early(name, now)
            else:
                is_admitted, asks_early = self._wait(request, units), False
                # The configuration may have changed during the wait.
                if not is_admitted and not self._limits.has_limit(name):
                    return None
            if not is_admitted:
                return self._refuse(request, units)
        self._metrics.limit_tokens.labels(name, "admitted").inc(cost)
        if asks_early:
            self._request_credit()
        return None

    def refund(self, request: RoutedRequest) -> None:
        """Give back the cost of a run that did not take place."""
        name, cost = request.workspace, request.limit_cost
        if not name or cost <= 0:
            return
        with self._changed:
            if self._limits.has_limit(name):
                self._limits.refund(name, cost * self._limits.units(name), self._clock())
                self._changed.notify_all()
        self._metrics.limit_tokens.labels(name, "returned").inc(cost)

    def report(self) -> tuple[LimitUse, ...] | None:
        """Return the uses for a report, None if no workspace has a limit."""
        if not self._limits.is_active:
            return None
        with self._changed:
            now = self._clock()
            self._log_changes(now)
            return self._limits.report(now)

    def apply(
        self,
        shares: tuple[LimitShare, ...],
        reported_at: float,
        version: int,
        hosts: int,
    ) -> None:
        """Apply the holder's answer to a report.

        :param reported_at: time of the report on the clock of this object.
        """
        with self._changed:
            now = self._clock()
            self._limits.set_host_count(hosts)
            self._limits.apply(shares, reported_at, now, version)
            for name, status in self._limits.status(now).items():
                units = self._limits.units(name)
                self._metrics.limit_share.labels(name).set(status.share / units)
                self._metrics.limit_balance.labels(name).set(status.balance / units)
            self._changed.notify_all()

    def ask_credit(self) -> tuple[int, tuple[CreditWish, ...]]:
        """Return the version of the configuration, and what a call should ask the holder for."""
        with self._changed:
            return self._limits.version, self._limits.ask_credit(self._clock())

    def apply_credit(self, grants: tuple[CreditGrant, ...], asked_at: float, version: int) -> str:
        """Apply the holder's answer to a call, and return its outcome.

        :param asked_at: time before the call on the clock of this object.
        """
        with self._changed:
            outcome = self._limits.apply_credit(grants, asked_at, self._clock(), version)
            self._changed.notify_all()
        return outcome

    def set_credit_calls(self, has_calls: bool) -> None:
        """Set whether the holder answers calls; otherwise reports ask for credit."""
        with self._changed:
            self._limits.set_credit_calls(has_calls)

    def record_exchange(self, is_answered: bool) -> None:
        """Record whether the holder answered the latest report."""
        if not self._limits.is_active:
            return
        with self._changed:
            self._limits.record_exchange(is_answered, self._clock())

    def _wait(self, request: RoutedRequest, cost: float) -> bool:
        """Wait for credit; the lock is held, and released while this waits."""
        name, ticket = request.workspace, next(self._tickets)
        began = time.monotonic()
        self._limits.wait(name, cost, ticket, self._clock())
        is_asked = False
        try:
            while (left_s := self._wait_ends_at(request, began) - time.monotonic()) > 0:
                now = self._clock()
                # After the holder was short of credit, the host asks again a little later.
                asks, is_asked = not is_asked, self._limits.asks_for_credit(name, now)
                if asks and is_asked:
                    self._request_credit()
                refill_s = self._limits.wait_for_refill(name, cost, ticket, now)
                self._changed.wait(min(left_s, refill_s, self._limits.short_left(name, now)))
                if not self._limits.has_limit(name):
                    return False
                if self._limits.admit(name, cost, self._clock(), ticket):
                    return True
            return self._limits.admit_at_start(name, cost, self._clock())
        finally:
            self._metrics.limit_wait.observe(time.monotonic() - began)
            self._limits.leave(name, ticket)
            # The next request in the queue may be admitted now.
            self._changed.notify_all()

    def _wait_ends_at(self, request: RoutedRequest, began: float) -> float:
        """Return until when a request waits for credit.

        It may become shorter during the wait: the holder's answer shows that the workspace is over
        its limit, or no holder answers, so that the request is refused without further delay.
        """
        if self._limits.expects_credit(request.workspace, self._clock()):
            return began + min(MAX_WAIT_S, MAX_WAIT_PART * (request.caller_deadline() - began))
        return min(began + SHORT_WAIT_PART * request.route.objective_s, request.deadline)

    def _refuse(self, request: RoutedRequest, cost: float) -> Refusal:
        name, now = request.workspace, self._clock()
        retry_after_s = self._limits.retry_after(name, cost, now)
        status = self._limits.status(now)[name]
        if self._limits.record_refusal(name, now):
            self._log.record(
                "limit",
                outcome="limited",
                workspace=name,
                share=round(status.share, 1),
                balance=round(status.balance, 1),
                cost=cost,
                is_fallback=status.is_fallback,
            )
        self._metrics.limit_tokens.labels(name, "refused").inc(request.limit_cost)
        reason = f"workspace {name} is over its limit"
        return Refusal(STEP, "", reason, "over-limit", 429, Ran.NO, retry_after_s)

    def _log_changes(self, now: float) -> None:
        for name in self._limits.take_recovered(now):
            self._log.record("limit", outcome="recovered", workspace=name)
        for name, is_fallback in self._limits.take_fallback_changes(now):
            outcome = "fallback: the share has lapsed" if is_fallback else "share leased again"
            self._log.record("limit", outcome=outcome, workspace=name)
