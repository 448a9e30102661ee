"""Shared state that hosts learn from readers of the store: entries, configuration and lease.

A reader answers ``follow`` with what is newer than the caller's state. It holds the call until
there is something newer, but only for a fraction of the time within which a leaving endpoint must
get no new request, so that its followers notice soon when it is gone.
"""

import math
import random
import threading
import time
import zlib
from collections.abc import Callable, Iterable

import attrs
from result import Err, Ok, Result

from catkinhook.clocks import boot_clock
from catkinhook.control.orderlease import LeaseRecord, decode_lease, encode_lease
from catkinhook.control.orderleasemanager import LeaseManager
from catkinhook.errors import StepError
from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.operations.hostmetrics import HostMetrics
from catkinhook.peering.peers import PeerPool
from catkinhook.peering.readers import (
    HOLD_SHARE,
    MAX_AGE_SHARE,
    POLL_WAIT_SHARE,
    Reader,
    SourceSelector,
)
from catkinhook.peering.thriftfields import MS_PER_S, encode_count, require_fields
from catkinhook.state.storeinterfaces import TableChanges
from catkinhook.state.storewatches import (
    ENDPOINT_MAX_WAIT_S,
    RETRY_INTERVAL_S,
    ConfigurationWatch,
    EndpointWatch,
    StoreGate,
)
from catkinhook.thrift_hosts import ttypes
from catkinhook.units import MIB

STEP = "shared-state"
# Known version of a host that wants all entries.
ALL_ENTRIES = -1
# Known version of a host that does not want a part of the state.
MAX_VERSION = 2**63 - 1
# Longest time in seconds for which a call is held, whatever the caller asks for.
MAX_HOLD_S = 2.0
MAX_CONFIGURATION_BYTES = 16 * MIB
# Time in seconds for which a host that a follower has asked follows the store, even if it does not
# know yet that it is a reader.
ASKED_TTL_S = 5.0
# Seconds before a reader that is behind this host is called again.
BEHIND_PAUSE_S = 0.1
# Seconds between checks of whether this host still reads the store.
CHECK_INTERVAL_S = 0.5
# Maximum number of hosts that are queried one after the other before the next call to the store.
# Each unreachable host takes the timeout of a call, which adds up to 44 s for 88 hosts.
MAX_QUERIED_PEERS = 2


@attrs.frozen(kw_only=True)
class SharedState:
    """What another host knows that is newer than this host's state.

    :ivar age_s: seconds since that host read its state from the store.
    :ivar configuration_text: text of the configuration, empty if it is not newer.
    :ivar lease_version: version of the lease's row.
    :ivar lease: record of the holder, None if it is not newer.
    """

    age_s: float
    entries: TableChanges
    configuration_version: int
    configuration_text: bytes
    lease_version: int
    lease: LeaseRecord | None


def decode_shared_state(struct: ttypes.SharedState, peer: str) -> SharedState:
    """Return the state of a struct.

    :raises StepError: if a field is absent or the text of the configuration can't be read.
    """
    require_fields(struct, peer)
    return SharedState(
        age_s=max(0, struct.age_ms) / MS_PER_S,
        entries=TableChanges(
            version=struct.endpoints,
            value_by_key=struct.entry_by_id,
            removed=frozenset(struct.removed),
            is_full=struct.has_all_entries,
        ),
        configuration_version=struct.configuration,
        configuration_text=_decompress(struct.configuration_text, peer),
        lease_version=struct.lease,
        lease=decode_lease(struct.lease_record, struct.lease),
    )


def _decompress(data: bytes, peer: str) -> bytes:
    if not data:
        return b""
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, MAX_CONFIGURATION_BYTES)
    except zlib.error as error:
        raise StepError(STEP, peer, f"configuration text can't be read: {error}") from None
    if not decompressor.eof:
        raise StepError(STEP, peer, "configuration text is incomplete or too long")
    return text


class StateSource:
    """Answers other hosts' calls for this host's shared state.

    :param endpoints: entries of this host.
    :param configuration: configuration of this host.
    :param lease: lease of this host.
    """

    def __init__(
        self, endpoints: EndpointWatch, configuration: ConfigurationWatch, lease: LeaseManager
    ) -> None:
        self._endpoints = endpoints
        self._configuration = configuration
        self._lease = lease
        self._changed = threading.Condition()
        self._compressed: tuple[int, bytes] = (0, b"")
        self.asked_at = float("-inf")

    def notify(self) -> None:
        """Answer the calls that are held; something has changed."""
        with self._changed:
            self._changed.notify_all()

    def follow(self, known: ttypes.KnownState) -> ttypes.SharedState:
        """Return what is newer than the caller's state, as soon as there is anything.

        :raises StepError: if a field is absent.
        """
        require_fields(known, "")
        wait_s = min(MAX_HOLD_S, max(0, known.wait_ms) / MS_PER_S)
        if wait_s:
            self.asked_at = time.monotonic()
        with self._changed:
            self._changed.wait_for(lambda: self._is_newer(known), wait_s)
        is_loaded = self._endpoints.is_loaded
        age_s = self._endpoints.seconds_since_contact() if is_loaded else math.inf
        entries = self._endpoints.changes_after(known.endpoints)
        lease_version, record = self._lease.changed_record()
        has_newer_lease = record is not None and lease_version > known.lease
        return ttypes.SharedState(
            age_ms=encode_count(age_s * MS_PER_S),
            endpoints=entries.version,
            has_all_entries=entries.is_full and is_loaded,
            entry_by_id=entries.value_by_key,
            removed=sorted(entries.removed),
            configuration=self._configuration.version,
            configuration_text=self._compress_text(known.configuration),
            lease=lease_version,
            lease_record=encode_lease(record) if has_newer_lease else b"",
        )

    def _is_newer(self, known: ttypes.KnownState) -> bool:
        lease_version, record = self._lease.changed_record()
        return (
            self._endpoints.changed_in > known.endpoints
            or self._configuration.version > known.configuration
            or (record is not None and lease_version > known.lease)
        )

    def _compress_text(self, known: int) -> bytes:
        version, text = self._configuration.version, self._configuration.text
        if version <= known:
            return b""
        if self._compressed[0] != version:
            self._compressed = (version, zlib.compress(text))
        return self._compressed[1]


class StoreFollower:
    """Service that follows a reader of the store, or lets this host follow the store itself.

    :param pool: connections to readers, apart from those of other calls, which would wait behind a
        call that is held.
    :param is_holder: whether this host holds the order lease. The holder follows the store.
    :param drain_s: time within which a leaving endpoint must get no new request.
    """

    def __init__(
        self,
        selector: SourceSelector,
        source: StateSource,
        pool: PeerPool,
        gate: StoreGate,
        endpoints: EndpointWatch,
        configuration: ConfigurationWatch,
        lease: LeaseManager,
        is_holder: Callable[[], bool],
        drain_s: float,
        metrics: HostMetrics,
        log: DecisionLog,
    ) -> None:
        self._selector = selector
        self._source = source
        self._pool = pool
        self._gate = gate
        self._endpoints = endpoints
        self._configuration = configuration
        self._lease = lease
        self._is_holder = is_holder
        self._hold_s = HOLD_SHARE * drain_s
        self._max_age_s = MAX_AGE_SHARE * drain_s
        self._poll_wait_s = POLL_WAIT_SHARE * drain_s
        self._metrics = metrics
        self._log = log
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._is_closed = False
        # Reader whose last answer was up to date, empty while this host reads the store.
        self._followed = ""
        self._reason = "start"
        # Whether the last answer was delayed, so that it may be older than it looks.
        self._is_late = False
        self._thread = threading.Thread(target=self._run, name="store-follower", daemon=True)
        gate.on_failure = self._record_store_failure

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread without waiting for a call in progress."""
        self._is_closed = True
        self._wake.set()

    def set_readers(self, readers: Iterable[Reader]) -> None:
        """Set the readers that the holder chose, none if each host follows the store."""
        with self._lock:
            has_changed = self._selector.set_readers(readers)
        # Heartbeats often arrive in bunches, and a long poll between them lets the state grow old.
        has_readers = bool(self._selector.readers)
        self._endpoints.max_wait_s = self._poll_wait_s if has_readers else ENDPOINT_MAX_WAIT_S
        if self._selector.is_reader and self._gate.is_start_pause():
            # The pause is for hosts that will follow others.
            self._gate.wake()
        if has_changed:
            self._log.record(
                "readers", outcome="changed", readers=[r.address for r in self._selector.readers]
            )
            self._wake.set()

    @property
    def readers(self) -> tuple[Reader, ...]:
        """Readers that this host knows."""
        return self._selector.readers

    @property
    def is_reader(self) -> bool:
        """Whether the holder chose this host as a reader."""
        return self._selector.is_listed

    def _record_store_failure(self) -> None:
        now = time.monotonic()
        with self._lock:
            if self._selector.is_reader or self._serves_others(now):
                return
            self._selector.record_store_failure(now)
        self._gate.close()
        self._wake.set()

    def _run(self) -> None:
        while not self._is_closed:
            try:
                pause_s = self.step()
            except Exception as error:
                # A malformed answer must not end the thread.
                self._log.record("source", outcome=f"failed: {error!r}")
                pause_s = RETRY_INTERVAL_S
            if pause_s:
                self._wake.wait(pause_s)
                self._wake.clear()

    def step(self) -> float:
        """Call the chosen reader once, or let the watchers read the store.

        :returns: seconds until the next step.
        """
        now = time.monotonic()
        is_needed = self._serves_others(now)
        known_version = self._endpoints.version
        with self._lock:
            address = "" if is_needed else self._selector.next_source(now)
            is_reader = is_needed or self._selector.is_reader
        if not address:
            if is_reader:
                self._reason = "reader" if self._selector.readers else "no readers"
            self._read_store()
            return CHECK_INTERVAL_S
        began = boot_clock()
        try:
            called = self._call(address)
        except Exception as error:
            # Whatever a faulty reader sends, this host goes on to the next one.
            called = Err(f"sent an answer that can't be used: {error!r}")
        self._is_late = not self._configuration.record_check(began, self._hold_s, called.is_ok())
        result = called.and_then(self._check_age)
        with self._lock:
            if result.is_ok():
                self._selector.record_success()
            else:
                pause_s = self._selector.record_failure(now)
                self._reason = f"{address}: {result.unwrap_err()}"
        if result.is_err():
            outcome = "lost" if self._followed else "unusable"
            self._log.record("source", outcome=outcome, reader=address, reason=self._reason)
            self._followed = ""
            return pause_s
        if result.unwrap().entries.version < known_version:
            # Its entries were not applied. It will have read the same version soon.
            return BEHIND_PAUSE_S
        self._follow(address)
        return 0.0

    def _serves_others(self, now: float) -> bool:
        """Whether other hosts need this one to follow the store."""
        return self._is_holder() or now - self._source.asked_at < ASKED_TTL_S

    def _check_age(self, state: SharedState) -> Result[SharedState, str]:
        if state.age_s > self._max_age_s:
            return Err(f"knows the store's state of {state.age_s:.1f} s ago")
        return Ok(state)

    def _call(self, address: str) -> Result[SharedState, str]:
        """Call a reader and apply its answer."""
        is_followed = address == self._followed
        wait_s = self._hold_s if is_followed and not self._is_late else 0.0
        known = ttypes.KnownState(
            # A reader that was not followed before may have other entries in a grace period.
            endpoints=self._endpoints.version if is_followed else ALL_ENTRIES,
            configuration=self._configuration.version,
            lease=self._lease.version(),
            wait_ms=encode_count(wait_s * MS_PER_S),
        )
        answer = self._pool.call(address, "follow", known, extra_time=wait_s)
        if answer.is_err():
            return Err(answer.unwrap_err().reason)
        try:
            state = decode_shared_state(answer.unwrap(), address)
        except StepError as error:
            return Err(str(error))
        return self.apply(state).map(lambda _: state)

    def apply(self, state: SharedState) -> Result[bool, str]:
        """Apply another host's state; nothing is replaced by an older version.

        :returns: whether the entries are not older than this host's, or why they are invalid.
        """
        applied = self._endpoints.apply_from_peer(state.entries)
        if applied.is_err():
            return applied
        if state.configuration_text:
            newer = self._configuration.apply_if_newer(state.configuration_text, "peer")
            if newer.is_err():
                return Err(newer.unwrap_err())
        if state.lease is not None:
            self._lease.observe_relayed(state.lease_version, state.lease)
        if applied.unwrap():
            self._endpoints.record_relayed_contact(state.age_s)
            self._configuration.record_relayed_contact(state.age_s)
        return applied

    def _follow(self, address: str) -> None:
        self._gate.close()
        if address != self._followed:
            self._followed = address
            self._metrics.source_changes.labels("reader").inc()
            self._log.record("source", outcome="reader", reader=address)

    def _read_store(self) -> None:
        self._followed = ""
        if not self._gate.is_open:
            self._gate.open()
            self._metrics.source_changes.labels("store").inc()
            self._log.record("source", outcome="store", reason=self._reason)


def sample_peers(
    addresses: Iterable[str], rng: random.Random, first_address: str = ""
) -> list[str]:
    """Return a random sample of the hosts to query.

    :param first_address: host to query before the others, empty for none.
    """
    others = [address for address in addresses if address != first_address]
    chosen = rng.sample(others, min(len(others), MAX_QUERIED_PEERS))
    return [first_address, *chosen][:MAX_QUERIED_PEERS] if first_address else chosen


def fetch_entries(
    pool: PeerPool, addresses: Iterable[str], known_version: int, rng: random.Random
) -> TableChanges | None:
    """Return newer endpoint entries from one of a few hosts, None if none of them has any.

    :param addresses: ``IP:port`` of other hosts.
    """
    # Only the entries are wanted. The answer has neither configuration nor lease.
    known = ttypes.KnownState(
        endpoints=ALL_ENTRIES, configuration=MAX_VERSION, lease=MAX_VERSION, wait_ms=0
    )
    for address in sample_peers(addresses, rng):
        state = _fetch(pool, address, known)
        if state is not None and state.entries.version > known_version:
            return state.entries
    return None


def fetch_configuration(
    pool: PeerPool,
    addresses: Iterable[str],
    known_version: int,
    rng: random.Random,
    first_address: str = "",
) -> bytes | None:
    """Return a newer configuration from one of a few hosts, None if none of them has one.

    A host without a configuration gets the newest of them.

    :param addresses: ``IP:port`` of other hosts.
    :param first_address: host that reported a newer version, empty for none.
    """
    known = ttypes.KnownState(
        endpoints=MAX_VERSION, configuration=known_version, lease=MAX_VERSION, wait_ms=0
    )
    newest: bytes | None = None
    for address in sample_peers(addresses, rng, first_address):
        state = _fetch(pool, address, known)
        if state is not None and state.configuration_text:
            newest = state.configuration_text
            if known_version or address == first_address:
                break
            # A host that has just started asks the next one, too, since this one may have been cut
            # off for long.
            known.configuration = max(known.configuration, state.configuration_version)
    return newest


def _fetch(pool: PeerPool, address: str, known: ttypes.KnownState) -> SharedState | None:
    result = pool.call(address, "follow", known)
    if result.is_err():
        return None
    try:
        return decode_shared_state(result.unwrap(), address)
    except StepError:
        return None
