"""Gossip membership: convergence, traffic, shares and failure detection with 8 and 420 nodes."""

import random
import unittest

import attrs
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.transport.TTransport import TFramedTransport, TMemoryBuffer

from catkinhook.peering import controllermessages, peers
from catkinhook.peering.membership import (
    MAX_PARTITION_TIME_S,
    Digest,
    HeartbeatEntry,
    Member,
    Membership,
    MemberState,
)
from catkinhook.peering.suspectlog import MAX_EVENTS, SuspectLog
from catkinhook.thrift_gen import Controller
from tests.test_snapshots import make_event

BASE_INTERVAL_S = 0.5
TRAFFIC_LIMIT_BYTES_PER_S = 3 * 1024  # for one node
CHANGES_PER_DAY = 6500
HANDSHAKE_BYTES = len(peers.MAGIC) + 2 * peers.NONCE_BYTES + 2 * peers.PROOF_BYTES


def make_member(index: int, **fields) -> Member:
    zone = index % 16
    return Member(
        **{
            "node": f"entry-{index:03d}",
            "incarnation": 1_700_000_000_000,
            "heartbeat": 1,
            "address": f"10.0.{index // 250}.{index % 250}:7100",
            "zone": f"north-{zone}",
            "region": f"region-{zone % 5}",
            "weight": 1.0,
        }
        | fields
    )


def measure_call(request: Digest, reply: Digest) -> int:
    """Return the bytes of one exchange, both messages with their frames."""
    total = 0
    for digest, is_call in ((request, True), (reply, False)):
        buffer = TMemoryBuffer()
        client = Controller.Client(TBinaryProtocol(TFramedTransport(buffer)))
        struct = controllermessages.encode_digest(digest, (), 0.0)
        if is_call:
            client.send_exchange(struct)
        else:
            handler = type("Handler", (), {"exchange": lambda self, _, struct=struct: struct})()
            call = TMemoryBuffer()
            Controller.Client(TBinaryProtocol(call)).send_exchange(struct)
            source = TBinaryProtocol(TMemoryBuffer(call.getvalue()))
            target = TBinaryProtocol(TFramedTransport(buffer))
            Controller.Processor(handler).process(source, target)
        total += len(buffer.getvalue())
    return total


class Group:
    """Nodes that exchange digests in memory; each node starts one exchange a round.

    :param all_known: whether each node knows all others from the start.
    """

    def __init__(self, size: int, all_known: bool) -> None:
        self.rng = random.Random(size)
        self.nodes = [Membership(make_member(i), random.Random(i)) for i in range(size)]
        self.node_by_address = {node.own.address: node for node in self.nodes}
        self.seeds = [self.nodes[0].own.address, self.nodes[size // 2].own.address]
        self.now = 0.0
        self.exchange_sizes: list[int] = []
        if all_known:
            self._introduce_all()

    def _introduce_all(self) -> None:
        members = [node.own for node in self.nodes]
        for node in self.nodes:
            for start in range(0, len(members), 64):
                sender = members[(start + 64) % len(members)]
                node.merge(Digest(sender=sender, members=tuple(members[start : start + 64])), 0.0)

    def run_round(self) -> None:
        interval = self.nodes[0].exchange_interval(BASE_INTERVAL_S)
        for position, node in enumerate(self.rng.sample(self.nodes, len(self.nodes))):
            at = self.now + interval * position / len(self.nodes)
            node.advance_heartbeat(0)
            address = node.choose_peer(self.seeds, at)
            other = self.node_by_address.get(address)
            if other is None:
                if address:
                    node.record_failure(address, at)
                continue
            request = node.make_digest(at)
            other.merge(request, at)
            reply = other.make_digest(at, request)
            node.merge(reply, at)
            if position % 16 == 0:
                self.exchange_sizes.append(measure_call(request, reply))
        self.now += interval

    def run_until(self, condition, limit: int) -> int:
        """Run rounds until a condition holds; return their number, at most ``limit``."""
        for count in range(limit):
            if condition():
                return count
            self.run_round()
        return limit

    def broadcast(self) -> tuple[int, int]:
        """Return how many nodes an urgent update reaches, and how many digests that takes."""
        reached, calls = {self.nodes[0].own.address}, 0
        fresh = list(reached)
        while fresh:
            targets = [
                a for f in fresh for a in self.node_by_address[f].choose_broadcast_targets(self.now)
            ]
            calls += len(targets)
            fresh = list(set(targets) - reached)
            reached.update(fresh)
        return len(reached), calls

    def count_live_at(self, member: Member) -> int:
        """Return the number of other nodes that consider an incarnation live."""
        others = [node for node in self.nodes if node.own.node != member.node]
        name = (member.node, member.incarnation)
        return sum(node.find_state(*name, self.now) is MemberState.LIVE for node in others)


class ConvergenceTest(unittest.TestCase):
    def test_eight_nodes_discover_each_other_from_two_seeds(self) -> None:
        group = Group(8, all_known=False)
        rounds = group.run_until(
            lambda: all(len(n.live_members(group.now)) == 8 for n in group.nodes), 20
        )
        self.assertLessEqual(rounds, 6)
        self.assertAlmostEqual(sum(node.limit_share(group.now) for node in group.nodes), 1.0)
        self.assertEqual(group.broadcast()[0], 8)
        size = max(group.exchange_sizes)
        print(f"8 nodes: discovered after {rounds} rounds, {size} bytes an exchange")

    def test_only_the_dead_node_is_suspected(self) -> None:
        group = Group(8, all_known=True)
        group.run_round()
        dead = group.nodes.pop()
        del group.node_by_address[dead.own.address]
        rounds = group.run_until(lambda: group.count_live_at(dead.own) == 0, 30)
        self.assertLess(rounds * BASE_INTERVAL_S, 10)
        self.assertTrue(all(group.count_live_at(node.own) == 6 for node in group.nodes))

    def test_420_nodes_learn_of_a_join_and_a_restart_within_the_traffic_limit(self) -> None:
        """Digests must not grow with the group, and no live member may be suspected."""
        group = Group(420, all_known=True)
        interval = group.nodes[0].exchange_interval(BASE_INTERVAL_S)
        for _ in range(3):
            group.run_round()
        restarted = group.nodes[7]
        rejoined = attrs.evolve(
            restarted.own, incarnation=restarted.own.incarnation + 9, heartbeat=0
        )
        joining = Membership(make_member(420), random.Random(420))
        group.nodes[7] = Membership(rejoined, random.Random(7))
        group.nodes.append(joining)
        for node in (group.nodes[7], joining):
            group.node_by_address[node.own.address] = node
        rounds = group.run_until(
            lambda: group.count_live_at(joining.own) == group.count_live_at(rejoined) == 420, 25
        )
        self.assertLess(rounds, 25)
        suspected = sum(
            state is not MemberState.LIVE
            for node in group.nodes
            for _, state in node.members(group.now)
        )
        self.assertEqual(suspected, 0)
        reached, calls = group.broadcast()
        self.assertGreaterEqual(reached, 0.95 * 421)
        update = measure_call(joining.make_digest(group.now, None, True), Digest(sender=rejoined))
        exchange = sum(group.exchange_sizes) / len(group.exchange_sizes) + HANDSHAKE_BYTES
        broadcasts = (update + HANDSHAKE_BYTES) * 2 * calls / 421 * CHANGES_PER_DAY / 86400
        # A node takes part in two exchanges an interval: one as the client, one as the server.
        total = 2 * exchange / interval + broadcasts
        print(
            f"420 nodes: join and restart known after {rounds} rounds of {interval} s; "
            f"{exchange:.0f} bytes an exchange at {max(group.exchange_sizes)} most; update reached "
            f"{reached} of 421 in {calls} calls of {update} bytes; {total:.0f} bytes a second"
        )
        self.assertLess(total, TRAFFIC_LIMIT_BYTES_PER_S)


class ShareTest(unittest.TestCase):
    def setUp(self) -> None:
        self.nodes = [make_member(i, weight=1.0 + i % 2) for i in range(8)]
        self.own = Membership(self.nodes[0], random.Random(1))

    def merge_members(self, members: list[Member], now: float, heartbeat: int = 1) -> None:
        for member in members:
            self.own.merge(Digest(sender=attrs.evolve(member, heartbeat=heartbeat)), now)

    def test_share_follows_weights(self) -> None:
        self.merge_members(self.nodes[1:], 0.0)
        self.assertAlmostEqual(self.own.limit_share(0.0), 1 / 12)

    def test_node_without_peers_does_not_take_the_whole_limit(self) -> None:
        """A node that has just started must not admit requests up to the whole limit."""
        self.assertAlmostEqual(self.own.limit_share(0.0, seed_count=7), 1 / 8)

    def test_share_of_a_dead_node_goes_to_the_others(self) -> None:
        self.merge_members(self.nodes[1:], 0.0)
        self.merge_members(self.nodes[2:], 20.0, 2)
        self.assertAlmostEqual(self.own.limit_share(20.0), 1 / 10)

    def test_shares_are_kept_during_a_partition(self) -> None:
        """The two sides of a partition must not each take the whole limit."""
        self.merge_members(self.nodes[1:], 0.0)
        for step in range(1, 350):
            self.merge_members(self.nodes[5:], 10.0 * step, step + 1)
            self.assertAlmostEqual(self.own.limit_share(10.0 * step), 1 / 12)
        self.merge_members(self.nodes[5:], MAX_PARTITION_TIME_S + 10, 999)
        self.assertAlmostEqual(self.own.limit_share(MAX_PARTITION_TIME_S + 10), 1 / 6)

    def test_failed_peer_is_skipped_in_broadcasts(self) -> None:
        self.merge_members(self.nodes[1:], 0.0)
        self.own.record_failure(self.nodes[3].address, 1.0)
        self.assertNotIn(self.nodes[3].address, self.own.choose_broadcast_targets(1.0))
        self.merge_members([self.nodes[3]], 2.0, 2)
        self.assertIn(self.nodes[3].address, self.own.choose_broadcast_targets(2.0))

    def test_leaving_node_releases_its_share(self) -> None:
        self.merge_members(self.nodes[1:], 0.0)
        self.merge_members([attrs.evolve(self.nodes[1], leaving=True)], 0.0, 2)
        self.assertAlmostEqual(self.own.limit_share(0.0), 1 / 10)
        self.assertEqual(len(self.own.live_members(0.0)), 7)

    def test_older_incarnation_is_ignored(self) -> None:
        """A delayed digest must not restore the state from before a restart."""
        new = attrs.evolve(self.nodes[1], incarnation=self.nodes[1].incarnation + 1)
        self.merge_members([new], 0.0)
        self.merge_members([self.nodes[1]], 1.0, 500)
        self.assertEqual(self.own.live_members(1.0)[1].incarnation, new.incarnation)

    def test_lower_incarnation_after_a_restart_is_raised(self) -> None:
        old = attrs.evolve(self.nodes[0], incarnation=self.nodes[0].incarnation + 5)
        self.own.merge(
            Digest(sender=self.nodes[1], members=(old,), beats=(HeartbeatEntry(1, 1),)), 0.0
        )
        self.assertGreater(self.own.own.incarnation, old.incarnation)

    def test_invalid_members_are_ignored(self) -> None:
        bad = [
            attrs.evolve(self.nodes[1], **change)
            for change in (
                {"address": "host:1"},
                {"weight": float("nan")},
                {"weight": 0.0},
                {"node": "n" * 300},
                {"heartbeat": 2**40},
            )
        ]
        self.merge_members(bad[:4], 0.0)
        self.own.merge(Digest(sender=bad[4]), 0.0)
        self.assertEqual(len(self.own.live_members(0.0)), 1)

    def test_most_exchanges_stay_in_the_zone(self) -> None:
        members = [make_member(i) for i in range(64)]
        self.merge_members(members[1:], 0.0)
        zone = {m.address for m in members if m.zone == self.nodes[0].zone}
        chosen = [self.own.choose_peer([], 0.0) for _ in range(1000)]
        in_zone = sum(address in zone for address in chosen)
        self.assertGreater(in_zone, 400)
        self.assertLess(in_zone, 600)


class SuspectLogTest(unittest.TestCase):
    def test_is_bounded_and_stores_each_event_once(self) -> None:
        log = SuspectLog()
        events = [make_event("n", i, at=i / 1000) for i in range(MAX_EVENTS + 9)]
        self.assertEqual(len(log.add(events, 1.0)), MAX_EVENTS + 9)
        self.assertEqual(log.add(events[-1:], 1.0), [])
        self.assertEqual(len(log.newest(10_000)), MAX_EVENTS)


if __name__ == "__main__":
    unittest.main()
