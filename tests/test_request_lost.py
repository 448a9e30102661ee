"""A request that was read gets an answer or a refusal, also beside silence and configurations."""

import errno
import http.client
import socket
import threading
import time
import unittest
from concurrent.futures import Future, ThreadPoolExecutor

from catkinhook.requests.attempts import CountingConnection
from catkinhook.requests.endpointactivity import (
    SILENCE_TIMEOUT_S,
    EndpointActivity,
    read_until_silent,
)
from tests.hostcase import WAIT_S, HostCase, wait_until
from tests.platform_fakes import FakeEndpoint, make_configuration

# The caller of a stream with this objective waits four times as long for the next event.
OBJECTIVE_MS = 1500
TIMEOUT_MS = 12_000
SHORT_TIMEOUT_MS = 400
SHORT_SILENCE_S = SILENCE_TIMEOUT_S + 0.2
LONG_SILENCE_S = 3.0
EVENTS = 5
STREAMS = 6
ENGINE_SLOTS = 8
WAITING_STREAMS = 4
KEPT_CONNECTIONS = 4
# An answer, or a refusal: no such route, no capacity, or the route's short timeout has passed.
ANSWERS = frozenset({200, 404, 503, 504})
CONFIGURATIONS = 20
CONFIGURATION_INTERVAL_S = 0.15


def make_patient_configuration(version: int, **changes: object) -> dict:
    """Return a configuration whose callers wait longer than the silences of these tests."""
    configuration = make_configuration(version, **changes)
    for route in configuration["routes"]:
        route |= {"timeout_ms": TIMEOUT_MS, "target_latency_ms": OBJECTIVE_MS}
    return configuration


class RequestLostTest(HostCase):
    """Callers' requests on a host whose engines fall silent and whose configuration changes."""

    def setUp(self) -> None:
        super().setUp()
        self.version = 1
        self.put_configuration()
        wait_until(lambda: self.host.configuration.version == self.version)
        self.executor = ThreadPoolExecutor(max_workers=32)
        self.addCleanup(self.executor.shutdown)

    def put_configuration(self, **changes: object) -> None:
        """Write a newer configuration."""
        self.version += 1
        self.store.put("op", "config", make_patient_configuration(self.version, **changes))

    def start_stream(
        self, model: str = "m1", path: str = "/live/x"
    ) -> Future[tuple[http.client.HTTPResponse, bytes]]:
        """Request a stream in a thread."""
        headers = {"Model": model, "Token_Usage": "10,20", "Deadline_Ms": str(TIMEOUT_MS)}
        return self.executor.submit(self.send_request, "POST", path, b"p", **headers)

    def find_running_engine(self) -> FakeEndpoint:
        """Wait until an engine has a request, and return it."""
        wait_until(lambda: bool(self.received_requests(self.engines)))
        return next(engine for engine in self.engines if engine.received)

    def check_complete(self, streams: list[Future]) -> None:
        """Check that streams reach their callers with all events."""
        for stream in streams:
            answer, body = stream.result(timeout=WAIT_S)
            self.assertEqual((answer.status, body.count(b"id:")), (200, EVENTS))

    def test_silent_engine_does_not_cut_the_stream_of_its_only_model(self) -> None:
        """A stream must not be cut when its engine is silent and no other has its model."""
        for silence_s in (SHORT_SILENCE_S, LONG_SILENCE_S):
            for engine in self.engines:
                engine.pause_s = silence_s
            streams = [self.start_stream("m2") for _ in range(STREAMS)]
            time.sleep(SILENCE_TIMEOUT_S / 2)
            self.put_configuration()
            self.check_complete(streams)

    def test_silent_engine_does_not_cut_a_stream_that_another_engine_refuses(self) -> None:
        """A stream must not be given up before another engine has taken it."""
        for engine in self.engines:
            engine.pause_s = SHORT_SILENCE_S
        stream = self.start_stream()
        running = self.find_running_engine()
        for engine in self.engines:
            if engine is not running:
                engine.fault = "not-run"
        self.put_configuration()
        self.check_complete([stream])

    def test_stream_without_events_does_not_end_while_its_engine_sends_others(self) -> None:
        """Silence on one connection must not cut a stream either."""
        self.engines[1].pause_s = LONG_SILENCE_S
        stream = self.start_stream("m2")
        wait_until(lambda: bool(self.engines[1].received))
        time.sleep(0.2)
        self.engines[1].pause_s = 0.0
        until = time.monotonic() + LONG_SILENCE_S
        while time.monotonic() < until:
            self.check_complete([self.start_stream("m2")])
            time.sleep(0.1)
        self.check_complete([stream])

    def test_engine_that_is_silent_before_its_answer_is_awaited(self) -> None:
        """A request must not be given up for the silence of the only engine that can run it."""
        self.engines[1].head_pause_s = SHORT_SILENCE_S
        streams = [self.start_stream("m2") for _ in range(STREAMS)]
        time.sleep(SILENCE_TIMEOUT_S / 2)
        self.put_configuration()
        self.check_complete(streams)

    def test_request_leaves_a_silent_engine_for_a_free_one(self) -> None:
        """A request must not wait for a silent engine while another one is free."""
        for engine in self.engines:
            engine.head_pause_s = LONG_SILENCE_S + SHORT_SILENCE_S
        began = time.monotonic()
        stream = self.start_stream()
        running = self.find_running_engine()
        for engine in self.engines:
            if engine is not running:
                engine.head_pause_s = 0.0
        self.check_complete([stream])
        self.assertLess(time.monotonic() - began, LONG_SILENCE_S)

    def test_configurations_do_not_end_running_or_queued_streams(self) -> None:
        """A stream must go on by the configuration under which its request arrived."""
        for engine in self.engines:
            engine.gap_s = CONFIGURATIONS * CONFIGURATION_INTERVAL_S / EVENTS
        streams = [self.start_stream(path=path) for path in ("/live/x", "/digest/x") * ENGINE_SLOTS]
        wait_until(lambda: len(self.received_requests(self.engines)) == len(streams))
        waiting = [self.start_stream() for _ in range(WAITING_STREAMS)]
        wait_until(lambda: self.host.state.in_progress == len(streams) + len(waiting))
        for _ in range(CONFIGURATIONS):
            self.put_changed_configuration()
            time.sleep(CONFIGURATION_INTERVAL_S)
        self.check_complete(streams + waiting)

    def test_configurations_do_not_close_kept_connections_with_a_request(self) -> None:
        """Every request on a kept connection must get an answer or a refusal."""
        is_changing = threading.Event()
        is_changing.set()
        callers = [
            self.executor.submit(self.use_kept_connection, is_changing, path, pause_s)
            for path in ("/look/x", "/post/x")
            for pause_s in (0.0, CONFIGURATION_INTERVAL_S * 2)
            for _ in range(KEPT_CONNECTIONS)
        ]
        for _ in range(CONFIGURATIONS):
            self.put_changed_configuration()
            time.sleep(CONFIGURATION_INTERVAL_S)
        is_changing.clear()
        for caller in callers:
            self.assertLessEqual(caller.result(timeout=WAIT_S), ANSWERS)

    def test_stopping_host_passes_on_no_request_that_it_can_not_finish(self) -> None:
        """A request that arrives when a stop has ended its wait must be refused, not cut."""
        answers = []
        close_log = self.host.log.close

        def close() -> None:
            self.host.log.close = close_log
            # A longer deadline than the time that remains is refused in any case.
            answers.append(self.send_request("GET", "/look/x", Deadline_Ms="300")[0])
            close_log()

        self.host.log.close = close
        self.host.stop()
        self.assertEqual([answer.status for answer in answers], [503])
        self.assertEqual(self.received_requests(self.plain_endpoints), [])

    def put_changed_configuration(self) -> None:
        """Write a configuration that differs in routes, services, timeouts and limits."""
        self.version += 1
        configuration = make_configuration(self.version)
        is_odd = self.version % 2 == 1
        for route in configuration["routes"]:
            route["timeout_ms"] = SHORT_TIMEOUT_MS if is_odd else TIMEOUT_MS
            if is_odd and route["service"] == "desk":
                route["traffic_split"] = [{"service": "desk", "weight": 1.0}]
        if self.version % 3 == 0:
            configuration["routes"] = configuration["routes"][2:3]
        for service in configuration["services"]:
            service["max_conns"] = 1 if is_odd else 100
        if self.version % 5 == 0:
            configuration["services"] = configuration["services"][1:]
        idle_ms = 200 if is_odd else 15_000
        configuration["limits"] = {"idle_timeout_ms": idle_ms, "header_timeout_ms": idle_ms}
        self.store.put("op", "config", configuration)

    def use_kept_connection(
        self, is_changing: threading.Event, path: str, pause_s: float
    ) -> set[int]:
        """Send requests on one connection and return the statuses.

        A closed connection raises an error, unless the answer before it announced the end.
        """
        connection = http.client.HTTPConnection(self.settings.front_address, timeout=WAIT_S)
        self.addCleanup(connection.close)
        connection.connect()
        statuses = set()
        number = 0
        while is_changing.is_set():
            number += 1
            request_id = f"{id(connection):x}-{number}"
            headers = {"Host": "h.example", "Attempt-Id": request_id, "Deadline-Ms": "3000"}
            connection.request("POST" if "post" in path else "GET", path, None, headers)
            response = connection.getresponse()
            response.read()
            statuses.add(response.status)
            time.sleep(pause_s)
        return statuses


class UnreachableEndpointTest(unittest.TestCase):
    """Connections that the kernel closes because their peer is gone."""

    def test_connection_closed_by_the_kernel_does_not_look_like_the_end_of_an_answer(self) -> None:
        """ETIMEDOUT must not be taken for a pause, after which the next read returns no bytes."""
        results = [OSError(errno.ETIMEDOUT, "Connection timed out"), b""]

        def read(timeout_s: float) -> bytes:
            result = results.pop(0)
            if isinstance(result, Exception):
                raise result
            return result

        with self.assertRaises(ConnectionResetError):
            read_until_silent(read, EndpointActivity(), "i-e1", WAIT_S, lambda: False)

    def test_peer_of_a_stream_is_probed(self) -> None:
        """A stream must not wait until its deadline for an engine that is gone."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            connection = CountingConnection(f"127.0.0.1:{listener.getsockname()[1]}", WAIT_S)
            self.addCleanup(connection.close)
            connection.connect()
            connection.probe_peer()
            get = connection.sock.getsockopt
            self.assertEqual(get(socket.SOL_SOCKET, socket.SO_KEEPALIVE), 1)
            options = (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)
            values = [get(socket.IPPROTO_TCP, option) for option in options]
            self.assertEqual(values, [2, 1, 1])


if __name__ == "__main__":
    unittest.main()
