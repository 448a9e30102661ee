"""Gateway over HTTP with fake endpoints."""

import json
import random
import signal
import subprocess
import sys
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

import attrs
import urllib3

from catkinhook.durable.deferred import DeferredStore
from catkinhook.durable.quarantine import QuarantineTable, State
from catkinhook.emulators.inmemory import MemoryObjectStore, MemoryTable
from catkinhook.gateway import StaticSnapshotSource, build_kernel
from catkinhook.requests.gatewaydispatcher import Dispatcher
from catkinhook.requests.intake import make_fingerprint
from catkinhook.requests.outcomes import Outcome
from catkinhook.units import KIB, MIB
from tests.gateway_fakes import Cut, FakeEndpoint, RetryingDispatcher, make_settings, make_snapshot

WAIT_S = 10.0


def wait_for(condition, seconds: float = WAIT_S) -> bool:
    """Return whether a condition becomes true within the timeout, which only detects hangs."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.005)
    return True


def open_stream(url: str, **fields: object) -> urllib3.BaseHTTPResponse:
    """Open a stream and return its response without reading it."""
    body = json.dumps({"model": "summary", "prompt": "p", "stream": True, **fields}).encode()
    path = url + "/v1/completions"
    return urllib3.request("POST", path, body=body, retries=False, preload_content=False)


class GatewayCase(unittest.TestCase):
    def setUp(self) -> None:
        self.engine, self.ledger = FakeEndpoint(), FakeEndpoint("ledger", "plain")
        self.addCleanup(self.engine.close)
        self.addCleanup(self.ledger.close)
        self.dispatcher = RetryingDispatcher()
        self.start(self.engine, self.ledger)

    def start(self, *endpoints: FakeEndpoint, **services: object) -> None:
        """Start a gateway with these endpoints."""
        views = [endpoint.view(str(index)) for index, endpoint in enumerate(endpoints)]
        settings = make_settings(gap_timeout=2.0, max_body=10_000, max_held=MIB)
        source = StaticSnapshotSource(make_snapshot(*views))
        self.kernel = build_kernel(settings, source, self.dispatcher, **services)
        self.kernel.start()
        self.addCleanup(self.kernel.close)
        self.url = f"http://127.0.0.1:{self.kernel.find('listener').port}"

    def check_outcomes(self, outcomes: list[Outcome]) -> None:
        """Check the outcomes of attempts, which the dispatcher receives with a delay."""
        wait_for(lambda: len(self.dispatcher.outcomes) >= len(outcomes))
        self.assertEqual(self.dispatcher.outcomes, outcomes)

    def post(self, **fields: object) -> urllib3.BaseHTTPResponse:
        return self.call("POST", "/v1/completions", {"model": "summary", "prompt": "p", **fields})

    def call(
        self, method: str, path: str, fields: object = None, **headers: str
    ) -> urllib3.BaseHTTPResponse:
        body = fields if isinstance(fields, bytes) else json.dumps(fields or {}).encode()
        url = self.url + path
        return urllib3.request(method, url, body=body, headers=headers, retries=False)


class GatewayTest(GatewayCase):
    def test_plain_completion(self) -> None:
        answer = self.post()
        self.assertEqual(answer.status, 200, answer.data)
        self.assertEqual(answer.json()["choices"][0]["text"], "p-0 p-1 p-2")

    def test_streamed_completion(self) -> None:
        answer = self.post(stream=True)
        self.assertEqual(answer.headers["content-type"], "text/event-stream")
        lines = [line for line in answer.data.decode().split("\n\n") if line]
        self.assertEqual(lines[-1], "data: [DONE]")
        self.assertEqual(len(lines), 4)

    def test_plain_service_gets_path_and_query(self) -> None:
        answer = self.call("GET", "/services/ledger/balance/a%20b?month=5")
        self.assertEqual(answer.status, 200, answer.data)
        self.assertEqual(self.ledger.received[-1].path, "/balance/a%20b?month=5")

    def test_invalid_requests_get_correct_problem_documents(self) -> None:
        """Guards against 5xx answers, hangs and a wrong ``ran`` for requests that can't run."""
        post, chat = "POST", "/v1/completions"
        cases = [
            (post, chat, b"{", 400),
            (post, chat, b"[" * 9_000, 400),
            (post, chat, {"model": 3}, 400),
            (post, chat, {"model": "nope", "prompt": "p"}, 404),
            (post, chat, {"model": "summary/nope", "prompt": "p"}, 404),
            (post, chat, {"model": "summary", "prompt": "p", "stream": "yes"}, 400),
            (post, chat, {"model": "summary", "prompt": "p", "max_tokens": -1}, 400),
            (post, chat, b"x" * 10_001, 413),
            ("GET", chat, b"", 405),
            ("GET", "/nothing", b"", 404),
            ("GET", "/services/nope/x", b"", 404),
            ("GET", "/services/drafts/x", b"", 404),
            (post, "/services/ledger/postings", b"", 400),
            (post, "/services/ledger/balance/../postings", b"", 400),
            (post, "/services/ledger//postings", b"", 400),
            (post, "/services/ledger/unlisted", b"", 400),
        ]
        for method, path, body, status in cases:
            with self.subTest(path=path, status=status):
                answer = self.call(method, path, body)
                self.assertEqual(answer.status, status, answer.data)
                self.assertEqual(answer.headers["content-type"], "application/problem+json")
                self.assertEqual(answer.json()["ran"], "no")
        self.assertEqual(self.engine.received + self.ledger.received, [])

    def test_without_claims_a_posting_is_refused(self) -> None:
        """Guards against postings that run without a claim."""
        answer = self.call("POST", "/services/ledger/postings", **{"Idempotency-Key": "k"})
        self.assertEqual((answer.status, answer.json()["ran"]), (503, "no"))
        self.assertEqual(self.ledger.received, [])

    def test_health_models_and_metrics(self) -> None:
        self.post()
        for path in ("/healthz", "/readyz"):
            self.assertEqual(self.call("GET", path).status, 200)
        models = [model["id"] for model in self.call("GET", "/v1/models").json()["data"]]
        self.assertEqual(models, ["summary", "summary/ar"])
        text = self.call("GET", "/metrics").data.decode()
        self.assertIn('catkinhook_attempts_total{outcome="completed",service="drafts"} 1.0', text)

    def test_full_gateway_refuses_at_once(self) -> None:
        """Guards against queueing behind busy threads, and against blocked health checks."""
        release = threading.Event()
        self.addCleanup(release.set)
        self.engine.on_event = lambda a, n, block: [block] if n < 2 or release.wait(9) else []
        streams = [open_stream(self.url) for _ in range(8)]
        started = time.monotonic()
        answer = self.post()
        self.assertEqual((answer.status, answer.json()["ran"]), (503, "no"))
        self.assertEqual(self.call("GET", "/healthz").status, 200)
        self.assertLess(time.monotonic() - started, 2.0)
        release.set()
        for stream in streams:
            self.assertIn(b"[DONE]", stream.read())

    def test_disconnect_of_the_caller_cancels_the_request(self) -> None:
        """Guards against engines that generate tokens after the caller disconnected."""
        release = threading.Event()
        self.addCleanup(release.set)
        self.engine.on_event = lambda a, n, block: [block] if n < 2 or release.wait(9) else []
        stream = open_stream(self.url)
        stream.read1(10)
        stream.close()
        self.assertTrue(wait_for(lambda: len(self.engine.cancelled) == 1))
        self.check_outcomes([Outcome.CANCELLED])

    def test_slow_caller_does_not_delay_others(self) -> None:
        """Guards against a shared relay thread that blocks on one caller, and lost bytes."""
        filler = b"x" * 200_000
        large: list[str] = []

        def fill(attempt: str, sequence: int, block: bytes) -> list[bytes]:
            if not large:
                large.append(attempt)
            return [block.replace(b"p-", filler) if attempt in large else block]

        self.engine.on_event = fill
        slow = open_stream(self.url, max_tokens=100)
        self.assertIn(b"[DONE]", self.post(stream=True, max_tokens=20).data)
        data = slow.read()
        self.assertEqual(data.count(filler), 100)
        self.assertTrue(data.endswith(b"data: [DONE]\n\n"))

    def test_crash_before_the_first_token_is_retried_elsewhere(self) -> None:
        """Guards against an error response although a retry was possible."""
        second = FakeEndpoint()
        self.addCleanup(second.close)
        self.start(self.engine, second)
        engines = [self.engine, second]

        def crash_once(request: object) -> None:
            for engine in engines:
                engine.on_request = lambda request: None
            crashed = self.engine if request in self.engine.received else second
            crashed.crash()

        for engine in engines:
            engine.on_request = crash_once
        self.assertIn(b"[DONE]", self.post(stream=True).data)
        self.check_outcomes([Outcome.CRASHED, Outcome.COMPLETED])

    def test_crash_after_the_first_token_ends_with_an_error_event(self) -> None:
        """Guards against a second engine continuing or repeating a stream that was partly sent."""

        def crash_late(attempt: str, sequence: int, block: bytes) -> list[bytes]:
            if sequence == 2:
                self.engine.crash()
                raise Cut
            return [block]

        self.engine.on_event = crash_late
        data = self.post(stream=True).data
        self.assertIn(b"event: error", data)
        self.assertNotIn(b"[DONE]", data)
        self.check_outcomes([Outcome.CRASHED])

    def test_quarantine_of_other_gateways_is_applied(self) -> None:
        """Guards against running a crashing request on a gateway that saw none of its crashes."""
        table = QuarantineTable(MemoryTable())
        self.start(self.engine, quarantine=table)
        self.assertEqual(self.post().status, 200)
        completion = json.dumps({"model": "summary", "prompt": "p"}).encode()
        table.record_state(make_fingerprint("drafts", "summary", "", completion), State.QUARANTINED)
        self.kernel.find("quarantine").refresh()
        answer = self.call("POST", "/v1/completions", completion)
        self.assertEqual((answer.status, answer.json()["ran"]), (422, "no"))
        self.assertEqual(self.engine.count("/v1/completions"), 1)

    def test_retry_of_a_suspect_is_reserved(self) -> None:
        """Guards against concurrent retries of a crashing request by several gateways."""
        self.dispatcher = Dispatcher("a", random.Random(1))
        pick = self.dispatcher.pick
        self.dispatcher.pick = lambda *a: pick(*a).map(lambda c: attrs.evolve(c, probe=True))
        table = QuarantineTable(MemoryTable())
        self.start(self.engine, quarantine=table)
        completion = json.dumps({"model": "summary", "prompt": "p"}).encode()
        table.begin_probe(
            make_fingerprint("drafts", "summary", "", completion), "drafts/e9"
        ).unwrap()
        answer = self.call("POST", "/v1/completions", completion)
        self.assertEqual((answer.status, answer.json()["ran"]), (503, "no"))
        self.assertEqual(self.engine.received, [])

    def test_restart_is_detected_by_boot_id(self) -> None:
        """Guards against mistaking a restart of the engine for a lost connection."""

        def restart(attempt: str, sequence: int, block: bytes) -> list[bytes]:
            if sequence == 2:
                self.engine.boot_id = "next"
                self.engine.events_by_attempt.clear()
                raise ConnectionAbortedError
            return [block]

        self.engine.on_event = restart
        self.assertIn(b"event: error", self.post(stream=True).data)
        self.check_outcomes([Outcome.CRASHED])


class HeldAnswersTest(GatewayCase):
    """Answers that several requests hold at once."""

    def test_held_answers_are_bounded_together(self) -> None:
        """Answers that are allowed one by one must not fill the memory of a gateway together."""
        self.ledger.on_request = lambda request: (200, {}, b"x" * (512 * KIB))
        with ThreadPoolExecutor(8) as executor:
            calls = [executor.submit(self.call, "GET", "/services/ledger/x") for _ in range(8)]
            statuses = {call.result().status for call in calls}
        self.assertLessEqual(statuses, {200, 502})
        self.ledger.on_request = lambda request: (200, {}, b"x" * (2 * MIB))
        answer = self.call("GET", "/services/ledger/x")
        self.assertEqual(answer.status, 502)
        self.assertIn(b"more bytes than this process can hold", answer.data)
        self.ledger.on_request = lambda request: None
        self.assertEqual(self.call("GET", "/services/ledger/x").status, 200)


class DeferredTest(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        self.table, self.objects = MemoryTable(), MemoryObjectStore()
        self.start_deferred()

    def start_deferred(self) -> None:
        """Start a gateway with the same table and engine."""
        deferred = DeferredStore(self.table, self.objects, 2.0, 60.0, random.Random(1))
        self.start(self.engine, deferred=deferred)

    def defer(self, **headers: str) -> urllib3.BaseHTTPResponse:
        """Send a request with ``Prefer: respond-async``."""
        all_headers = {"Prefer": "respond-async", "X-Caller-Class": "night", **headers}
        fields = {"model": "summary", "prompt": "late"}
        return self.call("POST", "/v1/completions", fields, **all_headers)

    def test_deferred_request_is_answered_later(self) -> None:
        """Guards against accepted requests that are lost while no engine can run them."""
        self.engine.on_request = lambda request: (503, {"X-Not-Run": "1"}, b"{}")
        accepted = self.defer()
        self.assertEqual(accepted.status, 202, accepted.data)
        location = accepted.headers["location"]
        self.assertTrue(wait_for(lambda: self.engine.count("/v1/completions") > 0))
        self.assertEqual(self.call("GET", location).status, 202)
        self.engine.on_request = lambda request: None
        self.assertTrue(wait_for(lambda: self.call("GET", location).status == 200))
        text = self.call("GET", location).json()["choices"][0]["text"]
        self.assertEqual(text, "late-0 late-1 late-2")

    def test_repeat_with_the_same_key_is_deduplicated(self) -> None:
        first, second = (self.defer(**{"Idempotency-Key": "k"}) for _ in range(2))
        self.assertEqual(first.headers["location"], second.headers["location"])

    def test_only_stored_requests_are_accepted(self) -> None:
        """Guards against status 202 for a request that was not stored."""
        self.table.faults.down = True
        answer = self.defer()
        self.assertEqual((answer.status, answer.json()["ran"]), (503, "no"))

    def test_async_preference_of_interactive_callers_is_ignored(self) -> None:
        self.assertEqual(self.defer(**{"X-Caller-Class": "live"}).status, 200)

    def test_unknown_ids_are_not_found(self) -> None:
        for request_id in ("0" * 32, "../x", "x"):
            self.assertEqual(self.call("GET", f"/v1/deferred/{request_id}").status, 404)

    def test_stop_waits_for_a_running_deferred_request(self) -> None:
        """Guards against a planned stop that loses a lease or a running request."""
        release = threading.Event()
        self.addCleanup(release.set)
        self.engine.on_request = lambda request: None if release.wait(9) else None
        location = self.defer().headers["location"]
        self.assertTrue(wait_for(lambda: self.engine.count("/v1/completions") == 1))
        stopping = threading.Thread(target=self.kernel.close)
        stopping.start()
        release.set()
        stopping.join(WAIT_S)
        self.start_deferred()
        self.assertTrue(wait_for(lambda: self.call("GET", location).status == 200))
        self.assertEqual(self.engine.count("/v1/completions"), 1)


class StopTest(unittest.TestCase):
    def test_sigterm_waits_for_open_streams(self) -> None:
        """Guards against a planned stop, or a second signal, that interrupts a stream."""
        engine = FakeEndpoint()
        self.addCleanup(engine.close)
        release = threading.Event()
        self.addCleanup(release.set)
        engine.on_event = lambda a, n, block: [block] if n < 2 or release.wait(20) else []
        command = [sys.executable, "-m", "tests.gateway_process", engine.address]
        with subprocess.Popen([*command, "notice_time=0.5"], stdout=subprocess.PIPE) as process:
            self.addCleanup(process.kill)
            url = f"http://127.0.0.1:{int(process.stdout.readline())}"
            stream = open_stream(url)
            first = stream.read1(10)
            process.send_signal(signal.SIGTERM)
            self.assertTrue(wait_for(lambda: self.is_unready(url), 0.4))
            during_notice = open_stream(url)
            self.assertEqual(during_notice.status, 200)
            self.assertTrue(wait_for(lambda: self.is_refused(url)))
            process.send_signal(signal.SIGTERM)
            time.sleep(0.2)
            self.assertIsNone(process.poll())
            release.set()
            for data in (first + stream.read(), during_notice.read()):
                self.assertTrue(data.endswith(b"data: [DONE]\n\n"), data)
            self.assertEqual(process.wait(WAIT_S), 0)

    def is_unready(self, url: str) -> bool:
        """Return whether the readiness check fails."""
        return urllib3.request("GET", url + "/readyz", retries=False).status == 503

    def is_refused(self, url: str) -> bool:
        """Return whether the listener is closed."""
        try:
            urllib3.request("GET", url + "/healthz", retries=False)
        except urllib3.exceptions.HTTPError:
            return True
        return False


if __name__ == "__main__":
    unittest.main()
