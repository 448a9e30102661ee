"""Stand-ins of the platform for the scripts of the second review: store, hosts and clients.

Only the standard library is used. All addresses are on the loopback interface.
"""

import base64
import contextlib
import json
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0
HOST_NAME = "ficu95.example"
# Bounds of the small deployment of Jusoor, as DEPLOY.md lists them.
BOUNDS = {
    "seed_lag_s": "3",
    "reuse_after_s": "2",
    "contact_ms": "3000",
    "ack_ms": "4000",
    "catch_up_s": "4",
    "drain_ms": "2000",
    "grace_s": "8",
    "loss_slack_ms": "200",
    "config_apply_ms": "2000",
    "rollback_slack_ms": "250",
    "skew_max_ms": "5000",
    "retry_budget": "0.2",
    "budget_window_s": "10",
    "retry_slack": "56",
    "recover_s": "12",
    "pass_ms": "120",
    "retry_after_s": "0",
    "require_fence": "true",
    "lease_ms": "3000",
    "thaw_ms": "300",
    "ceiling_window_s": "5",
    "ceiling_overage": "1.1",
}
# A script may run for 120 s; before that, it ends all processes that it started.
TIME_LIMIT_S = 113.0
_used_ports: set[int] = set()
_processes: list[subprocess.Popen] = []


def is_troubled() -> bool:
    """Return whether the script runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file ``record.txt`` beside a script, with what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
            self._file.flush()


def find_port() -> int:
    """Return a free port below the range of ephemeral ports."""
    while True:
        port = random.randrange(15_000, 32_000)
        if port not in _used_ports:
            with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
                _used_ports.add(port)
                return port


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore connections that a killed process has left."""


class Store:
    """Table store: rows, conditional writes and a change feed, as PROTOCOL.md describes them."""

    def __init__(self) -> None:
        store = self
        self._changed = threading.Condition()
        self._rows: dict[tuple[str, str], tuple[int, str]] = {}
        self._changes: list[tuple[int, str, str, str | None]] = []
        self._version = 1
        self._started = time.monotonic()

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args: object) -> None:
                pass

            def do_GET(self) -> None:  # noqa: N802
                url = urlsplit(self.path)
                fields = {name: values[0] for name, values in parse_qs(url.query).items()}
                if url.path == "/rows-get":
                    self._send(200, store._read(fields))
                elif url.path == "/rows-feed":
                    self._send(200, store._feed(fields))
                else:
                    self._send(404, {})

            def do_POST(self) -> None:  # noqa: N802
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                status, answer = store._commit(json.loads(body))
                self._send(status, answer)

            def _send(self, status: int, answer: dict) -> None:
                body = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        self._server = _Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stop the server."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, table: str, key: str, value: dict | bytes) -> int:
        """Write a row as the operator or a replica does; return its version."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._changed:
            return self._write(table, key, base64.b64encode(raw).decode())

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        with self._changed:
            self._write(table, key, None)

    def _write(self, table: str, key: str, value: str | None) -> int:
        self._version += 1
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = (self._version, value)
        self._changes.append((self._version, table, key, value))
        self._changed.notify_all()
        return self._version

    def _now_ms(self) -> int:
        return int((time.monotonic() - self._started) * 1000)

    def _row(self, table: str, key: str) -> dict:
        version, value = self._rows[table, key]
        return {"table": table, "part": "", "key": key, "value": value, "ver": version}

    def _read(self, fields: dict[str, str]) -> dict:
        limit = min(500, int(fields.get("limit", 500)))
        with self._changed:
            keys = sorted(
                key
                for table, key in self._rows
                if table == fields["table"]
                and key >= fields.get("from", "")
                and ("to" not in fields or key < fields["to"])
            )
            rows = [self._row(fields["table"], key) for key in keys[:limit]]
            more = len(keys) > limit
            return {
                "rows": rows,
                "more_pages": more,
                "ver": self._version,
                "now_ms": self._now_ms(),
            }

    def _feed(self, fields: dict[str, str]) -> dict:
        after, table = int(fields["after"]), fields["table"]

        def find() -> list[dict]:
            return [
                {
                    "table": table,
                    "part": "",
                    "key": key,
                    "value": value or "",
                    "ver": version,
                    **({"tombstone": True} if value is None else {}),
                }
                for version, changed, key, value in self._changes
                if version > after and changed == table
            ]

        ends = time.monotonic() + min(30_000, int(fields.get("wait_ms", 0))) / 1000
        with self._changed:
            while not (rows := find()) and (left := ends - time.monotonic()) > 0:
                self._changed.wait(left)
            return {"rows": rows, "ver": self._version, "now_ms": self._now_ms()}

    def _commit(self, fields: dict) -> tuple[int, dict]:
        with self._changed:
            current = [
                self._row(row["table"], row["key"])
                for row in fields["expected"]
                if (row["table"], row["key"]) in self._rows
            ]
            version_by_key = {(row["table"], row["key"]): row["ver"] for row in current}
            is_met = all(
                version_by_key.get((row["table"], row["key"]), 0) == row["ver"]
                for row in fields["expected"]
            )
            if not is_met:
                status, more = 412, {"rows": current}
            else:
                for row in fields["writes"]:
                    self._write(row["table"], row["key"], row["value"])
                for row in fields.get("remove", ()):
                    self._write(row["table"], row["key"], None)
                status, more = 200, {}
            return status, {**more, "ver": self._version, "now_ms": self._now_ms()}


def make_route(name: str, prefix: str, kind: str, service: str, **more: object) -> dict:
    """Return a route of the configuration, with the figures of the site's sheet."""
    return {
        "name": name,
        "host": HOST_NAME,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 2500,
        "target_latency_ms": 200,
        "priority": 1,
        "service": service,
        "max_attempts": 2 if kind == "idempotent" else 1,
        **more,
    }


def make_configuration(routes: Iterable[dict], services: Iterable[dict], version: int = 1) -> dict:
    """Return a configuration with the limits of the pages' example."""
    return {
        "version": version,
        "routes": list(routes),
        "services": list(services),
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def make_entry(service: str, address: str, slots: int, born: int, **more: object) -> dict:
    """Return a replica's entry in the store."""
    return {
        "service": service,
        "address": address,
        "zone": "tn-north-a",
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "cold_ms": 0,
        "sequence": 1,
        "born": born,
        **more,
    }


class Host:
    """One process of the system, started as the deploy file says.

    :param max_fds: limit on its descriptors, as ``limits.max_fds`` states it.
    :param python: interpreter, as found by the path of the deploy file's command.
    """

    def __init__(
        self,
        store: Store,
        number: int = 1,
        max_fds: int = 4100,
        python: str = "python3",
        packages: Path = ROOT / "target" / "deps",
    ) -> None:
        self._folder = tempfile.TemporaryDirectory()
        folder = Path(self._folder.name)
        self.front, self.ready, self.control = (f"127.0.0.1:{find_port()}" for _ in range(3))
        lines = {
            "node": f"front-tn-north-a-{number}",
            "role": "host",
            "machine_class": "front",
            "serves": "front,control",
            "ip": "127.0.0.1",
            "zone": "tn-north-a",
            "region": "tn-north",
            "zones.tn-north-a": "tn-north",
            "listen.front": self.front,
            "listen.ready": self.ready,
            "listen.control": self.control,
            "seeds": self.control,
            "bootstrap": "true",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": str(max_fds),
            "limits.link_mbps": "1000.0",
            "heartbeat_ms": "1200",
            "platform.address": store.address,
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
        }
        settings = folder / "local.conf"
        settings.write_text("".join(f"{name}={value}\n" for name, value in lines.items()))
        self.log = (folder / "log").open("wb")
        self.process = subprocess.Popen(
            [python, "-m", "catkinhook.platform"],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(packages),
                "PYTHONDONTWRITEBYTECODE": "1",
                "CATKINHOOK_BOOT": str(settings),
            },
            stdout=self.log,
            stderr=subprocess.STDOUT,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (max_fds, max_fds)),
        )
        _processes.append(self.process)

    def is_ready(self, timeout_s: float = 1.0) -> bool:
        """Ask the host on a new connection whether it is ready, as the platform does."""
        try:
            with connect(self.ready, timeout_s) as sock:
                sock.sendall(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                return sock.recv(4096).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_until_ready(self) -> None:
        """Wait until the host serves.

        :raises CannotRunError: if it doesn't.
        """
        ends = time.monotonic() + START_TIMEOUT_S
        while not self.is_ready():
            if time.monotonic() > ends or self.process.poll() is not None:
                raise CannotRunError(f"a host did not start: {self.read_log()[-2000:]}")
            time.sleep(0.1)

    def read_log(self) -> str:
        """Return what the host has logged."""
        return Path(self.log.name).read_text(encoding="utf-8", errors="replace")

    def count_descriptors(self) -> int:
        """Return the number of the host's open descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def close(self) -> None:
        """Kill the process."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.log.close()
        self._folder.cleanup()


class CannotRunError(Exception):
    """The case can't run here."""


def connect(address: str, timeout_s: float) -> socket.socket:
    """Open a connection to ``IP:port``."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout_s)


class Answer:
    """A client's answer: ``status`` is 0 if there was none."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, error: str = "") -> None:
        self.status, self.headers, self.body, self.error = status, headers, body, error


def send_request(
    address: str,
    method: str,
    path: str,
    attempt: str,
    deadline_s: float,
    body: bytes = b"",
    more: Iterable[tuple[str, str]] = (),
) -> Answer:
    """Send a request on a new connection, and read its answer until the client's deadline."""
    ends = time.monotonic() + deadline_s
    try:
        with connect(address, min(1.0, deadline_s)) as sock:
            left_s = max(0.01, ends - time.monotonic())
            return exchange(sock, method, path, attempt, deadline_s, left_s, body, more)
    except OSError as error:
        return Answer(0, {}, b"", repr(error))


def exchange(
    sock: socket.socket,
    method: str,
    path: str,
    attempt: str,
    deadline_s: float,
    timeout_s: float | None = None,
    body: bytes = b"",
    more: Iterable[tuple[str, str]] = (),
) -> Answer:
    """Send a request on a connection, and read its answer until the client's deadline."""
    ends = time.monotonic() + (deadline_s if timeout_s is None else timeout_s)
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Attempt-Id: {attempt}",
        f"Deadline-Ms: {int(deadline_s * 1000)}",
        *(f"{name}: {value}" for name, value in more),
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode()
    try:
        sock.settimeout(max(0.01, ends - time.monotonic()))
        sock.sendall(head + body)
        return _read_answer(sock, ends)
    except OSError as error:
        return Answer(0, {}, b"", repr(error))


def _read_answer(sock: socket.socket, ends: float) -> Answer:
    data = b""

    def read() -> bytes:
        sock.settimeout(max(0.001, ends - time.monotonic()))
        return sock.recv(65536)

    while b"\r\n\r\n" not in data:
        part = read()
        if not part:
            return Answer(0, {}, data, "closed before the head")
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {n.strip().lower(): v.strip() for n, _, v in (ln.partition(":") for ln in lines[1:])}
    status = int(lines[0].split()[1])
    length = int(headers.get("content-length", 0))
    while len(rest) < length:
        part = read()
        if not part:
            return Answer(status, headers, rest, "closed before the end of the body")
        rest += part
    return Answer(status, headers, rest)


def _end_processes() -> None:
    for process in _processes:
        if process.poll() is None:
            process.kill()


def run_case(folder: Path, body: Callable[[Record], bool]) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    :param body: returns whether the rule was broken.
    """
    record = Record(folder)

    def give_up() -> None:
        record.write("the case took too long")
        _end_processes()
        os._exit(2)

    timer = threading.Timer(TIME_LIMIT_S, give_up)
    timer.daemon = True
    timer.start()
    try:
        is_broken = body(record)
    except CannotRunError as error:
        record.write(f"the case couldn't run: {error}")
        _end_processes()
        os._exit(2)
    except Exception as error:
        record.write(f"the case couldn't run: {error!r}")
        sys.stderr.write(f"{error!r}\n")
        _end_processes()
        os._exit(2)
    _end_processes()
    record.write("the rule was broken" if is_broken else "the rule held")
    os._exit(1 if is_broken else 0)
