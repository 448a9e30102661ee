"""Host in a separate process whose memory is measured while endpoints or callers misbehave.

``python -m tests.memory_host MEMORY_MB KIND CALLERS...`` prints one line of figures for each number
of callers; the kind ``all`` stands for all kinds.
"""

import contextlib
import socket
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from http.server import BaseHTTPRequestHandler
from pathlib import Path

import attrs

from catkinhook.units import KIB, MIB
from tests.hostcase import find_port
from tests.loopback_deployment import HANG_S, Process
from tests.platform_fakes import FakeEndpoint, FakeStore, make_configuration

DEFAULT_MEMORY_MB = 300
DEADLINE_S = 4.0
ROUTE_TIMEOUT_MS = 20_000
SLOTS = 2000
# Bounds of each endless answer; the host is expected to end it much earlier.
MAX_SENT_BYTES = 64 * MIB
MAX_SENDING_S = 10.0
HELD_BYTES = 7 * MIB
LARGE_ANSWER_BYTES = 4 * MIB
LARGE_BODY_BYTES = 7 * MIB
TRICKLE_INTERVAL_S = 0.05
CALM_INTERVAL_S = 0.05

_BLOCK = b"x" * (64 * KIB)
_SMALL = b"x" * 64

# What a faulty endpoint sends after the start of its answer, again and again.
_REPEATED_BY_KIND = {
    "body": _BLOCK,
    "held body": _BLOCK,
    "chunks": b"%x\r\n%s\r\n" % (len(_BLOCK), _BLOCK),
    "announced": _BLOCK,
    "refusal": _BLOCK,
    "head": b"X-Header: %s\r\n" % _SMALL,
    "no head": _BLOCK,
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n" * 100,
    "trailer": b"X-Trailer: %s\r\n" % _SMALL * 100,
    "extension": b"1;%s\r\nx\r\n" % (_SMALL * 10) * 100,
    "tiny chunks": b"1\r\nx\r\n" * 4000,
    "event": _BLOCK,
}
_FRAMING_BY_KIND = {
    "chunks": "Transfer-Encoding: chunked\r\n\r\n",
    "announced": f"Content-Length: {1 << 40}\r\n\r\n",
    "only announced": f"Content-Length: {1 << 40}\r\n\r\n",
    "refusal": "Not-Executed: 1\r\n\r\n",
    "trailer": "Transfer-Encoding: chunked\r\n\r\n0\r\n",
    "extension": "Transfer-Encoding: chunked\r\n\r\n",
    "tiny chunks": "Transfer-Encoding: chunked\r\n\r\n",
    "event": "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
    "events": "Content-Type: text/event-stream\r\n\r\n",
    "large": f"Content-Length: {LARGE_ANSWER_BYTES}\r\n\r\n",
    "cut large": f"Content-Length: {LARGE_ANSWER_BYTES}\r\n\r\n",
    "head": "",
}


class MisbehavingEndpoint(FakeEndpoint):
    """Endpoint that sends bytes without end, or large answers.

    :ivar kind: key of ``_REPEATED_BY_KIND``, ``events`` (valid events without end), ``large`` (a
        sound answer), ``cut large`` (half of one), ``only announced`` (a head that no body follows)
        or empty for regular answers.
    :ivar sent: bytes sent of all answers without end.
    :ivar ended_answers: number of answers that are not regular and ended.
    """

    def __init__(self, endpoint: str, models: tuple[str, ...] = (), kind: str = "") -> None:
        super().__init__(endpoint, models)
        self.kind = kind
        self.sent = 0
        self.ended_answers = 0
        self.ended = threading.Event()

    def entry(self, service: str, zone: str = "z1") -> dict:
        """Return the endpoint's entry in the store."""
        return {**super().entry(service, zone), "slots": SLOTS}

    def close(self) -> None:
        """Stop serving and end all answers."""
        self.ended.set()
        super().close()

    def _handle_request(self, request: BaseHTTPRequestHandler) -> None:
        if not self.kind:
            super()._handle_request(request)
            return
        request.close_connection = True
        try:
            with contextlib.suppress(OSError):
                self._send_answer(request)
        finally:
            self.ended_answers += 1

    def _send_answer(self, request: BaseHTTPRequestHandler) -> None:
        status = "503 Service Unavailable" if self.kind == "refusal" else "200 OK"
        head = (
            f"HTTP/1.1 {status}\r\nAttempt-Id: {request.headers['Attempt-Id']}\r\n"
            f"Response-Seal: seal-{self.endpoint}\r\n"
        )
        framing = _FRAMING_BY_KIND.get(self.kind, "\r\n")
        if self.kind not in ("no head", "interim"):
            request.wfile.write((head + framing).encode())
        if self.kind == "only announced":
            self.ended.wait(MAX_SENDING_S)
            return
        if self.kind in ("large", "cut large"):
            is_cut = self.kind == "cut large"
            request.wfile.write(_LARGE_ANSWER[: LARGE_ANSWER_BYTES // 2 if is_cut else None])
            return
        sent = number = 0
        ends_at = time.monotonic() + MAX_SENDING_S
        while sent < MAX_SENT_BYTES and time.monotonic() < ends_at and not self.ended.is_set():
            data = _REPEATED_BY_KIND.get(self.kind)
            if data is None:
                number += 1
                data = b"id: %d\ndata: %s\n\n" % (number, _BLOCK[: 16 * KIB])
            if self.kind == "held body" and sent >= HELD_BYTES:
                data = b"x"
                self.ended.wait(TRICKLE_INTERVAL_S)
            request.wfile.write(data)
            sent += len(data)
            self.sent += len(data)

    @staticmethod
    def large_answer() -> bytes:
        """Return the body of a large answer, in which no two places look the same."""
        return b"".join(b"%015x\n" % number for number in range(LARGE_ANSWER_BYTES // 16))


_LARGE_ANSWER = MisbehavingEndpoint.large_answer()


@attrs.frozen(kw_only=True)
class Caller:
    """What a caller does.

    :ivar body_bytes: length of the body of each request.
    :ivar reads: whether it reads its answers; otherwise it waits with an open connection.
    :ivar rounds: requests that it sends one after the other.
    """

    path: str
    model: str = ""
    body_bytes: int = 0
    reads: bool = True
    rounds: int = 1


@attrs.frozen(kw_only=True)
class Measurement:
    """Figures of one run.

    :ivar idle_mb: resident memory before the load.
    :ivar peak_mb: largest resident memory during the load.
    :ivar exit_code: exit code of the process if it ended by itself, else None.
    :ivar statuses: status of each answer, 0 for none.
    :ivar calm_statuses: statuses of requests to a sound service meanwhile.
    """

    idle_mb: float
    peak_mb: float
    exit_code: int | None
    statuses: list[int]
    calm_statuses: list[int]

    def describe(self) -> str:
        """Return the figures in one line."""
        counts = {status: self.statuses.count(status) for status in sorted(set(self.statuses))}
        calm = {s: self.calm_statuses.count(s) for s in sorted(set(self.calm_statuses))}
        return (
            f"idle {self.idle_mb:.0f} MB, peak {self.peak_mb:.0f} MB, "
            f"exit {self.exit_code}, answers {counts}, calm {calm}"
        )


class MemoryHost:
    """Host process with a faulty service, a sound one and a store, which run in this process.

    :param folder: directory for the settings file.
    :param kind: what the endpoints of the faulty service send.
    """

    def __init__(self, folder: Path, kind: str, memory_mb: int = DEFAULT_MEMORY_MB) -> None:
        self.store = FakeStore()
        self.faulty = [MisbehavingEndpoint(f"i-d{number}", (), kind) for number in (1, 2)]
        self.engines = [MisbehavingEndpoint(f"i-e{number}", ("m1",), kind) for number in (1, 2)]
        self.calm = [MisbehavingEndpoint("i-c1")]
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
            f"limits.memory_mb={memory_mb}\nbounds.lease_ms=1000\n"
        )

    def start(self) -> None:
        """Start the fakes and the process, and wait until it serves requests."""
        configuration = make_configuration()
        calm_route = {
            **configuration["routes"][-1],
            "name": "calm",
            "path_prefix": "/calm/",
            "service": "calm",
        }
        configuration["routes"].append(calm_route)
        for route in configuration["routes"]:
            route["timeout_ms"] = ROUTE_TIMEOUT_MS
        configuration["services"].append({**configuration["services"][1], "name": "calm"})
        for service in configuration["services"]:
            service["max_conns"] = SLOTS
        configuration["services"][0]["engine"] |= {"slots": SLOTS, "kv_capacity": 10**9}
        groups = (("desk", self.faulty), ("llm", self.engines), ("calm", self.calm))
        for fake in (self.store, *self.faulty, *self.engines, *self.calm):
            fake.start()
        self.store.put("op", "config", configuration)
        for service, endpoints in groups:
            for endpoint in endpoints:
                self.store.put("servers", endpoint.endpoint, endpoint.entry(service))
        self.process = Process("host", "--settings", str(self._path))
        until = time.monotonic() + HANG_S
        while self.call(Caller(path="/calm/x")) != 200:
            if time.monotonic() > until:
                raise AssertionError(f"the host does not serve: {self.process.lines[-5:]}")
            time.sleep(0.05)

    def close(self) -> None:
        """End the process and the fakes."""
        if self.process.popen.poll() is None:
            self.process.popen.kill()
        self.process.popen.wait(HANG_S)
        for fake in (self.store, *self.faulty, *self.engines, *self.calm):
            fake.close()

    def read_memory_mb(self, field: str) -> float:
        """Return a value of the process's memory: ``VmRSS`` now, ``VmHWM`` at its peak."""
        path = Path(f"/proc/{self.process.popen.pid}/status")
        for line in path.read_text(encoding="utf-8").splitlines():
            if line.startswith(field):
                return int(line.split()[1]) / KIB
        return 0.0

    def call(
        self, caller: Caller, number: int = 0, hold: Callable[[], object] | None = None
    ) -> int:
        """Send one request, and return the status of its answer or 0.

        :param hold: called instead of reading the answer.
        """
        method = "POST" if caller.body_bytes else "GET"
        model = f"Model: {caller.model}\r\nToken-Usage: 10,20\r\n" if caller.model else ""
        head = (
            f"{method} {caller.path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {number:016x}\r\n"
            f"Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n{model}"
            f"Content-Length: {caller.body_bytes}\r\nConnection: close\r\n\r\n"
        ).encode()
        host, _, port = self.front_address.rpartition(":")
        try:
            with socket.create_connection((host, int(port)), HANG_S) as connection:
                connection.sendall(head)
                left = caller.body_bytes
                while left:
                    left -= connection.send(_BLOCK[: min(left, len(_BLOCK))])
                if hold is not None:
                    hold()
                    return 0
                data = connection.recv(65536)
                status = int(data[9:12]) if data.startswith(b"HTTP/1.1 ") else 0
                while connection.recv(65536):
                    continue
                return status
        except OSError:
            return 0

    def run(self, caller: Caller, count: int) -> Measurement:
        """Run callers at once, and requests to the sound service beside them."""
        idle_mb = self.read_memory_mb("VmRSS")
        is_over = threading.Event()
        hold = None if caller.reads else lambda: is_over.wait(DEADLINE_S + 2.0)

        def run_caller(number: int) -> list[int]:
            start = number * caller.rounds
            return [self.call(caller, start + index + 1, hold) for index in range(caller.rounds)]

        def run_calm() -> list[int]:
            statuses = []
            while not is_over.is_set() and len(statuses) < 1000:
                statuses.append(self.call(Caller(path="/calm/x"), 1 << 40))
                is_over.wait(CALM_INTERVAL_S)
            return statuses

        with ThreadPoolExecutor(count + 1) as executor:
            calm = executor.submit(run_calm)
            results = [executor.submit(run_caller, number) for number in range(count)]
            statuses = [status for result in results for status in result.result()]
            is_over.set()
            calm_statuses = calm.result()
        exit_code = self.process.popen.poll()
        peak_mb = self.read_memory_mb("VmHWM") if exit_code is None else 0.0
        return Measurement(
            idle_mb=idle_mb,
            peak_mb=peak_mb,
            exit_code=exit_code,
            statuses=statuses,
            calm_statuses=calm_statuses,
        )


CALLER_BY_KIND = {
    "event": Caller(path="/live/x", model="m1"),
    "unread events": Caller(path="/live/x", model="m1", reads=False),
    "unread large": Caller(path="/look/x", reads=False),
    "read large": Caller(path="/look/x", rounds=2),
    "request bodies": Caller(path="/look/x", body_bytes=LARGE_BODY_BYTES),
}
ENDPOINT_KIND_BY_KIND = {
    "unread events": "events",
    "unread large": "large",
    "read large": "large",
    "request bodies": "",
}


def measure(kind: str, count: int, memory_mb: int = DEFAULT_MEMORY_MB) -> Measurement:
    """Measure a new host under one kind of load."""
    with tempfile.TemporaryDirectory(prefix="catkinhook-test-") as folder:
        host = MemoryHost(Path(folder), ENDPOINT_KIND_BY_KIND.get(kind, kind), memory_mb)
        with contextlib.closing(host):
            host.start()
            return host.run(CALLER_BY_KIND.get(kind, Caller(path="/look/x", rounds=2)), count)


if __name__ == "__main__":
    memory_mb = int(sys.argv[1])
    kinds = [*_REPEATED_BY_KIND, *ENDPOINT_KIND_BY_KIND] if sys.argv[2] == "all" else [sys.argv[2]]
    for kind in kinds:
        for count in map(int, sys.argv[3:]):
            print(
                f"{kind}, {count} callers: {measure(kind, count, memory_mb).describe()}", flush=True
            )
