"""Order lease: a row in the store with the host that may send orders and its fencing token."""

import enum
import json
import math
import uuid

import attrs

from catkinhook.jsontexts import decode_json
from catkinhook.state.storeversions import find_era, version_in_era
from catkinhook.texts import is_encodable

# Share of the lease time after which the holder renews the lease.
RENEW_SHARE = 1 / 3
# Time before the expiry at which the holder stops sending orders, to allow for an order in flight.
EXPIRY_MARGIN_S = 0.7
# Time after the expiry for which other hosts still don't acquire the lease.
ACQUIRE_MARGIN_S = 0.3
MAX_ROW_BYTES = 4096
# Highest rate in the row that is believed; sums of rates must remain finite.
MAX_RATE = 1e6
# Time after a failed renewal for which the holder attributes the expiry of its lease to a store
# outage and not to a suspension of its own host.
RENEWAL_FAILURE_TTL_S = 2.5
# Maximum time for which a holder continues to send orders during a store outage.
MAX_EXTENSION_S = 60.0


class LeaseAction(enum.Enum):
    """Action that the lease state machine asks its caller to take."""

    WAIT = "wait"
    READ = "read"
    RENEW = "renew"
    ACQUIRE = "take"


@attrs.frozen(kw_only=True)
class LeaseRecord:
    """Content of the lease's row.

    :ivar address: ``IP:port`` at which the holder listens for other hosts.
    :ivar fence: fencing token, incremented by each acquisition.
    :ivar nonce: identifies the process that wrote the row, after a write whose answer was lost.
    :ivar released: true when the holder has released the lease.
    :ivar rates: requests per second by model, for the next holder, which has no demand data yet.
    """

    node: str
    address: str
    fence: int
    nonce: str
    released: bool = False
    rates: dict[str, float] = attrs.Factory(dict)

    def is_same_term(self, other: "LeaseRecord") -> bool:
        """Whether both records are of one term of one holder, which may have renewed it."""
        return attrs.evolve(self, rates={}) == attrs.evolve(other, rates={})


def encode_lease(record: LeaseRecord) -> bytes:
    """Encode a lease record as the bytes of a row."""
    return json.dumps(attrs.asdict(record)).encode()


def decode_lease(value: bytes, version: int) -> LeaseRecord | None:
    """Decode the bytes of a row; None when they are not a lease record.

    :param version: version of the row. The store increments it with each transaction, so a fencing
        token, which is incremented by some of them, is never higher.
    """
    if not value or len(value) > MAX_ROW_BYTES:
        return None
    try:
        fields = decode_json(value)
        record = LeaseRecord(**fields)
    except (ValueError, TypeError, RecursionError):
        return None
    texts = (record.node, record.address, record.nonce)
    is_valid = (
        all(isinstance(text, str) and is_encodable(text) for text in texts)
        and type(record.fence) is int
        and 0 <= record.fence <= version
        and isinstance(record.released, bool)
        and isinstance(record.rates, dict)
    )
    if not is_valid:
        return None
    rates = {
        name: float(rate)
        for name, rate in record.rates.items()
        if isinstance(rate, (int, float)) and 0 <= rate <= MAX_RATE
    }
    return attrs.evolve(record, rates=rates)


class OrderLease:
    """State machine of the lease on one host; the caller does all I/O.

    Times come from the caller's monotonic clock, which must count time in which the host is
    suspended. Otherwise a resumed holder would treat its expired lease as valid.

    :param node: name of this host.
    :param address: ``IP:port`` at which it listens for other hosts.
    :param lease_s: seconds after which an unchanged row has expired.
    :param may_extend: whether to hold the lease beyond its expiry during a store outage. This is
        safe where engines refuse old fencing tokens: if another host has acquired the lease, the
        reply to the next order stops this host.
    """

    def __init__(self, node: str, address: str, lease_s: float, may_extend: bool = False) -> None:
        self._may_extend = may_extend
        self._failed_at = float("-inf")
        self._node = node
        self._address = address
        self._lease_s = lease_s
        self._nonce = uuid.uuid4().hex
        self._changed_at: float | None = None
        self._held_until = float("-inf")
        self._renewed_at = float("-inf")
        self._highest_fence = 0
        # Newest version that a store with eras has stated, 0 for any other store.
        self._newest = 0
        self._era_seen_at = float("-inf")
        self._is_renewal_due = False
        # Fencing token of this host's latest term.
        self._held_fence = 0
        self.version = 0
        self.record: LeaseRecord | None = None

    def is_held(self, now: float) -> bool:
        """Whether this host may send orders."""
        return now < self._held_until or self._is_extended(now)

    def seconds_until_expiry(self, now: float) -> float:
        """Return the seconds until the lease expires without a renewal, 0 after its expiry."""
        return max(0.0, self._held_until - now)

    def seconds_since_expiry(self, now: float) -> float:
        """Return the seconds since this host's lease expired, 0 before its expiry."""
        return max(0.0, now - self._held_until) if math.isfinite(self._held_until) else 0.0

    def record_renewal_failure(self, now: float) -> None:
        """Record a renewal without an answer from the store, if the lease is held."""
        if self.is_held(now):
            self._failed_at = now

    def _is_extended(self, now: float) -> bool:
        return (
            self._may_extend
            and now - self._failed_at < RENEWAL_FAILURE_TTL_S
            and now - self._renewed_at < MAX_EXTENSION_S
        )

    @property
    def fence(self) -> int:
        """Fencing token in the last known row."""
        return self.record.fence if self.record else 0

    def next_action(self, now: float, is_holder_reachable: bool) -> LeaseAction:
        """Return the action to take now.

        :param is_holder_reachable: whether the holder has recently confirmed to this host that it
            holds the lease.
        """
        if self.is_held(now):
            attempted_at = max(self._renewed_at, self._failed_at)
            is_due = now - attempted_at >= RENEW_SHARE * self._lease_s or self._is_renewal_due
            return LeaseAction.RENEW if is_due else LeaseAction.WAIT
        if is_holder_reachable:
            return LeaseAction.WAIT
        return LeaseAction.ACQUIRE if self._is_free(now) else LeaseAction.READ

    @property
    def era(self) -> int:
        """Latest era of the store, 0 if it has none."""
        return find_era(self._newest)

    def request_renewal(self) -> None:
        """Let the next action of a holder be a renewal."""
        self._is_renewal_due = True

    def observe(
        self, version: int, record: LeaseRecord | None, now: float, newest: int = 0
    ) -> None:
        """Record a row that was read.

        :param newest: newest version of a store with eras at the read, 0 for any other store.
        """
        if find_era(newest) < self.era:
            # A late answer; the row is another one now.
            return
        if find_era(newest) > self.era:
            self._era_seen_at = now
        self._newest = max(self._newest, newest)
        if self._changed_at is None or version != self.version:
            self.version, self.record, self._changed_at = version, record, now
        self._highest_fence = max(self._highest_fence, self.fence)

    def confirm(self, version: int, fence: int, now: float) -> None:
        """Record a row version that was reported by the holder itself."""
        if self.record is not None and fence == self.record.fence and version > self.version:
            self.version, self._changed_at = version, now

    def make_record(
        self, is_renewal: bool, released: bool = False, rates: dict[str, float] | None = None
    ) -> LeaseRecord:
        """Return the record to write.

        :param rates: requests per second by model; None keeps those in the row.
        """
        if rates is None:
            rates = self.record.rates if self.record else {}
        # The last fencing token is unknown if the row is unusable, but it is not above the version.
        # A store with eras may have forgotten terms; all of their tokens are below its newest
        # version, as a new token is the version after that.
        floor = max(self._newest, self.version if self.record is None else 0)
        fence = self.fence if is_renewal else max(self._highest_fence, floor) + 1
        return LeaseRecord(
            node=self._node,
            address=self._address,
            fence=fence,
            nonce=self._nonce,
            released=released,
            rates=rates,
        )

    def record_write(self, version: int, record: LeaseRecord, sent_at: float, now: float) -> None:
        """Record a successful write.

        :param sent_at: time before the write was sent, at which the lease starts.
        """
        self.version, self.record, self._changed_at = version, record, now
        self._is_renewal_due = False
        self._held_fence = record.fence
        self._highest_fence = max(self._highest_fence, record.fence)
        self._renewed_at = sent_at
        self._failed_at = float("-inf")
        self._held_until = sent_at + self._lease_s - EXPIRY_MARGIN_S
        if record.released:
            self._held_until = float("-inf")

    def step_down(self) -> None:
        """Stop holding the lease without a write to the row."""
        self._held_until = self._failed_at = float("-inf")
        self._is_renewal_due = False

    def is_of_latest_era(self) -> bool:
        """Return whether this host's latest term began in the latest era of the store."""
        return find_era(self._held_fence) >= self.era

    def may_begin_era(self, now: float) -> bool:
        """Return whether the holder may acquire the lease anew, without a pause, in a new era.

        Other hosts wait for the lease time at the beginning of an era, so only a row with a higher
        fencing token shows that another one has acquired the lease.
        """
        is_known = self.record is not None or not version_in_era(self.version)
        return self.is_held(now) and is_known and self.fence <= self._held_fence

    def is_own(self, record: LeaseRecord | None) -> bool:
        """Whether a row was written by this process."""
        if record is None or record.node != self._node:
            return False
        return record.nonce == self._nonce

    def _is_free(self, now: float) -> bool:
        if self._changed_at is None:
            return False
        if now - self._era_seen_at < self._lease_s + ACQUIRE_MARGIN_S:
            # The store may have forgotten a holder.
            return False
        if self.record is None:
            is_first = not self.version and not self._highest_fence
            return is_first or self._has_expired(now)
        if self.record.released:
            return True
        if self.record.node == self._node and not self.is_own(self.record):
            # The row was written by an earlier process of this host, which has ended.
            return True
        return self._has_expired(now)

    def _has_expired(self, now: float) -> bool:
        """Whether the lease of a holder that has not written the row since has expired.

        A row that was replaced or removed by another writer may hide such a holder.
        """
        return now - self._changed_at >= self._lease_s + ACQUIRE_MARGIN_S
