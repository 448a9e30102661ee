"""Bytes that the connections of a server hold together: unread answers and unfinished requests."""

import json
import socket
import threading
import time
import unittest
from collections.abc import Callable, Iterator

from catkinhook.requests.memorybudget import MemoryBudget
from catkinhook.taskdispatcher import OnDemandDispatcher
from catkinhook.units import KIB, MIB
from catkinhook.wsgiserver import Server
from tests.hostcase import WAIT_S, wait_until

CALLERS = 40
LIMIT_BYTES = 2 * MIB
PART = b"x" * (48 * KIB)
ANSWER_PARTS = 400


class HeldConnectionsTest(unittest.TestCase):
    """Server whose application answers ``/large`` with many parts, and others with the body."""

    def setUp(self) -> None:
        self.evicted: list[tuple[str, int]] = []
        self.served: list[int] = []
        self.memory = MemoryBudget(LIMIT_BYTES, lambda *eviction: self.evicted.append(eviction))
        self.server = Server(
            self.answer,
            map={},
            host="127.0.0.1",
            port=0,
            dispatcher=OnDemandDispatcher(CALLERS + 4),
            asyncore_use_poll=True,
            outbuf_high_watermark=64 * KIB,
            max_request_body_size=8 * MIB,
            inbuf_overflow=16 * MIB,
        )
        self.server.memory = self.memory
        thread = threading.Thread(target=self.server.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, WAIT_S)
        self.addCleanup(self.server.shut_down)

    def answer(self, environ: dict, start_response: Callable) -> Iterator[bytes]:
        """Answer a request."""
        body = environ["wsgi.input"].read()
        self.served.append(len(body))
        parts = [PART] * ANSWER_PARTS if environ["PATH_INFO"] == "/large" else [b"%d" % len(body)]
        start_response("200 OK", [("Content-Length", str(sum(map(len, parts))))])
        return iter(parts)

    def connect(self) -> socket.socket:
        """Open a connection with a small receive buffer."""
        connection = socket.socket()
        self.addCleanup(connection.close)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * KIB)
        connection.settimeout(WAIT_S)
        connection.connect(("127.0.0.1", int(self.server.effective_port)))
        return connection

    def read_answer(self, connection: socket.socket) -> tuple[int, bytes]:
        """Return the status and the body of an answer that ends with its connection."""
        data = b""
        while part := connection.recv(MIB):
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        return int(head[9:12] or 0), body

    def send(self, path: str, body: bytes = b"", length: int = 0) -> socket.socket:
        """Send a request, or its beginning if ``length`` exceeds that of its body."""
        connection = self.connect()
        head = f"POST {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        head += f"Content-Length: {max(length, len(body))}\r\n\r\n"
        connection.sendall(head.encode() + body)
        return connection

    def test_unread_answers_are_bounded_together(self) -> None:
        """Callers that don't read must not fill the memory, though each of them holds little."""
        connections = [self.send("/large") for _ in range(CALLERS)]
        wait_until(lambda: self.evicted)
        time.sleep(0.2)
        unsent = [channel.total_outbufs_len for channel in self.server.active_channels.values()]
        self.assertLessEqual(sum(unsent), LIMIT_BYTES)
        self.assertLessEqual(self.memory.held, LIMIT_BYTES)
        self.assertEqual({kind for kind, _ in self.evicted}, {"output"})
        self.assertEqual(self.read_answer(self.send("/small", b"abc")), (200, b"3"))
        self.assertEqual(self.read_answer(self.send("/large")), (200, PART * ANSWER_PARTS))
        for connection in connections:
            connection.close()
        wait_until(lambda: self.memory.held == 0)

    def test_bodies_of_unfinished_requests_are_bounded_together(self) -> None:
        """Callers that send bodies slowly must not fill the memory, nor stop sound requests."""
        connections = [
            self.send("/small", b"x" * (MIB // 4), length=MIB + number) for number in range(CALLERS)
        ]
        wait_until(lambda: len(self.evicted) >= CALLERS - LIMIT_BYTES // (MIB // 4))
        self.assertLessEqual(self.memory.held, LIMIT_BYTES)
        self.assertEqual({kind for kind, _ in self.evicted}, {"request"})
        # The largest were refused; a smaller one goes on.
        self.assertEqual(self.read_answer(self.send("/small", b"abc")), (200, b"3"))
        self.assertEqual(self.served, [3])
        for connection in connections:
            connection.close()
        wait_until(lambda: self.memory.held == 0)

    def test_refused_body_gets_503_and_is_never_run(self) -> None:
        """A request that is refused at the memory limit must not run, nor any part of its body."""
        smuggled = b"POST /smuggled HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
        body = smuggled * (LIMIT_BYTES // len(smuggled) + 1000)
        head = b"POST /small HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(body)
        connection = self.connect()
        connection.sendall(head + body)
        status, problem = self.read_answer(connection)
        self.assertEqual(status, 503, problem)
        self.assertEqual(json.loads(problem)["ran"], "no")
        self.assertEqual(self.served, [])
        wait_until(lambda: self.memory.held == 0)

    def test_bodies_of_requests_in_progress_leave_room_for_their_answers(self) -> None:
        """Whole bodies can't be dropped, so they must not use up the memory: the next gets 503."""
        is_over = threading.Event()
        self.addCleanup(is_over.set)
        answer = self.server.application

        def answer_late(environ: dict, start_response: Callable) -> Iterator[bytes]:
            is_over.wait(WAIT_S)
            return answer(environ, start_response)

        self.server.application = answer_late
        connections = [self.send("/small", b"x" * (MIB // 4)) for _ in range(8)]
        wait_until(lambda: len(self.server.task_dispatcher.threads) >= 3)
        time.sleep(0.5)
        self.assertLessEqual(self.memory.held, LIMIT_BYTES // 2)
        is_over.set()
        statuses = sorted(self.read_answer(connection)[0] for connection in connections)
        self.assertEqual(statuses, [200] * 3 + [503] * 5)
        self.assertEqual(self.served, [MIB // 4] * 3)
        wait_until(lambda: self.memory.held == 0)

    def test_request_behind_an_answer_that_ends_with_its_connection_is_given_back(self) -> None:
        """A connection that closes after its answer was written must not keep the next request.

        Bytes of whole requests can't be evicted, so a host would refuse all requests in the end.
        """
        served: list[str] = []

        class ClosedAnswer:
            """Answer whose connection is closed when all of it was written."""

            def __init__(self, server: Server) -> None:
                self._server = server
                self._parts = iter([b"ok"])

            def __iter__(self) -> Iterator[bytes]:
                return self._parts

            def close(self) -> None:
                (channel,) = self._server.active_channels.values()
                channel.close_from_thread()
                wait_until(lambda: not channel.connected)

        def answer(environ: dict, start_response: Callable) -> ClosedAnswer:
            served.append(environ["PATH_INFO"])
            start_response("200 OK", [("Content-Length", "2")])
            return ClosedAnswer(self.server)

        self.server.application = answer
        body = b"x" * KIB
        head = "POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        requests = [(head % (number, len(body))).encode() + body for number in range(2)]
        connection = self.connect()
        connection.sendall(b"".join(requests))
        self.read_answer(connection)
        wait_until(lambda: not self.server.active_channels)
        wait_until(lambda: self.memory.held == 0)
        self.assertEqual(served, ["/0"])

    def test_kept_connection_holds_nothing_between_requests(self) -> None:
        """The account must not drift, or a host would refuse all requests after some time.

        Empty lines between requests are requests of their own to the parser, and are dropped.
        """
        connection = self.connect()
        for _ in range(20):
            connection.sendall(b"\r\n\r\n" * 10)
            connection.sendall(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
            data = b""
            while not data.endswith(b"\r\n\r\n3"):
                data += connection.recv(KIB)
        wait_until(lambda: self.memory.held == 0)
        self.assertEqual(len(self.server.active_channels), 1)
