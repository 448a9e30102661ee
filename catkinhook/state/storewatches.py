"""Watchers of the configuration and the endpoint entries.

They follow the store while the gate is open. While it is closed, this host follows a reader, and
``apply_if_newer`` and ``apply_from_peer`` get what the reader sends.
"""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from catkinhook.clocks import boot_clock
from catkinhook.errors import StoreError
from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.requests.routetable import RouteTable
from catkinhook.requests.workspaces import count_changes
from catkinhook.state.endpointtable import EXPIRY_GRACE_S, EndpointTable
from catkinhook.state.entrylog import MAX_REMOVED, EntryLog
from catkinhook.state.freezeguard import FreezeGuard
from catkinhook.state.storeinterfaces import ChangeFeed, TableChanges
from catkinhook.state.storeversions import find_era
from catkinhook.state.views import EndpointView

# Maximum duration of a long poll. A silent connection is detected after this and the time for an
# answer. Hosts must know what the store says 3 s after connections have gone silent.
MAX_WAIT_S = 1.5
# The same for the endpoint table, whose calls follow a pause.
ENDPOINT_MAX_WAIT_S = 0.5
# Heartbeats change the endpoint table continuously, so long polls of it return without waiting.
# The pause between them is this fraction of the time within which a leaving endpoint must stop
# getting new requests.
ENDPOINT_POLL_FRACTION = 0.3
# Seconds between calls while the store is unreachable.
RETRY_INTERVAL_S = 0.3
# Requests to peers that take longer than this are logged.
SLOW_PEERS_THRESHOLD_S = 0.5
# A time without a successful call counts as an outage if it exceeds a long poll by this.
OUTAGE_THRESHOLD_S = 1.5


class StoreGate:
    """Tells the watchers whether this host follows the store itself.

    :param start_pause_s: seconds after the start of the process in which the watchers make no
        further call after the first that succeeded, unless ``wake`` is called. Hosts that all start
        at once then get the readers before they call the store again.
    :ivar on_failure: called after each failed call to the store.
    """

    def __init__(self, start_pause_s: float = 0.0) -> None:
        self._start_pause_ends = time.monotonic() + start_pause_s
        self.on_failure: Callable[[], object] = lambda: None
        self._open = threading.Event()
        self._open.set()
        self._watchers: list[_FeedWatcher] = []

    @property
    def is_open(self) -> bool:
        """Whether this host follows the store itself."""
        return self._open.is_set()

    def is_start_pause(self) -> bool:
        """Whether the process has only just started."""
        return self.start_pause_s() > 0

    def start_pause_s(self) -> float:
        """Return the seconds until the watchers call the store again after the start."""
        return max(0.0, self._start_pause_ends - time.monotonic())

    def add(self, watcher: "_FeedWatcher") -> None:
        """Add a watcher to wake when the gate opens."""
        self._watchers.append(watcher)

    def open(self) -> None:
        """Let the watchers follow the store."""
        if not self.is_open:
            self._open.set()
            self.wake()

    def close(self) -> None:
        """Stop the watchers' calls to the store, after those in progress."""
        self._open.clear()

    def wake(self) -> None:
        """End the pause at the start of the process and other pauses between calls."""
        self._start_pause_ends = float("-inf")
        for watcher in self._watchers:
            watcher.wake()

    def wait_open(self) -> None:
        """Wait until the watchers may follow the store."""
        self._open.wait()


class _FeedWatcher:
    """Thread that polls one change feed and logs when it is lost and regained.

    :ivar max_wait_s: maximum duration of a long poll in seconds.
    """

    def __init__(
        self,
        name: str,
        feed: ChangeFeed,
        poll_interval_s: float,
        log: DecisionLog,
        gate: StoreGate,
    ) -> None:
        self._name = name
        self._feed = feed
        self._poll_interval_s = poll_interval_s
        self._log = log
        self._gate = gate
        self.max_wait_s = MAX_WAIT_S
        # Whether the next call returns without waiting for a change, which shows that all is known.
        self._reads_at_once = False
        self._wake = threading.Event()
        self._after: int | None = None
        self._stop = threading.Event()
        self._is_unreachable = False
        self._last_contact = time.monotonic()
        # On the clock that counts the time in which the host is suspended.
        self._state_read_at = boot_clock()
        # Planned time of the next call to the store.
        self._next_poll_at = float("-inf")
        self._recovered_at = float("-inf")
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

        gate.add(self)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread, without waiting for a long poll in progress."""
        self._stop.set()
        self._gate.open()
        self.wake()

    def wake(self) -> None:
        """Call the store now, without waiting for a change."""
        self._reads_at_once = True
        self._wake.set()

    def seconds_since_contact(self) -> float:
        """Return the age of what this host knows, by itself or from another host."""
        return boot_clock() - self._state_read_at

    def record_relayed_contact(self, age_s: float) -> None:
        """Record that another host's state has been applied.

        :param age_s: seconds since that host read its state from the store.
        """
        self._last_contact = max(self._last_contact, time.monotonic() - age_s)
        self._state_read_at = max(self._state_read_at, boot_clock() - age_s)

    def _run(self) -> None:
        while not self._stop.is_set():
            if not self._gate.is_open:
                # What happened meanwhile may no longer be in the store's history.
                self._after = None
                self._gate.wait_open()
                continue
            try:
                pause_s = self._poll()
            except Exception as error:
                # The decoders reject invalid rows, so this is a fault of the host's own code. It
                # must not end the thread, which alone follows the feed.
                self._log.record("feed", outcome=f"failed: {error!r}", feed=self._name)
                pause_s = RETRY_INTERVAL_S
            self._next_poll_at = time.monotonic() + pause_s
            if self._wake.wait(pause_s):
                self._wake.clear()

    def _poll(self) -> float:
        """Read and apply changes once; return the seconds until the next call."""
        wait_s = 0.0 if self._reads_at_once else self.max_wait_s
        self._reads_at_once = False
        began = boot_clock()
        result = self._feed.read_changes(self._after, wait_s)
        if result.is_err():
            self._record_failure(result.unwrap_err())
            self._on_polled(began, wait_s, is_ok=False)
            return RETRY_INTERVAL_S
        self._record_contact()
        changes = result.unwrap()
        self._after = changes.version
        for row in changes.ignored:
            self._log.record("feed", outcome=f"row ignored: {row}", feed=self._name)
        self._apply(changes)
        self._on_polled(began, wait_s, is_ok=True)
        start_pause_s = self._gate.start_pause_s() if self.is_loaded else 0.0
        return max(self._poll_interval_s, start_pause_s)

    def _record_failure(self, error: StoreError) -> None:
        if not self._is_unreachable:
            self._log.record("dependency", outcome="lost", name=self._name, reason=str(error))
        self._is_unreachable = True
        self._gate.on_failure()
        self._on_failure()

    def _record_contact(self) -> None:
        now = time.monotonic()
        # A pause that was planned is no outage. A host that was suspended in it exceeds it.
        silent_s = now - max(self._last_contact, self._next_poll_at)
        if self._is_unreachable or silent_s > OUTAGE_THRESHOLD_S + MAX_WAIT_S:
            self._recovered_at = now
            away_s = round(now - self._last_contact, 3)
            self._log.record("dependency", outcome="regained", name=self._name, away_s=away_s)
        self._is_unreachable = False
        self._last_contact = now
        self._state_read_at = boot_clock()

    @property
    def is_loaded(self) -> bool:
        """Whether the state has been read once."""
        raise AssertionError("a subclass must override this property")

    def _on_failure(self) -> None:
        """Handle a failed call; does nothing by default."""

    def _on_polled(self, began: float, held_s: float, is_ok: bool) -> None:
        """Handle the end of a call; does nothing by default."""

    def _apply(self, changes: TableChanges) -> None:
        """Apply the changes of a successful call."""
        raise AssertionError("a subclass must override this method")


class ConfigurationWatch(_FeedWatcher):
    """Watches the configuration and never reverts to a lower version.

    :param key: key of the configuration row.
    :param decode: decodes the row, or returns the reason why it is invalid.
    :param on_table: called with each newer configuration.
    :param fetch_from_peers: returns another host's configuration that is newer than a version, or
        None; the second parameter is the address of the host to request it from first.
    :param on_change: called after each change of the configuration in force.
    """

    def __init__(
        self,
        feed: ChangeFeed,
        key: str,
        decode: Callable[[bytes], Result[RouteTable, str]],
        on_table: Callable[[RouteTable], None],
        fetch_from_peers: Callable[[int, str], bytes | None],
        log: DecisionLog,
        gate: StoreGate,
        on_change: Callable[[], object] = lambda: None,
    ) -> None:
        super().__init__("configuration", feed, 0.0, log, gate)
        self._on_change = on_change
        self._key = key
        self._decode = decode
        self._on_table = on_table
        self._fetch_from_peers = fetch_from_peers
        self._lock = threading.Lock()
        self._freeze_guard = FreezeGuard()
        self.table: RouteTable | None = None
        self.text = b""

    @property
    def is_loaded(self) -> bool:
        """Whether a configuration is in force."""
        return self.table is not None

    @property
    def version(self) -> int:
        """Version in force, or 0 before the first."""
        return self.table.version if self.table else 0

    def current_table(self) -> RouteTable | None:
        """Return the configuration for a request, None before the first one.

        If it has workspaces, whose keys may be removed, and this host was suspended, this waits for
        a check for a newer one.
        """
        table = self.table
        if table is None or table.workspaces is None:
            return table
        self._freeze_guard.wait()
        return self.table

    def record_check(self, began: float, held_s: float, is_ok: bool) -> bool:
        """Record the end of a call for a newer configuration, as ``FreezeGuard`` does.

        Without workspaces no key can be removed, and late answers cause no further calls.
        """
        is_recent = self._freeze_guard.record_check(began, held_s, is_ok)
        has_workspaces = self.table is not None and self.table.workspaces is not None
        return is_recent or not has_workspaces

    def apply_if_newer(self, text: bytes, source: str) -> Result[bool, str]:
        """Apply a configuration if it is newer than the one in force.

        :param source: origin of the configuration, for the log.
        :returns: whether it was newer, or the reason why it is invalid.
        """
        decoded = self._decode(text)
        if decoded.is_err():
            reason = decoded.unwrap_err()
            self._log.record(
                "configuration", outcome=f"unusable: {reason}", source=source, kept=self.version
            )
            return Err(reason)
        table = decoded.unwrap()
        with self._lock:
            if self.table is not None and table.version <= self.table.version:
                return Ok(False)
            previous_table, previous = self.table, self.version
            self.table, self.text = table, text
            self._on_table(table)
        self._on_change()
        self._log.record(
            "configuration",
            outcome="in force",
            version=table.version,
            previous=previous,
            source=source,
            routes=len(table.routes),
        )
        self._log_workspaces(previous_table, table)
        return Ok(True)

    def _log_workspaces(self, previous: RouteTable | None, table: RouteTable) -> None:
        """Log what a new version changes in the workspaces, in numbers, and its invalid values."""
        change = count_changes(previous and previous.workspaces, table.workspaces)
        if change is not None:
            self._log.record(
                "workspaces", outcome="changed", version=table.version, **attrs.asdict(change)
            )
        for note in table.workspaces.notes if table.workspaces is not None else ():
            self._log.record("workspaces", outcome="fallback", version=table.version, reason=note)

    def fetch_newer(self, preferred: str = "") -> None:
        """Request a newer configuration from other hosts.

        :param preferred: address of a host that is known to have one, or empty.
        """
        started = time.monotonic()
        text = self._fetch_from_peers(self.version, preferred)
        took_s = time.monotonic() - started
        if took_s > SLOW_PEERS_THRESHOLD_S:
            self._log.record(
                "feed",
                outcome="peers were slow",
                feed="configuration",
                took_s=round(took_s, 3),
                found=bool(text),
            )
        if text:
            self.apply_if_newer(text, "peer")

    def _on_failure(self) -> None:
        self.fetch_newer()

    def _on_polled(self, began: float, held_s: float, is_ok: bool) -> None:
        if not self.record_check(began, held_s, is_ok):
            self._reads_at_once = True

    def _apply(self, changes: TableChanges) -> None:
        text = changes.value_by_key.get(self._key)
        if text is None:
            return
        if self.table is None and find_era(changes.version):
            # The store may have come back from a copy that is older than what other hosts have.
            self.fetch_newer()
        self.apply_if_newer(text, "store")


class EndpointWatch(_FeedWatcher):
    """Watches the entries of endpoints.

    :param decode: decodes an entry, or returns the reason why it is invalid.
    :param on_endpoints: called with all endpoints by id after each change.
    :param fetch_from_peers: returns another host's entries if they are newer than a version, or
        None. They tell a host that can't reach the store which endpoints are leaving or new.
    :param drain_s: seconds after which a leaving endpoint must get no new request.
    :param on_change: called after each change of an entry, heartbeats excepted.
    """

    def __init__(
        self,
        feed: ChangeFeed,
        decode: Callable[[str, bytes], Result[EndpointView, str]],
        on_endpoints: Callable[[dict[str, EndpointView]], None],
        fetch_from_peers: Callable[[int], TableChanges | None],
        log: DecisionLog,
        drain_s: float,
        gate: StoreGate,
        on_change: Callable[[], object] = lambda: None,
    ) -> None:
        super().__init__("endpoints", feed, ENDPOINT_POLL_FRACTION * drain_s, log, gate)
        self.max_wait_s = ENDPOINT_MAX_WAIT_S
        self._decode = decode
        self._on_endpoints = on_endpoints
        self._fetch_from_peers = fetch_from_peers
        self._on_change = on_change
        self._lock = threading.Lock()
        self._table = EndpointTable()
        self._value_by_id: dict[str, bytes] = {}
        self._invalid_value_by_id: dict[str, bytes] = {}
        self._entry_log = EntryLog()
        # Boot ids of the endpoints that the store removed while it was not recovering.
        self._removed_boot_by_id: OrderedDict[str, str] = OrderedDict()
        # Endpoints that only another host's entries have, since the latest answer of the store.
        self._unconfirmed_ids: set[str] = set()
        # Number of times that entries of other hosts were applied.
        self._relayed = self._relayed_before = 0
        self._is_loaded = False

    @property
    def is_loaded(self) -> bool:
        """Whether the entries have been read once."""
        return self._is_loaded

    @property
    def version(self) -> int:
        """Version of the table that the entries include."""
        return self._entry_log.version

    @property
    def changed_in(self) -> int:
        """Version of the table in which an entry last changed, heartbeats excepted."""
        return self._entry_log.changed_in

    def count(self) -> int:
        """Return the number of endpoints."""
        return len(self._table.ids())

    def changes_after(self, known: int) -> TableChanges:
        """Return the changes after a version, without heartbeats, or all entries."""
        with self._lock:
            return self._entry_log.changes_after(known)

    def apply_from_peer(self, changes: TableChanges) -> Result[bool, str]:
        """Apply another host's changes if they are not older than what is known here.

        :returns: whether they were applied, or the reason why they are invalid.
        """
        for endpoint, value in changes.value_by_key.items():
            decoded = self._decode(endpoint, value)
            if decoded.is_err():
                # Hosts send only entries that they could decode.
                return Err(f"entry {endpoint!r}: {decoded.unwrap_err()}")
        with self._lock:
            if changes.version < self.version or not (changes.is_full or self.is_loaded):
                return Ok(False)
            self._relayed += 1
            grace_until = float("-inf")
            if self._begins_era(changes):
                changes = self._keep_ends(changes)
                grace_until = time.monotonic() + EXPIRY_GRACE_S
            self._apply_changes(changes, grace_until)
        return Ok(True)

    def _poll(self) -> float:
        self._relayed_before = self._relayed
        return super()._poll()

    def _on_failure(self) -> None:
        newer = self._fetch_from_peers(self.version)
        if newer is None or newer.version <= self.version:
            return
        known = self._table.ids()
        # ``_after`` is unchanged: the feed resumes from its own last version, so that no removal is
        # missed.
        if self.apply_from_peer(self._without_removed(newer)).is_ok():
            with self._lock:
                self._unconfirmed_ids |= (self._table.ids() - known) & set(newer.value_by_key)
            self._log.record("feed", outcome="from a peer", feed="endpoints", version=newer.version)

    def _without_removed(self, changes: TableChanges) -> TableChanges:
        """Return another host's entries without those that the store has removed.

        The other host may keep them in its grace period, and this host's feed would not remove them
        a second time.
        """

        def is_removed(endpoint: str, value: bytes) -> bool:
            boot_id = self._removed_boot_by_id.get(endpoint)
            decoded = self._decode(endpoint, value)
            return boot_id is not None and decoded.is_ok() and decoded.unwrap().boot_id == boot_id

        kept = {
            endpoint: value
            for endpoint, value in changes.value_by_key.items()
            if not is_removed(endpoint, value)
        }
        return attrs.evolve(changes, value_by_key=kept)

    def _apply(self, changes: TableChanges) -> None:
        with self._lock:
            if changes.version < self.version and self._relayed != self._relayed_before:
                # The entries of another host, which arrived during the call, are newer.
                return
            if self._begins_era(changes):
                changes = self._keep_ends(changes)
                self._recovered_at = time.monotonic()
            self._drop_unconfirmed(changes)
            self._record_removals(changes)
            self._apply_changes(changes, self._recovered_at + EXPIRY_GRACE_S)

    def _begins_era(self, changes: TableChanges) -> bool:
        """Return whether these are the first changes of a new era of the store."""
        return self.is_loaded and find_era(changes.version) > find_era(self.version)

    def _keep_ends(self, changes: TableChanges) -> TableChanges:
        """Return the entries of an older copy without what ended since then.

        The copy may have an endpoint as it was before it left or was removed. It has the same boot
        id until it writes its entry again.
        """
        kept = self._without_removed(changes).value_by_key
        for endpoint in changes.value_by_key.keys() - kept.keys():
            self._log.record("endpoint", outcome="not taken back", endpoint=endpoint)
        for endpoint, view in self._table.views().items():
            decoded = self._decode(endpoint, kept.get(endpoint, b""))
            is_same_boot = decoded.is_ok() and decoded.unwrap().boot_id == view.boot_id
            if view.leaving and is_same_boot:
                kept[endpoint] = self._value_by_id[endpoint]
        return attrs.evolve(changes, value_by_key=kept)

    def _drop_unconfirmed(self, changes: TableChanges) -> None:
        """Remove endpoints that another host had, but not the store's changes since then."""
        if not changes.is_full:
            for endpoint in self._unconfirmed_ids - set(changes.value_by_key) - changes.removed:
                self._table.remove(endpoint, None)
                self._log.record("endpoint", outcome="unconfirmed", endpoint=endpoint)
        self._unconfirmed_ids.clear()

    def _record_removals(self, changes: TableChanges) -> None:
        for endpoint in changes.value_by_key:
            self._removed_boot_by_id.pop(endpoint, None)
        if time.monotonic() < self._recovered_at + EXPIRY_GRACE_S:
            return
        view_by_id = self._table.views()
        for endpoint in changes.removed & set(view_by_id):
            self._removed_boot_by_id[endpoint] = view_by_id[endpoint].boot_id
        while len(self._removed_boot_by_id) > MAX_REMOVED:
            self._removed_boot_by_id.popitem(last=False)

    def _apply_changes(self, changes: TableChanges, grace_until: float) -> None:
        """Apply changes.

        :param grace_until: time until which removed entries are kept, because they may only have
            expired.
        """
        now = time.monotonic()
        removed = set(changes.removed)
        if changes.is_full:
            known = self._table.ids() | set(self._invalid_value_by_id)
            removed |= known - set(changes.value_by_key)
        for endpoint in removed:
            self._table.remove(endpoint, grace_until if grace_until > now else None)
            self._invalid_value_by_id.pop(endpoint, None)
            self._log.record("endpoint", outcome="removed", endpoint=endpoint)
        previous_views = self._table.views()
        for endpoint, value in changes.value_by_key.items():
            self._apply_entry(endpoint, value, previous_views.get(endpoint))
        for endpoint in self._table.expire(now):
            self._log.record("endpoint", outcome="gone", endpoint=endpoint)
        views = self._table.views()
        self._value_by_id = {e: v for e, v in self._value_by_id.items() if e in views}
        has_changed = self._entry_log.update(changes.version, views, self._value_by_id)
        self._is_loaded = True
        self._on_endpoints(views)
        if has_changed:
            self._on_change()

    def _apply_entry(self, endpoint: str, value: bytes, previous_view: EndpointView | None) -> None:
        decoded = self._decode(endpoint, value)
        if decoded.is_err():
            # Such an entry names no endpoint to use, even if an earlier one did.
            self._table.remove(endpoint, None)
            if self._invalid_value_by_id.get(endpoint) != value:
                reason = decoded.unwrap_err()
                self._log.record("endpoint", outcome=f"unusable: {reason}", endpoint=endpoint)
                self._invalid_value_by_id[endpoint] = value
            return
        self._invalid_value_by_id.pop(endpoint, None)
        view = decoded.unwrap()
        # If a heartbeat changes nothing, the previous object is kept, because consumers compare
        # views by identity.
        view = previous_view if view == previous_view else view
        self._table.put(view)
        self._value_by_id[endpoint] = value
        logged_state = (view.leaving, view.boot_id, view.address)
        if previous_view is None or logged_state != (
            previous_view.leaving,
            previous_view.boot_id,
            previous_view.address,
        ):
            outcome = "leaving" if view.leaving else "ready"
            self._log.record("endpoint", outcome=outcome, endpoint=endpoint, address=view.address)
