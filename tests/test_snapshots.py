"""Snapshots: incremental replies add up to the full state, and gateways keep the last one."""

import random
import threading
import time
import unittest

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinhook.operations.burn import Bucket
from catkinhook.peering import controllermessages, thriftfields
from catkinhook.peering.peers import PeerServer
from catkinhook.requests.suspects import EventKind, Suspects, SuspectStatus
from catkinhook.state.configurationchanges import Change, ChangeBatch, Configuration, apply_batch
from catkinhook.state.gatewayreports import Demand, GatewayReport, Suspect, make_suspect_events
from catkinhook.state.snapshots import GatewayState, SnapshotClient, SnapshotPublisher, apply_reply
from catkinhook.state.views import EndpointView, LoadReport, Snapshot
from catkinhook.thrift_gen import ttypes

SECRET = b"sixteen bytes or more"


def make_view(host: str, **fields) -> EndpointView:
    return EndpointView(f"desk/{host}", "127.0.0.1:1", "desk", "zone-a", **fields)


def make_configuration(number: int) -> Configuration:
    body = "service: desk\nowner: jusoor\n"
    change = Change(number=number, service="desk", version=1, body=body)
    return apply_batch(Configuration(), ChangeBatch(number, (change,)), 0)


def make_event(origin: str, sequence: int, cleared: bool = False, at: float = 0.0) -> Suspect:
    return Suspect(
        fingerprint="f",
        model="m",
        kind=EventKind.CLEAR if cleared else EventKind.CRASH,
        origin=origin,
        sequence=sequence,
        seen_at=at,
        endpoint=f"desk/{origin}",
        boot_id="boot",
    )


class PublisherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.configuration = make_configuration(3)
        self.suspects: list[Suspect] = []
        self.publisher = self.make_publisher(1)

    def make_publisher(self, incarnation: int) -> SnapshotPublisher:
        return SnapshotPublisher(
            incarnation,
            lambda: self.configuration,
            lambda: True,
            self.suspects.extend,
            lambda: self.now,
        )

    def poll(self, state: GatewayState, report: GatewayReport | None = None) -> GatewayState:
        report = report or GatewayReport(gateway="g", incarnation=1)
        known = state.configuration.number
        request = ttypes.SnapshotRequest(
            state.revision,
            known,
            0,
            controllermessages.encode_report(report, self.now),
            state.incarnation,
        )
        return apply_reply(state, self.publisher.handle_request(request), known, self.now, "")

    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @given(
        st.lists(
            st.dictionaries(st.sampled_from("abcdef"), st.integers(0, 2)), min_size=1, max_size=8
        ),
        st.lists(st.booleans(), min_size=8, max_size=8),
    )
    def test_incremental_replies_add_up_to_the_full_state(
        self, rounds: list[dict[str, int]], polls: list[bool]
    ) -> None:
        """Guards against removed endpoints that stay, and changes that are not sent."""
        self.publisher = self.make_publisher(1)
        state = GatewayState()
        for contents, is_polled in zip(rounds, polls, strict=False):
            views = [make_view(h, boot_id=str(boot)) for h, boot in contents.items()]
            self.publisher.publish_endpoints(views)
            if is_polled:
                state = self.poll(state)
        state = self.poll(state)
        self.assertEqual(state.endpoint_by_id, {view.endpoint: view for view in views})

    def test_restarted_controller_sends_everything(self) -> None:
        """Guards against applying an incremental reply to the state from an earlier controller."""
        self.publisher.publish_endpoints([make_view("a"), make_view("b")])
        state = self.poll(GatewayState())
        self.publisher = self.make_publisher(2)
        self.publisher.publish_endpoints([make_view("c")])
        self.publisher.publish_endpoints([make_view("d")])
        state = self.poll(state)
        self.assertEqual(set(state.endpoint_by_id), {"desk/d"})

    def test_configuration_does_not_revert(self) -> None:
        state = self.poll(GatewayState())
        self.publisher = self.make_publisher(2)
        self.configuration = make_configuration(2)
        state = self.poll(state)
        self.assertEqual((state.configuration.number, state.current), (3, False))

    def test_load_report_keeps_its_age(self) -> None:
        self.publisher.publish_endpoints([make_view("a", report=LoadReport(3, 1, 20.0, 98.5))])
        state = self.poll(GatewayState())
        self.assertAlmostEqual(state.endpoint_by_id["desk/a"].report.taken_at, 98.5)

    def test_demand_is_summed_and_unmet_counts_once(self) -> None:
        for name in ("g", "h"):
            demand = Demand(model="m", requests_per_second=2.0, in_progress=1, unmet=4)
            self.poll(GatewayState(), GatewayReport(gateway=name, incarnation=1, demands=(demand,)))
        total = Demand(model="m", requests_per_second=4.0, in_progress=2, unmet=8)
        self.assertEqual(self.publisher.collect_demands(), [total])
        self.assertEqual(self.publisher.collect_demands(), [attrs.evolve(total, unmet=0)])
        self.now += 60
        self.assertEqual(self.publisher.collect_demands(), [])

    def test_burn_is_counted_once_and_ages(self) -> None:
        report = GatewayReport(gateway="g", incarnation=1, burn=(Bucket("desk", "live", 0, 9, 8),))
        self.poll(GatewayState(), report)
        self.poll(GatewayState(), report)
        self.poll(GatewayState())
        self.now += 120
        self.assertEqual(self.publisher.list_burn(), [Bucket("desk", "live", 2, 9, 8)])

    def test_incomplete_report_is_refused(self) -> None:
        with self.assertRaisesRegex(Exception, "absent"):
            self.publisher.handle_request(
                ttypes.SnapshotRequest(0, 0, 0, ttypes.GatewayReport("g"), 0)
            )

    def test_crashes_of_all_origins_add_up_until_cleared(self) -> None:
        crashes = [make_event("a", 1), make_event("b", 1, at=1.0)]
        statuses = []
        for events in (crashes[:1], crashes, [*crashes, make_event("c", 1, True, at=2.0)]):
            suspects = Suspects("observer")
            suspects.merge(make_suspect_events(events, 3.0), 3.0)
            statuses.append(suspects.status("f", 3.0))
        self.assertEqual(
            statuses, [SuspectStatus.SUSPECT, SuspectStatus.QUARANTINED, SuspectStatus.HARMLESS]
        )

    def test_one_crash_seen_by_two_gateways_counts_once(self) -> None:
        """Guards against a quarantine after a single crash."""
        events = [make_event("a", 1), attrs.evolve(make_event("b", 1), endpoint="desk/a")]
        suspects = Suspects("observer")
        suspects.merge(make_suspect_events(events, 1.0), 1.0)
        self.assertIs(suspects.status("f", 1.0), SuspectStatus.SUSPECT)

    def test_unknown_kind_of_event_is_ignored(self) -> None:
        """Guards against failing on event kinds that only a newer peer knows."""
        sent = thriftfields.encode_suspects([make_event("a", 1), make_event("a", 2)], 1.0)
        sent[0].kind = "something newer"
        self.assertEqual([e.sequence for e in thriftfields.decode_suspects(sent, 1.0)], [2])


class SnapshotClientTest(unittest.TestCase):
    """Client and server over real sockets, through a restart of the controller."""

    def setUp(self) -> None:
        self.snapshots: list[Snapshot] = []
        self.changed = threading.Condition()
        self.suspects: list[Suspect] = []
        self.undelivered: list[Suspect] = []

    def start_controller(self, incarnation: int, address: str = "127.0.0.1:0"):
        configuration = make_configuration(3)
        publisher = SnapshotPublisher(
            incarnation, lambda: configuration, lambda: True, self.suspects.extend
        )

        class Handler:
            def snapshot(self, request: ttypes.SnapshotRequest) -> ttypes.SnapshotReply:
                return publisher.handle_request(request)

        server = PeerServer(address, Handler(), SECRET)
        server.start()
        self.addCleanup(server.close)
        self.addCleanup(publisher.close)
        return publisher, server

    def record_snapshot(self, snapshot: Snapshot) -> None:
        with self.changed:
            self.snapshots.append(snapshot)
            self.changed.notify_all()

    def make_report(self) -> GatewayReport:
        events, self.undelivered = tuple(self.undelivered), []
        return GatewayReport(gateway="g", incarnation=1, suspects=events)

    def wait_for(self, is_expected) -> None:
        with self.changed:
            found = self.changed.wait_for(lambda: any(map(is_expected, self.snapshots)), 20)
        self.assertTrue(found)

    def test_keeps_the_last_snapshot_and_reconnects(self) -> None:
        publisher, server = self.start_controller(1)
        client = SnapshotClient(server.address, SECRET, 0.3, random.Random(1))
        client.start(self.record_snapshot, self.make_report)
        self.addCleanup(client.close)
        publisher.publish_endpoints([make_view("a")])
        self.wait_for(lambda s: "desk/a" in s.endpoint_by_id)
        publisher.close()
        server.close()
        self.wait_for(lambda s: not s.current)
        self.assertIn("desk/a", self.snapshots[-1].endpoint_by_id)
        self.undelivered = [make_event("n", 1)]
        restarted, _ = self.start_controller(2, server.address)
        restarted.publish_endpoints([make_view("b")])
        self.wait_for(lambda s: "desk/b" in s.endpoint_by_id and s.current)
        self.assertEqual({event.event_id for event in self.suspects}, {("n", 1)})

    def test_urgent_report_does_not_wait_for_the_long_poll(self) -> None:
        publisher, server = self.start_controller(1)
        client = SnapshotClient(server.address, SECRET, 5.0, random.Random(1))
        client.start(self.record_snapshot, self.make_report)
        self.addCleanup(client.close)
        self.wait_for(lambda s: s.revision > 0)
        self.undelivered = [make_event("n", 1)]
        client.report_now()
        deadline = time.monotonic() + 20
        while not self.suspects and time.monotonic() < deadline:
            time.sleep(0.01)
        self.assertEqual(self.suspects[0].event_id, ("n", 1))


if __name__ == "__main__":
    unittest.main()
