"""Views of endpoints and routing state on the request path."""

from typing import TYPE_CHECKING

import attrs

from catkinhook.state.gatewayreports import Suspect

if TYPE_CHECKING:
    from catkinhook.state.documents import Catalog


@attrs.frozen
class LoadReport:
    """Load that an engine reported.

    :ivar running: requests in the current batch.
    :ivar waiting: queued requests.
    :ivar tokens_per_second: decoding speed of one request at this load.
    :ivar taken_at: time of the measurement in seconds on the local monotonic clock.
    """

    running: int
    waiting: int
    tokens_per_second: float
    taken_at: float


@attrs.frozen
class EndpointView:
    """State of an endpoint as known to a gateway.

    :ivar endpoint: ``service/host``.
    :ivar address: ``IP:port``.
    :ivar kind: ``engine`` or ``plain``.
    :ivar models: models for which it may get requests.
    :ivar adapters: adapters for which it may get requests, as ``model/adapter``.
    :ivar prefixes: hashes of cached prompt prefixes, which may be out of date.
    :ivar slots: maximum number of requests that it executes concurrently, 0 if unknown.
    :ivar sequence: number of orders accepted since its start, -1 if unknown.
    :ivar in_memory: models whose weights are cached in host memory.
    :ivar on_disk: models whose weights are cached on disk.
    """

    endpoint: str
    address: str
    service: str
    zone: str
    kind: str = "engine"
    leaving: bool = False
    role: str = "mixed"
    boot_id: str = ""
    models: frozenset[str] = frozenset()
    adapters: frozenset[str] = frozenset()
    report: LoadReport | None = None
    prefixes: frozenset[str] = frozenset()
    slots: int = 0
    sequence: int = -1
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()


@attrs.frozen
class Snapshot:
    """Routing state of a gateway, at one revision of its controller.

    :ivar share: this host's share of service limits, between 0 and 1.
    :ivar current: false if the controller can't confirm that its configuration is current.
    :ivar suspects: events of all instances about requests that may crash endpoints.
    :ivar quarantined: fingerprints of requests that are refused.
    :ivar suspected: fingerprints of requests that may have crashed an endpoint.
    """

    revision: int
    catalog: "Catalog"
    endpoint_by_id: dict[str, EndpointView]
    share: float = 1.0
    current: bool = True
    suspects: tuple[Suspect, ...] = ()
    quarantined: frozenset[str] = frozenset()
    suspected: frozenset[str] = frozenset()
