"""Gateway daemon: creates and connects its services."""

import logging
import random
import signal
import threading
import time
import uuid
from collections.abc import Callable
from typing import Protocol

import attrs

from catkinhook.addresses import split_address
from catkinhook.durable.claimanswers import AnswerStore
from catkinhook.durable.claims import ClaimStore
from catkinhook.durable.claimwriter import ClaimWriter
from catkinhook.durable.deferred import DeferredStore
from catkinhook.durable.deferredservice import DeferredService
from catkinhook.durable.quarantine import QuarantineSync, QuarantineTable
from catkinhook.kernel import Kernel, Service
from catkinhook.operations.metrics import GatewayMetrics, LatencyTargetCollector
from catkinhook.requests.adapterloader import AdapterLoader
from catkinhook.requests.attempts import AttemptLimits, ConnectionPool
from catkinhook.requests.callrunner import CallRunner, QuarantineGuard
from catkinhook.requests.disconnectmonitor import DisconnectMonitor
from catkinhook.requests.dispatchactor import DispatcherProxy
from catkinhook.requests.gatewaydispatcher import Dispatcher
from catkinhook.requests.gatewayreporter import Reporter
from catkinhook.requests.memorybudget import MemoryBudget
from catkinhook.requests.pump import Pump
from catkinhook.requests.web import Application, RequestSlots, ServingState
from catkinhook.settings import GatewaySettings, Settings, read_secret
from catkinhook.signals import receive_signals
from catkinhook.state.gatewayreports import GatewayReport
from catkinhook.state.objectstore import HttpObjectStore
from catkinhook.state.snapshots import SnapshotClient
from catkinhook.state.tableservice import HttpTable
from catkinhook.state.views import Snapshot
from catkinhook.units import KIB, MIB
from catkinhook.wsgiserver import Server

_log = logging.getLogger(__name__)

# Threads for health checks and refusals, in addition to those for admitted requests.
SPARE_THREADS = 8
CONNECTIONS_PER_REQUEST = 4
SPARE_CONNECTIONS = 64
OUTPUT_HIGH_WATERMARK = 256 * KIB
CLEANUP_INTERVAL_S = 5
DRAIN_CHECK_S = 0.02
# Time after closing the listening socket for which requests on connections from its backlog are
# still accepted.
BACKLOG_GRACE_S = 0.1


class SnapshotSource(Protocol):
    """Source of snapshots that also accepts reports."""

    def start(
        self, on_snapshot: Callable[[Snapshot], None], make_report: Callable[[], GatewayReport]
    ) -> None:
        """Start to call ``on_snapshot`` with each newer snapshot, and to send reports."""

    def report_now(self) -> None:
        """Send a report now."""

    def close(self) -> None:
        """Stop the calls and reports."""


class StaticSnapshotSource:
    """Source of one constant snapshot."""

    def __init__(self, snapshot: Snapshot) -> None:
        self._snapshot = snapshot

    def start(
        self, on_snapshot: Callable[[Snapshot], None], make_report: Callable[[], GatewayReport]
    ) -> None:
        """Call ``on_snapshot`` once."""
        on_snapshot(self._snapshot)

    def report_now(self) -> None:
        """Do nothing; there is no controller."""

    def close(self) -> None:
        """Do nothing."""


class SnapshotFeed:
    """Service that passes each snapshot to the dispatcher and the application."""

    def __init__(
        self,
        source: SnapshotSource,
        dispatcher: DispatcherProxy,
        state: ServingState,
        reporter: Reporter,
        adapters: AdapterLoader | None = None,
    ) -> None:
        self._source = source
        self._dispatcher = dispatcher
        self._state = state
        self._reporter = reporter
        self._adapters = adapters
        self.read_quarantined: Callable[[], frozenset[str]] = frozenset

    def start(self) -> None:
        """Start the source."""
        self._source.start(self._apply_snapshot, self._reporter.make_report)

    def close(self) -> None:
        """Stop the source."""
        self._source.close()

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        quarantined = snapshot.quarantined | self.read_quarantined()
        snapshot = attrs.evolve(snapshot, quarantined=quarantined)
        self._dispatcher.update(snapshot)
        if self._adapters is not None:
            self._adapters.update(snapshot)
        self._state.snapshot = snapshot


class Listener:
    """Service that runs a waitress server in a thread and drains requests when it is closed.

    :param memory: account of the bytes that connections hold.
    :param stop_leasing: stops the leasing of deferred requests; called when the gateway becomes not
        ready, None if there are none.
    :ivar port: bound port, set by ``start``.
    """

    def __init__(
        self,
        application: Application,
        state: ServingState,
        slots: RequestSlots,
        settings: GatewaySettings,
        memory: MemoryBudget,
        stop_leasing: Callable[[], None] | None = None,
    ) -> None:
        self._memory = memory
        self._application = application
        self._state = state
        self._slots = slots
        self._settings = settings
        self._stop_leasing = stop_leasing
        self.port = 0

    def start(self) -> None:
        """Bind the address and start to serve."""
        host, port = split_address(self._settings.address)
        requests = self._settings.concurrent_requests
        buffer_bytes = max(self._settings.max_body, self._settings.max_answer) + MIB
        self._server = Server(
            self._application,
            host=host,
            port=port,
            threads=requests + SPARE_THREADS,
            connection_limit=CONNECTIONS_PER_REQUEST * requests + SPARE_CONNECTIONS,
            # Slightly above the limit, so that the application itself refuses an oversized body
            # with a problem document.
            max_request_body_size=self._settings.max_body + 2,
            inbuf_overflow=buffer_bytes,
            outbuf_overflow=buffer_bytes,
            outbuf_high_watermark=OUTPUT_HIGH_WATERMARK,
            channel_request_lookahead=1,
            channel_timeout=int(max(1, self._settings.gap_timeout)),
            cleanup_interval=CLEANUP_INTERVAL_S,
            # select() fails with more than 1024 file descriptors.
            asyncore_use_poll=True,
            log_socket_errors=False,
            ident="catkinhook",
        )
        self._server.memory = self._memory
        self.port = int(self._server.effective_port)
        self._thread = threading.Thread(target=self._server.run, name="listener", daemon=True)
        self._thread.start()

    def mark_unready(self) -> None:
        """Fail the readiness check for load balancers; requests are still served."""
        self._state.stopping = True
        if self._stop_leasing is not None:
            self._stop_leasing()

    def close(self) -> None:
        """Close the listening socket and wait until the requests in progress are answered."""
        self.mark_unready()
        self._server.stop_accepting()
        time.sleep(BACKLOG_GRACE_S)
        self._state.closed = True
        deadline = time.monotonic() + self._settings.drain_time
        while self._slots.in_use or not self._server.is_flushed():
            if time.monotonic() > deadline:
                extra = {"requests": self._slots.in_use}
                _log.warning("drain time is over; aborting requests in progress", extra=extra)
                break
            self._server.close_idle()
            time.sleep(DRAIN_CHECK_S)
        self._server.shut_down()
        self._thread.join(timeout=1)


def build_kernel(
    settings: Settings,
    source: SnapshotSource,
    dispatcher: Dispatcher | None = None,
    claims: ClaimStore | None = None,
    deferred: DeferredStore | None = None,
    adapters: AdapterLoader | None = None,
    quarantine: QuarantineTable | None = None,
    stores: dict[str, Service] | None = None,
) -> Kernel:
    """Create the services of one gateway.

    :param source: source of snapshots.
    :param claims: None to refuse requests that must run at most once.
    :param deferred: store of deferred requests, None to run deferrable requests at once.
    :param adapters: None to refuse requests whose adapter no endpoint has loaded.
    :param quarantine: None when no other instance runs requests.
    :param stores: services by name, started before all others.
    """
    gateway = settings.gateway
    state, metrics, disconnect_monitor = ServingState(), GatewayMetrics(), DisconnectMonitor()
    slots = RequestSlots(gateway.concurrent_requests)
    incarnation = time.time_ns()
    origin = f"{settings.node}/{uuid.uuid4().hex[:8]}"
    dispatch = DispatcherProxy(dispatcher or Dispatcher(settings.zone, random.Random(), origin))
    metrics.registry.register(
        LatencyTargetCollector(lambda: dispatch.ask(lambda dispatcher, burn: burn.totals()))
    )
    reporter = Reporter(origin, incarnation, dispatch, slots, state)
    connections = ConnectionPool()
    limits = AttemptLimits(gateway.connect_timeout, gateway.gap_timeout, gateway.max_answer)
    memory = MemoryBudget(gateway.max_held, lambda kind, size: metrics.evictions.labels(kind).inc())
    pump = Pump(gateway.gap_timeout)
    quarantine_guard = quarantine_sync = None
    if quarantine is not None:
        quarantine_sync = QuarantineSync(quarantine, dispatch, origin)
        quarantine_guard = QuarantineGuard(
            lambda name: name in quarantine_sync.quarantined, quarantine.begin_probe
        )
    call_runner = CallRunner(
        dispatch,
        connections,
        limits,
        disconnect_monitor,
        pump,
        metrics,
        claims,
        adapters,
        quarantine_guard,
        source.report_now,
        memory=memory,
    )
    deferred_service = None
    if deferred is not None:
        deferred_service = DeferredService(
            deferred,
            call_runner,
            lambda: state.snapshot,
            gateway.deferred_workers,
            gateway.deferred_lease,
            gateway.drain_time,
        )
    application = Application(
        call_runner, state, slots, metrics, gateway.max_body, deferred_service
    )
    kernel = Kernel()
    for name, service in (stores or {}).items():
        kernel.register(name, service)
    kernel.register("dispatch", dispatch)
    if adapters is not None:
        kernel.register("adapters", adapters)
    feed = SnapshotFeed(source, dispatch, state, reporter, adapters)
    if quarantine_sync is not None:
        feed.read_quarantined = lambda: quarantine_sync.quarantined
        kernel.register("quarantine", quarantine_sync)
    kernel.register("snapshots", feed)
    kernel.register("connections", connections)
    kernel.register("watch", disconnect_monitor)
    kernel.register("pump", pump)
    if deferred_service is not None:
        kernel.register("deferring", deferred_service)
    stop_leasing = deferred_service.stop_leasing if deferred_service is not None else None
    kernel.register("listener", Listener(application, state, slots, gateway, memory, stop_leasing))
    return kernel


def connect_gateway(settings: Settings) -> Kernel:
    """Create the services of one gateway, connected to its host's controller and the platform."""
    secret = read_secret(settings.secret_file)
    controller = settings.controller
    source = SnapshotClient(controller.address, secret, controller.staleness_limit, random.Random())
    platform, gateway = settings.platform, settings.gateway
    table = HttpTable(platform.url, platform.timeout)
    objects = HttpObjectStore(platform.url, platform.timeout)
    writer = ClaimWriter(table, gateway.claim_batch_delay)
    claims = ClaimStore(
        table,
        AnswerStore(objects, "claim-answers"),
        writer.commit,
        gateway.claim_timeout,
        gateway.answer_retention,
        labels={"node": settings.node},
    )
    deferred = DeferredStore(
        table,
        objects,
        gateway.deferred_lease,
        gateway.answer_retention,
        random.Random(),
    )
    stores = {"table": table, "objects": objects, "claim writer": writer, "claims": claims}
    adapters = AdapterLoader(controller.address, secret)
    return build_kernel(
        settings,
        source,
        claims=claims,
        deferred=deferred,
        adapters=adapters,
        quarantine=QuarantineTable(table),
        stores=stores,
    )


def run_gateway(kernel: Kernel, notice_time: float) -> int:
    """Serve until SIGTERM or SIGINT, then let requests in progress finish.

    :param notice_time: seconds between becoming not ready and closing the listening socket.
    :returns: exit code.
    """
    # A second signal has no effect, since only the first one is awaited.
    wait_for_signal = receive_signals(signal.SIGTERM, signal.SIGINT)
    kernel.start()
    _log.info("gateway started", extra={"port": kernel.find("listener").port})
    wait_for_signal()
    _log.info("gateway is stopping")
    kernel.find("listener").mark_unready()
    time.sleep(notice_time)
    kernel.close()
    _log.info("gateway stopped")
    return 0
