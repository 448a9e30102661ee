"""Client of the orders and reports of the platform's engines."""

import json

import attrs
from result import Err, Ok, Result

from catkinhook.control.enginestates import EngineState, OrderReply, SequencedOrder
from catkinhook.errors import EngineError, Ran
from catkinhook.platform import names
from catkinhook.platform.records import decode_report
from catkinhook.requests.attempts import CONNECTION_ERRORS, AttemptLimits, ConnectionPool
from catkinhook.state.views import EndpointView

STEP = "engine"
# An order is acknowledged within a few milliseconds; later answers count as lost, and the order is
# sent again.
ORDER_TIMEOUT_S = 0.25
REPORT_TIMEOUT_S = 0.6
# Reports have some kilobytes.
MAX_REPORT_BYTES = 1 << 20

_REPLY_BY_STATUS = {
    200: OrderReply.HOLDS,
    202: OrderReply.ACCEPTED,
    400: OrderReply.INVALID,
    409: OrderReply.REFUSED,
    412: OrderReply.FENCED,
    421: OrderReply.GONE,
}


@attrs.frozen
class Answer:
    """Status and body of an engine's answer."""

    status: int
    data: bytes


class EngineClient:
    """Orders and reports over HTTP; safe for use by many threads."""

    def __init__(self) -> None:
        self._connections = ConnectionPool()

    def start(self) -> None:
        """Do nothing; connections are opened on first use."""

    def close(self) -> None:
        """Close the idle connections."""
        self._connections.close()

    def order(
        self, endpoint: EndpointView, order: SequencedOrder
    ) -> Result[OrderReply, EngineError]:
        """Send one order; an error means that it may be carried out now, later or never."""
        fields = {
            "operation": "load" if order.is_load else "unload",
            "model": order.model,
            "expected": order.expected,
            "holder": order.holder,
            "fence": order.fence,
        }
        if order.adapter:
            fields["adapter"] = order.adapter
        called = self._call(
            "POST", endpoint, "/order", ORDER_TIMEOUT_S, json.dumps(fields).encode()
        )
        if called.is_err():
            return called
        reply = _REPLY_BY_STATUS.get(called.unwrap().status)
        if reply is None:
            return Err(self._error(endpoint, f"an order got {called.unwrap().status}"))
        return Ok(reply)

    def state(self, endpoint: EndpointView) -> Result[EngineState, EngineError]:
        """Return what an engine reports of itself."""
        called = self._call("GET", endpoint, "/report", REPORT_TIMEOUT_S)
        if called.is_err():
            return called
        answer = called.unwrap()
        if answer.status != 200:
            return Err(self._error(endpoint, f"a report got {answer.status}"))
        decoded = decode_report(answer.data)
        return decoded.map_err(lambda reason: self._error(endpoint, f"bad report: {reason}"))

    def _call(
        self,
        method: str,
        endpoint: EndpointView,
        path: str,
        timeout_s: float,
        body: bytes | None = None,
    ) -> Result[Answer, EngineError]:
        # Without the expected instance, a late order could reach an endpoint that restarted.
        headers = [("Host", endpoint.address), (names.EXPECT_INSTANCE, endpoint.endpoint)]
        if body is not None:
            headers += [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        limits = AttemptLimits(timeout_s, timeout_s, MAX_REPORT_BYTES)
        try:
            connection = self._connections.acquire(endpoint.address, limits, False)
        except CONNECTION_ERRORS as error:
            return Err(self._error(endpoint, f"can't be reached for {path}: {error}"))
        try:
            connection.send_raw(method, path, headers, body or b"")
            response = connection.read_head(timeout_s)
            connection.reader.allow(MAX_REPORT_BYTES, timeout_s)
            answer = Answer(response.status, response.read())
        except CONNECTION_ERRORS as error:
            connection.close()
            return Err(self._error(endpoint, f"{method} {path} failed: {error!r}"))
        if response.will_close:
            connection.close()
        else:
            self._connections.release(endpoint.address, connection)
        return Ok(answer)

    def _error(self, endpoint: EndpointView, reason: str) -> EngineError:
        return EngineError(STEP, f"{endpoint.endpoint} at {endpoint.address}", reason, Ran.UNKNOWN)
