"""Emulator of a plain service that counts executions by idempotency key."""

import asyncio
import hashlib
import os
import threading
import uuid
from collections import Counter

import attrs

from catkinhook.emulators.faultinjection import Faults
from catkinhook.emulators.httpserver import Connection, HttpServer, Request
from catkinhook.emulators.processes import run_until_terminated

CRASH_EXIT_CODE = 70


@attrs.frozen(kw_only=True)
class PlainServiceSettings:
    """One emulated plain service.

    :ivar address: ``IP:port``; port 0 selects a free port.
    :ivar work_time: seconds that a request takes.
    :ivar exit_on_crash: end the process on a crash instead of dropping all connections.
    """

    address: str = "127.0.0.1:0"
    work_time: float = 0.005
    exit_on_crash: bool = False


class PlainService:
    """Emulated plain service, which does not deduplicate requests by key."""

    def __init__(self, settings: PlainServiceSettings) -> None:
        self.faults = Faults()
        self._settings = settings
        self._boot_id = uuid.uuid4().hex
        self._running = 0
        self._late_requests = 0
        self._lock = threading.Lock()
        self._runs_by_key: Counter[str] = Counter()
        self._server = HttpServer(settings.address, self._handle, self.faults)

    @property
    def address(self) -> str:
        """Return ``IP:port``, known after ``start``."""
        return self._server.address

    def start(self) -> None:
        """Listen for requests."""
        self._server.start()

    def close(self) -> None:
        """Drop all connections and stop listening."""
        self._server.close()

    def count_runs(self) -> dict[str, int]:
        """Return the executions by idempotency key; requests without a key count under ``""``."""
        with self._lock:
            return dict(self._runs_by_key)

    async def _handle(self, request: Request, connection: Connection) -> None:
        if request.method == "GET" and request.path == "/report":
            leaving = self.faults.leaving
            report = {"boot_id": self._boot_id, "running": self._running, "leaving": leaving}
            await connection.send(200, report)
        elif request.method == "GET" and request.path == "/runs":
            late = self._late_requests
            await connection.send(200, {"runs": self.count_runs(), "late_requests": late})
        else:
            await self._run(request, connection)

    async def _run(self, request: Request, connection: Connection) -> None:
        headers = {
            "X-Request-Id": request.headers.get("x-request-id", ""),
            "X-Boot-Id": self._boot_id,
        }
        if self.faults.refuse and self.faults.consume("refuse"):
            headers["X-Not-Run"] = "1"
            await connection.send(503, {"error": "the request did not run"}, headers)
            return
        self._late_requests += self.faults.leaving
        if self.faults.crash_on and self.faults.crash_on.encode() in request.body:
            self._crash()
            raise ConnectionResetError("fault: crash")
        key = request.headers.get("idempotency-key", "")
        self._running += 1
        try:
            with self._lock:
                self._runs_by_key[key] += 1
            await asyncio.sleep(self._settings.work_time)
        finally:
            self._running -= 1
        await connection.send(
            200, build_answer(request.method, request.path, request.body), headers
        )

    def _crash(self) -> None:
        if self._settings.exit_on_crash:
            os._exit(CRASH_EXIT_CODE)
        self._boot_id = uuid.uuid4().hex
        self._server.drop_connections()


def build_answer(method: str, path: str, body: bytes) -> dict[str, str]:
    """Return the response body, which is derived from the request alone."""
    return {"method": method, "path": path, "body_sha256": hashlib.sha256(body).hexdigest()}


def run_plain_service(address: str = "127.0.0.1:0", work_time: float = 0.005) -> int:
    """Run the emulator as a process until SIGTERM.

    :param work_time: seconds that a request takes.
    :returns: exit code.
    """
    settings = PlainServiceSettings(address=address, work_time=work_time, exit_on_crash=True)
    return run_until_terminated(PlainService(settings))
