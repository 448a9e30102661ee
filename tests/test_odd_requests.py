"""Odd messages, errors and missing threads end no connection without an answer."""

import threading
from unittest import mock

import pykka
from waitress.task import ThreadedTaskDispatcher

from catkinhook.platform.front import FrontApplication
from catkinhook.requests.attempts import CountingConnection
from catkinhook.stateactor import StateActor
from catkinhook.taskdispatcher import OnDemandDispatcher
from catkinhook.unanswered import APPLICATION
from tests.connectioncase import HEADERS, ConnectionCase
from tests.hostcase import WAIT_S, wait_until
from tests.platform_fakes import ScriptedAnswer, make_configuration

EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
KEPT = 4


class OddRequestsTest(ConnectionCase):
    """A host beside callers and endpoints that send odd but whole messages."""

    def test_target_that_is_no_uri_is_refused(self) -> None:
        """An error of the parser must not close the connection without an answer."""
        for target in ("http://[x/", "http://[::1/look/x", "/look/x"):
            status, _ = self.exchange(f"GET {target} HTTP/1.1\r\n{HEADERS}\r\n")
            self.assertEqual(status, 200 if target == "/look/x" else 400, target)

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

    def test_target_with_bytes_beyond_ascii_is_refused(self) -> None:
        """A target that is not ASCII must be refused by all its spellings, and hold no place."""
        configuration = make_configuration(2)
        for route in configuration["routes"]:
            route["path_prefix"] = route["path_prefix"].replace("/look/", "/")
        self.store.put("op", "config", configuration)
        wait_until(lambda: self.host.configuration.version == 2)
        for target in ("/look/\xc3\xa9", "//look/\xc3\xa9"):
            status, _ = self.exchange(f"GET {target} HTTP/1.1\r\n{HEADERS}\r\n")
            self.check_nothing_is_held()
            self.assertEqual(status, 400, target)
        self.assertEqual(self.received_requests(self.plain_endpoints), [])

    def test_folded_header_of_a_caller_is_forwarded(self) -> None:
        """A header of several lines must not fail its request, nor hold a place afterwards."""
        status, _ = self.exchange(f"GET /look/x HTTP/1.1\r\n{HEADERS}X-A: b\r\n c: d\r\n\r\n")
        self.check_nothing_is_held()
        self.assertEqual(status, 200)
        values = [r.get("X-A") for r in self.received_requests(self.plain_endpoints)]
        self.assertEqual(values, ["b c: d"])

    def test_reserved_header_of_an_endpoint_is_left_out(self) -> None:
        """A header that waitress reserves must not fail its answer, nor hold a place afterwards."""
        answer = ScriptedAnswer(body=EVENTS, more_headers={"Trailers": "X-A"})
        for engine in self.engines:
            engine.scripted_answers.append(answer)
        response, body = self.send_request("POST", "/live/x", b"p", Model="m1")
        self.check_nothing_is_held()
        self.assertEqual((response.status, body), (200, EVENTS))

    def test_folded_header_of_an_endpoint_is_forwarded(self) -> None:
        """A header of several lines in an answer must not fail it, nor hold a place afterwards."""
        answer = ScriptedAnswer(body=EVENTS, more_headers={"X-A": "b\r\n c"})
        for engine in self.engines:
            engine.scripted_answers.append(answer)
        response, body = self.send_request("POST", "/live/x", b"p", Model="m1")
        self.check_nothing_is_held()
        self.assertEqual((response.status, body), (200, EVENTS))
        self.assertEqual(response.getheader("X-A"), "b c")

    def test_answer_without_a_body_to_head_is_forwarded(self) -> None:
        """An answer to HEAD has a length and no body; it must not be awaited."""
        response, body = self.send_request("HEAD", "/look/x", Deadline_Ms="1500")
        self.assertEqual((response.status, body), (200, b""))
        self.check_nothing_is_held()

    def test_request_of_http_1_0_is_answered(self) -> None:
        """Older callers must get answers too, on kept connections and closed ones."""
        for connection in ("", "Connection: keep-alive\r\n"):
            request = f"GET /look/x HTTP/1.0\r\n{HEADERS}{connection}\r\n"
            caller = self.connect()
            for _ in range(KEPT if connection else 1):
                caller.send(request)
                self.assertEqual(caller.read_answer()[0], 200)
        stream = f"POST /live/x HTTP/1.0\r\n{HEADERS}Model: m1\r\nContent-Length: 0\r\n\r\n"
        status, body = self.exchange(stream)
        self.assertEqual((status, body.count(b"id:")), (200, 5))

    def test_requests_sent_together_are_all_answered(self) -> None:
        """Requests that are read ahead on a kept connection must each get an answer."""
        request = f"GET /look/x HTTP/1.1\r\n{HEADERS}\r\n".encode()
        for count in (2, 3, KEPT):
            caller = self.connect()
            caller.send(request * count)
            for _ in range(count):
                self.assertEqual(caller.read_answer()[0], 200)

    def test_oversized_body_is_refused(self) -> None:
        """The refusal of a body that is too large must reach a caller that is still sending."""
        head = f"POST /post/x HTTP/1.1\r\n{HEADERS}Content-Length: {20 << 20}\r\n\r\n"
        caller = self.connect()
        caller.send(head)
        try:
            for _ in range(200):
                caller.send(b"x" * 100_000)
        except OSError:
            pass
        self.assertEqual(caller.read_answer()[0], 413)


class UnexpectedErrorTest(ConnectionCase):
    """A host whose own code fails, or whose scheduler does not answer in time."""

    def check_no_unhandled_error(self) -> None:
        """These tests cause such errors."""

    def test_scheduler_that_does_not_answer_holds_no_place(self) -> None:
        """A request whose scheduler answers too late must be refused, and hold no place later."""
        release = threading.Event()
        self.addCleanup(release.set)
        with mock.patch("catkinhook.stateactor.ASK_TIMEOUT_S", 0.3):
            self.host._scheduler.tell(lambda _: release.wait(WAIT_S))
            response, _ = self.send_request("GET", "/look/x")
        self.assertIn(response.status, (500, 503))
        release.set()
        self.check_nothing_is_held()
        response, _ = self.send_request("GET", "/look/x")
        self.assertEqual(response.status, 200)

    def test_answer_that_can_not_be_started_holds_no_place(self) -> None:
        """An error before the first byte of an answer must end in a 500, and hold no place."""
        error = ValueError("odd header")
        with mock.patch.object(FrontApplication, "_start_answer", side_effect=error):
            answers = [
                self.send_request("GET", "/look/x")[0],
                self.send_request("POST", "/live/x", b"p", Model="m1")[0],
            ]
        self.assertEqual([answer.status for answer in answers], [500, 500])
        self.check_nothing_is_held()

    def test_error_while_a_request_is_sent_holds_no_place(self) -> None:
        """An unexpected error in an attempt must end in a 500, and hold no place."""
        error = ValueError("odd header")
        with mock.patch.object(CountingConnection, "send_raw", side_effect=error):
            answer, _ = self.send_request("GET", "/look/x")
        self.assertEqual(answer.status, 500)
        self.check_nothing_is_held()

    def test_error_while_a_stream_is_resumed_holds_no_place(self) -> None:
        """An unexpected error in a later attempt of a stream must hold no place."""
        for engine in self.engines:
            engine.stop_after = 2
        send, calls = CountingConnection.send_raw, []

        def fail_second(connection: CountingConnection, *args: object) -> None:
            if "/live/x" in args:
                calls.append(args)
                if len(calls) == 2:
                    raise ValueError("odd header")
            send(connection, *args)

        request = f"POST /live/x HTTP/1.1\r\n{HEADERS}Model: m1\r\nContent-Length: 0\r\n\r\n"
        with mock.patch.object(CountingConnection, "send_raw", fail_second):
            self.exchange(request)
            wait_until(lambda: self.count_unanswered(APPLICATION) == 1)
        self.assertEqual(len(calls), 2)
        self.check_nothing_is_held()
        name, labels = "catkinhook_decisions_total", {"kind": "request", "outcome": "fault"}
        self.assertEqual(self.host.metrics.registry.get_sample_value(name, labels), 1)

    def test_scheduler_that_fails_during_a_retry_holds_no_place(self) -> None:
        """An error between two attempts must end the request with an answer."""
        self.plain_endpoints[0].fault = self.plain_endpoints[1].fault = "not-run"
        ask, calls = StateActor.ask, []

        def fail_second(actor: StateActor, query: object) -> object:
            calls.append(query)
            if len(calls) == 2:
                raise pykka.Timeout("stuck")
            return ask(actor, query)

        with mock.patch.object(StateActor, "ask", fail_second):
            response, _ = self.send_request("GET", "/look/x")
        self.assertIn(response.status, (500, 503))
        self.check_nothing_is_held()


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
