"""Fleet state: builds endpoint views from hosts, ledger rows and reports, and orders from moves."""

import logging
import random
from collections.abc import Iterable

import attrs

from catkinhook.clocks import Clock
from catkinhook.control.ledger import (
    EndpointRow,
    OrderKind,
    Report,
    loading_items,
    memory_bound,
    reachable_models,
    unloading_items,
)
from catkinhook.control.placement import ModelDemand, Move, Planner, Replica
from catkinhook.control.reconciletasks import DesiredOrder, ServicePolicy, make_policy
from catkinhook.control.rollingupdate import plan_replacement
from catkinhook.state.documents import Catalog
from catkinhook.state.hostlist import Host
from catkinhook.state.views import EndpointView, LoadReport

# Time for which a host is kept after it disappears from the host list, because the list lags.
HOST_REMOVAL_DELAY_S = 3.0
# Time after which a report is no longer used for an endpoint's load and models.
REPORT_TTL_S = 5.0
# Time for which a requested adapter remains desired on the chosen endpoint.
ADAPTER_REQUEST_TTL_S = 30.0

_log = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class Observation:
    """Result of one reconciler cycle of an endpoint.

    :ivar row: ledger row; None when there is none or the endpoint is a plain service.
    :ivar report: latest report; None before the first one.
    """

    endpoint: str
    row: EndpointRow | None = None
    report: Report | None = None


@attrs.define
class _TrackedEndpoint:
    host: Host
    listed_at: float
    observation: Observation


class Fleet:
    """This controller's state of all endpoints; owned by one actor.

    :param rng_seed: seed of the planner's random choices. Controllers with the same inputs and seed
        plan the same moves, and each controller executes those of the endpoints that it holds.
    """

    def __init__(self, clock: Clock, planner: Planner, rng_seed: int = 1) -> None:
        self._clock = clock
        self._planner = planner
        self._rng_seed = rng_seed
        self._catalog = Catalog()
        self._tracked_by_id: dict[str, _TrackedEndpoint] = {}
        self._adapter_requested_at: dict[tuple[str, str], float] = {}
        self._planned: list[DesiredOrder] = []
        self._desired_by_endpoint: dict[str, list[DesiredOrder]] = {}
        self._ejected: set[str] = set()
        self._policies: dict[tuple[str, int], ServicePolicy | None] = {}

    @property
    def catalog(self) -> Catalog:
        """Return the documents in force."""
        return self._catalog

    def set_catalog(self, catalog: Catalog) -> None:
        """Set the documents in force."""
        self._catalog = catalog
        self._policies.clear()

    def policy(self, service: str) -> ServicePolicy | None:
        """Return the policy of a service, or None when no document declares the service."""
        endpoints = sum(tracked.host.service == service for tracked in self._tracked_by_id.values())
        if (service, endpoints) not in self._policies:
            self._policies[(service, endpoints)] = make_policy(self._catalog, service, endpoints)
        return self._policies[(service, endpoints)]

    def set_hosts(self, hosts: Iterable[Host]) -> None:
        """Update the hosts; unlisted ones are removed after ``HOST_REMOVAL_DELAY_S``."""
        now = self._clock()
        for host in hosts:
            tracked = self._tracked_by_id.get(host.endpoint)
            if tracked is None:
                observation = Observation(endpoint=host.endpoint)
                self._tracked_by_id[host.endpoint] = _TrackedEndpoint(host, now, observation)
            else:
                tracked.host, tracked.listed_at = host, now
        for endpoint, tracked in list(self._tracked_by_id.items()):
            if now - tracked.listed_at > HOST_REMOVAL_DELAY_S:
                del self._tracked_by_id[endpoint]
                _log.info("host is no longer in the host list", extra={"endpoint": endpoint})

    def observe(self, observation: Observation) -> None:
        """Record the result of a reconciler cycle."""
        if observation.endpoint in self._tracked_by_id:
            self._tracked_by_id[observation.endpoint].observation = observation

    def hosts(self) -> dict[str, Host]:
        """Return the hosts by endpoint id."""
        return {endpoint: tracked.host for endpoint, tracked in self._tracked_by_id.items()}

    def rows(self) -> list[EndpointRow]:
        """Return the last known ledger rows."""
        rows = (tracked.observation.row for tracked in self._tracked_by_id.values())
        return [row for row in rows if row is not None]

    def views(self) -> dict[str, EndpointView]:
        """Return the endpoint views for gateways, by endpoint id."""
        now = self._clock()
        return {
            endpoint: make_view(tracked.host, tracked.observation, self._kind(tracked.host), now)
            for endpoint, tracked in self._tracked_by_id.items()
            if tracked.host.service in self._catalog.document_by_service
        }

    def _kind(self, host: Host) -> str:
        document = self._catalog.document_by_service.get(host.service)
        return document.endpoints.kind if document else ""

    def plan(self, demand_by_item: dict[str, ModelDemand]) -> None:
        """Replace the planned moves of all endpoints."""
        now = self._clock()
        replicas = self._make_replicas(now)
        rng = random.Random(f"{self._rng_seed}:{self._catalog.number}")
        moves = self._planner.plan(self._catalog, replicas, demand_by_item, now, rng)
        row_by_endpoint = {row.endpoint: row for row in self.rows()}
        replacement = plan_replacement(self._catalog, replicas, row_by_endpoint)
        moves = [m for m in moves if _model_of(m.item) not in replacement.models]
        self._desired_by_endpoint = {}
        for rank, move in enumerate([*moves, *replacement.moves]):
            self._desired_by_endpoint.setdefault(move.endpoint, []).append(
                self._make_desired_order(move, rank)
            )
        for (endpoint, item), requested_at in list(self._adapter_requested_at.items()):
            if now - requested_at > ADAPTER_REQUEST_TTL_S:
                del self._adapter_requested_at[(endpoint, item)]

    def _make_replicas(self, now: float) -> list[Replica]:
        return [
            make_replica(tracked.host, tracked.observation, now)
            for _, tracked in sorted(self._tracked_by_id.items())
            if tracked.observation.row is not None and self._kind(tracked.host) == "engine"
        ]

    def _make_desired_order(self, move: Move, rank: int) -> DesiredOrder:
        kind = OrderKind(move.kind.value)
        return DesiredOrder(
            kind=kind,
            item=move.item,
            memory=move.memory or self._size_of(move.item),
            version=self._version_of(move.item),
            rank=rank,
            urgent=move.urgent,
        )

    def _size_of(self, item: str) -> int:
        model, _, adapter = item.partition("/")
        entry = self._catalog.entry_by_model.get(model)
        if entry is None:
            return 0
        size_by_adapter = {a.name: int(a.memory) for a in entry.model.adapters}
        return size_by_adapter.get(adapter, 0) if adapter else int(entry.model.memory)

    def _version_of(self, item: str) -> str:
        model, _, adapter = item.partition("/")
        entry = self._catalog.entry_by_model.get(model)
        if entry is None:
            return ""
        version_by_adapter = {a.name: a.version for a in entry.model.adapters}
        return version_by_adapter.get(adapter, "") if adapter else entry.model.version

    def desired_orders(self, endpoint: str) -> tuple[DesiredOrder, ...]:
        """Return the desired orders of an endpoint."""
        adapters = tuple(
            self._make_adapter_order(item)
            for e, item in self._adapter_requested_at
            if e == endpoint
        )
        return (*adapters, *self._desired_by_endpoint.get(endpoint, ()))

    def _make_adapter_order(self, item: str) -> DesiredOrder:
        return DesiredOrder(
            kind=OrderKind.LOAD_ADAPTER,
            item=item,
            memory=self._size_of(item),
            version=self._version_of(item),
        )

    def has_adapter(self, item: str) -> bool:
        """Whether an adapter is routable or has an open load order."""
        if any(item in view.adapters for view in self.views().values()):
            return True
        return any(item in loading_items(row) for row in self.rows())

    def rows_with_free_memory(self, item: str) -> list[EndpointRow]:
        """Return the rows with an adapter's model and memory for it, most free memory first."""
        model, _, adapter = item.partition("/")
        entry = self._catalog.entry_by_model.get(model)
        if entry is None or adapter not in {a.name for a in entry.model.adapters}:
            return []
        needed_bytes = self._size_of(item)
        views = self.views()
        rows = (
            [
                row
                for row in self.rows()
                if model in views[row.endpoint].models
                and memory_bound(row) + needed_bytes <= row.memory
            ]
            if views
            else []
        )
        return sorted(rows, key=lambda row: (memory_bound(row) - row.memory, row.endpoint))

    def request_adapter(self, endpoint: str, item: str) -> None:
        """Make an adapter desired on an endpoint for ``ADAPTER_REQUEST_TTL_S``."""
        self._adapter_requested_at[(endpoint, item)] = self._clock()

    def eject(self, endpoint: str, ejected: bool) -> None:
        """Eject an endpoint from routing, as far as reachability allows, or readmit it."""
        (self._ejected.add if ejected else self._ejected.discard)(endpoint)

    def is_ejected(self, endpoint: str) -> bool:
        """Whether an endpoint should be ejected."""
        return endpoint in self._ejected


def _model_of(item: str) -> str:
    return item.partition("/")[0]


def make_replica(host: Host, observation: Observation, now: float) -> Replica:
    """Return the placement input for an endpoint that has a ledger row."""
    row = observation.row
    leaving = host.leaving or not row.live
    unloading = unloading_items(row)
    resident = frozenset(row.resident) - unloading
    report = observation.report
    # Copies on a leaving endpoint don't count, so that placement replaces them before it stops.
    return Replica(
        endpoint=host.endpoint,
        service=host.service,
        zone=host.zone,
        memory=row.memory,
        reserved=memory_bound(row),
        models=frozenset() if leaving else frozenset(i for i in resident if "/" not in i),
        loading=frozenset(i for i in loading_items(row) if "/" not in i),
        adapters=frozenset(i for i in resident | loading_items(row) if "/" in i),
        tokens_per_second=report.tokens_per_second if report else 0.0,
        running=report.running if report else 0,
        leaving=leaving,
    )


def make_view(host: Host, observation: Observation, kind: str, now: float) -> EndpointView:
    """Return the view of an endpoint for gateways.

    An item is routable when it is resident in the ledger without an open unload and, if there is a
    fresh report, also in the report: a restarted engine has lost the items in its row.
    """
    row, report = observation.row, observation.report
    is_fresh = report is not None and now - report.taken_at - report.lag < REPORT_TTL_S
    items = reachable_models(row) if row else frozenset()
    if is_fresh and report is not None:
        items &= report.models | report.adapters
    leaving = host.leaving or bool(report and report.leaving)
    load = None
    if is_fresh and report is not None:
        load = LoadReport(report.running, report.waiting, report.tokens_per_second, report.taken_at)
    return EndpointView(
        endpoint=host.endpoint,
        address=host.address,
        service=host.service,
        zone=host.zone,
        kind=kind,
        leaving=leaving,
        role=report.role if report else "mixed",
        boot_id=report.boot_id if report else "",
        models=frozenset(item for item in items if "/" not in item),
        adapters=frozenset(item for item in items if "/" in item),
        report=load,
        prefixes=report.prefixes if report else frozenset(),
    )
