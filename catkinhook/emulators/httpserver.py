"""HTTP server of the endpoint emulators.

It runs on one asyncio loop because an emulated crash must drop all connections in the middle of
their responses and one process serves hundreds of streams; a WSGI server supports neither.
"""

import asyncio
import json
import logging
import threading
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import attrs

from catkinhook.addresses import split_address
from catkinhook.emulators.faultinjection import Faults

MAX_HEADER_BYTES = 64 * 1024
PAUSE_POLL_INTERVAL_S = 0.01

_log = logging.getLogger(__name__)

REASON_BY_STATUS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@attrs.frozen(kw_only=True)
class Request:
    """One request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Connection:
    """One connection and the response that is being sent on it."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.discard_output = False
        self._writer = writer

    async def send(self, status: int, body: Any, headers: dict[str, str] | None = None) -> None:
        """Send a complete response; anything but bytes is sent as JSON."""
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        fields = {"Content-Type": "application/json"} | (headers or {})
        fields["Content-Length"] = str(len(content))
        await self._write(_render_head(status, fields) + content)

    async def start_events(self, headers: dict[str, str]) -> None:
        """Send the status line and headers of an event stream."""
        fields = headers | {
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-store",
            "Transfer-Encoding": "chunked",
        }
        await self._write(_render_head(200, fields))

    async def send_events(self, content: bytes) -> None:
        """Send one chunk of an event stream."""
        await self._write(b"%x\r\n%b\r\n" % (len(content), content))

    async def end_events(self) -> None:
        """End an event stream."""
        await self._write(b"0\r\n\r\n")

    def abort(self) -> None:
        """Abort the connection without sending further bytes."""
        self._writer.transport.abort()

    async def _write(self, content: bytes) -> None:
        if self.discard_output:
            return
        if self._writer.transport.is_closing():
            raise ConnectionResetError("the client closed the connection")
        self._writer.write(content)
        await self._writer.drain()


RequestHandler = Callable[[Request, Connection], Awaitable[None]]


class HttpServer:
    """Server on a separate thread, with fault switches that apply to all requests.

    :param address: ``IP:port``; port 0 selects a free port.
    :param handler: coroutine function that responds to a request; runs on the server's loop.
    :param background: coroutine function that runs as long as the server.
    """

    def __init__(
        self,
        address: str,
        handler: RequestHandler,
        faults: Faults,
        background: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self.address = address
        self.faults = faults
        self._handler = handler
        self._background = background
        self._connections: set[Connection] = set()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._thread: threading.Thread | None = None
        self._stopped: asyncio.Event | None = None

    def start(self) -> None:
        """Start listening; returns once requests can be served.

        :raises OSError: if the address cannot be bound.
        """
        started = threading.Event()
        failure: list[Exception] = []

        def run() -> None:
            try:
                asyncio.run(self._run(started))
            except Exception as error:
                failure.append(error)
                started.set()

        self._thread = threading.Thread(target=run, name=f"emulator {self.address}", daemon=True)
        self._thread.start()
        started.wait()
        if failure:
            raise failure[0]

    def close(self) -> None:
        """Drop all connections and stop listening."""
        if self._thread and self._thread.is_alive():
            self._loop.call_soon_threadsafe(self._stopped.set)
            self._thread.join()

    def drop_connections(self) -> None:
        """Drop every open connection; called on the server's loop."""
        for connection in list(self._connections):
            connection.abort()

    async def _run(self, started: threading.Event) -> None:
        self._loop = asyncio.get_running_loop()
        self._stopped = asyncio.Event()
        host, port = split_address(self.address)
        server = await asyncio.start_server(
            self._serve, host, port, limit=MAX_HEADER_BYTES, backlog=1024
        )
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"
        background = asyncio.create_task(self._background()) if self._background else None
        if background:
            background.add_done_callback(self._on_background_done)
        started.set()
        await self._stopped.wait()
        server.close()
        self.drop_connections()
        if background:
            background.cancel()
            await asyncio.wait([background])

    def _on_background_done(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception():
            _log.error("background task of the emulator failed", exc_info=task.exception())
            self._stopped.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(writer)
        self._connections.add(connection)
        try:
            while (request := await _read_request(reader)) is not None:
                await self._handle_request(request, connection)
                if request.headers.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The server is closing; the connection is dropped below.
            connection.abort()
        except Exception:
            _log.exception(
                "request handler of the emulator failed", extra={"address": self.address}
            )
            connection.abort()
        finally:
            self._connections.discard(connection)
            writer.close()

    async def _handle_request(self, request: Request, connection: Connection) -> None:
        if request.path == "/faults":
            await self._handle_faults_request(request, connection)
            return
        faults = self.faults
        if faults.down:
            raise ConnectionResetError("fault: down")
        if faults.slow_ms:
            await asyncio.sleep(faults.slow_ms / 1000)
        while faults.paused:
            await asyncio.sleep(PAUSE_POLL_INTERVAL_S)
        connection.discard_output = request.method != "GET" and faults.consume("lose_answers")
        try:
            await self._handler(request, connection)
        except ValueError as error:
            await connection.send(400, {"error": str(error)})
        if connection.discard_output:
            connection.abort()
            raise ConnectionResetError("fault: answer lost")

    async def _handle_faults_request(self, request: Request, connection: Connection) -> None:
        try:
            if request.method == "POST":
                self.faults.set_switches(json.loads(request.body))
        except (ValueError, AttributeError) as error:
            await connection.send(400, {"error": str(error)})
            return
        await connection.send(200, self.faults.list_switches())


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    return Request(
        method=method,
        path=unquote(parts.path),
        query=dict(parse_qsl(parts.query)),
        headers=headers,
        body=body,
    )


def _render_head(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASON_BY_STATUS.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
