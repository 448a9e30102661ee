"""Order coordinator on the lease's holder: aggregates demand, plans orders and sends them."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import attrs

from catkinhook.clocks import Clock
from catkinhook.control.copyrecord import MIN_LISTED_SHORT
from catkinhook.control.enginerecords import Demand, OutgoingOrder
from catkinhook.control.limitholder import LimitHolder
from catkinhook.control.provisioning import Provisioner
from catkinhook.control.sequencedorders import SequencedEngineClient
from catkinhook.control.speedmerger import SpeedMerger
from catkinhook.control.usagesums import UsageSums
from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.operations.hostmetrics import HostMetrics
from catkinhook.peering.hostmessages import HolderView, Holding, HostReport, make_holding
from catkinhook.peering.readers import Member, Reader, choose_readers
from catkinhook.requests.limitbound import LimitBound
from catkinhook.requests.routetable import RouteTable
from catkinhook.state.views import EndpointView
from catkinhook.stateactor import StateActor

# Seconds between plans without events. New demand triggers a plan immediately.
PLAN_INTERVAL_S = 0.1
# Seconds between checks of the lease on a host that doesn't hold it.
IDLE_INTERVAL_S = 1.0
# Time for which the aggregated demand is reused for reports without waiting requests.
DEMAND_TTL_S = 0.05
# Maximum share of the actor's time for aggregation and planning, so that it can answer all hosts.
# With 75 hosts and 45 engines, planning after each report delayed answers by more than a second.
MAX_PLAN_TIME_SHARE = 0.25
# Seconds between a host's exchanges with the lease holder, with up to ``BASELINE_HOSTS`` hosts.
# With more hosts the interval grows in proportion, so that the holder's report rate stays constant.
EXCHANGE_INTERVAL_S = 0.4
BASELINE_HOSTS = 16
MAX_EXCHANGE_INTERVAL_S = 2.0
# Exchange intervals without a message after which a host or the holder is considered unreachable.
MAX_MISSED_EXCHANGES = 2.5
# Time without a report, or ``MAX_MISSED_EXCHANGES`` intervals if longer, after which a host's
# demand is ignored.
HOST_REPORT_EXPIRY_S = 2.0
# Seconds after the start of a term before the readers of the store are chosen, if no earlier holder
# chose any. Otherwise a new holder waits for the reports of all hosts, for ``SETTLE_INTERVALS``
# exchange intervals.
READERS_SETTLE_S = 1.0
SETTLE_INTERVALS = 2
# Seconds between summary log lines of the plans.
SUMMARY_INTERVAL_S = 2.0
# Maximum concurrent calls that send orders, over all engines.
MAX_CONCURRENT_ORDERS = 12
# Maximum concurrent report calls, over all engines. Unresponsive engines block these threads, so
# orders, which go only to engines that report, have a separate pool.
MAX_CONCURRENT_REPORTS = 12


def exchange_interval(hosts: int) -> float:
    """Return the seconds between exchanges of a host that has no waiting requests."""
    return min(MAX_EXCHANGE_INTERVAL_S, EXCHANGE_INTERVAL_S * max(1.0, hosts / BASELINE_HOSTS))


@attrs.define
class _CoordinatorState:
    """State owned by the actor: the provisioner and the latest report of each host.

    :ivar report_by_node: latest report of each host and the time at which it arrived.
    :ivar running_by_id: requests in progress from all hosts, by endpoint.
    :ivar usage_sums: sums for hosts that share capacity, None while there are none.
    :ivar speeds: speeds that the hosts measured.
    :ivar revision: number of changes of holdings and speeds; a host asks for those after a known
        revision.
    :ivar aggregated_at: time at which the reports were last aggregated.
    :ivar members: revision of the addresses of the hosts that reported recently.
    :ivar readers: hosts that follow the store.
    :ivar published_readers: readers that all hosts are told, None before the first choice.
    """

    provisioner: Provisioner
    report_by_node: dict[str, tuple[HostReport, float]] = attrs.Factory(dict)
    running_by_id: dict[str, int] = attrs.Factory(dict)
    usage_sums: UsageSums | None = None
    speeds: SpeedMerger = attrs.Factory(SpeedMerger)
    revision: int = 0
    aggregated_at: float = float("-inf")
    members: int = 0
    readers: tuple[Reader, ...] = ()
    published_readers: tuple[Reader, ...] | None = None
    _told_readers: set[str] = attrs.Factory(set)
    _readers_chosen_at: float = float("inf")
    _readers_due_at: float = float("-inf")
    _members_of_readers: int = 0
    _holding_by_id: dict[str, tuple[Holding, int]] = attrs.Factory(dict)

    def record_report(self, report: HostReport, now: float) -> None:
        self.provisioner.record_leaving((e.endpoint, e.boot_id) for e in report.leaving)
        previous = self.report_by_node.pop(report.node, None)
        previous_address = previous[0].address if previous is not None else None
        if not report.stopping:
            self.report_by_node[report.node] = (report, now)
            self.provisioner.request_reports(report.down)
        self._record_capacity(report, now)
        # A host that is stopping is no member any more.
        address = None if report.stopping else report.address
        if address != previous_address:
            self.members += 1

    def _record_capacity(self, report: HostReport, now: float) -> None:
        if report.speeds is not None and self.usage_sums is None:
            self.usage_sums = UsageSums()
            for node, (known, _) in self.report_by_node.items():
                self.usage_sums.replace(node, known)
        elif self.usage_sums is not None:
            self.usage_sums.replace(report.node, None if report.stopping else report)
        if report.speeds and self.speeds.record(report.speeds, self.revision + 1, now):
            self.revision += 1

    def begin_term(self, readers: tuple[Reader, ...], now: float) -> None:
        """Forget the reports of an earlier term.

        :param readers: readers that the previous holder chose.
        """
        self.report_by_node.clear()
        self.speeds.clear()
        self.usage_sums = None
        self.members += 1
        self.readers = readers
        self.published_readers = None
        self._readers_chosen_at = float("inf")
        self._readers_due_at = now + READERS_SETTLE_S
        if readers:
            self._readers_due_at = now + SETTLE_INTERVALS * MAX_EXCHANGE_INTERVAL_S

    def choose_readers(self, now: float) -> None:
        """Choose the readers again if the hosts have changed, once most hosts have reported."""
        if now < self._readers_due_at or self._members_of_readers == self.members:
            return
        member_by_address = {
            report.address: Member(address=report.address, zone=report.zone, cores=report.cores)
            for report, _ in self.report_by_node.values()
        }
        chosen = choose_readers(member_by_address, self.readers)
        if chosen != self.readers or self._readers_chosen_at > now:
            self.readers, self._readers_chosen_at = chosen, now
            self._told_readers.clear()
        self._members_of_readers = self.members

    def readers_for(self, address: str, now: float) -> tuple[Reader, ...] | None:
        """Return the readers to tell the host at an address, None if they are not chosen yet.

        The readers are told first, so that they follow the store when the first host follows them.
        """
        if self._readers_chosen_at > now:
            return None
        reader_addresses = {reader.address for reader in self.readers}
        if address in reader_addresses:
            self._told_readers.add(address)
            return self.readers
        is_told = self._told_readers >= reader_addresses
        if is_told or now - self._readers_chosen_at >= MAX_EXCHANGE_INTERVAL_S:
            self.published_readers = self.readers
        return self.published_readers

    def aggregate_demand(self, now: float) -> None:
        interval = exchange_interval(len(self.report_by_node))
        expiry = max(HOST_REPORT_EXPIRY_S, MAX_MISSED_EXCHANGES * interval)
        for node in [
            node
            for node, (_, received_at) in self.report_by_node.items()
            if now - received_at > expiry
        ]:
            del self.report_by_node[node]
            if self.usage_sums is not None:
                self.usage_sums.replace(node, None)
            self.members += 1
        demand: dict[tuple[str, str], Demand] = {}
        running: dict[str, int] = {}
        running_by_use: dict[tuple[str, str], int] = {}
        for report, _ in self.report_by_node.values():
            for key, item_demand in report.demand_by_item.items():
                demand[key] = item_demand.plus(demand[key]) if key in demand else item_demand
            for use, count in report.running_by_use.items():
                running[use[0]] = running.get(use[0], 0) + count
                running_by_use[use] = running_by_use.get(use, 0) + count
        self.running_by_id = running
        reports = (report for report, _ in self.report_by_node.values())
        has_speeds = any(getattr(report, "speeds", None) is not None for report in reports)
        self.provisioner.set_planning_mode(self.provisioner.has_workspaces or has_speeds)
        if has_speeds:
            self.provisioner.set_paces(self.speeds.work_factors())
        self.provisioner.set_demand(demand, now)
        self.provisioner.set_running(running_by_use)

    def update_holdings(self) -> None:
        """Assign a new revision to each holding that has changed."""
        current = {
            engine.view.endpoint: make_holding(engine)
            for engine in self.provisioner.known_engines()
        }
        for endpoint in set(self._holding_by_id) - set(current):
            del self._holding_by_id[endpoint]
        for endpoint, holding in current.items():
            previous = self._holding_by_id.get(endpoint)
            if previous is None or previous[0] != holding:
                self.revision += 1
                self._holding_by_id[endpoint] = (holding, self.revision)

    def holdings_after(self, revision: int) -> tuple[Holding, ...]:
        """Return the holdings that changed after a revision."""
        return tuple(
            holding for holding, changed_in in self._holding_by_id.values() if changed_in > revision
        )


@attrs.define
class _PlanSummary:
    """Counts and durations since the last summary line.

    :ivar since: start of the period.
    :ivar longest_wait_s: longest time that a host's report waited for the actor.
    """

    since: float = 0.0
    plans: int = 0
    longest_plan_s: float = 0.0
    longest_wait_s: float = 0.0


class OrderCoordinator:
    """Plans and sends orders while this host holds the order lease.

    :param node: name of this host.
    :param may_order: tells whether this host may send orders now.
    :param on_fenced: called when an engine has seen a higher fencing token.
    :param clock: monotonic seconds that include time in which the host is suspended.
    :param known_readers: returns the readers of the store that this host knows.
    :param limit_bound: bound on the use of workspaces' limits, None for the default.
    :ivar limits: division of the limits of workspaces.
    :ivar count_known_hosts: returns the number of hosts that reported to the previous holder, 0 if
        not known.
    """

    def __init__(
        self,
        node: str,
        provisioner: Provisioner,
        engines: SequencedEngineClient,
        may_order: Callable[[], bool],
        on_fenced: Callable[[], None],
        metrics: HostMetrics,
        log: DecisionLog,
        clock: Clock,
        known_readers: Callable[[], tuple[Reader, ...]] = lambda: (),
        limit_bound: LimitBound | None = None,
    ) -> None:
        self._node = node
        self._known_readers = known_readers
        self._metrics = metrics
        self._summary = _PlanSummary()
        self._state: StateActor[_CoordinatorState] = StateActor(_CoordinatorState(provisioner))
        self._engines = engines
        self._may_order = may_order
        self._on_fenced = on_fenced
        self._log = log
        self._clock = clock
        self._stop = threading.Event()
        self._order_pool: ThreadPoolExecutor | None = None
        self._report_pool: ThreadPoolExecutor | None = None
        self._thread = threading.Thread(target=self._run, name="holder", daemon=True)
        self._plan_requested = threading.Event()
        self._next_plan_at = float("-inf")
        self._rates: dict[str, float] = {}
        self._fence = 0
        self.limits = LimitHolder(clock, limit_bound)
        self.count_known_hosts: Callable[[], int] = lambda: 0

    def start(self) -> None:
        """Start the actor and the thread that plans."""
        self._state.start()
        self._order_pool = ThreadPoolExecutor(MAX_CONCURRENT_ORDERS, thread_name_prefix="orders")
        self._report_pool = ThreadPoolExecutor(MAX_CONCURRENT_REPORTS, thread_name_prefix="reports")
        self._thread.start()

    def close(self) -> None:
        """Stop planning without waiting for calls in progress."""
        self._stop.set()
        self._plan_requested.set()
        self._thread.join()
        for pool in (self._order_pool, self._report_pool):
            pool.shutdown(wait=False, cancel_futures=True)
        self._state.close()

    def request_rates(self) -> dict[str, float]:
        """Return the last aggregated requests per second by model, for the next lease holder.

        Lease renewals call this, so it must not wait for the actor.
        """
        return self._rates

    def begin_term(self, fence: int, rates: dict[str, float]) -> None:
        """Start to send orders with a fencing token.

        :param rates: requests per second by model, from the previous lease holder.
        """
        now = self._clock()
        self._fence = fence
        readers = self._known_readers()
        self.limits.begin_term(fence, self.count_known_hosts())

        def change(state: _CoordinatorState) -> None:
            state.provisioner.begin_term(fence, rates, now)
            state.begin_term(readers, now)

        self._state.tell(change)
        self._request_plan()
        self._plan_requested.set()

    def set_table(self, table: RouteTable) -> None:
        """Set the routes and engine specifications in force."""
        self.limits.set_table(table)
        self._state.tell(lambda state: state.provisioner.set_table(table))

    def set_endpoints(self, views: dict[str, EndpointView]) -> None:
        """Update the endpoints from their entries."""
        now = self._clock()
        self._state.tell(lambda state: state.provisioner.set_endpoints(views.values(), now))

    def handle_report(self, report: HostReport) -> HolderView:
        """Record a host's report, plan if allowed, and return the view for that host."""
        now = self._clock()

        def handle(state: _CoordinatorState) -> HolderView:
            waited_s = self._clock() - now
            self._metrics.report_wait.observe(waited_s)
            self._summary.longest_wait_s = max(self._summary.longest_wait_s, waited_s)
            state.record_report(report, now)
            items_with_waiting = {
                key for key, item_demand in report.demand_by_item.items() if item_demand.waiting
            }
            if items_with_waiting or now - state.aggregated_at >= DEMAND_TTL_S:
                self._replan_or_defer(state, now)
            is_known_term = report.known_fence == self._fence
            known_revision = report.known_revision if is_known_term else -1
            state.choose_readers(now)
            limit_shares, limit_version = self.limits.handle_report(
                report.node,
                report.incarnation,
                report.limit_uses,
                report.limit_number,
                report.limit_unread,
            )
            has_members = is_known_term and report.known_members == state.members
            waits = state.provisioner.expected_waits(now)
            sums = state.usage_sums if report.speeds is not None else None
            return HolderView(
                node=self._node,
                fence=self._fence,
                holds=True,
                holdings=state.holdings_after(known_revision),
                wait_by_item={key: waits[key] for key in items_with_waiting if key in waits},
                addresses=(
                    ()
                    if has_members
                    else tuple(r.address for r, _ in state.report_by_node.values())
                ),
                revision=state.revision,
                running_by_id=state.running_by_id if sums is None else sums.running_by_id(),
                tokens_by_id={} if sums is None else sums.tokens_by_id(),
                speeds=(
                    None if report.speeds is None else state.speeds.changes_after(known_revision)
                ),
                members=state.members,
                host_count=len(state.report_by_node),
                readers=state.readers_for(report.address, now),
                limit_shares=limit_shares,
                limit_version=limit_version,
            )

        return self._state.ask(handle)

    def _run(self) -> None:
        while not self._stop.is_set():
            self._plan_requested.wait(PLAN_INTERVAL_S if self._may_order() else IDLE_INTERVAL_S)
            self._plan_requested.clear()
            self._stop.wait(max(0.0, self._next_plan_at - self._clock()))
            if self._may_order() and not self._stop.is_set():
                self._request_plan()

    def _request_plan(self) -> None:
        self._state.tell(lambda state: self._replan_or_defer(state, self._clock()))

    def _replan_or_defer(self, state: _CoordinatorState, now: float) -> None:
        """Aggregate demand and plan, now or as soon as ``MAX_PLAN_TIME_SHARE`` allows."""
        if now < self._next_plan_at:
            self._plan_requested.set()
            return
        state.aggregated_at = now
        state.aggregate_demand(now)
        self._rates = state.provisioner.request_rates()
        self._plan(state)
        done_at = self._clock()
        self._next_plan_at = done_at + (done_at - now) * (1.0 / MAX_PLAN_TIME_SHARE - 1.0)

    def _plan(self, state: _CoordinatorState) -> None:
        if not self._may_order():
            return
        now = self._clock()
        for view in state.provisioner.due_reports(now):
            self._submit(self._report_pool, lambda view=view: self._poll_engine(view))
        for outgoing in state.provisioner.plan(now):
            self._submit(self._order_pool, lambda outgoing=outgoing: self._send(outgoing))
        state.update_holdings()
        self._record_plan(state, now)

    def _record_plan(self, state: _CoordinatorState, started_at: float) -> None:
        now = self._clock()
        self._metrics.plan_duration.observe(now - started_at)
        summary = self._summary
        summary.plans += 1
        summary.longest_plan_s = max(summary.longest_plan_s, now - started_at)
        if now - summary.since < SUMMARY_INTERVAL_S:
            return
        status = state.provisioner.status()
        self._metrics.missing_items.set(status.missing)
        self._metrics.places_short.set(state.provisioner.copy_record.places_short())
        for inputs in state.provisioner.copy_record.take_listed():
            outcome = "short" if inputs.short >= MIN_LISTED_SHORT else "changed"
            self._log.record("copies", outcome=outcome, **attrs.asdict(inputs))
        self._log.record(
            "plan",
            outcome="summary",
            fence=self._fence,
            hosts=len(state.report_by_node),
            plans=summary.plans,
            longest_plan_s=round(summary.longest_plan_s, 3),
            longest_wait_s=round(summary.longest_wait_s, 3),
            **attrs.asdict(status),
        )
        self._summary = _PlanSummary(since=now)

    def _submit(self, pool: ThreadPoolExecutor, call: Callable[[], None]) -> None:
        if not self._stop.is_set():
            pool.submit(call)

    def _poll_engine(self, view: EndpointView) -> None:
        requested_at = self._clock()
        result = self._engines.state(view)
        if result.is_err():
            self._log.record("report", outcome=f"failed: {result.unwrap_err()}")

        def change(state: _CoordinatorState) -> None:
            correction = state.provisioner.record_report(view.endpoint, result.ok(), requested_at)
            if correction is not None:
                self._log.record(
                    "report",
                    outcome="corrected",
                    endpoint=view.endpoint,
                    requested_s_ago=round(self._clock() - requested_at, 3),
                    **attrs.asdict(correction),
                )
            self._replan_or_defer(state, self._clock())

        self._state.tell(change)

    def _send(self, outgoing: OutgoingOrder) -> None:
        order, view = outgoing.order, outgoing.view
        # The lease may have expired while the order was queued for a thread of the pool.
        is_sent = self._may_order()
        result = self._engines.order(view, order) if is_sent else None
        reply = result.ok() if result is not None else None
        now = self._clock()
        outcome = "lease lapsed"
        if result is not None:
            outcome = reply.value if reply else f"lost: {result.unwrap_err()}"
        self._log.record(
            "order",
            outcome=outcome,
            endpoint=view.endpoint,
            load=order.is_load,
            model=order.model,
            adapter=order.adapter,
            expected=order.expected,
            fence=order.fence,
            counted=outgoing.counted,
        )

        def change(state: _CoordinatorState) -> None:
            if not state.provisioner.record_reply(view.endpoint, order, reply, now):
                self._on_fenced()
            self._replan_or_defer(state, self._clock())

        self._state.tell(change)
