"""Emulator of the platform: table service, object store, host list and weight stores over HTTP."""

import json
import logging
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qsl, unquote

import attrs
import waitress.server
from result import Err, Ok, Result

from catkinhook.addresses import split_address
from catkinhook.emulators.faultinjection import Faults
from catkinhook.emulators.inmemory import MemoryHostList, MemoryObjectStore, MemoryTable
from catkinhook.emulators.processes import run_until_terminated
from catkinhook.emulators.weightstore import WeightLimits, WeightStores
from catkinhook.errors import StepError, StoreConflict
from catkinhook.state.hostlist import Host
from catkinhook.state.tableservice import SCAN_LIMIT, Check, Row, Write
from catkinhook.units import MIB
from catkinhook.wsgiserver import close_sockets

JSON_TYPE = "application/json"
BYTES_TYPE = "application/octet-stream"
MAX_REQUEST_BYTES = 64 * MIB
DEFAULT_THREADS = 32
CLOSE_TIMEOUT_S = 1.0
PAUSE_POLL_INTERVAL_S = 0.01

STATUS_LINE_BY_CODE = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    429: "429 Too Many Requests",
    503: "503 Service Unavailable",
}


@attrs.frozen(kw_only=True)
class PlatformEmulatorSettings:
    """One emulated platform.

    :ivar address: ``IP:port``; port 0 selects a free port.
    :ivar hosts: initial host list.
    :ivar hosts_lag: seconds until a change of the host list is visible.
    """

    address: str = "127.0.0.1:0"
    hosts: list[Host] = attrs.Factory(list)
    hosts_lag: float = 0.0
    weight_limits: dict[str, WeightLimits] = attrs.Factory(dict)
    threads: int = DEFAULT_THREADS


@attrs.frozen
class Response:
    """Status, content and content type of one response."""

    status: int
    content: bytes
    content_type: str = JSON_TYPE


class Platform:
    """Emulator of the platform's services."""

    def __init__(self, settings: PlatformEmulatorSettings) -> None:
        self.address = settings.address
        self.faults = Faults()
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.hosts = MemoryHostList(settings.hosts_lag)
        self.weights = WeightStores(settings.weight_limits)
        self._threads = settings.threads
        self._sockets: dict = {}
        self._thread: threading.Thread | None = None
        for host in settings.hosts:
            self.hosts.put_host(host)

    @property
    def url(self) -> str:
        """Return the base URL, known after ``start``."""
        return f"http://{self.address}"

    def start(self) -> None:
        """Listen for requests.

        :raises OSError: if the address cannot be bound.
        """
        # A lost response is truncated on purpose, and waitress logs a warning for each.
        logging.getLogger("waitress").setLevel(logging.ERROR)
        host, port = split_address(self.address)
        self._server = waitress.server.create_server(
            self._handle_request,
            map=self._sockets,
            host=host,
            port=port,
            threads=self._threads,
            max_request_body_size=MAX_REQUEST_BYTES,
            connection_limit=2000,
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=True,
        )
        self.address = f"{host}:{self._server.effective_port}"
        self._thread = threading.Thread(target=self._server.run, name="platform", daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Drop all connections and stop listening."""
        if self._thread is None:
            return
        # A finishing request uses the trigger, so the threads must end before it is closed.
        self._server.task_dispatcher.shutdown(timeout=CLOSE_TIMEOUT_S)
        close_sockets(self._server, self._sockets)
        self._thread.join()

    def _handle_request(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        # Keys may contain an encoded slash, which PATH_INFO has decoded, so the raw path is used.
        parts = [
            unquote(part) for part in environ.get("REQUEST_URI", path).split("?")[0].split("/")
        ]
        body = environ["wsgi.input"].read()
        is_answer_lost = False
        if parts[1:] != ["faults"]:
            if self.faults.slow_ms:
                time.sleep(self.faults.slow_ms / 1000)
            while self.faults.paused:
                time.sleep(PAUSE_POLL_INTERVAL_S)
            is_answer_lost = (
                method != "GET" and not self.faults.down and self.faults.consume("lose_answers")
            )
        response = self._route(method, parts[1:], dict(parse_qsl(environ["QUERY_STRING"])), body)
        # A body shorter than its Content-Length makes the client treat the response as lost.
        length = len(response.content) + is_answer_lost
        start_response(
            STATUS_LINE_BY_CODE[response.status],
            [("Content-Type", response.content_type), ("Content-Length", str(length))],
        )
        return [b"" if is_answer_lost else response.content]

    def _route(self, method: str, parts: list[str], query: dict[str, str], body: bytes) -> Response:
        route = self._routes().get((method, parts[0], len(parts)))
        if route is None:
            return _render(404, {"error": f"{method} /{'/'.join(parts)} does not exist"})
        if self.faults.down and parts[0] != "faults":
            return _render(503, {"error": "the platform is unavailable"})
        try:
            return route(parts[1:], query, body)
        except (ValueError, KeyError, TypeError) as error:
            return _render(400, {"error": f"request can't be read: {error!r}"})

    def _routes(self) -> dict[tuple[str, str, int], Callable]:
        return {
            ("GET", "faults", 1): self._get_faults,
            ("POST", "faults", 1): self._set_faults,
            ("GET", "tables", 3): self._read_row,
            ("GET", "tables", 2): self._scan,
            ("POST", "transactions", 1): self._commit,
            ("PUT", "objects", 2): self._put_object,
            ("GET", "objects", 2): self._get_object,
            ("DELETE", "objects", 2): self._delete_object,
            ("GET", "hosts", 1): self._list_hosts,
            ("PUT", "hosts", 1): self._put_hosts,
            ("DELETE", "hosts", 3): self._remove_host,
            ("GET", "weights", 2): self._describe_weights,
            ("PUT", "weights", 2): self._set_weights,
            ("POST", "weights", 3): self._begin_load,
            ("DELETE", "weights", 4): self._end_load,
        }

    def _get_faults(self, parts: list[str], query: dict, body: bytes) -> Response:
        return _render(200, self.faults.list_switches())

    def _set_faults(self, parts: list[str], query: dict, body: bytes) -> Response:
        self.faults.set_switches(json.loads(body))
        return _render(200, self.faults.list_switches())

    def _read_row(self, parts: list[str], query: dict, body: bytes) -> Response:
        found = self.table.read(*parts)
        if found.is_ok() and found.unwrap() is None:
            return _render(404, {"error": "there is no such row"})
        return _render_result(found.map(_describe_row))

    def _scan(self, parts: list[str], query: dict, body: bytes) -> Response:
        limit = min(SCAN_LIMIT, int(query.get("limit", SCAN_LIMIT)))
        found = self.table.scan(parts[0], query.get("prefix", ""), query.get("after", ""), limit)
        return _render_result(found.map(lambda rows: {"rows": [_describe_row(r) for r in rows]}))

    def _commit(self, parts: list[str], query: dict, body: bytes) -> Response:
        transaction = json.loads(body)
        checks = [Check(**check) for check in transaction["checks"]]
        writes = [Write(**write) for write in transaction["writes"]]
        versions = self.table.commit(checks, writes)
        return _render_result(versions.map(lambda by_key: {"versions": _list_versions(by_key)}))

    def _put_object(self, parts: list[str], query: dict, body: bytes) -> Response:
        return _render_result(self.objects.put(parts[0], body).map(lambda _: {}))

    def _get_object(self, parts: list[str], query: dict, body: bytes) -> Response:
        found = self.objects.get(parts[0])
        if found.is_err():
            return _render_result(found)
        if found.unwrap() is None:
            return _render(404, {"error": "there is no such object"})
        return Response(200, found.unwrap(), BYTES_TYPE)

    def _delete_object(self, parts: list[str], query: dict, body: bytes) -> Response:
        return _render_result(self.objects.delete(parts[0]).map(lambda _: {}))

    def _list_hosts(self, parts: list[str], query: dict, body: bytes) -> Response:
        hosts = self.hosts.list_hosts()
        return _render_result(
            hosts.map(lambda found: {"hosts": [_describe_host(h) for h in found]})
        )

    def _put_hosts(self, parts: list[str], query: dict, body: bytes) -> Response:
        hosts = [read_host(value) for value in json.loads(body)["hosts"]]
        for host in hosts:
            self.hosts.put_host(host)
        return _render(200, {})

    def _remove_host(self, parts: list[str], query: dict, body: bytes) -> Response:
        self.hosts.remove_host(f"{parts[0]}/{parts[1]}")
        return _render(200, {})

    def _describe_weights(self, parts: list[str], query: dict, body: bytes) -> Response:
        return _render(200, self.weights.describe(parts[0]))

    def _set_weights(self, parts: list[str], query: dict, body: bytes) -> Response:
        self.weights.set_limits(parts[0], WeightLimits(**json.loads(body)))
        return _render(200, {})

    def _begin_load(self, parts: list[str], query: dict, body: bytes) -> Response:
        load = self.weights.begin_load(parts[0], json.loads(body)["kind"])
        if load.is_err():
            return _render(429, {"error": load.unwrap_err()})
        return _render(200, attrs.asdict(load.unwrap()))

    def _end_load(self, parts: list[str], query: dict, body: bytes) -> Response:
        self.weights.end_load(parts[0], parts[2])
        return _render(200, {})


def read_host(value: dict[str, str]) -> Host:
    """Decode a host in the format of ``GET /hosts``."""
    leaving = value.get("state", "live") == "leaving"
    return Host(value["host"], value["address"], value["service"], value["zone"], leaving)


def _describe_host(host: Host) -> dict[str, str]:
    described = attrs.asdict(host)
    described["state"] = "leaving" if described.pop("leaving") else "live"
    return described


def _describe_row(row: Row) -> dict[str, Any]:
    return {"key": row.key, "version": row.version, "value": row.value}


def _list_versions(version_by_key: dict[tuple[str, str], int]) -> list[dict[str, Any]]:
    return [
        {"table": table, "key": key, "version": version}
        for (table, key), version in version_by_key.items()
    ]


def _render(status: int, body: dict[str, Any]) -> Response:
    return Response(status, json.dumps(body).encode())


def _render_result(result: Result[dict[str, Any], StepError]) -> Response:
    match result:
        case Ok(body):
            return _render(200, body)
        case Err(StoreConflict() as conflict):
            return _render(409, {"conflicts": _list_versions(conflict.current_by_key)})
        case Err(error):
            return _render(503, {"error": error.reason})


def run_platform(settings: PlatformEmulatorSettings) -> int:
    """Run the emulator as a process until SIGTERM.

    :returns: exit code.
    """
    return run_until_terminated(Platform(settings))
