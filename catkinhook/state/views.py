"""What the steps of the request path know about endpoints."""

from typing import TYPE_CHECKING

import attrs

from catkinhook.state.reports import Suspect

if TYPE_CHECKING:
    from catkinhook.state.documents import Catalog


@attrs.frozen
class LoadReport:
    """Load that an engine reported.

    :ivar running: requests in the batch.
    :ivar waiting: requests queued.
    :ivar tokens_per_second: decoding speed of one request at that load.
    :ivar taken_at: seconds on the local monotonic clock.
    """

    running: int
    waiting: int
    tokens_per_second: float
    taken_at: float


@attrs.frozen
class EndpointView:
    """An endpoint as a gateway sees it.

    :ivar endpoint: ``service/host``.
    :ivar address: ``IP:port``.
    :ivar kind: ``engine`` or ``plain``.
    :ivar models: models that may be routed there.
    :ivar adapters: adapters that may be routed there, as ``model/adapter``.
    :ivar prefixes: hashes of cached prompt prefixes, a hint that may be out of date.
    :ivar slots: requests that it runs at once, 0 when it isn't known.
    :ivar sequence: orders that it has accepted since its start, -1 when it isn't known.
    :ivar in_memory: models whose weights it keeps in host memory.
    :ivar on_disk: models whose weights it keeps on its disk.
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
    """All that a gateway needs to route, as of one revision of its controller.

    :ivar share: this host's share of service limits, between 0 and 1.
    :ivar current: false when the controller can't know that its configuration is current.
    :ivar suspects: events about requests that may crash endpoints, from all instances.
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
