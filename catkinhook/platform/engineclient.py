"""HTTP client for orders to the platform's engines and for their reports."""

import json

import attrs
from result import Err, Ok, Result

from catkinhook.control.sequencedorders import EngineState, OrderReply, SequencedOrder
from catkinhook.errors import EngineError, Ran
from catkinhook.platform import protocolnames
from catkinhook.platform.records import decode_report
from catkinhook.requests.attempts import CONNECTION_ERRORS, AttemptLimits, ConnectionPool
from catkinhook.state.views import EndpointView

STEP = "engine"
# Engines acknowledge an order within a few milliseconds. After this timeout the response is
# considered lost, and the order is sent again.
ORDER_TIMEOUT_S = 0.25
REPORT_TIMEOUT_S = 0.6
# Reports are usually a few kilobytes in size.
MAX_REPORT_BYTES = 1 << 20

_REPLY_BY_STATUS = {
    200: OrderReply.IN_EFFECT,
    202: OrderReply.ACCEPTED,
    400: OrderReply.INVALID,
    409: OrderReply.REFUSED,
    412: OrderReply.FENCED,
    421: OrderReply.GONE,
}


@attrs.frozen
class EngineResponse:
    """Status and body of an engine's HTTP response."""

    status: int
    data: bytes


class EngineClient:
    """Client for orders and reports over HTTP; thread-safe."""

    def __init__(self) -> None:
        self._connections = ConnectionPool()

    def start(self) -> None:
        """Do nothing; connections are opened on first use."""

    def close(self) -> None:
        """Close all idle connections."""
        self._connections.close()

    def order(
        self, endpoint: EndpointView, order: SequencedOrder
    ) -> Result[OrderReply, EngineError]:
        """Send one order; after an error, the engine may execute it now, later or never."""
        fields = {
            "operation": "load" if order.is_load else "unload",
            "model": order.model,
            "expected": order.expected,
            "holder": order.holder,
            "fence": order.fence,
        }
        if order.adapter:
            fields["adapter"] = order.adapter
        body = json.dumps(fields).encode()
        result = self._call("POST", endpoint, "/order", ORDER_TIMEOUT_S, body)
        if result.is_err():
            return result
        reply = _REPLY_BY_STATUS.get(result.unwrap().status)
        if reply is None:
            return Err(
                self._error(endpoint, f"answered an order with status {result.unwrap().status}")
            )
        return Ok(reply)

    def state(self, endpoint: EndpointView) -> Result[EngineState, EngineError]:
        """Request an engine's report and return the state in it."""
        result = self._call("GET", endpoint, "/report", REPORT_TIMEOUT_S)
        if result.is_err():
            return result
        response = result.unwrap()
        if response.status != 200:
            return Err(
                self._error(
                    endpoint, f"answered the request for a report with status {response.status}"
                )
            )
        decoded = decode_report(response.data)
        return decoded.map_err(
            lambda reason: self._error(endpoint, f"sent an invalid report: {reason}")
        )

    def _call(
        self,
        method: str,
        endpoint: EndpointView,
        path: str,
        timeout_s: float,
        body: bytes | None = None,
    ) -> Result[EngineResponse, EngineError]:
        # Without the expected instance, a delayed order could reach an endpoint that has restarted.
        headers = [("Host", endpoint.address), (protocolnames.EXPECT_INSTANCE, endpoint.endpoint)]
        if body is not None:
            headers += [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        limits = AttemptLimits(timeout_s, timeout_s, MAX_REPORT_BYTES)
        # Replies have no id, so that on a reused connection a late answer could be taken for the
        # reply to an order. A late report is harmless: its sequence number shows its age.
        is_order = body is not None
        try:
            connection = self._connections.acquire(endpoint.address, limits, is_order)
        except CONNECTION_ERRORS as error:
            return Err(self._error(endpoint, f"can't be reached for {path}: {error}"))
        try:
            connection.send_raw(method, path, headers, body or b"")
            http_response = connection.read_head(timeout_s)
            connection.reader.set_bounds(MAX_REPORT_BYTES, timeout_s)
            response = EngineResponse(http_response.status, http_response.read())
        except CONNECTION_ERRORS as error:
            connection.close()
            return Err(self._error(endpoint, f"{method} {path} failed: {error!r}"))
        if http_response.will_close or is_order:
            connection.close()
        else:
            self._connections.release(endpoint.address, connection)
        return Ok(response)

    def _error(self, endpoint: EndpointView, reason: str) -> EngineError:
        return EngineError(STEP, f"{endpoint.endpoint} at {endpoint.address}", reason, Ran.UNKNOWN)
