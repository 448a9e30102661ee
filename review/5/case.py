"""Replicas in trouble whose answers go on without end, byte by byte."""

import http.client
import random
import socket
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    HOST_NAME,
    Arrival,
    Deployment,
    Replica,
    make_configuration,
    run_case,
)

MACHINES = 3
REPLICAS = 3
# Replicas whose answers are spoiled, share of their answers, and for how long: a third, and the
# figures of ``garble`` on the site's days (x 0.05, for 5 s).
SPOILED_REPLICAS = 1
SPOILED_SHARE = 0.05
SPOILED_S = 5.0
SPOILED_AT_S = (2.0, 12.0, 22.0, 32.0, 42.0, 52.0)
TRAFFIC_S = 60.0
PAUSE_S = 0.02
BYTE_PAUSE_S = 0.01
TIMEOUT_S = 1.2
DEADLINE_MS = 2500
BOUND_S = 0.5


class DrippingReplica(Replica):
    """Replica that spoils some answers: after the head, bytes come until the caller closes.

    :ivar is_spoiled: tells whether the answer to a request is spoiled.
    """

    rng: random.Random | None = None

    def _answer(self, sock: socket.socket, arrival: Arrival) -> bool:
        is_plain = arrival.path.startswith(("/puxa403/", "/cufi504/"))
        if self.rng is None or not is_plain or self.rng.random() >= SPOILED_SHARE:
            return super()._answer(sock, arrival)
        self.arrivals.append(arrival)
        self.runs.append((arrival.at, arrival.request_id, self.instance))
        self._record.write("spoils", id=arrival.request_id, replica=self.instance)
        lines = (
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {arrival.request_id}",
            f"Response-Seal: seal.{self.instance}.{arrival.request_id}",
        )
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        try:
            while True:
                sock.sendall(b"z")
                time.sleep(BYTE_PAUSE_S)
        except OSError:
            self._record.write("caller-closed", id=arrival.request_id, replica=self.instance)
        return False


def run(has_trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    deployment = Deployment(FOLDER, MACHINES)
    record, store = deployment.record, deployment.store
    replicas = [
        DrippingReplica(f"d{n}", "wuno96b", f"tn-north-{'abc'[n % 3]}", store, record, 6)
        for n in range(REPLICAS)
    ]
    # Seconds from the last byte of each request to the end of its answer, infinite for none.
    took_by_id: dict[str, float] = {}
    lock = threading.Lock()

    def ask(number: int) -> None:
        machine = deployment.machines[number % MACHINES]
        is_post = number % 3 > 0
        request_id = deployment.make_id()
        headers = {
            "Host": HOST_NAME,
            "Attempt-Id": request_id,
            "Deadline-Ms": str(DEADLINE_MS),
        }
        path = "/puxa403/2f" if is_post else f"/cufi504/{number}"
        connection = http.client.HTTPConnection(machine.front, timeout=DEADLINE_MS / 1000)
        began, status = time.monotonic(), 0
        try:
            method, body = ("POST", b"subscribe") if is_post else ("GET", None)
            connection.request(method, path, body=body, headers=headers)
            began = time.monotonic()
            answer = connection.getresponse()
            answer.read()
            status = answer.status
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            connection.close()
        took_s = time.monotonic() - began
        if status != 200 or took_s > TIMEOUT_S:
            record.write(
                "answer", id=request_id, machine=machine.name, status=status, took_s=f"{took_s:.3f}"
            )
        with lock:
            took_by_id[request_id] = took_s if status else float("inf")

    try:
        store.put("op", "config", make_configuration({}))
        for replica in replicas:
            replica.start()
        deployment.start()
        time.sleep(5.0)
        with ThreadPoolExecutor(128) as executor:
            begun, number, rng = time.monotonic(), 0, random.Random(35)
            while (at := time.monotonic() - begun) < TRAFFIC_S:
                is_spoiled = any(start <= at < start + SPOILED_S for start in SPOILED_AT_S)
                for replica in replicas[:SPOILED_REPLICAS]:
                    replica.rng = rng if has_trouble and is_spoiled else None
                executor.submit(ask, number)
                number += 1
                time.sleep(PAUSE_S)
        longer = [took for took in took_by_id.values() if took > TIMEOUT_S]
        late = [took for took in longer if took > TIMEOUT_S + BOUND_S]
        is_broken = len(late) >= 8 and len(late) > len(longer) / 4
        record.write(
            "broken" if is_broken else "held",
            rule="CONFIG",
            sent=len(took_by_id),
            longer_than_timeout=len(longer),
            unanswered_after_bound=len(late),
            latest_s=f"{max(longer, default=0.0):.3f}",
        )
        return is_broken
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(run_case(run))
