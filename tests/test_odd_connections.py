"""Odd requests and unexpected ends of connections of the HTTP server."""

import socket
import threading
import time
import unittest
from collections.abc import Callable, Iterator
from unittest import mock

from waitress.adjustments import Adjustments

from catkinhook.platform.upstream import _FOLD as UPSTREAM_FOLD
from catkinhook.requestparser import Parser
from catkinhook.taskdispatcher import OnDemandDispatcher
from catkinhook.unanswered import UnansweredRequest
from catkinhook.units import KIB
from catkinhook.wsgiserver import Server
from tests.connectioncase import HEADERS, ConnectionCase
from tests.hostcase import WAIT_S, wait_until

# Time for one head of 60 KiB. A quadratic pattern takes several seconds, a linear one 1 ms.
PARSE_S = 0.5


def parse(data: bytes) -> Parser:
    """Return the parser of a request."""
    parser = Parser(Adjustments())
    while data:
        data = data[parser.received(data) :]
        if parser.completed:
            break
    return parser


class ParserTest(unittest.TestCase):
    """Heads of requests that are odd or made to harm."""

    def test_run_of_spaces_does_not_block_the_event_loop(self) -> None:
        """One request must not stop the event loop, and with it all requests, for seconds."""
        began = time.process_time()
        parser = parse(b"GET / HTTP/1.1\r\nX-A: a" + b" " * (60 * KIB) + b"b\r\n\r\n")
        self.assertLess(time.process_time() - began, PARSE_S)
        self.assertIsNone(parser.error)

    def test_run_of_spaces_of_an_endpoint_does_not_block_the_host(self) -> None:
        """A header of an endpoint must not hold the interpreter for seconds."""
        began = time.process_time()
        UPSTREAM_FOLD.sub(" ", "a" + " " * (60 * KIB) + "b")
        self.assertLess(time.process_time() - began, PARSE_S)
        self.assertEqual(UPSTREAM_FOLD.sub(" ", "a \t\r\n\t b\n c  d"), "a b c  d")

    def test_body_in_chunks_needs_http_1_1(self) -> None:
        """A body in chunks must not be dropped, and then be read as a further request."""
        body = b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
        for version in (b" HTTP/1.0", b" HTTP/1.2", b""):
            parser = parse(b"POST /x" + version + b"\r\nConnection: keep-alive\r\n" + body)
            self.assertEqual(getattr(parser.error, "code", None), 400, version)
        parser = parse(b"POST /x HTTP/1.1\r\n" + body)
        self.assertIsNone(parser.error)
        self.assertEqual(parser.get_body_stream().read(), b"hello")


class OddTargetTest(ConnectionCase):
    """A host whose callers send targets that can't be passed on."""

    def test_target_with_control_characters_is_refused(self) -> None:
        """It is the caller's fault: no endpoint is tried, and none is blamed."""
        for target in ("/look/a\x01b", "/look/a\x7fb", "/look/a\tb"):
            status, _ = self.exchange(f"GET {target} HTTP/1.1\r\n{HEADERS}\r\n")
            self.check_nothing_is_held()
            self.assertEqual(status, 400, target)


class ConnectionEndTest(unittest.TestCase):
    """Connections that end while their requests are queued or being answered."""

    def start_server(self, application: Callable, threads: int = 1, **options: object) -> Server:
        """Start a server; it stops with the test."""
        server = Server(
            application,
            map={},
            host="127.0.0.1",
            port=0,
            dispatcher=OnDemandDispatcher(threads),
            asyncore_use_poll=True,
            channel_request_lookahead=1,
            send_bytes=1,
            **options,
        )
        self.unanswered: list[UnansweredRequest] = []
        server.on_unanswered = self.unanswered.append
        thread = threading.Thread(target=server.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, WAIT_S)
        self.addCleanup(server.shut_down)
        return server

    def connect(self, server: Server) -> socket.socket:
        """Open a connection to a server."""
        connection = socket.create_connection(("127.0.0.1", int(server.effective_port)), WAIT_S)
        self.addCleanup(connection.close)
        return connection

    def hold_answers(self) -> Callable:
        """Return an application that writes one part of a body without a length and waits."""
        self.release = threading.Event()
        self.addCleanup(self.release.set)

        def answer(environ: dict, start_response: Callable) -> Iterator[bytes]:
            start_response("200 OK", [])
            yield b"part"
            self.release.wait(WAIT_S)
            yield b"end"

        return answer

    def read_head_and_part(self, connection: socket.socket) -> None:
        """Read until the first part of the body has come."""
        data = b""
        while b"part" not in data:
            received = connection.recv(100)
            self.assertTrue(received, data)
            data += received

    def test_answer_without_chunks_that_the_server_cuts_does_not_look_whole(self) -> None:
        """The end of the connection completes such an answer, so a cut must reset it."""

        def shut_down(server: Server) -> None:
            server.shut_down()

        def give_up(server: Server) -> None:
            channel = next(iter(server.active_channels.values()))
            server.trigger.pull_trigger(channel.handle_close)

        for cut in (shut_down, give_up):
            server = self.start_server(self.hold_answers())
            connection = self.connect(server)
            connection.sendall(b"GET / HTTP/1.0\r\n\r\n")
            self.read_head_and_part(connection)
            cut(server)
            with self.subTest(cut.__name__), self.assertRaises(ConnectionResetError):
                self.assertIsNone(connection.recv(100), "the answer looks whole")
            self.release.set()

    def test_whole_answer_without_chunks_ends_without_a_reset(self) -> None:
        """A reset could cost the caller the end of a whole answer."""
        server = self.start_server(self.hold_answers())
        connection = self.connect(server)
        connection.sendall(b"GET / HTTP/1.0\r\n\r\n")
        self.read_head_and_part(connection)
        self.release.set()
        data = b""
        while part := connection.recv(100):
            data += part
        self.assertEqual(data, b"end")

    def test_caller_without_chunks_that_leaves_causes_no_error(self) -> None:
        """A caller of HTTP/1.0 that leaves during its answer must not be logged as a fault."""
        server = self.start_server(self.hold_answers())
        connection = self.connect(server)
        connection.sendall(b"GET / HTTP/1.0\r\n\r\n")
        self.read_head_and_part(connection)
        channel = next(iter(server.active_channels.values()))
        with mock.patch.object(channel, "logger") as logger:
            connection.close()
            wait_until(lambda: channel.socket is None)
            self.release.set()
            wait_until(lambda: not channel.requests)
        logger.exception.assert_not_called()

    def test_answer_at_the_end_of_a_stop_has_a_version_of_http(self) -> None:
        """An answer must begin with a status line that callers can read."""
        for version in ("", " HTTP/1.0", " HTTP/1.2", " HTTP/1.1"):
            server = self.start_server(self.hold_answers())
            running = self.connect(server)
            running.sendall(b"GET / HTTP/1.1\r\n\r\n")
            self.read_head_and_part(running)
            queued = self.connect(server)
            queued.sendall(f"GET /{version}\r\nHost: h\r\n\r\n".encode())
            self.wait_for_requests(server, 2)
            answered = server.answer_unfinished(WAIT_S)
            self.assertEqual([request.status.value for request in answered], [503])
            expected = b"HTTP/1.1 503 " if version == " HTTP/1.1" else b"HTTP/1.0 503 "
            with self.subTest(version):
                self.assertEqual(queued.recv(len(expected)), expected)
            self.release.set()

    def test_request_answered_at_the_end_of_a_stop_is_not_reported(self) -> None:
        """Counts and log lines of requests without an answer must not contain answered ones."""
        server = self.start_server(self.hold_answers())
        running = self.connect(server)
        running.sendall(b"GET / HTTP/1.1\r\n\r\n")
        self.read_head_and_part(running)
        queued = self.connect(server)
        queued.sendall(b"GET /queued HTTP/1.1\r\nHost: h\r\n\r\n")
        self.wait_for_requests(server, 2)
        server.answer_unfinished(WAIT_S)
        while queued.recv(1000):
            pass
        self.assertEqual([request.target for request in self.unanswered], [])

    def test_cut_request_is_reported_once_while_its_predecessor_ends(self) -> None:
        """The thread of an answered request must not mark the next one as not being served."""
        is_second_running, may_end = threading.Event(), threading.Event()
        self.addCleanup(may_end.set)

        def answer(environ: dict, start_response: Callable) -> list[bytes]:
            if environ["PATH_INFO"] == "/2":
                is_second_running.set()
                may_end.wait(WAIT_S)
            start_response("200 OK", [("Content-Length", "2")])
            return [b"ok"]

        server = self.start_server(answer, threads=2)
        pull_trigger = server.pull_trigger

        def wait_for_second() -> None:
            # The last step of the first thread comes once the second one runs.
            is_second_running.wait(WAIT_S)
            pull_trigger()

        server.pull_trigger = wait_for_second
        connection = self.connect(server)
        connection.sendall(b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")
        self.assertTrue(is_second_running.wait(WAIT_S))
        channel = next(iter(server.active_channels.values()))
        pulled = threading.Event()
        # The first thread has nothing left to wait for.
        time.sleep(0.1)
        server.trigger.pull_trigger(channel.handle_close)
        server.trigger.pull_trigger(pulled.set)
        self.assertTrue(pulled.wait(WAIT_S))
        may_end.set()
        server.task_dispatcher.shutdown(timeout=WAIT_S)
        self.assertEqual([request.target for request in self.unanswered], ["/2"])

    def wait_for_requests(self, server: Server, count: int) -> None:
        """Wait until the server has read so many requests."""
        channels = server.active_channels
        wait_until(lambda: sum(len(c.requests) for c in list(channels.values())) == count)


if __name__ == "__main__":
    unittest.main()
