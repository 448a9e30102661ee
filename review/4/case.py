"""Connections to the store go silent just after a replica's entry was removed."""

import contextlib
import socket
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    CONTACT_S,
    DRAIN_S,
    Deployment,
    Replica,
    find_port,
    make_configuration,
    run_case,
)

MACHINES = 3
REPLICAS = 4
ROUNDS = 5
ROUND_S = 14.0
# Time from the removal of the entry to the silence; a machine may have read the removal before.
SILENT_AFTER_S = (0.1, 0.2, 0.3, 0.4, 0.25)
# The replica goes on serving for drain_ms and "a little longer (at times many seconds)".
EXIT_AFTER_S = 5.5
RESTART_AFTER_S = 4.0
PAUSE_S = 0.03
DEADLINE_MS = 2500
# Added to contact_ms, so that the machines are in touch by any reading.
TOUCH_MARGIN_S = 0.5


class Proxy:
    """Loopback proxy to the store, whose open connections can go silent."""

    def __init__(self, target: str) -> None:
        host, _, port = target.partition(":")
        self._target = (host, int(port))
        self._open: set[threading.Event] = set()
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", find_port()), backlog=256)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> int:
        """Stop to forward bytes on all open connections, for good; return their number."""
        with self._lock:
            for is_silent in self._open:
                is_silent.set()
            count = len(self._open)
            self._open.clear()
        return count

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            far = socket.create_connection(self._target)
            is_silent = threading.Event()
            with self._lock:
                self._open.add(is_silent)
            for pair in ((near, far), (far, near)):
                for sock in pair:
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                args = (*pair, is_silent)
                threading.Thread(target=self._forward, args=args, daemon=True).start()

    def _forward(
        self, source: socket.socket, sink: socket.socket, is_silent: threading.Event
    ) -> None:
        try:
            while data := source.recv(65536):
                if is_silent.is_set():
                    # Neither bytes nor the end of the connection reach the other side.
                    return
                sink.sendall(data)
        except OSError:
            pass
        if not is_silent.is_set():
            with self._lock:
                self._open.discard(is_silent)
            for sock in (source, sink):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


def run(has_trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    deployment = Deployment(FOLDER, MACHINES)
    record, store = deployment.record, deployment.store
    proxy = Proxy(store.address)
    replicas = [
        Replica(f"d{n}", "wuno96b", f"tn-north-{'abc'[n % 3]}", store, record, 6)
        for n in range(REPLICAS)
    ]
    answers: dict[str, tuple[float, int]] = {}
    is_over = threading.Event()

    def post(number: int) -> None:
        machine = deployment.machines[number % MACHINES]
        sent_at = record.now()
        request_id, status, _ = deployment.send(
            machine, "POST", "/puxa403/2f", {}, b"subscribe", DEADLINE_MS, "post"
        )
        answers[request_id] = (sent_at, status)

    def send_posts(executor: ThreadPoolExecutor) -> None:
        number = 0
        while not is_over.is_set():
            executor.submit(post, number)
            number += 1
            time.sleep(PAUSE_S)

    # Replica, time of its removal and time from which arrivals are late.
    removals: list[tuple[str, float, float]] = []
    try:
        store.put("op", "config", make_configuration({}))
        for replica in replicas:
            replica.start()
        deployment.start(proxy.address)
        time.sleep(6.0)
        with ThreadPoolExecutor(64) as executor:
            sender = threading.Thread(target=send_posts, args=(executor,))
            sender.start()
            time.sleep(2.0)
            for number in range(ROUNDS):
                begun, replica = time.monotonic(), replicas[number % REPLICAS]
                replica.unregister()
                removed_at = record.now()
                time.sleep(SILENT_AFTER_S[number])
                silent_at = record.now()
                if has_trouble:
                    record.write("silence", connections=proxy.silence())
                touch_at = silent_at + CONTACT_S + TOUCH_MARGIN_S if has_trouble else 0.0
                late_from = max(removed_at + DRAIN_S, touch_at)
                removals.append((replica.instance, removed_at, late_from))
                time.sleep(max(0.0, begun + EXIT_AFTER_S - time.monotonic()))
                replica.crash(RESTART_AFTER_S)
                time.sleep(max(0.0, begun + ROUND_S - time.monotonic()))
            is_over.set()
            sender.join()
        return judge(deployment, replicas, answers, removals)
    finally:
        is_over.set()
        deployment.close()


def judge(
    deployment: Deployment,
    replicas: list[Replica],
    answers: dict[str, tuple[float, int]],
    removals: list[tuple[str, float, float]],
) -> bool:
    """Return whether requests reached a replica later than drain_ms after its removal."""
    record, total = deployment.record, 0
    for instance, removed_at, late_from in removals:
        late = [
            (at, request_id)
            for replica in replicas
            for at, request_id, ran_at in replica.runs
            if ran_at == instance and answers.get(request_id, (0.0, 0))[0] > late_from
        ]
        total += len(late)
        lost = [request_id for _, request_id in late if answers[request_id][1] != 200]
        after = [f"{at - removed_at:.2f}" for at, _ in late]
        record.write(
            "round",
            replica=instance,
            removed_at=f"{removed_at:.3f}",
            late_from=f"{late_from:.3f}",
            late=len(late),
            latest_after_removal_s=max(after, default="-"),
            late_without_answer=len(lost),
        )
    statuses = [status for _, status in answers.values()]
    record.write("sum", sent=len(statuses), answered_200=statuses.count(200))
    record.write("broken" if total else "held", rule="DRAIN", late=total)
    return total > 0


if __name__ == "__main__":
    sys.exit(run_case(run))
