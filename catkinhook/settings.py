"""Settings of the daemons with their defaults, read from YAML and validated at start."""

import os
from pathlib import Path

import attrs
from result import Err, Ok, Result

from catkinhook.addresses import split_address
from catkinhook.peersecret import MIN_SECRET_BYTES
from catkinhook.units import MIB
from catkinhook.validationerrors import Fault
from catkinhook.yamlfile import Bytes, Parsed, Seconds, parse_yaml


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Access to the platform's table service, object store and host list.

    :ivar url: base URL with an IP number, such as ``http://127.0.0.1:7000``.
    :ivar timeout: seconds for one call.
    :ivar hosts_interval: seconds between reads of the host list.
    """

    url: str
    timeout: Seconds = Seconds(1.0)
    hosts_interval: Seconds = Seconds(1.0)


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Settings of the gateway process.

    :ivar address: ``IP:port`` for callers; port 0 selects a free port.
    :ivar concurrent_requests: limit on requests in progress, each of which occupies a thread.
    :ivar max_body: largest request body in bytes.
    :ivar max_answer: largest answer that is buffered or stored, in bytes.
    :ivar max_held: bytes of requests, answers and output that all requests hold together.
    :ivar connect_timeout: seconds to connect to an endpoint.
    :ivar gap_timeout: seconds without a byte after which a stream counts as broken.
    :ivar notice_time: seconds between becoming not ready and closing the listening socket.
    :ivar drain_time: longest time in seconds that streams have to finish after a stop.
    :ivar claim_timeout: seconds after which an unchanged claim may be taken over.
    :ivar claim_batch_delay: seconds that a claim waits for others to join its transaction.
    :ivar deferred_lease: seconds after which an unchanged deferred lease may be taken over.
    :ivar deferred_workers: deferred requests that one gateway runs concurrently.
    :ivar answer_retention: seconds for which stored answers are kept.
    """

    address: str = "127.0.0.1:8080"
    concurrent_requests: int = 256
    max_body: Bytes = Bytes(2 * MIB)
    max_answer: Bytes = Bytes(8 * MIB)
    max_held: Bytes = Bytes(256 * MIB)
    connect_timeout: Seconds = Seconds(0.5)
    gap_timeout: Seconds = Seconds(30.0)
    notice_time: Seconds = Seconds(2.0)
    drain_time: Seconds = Seconds(600.0)
    claim_timeout: Seconds = Seconds(5.0)
    claim_batch_delay: Seconds = Seconds(0.002)
    deferred_lease: Seconds = Seconds(15.0)
    deferred_workers: int = 8
    answer_retention: Seconds = Seconds(86400.0)


@attrs.frozen(kw_only=True)
class ControllerSettings:
    """Settings of the controller process of a host.

    :ivar address: ``IP:port`` of the thrift listener for peers and gateways.
    :ivar admin_address: ``IP:port`` of the operators' HTTP API.
    :ivar peers: ``IP:port`` of other controllers, used as seeds.
    :ivar gossip_interval: seconds between exchanges with a random peer.
    :ivar head_interval: seconds between reads of the configuration number.
    :ivar staleness_limit: seconds without store or peers after which the instance is not ready.
    :ivar heartbeat_interval: seconds between renewals of the node's row.
    :ivar lease_time: seconds without a renewal after which a node's lease expires.
    :ivar report_interval: seconds between reads of one endpoint's report.
    :ivar plan_interval: seconds between placement rounds.
    """

    address: str = "127.0.0.1:7100"
    admin_address: str = "127.0.0.1:7180"
    peers: list[str] = attrs.Factory(list)
    gossip_interval: Seconds = Seconds(0.5)
    head_interval: Seconds = Seconds(2.0)
    staleness_limit: Seconds = Seconds(15.0)
    heartbeat_interval: Seconds = Seconds(3.0)
    lease_time: Seconds = Seconds(10.0)
    report_interval: Seconds = Seconds(1.0)
    plan_interval: Seconds = Seconds(1.0)


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of a daemon.

    :ivar node: name of this entry host, unique among all.
    :ivar zone: availability zone of this host.
    :ivar region: region of this host.
    :ivar weight: size of this host relative to other hosts.
    :ivar secret_file: file with the secret that peers share, at least 16 bytes.
    :ivar admin_token_file: file with the operators' bearer token, at least 16 bytes.
    :ivar log_level: lowest level that is logged: DEBUG, INFO, WARNING or ERROR.
    :ivar platform: access to the platform.
    :ivar gateway: settings of the gateway process.
    :ivar controller: settings of the controller process.
    """

    node: str
    zone: str
    region: str = "default"
    weight: float = 1.0
    secret_file: str
    admin_token_file: str
    log_level: str = "INFO"
    platform: PlatformSettings
    gateway: GatewaySettings = attrs.Factory(GatewaySettings)
    controller: ControllerSettings = attrs.Factory(ControllerSettings)


LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def _check_address(parsed: Parsed, path: tuple, address: str) -> list[Fault]:
    try:
        split_address(address)
    except ValueError as error:
        return [parsed.make_fault(path, f"{address!r} is not IP:port ({error})")]
    return []


def _check_ranges(parsed: Parsed, section: str, value: object) -> list[Fault]:
    faults = []
    for field in attrs.fields(type(value)):
        number = getattr(value, field.name)
        if isinstance(number, (int, float)) and number <= 0:
            faults.append(parsed.make_fault((section, field.name), f"{number} must be above 0"))
    return faults


def _check(parsed: Parsed) -> list[Fault]:
    value: Settings = parsed.value
    faults = _check_address(parsed, ("gateway", "address"), value.gateway.address)
    for name in ("address", "admin_address"):
        address = getattr(value.controller, name)
        faults += _check_address(parsed, ("controller", name), address)
    for index, peer in enumerate(value.controller.peers):
        faults += _check_address(parsed, ("controller", "peers", index), peer)
    faults += _check_ranges(parsed, "platform", value.platform)
    faults += _check_ranges(parsed, "gateway", value.gateway)
    faults += _check_ranges(parsed, "controller", value.controller)
    if not value.platform.url.startswith("http://"):
        faults.append(parsed.make_fault(("platform", "url"), "must start with http://"))
    if value.weight <= 0:
        faults.append(parsed.make_fault(("weight",), f"{value.weight} must be above 0"))
    if value.log_level not in LOG_LEVELS:
        faults.append(parsed.make_fault(("log_level",), f"must be one of {', '.join(LOG_LEVELS)}"))
    for name in ("secret_file", "admin_token_file"):
        faults += _check_secret(parsed, name, getattr(value, name))
    if value.controller.lease_time < 3 * value.controller.heartbeat_interval:
        reason = "must be at least 3 times heartbeat_interval, or one lost renewal ends the lease"
        faults.append(parsed.make_fault(("controller", "lease_time"), reason))
    return faults


def _check_secret(parsed: Parsed, name: str, path: str) -> list[Fault]:
    try:
        size = len(read_secret(path))
    except (OSError, ValueError) as error:
        # Python raises ValueError for a path with a NUL character.
        reason = getattr(error, "strerror", None) or error
        return [parsed.make_fault((name,), f"cannot read {path!r}: {reason}")]
    if size < MIN_SECRET_BYTES:
        return [parsed.make_fault((name,), f"{path!r} must hold at least {MIN_SECRET_BYTES} bytes")]
    return []


def read_secret(path: str) -> bytes:
    """Read a secret file and strip surrounding white space.

    :raises OSError: if the file cannot be read.
    """
    return Path(path).read_bytes().strip()


def read_settings(path: str | os.PathLike) -> Result[Settings, list[Fault]]:
    """Read and validate a settings file.

    :param path: YAML file.
    :returns: the settings with defaults for missing keys, or all faults.
    """
    file = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([Fault(file, 0, "", f"cannot read: {error}")])
    result = parse_yaml(text, Settings, file)
    if result.is_err():
        return Err(result.unwrap_err())
    parsed = result.unwrap()
    faults = _check(parsed)
    return Err(faults) if faults else Ok(parsed.value)
