"""WSGI application of a gateway."""

import json
import logging
import math
import re
import threading
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Protocol

import attrs
from result import Result

from catkinhook.answertask import OUTPUT_BACKLOGGED
from catkinhook.clocks import Clock, monotonic
from catkinhook.durable.claimanswers import Answer
from catkinhook.errors import PROBLEM_CONTENT_TYPE, Ran, Refusal, render_problem
from catkinhook.operations.metrics import CONTENT_TYPE, GatewayMetrics
from catkinhook.requests.callrunner import EVENT_STREAM, Call, StreamAnswer
from catkinhook.requests.intake import (
    FORWARDED_HEADERS,
    JSON_CONTENT_TYPE,
    SERVICES_PREFIX,
    InboundRequest,
    build_call,
    find_callers,
    find_document,
    identify_caller,
    make_refusal,
)
from catkinhook.state.views import Snapshot

STEP = "web"
DEFERRED_PREFIX = "/v1/deferred/"
RESPOND_ASYNC = "respond-async"

_STREAM_HEADERS = (("Content-Type", EVENT_STREAM), ("Cache-Control", "no-store"))
_REQUEST_ID = re.compile(r"^[0-9a-f]{32}$")
_log = logging.getLogger(__name__)


class Runner(Protocol):
    """Runs calls."""

    def run(
        self, call: Call, is_disconnected: Callable[[], bool] | None
    ) -> Result[Answer | StreamAnswer, Refusal]:
        """Run a call until its answer is complete, or a stream until its first bytes."""


class DeferredRequests(Protocol):
    """Store of deferred requests."""

    def accept(self, inbound: InboundRequest, call: Call) -> Result[str, Refusal]:
        """Store a request for later execution and return its id."""

    def find_answer(
        self, request_id: str, callers: Iterable[str]
    ) -> Result[Answer | None, Refusal]:
        """Return the answer of a deferred request, None if it has not ended."""


class RequestSlots:
    """Limit on the requests in progress.

    waitress queues requests while all its threads are busy; this limit makes a full gateway refuse
    them instead.
    """

    def __init__(self, limit: int) -> None:
        self._lock = threading.Lock()
        self._limit = limit
        self.in_use = 0

    def acquire(self) -> bool:
        """Acquire a slot; return False if none is free."""
        with self._lock:
            if self.in_use >= self._limit:
                return False
            self.in_use += 1
            return True

    def release(self) -> None:
        """Release a slot."""
        with self._lock:
            self.in_use -= 1


@attrs.define
class ServingState:
    """Whether the gateway process serves requests, and the snapshot it serves from.

    :ivar snapshot: newest snapshot, None before the first.
    :ivar stopping: whether a stop was requested.
    :ivar closed: whether the listener was closed; new requests on keep-alive connections are then
        refused.
    """

    snapshot: Snapshot | None = None
    stopping: bool = False
    closed: bool = False

    def explain_unready(self) -> str:
        """Return why the gateway is not ready for new requests, or an empty string if it is."""
        if self.stopping:
            return "the gateway is stopping"
        if self.snapshot is None:
            return "no configuration was received yet"
        if not self.snapshot.current:
            return "the configuration may be out of date"
        return ""


@attrs.frozen
class Reply:
    """WSGI response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterable[bytes]


class Application:
    """WSGI application of one gateway.

    :param max_body: largest body of a request in bytes.
    :param deferred: store of deferred requests; without it, deferrable requests run at once.
    """

    def __init__(
        self,
        runner: Runner,
        state: ServingState,
        slots: RequestSlots,
        metrics: GatewayMetrics,
        max_body: int,
        deferred: DeferredRequests | None = None,
        clock: Clock = monotonic,
    ) -> None:
        self._runner = runner
        self._state = state
        self._slots = slots
        self._metrics = metrics
        self._max_body = max_body
        self._deferred = deferred
        self._clock = clock
        self._handler_by_path: dict[str, tuple[str, Callable[[dict], Reply]]] = {
            "/v1/chat/completions": ("POST", self._serve_call),
            "/v1/completions": ("POST", self._serve_call),
            "/v1/models": ("GET", self._list_models),
            "/healthz": ("GET", self._show_health),
            "/readyz": ("GET", self._show_readiness),
            "/metrics": ("GET", self._show_metrics),
        }

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Serve one request."""
        try:
            reply = self._handle(environ)
        except Refusal as refusal:
            reply = self._refuse(refusal)
        except Exception:
            _log.exception("request failed", extra={"path": environ["PATH_INFO"][:200]})
            # The error may have occurred after bytes were sent, so the request may have run.
            reason = "the gateway failed"
            reply = self._refuse(Refusal(STEP, "", reason, "internal", 500, Ran.UNKNOWN))
        write = start_response(
            f"{reply.status} {_reason_phrase(reply.status)}", list(reply.headers)
        )
        if isinstance(reply.body, _StreamBody) and OUTPUT_BACKLOGGED in environ:
            reply.body.attach(write, environ[OUTPUT_BACKLOGGED])
        return reply.body

    def _handle(self, environ: dict) -> Reply:
        path = environ["PATH_INFO"]
        if path.startswith(SERVICES_PREFIX):
            return self._serve_call(environ)
        if path.startswith(DEFERRED_PREFIX):
            method, handler = "GET", self._show_deferred
        elif path in self._handler_by_path:
            method, handler = self._handler_by_path[path]
        else:
            raise make_refusal("unknown-path", 404, f"there is nothing at {path[:200]!r}")
        if environ["REQUEST_METHOD"] != method:
            raise make_refusal("method", 405, f"{path[:200]!r} takes {method}")
        return handler(environ)

    def _show_health(self, environ: dict) -> Reply:
        return make_json(200, {"status": "ok"})

    def _show_readiness(self, environ: dict) -> Reply:
        reason = self._state.explain_unready()
        return make_json(503 if reason else 200, {"ready": not reason, "reason": reason})

    def _show_metrics(self, environ: dict) -> Reply:
        self._metrics.in_progress.set(self._slots.in_use)
        body = self._metrics.render()
        headers = (("Content-Type", CONTENT_TYPE), ("Content-Length", str(len(body))))
        return Reply(200, headers, [body])

    def _list_models(self, environ: dict) -> Reply:
        entries = self._get_snapshot().catalog.entry_by_model
        data = [
            {"id": item, "object": "model", "owned_by": entry.document.service}
            for name, entry in sorted(entries.items())
            for item in (name, *(f"{name}/{adapter.name}" for adapter in entry.model.adapters))
        ]
        return make_json(200, {"object": "list", "data": data})

    def _show_deferred(self, environ: dict) -> Reply:
        if self._deferred is None:
            raise make_refusal("no-deferred", 503, "deferred requests are not available here", 1.0)
        request_id = environ["PATH_INFO"].removeprefix(DEFERRED_PREFIX)
        if not _REQUEST_ID.match(request_id):
            raise make_refusal("unknown-request", 404, "there is no such request")
        documents = self._get_snapshot().catalog.document_by_service.values()
        callers = find_callers(documents, environ.get("HTTP_AUTHORIZATION", ""))
        result = self._deferred.find_answer(request_id, callers)
        if result.is_err():
            return self._refuse(result.unwrap_err())
        answer = result.unwrap()
        return make_json(202, {"status": "running"}) if answer is None else make_reply(answer)

    def _serve_call(self, environ: dict) -> Reply:
        arrived = self._clock()
        snapshot = self._get_snapshot()
        if self._state.closed:
            raise make_refusal("stopping", 503, "the gateway is stopping", 1.0)
        if not self._slots.acquire():
            raise make_refusal("busy", 503, "the gateway is at its limit of requests", 1.0)
        release = self._slots.release
        try:
            inbound = read_inbound_request(environ, self._max_body)
            document = find_document(inbound, snapshot)
            authorization = environ.get("HTTP_AUTHORIZATION", "")
            class_header = environ.get("HTTP_X_CALLER_CLASS", "")
            inbound = identify_caller(document, authorization, class_header, inbound)
            call = build_call(inbound, snapshot, arrived)
            if self._deferred is not None and _wants_deferral(environ, call):
                return self._defer(inbound, call)
            reply = self._run(call, environ)
            if isinstance(reply.body, _StreamBody):
                release = _do_nothing
            return reply
        finally:
            release()

    def _run(self, call: Call, environ: dict) -> Reply:
        if not call.request.repeatable and not self._state.snapshot.current:
            raise make_refusal("not-current", 503, self._state.explain_unready(), 1.0)
        result = self._runner.run(call, environ.get("waitress.client_disconnected"))
        if result.is_err():
            reply = self._refuse(result.unwrap_err())
        elif isinstance(result.unwrap(), Answer):
            reply = make_reply(result.unwrap())
        else:
            body = _StreamBody(result.unwrap(), self._slots.release)
            reply = Reply(200, _STREAM_HEADERS, body)
        labels = (call.request.document.service, call.request.class_name, str(reply.status))
        self._metrics.requests.labels(*labels).inc()
        return reply

    def _defer(self, inbound: InboundRequest, call: Call) -> Reply:
        if call.stream:
            raise make_refusal("bad-request", 400, "a deferred request can't be streamed")
        result = self._deferred.accept(inbound, call)
        if result.is_err():
            return self._refuse(result.unwrap_err())
        location = DEFERRED_PREFIX + result.unwrap()
        reply = make_json(202, {"status": "accepted", "location": location})
        headers = (*reply.headers, ("Location", location), ("Preference-Applied", RESPOND_ASYNC))
        return Reply(202, headers, reply.body)

    def _get_snapshot(self) -> Snapshot:
        if self._state.snapshot is None:
            raise make_refusal("not-ready", 503, self._state.explain_unready(), 1.0)
        return self._state.snapshot

    def _refuse(self, refusal: Refusal) -> Reply:
        self._metrics.refusals.labels(refusal.code, refusal.ran.value).inc()
        return make_problem(refusal)


class _StreamBody:
    """Body of a stream; releases the request slot when waitress closes it."""

    def __init__(self, answer: StreamAnswer, release: Callable[[], None]) -> None:
        self._answer = answer
        self._release = release

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._answer)

    def attach(self, write: Callable[[bytes], object], is_behind: Callable[[], bool]) -> None:
        self._answer.write, self._answer.is_behind = write, is_behind

    def close(self) -> None:
        try:
            self._answer.close()
        finally:
            self._release()


def _do_nothing() -> None:
    pass


def _wants_deferral(environ: dict, call: Call) -> bool:
    # A deferred request may run a second time after its lease has expired.
    if call.request.caller_class.priority != "deferrable" or not call.request.repeatable:
        return False
    preferences = environ.get("HTTP_PREFER", "").lower().replace(";", ",").split(",")
    return RESPOND_ASYNC in [preference.strip() for preference in preferences]


def read_inbound_request(environ: dict, max_body: int) -> InboundRequest:
    """Return the request of a WSGI environment.

    :param max_body: largest body in bytes.
    :raises Refusal: if the body is larger or the path is not UTF-8.
    """
    names = {name: "HTTP_" + name.upper().replace("-", "_") for name in FORWARDED_HEADERS}
    names["Content-Type"] = "CONTENT_TYPE"
    headers = {name: environ[key] for name, key in names.items() if environ.get(key)}
    try:
        # WSGI passes the bytes of the path as Latin-1.
        path = environ["PATH_INFO"].encode("latin-1").decode("utf-8")
    except UnicodeError as error:
        raise make_refusal("bad-path", 400, "the path is not UTF-8") from error
    return InboundRequest(
        method=environ["REQUEST_METHOD"],
        path=path,
        query=environ.get("QUERY_STRING", ""),
        headers=headers,
        body=_read_body(environ, max_body),
    )


def _read_body(environ: dict, max_body: int) -> bytes:
    body = environ["wsgi.input"].read(max_body + 1)
    if len(body) > max_body:
        raise make_refusal("body-size", 413, f"the body is larger than {max_body} bytes")
    return body


def make_json(status: int, value: object) -> Reply:
    """Return a JSON reply."""
    body = json.dumps(value).encode()
    return Reply(
        status, (("Content-Type", JSON_CONTENT_TYPE), ("Content-Length", str(len(body)))), [body]
    )


def make_problem(refusal: Refusal) -> Reply:
    """Return a refusal as a problem document."""
    body = render_problem(refusal)
    headers = [("Content-Type", PROBLEM_CONTENT_TYPE), ("Content-Length", str(len(body)))]
    if refusal.retry_after_s > 0:
        headers.append(("Retry-After", str(math.ceil(refusal.retry_after_s))))
    return Reply(refusal.status, tuple(headers), [body])


def make_reply(answer: Answer) -> Reply:
    """Return a stored or complete answer as a reply."""
    headers = (*answer.headers.items(), ("Content-Length", str(len(answer.body))))
    return Reply(answer.status, headers, [answer.body])


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
