"""Decoders of the platform's configuration and endpoint entries, and of engines' reports.

For an invalid record, a decoder returns the reason instead of a value.
"""

import functools
import ipaddress
import re
import reprlib
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from catkinhook.addresses import split_address
from catkinhook.control.sequencedorders import EngineState
from catkinhook.jsontexts import decode_json
from catkinhook.platform.recordbounds import (
    MAX_ADDRESS_CHARS,
    MAX_CACHED_ADDRESSES,
    MAX_COUNT,
    MAX_DURATION_MS,
    MAX_I64,
    MAX_ITEMS,
    MAX_NAME_CHARS,
    MAX_QUANTITY,
    MAX_REASON_CHARS,
    MAX_SEQUENCE,
)
from catkinhook.platform.workspacerecords import decode_workspaces
from catkinhook.requests.routetable import (
    CallerLimits,
    EngineSpec,
    ModelSpec,
    RetryMode,
    Route,
    RouteTable,
    ServiceSpec,
)
from catkinhook.requests.workspaces import WorkspaceDirectory
from catkinhook.state.views import EndpointView
from catkinhook.texts import is_encodable

_MS = 0.001
# Default for routes of streams without ``gap_aim_ms``.
DEFAULT_GAP_S = 0.3

_STATES = frozenset({"ready", "draining"})
# Ids of endpoints are sent in a header.
_ENDPOINT_ID = re.compile(r"[!-~]{1,200}", re.ASCII)


class _InvalidRecordError(ValueError):
    """A field is missing or has an invalid value."""


def _make_error(field: str, value: Any) -> _InvalidRecordError:
    # ``reprlib`` bounds length and depth, so that any value can be described.
    return _InvalidRecordError(f"{field} is {reprlib.repr(value)}")


def _read_field(
    record: Any, field: str, expected_type: type | tuple[type, ...], default: Any = None
) -> Any:
    value = record.get(field, default) if isinstance(record, dict) else None
    is_unexpected_bool = isinstance(value, bool) and expected_type is not bool
    if value is None or is_unexpected_bool or not isinstance(value, expected_type):
        raise _make_error(field, value)
    return value


def _read_number(record: Any, field: str, largest: float, default: float | None = None) -> float:
    value = _read_field(record, field, (int, float), default)
    # Integers are compared before the conversion, which overflows for large ones.
    if not 0 <= value <= largest:
        raise _make_error(field, value)
    return float(value)


def _read_capped(record: Any, field: str, largest: float, default: float | None = None) -> float:
    """Return a number of the configuration, or ``largest`` if it is larger."""
    value = _read_field(record, field, (int, float), default)
    if not value >= 0:
        raise _make_error(field, value)
    return float(min(value, largest))


def _read_integer(record: Any, field: str, largest: int) -> int:
    value = _read_field(record, field, int)
    if not 0 <= value <= largest:
        raise _make_error(field, value)
    return value


def _read_text(record: Any, field: str, default: str | None = None) -> str:
    value = _read_field(record, field, str, default)
    if not is_encodable(value):
        raise _make_error(field, value)
    return value


def _read_list(record: Any, field: str) -> list:
    """Return a list, empty if the field is absent."""
    return [] if record.get(field) is None else _read_field(record, field, list)


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARS and is_encodable(value)


def _read_name(record: Any, field: str) -> str:
    value = _read_field(record, field, str)
    if not _is_name(value):
        raise _make_error(field, value)
    return value


def _parse_json(raw: bytes) -> Any:
    try:
        return decode_json(raw)
    except (ValueError, RecursionError) as error:
        raise _InvalidRecordError(f"is not JSON: {error}") from error


def _to_result(decode: Callable[[], Any]) -> Result[Any, str]:
    try:
        return Ok(decode())
    except _InvalidRecordError as error:
        return Err(str(error)[:MAX_REASON_CHARS])
    except Exception as error:
        # A fault of a decoder costs one record, which callers log and count as invalid.
        return Err(f"unexpected {error!r}"[:MAX_REASON_CHARS])


def decode_configuration(raw: bytes) -> Result[RouteTable, str]:
    """Decode the platform's configuration."""
    return _to_result(lambda: _decode_route_table(_parse_json(raw)))


def _decode_route_table(record: Any) -> RouteTable:
    services = [_decode_service(entry) for entry in _read_field(record, "services", list)]
    limits = record.get("limits") or {}
    return RouteTable(
        version=_read_integer(record, "version", MAX_I64),
        routes=tuple(_decode_route(entry) for entry in _read_field(record, "routes", list)),
        service_by_name={service.name: service for service in services},
        limits=CallerLimits(
            header_bytes=_read_capped_count(limits, "max_header_bytes", 16384),
            body_bytes=_read_capped_count(limits, "max_body_bytes", 4 << 20),
            idle_s=_read_capped(limits, "idle_timeout_ms", MAX_DURATION_MS, 15000) * _MS,
        ),
        workspaces=_decode_workspaces(record),
    )


def _decode_workspaces(record: dict[str, Any]) -> WorkspaceDirectory | None:
    entries = record.get("tenants")
    if entries is not None and not isinstance(entries, list):
        # The value may hold keys, which must not appear in a log.
        raise _InvalidRecordError(f"tenants is of the type {type(entries).__name__}")
    return None if entries is None else decode_workspaces(entries)


def _read_capped_count(record: Any, field: str, default: int | None = None) -> int:
    return int(_read_capped(record, field, MAX_COUNT, default))


def _decode_route(record: Any) -> Route:
    kind = _read_field(record, "kind", str)
    if kind == "stream":
        retry_mode = RetryMode.RESUME if record.get("resumable") is True else RetryMode.NEVER
    else:
        retry_mode = RetryMode.ALWAYS if kind == "idempotent" else RetryMode.NEVER
    timeout_ms = _read_capped(record, "timeout_ms", MAX_DURATION_MS)
    objective_ms = _read_capped(record, "target_latency_ms", MAX_DURATION_MS, timeout_ms)
    gap_ms = DEFAULT_GAP_S / _MS
    if record.get("gap_aim_ms") is not None:
        gap_ms = _read_capped(record, "gap_aim_ms", MAX_DURATION_MS)
    return Route(
        name=_read_text(record, "name", ""),
        host=_read_text(record, "host"),
        prefix=_read_text(record, "path_prefix"),
        retry_mode=retry_mode,
        is_stream=kind == "stream",
        timeout_s=timeout_ms * _MS,
        objective_s=objective_ms * _MS,
        gap_s=gap_ms * _MS,
        priority=_read_capped_count(record, "priority", 0),
        max_attempts=max(1, _read_capped_count(record, "max_attempts", 1)),
        weight_by_service=_decode_weights(record),
        is_open=record.get("allow_anonymous") is True,
    )


def _decode_weights(record: Any) -> tuple[tuple[str, float], ...]:
    split = record.get("traffic_split")
    if not split:
        return ((_read_text(record, "service"), 1.0),)
    weights = tuple(
        (_read_text(part, "service"), _read_capped(part, "weight", MAX_QUANTITY))
        for part in _read_field(record, "traffic_split", list)
    )
    if not sum(weight for _, weight in weights):
        raise _make_error("traffic_split", split)
    return weights


def _decode_service(record: Any) -> ServiceSpec:
    engine = record.get("engine") if isinstance(record, dict) else None
    return ServiceSpec(
        name=_read_text(record, "name"),
        max_connections=_read_capped_count(record, "max_conns", 100),
        engine=_decode_engine(_read_field(record, "engine", dict)) if engine else None,
    )


def _decode_engine(record: dict[str, Any]) -> EngineSpec:
    models = [_decode_model(entry) for entry in _read_list(record, "models")]
    return EngineSpec(
        slots=_read_capped_count(record, "slots"),
        cache_tokens=_read_capped_count(record, "kv_capacity"),
        memory_mb=_read_capped(record, "weights_mb", MAX_QUANTITY, 0),
        adapter_slots=_read_capped_count(record, "adapter_slots", 0),
        loads_per_s=_read_capped(record, "loads_per_s", MAX_QUANTITY, 1),
        model_by_name={model.name: model for model in models},
    )


def _decode_model(record: Any) -> ModelSpec:
    load_s = _read_capped(record, "load_s", MAX_DURATION_MS * _MS)
    return ModelSpec(
        name=_read_text(record, "name"),
        memory_mb=_read_capped(record, "weights_mb", MAX_QUANTITY),
        load_s=load_s,
        disk_load_s=_read_capped(record, "disk_s", MAX_DURATION_MS * _MS, load_s),
        memory_load_s=_read_capped(record, "warm_s", MAX_DURATION_MS * _MS, load_s),
        adapter_mb=_read_capped(record, "adapter_mb", MAX_QUANTITY, 0),
        adapters=_read_capped_count(record, "adapters", 0),
    )


def decode_endpoint(endpoint: str, raw: bytes) -> Result[EndpointView, str]:
    """Decode an endpoint's entry.

    :param endpoint: id of the endpoint, which is the key of the entry.
    """
    return _to_result(lambda: _decode_endpoint_view(endpoint, _parse_json(raw)))


def _decode_endpoint_view(endpoint: str, record: Any) -> EndpointView:
    if not _ENDPOINT_ID.fullmatch(endpoint):
        raise _make_error("key", endpoint)
    state = _read_field(record, "state", str)
    if state not in _STATES:
        raise _make_error("state", state)
    is_engine = record.get("models") is not None
    models, adapters = _decode_loaded_items(record) if is_engine else (frozenset(), frozenset())
    return EndpointView(
        endpoint=endpoint,
        address=_decode_address(record),
        service=_read_name(record, "service"),
        zone=_read_name(record, "zone"),
        kind="engine" if is_engine else "plain",
        leaving=state == "draining",
        boot_id=_decode_boot_id(record),
        models=models,
        adapters=adapters,
        # The entry's ``sequence`` is not used, since it counts heartbeats instead of orders.
        slots=int(_read_number(record, "slots", MAX_COUNT)),
        **_decode_copies(record),
    )


def _decode_address(record: Any) -> str:
    address = _read_field(record, "address", str)
    if len(address) > MAX_ADDRESS_CHARS or not _is_endpoint_address(address):
        raise _make_error("address", address)
    return address


# An entry is decoded at each heartbeat, and its address hardly ever changes.
@functools.lru_cache(MAX_CACHED_ADDRESSES)
def _is_endpoint_address(address: str) -> bool:
    """Whether a connection to an address can be opened; the platform has IPv4 only."""
    try:
        host, port = split_address(address)
        ip = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    # A connection to 0.0.0.0 would reach this host itself.
    is_unusable = ip.is_unspecified or ip.is_multicast or ip.is_reserved
    return not is_unusable and port > 0 and address == f"{ip}:{port}"


def _decode_boot_id(record: Any) -> str:
    # ``born`` is the start of the endpoint in milliseconds since the epoch.
    return "" if record.get("born") is None else str(_read_integer(record, "born", MAX_I64))


def _decode_loaded_items(record: Any) -> tuple[frozenset[str], frozenset[str]]:
    """Return the names of models, and of adapters as ``model/adapter``."""
    models = _read_field(record, "models", list)
    names = [_read_name(entry, "name") for entry in models]
    adapters_by_index = [_read_list(entry, "adapters") for entry in models]
    # Checked before the names are joined, which multiplies the memory that a record takes.
    if max(len(names), sum(map(len, adapters_by_index))) > MAX_ITEMS:
        raise _make_error("models", models)
    items = [
        f"{name}/{_decode_adapter_name(adapter)}"
        for name, adapters in zip(names, adapters_by_index, strict=True)
        for adapter in adapters
    ]
    return frozenset(names), frozenset(items)


def _decode_adapter_name(adapter: Any) -> str:
    # An adapter is either a name or an object with the field ``name``.
    full_name = adapter.get("name") if isinstance(adapter, dict) else adapter
    name = full_name.partition("@")[0] if isinstance(full_name, str) else full_name
    if not _is_name(name):
        raise _make_error("an adapter", adapter)
    return name


def _decode_copies(record: Any) -> dict[str, frozenset[str]]:
    """Return the models whose weights are cached in host memory or on disk, by field."""
    placement = record.get("placement")
    if not isinstance(placement, dict):
        return {}
    return {name: _read_names(placement, name) for name in ("in_memory", "on_disk")}


def _read_names(record: dict[str, Any], field: str) -> frozenset[str]:
    """Return the names in a list, without elements that are not names."""
    values = _read_list(record, field)
    if len(values) > MAX_ITEMS:
        raise _make_error(field, values)
    return frozenset(value for value in values if _is_name(value))


def decode_report(raw: bytes) -> Result[EngineState, str]:
    """Decode an engine's report."""
    return _to_result(lambda: _decode_engine_state(_parse_json(raw)))


def _decode_engine_state(record: Any) -> EngineState:
    models, adapters = _decode_loaded_items(record)
    return EngineState(
        boot_id=_decode_boot_id(record),
        sequence=_read_integer(record, "sequence", MAX_SEQUENCE),
        busy=_read_field(record, "busy", bool),
        models=models,
        adapters=adapters,
        # The format is MODEL/NAME@VERSION.
        incoming=frozenset(name.partition("@")[0] for name in _read_names(record, "incoming")),
        running=int(_read_number(record, "active", MAX_COUNT, 0)),
        waiting=int(_read_number(record, "queued", MAX_COUNT, 0)),
        **_decode_copies(record),
    )
