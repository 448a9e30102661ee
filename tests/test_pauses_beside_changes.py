"""A host cuts no request while endpoints pause for up to 2 s, with or without changes."""

import collections
import http.client
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http.server import BaseHTTPRequestHandler

from catkinhook.unanswered import APPLICATION, EARLIER_ANSWER, HOST_CLOSED, LOOP_ERROR, UNHANDLED
from tests.connectioncase import ConnectionCase
from tests.hostcase import WAIT_S, wait_until
from tests.platform_fakes import FakeEndpoint, make_configuration

SEED = 24
DURATION_S = 6.0
CALLERS = 24
CHANGE_INTERVAL_S = 0.2
# Pauses of sound endpoints. Callers of streams wait longer for the next event.
PAUSES_S = (0.5, 2.0)
PAUSE_SHARE = 0.15
EVENTS = 5
TIMEOUT_MS = 12_000
OBJECTIVE_MS = 1500
# Timeouts change by an eighth at most, so no request of this test reaches one.
TIMEOUT_FACTORS = (1.0, 0.875, 1.125)
SLOTS = 16
PATHS = ("/live/x", "/digest/x", "/look/x", "/post/x")
# What the host may answer in place of an endpoint: no such route, or no place for the request.
REFUSALS = frozenset({404, 502, 503, 504})

Ends = collections.Counter[tuple[str, str]]


class PausingEndpoint(FakeEndpoint):
    """Endpoint that pauses before its answer or before one of its events, and goes on."""

    def __init__(self, endpoint: str, models: tuple[str, ...] = ()) -> None:
        super().__init__(endpoint, models)
        self._rng = random.Random(f"{SEED}/{endpoint}")
        self._rng_lock = threading.Lock()

    def entry(self, service: str, zone: str = "z1") -> dict:
        """Return the endpoint's entry in the store."""
        return {**super().entry(service, zone), "slots": SLOTS}

    def handle(self, request: BaseHTTPRequestHandler) -> None:
        """Answer one request."""
        is_probe = request.path in ("/report", "/order")
        write = request.wfile.write

        def write_with_pause(data: bytes) -> int:
            # The pause may be in the middle of a head, an event or a body.
            split = self._choose_split(len(data))
            if split:
                write(data[:split])
            self._pause()
            return write(data[split:]) + split

        if not is_probe:
            self._pause()
            request.wfile.write = write_with_pause
        try:
            super().handle(request)
        except OSError:
            # The host has left this endpoint for another one.
            request.close_connection = True
        finally:
            request.wfile.write = write

    def _choose_split(self, length: int) -> int:
        with self._rng_lock:
            return self._rng.randrange(length) if length else 0

    def _pause(self) -> None:
        with self._rng_lock:
            is_pausing = self._rng.random() < PAUSE_SHARE
            pause_s = self._rng.uniform(*PAUSES_S) if is_pausing else 0.0
        time.sleep(pause_s)


class PausesBesideChangesTest(ConnectionCase):
    """Callers of a host whose endpoints pause, with and without changes of the configuration."""

    endpoint_class = PausingEndpoint

    def setUp(self) -> None:
        super().setUp()
        self.spare = PausingEndpoint("i-e3", ("m1", "m2"))
        self.spare.start()
        self.addCleanup(self.spare.close)
        self.store.put("servers", "i-e3", self.spare.entry("llm-2"))
        self.version = 1
        self.put_configuration()
        wait_until(lambda: self.host.configuration.version == self.version)
        self.executor = ThreadPoolExecutor(CALLERS)
        self.addCleanup(self.executor.shutdown)

    def put_configuration(self) -> None:
        """Write a newer configuration; with its version, weights, timeouts and routes differ."""
        self.version += 1
        configuration = make_configuration(self.version)
        services = configuration["services"]
        services.append({**next(s for s in services if s["name"] == "llm"), "name": "llm-2"})
        routes = configuration["routes"]
        factor = TIMEOUT_FACTORS[self.version % len(TIMEOUT_FACTORS)]
        for route in routes:
            route |= {"timeout_ms": TIMEOUT_MS * factor, "target_latency_ms": OBJECTIVE_MS}
            if route["service"] == "llm":
                other_weight = self.version % 3
                route["traffic_split"] = [
                    {"service": "llm", "weight": 2 - other_weight},
                    {"service": "llm-2", "weight": other_weight},
                ]
        if self.version % 4 == 0:
            del routes[self.version // 4 % len(routes)]
        if self.version % 5 == 0:
            routes.append({**routes[-1], "name": "added", "path_prefix": "/added/"})
        idle_ms = 200 if self.version % 2 else 15_000
        configuration["limits"] = {"idle_timeout_ms": idle_ms, "header_timeout_ms": idle_ms}
        self.store.put("op", "config", configuration)

    def call_until(self, number: int, until: float) -> Ends:
        """Send requests one after the other, and count how they end."""
        rng = random.Random(f"{SEED}/{number}")
        is_kept = number % 2 == 0
        connection = http.client.HTTPConnection(self.settings.front_address, timeout=2 * WAIT_S)
        ends: Ends = collections.Counter()
        while time.monotonic() < until:
            path = rng.choice(PATHS)
            ends[path, self.call(connection, path, rng)] += 1
            if not is_kept:
                connection.close()
        connection.close()
        return ends

    def call(self, connection: http.client.HTTPConnection, path: str, rng: random.Random) -> str:
        """Send one request and return how it ended."""
        headers = {
            "Host": "h.example",
            "Attempt-Id": f"{rng.getrandbits(64):016x}",
            "Deadline-Ms": str(2 * TIMEOUT_MS),
        }
        is_stream = path in PATHS[:2]
        if is_stream:
            headers |= {"Model": rng.choice(("m1", "m2")), "Token-Usage": "10,20"}
        try:
            connection.request("GET" if "look" in path else "POST", path, None, headers)
            response = connection.getresponse()
            body = response.read()
        except (http.client.HTTPException, OSError):
            connection.close()
            return "cut"
        if response.status in REFUSALS:
            return "refused"
        is_whole = not is_stream or body.count(b"id:") == EVENTS
        return "answered" if response.status == 200 and is_whole else "cut"

    def play(self, has_changes: bool) -> Ends:
        """Let all callers send requests for a while, and return how they ended."""
        until = time.monotonic() + DURATION_S
        callers = [self.executor.submit(self.call_until, n, until) for n in range(CALLERS)]
        while time.monotonic() < until:
            time.sleep(CHANGE_INTERVAL_S)
            if has_changes:
                self.put_configuration()
        # A caller waits for one more answer after the end.
        return sum((caller.result(3 * WAIT_S) for caller in callers), collections.Counter())

    def check_play(self, has_changes: bool) -> Ends:
        """Check that each request was answered or refused, and nothing is held afterwards."""
        ends = self.play(has_changes)
        cut = {key: count for key, count in ends.items() if key[1] == "cut"}
        self.assertEqual(cut, {}, ends)
        for path in PATHS:
            self.assertGreater(ends[path, "answered"], 0, ends)
        for why in (APPLICATION, EARLIER_ANSWER, HOST_CLOSED, LOOP_ERROR, UNHANDLED):
            self.assertEqual(self.count_unanswered(why), 0, why)
        self.check_nothing_is_held()
        return ends

    def test_pauses_cut_no_request(self) -> None:
        """A pause of a sound endpoint must not end a request that waits for it."""
        self.check_play(has_changes=False)

    def test_pauses_cut_no_request_beside_changes(self) -> None:
        """A change of the configuration must end no request either, nor shorten its wait."""
        self.check_play(has_changes=True)
        wait_until(lambda: self.host.configuration.version == self.version)
