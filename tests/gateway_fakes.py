"""Fakes for the external interfaces of the gateway."""

import contextlib
import json
import random
import socket
import threading
import uuid
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from catkinhook.errors import Refusal
from catkinhook.requests.gatewaydispatcher import Dispatcher, Request
from catkinhook.requests.outcomes import Outcome
from catkinhook.settings import GatewaySettings, PlatformSettings, Settings
from catkinhook.state.documents import build_catalog, parse_document
from catkinhook.state.views import EndpointView, Snapshot

DOCUMENTS = {
    "drafts": """\
service: drafts
owner: tests
models:
  - {name: summary, memory: 1GiB, adapters: [{name: ar, memory: 1MiB}]}
classes:
  live: {first_token: 5s, between_tokens: 5s}
  night: {priority: deferrable, finish_within: 60s}
default_class: live
""",
    "ledger": """\
service: ledger
owner: tests
endpoints: {kind: plain}
routes:
  - {path: /balance, method: GET, repeatable: true}
  - {path: /postings, method: POST, repeatable: false}
""",
}


class Cut(Exception):
    """Raised by a hook to reset the connection."""


@attrs.define
class ReceivedRequest:
    """A request that a fake received."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


def make_snapshot(*endpoints: EndpointView, **changes: object) -> Snapshot:
    """Return a snapshot of both test services."""
    documents = [parse_document(text).unwrap() for text in DOCUMENTS.values()]
    endpoint_by_id = {endpoint.endpoint: endpoint for endpoint in endpoints}
    return Snapshot(1, build_catalog(1, documents), endpoint_by_id, **changes)


def make_view(
    address: str,
    service: str = "drafts",
    kind: str = "engine",
    name: str = "one",
    boot_id: str = "",
) -> EndpointView:
    """Return an endpoint as a gateway sees it."""
    return EndpointView(
        endpoint=f"{service}/{name}",
        address=address,
        service=service,
        zone="a",
        kind=kind,
        boot_id=boot_id,
        models=frozenset({"summary"}) if kind == "engine" else frozenset(),
    )


def make_settings(**changes: object) -> Settings:
    """Return settings of a gateway on a free port of the loopback interface."""
    gateway = {"address": "127.0.0.1:0", "concurrent_requests": 8, "notice_time": 0.1, **changes}
    return Settings(
        node="n1",
        zone="a",
        secret_file="",
        admin_token_file="",
        platform=PlatformSettings(url="http://127.0.0.1:1"),
        gateway=GatewaySettings(**gateway),
    )


class RetryingDispatcher(Dispatcher):
    """Dispatcher that retries immediately, a limited number of times."""

    def __init__(self, retries: int = 1) -> None:
        super().__init__("a", random.Random(1))
        self.retries = retries
        self.outcomes: list[Outcome] = []

    def plan_retry(self, request: Request, outcome: Outcome, now: float) -> Result[float, Refusal]:
        """Allow a retry while some are left."""
        self.retries -= 1
        if self.retries >= 0:
            return Ok(0.0)
        return Err(Refusal("dispatch", "", "no retries are left", "no-retry", 503))

    def finish(self, attempt_id: str, outcome: Outcome, tokens: int, now: float) -> None:
        """Record the outcome."""
        self.outcomes.append(outcome)


def read_request(file) -> ReceivedRequest | None:
    """Read one HTTP request; returns None at the end of the connection."""
    line = file.readline()
    if not line.strip():
        return None
    method, path, _ = line.decode().split(" ", 2)
    headers = {}
    while (line := file.readline().strip()) != b"":
        name, _, value = line.decode().partition(":")
        headers[name.lower()] = value.strip()
    body = file.read(int(headers.get("content-length", 0)))
    return ReceivedRequest(method, path, headers, body)


class FakeEndpoint:
    """Threaded engine or plain service, whose hooks reset, misroute, delay or reorder responses.

    :ivar on_accept: called with each connection before its request is read.
    :ivar on_request: called with each request; may return ``(status, headers, body)`` as the
        response.
    :ivar on_event: called with attempt id, sequence and event block; returns the blocks to send.
    """

    def __init__(self, service: str = "drafts", kind: str = "engine") -> None:
        self.service, self.kind = service, kind
        self.boot_id = uuid.uuid4().hex
        self.received: list[ReceivedRequest] = []
        self.events_by_attempt: dict[str, list[str]] = {}
        self.cancelled: list[str] = []
        self.on_accept: Callable[[socket.socket], None] = lambda connection: None
        self.on_request: Callable[[ReceivedRequest], tuple | None] = lambda request: None
        self.on_event: Callable[[str, int, bytes], list[bytes]] = lambda a, n, block: [block]
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._open_connections: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def view(self, name: str = "one") -> EndpointView:
        """Return this endpoint as a gateway sees it."""
        return make_view(self.address, self.service, self.kind, name, self.boot_id)

    def count(self, path: str) -> int:
        """Return how many requests for a path arrived."""
        return sum(request.path.startswith(path) for request in list(self.received))

    def crash(self) -> None:
        """Drop all connections and refuse new ones."""
        if self._listener.fileno() < 0:
            return
        # A blocked accept() keeps the port open after close(), so shutdown() unblocks it first.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in list(self._open_connections):
            _reset(connection)

    close = crash

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        self._open_connections.add(connection)
        try:
            self.on_accept(connection)
            with connection, connection.makefile("rb") as file:
                while request := read_request(file):
                    self.received.append(request)
                    self._respond(connection, request)
        except Cut:
            _reset(connection)
        except (OSError, ValueError):
            pass
        finally:
            self._open_connections.discard(connection)

    def _respond(self, connection: socket.socket, request: ReceivedRequest) -> None:
        response = self.on_request(request)
        attempt = request.headers.get("x-request-id", "")
        if response is not None:
            status, headers, body = response
            self._send(connection, attempt, status, headers, body)
        elif request.path.endswith("/report"):
            self._send(connection, attempt, 200, {}, b'{"boot_id": "%s"}' % self.boot_id.encode())
        elif request.method == "DELETE":
            self.cancelled.append(request.path.rpartition("/")[2])
            self._send(connection, attempt, 200, {}, b"{}")
        elif request.path.startswith("/v1/streams/"):
            last = int(request.headers["last-event-id"].rpartition(":")[2])
            if attempt in self.events_by_attempt:
                self._stream(connection, attempt, last)
            else:
                self._send(connection, attempt, 404, {}, b"{}")
        elif self.kind == "plain":
            self._send(connection, attempt, 200, {}, b"done " + request.body)
        else:
            self._complete(connection, attempt, json.loads(request.body))

    def _complete(self, connection: socket.socket, attempt: str, fields: dict) -> None:
        words = [f"{fields['prompt']}-{index}" for index in range(fields.get("max_tokens", 3))]
        if not fields.get("stream"):
            body = json.dumps({"choices": [{"text": " ".join(words)}]}).encode()
            self._send(connection, attempt, 200, {}, body)
            return
        lines = [json.dumps({"choices": [{"text": word}]}) for word in words]
        self.events_by_attempt[attempt] = [*lines, "[DONE]"]
        self._stream(connection, attempt, 0)

    def _stream(self, connection: socket.socket, attempt: str, last: int) -> None:
        head = self._render_head(attempt, 200, {"Content-Type": "text/event-stream"})
        connection.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for index, line in enumerate(self.events_by_attempt[attempt][last:], last + 1):
            block = f"id: {attempt}:{index}\ndata: {line}\n\n".encode()
            for chunk in self.on_event(attempt, index, block):
                connection.sendall(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        connection.sendall(b"0\r\n\r\n")

    def _send(
        self, connection: socket.socket, attempt: str, status: int, headers: dict, body: bytes
    ) -> None:
        head = self._render_head(attempt, status, {"Content-Length": str(len(body)), **headers})
        connection.sendall(head + b"\r\n" + body)
        if headers.get("Connection") == "close":
            raise Cut

    def _render_head(self, attempt: str, status: int, headers: dict[str, str]) -> bytes:
        defaults = {"X-Request-Id": attempt, "X-Boot-Id": self.boot_id}
        lines = [f"{name}: {value}" for name, value in {**defaults, **headers}.items()]
        return "\r\n".join([f"HTTP/1.1 {status} X", *lines, ""]).encode()


def _reset(connection: socket.socket) -> None:
    # shutdown() also ends the connection while another thread blocks on it.
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()
