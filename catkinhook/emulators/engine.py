"""Emulator of a model engine with the engine protocol of the design document."""

import asyncio
import json
import os
import time
import uuid
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import quote

import attrs
import urllib3

from catkinhook.emulators.batching import Attempt, Batch, BatchSettings, render_completion
from catkinhook.emulators.faultinjection import Faults
from catkinhook.emulators.generation import read_prompt
from catkinhook.emulators.httpserver import Connection, HttpServer, Request
from catkinhook.emulators.plainservice import CRASH_EXIT_CODE
from catkinhook.emulators.processes import run_until_terminated
from catkinhook.emulators.residency import LoadTimes, Residency, read_order

GIB = 1 << 30
IS_CHAT_BY_PATH = {"/v1/chat/completions": True, "/v1/completions": False}
MAX_REPORTED_PREFIXES = 256
DEFAULT_PRIORITY = 5
# Events that a stream with the fault ``break_streams`` sends before its connection drops.
EVENTS_BEFORE_BREAK = 2
WEIGHT_TIMEOUT_S = 5.0
MIN_REPORT_INTERVAL_S = 0.01


@attrs.frozen(kw_only=True)
class EngineSettings:
    """One emulated engine.

    :ivar address: ``IP:port``; port 0 selects a free port.
    :ivar memory: accelerator memory in bytes.
    :ivar resident: memory in bytes by model or ``model/adapter`` loaded at the start.
    :ivar lag: seconds by which reports lag behind.
    :ivar weight_store: URL of a weight store, as ``http://IP:port/weights/NAME``; empty for none.
    :ivar order_token: bearer token that orders must carry; empty for none.
    :ivar exit_on_crash: end the process on a crash instead of dropping all connections.
    """

    address: str = "127.0.0.1:0"
    memory: int = 80 * GIB
    resident: dict[str, int] = attrs.Factory(dict)
    checks_fencing: bool = False
    lag: float = 0.2
    batch: BatchSettings = attrs.Factory(BatchSettings)
    times: LoadTimes = attrs.Factory(LoadTimes)
    weight_store: str = ""
    order_token: str = ""
    exit_on_crash: bool = False


class Engine:
    """Emulator of a model engine."""

    def __init__(self, settings: EngineSettings) -> None:
        self.faults = Faults()
        self._settings = settings
        self._boot_id = uuid.uuid4().hex
        self._batch = Batch(settings.batch, self.faults)
        self._weights = urllib3.PoolManager(retries=False, timeout=WEIGHT_TIMEOUT_S, maxsize=32)
        self._residency = Residency(
            settings.memory,
            settings.times,
            settings.checks_fencing,
            self._acquire_load_permit if settings.weight_store else None,
        )
        self._residency.preload(settings.resident)
        self._late_requests = 0
        self._crashes = 0
        self._snapshot: tuple[float, dict[str, Any]] = (0.0, {})
        self._server = HttpServer(settings.address, self._handle, self.faults, self._run_background)

    @property
    def address(self) -> str:
        """Return ``IP:port``, known after ``start``."""
        return self._server.address

    def start(self) -> None:
        """Listen for requests and start the batch loop."""
        self._server.start()

    def close(self) -> None:
        """Drop all connections and stop listening."""
        self._server.close()
        self._weights.clear()

    async def _run_background(self) -> None:
        try:
            await asyncio.gather(self._batch.run(), self._refresh_snapshot())
        finally:
            self._residency.clear()

    async def _refresh_snapshot(self) -> None:
        while True:
            if not self.faults.paused:
                self._snapshot = (time.monotonic(), self._describe())
            await asyncio.sleep(max(MIN_REPORT_INTERVAL_S, self._settings.lag))

    async def _handle(self, request: Request, connection: Connection) -> None:
        if request.method == "POST" and request.path in IS_CHAT_BY_PATH:
            await self._complete(request, connection)
        elif request.path.startswith("/v1/streams/"):
            await self._handle_stream(request, connection)
        elif (request.method, request.path) == ("POST", "/v1/orders"):
            await self._accept_orders(request, connection)
        elif (request.method, request.path) == ("GET", "/v1/report"):
            await self._send_report(connection)
        else:
            await connection.send(404, {"error": f"{request.method} {request.path} does not exist"})

    async def _complete(self, request: Request, connection: Connection) -> None:
        body = json.loads(request.body)
        prompt = read_prompt(body)
        attempt_id = request.headers.get("x-request-id") or uuid.uuid4().hex
        headers = self._build_headers(attempt_id)
        if not self._residency.is_resident(prompt.model):
            error = {"error": f"{prompt.model!r} is not resident"}
            await connection.send(404, error, headers | {"X-Not-Run": "1"})
            return
        if self._batch.is_full or self.faults.consume("refuse"):
            error = {"error": "the engine did not run the request"}
            await connection.send(503, error, headers | {"X-Not-Run": "1"})
            return
        self._late_requests += self.faults.leaving
        if self.faults.crash_on and self.faults.crash_on.encode() in request.body:
            self._crash()
            raise ConnectionResetError("fault: crash")
        priority = int(request.headers.get("x-priority") or DEFAULT_PRIORITY)
        chat = IS_CHAT_BY_PATH[request.path]
        attempt = self._batch.add(attempt_id, prompt, chat, priority)
        if body.get("stream"):
            await self._stream(attempt, 0, connection)
            return
        while not attempt.finished:
            await attempt.wait_for_event(len(attempt.events))
        if attempt.cancelled:
            raise ConnectionResetError("the attempt was cancelled")
        await connection.send(200, render_completion(attempt), self._build_headers(attempt_id))

    async def _stream(self, attempt: Attempt, sent: int, connection: Connection) -> None:
        must_break = self.faults.consume("break_streams")
        await connection.start_events(self._build_headers(attempt.attempt_id))
        while True:
            await attempt.wait_for_event(sent)
            if must_break and sent >= EVENTS_BEFORE_BREAK:
                connection.abort()
                raise ConnectionResetError("fault: stream broken")
            if sent < len(attempt.events):
                end = sent + 1 if must_break else len(attempt.events)
                await connection.send_events(b"".join(attempt.events[sent:end]))
                sent = end
            elif attempt.cancelled:
                raise ConnectionResetError("the attempt was cancelled")
            else:
                break
        await connection.end_events()

    async def _handle_stream(self, request: Request, connection: Connection) -> None:
        attempt_id = request.path.removeprefix("/v1/streams/")
        if request.method == "DELETE":
            known = self._batch.cancel(attempt_id)
            await connection.send(200 if known else 404, {"cancelled": known})
            return
        attempt = self._batch.find(attempt_id)
        owner, _, sequence = request.headers.get("last-event-id", "").rpartition(":")
        if attempt is None or request.method != "GET":
            await connection.send(404, {"error": f"attempt {attempt_id!r} is unknown"})
        elif owner != attempt_id or not sequence.isdigit() or int(sequence) > len(attempt.events):
            await connection.send(400, {"error": "Last-Event-ID names no event of the attempt"})
        else:
            await self._stream(attempt, int(sequence), connection)

    async def _accept_orders(self, request: Request, connection: Connection) -> None:
        token = self._settings.order_token
        if token and request.headers.get("authorization") != f"Bearer {token}":
            await connection.send(401, {"error": "orders need the engine's bearer token"})
            return
        if self.faults.consume("lose_orders"):
            connection.abort()
            raise ConnectionResetError("fault: orders lost")
        orders = [read_order(value) for value in json.loads(request.body)["orders"]]
        if self.faults.delay_orders_ms:
            await asyncio.sleep(self.faults.delay_orders_ms / 1000)
        reasons = {order.order_id: self._residency.accept(order) for order in orders}
        rejected = [
            {"order_id": key, "reason": reason} for key, reason in reasons.items() if reason
        ]
        accepted = [key for key, reason in reasons.items() if not reason]
        answer = {"boot_id": self._boot_id, "accepted": accepted, "rejected": rejected}
        await connection.send(202, answer, {"X-Boot-Id": self._boot_id})

    async def _send_report(self, connection: Connection) -> None:
        taken_at, report = self._snapshot
        age = time.monotonic() - taken_at
        await connection.send(
            200, report | {"lag_ms": int(age * 1000)}, {"X-Boot-Id": self._boot_id}
        )

    def _describe(self) -> dict[str, Any]:
        residency, batch = self._residency, self._batch
        return {
            "boot_id": self._boot_id,
            "memory": residency.memory,
            "used": residency.used,
            "overcommits": residency.overcommits,
            "role": residency.role,
            "leaving": self.faults.leaving,
            "running": batch.running,
            "waiting": batch.waiting,
            "tokens_per_second": 1.0 / batch.step_time,
            "models": residency.list_models(),
            "adapters": residency.list_adapters(),
            "orders": dict(residency.status_by_order),
            "fencing": residency.fencing,
            "prefixes": batch.list_prefixes(MAX_REPORTED_PREFIXES),
            "tokens_made": batch.tokens_made,
            "cached_blocks": batch.cached_blocks,
            "late_requests": self._late_requests,
            "crashes": self._crashes,
        }

    def _build_headers(self, attempt_id: str) -> dict[str, str]:
        return {
            "X-Request-Id": attempt_id,
            "X-Boot-Id": self._boot_id,
            "X-Engine-Running": str(self._batch.running),
            "X-Engine-Waiting": str(self._batch.waiting),
        }

    def _crash(self) -> None:
        if self._settings.exit_on_crash:
            os._exit(CRASH_EXIT_CODE)
        self._crashes += 1
        self._boot_id = uuid.uuid4().hex
        self._server.drop_connections()
        self._batch.clear()
        self._residency.clear()
        self._snapshot = (time.monotonic(), self._describe())

    async def _acquire_load_permit(self, kind: str) -> tuple[float, Callable[[], Awaitable[None]]]:
        load = await asyncio.to_thread(self._call_weight_store, "POST", "/loads", {"kind": kind})

        async def end() -> None:
            path = f"/loads/{quote(load['load_id'], safe='')}"
            await asyncio.to_thread(self._call_weight_store, "DELETE", path)

        return load["factor"], end

    def _call_weight_store(
        self, method: str, path: str, body: dict | None = None
    ) -> dict[str, Any]:
        url = self._settings.weight_store.rstrip("/") + path
        try:
            response = self._weights.request(method, url, json=body)
        except urllib3.exceptions.HTTPError as error:
            raise PermissionError(f"weight store: no answer: {error}") from error
        answer = json.loads(response.data)
        if response.status != 200:
            raise PermissionError(f"weight store: {answer.get('error', response.status)}")
        return answer


def run_engine(settings: EngineSettings) -> int:
    """Run the emulator as a process until SIGTERM.

    :returns: exit code.
    """
    return run_until_terminated(Engine(attrs.evolve(settings, exit_on_crash=True)))
