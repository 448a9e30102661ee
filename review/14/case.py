"""Readers of the store are killed after an outage of the store has passed; 13 hosts."""

import asyncio
import json
import os
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = str(Path(__file__).resolve().parent)
sys.path.insert(0, str(Path(FOLDER).parent))

import standins3 as base  # noqa: E402
from plain3 import Plain  # noqa: E402

HOSTS, ZONES, REPLICAS, ROUNDS = 13, 3, 5, 4
REQUESTS_PER_S = 100.0
DRAIN_S, CONTACT_S = 2.0, 3.0
# Length of the outage, and the calm time after it, which is longer than ``CONTACT_S``.
AWAY_S, CALM_S = 4.0, 8.0
# The replica's entry is removed this much later than the readers are killed.
AFTER_KILL_S = 0.1
RESTART_S = 1.5
# The replica that has left serves a little longer than ``DRAIN_S``, and then exits.
SERVES_S = 2.4
# Time after its exit for the requests that it cut, and for the hosts that start again.
SETTLE_S = 4.0
# For trials with one half of the disruption.
DOES_OUTAGE = base.TROUBLE and os.environ.get("OUTAGE", "1") != "0"
DOES_KILL = base.TROUBLE and os.environ.get("KILL", "1") != "0"


class OutageStore(base.Store):
    """Store that can be down; it loses nothing."""

    def __init__(self, port: int) -> None:
        super().__init__(port)
        self.is_away = False

    def go_away(self) -> None:
        """End all connections; later calls get no answer."""
        self.is_away = True
        self.abort_all()

    async def handle(self, request, reader, writer) -> bool:
        """Answer a call, unless the store is down."""
        return not self.is_away and await super().handle(request, reader, writer)


class Replica(Plain):
    """Replica whose heartbeats don't reach a store that is down."""

    async def beat(self) -> None:
        """Write the entry."""
        if not self.store.is_away:
            await super().beat()


def find_readers(deployment: base.Deployment) -> list[base.Host]:
    """Return the hosts that read the store, by the latest list that any host has logged."""
    newest, addresses = -1.0, []
    for text in deployment.read_logs().values():
        for line in text.splitlines():
            if '"kind": "readers"' not in line:
                continue
            entry = json.loads(line)
            if entry["at"] > newest:
                newest, addresses = entry["at"], entry["readers"]
    return [host for host in deployment.hosts if host.control in addresses]


async def case(record: base.Record) -> int:
    """Run the deployment, and count requests that reach replicas that have left."""
    deployment = base.Deployment(HOSTS, ZONES, OutageStore)
    store = deployment.store
    tasks: set[asyncio.Task] = set()
    sent: dict[str, tuple[float, str]] = {}
    arrivals: list[tuple[float, str, str]] = []
    ends: dict[str, int] = {}
    killed: set[str] = set()

    def spawn(coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return task

    def on_begin(request: base.Request, replica: Plain) -> None:
        arrivals.append((time.monotonic(), replica.endpoint, request.headers["attempt-id"]))

    async def ask(route: str) -> None:
        host = random.choice(deployment.hosts)
        if host.node in killed:
            return
        attempt = base.make_id()
        sent[attempt] = (time.monotonic(), host.node)
        headers = {"Attempt-Id": attempt, "Deadline-Ms": "4000"}
        answer = await base.send(host.front, "POST", f"/{route}/x", headers, b"{}", timeout_s=4.5)
        end = f"{route} {answer.status}"
        if host.node in killed:
            end += " (killed)"
        elif answer.status != 200:
            record.add(f"{attempt} at {host.node}: {end} {answer.body[-160:]!r}")
        ends[end] = ends.get(end, 0) + 1

    async def send_all() -> None:
        while True:
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
            spawn(ask(random.choice(("look", "post"))))

    async def add_replica(number: int) -> tuple[Plain, asyncio.Task]:
        (port,) = base.find_ports(1)
        replica = Replica(port, f"i-d{number}", "desk", f"z{number % ZONES + 1}", store)
        replica.slots, replica.work_s, replica.on_begin = 24, 0.1, on_begin
        await replica.boot()
        return replica, spawn(replica.run_heartbeats())

    late = cut = 0
    try:
        await store.start()
        bounds = {"timeout_ms": 4000, "target_latency_ms": 400}
        routes = [
            base.make_route("look", "idempotent", "desk", max_attempts=2, **bounds),
            base.make_route("post", "non_idempotent", "desk", **bounds),
        ]
        service = {"name": "desk", "health_path": "/health", "max_conns": 500}
        config = {"version": 3, "limits": base.LIMITS, "routes": routes, "services": [service]}
        await store.put("op", "config", config)
        replicas = [await add_replica(number) for number in range(REPLICAS)]
        await deployment.start(60.0)
        # The hosts choose a holder, which chooses the readers of the store.
        await asyncio.sleep(8.0)
        sender = spawn(send_all())
        await asyncio.sleep(1.0)
        for number in range(ROUNDS):
            if DOES_OUTAGE:
                store.go_away()
                record.add("the store is down")
            await asyncio.sleep(AWAY_S)
            if DOES_OUTAGE:
                store.is_away = False
                record.add("the store is up again, as it was")
            await asyncio.sleep(CALM_S)
            readers = find_readers(deployment)
            if DOES_KILL:
                killed |= {host.node for host in readers}
                for host in readers:
                    host.send(signal.SIGKILL)
                record.add(f"killed: {sorted(killed)}")
            await asyncio.sleep(AFTER_KILL_S)
            victim, heartbeats = replicas.pop(0)
            heartbeats.cancel()
            await store.drop("servers", victim.endpoint)
            left_at = time.monotonic()
            record.add(f"{victim.endpoint} has left: its entry is removed")
            await asyncio.sleep(RESTART_S)
            for host in readers if DOES_KILL else ():
                host.process.wait()
                host.start()
            await asyncio.sleep(SERVES_S - RESTART_S)
            record.add(f"{victim.endpoint} exits with {victim.running} requests in progress")
            cut += victim.running
            victim.crash()
            await asyncio.sleep(0.5)
            for at, endpoint, attempt in arrivals:
                sent_at, node = sent[attempt]
                if endpoint != victim.endpoint or sent_at <= left_at + DRAIN_S or node in killed:
                    continue
                late += 1
                after = f"{at - left_at:.2f} s after its entry was removed"
                record.add(f"{attempt} from {node} reached {endpoint} {after}")
            replicas.append(await add_replica(REPLICAS + number))
            await asyncio.sleep(SETTLE_S)
            killed.clear()
        sender.cancel()
        await asyncio.sleep(1.0)
        record.add(f"ends of requests: {ends}")
        record.add(f"{cut} requests were cut by the exit of the replicas")
        record.add(f"{late} requests reached replicas later than drain_ms after their leaving")
    finally:
        deployment.close()
    return base.BROKEN if late else base.HELD


if __name__ == "__main__":
    os.chdir(base.ROOT)
    base.run_case(FOLDER, case)
