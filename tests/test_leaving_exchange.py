"""Exchange between hosts about endpoints that said that they leave."""

import random
import time
import unittest
from unittest import mock

from thrift.transport.TTransport import TMemoryBuffer

from catkinhook.clocks import monotonic
from catkinhook.control.enginerecords import EngineRecord
from catkinhook.control.provisioning import Provisioner
from catkinhook.hostsettings import Bounds
from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.peering.holderlink import HolderLink
from catkinhook.peering.hostmessages import (
    MAX_LEAVING_SENT,
    HolderView,
    HostReport,
    decode_report,
    decode_view,
    encode_report,
    encode_view,
    make_holding,
)
from catkinhook.peering.peers import COMPACT_PROTOCOL
from catkinhook.peering.readers import Member
from catkinhook.requests.endpointavailability import (
    OWN_SOURCE,
    AvailabilityChange,
    EndpointAvailability,
    LeavingEndpoint,
)
from catkinhook.requests.hostscheduler import Scheduler
from catkinhook.state.views import EndpointView
from catkinhook.stateactor import StateActor
from catkinhook.thrift_hosts import ttypes

NOW = 50.0
LEAVING = LeavingEndpoint(endpoint="e1", boot_id="1", told_at=NOW - 2.0)


class OlderReport(ttypes.HostReport):
    """Report of a process that doesn't know the field ``leaving``."""

    thrift_spec = ttypes.HostReport.thrift_spec[:12]


class OlderView(ttypes.HolderView):
    """Answer of a process that doesn't know the field ``leaving``."""

    thrift_spec = ttypes.HolderView.thrift_spec[:12]


def send(struct: object, received: object) -> object:
    """Write a struct and read it as another one."""
    buffer = TMemoryBuffer()
    struct.write(COMPACT_PROTOCOL.getProtocol(buffer))
    received.read(COMPACT_PROTOCOL.getProtocol(TMemoryBuffer(buffer.getvalue())))
    return received


def make_report(**changes: object) -> HostReport:
    """Return a report without demand."""
    fields = {
        "node": "front-2",
        "address": "10.0.0.2:1",
        "incarnation": "a",
        "configuration": 1,
        "demand_by_item": {},
        "running_by_use": {},
    }
    return HostReport(**{**fields, **changes})


def make_view(boot_id: str = "1") -> EndpointView:
    """Return an engine with one model."""
    return EndpointView(
        endpoint="e1",
        address="10.0.1.1:1",
        service="llm",
        zone="z",
        boot_id=boot_id,
        models=frozenset({"m1"}),
        slots=2,
    )


class LeavingMessagesTest(unittest.TestCase):
    """The optional field of reports and views."""

    def test_report_and_view_carry_what_leaves(self) -> None:
        """Guards against a holder and hosts that learn of it only from the store."""
        report = make_report(leaving=(LEAVING,))
        received = send(encode_report(report, NOW), ttypes.HostReport())
        self.assertEqual(decode_report(received, NOW).leaving, (LEAVING,))
        view = HolderView(node="h", fence=1, holds=True, leaving=(LEAVING,))
        received = send(encode_view(view, NOW), ttypes.HolderView())
        self.assertEqual(decode_view(received, NOW).leaving, (LEAVING,))

    def test_processes_of_both_versions_understand_each_other(self) -> None:
        """Guards against hosts that don't hear each other while versions are mixed."""
        report = make_report(leaving=(LEAVING,), down=frozenset({"e2"}))
        older = send(encode_report(report, NOW), OlderReport())
        self.assertEqual(older.down, ["e2"])
        report_of_older = decode_report(send(older, ttypes.HostReport()), NOW)
        self.assertEqual((report_of_older.leaving, report_of_older.down), ((), {"e2"}))
        view = HolderView(node="h", fence=7, holds=True, leaving=(LEAVING,))
        older = send(encode_view(view, NOW), OlderView())
        self.assertEqual(older.fence, 7)
        view_of_older = decode_view(send(older, ttypes.HolderView()), NOW)
        self.assertEqual((view_of_older.leaving, view_of_older.fence), ((), 7))

    def test_newest_are_sent_if_there_are_many(self) -> None:
        """Guards against messages whose size nothing bounds."""
        many = tuple(
            LeavingEndpoint(endpoint=f"e{number}", boot_id="1", told_at=NOW - number)
            for number in range(MAX_LEAVING_SENT + 10)
        )
        sent = encode_report(make_report(leaving=many), NOW).leaving
        self.assertEqual(len(sent), MAX_LEAVING_SENT)
        self.assertEqual(sent[0].endpoint, "e0")


class LeavingExchangeTest(unittest.TestCase):
    """What the holder and other hosts do with it."""

    def make_host(self, node: str, holds: bool) -> tuple[HolderLink, EndpointAvailability, list]:
        """Return a host that knows an engine, and the changes that it reports."""
        changes: list[AvailabilityChange] = []
        availability = EndpointAvailability()
        availability.on_change = changes.append
        scheduler = StateActor(
            Scheduler("z", node, Bounds(), random.Random(1), availability=availability)
        )
        scheduler.start()
        self.addCleanup(scheduler.close)
        link = HolderLink(
            node,
            Member(address="10.0.0.1:1", zone="z", cores=1.0),
            "a",
            scheduler,
            mock.Mock(),
            mock.Mock(),
            DecisionLog(node),
            monotonic,
        )
        lease = mock.Mock(is_held=mock.Mock(return_value=holds), version=lambda: 1)
        link.set_dependencies(lease, lambda: 1, lambda address: None)
        view = HolderView(node=node, fence=1, holds=True)
        link._coordinator.handle_report.return_value = view
        link.set_endpoints({"e1": make_view()})
        return link, availability, changes

    def test_host_hears_of_it_from_the_holder(self) -> None:
        """Guards against requests of other hosts until the entry of the endpoint changes."""
        first, availability, _ = self.make_host("front-1", False)
        holder, _, holder_changes = self.make_host("front-2", True)
        other, other_availability, other_changes = self.make_host("front-3", False)
        now = time.monotonic()
        availability.record_leaving(make_view(), OWN_SOURCE, now - 0.5, now)
        view = holder.handle_report(first.make_report())
        self.assertEqual([leaving.endpoint for leaving in view.leaving], ["e1"])
        other._merge_leaving(view.leaving, view.node)
        self.assertEqual(len(other.make_report().leaving), 1)
        self.assertTrue(other_availability.is_leaving("e1", "1"))
        for changes, source in ((holder_changes, "front-1"), (other_changes, "front-2")):
            self.assertEqual([change.source for change in changes], [source])
            self.assertGreaterEqual(changes[0].age_s, 0.5)

    def test_earlier_boot_is_not_reported(self) -> None:
        """Guards against leaving out an engine that started again under its id."""
        link, availability, _ = self.make_host("front-1", False)
        now = time.monotonic()
        availability.record_leaving(make_view(), OWN_SOURCE, now, now)
        link.set_endpoints({"e1": make_view("2")})
        self.assertEqual(link.make_report().leaving, ())
        link._merge_leaving((LEAVING,), "front-2")
        self.assertEqual(link.make_report().leaving, ())
        self.assertFalse(availability.is_leaving("e1", "2"))

    def test_holding_of_an_engine_that_leaves_is_empty(self) -> None:
        """Guards against a holder that counts its models as copies and orders loads there."""
        provisioner = Provisioner("front-1", Bounds())
        provisioner.set_endpoints([make_view()], NOW)
        record: EngineRecord = provisioner._record_by_id["e1"]
        record.sequence, record.adapters = 0, {"m1": set()}
        self.assertTrue(record.is_free)
        provisioner.record_leaving([("e1", "0"), ("e2", "1")])
        self.assertEqual(make_holding(record).models, {"m1"})
        provisioner.record_leaving([("e1", "1")])
        self.assertEqual(make_holding(record).models, frozenset())
        self.assertFalse(record.is_free)
        provisioner.set_endpoints([make_view("2")], NOW)
        self.assertTrue(provisioner._record_by_id["e1"].is_usable)


if __name__ == "__main__":
    unittest.main()
