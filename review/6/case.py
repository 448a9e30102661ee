"""A replica refuses a long request early and reads on later; its connection is used again."""

import re
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from platform2 import (  # noqa: E402
    HOST_NAME,
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

BODY_BYTES = 4_190_000
READ_ON_AFTER_S = 1.8
ROUNDS = 4
LOOKUPS = 30
LOOKUP_GAP_S = 0.1
# Imports in every second round: long texts that another client sends, which replicas take in full.
IMPORTS = 3
IMPORT_BYTES = 3_500_000
FIRST_IMPORT_AFTER_S = 1.55
IMPORT_GAP_S = 0.1


REQUEST_LINE = re.compile(r"[A-Z]+ /\S* HTTP/1\.1")


class Replica:
    """Sound replica that refuses a long request without reading its body, while it is full.

    It keeps the connection, and reads and drops the rest of the body later.
    """

    def __init__(self, name: str, record: Record) -> None:
        self.name, self._record = name, record
        self.foreign: list[str] = []
        self.run_ids: set[str] = set()
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
                # Servers ignore empty lines before a request.
                data = data.lstrip(b"\r\n")
                while b"\r\n\r\n" not in data:
                    part = sock.recv(65536)
                    if not part:
                        return
                    data = (data + part).lstrip(b"\r\n")
                head, _, data = data.partition(b"\r\n\r\n")
                data = self._handle(sock, number, head.decode("latin-1"), data)
        except OSError as error:
            self._record.write(f"{self.name}: connection {number} ended: {error!r}")
        finally:
            sock.close()

    def _handle(self, sock: socket.socket, number: int, head: str, data: bytes) -> bytes:
        lines = head.split("\r\n")
        headers = {n.strip().lower(): v.strip() for n, _, v in (x.partition(":") for x in lines)}
        attempt, length = headers.get("attempt-id", ""), int(headers.get("content-length") or 0)
        if not REQUEST_LINE.fullmatch(lines[0]) or not attempt:
            self._record.write(f"{self.name}: no request on connection {number}: {lines[0][:60]!r}")
            sock.sendall(
                b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            raise ConnectionAbortedError("closed after 400")
        is_refused = attempt.startswith("long")
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
            if is_refused:
                self._check(attempt, number, body)
            body = sock.recv(min(65536, length - size))
            if not body:
                raise ConnectionResetError("ended within a body")
            size += len(body)
        if is_refused:
            self._check(attempt, number, body)
        else:
            self.run_ids.add(attempt)
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
            if len(self.foreign) < 20:
                self._record.write(
                    f"{self.name}: in the body of {attempt} on connection {number} came {text!r}"
                )
            self.foreign.append(text)


def run(record: Record) -> bool:
    """Return whether a replica got other bytes where the rest of a body was due.

    That is so too if it ran a request that no client sent.
    """
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
    clients = Clients(host, record)
    try:
        host.wait_until_ready()
        time.sleep(1.0)
        for number in range(ROUNDS):
            clients.run_round(number)
    finally:
        host.close()
    foreign = sum(len(replica.foreign) for replica in replicas)
    unasked = set().union(*(replica.run_ids for replica in replicas)) - clients.sent
    record.write(f"{foreign} reads of other bytes; run, though no client sent it: {unasked}")
    return bool(foreign or unasked)


class Clients:
    """Clients of an idempotent route.

    :ivar sent: ids of all attempts.
    """

    def __init__(self, host: Host, record: Record) -> None:
        self._host, self._record = host, record
        self.sent: set[str] = set()

    def run_round(self, number: int) -> None:
        """Send one long request that is refused, and others beside and after it."""
        threads = [self._start("POST", f"long-{number}", b"b" * BODY_BYTES)]
        if number % 2:
            time.sleep(FIRST_IMPORT_AFTER_S)
            for index in range(IMPORTS):
                threads.append(self._start("POST", f"import-{number}-{index}", make_text(number)))
                time.sleep(IMPORT_GAP_S)
        else:
            for index in range(LOOKUPS):
                threads.append(self._start("GET", f"lookup-{number}-{index}"))
                time.sleep(LOOKUP_GAP_S)
        for thread in threads:
            thread.join()

    def _start(self, method: str, attempt: str, body: bytes = b"") -> threading.Thread:
        self.sent.add(attempt)
        thread = threading.Thread(target=self._send, args=(method, attempt, body))
        thread.start()
        return thread

    def _send(self, method: str, attempt: str, body: bytes) -> None:
        answer = send_request(self._host.front, method, "/cufi504/x", attempt, 2.5, body)
        self._record.write(f"client: {attempt} got {answer.status} {answer.error}")


def make_text(number: int) -> bytes:
    """Return a text of empty lines with one in which a client quotes a request."""
    quoted = (
        f"GET /cufi504/quoted HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: quoted-{number}\r\n"
        "Deadline-Ms: 2000\r\n\r\n"
    ).encode()
    return b"\r\n" * ((IMPORT_BYTES - len(quoted)) // 2) + quoted


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, run)
