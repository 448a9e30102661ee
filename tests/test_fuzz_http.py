"""Fuzzing of the WSGI application and its server with arbitrary and mutated requests."""

import contextlib
import io
import json
import socket
import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from catkinhook.gateway import StaticSnapshotSource, build_kernel
from tests.gateway_fakes import FakeEndpoint, RetryingDispatcher, make_settings, make_snapshot
from tests.test_fuzz_store import VALUES, mutate

MAX_BODY = 10_000
HANG_S = 5.0
CHAT = "/v1/chat/completions"
COMPLETION = {"model": "summary/ar", "messages": [{"role": "user", "content": "x"}]}
COMPLETION |= {"prompt": "p", "stream": True, "max_tokens": 2}
TEXTS = st.text(st.characters(max_codepoint=255), max_size=12)
METHODS = st.sampled_from(["GET", "POST", "PUT", "HEAD", "OPTIONS", "DELETE", "TRACE", "X", ""])
PARTS = "/v1/|completions|models|deferred/|/services/ledger|drafts|/|postings|balance|..|.|;|%2e|\\"
PART = TEXTS | st.sampled_from([*PARTS.split("|"), "\0", "\xff", "\xc3\xa9"])
PATHS = st.sampled_from([CHAT, "/services/ledger/postings"]) | st.lists(PART).map("".join)
NAMES = ["AUTHORIZATION", "X_CALLER_CLASS", "PREFER", "IDEMPOTENCY_KEY", "ACCEPT", "IF_MATCH"]
VALUE = st.sampled_from(["Bearer x", "night", "live", "respond-async", "k"]) | TEXTS
HEADERS = st.dictionaries(st.sampled_from([f"HTTP_{name}" for name in NAMES]), VALUE, max_size=4)
FIELDS = st.tuples(st.sampled_from(list(COMPLETION)), VALUES).map(lambda pair: dict([pair]))
JSON = mutate(COMPLETION) | FIELDS.map(lambda fields: COMPLETION | fields)
BODIES = st.binary(max_size=40) | JSON.map(json.dumps).map(str.encode)
DEEPLY_NESTED = b'{"model":"summary","messages":[{"content":' + b"[" * 900 + b"]" * 900 + b"}]}"
HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
GET = b"GET /healthz HTTP/1.0\r\n\r\n"
LINES = b"\r\n|Content-Length: 5\r\n|Content-Length: -1\r\n|{}|\0|Transfer-Encoding: chunked\r\n"
LINES += b"|5\r\nhello\r\n|0\r\n\r\n|X-Y: \xff\r\n|GET /%ff%00 HTTP/1.1\r\n\r\n"


class HttpTest(unittest.TestCase):
    def setUp(self) -> None:
        self.endpoints = [FakeEndpoint(), FakeEndpoint("ledger", "plain")]
        # The fake engine answers any completion; its parsing of prompts is not under test.
        self.endpoints[0].on_request = self.answer
        source = StaticSnapshotSource(
            make_snapshot(*[endpoint.view() for endpoint in self.endpoints])
        )
        options = make_settings(max_body=MAX_BODY, gap_timeout=2.0, concurrent_requests=2)
        kernel = build_kernel(options, source, RetryingDispatcher(10**6))
        kernel.start()
        for part in (kernel, *self.endpoints):
            self.addCleanup(part.close)
        self.address = ("127.0.0.1", kernel.find("listener").port)
        self.application = kernel.find("listener")._application

    def answer(self, request) -> tuple | None:
        if request.method != "POST":
            return None
        data = f"id: {request.headers['x-request-id']}:1\ndata: [DONE]\n\n"
        return 200, {"Content-Type": request.headers["accept"]}, data.encode()

    def call(self, method: str, path: str, query: str, headers: dict, body: bytes) -> tuple:
        environ = {"REQUEST_METHOD": method, "PATH_INFO": path, "QUERY_STRING": query, **headers}
        environ["wsgi.input"], started = io.BytesIO(body), []
        reply = self.application(environ, lambda *head: started.append(head))
        content = b"".join(reply)
        getattr(reply, "close", lambda: None)()
        ((status, found),) = started
        return int(status[:3]), dict(found), content

    def test_arbitrary_requests(self) -> None:
        """Guards against status 500, malformed answers, a wrong ``ran`` and leaked slots."""

        @settings(max_examples=400)
        @given(METHODS, PATHS, TEXTS, HEADERS, BODIES)
        @example("POST", CHAT, "", {}, DEEPLY_NESTED)
        @example("POST", CHAT, "", {}, b"x" * (MAX_BODY + 1))
        @example("GET", "/v1/deferred/\xff", "", {}, b"")
        def check(method: str, path: str, query: str, headers: dict, body: bytes) -> None:
            before = sum(len(endpoint.received) for endpoint in self.endpoints)
            status, found, content = self.call(method, path, query, headers, body)
            self.assertTrue(200 <= status < 600 and status != 500, content)
            self.assertEqual(int(found.get("Content-Length", len(content))), len(content))
            if status >= 400:
                self.assertEqual(found["Content-Type"], "application/problem+json")
                problem = json.loads(content)
                sent = sum(len(endpoint.received) for endpoint in self.endpoints) > before
                ran = "unknown" if sent else "no"
                self.assertEqual((problem["status"], problem["ran"]), (status, ran))
            self.assertEqual(self.application._slots.in_use, 0)

        check()

    def test_unknown_class_names_create_no_time_series(self) -> None:
        """Guards against memory that grows with each class name that a caller invents."""
        headers = {"HTTP_X_CALLER_CLASS": "made-up"}
        self.assertEqual(self.call("GET", "/services/ledger/balance", "", headers, b"")[0], 200)
        self.assertNotIn(b"made-up", self.application._metrics.render())

    def test_arbitrary_bytes(self) -> None:
        """Guards against input that stops the listener or leaks slots."""

        def send(parts: list[bytes], timeout_s: float = 0.03) -> bytes:
            with socket.create_connection(self.address, HANG_S) as connection:
                connection.sendall(b"".join(parts))
                # waitress discards a request if the sender has closed its side of the connection.
                connection.settimeout(timeout_s)
                answer = b""
                with contextlib.suppress(TimeoutError, ConnectionResetError):
                    while data := connection.recv(65_536):
                        answer += data
                return answer

        @settings(max_examples=60)
        @given(st.lists(st.sampled_from([HEAD, GET, *LINES.split(b"|")]) | st.binary(max_size=9)))
        def check(parts: list[bytes]) -> None:
            self.assertRegex(send(parts), rb"^(HTTP/1\.[01] (?!500)|$)")

        check()
        self.assertIn(b" 200 ", send([GET], HANG_S))
        self.assertEqual(self.application._slots.in_use, 0)
