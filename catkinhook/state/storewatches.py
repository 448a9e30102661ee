"""Watchers that follow the configuration and the endpoint entries in the store."""

import threading
import time
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from catkinhook.errors import StoreError
from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.requests.routetable import RouteTable
from catkinhook.state.endpointtable import EXPIRY_GRACE_S, EndpointTable
from catkinhook.state.storeinterfaces import ChangeFeed, TableChanges
from catkinhook.state.views import EndpointView

# Maximum duration of a long poll. A dead connection is detected after this time.
MAX_WAIT_S = 2.0
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


@attrs.frozen(kw_only=True)
class EndpointEntrySet:
    """Encoded endpoint entries as stored.

    :ivar version: version of the endpoint table that the entries include.
    """

    version: int
    value_by_id: dict[str, bytes]


class _FeedWatcher:
    """Thread that polls one change feed and logs when it is lost and regained."""

    def __init__(
        self, name: str, feed: ChangeFeed, poll_interval_s: float, log: DecisionLog
    ) -> None:
        self._name = name
        self._feed = feed
        self._poll_interval_s = poll_interval_s
        self._log = log
        self._after: int | None = None
        self._stop = threading.Event()
        self._is_unreachable = False
        self._last_contact = time.monotonic()
        self._recovered_at = float("-inf")
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread, without waiting for a long poll in progress."""
        self._stop.set()

    def seconds_since_contact(self) -> float:
        """Return the seconds since the last successful call to the store."""
        return time.monotonic() - self._last_contact

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                pause_s = self._poll()
            except Exception as error:
                # The decoders reject invalid rows, so this is a fault of the host's own code. It
                # must not end the thread, which alone follows the feed.
                self._log.record("feed", outcome=f"failed: {error!r}", feed=self._name)
                pause_s = RETRY_INTERVAL_S
            self._stop.wait(pause_s)

    def _poll(self) -> float:
        """Read and apply changes once; return the seconds until the next call."""
        result = self._feed.read_changes(self._after, MAX_WAIT_S)
        if result.is_err():
            self._record_failure(result.unwrap_err())
            return RETRY_INTERVAL_S
        self._record_contact()
        changes = result.unwrap()
        self._after = changes.version
        for row in changes.ignored:
            self._log.record("feed", outcome=f"row ignored: {row}", feed=self._name)
        self._apply(changes)
        return self._poll_interval_s

    def _record_failure(self, error: StoreError) -> None:
        if not self._is_unreachable:
            self._log.record("dependency", outcome="lost", name=self._name, reason=str(error))
        self._is_unreachable = True
        self._on_failure()

    def _record_contact(self) -> None:
        now = time.monotonic()
        if self._is_unreachable or now - self._last_contact > OUTAGE_THRESHOLD_S + MAX_WAIT_S:
            self._recovered_at = now
            away_s = round(now - self._last_contact, 3)
            self._log.record("dependency", outcome="regained", name=self._name, away_s=away_s)
        self._is_unreachable = False
        self._last_contact = now

    def _on_failure(self) -> None:
        """Handle a failed call; does nothing by default."""

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
    """

    def __init__(
        self,
        feed: ChangeFeed,
        key: str,
        decode: Callable[[bytes], Result[RouteTable, str]],
        on_table: Callable[[RouteTable], None],
        fetch_from_peers: Callable[[int, str], bytes | None],
        log: DecisionLog,
    ) -> None:
        super().__init__("configuration", feed, 0.0, log)
        self._key = key
        self._decode = decode
        self._on_table = on_table
        self._fetch_from_peers = fetch_from_peers
        self._lock = threading.Lock()
        self.table: RouteTable | None = None
        self.text = b""

    @property
    def version(self) -> int:
        """Version in force, or 0 before the first."""
        return self.table.version if self.table else 0

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
            previous = self.version
            self.table, self.text = table, text
            self._on_table(table)
        self._log.record(
            "configuration",
            outcome="in force",
            version=table.version,
            previous=previous,
            source=source,
            routes=len(table.routes),
        )
        return Ok(True)

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

    def _apply(self, changes: TableChanges) -> None:
        text = changes.value_by_key.get(self._key)
        if text is not None:
            self.apply_if_newer(text, "store")


class EndpointWatch(_FeedWatcher):
    """Watches the entries of endpoints.

    :param decode: decodes an entry, or returns the reason why it is invalid.
    :param on_endpoints: called with all endpoints by id after each change.
    :param fetch_from_peers: returns another host's entries if they are newer than a version, or
        None. They tell a host that can't reach the store which endpoints are leaving or new.
    :param drain_s: seconds after which a leaving endpoint must get no new request.
    """

    def __init__(
        self,
        feed: ChangeFeed,
        decode: Callable[[str, bytes], Result[EndpointView, str]],
        on_endpoints: Callable[[dict[str, EndpointView]], None],
        fetch_from_peers: Callable[[int], EndpointEntrySet | None],
        log: DecisionLog,
        drain_s: float,
    ) -> None:
        super().__init__("endpoints", feed, ENDPOINT_POLL_FRACTION * drain_s, log)
        self._decode = decode
        self._on_endpoints = on_endpoints
        self._fetch_from_peers = fetch_from_peers
        self._table = EndpointTable()
        self._value_by_id: dict[str, bytes] = {}
        self._invalid_value_by_id: dict[str, bytes] = {}
        self.entries = EndpointEntrySet(version=0, value_by_id={})
        self.is_loaded = False

    def _on_failure(self) -> None:
        newer = self._fetch_from_peers(self.entries.version)
        if newer is None:
            return
        self._log.record("feed", outcome="from a peer", feed="endpoints", version=newer.version)
        # ``_after`` is unchanged: the feed resumes from its own last version, so that no removal is
        # missed.
        values = newer.value_by_id
        self._apply(
            TableChanges(version=newer.version, value_by_key=values, removed=(), is_full=True)
        )

    def _apply(self, changes: TableChanges) -> None:
        now = time.monotonic()
        removed = set(changes.removed)
        if changes.is_full:
            known = self._table.ids() | set(self._invalid_value_by_id)
            removed |= known - set(changes.value_by_key)
        grace_until = self._recovered_at + EXPIRY_GRACE_S
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
        self.entries = EndpointEntrySet(
            version=max(self.entries.version, changes.version), value_by_id=self._value_by_id
        )
        self.is_loaded = True
        self._on_endpoints(views)

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
