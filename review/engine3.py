"""Stand-in of a model replica: orders, reports and streams of events; it can crash and restart."""

import asyncio
import json
import time
from collections.abc import Callable

import standins3 as base


class Engine(base.Server):
    """Model replica with one or more resident models.

    :ivar born: start of the replica in Unix milliseconds; None while it is down.
    :ivar on_disk: models whose weights are on its disk, which a restart keeps.
    :ivar is_deadly: whether a request crashes the replica when it begins to write the answer.
    :ivar sends_head: whether the head of the answer is sent before such a crash.
    :ivar on_arrival: called when a request reaches the replica.
    :ivar on_begin: called when the replica begins to write the answer to a sound request.
    """

    def __init__(
        self,
        port: int,
        endpoint: str,
        service: str,
        zone: str,
        store: base.Store,
        models: tuple[str, ...],
        record: base.Record,
    ) -> None:
        super().__init__(port)
        self.endpoint, self.service, self.zone = endpoint, service, zone
        self.store, self.record = store, record
        self.models: set[str] = set(models)
        self.on_disk: set[str] = set(models)
        self.in_memory: set[str] = set()
        self.born = 0
        self.sequence = 0
        self.fence = 0
        self.busy = False
        self.state = "ready"
        self.beats = 0
        self.prefill_s = 0.06
        self.event_s = 0.03
        self.running: set[str] = set()
        self.is_deadly: Callable[[base.Request], bool] = lambda request: False
        self.sends_head = True
        self.on_arrival: Callable[[base.Request, Engine], None] = lambda request, engine: None
        self.on_begin: Callable[[base.Request, Engine], None] = lambda request, engine: None
        self.on_crash: Callable[[base.Request, Engine], None] = lambda request, engine: None
        self.orders: list[dict] = []
        self._loads: set[asyncio.Task] = set()

    def entry(self) -> dict:
        """Return the entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": self.state,
            "cold_ms": 0,
            "sequence": self.beats,
            "born": self.born,
            "stage": "colocated",
            "models": self._models(),
            "placement": {"in_memory": sorted(self.in_memory), "on_disk": sorted(self.on_disk)},
        }

    def _models(self) -> list[dict]:
        return [{"name": name, "version": 1, "adapters": []} for name in sorted(self.models)]

    async def boot(self) -> None:
        """Start, with what ``models`` holds, and register."""
        self.born = int(time.time() * 1000)
        self.sequence = self.fence = 0
        self.busy = False
        self.running.clear()
        await self.start()
        await self.beat()

    async def beat(self) -> None:
        """Write the entry, as every heartbeat does."""
        self.beats += 1
        await self.store.put("servers", self.endpoint, self.entry())

    async def run_heartbeats(self) -> None:
        """Write the entry every 1.2 s while up; remove it after three intervals of silence."""
        silent = 0
        while True:
            await asyncio.sleep(1.2)
            if self.is_up():
                silent = 0
                await self.beat()
            elif silent < 3:
                silent += 1
                if silent == 3:
                    await self.store.drop("servers", self.endpoint)

    def die(self) -> None:
        """Crash: connections are reset, and what was loaded is lost."""
        for task in self._loads:
            task.cancel()
        self._loads.clear()
        self.crash()
        self.models.clear()
        self.in_memory.clear()

    async def handle(
        self,
        request: base.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a report, an order or a request."""
        expected = request.headers.get("expect-instance", self.endpoint)
        path = request.target.partition("?")[0]
        if path == "/report":
            body = {
                "stage": "colocated",
                "models": self._models(),
                "busy": self.busy,
                "sequence": self.sequence,
                "queued": 0,
                "active": len(self.running),
                "kv_used": 100 * len(self.running),
                "kv_total": 134749,
                "handles": 0,
                "born": self.born,
                "placement": {"in_memory": sorted(self.in_memory), "on_disk": sorted(self.on_disk)},
            }
            return await self._send(writer, 200, {}, body)
        if path == "/health":
            return await self._send(writer, 200, {}, {})
        attempt = request.headers.get("attempt-id", "")
        echo = {"Attempt-Id": attempt} if attempt else {}
        if expected != self.endpoint:
            return await self._send(writer, 421, echo, {})
        if path == "/order":
            status = self._order(json.loads(request.body))
            return await self._send(writer, status, {}, {})
        if request.headers.get("model") not in self.models:
            return await self._send(writer, 421, echo | {"Not-Executed": "1"}, {})
        return await self._run(request, attempt, writer)

    async def _send(
        self, writer: asyncio.StreamWriter, status: int, headers: dict, body: dict
    ) -> bool:
        headers = {"Content-Type": "application/json", "Instance-Id": self.endpoint, **headers}
        writer.write(base.make_answer(status, headers, json.dumps(body).encode()))
        await writer.drain()
        return True

    def _order(self, order: dict) -> int:
        self.orders.append(order)
        self.record.add(f"{self.endpoint} order {json.dumps(order)} at sequence {self.sequence}")
        if "holder" not in order or "fence" not in order:
            return 400
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        model, is_load = order["model"], order["operation"] == "load"
        if is_load == (model in self.models):
            return 200
        if self.busy or order.get("expected", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        self.busy = True
        task = asyncio.ensure_future(self._carry_out(model, is_load))
        self._loads.add(task)
        task.add_done_callback(self._loads.discard)
        return 202

    async def _carry_out(self, model: str, is_load: bool) -> None:
        if is_load:
            wait_s = 0.76 if model in self.in_memory else 1.6 if model in self.on_disk else 7.8
            await asyncio.sleep(wait_s)
            self.models.add(model)
            self.in_memory.add(model)
            self.on_disk.add(model)
        else:
            await asyncio.sleep(0.05)
            self.models.discard(model)
        self.busy = False
        await self.beat()

    async def _run(self, request: base.Request, attempt: str, writer: asyncio.StreamWriter) -> bool:
        self.on_arrival(request, self)
        self.running.add(attempt)
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal.{self.endpoint}\r\n"
            "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n"
            f"Server-Load: {len(self.running)},0,64\r\nTransfer-Encoding: chunked\r\n\r\n"
        ).encode()
        try:
            await asyncio.sleep(self.prefill_s)
            if self.is_deadly(request):
                self.on_crash(request, self)
                if self.sends_head:
                    writer.write(head)
                    await writer.drain()
                    await asyncio.sleep(0.005)
                self.die()
                return False
            self.on_begin(request, self)
            writer.write(head)
            first = int(request.headers.get("last-event-id", "0")) + 1
            count = int(request.headers.get("token-usage", "10,40").split(",")[1])
            for number in range(first, count + 1):
                event = f"id: {number}\ndata: token{number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.event_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running.discard(attempt)
        return True
