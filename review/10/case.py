"""A request crashes each replica that runs it, and all processes of the system are killed once."""

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from platform2 import (  # noqa: E402
    BOUNDS,
    Host,
    Record,
    Store,
    is_troubled,
    make_configuration,
    make_entry,
    make_route,
    run_case,
    send_request,
)

SERVICE = "wuno96b"
HOSTS = 3
REPLICAS = 4
CONTACT_S = int(BOUNDS["contact_ms"]) / 1000
# The deadly request comes once in so many seconds, always the same.
DEADLY_GAP_S = 4.0
DEADLY_PATH = "/cufi504/deadly"
BACK_AFTER_S = 2.0
# Time from the first deadly request to the kill, and from the restart to the end.
KILL_AFTER_S = 30.0
WATCH_S = 40.0
RESTART_DELAY_S = 1.0
# Work of a notice; the site's is 220 ms at most.
WORK_S = 0.2
# Arrivals that the rule allows.
ALLOWED = 3


class Replica:
    """Replica that ends when it begins to run the deadly request."""

    def __init__(self, name: str, fleet: "Fleet") -> None:
        self.name, self._fleet = name, fleet
        self.born = int(time.time() * 1000)
        self.is_down = False
        self._socks: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                if self.is_down:
                    sock.close()
                    return
                self._socks.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _crash(self) -> None:
        """End as a process does: the listener and all connections close."""
        with self._lock:
            if self.is_down:
                return
            self.is_down = True
            socks = list(self._socks)
        for sock in (self._listener, *socks):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
            finally:
                sock.close()
        self._fleet.replace(self)

    def _serve(self, sock: socket.socket) -> None:
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    part = sock.recv(65536)
                    if not part:
                        return
                    data += part
                head, _, data = data.partition(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                headers = {n.lower(): v.strip() for n, _, v in (x.partition(":") for x in lines)}
                attempt = headers["attempt-id"]
                if headers.get("expect-instance") != self.name:
                    sock.sendall(
                        f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.name}\r\n"
                        "Content-Length: 0\r\n\r\n".encode()
                    )
                    continue
                if lines[0].split()[1] == DEADLY_PATH:
                    self._fleet.record_arrival(self, attempt)
                    self._crash()
                    return
                time.sleep(WORK_S)
                sock.sendall(
                    f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s-{self.name}\r\n"
                    "Content-Length: 2\r\n\r\nok".encode()
                )
        except OSError:
            return
        finally:
            with self._lock:
                self._socks.discard(sock)
            sock.close()


class Fleet:
    """The replicas; one that has ended is back after some seconds, under a new id.

    :ivar arrivals: times at which the deadly request reached a replica.
    """

    def __init__(self, store: Store, record: Record) -> None:
        self._store, self._record = store, record
        self._lock = threading.Lock()
        self._count = 0
        self.arrivals: list[float] = []
        self._live: list[Replica] = []
        for _ in range(REPLICAS):
            self._add()
        threading.Thread(target=self._beat, daemon=True).start()

    def record_arrival(self, replica: Replica, attempt: str) -> None:
        """Note that the deadly request has reached a replica."""
        self.arrivals.append(time.monotonic())
        self._record.write(f"{replica.name}: {attempt} reaches it and crashes it")

    def replace(self, replica: Replica) -> None:
        """Start a replica again some seconds after its end."""
        threading.Thread(target=self._replace, args=(replica,), daemon=True).start()

    def _replace(self, replica: Replica) -> None:
        with self._lock:
            self._live.remove(replica)
        time.sleep(BACK_AFTER_S)
        self._add()
        # The entry of the earlier one goes after three heartbeat intervals of silence.
        time.sleep(3.6 - BACK_AFTER_S)
        self._store.drop("servers", replica.name)

    def _add(self) -> None:
        with self._lock:
            self._count += 1
            replica = Replica(f"i-{self._count}", self)
            self._live.append(replica)
        self._put(replica)

    def _put(self, replica: Replica) -> None:
        entry = make_entry(SERVICE, replica.address, 6, replica.born)
        entry["sequence"] = int(time.time() * 1000) - replica.born
        self._store.put("servers", replica.name, entry)

    def _beat(self) -> None:
        while True:
            time.sleep(1.2)
            for replica in list(self._live):
                if not replica.is_down:
                    self._put(replica)


class Clients:
    """Callers of sound notices, which must not run twice, and of the deadly lookup."""

    def __init__(self, hosts: list[Host], record: Record) -> None:
        self._hosts, self._record = hosts, record
        self._numbers = {"notice": 0, "deadly": 0}
        self.counts: dict[int, int] = {}
        self.is_paused = False
        threading.Thread(target=self._notify, daemon=True).start()

    def _notify(self) -> None:
        while True:
            time.sleep(0.1)
            if not self.is_paused:
                threading.Thread(target=self._send, args=("notice", "/puxa403/x")).start()

    def send_deadly(self) -> None:
        """Send the deadly request once."""
        self._send("deadly", DEADLY_PATH)

    def _send(self, kind: str, path: str) -> None:
        self._numbers[kind] += 1
        number = self._numbers[kind]
        host = self._hosts[number % len(self._hosts)]
        method = "GET" if kind == "deadly" else "POST"
        answer = send_request(host.front, method, path, f"{kind}-{number}", 2.5)
        if kind == "deadly" or answer.status != 200:
            self._record.write(f"client: {kind}-{number} got {answer.status} {answer.error}")
        if kind == "notice":
            self.counts[answer.status] = self.counts.get(answer.status, 0) + 1


def run(record: Record) -> bool:
    """Return whether the deadly request reaches replicas more often than it may."""
    store = Store()
    fleet = Fleet(store, record)
    store.put(
        "op",
        "config",
        make_configuration(
            [
                make_route("r-lookup", "/cufi504/", "idempotent", SERVICE),
                make_route("r-notify", "/puxa403/", "non_idempotent", SERVICE),
            ],
            [{"name": SERVICE, "health_path": "/health", "max_conns": 110}],
        ),
    )
    hosts = [Host(store, number=number) for number in range(1, HOSTS + 1)]
    try:
        for host in hosts:
            host.wait_until_ready()
        time.sleep(CONTACT_S + 1.0)
        clients = Clients(hosts, record)
        send_for(clients, KILL_AFTER_S)
        killed_at = time.monotonic()
        if is_troubled():
            clients.is_paused = True
            record.write("platform: all processes are killed")
            for host in hosts:
                host.close()
            time.sleep(RESTART_DELAY_S)
            hosts[:] = [Host(store, number=number) for number in range(1, HOSTS + 1)]
            for host in hosts:
                host.wait_until_ready()
            clients.is_paused = False
            record.write("platform: all processes run again")
            # Until all machines are in touch.
            time.sleep(CONTACT_S + 1.0)
        record.write("all machines are in touch")
        calm_at = time.monotonic()
        send_for(clients, WATCH_S)
        late = [
            at
            for at in fleet.arrivals
            if at > fleet.arrivals[2] + CONTACT_S and not killed_at < at < calm_at
        ]
        record.write(
            f"{len(fleet.arrivals)} arrivals, {len(late)} of them by machines in touch later than "
            f"contact_ms after the third crash; statuses of notices {clients.counts}"
        )
        return len(late) > ALLOWED
    finally:
        for host in hosts:
            host.close()


def send_for(clients: Clients, seconds: float) -> None:
    """Send the deadly request at its steady rate."""
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        clients.send_deadly()
        time.sleep(DEADLY_GAP_S)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, run)
