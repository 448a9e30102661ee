"""Controller daemon: creates and connects its services."""

import logging
import random
import signal
import threading
import time
from collections.abc import Callable

from catkinhook.clocks import Clock, monotonic
from catkinhook.control.engineapi import HttpEngineApi
from catkinhook.control.fleetview import FleetView
from catkinhook.control.leases import Heartbeat, NodeRow
from catkinhook.control.placement import ModelDemand
from catkinhook.control.workers import ControlLoop, Intervals
from catkinhook.durable.claimanswers import AnswerStore
from catkinhook.durable.claims import ClaimStore
from catkinhook.durable.claimwriter import make_single_commit
from catkinhook.durable.deferred import DeferredStore
from catkinhook.durable.quarantine import QuarantineTable
from catkinhook.durable.settlement import ClaimAdmin, ExpiryThread
from catkinhook.kernel import Kernel
from catkinhook.operations.admin import AdminApplication, AdminServer
from catkinhook.operations.metrics import ControllerCollector, make_renderer
from catkinhook.operations.overview import OverviewCollector
from catkinhook.peering.controllerhandler import ControllerHandler
from catkinhook.peering.gossip import Gossip, list_seeds
from catkinhook.peering.membership import Member
from catkinhook.peering.peers import PeerPool, PeerServer
from catkinhook.settings import Settings, read_secret
from catkinhook.signals import receive_signals
from catkinhook.state.configuration import ConfigurationPoller, ConfigurationStore
from catkinhook.state.hostlist import HttpHostList
from catkinhook.state.objectstore import HttpObjectStore
from catkinhook.state.snapshots import SnapshotPublisher
from catkinhook.state.tableservice import HttpTable, Table

_log = logging.getLogger(__name__)

PUBLICATION_INTERVAL_S = 0.1
HOUSEKEEPING_INTERVAL_S = 60.0
NS_PER_MS = 1_000_000
# Lower limit on the share of limits by which demand is divided. Right after a start the share can
# be near 0, and would scale up even a small demand without limit.
MIN_SHARE = 0.01


class EndpointPublisher:
    """Service that periodically publishes endpoints and this host's share of limits to gateways."""

    def __init__(
        self, control_loop: ControlLoop, publisher: SnapshotPublisher, gossip: Gossip
    ) -> None:
        self._control_loop = control_loop
        self._publisher = publisher
        self._gossip = gossip
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="publication", daemon=True)

    def start(self) -> None:
        """Start publishing."""
        self._thread.start()

    def close(self) -> None:
        """Stop publishing."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(PUBLICATION_INTERVAL_S):
            try:
                self._publisher.publish_share(
                    self._gossip.limit_share(), len(self._gossip.live_members())
                )
                self._publisher.publish_endpoints(list(self._control_loop.views.values()))
            except Exception:
                _log.exception("failed to publish endpoints and share of limits")


def make_demand_reader(
    publisher: SnapshotPublisher, read_share: Callable[[], float]
) -> Callable[[], dict[str, ModelDemand]]:
    """Return a function that estimates the total demand from the demand at this host's gateways.

    The load balancer spreads callers by host size, so each host receives its share of the demand.
    """

    def read_demand() -> dict[str, ModelDemand]:
        scale = 1.0 / max(MIN_SHARE, read_share())
        return {
            demand.model: ModelDemand(
                requests_per_second=demand.requests_per_second * scale,
                in_progress=round(demand.in_progress * scale),
                unmet=demand.unmet * scale,
            )
            for demand in publisher.collect_demands()
        }

    return read_demand


def make_control_loop(
    settings: Settings,
    table: Table,
    engines: HttpEngineApi,
    host_list: HttpHostList,
    heartbeat: Heartbeat,
    demand: Callable[[], dict[str, ModelDemand]],
    pool: PeerPool,
    clock: Clock,
) -> ControlLoop:
    """Return the control loop that executes placement on the endpoints of this controller."""
    controller, platform = settings.controller, settings.platform

    def forward(address: str, model: str, adapter: str) -> bool:
        return bool(pool.call(address, "request_adapter", model, adapter).unwrap_or(False))

    return ControlLoop(
        node=settings.node,
        table=table,
        engines=engines,
        host_list=host_list,
        heartbeat=heartbeat,
        clock=clock,
        demand=demand,
        forward=forward,
        intervals=Intervals(
            hosts=platform.hosts_interval,
            report=controller.report_interval,
            plan=controller.plan_interval,
        ),
        drain_limit=settings.gateway.drain_time,
    )


def make_collector(
    gossip: Gossip,
    poller: ConfigurationPoller,
    control_loop: ControlLoop,
    fleet: FleetView,
    server: PeerServer,
) -> ControllerCollector:
    """Return the collector of this controller's metrics."""

    def read_values() -> dict[str, tuple[float, str]]:
        orders = fleet.describe_orders()
        oldest = max((order.age for order in orders), default=0.0)
        return {
            "configuration_number": (poller.state.number, "Configuration number in force."),
            "configuration_current": (poller.current, "1 when known to be current."),
            "members": (len(gossip.live_members()), "Live controllers, this one included."),
            "limit_share": (gossip.limit_share(), "Share of service limits of this host."),
            "endpoints": (len(control_loop.views), "Endpoints published to gateways."),
            "open_orders": (len(orders), "Open orders of endpoints held here."),
            "oldest_open_order_seconds": (oldest, "Age of the oldest open order held here."),
            "orders_written": (control_loop.orders_written, "Orders written since the start."),
            "peer_connections_refused": (
                server.counters.handshake_failures,
                "Peer connections refused for a wrong secret or protocol since the start.",
            ),
        }

    def read_copies() -> dict[str, tuple[int, int]]:
        return {status.model: (status.copies, status.wanted) for status in fleet.describe_models()}

    return ControllerCollector(read_values, read_copies)


def make_deferred_store(
    settings: Settings, table: Table, objects: HttpObjectStore
) -> DeferredStore:
    """Return the store of deferred requests, from which housekeeping deletes expired answers."""
    gateway = settings.gateway
    return DeferredStore(
        table, objects, gateway.deferred_lease, gateway.answer_retention, random.Random()
    )


def connect_controller(settings: Settings, clock: Clock = monotonic) -> Kernel:
    """Create the services of one host's controller, connected to platform, peers and gateways."""
    controller, platform = settings.controller, settings.platform
    secret = read_secret(settings.secret_file)
    table = HttpTable(platform.url, platform.timeout)
    host_list = HttpHostList(platform.url, platform.timeout)
    engines = HttpEngineApi(platform.timeout, clock)
    pool = PeerPool(secret)
    store = ConfigurationStore(table)
    poller = ConfigurationPoller(
        store,
        lambda after: gossip.fetch_changes(after),
        controller.head_interval,
        controller.staleness_limit,
    )
    # Peers recognise a restart by the higher incarnation. It comes from this host's clock, and is
    # compared only with earlier incarnations of the same host.
    incarnation = time.time_ns() // NS_PER_MS
    publisher = SnapshotPublisher(
        incarnation, lambda: poller.state, lambda: poller.current, lambda e: gossip.add_suspects(e)
    )
    member = Member(
        node=settings.node,
        incarnation=incarnation,
        heartbeat=0,
        address=controller.address,
        zone=settings.zone,
        region=settings.region,
        weight=settings.weight,
    )
    gossip = Gossip(
        member,
        pool,
        lambda: list_seeds(controller.peers, host_list),
        controller.gossip_interval,
        poller.record_peer_number,
        publisher.publish_suspects,
        lambda: poller.state.number,
        random.Random(),
    )
    server = PeerServer(controller.address, None, secret)
    address = server.bind()
    gossip.set_address(address)
    node = NodeRow(node=settings.node, incarnation=0, weight=settings.weight, address=address)
    heartbeat = Heartbeat(table, node, controller.heartbeat_interval, controller.lease_time, clock)
    demand = make_demand_reader(publisher, gossip.limit_share)
    control_loop = make_control_loop(
        settings, table, engines, host_list, heartbeat, demand, pool, clock
    )
    fleet = FleetView(control_loop, clock)
    objects = HttpObjectStore(platform.url, platform.timeout)
    claims = ClaimStore(
        table,
        AnswerStore(objects, "claims"),
        make_single_commit(table),
        settings.gateway.claim_timeout,
        settings.gateway.answer_retention,
        clock,
    )
    handler = ControllerHandler(gossip, poller, publisher, fleet)
    server.set_handler(handler)
    admin = AdminApplication(
        read_secret(settings.admin_token_file),
        store,
        lambda: poller.state,
        poller.request_poll,
        fleet.capacities,
        OverviewCollector(pool, gossip.live_members, handler.describe).collect,
        ClaimAdmin(claims),
        make_renderer(make_collector(gossip, poller, control_loop, fleet, server)),
    )
    housekeeping = ExpiryThread(
        settings.node,
        lambda: {node: row.weight for node, row in heartbeat.liveness.live.items()},
        {
            "claims": claims,
            "quarantine": QuarantineTable(table, clock),
            "deferred": make_deferred_store(settings, table, objects),
        },
        HOUSEKEEPING_INTERVAL_S,
    )

    kernel = Kernel()
    kernel.register("table", table)
    kernel.register("engines", engines)
    kernel.register("hosts", host_list)
    kernel.register("pool", pool)
    kernel.register("heartbeat", heartbeat)
    kernel.register("workers", control_loop)
    kernel.register("snapshots", publisher)
    kernel.register("gossip", gossip)
    kernel.register("configuration", poller)
    kernel.register("publication", EndpointPublisher(control_loop, publisher, gossip))
    kernel.register("peers", server)
    kernel.register("objects", objects)
    kernel.register("housekeeping", housekeeping)
    kernel.register("admin", AdminServer(controller.admin_address, admin))
    for callback in (
        fleet.set_catalog,
        publisher.publish_catalog,
        lambda catalog: gossip.announce_configuration(),
    ):
        poller.subscribe(callback)
    return kernel


def run_controller(kernel: Kernel) -> int:
    """Run until SIGTERM or SIGINT.

    :returns: exit code.
    """
    wait_for_signal = receive_signals(signal.SIGTERM, signal.SIGINT)
    kernel.start()
    addresses = {
        "address": kernel.find("peers").address,
        "admin_address": kernel.find("admin").address,
    }
    _log.info("controller started", extra=addresses)
    wait_for_signal()
    kernel.close()
    _log.info("controller stopped")
    return 0
