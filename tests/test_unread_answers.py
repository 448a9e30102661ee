"""Answers whose caller doesn't read: pressure back to the endpoint, and the end of the wait."""

import contextlib
import socket
import time

from catkinhook.units import MIB
from tests.hostcase import REQUEST_ID, WAIT_S, HostCase, wait_until
from tests.memory_host import MisbehavingEndpoint

DEADLINE_S = 2.0
# Time without a byte from an endpoint that sends as fast as it can.
STANDSTILL_S = 0.4


class UnreadAnswersTest(HostCase):
    """A caller with a short deadline that reads nothing of its answer."""

    endpoint_class = MisbehavingEndpoint

    def send(self, path: str, deadline_s: float, headers: str = "") -> socket.socket:
        """Send a request and return its connection, of which nothing is read."""
        host, _, port = self.settings.front_address.rpartition(":")
        connection = socket.create_connection((host, int(port)), WAIT_S)
        self.addCleanup(connection.close)
        connection.sendall(
            f"GET {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {REQUEST_ID}\r\n"
            f"Deadline-Ms: {deadline_s * 1000:.0f}\r\n{headers}\r\n".encode()
        )
        return connection

    def send_for_stream(self, deadline_s: float) -> socket.socket:
        """Request events without end and wait until the endpoint can send no more of them."""
        for engine in self.engines:
            engine.kind = "events"
        connection = self.send("/live/x", deadline_s, "Model: m1\r\nToken-Usage: 10,20\r\n")
        wait_until(self.is_standing_still)
        return connection

    def is_standing_still(self) -> bool:
        """Return whether the endpoints have sent something, but nothing for a while."""
        sent = sum(engine.sent for engine in self.engines)
        time.sleep(STANDSTILL_S)
        return sent > 0 and sent == sum(engine.sent for engine in self.engines)

    def test_endpoint_waits_for_a_caller_that_does_not_read(self) -> None:
        """A host must not keep what its caller doesn't read, however fast an endpoint sends."""
        self.send_for_stream(20.0)
        self.assertEqual(self.host.state.in_progress, 1)
        self.assertFalse(any(engine.ended_answers for engine in self.engines))
        channels = list(self.host.front.server.active_channels.values())
        self.assertLess(sum(channel.total_outbufs_len for channel in channels), MIB)

    def test_deadline_ends_the_wait_for_a_caller_that_does_not_read(self) -> None:
        """A caller that never reads must not hold a thread of the host beyond its deadline."""
        self.send_for_stream(DEADLINE_S)
        wait_until(lambda: self.host.state.in_progress == 0)
        wait_until(lambda: any(engine.ended_answers for engine in self.engines))
        wait_until(lambda: not self.host.front.server.active_channels)
        self.assertEqual(self.host.memory.held, 0)

    def test_caller_that_leaves_without_reading_ends_its_request(self) -> None:
        """An endpoint must not stay at work for a caller that left while the host waited for it."""
        connection = self.send_for_stream(20.0)
        connection.close()
        began = time.monotonic()
        wait_until(lambda: any(engine.ended_answers for engine in self.engines))
        wait_until(lambda: self.host.state.in_progress == 0)
        wait_until(lambda: self.host.memory.held == 0)
        self.assertLess(time.monotonic() - began, WAIT_S / 2)

    def test_slow_caller_gets_its_whole_answer(self) -> None:
        """An answer that waits for its caller must neither lose nor repeat a byte."""
        for plain in self.plain_endpoints:
            plain.kind = "large"
        connection = self.send("/look/x", 3.0, "Connection: close\r\n")
        time.sleep(0.5)
        data = b""
        with contextlib.closing(connection):
            while part := connection.recv(1 << 20):
                data += part
                time.sleep(0.002)
        head, _, body = data.partition(b"\r\n\r\n")
        self.assertIn(b"200 OK", head)
        self.assertEqual(body, MisbehavingEndpoint.large_answer())
        wait_until(lambda: self.host.memory.held == 0)
