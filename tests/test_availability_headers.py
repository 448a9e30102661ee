"""Which heads of answers say that an endpoint leaves or wants a pause."""

import contextlib
import socket
import threading
import time
import unittest

from catkinhook.platform.upstream import EndpointAnswer
from catkinhook.requests.attempts import AttemptError, ConnectionPool
from catkinhook.requests.endpointactivity import EndpointActivity
from catkinhook.requests.endpointavailability import EndpointAvailability
from catkinhook.requests.routedrequest import Assignment
from catkinhook.state.views import EndpointView

READ_BYTES = 65536
OWN = ("Attempt-Id: r1", "Response-Seal: s")
REFUSAL = ("Attempt-Id: r1", "Not-Executed: 1")
LEAVING = "Server-Leaving: 1"
# Status and header lines of each answer.
LEAVING_HEADS = (
    ("200", *OWN, LEAVING),
    ("204", *OWN, LEAVING),
    ("404", *OWN, LEAVING),
    ("500", *OWN, LEAVING),
    ("503", *REFUSAL, LEAVING),
    ("503", LEAVING),
    ("421", *REFUSAL, LEAVING),
    ("421", *REFUSAL, "Instance-Id: i", LEAVING),
    ("200", "Attempt-Id: other", LEAVING),
    ("200", "Attempt-Id: r1", LEAVING),
    ("200", *OWN, "Content-Encoding: gzip", LEAVING),
    ("200", *OWN, "Transfer-Encoding: odd", LEAVING),
    ("200", *OWN, "server-leaving:1"),
    ("200", *OWN, "Server-Leaving: 0", LEAVING),
)
OTHER_HEADS = (
    ("200", *OWN),
    ("200", *OWN, "Server-Leaving: 0"),
    ("200", *OWN, "Server-Leaving:"),
    ("200", *OWN, "Server-Leaving: yes"),
    ("200", *OWN, "X-Server-Leaving: 1"),
    ("421", *REFUSAL, "Instance-Id: i-other", LEAVING),
    ("503", *REFUSAL, "Instance-Id: i-other", LEAVING),
)
# Seconds of the pause, and the head that asks for it.
PAUSES = (
    (2.0, ("503", *REFUSAL, "Retry-After: 2")),
    (0.5, ("503", "Retry-After: 0.5")),
    (4.0, ("503", *REFUSAL, "Retry-After: 1", "Retry-After: 4")),
    (3.0, ("503", *REFUSAL, "Retry-After: soon", "Retry-After: 3")),
    (0.0, ("503", *REFUSAL)),
    (0.0, ("503", *REFUSAL, "Retry-After: -4")),
    (0.0, ("429", *REFUSAL, "Retry-After: 4")),
    (0.0, ("200", *OWN, "Retry-After: 4")),
    (0.0, ("503", *REFUSAL, "Instance-Id: i-other", "Retry-After: 4")),
)


def render_head(status: str, *lines: str) -> bytes:
    """Return a head and the end of its connection's last answer, without a body."""
    return "\r\n".join((f"HTTP/1.1 {status} X", "Content-Length: 0", *lines, "", "")).encode()


class AvailabilityHeadersTest(unittest.TestCase):
    """Heads of one answer each, read by the client of endpoints."""

    def setUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.head = b""
        threading.Thread(target=self.serve, daemon=True).start()
        address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.view = EndpointView(
            endpoint="i", address=address, service="s", zone="z", boot_id="1", slots=1
        )

    def serve(self) -> None:
        """Answer one request on each connection."""
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                with connection:
                    connection.recv(READ_BYTES)
                    connection.sendall(self.head)

    def read_answer(self, head: bytes) -> EndpointAvailability:
        """Return what is known of the endpoint after one answer."""
        self.head = head
        connections, availability = ConnectionPool(), EndpointAvailability()
        assignment = Assignment(endpoint=self.view, attempt=1, priority=0)
        answer = EndpointAnswer(connections, EndpointActivity(), availability, assignment, "r1")
        with contextlib.suppress(AttemptError):
            answer.send("GET", "/", [("Host", "h")], b"", 3.0, True, lambda: False)
        answer.close()
        connections.close()
        return availability

    def test_any_answer_may_say_that_its_endpoint_leaves(self) -> None:
        """Guards against a header that is dropped with an answer that fails a check."""
        for head in LEAVING_HEADS:
            with self.subTest(head=head):
                self.assertTrue(self.read_answer(render_head(*head)).is_leaving("i", "1"))

    def test_other_answers_do_not_say_so(self) -> None:
        """Guards against giving up an endpoint for an odd value or for another instance's word."""
        for head in OTHER_HEADS:
            with self.subTest(head=head):
                self.assertFalse(self.read_answer(render_head(*head)).is_leaving("i", "1"))

    def test_interim_answer_says_nothing(self) -> None:
        """Guards against believing a head that is not that of the answer."""
        interim = b"HTTP/1.1 103 X\r\nServer-Leaving: 1\r\nRetry-After: 9\r\n\r\n"
        for status, lines in (("200", OWN), ("503", REFUSAL)):
            availability = self.read_answer(interim + render_head(status, *lines))
            self.assertTrue(availability.is_available(self.view, time.monotonic()))

    def test_only_a_503_asks_for_a_pause(self) -> None:
        """Guards against pauses that were not asked for, and against the shorter of two."""
        for seconds, head in PAUSES:
            with self.subTest(head=head):
                began = time.monotonic()
                availability = self.read_answer(render_head(*head))
                ends_at = availability.find_pause_end(self.view)
                if not seconds:
                    self.assertIsNone(ends_at)
                    continue
                self.assertGreaterEqual(ends_at, began + seconds)
                self.assertLessEqual(ends_at, time.monotonic() + seconds)


if __name__ == "__main__":
    unittest.main()
