"""Replicas reset requests for a few seconds; those with one path are refused from then on."""

import random
import socket
import struct
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    Arrival,
    Deployment,
    Replica,
    make_configuration,
    run_case,
)

MACHINES = 4
REPLICAS = 3
# Share of the requests whose connections the replicas reset, for how long: ``srv_grey`` with
# ``reset all``, at the figures of the day trouble-1 (share 1.0, x 0.45, for 4 s).
RESET_SHARE = 0.45
GREY_S = 4.0
GREY_AT_S = (4.0, 12.0, 20.0, 28.0)
# From here on, nothing has been disturbed for far longer than contact_ms.
STEADY_FROM_S = 44.0
TRAFFIC_S = 72.0
# Each second, two or three requests on the first routes and ten on the route that was added.
PAUSE_S = 0.1
FIRST_EVERY = 4
DEADLINE_MS = 2500
ADDED_PREFIX = "/voti118/"
MIN_REQUESTS = 20


class GreyReplica(Replica):
    """Replica that resets the connections of some requests while its health check is good."""

    rng: random.Random | None = None

    def _answer(self, sock: socket.socket, arrival: Arrival) -> bool:
        is_request = bool(arrival.request_id)
        if self.rng is None or not is_request or self.rng.random() >= RESET_SHARE:
            return super()._answer(sock, arrival)
        self._record.write("resets", id=arrival.request_id, replica=self.instance)
        # Closing then resets the connection.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return False


def run(has_trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    deployment = Deployment(FOLDER, MACHINES)
    record, store = deployment.record, deployment.store
    replicas = [
        GreyReplica(f"d{n}", "wuno96b", f"tn-north-{'abc'[n % 3]}", store, record, 6)
        for n in range(REPLICAS)
    ]
    # Time of each request from the start of traffic, whether its route was added, and its status.
    asked: list[tuple[float, bool, int]] = []
    lock = threading.Lock()

    def ask(number: int, at: float, is_added: bool) -> None:
        machine = deployment.machines[number % MACHINES]
        # All callers read the same list on the new route.
        path = f"{ADDED_PREFIX}open-calls" if is_added else f"/cufi504/{number:x}"
        _, status, _ = deployment.send(
            machine, "GET", path, {}, b"", DEADLINE_MS, "added" if is_added else "first"
        )
        with lock:
            asked.append((at, is_added, status))

    try:
        configuration = make_configuration({})
        store.put("op", "config", configuration)
        for replica in replicas:
            replica.start()
        deployment.start()
        time.sleep(3.0)
        look = next(route for route in configuration["routes"] if route["name"] == "r-look")
        added = {**look, "name": "r-open", "path_prefix": ADDED_PREFIX}
        store.put(
            "op",
            "config",
            {**configuration, "version": 11, "routes": [*configuration["routes"], added]},
        )
        time.sleep(3.0)
        with ThreadPoolExecutor(64) as executor:
            begun, number, is_grey = time.monotonic(), 0, False
            while (at := time.monotonic() - begun) < TRAFFIC_S:
                now_grey = any(start <= at < start + GREY_S for start in GREY_AT_S)
                if has_trouble and now_grey is not is_grey:
                    is_grey = now_grey
                    record.write("replicas-are-grey", replicas=REPLICAS * is_grey)
                    for index, replica in enumerate(replicas):
                        replica.rng = random.Random(number + index) if is_grey else None
                if number % FIRST_EVERY == 0:
                    executor.submit(ask, number // FIRST_EVERY, at, False)
                executor.submit(ask, number, at, True)
                number += 1
                time.sleep(PAUSE_S)
        return judge(deployment, asked)
    finally:
        deployment.close()


def judge(deployment: Deployment, asked: list[tuple[float, bool, int]]) -> bool:
    """Return whether the added route is served less than a quarter as often as the first ones."""
    steady = [(is_added, status) for at, is_added, status in asked if at >= STEADY_FROM_S]
    served = {
        kind: [status == 200 for is_added, status in steady if is_added is kind]
        for kind in (False, True)
    }
    shares = {kind: sum(found) / max(1, len(found)) for kind, found in served.items()}
    is_broken = len(served[True]) >= MIN_REQUESTS and shares[True] < shares[False] / 4
    deployment.record.write(
        "broken" if is_broken else "held",
        rule="CONFIG",
        first=len(served[False]),
        first_served=f"{shares[False]:.3f}",
        added=len(served[True]),
        added_served=f"{shares[True]:.3f}",
    )
    return is_broken


if __name__ == "__main__":
    sys.exit(run_case(run))
