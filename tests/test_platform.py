"""Platform adapter: settings, records, engine and store clients, and where its names are used."""

import contextlib
import json
import re
import socket
import threading
import time
import unittest
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from catkinhook.control.sequencedorders import OrderReply, SequencedOrder
from catkinhook.errors import Effect, StoreConflict
from catkinhook.platform.engineclient import REPORT_TIMEOUT_S, EngineClient
from catkinhook.platform.protocolnames import OWN_TABLE
from catkinhook.platform.records import decode_configuration, decode_endpoint, decode_report
from catkinhook.platform.settingsfile import parse_settings_text
from catkinhook.platform.storeclient import (
    CALL_TIMEOUT_S,
    MAX_ANSWER_BYTES,
    StoreClient,
    TableFeed,
    TableRow,
)
from catkinhook.platform.upstream import READ_BYTES, EndpointAnswer
from catkinhook.requests.attempts import AttemptError, ConnectionPool
from catkinhook.requests.endpointactivity import EndpointActivity
from catkinhook.requests.endpointavailability import EndpointAvailability
from catkinhook.requests.routedrequest import Assignment
from catkinhook.requests.routetable import RetryMode
from catkinhook.state.views import EndpointView
from catkinhook.units import KIB, MIB
from tests.hostcase import WAIT_S
from tests.platform_fakes import FakeEndpoint, FakeStore, make_configuration

PACKAGE = Path(__file__).resolve().parent.parent / "catkinhook"

SETTINGS_TEXT = """
node=front-1
zone=z1
listen.front=10.0.0.1:80
listen.ready=10.0.0.1:81
listen.control=10.0.0.1:82
platform.address=10.0.0.9:90
seeds=10.0.0.1:82,10.0.0.2:82
bounds.drain_ms=2500
bounds.require_fence=true
something.new=17
"""

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=12,
)


class HeadTimeoutTest(unittest.TestCase):
    """Timeout of the head of an endpoint's answer."""

    def serve(self, listener: socket.socket) -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(READ_BYTES)
            time.sleep(0.8)
            connection.sendall(b"HTTP/1.1 200 OK\r\n")
            self.is_done.wait(WAIT_S)

    def test_head_that_stops_midway_ends_at_the_timeout(self) -> None:
        """Guards against a second timeout for the rest of a head, beyond the request's deadline."""
        self.is_done = threading.Event()
        self.addCleanup(self.is_done.set)
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        threading.Thread(target=self.serve, args=(listener,), daemon=True).start()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        view = EndpointView(endpoint="i", address=address, service="s", zone="z", slots=1)
        assignment = Assignment(endpoint=view, attempt=1, priority=0)
        connections = ConnectionPool()
        self.addCleanup(connections.close)
        answer = EndpointAnswer(
            connections, EndpointActivity(), EndpointAvailability(), assignment, "r1"
        )
        began = time.monotonic()
        with self.assertRaises(AttemptError):
            answer.send("GET", "/", [], b"", 1.0, True, lambda: False)
        self.assertLess(time.monotonic() - began, 1.5)


class BoundaryTest(unittest.TestCase):
    """Modules that may contain the platform's names."""

    def test_only_the_adapter_names_the_platform(self) -> None:
        """Other code must not depend on the names of one platform."""
        pattern = (
            r"attempt-id|response-seal|expect-instance|instance-id|server-load|server-leaving|not-executed|"
            r"token-usage|prompt-prefix|request-priority|rows-(tx|get|feed|parts)|hold-take|"
            r"kv-(fetch|move|backup|pin|events|from)|deadline-ms|CATKINHOOK_BOOT|fleetbench"
        )
        violations = [
            str(path.relative_to(PACKAGE))
            for path in PACKAGE.rglob("*.py")
            if "platform" not in path.parts[len(PACKAGE.parts) :][:1]
            and re.search(pattern, path.read_text(encoding="utf-8"), re.IGNORECASE)
        ]
        self.assertEqual(violations, [])


class SettingsFileTest(unittest.TestCase):
    """Parsing of the settings file."""

    def test_known_fields_are_read_and_others_ignored(self) -> None:
        """Units must be converted, and unknown fields must not be errors."""
        settings = parse_settings_text(SETTINGS_TEXT, "f").unwrap()
        self.assertEqual(settings.bounds.drain_s, 2.5)
        self.assertTrue(settings.bounds.engines_check_fences)
        self.assertEqual(settings.seeds, ("10.0.0.1:82", "10.0.0.2:82"))
        self.assertEqual(settings.bounds.lease_s, 3.0)

    def test_all_faults_are_reported_together(self) -> None:
        """All errors in the settings must be reported at once."""
        text = (
            SETTINGS_TEXT.replace("node=front-1", "")
            .replace("10.0.0.1:80", "front")
            .replace("2500", "x")
        )
        faults = parse_settings_text(text, "f").unwrap_err()
        keys = {fault.key for fault in faults}
        self.assertEqual(keys, {"node", "listen.front", "bounds.drain_ms"})

    @given(st.text())
    def test_invalid_text_yields_faults(self, text: str) -> None:
        """An invalid settings file must not raise an exception."""
        self.assertTrue(parse_settings_text(text, "f").unwrap_err())


class RecordsTest(unittest.TestCase):
    """Decoding of configurations, entries and reports."""

    def test_kinds_of_routes(self) -> None:
        """Postings and streams that can't be resumed must not run twice."""
        table = decode_configuration(json.dumps(make_configuration()).encode()).unwrap()
        retry_modes = {route.name: route.retry_mode for route in table.routes}
        expected = {
            "live": RetryMode.RESUME,
            "digest": RetryMode.NEVER,
            "post": RetryMode.NEVER,
            "look": RetryMode.ALWAYS,
        }
        self.assertEqual(retry_modes, expected)
        self.assertEqual(table.match("H.Example", "/live/x").name, "live")
        self.assertIsNone(table.match("h.example", "/live"))

    def test_longest_prefix_wins(self) -> None:
        """The most specific of several matching routes must be used."""
        configuration = make_configuration()
        short_route = {**configuration["routes"][3], "name": "short", "path_prefix": "/"}
        configuration["routes"].append(short_route)
        table = decode_configuration(json.dumps(configuration).encode()).unwrap()
        self.assertEqual(table.match("h.example", "/look/x").name, "look")
        self.assertEqual(table.match("h.example", "/other").name, "short")

    @given(JSON)
    def test_any_json_yields_a_value_or_a_reason(self, value: object) -> None:
        """Rows of other writers must not raise exceptions in a watch."""
        raw = json.dumps(value).encode()
        for decoded in (
            decode_configuration(raw),
            decode_endpoint("i", raw),
            decode_report(raw),
        ):
            self.assertTrue(decoded.is_ok() or decoded.unwrap_err())

    @given(st.sampled_from(("service", "address", "zone", "slots", "state", "models")), JSON)
    def test_entry_with_one_invalid_field(self, field: str, value: object) -> None:
        """An entry that is only partly valid must not raise an exception."""
        entry = {**FakeEndpoint("i-e", ("m1",)).entry("llm"), field: value}
        decoded = decode_endpoint("i-e", json.dumps(entry).encode())
        self.assertTrue(decoded.is_ok() or decoded.unwrap_err())


class RepeatingEngine(FakeEndpoint):
    """Fake engine that writes each answer again before the next one on the same connection."""

    def handle(self, request: BaseHTTPRequestHandler) -> None:
        """Answer one request."""
        write, answer = request.wfile.write, bytearray()
        write(getattr(request, "earlier_answer", b""))

        def record(data: bytes) -> int:
            answer.extend(data)
            return write(data)

        request.wfile.write = record
        super().handle(request)
        request.wfile.write = write
        request.earlier_answer = bytes(answer)


class SlowStore(FakeStore):
    """Fake store whose first answer arrives after the client's timeout."""

    def handle(self, request: BaseHTTPRequestHandler) -> None:
        """Answer one call."""
        if not self.calls:
            time.sleep(CALL_TIMEOUT_S + 0.2)
        super().handle(request)


class EngineTest(unittest.TestCase):
    """Client for orders and reports of an engine."""

    def setUp(self) -> None:
        self.engine = FakeEndpoint("i-e1", ("m1",))
        self.engine.start()
        self.addCleanup(self.engine.close)
        self.view = decode_endpoint("i-e1", json.dumps(self.engine.entry("llm")).encode()).unwrap()
        self.client = EngineClient()
        self.addCleanup(self.client.close)

    def test_orders_and_reports_alternate(self) -> None:
        """Orders and reports must succeed one after another."""
        order = SequencedOrder(is_load=True, model="m2", expected=0, holder="h", fence=1)
        self.assertEqual(self.client.order(self.view, order).unwrap(), OrderReply.ACCEPTED)
        self.assertEqual(self.client.order(self.view, order).unwrap(), OrderReply.REFUSED)
        state = self.client.state(self.view).unwrap()
        self.assertEqual((state.models, state.sequence), ({"m1", "m2"}, 1))

    def test_report_without_end_is_closed(self) -> None:
        """Endless reports must not block threads of the lease holder."""
        for fault in ("endless-report", "endless-report-head"):
            with self.subTest(fault=fault):
                self.engine.fault = fault
                began = time.monotonic()
                self.assertTrue(self.client.state(self.view).is_err())
                self.assertLess(time.monotonic() - began, 3 * REPORT_TIMEOUT_S + 1.0)


class RepeatedAnswerTest(unittest.TestCase):
    """Answers to calls without an id that arrive once more, or late."""

    def test_earlier_answer_is_not_taken_for_the_reply_to_an_order(self) -> None:
        """Guards against an order that counts as carried out although the engine refused it."""
        engine = RepeatingEngine("i-e1", ("m1",))
        engine.start()
        self.addCleanup(engine.close)
        view = decode_endpoint("i-e1", json.dumps(engine.entry("llm")).encode()).unwrap()
        client = EngineClient()
        self.addCleanup(client.close)
        accepted = SequencedOrder(is_load=True, model="m2", expected=0, holder="h", fence=1)
        refused = SequencedOrder(is_load=True, model="m3", expected=7, holder="h", fence=1)
        self.assertTrue(client.state(view).is_ok())
        self.assertEqual(client.order(view, refused).unwrap(), OrderReply.REFUSED)
        self.assertEqual(client.order(view, accepted).unwrap(), OrderReply.ACCEPTED)
        self.assertEqual(client.order(view, refused).unwrap(), OrderReply.REFUSED)

    def test_late_answer_of_the_store_is_not_read_as_the_next(self) -> None:
        """Guards against taking the answer to a call that timed out for that of the next call."""
        store = SlowStore()
        store.start()
        self.addCleanup(store.close)
        client = StoreClient(store.address)
        self.addCleanup(client.close)
        row = TableRow(client, OWN_TABLE, "k")
        self.assertIs(row.write(0, b"one").unwrap_err().effect, Effect.UNKNOWN)
        time.sleep(0.5)
        self.assertEqual(row.read().unwrap().value, b"one")


class StoreTest(unittest.TestCase):
    """Client of the store."""

    def setUp(self) -> None:
        self.store = FakeStore()
        self.store.start()
        self.addCleanup(self.store.close)
        self.client = StoreClient(self.store.address)
        self.addCleanup(self.client.close)
        self.row = TableRow(self.client, OWN_TABLE, "k")

    def test_conditional_write(self) -> None:
        """A write must not overwrite another host's."""
        version = self.row.write(0, b"one").unwrap()
        self.assertIsInstance(self.row.write(0, b"two").unwrap_err(), StoreConflict)
        self.assertEqual(self.row.read().unwrap().version, version)
        self.assertEqual(self.row.read().unwrap().value, b"one")

    def test_effect_is_unknown_after_a_lost_answer_only(self) -> None:
        """A write that took effect must not be reported as without effect."""
        self.store.lose_answers = 1
        self.assertIs(self.row.write(0, b"one").unwrap_err().effect, Effect.UNKNOWN)
        self.assertEqual(self.row.read().unwrap().value, b"one")
        for status in (429, 503):
            self.store.status = status
            self.assertIs(self.row.write(0, b"two").unwrap_err().effect, Effect.NONE)

    def test_answer_without_end_is_closed(self) -> None:
        """An answer of the store without end must not fill the memory of the process."""
        sent: list[int] = []

        def send_without_end(request: BaseHTTPRequestHandler) -> None:
            request.close_connection = True
            request.send_response(200)
            request.end_headers()
            with contextlib.suppress(OSError):
                while len(sent) < 1024:
                    request.wfile.write(b"x" * (64 * KIB))
                    sent.append(1)

        with mock.patch.object(self.store, "handle", send_without_end):
            error = self.row.read().unwrap_err()
        self.assertIs(error.effect, Effect.UNKNOWN)
        # What the kernel buffers on both sides comes on top of the limit.
        self.assertLess(len(sent) * 64 * KIB, MAX_ANSWER_BYTES + 16 * MIB)

    def test_calls_share_a_connection(self) -> None:
        """A call must return its connection, or each would need a new one."""
        for number in range(5):
            self.row.write(self.row.read().unwrap().version, b"%d" % number).unwrap()
        self.assertEqual(self.client._pool.num_connections, 1)

    def test_feed_reports_removals_and_lists_again_without_history(self) -> None:
        """An endpoint must disappear when its entry is removed."""
        feed = TableFeed(self.client, "servers")
        self.store.put("servers", "a", {})
        self.store.put("servers", "b", {})
        listed = feed.read_changes(None, 0.1).unwrap()
        self.assertEqual((set(listed.value_by_key), listed.is_full), ({"a", "b"}, True))
        self.store.drop("servers", "a")
        self.assertEqual(feed.read_changes(listed.version, 0.1).unwrap().removed, {"a"})
        self.store.history_from = self.store.version + 1
        again = feed.read_changes(listed.version, 0.1).unwrap()
        self.assertEqual((set(again.value_by_key), again.is_full), ({"b"}, True))


if __name__ == "__main__":
    unittest.main()
