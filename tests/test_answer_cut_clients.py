"""Answers that other HTTP clients than that of a host's requests get cut at every byte."""

import json
import re
import unittest
from http.server import BaseHTTPRequestHandler
from typing import Any
from unittest import mock

import urllib3
from result import Result

from catkinhook.control.engineapi import HttpEngineApi
from catkinhook.control.sequencedorders import SequencedOrder
from catkinhook.errors import Effect, StoreError
from catkinhook.gateway import StaticSnapshotSource, build_kernel
from catkinhook.httpheads import CheckedResponse, make_pool_manager
from catkinhook.operations.adminclient import AdminClient
from catkinhook.platform.engineclient import EngineClient
from catkinhook.platform.protocolnames import OWN_TABLE
from catkinhook.platform.storeclient import StoreClient, TableFeed, TableRow
from catkinhook.requests import attempts, relay
from catkinhook.requests.outcomes import Outcome
from catkinhook.state.hostlist import HttpHostList
from catkinhook.state.objectstore import HttpObjectStore
from catkinhook.state.tableservice import ABSENT, Check, HttpTable, Write
from catkinhook.state.views import EndpointView
from tests.gateway_fakes import (
    Cut,
    FakeEndpoint,
    ReceivedRequest,
    RetryingDispatcher,
    make_settings,
    make_snapshot,
)
from tests.platform_fakes import FakeServer, read_body

MAX_SHOWN = 4
TIMEOUT_S = 3.0


class CuttingServer(FakeServer):
    """Server that answers each request with given bytes, and closes the connection.

    :ivar answer: bytes of the next answers.
    """

    def __init__(self) -> None:
        super().__init__()
        self.answer = b""

    def handle(self, request: BaseHTTPRequestHandler) -> None:
        """Answer one request."""
        read_body(request)
        request.wfile.write(self.answer)
        request.close_connection = True


def render_answer(body: bytes, status: int = 200) -> bytes:
    """Return an answer whose length is the last header."""
    head = b"HTTP/1.1 %d X\r\nConnection: close\r\nContent-Type: text/plain\r\n" % status
    return head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


class ClientCutTest(unittest.TestCase):
    """Clients of the store, of engines and of the platform's other services."""

    def setUp(self) -> None:
        self.server = CuttingServer()
        self.server.start()
        self.addCleanup(self.server.close)
        self.url = f"http://{self.server.address}"

    def cut(self, answer: bytes, call: Any) -> dict[int, Result]:
        """Return the results of a call by the number of bytes of the answer that were sent."""
        results = {}
        for size in range(len(answer)):
            self.server.answer = answer[:size]
            results[size] = call()
        self.server.answer = answer
        self.assertTrue(call().is_ok(), answer)
        return results

    def check(self, answer: bytes, call: Any, effect: Effect | None = None) -> None:
        """Check that a call fails with each incomplete answer, with the given effect, if any."""
        results = self.cut(answer, call).items()
        believed = {
            answer[:size]: result
            for size, result in results
            if result.is_ok() or (effect is not None and result.unwrap_err().effect is not effect)
        }
        self.assertFalse(list(believed.items())[:MAX_SHOWN], f"{len(believed)} of {len(answer)}")

    def test_cut_answer_of_the_store_shows_no_missing_row(self) -> None:
        """A head without its end must not show that a row, such as the lease, does not exist."""
        client = StoreClient(self.server.address)
        self.addCleanup(client.close)
        row = {"table": OWN_TABLE, "part": "", "key": "k", "value": "eA==", "ver": 5}
        rows = render_answer(json.dumps({"rows": [row], "ver": 9, "more_pages": False}).encode())
        self.check(rows, TableRow(client, OWN_TABLE, "k").read)
        self.check(rows, lambda: TableFeed(client, OWN_TABLE).read_changes(None, 0.0))
        self.check(rows, lambda: TableFeed(client, OWN_TABLE).read_changes(4, 0.0))

    def test_cut_answer_of_the_store_does_not_show_the_effect_of_a_write(self) -> None:
        """A write may have been executed unless a whole answer says otherwise."""
        client = StoreClient(self.server.address)
        self.addCleanup(client.close)
        row = TableRow(client, OWN_TABLE, "k")
        self.check(render_answer(b'{"ver": 9}'), lambda: row.write(5, b"x"), Effect.UNKNOWN)
        refused = render_answer(b"{}", 503)
        for size in range(len(refused)):
            self.server.answer = refused[:size]
            error = row.write(5, b"x").unwrap_err()
            self.assertIsInstance(error, StoreError)
            self.assertIs(error.effect, Effect.UNKNOWN, refused[:size])

    def test_empty_answer_of_the_store_shows_no_missing_row(self) -> None:
        """An answer without rows must not show that a row does not exist."""
        client = StoreClient(self.server.address)
        self.addCleanup(client.close)
        row = TableRow(client, OWN_TABLE, "k")
        for body in (b"", b"{}", b'{"ver": 9}', b'{"rows": null, "ver": 9}', b'{"rows": []}'):
            with self.subTest(body=body):
                self.server.answer = render_answer(body)
                self.assertTrue(row.read().is_err())
        self.server.answer = render_answer(b'{"rows": [], "ver": 9}')
        self.assertEqual(row.read().unwrap().version, 0)

    def test_cut_answer_of_an_engine_is_not_believed(self) -> None:
        """An order must not count as acknowledged, nor a report as read, by half an answer."""
        client = EngineClient()
        self.addCleanup(client.close)
        view = EndpointView(endpoint="i", address=self.server.address, service="s", zone="z")
        order = SequencedOrder(is_load=True, model="m", expected=0, holder="h", fence=1)
        report = b'{"models": [], "busy": false, "sequence": 0, "born": 1}'
        self.check(render_answer(report), lambda: client.state(view))
        self.check(render_answer(b"{}", 202), lambda: client.order(view, order))

    def test_cut_answer_of_the_platform_is_not_believed(self) -> None:
        """An object must not be empty, a row missing or a change made by half an answer."""
        table, objects = HttpTable(self.url, TIMEOUT_S), HttpObjectStore(self.url, TIMEOUT_S)
        hosts, engines = HttpHostList(self.url, TIMEOUT_S), HttpEngineApi(TIMEOUT_S, lambda: 0.0)
        admin = AdminClient(self.url, "token")
        for client in (table, objects, hosts, engines, admin):
            self.addCleanup(client.close)
        write = [Write("t", "k", {"a": 1})]
        calls = {
            "object": (b"content", lambda: objects.get("k")),
            "put": (b"{}", lambda: objects.put("k", b"content")),
            "row": (b'{"key": "k", "version": 1, "value": {}}', lambda: table.read("t", "k")),
            "rows": (b'{"rows": []}', lambda: table.scan("t")),
            "commit": (
                b'{"versions": []}',
                lambda: table.commit([Check("t", "k", ABSENT)], write),
            ),
            "hosts": (b'{"hosts": []}', hosts.list_hosts),
            "plain report": (
                b'{"boot_id": "b"}',
                lambda: engines.plain_report(self.server.address),
            ),
            "claims": (b'{"claims": []}', admin.claims),
        }
        for name, (body, call) in calls.items():
            with self.subTest(name):
                self.check(render_answer(body), call)

    def test_object_that_may_be_cut_is_not_believed(self) -> None:
        """An object that ends with its connection, which any part of it would, must be refused."""
        objects = HttpObjectStore(self.url, TIMEOUT_S)
        self.addCleanup(objects.close)
        for framing in (b"", b"Content-Length:\r\n", b"Content-Length: x\r\n"):
            with self.subTest(framing=framing):
                self.server.answer = b"HTTP/1.1 200 X\r\n" + framing + b"\r\nconten"
                self.assertTrue(objects.get("k").is_err())
        chunks = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n7\r\ncontent\r\n0\r\n\r\n"
        for size in range(len(chunks)):
            self.server.answer = chunks[:size]
            # Once the size of the last chunk has arrived, the object is whole.
            is_whole = size > chunks.rindex(b"0")
            expected = (b"content", None) if is_whole else (None,)
            self.assertIn(objects.get("k").ok(), expected, chunks[:size])
        self.server.answer = chunks
        self.assertEqual(objects.get("k").unwrap(), b"content")

    def test_heads_are_checked_with_tls_too(self) -> None:
        """Another scheme must not select connections that believe half a head."""
        for scheme in ("http", "https"):
            pool = make_pool_manager().connection_from_url(f"{scheme}://127.0.0.1:1")
            self.assertIs(pool.ConnectionCls.response_class, CheckedResponse)

    def test_cut_refusal_of_the_platform_shows_no_missing_item(self) -> None:
        """An item is missing only if a whole answer says so."""
        table, objects = HttpTable(self.url, TIMEOUT_S), HttpObjectStore(self.url, TIMEOUT_S)
        for client in (table, objects):
            self.addCleanup(client.close)
        for name, call in (
            ("row", lambda: table.read("t", "k")),
            ("object", lambda: objects.get("k")),
        ):
            with self.subTest(name):
                self.check(render_answer(b"{}", 404), call)


class CuttingEngine(FakeEndpoint):
    """Fake engine or plain service that cuts the answers to some requests.

    :ivar cut_path: beginning of the path of requests whose answers are cut.
    :ivar size: bytes of these answers that are sent, None for whole answers.
    :ivar cuts_left: number of answers that are still cut.
    :ivar last_size: size of the last answer that was to be cut.
    """

    def __init__(self, *args: str) -> None:
        self.cut_path = "/"
        self.size: int | None = None
        self.cuts_left = 0
        self.last_size = 0
        self._framing_by_path: dict[str, bytes] = {}
        super().__init__(*args)

    def replace_framing(self, path: str, lines: bytes) -> None:
        """Close the connection after each answer on a path, whose length is replaced by lines."""
        self._framing_by_path = {path: lines}

    def _respond(self, connection: Any, request: ReceivedRequest) -> None:
        if request.path in self._framing_by_path:
            recorder = _Recorder()
            super()._respond(recorder, request)
            lines = self._framing_by_path[request.path]
            connection.sendall(re.sub(rb"Content-Length: \d+\r\n", lambda _: lines, recorder.data))
            raise Cut
        if self.size is None or not self.cuts_left or not request.path.startswith(self.cut_path):
            super()._respond(connection, request)
            return
        self.cuts_left -= 1
        recorder = _Recorder()
        super()._respond(recorder, request)
        self.last_size = len(recorder.data)
        connection.sendall(recorder.data[: self.size])
        raise Cut


class _Recorder:
    """Stands in for a connection and records what is sent."""

    def __init__(self) -> None:
        self.data = b""

    def sendall(self, data: bytes) -> None:
        self.data += data


class GatewayCutTest(unittest.TestCase):
    """Answers of engines and plain services to a gateway."""

    def setUp(self) -> None:
        # The pauses between checks and resumes would take most of the time of these tests.
        for module, name in ((attempts, "CRASH_CHECK_INTERVAL_S"), (relay, "RESUME_BACKOFF_S")):
            patch = mock.patch.object(module, name, 0.0)
            patch.start()
            self.addCleanup(patch.stop)
        self.engine = CuttingEngine()
        self.plain = CuttingEngine("ledger", "plain")
        self.dispatcher = RetryingDispatcher(retries=0)
        source = StaticSnapshotSource(make_snapshot(self.engine.view(), self.plain.view()))
        kernel = build_kernel(make_settings(), source, self.dispatcher)
        kernel.start()
        for part in (kernel, self.engine, self.plain):
            self.addCleanup(part.close)
        self.url = f"http://127.0.0.1:{kernel.find('listener').port}"

    def complete(self, stream: bool = False) -> tuple[int, bytes]:
        """Request a completion; return status and body."""
        fields = {"model": "summary", "prompt": "own", "stream": stream, "max_tokens": 1}
        response = urllib3.request("POST", f"{self.url}/v1/completions", json=fields, retries=False)
        return response.status, response.data

    def read_balance(self) -> tuple[int, str | None]:
        """Send a request to the plain service; return status and a header."""
        response = urllib3.request("GET", f"{self.url}/services/ledger/balance", retries=False)
        return response.status, response.headers.get("Content-Location")

    def cut_each(self, engine: CuttingEngine, path: str, call: Any, cuts: int = 1) -> dict:
        """Return what a call returns by the number of bytes that were sent of an answer.

        :param cuts: number of answers that are cut in each call.
        """
        engine.cut_path, engine.size, engine.last_size = path, 0, 1
        returned = {}
        while engine.size < engine.last_size:
            engine.cuts_left = cuts
            returned[engine.size] = call()
            engine.size += 1
        engine.size = None
        return returned

    def check_no_crash(self) -> None:
        """Check that no attempt counts as one that crashed its endpoint."""
        crashes = self.dispatcher.outcomes.count(Outcome.CRASHED)
        self.assertEqual(crashes, 0, f"of {len(self.dispatcher.outcomes)} attempts")

    def test_cut_answer_of_an_engine_is_not_whole(self) -> None:
        """A success without its text must not come from a head without its end."""
        whole = self.complete()
        self.assertEqual(whole[0], 200)
        returned = self.cut_each(self.engine, "/v1/completions", self.complete)
        wrong = {size: answer for size, answer in returned.items() if answer[0] != 502}
        self.assertFalse(wrong)
        self.check_no_crash()

    def test_answer_of_unknown_length_is_not_whole(self) -> None:
        """A length that is no number must not hide that an answer ends with its connection."""
        lengths = ("", "x", "-1", "+2", "1_0", "\u00b2", "9" * 5000, "2, 3")
        framings = [{"Content-Length": text} for text in lengths]
        framings += [{"Transfer-Encoding": text} for text in ("", "x", "gzip, chunked")]
        for headers in framings:
            for engine, path, call in (
                (self.engine, "/v1/completions", self.complete),
                (self.plain, "/balance", self.read_balance),
            ):
                with self.subTest(path=path, **headers):
                    lines = "".join(f"{name}: {text}\r\n" for name, text in headers.items())
                    engine.replace_framing(path, lines.encode("latin-1"))
                    self.assertEqual(call()[0], 502)

    def test_cut_answer_of_a_plain_service_is_not_whole(self) -> None:
        """The same for an answer whose length comes before its other headers, and is 0."""
        headers = {"Content-Length": "0", "Content-Location": "/balance/17"}
        self.plain.on_request = lambda request: (
            (200, headers, b"") if request.path.startswith("/balance") else None
        )

        self.assertEqual(self.read_balance(), (200, "/balance/17"))
        returned = self.cut_each(self.plain, "/balance", self.read_balance)
        wrong = {size: answer for size, answer in returned.items() if answer[0] != 502}
        self.assertFalse(wrong)

    def test_cut_stream_of_an_engine_is_resumed(self) -> None:
        """A stream that was cut must go on at the same engine after each cut."""
        whole = self.complete(stream=True)
        self.assertIn(b"[DONE]", whole[1])

        def stream() -> tuple[int, bytes]:
            return self.complete(stream=True)

        returned = self.cut_each(self.engine, "/v1/completions", stream)
        # Before the end of its head, an answer does not show that the engine took the request.
        wrong = {s: a for s, a in returned.items() if a != whole and a[0] != 502}
        self.assertFalse(wrong)
        self.assertIn(whole, returned.values())
        self.check_no_crash()

    def test_cut_answer_to_a_resume_does_not_show_a_restart(self) -> None:
        """Half a boot id must not end a stream that its engine still has."""
        whole = self.complete(stream=True)

        def stream() -> tuple[int, bytes]:
            self.engine.on_event = cut_once
            return self.complete(stream=True)

        def cut_once(attempt: str, sequence: int, block: bytes) -> list[bytes]:
            self.engine.on_event = lambda attempt, sequence, block: [block]
            raise Cut

        returned = self.cut_each(self.engine, "/v1/streams/", stream)
        wrong = {size: answer for size, answer in returned.items() if answer != whole}
        self.assertFalse(wrong)
        self.check_no_crash()

    def test_cut_report_does_not_show_a_restart(self) -> None:
        """Half a boot id must not show that an engine crashed, which a retry would repeat."""
        self.engine.on_request = lambda request: (
            (200, {"Content-Length": "1000", "Connection": "close"}, b"")
            if request.path == "/v1/completions"
            else None
        )
        # The gateway asks three times.
        self.cut_each(self.engine, "/v1/report", self.complete, cuts=1)
        self.check_no_crash()


if __name__ == "__main__":
    unittest.main()
