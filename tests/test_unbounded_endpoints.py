"""Endpoints that send more bytes than an answer may have: what a host does with them afterwards."""

import time

from tests.hostcase import HostCase, wait_until
from tests.memory_host import MisbehavingEndpoint

STREAM_HEADERS = {"Model": "m1", "Token_Usage": "10,20"}
# Bodies and heads that exceed each of the bounds of an answer.
PLAIN_KINDS = ("body", "chunks", "head", "no head", "trailer", "extension")
MAX_REQUESTS = 40
# Deadline of the requests of ``HostCase``.
DEADLINE_S = 3.0


class UnboundedEndpointsTest(HostCase):
    """Two endpoints of each service, one of which sends bytes without end."""

    endpoint_class = MisbehavingEndpoint

    def check_avoided(
        self, path: str, group: list[MisbehavingEndpoint], kind: str, **headers: str
    ) -> None:
        """Check that no second request reaches an endpoint after its endless answer."""
        faulty, sound = group
        faulty.kind, sound.kind = kind, ""
        faulty.received.clear()
        sound.received.clear()
        for _ in range(MAX_REQUESTS):
            status = self.send_request("GET", path, **headers)[0].status
            # The request may be repeated at the sound endpoint.
            self.assertEqual(status, 200)
            if faulty.received:
                break
        self.assertEqual(len(faulty.received), 1)
        for _ in range(5):
            self.assertEqual(self.send_request("GET", path, **headers)[0].status, 200)
        self.assertEqual(len(faulty.received), 1)
        self.host._scheduler.ask(lambda s: s._ejections.reset(faulty.endpoint))

    def count(self, name: str, **labels: str) -> float:
        """Return a metric of the host."""
        value = self.host.metrics.registry.get_sample_value(f"catkinhook_{name}", labels)
        return value or 0.0

    def test_endpoint_that_sends_bytes_without_end_is_avoided_at_once(self) -> None:
        """An endpoint that may fill the memory must not get further requests for a while."""
        for kind in PLAIN_KINDS:
            with self.subTest(kind):
                self.check_avoided("/look/x", self.plain_endpoints, kind)
        with self.subTest("event"):
            self.check_avoided("/live/x", self.engines, "event", **STREAM_HEADERS)
        count = len(PLAIN_KINDS) + 1
        wait_until(lambda: self.count("unbounded_answers_total") == count)
        wait_until(lambda: self.host.memory.held == 0)
        labels = {"kind": "endpoint", "outcome": "ejected"}
        wait_until(lambda: self.count("decisions_total", **labels) == count)

    def test_request_that_gets_bytes_without_end_is_no_suspect(self) -> None:
        """A request must not count as one that crashes endpoints because they send endless heads.

        After some of them, it would be quarantined on all hosts, though the endpoints run on.
        """
        for kind in PLAIN_KINDS:
            for endpoint in self.plain_endpoints:
                endpoint.kind = kind
            self.send_request("GET", "/look/x")
        events = self.host._scheduler.ask(lambda s: s.suspects.events(time.monotonic()))
        self.assertEqual(events, [])

    def test_answer_that_is_announced_too_long_is_refused_at_its_head(self) -> None:
        """A body that can't be held must not be read, nor its caller wait for it."""
        for endpoint in self.plain_endpoints:
            endpoint.kind = "only announced"
        began = time.monotonic()
        self.assertEqual(self.send_request("POST", "/post/x", b"b")[0].status, 502)
        self.assertLess(time.monotonic() - began, DEADLINE_S / 2)
