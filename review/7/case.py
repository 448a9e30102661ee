"""The platform stops machines in turn; each stands still for a second when its SIGTERM comes."""

import signal
import socket
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from platform2 import (  # noqa: E402
    BOUNDS,
    Host,
    Record,
    Store,
    connect,
    exchange,
    is_troubled,
    make_configuration,
    make_entry,
    make_route,
    run_case,
)

SERVICE = "wuno96b"
# As in the site: 8 machines, 3 replicas of the plain service.
HOSTS = 8
REPLICAS = 3
STOPS = 6
GRACE_S = float(BOUNDS["grace_s"])
CONTACT_S = int(BOUNDS["contact_ms"]) / 1000
LOSS_SLACK_S = int(BOUNDS["loss_slack_ms"]) / 1000
FROZEN_S = 1.0
TERM_AFTER_S = 0.3
# Requests sent up to this long after a SIGTERM are excused under some conditions; none counts here.
EXCUSED_S = 3.0
WORK_S = 0.15
REQUESTS_PER_S = 120.0
DEADLINE_S = 2.5


class Fleet:
    """Replicas of the plain service, which note what they run."""

    def __init__(self) -> None:
        self.run_ids: set[str] = set()

    def start(self, name: str) -> str:
        """Start a replica and return its address."""
        fleet = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args: object) -> None:
                pass

            def do_POST(self) -> None:  # noqa: N802
                self.rfile.read(int(self.headers["Content-Length"]))
                fleet.run_ids.add(self.headers["Attempt-Id"])
                time.sleep(WORK_S)
                self.send_response(200)
                self.send_header("Attempt-Id", self.headers["Attempt-Id"])
                self.send_header("Response-Seal", f"s-{name}")
                self.send_header("Content-Length", "2")
                self.end_headers()
                self.wfile.write(b"ok")

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request: object, client_address: object) -> None:
                pass

        server = Server(("127.0.0.1", 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return f"127.0.0.1:{server.server_address[1]}"


class Machine:
    """A machine of the platform: its process, and whether it gets new connections."""

    def __init__(self, store: Store, number: int, record: Record) -> None:
        self._store, self._record = store, record
        self.number = number
        self.host = Host(store, number=number)
        self.misses = 0
        self.is_stopping = False
        # Times of the SIGTERM and of the end of the freeze.
        self.term_at = self.thawed_at = float("-inf")

    def check(self) -> None:
        """Ask for ``/ready`` once a second; after two misses it gets no new connections."""
        while True:
            self.misses = 0 if self.host.is_ready() else self.misses + 1
            time.sleep(1.0)

    def stop(self) -> bool:
        """Stop and restart the process; return whether it had to be killed."""
        process = self.host.process
        if is_troubled():
            self._record.write(f"machine {self.number}: stands still")
            process.send_signal(signal.SIGSTOP)
            time.sleep(TERM_AFTER_S)
        self.term_at = time.monotonic()
        self._record.write(f"platform: SIGTERM to machine {self.number}")
        process.send_signal(signal.SIGTERM)
        if is_troubled():
            time.sleep(FROZEN_S - TERM_AFTER_S)
            process.send_signal(signal.SIGCONT)
            self.thawed_at = time.monotonic()
            self._record.write(f"machine {self.number}: goes on")
        while process.poll() is None and time.monotonic() < self.term_at + GRACE_S:
            time.sleep(0.01)
        is_killed = process.poll() is None
        if is_killed:
            self._record.write(
                f"platform: SIGKILL to machine {self.number}, which says ready {self.misses < 2}"
            )
            process.kill()
        process.wait()
        self._record.write(f"machine {self.number}: has ended")
        time.sleep(0.3)
        self.host.close()
        self.host = Host(self._store, number=self.number)
        return is_killed


class Clients:
    """Clients of notices, which must not run twice; each opens a connection for each request."""

    def __init__(self, machines: list[Machine], fleet: Fleet, record: Record) -> None:
        self._machines, self._fleet, self._record = machines, fleet, record
        self._is_stopped = False
        self.counts: dict[int, int] = {}
        self.lost: list[str] = []
        self._executor = ThreadPoolExecutor(96)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        number, next_at = 0, time.monotonic()
        while not self._is_stopped:
            number += 1
            next_at = max(time.monotonic() - 0.2, next_at + 1 / REQUESTS_PER_S)
            time.sleep(max(0.0, next_at - time.monotonic()))
            in_rotation = [machine for machine in self._machines if machine.misses < 2]
            if in_rotation:
                machine = in_rotation[number % len(in_rotation)]
                self._executor.submit(self._send, f"notice-{number}", machine)

    def _send(self, attempt: str, machine: Machine) -> None:
        address = machine.host.front
        try:
            sock = connect(address, 1.0)
        except OSError:
            # The process is gone, and has read nothing.
            return
        with sock:
            sent_at = time.monotonic()
            answer = exchange(sock, "POST", "/puxa403/x", attempt, DEADLINE_S, body=b"n" * 600)
            ended_at = time.monotonic()
        self.counts[answer.status] = self.counts.get(answer.status, 0) + 1
        if answer.status and not answer.error:
            return
        has_timed_out = ended_at - sent_at >= DEADLINE_S - 0.05
        time.sleep(WORK_S)
        has_run = attempt in self._fleet.run_ids
        self._record.write(
            f"client: {attempt} at machine {machine.number} got no answer after "
            f"{ended_at - sent_at:.3f} s, run {has_run}: {answer.error}"
        )
        # Planned work excuses nothing here: the freeze is over for ``contact_ms``, and the request
        # came later than 3 s after SIGTERM.
        is_within = machine.term_at + EXCUSED_S < sent_at < machine.term_at + GRACE_S + 1.0
        is_calm = sent_at > machine.thawed_at + CONTACT_S
        is_lost = has_run or ended_at - sent_at > LOSS_SLACK_S
        if is_within and is_calm and is_lost and not has_timed_out:
            self.lost.append(attempt)

    def stop(self) -> None:
        """Send no more, and wait for the answers."""
        self._is_stopped = True
        self._thread.join()
        self._executor.shutdown()


def run(record: Record) -> bool:
    """Return whether requests that a process had read are cut around a planned stop."""
    store, fleet = Store(), Fleet()
    store.put(
        "op",
        "config",
        make_configuration(
            [make_route("r-notify", "/puxa403/", "non_idempotent", SERVICE)],
            [{"name": SERVICE, "health_path": "/health", "max_conns": 110}],
        ),
    )
    for number in range(1, REPLICAS + 1):
        name = f"i-{number}"
        entry = make_entry(SERVICE, fleet.start(name), 60, int(time.time() * 1000))
        store.put("servers", name, entry)
    machines = [Machine(store, number, record) for number in range(1, HOSTS + 1)]
    try:
        for machine in machines:
            machine.host.wait_until_ready()
            threading.Thread(target=machine.check, daemon=True).start()
        time.sleep(2.0)
        clients = Clients(machines, fleet, record)
        time.sleep(CONTACT_S)
        killed = 0
        for machine in machines[:STOPS]:
            killed += machine.stop()
            machine.host.wait_until_ready()
            time.sleep(1.0)
        clients.stop()
        record.write(
            f"{killed} of {STOPS} processes didn't stop and were killed; "
            f"statuses {clients.counts}; {len(clients.lost)} requests were lost: {clients.lost}"
        )
        return bool(clients.lost)
    finally:
        for machine in machines:
            machine.host.close()


if __name__ == "__main__":
    socket.setdefaulttimeout(DEADLINE_S)
    run_case(Path(__file__).resolve().parent, run)
