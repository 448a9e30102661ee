"""Endpoints that refuse with 503 and a time get no request of a host until then."""

import threading
import time
import unittest
from unittest import mock

from catkinhook.errors import Ran
from catkinhook.hostsettings import Bounds
from catkinhook.platform.upstream import EndpointAnswer
from catkinhook.requests.attempts import AttemptError, ConnectionPool
from catkinhook.requests.endpointactivity import SILENCE_TIMEOUT_S, EndpointActivity
from catkinhook.requests.endpointavailability import MAX_PAUSE_S, EndpointAvailability
from catkinhook.requests.routedrequest import Assignment
from catkinhook.state.views import EndpointView
from catkinhook.texts import parse_decimal
from tests.hostcase import HostCase, wait_until
from tests.platform_fakes import FakeEndpoint

MODEL_HEADERS = {"Model": "m1", "Token_Usage": "10,10"}
PAUSE_S = 2.0
# From the users' rule: so many requests may reach an endpoint between these moments after its
# refusal and the end of the pause.
GRACE_S = 0.5
MAX_LATE_REQUESTS = 2


class PauseTest(HostCase):
    """One host whose endpoints refuse requests and ask for a pause."""

    # A retry budget that never ends the attempts of a request.
    bounds = Bounds(lease_s=3.0, grace_s=4.0, retry_slack=10_000.0)

    def set_pause(self, group: list[FakeEndpoint], retry_after: str) -> None:
        """Let endpoints refuse requests and ask for a pause, or for none and run requests."""
        for endpoint in group:
            endpoint.fault, endpoint.retry_after = "not-run" if retry_after else "", retry_after

    def send(self, path: str) -> tuple[int, float]:
        """Send a request; return status and ``Retry-After`` of the answer."""
        headers = MODEL_HEADERS if path.startswith("/live/") else {}
        answer, _ = self.send_request("POST", path, b"p", **headers)
        return answer.status, float(answer.headers["Retry-After"] or 0)

    def check_pause(self, group: list[FakeEndpoint], path: str) -> None:
        """Check what reaches endpoints that all pause, and what callers are told."""
        self.set_pause(group, f"{PAUSE_S}")
        self.send(path)
        asked_at = time.monotonic()
        self.set_pause(group, "")
        returns_at = min(endpoint.received[0].received_at for endpoint in group) + PAUSE_S
        while time.monotonic() < returns_at - 0.1:
            began = time.monotonic()
            status, retry_after_s = self.send(path)
            self.assertEqual(status, 503)
            answered_at = time.monotonic()
            # A caller that waits as told comes after the end of the pause.
            self.assertGreaterEqual(answered_at + retry_after_s, returns_at)
            self.assertLess(answered_at - began, 0.5)
            time.sleep(0.02)
        for endpoint in group:
            late = [r for r in endpoint.received if r.received_at > asked_at + GRACE_S]
            self.assertLessEqual(len(late), MAX_LATE_REQUESTS)
        wait_until(lambda: self.send(path)[0] == 200)
        self.assertLess(time.monotonic() - asked_at, PAUSE_S + 1.0)
        wait_until(self.has_no_pause)

    def has_no_pause(self) -> bool:
        """Return whether all pauses have ended, of which the first let a request through."""
        return self.host._pause_ends._availability.end_pauses(time.monotonic()) is None

    def test_endpoints_that_pause_get_no_requests(self) -> None:
        """Guards against requests during a pause, waits for its end, and a pause without an end."""
        for group, path in (
            (self.plain_endpoints, "/look/x"),
            (self.plain_endpoints, "/post/x"),
            (self.engines, "/live/x"),
        ):
            with self.subTest(path=path):
                for endpoint in group:
                    endpoint.received.clear()
                self.check_pause(group, path)

    def test_requests_go_to_an_endpoint_that_does_not_pause(self) -> None:
        """Guards against refusals while another endpoint is free."""
        first = self.plain_endpoints[0]
        self.set_pause([first], "30")
        wait_until(lambda: self.send("/look/x")[0] == 200 and bool(first.received))
        self.set_pause([first], "")
        first.received.clear()
        self.assertEqual({self.send("/post/x")[0] for _ in range(20)}, {200})
        self.assertEqual(first.received, [])

    def test_queued_request_starts_at_the_end_of_a_pause(self) -> None:
        """Guards against requests that wait although an endpoint is free again."""
        first, other = self.plain_endpoints
        self.store.put("servers", other.endpoint, other.entry("desk") | {"slots": 1})
        wait_until(lambda: self.host._scheduler.ask(lambda s: s._endpoint_by_id["i-d2"].slots == 1))
        self.set_pause([first], "1.5")
        wait_until(lambda: self.send("/look/x")[0] == 200 and bool(first.received))
        self.set_pause([first], "")
        first.received.clear()
        # Two requests take its place and the place in its queue, and the third one waits.
        other.received.clear()
        other.head_pause_s = 2.8
        threads = [threading.Thread(target=self.send, args=("/post/x",)) for _ in range(3)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual((len(first.received), len(other.received)), (1, 2))
        is_free_at = min(request.received_at for request in other.received) + other.head_pause_s
        self.assertLess(first.received[0].received_at, is_free_at)

    def test_reserved_place_is_not_used_after_its_endpoint_asked_for_a_pause(self) -> None:
        """Guards against requests that reach an endpoint by a place that they reserved before."""
        silent, reserved = self.engines
        self.store.drop("servers", reserved.endpoint)
        wait_until(
            lambda: self.host._scheduler.ask(lambda s: reserved.endpoint not in s._endpoint_by_id)
        )
        silent.head_pause_s = SILENCE_TIMEOUT_S + 1.0
        try_move = self.host._forwarder.try_move
        places = []

        def reserve(job: object) -> Assignment | None:
            assignment = try_move(job)
            if assignment is not None:
                places.append(assignment)
                availability = self.host._scheduler.ask(lambda s: s._availability)
                availability.record_pause(assignment.endpoint, 30.0, time.monotonic())
            return assignment

        with mock.patch.object(self.host._forwarder, "try_move", reserve):
            sent = threading.Thread(target=self.send, args=("/live/x",))
            sent.start()
            wait_until(lambda: bool(silent.received))
            self.store.put("servers", reserved.endpoint, reserved.entry("llm"))
            sent.join()
        self.assertEqual([place.endpoint.endpoint for place in places], [reserved.endpoint])
        self.assertEqual(reserved.received, [])

    def test_orders_reach_an_engine_that_pauses(self) -> None:
        """Guards against a holder that places no models while requests are refused."""
        self.set_pause(self.engines, "30")
        self.send("/live/x")

        def is_ordered() -> bool:
            self.send_request("POST", "/live/x", b"p", Model="m3", Token_Usage="10,10")
            return any("m3" in engine.models for engine in self.engines)

        wait_until(is_ordered)

    def test_odd_values_ask_for_no_pause(self) -> None:
        """Guards against leaving out an endpoint for a value that is no number of seconds."""
        texts = ("", "-5", "nan", "inf", "1e9", "+3", "²", "3 s", "0", "0.0")
        for text in (*texts, "Wed, 21 Oct 2026 07:28:00 GMT"):
            with self.subTest(text=text):
                self.set_pause(self.plain_endpoints, text.encode().decode("latin-1") or " ")
                self.send("/post/x")
                self.set_pause(self.plain_endpoints, "")
                self.assertEqual(self.send("/post/x")[0], 200)

    def test_absurd_pause_is_capped(self) -> None:
        """Guards against an endpoint that is left out for ever."""
        self.set_pause(self.plain_endpoints, "9" * 400)
        self.send("/post/x")
        status, retry_after_s = self.send("/post/x")
        self.assertEqual(status, 503)
        self.assertLessEqual(retry_after_s, MAX_PAUSE_S * 1.25)


class UnsentRequestTest(unittest.TestCase):
    """Requests whose endpoint asks for no more while their connection is opened."""

    def test_request_is_not_sent_after_a_slow_connection(self) -> None:
        """Guards against requests that arrive long after the answer that asked for a pause."""
        endpoint = FakeEndpoint("i-d1")
        endpoint.start()
        self.addCleanup(endpoint.close)
        view = EndpointView(
            endpoint="i-d1", address=endpoint.address, service="s", zone="z", slots=1
        )
        availability = EndpointAvailability()

        class SlowPool(ConnectionPool):
            def acquire(self, *args: object) -> object:
                connection = super().acquire(*args)
                availability.record_pause(view, 3.0, time.monotonic())
                return connection

        connections = SlowPool()
        self.addCleanup(connections.close)
        assignment = Assignment(endpoint=view, attempt=1, priority=0)
        answer = EndpointAnswer(connections, EndpointActivity(), availability, assignment, "r1")
        with self.assertRaises(AttemptError) as caught:
            answer.send("GET", "/", [], b"", 1.0, True, lambda: False)
        self.assertEqual((caught.exception.ran, caught.exception.fault), (Ran.NO, "unavailable"))
        self.assertEqual(endpoint.received, [])


class DecimalTest(unittest.TestCase):
    """Numbers in headers."""

    def test_only_digits_and_a_fraction_are_a_number(self) -> None:
        """Guards against values that ``float`` reads and no header may have."""
        for text, value in (("3", 3.0), ("0.25", 0.25), ("007", 7.0)):
            self.assertEqual(parse_decimal(text), value)
        for text in (
            "",
            ".5",
            "5.",
            "-1",
            "+1",
            "1e3",
            "nan",
            "inf",
            "1_0",
            "٣",
            "²",
            "1 2",
            "1\n",
        ):
            self.assertIsNone(parse_decimal(text), text)


if __name__ == "__main__":
    unittest.main()
