"""Host daemon: serves callers and sends orders to engines in one process."""

import hashlib
import os
import random
import signal
import threading
import time
import uuid
from collections.abc import Callable, Iterable
from typing import Protocol

import attrs
from result import Result

from catkinhook import __version__
from catkinhook.addresses import split_address
from catkinhook.allocator import limit_kept_memory
from catkinhook.callerresets import IDLE, CallerReset
from catkinhook.clocks import boot_clock
from catkinhook.control.ordercoordinator import OrderCoordinator
from catkinhook.control.orderlease import OrderLease
from catkinhook.control.orderleasemanager import LeaseManager
from catkinhook.control.provisioning import Provisioner
from catkinhook.control.sequencedorders import SequencedEngineClient
from catkinhook.durable.quarantinerow import QuarantineKeeper
from catkinhook.hostsettings import HostSettings
from catkinhook.hoststate import HostState
from catkinhook.kernel import Kernel
from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.operations.hostmetrics import HostMetrics
from catkinhook.operations.processortime import ProcessorTimeLogger
from catkinhook.peering.creditlink import CALL_TIMEOUT_S as CREDIT_TIMEOUT_S
from catkinhook.peering.creditlink import CreditLink
from catkinhook.peering.holderlink import HolderLink, HostHandler
from catkinhook.peering.peers import COMPACT_PROTOCOL, PeerPool, PeerServer
from catkinhook.peering.readers import Member, SourceSelector
from catkinhook.peering.sharedstate import (
    StateSource,
    StoreFollower,
    fetch_configuration,
    fetch_entries,
)
from catkinhook.requests.attempts import ConnectionPool
from catkinhook.requests.disconnectmonitor import DisconnectMonitor
from catkinhook.requests.endpointavailability import (
    LEAVING,
    OWN_SOURCE,
    PAUSED,
    AvailabilityChange,
    EndpointAvailability,
    PauseEnds,
)
from catkinhook.requests.forwarding import Forwarder
from catkinhook.requests.hostscheduler import Scheduler
from catkinhook.requests.limitbound import LimitBound
from catkinhook.requests.limitgate import LimitGate
from catkinhook.requests.memorybudget import MemoryBudget, derive_limit
from catkinhook.requests.partquarantine import Quarantine
from catkinhook.requests.quarantinecontrol import QuarantineControl
from catkinhook.requests.routetable import RetryMode, RouteTable
from catkinhook.signals import receive_signals
from catkinhook.state.storeinterfaces import ChangeFeed, ConditionalRow
from catkinhook.state.storewatches import ConfigurationWatch, EndpointWatch, StoreGate
from catkinhook.state.views import EndpointView
from catkinhook.stateactor import StateActor
from catkinhook.taskdispatcher import OnDemandDispatcher
from catkinhook.thrift_hosts import Host as HostInterface
from catkinhook.unanswered import CALLER_CLOSED, UnansweredRequest
from catkinhook.units import KIB, MIB
from catkinhook.wsgiserver import Server

# Maximum number of requests in progress on one host; each occupies a thread.
MAX_REQUESTS = 224
SPARE_THREADS = 6
# Threads of the request path need little stack; the default reserves 8 MB of address space each.
THREAD_STACK_BYTES = 512 * KIB
# Connections of callers, if there are descriptors for them.
CONNECTION_LIMIT = 1500
# Descriptors for files, which the platform reserves.
RESERVED_DESCRIPTORS = 200
# Shares of the other descriptors for callers and for idle connections to endpoints.
CALLERS_SHARE = 0.6
IDLE_SHARE = 0.2
# Share of the connections that an endpoint accepts from all hosts that may be idle.
IDLE_ENDPOINT_SHARE = 0.5
MAX_HEADER_BYTES = 64 * KIB
MAX_BODY_BYTES = 8 * MIB
# Output of one caller that is not sent yet, beyond which the thread of its request waits. The
# endpoint then has to wait, too.
MAX_UNSENT_BYTES = 64 * KIB
# Much longer than callers' own idle timeouts, so that callers close idle connections first.
CHANNEL_TIMEOUT_S = 120
CALLER_CHECK_INTERVAL_S = 0.1
PEER_TIMEOUT_S = 0.5
# Time after the start of the process in which the store is read only once. Many hosts may have
# started at once, and learn soon which of them are to follow the store.
START_PAUSE_S = 2.5
# CPU capacity, in ordinary cores, from which a host acquires a free lease without delay. Larger
# hosts are preferred, because the holder of 75 hosts answers up to 250 exchanges a second.
IMMEDIATE_ACQUIRE_CORES = 1.0
# Maximum time for which a small host waits for larger hosts to acquire a free lease.
MAX_ACQUIRE_DELAY_S = 1.0
# The listener stays open this long after SIGTERM, until two readiness checks of the load balancer
# have failed.
UNREADY_NOTICE_S = 3.0
# Time between the end of the process and SIGKILL.
KILL_MARGIN_S = 0.35
STOP_POLL_S = 0.05
# Maximum time at the end of a stop for answering requests, and again for closing connections. Both
# must fit into ``KILL_MARGIN_S``.
CLOSE_TIMEOUT_S = 0.15
CLOSE_POLL_S = 0.005


class ApplicationFactory(Protocol):
    """Factory of the WSGI application for callers."""

    def __call__(
        self,
        get_route_table: Callable[[], RouteTable | None],
        forwarder: Forwarder,
        connections: ConnectionPool,
        availability: EndpointAvailability,
        state: HostState,
    ) -> Callable:
        """Return the application."""


@attrs.frozen(kw_only=True)
class Platform:
    """Dependencies of a host on the platform that it runs on.

    :ivar configuration_key: key of the configuration's row.
    :ivar quarantine_row: row in which the quarantines outlast all hosts.
    :ivar find_request_id: returns the caller's id of a request with these headers, empty for none.
    :ivar make_front_application: creates the application for callers.
    :ivar make_readiness_application: creates the application for the readiness check, the metrics
        and the operators' view of quarantines.
    :ivar store_calls: returns the number of calls to the store since the start, by purpose.
    :ivar watch_store_era: sets a function that is called with the previous and the new era when the
        store has come back from an older copy.
    """

    configuration_feed: ChangeFeed
    configuration_key: str
    endpoint_feed: ChangeFeed
    lease_row: ConditionalRow
    quarantine_row: ConditionalRow
    engines: SequencedEngineClient
    decode_configuration: Callable[[bytes], Result[RouteTable, str]]
    decode_endpoint: Callable[[str, bytes], Result[EndpointView, str]]
    find_request_id: Callable[[Iterable[tuple[str, str]]], str]
    make_front_application: ApplicationFactory
    make_readiness_application: Callable[
        [HostState, Callable[[], bytes], QuarantineControl], Callable
    ]
    store_calls: Callable[[], dict[str, int]] = dict
    watch_store_era: Callable[[Callable[[int, int], object]], None] = lambda on_era: None


class WebListener:
    """Service that runs a waitress server in a thread.

    :param memory: account of the bytes that connections hold.
    :param connection_limit: connections that are open at the same time.
    :param on_accept_error: called when a connection can't be accepted.
    :param on_unanswered: called for each whole request that gets no complete answer.
    :param on_reset: called for each connection that its caller reset without such a request.
    :ivar is_listening: whether connections are accepted.
    """

    def __init__(
        self,
        application: Callable,
        address: str,
        threads: int,
        name: str,
        memory: MemoryBudget,
        on_unanswered: Callable[[UnansweredRequest], None] | None = None,
        on_reset: Callable[[CallerReset], None] | None = None,
        connection_limit: int = CONNECTION_LIMIT,
        on_accept_error: Callable[[], object] = lambda: None,
    ) -> None:
        self._connection_limit = connection_limit
        self._on_accept_error = on_accept_error
        self._memory = memory
        self._application = application
        self._address = address
        self._threads = threads
        self._name = name
        self._on_unanswered = on_unanswered
        self._on_reset = on_reset
        self.is_listening = False

    def start(self) -> None:
        """Bind the address and start to serve."""
        host, port = split_address(self._address)
        self.server = Server(
            self._application,
            host=host,
            port=port,
            threads=self._threads,
            dispatcher=OnDemandDispatcher(self._threads),
            backlog=1024,
            connection_limit=self._connection_limit,
            max_request_header_size=MAX_HEADER_BYTES,
            max_request_body_size=MAX_BODY_BYTES,
            inbuf_overflow=MAX_BODY_BYTES + MIB,
            outbuf_overflow=MAX_BODY_BYTES + MIB,
            outbuf_high_watermark=MAX_UNSENT_BYTES,
            channel_request_lookahead=1,
            channel_timeout=CHANNEL_TIMEOUT_S,
            asyncore_use_poll=True,
            log_socket_errors=False,
            send_bytes=1,
            ident="catkinhook",
        )
        self.server.memory = self._memory
        self.server.on_accept_error = self._on_accept_error
        self.is_listening = True
        if self._on_unanswered is not None:
            self.server.on_unanswered = self._on_unanswered
        if self._on_reset is not None:
            self.server.on_reset = self._on_reset
        self._thread = threading.Thread(target=self.server.run, name=self._name, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Close the listening socket and all connections."""
        self.server.shut_down()
        self._thread.join(timeout=0.2)


class Host:
    """All services of one host.

    :param settings: validated settings.
    :param platform: dependencies on the platform.
    """

    def __init__(self, settings: HostSettings, platform: Platform) -> None:
        self._settings = settings
        bounds = settings.bounds
        limit_bound = LimitBound(
            window_s=bounds.limit_window_s,
            overage=bounds.limit_overage,
            slack=bounds.limit_slack,
        )
        self.incarnation = incarnation = uuid.uuid4().hex[:12]
        origin = f"{settings.node}/{incarnation}"
        self.metrics = HostMetrics()
        self.log = DecisionLog(settings.node, self.metrics.registry)
        self.state = HostState(MAX_REQUESTS, bounds.grace_s, self._explain_unready, self.log)
        rng = random.Random()
        availability = EndpointAvailability()
        availability.on_change = self._record_availability
        self._pause_ends = PauseEnds(availability)
        scheduler = StateActor(
            Scheduler(
                settings.zone,
                origin,
                bounds,
                rng,
                time.monotonic(),
                self._record_quarantine,
                lambda: self.lease.is_held(),
                availability,
                lambda reason: self.metrics.selections.labels(reason).inc(),
                self.metrics.forecast_error.observe,
            )
        )
        self._scheduler = scheduler
        sockets = max(1, settings.max_descriptors - RESERVED_DESCRIPTORS)
        self._endpoint_by_id: dict[str, EndpointView] = {}
        self._connections = connections = ConnectionPool(max(1, int(IDLE_SHARE * sockets)))
        disconnect_monitor = DisconnectMonitor(CALLER_CHECK_INTERVAL_S)
        secret = derive_secret(settings)
        pool = PeerPool(
            secret, PEER_TIMEOUT_S, interface=HostInterface, protocol_factory=COMPACT_PROTOCOL
        )
        coordinator = OrderCoordinator(
            settings.node,
            Provisioner(settings.node, bounds),
            platform.engines,
            lambda: self.lease.is_held(),
            lambda: self.lease.step_down("an engine has seen a higher fencing token"),
            self.metrics,
            self.log,
            boot_clock,
            lambda: self.follower.readers,
            limit_bound,
        )
        cores = settings.processor_share * settings.core_speed
        self.holder_link = HolderLink(
            settings.node,
            Member(address=settings.peer_address, zone=settings.zone, cores=cores),
            incarnation,
            scheduler,
            coordinator,
            pool,
            self.log,
            boot_clock,
        )
        limits = LimitGate(
            boot_clock,
            self.metrics,
            self.log,
            self.holder_link.request_exchange,
            limit_bound,
            bounds.limit_faults,
        )
        gate = StoreGate(START_PAUSE_S)
        self.lease = LeaseManager(
            OrderLease(
                settings.node, settings.peer_address, bounds.lease_s, bounds.engines_check_fences
            ),
            platform.lease_row,
            self.holder_link.is_holder_reachable,
            coordinator.begin_term,
            coordinator.request_rates,
            self.log,
            boot_clock,
            choose_acquire_delay(cores),
            may_read=lambda: gate.is_open,
            on_change=self._record_holder_change,
        )

        self._quarantine_keeper = QuarantineKeeper(
            platform.quarantine_row, scheduler, self.lease.is_held, self.log
        )

        def set_table(table: RouteTable) -> None:
            scheduler.tell(lambda s: s.set_table(table))
            coordinator.set_table(table)
            limits.set_table(table)
            self._limit_connections(table, self._endpoint_by_id)

        self.configuration = ConfigurationWatch(
            platform.configuration_feed,
            platform.configuration_key,
            platform.decode_configuration,
            set_table,
            lambda known, first: fetch_configuration(
                pool, self._peer_addresses(), known, rng, first
            ),
            self.log,
            gate,
            self._notify_followers,
        )
        self.endpoints = EndpointWatch(
            platform.endpoint_feed,
            platform.decode_endpoint,
            self._set_endpoints,
            lambda known: fetch_entries(pool, self._peer_addresses(), known, rng),
            self.log,
            bounds.drain_s,
            gate,
            self._notify_followers,
        )
        self.state_source = StateSource(self.endpoints, self.configuration, self.lease)
        # A call to a reader is held, and other calls on its connection would wait.
        reader_pool = PeerPool(
            secret, PEER_TIMEOUT_S, interface=HostInterface, protocol_factory=COMPACT_PROTOCOL
        )
        self.follower = StoreFollower(
            SourceSelector(settings.node, settings.zone, settings.peer_address, rng),
            self.state_source,
            reader_pool,
            gate,
            self.endpoints,
            self.configuration,
            self.lease,
            self.lease.is_held,
            bounds.drain_s,
            self.metrics,
            self.log,
        )
        self.holder_link.set_dependencies(
            self.lease,
            lambda: self.configuration.version,
            self.configuration.fetch_newer,
            self.follower.set_readers,
            lambda: self.follower.is_reader,
            limits,
        )
        credit_pool = PeerPool(
            secret,
            CREDIT_TIMEOUT_S,
            interface=HostInterface,
            protocol_factory=COMPACT_PROTOCOL,
            repeats=False,
        )
        self.credit_link = CreditLink(
            settings.node,
            settings.peer_address,
            incarnation,
            self.lease,
            coordinator.limits,
            limits,
            credit_pool,
            self.holder_link.request_exchange,
            self.metrics,
            self.log,
            boot_clock,
        )
        limits.set_credit_link(self.credit_link.request)
        handler = HostHandler(
            self.holder_link.handle_report, self.state_source.follow, self.credit_link.handle
        )
        self.memory = MemoryBudget(derive_limit(settings.memory_mb), self._record_eviction)
        self._forwarder = forwarder = Forwarder(
            scheduler,
            disconnect_monitor,
            self.metrics,
            self.log,
            self.holder_link.request_exchange,
            self.holder_link.push_evidence,
            self.memory,
            limits,
        )
        front = platform.make_front_application(
            self.configuration.current_table, forwarder, connections, availability, self.state
        )
        threads = MAX_REQUESTS + SPARE_THREADS
        self._find_request_id = platform.find_request_id
        self._store_calls = platform.store_calls
        self.front = WebListener(
            front,
            settings.front_address,
            threads,
            "front",
            self.memory,
            self._record_unanswered,
            self._record_reset,
            min(CONNECTION_LIMIT, int(CALLERS_SHARE * sockets)),
            self._record_accept_error,
        )
        control = QuarantineControl(scheduler, self.holder_link.push_evidence)
        ready = platform.make_readiness_application(self.state, self._render_metrics, control)
        platform.watch_store_era(self._record_store_era)
        self._gate = gate
        self.kernel = Kernel()
        for name, service in (
            ("log", self.log),
            ("processor-time", ProcessorTimeLogger(self.log)),
            ("scheduler", scheduler),
            ("pause-ends", self._pause_ends),
            ("connections", connections),
            ("caller-watch", disconnect_monitor),
            ("peer-pool", pool),
            ("reader-pool", reader_pool),
            ("credit-pool", credit_pool),
            ("holder", coordinator),
            (
                "peer-server",
                PeerServer(
                    settings.peer_address,
                    handler,
                    secret,
                    interface=HostInterface,
                    protocol_factory=COMPACT_PROTOCOL,
                ),
            ),
            ("ready", WebListener(ready, settings.ready_address, 1, "ready", self.memory)),
            ("configuration", self.configuration),
            ("endpoints", self.endpoints),
            ("holder-link", self.holder_link),
            ("credit-link", self.credit_link),
            ("lease", self.lease),
            ("quarantine-keeper", self._quarantine_keeper),
            ("store-follower", self.follower),
            ("front", self.front),
        ):
            self.kernel.register(name, service)

    def _peer_addresses(self) -> list[str]:
        own = self._settings.peer_address
        addresses = dict.fromkeys((*self.holder_link.peer_addresses(), *self._settings.seeds))
        return [address for address in addresses if address != own]

    def _notify_followers(self) -> None:
        self.state_source.notify()

    def _record_holder_change(self) -> None:
        """Tell followers of the new holder, and report to it."""
        self.state_source.notify()
        self.holder_link.request_exchange()
        self.credit_link.connect()

    def _set_endpoints(self, endpoint_by_id: dict[str, EndpointView]) -> None:
        """Apply the entries of endpoints."""
        self._endpoint_by_id = endpoint_by_id
        self.holder_link.set_endpoints(endpoint_by_id)
        if self.configuration.table is not None:
            self._limit_connections(self.configuration.table, endpoint_by_id)

    def _limit_connections(
        self, table: RouteTable, endpoint_by_id: dict[str, EndpointView]
    ) -> None:
        """Limit the idle connections to endpoints, and close those to endpoints that are gone."""
        # Only requests that may be repeated use an idle connection.
        using = {
            name
            for route in table.routes
            if route.retry_mode is not RetryMode.NEVER
            for name, _ in route.weight_by_service
        }
        service_by_name = {
            name: service for name, service in table.service_by_name.items() if name in using
        }
        share = IDLE_ENDPOINT_SHARE / max(1, self.holder_link.host_count())
        self._connections.set_limits(
            {
                view.address: max(1, int(service_by_name[view.service].max_connections * share))
                for view in endpoint_by_id.values()
                if not view.leaving and view.service in service_by_name
            }
        )

    def _record_accept_error(self) -> None:
        """Give up idle connections to endpoints, which may be all that uses up the descriptors."""
        self.metrics.accept_errors.inc()
        closed = self._connections.close_idle()
        if closed:
            self.log.record("connections", outcome="idle ones were given up", closed=closed)

    def _record_store_era(self, previous: int, era: int) -> None:
        """Read anew what the store may have lost, after it has come back from an older copy."""
        self.metrics.store_eras.inc()
        holder = self.lease.holder()
        self.log.record(
            "store",
            outcome="new era",
            era=era,
            previous=previous,
            configuration=self.configuration.version,
            endpoints=self.endpoints.count(),
            fence=holder.fence if holder is not None else 0,
            is_holder=self.lease.is_held(),
        )
        self.lease.notice_era()
        self._quarantine_keeper.notice_era()
        if self._gate.is_open:
            self._gate.wake()

    def _explain_unready(self) -> str:
        if self.configuration.table is None:
            return "no configuration is known yet"
        if not self.endpoints.is_loaded:
            return "no endpoints are known yet"
        if not self.front.is_listening:
            return "the host does not accept connections yet"
        if self.front.server.is_full():
            return "the host can't accept connections at present"
        return ""

    def _record_quarantine(self, quarantine: Quarantine, change: str, now: float) -> None:
        """Log a change of a quarantine and tell other hosts."""
        if change.startswith("added"):
            # Sent in the actor's next turn, when the quarantine is in force.
            self._scheduler.tell(
                lambda scheduler: self._forwarder.cancel_attempts(scheduler.quarantined_attempts())
            )
        self.log.record(
            "quarantine",
            outcome=change,
            parts=quarantine.units,
            crashes=quarantine.describe_crashes(now),
            strikes=quarantine.strikes,
            hold_s=quarantine.hold_s,
        )
        self.holder_link.push_evidence()

    def _record_availability(self, change: AvailabilityChange) -> None:
        """Log a change of what an endpoint wants, and decide again on the requests that wait."""
        is_own = change.source == OWN_SOURCE
        self.metrics.availability.labels(change.state, "answer" if is_own else "host").inc()
        self.log.record(
            "availability",
            outcome=change.state,
            endpoint=change.endpoint,
            address=change.address,
            boot_id=change.boot_id,
            source=change.source,
            age_s=round(change.age_s, 3),
            pause_s=round(change.pause_s, 3),
        )
        now = time.monotonic()
        self._scheduler.tell(lambda scheduler: scheduler.dispatch_waiting(now))
        if change.state == PAUSED:
            self._pause_ends.notice()
        if change.state == LEAVING and is_own:
            # The holder starts another copy of what the endpoint has.
            self.holder_link.request_exchange()

    def _render_metrics(self) -> bytes:
        self.metrics.in_progress.set(self.state.in_progress)
        self.metrics.held_bytes.set(self.memory.held)
        self.metrics.idle_connections.set(self._connections.count_idle())
        self.metrics.state_age.set(self.endpoints.seconds_since_contact())
        for purpose, count in self._store_calls().items():
            self.metrics.store_calls.labels(purpose).set(count)
        return self.metrics.render()

    def _record_eviction(self, kind: str, size: int) -> None:
        self.metrics.evictions.labels(kind).inc()
        self.log.record(
            "memory", outcome=f"evicted: {kind}", bytes=size, limit_bytes=self.memory.limit
        )

    def _record_unanswered(self, unanswered: UnansweredRequest) -> None:
        self.metrics.unanswered.labels(unanswered.why).inc()
        # Callers often leave, and then the line of the request says so, unless none was begun.
        if unanswered.why != CALLER_CLOSED or not unanswered.has_begun:
            self.log.record(
                "unanswered",
                outcome=unanswered.why,
                id=self._find_request_id(unanswered.header_lines),
                target=unanswered.target,
                age_s=round(unanswered.age_s, 3),
                reason=unanswered.reason,
            )

    def _record_reset(self, reset: CallerReset) -> None:
        self.metrics.caller_resets.labels(reset.state).inc()
        if reset.state != IDLE:
            self.log.record(
                "caller-reset",
                outcome=reset.state,
                last_id=self._find_request_id(reset.header_lines),
                answered_s_ago=round(reset.answered_s_ago, 3),
            )

    def stop(self) -> None:
        """Mark the host as stopping and wait for requests in progress, up to the grace period."""
        began = time.monotonic()
        self.state.stop()
        self.log.record("process", outcome="stopping", in_progress=self.state.in_progress)
        self._scheduler.tell(lambda scheduler: scheduler.stop(began))
        self.holder_link.is_stopping = True
        try:
            self.lease.resign()
        except Exception as error:
            # The lease lapses by itself. The requests in progress still need the rest of the stop.
            self.log.record("lease", outcome=f"failed: {error!r}")
        deadline = began + self._settings.bounds.grace_s - KILL_MARGIN_S
        while time.monotonic() < deadline:
            is_noticed = time.monotonic() - began >= UNREADY_NOTICE_S
            if is_noticed and self.state.close_if_idle() and self.front.server.is_flushed():
                break
            time.sleep(STOP_POLL_S)
        in_progress = self.state.in_progress
        # Before the log is closed, which may take longer than KILL_MARGIN_S.
        answered = self.front.server.answer_unfinished(CLOSE_TIMEOUT_S)
        for request in answered:
            self.log.record(
                "request",
                outcome="ended by the stop",
                id=self._find_request_id(request.request.header_lines),
                status=request.status.value,
                ran=request.ran.value,
            )
        self.log.record(
            "process", outcome="stopped", in_progress=in_progress, answered=len(answered)
        )
        self.log.close()
        self._close_connections()

    def _close_connections(self) -> None:
        """Close the callers' connections, so that the exit cuts no request that was read."""
        self.front.server.finish()
        deadline = time.monotonic() + CLOSE_TIMEOUT_S
        while not self.front.server.is_finished() and time.monotonic() < deadline:
            time.sleep(CLOSE_POLL_S)


def choose_acquire_delay(cores: float) -> float:
    """Return the seconds that a host waits before it acquires a free order lease.

    :param cores: CPU capacity of the host in ordinary cores.
    """
    return MAX_ACQUIRE_DELAY_S * max(0.0, 1.0 - cores / IMMEDIATE_ACQUIRE_CORES)


def derive_secret(settings: HostSettings) -> bytes:
    """Return the shared secret of the hosts of one deployment.

    The platform provides no secret, so this one only keeps hosts of different deployments from
    connecting to each other.
    """
    return hashlib.sha256(f"catkinhook {settings.store_address}".encode()).digest()


def run_host(
    settings: HostSettings,
    platform: Platform,
    reload_settings: Callable[[], object],
) -> int:
    """Run a host until SIGTERM.

    :param reload_settings: reads the settings again, after SIGHUP.
    """
    threading.stack_size(THREAD_STACK_BYTES)
    is_memory_limited = limit_kept_memory()
    host = Host(settings, platform)
    next_signal = receive_signals(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    host.kernel.start()
    host.log.record(
        "process",
        outcome="started",
        zone=settings.zone,
        pid=os.getpid(),
        incarnation=host.incarnation,
        version=__version__,
        limits_kept_memory=is_memory_limited,
    )
    while next_signal() == signal.SIGHUP:
        try:
            outcome = f"reload: {reload_settings()}"
        except Exception as error:
            # The end of the main thread would be the end of the process and of all its requests.
            outcome = f"reload failed: {error!r}"
        host.log.record("process", outcome=outcome)
    host.stop()
    # Exits without joining threads, which may be blocked on the store or an endpoint.
    os._exit(0)
