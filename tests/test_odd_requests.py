"""Odd messages, errors and missing threads end no connection without an answer."""

import threading
from unittest import mock

from waitress.task import ThreadedTaskDispatcher

from catkinhook.wsgiserver import OnDemandDispatcher
from tests.connectioncase import HEADERS, ConnectionCase
from tests.hostcase import WAIT_S, wait_until

EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
KEPT = 4


class OddRequestsTest(ConnectionCase):
    """A host beside callers and endpoints that send odd but whole messages."""

    def test_expectation_without_a_body_is_answered(self) -> None:
        """A request that expects 100 and has no body must be answered, not awaited for ever."""
        for length in ("", "Content-Length: 0\r\n"):
            caller = self.connect()
            caller.sock.settimeout(3.0)
            request = f"POST /post/x HTTP/1.1\r\n{HEADERS}{length}Expect: 100-continue\r\n\r\n"
            caller.send(request)
            self.assertEqual(caller.read_answer()[0], 200)

    def test_expectation_with_a_body_is_answered(self) -> None:
        """A body that is sent after 100, or together with the headers, must be read."""
        for is_early in (True, False):
            caller = self.connect()
            head = (
                f"POST /post/x HTTP/1.1\r\n{HEADERS}Content-Length: 2\r\nExpect: 100-continue\r\n"
            )
            caller.send(f"{head}\r\n" + ("ab" if is_early else ""))
            if not is_early:
                self.assertIn(b"100 Continue", caller.sock.recv(100))
                caller.send(b"ab")
            self.assertEqual(caller.read_answer()[0], 200)


class NoThreadsTest(ConnectionCase):
    """A host that can't start threads."""

    def test_request_is_served_when_no_thread_can_be_started(self) -> None:
        """A request must wait for a thread, not be dropped, when a new one can't be started."""
        error = RuntimeError("can't start new thread")
        callers = [self.connect() for _ in range(KEPT)]
        with mock.patch.object(ThreadedTaskDispatcher, "start_new_thread", side_effect=error):
            for caller in callers:
                caller.send(f"GET /look/x HTTP/1.1\r\n{HEADERS}\r\n")
            self.assertEqual([caller.read_answer()[0] for caller in callers], [200] * KEPT)
        self.check_nothing_is_held()

    def test_request_read_ahead_is_served_when_no_thread_can_be_started(self) -> None:
        """A request behind another one must not wait for ever when no thread can be started."""
        error = RuntimeError("can't start new thread")
        caller = self.connect()
        caller.sock.settimeout(3.0)
        with mock.patch.object(ThreadedTaskDispatcher, "start_new_thread", side_effect=error):
            caller.send(f"GET /look/x HTTP/1.1\r\n{HEADERS}\r\n".encode() * 3)
            self.assertEqual([caller.read_answer()[0] for _ in range(3)], [200] * 3)

    def test_later_requests_get_threads_again(self) -> None:
        """A thread that could not be started must not count as one of those that serve."""
        dispatcher = OnDemandDispatcher(2)
        self.addCleanup(dispatcher.shutdown, timeout=1)
        wait_until(lambda: dispatcher.active_count == 0)
        releases = [threading.Event() for _ in range(2)]
        started = [threading.Event() for _ in range(2)]
        tasks = [mock.Mock() for _ in range(2)]
        for task, begun, release in zip(tasks, started, releases, strict=True):
            task.service = lambda begun=begun, release=release: (begun.set(), release.wait(WAIT_S))
        dispatcher.add_task(tasks[0])
        self.assertTrue(started[0].wait(WAIT_S))
        error = RuntimeError("can't start new thread")
        other = mock.Mock()
        with mock.patch.object(ThreadedTaskDispatcher, "start_new_thread", side_effect=error):
            dispatcher.add_task(other)
        dispatcher.add_task(tasks[1])
        try:
            self.assertTrue(started[1].wait(WAIT_S))
        finally:
            for release in releases:
                release.set()
        wait_until(lambda: other.service.called)


if __name__ == "__main__":
    import unittest

    unittest.main()
