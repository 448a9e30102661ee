"""Base class of tests whose callers write requests to a complete host byte by byte."""

import http.client
import socket

from tests.hostcase import REQUEST_ID, WAIT_S, HostCase, wait_until

HEADERS = f"Host: h.example\r\nAttempt-Id: {REQUEST_ID}\r\nDeadline-Ms: 3000\r\n"


class Caller:
    """A caller's connection; answers that arrive together are read through one buffer."""

    def __init__(self, address: str) -> None:
        host, _, port = address.partition(":")
        self.sock = socket.create_connection((host, int(port)), timeout=WAIT_S)
        self._answers = self.sock.makefile("rb")

    def send(self, data: str | bytes) -> None:
        """Send bytes as given."""
        self.sock.sendall(data.encode("latin-1") if isinstance(data, str) else data)

    def read_answer(self) -> tuple[int, bytes]:
        """Return the status and body of the next answer; 0 if the connection ends without it."""
        try:
            status = int(self._answers.readline().split()[1])
            headers = http.client.parse_headers(self._answers)
            while status == 100:
                status = int(self._answers.readline().split()[1])
                headers = http.client.parse_headers(self._answers)
            return status, self._read_body(headers)
        except (IndexError, OSError):
            return 0, b""

    def _read_body(self, headers: http.client.HTTPMessage) -> bytes:
        if headers.get("Content-Length") is not None:
            return self._answers.read(int(headers["Content-Length"]))
        if headers.get("Transfer-Encoding") != "chunked":
            return self._answers.read()
        parts = []
        while size := int(self._answers.readline() or b"0", 16):
            parts.append(self._answers.read(size + 2)[:size])
        self._answers.readline()
        return b"".join(parts)

    def close(self) -> None:
        """Close the connection."""
        self._answers.close()
        self.sock.close()


class ConnectionCase(HostCase):
    """A host and callers that write their requests byte by byte."""

    def connect(self) -> Caller:
        """Open a connection to the host."""
        caller = Caller(self.settings.front_address)
        self.addCleanup(caller.close)
        return caller

    def exchange(self, request: str) -> tuple[int, bytes]:
        """Send a request as given and return the status and body; 0 if there is no answer."""
        caller = self.connect()
        caller.send(request)
        return caller.read_answer()

    def count_unanswered(self, why: str) -> float:
        """Return how many requests the host counts as not answered, for one reason."""
        name, labels = "catkinhook_unanswered_requests_total", {"why": why}
        return self.host.metrics.registry.get_sample_value(name, labels) or 0.0

    def check_nothing_is_held(self) -> None:
        """Check that requests that ended hold neither a slot of the host nor one of an endpoint."""
        wait_until(lambda: self.host.state.in_progress == 0)
        scheduler = self.host._scheduler
        wait_until(lambda: sum(scheduler.ask(lambda s: s.count_running()).values()) == 0)
