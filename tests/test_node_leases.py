"""Heartbeats, lease expiry and the assignment of endpoints to nodes."""

import unittest

from catkinhook.control.leases import (
    Heartbeat,
    LeaseObserver,
    NodeRow,
    choose_owner,
    claim_incarnation,
    record_node_end,
    renew,
)
from catkinhook.emulators.inmemory import MemoryTable
from tests.control_fakes import VirtualClock


def node(name: str, nonce: str, incarnation: int = 1, ended: bool = False) -> NodeRow:
    return NodeRow(node=name, incarnation=incarnation, nonce=nonce, ended=ended)


class LeasesTest(unittest.TestCase):
    def test_lease_expires_on_the_observers_clock(self) -> None:
        """Guards against an owner that is never replaced, or replaced too early."""
        leases = LeaseObserver(10.0)
        for now in range(0, 10, 3):
            liveness = leases.observe([node("a", "1"), node("b", str(now))], float(now))
            self.assertEqual(liveness.live.keys(), {"a", "b"})
        liveness = leases.observe([node("a", "1"), node("b", "12")], 12.0)
        self.assertEqual(liveness.live.keys(), {"b"})

    def test_store_outage_expires_no_lease(self) -> None:
        """Guards against takeovers of all endpoints after a store outage."""
        leases = LeaseObserver(10.0)
        leases.observe([node("a", "1")], 0.0)
        self.assertTrue(leases.observe([node("a", "1")], 3600.0).is_live("a", 1))
        self.assertTrue(leases.observe([node("a", "1")], 3604.9).is_live("a", 1))
        for now in (3608.0, 3611.0):
            liveness = leases.observe([node("a", "1")], now)
        self.assertFalse(liveness.is_live("a", 1))

    def test_only_a_restart_or_a_stop_ends_an_incarnation(self) -> None:
        """Guards against treating an expired lease as proof that no more orders are sent."""
        leases = LeaseObserver(10.0)
        for now in (0.0, 4.0, 8.0, 12.0):
            liveness = leases.observe([node("a", "1"), node("b", "1")], now)
        self.assertFalse(liveness.is_live("a", 1))
        self.assertIsNone(liveness.ended_at("a", 1))
        rows = [node("a", "2", incarnation=2), node("b", "2", ended=True)]
        liveness = leases.observe(rows, 16.0)
        self.assertEqual(liveness.ended_at("a", 1), 16.0)
        self.assertIsNone(liveness.ended_at("a", 2))
        self.assertEqual(liveness.ended_at("b", 1), 16.0)

    def test_restart_increments_the_incarnation(self) -> None:
        """Guards against a restarted controller that has the identity of the previous process."""
        table = MemoryTable()
        template = NodeRow(node="a", incarnation=0)
        first = claim_incarnation(table, template).unwrap()
        second = claim_incarnation(table, template).unwrap()
        self.assertEqual((first.incarnation, second.incarnation), (1, 2))
        self.assertTrue(renew(table, first).is_err())

    def test_stop_is_recorded(self) -> None:
        """Guards against waiting for the lease to expire after a planned stop."""
        table, clock = MemoryTable(), VirtualClock()
        template = NodeRow(node="a", incarnation=0)
        heartbeat = Heartbeat(table, template, 60.0, 200.0, clock)
        heartbeat.start()
        self.assertEqual(heartbeat.liveness.owner_of("s/e"), "a")
        heartbeat.close()
        self.assertTrue(table.read("nodes", "a").unwrap().value["ended"])

    def test_operator_records_the_end_of_a_node(self) -> None:
        """Guards against orders of a replaced host that stay open forever."""
        table, leases = MemoryTable(), LeaseObserver(10.0)
        claim_incarnation(table, NodeRow(node="a", incarnation=0))
        self.assertTrue(record_node_end(table, "unknown").is_err())
        leases.observe([record_node_end(table, "a").unwrap()], 5.0)
        self.assertEqual(leases.observe([], 6.0).ended_at("a", 1), 5.0)

    def test_assignment_is_stable_and_weighted(self) -> None:
        """Guards against a takeover of endpoints whose owner is live."""
        endpoints = [f"s/e{i}" for i in range(2000)]
        weights = {"a": 1.0, "b": 1.0, "c": 2.0}
        before = {e: choose_owner(e, weights) for e in endpoints}
        share = sum(owner == "c" for owner in before.values()) / len(endpoints)
        self.assertAlmostEqual(share, 0.5, delta=0.05)
        after = {e: choose_owner(e, {"a": 1.0, "c": 2.0}) for e in endpoints}
        moved = {before[e] for e in endpoints if before[e] != after[e]}
        self.assertEqual(moved, {"b"})
        self.assertEqual(choose_owner("s/e", {}), "")


if __name__ == "__main__":
    unittest.main()
