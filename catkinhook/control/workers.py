"""Threads of the control loop: one per endpoint, and one each for hosts, plans and publication."""

import contextlib
import logging
import threading
from collections.abc import Callable

import attrs
import pykka

from catkinhook.clocks import Clock
from catkinhook.control.engineapi import EngineApi
from catkinhook.control.fleet import Fleet, Observation
from catkinhook.control.leases import Heartbeat, Identity
from catkinhook.control.loadslots import Pacer
from catkinhook.control.placement import ModelDemand, Planner
from catkinhook.control.reconciler import Reconciler
from catkinhook.control.reconciletasks import ReconcileTask
from catkinhook.state.documents import Catalog
from catkinhook.state.hostlist import Host, HostList
from catkinhook.state.tableservice import Table
from catkinhook.state.views import EndpointView

# Seconds between updates of the published views.
PUBLISH_INTERVAL_S = 0.2
# Seconds between cycles of an endpoint with open or desired orders.
BUSY_INTERVAL_S = 0.1
# Factor on the interval between cycles of an endpoint that another node holds.
OBSERVER_INTERVAL_FACTOR = 2.0
# Timeout of calls to the fleet's actor, which does no I/O.
ACTOR_TIMEOUT_S = 5.0
# Time within which a requested adapter must be routable or have an open load order.
ADAPTER_TIMEOUT_S = 2.0
ADAPTER_POLL_INTERVAL_S = 0.05

_log = logging.getLogger(__name__)

# Forwards an adapter request to another controller. Arguments: address, model, adapter.
ForwardAdapterRequest = Callable[[str, str, str], bool]

# A call that reads or changes the fleet's state without I/O.
FleetCall = Callable[[Fleet], object]


class FleetActor(pykka.ThreadingActor):
    """Actor that owns the fleet's state; its messages are functions to call with it."""

    use_daemon_thread = True

    def __init__(self, fleet: Fleet) -> None:
        super().__init__()
        self._fleet = fleet

    def on_receive(self, message: FleetCall) -> object:
        """Call a function with the fleet."""
        return message(self._fleet)


@attrs.frozen(kw_only=True)
class Intervals:
    """Seconds between the steps of the control loop."""

    hosts: float = 1.0
    report: float = 0.5
    plan: float = 1.0


class ControlLoop:
    """Runs the control loop of this controller.

    :param node: name of this node.
    :param demand: returns the demand that gateways reported.
    :param forward: forwards an adapter request to another controller.
    :param drain_limit: seconds after which an unload is sent even if the engine is not idle.
    """

    def __init__(
        self,
        *,
        node: str,
        table: Table,
        engines: EngineApi,
        host_list: HostList,
        heartbeat: Heartbeat,
        clock: Clock,
        demand: Callable[[], dict[str, ModelDemand]],
        forward: ForwardAdapterRequest,
        intervals: Intervals,
        drain_limit: float,
    ) -> None:
        self.node = node
        self.table = table
        self.engines = engines
        self.heartbeat = heartbeat
        self.clock = clock
        self.intervals = intervals
        self.drain_limit = drain_limit
        self.pacer = Pacer()
        self._host_list = host_list
        self._demand = demand
        self._forward = forward
        self._views: dict[str, EndpointView] = {}
        self._worker_by_endpoint: dict[str, _EndpointWorker] = {}
        self._pending_adapter_requests: set[str] = set()
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._repeat, args=args, name=args[0].__name__, daemon=True)
            for args in (
                (self._read_hosts, intervals.hosts),
                (self._plan, intervals.plan),
                (self._publish, PUBLISH_INTERVAL_S),
            )
        ]
        self._actor: pykka.ActorRef | None = None

    def start(self) -> None:
        """Start the threads."""
        self._actor = FleetActor.start(Fleet(self.clock, Planner()))
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop all threads and release the endpoints that this node holds."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        workers = list(self._worker_by_endpoint.values())
        for worker in workers:
            worker.stop()
        for worker in workers:
            worker.join()
        self._actor.stop()

    @property
    def views(self) -> dict[str, EndpointView]:
        """Return the last published endpoint views, by endpoint id."""
        return self._views

    @property
    def orders_written(self) -> int:
        """Return the number of orders written by this controller."""
        return sum(worker.orders_written for worker in list(self._worker_by_endpoint.values()))

    def set_catalog(self, catalog: Catalog) -> None:
        """Set the documents in force."""
        self.ask(lambda fleet: fleet.set_catalog(catalog))

    def eject(self, endpoint: str, ejected: bool) -> None:
        """Eject an endpoint from routing, as far as reachability allows, or readmit it."""
        self.ask(lambda fleet: fleet.eject(endpoint, ejected))

    def ask(self, call: FleetCall) -> object:
        """Call a function with the fleet's state and return its result."""
        return self._actor.ask(call, timeout=ACTOR_TIMEOUT_S)

    def request_adapter(self, model: str, adapter: str) -> bool:
        """Load an adapter on demand, on a held endpoint or through another controller.

        :returns: true when the adapter is routable or has an open load order.
        """
        item = f"{model}/{adapter}"
        if self.ask(lambda fleet: fleet.has_adapter(item)):
            return True
        with self._lock:
            # A controller with outdated state may forward the request back to this one.
            if item in self._pending_adapter_requests:
                return False
            self._pending_adapter_requests.add(item)
        try:
            return self._load_adapter(model, adapter)
        finally:
            with self._lock:
                self._pending_adapter_requests.discard(item)

    def _load_adapter(self, model: str, adapter: str) -> bool:
        item = f"{model}/{adapter}"
        rows = self.ask(lambda fleet: fleet.rows_with_free_memory(item))
        held_endpoints = [row.endpoint for row in rows if row.holder == self.node]
        if held_endpoints:
            self.ask(lambda fleet: fleet.request_adapter(held_endpoints[0], item))
            return self._await_adapter(held_endpoints[0], item)
        live_by_node = self.heartbeat.liveness.live
        holders = [live_by_node[row.holder].address for row in rows if row.holder in live_by_node]
        return bool(holders) and self._forward(holders[0], model, adapter)

    def _await_adapter(self, endpoint: str, item: str) -> bool:
        self.wake(endpoint)
        deadline = self.clock() + ADAPTER_TIMEOUT_S
        while not self._stop.wait(ADAPTER_POLL_INTERVAL_S) and self.clock() < deadline:
            if self.ask(lambda fleet: fleet.has_adapter(item)):
                return True
        return False

    def wake(self, endpoint: str) -> None:
        """Start the next cycle of an endpoint immediately."""
        worker = self._worker_by_endpoint.get(endpoint)
        if worker:
            worker.wake()

    def _repeat(self, step: Callable[[], None], interval: float) -> None:
        while not self._stop.is_set():
            try:
                step()
            except Exception:
                _log.exception("control loop step failed", extra={"step": step.__name__})
            self._stop.wait(interval)

    def _read_hosts(self) -> None:
        listed = self._host_list.list_hosts()
        if listed.is_err():
            return
        self.ask(lambda fleet: fleet.set_hosts(listed.unwrap()))
        hosts = self.ask(lambda fleet: fleet.hosts())
        for endpoint in hosts.keys() - self._worker_by_endpoint.keys():
            self._worker_by_endpoint[endpoint] = _EndpointWorker(self, endpoint)
            self._worker_by_endpoint[endpoint].start()
        for endpoint in self._worker_by_endpoint.keys() - hosts.keys():
            self._worker_by_endpoint.pop(endpoint).stop()

    def _plan(self) -> None:
        demand = self._demand()
        self.ask(lambda fleet: fleet.plan(demand))

    def _publish(self) -> None:
        self._views = self.ask(lambda fleet: fleet.views())


@attrs.frozen
class _CycleInput:
    host: Host
    kind: str
    task: ReconcileTask | None


class _EndpointWorker:
    """Thread of one endpoint, so that an unresponsive engine doesn't delay the others."""

    def __init__(self, control_loop: ControlLoop, endpoint: str) -> None:
        self._control_loop = control_loop
        self._endpoint = endpoint
        self._reconciler = Reconciler(
            endpoint,
            control_loop.table,
            control_loop.engines,
            control_loop.pacer,
            control_loop.clock,
            control_loop.drain_limit,
        )
        self._wake = threading.Event()
        self._stopped = threading.Event()
        self._last_task: ReconcileTask | None = None
        self._thread = threading.Thread(target=self._run, name=endpoint, daemon=True)

    @property
    def orders_written(self) -> int:
        """Return the number of orders written."""
        return self._reconciler.orders_written

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def wake(self) -> None:
        """Start the next cycle immediately."""
        self._wake.set()

    def stop(self) -> None:
        """Stop after the current cycle."""
        self._stopped.set()
        self._wake.set()

    def join(self) -> None:
        """Wait for the end of the thread."""
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                interval = self._step()
            except Exception:
                _log.exception("reconciler cycle failed", extra={"endpoint": self._endpoint})
                interval = self._control_loop.intervals.report
            self._wake.wait(interval)
            self._wake.clear()
        if self._last_task:
            # Release the endpoint, so that the next holder doesn't wait for the lease to expire.
            with contextlib.suppress(Exception):
                hosts = self._control_loop.ask(lambda fleet: fleet.hosts())
                leaving_by_endpoint = {endpoint: host.leaving for endpoint, host in hosts.items()}
                release_task = attrs.evolve(
                    self._last_task,
                    owned=False,
                    desired=(),
                    leaving_by_endpoint=leaving_by_endpoint,
                )
                self._cycle(release_task)

    def _step(self) -> float:
        """Run one cycle and return the seconds until the next."""
        default_interval = self._control_loop.intervals.report
        cycle_input = self._control_loop.ask(self._make_cycle_input)
        if cycle_input is None:
            return default_interval
        if cycle_input.kind == "plain":
            report = self._control_loop.engines.plain_report(cycle_input.host.address).ok()
            if report:
                self._record_observation(Observation(endpoint=self._endpoint, report=report))
            return default_interval
        if cycle_input.task is None:
            return default_interval
        self._last_task = cycle_input.task
        self._cycle(cycle_input.task)
        row = self._reconciler.row
        self._record_observation(
            Observation(endpoint=self._endpoint, row=row, report=self._reconciler.report)
        )
        if row is None or row.holder != self._control_loop.node:
            return OBSERVER_INTERVAL_FACTOR * default_interval
        return BUSY_INTERVAL_S if row.open_orders or cycle_input.task.desired else default_interval

    def _cycle(self, task: ReconcileTask) -> None:
        for _ in self._reconciler.cycle(task):
            pass

    def _record_observation(self, observation: Observation) -> None:
        self._control_loop.ask(lambda fleet: fleet.observe(observation))

    def _make_cycle_input(self, fleet: Fleet) -> _CycleInput | None:
        hosts = fleet.hosts()
        host = hosts.get(self._endpoint)
        document = fleet.catalog.document_by_service.get(host.service) if host else None
        if host is None or document is None:
            return None
        return _CycleInput(host, document.endpoints.kind, self._make_task(fleet, host, hosts))

    def _make_task(self, fleet: Fleet, host: Host, hosts: dict[str, Host]) -> ReconcileTask | None:
        policy = fleet.policy(host.service)
        heartbeat = self._control_loop.heartbeat
        identity = heartbeat.identity or Identity(self._control_loop.node, 0)
        liveness = heartbeat.liveness
        has_identity = heartbeat.identity is not None
        return policy and ReconcileTask(
            address=host.address,
            identity=identity,
            liveness=liveness,
            policy=policy,
            owned=has_identity and liveness.owner_of(self._endpoint) == self._control_loop.node,
            leaving=host.leaving,
            leaving_by_endpoint={e: other.leaving for e, other in hosts.items()},
            eject=fleet.is_ejected(self._endpoint),
            desired=fleet.desired_orders(self._endpoint),
        )
