"""Settings of the ``host`` daemon, which serves callers and loads models in one process."""

import attrs


@attrs.frozen(kw_only=True)
class Bounds:
    """Limits that the deployment guarantees or requires.

    :ivar drain_s: seconds after which a leaving endpoint gets no new request.
    :ivar grace_s: seconds between SIGTERM and SIGKILL.
    :ivar apply_s: seconds after which an accepted configuration is in force.
    :ivar contact_s: seconds without failures after which a host counts as connected.
    :ivar retry_share: retry budget of a service as a share of its requests, over all hosts.
    :ivar retry_window_s: length in seconds of the window in which retries are counted.
    :ivar retry_slack: retries allowed in each window in addition to the budget, over all hosts.
    :ivar lease_s: seconds after which an order lease expires unless it is renewed.
    :ivar load_window_s: length in seconds of the window in which loads from the weight store are
        counted.
    :ivar load_overage: permitted loads as a multiple of the weight store's rate.
    :ivar limit_window_s: length in seconds of the windows in which a workspace's use is bounded.
    :ivar limit_overage: permitted use beyond a workspace's limit, as a part of it.
    :ivar limit_slack: tokens permitted in each window in addition.
    :ivar limit_faults: settings of these three for which the default is used, with the reason.
    :ivar engines_check_fences: whether engines reject orders with an outdated fencing token.
    """

    drain_s: float = 2.0
    grace_s: float = 8.0
    apply_s: float = 2.0
    contact_s: float = 3.0
    retry_share: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    lease_s: float = 3.0
    load_window_s: float = 5.0
    load_overage: float = 1.1
    limit_window_s: float = 8.0
    limit_overage: float = 0.1
    limit_slack: float = 11_000.0
    limit_faults: tuple[str, ...] = ()
    engines_check_fences: bool = False


@attrs.frozen(kw_only=True)
class HostSettings:
    """All settings of a ``host`` process.

    :ivar front_address: ``IP:port`` for callers.
    :ivar ready_address: ``IP:port`` of the readiness check.
    :ivar peer_address: ``IP:port`` for other hosts.
    :ivar seeds: ``IP:port`` of some hosts, which may be down or removed.
    :ivar store_address: ``IP:port`` of the store.
    :ivar heartbeat_s: seconds between heartbeats of endpoints.
    :ivar max_descriptors: file descriptors that this process may open.
    :ivar processor_share: share of a CPU core that this process may use.
    :ivar core_speed: speed of the core as a multiple of an ordinary core's.
    :ivar memory_mb: memory limit of this process.
    :ivar link_mbps: bandwidth of this host's network link in Mbit/s.
    """

    node: str
    zone: str
    region: str
    front_address: str
    ready_address: str
    peer_address: str
    seeds: tuple[str, ...]
    store_address: str
    heartbeat_s: float = 1.0
    max_descriptors: int = 4096
    processor_share: float = 1.0
    core_speed: float = 1.0
    memory_mb: float = 256.0
    link_mbps: float = 1000.0
    bounds: Bounds = Bounds()
