"""Client of the engines' order and report API."""

import math
from collections.abc import Callable, Sequence
from typing import Any, Protocol

import attrs
import urllib3
from result import Err, Ok, Result

from catkinhook.clocks import Clock
from catkinhook.control.ledger import Order, Progress, Report
from catkinhook.errors import EngineError, Ran
from catkinhook.httpheads import make_pool_manager
from catkinhook.jsontexts import decode_json

# Connections per engine. Its worker thread and adapter requests never use more.
CONNECTIONS_PER_ENGINE = 2
# Errors raised by a malformed body: ``int()`` of infinity raises OverflowError, and deep nesting
# raises RecursionError.
DECODE_ERRORS = (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError)


@attrs.frozen(kw_only=True)
class Acknowledgement:
    """An engine's acknowledgement of orders.

    :ivar accepted: ids of the accepted orders.
    :ivar refused: progress by id of the orders that the engine won't execute.
    """

    boot_id: str
    accepted: frozenset[str] = frozenset()
    refused: dict[str, Progress] = attrs.Factory(dict)


class EngineApi(Protocol):
    """The engines' order and report API; thread-safe."""

    def send(self, address: str, orders: Sequence[Order]) -> Result[Acknowledgement, EngineError]:
        """Send orders; the call never sends them again after its return."""

    def report(self, address: str) -> Result[Report, EngineError]:
        """Return an engine's report."""

    def plain_report(self, address: str) -> Result[Report, EngineError]:
        """Return a plain service's report."""


class HttpEngineApi:
    """The engines' API over HTTP.

    :param timeout: timeout of one call in seconds.
    """

    def __init__(self, timeout: float, clock: Clock) -> None:
        self._clock = clock
        self._pool = make_pool_manager(
            num_pools=64,
            maxsize=CONNECTIONS_PER_ENGINE,
            retries=False,
            timeout=urllib3.Timeout(total=timeout),
        )

    def start(self) -> None:
        """Do nothing; connections are opened on first use."""

    def close(self) -> None:
        """Close the pooled connections."""
        self._pool.clear()

    def send(self, address: str, orders: Sequence[Order]) -> Result[Acknowledgement, EngineError]:
        """Send orders once."""
        body = {"orders": [_encode(order) for order in orders]}
        return self._call("POST", address, "/v1/orders", _read_acknowledgement, json=body)

    def report(self, address: str) -> Result[Report, EngineError]:
        """Return an engine's report."""
        started = self._clock()
        return self._call("GET", address, "/v1/report", lambda body: read_report(body, started))

    def plain_report(self, address: str) -> Result[Report, EngineError]:
        """Return a plain service's report."""
        started = self._clock()
        return self._call("GET", address, "/report", lambda body: _read_plain_report(body, started))

    def _call(
        self, method: str, address: str, path: str, decode: Callable[[dict], Any], **options: Any
    ) -> Result[Any, EngineError]:
        try:
            response = self._pool.request(method, f"http://{address}{path}", **options)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as e:
            return Err(EngineError("engines", address, f"cannot connect: {e}", Ran.NO))
        except urllib3.exceptions.HTTPError as error:
            return Err(EngineError("engines", address, f"no answer: {error}"))
        if response.status >= 300:
            reason = f"{path} answered {response.status}"
            return Err(EngineError("engines", address, reason, Ran.UNKNOWN, response.status))
        try:
            return Ok(decode(decode_json(response.data)))
        except DECODE_ERRORS as error:
            reason = f"answer of {path} can't be decoded: {error!r}"
            return Err(EngineError("engines", address, reason, Ran.UNKNOWN, response.status))


def read_report(body: dict[str, Any], started: float) -> Report:
    """Decode a report from JSON.

    :param started: time of the request on the local monotonic clock.
    :raises KeyError, TypeError, ValueError, AttributeError, OverflowError: if it is malformed.
    """
    lag = _read_number(body, "lag_ms") / 1000.0
    return Report(
        boot_id=str(body["boot_id"]),
        taken_at=started - lag,
        memory=int(body["memory"]),
        used=int(body["used"]),
        role=str(body.get("role", "mixed")),
        leaving=bool(body.get("leaving", False)),
        running=int(body.get("running", 0)),
        waiting=int(body.get("waiting", 0)),
        tokens_per_second=_read_number(body, "tokens_per_second"),
        models=_read_names(body["models"]),
        adapters=_read_names(body["adapters"]),
        progress_by_order={key: _read_progress(text) for key, text in body["orders"].items()},
        fencing=int(body.get("fencing", 0)),
        prefixes=_read_names(body.get("prefixes", [])),
        lag=lag,
    )


def _read_number(body: dict[str, Any], name: str) -> float:
    number = float(body.get(name, 0))
    # A negative lag would date the report in the future and close orders too early.
    if not math.isfinite(number) or number < 0:
        raise ValueError(f"{name!r} is not a finite number of at least 0")
    return number


def _read_names(value: Any) -> frozenset[str]:
    if not isinstance(value, list) or not all(isinstance(name, str) for name in value):
        raise TypeError("names are not a list of strings")
    return frozenset(value)


def _read_plain_report(body: dict[str, Any], started: float) -> Report:
    return Report(
        boot_id=str(body["boot_id"]),
        taken_at=started,
        leaving=bool(body.get("leaving", False)),
        running=int(body.get("running", 0)),
    )


def _encode(order: Order) -> dict[str, Any]:
    return {
        "order_id": order.order_id,
        "kind": order.kind.value,
        "item": order.item,
        "memory": order.memory,
        "fencing": order.fencing,
        "sender": f"{order.sender}/{order.incarnation}",
    }


def _read_progress(value: str) -> Progress:
    return Progress(value.partition(":")[0].strip())


def _read_acknowledgement(body: dict[str, Any]) -> Acknowledgement:
    refused = {
        item["order_id"]: Progress.STALE if "stale" in str(item["reason"]) else Progress.FAILED
        for item in body["rejected"]
    }
    return Acknowledgement(
        boot_id=str(body["boot_id"]), accepted=_read_names(body["accepted"]), refused=refused
    )
