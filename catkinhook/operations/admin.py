"""WSGI application of the admin API: documents, history, status, error budget and claims."""

import hashlib
import hmac
import json
import logging
import re
import threading
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, Protocol
from urllib.parse import parse_qs

import attrs
import waitress
from result import Result

from catkinhook.addresses import split_address
from catkinhook.errors import (
    PROBLEM_CONTENT_TYPE,
    Effect,
    Ran,
    Refusal,
    StepError,
    StoreError,
    render_problem,
)
from catkinhook.eventloop import run_after_wake
from catkinhook.jsontexts import decode_json
from catkinhook.operations.burn import build_report
from catkinhook.operations.burnpage import render_json
from catkinhook.operations.metrics import CONTENT_TYPE
from catkinhook.operations.overview import Overview
from catkinhook.state.configuration import (
    HISTORY_LIMIT,
    ConfigurationStore,
    DocumentConflict,
    DocumentFaults,
)
from catkinhook.state.configurationchanges import Change, Configuration
from catkinhook.state.documents import MAX_DOCUMENT_BYTES, Document, parse_document
from catkinhook.validationerrors import Fault

STEP = "admin"
MAX_SETTLE_BODY_BYTES = 16 * 1024
MAX_HISTORY_LIMIT = 1000
MAX_AUTHOR_CHARS = 100
WORKER_THREADS = 4
CLOSE_TIMEOUT_S = 5.0

SETTLED_OUTCOMES = ("settled-ran", "settled-not-run")

_JSON = "application/json"
_ETAG_PATTERN = re.compile(r'^(?:W/)?"?(\d{1,18})"?$')

_log = logging.getLogger(__name__)


class Claims(Protocol):
    """The operations on claims of non-repeatable requests that the admin API needs."""

    def list_open(self) -> Result[list[Any], StepError]:
        """Return the claims whose outcome is unknown, as attrs instances."""

    def settle(self, key: str, outcome: str, note: str) -> Result[Any, StepError]:
        """Record the outcome of a claim as an operator determined it."""


@attrs.frozen
class _Response:
    status: int
    body: bytes
    content_type: str = _JSON
    headers: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class _Request:
    method: str
    path: str
    query: dict[str, list[str]]
    environ: dict[str, Any]

    def read_body(self, limit: int) -> bytes:
        """Return the body.

        :raises Refusal: if it is larger than ``limit`` bytes.
        """
        body = self.environ["wsgi.input"].read(limit + 1)
        if len(body) > limit:
            raise _make_refusal("body-size", 413, f"the body is larger than {limit} bytes")
        return body


def find_oversized_models(document: Document, capacities: list[int], file: str) -> list[Fault]:
    """Return a fault for each model that fits on no known endpoint; adapters are not counted.

    :param capacities: accelerator memory in bytes of the service's known endpoints; without any,
        nothing is checked.
    """
    largest = max(capacities, default=None)
    if largest is None:
        return []
    return [
        Fault(
            file,
            0,
            f"models[{index}].memory",
            f"{model.memory} bytes exceed {largest}, the memory of the largest known endpoint",
        )
        for index, model in enumerate(document.models)
        if model.memory > largest
    ]


class AdminApplication:
    """WSGI application of the admin API.

    :param token: bearer token of the operators.
    :param read_state: returns the configuration that this instance applies.
    :param on_commit: called after each accepted change.
    :param read_capacities: returns the accelerator memory in bytes of a service's endpoints.
    :param collect: returns the status of all instances.
    :param render_metrics: returns this controller's metrics in the text format.
    """

    def __init__(
        self,
        token: bytes,
        store: ConfigurationStore,
        read_state: Callable[[], Configuration],
        on_commit: Callable[[], None],
        read_capacities: Callable[[str], list[int]],
        collect: Callable[[], Overview],
        claims: Claims | None = None,
        render_metrics: Callable[[], bytes] = bytes,
    ) -> None:
        self._token_digest = hashlib.sha256(token).digest()
        self._store = store
        self._read_state = read_state
        self._on_commit = on_commit
        self._read_capacities = read_capacities
        self._collect = collect
        self._claims = claims
        self._render_metrics = render_metrics
        self._routes = (
            ("GET", re.compile(r"/api/documents"), self._list_documents),
            ("GET", re.compile(r"/api/documents/([^/]+)"), self._show_document),
            ("PUT", re.compile(r"/api/documents/([^/]+)"), self._put_document),
            ("DELETE", re.compile(r"/api/documents/([^/]+)"), self._delete_document),
            ("GET", re.compile(r"/api/history"), self._show_history),
            ("GET", re.compile(r"/api/status"), self._show_status),
            ("GET", re.compile(r"/metrics"), self._show_metrics),
            ("GET", re.compile(r"/api/burn"), self._show_burn),
            ("GET", re.compile(r"/api/claims"), self._list_claims),
            ("POST", re.compile(r"/api/claims/([^/]+)/settle"), self._settle_claim),
        )

    def __call__(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        """Handle one request."""
        try:
            response = self._handle(environ)
        except Refusal as refusal:
            response = _make_problem_response(refusal)
        except StepError as error:
            response = _make_problem_response(_to_refusal(error), _describe_error_details(error))
        except Exception:
            _log.exception("admin API request failed")
            response = _make_problem_response(
                _make_refusal("internal", 500, "the request failed; see the log")
            )
        phrase = HTTPStatus(response.status).phrase
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            ("Cache-Control", "no-store"),
            *response.headers,
        ]
        start_response(f"{response.status} {phrase}", headers)
        return [response.body]

    def _handle(self, environ: dict[str, Any]) -> _Response:
        self._authenticate(environ.get("HTTP_AUTHORIZATION", ""))
        path, method = environ.get("PATH_INFO", ""), environ["REQUEST_METHOD"]
        query = parse_qs(environ.get("QUERY_STRING", ""), max_num_fields=16)
        request = _Request(method, path, query, environ)
        allowed = []
        for allowed_method, pattern, handler in self._routes:
            match = pattern.fullmatch(path)
            if match and allowed_method == method:
                return handler(request, *match.groups())
            if match:
                allowed.append(allowed_method)
        if allowed:
            reason = f"{path} allows {', '.join(allowed)}, not {method}"
            raise _make_refusal("method-not-allowed", 405, reason)
        raise _make_refusal("not-found", 404, f"there is nothing at {path[:200]!r}")

    def _authenticate(self, header: str) -> None:
        scheme, _, token = header.partition(" ")
        # Digests have equal lengths, so the comparison time does not reveal the token's length.
        digest = hashlib.sha256(token.strip().encode("utf-8", "surrogateescape")).digest()
        is_valid = hmac.compare_digest(digest, self._token_digest)
        if scheme.lower() != "bearer" or not is_valid:
            raise _make_refusal("unauthorized", 401, "the bearer token is missing or wrong")

    def _list_documents(self, request: _Request) -> _Response:
        state = self._read_state()
        changes = sorted(state.change_by_service.values(), key=lambda change: change.service)
        rows = [_describe_change(c) for c in changes if c.body]
        return _make_json_response(200, {"number": state.number, "documents": rows})

    def _show_document(self, request: _Request, service: str) -> _Response:
        result = self._store.read(service)
        # Falls back to the local copy while the store is unavailable; a commit against an outdated
        # version is refused.
        change = result.unwrap_or(self._read_state().change_by_service.get(service))
        if change is None or not change.body:
            raise _make_refusal("not-found", 404, f"service {service!r} has no document")
        etag = (("ETag", f'"{change.version}"'),)
        value = _describe_change(change) | {"body": change.body}
        return attrs.evolve(_make_json_response(200, value), headers=etag)

    def _put_document(self, request: _Request, service: str) -> _Response:
        expected = _read_version(request.environ)
        try:
            text = request.read_body(MAX_DOCUMENT_BYTES).decode("utf-8")
        except UnicodeDecodeError as error:
            raise _make_refusal("not-utf-8", 400, f"the document is not UTF-8: {error}") from error
        parsed = parse_document(text, service)
        if parsed.is_ok():
            capacities = self._read_capacities(service)
            faults = find_oversized_models(parsed.unwrap(), capacities, service)
            if faults:
                raise DocumentFaults(STEP, service, f"{len(faults)} model(s) don't fit", faults)
        author = _read_author(request.environ)
        return self._respond_to_change(self._store.commit(service, text, expected, author))

    def _delete_document(self, request: _Request, service: str) -> _Response:
        expected = _read_version(request.environ)
        author = _read_author(request.environ)
        return self._respond_to_change(self._store.withdraw(service, expected, author))

    def _respond_to_change(self, result: Result[Change, Any]) -> _Response:
        change = _unwrap_or_raise(result)
        self._on_commit()
        _log.info("document accepted", extra=_describe_change(change))
        return _make_json_response(200, _describe_change(change))

    def _show_history(self, request: _Request) -> _Response:
        service = request.query.get("service", [""])[0]
        limit = request.query.get("limit", [str(HISTORY_LIMIT)])[0]
        if not limit.isdecimal() or not 1 <= int(limit) <= MAX_HISTORY_LIMIT:
            raise _make_refusal(
                "bad-limit", 400, f"limit must lie between 1 and {MAX_HISTORY_LIMIT}"
            )
        changes = _unwrap_or_raise(self._store.read_history(service, int(limit)))
        rows = [_describe_change(change) | {"body": change.body} for change in changes]
        return _make_json_response(200, {"changes": rows})

    def _show_status(self, request: _Request) -> _Response:
        value = attrs.asdict(self._collect(), filter=lambda field, _: field.name != "burn")
        return _make_json_response(200, value | {"number": self._read_state().number})

    def _show_metrics(self, request: _Request) -> _Response:
        return _Response(200, self._render_metrics(), CONTENT_TYPE)

    def _show_burn(self, request: _Request) -> _Response:
        overview = self._collect()
        report = build_report(self._read_state().catalog, overview.burn, overview.missing)
        return _Response(200, render_json(report).encode())

    def _list_claims(self, request: _Request) -> _Response:
        rows = _unwrap_or_raise(self._require_claims().list_open())
        return _make_json_response(200, {"claims": [attrs.asdict(row) for row in rows]})

    def _settle_claim(self, request: _Request, key: str) -> _Response:
        try:
            body = decode_json(request.read_body(MAX_SETTLE_BODY_BYTES))
            outcome, note = body["outcome"], body.get("note", "")
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            reason = 'the body must be JSON such as {"outcome": "settled-ran", "note": "..."}'
            raise _make_refusal("bad-body", 400, reason) from error
        if outcome not in SETTLED_OUTCOMES or not isinstance(note, str):
            raise _make_refusal(
                "bad-outcome", 400, f"outcome must be {' or '.join(SETTLED_OUTCOMES)}"
            )
        _unwrap_or_raise(
            self._require_claims().settle(key, outcome, f"{_read_author(request.environ)}: {note}")
        )
        return _make_json_response(200, {"key": key, "outcome": outcome})

    def _require_claims(self) -> Claims:
        if self._claims is None:
            raise _make_refusal("no-claims", 501, "this instance has no access to claims")
        return self._claims


class AdminServer:
    """HTTP server of the admin API, which listens on its own address.

    :param address: ``IP:port``; port 0 selects a free port.
    """

    def __init__(self, address: str, application: AdminApplication) -> None:
        self.address = address
        self._application = application
        self._server: Any = None
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Bind the address and start serving.

        :raises OSError: if the address can't be bound.
        """
        host, port = split_address(self.address)
        self._server = waitress.create_server(
            self._application,
            host=host,
            port=port,
            threads=WORKER_THREADS,
            connection_limit=64,
            max_request_body_size=MAX_DOCUMENT_BYTES + 1,
            # Hosts have no disks, so bodies stay in memory.
            inbuf_overflow=2 * MAX_DOCUMENT_BYTES,
            outbuf_overflow=1 << 30,
            ident=None,
        )
        self.address = f"{host}:{self._server.effective_port}"
        self._thread = threading.Thread(target=self._server.run, name="admin", daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop serving and close all connections."""
        if self._server is None:
            return
        run_after_wake(self._server, self._close_channels)
        self._thread.join(CLOSE_TIMEOUT_S)
        self._server.task_dispatcher.shutdown(timeout=CLOSE_TIMEOUT_S)

    def _close_channels(self) -> None:
        # waitress leaves its loop when no sockets are left in its map.
        for channel in list(self._server.active_channels.values()):
            channel.handle_close()
        self._server.close()


def _make_refusal(code: str, status: int, reason: str) -> Refusal:
    return Refusal(STEP, "", reason, code, status, Ran.NO)


def _unwrap_or_raise(result: Result[Any, Any]) -> Any:
    if result.is_err():
        raise result.unwrap_err()
    return result.unwrap()


def _to_refusal(error: StepError) -> Refusal:
    """Map an error of the store or the configuration to an HTTP refusal."""
    if isinstance(error, DocumentConflict):
        return Refusal(error.step, error.peer, error.reason, "document-conflict", 412, Ran.NO)
    if isinstance(error, DocumentFaults):
        return Refusal(error.step, error.peer, error.reason, "document-faults", 422, Ran.NO)
    if isinstance(error, StoreError) and error.effect is Effect.UNKNOWN:
        reason = f"{error.reason}; the history tells whether the change was accepted"
        return Refusal(error.step, error.peer, reason, "outcome-unknown", 503, Ran.UNKNOWN)
    if isinstance(error, StoreError):
        return Refusal(error.step, error.peer, error.reason, "store-unavailable", 503, Ran.NO)
    return Refusal(error.step, error.peer, error.reason, "refused", 409, Ran.NO)


def _describe_error_details(error: StepError) -> dict[str, Any]:
    if isinstance(error, DocumentConflict):
        current = _describe_change(error.current) | {"body": error.current.body}
        return {"current": current, "diff": error.diff}
    if isinstance(error, DocumentFaults):
        return {"faults": [attrs.asdict(fault) for fault in error.faults]}
    return {}


def _describe_change(change: Change) -> dict[str, Any]:
    return {
        "service": change.service,
        "version": change.version,
        "number": change.number,
        "author": change.author,
        "withdrawn": not change.body,
    }


def _read_version(environ: dict[str, Any]) -> int:
    header = environ.get("HTTP_IF_MATCH")
    if header is None:
        reason = "If-Match must name the version that was edited, 0 for a new document"
        raise _make_refusal("version-required", 428, reason)
    match = _ETAG_PATTERN.match(header.strip())
    if match is None:
        raise _make_refusal("bad-version", 400, f"If-Match {header[:80]!r} is not a version number")
    return int(match[1])


def _read_author(environ: dict[str, Any]) -> str:
    return environ.get("HTTP_X_AUTHOR", "operator")[:MAX_AUTHOR_CHARS]


def _make_json_response(status: int, value: Any) -> _Response:
    return _Response(status, json.dumps(value, default=str).encode())


def _make_problem_response(refusal: Refusal, members: dict[str, Any] | None = None) -> _Response:
    body = render_problem(refusal)
    if members:
        body = json.dumps(json.loads(body) | members).encode()
    headers = (("WWW-Authenticate", "Bearer"),) if refusal.status == 401 else ()
    return _Response(refusal.status, body, PROBLEM_CONTENT_TYPE, headers)
