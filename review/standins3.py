"""Stand-ins for the cases 11 to 15: the platform's store, replicas, clients and hosts' processes.

All run on loopback addresses in one asyncio loop, except for the hosts, which are processes of
their own with the command of ``deploy/system.toml``.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
STARTED = time.monotonic()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """Lines of ``record.txt``."""

    def __init__(self, folder: str) -> None:
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")  # noqa: SIM115

    def add(self, text: str) -> None:
        """Add one line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - STARTED:8.3f} {text}\n")

    def close(self, verdict: str) -> None:
        """Write the result."""
        self.add(verdict)
        self._file.close()
        print(verdict)


def find_ports(count: int) -> list[int]:
    """Return free ports below the range of ephemeral ports."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(15_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


class Request:
    """A request as received: header names in lower case."""

    def __init__(self, method: str, target: str, pairs: list[tuple[str, str]], body: bytes):
        self.method, self.target, self.pairs, self.body = method, target, pairs, body
        self.headers = {name.lower(): value for name, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request with a length or in chunks; return None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].split("\r\n")
    method, target, _ = first.split(" ", 2)
    pairs = [(name, value.strip()) for name, _, value in (line.partition(":") for line in lines)]
    request = Request(method, target, pairs, b"")
    try:
        request.body = await reader.readexactly(int(request.headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return request


def make_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in headers.items())]
    return ("\r\n".join([*lines, f"Content-Length: {len(body)}"]) + "\r\n\r\n").encode() + body


class Server:
    """HTTP server whose connections can be aborted, like those of a process that is killed."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.address = f"127.0.0.1:{port}"
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=512)

    def is_up(self) -> bool:
        """Return whether the server listens."""
        return self._server is not None

    def crash(self) -> None:
        """End as a killed process does: no listener, all connections reset."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        self.abort_all()

    def abort_all(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.handle(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def handle(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the connection is kept."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: rows, feeds and transactions, answers after 4 ms."""

    def __init__(self, port: int) -> None:
        super().__init__(port)
        self.rows: dict[tuple[str, str, str], tuple[int, str]] = {}
        self.changes: list[tuple[int, tuple[str, str, str], str | None]] = []
        self.version = 0
        self._change: asyncio.Future = asyncio.get_running_loop().create_future()

    def _row(self, row_id: tuple[str, str, str]) -> dict:
        version, value = self.rows[row_id]
        table, part, key = row_id
        return {"table": table, "part": part, "key": key, "value": value, "ver": version}

    async def apply(self, changes: dict[tuple[str, str, str], str | None]) -> int:
        """Apply one transaction; None removes a row."""
        self.version += 1
        for row_id, value in changes.items():
            if value is None:
                if self.rows.pop(row_id, None) is None:
                    continue
            else:
                self.rows[row_id] = (self.version, value)
            self.changes.append((self.version, row_id, value))
        self._change.set_result(None)
        self._change = asyncio.get_running_loop().create_future()
        return self.version

    async def put(self, table: str, key: str, value: dict) -> int:
        """Write a row as the operator or a replica."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return await self.apply({(table, "", key): text})

    async def drop(self, table: str, key: str) -> None:
        """Remove a row as the operator or a replica."""
        await self.apply({(table, "", key): None})

    def read(self, table: str, key: str) -> dict | None:
        """Return the JSON value of a row."""
        row = self.rows.get((table, "", key))
        return None if row is None else json.loads(base64.b64decode(row[1]))

    def _tail(self) -> dict:
        return {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}

    async def handle(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a call."""
        await asyncio.sleep(0.004)
        url = urlsplit(request.target)
        fields = {n: v[0] for n, v in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/rows-tx":
            status, body = await self._commit(json.loads(request.body))
        elif url.path == "/rows-get":
            status, body = 200, self._list(fields)
        elif url.path == "/rows-feed":
            status, body = await self._feed(fields)
        else:
            status, body = 404, {}
        data = json.dumps(body).encode()
        headers = {"Content-Type": "application/json", **self.more_headers()}
        writer.write(make_answer(status, headers, data))
        await writer.drain()
        return True

    def more_headers(self) -> dict[str, str]:
        """Return further headers of all answers."""
        return {}

    def _list(self, fields: dict) -> dict:
        table, part = fields["table"], fields.get("part", "")
        low, high = fields.get("from", ""), fields.get("to")
        ids = sorted(
            i
            for i in self.rows
            if i[:2] == (table, part) and i[2] >= low and (high is None or i[2] < high)
        )
        limit = min(500, int(fields.get("limit", 500)))
        rows = [self._row(i) for i in ids[:limit]]
        return {"rows": rows, "more_pages": len(ids) > limit, **self._tail()}

    async def _feed(self, fields: dict) -> tuple[int, dict]:
        table, after = fields["table"], int(fields["after"])
        until = time.monotonic() + int(fields.get("wait_ms", 0)) / 1000
        while True:
            rows = []
            for version, (row_table, part, key), value in self.changes:
                if version > after and row_table == table:
                    row = {"table": table, "part": part, "key": key, "ver": version}
                    rows.append(row | ({"value": value} if value else {"tombstone": True}))
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, **self._tail()}
            await asyncio.wait({self._change}, timeout=left)

    async def _commit(self, call: dict) -> tuple[int, dict]:
        def row_id(row: dict) -> tuple[str, str, str]:
            return row["table"], row.get("part", ""), row["key"]

        expected = call.get("expected", [])
        if any(self.rows.get(row_id(r), (0, ""))[0] != r["ver"] for r in expected):
            rows = [self._row(row_id(r)) for r in expected if row_id(r) in self.rows]
            return 412, {"rows": rows, **self._tail()}
        changes: dict = {row_id(row): row["value"] for row in call.get("writes", [])}
        changes |= {row_id(row): None for row in call.get("remove", [])}
        if any(table in ("op", "servers") for table, _, _ in changes):
            return 403, {}
        await self.apply(changes)
        return 200, self._tail()


class Host:
    """One host: a process with the command of the deploy file."""

    def __init__(self, node: str, zone: str, folder: Path, text: str, ports: list[int]) -> None:
        self.node = node
        self.front, self.ready, self.control = (f"127.0.0.1:{port}" for port in ports)
        self._settings = folder / f"{node}.conf"
        self._settings.write_text(
            f"node={node}\nrole=host\nmachine_class=front\nserves=front,control\n"
            f"ip=127.0.0.1\nzone={zone}\nregion=r1\nzones.{zone}=r1\n"
            f"listen.front={self.front}\nlisten.ready={self.ready}\n"
            f"listen.control={self.control}\n{text}",
            encoding="utf-8",
        )
        self._log = open(folder / f"{node}.log", "ab")  # noqa: SIM115
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "catkinhook.platform"],
            cwd=ROOT,
            env={
                **kept,
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "CATKINHOOK_BOOT": str(self._settings),
            },
            stdout=self._log,
            stderr=self._log,
            stdin=subprocess.DEVNULL,
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Return whether the readiness check passes; blocks for some milliseconds."""
        import http.client

        connection = http.client.HTTPConnection(self.ready, timeout=1)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def end(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
        self._log.close()


BOUNDS = (
    "bootstrap=true\nin_tolerance=false\nlimits.cpu_share=0.537\nlimits.cores=2\n"
    "limits.memory_mb=300\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n"
    "discovery=platform\nentry=vip\nheartbeat_ms=1200\n"
    "contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform\n"
    "tolerate.machines=1\ntolerate.zones=0\ntolerate.regions=0\n"
    "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\n"
    "bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n"
    "bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\nbounds.skew_max_ms=5000\n"
    "bounds.retry_budget=0.2\nbounds.budget_window_s=10\nbounds.retry_slack=56\n"
    "bounds.recover_s=12\nbounds.pass_ms=120\nbounds.retry_after_s=0\n"
    "bounds.require_fence=true\nbounds.lease_ms=3000\nbounds.thaw_ms=300\n"
    "bounds.ceiling_window_s=5\nbounds.ceiling_overage=1.1\n"
    "platform.form=table\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
    "platform.tx_ms=3.0\nplatform.part_writes_per_s=300\nplatform.row_bytes=65536\n"
    "platform.across=true\nplatform.history_s=20\nplatform.blob_bytes=8388608\n"
    "platform.blob_ms=25.0\nplatform.blob_mb_s=80.0\n"
)


class Deployment:
    """Store and hosts; replicas and clients belong to the cases."""

    def __init__(self, hosts: int, zones: int = 1, make_store: type[Store] = Store) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        folder = Path(self._folder.name)
        store_port, *ports = find_ports(1 + 3 * hosts)
        self.store = make_store(store_port)
        names = [f"front-z{number % zones + 1}-{number + 1}" for number in range(hosts)]
        seeds = ",".join(f"127.0.0.1:{ports[3 * n + 2]}" for n in range(min(3, hosts)))
        self.hosts = [
            Host(
                name,
                f"z{number % zones + 1}",
                folder,
                f"seeds={seeds}\nplatform.address={self.store.address}\n{BOUNDS}",
                ports[3 * number : 3 * number + 3],
            )
            for number, name in enumerate(names)
        ]

    async def start(self, timeout_s: float = 30.0) -> None:
        """Start all hosts, and wait until they are ready; the store runs already."""
        for host in self.hosts:
            host.start()
        until = time.monotonic() + timeout_s
        for host in self.hosts:
            while not await asyncio.to_thread(host.is_ready):
                if time.monotonic() > until or host.process.poll() is not None:
                    raise NotRunError(f"{host.node} is not ready")
                await asyncio.sleep(0.1)

    def read_logs(self) -> dict[str, str]:
        """Return the output of the hosts by node."""
        folder = Path(self._folder.name)
        return {
            host.node: (folder / f"{host.node}.log").read_text("utf-8", "replace")
            for host in self.hosts
        }

    def close(self) -> None:
        """End the hosts."""
        for host in self.hosts:
            host.end()
        self._folder.cleanup()


ENGINE = {
    "slots": 64,
    "kv_capacity": 134749,
    "weights_mb": 220000.0,
    "adapter_slots": 8,
    "loads_per_s": 1.1,
}


def make_model(name: str) -> dict:
    """Return a model of a configuration."""
    return {
        "name": name,
        "weights_mb": 65100.0,
        "load_s": 7.8,
        "warm_s": 0.76,
        "disk_s": 1.6,
        "adapters": 0,
        "adapter_mb": 12.0,
    }


def make_route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "h.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "max_attempts": 1,
        "timeout_ms": 15000,
        "target_latency_ms": 600,
        "priority": 1,
    } | fields


LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 5000,
    "idle_timeout_ms": 15000,
}

_ids = itertools.count(1)


def make_id() -> str:
    """Return a new id of a client attempt."""
    return f"{random.getrandbits(32):08x}{next(_ids):08x}"


class Answer:
    """Answer that a client got; status 0 if there was none, and whether it is complete."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False


async def send(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 15.0,
) -> Answer:
    """Send a request on a new connection, as a client does, and read its answer."""
    answer = Answer()
    host, port = address.split(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                lines = [f"{method} {target} HTTP/1.1", "Host: h.example"]
                lines += [f"{n}: {v}" for n, v in headers.items()]
                if body or method == "POST":
                    lines.append(f"Content-Length: {len(body)}")
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
                await _read_answer(reader, answer)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    answer.headers = {name.lower(): value.strip() for name, _, value in pairs}
    answer.status = int(first.split(" ")[1])
    if answer.headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    elif "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    else:
        while data := await reader.read(65536):
            answer.body += data
    answer.is_whole = True


def run_case(folder: str, case: Callable[[Record], Awaitable[int]]) -> None:
    """Run a case and exit with its result."""
    record = Record(folder)
    try:
        result = asyncio.run(asyncio.wait_for(case(record), 112))
    except (NotRunError, TimeoutError, OSError) as error:
        record.close(f"the case could not run: {error!r}")
        sys.exit(NOT_RUN)
    record.close({BROKEN: "the rule was broken", HELD: "the rule held"}.get(result, "not run"))
    sys.stdout.flush()
    # Connections that hosts left open may still have tasks.
    os._exit(result)
