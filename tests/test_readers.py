"""Readers of the store: their choice, and how soon all other hosts learn of a change."""

import random
import unittest

import attrs

from catkinhook.host import PEER_TIMEOUT_S
from catkinhook.peering.readers import (
    FALLBACK_S,
    HOLD_SHARE,
    MAX_AGE_SHARE,
    MAX_FAILED_READERS,
    MIN_HOSTS_WITH_READERS,
    MIN_READERS,
    POLL_WAIT_SHARE,
    STORE_ANSWER_S,
    Member,
    Reader,
    SourceSelector,
    choose_readers,
    count_readers,
    propagation_bound,
)
from catkinhook.state.storewatches import ENDPOINT_POLL_FRACTION, MAX_WAIT_S

# Hosts and the time in seconds within which they must send a leaving endpoint nothing more, of the
# users' deployments and of the size to design for.
DEPLOYMENTS = ((8, 2.0), (86, 3.0), (195, 4.0), (420, 4.0))
ZONES = ("a", "b", "c", "d", "e")


def make_members(hosts: int) -> dict[str, Member]:
    """Return the members of a deployment by address."""
    members = (
        Member(
            address=f"10.{number // 200}.0.{number % 200}:1",
            zone=ZONES[number % len(ZONES)],
            cores=(0.387, 1.07, 2.15)[number % 3],
        )
        for number in range(hosts)
    )
    return {member.address: member for member in members}


class ChoiceTest(unittest.TestCase):
    """The hosts that follow the store."""

    def test_number_of_readers_is_bounded(self) -> None:
        """Guards against calls to the store that grow with the number of hosts."""
        for hosts, drain_s in DEPLOYMENTS:
            with self.subTest(hosts=hosts):
                readers = choose_readers(make_members(hosts))
                self.assertEqual(len(readers), count_readers(hosts))
                if hosts < MIN_HOSTS_WITH_READERS:
                    self.assertEqual(readers, ())
                    continue
                self.assertEqual(len({reader.zone for reader in readers}), len(readers))
                # The holder follows the store too, and renews its lease each second.
                feeds = 1 / (ENDPOINT_POLL_FRACTION * drain_s) + 1 / MAX_WAIT_S
                calls_per_s = (len(readers) + 1) * feeds + 1.0
                self.assertLessEqual(calls_per_s / hosts, 0.1)

    def test_large_hosts_are_preferred(self) -> None:
        """Guards against a reader with less processor time than its followers need."""
        members = make_members(195)
        for reader in choose_readers(members):
            self.assertGreaterEqual(members[reader.address].cores, 1.0)

    def test_choice_moves_little(self) -> None:
        """Guards against followers that all change their reader when one host comes or goes."""
        members = make_members(86)
        readers = choose_readers(members)
        for reader in readers:
            others = {a: member for a, member in members.items() if a != reader.address}
            changed = choose_readers(others, readers)
            self.assertEqual(len(set(changed) & set(readers)), len(readers) - 1)
        self.assertEqual(set(choose_readers(make_members(195), readers)), set(readers))

    def test_same_members_give_the_same_choice(self) -> None:
        """Guards against two holders in turn that choose other readers without a reason."""
        members = make_members(195)
        shuffled = list(members.items())
        random.Random(1).shuffle(shuffled)
        self.assertEqual(choose_readers(members), choose_readers(dict(shuffled)))

    def test_small_deployment_has_no_readers(self) -> None:
        """Guards against a step between the store and each host where all may read the store."""
        members = make_members(MIN_HOSTS_WITH_READERS)
        readers = choose_readers(members)
        self.assertEqual(len(readers), MIN_READERS)
        members.popitem()
        self.assertEqual(choose_readers(members, readers), ())


@attrs.define
class SimulatedReader:
    """A reader that polls the store, in virtual time.

    :ivar phase: time of its first poll.
    :ivar frozen_at: time from which it does not answer.
    :ivar cut_at: time from which it does not reach the store.
    """

    phase: float
    poll_s: float
    frozen_at: float = float("inf")
    cut_at: float = float("inf")

    def last_poll(self, now: float) -> float:
        """Return the time of the last poll that succeeded."""
        until = min(now, self.cut_at)
        return self.phase + self.poll_s * ((until - self.phase) // self.poll_s)

    def first_poll_after(self, at: float) -> float:
        """Return the time of the first poll from a time on, infinity if it does not succeed."""
        poll = self.last_poll(at)
        poll = poll if poll >= at else poll + self.poll_s
        return poll if poll < self.cut_at else float("inf")


class PropagationTest(unittest.TestCase):
    """Time until each host knows of a change in the store, in virtual time."""

    def learn(
        self,
        reader_by_address: dict[str, SimulatedReader],
        selector: SourceSelector,
        drain_s: float,
        changed_at: float,
    ) -> float:
        """Return the time at which a follower knows of a change."""
        hold_s, max_age_s = HOLD_SHARE * drain_s, MAX_AGE_SHARE * drain_s
        now, followed = selector.rng.uniform(0.0, 1.0), ""
        while now < changed_at + 60.0:
            address = selector.next_source(now)
            if not address:
                if now >= changed_at:
                    return now + STORE_ANSWER_S
                now += 0.05
                continue
            reader = reader_by_address[address]
            wait_s = hold_s if address == followed else 0.0
            news_at = max(now, reader.first_poll_after(changed_at))
            answered_at = min(now + wait_s, news_at)
            if answered_at >= reader.frozen_at:
                now, followed = now + wait_s + PEER_TIMEOUT_S, ""
                now += selector.record_failure(now)
                continue
            now = answered_at + 0.01
            if news_at <= answered_at:
                return now
            if now - reader.last_poll(now) > max_age_s:
                followed = ""
                now += selector.record_failure(now)
            else:
                followed = address
                selector.record_success()
        return float("inf")

    def worst_delay(self, hosts: int, drain_s: float, faults: str, seed: int) -> float:
        """Return the longest time until a host knows of a change, with these faults."""
        rng = random.Random(seed)
        members = make_members(hosts)
        readers = choose_readers(members)
        poll_s = ENDPOINT_POLL_FRACTION * drain_s
        changed_at = 30.0
        reader_by_address = {}
        for reader in readers:
            simulated = SimulatedReader(rng.uniform(0.0, poll_s), poll_s)
            is_hit = faults != "a tenth" or rng.random() < 0.1
            fault = rng.choice(("frozen", "cut")) if faults == "a tenth" else faults
            if is_hit and fault == "frozen":
                simulated.frozen_at = changed_at - rng.uniform(0.0, 3.0)
            elif is_hit and fault == "cut":
                simulated.cut_at = changed_at - rng.uniform(0.0, 3.0)
            reader_by_address[reader.address] = simulated
        delays = []
        for address, member in members.items():
            selector = SourceSelector(f"n-{address}", member.zone, address, rng)
            selector.set_readers(readers)
            if not selector.is_reader:
                delays.append(
                    self.learn(reader_by_address, selector, drain_s, changed_at) - changed_at
                )
        return max(delays, default=poll_s)

    def test_change_reaches_all_hosts_within_the_bound(self) -> None:
        """Guards against requests to an endpoint that left longer ago than the drain time."""
        for hosts, drain_s in DEPLOYMENTS:
            poll_s = ENDPOINT_POLL_FRACTION * drain_s
            bound = propagation_bound(drain_s, poll_s, PEER_TIMEOUT_S)
            self.assertLess(bound, drain_s)
            for faults in ("none", "a tenth", "frozen", "cut"):
                for seed in range(8):
                    with self.subTest(hosts=hosts, faults=faults, seed=seed):
                        delay = self.worst_delay(hosts, drain_s, faults, seed)
                        self.assertLessEqual(delay, bound)

    def test_lost_readers_do_not_bring_all_hosts_to_the_store_at_once(self) -> None:
        """Guards against calls of hundreds of hosts in step after their readers are gone."""
        selectors = []
        rng = random.Random(3)
        for address, member in make_members(420).items():
            selector = SourceSelector(f"n-{address}", member.zone, address, rng)
            selector.set_readers(choose_readers(make_members(420)))
            selectors.append(selector)
        returns = []
        for selector in selectors:
            if selector.is_reader:
                continue
            for _ in range(MAX_FAILED_READERS):
                selector.record_failure(10.0)
            self.assertEqual(selector.next_source(10.0), "")
            returns.append(selector._reads_store_until)
        width = FALLBACK_S[1] - FALLBACK_S[0]
        for tenth in range(10):
            low = 10.0 + FALLBACK_S[0] + tenth * width / 10
            self.assertGreater(sum(low <= at < low + width / 10 for at in returns), 20)

    def test_state_of_a_sound_reader_is_recent_enough(self) -> None:
        """Guards against readers that all followers leave between two bunches of heartbeats.

        Heartbeats of engines that started together come in bunches 1.2 s apart, and long polls
        between them waited for up to 2 s: 2.6 s old state, where 1.8 s are allowed.
        """
        longest = ENDPOINT_POLL_FRACTION + POLL_WAIT_SHARE
        self.assertLess(longest * 2.0 + STORE_ANSWER_S / 2, MAX_AGE_SHARE * 2.0)


class SelectorTest(unittest.TestCase):
    """Changes of the source of one host."""

    def setUp(self) -> None:
        self.selector = SourceSelector("n", "a", "10.0.0.1:1", random.Random(1))
        self.readers = [Reader(f"10.0.0.{n}:1", zone) for n, zone in ((2, "b"), (3, "a"), (4, "c"))]

    def test_reader_of_the_own_zone_comes_first(self) -> None:
        """Guards against bytes between zones where a reader of the own zone would do."""
        self.selector.set_readers(self.readers)
        self.assertEqual(self.selector.next_source(0.0), "10.0.0.3:1")

    def test_followed_reader_is_kept(self) -> None:
        """Guards against a change of the reader for each change of another one."""
        self.selector.set_readers(self.readers)
        self.selector.record_failure(0.0)
        followed = self.selector.next_source(0.0)
        kept = [reader for reader in self.readers if reader.address != "10.0.0.3:1"]
        self.selector.set_readers([*kept, Reader("10.0.0.9:1", "a")])
        self.assertEqual(self.selector.next_source(0.0), followed)

    def test_store_failure_leads_back_to_the_readers(self) -> None:
        """Guards against hundreds of hosts that call a store which is away."""
        self.selector.set_readers(self.readers)
        for _ in range(MAX_FAILED_READERS):
            self.selector.record_failure(0.0)
        self.assertEqual(self.selector.next_source(0.1), "")
        self.selector.record_store_failure(0.2)
        self.assertNotEqual(self.selector.next_source(0.2), "")
        for _ in range(2 * MAX_FAILED_READERS):
            self.assertGreater(self.selector.record_failure(0.3), 0.0)
        self.assertNotEqual(self.selector.next_source(0.3), "")

    def test_chosen_host_reads_the_store(self) -> None:
        """Guards against readers that follow each other."""
        self.selector.set_readers([*self.readers, Reader("10.0.0.1:1", "a")])
        self.assertEqual(self.selector.next_source(0.0), "")
