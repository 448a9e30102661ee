"""WSGI application for the platform's callers: decodes requests and encodes answers."""

import json
import math
import random
import sys
from collections.abc import Callable, Iterable
from http import HTTPStatus
from io import BytesIO
from typing import BinaryIO
from urllib.parse import parse_qs

import attrs
import xxhash

from catkinhook.answertask import END_OUTPUT_AT, PARSED_REQUEST
from catkinhook.errors import PROBLEM_CONTENT_TYPE, Ran, Refusal, render_problem
from catkinhook.hoststate import HostState
from catkinhook.platform import protocolnames
from catkinhook.platform.callers import Caller, CallerChecker
from catkinhook.platform.upstream import RequestUpstream
from catkinhook.requests.attempts import ConnectionPool
from catkinhook.requests.endpointactivity import EndpointActivity
from catkinhook.requests.endpointavailability import EndpointAvailability
from catkinhook.requests.forwarding import Forwarder
from catkinhook.requests.quarantinecontrol import QuarantineControl
from catkinhook.requests.routedrequest import DEFAULT_OUTPUT_TOKENS, RoutedRequest
from catkinhook.requests.routetable import Route, RouteTable
from catkinhook.requests.upstreams import CallerDisconnectedError, Reply
from catkinhook.texts import parse_count

STEP = "front"
# Default deadline of requests, and upper limit on the deadlines that callers send.
MAX_DEADLINE_S = 120.0
# Time after the deadline of a request in which its caller may still read the rest of the answer.
OUTPUT_GRACE_S = 1.0
# Larger token counts of a request are not believed.
MAX_TOKENS = 10**9 - 1


@attrs.frozen(kw_only=True)
class _InboundRequest:
    """Request of a caller.

    :ivar target: path and query as received.
    :ivar value_by_name: last value of each header by its name in lower case.
    """

    method: str
    target: str
    path: str
    headers: tuple[tuple[str, str], ...]
    value_by_name: dict[str, str]
    body: bytes
    arrived: float


class FrontApplication:
    """WSGI application of one host.

    :param get_route_table: returns the configuration in force, None before the first one.
    :param connections: connections to endpoints.
    :param availability: records what endpoints say about further requests.
    """

    def __init__(
        self,
        get_route_table: Callable[[], RouteTable | None],
        forwarder: Forwarder,
        connections: ConnectionPool,
        availability: EndpointAvailability,
        state: HostState,
        rng: random.Random,
    ) -> None:
        self._get_route_table = get_route_table
        self._forwarder = forwarder
        self._connections = connections
        self._availability = availability
        self._state = state
        self._rng = rng
        self._activity = EndpointActivity()
        self._callers = CallerChecker(get_route_table, forwarder.record_key_refusal)

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Serve one request."""
        if not self._state.begin_request():
            return self._refuse(
                _make_busy_refusal("the host is at its limit of requests or stopping"),
                start_response,
            )
        try:
            result = self._handle(environ)
        except Refusal as refusal:
            result = refusal
        except CallerDisconnectedError:
            self._state.end_request()
            raise
        except Exception as error:
            self._state.log_unhandled_error(error)
            # The error may have occurred after bytes were sent, so the request may have run.
            result = Refusal(STEP, "", "the host failed", "internal", 500, Ran.UNKNOWN)
        if isinstance(result, Refusal):
            self._state.end_request()
            return self._refuse(result, start_response)
        body = _ResponseBody(result, self._state.end_request)
        try:
            self._start_answer(result, start_response)
        except Exception as error:
            body.close()
            self._state.log_unhandled_error(error)
            failure = Refusal(STEP, "", "the host failed", "internal", 500, Ran.UNKNOWN)
            return self._refuse(failure, start_response, sys.exc_info())
        return body

    def _handle(self, environ: dict) -> Reply | Refusal:
        inbound = _parse_request(environ)
        table = self._get_route_table()
        if table is None:
            raise _make_busy_refusal("no configuration is known yet")
        host = inbound.value_by_name.get("host", "").partition(":")[0]
        route = table.match(host, inbound.path)
        if route is None:
            reason = f"no route of configuration {table.version} matches"
            raise Refusal(STEP, "", reason, "unknown-route", 404, Ran.NO)
        caller = self._callers.identify(table, route, inbound.headers)
        request_id = inbound.value_by_name.get(protocolnames.REQUEST_ID.lower(), "")
        if not request_id:
            reason = f"the header {protocolnames.REQUEST_ID} is missing"
            raise Refusal(STEP, "", reason, "bad-request", 400, Ran.NO)
        request = self._route_request(inbound, route, request_id, table.version, caller)
        if not self._state.may_accept(request.deadline):
            raise _make_busy_refusal("the host is stopping")
        end_output_at = environ.get(END_OUTPUT_AT)
        if end_output_at is not None:
            end_output_at(request.deadline + OUTPUT_GRACE_S)
        upstream = RequestUpstream(
            self._connections,
            self._activity,
            self._availability,
            request_id,
            inbound.method,
            inbound.target,
            _select_headers(inbound.headers, caller),
            inbound.body,
            request.is_repeatable,
            self._callers.make_check(table, route, inbound.headers, caller),
        )
        is_disconnected = environ.get("waitress.client_disconnected")
        return self._forwarder.run(
            request, upstream, is_disconnected, _parse_last_event_id(inbound)
        )

    def _route_request(
        self,
        inbound: _InboundRequest,
        route: Route,
        request_id: str,
        version: int,
        caller: Caller,
    ) -> RoutedRequest:
        get = inbound.value_by_name.get
        item = get(protocolnames.MODEL.lower(), "")
        stated_tokens = get(protocolnames.TOKENS.lower(), "")
        prompt_tokens, output_tokens = _parse_token_counts(stated_tokens)
        counts = _read_token_counts(stated_tokens)
        deadline = _parse_deadline_s(get(protocolnames.DEADLINE_MS.lower(), ""))
        service = route.choose_service(self._rng)
        parts = _parse_part_ids(get(protocolnames.PROMPT_PARTS.lower(), ""))
        identity = "\n".join((inbound.method, inbound.target, item, ""))
        fingerprint = xxhash.xxh64(identity.encode("latin-1", "replace"))
        fingerprint.update(inbound.body)
        return RoutedRequest(
            request_id=request_id,
            service=service,
            route=route,
            configuration=version,
            arrived=inbound.arrived,
            deadline=inbound.arrived + min(deadline, route.timeout_s),
            item=item,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens if item else 0,
            prefixes=_hash_prefixes(item, parts),
            shared_parts=parts[:-1],
            fingerprint=fingerprint.hexdigest(),
            workspace=caller.workspace_name,
            workspace_priority=caller.workspace and caller.workspace.priority,
            limit_cost=caller.limit_cost(sum(counts) if counts else None),
        )

    def _start_answer(self, reply: Reply, start_response: Callable) -> None:
        headers = list(reply.headers)
        if reply.length is not None:
            headers.append(("Content-Length", str(reply.length)))
        start_response(_status_line(reply.status), headers)

    def _refuse(
        self, refusal: Refusal, start_response: Callable, exc_info: tuple | None = None
    ) -> Iterable[bytes]:
        body = render_problem(refusal)
        headers = [("Content-Type", PROBLEM_CONTENT_TYPE), ("Content-Length", str(len(body)))]
        if refusal.status in (429, 503):
            headers.append((protocolnames.RETRY_AFTER, _format_seconds(refusal.retry_after_s)))
        if refusal.status == 401:
            headers.append((protocolnames.AUTHENTICATE, protocolnames.BEARER))
        start_response(_status_line(refusal.status), headers, exc_info)
        return [body]


class _ResponseBody:
    """Response body that marks its request as ended when waitress closes it."""

    def __init__(self, reply: Reply, end_request: Callable[[], None]) -> None:
        self._reply = reply
        self._end_request = end_request

    def __iter__(self) -> Iterable[bytes]:
        return self._reply.body

    def close(self) -> None:
        try:
            close = getattr(self._reply.body, "close", None)
            if close is not None:
                close()
        finally:
            self._end_request()


class ReadinessApplication:
    """WSGI application for the readiness check, the metrics and the quarantined prompt parts.

    :param render_metrics: returns all metrics in the Prometheus text format.
    """

    def __init__(
        self, state: HostState, render_metrics: Callable[[], bytes], quarantines: QuarantineControl
    ) -> None:
        self._state = state
        self._render_metrics = render_metrics
        self._quarantines = quarantines
        self._answer_by_target = {
            ("GET", "/metrics"): self._answer_metrics,
            ("GET", "/quarantines"): self._answer_quarantines,
            ("DELETE", "/quarantines"): self._lift_quarantine,
        }

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Serve one request."""
        target = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        answer = self._answer_by_target.get(target, self._answer_readiness)
        status, content_type, body = answer(environ)
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(_status_line(status), headers)
        return [body]

    def _answer_metrics(self, environ: dict) -> tuple[int, str, bytes]:
        return 200, "text/plain; version=0.0.4; charset=utf-8", self._render_metrics()

    def _answer_readiness(self, environ: dict) -> tuple[int, str, bytes]:
        reason = self._state.explain_unready()
        return _encode_json(503 if reason else 200, {"ready": not reason, "reason": reason})

    def _answer_quarantines(self, environ: dict) -> tuple[int, str, bytes]:
        return _encode_json(200, self._quarantines.list_active())

    def _lift_quarantine(self, environ: dict) -> tuple[int, str, bytes]:
        key = parse_qs(environ["QUERY_STRING"]).get("parts", [""])[0]
        is_lifted = self._quarantines.lift(key)
        return _encode_json(200 if is_lifted else 404, {"parts": key, "lifted": is_lifted})


def find_request_id(headers: Iterable[tuple[str, str]]) -> str:
    """Return the caller's id of a request, empty if it has none."""
    name = protocolnames.REQUEST_ID.lower()
    return next((value for key, value in headers if key.lower() == name), "")


def _parse_request(environ: dict) -> _InboundRequest:
    parsed = environ[PARSED_REQUEST]
    lines = parsed.header_lines
    target = parsed.request_uri
    return _InboundRequest(
        method=environ["REQUEST_METHOD"],
        target=target,
        path=target.partition("?")[0],
        headers=lines,
        value_by_name={name.lower(): value for name, value in lines},
        body=_take_body(environ["wsgi.input"]),
        # The request may have waited for a thread since.
        arrived=parsed.completed_at,
    )


def _take_body(stream: BinaryIO) -> bytes:
    """Return a whole body; that of a buffer in memory is not copied."""
    return stream.getvalue() if isinstance(stream, BytesIO) else stream.read()


def _select_headers(
    headers: tuple[tuple[str, str], ...], caller: Caller
) -> tuple[tuple[str, str], ...]:
    """Return the headers to forward, without hop-by-hop and reserved ones."""
    connection_options = {
        part.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for part in value.split(",")
    }
    dropped = (
        protocolnames.RESERVED_HEADERS
        | protocolnames.HOP_BY_HOP_HEADERS
        | connection_options
        | {protocolnames.LAST_EVENT_ID.lower()}
        | caller.dropped_headers
    )
    kept = [(name, value) for name, value in headers if name.lower() not in dropped]
    return (*kept, *caller.more_headers)


def _parse_last_event_id(inbound: _InboundRequest) -> int | None:
    return parse_count(inbound.value_by_name.get(protocolnames.LAST_EVENT_ID.lower(), ""))


def _parse_token_counts(text: str) -> tuple[int, int]:
    """Return the tokens of the prompt and the limit of output tokens, defaults if invalid."""
    return _read_token_counts(text) or (0, DEFAULT_OUTPUT_TOKENS)


def _read_token_counts(text: str) -> tuple[int, int] | None:
    """Return the tokens of the prompt and the limit of output tokens, None if they are invalid."""
    counts = [parse_count(part.strip()) for part in text.split(",")]
    if len(counts) != 2 or any(count is None or count > MAX_TOKENS for count in counts):
        return None
    return counts[0], counts[1]


def _parse_deadline_s(text: str) -> float:
    """Convert a deadline in milliseconds to seconds; return the maximum if it is not a number."""
    try:
        seconds = float(text) / 1000
    except ValueError:
        return MAX_DEADLINE_S
    return min(MAX_DEADLINE_S, max(0.0, seconds)) if seconds == seconds else MAX_DEADLINE_S


def _parse_part_ids(text: str) -> tuple[str, ...]:
    """Return the ids of the prompt's parts, in their order."""
    return tuple(part.partition(":")[0].strip() for part in text.split(",") if part.strip())


def _hash_prefixes(item: str, parts: tuple[str, ...]) -> tuple[str, ...]:
    """Return a hash of each prefix of the prompt's parts, shortest first."""
    hashes = []
    prefix = item
    # This includes the last part, which is specific to the request or its session.
    for part in parts:
        prefix = f"{prefix}|{part}"
        hashes.append(xxhash.xxh64_hexdigest(prefix.encode("latin-1", "replace")))
    return tuple(hashes)


def _make_busy_refusal(reason: str) -> Refusal:
    return Refusal(STEP, "", reason, "busy", 503, Ran.NO, 0.2)


def _encode_json(status: int, value: object) -> tuple[int, str, bytes]:
    return status, "application/json", json.dumps(value).encode()


def _format_seconds(seconds: float) -> str:
    """Return seconds rounded up, so that no caller returns before a pause has ended."""
    return f"{math.ceil(seconds * 100) / 100:.2f}"


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"
