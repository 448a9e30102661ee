"""Choice of the hosts that follow the store, and of the source from which a host learns its state.

The load pattern: hundreds of hosts that each follow the store make calls in proportion to their
number. A few readers follow it, and all other hosts follow a reader. All functions are pure; the
caller does the I/O.
"""

import math
import random
from collections.abc import Iterable, Mapping

import attrs
import xxhash

# With fewer hosts, each one follows the store.
MIN_HOSTS_WITH_READERS = 12
# The loss of two hosts leaves one reader.
MIN_READERS = 3
MAX_READERS = 6
# One reader holds a connection and a thread for each of its followers.
FOLLOWERS_PER_READER = 128
# CPU capacity in ordinary cores from which a host is preferred as a reader.
PREFERRED_CORES = 1.0

# Shares of the time within which a leaving endpoint must get no new request. A follower learns of a
# change after at most ``propagation_bound`` seconds.
HOLD_SHARE = 0.2
# Longest wait of a reader's call for a change. It adds to the pause between two calls.
POLL_WAIT_SHARE = 0.1
MAX_AGE_SHARE = 0.45
# Readers that fail one after the other before a follower reads the store itself.
MAX_FAILED_READERS = 2
# Range of the seconds for which a follower reads the store before it tries a reader again. The
# range spreads the hosts that have lost the same reader.
FALLBACK_S = (2.0, 4.0)
# Range of the seconds after a failed call to the store for which a follower accepts what readers
# know, however old.
STORE_PAUSE_S = (1.5, 3.0)
# Time in seconds for an answer of the store that is not disturbed, with a margin for the network.
STORE_ANSWER_S = 0.1
# Seconds between two calls to readers while none of them is up to date.
READER_RETRY_S = 0.3


@attrs.frozen
class Reader:
    """A host that follows the store.

    :ivar address: ``IP:port`` of its thrift listener.
    """

    address: str
    zone: str


@attrs.frozen(kw_only=True)
class Member:
    """A host that can become a reader.

    :ivar address: ``IP:port`` of its thrift listener.
    :ivar cores: CPU capacity in ordinary cores.
    """

    address: str
    zone: str
    cores: float


def count_readers(hosts: int) -> int:
    """Return the number of readers of a deployment, 0 if each host follows the store."""
    if hosts < MIN_HOSTS_WITH_READERS:
        return 0
    return min(MAX_READERS, max(MIN_READERS, math.ceil(hosts / FOLLOWERS_PER_READER)))


def choose_readers(
    member_by_address: Mapping[str, Member], current: Iterable[Reader] = ()
) -> tuple[Reader, ...]:
    """Return the readers of a deployment, spread over its availability zones.

    Current readers are kept while they are members. The others are taken by rendezvous hashing, so
    that all hosts that know the same members and readers choose the same ones.
    """
    count = count_readers(len(member_by_address))
    kept = [reader for reader in current if reader.address in member_by_address]
    chosen = list(dict.fromkeys(kept))[:count]
    chosen_by_zone: dict[str, int] = {}
    for reader in chosen:
        chosen_by_zone[reader.zone] = chosen_by_zone.get(reader.zone, 0) + 1
    taken = {reader.address for reader in chosen}

    def rank(member: Member) -> tuple[int, bool, int]:
        is_small = member.cores < PREFERRED_CORES
        return (chosen_by_zone.get(member.zone, 0), is_small, _hash(member.address))

    while len(chosen) < count:
        free = [m for address, m in member_by_address.items() if address not in taken]
        best = min(free, key=rank)
        chosen.append(Reader(best.address, best.zone))
        taken.add(best.address)
        chosen_by_zone[best.zone] = chosen_by_zone.get(best.zone, 0) + 1
    return tuple(chosen)


def order_readers(readers: Iterable[Reader], node: str, zone: str) -> tuple[Reader, ...]:
    """Return readers in the order in which a host tries them: those of its own zone first."""
    return tuple(
        sorted(readers, key=lambda r: (r.zone != zone, _hash(f"{node} {r.address}"), r.address))
    )


def propagation_bound(drain_s: float, poll_s: float, call_timeout_s: float) -> float:
    """Return the seconds after which a follower knows of a change, if the store answers.

    The longest way is a reader that stops just before the change, or that has lost the store, then
    further ones that do not answer, and then a call to the store.

    :param drain_s: time within which a leaving endpoint must get no new request.
    :param poll_s: time between a reader's calls to the store.
    :param call_timeout_s: timeout of a call to a reader, without the time for which it is held.
    """
    hold_s = HOLD_SHARE * drain_s
    first_s = max(poll_s, call_timeout_s, MAX_AGE_SHARE * drain_s) + hold_s
    return first_s + (MAX_FAILED_READERS - 1) * call_timeout_s + STORE_ANSWER_S


@attrs.define
class SourceSelector:
    """Decides whether a host reads the store or follows a reader, and which one.

    :ivar address: ``IP:port`` of this host's thrift listener.
    :ivar readers: readers in the order in which this host tries them.
    """

    node: str
    zone: str
    address: str
    rng: random.Random
    readers: tuple[Reader, ...] = ()
    _index: int = 0
    _failures: int = 0
    _reads_store_until: float = float("-inf")
    _avoids_store_until: float = float("-inf")

    def set_readers(self, readers: Iterable[Reader]) -> bool:
        """Set the readers that the holder chose; return whether they have changed."""
        ordered = order_readers(readers, self.node, self.zone)
        if ordered == self.readers:
            return False
        previous = self.readers[self._index] if self.readers else None
        self.readers = ordered
        # A reader that is followed and remains one is kept.
        self._index = ordered.index(previous) if previous in ordered else 0
        self._failures = 0
        return True

    @property
    def is_listed(self) -> bool:
        """Whether this host is one of the readers."""
        return any(reader.address == self.address for reader in self.readers)

    @property
    def is_reader(self) -> bool:
        """Whether this host is one of the readers, or there are none."""
        return not self.readers or self.is_listed

    def next_source(self, now: float) -> str:
        """Return the address of the reader to call, empty to read the store."""
        if self.is_reader or now < self._reads_store_until:
            return ""
        return self.readers[self._index].address

    def record_success(self) -> None:
        """Record an answer of the chosen reader that is up to date."""
        self._failures = 0
        self._reads_store_until = float("-inf")

    def record_failure(self, now: float) -> float:
        """Record that the chosen reader does not answer or is not up to date.

        :returns: seconds until the next call to a reader.
        """
        if self.is_reader:
            return 0.0
        self._index = (self._index + 1) % len(self.readers)
        self._failures += 1
        if now < self._avoids_store_until:
            return READER_RETRY_S
        if self._failures >= min(MAX_FAILED_READERS, len(self.readers)):
            self._failures = 0
            self._reads_store_until = now + self.rng.uniform(*FALLBACK_S)
        return 0.0

    def record_store_failure(self, now: float) -> None:
        """Record a failed call of this host to the store; a follower goes back to the readers."""
        self._reads_store_until = float("-inf")
        self._avoids_store_until = now + self.rng.uniform(*STORE_PAUSE_S)


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
