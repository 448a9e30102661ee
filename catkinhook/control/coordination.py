"""Service of the host that holds the order lease: gathers demand, plans, sends orders."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import attrs

from catkinhook.clocks import Clock
from catkinhook.control.enginerecords import Demand
from catkinhook.control.enginestates import OrderedEngines
from catkinhook.control.provisioning import OutgoingOrder, Provisioner
from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.operations.hostmetrics import HostMetrics
from catkinhook.peering.hostmessages import HolderView, Holding, HostReport, make_holding
from catkinhook.requests.routes import RouteTable
from catkinhook.state.views import EndpointView
from catkinhook.stateactor import StateActor

# Seconds between plans when nothing happens; demand that arrives is planned for at once.
PLAN_INTERVAL_S = 0.1
# Seconds between looks at the lease of a host that does not hold it.
IDLE_INTERVAL_S = 1.0
# Reports that ask for nothing new share one sum of the demand for this long.
REFRESH_S = 0.05
# Part of the time of the actor that sums and plans may take, so that it answers all hosts. With 75
# hosts and 45 engines, plans for each report kept the holder from answering within a second.
PLAN_SHARE = 0.25
# Seconds between a host's exchanges with the lease holder, up to ``BASELINE_HOSTS`` hosts. Beyond
# that the interval grows in proportion, so the holder's rate of reports stays constant.
EXCHANGE_INTERVAL_S = 0.4
BASELINE_HOSTS = 16
MAX_EXCHANGE_INTERVAL_S = 2.0
# Exchange intervals without a message after which a host or the holder counts as unreachable.
MAX_SILENT_INTERVALS = 2.5
# A host without a report for this long, or ``MAX_SILENT_INTERVALS``, is left out of the demand.
REPORT_LIFE_S = 2.0
# Seconds between lines that sum up the plans.
SUMMARY_INTERVAL_S = 2.0
# Orders in progress over all engines.
MAX_ORDERS = 12
# Reports in progress over all engines. Silent engines hold these threads, so that orders, which go
# to engines that report, have their own.
MAX_REPORTS = 12


def exchange_interval(hosts: int) -> float:
    """Return the seconds between exchanges of a host that has nothing to ask for."""
    return min(MAX_EXCHANGE_INTERVAL_S, EXCHANGE_INTERVAL_S * max(1.0, hosts / BASELINE_HOSTS))


@attrs.define
class _Desk:
    """State of the actor: the plan and the reports of all hosts."""

    provisioner: Provisioner
    report_by_node: dict[str, tuple[HostReport, float]] = attrs.Factory(dict)
    running_by_id: dict[str, int] = attrs.Factory(dict)
    revision: int = 0
    refreshed_at: float = float("-inf")
    _holding_by_id: dict[str, tuple[Holding, int]] = attrs.Factory(dict)

    def take(self, report: HostReport, now: float) -> None:
        if report.stopping:
            self.report_by_node.pop(report.node, None)
        else:
            self.report_by_node[report.node] = (report, now)
            self.provisioner.request_reports(report.down)

    def sum_up(self, now: float) -> None:
        pause = exchange_interval(len(self.report_by_node))
        life = max(REPORT_LIFE_S, MAX_SILENT_INTERVALS * pause)
        for node in [n for n, (_, at) in self.report_by_node.items() if now - at > life]:
            del self.report_by_node[node]
        demand: dict[tuple[str, str], Demand] = {}
        running: dict[str, int] = {}
        running_by_use: dict[tuple[str, str], int] = {}
        for report, _ in self.report_by_node.values():
            for key, wanted in report.demand_by_item.items():
                demand[key] = wanted.plus(demand[key]) if key in demand else wanted
            for use, count in report.running_by_use.items():
                running[use[0]] = running.get(use[0], 0) + count
                running_by_use[use] = running_by_use.get(use, 0) + count
        self.running_by_id = running
        self.provisioner.set_demand(demand, now)
        self.provisioner.set_running(running_by_use)

    def note_holdings(self) -> None:
        """Give the holdings that changed a new revision."""
        current = {
            book.view.endpoint: make_holding(book) for book in self.provisioner.known_engines()
        }
        for endpoint in set(self._holding_by_id) - set(current):
            del self._holding_by_id[endpoint]
        for endpoint, holding in current.items():
            known = self._holding_by_id.get(endpoint)
            if known is None or known[0] != holding:
                self.revision += 1
                self._holding_by_id[endpoint] = (holding, self.revision)

    def holdings_after(self, revision: int) -> tuple[Holding, ...]:
        """Return the holdings that changed since a revision."""
        return tuple(h for h, changed in self._holding_by_id.values() if changed > revision)


@attrs.define
class _Summary:
    """What the plans since the last line about them took, in seconds.

    :ivar longest_wait_s: longest wait of a report for the actor.
    """

    since: float = 0.0
    plans: int = 0
    longest_plan_s: float = 0.0
    longest_wait_s: float = 0.0


class OrderCoordinator:
    """Plans and sends orders while this host holds the lease.

    :param node: name of this host.
    :param may_order: whether this host may give orders now.
    :param on_fenced: called when an engine has seen a higher fencing token.
    :param clock: seconds that also count while the host is suspended.
    """

    def __init__(
        self,
        node: str,
        provisioner: Provisioner,
        engines: OrderedEngines,
        may_order: Callable[[], bool],
        on_fenced: Callable[[], None],
        metrics: HostMetrics,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        self._node = node
        self._metrics = metrics
        self._summary = _Summary()
        self._desk: StateActor[_Desk] = StateActor(_Desk(provisioner))
        self._engines = engines
        self._may_order = may_order
        self._on_fenced = on_fenced
        self._log = log
        self._clock = clock
        self._stop = threading.Event()
        self._orders: ThreadPoolExecutor | None = None
        self._reports: ThreadPoolExecutor | None = None
        self._thread = threading.Thread(target=self._run, name="holder", daemon=True)
        self._is_due = threading.Event()
        self._rests_until = float("-inf")
        self._rates: dict[str, float] = {}
        self._fence = 0

    def start(self) -> None:
        """Start the actor and the thread that plans."""
        self._desk.start()
        self._orders = ThreadPoolExecutor(MAX_ORDERS, thread_name_prefix="orders")
        self._reports = ThreadPoolExecutor(MAX_REPORTS, thread_name_prefix="reports")
        self._thread.start()

    def close(self) -> None:
        """Stop planning; calls in progress are not waited for."""
        self._stop.set()
        self._is_due.set()
        self._thread.join()
        for calls in (self._orders, self._reports):
            calls.shutdown(wait=False, cancel_futures=True)
        self._desk.close()

    def request_rates(self) -> dict[str, float]:
        """Return the requests a second by model as of the last sum, for the next holder.

        The renewal of the lease needs them and must not wait for the actor.
        """
        return self._rates

    def begin_term(self, fence: int, rates: dict[str, float]) -> None:
        """Begin to give orders under a fencing token.

        :param rates: requests a second by model, as the holder before knew them.
        """
        now = self._clock()
        self._fence = fence

        def change(desk: _Desk) -> None:
            desk.provisioner.begin_term(fence, rates, now)
            desk.report_by_node.clear()

        self._desk.tell(change)
        self._wake()
        self._is_due.set()

    def set_table(self, table: RouteTable) -> None:
        """Take over a newer configuration."""
        self._desk.tell(lambda desk: desk.provisioner.set_table(table))

    def set_endpoints(self, views: dict[str, EndpointView]) -> None:
        """Take over the endpoints and what their entries say."""
        now = self._clock()
        self._desk.tell(lambda desk: desk.provisioner.set_endpoints(views.values(), now))

    def handle_report(self, report: HostReport) -> HolderView:
        """Take over a host's report, plan, and return what that host should know."""
        now = self._clock()

        def handle(desk: _Desk) -> HolderView:
            waited_s = self._clock() - now
            self._metrics.report_wait.observe(waited_s)
            self._summary.longest_wait_s = max(self._summary.longest_wait_s, waited_s)
            desk.take(report, now)
            waited_for = {key for key, wanted in report.demand_by_item.items() if wanted.waiting}
            if waited_for or now - desk.refreshed_at >= REFRESH_S:
                self._refresh_soon(desk, now)
            known = report.known_revision if report.known_fence == self._fence else -1
            expected = desk.provisioner.expected_waits(now)
            return HolderView(
                node=self._node,
                fence=self._fence,
                holds=True,
                holdings=desk.holdings_after(known),
                wait_by_item={key: expected[key] for key in waited_for if key in expected},
                addresses=tuple(r.address for r, _ in desk.report_by_node.values()),
                revision=desk.revision,
                running_by_id=desk.running_by_id,
            )

        return self._desk.ask(handle)

    def _run(self) -> None:
        while not self._stop.is_set():
            self._is_due.wait(PLAN_INTERVAL_S if self._may_order() else IDLE_INTERVAL_S)
            self._is_due.clear()
            self._stop.wait(max(0.0, self._rests_until - self._clock()))
            if self._may_order() and not self._stop.is_set():
                self._wake()

    def _wake(self) -> None:
        self._desk.tell(lambda desk: self._refresh_soon(desk, self._clock()))

    def _refresh_soon(self, desk: _Desk, now: float) -> None:
        """Sum and plan, or have it done once that takes no more than its share of the time."""
        if now < self._rests_until:
            self._is_due.set()
            return
        desk.refreshed_at = now
        desk.sum_up(now)
        self._rates = desk.provisioner.request_rates()
        self._plan(desk)
        done_at = self._clock()
        self._rests_until = done_at + (done_at - now) * (1.0 / PLAN_SHARE - 1.0)

    def _plan(self, desk: _Desk) -> None:
        if not self._may_order():
            return
        now = self._clock()
        for view in desk.provisioner.due_reports(now):
            self._submit(self._reports, lambda view=view: self._read_state(view))
        for command in desk.provisioner.plan(now):
            self._submit(self._orders, lambda command=command: self._send(command))
        desk.note_holdings()
        self._note_plan(desk, now)

    def _note_plan(self, desk: _Desk, began: float) -> None:
        now = self._clock()
        self._metrics.plan_duration.observe(now - began)
        summary = self._summary
        summary.plans += 1
        summary.longest_plan_s = max(summary.longest_plan_s, now - began)
        if now - summary.since < SUMMARY_INTERVAL_S:
            return
        status = desk.provisioner.status()
        self._metrics.missing_items.set(status.missing)
        self._log.record(
            "plan",
            outcome="summary",
            fence=self._fence,
            hosts=len(desk.report_by_node),
            plans=summary.plans,
            longest_plan_s=round(summary.longest_plan_s, 3),
            longest_wait_s=round(summary.longest_wait_s, 3),
            **attrs.asdict(status),
        )
        self._summary = _Summary(since=now)

    def _submit(self, threads: ThreadPoolExecutor, call: Callable[[], None]) -> None:
        if not self._stop.is_set():
            threads.submit(call)

    def _read_state(self, view: EndpointView) -> None:
        asked_at = self._clock()
        called = self._engines.state(view)
        if called.is_err():
            self._log.record("report", outcome=f"failed: {called.unwrap_err()}")

        def change(desk: _Desk) -> None:
            desk.provisioner.record_report(view.endpoint, called.ok(), asked_at)
            self._refresh_soon(desk, self._clock())

        self._desk.tell(change)

    def _send(self, command: OutgoingOrder) -> None:
        order, view = command.order, command.view
        # The lease may have lapsed while the order waited for a thread.
        is_sent = self._may_order()
        called = self._engines.order(view, order) if is_sent else None
        reply = called.ok() if called is not None else None
        now = self._clock()
        outcome = "lease lapsed"
        if called is not None:
            outcome = reply.value if reply else f"lost: {called.unwrap_err()}"
        self._log.record(
            "order",
            outcome=outcome,
            endpoint=view.endpoint,
            load=order.is_load,
            model=order.model,
            adapter=order.adapter,
            expected=order.expected,
            fence=order.fence,
        )

        def change(desk: _Desk) -> None:
            if not desk.provisioner.record_reply(view.endpoint, order, reply, now):
                self._on_fenced()
            self._refresh_soon(desk, self._clock())

        self._desk.tell(change)
