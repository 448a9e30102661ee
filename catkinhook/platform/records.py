"""Decoders of the platform's configuration and endpoint entries, and of engines' reports.

For an invalid record, a decoder returns the reason instead of a value.
"""

import ipaddress
import json
import math
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from catkinhook.control.sequencedorders import EngineState
from catkinhook.requests.routetable import (
    CallerLimits,
    EngineSpec,
    ModelSpec,
    RetryMode,
    Route,
    RouteTable,
    ServiceSpec,
)
from catkinhook.state.views import EndpointView

_MS = 0.001
# Default for routes of streams without ``gap_aim_ms``.
DEFAULT_GAP_S = 0.3

_STATES = frozenset({"ready", "draining"})


class _InvalidRecordError(ValueError):
    """A field is missing or has an invalid value."""


def _read_field(
    record: Any, field: str, expected_type: type | tuple[type, ...], default: Any = None
) -> Any:
    value = record.get(field, default) if isinstance(record, dict) else None
    if isinstance(value, bool) and expected_type is not bool:
        raise _InvalidRecordError(f"{field} is {value!r}")
    if value is None or not isinstance(value, expected_type):
        raise _InvalidRecordError(f"{field} is {value!r}"[:200])
    return value


def _read_number(record: Any, field: str, default: float | None = None) -> float:
    value = float(_read_field(record, field, (int, float), default))
    if not math.isfinite(value) or value < 0:
        raise _InvalidRecordError(f"{field} is {value!r}")
    return value


def _parse_json(raw: bytes) -> Any:
    try:
        return json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise _InvalidRecordError(f"is not JSON: {error}") from error


def _to_result(decode: Callable[[], Any]) -> Result[Any, str]:
    try:
        return Ok(decode())
    except _InvalidRecordError as error:
        return Err(str(error))


def decode_configuration(raw: bytes) -> Result[RouteTable, str]:
    """Decode the platform's configuration."""
    return _to_result(lambda: _decode_route_table(_parse_json(raw)))


def _decode_route_table(record: Any) -> RouteTable:
    services = [_decode_service(entry) for entry in _read_field(record, "services", list)]
    limits = record.get("limits") or {}
    return RouteTable(
        version=_read_field(record, "version", int),
        routes=tuple(_decode_route(entry) for entry in _read_field(record, "routes", list)),
        service_by_name={service.name: service for service in services},
        limits=CallerLimits(
            header_bytes=int(_read_number(limits, "max_header_bytes", 16384)),
            body_bytes=int(_read_number(limits, "max_body_bytes", 4 << 20)),
            idle_s=_read_number(limits, "idle_timeout_ms", 15000) * _MS,
        ),
    )


def _decode_route(record: Any) -> Route:
    kind = _read_field(record, "kind", str)
    if kind == "stream":
        retry_mode = RetryMode.RESUME if record.get("resumable") is True else RetryMode.NEVER
    else:
        retry_mode = RetryMode.ALWAYS if kind == "idempotent" else RetryMode.NEVER
    split = record.get("traffic_split")
    if split:
        weights = tuple((_read_field(s, "service", str), _read_number(s, "weight")) for s in split)
    else:
        weights = ((_read_field(record, "service", str), 1.0),)
    timeout_s = _read_number(record, "timeout_ms") * _MS
    gap = record.get("gap_aim_ms")
    return Route(
        name=_read_field(record, "name", str, ""),
        host=_read_field(record, "host", str),
        prefix=_read_field(record, "path_prefix", str),
        retry_mode=retry_mode,
        is_stream=kind == "stream",
        timeout_s=timeout_s,
        objective_s=_read_number(record, "target_latency_ms", timeout_s / _MS) * _MS,
        gap_s=_read_number(record, "gap_aim_ms") * _MS if gap is not None else DEFAULT_GAP_S,
        priority=int(_read_number(record, "priority", 0)),
        max_attempts=max(1, int(_read_number(record, "max_attempts", 1))),
        weight_by_service=weights,
    )


def _decode_service(record: Any) -> ServiceSpec:
    engine = record.get("engine") if isinstance(record, dict) else None
    return ServiceSpec(
        name=_read_field(record, "name", str),
        max_connections=int(_read_number(record, "max_conns", 100)),
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(record: Any) -> EngineSpec:
    models = [_decode_model(entry) for entry in record.get("models") or ()]
    return EngineSpec(
        slots=int(_read_number(record, "slots")),
        cache_tokens=int(_read_number(record, "kv_capacity")),
        memory_mb=_read_number(record, "weights_mb", 0),
        adapter_slots=int(_read_number(record, "adapter_slots", 0)),
        loads_per_s=_read_number(record, "loads_per_s", 1),
        model_by_name={model.name: model for model in models},
    )


def _decode_model(record: Any) -> ModelSpec:
    load_s = _read_number(record, "load_s")
    return ModelSpec(
        name=_read_field(record, "name", str),
        memory_mb=_read_number(record, "weights_mb"),
        load_s=load_s,
        disk_load_s=_read_number(record, "disk_s", load_s),
        memory_load_s=_read_number(record, "warm_s", load_s),
        adapter_mb=_read_number(record, "adapter_mb", 0),
        adapters=int(_read_number(record, "adapters", 0)),
    )


def decode_endpoint(endpoint: str, raw: bytes) -> Result[EndpointView, str]:
    """Decode an endpoint's entry.

    :param endpoint: id of the endpoint, which is the key of the entry.
    """
    return _to_result(lambda: _decode_endpoint_view(endpoint, _parse_json(raw)))


def _decode_endpoint_view(endpoint: str, record: Any) -> EndpointView:
    state = _read_field(record, "state", str)
    if state not in _STATES:
        raise _InvalidRecordError(f"state is {state!r}")
    address = _read_field(record, "address", str)
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise _InvalidRecordError(f"address is {address!r}") from error
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise _InvalidRecordError(f"address is {address!r}")
    models = record.get("models")
    loaded = _decode_loaded_items(models) if models is not None else (frozenset(), frozenset())
    return EndpointView(
        endpoint=endpoint,
        address=address,
        service=_read_field(record, "service", str),
        zone=_read_field(record, "zone", str),
        kind="plain" if models is None else "engine",
        leaving=state == "draining",
        boot_id=_decode_boot_id(record),
        models=loaded[0],
        adapters=loaded[1],
        # The entry's ``sequence`` is not used, since it counts heartbeats instead of orders.
        slots=int(_read_number(record, "slots")),
        **_decode_copies(record),
    )


def _decode_boot_id(record: Any) -> str:
    # ``born`` is the start of the endpoint in milliseconds since the epoch.
    born = record.get("born")
    if born is None:
        return ""
    return str(_read_field(record, "born", int))


def _decode_loaded_items(models: Any) -> tuple[frozenset[str], frozenset[str]]:
    """Return the names of models, and of adapters as ``model/adapter``."""
    if not isinstance(models, list):
        raise _InvalidRecordError(f"models is {models!r}"[:200])
    names = [_read_field(entry, "name", str) for entry in models]
    adapters = [
        f"{name}/{_decode_adapter_name(adapter)}"
        for name, entry in zip(names, models, strict=True)
        for adapter in entry.get("adapters") or ()
    ]
    return frozenset(names), frozenset(adapters)


def _decode_adapter_name(adapter: Any) -> str:
    # An adapter is either a name or an object with the field ``name``.
    if isinstance(adapter, dict):
        adapter = adapter.get("name")
    if not isinstance(adapter, str):
        raise _InvalidRecordError(f"an adapter is {adapter!r}"[:200])
    return adapter.partition("@")[0]


def _decode_copies(record: Any) -> dict[str, frozenset[str]]:
    """Return the models whose weights are cached in host memory or on disk, by field."""
    placement = record.get("placement")
    if not isinstance(placement, dict):
        return {}
    return {
        name: frozenset(model for model in placement.get(name) or () if isinstance(model, str))
        for name in ("in_memory", "on_disk")
    }


def decode_report(raw: bytes) -> Result[EngineState, str]:
    """Decode an engine's report."""
    return _to_result(lambda: _decode_engine_state(_parse_json(raw)))


def _decode_engine_state(record: Any) -> EngineState:
    models, adapters = _decode_loaded_items(_read_field(record, "models", list))
    incoming = record.get("incoming") or ()
    return EngineState(
        boot_id=_decode_boot_id(record),
        sequence=_read_field(record, "sequence", int),
        busy=_read_field(record, "busy", bool),
        models=models,
        adapters=adapters,
        # The format is MODEL/NAME@VERSION.
        incoming=frozenset(name.partition("@")[0] for name in incoming if isinstance(name, str)),
        running=int(_read_number(record, "active", 0)),
        waiting=int(_read_number(record, "queued", 0)),
        **_decode_copies(record),
    )
