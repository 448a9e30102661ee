"""Exchange of reports and views between a host and the holder of the order lease."""

import itertools
import random
import threading
import time
from collections.abc import Callable, Iterable

import attrs

from catkinhook.clocks import Clock
from catkinhook.control.enginerecords import Demand
from catkinhook.control.ordercoordinator import (
    EXCHANGE_INTERVAL_S,
    MAX_MISSED_EXCHANGES,
    READERS_SETTLE_S,
    SETTLE_INTERVALS,
    OrderCoordinator,
    exchange_interval,
)
from catkinhook.control.orderleasemanager import LeaseManager
from catkinhook.errors import StepError
from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.peering.evidencepush import EvidencePush
from catkinhook.peering.exchangepacing import ExchangePacer, choose_exchange_interval
from catkinhook.peering.hostmessages import (
    MAX_SUSPECTS,
    HolderView,
    Holding,
    HostReport,
    decode_report,
    decode_view,
    encode_report,
    encode_view,
)
from catkinhook.peering.partmessages import MAX_PART_EVENTS
from catkinhook.peering.peers import PeerPool
from catkinhook.peering.readers import Member, Reader
from catkinhook.peering.thriftfields import make_refused
from catkinhook.requests.endpointavailability import LeavingEndpoint
from catkinhook.requests.hostscheduler import Scheduler
from catkinhook.requests.limitgate import LimitGate
from catkinhook.requests.partquarantine import PartEvent
from catkinhook.requests.sharedspeeds import MeasuredSpeed
from catkinhook.requests.suspects import SuspectEvent
from catkinhook.state.views import EndpointView
from catkinhook.stateactor import StateActor
from catkinhook.thrift_hosts import ttypes

# Time without an answer, or ``MAX_MISSED_EXCHANGES`` exchange intervals if longer, after which the
# holder is considered unreachable.
HOLDER_TIMEOUT_S = 1.0
# Time for which holdings in the holder's last view override the engines' entries in the store.
VIEW_TTL_S = 3.0
# Maximum seconds between exchanges of a host that has not heard of the readers of the store yet.
READERS_RETRY_S = READERS_SETTLE_S + 0.2
# Maximum age of suspect events that are resent, or ``RESENDING_EXCHANGES`` exchange intervals if
# longer; after a change of holder, all are sent.
SUSPECT_RESEND_S = 1.5
RESENDING_EXCHANGES = 3
# Maximum age of evidence about prompt parts in messages. It spans several exchanges, of which some
# may fail.
PART_EVENT_RESEND_S = 10.0


class EndpointMerger:
    """Merges endpoint entries of the store with the models and adapters that the holder reports.

    An entry in the store doesn't change when an adapter is loaded, so a recent holding from the
    holder overrides it. A merged view is cached until its entry or its holding changes: on a large
    deployment both stay the same most of the time.
    """

    def __init__(self) -> None:
        self._merged_by_id: dict[str, tuple[EndpointView, Holding, EndpointView]] = {}

    def merge(
        self, endpoint_by_id: dict[str, EndpointView], holdings: Iterable[Holding]
    ) -> dict[str, EndpointView]:
        """Return the endpoints, with holdings applied where the boot id is the same."""
        merged = dict(endpoint_by_id)
        for holding in holdings:
            entry = merged.get(holding.endpoint)
            if entry is not None and entry.boot_id == holding.boot_id:
                merged[holding.endpoint] = self._merge_one(entry, holding)
        for endpoint in self._merged_by_id.keys() - merged.keys():
            del self._merged_by_id[endpoint]
        return merged

    def _merge_one(self, entry: EndpointView, holding: Holding) -> EndpointView:
        cached = self._merged_by_id.get(entry.endpoint)
        if cached is not None and cached[0] is entry and cached[1] is holding:
            return cached[2]
        view = attrs.evolve(
            entry, models=holding.models, adapters=holding.adapters, sequence=holding.sequence
        )
        self._merged_by_id[entry.endpoint] = (entry, holding, view)
        return view


class HolderLink:
    """Service that sends reports to the holder and applies the views in its answers.

    :param member: this host as a possible reader of the store.
    :param coordinator: answers reports while this host itself is the holder.
    :param clock: clock that also advances while the host is suspended.
    """

    def __init__(
        self,
        node: str,
        member: Member,
        incarnation: str,
        scheduler: StateActor[Scheduler],
        coordinator: OrderCoordinator,
        pool: PeerPool,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        self._node = node
        self._member = member
        self._address = member.address
        self._incarnation = incarnation
        self._scheduler = scheduler
        self._coordinator = coordinator
        self._pool = pool
        self._log = log
        self._clock = clock
        self._lease: LeaseManager | None = None
        self._read_configuration_version: Callable[[], int] = lambda: 0
        self._fetch_newer_configuration: Callable[[str], None] = lambda address: None
        self._set_readers: Callable[[tuple[Reader, ...]], None] = lambda readers: None
        self._is_reader: Callable[[], bool] = lambda: False
        self._limits: LimitGate | None = None
        self._limit_numbers = itertools.count(1)
        self._newer_configuration_address = ""
        self._exchange_requested = threading.Event()
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._endpoint_by_id: dict[str, EndpointView] = {}
        self._entries_received_at = float("-inf")
        self._holding_by_id: dict[str, Holding] = {}
        self._endpoint_merger = EndpointMerger()
        # Fencing token and revision of the latest view.
        self._known_view = (0, 0)
        self._view_received_at = float("-inf")
        self._was_reachable = False
        self._host_addresses: tuple[str, ...] = ()
        self._host_count = 0
        # Revision of the list of addresses.
        self._known_members = -1
        self._members_fence = -1
        self._knows_readers = False
        self._pacer = ExchangePacer()
        self.is_stopping = False
        self._evidence_push = EvidencePush(
            self._other_addresses, self._send_evidence, random.Random()
        )
        self._thread = threading.Thread(target=self._run, name="holder-link", daemon=True)

    def set_dependencies(
        self,
        lease: LeaseManager,
        read_configuration_version: Callable[[], int],
        fetch_newer_configuration: Callable[[str], None],
        set_readers: Callable[[tuple[Reader, ...]], None] = lambda readers: None,
        is_reader: Callable[[], bool] = lambda: False,
        limits: LimitGate | None = None,
    ) -> None:
        """Set the services that are created after this one; call it before ``start``.

        :param read_configuration_version: returns the version of the configuration in force here.
        :param fetch_newer_configuration: fetches a newer configuration from the host at an address.
        :param set_readers: sets the readers of the store that the holder chose.
        :param is_reader: tells whether the holder chose this host as a reader of the store.
        :param limits: limits of workspaces, None if none is enforced.
        """
        self._lease = lease
        self._read_configuration_version = read_configuration_version
        self._fetch_newer_configuration = fetch_newer_configuration
        self._set_readers = set_readers
        self._is_reader = is_reader
        self._limits = limits
        self._coordinator.count_known_hosts = lambda: self._host_count

    def start(self) -> None:
        """Start the threads."""
        self._evidence_push.start()
        self._thread.start()

    def close(self) -> None:
        """Stop the threads without waiting for a call in progress."""
        self._evidence_push.close()
        self._stop.set()
        self._exchange_requested.set()

    def request_exchange(self) -> None:
        """Start the next exchange as soon as the minimum interval allows; a request is waiting."""
        self._exchange_requested.set()

    def push_evidence(self) -> None:
        """Send the evidence about prompt parts to other hosts; it has changed."""
        self._evidence_push.request()
        self._exchange_requested.set()

    def is_holder_reachable(self) -> bool:
        """Whether the holder answered recently."""
        interval = self._max_exchange_interval()
        return self._clock() - self._view_received_at < max(
            HOLDER_TIMEOUT_S, MAX_MISSED_EXCHANGES * interval
        )

    def host_count(self) -> int:
        """Return the number of hosts that reported to the holder recently, 0 if it isn't known."""
        return self._host_count

    def peer_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the hosts that reported to the holder recently."""
        return self._host_addresses

    def set_endpoints(self, endpoint_by_id: dict[str, EndpointView]) -> None:
        """Replace the endpoints with those of the store's entries."""
        with self._lock:
            self._endpoint_by_id, self._entries_received_at = endpoint_by_id, self._clock()
        self._coordinator.set_endpoints(endpoint_by_id)
        self._update_scheduler()

    def make_report(self, is_for_holder: bool = True) -> HostReport:
        """Return this host's report to the holder.

        :param is_for_holder: false for a report to other hosts, which contains no measured speeds:
            they are sent only once.
        """
        now = time.monotonic()
        max_age = self._suspect_resend_s() if self._known_view[0] else float("inf")

        def read_state(
            scheduler: Scheduler,
        ) -> tuple[
            dict,
            dict,
            set[str],
            list[SuspectEvent],
            list[PartEvent],
            list[LeavingEndpoint],
            dict,
            tuple[MeasuredSpeed, ...] | None,
        ]:
            return (
                scheduler.demand(now),
                scheduler.count_running(),
                scheduler.down_endpoints(now),
                scheduler.suspects.events(now, MAX_SUSPECTS, max_age),
                scheduler.parts.events(now, MAX_PART_EVENTS, PART_EVENT_RESEND_S),
                scheduler.leaving_endpoints(),
                scheduler.report_tokens(is_for_holder),
                scheduler.report_speeds(is_for_holder, now),
            )

        demand, running, down, events, part_events, leaving, tokens, speeds = self._scheduler.ask(
            read_state
        )
        return HostReport(
            node=self._node,
            address=self._address,
            incarnation=self._incarnation,
            configuration=self._read_configuration_version(),
            demand_by_item={
                key: Demand(rate=rate, unmet=unmet, waiting=waiting, running=count)
                for key, (rate, unmet, waiting, count) in demand.items()
            },
            running_by_use=running,
            down=frozenset(down),
            suspects=tuple(events),
            part_events=tuple(part_events),
            leaving=tuple(leaving),
            stopping=self.is_stopping,
            known_fence=self._known_view[0],
            known_revision=self._known_view[1],
            zone=self._member.zone,
            cores=self._member.cores,
            known_members=self._known_members,
            tokens_by_use=tokens,
            speeds=speeds,
        )

    def handle_report(self, report: HostReport) -> HolderView:
        """Return the view for another host's report, or for this host's own.

        A host that does not hold the lease only exchanges evidence about prompt parts.
        """
        self._merge_part_events(report.part_events)
        if not self._lease.is_held():
            return HolderView(
                node=self._node, fence=0, holds=False, part_events=self._read_part_events()
            )
        self._log_limit_faults(report.limit_faults, report.node)
        view = self._coordinator.handle_report(report)
        if report.configuration > self._read_configuration_version():
            # All hosts learn of new configurations from the holder. The store may be unavailable to
            # the holder, so it fetches the configuration from the host that reported it.
            self._newer_configuration_address = report.address
            self._exchange_requested.set()
        self._merge_suspects(report.suspects)
        self._merge_leaving(report.leaving, report.node)
        now = time.monotonic()
        is_known = report.known_fence == view.fence
        max_age = self._suspect_resend_s() if is_known else float("inf")
        events, leaving = self._scheduler.ask(
            lambda s: (s.suspects.events(now, MAX_SUSPECTS, max_age), s.leaving_endpoints())
        )
        configuration = self._read_configuration_version()
        # The receiver takes the version of the view as that of its shares.
        is_current = view.limit_version == configuration
        return attrs.evolve(
            view,
            limit_shares=view.limit_shares if is_current else None,
            configuration=configuration,
            suspects=tuple(events),
            part_events=self._read_part_events(),
            leaving=tuple(leaving),
            lease_version=self._lease.version(),
        )

    def _run(self) -> None:
        interval = EXCHANGE_INTERVAL_S
        while not self._stop.is_set():
            self._exchange_requested.wait(interval)
            now = time.monotonic()
            self._stop.wait(max(0.0, self._pacer.next_at(now, self._host_count) - now))
            self._exchange_requested.clear()
            if self._stop.is_set():
                return
            self._pacer.record_exchange(time.monotonic(), self._host_count)
            try:
                interval = self._exchange()
            except Exception as error:
                # An invalid message must not end the thread.
                self._log.record("exchange", outcome=f"failed: {error!r}")
                interval = EXCHANGE_INTERVAL_S

    def _exchange(self) -> float:
        """Exchange once; return the seconds until the next exchange."""
        newer_address, self._newer_configuration_address = self._newer_configuration_address, ""
        if newer_address:
            self._fetch_newer_configuration(newer_address)
        reported_at = self._clock()
        view = self._exchange_with_holder()
        if self._limits is not None:
            self._limits.record_exchange(view is not None and view.holds)
        if view is not None:
            self._merge_part_events(view.part_events)
        if view is not None and view.holds:
            with self._lock:
                if view.fence != self._known_view[0]:
                    self._holding_by_id.clear()
                self._holding_by_id |= {h.endpoint: h for h in view.holdings}
                self._known_view = (view.fence, view.revision)
                self._view_received_at = self._clock()
            is_new_term = view.fence != self._members_fence
            if view.members != self._known_members or is_new_term or not view.members:
                self._host_addresses = view.addresses
            self._known_members, self._members_fence = view.members, view.fence
            self._host_count = max(view.host_count, len(view.addresses))
            if view.readers is not None:
                self._knows_readers = True
                self._set_readers(view.readers)
            self._lease.confirm(view.lease_version, view.fence)
            self._merge_suspects(view.suspects)
            self._merge_leaving(view.leaving, view.node)
            self._apply_limits(view, reported_at)
            if view.configuration > self._read_configuration_version():
                self._fetch_newer_configuration(self._holder_address())
            self._update_scheduler(view)
        elif view is not None:
            # The queried host no longer holds the lease. The holder is considered unreachable, so
            # that another host can acquire the lease at once.
            self._view_received_at = float("-inf")
        is_reachable = self.is_holder_reachable()
        if is_reachable != self._was_reachable:
            self._was_reachable = is_reachable
            outcome = "regained" if is_reachable else "lost"
            self._log.record("dependency", outcome=outcome, name="holder")
        missing = self._scheduler.ask(lambda scheduler: scheduler.missing_items(time.monotonic()))
        waits = view.wait_by_item if view is not None else {}
        interval = choose_exchange_interval(missing, waits, self._host_count)
        return min(interval, self._max_exchange_interval())

    def _max_exchange_interval(self) -> float:
        """Return the seconds between exchanges without waiting requests.

        Only hosts that follow the store can replace a lost holder, so they notice the loss early.
        """
        if self._is_reader():
            return EXCHANGE_INTERVAL_S
        interval = exchange_interval(self._host_count)
        # At the start of a deployment, each host reads the store until it knows the readers.
        return interval if self._knows_readers else min(interval, READERS_RETRY_S)

    def _exchange_with_holder(self) -> HolderView | None:
        if self._lease.is_held():
            return self.handle_report(self._make_holder_report())
        record = self._lease.holder()
        if record is None or record.address == self._address:
            self._scheduler.ask(lambda scheduler: scheduler.dispatch_waiting(time.monotonic()))
            return None
        now = time.monotonic()
        struct = encode_report(self._make_holder_report(), now)
        result = self._pool.call(record.address, "exchange", struct)
        if result.is_err():
            self._scheduler.ask(lambda scheduler: scheduler.dispatch_waiting(time.monotonic()))
            return None
        return decode_view(result.unwrap(), time.monotonic())

    def _make_holder_report(self) -> HostReport:
        """Return the report with the uses of limits, which only one exchange at a time may carry.

        The holder takes what a report does not name as released.
        """
        report = self.make_report()
        uses = None if self._limits is None else self._limits.report()
        if uses is None:
            return report
        return attrs.evolve(report, limit_uses=uses, limit_number=next(self._limit_numbers))

    def _apply_limits(self, view: HolderView, reported_at: float) -> None:
        self._log_limit_faults(view.limit_faults, view.node)
        if self._limits is not None and view.limit_shares is not None:
            self._limits.apply(view.limit_shares, reported_at, view.configuration, self._host_count)

    def _log_limit_faults(self, faults: tuple[str, ...], peer: str) -> None:
        if faults:
            self._log.record("limit", outcome=f"ignored: {faults[0]}", peer=peer, count=len(faults))

    def _holder_address(self) -> str:
        record = self._lease.holder()
        return record.address if record is not None else ""

    def _suspect_resend_s(self) -> float:
        interval = exchange_interval(self._host_count)
        return max(SUSPECT_RESEND_S, RESENDING_EXCHANGES * interval)

    def _other_addresses(self) -> list[str]:
        return [address for address in self._host_addresses if address != self._address]

    def _send_evidence(self, address: str) -> None:
        try:
            # The peer may hold the lease, so it has to get a complete report.
            struct = encode_report(self.make_report(is_for_holder=False), time.monotonic())
            result = self._pool.call(address, "exchange", struct)
            # Peers that can't be reached learn from others.
            if result.is_ok():
                self._merge_part_events(decode_view(result.unwrap(), time.monotonic()).part_events)
        except Exception as error:
            self._log.record("exchange", outcome=f"failed: {error!r}")

    def _read_part_events(self) -> tuple[PartEvent, ...]:
        now = time.monotonic()
        return tuple(
            self._scheduler.ask(lambda s: s.parts.events(now, MAX_PART_EVENTS, PART_EVENT_RESEND_S))
        )

    def _merge_part_events(self, events: Iterable[PartEvent]) -> None:
        now = time.monotonic()
        events = list(events)

        def merge(scheduler: Scheduler) -> None:
            if scheduler.parts.merge(events, now):
                self._evidence_push.request()
                # Refuses queued requests with a part that is quarantined now.
                scheduler.dispatch_waiting(now)

        if events:
            self._scheduler.tell(merge)

    def _merge_suspects(self, events: Iterable[SuspectEvent]) -> None:
        now = time.monotonic()
        events = list(events)
        if events:
            self._scheduler.tell(lambda scheduler: scheduler.suspects.merge(events, now))

    def _merge_leaving(self, endpoints: tuple[LeavingEndpoint, ...], source: str) -> None:
        now = time.monotonic()
        if endpoints:
            self._scheduler.tell(lambda scheduler: scheduler.record_leaving(endpoints, source, now))

    def _update_scheduler(self, view: HolderView | None = None) -> None:
        with self._lock:
            is_recent = self._clock() - self._view_received_at < VIEW_TTL_S
            # During a store outage, an old view can still be newer than the entries.
            is_newer = self._view_received_at > self._entries_received_at
            holdings = self._holding_by_id.values() if is_recent or is_newer else ()
            endpoints = self._endpoint_merger.merge(self._endpoint_by_id, holdings)
        host_count = self._host_count
        now = time.monotonic()

        def update(scheduler: Scheduler) -> None:
            if view is not None:
                settle_s = SETTLE_INTERVALS * exchange_interval(host_count)
                scheduler.record_host_count(max(1, host_count), settle_s, now)
                for endpoint in endpoints:
                    scheduler.record_load(endpoint, view.running_by_id.get(endpoint, 0), 0, now)
                lag_s = exchange_interval(host_count) / 2
                scheduler.record_usage(
                    view.running_by_id, view.tokens_by_id, host_count, lag_s, now
                )
                scheduler.record_speeds(view.speeds or (), now)
                scheduler.set_forecast(view.wait_by_item, now)
            scheduler.set_endpoints(endpoints, now)

        self._scheduler.tell(update)


class HostHandler:
    """Thrift handler of a host.

    :param handle_report: returns the view for a report.
    :param follow: returns what is newer than a known state.
    :param credit: answers a call for credit.
    """

    def __init__(
        self,
        handle_report: Callable[[HostReport], HolderView],
        follow: Callable[[ttypes.KnownState], ttypes.SharedState],
        credit: Callable[[ttypes.CreditRequest], ttypes.CreditAnswer],
    ) -> None:
        self._credit = credit
        self._handle_report = handle_report
        self._follow = follow

    def exchange(self, report: ttypes.HostReport) -> ttypes.HolderView:
        """Return the view for a host's report."""
        now = time.monotonic()
        try:
            return encode_view(self._handle_report(decode_report(report, now)), now)
        except StepError as error:
            raise make_refused(error) from error

    def follow(self, known: ttypes.KnownState) -> ttypes.SharedState:
        """Return the shared state that is newer than the caller's."""
        try:
            return self._follow(known)
        except StepError as error:
            raise make_refused(error) from error

    def credit(self, request: ttypes.CreditRequest) -> ttypes.CreditAnswer:
        """Return the credit that the holder grants to a host."""
        try:
            return self._credit(request)
        except StepError as error:
            raise make_refused(error) from error
