"""Stand-in of a replica as a process of its own, whose answers end with their connections.

Usage: python3 unframed3.py PORT ID. It answers ``GET /health``, ``GET /report`` and requests for
the model m1, with as many events as ``Token-Usage`` allows, or with one body of as many lines.
Answers have neither a length nor chunks. Orders are refused as if another one were in progress.
"""

import asyncio
import json
import sys
import time

import standins3 as base

EVENT_S = 0.03


class Unframed(base.Server):
    """Replica that holds the model m1."""

    def __init__(self, port: int, endpoint: str) -> None:
        super().__init__(port)
        self.endpoint = endpoint
        self.born = int(time.time() * 1000)
        self.running = 0

    async def handle(
        self,
        request: base.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request."""
        headers = {"Instance-Id": self.endpoint}
        if request.target == "/health":
            writer.write(base.make_answer(200, headers, b""))
            return True
        if request.headers.get("expect-instance", self.endpoint) != self.endpoint:
            writer.write(base.make_answer(421, headers, b""))
            return True
        if request.target == "/report":
            report = {
                "stage": "colocated",
                "models": [{"name": "m1", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": 0,
                "queued": 0,
                "active": self.running,
                "kv_used": 0,
                "kv_total": 134749,
                "handles": 0,
                "born": self.born,
            }
            headers["Content-Type"] = "application/json"
            writer.write(base.make_answer(200, headers, json.dumps(report).encode()))
            return True
        if request.target == "/order":
            writer.write(base.make_answer(409, headers, b""))
            return True
        await self._run(request, writer)
        return False

    async def _run(self, request: base.Request, writer: asyncio.StreamWriter) -> None:
        attempt = request.headers["attempt-id"]
        is_stream = "model" in request.headers
        kind = "text/event-stream" if is_stream else "text/plain"
        self.running += 1
        try:
            writer.write(
                f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
                f"Response-Seal: seal.{self.endpoint}.{attempt}\r\nContent-Type: {kind}\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            first = int(request.headers.get("last-event-id", "0")) + 1
            count = int(request.headers.get("token-usage", "10,40").split(",")[1])
            for number in range(first, count + 1):
                event = f"id: {number}\ndata: token{number}\n\n"
                writer.write((event if is_stream else f"line {number}\n").encode())
                await writer.drain()
                await asyncio.sleep(EVENT_S)
        finally:
            self.running -= 1


async def _main(port: int, endpoint: str) -> None:
    await Unframed(port, endpoint).start()
    print(json.dumps({"ready": endpoint}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main(int(sys.argv[1]), sys.argv[2]))
