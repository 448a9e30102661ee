"""A refusal counts as "not run" only if it belongs to the request, and a head only if complete.

The fake endpoints count the requests that they run, so that these tests see what a caller can't.
"""

import http.client
import time
import unittest
from http.server import BaseHTTPRequestHandler

from catkinhook.hostsettings import Bounds
from catkinhook.requests.refusals import AVOID_S
from tests.hostcase import REQUEST_ID, HostCase, wait_until
from tests.platform_fakes import FakeEndpoint

EARLIER_ID = "a" * 16
# Shorter than the time for which the host keeps idle connections.
PAUSE_S = 0.05
# Route "look" and resumable streams of the fake configuration.
MAX_ATTEMPTS = 2
LAST_CHUNK = b"0\r\n\r\n"
MODEL_HEADERS = {"Model": "m1", "Token_Usage": "10,10"}


def render_refusal(*request_ids: str, status: str = "503 Service Unavailable") -> bytes:
    """Return a refusal with an id header for each of the ids."""
    ids = "".join(f"Attempt-Id: {request_id}\r\n" for request_id in request_ids)
    return f"HTTP/1.1 {status}\r\nNot-Executed: 1\r\n{ids}Content-Length: 2\r\n\r\n{{}}".encode()


class RefusingEndpoint(FakeEndpoint):
    """Fake endpoint that refuses requests and writes refusals again.

    It refuses requests whose path ends with ``/refused``, and the first request whose path ends
    with ``/refused-once``.

    :ivar repeat: when the earlier refusal is written again: ``""`` for never, ``appended`` to the
        refusal, ``split`` (half of it appended to the refusal, the rest before the next answer),
        ``idle`` (while the connection is idle), ``sent`` (before the next answer on the
        connection), ``late`` (the same, after a pause), ``resume`` (before the answer to a resume,
        on any connection), ``other-connection`` (before the answers on later connections).
    :ivar has_id: whether refusals carry the id of their request.
    :ivar prefix: makes the bytes to write before each answer from the id of the request.
    :ivar kept_prefix: bytes to write before each answer on a connection that was used before.
    :ivar drops_new: whether the first request on each connection is run and not answered.
    :ivar last_chunk: bytes to write where the last chunk of a stream is due.
    :ivar run_ids: ids of the requests that ran.
    :ivar refused: number of requests that were refused.
    :ivar run_ports: client ports of the requests that ran.
    :ivar extra_ports: client ports of connections on which bytes followed a refusal.
    """

    def __init__(self, endpoint: str, models: tuple[str, ...] = ()) -> None:
        super().__init__(endpoint, models)
        self.repeat = ""
        self.has_id = True
        self.prefix = lambda request_id: b""
        self.kept_prefix = b""
        self.drops_new = False
        self.last_chunk = LAST_CHUNK
        self._used_ports: set[int] = set()
        self.run_ids: list[str] = []
        self.refused = 0
        self.run_ports: list[int] = []
        self.extra_ports: set[int] = set()
        self._refused_once: set[str] = set()
        self._earlier_by_port: dict[int, bytes] = {}

    def _handle_request(self, request: BaseHTTPRequestHandler) -> None:
        request_id, port = request.headers["Attempt-Id"], request.client_address[1]
        is_kept = port in self._used_ports
        self._used_ports.add(port)
        try:
            if self._must_refuse(request.path, request_id):
                self._refuse(request, request_id, port)
                return
            self.run_ids.append(request_id)
            self.run_ports.append(port)
            if self.drops_new and not is_kept:
                request.close_connection = True
                return
            self._write_earlier_refusal(request, port)
            request.wfile.write(self.prefix(request_id) + (self.kept_prefix if is_kept else b""))
            super()._handle_request(request)
        except OSError:
            request.close_connection = True  # the host closed the connection

    def _send_stream(self, request: BaseHTTPRequestHandler, echoed: str) -> None:
        write = request.wfile.write
        request.wfile.write = lambda data: write(self.last_chunk if data == LAST_CHUNK else data)
        super()._send_stream(request, echoed)
        request.wfile.write = write

    def _must_refuse(self, path: str, request_id: str) -> bool:
        if path.endswith("/refused-once") and request_id not in self._refused_once:
            self._refused_once.add(request_id)
            return True
        return path.endswith("/refused")

    def _refuse(self, request: BaseHTTPRequestHandler, request_id: str, port: int) -> None:
        self.refused += 1
        refusal = render_refusal(*([request_id] if self.has_id else []))
        half = len(refusal) // 2
        self._earlier_by_port[port] = refusal[half:] if self.repeat == "split" else refusal
        appended = {"appended": refusal, "split": refusal[:half]}.get(self.repeat, b"")
        request.wfile.write(refusal + appended)
        if appended or self.repeat == "idle":
            self.extra_ports.add(port)
        if self.repeat == "idle":
            time.sleep(PAUSE_S / 2)
            request.wfile.write(refusal)

    def _write_earlier_refusal(self, request: BaseHTTPRequestHandler, port: int) -> None:
        is_resume = self.repeat == "resume" and request.headers["Last-Event-Id"]
        if self.repeat == "other-connection" or is_resume:
            request.wfile.write(next(iter(self._earlier_by_port.values()), b""))
            return
        earlier = self._earlier_by_port.pop(port, b"")
        if self.repeat == "late":
            time.sleep(PAUSE_S)
        if self.repeat in ("split", "sent", "late"):
            request.wfile.write(earlier)


class EarlierRefusalTest(HostCase):
    """Refusals of earlier requests, written again by a faulty endpoint."""

    endpoint_class = RefusingEndpoint
    # A retry budget that never ends the attempts of a request.
    bounds = Bounds(lease_s=1.0, grace_s=4.0, retry_slack=10_000.0)

    def setUp(self) -> None:
        super().setUp()
        extra = RefusingEndpoint("i-e3", ("m1",)), RefusingEndpoint("i-d3")
        for endpoint, group, service in zip(
            extra, (self.engines, self.plain_endpoints), ("llm", "desk"), strict=True
        ):
            endpoint.start()
            self.addCleanup(endpoint.close)
            group.append(endpoint)
            self.store.put("servers", endpoint.endpoint, endpoint.entry(service))
        for path, group, headers in (
            ("/look/refused", self.plain_endpoints, {}),
            ("/live/refused", self.engines, MODEL_HEADERS),
        ):
            wait_until(
                lambda group=group, path=path, headers=headers: self.is_known(path, group, headers)
            )
        # The tests repeat requests, which endpoints that refuse all requests don't get.
        time.sleep(AVOID_S)

    def is_known(self, path: str, group: list[RefusingEndpoint], headers: dict[str, str]) -> bool:
        """Return whether the host sends requests to all endpoints of a group."""
        self.send_request("POST", path, b"p", Attempt_Id=EARLIER_ID, **headers)
        return all(endpoint.refused for endpoint in group)

    def refuse_earlier_request(self, group: list[RefusingEndpoint], path: str, **headers) -> None:
        """Have all endpoints of a group refuse a request, and keep the connections idle."""
        for endpoint in group:
            endpoint.refused = 0
            endpoint.run_ids.clear()
            endpoint.run_ports.clear()
        answer, _ = self.send_request("POST", path, b"p", Attempt_Id=EARLIER_ID, **headers)
        self.assertEqual(answer.status, 503)
        self.assertTrue(all(endpoint.refused for endpoint in group))
        time.sleep(max(AVOID_S, PAUSE_S))

    def count_runs(self, group: list[RefusingEndpoint]) -> int:
        """Return how often the endpoints of a group ran the request."""
        return sum(endpoint.run_ids.count(REQUEST_ID) for endpoint in group)

    def check_unknown(self, status: int, group: list[RefusingEndpoint], runs: int) -> None:
        """Check that a request that may have run was neither called "not run" nor sent again."""
        self.assertIn(status, (502, 504))
        self.assertEqual(self.count_runs(group), runs)

    def set_repeat(self, group: list[RefusingEndpoint], repeat: str) -> None:
        """Set when the endpoints of a group write an earlier refusal again."""
        for endpoint in group:
            endpoint.repeat = repeat

    def test_refusal_of_an_earlier_request_is_not_believed(self) -> None:
        """Guards against "not run" for an idempotent request that runs.

        Such a request was sent up to six times where two were allowed, and its caller got 503.
        """
        for repeat in ("sent", "late", "split"):
            with self.subTest(repeat=repeat):
                self.set_repeat(self.plain_endpoints, repeat)
                self.refuse_earlier_request(self.plain_endpoints, "/look/refused")
                answer, _ = self.send_request("POST", "/look/x", b"p")
                self.assertNotEqual(answer.status, 503)
                self.assertLessEqual(self.count_runs(self.plain_endpoints), MAX_ATTEMPTS)

    def test_refusal_of_an_earlier_stream_is_not_believed(self) -> None:
        """Guards against "not run" for a resumable stream that an engine generates."""
        for repeat in ("sent", "late", "split"):
            with self.subTest(repeat=repeat):
                self.set_repeat(self.engines, repeat)
                self.refuse_earlier_request(self.engines, "/live/refused", **MODEL_HEADERS)
                answer, _ = self.send_request("POST", "/live/x", b"p", **MODEL_HEADERS)
                self.assertNotEqual(answer.status, 503)
                self.assertLessEqual(self.count_runs(self.engines), MAX_ATTEMPTS)

    def test_earlier_refusal_of_a_resume_is_not_believed(self) -> None:
        """Guards against more resumes of a stream than its route allows attempts."""
        self.set_repeat(self.engines, "resume")
        self.refuse_earlier_request(self.engines, "/live/refused", **MODEL_HEADERS)
        for engine in self.engines:
            engine.stop_after = 3
        with self.assertRaises(http.client.IncompleteRead):
            self.send_request("POST", "/live/x", b"p", **MODEL_HEADERS)
        self.assertEqual(self.count_runs(self.engines), MAX_ATTEMPTS)

    def test_refusal_of_another_connection_is_not_believed(self) -> None:
        """Guards against a second run of a request that may run once, on a new connection."""
        for group, path, headers in (
            (self.plain_endpoints, "/post", {}),
            (self.engines, "/digest", MODEL_HEADERS),
        ):
            with self.subTest(path=path):
                self.set_repeat(group, "other-connection")
                self.refuse_earlier_request(group, f"{path}/refused", **headers)
                answer, _ = self.send_request("POST", f"{path}/x", b"p", **headers)
                self.check_unknown(answer.status, group, 1)

    def test_connection_with_extra_bytes_is_not_used_again(self) -> None:
        """Guards against reading the rest of a repeated refusal as the next answer."""
        for repeat in ("appended", "idle"):
            with self.subTest(repeat=repeat):
                self.set_repeat(self.plain_endpoints, repeat)
                self.refuse_earlier_request(self.plain_endpoints, "/look/refused")
                answer, _ = self.send_request("POST", "/look/x", b"p")
                self.assertEqual(answer.status, 200)
                self.assertEqual(self.count_runs(self.plain_endpoints), 1)
                for endpoint in self.plain_endpoints:
                    self.assertFalse(endpoint.extra_ports.intersection(endpoint.run_ports))

    def test_earlier_refusal_of_the_same_request_is_not_believed(self) -> None:
        """Guards against "not run" when an endpoint is asked again and repeats its refusal.

        Both attempts have the same id, so only a new connection tells the refusals apart.
        """
        for group, path, headers in (
            (self.plain_endpoints, "/look/refused-once", {}),
            (self.engines, "/live/refused-once", MODEL_HEADERS),
        ):
            with self.subTest(path=path):
                self.set_repeat(group, "sent")
                answer, _ = self.send_request("POST", path, b"p", **headers)
                self.assertEqual(answer.status, 200)
                self.assertEqual(self.count_runs(group), 1)

    def test_refusal_without_id_proves_nothing_on_a_kept_connection(self) -> None:
        """Guards against taking an earlier refusal without an id for that of this request."""
        self.refuse_earlier_request(self.plain_endpoints, "/look/refused")
        for endpoint in self.plain_endpoints:
            endpoint.kept_prefix = render_refusal()
            # A retry uses a new connection, and a third attempt follows only if the first one
            # counts as not run.
            endpoint.drops_new = True
        answer, _ = self.send_request("POST", "/look/x", b"p")
        self.check_unknown(answer.status, self.plain_endpoints, MAX_ATTEMPTS)

    def test_refusal_without_id_is_believed_on_a_new_connection(self) -> None:
        """Guards against 502 for a request that could still run elsewhere."""
        for endpoint in self.plain_endpoints:
            endpoint.has_id = False
        answer, _ = self.send_request("POST", "/post/refused-once", b"p")
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.count_runs(self.plain_endpoints), 1)

    def test_refusal_with_two_ids_is_not_believed(self) -> None:
        """Guards against a refusal that names this request and another one."""
        for endpoint in self.plain_endpoints:
            endpoint.prefix = lambda request_id: render_refusal(request_id, EARLIER_ID)
        answer, _ = self.send_request("POST", "/post/x", b"p")
        self.check_unknown(answer.status, self.plain_endpoints, 1)

    def test_interim_answer_is_not_taken_for_the_answer(self) -> None:
        """Guards against acting on the headers of an answer with status 1xx."""
        for status in ("100 Continue", "103 Early Hints"):
            with self.subTest(status=status):
                for endpoint in self.plain_endpoints:
                    endpoint.run_ids.clear()
                    endpoint.prefix = lambda request_id, status=status: (
                        f"HTTP/1.1 {status}\r\nNot-Executed: 1\r\n"
                        f"Attempt-Id: {request_id}\r\n\r\n".encode()
                    )
                answer, body = self.send_request("POST", "/post/x", b"p")
                self.assertEqual((answer.status, len(body)), (200, 80))
                self.assertEqual(self.count_runs(self.plain_endpoints), 1)

    def test_failure_that_promises_not_run_is_not_passed_on(self) -> None:
        """Guards against a promise to the caller that the endpoint did not give."""
        for status in ("408 Request Timeout", "429 Too Many Requests", "503 Unavailable"):
            with self.subTest(status=status):
                for endpoint in self.plain_endpoints:
                    endpoint.run_ids.clear()
                    endpoint.prefix = lambda request_id, status=status: (
                        f"HTTP/1.1 {status}\r\nAttempt-Id: {request_id}\r\n"
                        "Response-Seal: seal\r\nContent-Length: 0\r\n\r\n".encode()
                    )
                answer, _ = self.send_request("POST", "/post/x", b"p")
                self.assertIsNone(answer.headers["Response-Seal"])
                self.check_unknown(answer.status, self.plain_endpoints, 1)

    def test_stream_is_complete_although_bytes_follow_it(self) -> None:
        """Guards against breaking off a complete stream for bytes that belong to no request."""
        for engine in self.engines:
            engine.last_chunk = LAST_CHUNK + render_refusal(EARLIER_ID)
        for _ in range(3):
            answer, body = self.send_request("POST", "/digest/x", b"p", **MODEL_HEADERS)
            self.assertEqual((answer.status, body.count(b"id: ")), (200, 5))

    def test_refusal_within_a_stream_is_not_believed(self) -> None:
        """Guards against sending a stream again that has begun, and against calling it complete."""
        for engine in self.engines:
            engine.last_chunk = render_refusal(REQUEST_ID)
        with self.assertRaises(http.client.IncompleteRead):
            self.send_request("POST", "/digest/x", b"p", **MODEL_HEADERS)
        self.assertEqual(self.count_runs(self.engines), 1)

    def test_answer_cut_off_within_its_head_is_not_complete(self) -> None:
        """Guards against a success without the body whose length was cut off with the head."""

        def write_half_head(request: BaseHTTPRequestHandler) -> None:
            head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {REQUEST_ID}\r\nResponse-Seal: seal\r\n"
            request.wfile.write(head.encode())
            request.close_connection = True

        for endpoint in self.plain_endpoints:
            endpoint._handle_request = write_half_head
        answer, _ = self.send_request("POST", "/post/x", b"p")
        self.assertEqual(answer.status, 502)


if __name__ == "__main__":
    unittest.main()
