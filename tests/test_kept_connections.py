"""Connections that are kept, queued, half closed or limited lose no request."""

import threading
import time
import unittest
from unittest import mock

from catkinhook.wsgiserver import HOST_CLOSED, OnDemandDispatcher, Server
from tests.connectioncase import HEADERS, Caller, ConnectionCase
from tests.hostcase import WAIT_S, wait_until

KEPT = 4
PAUSE_S = 0.6
CLOCK_STEP_S = 300.0


class KeptConnectionsTest(ConnectionCase):
    """A host whose callers and endpoints keep their connections."""

    def test_request_survives_endpoints_that_forget_connections(self) -> None:
        """A request that may run twice must not fail because two kept connections are gone."""
        for endpoint in self.plain_endpoints:
            endpoint.head_pause_s = 0.2
        callers = [self.connect() for _ in range(KEPT)]
        for caller in callers:
            caller.send(f"GET /look/x HTTP/1.1\r\n{HEADERS}\r\n")
        self.assertEqual([caller.read_answer()[0] for caller in callers], [200] * KEPT)
        for endpoint in self.plain_endpoints:
            endpoint.forgets_connections, endpoint.head_pause_s = True, 0.0
        for _ in range(KEPT):
            self.assertEqual(self.send_request("GET", "/look/x")[0].status, 200)

    def test_wait_for_a_thread_counts_against_the_deadline(self) -> None:
        """A request that waited for a thread must not be given the whole time that it had."""
        add_task = OnDemandDispatcher.add_task

        def add_late(dispatcher: OnDemandDispatcher, task: object) -> None:
            threading.Timer(PAUSE_S, add_task, (dispatcher, task)).start()

        with mock.patch.object(OnDemandDispatcher, "add_task", add_late):
            self.assertEqual(self.exchange(f"GET /look/x HTTP/1.1\r\n{HEADERS}\r\n")[0], 200)
        (request,) = self.received_requests(self.plain_endpoints)
        self.assertLessEqual(int(request.get("Deadline-Ms")), 3000 - PAUSE_S * 1000)


class ServerTest(unittest.TestCase):
    """The HTTP server alone, with an application that the test controls."""

    def start_server(self, application: object, threads: int = 4, **adjustments: object) -> None:
        """Start a server."""
        dispatcher = OnDemandDispatcher(threads)
        self.server = Server(
            application,
            host="127.0.0.1",
            port=0,
            dispatcher=dispatcher,
            asyncore_use_poll=True,
            channel_request_lookahead=1,
            **adjustments,
        )
        self.unanswered: list[str] = []
        self.server.on_unanswered = lambda unanswered: self.unanswered.append(unanswered.why)
        thread = threading.Thread(target=self.server.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, WAIT_S)
        self.addCleanup(self.server.shut_down)

    def connect(self) -> Caller:
        """Open a connection to the server."""
        caller = Caller(f"127.0.0.1:{self.server.effective_port}")
        self.addCleanup(caller.close)
        return caller

    def test_step_of_the_clock_cuts_no_answer(self) -> None:
        """An answer that its caller still reads must not be cut by a step of the time of day."""
        size = 16 << 20

        def application(environ: dict, start_response: object) -> list[bytes]:
            start_response("200 OK", [("Content-Length", str(size))])
            return [b"x" * size]

        self.start_server(application, cleanup_interval=1, outbuf_overflow=2 * size)
        caller = self.connect()
        caller.send("GET / HTTP/1.1\r\n\r\n")
        wait_until(lambda: any(c.total_outbufs_len for c in self.server.active_channels.values()))
        step = time.time() + CLOCK_STEP_S
        with mock.patch("waitress.server.time.time", lambda: step):
            time.sleep(1.5)
        self.assertEqual(len(caller.read_answer()[1]), size)

    def test_connection_of_a_caller_that_stopped_reading_is_closed(self) -> None:
        """An answer that its caller does not read must not hold a thread for ever."""
        size = 64 << 20

        def application(environ: dict, start_response: object) -> list[bytes]:
            start_response("200 OK", [("Content-Length", str(size))])
            return iter([b"x" * (size // 4)] * 4)

        self.start_server(
            application, channel_timeout=1, cleanup_interval=1, outbuf_overflow=2 * size
        )
        caller = self.connect()
        caller.send("GET / HTTP/1.1\r\n\r\n")
        wait_until(lambda: self.unanswered == [HOST_CLOSED])


if __name__ == "__main__":
    unittest.main()
