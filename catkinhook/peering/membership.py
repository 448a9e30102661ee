"""Gossip membership state of one node, without I/O; timeouts use only the local clock."""

import enum
import heapq
import math
import random

import attrs
import xxhash

from catkinhook.addresses import split_address

MAX_MEMBERS = 2048
MAX_NAME_LENGTH = 255
MAX_HEARTBEAT = 2**31 - 1
# Incarnations are i64 on the wire. A refutation increments one, and the result must still fit.
MAX_INCARNATION = 2**62
# Keeps the sum of the weights of all members finite.
MAX_WEIGHT = 1e300

# Limits on the entries of one digest: changed members, heartbeats of other members, and requests
# for members known only by their heartbeats.
UPDATES_PER_DIGEST = 4
HEARTBEATS_PER_DIGEST = 56
WANTED_PER_DIGEST = 32
WANTED_ATTEMPTS = 3
# Requesting the members with the oldest heartbeats bounds the age of all; with random samples
# alone, some of 420 members went without a heartbeat for 66 s, six times the mean.
STALE_PER_DIGEST = 24
# A peer that counts fewer live members than ``BOOTSTRAP_RATIO`` times this node's count has
# probably just started; it is sent up to ``BOOTSTRAP_MEMBERS`` members.
BOOTSTRAP_MEMBERS = 64
BOOTSTRAP_RATIO = 0.9

# The suspicion timeout grows with the group, because heartbeats take longer to spread.
MIN_SUSPICION_TIMEOUT_S = 5.0
SUSPICION_TIMEOUT_PER_MEMBER_S = 0.2
# Time without a heartbeat after which a member no longer counts for shares, as a multiple of
# the suspicion timeout.
DROP_TIMEOUT_FACTOR = 3.0
# Partitions between regions last up to an hour, so shares are kept for that long. A partition is
# suspected when this many members with this share of the total weight are silent.
MAX_PARTITION_TIME_S = 3600.0
MIN_PARTITION_MEMBERS = 2
MIN_PARTITION_WEIGHT_SHARE = 0.15

# Urgent updates are sent to all peers in a small group. In a larger one they are sent to a few
# random peers, which forward them.
MAX_BROADCAST_PEERS = 16
GOSSIP_FANOUT = 4

SAME_ZONE_PROBABILITY = 0.5
SAME_REGION_PROBABILITY = 0.3
RECONNECT_PROBABILITY = 0.05
FAILED_PEER_BACKOFF_S = 10.0

# Above this group size, the interval between exchanges grows in proportion to the size, by a factor
# of at most ``MAX_INTERVAL_SCALE``.
INTERVAL_SCALE_MEMBERS = 84
MAX_INTERVAL_SCALE = 5.0


@attrs.frozen(kw_only=True)
class Member:
    """A node, as described by itself.

    :ivar incarnation: higher after each restart.
    :ivar heartbeat: counter that the member itself increments.
    :ivar address: ``IP:port`` of its peer server.
    :ivar weight: size relative to the other nodes.
    :ivar configuration: number of the configuration in force there.
    """

    node: str
    incarnation: int
    heartbeat: int
    address: str
    zone: str
    region: str
    weight: float
    configuration: int = 0
    leaving: bool = False


@attrs.frozen
class HeartbeatEntry:
    """Latest known heartbeat of a member.

    :ivar identity: hash of node and incarnation, sent in their place to save bytes.
    """

    identity: int
    heartbeat: int


def compute_identity(member: Member) -> int:
    """Return a signed 64-bit hash of a member's node and incarnation."""
    digest = xxhash.xxh64_digest(f"{member.node}/{member.incarnation}".encode())
    return int.from_bytes(digest, "big", signed=True)


@attrs.frozen(kw_only=True)
class Digest:
    """Message that two nodes send each other in one exchange.

    :ivar members: members with recent changes, and members that the receiver requested.
    :ivar beats: heartbeats of a sample of members.
    :ivar known: number of members that the sender counts as live.
    :ivar wanted: identities of members that the sender requests, known to it only by heartbeats.
    :ivar stale: identities whose heartbeats at the sender are oldest.
    """

    sender: Member
    members: tuple[Member, ...] = ()
    beats: tuple[HeartbeatEntry, ...] = ()
    known: int = 0
    wanted: tuple[int, ...] = ()
    stale: tuple[int, ...] = ()


class MemberState(enum.Enum):
    """State of a member in the view of one node."""

    LIVE = "live"
    SILENT = "silent"
    DROPPED = "dropped"
    LEAVING = "leaving"


@attrs.define
class _MemberRecord:
    """A member with the local state for it.

    :ivar transmits_left: number of further digests that include the latest change.
    :ivar failed_at: time of the last failed exchange.
    """

    member: Member
    identity: int
    heartbeat: int
    last_heartbeat_at: float
    changed_at: float
    transmits_left: int
    failed_at: float = -math.inf


class Membership:
    """Membership list of one node; not thread-safe.

    :param own: this node, whose heartbeat is incremented here.
    """

    def __init__(self, own: Member, rng: random.Random) -> None:
        self.own = own
        self._rng = rng
        self._record_by_node: dict[str, _MemberRecord] = {}
        self._record_by_identity: dict[int, _MemberRecord] = {}
        # Number of requests left for each member that is known only by its heartbeats.
        self._attempts_left_by_identity: dict[int, int] = {}
        self._has_joined = False
        # Number of members that the peer of the latest full exchange counts as live.
        self._peer_member_count = 0

    def set_address(self, address: str) -> None:
        """Set this node's address once it is bound."""
        self.own = attrs.evolve(self.own, address=address)

    def advance_heartbeat(self, configuration: int, leaving: bool = False) -> None:
        """Increment this node's heartbeat and set its configuration number and leaving flag."""
        self.own = attrs.evolve(
            self.own,
            heartbeat=self.own.heartbeat + 1,
            configuration=configuration,
            leaving=leaving,
        )

    def make_digest(
        self, now: float, request: Digest | None = None, sender_only: bool = False
    ) -> Digest:
        """Return a digest of bounded size.

        :param request: digest that this one answers, None if this one is the request.
        :param sender_only: leave out all other members, as for an urgent update; the answer to such
            a request does too.
        """
        live = self._records_in_state(MemberState.LIVE, now)
        if sender_only or (request is not None and request.known and not request.beats):
            return Digest(sender=self.own, known=len(live))
        wanted = list(self._attempts_left_by_identity)[:WANTED_PER_DIGEST]
        if request is None:
            self._count_requests(wanted)
        oldest = heapq.nsmallest(STALE_PER_DIGEST, live, key=lambda r: r.last_heartbeat_at)
        updates = self._choose_updates(live, request)
        sampled = self._choose_heartbeats(live, request)
        return Digest(
            sender=self.own,
            members=tuple(updates),
            beats=tuple([HeartbeatEntry(r.identity, r.heartbeat) for r in sampled]),
            known=len(live),
            wanted=tuple(wanted),
            stale=() if request else tuple([record.identity for record in oldest]),
        )

    def merge(self, digest: Digest, now: float) -> None:
        """Merge a peer's digest; outdated and invalid entries are ignored."""
        self._has_joined = True
        self._merge_member(digest.sender, now, is_direct=True)
        for member in digest.members[:BOOTSTRAP_MEMBERS]:
            self._merge_member(member, now)
        if not digest.beats:
            return
        self._peer_member_count = digest.known
        for entry in digest.beats[:HEARTBEATS_PER_DIGEST]:
            self._merge_heartbeat(entry, now)
        self._expire_members(now)

    def members(self, now: float) -> list[tuple[Member, MemberState]]:
        """Return all members but this one, with their states."""
        timeout = self._suspicion_timeout()
        records = self._record_by_node.values()
        return [(_current_member(record), _classify(record, now, timeout)) for record in records]

    def find_state(self, node: str, incarnation: int, now: float) -> MemberState | None:
        """Return the state of one incarnation of another node, None when it is unknown."""
        record = self._record_by_node.get(node)
        if record is None or record.member.incarnation != incarnation:
            return None
        return _classify(record, now, self._suspicion_timeout())

    def live_members(self, now: float) -> list[Member]:
        """Return the live members, this one included."""
        live = self._records_in_state(MemberState.LIVE, now)
        return [self.own, *(_current_member(record) for record in live)]

    def suspects_partition(self, now: float) -> bool:
        """Whether so many members are silent that a network partition is the likely cause."""
        silent = [
            record.member.weight
            for record in self._record_by_node.values()
            if not record.member.leaving
            and self._suspicion_timeout() < now - record.last_heartbeat_at < MAX_PARTITION_TIME_S
        ]
        total = sum(silent) + sum(member.weight for member in self.live_members(now))
        return (
            len(silent) >= MIN_PARTITION_MEMBERS
            and sum(silent) >= MIN_PARTITION_WEIGHT_SHARE * total
        )

    def limit_share(self, now: float, seed_count: int = 0) -> float:
        """Return this node's share of limits, between 0 and 1.

        During a suspected partition, silent members still count, so that the two sides don't both
        take the whole limit. A node that has not reached a peer yet assumes a node of its own size
        at each seed.

        :param seed_count: number of known addresses of other nodes.
        """
        if self.own.leaving:
            return 0.0
        timeout = self._suspicion_timeout()
        counted = [MemberState.LIVE, MemberState.SILENT]
        if self.suspects_partition(now):
            counted.append(MemberState.DROPPED)
        total = self.own.weight + sum(
            record.member.weight
            for record in self._record_by_node.values()
            if _classify(record, now, timeout) in counted
        )
        if not self._has_joined:
            total = max(total, self.own.weight * (1 + seed_count))
        return self.own.weight / total

    def exchange_interval(self, base: float) -> float:
        """Return the seconds between exchanges, longer in large groups to bound the traffic."""
        count = len(self._record_by_node) + 1
        if count < BOOTSTRAP_RATIO * self._peer_member_count:
            return base
        return base * min(MAX_INTERVAL_SCALE, max(1.0, count / INTERVAL_SCALE_MEMBERS))

    def choose_peer(self, seeds: list[str], now: float) -> str | None:
        """Return the address for the next exchange, most often in this node's zone."""
        records = [
            record
            for record in self._record_by_node.values()
            if now - record.failed_at > FAILED_PEER_BACKOFF_S
        ]
        known_addresses = {r.member.address for r in records if not r.member.leaving}
        unknown_seeds = [s for s in seeds if s not in known_addresses and s != self.own.address]
        timeout = self._suspicion_timeout()
        live = [r.member for r in records if _classify(r, now, timeout) is MemberState.LIVE]
        silent = sorted(known_addresses - {member.address for member in live})
        # After a partition, its two sides find each other through seeds and silent members.
        unreached = unknown_seeds + silent
        if unreached and (not live or self._rng.random() < RECONNECT_PROBABILITY):
            return self._rng.choice(unreached)
        return self._choose_by_locality(live).address if live else None

    def choose_broadcast_targets(self, now: float) -> list[str]:
        """Return the addresses that are sent an urgent update at once."""
        live = [
            record.member.address
            for record in self._records_in_state(MemberState.LIVE, now)
            # A peer that timed out would delay the update to the others. It still receives the
            # update in the exchanges that it starts itself.
            if now - record.failed_at > FAILED_PEER_BACKOFF_S
        ]
        return live if len(live) <= MAX_BROADCAST_PEERS else self._rng.sample(live, GOSSIP_FANOUT)

    def record_failure(self, address: str, now: float) -> None:
        """Skip an address for ``FAILED_PEER_BACKOFF_S`` after a failed exchange."""
        for record in self._record_by_node.values():
            if record.member.address == address:
                record.failed_at = now

    def _choose_by_locality(self, live: list[Member]) -> Member:
        own = self.own
        zone = [m for m in live if (m.region, m.zone) == (own.region, own.zone)]
        region = [m for m in live if m.region == own.region and m.zone != own.zone]
        remote = [m for m in live if m.region != own.region]
        remote_probability = 1.0 - SAME_ZONE_PROBABILITY - SAME_REGION_PROBABILITY
        groups = (
            (zone, SAME_ZONE_PROBABILITY),
            (region, SAME_REGION_PROBABILITY),
            (remote, remote_probability),
        )
        present = [(group, probability) for group, probability in groups if group]
        probabilities = [probability for _, probability in present]
        group = self._rng.choices([group for group, _ in present], probabilities)[0]
        return self._rng.choice(group)

    def _count_requests(self, wanted: list[int]) -> None:
        # The number of requests is limited, because the member may have restarted, or no peer may
        # know it any more.
        for identity in wanted:
            self._attempts_left_by_identity[identity] -= 1
            if not self._attempts_left_by_identity[identity]:
                del self._attempts_left_by_identity[identity]

    def _choose_heartbeats(
        self, live: list[_MemberRecord], request: Digest | None
    ) -> list[_MemberRecord]:
        sample = self._rng.sample(live, min(HEARTBEATS_PER_DIGEST, len(live)))
        if request is None:
            return sample
        stale = [self._record_by_identity.get(i) for i in request.stale[:STALE_PER_DIGEST]]
        requested = [record for record in stale if record is not None]
        return requested + sample[: HEARTBEATS_PER_DIGEST - len(requested)]

    def _choose_updates(self, live: list[_MemberRecord], request: Digest | None) -> list[Member]:
        if request is not None and request.known < BOOTSTRAP_RATIO * len(live):
            chosen = self._rng.sample(live, min(BOOTSTRAP_MEMBERS, len(live)))
            return [_current_member(record) for record in chosen]
        changed = [record for record in live if record.transmits_left > 0]
        changed.sort(key=lambda record: -record.changed_at)
        wanted = request.wanted[:WANTED_PER_DIGEST] if request is not None else ()
        requested = [self._record_by_identity[i] for i in wanted if i in self._record_by_identity]
        sent = changed[:UPDATES_PER_DIGEST]
        for record in sent:
            record.transmits_left -= 1
        record_by_identity = {record.identity: record for record in sent + requested}
        return [_current_member(record) for record in record_by_identity.values()]

    def _merge_member(self, member: Member, now: float, is_direct: bool = False) -> None:
        if not is_valid(member):
            return
        if member.node == self.own.node:
            self._refute(member)
            return
        record = self._record_by_node.get(member.node)
        if record is None or member.incarnation > record.member.incarnation:
            self._add_record(member, now)
        elif (member.incarnation, member.heartbeat) > (record.member.incarnation, record.heartbeat):
            if _has_changed(record.member, member):
                record.transmits_left, record.changed_at = self._transmit_limit(), now
            record.member, record.heartbeat = member, member.heartbeat
            record.last_heartbeat_at = now
        if is_direct and member.node in self._record_by_node:
            self._record_by_node[member.node].failed_at = -math.inf

    def _add_record(self, member: Member, now: float) -> None:
        self._remove_record(member.node)
        if len(self._record_by_node) >= MAX_MEMBERS:
            return
        identity = compute_identity(member)
        record = _MemberRecord(member, identity, member.heartbeat, now, now, self._transmit_limit())
        self._record_by_node[member.node] = self._record_by_identity[identity] = record
        self._attempts_left_by_identity.pop(identity, None)

    def _remove_record(self, node: str) -> None:
        record = self._record_by_node.pop(node, None)
        if record is not None:
            del self._record_by_identity[record.identity]

    def _merge_heartbeat(self, entry: HeartbeatEntry, now: float) -> None:
        record = self._record_by_identity.get(entry.identity)
        if record is not None:
            if entry.heartbeat > record.heartbeat:
                record.heartbeat, record.last_heartbeat_at = entry.heartbeat, now
        elif len(
            self._attempts_left_by_identity
        ) < WANTED_PER_DIGEST and entry.identity != compute_identity(self.own):
            self._attempts_left_by_identity.setdefault(entry.identity, WANTED_ATTEMPTS)

    def _refute(self, member: Member) -> None:
        # Peers keep the highest incarnation, so they would ignore this node if it restarted with
        # a lower one.
        own = self.own
        if (member.incarnation, member.heartbeat) > (own.incarnation, own.heartbeat):
            self.own = attrs.evolve(
                self.own, incarnation=min(member.incarnation + 1, MAX_INCARNATION)
            )

    def _expire_members(self, now: float) -> None:
        expired = [
            node
            for node, record in self._record_by_node.items()
            if now - record.last_heartbeat_at > MAX_PARTITION_TIME_S
        ]
        for node in expired:
            self._remove_record(node)

    def _records_in_state(self, state: MemberState, now: float) -> list[_MemberRecord]:
        timeout = self._suspicion_timeout()
        return [r for r in self._record_by_node.values() if _classify(r, now, timeout) is state]

    def _suspicion_timeout(self) -> float:
        return max(
            MIN_SUSPICION_TIMEOUT_S, SUSPICION_TIMEOUT_PER_MEMBER_S * len(self._record_by_node)
        )

    def _transmit_limit(self) -> int:
        """Return how many digests include a change; grows with the logarithm of the group size."""
        return math.ceil(2 * math.log2(len(self._record_by_node) + 2))


def _classify(record: _MemberRecord, now: float, suspicion_timeout: float) -> MemberState:
    if record.member.leaving:
        return MemberState.LEAVING
    silence = now - record.last_heartbeat_at
    if silence <= suspicion_timeout:
        return MemberState.LIVE
    is_silent = silence <= DROP_TIMEOUT_FACTOR * suspicion_timeout
    return MemberState.SILENT if is_silent else MemberState.DROPPED


def _current_member(record: _MemberRecord) -> Member:
    return attrs.evolve(record.member, heartbeat=record.heartbeat)


def _has_changed(old: Member, new: Member) -> bool:
    # Both are left out because each digest carries its sender's current values.
    ignored = {"heartbeat": 0, "configuration": 0}
    return attrs.evolve(old, **ignored) != attrs.evolve(new, **ignored)


def is_valid(member: Member) -> bool:
    """Return whether a member's fields are within their bounds."""
    # The address is checked too, because an IPv6 scope id can have any length.
    names = (member.node, member.zone, member.region, member.address)
    if not member.node or any(len(name) > MAX_NAME_LENGTH for name in names):
        return False
    try:
        split_address(member.address)
    except ValueError:
        return False
    if not 0 <= member.heartbeat <= MAX_HEARTBEAT:
        return False
    return 0 <= member.incarnation <= MAX_INCARNATION and 0 < member.weight <= MAX_WEIGHT
