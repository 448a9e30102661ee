"""Whole requests are answered however their connection ends, or are counted and logged."""

import http.client
from unittest import mock

from catkinhook.host import WebListener
from catkinhook.unanswered import APPLICATION, CALLER_CLOSED, EARLIER_ANSWER, LOOP_ERROR, UNHANDLED
from tests.connectioncase import HEADERS, ConnectionCase
from tests.hostcase import REQUEST_ID, WAIT_S, HostCase, wait_until


class CounterTest(ConnectionCase):
    """The host counts the whole requests that get no complete answer."""

    def test_error_in_the_event_loop_is_counted(self) -> None:
        """A request that an error in the event loop ends must not vanish without a trace."""
        with mock.patch.object(self.host.front.server, "add_task", side_effect=RuntimeError):
            self.assertEqual(self.exchange(f"GET /look/x HTTP/1.1\r\n{HEADERS}\r\n"), (0, b""))
        self.assertEqual(self.count_unanswered(LOOP_ERROR), 1)

    def test_cut_answer_is_counted(self) -> None:
        """An answer that breaks off must not look like one that is complete."""
        self.engines[1].stop_after = 2
        request = f"POST /digest/x HTTP/1.1\r\n{HEADERS}Model: m2\r\nContent-Length: 0\r\n\r\n"
        self.exchange(request)
        wait_until(lambda: self.count_unanswered(APPLICATION) == 1)
        self.check_nothing_is_held()

    def test_caller_that_leaves_is_counted_apart(self) -> None:
        """Callers that leave must not hide requests that the host drops."""
        self.plain_endpoints[0].head_pause_s = self.plain_endpoints[1].head_pause_s = 1.0
        caller = self.connect()
        caller.send(f"GET /look/x HTTP/1.1\r\n{HEADERS}\r\n")
        wait_until(lambda: bool(self.received_requests(self.plain_endpoints)))
        caller.close()
        wait_until(lambda: self.count_unanswered(CALLER_CLOSED) == 1)
        self.check_nothing_is_held()

    def test_request_behind_the_last_answer_is_counted(self) -> None:
        """A request sent behind one whose answer ends the connection is not run, and counted."""
        self.engines[1].gap_s = 0.05
        stream = f"POST /live/x HTTP/1.1\r\n{HEADERS}Model: m2\r\nContent-Length: 0\r\n\r\n"
        status, body = self.exchange(f"{stream}GET /look/x HTTP/1.1\r\n{HEADERS}\r\n")
        self.assertEqual((status, body.count(b"id:")), (200, 5))
        wait_until(lambda: self.count_unanswered(EARLIER_ANSWER) == 1)
        self.assertEqual(self.received_requests(self.plain_endpoints), [])

    def test_answered_requests_are_not_counted(self) -> None:
        """The counter must stay at 0 while callers get complete answers."""
        connection = http.client.HTTPConnection(self.settings.front_address, timeout=WAIT_S)
        self.addCleanup(connection.close)
        headers = {"Host": "h.example", "Attempt-Id": REQUEST_ID, "Deadline-Ms": "3000"}
        for method, path in (("GET", "/look/x"), ("POST", "/post/x"), ("GET", "/none/x")):
            connection.request(method, path, None, headers)
            connection.getresponse().read()
        self.send_request("POST", "/live/x", Model="m1")
        self.check_nothing_is_held()
        for why in (APPLICATION, CALLER_CLOSED, EARLIER_ANSWER, LOOP_ERROR, UNHANDLED):
            self.assertEqual(self.count_unanswered(why), 0, why)


class ReadinessTest(HostCase):
    """A host that starts."""

    def setUp(self) -> None:
        start, self.reasons = WebListener.start, []

        def start_late(listener: WebListener) -> None:
            if listener is self.host.front:
                wait_until(lambda: self.host.configuration.table is not None)
                wait_until(lambda: self.host.endpoints.is_loaded)
                self.reasons.append(self.host.state.explain_unready())
            start(listener)

        with mock.patch.object(WebListener, "start", start_late):
            super().setUp()

    def test_host_is_not_ready_before_it_accepts_connections(self) -> None:
        """Callers must not be sent to a host that still refuses their connections."""
        self.assertEqual(self.reasons, ["the host does not accept connections yet"])


if __name__ == "__main__":
    import unittest

    unittest.main()
