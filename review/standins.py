"""Stand-ins for the platform's store, replicas and clients, and the start of hosts.

They follow PROTOCOL.md and DEPLOY.md of the users' pages and use the standard library only. All
addresses are loopback addresses, and all times are those of the real clock.
"""

import base64
import contextlib
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = "ficu95.example"
HEARTBEAT_S = 1.2
# An entry is removed after three heartbeat intervals of silence.
ENTRY_TTL_S = 3 * HEARTBEAT_S
CONTACT_S = 3.0
DRAIN_S = 2.0
# A replica with this many connections resets further ones.
MAX_CONNECTIONS = 370
HEAD_BYTES = 64 << 10
# Range of the ports that are listened on.
PORTS = (12000, 31000)
_used_ports: set[int] = set()


class Record:
    """Record of one run; ``record.txt`` in the folder of the case.

    :param folder: folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    def write(self, what: str, **fields: object) -> None:
        """Write one line."""
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._file.write(f"{self.now():9.3f} {what} {values}\n")
            self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def find_port() -> int:
    """Return a free port of the loopback interface, below those of outgoing connections."""
    while True:
        port = random.randint(*PORTS)
        if port in _used_ports:
            continue
        _used_ports.add(port)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore connections that their peers closed."""


class Store:
    """The platform's metadata store, as far as hosts and replicas use it.

    :ivar address: ``IP:port``.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str, str], tuple[int, str]] = {}
        self._changes: list[tuple[int, tuple[str, str, str], str | None]] = []
        self._version = 1
        self._changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = -1

            def log_message(self, *args: object) -> None:
                pass

            def do_GET(self) -> None:  # noqa: N802
                url = urlsplit(self.path)
                fields = {name: values[0] for name, values in parse_qs(url.query).items()}
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                # A call takes about 4 ms.
                time.sleep(0.004)
                status, answer = store.call(url.path, fields, body)
                data = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_POST = do_GET  # noqa: N815

        self._server = _Server(("127.0.0.1", find_port()), Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row of a replica or of the operator."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self._changed:
            self._write((table, "", key), text)

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        with self._changed:
            if (table, "", key) in self._rows:
                self._write((table, "", key), None)

    def _write(self, row_id: tuple[str, str, str], text: str | None) -> None:
        self._version += 1
        if text is None:
            self._rows.pop(row_id, None)
        else:
            self._rows[row_id] = (self._version, text)
        self._changes.append((self._version, row_id, text))
        self._changed.notify_all()

    def call(self, path: str, fields: dict[str, str], body: bytes) -> tuple[int, dict]:
        """Perform one call."""
        if path == "/rows-tx":
            return self._commit(json.loads(body))
        if path == "/rows-get":
            return self._list(fields)
        if path == "/rows-feed":
            return self._wait(fields)
        return 404, {}

    def _make_answer(self, **more: object) -> dict:
        return {"ver": self._version, "now_ms": int(time.monotonic() * 1000), **more}

    def _make_row(self, row_id: tuple[str, str, str]) -> dict:
        version, text = self._rows[row_id]
        table, part, key = row_id
        return {"table": table, "part": part, "key": key, "value": text, "ver": version}

    def _list(self, fields: dict[str, str]) -> tuple[int, dict]:
        limit = min(500, int(fields.get("limit", 500)))
        with self._changed:
            found = sorted(
                row_id
                for row_id in self._rows
                if row_id[:2] == (fields["table"], fields.get("part", ""))
                and fields.get("from", "") <= row_id[2]
                and ("to" not in fields or row_id[2] < fields["to"])
            )
            rows = [self._make_row(row_id) for row_id in found[:limit]]
            return 200, self._make_answer(rows=rows, more_pages=len(found) > limit)

    def _wait(self, fields: dict[str, str]) -> tuple[int, dict]:
        after, ends_at = int(fields["after"]), time.monotonic() + int(fields["wait_ms"]) / 1000
        with self._changed:
            while True:
                rows = [
                    {
                        "table": row_id[0],
                        "part": row_id[1],
                        "key": row_id[2],
                        "ver": version,
                        **({"tombstone": True} if text is None else {"value": text}),
                    }
                    for version, row_id, text in self._changes
                    if version > after and row_id[0] == fields["table"]
                ]
                left_s = ends_at - time.monotonic()
                if rows or left_s <= 0:
                    return 200, self._make_answer(rows=rows)
                self._changed.wait(left_s)

    def _commit(self, fields: dict) -> tuple[int, dict]:
        def find_id(row: dict) -> tuple[str, str, str]:
            return row["table"], row["part"], row["key"]

        with self._changed:
            for row in fields["expected"]:
                if self._rows.get(find_id(row), (0, ""))[0] != row["ver"]:
                    known = [find_id(r) for r in fields["expected"] if find_id(r) in self._rows]
                    return 412, self._make_answer(rows=[self._make_row(r) for r in known])
            for row in fields["writes"]:
                if row["table"] in ("op", "servers"):
                    return 403, {}
                self._write(find_id(row), row["value"])
            for row in fields["remove"]:
                self._write(find_id(row), None)
            return 200, self._make_answer()


class Arrival:
    """A request that a replica received.

    :ivar at: seconds since the start of the run.
    """

    def __init__(self, at: float, method: str, path: str, headers: dict[str, str], body: bytes):
        self.at = at
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    @property
    def request_id(self) -> str:
        """Return the id of the client attempt."""
        return self.headers.get("attempt-id", "")


class Replica:
    """A replica: a plain service or, with models, an engine.

    Each start is a new incarnation with a new id at the same address. An engine starts empty, but
    its disk keeps the weights that it had.

    :param models: models that it holds at its first start; None for a plain service.
    :param spec_by_model: seconds of a load from the store and from disk, by model.
    :ivar on_request: called with each request that is about to run; may call ``crash``. Returns
        whether the request was dealt with.
    :ivar is_framed: whether streams are sent in chunks, and end with their connection otherwise.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        store: Store,
        record: Record,
        slots: int,
        models: tuple[str, ...] | None = None,
        spec_by_model: dict[str, tuple[float, float]] | None = None,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.is_framed = True
        self.event_s = 0.027
        self.work_s = 0.045
        self.events = 30
        self.on_event: Callable[[Replica, Arrival, int], bool] = lambda *event: False
        self.arrivals: list[Arrival] = []
        self.runs: list[tuple[float, str, str]] = []
        self.crashes: list[float] = []
        self.is_running = False
        self.incarnation = 0
        self.instance = ""
        self._store, self._record = store, record
        self._models: dict[str, set[str]] | None = None if models is None else {}
        self._on_disk = set(models or ())
        self._first_models = models or ()
        self._spec_by_model = spec_by_model or {}
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._listener: socket.socket | None = None
        self._port = find_port()
        self.address = f"127.0.0.1:{self._port}"
        self._sequence = self._fence = self._beats = 0
        self._busy = False
        self._born = 0
        self._is_registered = False
        self._report: dict = {}

    # Life cycle.

    def start(self) -> None:
        """Start a new incarnation."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self._port))
        listener.listen(256)
        with self._lock:
            self.incarnation += 1
            self.instance = f"i-{self.name}{self.incarnation:02d}"
            self._sequence = self._fence = self._beats = 0
            self._busy = False
            self._born = int(time.time() * 1000)
            if self._models is not None:
                is_first = self.incarnation == 1
                self._models = {m: set() for m in self._first_models} if is_first else {}
            self._listener, self.is_running, self._is_registered = listener, True, True
        number = self.incarnation
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()
        threading.Thread(target=self._beat, args=(number,), daemon=True).start()
        self._record.write("replica-start", replica=self.instance, address=self.address)

    def crash(self, down_s: float | None) -> None:
        """End at once, as a killed process does, and start again after ``down_s``."""
        with self._lock:
            if not self.is_running:
                return
            self.is_running = False
            connections, self._connections = self._connections, set()
            listener = self._listener
            instance = self.instance
            self.crashes.append(self._record.now())
        # The connections end with FIN, because all of their bytes were read.
        for sock in (listener, *connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            with contextlib.suppress(OSError):
                sock.close()
        self._record.write("replica-crash", replica=instance)
        # A crashed replica sends nothing more, so its entry lapses.
        expiry = threading.Timer(ENTRY_TTL_S, self._store.drop, ("servers", instance))
        expiry.daemon = True
        expiry.start()
        if down_s is not None:
            restart = threading.Timer(down_s, self.start)
            restart.daemon = True
            restart.start()

    def unregister(self) -> None:
        """Have the entry removed, as a leaving replica that never reports ``draining``."""
        self._is_registered = False
        self._store.drop("servers", self.instance)
        self._record.write("replica-removed", replica=self.instance)

    def _is_current(self, number: int) -> bool:
        return self.is_running and self.incarnation == number

    def _beat(self, number: int) -> None:
        while self._is_current(number) and self._is_registered:
            self.write_entry()
            time.sleep(HEARTBEAT_S)

    def write_entry(self) -> None:
        """Write the entry in the store."""
        self._beats += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_ms": 0,
            "sequence": self._beats,
            "born": self._born,
        }
        if self._models is not None:
            entry |= {"stage": "colocated", "models": self._list_models()}
            entry["placement"] = {"in_memory": [], "on_disk": sorted(self._on_disk)}
        self._store.put("servers", self.instance, entry)

    def _list_models(self) -> list[dict]:
        with self._lock:
            return [
                {"name": name, "version": 1, "adapters": sorted(adapters)}
                for name, adapters in (self._models or {}).items()
            ]

    # Connections.

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            with self._lock:
                is_open = self.is_running and listener is self._listener
                is_open = is_open and len(self._connections) < MAX_CONNECTIONS
                if is_open:
                    self._connections.add(sock)
            if not is_open:
                sock.close()
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        number, buffer = self.incarnation, b""
        try:
            while self._is_current(number):
                sock.settimeout(5.0)
                while b"\r\n\r\n" not in buffer:
                    data = sock.recv(HEAD_BYTES)
                    if not data:
                        return
                    buffer += data
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                pairs = (line.partition(":") for line in lines[1:])
                headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
                size = int(headers.get("content-length", "0"))
                while len(buffer) < size:
                    data = sock.recv(HEAD_BYTES)
                    if not data:
                        return
                    buffer += data
                body, buffer = buffer[:size], buffer[size:]
                arrival = Arrival(self._record.now(), method, path, headers, body)
                if not self._is_current(number) or not self._answer(sock, arrival):
                    return
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._connections.discard(sock)
            with contextlib.suppress(OSError):
                sock.close()

    def _send(self, sock: socket.socket, status: str, headers: dict[str, str], body: bytes) -> None:
        lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in headers.items())]
        lines.append(f"Content-Length: {len(body)}")
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def _send_json(self, sock: socket.socket, status: str, value: object) -> bool:
        headers = {"Content-Type": "application/json"}
        self._send(sock, status, headers, json.dumps(value).encode())
        return True

    def _answer(self, sock: socket.socket, arrival: Arrival) -> bool:
        expected = arrival.headers.get("expect-instance", self.instance)
        echo = {"Attempt-Id": arrival.request_id} if arrival.request_id else {}
        if expected != self.instance:
            marks = {"Instance-Id": self.instance, "Not-Executed": "1", **echo}
            self._send(sock, "421 Misdirected Request", marks, b"{}")
            return True
        if arrival.path == "/report":
            return self._send_json(sock, "200 OK", self._make_report())
        if arrival.path == "/order":
            status, value = self._take_order(json.loads(arrival.body))
            self._record.write("order", replica=self.instance, status=status, **value)
            return self._send_json(sock, status, {})
        if arrival.path == "/health":
            self._send(sock, "200 OK", {"Instance-Id": self.instance}, b"")
            return True
        self.arrivals.append(arrival)
        self._record.write(
            "arrives",
            id=arrival.request_id,
            replica=self.instance,
            method=arrival.method,
            path=arrival.path,
        )
        model, _, adapter = arrival.headers.get("model", "").partition("/")
        with self._lock:
            held = (self._models or {}).get(model)
        if self._models is not None and (held is None or (adapter and adapter not in held)):
            marks = {"Instance-Id": self.instance, "Not-Executed": "1", **echo}
            self._send(sock, "421 Misdirected Request", marks, b"{}")
            return True
        self.runs.append((self._record.now(), arrival.request_id, self.instance))
        self._record.write("runs", id=arrival.request_id, replica=self.instance)
        seal = {**echo, "Response-Seal": f"seal.{self.instance}.{arrival.request_id}"}
        if self._models is None:
            time.sleep(self.work_s)
            self._send(sock, "200 OK", {**seal, "Keep-Alive": "timeout=4"}, b"y" * 800)
            self._record.write("run-ends", id=arrival.request_id, replica=self.instance)
            return True
        return self._send_stream(sock, arrival, seal)

    def _send_stream(self, sock: socket.socket, arrival: Arrival, seal: dict[str, str]) -> bool:
        is_framed = self.is_framed
        headers = {**seal, "Content-Type": "text/event-stream"}
        headers |= {"Transfer-Encoding": "chunked"} if is_framed else {"Connection": "close"}
        # Prefill of the prompt.
        time.sleep(0.08)
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers.items())]
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(arrival.headers.get("last-event-id") or 0) + 1
        for number in range(first, max(first, self.events) + 1):
            if self.on_event(self, arrival, number - first):
                return False
            event = b"id: %d\ndata: three tokens\n\n" % number
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event) if is_framed else event)
            time.sleep(self.event_s)
        if is_framed:
            sock.sendall(b"0\r\n\r\n")
        self._record.write("run-ends", id=arrival.request_id, replica=self.instance)
        return is_framed

    # Orders.

    def _make_report(self) -> dict:
        models = self._list_models()
        with self._lock:
            return {
                "stage": "colocated",
                "models": models,
                "busy": self._busy,
                "sequence": self._sequence,
                "queued": 0,
                "active": len(self._connections),
                "kv_used": 0,
                "kv_total": 134749,
                "handles": 0,
                "born": self._born,
                "placement": {"in_memory": [], "on_disk": sorted(self._on_disk)},
            }

    def _take_order(self, order: dict) -> tuple[str, dict]:
        fields = {name: order.get(name) for name in ("operation", "model", "holder", "fence")}
        with self._lock:
            if order.get("holder") is None or order.get("fence") is None:
                return "400 Bad Request", fields
            if order["fence"] < self._fence:
                return "412 Precondition Failed", fields
            self._fence = order["fence"]
            if self._busy or order.get("expected", self._sequence) != self._sequence:
                return "409 Conflict", fields
            model, adapter = order["model"], order.get("adapter")
            is_load = order["operation"] == "load"
            if adapter and model not in self._models:
                return "409 Conflict", fields
            if adapter:
                adapters = self._models[model]
                if (adapter in adapters) is is_load:
                    return "200 OK", fields
                self._sequence += 1
                (adapters.add if is_load else adapters.discard)(adapter)
                return ("202 Accepted" if is_load else "200 OK"), fields
            if (model in self._models) is is_load:
                return "200 OK", fields
            self._sequence += 1
            self._busy = True
            load_s, disk_s = self._spec_by_model[model]
            seconds = (disk_s if model in self._on_disk else load_s) if is_load else 0.1
            done = threading.Timer(seconds, self._end_order, (self.incarnation, model, is_load))
            done.daemon = True
            done.start()
            return "202 Accepted", fields

    def _end_order(self, number: int, model: str, is_load: bool) -> None:
        if not self._is_current(number):
            return
        with self._lock:
            if is_load:
                self._models[model] = set()
                self._on_disk.add(model)
            else:
                self._models.pop(model, None)
            self._busy = False
        self.write_entry()


def make_configuration(models: dict[str, tuple[float, float]], version: int = 7) -> dict:
    """Return a configuration like that of the users' sheet.

    :param models: seconds of a load from the store and from disk, by model.
    """
    engine = {
        "slots": 64,
        "kv_capacity": 134749,
        "weights_mb": 220000.0,
        "adapter_slots": 8,
        "loads_per_s": 1.1,
        "models": [
            {
                "name": name,
                "weights_mb": 65100.0,
                "load_s": load_s,
                "adapters": 0,
                "adapter_mb": 12.0,
                "warm_s": 0.76,
                "disk_s": disk_s,
            }
            for name, (load_s, disk_s) in models.items()
        ],
    }
    stream = {
        "host": HOST_NAME,
        "kind": "stream",
        "service": "huvo11a",
        "sticky": True,
        "gap_aim_ms": 300,
        "priority": 1,
    }
    plain = {"host": HOST_NAME, "service": "wuno96b", "priority": 2, "timeout_ms": 1200}
    routes = [
        {
            **stream,
            "name": "r-live",
            "path_prefix": "/lohu930/",
            "timeout_ms": 15000,
            "target_latency_ms": 600,
            "max_attempts": 2,
            "resumable": True,
        },
        {
            **plain,
            "name": "r-post",
            "path_prefix": "/puxa403/",
            "kind": "non_idempotent",
            "target_latency_ms": 200,
            "max_attempts": 1,
        },
        {
            **plain,
            "name": "r-look",
            "path_prefix": "/cufi504/",
            "kind": "idempotent",
            "target_latency_ms": 200,
            "max_attempts": 2,
        },
    ]
    more = {"health_path": "/health", "protocol": "h1", "tls": False}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "huvo11a", "max_conns": MAX_CONNECTIONS, "engine": engine, **more},
            {"name": "wuno96b", "max_conns": 110, **more},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class Machine:
    """A machine with the project's program, started by the command of the deploy file."""

    def __init__(self, number: int, zone: str, folder: Path) -> None:
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.front, self.ready, self.control = (f"127.0.0.1:{find_port()}" for _ in range(3))
        self.process: subprocess.Popen | None = None
        self.started_at = 0.0
        self._folder = folder
        self._settings = folder / f"{self.name}.conf"

    def write_settings(self, seeds: list[str], store_address: str) -> None:
        """Write the settings file, with the lines of DEPLOY.md."""
        lines = f"""node={self.name}
role=host
machine_class=front
serves=front,control
ip=127.0.0.1
zone={self.zone}
region=tn-north
listen.front={self.front}
listen.ready={self.ready}
listen.control={self.control}
seeds={",".join(seeds)}
bootstrap=true
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform
tolerate.machines=1
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.skew_max_ms=5000
bounds.retry_budget=0.2
bounds.budget_window_s=10
bounds.retry_slack=56
bounds.recover_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.require_fence=true
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.ceiling_window_s=5
bounds.ceiling_overage=1.1
platform.address={store_address}
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
"""
        self._settings.write_text(lines, encoding="utf-8")

    def start(self) -> None:
        """Start the program."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        command = deploy["roles"]["host"]["run"].split()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env = {
            **kept,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CATKINHOOK_BOOT": str(self._settings),
        }
        output = (self._folder / f"{self.name}.log").open("ab")
        with output:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=output, stderr=subprocess.STDOUT
            )
        self.started_at = time.monotonic()

    def is_ready(self) -> bool:
        """Return whether the machine says that it is ready."""
        connection = http.client.HTTPConnection(self.ready, timeout=1.0)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Deployment:
    """A small deployment on loopback addresses.

    :param machines: number of machines.
    :param store_address: address of the store in the settings, if it isn't the store's own.
    """

    def __init__(self, folder: Path, machines: int) -> None:
        self.record = Record(folder)
        self.store = Store()
        self.folder = Path(tempfile.mkdtemp(prefix="catkinhook-review-"))
        zones = ("tn-north-a", "tn-north-b", "tn-north-c")
        self.machines = [
            Machine(number + 1, zones[number % 3], self.folder) for number in range(machines)
        ]
        self.replicas: list[Replica] = []
        self._ids = iter(range(1, 10**9))
        self._id_lock = threading.Lock()

    def start(self, store_address: str = "", timeout_s: float = 20.0) -> None:
        """Start all machines and wait until they are ready.

        :raises RuntimeError: if they are not ready in time.
        """
        if not (ROOT / "target/deps").is_dir():
            raise RuntimeError("target/deps is missing: run the build of the deploy file first")
        seeds = [machine.control for machine in self.machines[:3]]
        for machine in self.machines:
            machine.write_settings(seeds, store_address or self.store.address)
            machine.start()
        ends_at = time.monotonic() + timeout_s
        while not all(machine.is_ready() for machine in self.machines):
            if time.monotonic() > ends_at:
                raise RuntimeError("the machines are not ready")
            time.sleep(0.1)
        self.record.write("ready", machines=len(self.machines))

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for machine in self.machines:
            machine.stop()
        self.store.close()
        self.record.close()
        if "KEEP_LOGS" in os.environ:
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def make_id(self) -> str:
        """Return a new id of a client attempt."""
        with self._id_lock:
            return f"{next(self._ids):016x}"

    def send(
        self,
        machine: Machine,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        deadline_ms: int,
        what: str,
    ) -> tuple[str, int, bytes]:
        """Send one request on a new connection; return its id, status and body.

        The status is 0 if the connection ended without a complete answer.
        """
        request_id = self.make_id()
        all_headers = {
            "Host": HOST_NAME,
            "Attempt-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            **headers,
        }
        sent_at = self.record.now()
        self.record.write("sent", id=request_id, machine=machine.name, path=path, kind=what)
        connection = http.client.HTTPConnection(machine.front, timeout=deadline_ms / 1000 + 1.0)
        status, data = 0, b""
        try:
            connection.request(method, path, body=body or None, headers=all_headers)
            answer = connection.getresponse()
            data = answer.read()
            status = answer.status
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            connection.close()
        took = self.record.now() - sent_at
        self.record.write("answer", id=request_id, status=status, bytes=len(data), took_s=took)
        return request_id, status, data


def run_case(run: Callable[[bool], bool]) -> int:
    """Run a case and return the exit code of its script.

    :param run: runs the case, with the disruption if its argument is true; returns whether the
        rule was broken.
    """
    try:
        return 1 if run(os.environ.get("TROUBLE", "1") != "0") else 0
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return 2
