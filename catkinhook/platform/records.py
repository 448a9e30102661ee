"""Decoders of the platform's configuration and endpoint entries, and of engines' reports.

For an invalid record, a decoder returns the reason instead of a value.
"""

import ipaddress
import json
import math
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from catkinhook.control.enginestates import EngineState
from catkinhook.requests.routes import (
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
# Used if a stream's route has no ``gap_aim_ms``.
DEFAULT_GAP_S = 0.3

_STATES = frozenset({"ready", "draining"})


class _InvalidRecordError(ValueError):
    """A field is missing or has an invalid value."""


def _get(record: Any, field: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
    value = record.get(field, default) if isinstance(record, dict) else None
    if isinstance(value, bool) and kind is not bool:
        raise _InvalidRecordError(f"{field} is {value!r}")
    if value is None or not isinstance(value, kind):
        raise _InvalidRecordError(f"{field} is {value!r}"[:200])
    return value


def _number(record: Any, field: str, default: float | None = None) -> float:
    value = float(_get(record, field, (int, float), default))
    if not math.isfinite(value) or value < 0:
        raise _InvalidRecordError(f"{field} is {value!r}")
    return value


def _load(raw: bytes) -> Any:
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
    """Decode a whole configuration."""
    return _to_result(lambda: _configuration(_load(raw)))


def _configuration(record: Any) -> RouteTable:
    services = [_service(entry) for entry in _get(record, "services", list)]
    limits = record.get("limits") or {}
    return RouteTable(
        version=_get(record, "version", int),
        routes=tuple(_route(entry) for entry in _get(record, "routes", list)),
        service_by_name={service.name: service for service in services},
        limits=CallerLimits(
            header_bytes=int(_number(limits, "max_header_bytes", 16384)),
            body_bytes=int(_number(limits, "max_body_bytes", 4 << 20)),
            idle_s=_number(limits, "idle_timeout_ms", 15000) * _MS,
        ),
    )


def _route(record: Any) -> Route:
    kind = _get(record, "kind", str)
    if kind == "stream":
        repeat = RetryMode.RESUME if record.get("resumable") is True else RetryMode.NEVER
    else:
        repeat = RetryMode.ALWAYS if kind == "idempotent" else RetryMode.NEVER
    split = record.get("traffic_split")
    if split:
        weights = tuple((_get(s, "service", str), _number(s, "weight")) for s in split)
    else:
        weights = ((_get(record, "service", str), 1.0),)
    timeout = _number(record, "timeout_ms") * _MS
    gap = record.get("gap_aim_ms")
    return Route(
        name=_get(record, "name", str, ""),
        host=_get(record, "host", str),
        prefix=_get(record, "path_prefix", str),
        retry_mode=repeat,
        is_stream=kind == "stream",
        timeout_s=timeout,
        objective_s=_number(record, "target_latency_ms", timeout / _MS) * _MS,
        gap_s=_number(record, "gap_aim_ms") * _MS if gap is not None else DEFAULT_GAP_S,
        priority=int(_number(record, "priority", 0)),
        max_attempts=max(1, int(_number(record, "max_attempts", 1))),
        weight_by_service=weights,
    )


def _service(record: Any) -> ServiceSpec:
    engine = record.get("engine") if isinstance(record, dict) else None
    return ServiceSpec(
        name=_get(record, "name", str),
        max_connections=int(_number(record, "max_conns", 100)),
        engine=_engine(engine) if engine else None,
    )


def _engine(record: Any) -> EngineSpec:
    models = [_model(entry) for entry in record.get("models") or ()]
    return EngineSpec(
        slots=int(_number(record, "slots")),
        cache_tokens=int(_number(record, "kv_capacity")),
        memory_mb=_number(record, "weights_mb", 0),
        adapter_slots=int(_number(record, "adapter_slots", 0)),
        loads_per_s=_number(record, "loads_per_s", 1),
        model_by_name={model.name: model for model in models},
    )


def _model(record: Any) -> ModelSpec:
    load = _number(record, "load_s")
    return ModelSpec(
        name=_get(record, "name", str),
        memory_mb=_number(record, "weights_mb"),
        load_s=load,
        disk_load_s=_number(record, "disk_s", load),
        memory_load_s=_number(record, "warm_s", load),
        adapter_mb=_number(record, "adapter_mb", 0),
        adapters=int(_number(record, "adapters", 0)),
    )


def decode_endpoint(endpoint: str, raw: bytes) -> Result[EndpointView, str]:
    """Decode an endpoint's entry.

    :param endpoint: id of the endpoint, which is the key of the entry.
    """
    return _to_result(lambda: _endpoint(endpoint, _load(raw)))


def _endpoint(endpoint: str, record: Any) -> EndpointView:
    state = _get(record, "state", str)
    if state not in _STATES:
        raise _InvalidRecordError(f"state is {state!r}")
    address = _get(record, "address", str)
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise _InvalidRecordError(f"address is {address!r}") from error
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise _InvalidRecordError(f"address is {address!r}")
    models = record.get("models")
    held = _holding(models) if models is not None else (frozenset(), frozenset())
    return EndpointView(
        endpoint=endpoint,
        address=address,
        service=_get(record, "service", str),
        zone=_get(record, "zone", str),
        kind="plain" if models is None else "engine",
        leaving=state == "draining",
        boot_id=_boot_id(record),
        models=held[0],
        adapters=held[1],
        # The entry's ``sequence`` is not used, since it counts heartbeats instead of orders.
        slots=int(_number(record, "slots")),
        **_copies(record),
    )


def _boot_id(record: Any) -> str:
    # ``born`` is the start of the endpoint in milliseconds since the epoch.
    born = record.get("born")
    if born is None:
        return ""
    return str(_get(record, "born", int))


def _holding(models: Any) -> tuple[frozenset[str], frozenset[str]]:
    if not isinstance(models, list):
        raise _InvalidRecordError(f"models is {models!r}"[:200])
    names = [_get(entry, "name", str) for entry in models]
    adapters = [
        f"{name}/{_adapter_name(adapter)}"
        for name, entry in zip(names, models, strict=True)
        for adapter in entry.get("adapters") or ()
    ]
    return frozenset(names), frozenset(adapters)


def _adapter_name(adapter: Any) -> str:
    # An adapter is either a name or an object with the field ``name``.
    if isinstance(adapter, dict):
        adapter = adapter.get("name")
    if not isinstance(adapter, str):
        raise _InvalidRecordError(f"an adapter is {adapter!r}"[:200])
    return adapter.partition("@")[0]


def _copies(record: Any) -> dict[str, frozenset[str]]:
    placement = record.get("placement")
    if not isinstance(placement, dict):
        return {}
    return {
        name: frozenset(model for model in placement.get(name) or () if isinstance(model, str))
        for name in ("in_memory", "on_disk")
    }


def decode_report(raw: bytes) -> Result[EngineState, str]:
    """Decode an engine's report."""
    return _to_result(lambda: _report(_load(raw)))


def _report(record: Any) -> EngineState:
    models, adapters = _holding(_get(record, "models", list))
    incoming = record.get("incoming") or ()
    return EngineState(
        boot_id=_boot_id(record),
        sequence=_get(record, "sequence", int),
        busy=_get(record, "busy", bool),
        models=models,
        adapters=adapters,
        # The format is MODEL/NAME@VERSION.
        incoming=frozenset(name.partition("@")[0] for name in incoming if isinstance(name, str)),
        running=int(_number(record, "active", 0)),
        waiting=int(_number(record, "queued", 0)),
        **_copies(record),
    )
