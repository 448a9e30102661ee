"""A replica refuses a long request early and reads on later; its connection is used again."""

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from platform2 import (  # noqa: E402
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

BODY_BYTES = 4_000_000
LONG_BYTES = 1_000_000
READ_ON_AFTER_S = 1.8
ROUNDS = 3
LOOKUPS = 40
LOOKUP_GAP_S = 0.1


class Replica:
    """Sound replica that refuses a long request without reading its body, while it is full.

    It keeps the connection, and reads and drops the rest of the body later.
    """

    def __init__(self, name: str, record: Record) -> None:
        self.name, self._record = name, record
        self.foreign: list[str] = []
        self.run_ids: list[str] = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        # Accepted connections have this buffer too, a small window as on the platform's links.
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        number = sock.getpeername()[1]
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    part = sock.recv(65536)
                    if not part:
                        return
                    data += part
                head, _, data = data.partition(b"\r\n\r\n")
                data = self._handle(sock, number, head.decode("latin-1"), data)
        except OSError as error:
            self._record.write(f"{self.name}: connection {number} ended: {error!r}")

    def _handle(self, sock: socket.socket, number: int, head: str, data: bytes) -> bytes:
        lines = head.split("\r\n")
        headers = {n.strip().lower(): v.strip() for n, _, v in (x.partition(":") for x in lines)}
        attempt, length = headers.get("attempt-id", ""), int(headers.get("content-length") or 0)
        is_refused = length >= LONG_BYTES
        if is_refused:
            self._record.write(f"{self.name}: refuses {attempt} on connection {number} early")
            sock.sendall(
                f"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: {attempt}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            if is_troubled():
                time.sleep(READ_ON_AFTER_S)
                self._record.write(f"{self.name}: reads on on connection {number}")
        body, data = data[:length], data[length:]
        size = len(body)
        while size < length:
            self._check(attempt, number, body)
            body = sock.recv(min(65536, length - size))
            if not body:
                raise ConnectionResetError("ended within a body")
            size += len(body)
        self._check(attempt, number, body)
        if not is_refused:
            self.run_ids.append(attempt)
            self._record.write(f"{self.name}: ran {attempt} on connection {number}: {lines[0]}")
            sock.sendall(
                f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s-{self.name}\r\n"
                "Content-Length: 2\r\n\r\nok".encode()
            )
        return data

    def _check(self, attempt: str, number: int, part: bytes) -> None:
        """Check bytes of a body, which consists of one letter only."""
        rest = part.strip(b"b")
        if rest:
            text = rest[:160].decode("latin-1")
            self.foreign.append(text)
            self._record.write(
                f"{self.name}: in the body of {attempt} on connection {number} came {text!r}"
            )


def run(record: Record) -> bool:
    """Return whether a replica got other bytes where the rest of a body was due."""
    store = Store()
    replicas = [Replica(f"i-{number}", record) for number in (1, 2)]
    store.put(
        "op",
        "config",
        make_configuration(
            [make_route("r-lookup", "/cufi504/", "idempotent", "wuno96b")],
            [{"name": "wuno96b", "health_path": "/health", "max_conns": 110}],
        ),
    )
    for replica in replicas:
        entry = make_entry("wuno96b", replica.address, 6, int(time.time() * 1000))
        store.put("servers", replica.name, entry)
    host = Host(store)
    try:
        host.wait_until_ready()
        time.sleep(1.0)
        for number in range(ROUNDS):
            run_round(host, record, number)
    finally:
        host.close()
    return any(replica.foreign for replica in replicas)


def run_round(host: Host, record: Record, number: int) -> None:
    """Send one long request, and lookups beside and after it."""
    attempt = f"long-{number}"

    def send_long() -> None:
        answer = send_request(host.front, "POST", "/cufi504/x", attempt, 2.5, b"b" * BODY_BYTES)
        record.write(f"client: {attempt} got {answer.status} {answer.error}")

    long = threading.Thread(target=send_long)
    long.start()
    lookups = []
    for index in range(LOOKUPS):
        lookup = threading.Thread(target=look_up, args=(host, record, f"lookup-{number}-{index}"))
        lookup.start()
        lookups.append(lookup)
        time.sleep(LOOKUP_GAP_S)
    for thread in (long, *lookups):
        thread.join()


def look_up(host: Host, record: Record, attempt: str) -> None:
    """Send a lookup without a body."""
    answer = send_request(host.front, "GET", "/cufi504/y", attempt, 2.5)
    record.write(f"client: {attempt} got {answer.status} {answer.error}")


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, run)
