"""A configuration changes the routes and services of requests that are in progress."""

import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler

from catkinhook.unanswered import APPLICATION
from tests.connectioncase import HEADERS, ConnectionCase
from tests.hostcase import wait_until
from tests.platform_fakes import FakeEndpoint, make_configuration

EVENTS = 5
LOOKUP = f"GET /look/x HTTP/1.1\r\n{HEADERS}\r\n"
POST = f"POST /post/x HTTP/1.1\r\n{HEADERS}Content-Length: 0\r\n\r\n"
LIVE = f"POST /live/x HTTP/1.1\r\n{HEADERS}Model: m1\r\nContent-Length: 0\r\n\r\n"
SHORT_TIMEOUT_MS = 1000
LONG_TIMEOUT_MS = 8000
GAP_S = 0.5
# A large configuration, and how often it changes while callers send requests.
ROUTES = 600
SERVICES = 20
MODELS = 100
CHANGES = 8
# Callers abandon a connection whose host has not read their request after this time.
CALLER_PATIENCE_S = 1.0


class ChangingEndpoint(FakeEndpoint):
    """Endpoint that runs a function and answers with a fault when it gets the first request.

    :ivar change: the function, None after the first request of all endpoints.
    """

    change: Callable[[], None] | None = None
    first_fault = ""
    first_stop_after = 0
    _lock = threading.Lock()

    def _handle_request(self, request: BaseHTTPRequestHandler) -> None:
        cls = type(self)
        with self._lock:
            change, cls.change = cls.change, None
        if change is not None:
            change()
            self.fault, self.stop_after = cls.first_fault, cls.first_stop_after
        super()._handle_request(request)
        self.fault, self.stop_after = "", 0


class ChangeBetweenAttemptsTest(ConnectionCase):
    """The route and service of a request are removed before its second attempt."""

    endpoint_class = ChangingEndpoint

    def fail_first_attempt(self, fault: str, stop_after: int = 0) -> None:
        """Let the first attempt fail after routes and services were removed."""
        ChangingEndpoint.change = self.remove_routes
        ChangingEndpoint.first_fault, ChangingEndpoint.first_stop_after = fault, stop_after

    def remove_routes(self) -> None:
        """Write a configuration without routes and services, and wait until it is in force."""
        self.store.put("op", "config", make_configuration(2, routes=[], services=[]))
        wait_until(lambda: self.host.configuration.version == 2)

    def check_answered(self, request: str, events: int = 0) -> None:
        """Check that a request is answered by the second endpoint, and a new one refused."""
        status, body = self.exchange(request)
        self.assertEqual((status, body.count(b"id:")), (200, events))
        self.assertEqual(self.exchange(request)[0], 404)
        self.check_nothing_is_held()

    def test_refused_lookup_goes_on_without_its_route(self) -> None:
        """A request that one endpoint refused must still reach another one."""
        self.fail_first_attempt("not-run")
        self.check_answered(LOOKUP)

    def test_lookup_that_broke_goes_on_without_its_route(self) -> None:
        """A request whose first endpoint closed the connection must still be repeated."""
        self.fail_first_attempt("reset")
        self.check_answered(LOOKUP)

    def test_refused_posting_goes_on_without_its_route(self) -> None:
        """A request that may run once, and was not run, must still reach another endpoint."""
        self.fail_first_attempt("not-run")
        self.check_answered(POST)

    def test_refused_stream_goes_on_without_its_service(self) -> None:
        """A stream must not need the specification of its service for another attempt."""
        self.fail_first_attempt("not-run")
        self.check_answered(LIVE, EVENTS)

    def test_broken_stream_goes_on_without_its_service(self) -> None:
        """A stream that its caller has in part must still be resumed."""
        self.fail_first_attempt("", stop_after=2)
        self.check_answered(LIVE, EVENTS)


class LimitTest(ConnectionCase):
    """A route's timeout changes while a stream runs."""

    def setUp(self) -> None:
        super().setUp()
        for engine in self.engines:
            engine.gap_s = GAP_S

    def put_timeout(self, version: int, timeout_ms: int) -> None:
        """Write a configuration with a timeout for all routes."""
        configuration = make_configuration(version)
        for route in configuration["routes"]:
            route["timeout_ms"] = timeout_ms
        self.store.put("op", "config", configuration)
        wait_until(lambda: self.host.configuration.version == version)

    def stream(self, timeout_ms: int, later_timeout_ms: int) -> tuple[int, float]:
        """Change the timeout under a stream, and return its events and seconds."""
        self.put_timeout(2, timeout_ms)
        caller = self.connect()
        began = time.monotonic()
        caller.send(LIVE.replace("Deadline-Ms: 3000", f"Deadline-Ms: {LONG_TIMEOUT_MS}"))
        wait_until(lambda: bool(self.received_requests(self.engines)))
        self.put_timeout(3, later_timeout_ms)
        data = b""
        while part := caller.sock.recv(65536):
            data += part
            if data.endswith(b"0\r\n\r\n"):
                break
        return data.count(b"id:"), time.monotonic() - began

    def test_longer_timeout_holds_for_later_requests_only(self) -> None:
        """A request must have one limit, which its endpoint knows: that of its arrival."""
        events, seconds = self.stream(SHORT_TIMEOUT_MS, LONG_TIMEOUT_MS)
        self.assertLess(events, EVENTS)
        self.assertGreater(seconds, SHORT_TIMEOUT_MS / 1000 - 0.1)
        self.assertLess(seconds, EVENTS * GAP_S)
        wait_until(lambda: self.count_unanswered(APPLICATION) == 1)

    def test_shorter_timeout_does_not_cut_a_stream(self) -> None:
        """A stream that began with more time must keep it."""
        events, _ = self.stream(LONG_TIMEOUT_MS, SHORT_TIMEOUT_MS)
        self.assertEqual(events, EVENTS)
        self.check_nothing_is_held()


class LargeConfigurationTest(ConnectionCase):
    """Configurations with hundreds of routes, and models in the thousands."""

    def put_large_configuration(self, version: int) -> None:
        """Write a configuration that takes a while to decode."""
        configuration = make_configuration(version)
        route, engine = configuration["routes"][-1], configuration["services"][0]
        model = engine["engine"]["models"][0]
        models = [{**model, "name": f"x{number}"} for number in range(MODELS)]
        configuration["routes"] += [
            {**route, "name": f"r{number}", "path_prefix": f"/r{number}/"}
            for number in range(ROUTES)
        ]
        configuration["services"] += [
            {**engine, "name": f"s{number}", "engine": {**engine["engine"], "models": models}}
            for number in range(SERVICES)
        ]
        self.store.put("op", "config", configuration)

    def measure_slowest(self, is_changing: threading.Event) -> float:
        """Send lookups until the changes have ended, and return the seconds of the slowest."""
        caller, slowest_s = self.connect(), 0.0
        while is_changing.is_set():
            began = time.monotonic()
            caller.send(LOOKUP)
            self.assertEqual(caller.read_answer()[0], 200)
            slowest_s = max(slowest_s, time.monotonic() - began)
        return slowest_s

    def test_large_configurations_hold_up_no_request(self) -> None:
        """Decoding must not hold the threads that read requests until their callers give up."""
        is_changing = threading.Event()
        is_changing.set()
        slowest: list[float] = []
        thread = threading.Thread(target=lambda: slowest.append(self.measure_slowest(is_changing)))
        thread.start()
        for version in range(2, 2 + CHANGES):
            self.put_large_configuration(version)
            wait_until(lambda version=version: self.host.configuration.version == version)
        is_changing.clear()
        thread.join()
        self.assertLess(slowest[0], CALLER_PATIENCE_S)
