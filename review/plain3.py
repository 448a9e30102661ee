"""Stand-in of a replica of a plain service, which can crash and restart under its id."""

import asyncio
import time
from collections.abc import Callable

import standins3 as base


class Plain(base.Server):
    """Replica of an application with ``slots`` places.

    :ivar is_deadly: whether a request crashes the replica when it begins to run it.
    :ivar on_begin: called when the replica begins to run a request.
    """

    def __init__(
        self, port: int, endpoint: str, service: str, zone: str, store: base.Store
    ) -> None:
        super().__init__(port)
        self.endpoint, self.service, self.zone, self.store = endpoint, service, zone, store
        self.slots = 6
        self.work_s = 0.03
        self.running = 0
        self.beats = 0
        self.born = 0
        self.state = "ready"
        self._places = asyncio.Semaphore(self.slots)
        self.is_deadly: Callable[[base.Request], bool] = lambda request: False
        self.on_begin: Callable[[base.Request, Plain], None] = lambda request, plain: None
        self.on_crash: Callable[[base.Request, Plain], None] = lambda request, plain: None

    async def boot(self) -> None:
        """Start and register."""
        self.born = int(time.time() * 1000)
        self.running = 0
        self._places = asyncio.Semaphore(self.slots)
        await self.start()
        await self.beat()

    async def beat(self) -> None:
        """Write the entry, as every heartbeat does."""
        self.beats += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_ms": 0,
            "sequence": self.beats,
            "born": self.born,
        }
        await self.store.put("servers", self.endpoint, entry)

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

    async def handle(
        self,
        request: base.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a health check or a request."""
        attempt = request.headers.get("attempt-id", "")
        headers = {"Instance-Id": self.endpoint}
        if request.target == "/health":
            writer.write(base.make_answer(200, headers, b""))
            return True
        headers["Attempt-Id"] = attempt
        if request.headers.get("expect-instance", self.endpoint) != self.endpoint:
            writer.write(base.make_answer(421, headers, b""))
            return True
        async with self._places:
            self.on_begin(request, self)
            if self.is_deadly(request):
                self.on_crash(request, self)
                self.crash()
                return False
            self.running += 1
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        headers |= {
            "Response-Seal": f"seal.{self.endpoint}.{attempt}",
            "Server-Load": f"{self.running},0,{self.slots}",
        }
        writer.write(base.make_answer(200, headers, f"done {attempt}".encode()))
        await writer.drain()
        return True
