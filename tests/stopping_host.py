"""Host in a separate process, and callers that tell what became of each of their requests."""

import contextlib
import enum
import errno
import random
import signal
import socket
import tempfile
import threading
import time
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from http.server import BaseHTTPRequestHandler
from pathlib import Path

import attrs

from tests.hostcase import find_port
from tests.loopback_deployment import HANG_S, Process
from tests.platform_fakes import FakeEndpoint, FakeStore, make_configuration, read_body

GRACE_S = 4
ROUTE_TIMEOUT_MS = 20_000
# Enough that requests start at once.
SLOTS = 300
WORK_HEADER = "X-Work-Ms"
# Largest number of callers at once.
MAX_CALLERS = 300
TRICKLING_PATH = "trickle"
TRICKLED_BYTES = 2000
TRICKLE_INTERVAL_S = 0.01


class WorkingEndpoint(FakeEndpoint):
    """Plain endpoint that works on a request for the time that the request states.

    :ivar received_ids: ids of the requests that reached it.
    """

    def __init__(self, endpoint: str) -> None:
        super().__init__(endpoint)
        self.received_ids: list[str] = []
        self._closed = threading.Event()

    def entry(self, service: str, zone: str = "z1") -> dict:
        """Return the endpoint's entry in the store."""
        return {**super().entry(service, zone), "slots": SLOTS}

    def close(self) -> None:
        """Stop serving and end all work."""
        self._closed.set()
        super().close()

    def handle(self, request: BaseHTTPRequestHandler) -> None:
        """Answer one request."""
        self.received_ids.append(request.headers["Attempt-Id"])
        # The host has closed the connection of a request that it gave up.
        with contextlib.suppress(OSError):
            if TRICKLING_PATH in request.path:
                self._trickle(request)
                return
            self._closed.wait(int(request.headers.get(WORK_HEADER, "0")) / 1000)
            super().handle(request)

    def _trickle(self, request: BaseHTTPRequestHandler) -> None:
        """Send an answer byte by byte, which takes longer than any deadline."""
        read_body(request)
        request.close_connection = True
        request.send_response(200)
        request.send_header("Attempt-Id", request.headers["Attempt-Id"])
        request.send_header("Response-Seal", f"seal-{self.endpoint}")
        request.send_header("Content-Length", str(TRICKLED_BYTES))
        request.end_headers()
        for _ in range(TRICKLED_BYTES):
            request.wfile.write(b"x")
            if self._closed.wait(TRICKLE_INTERVAL_S):
                return


class End(enum.Enum):
    """What became of a request that was sent as a whole."""

    ANSWERED = "answered"
    # The connection was refused or reset, so the host has not read the request.
    NOT_READ = "not read"
    # The host closed the connection after it had read the request.
    CUT = "cut"


@attrs.frozen(kw_only=True)
class Outcome:
    """End of one request.

    :ivar sent_at: time on the monotonic clock.
    :ivar status: status of the answer, 0 for none.
    :ivar is_last: whether the answer announced the end of the connection.
    """

    request_id: str
    path: str
    work_s: float
    deadline_s: float
    sent_at: float
    ended_at: float
    end: End
    status: int = 0
    is_last: bool = False


class Caller:
    """Caller of a host with one connection at a time."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._socket: socket.socket | None = None

    def connect(self) -> None:
        """Open a connection unless one is open."""
        if self._socket is None:
            self._socket = socket.create_connection(self._address, HANG_S)

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()
        self._socket = None

    def send(
        self,
        request_id: str,
        path: str,
        work_s: float,
        deadline_s: float,
        pause: Callable[[], object] | None = None,
    ) -> Outcome:
        """Send one request and wait for its end.

        :param pause: called when half of the request's body is sent.
        """
        method = "POST" if "post" in path else "GET"
        body = b"0123456789" if method == "POST" else b""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {request_id}\r\n"
            f"Deadline-Ms: {deadline_s * 1000:.0f}\r\n{WORK_HEADER}: {work_s * 1000:.0f}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        sent_at = time.monotonic()
        try:
            self.connect()
            if pause is not None:
                self._socket.sendall(head + body[:5])
                pause()
                self._socket.sendall(body[5:])
            else:
                self._socket.sendall(head + body)
            end, status, is_last = self._read_answer()
        except TimeoutError:
            raise
        except OSError:
            end, status, is_last = End.NOT_READ, 0, True
        if is_last:
            self.close()
        return Outcome(
            request_id=request_id,
            path=path,
            work_s=work_s,
            deadline_s=deadline_s,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            end=end,
            status=status,
            is_last=is_last,
        )

    def _read_answer(self) -> tuple[End, int, bool]:
        data = b""
        while b"\r\n\r\n" not in data:
            part = self._socket.recv(65536)
            if not part:
                return self._find_end(data), 0, True
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        lines = [line.lower() for line in head.split(b"\r\n")]
        length = next(int(line[15:]) for line in lines if line.startswith(b"content-length:"))
        while len(body) < length:
            part = self._socket.recv(65536)
            if not part:
                return End.CUT, 0, True
            body += part
        return End.ANSWERED, int(lines[0].split()[1]), b"connection: close" in lines

    def _find_end(self, data: bytes) -> End:
        """Return why the connection ended before the answer.

        A host that closed its connection before the request arrived resets it, which sets the
        error of the socket: a request that follows the end of the connection was not read.
        """
        error = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        is_reset = error in (errno.EPIPE, errno.ECONNRESET)
        return End.NOT_READ if is_reset and not data else End.CUT


class StoppingHost:
    """Host process with two plain endpoints and a store, which run in this process.

    :param folder: directory for the settings file.
    """

    def __init__(self, folder: Path) -> None:
        self.store = FakeStore()
        self.endpoints = [WorkingEndpoint("i-d1"), WorkingEndpoint("i-d2")]
        self.front_address, self.ready_address, peer_address = (
            f"127.0.0.1:{find_port()}" for _ in range(3)
        )
        self._path = folder / "host.conf"
        self._path.write_text(
            "node=front-1\nzone=z1\nregion=r1\n"
            f"listen.front={self.front_address}\n"
            f"listen.ready={self.ready_address}\n"
            f"listen.control={peer_address}\n"
            f"platform.address={self.store.address}\n"
            f"bounds.grace_s={GRACE_S}\nbounds.lease_ms=1000\n"
        )

    def start(self) -> None:
        """Start the fakes and the process."""
        configuration = make_configuration()
        for route in configuration["routes"]:
            route["timeout_ms"] = ROUTE_TIMEOUT_MS
        for fake in (self.store, *self.endpoints):
            fake.start()
        self.store.put("op", "config", configuration)
        for endpoint in self.endpoints:
            self.store.put("servers", endpoint.endpoint, endpoint.entry("desk"))
        self.process = Process("host", "--settings", str(self._path))

    def wait_until_ready(self) -> None:
        """Wait until the process serves requests."""
        until = time.monotonic() + HANG_S
        while self._send_probe() != 200:
            if time.monotonic() > until:
                raise AssertionError(f"the host does not serve: {self.process.lines[-5:]}")
            time.sleep(0.05)
        for endpoint in self.endpoints:
            endpoint.received_ids.clear()

    def close(self) -> None:
        """End the process and the fakes."""
        if self.process.popen.poll() is None:
            self.process.popen.kill()
        self.process.popen.wait(HANG_S)
        for fake in (self.store, *self.endpoints):
            fake.close()

    def _send_probe(self) -> int:
        caller = Caller(self.front_address)
        with contextlib.closing(caller):
            return caller.send("probe", "/look/x", 0.0, 1.0).status

    def request_stop(self) -> float:
        """Send SIGTERM and return the time."""
        now = time.monotonic()
        self.process.send(signal.SIGTERM)
        return now

    def wait(self) -> tuple[int, float]:
        """Wait for the process and return its exit code and the time of its end."""
        code = self.process.popen.wait(HANG_S)
        return code, time.monotonic()

    def received_ids(self) -> set[str]:
        """Return the ids of the requests that reached an endpoint."""
        return {key for endpoint in self.endpoints for key in endpoint.received_ids}


def run_load(
    host: StoppingHost,
    is_running: threading.Event,
    number: int,
    is_kept: bool,
    paths: tuple[str, ...],
    works_s: tuple[float, ...],
    deadlines_s: tuple[float, ...],
    max_requests: int = 5000,
) -> list[Outcome]:
    """Send requests one after the other until the process is gone, and return their ends.

    :param number: seed of the choices of paths, work and deadlines.
    :param is_kept: whether connections are kept for many requests.
    """
    rng = random.Random(number)
    caller = Caller(host.front_address)
    outcomes = []
    for index in range(max_requests):
        if not is_running.is_set():
            break
        outcome = caller.send(
            f"{number:x}-{index:x}", rng.choice(paths), rng.choice(works_s), rng.choice(deadlines_s)
        )
        outcomes.append(outcome)
        if not is_kept:
            caller.close()
        if outcome.end is End.NOT_READ:
            time.sleep(0.01)
    caller.close()
    return outcomes


class StoppingHostCase(unittest.TestCase):
    """A host process that gets SIGTERM."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="catkinhook-test-")
        self.addCleanup(folder.cleanup)
        self.host = StoppingHost(Path(folder.name))
        self.addCleanup(self.host.close)
        self.host.start()
        self.host.wait_until_ready()
        self.executor = ThreadPoolExecutor(MAX_CALLERS)
        self.addCleanup(self.executor.shutdown)

    def check_stop(self, began: float) -> None:
        """Check that the process ends by itself within the grace period."""
        code, ended_at = self.host.wait()
        self.assertEqual(code, 0)
        self.assertLess(ended_at - began, GRACE_S)
