"""Routes and services of a host in one version of the configuration."""

import enum
import random

import attrs

from catkinhook.requests.workspaces import WorkspaceDirectory


class RetryMode(enum.StrEnum):
    """Whether a request may run more than once."""

    ALWAYS = "always"
    RESUME = "resume"  # a stream may be resumed at another endpoint
    NEVER = "never"


@attrs.frozen(kw_only=True)
class ModelSpec:
    """A model that a service offers.

    :ivar memory_mb: accelerator memory of its weights.
    :ivar load_s: seconds to load it from the weight store.
    :ivar disk_load_s: seconds to load it from an endpoint's own disk.
    :ivar memory_load_s: seconds to load it from an endpoint's host memory.
    :ivar adapter_mb: accelerator memory of each adapter.
    :ivar adapters: number of adapters that callers may request.
    """

    name: str
    memory_mb: float
    load_s: float
    disk_load_s: float
    memory_load_s: float
    adapter_mb: float = 0.0
    adapters: int = 0


@attrs.frozen(kw_only=True)
class EngineSpec:
    """Properties common to all engines of a service.

    :ivar slots: requests that run concurrently.
    :ivar cache_tokens: tokens of KV cache.
    :ivar memory_mb: accelerator memory for weights and adapters.
    :ivar adapter_slots: adapters that may be resident or loading on an engine.
    :ivar loads_per_s: loads per second that the weight store allows over all engines.
    """

    slots: int
    cache_tokens: int
    memory_mb: float
    adapter_slots: int
    loads_per_s: float
    model_by_name: dict[str, ModelSpec] = attrs.field(factory=dict, hash=False)


@attrs.frozen(kw_only=True)
class ServiceSpec:
    """A service; ``engine`` is None for a plain one."""

    name: str
    max_connections: int
    engine: EngineSpec | None = None


@attrs.frozen(kw_only=True)
class Route:
    """A path prefix on a host name, and the latency objectives of its requests.

    :ivar timeout_s: timeout of a request.
    :ivar objective_s: target time to the answer, or to the first event of a stream.
    :ivar gap_s: target for the longest time between two events of a stream.
    :ivar priority: 0 for the most urgent route.
    :ivar max_attempts: endpoints on which one request may run.
    :ivar weight_by_service: weights by which requests are split among services.
    :ivar is_open: whether a caller without a key may use it, if the configuration has workspaces.
    """

    name: str
    host: str
    prefix: str
    retry_mode: RetryMode
    is_stream: bool
    timeout_s: float
    objective_s: float
    gap_s: float
    priority: int
    max_attempts: int
    weight_by_service: tuple[tuple[str, float], ...]
    is_open: bool = False

    def choose_service(self, rng: random.Random) -> str:
        """Return a service, chosen at random by weight."""
        services = [service for service, _ in self.weight_by_service]
        if len(services) == 1:
            return services[0]
        return rng.choices(services, [weight for _, weight in self.weight_by_service])[0]


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on requests of callers.

    :ivar idle_s: idle timeout of a keep-alive connection in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    idle_s: float = 15.0


@attrs.frozen(kw_only=True)
class RouteTable:
    """All routes and services of one version of the configuration.

    :ivar workspaces: None if the configuration has no workspaces, so that callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, ServiceSpec] = attrs.field(hash=False)
    limits: CallerLimits = CallerLimits()
    workspaces: WorkspaceDirectory | None = attrs.field(default=None, hash=False)
    _routes_by_host: dict[str, list[Route]] = attrs.field(init=False, hash=False, repr=False)

    @_routes_by_host.default
    def _index(self) -> dict[str, list[Route]]:
        routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            routes_by_host.setdefault(route.host.lower(), []).append(route)
        return routes_by_host

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix of a path.

        :param host: host name without a port.
        """
        routes = self._routes_by_host.get(host.lower(), ())
        return next((route for route in routes if path.startswith(route.prefix)), None)
