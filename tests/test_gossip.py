"""Gossip among eight controllers on loopback, which spreads configurations and suspect events."""

import random
import time
import unittest

from result import Err, Result

from catkinhook.emulators.inmemory import MemoryTable
from catkinhook.errors import StoreError
from catkinhook.operations.overview import OverviewCollector
from catkinhook.peering.controllerhandler import ControllerHandler, ModelStatus, OrderStatus
from catkinhook.peering.gossip import Gossip
from catkinhook.peering.peers import PeerPool, PeerServer
from catkinhook.state.configuration import ConfigurationPoller, ConfigurationStore
from catkinhook.state.snapshots import SnapshotPublisher
from tests.test_configuration import render_document
from tests.test_membership import make_member
from tests.test_snapshots import make_event

SECRET = b"sixteen bytes or more"
HEAD_INTERVAL_S = 2.0
HANG_TIMEOUT_S = 30.0


class UnreliableTable:
    """One instance's connection to the shared store, with faults.

    :ivar down: whether calls fail.
    :ivar delay: seconds added to each call.
    """

    def __init__(self, table: MemoryTable) -> None:
        self.down = False
        self.delay = 0.0
        self._table = table

    def __getattr__(self, method: str):
        def call(*args, **options) -> Result:
            time.sleep(self.delay)
            if self.down:
                return Err(StoreError("tables", "memory", "is unavailable"))
            return getattr(self._table, method)(*args, **options)

        return call


class Fleet:
    """Fleet stub with one model and no endpoints."""

    def request_adapter(self, model: str, adapter: str) -> bool:
        return adapter == "formal"

    def describe_models(self) -> list[ModelStatus]:
        return [ModelStatus("summary", 2, ("zone-a",), 2)]

    def describe_orders(self) -> list[OrderStatus]:
        return [OrderStatus("desk/a", "o1", "load_model", "summary", 1.5)]


class Node:
    """A controller without endpoints."""

    def __init__(self, index: int, table: MemoryTable, seeds: list[str], incarnation: int) -> None:
        self.table = UnreliableTable(table)
        self.applied_numbers: list[int] = []
        self.suspects = []
        self.store = ConfigurationStore(self.table)
        self.poller = ConfigurationPoller(
            self.store, lambda after: self.gossip.fetch_changes(after), HEAD_INTERVAL_S, 15.0
        )
        self.publisher = SnapshotPublisher(
            1, lambda: self.poller.state, lambda: self.poller.current, self._add_suspects
        )
        self.pool = PeerPool(SECRET, 2.0)
        self.gossip = Gossip(
            make_member(index, incarnation=incarnation),
            self.pool,
            lambda: seeds,
            0.2,
            self.poller.record_peer_number,
            self._set_suspects,
            lambda: self.poller.state.number,
            random.Random(index),
        )
        self.handler = ControllerHandler(self.gossip, self.poller, self.publisher, Fleet())
        self.server = PeerServer("127.0.0.1:0", self.handler, SECRET)
        self.gossip.set_address(self.server.bind())
        self.poller.subscribe(self._apply)
        for part in (self.server, self.poller, self.gossip):
            part.start()

    def _add_suspects(self, events) -> None:
        self.gossip.add_suspects(events)

    def _set_suspects(self, events) -> None:
        self.suspects = events

    def _apply(self, catalog) -> None:
        self.applied_numbers.append(catalog.number)
        self.gossip.announce_configuration()

    def close(self) -> None:
        for part in (self.server, self.gossip, self.poller, self.pool):
            part.close()


class GossipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = MemoryTable()
        self.seeds: list[str] = []
        self.nodes: list[Node] = []
        self.addCleanup(lambda: [node.close() for node in self.nodes])
        for index in range(8):
            self.add_node(index, 1000)
        self.wait_for(lambda: all(len(node.gossip.live_members()) == 8 for node in self.nodes))

    def add_node(self, index: int, incarnation: int) -> Node:
        node = Node(index, self.table, self.seeds, incarnation)
        self.nodes.append(node)
        if len(self.seeds) < 2:
            self.seeds.append(node.server.address)
        return node

    def wait_for(self, condition) -> float:
        started = time.monotonic()
        while time.monotonic() - started < HANG_TIMEOUT_S:
            if condition():
                return time.monotonic() - started
            time.sleep(0.005)
        raise AssertionError(f"condition was not met within {HANG_TIMEOUT_S} s")

    def is_in_force(self, number: int) -> bool:
        return all(node.poller.state.number == number for node in self.nodes)

    def commit(self, owner: str, node: Node) -> int:
        seen = node.store.read("desk").unwrap()
        version = seen.version if seen else 0
        change = node.store.commit("desk", render_document("desk", owner), version, owner)
        return change.unwrap().number

    def test_change_takes_effect_everywhere_within_seconds(self) -> None:
        """The store is unreachable for one instance and slow for another."""
        self.nodes[3].table.down = True
        self.nodes[4].table.delay = 1.0
        number = self.commit("first", self.nodes[0])
        self.nodes[0].poller.request_poll()
        seconds = self.wait_for(lambda: self.is_in_force(number))
        self.assertLess(seconds, 10.0)
        print(f"8 controllers: in force everywhere after {seconds:.2f} s")

    def test_outage_restart_and_recovery_never_revert(self) -> None:
        """An instance that restarts during an outage must not revert to an older configuration."""
        first = self.commit("first", self.nodes[0])
        self.wait_for(lambda: self.is_in_force(first))
        for node in self.nodes[1:]:
            node.table.down = True
        second = self.commit("second", self.nodes[0])
        self.nodes[0].poller.poll()
        self.table.faults.down = True
        self.wait_for(lambda: self.is_in_force(second))
        self.nodes.pop(5).close()
        # After the reboot the host's clock is behind, so its incarnation is lower than before.
        restarted = self.add_node(5, 10)
        restarted.table.down = True
        self.wait_for(lambda: self.is_in_force(second))
        self.wait_for(lambda: all(node.poller.current for node in self.nodes))
        self.table.faults.down = False
        for node in self.nodes:
            node.table.down = False
        third = self.commit("third", self.nodes[2])
        self.wait_for(lambda: self.is_in_force(third))
        for node in self.nodes:
            self.assertEqual(node.applied_numbers, sorted(set(node.applied_numbers)))

    def test_suspects_reach_all_nodes(self) -> None:
        expected = {("entry-000", 1), ("entry-001", 1)}
        for origin, index in (("entry-000", 0), ("entry-001", 1)):
            event = make_event(origin, 1, at=time.monotonic())
            self.nodes[index].gossip.add_suspects([event])
        seconds = self.wait_for(
            lambda: all({e.event_id for e in n.suspects} == expected for n in self.nodes)
        )
        print(f"8 controllers: suspect known everywhere after {seconds:.3f} s")

    def test_change_takes_effect_while_the_store_is_slow_for_all(self) -> None:
        self.table.faults.slow = 0.4
        number = self.commit("first", self.nodes[0])
        self.nodes[0].poller.request_poll()
        seconds = self.wait_for(lambda: self.is_in_force(number))
        self.assertLess(seconds, 10.0)
        print(f"8 controllers, store slow by 0.4 s: in force everywhere after {seconds:.2f} s")

    def test_status_lists_unreachable_instances(self) -> None:
        queried, stopped = self.nodes[0], self.nodes[7]
        stopped.server.close()
        collector = OverviewCollector(
            queried.pool, queried.gossip.live_members, queried.handler.describe
        )
        overview = collector.collect()
        self.assertEqual(overview.missing, [stopped.gossip.own_member().node])
        self.assertEqual(len(overview.instances), 7)
        self.assertEqual(overview.models[0].wanted, 2)
        self.assertEqual({order.age for order in overview.orders}, {1.5})
        answer = queried.pool.call(self.nodes[1].server.address, "request_adapter", "m", "formal")
        self.assertTrue(answer.unwrap())

    def test_leaving_node_is_not_live_anywhere(self) -> None:
        self.nodes.pop().close()
        self.wait_for(lambda: all(len(node.gossip.live_members()) == 7 for node in self.nodes))


if __name__ == "__main__":
    unittest.main()
