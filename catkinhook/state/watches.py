"""Services that follow the configuration and the endpoints in the store."""

import threading
import time
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from catkinhook.errors import StoreError
from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.requests.routes import RouteTable
from catkinhook.state.endpointtable import LAPSE_GRACE_S, EndpointTable
from catkinhook.state.feeds import ChangeFeed, TableChanges
from catkinhook.state.views import EndpointView

# Longest time that a call to a feed is held. A connection that went silent is noticed after it.
HOLD_S = 2.0
# Heartbeats of endpoints change the table all the time, so it is read only so often: each of these
# parts of the time within which a leaving endpoint must get no new requests.
ENDPOINT_PAUSE_SHARE = 0.3
# Seconds between calls while the store does not answer.
RETRY_S = 0.3
# Peers that take longer than this to answer are logged.
SLOW_PEERS_S = 0.5
# The store counts as away when no call succeeded for this long.
OUTAGE_S = 1.5


@attrs.frozen(kw_only=True)
class EndpointEntrySet:
    """Entries of endpoints as they lie in the store.

    :ivar version: version of their table up to which they are known.
    """

    version: int
    value_by_id: dict[str, bytes]


class _FeedLoop:
    """Thread that follows one feed and tells of its loss and return."""

    def __init__(self, name: str, feed: ChangeFeed, pause_s: float, log: DecisionLog) -> None:
        self._name = name
        self._feed = feed
        self._pause_s = pause_s
        self._log = log
        self._after: int | None = None
        self._stop = threading.Event()
        self._is_lost = False
        self._heard_at = time.monotonic()
        self._returned_at = float("-inf")
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread, without waiting for a call that is held."""
        self._stop.set()

    def age(self) -> float:
        """Return the seconds since the store was last heard."""
        return time.monotonic() - self._heard_at

    def _run(self) -> None:
        while not self._stop.is_set():
            followed = self._feed.read_changes(self._after, HOLD_S)
            if followed.is_err():
                self._note_lost(followed.unwrap_err())
                self._stop.wait(RETRY_S)
                continue
            self._note_heard()
            changes = followed.unwrap()
            try:
                self._take(changes)
            except Exception as error:
                # Rows of other writers must not end the watch.
                self._log.record("feed", outcome=f"failed: {error!r}", feed=self._name)
            self._after = changes.version
            self._stop.wait(self._pause_s)

    def _note_lost(self, error: StoreError) -> None:
        if not self._is_lost:
            self._log.record("dependency", outcome="lost", name=self._name, reason=str(error))
        self._is_lost = True
        self._on_lost()

    def _note_heard(self) -> None:
        now = time.monotonic()
        if self._is_lost or now - self._heard_at > OUTAGE_S + HOLD_S:
            self._returned_at = now
            away = round(now - self._heard_at, 3)
            self._log.record("dependency", outcome="regained", name=self._name, away_s=away)
        self._is_lost = False
        self._heard_at = now

    def _on_lost(self) -> None:
        """Act on a call that failed."""

    def _take(self, changes: TableChanges) -> None:
        raise AssertionError("the loop has no consumer")


class ConfigurationWatch(_FeedLoop):
    """Follows the configuration and never goes back to a lower version.

    :param key: key of its row.
    :param decode: decoder of the row, which returns a reason for what can't be used.
    :param on_table: called with each newer configuration.
    :param ask_peers: returns a configuration of another host that is newer than a version, None
        when there is none; the second parameter is the address of a host to ask first.
    """

    def __init__(
        self,
        feed: ChangeFeed,
        key: str,
        decode: Callable[[bytes], Result[RouteTable, str]],
        on_table: Callable[[RouteTable], None],
        ask_peers: Callable[[int, str], bytes | None],
        log: DecisionLog,
    ) -> None:
        super().__init__("configuration", feed, 0.0, log)
        self._key = key
        self._decode = decode
        self._on_table = on_table
        self._ask_peers = ask_peers
        self._lock = threading.Lock()
        self.table: RouteTable | None = None
        self.text = b""

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return self.table.version if self.table else 0

    def apply_if_newer(self, text: bytes, source: str) -> Result[bool, str]:
        """Take over a configuration if it is newer.

        :param source: where it comes from, for the log.
        :returns: whether it was newer, or why it can't be used.
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

    def fetch_newer(self, first: str = "") -> None:
        """Ask other hosts for a newer configuration.

        :param first: address of a host that is known to have one, empty for none.
        """
        began = time.monotonic()
        text = self._ask_peers(self.version, first)
        took_s = time.monotonic() - began
        if took_s > SLOW_PEERS_S:
            self._log.record(
                "feed",
                outcome="peers were slow",
                feed="configuration",
                took_s=round(took_s, 3),
                found=bool(text),
            )
        if text:
            self.apply_if_newer(text, "peer")

    def _on_lost(self) -> None:
        self.fetch_newer()

    def _take(self, changes: TableChanges) -> None:
        text = changes.value_by_key.get(self._key)
        if text is not None:
            self.apply_if_newer(text, "store")


class EndpointWatch(_FeedLoop):
    """Follows the entries of endpoints.

    :param decode: decoder of an entry, which returns a reason for what can't be used.
    :param on_endpoints: called with all endpoints by id after each change.
    :param ask_peers: returns newer entries of another host, None when there are none. A host that
        the store does not answer learns in this way which endpoints leave or are new.
    :param drain_s: seconds after which a leaving endpoint gets no new request.
    """

    def __init__(
        self,
        feed: ChangeFeed,
        decode: Callable[[str, bytes], Result[EndpointView, str]],
        on_endpoints: Callable[[dict[str, EndpointView]], None],
        ask_peers: Callable[[int], EndpointEntrySet | None],
        log: DecisionLog,
        drain_s: float,
    ) -> None:
        super().__init__("endpoints", feed, ENDPOINT_PAUSE_SHARE * drain_s, log)
        self._decode = decode
        self._on_endpoints = on_endpoints
        self._ask_peers = ask_peers
        self._book = EndpointTable()
        self._value_by_id: dict[str, bytes] = {}
        self._unusable: set[str] = set()
        self.entries = EndpointEntrySet(version=0, value_by_id={})
        self.is_known = False

    def _on_lost(self) -> None:
        newer = self._ask_peers(self.entries.version)
        if newer is None:
            return
        self._log.record("feed", outcome="from a peer", feed="endpoints", version=newer.version)
        # The feed goes on later from where it was, so that no removal is missed.
        values = newer.value_by_id
        self._take(
            TableChanges(version=newer.version, value_by_key=values, removed=(), is_full=True)
        )

    def _take(self, changes: TableChanges) -> None:
        now = time.monotonic()
        removed = set(changes.removed)
        if changes.is_full:
            removed |= self._book.known() - set(changes.value_by_key)
        grace_until = self._returned_at + LAPSE_GRACE_S
        for endpoint in removed:
            self._book.remove(endpoint, grace_until if grace_until > now else None)
            self._log.record("endpoint", outcome="removed", endpoint=endpoint)
        before = self._book.views()
        for endpoint, value in changes.value_by_key.items():
            self._put(endpoint, value, before.get(endpoint))
        for endpoint in self._book.expire(now):
            self._log.record("endpoint", outcome="gone", endpoint=endpoint)
        views = self._book.views()
        self._value_by_id = {e: v for e, v in self._value_by_id.items() if e in views}
        self.entries = EndpointEntrySet(
            version=max(self.entries.version, changes.version), value_by_id=self._value_by_id
        )
        self.is_known = True
        self._on_endpoints(views)

    def _put(self, endpoint: str, value: bytes, before: EndpointView | None) -> None:
        decoded = self._decode(endpoint, value)
        if decoded.is_err():
            if endpoint not in self._unusable:
                reason = decoded.unwrap_err()
                self._log.record("endpoint", outcome=f"unusable: {reason}", endpoint=endpoint)
                self._unusable.add(endpoint)
            return
        view = decoded.unwrap()
        # A heartbeat that says nothing new leaves the same object, which others know by identity.
        view = before if view == before else view
        self._book.put(view)
        self._value_by_id[endpoint] = value
        key = (view.leaving, view.boot_id, view.address)
        if before is None or key != (before.leaving, before.boot_id, before.address):
            outcome = "leaving" if view.leaving else "ready"
            self._log.record("endpoint", outcome=outcome, endpoint=endpoint, address=view.address)
