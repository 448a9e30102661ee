"""Connections that are kept, queued, half closed or limited lose no request."""

import threading
import unittest
from unittest import mock

from catkinhook.wsgiserver import OnDemandDispatcher
from tests.connectioncase import HEADERS, ConnectionCase

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


if __name__ == "__main__":
    unittest.main()
