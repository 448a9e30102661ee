"""A complete host beside odd rows of another writer and odd reports of an engine."""

import json
import unittest
from http.server import BaseHTTPRequestHandler

import attrs

from catkinhook.host import Host
from catkinhook.hostsettings import Bounds
from catkinhook.platform import protocolnames
from catkinhook.platform.assembly import make_platform
from tests.hostcase import HostCase, find_port, wait_until
from tests.odd_values import NESTED, ODD_ADDRESSES, TOO_NESTED
from tests.platform_fakes import FakeEndpoint, send_json

HUGE = "1" + "0" * 400
ODD_FIELDS = (
    *(("address", json.dumps(address)) for address in ODD_ADDRESSES),
    ("address", NESTED),
    ("address", "7"),
    ("slots", HUGE),
    ("slots", "1e400"),
    ("slots", "9" * 5000),
    ("slots", "-1"),
    ("slots", "NaN"),
    ("slots", TOO_NESTED),
    ("born", HUGE),
    ("born", "1e400"),
    ("models", "7"),
    ("models", '[{"name":"m1","adapters":7}]'),
    ("models", '[{"name":"\\ud800"}]'),
    ("models", '[{"name":["m1"]}]'),
    ("placement", '{"on_disk":7}'),
    ("service", "[]"),
    ("service", '"\\ud800"'),
    ("zone", "null"),
    ("state", NESTED),
    ("state", '["ready"]'),
)
ODD_REPORTS = (
    {"sequence": 2**63},
    {"sequence": -1},
    {"models": [{"name": "\ud800"}]},
    {"models": [{"name": "m1", "adapters": 7}]},
    {"incoming": 7},
    {"active": 10**400},
)


def make_odd_entries() -> list[bytes]:
    """Return the values of odd entries."""
    entry = FakeEndpoint("i-odd", ("m1",)).entry("llm")
    marker = "<replaced>"
    texts = [
        json.dumps({**entry, field: marker}).replace(json.dumps(marker), value)
        for field, value in ODD_FIELDS
    ]
    return [b"", b"\xff\xfe\x00", TOO_NESTED.encode(), *(text.encode() for text in texts)]


class OddReportEngine(FakeEndpoint):
    """Engine whose report has odd fields.

    :ivar odd_fields: fields that replace those of the report.
    :ivar odd_reports: number of reports that were sent with odd fields.
    """

    def __init__(self, endpoint: str, models: tuple[str, ...]) -> None:
        super().__init__(endpoint, models)
        self.odd_fields: dict = {}
        self.odd_reports = 0

    def handle(self, request: BaseHTTPRequestHandler) -> None:
        """Answer one request."""
        if request.path != "/report":
            super().handle(request)
            return
        report = {"models": self._models(), "busy": False, "sequence": self.sequence, "born": 1}
        send_json(request, 200, {**report, **self.odd_fields})
        self.odd_reports += bool(self.odd_fields)


class OddHostTest(HostCase):
    """One odd row or report must cost that row or report alone."""

    # A lease of 1 s lapses between two renewals, and two hosts would take turns.
    bounds = Bounds(lease_s=3.0, grace_s=4.0)

    def start_second_host(self) -> Host:
        """Start another host of the same deployment."""
        settings = attrs.evolve(
            self.settings,
            node="front-2",
            front_address=f"127.0.0.1:{find_port()}",
            ready_address=f"127.0.0.1:{find_port()}",
            peer_address=f"127.0.0.1:{find_port()}",
            seeds=(self.settings.peer_address,),
        )
        host = Host(settings, make_platform(settings))
        host.kernel.start()
        self.addCleanup(host.kernel.close)
        wait_until(lambda: not host.state.explain_unready())
        return host

    def count(self, host: Host, kind: str, outcome: str) -> float:
        """Return how often a host has counted an outcome."""
        labels = {"kind": kind, "outcome": outcome}
        registry = host.metrics.registry
        return registry.get_sample_value("catkinhook_decisions_total", labels) or 0.0

    def is_leaving(self, host: Host, endpoint: str) -> bool:
        """Whether a host knows that an endpoint is leaving."""
        view = host.endpoints._table.views().get(endpoint)
        return view is not None and view.leaving

    def check_following(self, host: Host, endpoint: FakeEndpoint) -> None:
        """Check that a host knows all sound endpoints, and follows a change of one of them."""
        sound = {fake.endpoint for fake in (*self.engines, *self.plain_endpoints)}
        wait_until(lambda: set(host.endpoints._table.views()) == sound)
        entry = endpoint.entry("llm" if endpoint.models else "desk")
        self.store.put("servers", endpoint.endpoint, {**entry, "state": "draining"})
        wait_until(lambda: self.is_leaving(host, endpoint.endpoint))
        self.store.put("servers", endpoint.endpoint, entry)
        wait_until(lambda: not self.is_leaving(host, endpoint.endpoint))
        self.assertFalse(self.count(host, "feed", "failed"))
        host.metrics.render()

    def test_odd_entries_beside_sound_ones(self) -> None:
        """Guards against a host that stops following the endpoints, running or at its start."""
        odd_entries = make_odd_entries()
        for number, value in enumerate(odd_entries):
            # Some come before the sound entries in the order of keys, some after them.
            self.store.put("servers", f"{'az'[number % 2]}-{number}", value)
        for key in ("i\r\nX: y", "²", "x" * 201):
            self.store.put("servers", key, FakeEndpoint("i-odd").entry("desk"))
        self.store._write("servers", "no-base64", "%")
        self.check_following(self.host, self.plain_endpoints[0])
        expected = len(odd_entries) + 4
        self.assertEqual(self.count(self.host, "endpoint", "unusable"), expected)
        second = self.start_second_host()
        self.check_following(second, self.engines[0])
        self.assertEqual(self.count(second, "endpoint", "unusable"), expected)
        self.assertEqual(self.send_request("GET", "/look/x")[0].status, 200)

    def test_host_learns_from_a_peer_beside_odd_entries(self) -> None:
        """Guards against the end of the thread that follows the endpoints during an outage."""
        for number, value in enumerate(make_odd_entries()):
            self.store.put("servers", f"a-{number}", value)
        second = self.start_second_host()
        self.store.status = 503
        wait_until(lambda: second.endpoints._is_unreachable)
        wait_until(lambda: self.host.endpoints._is_unreachable)
        self.store.status = 0
        self.check_following(second, self.plain_endpoints[0])

    def test_odd_configuration_keeps_the_last_one(self) -> None:
        """Guards against a host that follows no later configuration after an odd one."""
        version = self.host.configuration.version
        for value in (b"{", TOO_NESTED.encode(), b'{"version":2,"routes":[],"services":[7]}'):
            self.store.put("op", "config", value)
        wait_until(lambda: self.count(self.host, "configuration", "unusable") > 0)
        self.assertEqual(self.host.configuration.version, version)
        self.store.put("op", "config", {"version": 9, "routes": [], "services": []})
        wait_until(lambda: self.host.configuration.version == 9)

    def test_odd_lease_row_is_replaced(self) -> None:
        """Guards against hosts that order no loads while another writer's row stands."""
        for value in (TOO_NESTED[:4000], '{"fence":1e400}', "[]"):
            row_id = (protocolnames.OWN_TABLE, protocolnames.LEASE_KEY)
            self.store.put(*row_id, value.encode())
            odd_version = self.store.rows[row_id][0]
            wait_until(
                lambda odd=odd_version, row_id=row_id: self.store.rows[row_id][0] > odd
                and self.host.lease.is_held()
            )
        self.assertGreaterEqual(self.count(self.host, "lease", "unusable"), 3)

    def test_odd_report_counts_as_no_report(self) -> None:
        """Guards against a holder whose answers to all hosts fail for one engine's report."""
        engine = OddReportEngine("i-e3", ("m1",))
        engine.start()
        self.addCleanup(engine.close)
        second = self.start_second_host()
        self.store.put("servers", engine.endpoint, engine.entry("llm"))
        for fields in ODD_REPORTS:
            engine.odd_fields = fields
            failed = self.count(self.host, "report", "failed")
            wait_until(lambda failed=failed: self.count(self.host, "report", "failed") > failed)
            exchanged = second.holder_link._view_received_at
            wait_until(lambda at=exchanged: second.holder_link._view_received_at > at)
        engine.odd_fields = {}
        response, _ = self.send_request("POST", "/live/x", b"p", Model="m3", Token_Usage="5,5")
        self.assertEqual(response.status, 200)


if __name__ == "__main__":
    unittest.main()
