"""Pure state of membership: who is there, by gossip, judged on the observer's own clock."""

import enum
import heapq
import math
import random

import attrs
import xxhash

from catkinhook.addresses import split_address

MAX_MEMBERS = 2048
MAX_NAME = 255
MAX_HEARTBEAT = 2**31 - 1
# Incarnations are i64 on the wire; the next one after a refuted one must fit too.
MAX_INCARNATION = 2**62
# The sum of the weights of all members stays finite.
MAX_WEIGHT = 1e300

# Sizes of a digest: news about members, and signs of life of others.
NEWS_PER_DIGEST = 4
BEATS_PER_DIGEST = 56
WANTED_PER_DIGEST = 32
WANTED_ATTEMPTS = 3
# Asking for the members heard of longest ago bounds the age of all; a random sample alone
# left some of 420 members unheard for 66 s, six times the mean.
STALE_PER_DIGEST = 24
# A node that knows far fewer members than its peer has just started and gets this many.
WELCOME_MEMBERS = 64
WELCOME_RATIO = 0.9

# Silence that makes a member suspect grows with the group, as its signs of life take longer.
MIN_SUSPECT_TIME = 5.0
SUSPECT_TIME_PER_MEMBER = 0.2
# Silence after which a member no longer counts for shares, as a multiple of the suspect time.
DROP_FACTOR = 3.0
# Partitions between regions last up to an hour; shares are kept that long.
DOUBT_TIME = 3600.0
DOUBT_MEMBERS = 2
DOUBT_WEIGHT = 0.15

# Above this many peers, news goes to a few that pass it on.
FEW_PEERS = 16
SPREAD_PEERS = 4

SAME_ZONE_SHARE = 0.5
SAME_REGION_SHARE = 0.3
HEAL_SHARE = 0.05
FAILURE_PAUSE = 10.0

# The interval between exchanges grows with the group from this size, up to a factor.
SCALE_MEMBERS = 84
MAX_SCALE = 5.0


@attrs.frozen(kw_only=True)
class Member:
    """One node as it describes itself.

    :ivar incarnation: higher after each restart.
    :ivar heartbeat: raised by the member itself.
    :ivar address: ``IP:port`` of its peer server.
    :ivar weight: size relative to the others.
    :ivar configuration: configuration number in force there.
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
class Beat:
    """Sign of life of a member.

    :ivar identity: hash of node and incarnation, which is shorter than both.
    """

    identity: int
    heartbeat: int


def identify(member: Member) -> int:
    """Return the identity of one incarnation of a node, a signed 64-bit number."""
    digest = xxhash.xxh64_digest(f"{member.node}/{member.incarnation}".encode())
    return int.from_bytes(digest, "big", signed=True)


@attrs.frozen(kw_only=True)
class Digest:
    """What two nodes tell each other in one exchange.

    :ivar known: members that the sender counts as live.
    :ivar wanted: identities that the sender has heard of but does not know.
    :ivar stale: identities that the sender heard of longest ago.
    """

    sender: Member
    members: tuple[Member, ...] = ()
    beats: tuple[Beat, ...] = ()
    known: int = 0
    wanted: tuple[int, ...] = ()
    stale: tuple[int, ...] = ()


class Standing(enum.Enum):
    """How an observer sees a member."""

    LIVE = "live"
    SILENT = "silent"
    DROPPED = "dropped"
    LEAVING = "leaving"


@attrs.define
class _Known:
    member: Member
    identity: int
    heartbeat: int
    heard_at: float
    learned_at: float
    sends_left: int
    failed_at: float = -math.inf


class Membership:
    """Members as one node knows them; not thread-safe.

    :param own: this node; its heartbeat is raised here.
    """

    def __init__(self, own: Member, rng: random.Random) -> None:
        self.own = own
        self._rng = rng
        self._known_by_node: dict[str, _Known] = {}
        self._known_by_identity: dict[int, _Known] = {}
        # Identities to ask for, with the number of requests that still may.
        self._wanted: dict[int, int] = {}
        self._joined = False
        self._largest_known = 0

    def set_address(self, address: str) -> None:
        """Set the own address once it is bound."""
        self.own = attrs.evolve(self.own, address=address)

    def beat(self, configuration: int, leaving: bool = False) -> None:
        """Raise the own heartbeat, and state what is in force here."""
        self.own = attrs.evolve(
            self.own,
            heartbeat=self.own.heartbeat + 1,
            configuration=configuration,
            leaving=leaving,
        )

    def make_digest(self, now: float, other: Digest | None = None, brief: bool = False) -> Digest:
        """Return a digest of bounded size.

        :param other: digest that this one answers.
        :param brief: leave out other members, for urgent news; so does the answer to it.
        """
        live = self._with_standing(Standing.LIVE, now)
        if brief or (other is not None and other.known and not other.beats):
            return Digest(sender=self.own, known=len(live))
        wanted = list(self._wanted)[:WANTED_PER_DIGEST]
        if other is None:
            self._count_asked(wanted)
        oldest = heapq.nsmallest(STALE_PER_DIGEST, live, key=lambda known: known.heard_at)
        return Digest(
            sender=self.own,
            members=tuple(self._choose_news(live, other)),
            beats=tuple([Beat(k.identity, k.heartbeat) for k in self._choose_beats(live, other)]),
            known=len(live),
            wanted=tuple(wanted),
            stale=() if other else tuple([known.identity for known in oldest]),
        )

    def merge(self, digest: Digest, now: float) -> None:
        """Take over what a peer knows; older and invalid entries are ignored."""
        self._joined = True
        self._meet(digest.sender, now, direct=True)
        for member in digest.members[:WELCOME_MEMBERS]:
            self._meet(member, now)
        if not digest.beats:
            return
        self._largest_known = digest.known
        for beat in digest.beats[:BEATS_PER_DIGEST]:
            self._hear(beat, now)
        self._forget(now)

    def members(self, now: float) -> list[tuple[Member, Standing]]:
        """Return all members but this one, with their standing."""
        limit = self._suspect_time()
        known = self._known_by_node.values()
        return [(_describe(k), _judge(k, now, limit)) for k in known]

    def find_standing(self, node: str, incarnation: int, now: float) -> Standing | None:
        """Return the standing of one incarnation of another node, or None when not known."""
        known = self._known_by_node.get(node)
        if known is None or known.member.incarnation != incarnation:
            return None
        return _judge(known, now, self._suspect_time())

    def live(self, now: float) -> list[Member]:
        """Return the live members, this one included."""
        return [self.own, *(_describe(k) for k in self._with_standing(Standing.LIVE, now))]

    def in_doubt(self, now: float) -> bool:
        """Whether so many are silent that the cause may be a partition."""
        silent = [
            known.member.weight
            for known in self._known_by_node.values()
            if not known.member.leaving and self._suspect_time() < now - known.heard_at < DOUBT_TIME
        ]
        total = sum(silent) + sum(member.weight for member in self.live(now))
        return len(silent) >= DOUBT_MEMBERS and sum(silent) >= DOUBT_WEIGHT * total

    def share(self, now: float, seeds: int = 0) -> float:
        """Return this node's share of limits, between 0 and 1.

        While many are silent, they count on, so that two sides of a partition don't both take
        the whole. A node that has met no peer yet assumes one of its own size behind each seed.

        :param seeds: addresses of other nodes that are known.
        """
        if self.own.leaving:
            return 0.0
        limit, doubt = self._suspect_time(), self.in_doubt(now)
        counted = (Standing.LIVE, Standing.SILENT) + ((Standing.DROPPED,) if doubt else ())
        total = self.own.weight + sum(
            known.member.weight
            for known in self._known_by_node.values()
            if _judge(known, now, limit) in counted
        )
        if not self._joined:
            total = max(total, self.own.weight * (1 + seeds))
        return self.own.weight / total

    def interval(self, base: float) -> float:
        """Return seconds between exchanges, longer in large groups to bound their traffic."""
        count = len(self._known_by_node) + 1
        if count < WELCOME_RATIO * self._largest_known:
            return base
        return base * min(MAX_SCALE, max(1.0, count / SCALE_MEMBERS))

    def choose_peer(self, seeds: list[str], now: float) -> str | None:
        """Return the address for the next exchange, most often in the own zone."""
        known = [k for k in self._known_by_node.values() if now - k.failed_at > FAILURE_PAUSE]
        met = {k.member.address for k in known if not k.member.leaving}
        strangers = [seed for seed in seeds if seed not in met and seed != self.own.address]
        limit = self._suspect_time()
        live = [k.member for k in known if _judge(k, now, limit) is Standing.LIVE]
        reached = {member.address for member in live}
        silent = sorted(met - reached)
        # Nodes that a partition hid are found again through seeds and lost members.
        lost = strangers + silent
        if lost and (not live or self._rng.random() < HEAL_SHARE):
            return self._rng.choice(lost)
        return self._choose_near(live).address if live else None

    def choose_spread(self, now: float) -> list[str]:
        """Return the addresses that get urgent news at once."""
        live = [
            known.member.address
            for known in self._with_standing(Standing.LIVE, now)
            # A paused peer would hold up the news to others; it asks again by itself.
            if now - known.failed_at > FAILURE_PAUSE
        ]
        return live if len(live) <= FEW_PEERS else self._rng.sample(live, SPREAD_PEERS)

    def note_failure(self, address: str, now: float) -> None:
        """Leave an address alone for a while after a failed exchange."""
        for known in self._known_by_node.values():
            if known.member.address == address:
                known.failed_at = now

    def _choose_near(self, live: list[Member]) -> Member:
        own = self.own
        zone = [m for m in live if (m.region, m.zone) == (own.region, own.zone)]
        region = [m for m in live if m.region == own.region and m.zone != own.zone]
        remote = [m for m in live if m.region != own.region]
        remote_share = 1.0 - SAME_ZONE_SHARE - SAME_REGION_SHARE
        groups = ((zone, SAME_ZONE_SHARE), (region, SAME_REGION_SHARE), (remote, remote_share))
        present = [(group, share) for group, share in groups if group]
        shares = [share for _, share in present]
        group = self._rng.choices([group for group, _ in present], shares)[0]
        return self._rng.choice(group)

    def _count_asked(self, wanted: list[int]) -> None:
        # Peers that don't answer may have forgotten the member, or it has restarted.
        for identity in wanted:
            self._wanted[identity] -= 1
            if not self._wanted[identity]:
                del self._wanted[identity]

    def _choose_beats(self, live: list[_Known], other: Digest | None) -> list[_Known]:
        sample = self._rng.sample(live, min(BEATS_PER_DIGEST, len(live)))
        if other is None:
            return sample
        named = [self._known_by_identity.get(i) for i in other.stale[:STALE_PER_DIGEST]]
        asked = [known for known in named if known is not None]
        return asked + sample[: BEATS_PER_DIGEST - len(asked)]

    def _choose_news(self, live: list[_Known], other: Digest | None) -> list[Member]:
        if other is not None and other.known < WELCOME_RATIO * len(live):
            chosen = self._rng.sample(live, min(WELCOME_MEMBERS, len(live)))
            return [_describe(known) for known in chosen]
        news = [known for known in live if known.sends_left > 0]
        news.sort(key=lambda known: -known.learned_at)
        wanted = other.wanted[:WANTED_PER_DIGEST] if other is not None else ()
        asked = [self._known_by_identity[i] for i in wanted if i in self._known_by_identity]
        for known in news[:NEWS_PER_DIGEST]:
            known.sends_left -= 1
        by_identity = {known.identity: known for known in news[:NEWS_PER_DIGEST] + asked}
        return [_describe(known) for known in by_identity.values()]

    def _meet(self, member: Member, now: float, direct: bool = False) -> None:
        if not is_valid(member):
            return
        if member.node == self.own.node:
            self._refute(member)
            return
        known = self._known_by_node.get(member.node)
        if known is None or member.incarnation > known.member.incarnation:
            self._add(member, now)
        elif (member.incarnation, member.heartbeat) > (known.member.incarnation, known.heartbeat):
            if _is_news(known.member, member):
                known.sends_left, known.learned_at = self._count_sends(), now
            known.member, known.heartbeat, known.heard_at = member, member.heartbeat, now
        if direct and member.node in self._known_by_node:
            self._known_by_node[member.node].failed_at = -math.inf

    def _add(self, member: Member, now: float) -> None:
        self._remove(member.node)
        if len(self._known_by_node) >= MAX_MEMBERS:
            return
        identity = identify(member)
        known = _Known(member, identity, member.heartbeat, now, now, self._count_sends())
        self._known_by_node[member.node] = self._known_by_identity[identity] = known
        self._wanted.pop(identity, None)

    def _remove(self, node: str) -> None:
        known = self._known_by_node.pop(node, None)
        if known is not None:
            del self._known_by_identity[known.identity]

    def _hear(self, beat: Beat, now: float) -> None:
        known = self._known_by_identity.get(beat.identity)
        if known is not None:
            if beat.heartbeat > known.heartbeat:
                known.heartbeat, known.heard_at = beat.heartbeat, now
        elif len(self._wanted) < WANTED_PER_DIGEST and beat.identity != identify(self.own):
            self._wanted.setdefault(beat.identity, WANTED_ATTEMPTS)

    def _refute(self, member: Member) -> None:
        # Peers keep the highest incarnation, so a restart with a lower one would be ignored.
        own = self.own
        if (member.incarnation, member.heartbeat) > (own.incarnation, own.heartbeat):
            self.own = attrs.evolve(
                self.own, incarnation=min(member.incarnation + 1, MAX_INCARNATION)
            )

    def _forget(self, now: float) -> None:
        gone = [n for n, k in self._known_by_node.items() if now - k.heard_at > DOUBT_TIME]
        for node in gone:
            self._remove(node)

    def _with_standing(self, standing: Standing, now: float) -> list[_Known]:
        limit = self._suspect_time()
        return [k for k in self._known_by_node.values() if _judge(k, now, limit) is standing]

    def _suspect_time(self) -> float:
        return max(MIN_SUSPECT_TIME, SUSPECT_TIME_PER_MEMBER * len(self._known_by_node))

    def _count_sends(self) -> int:
        return math.ceil(2 * math.log2(len(self._known_by_node) + 2))


def _judge(known: _Known, now: float, suspect_time: float) -> Standing:
    if known.member.leaving:
        return Standing.LEAVING
    silence = now - known.heard_at
    if silence <= suspect_time:
        return Standing.LIVE
    return Standing.SILENT if silence <= DROP_FACTOR * suspect_time else Standing.DROPPED


def _describe(known: _Known) -> Member:
    return attrs.evolve(known.member, heartbeat=known.heartbeat)


def _is_news(old: Member, new: Member) -> bool:
    blank = {"heartbeat": 0, "configuration": 0}
    return attrs.evolve(old, **blank) != attrs.evolve(new, **blank)


def is_valid(member: Member) -> bool:
    """Return whether a member's fields are within their bounds."""
    # A scope id makes an IPv6 address as long as its sender likes.
    names = (member.node, member.zone, member.region, member.address)
    if not member.node or any(len(name) > MAX_NAME for name in names):
        return False
    try:
        split_address(member.address)
    except ValueError:
        return False
    if not 0 <= member.heartbeat <= MAX_HEARTBEAT:
        return False
    return 0 <= member.incarnation <= MAX_INCARNATION and 0 < member.weight <= MAX_WEIGHT
