"""Configuration in the store: commits changes and polls for them (guarantee G8)."""

import difflib
import logging
import threading
from collections.abc import Callable
from typing import Any

import attrs
from result import Err, Ok, Result

from catkinhook.clocks import Clock, monotonic
from catkinhook.errors import Effect, StepError, StoreConflict, StoreError
from catkinhook.state.configurationchanges import Change, ChangeBatch, Configuration, apply_batch
from catkinhook.state.documents import Catalog, Document, check_model_owners, parse_document
from catkinhook.state.tableservice import (
    ABSENT,
    NONCE_KEY,
    Check,
    Row,
    Table,
    Write,
    commit_confirmed,
    make_nonce,
    scan_all,
)
from catkinhook.validationerrors import Fault

DOCUMENTS = "documents"
CHANGES = "changes"
HEADS = "heads"
HEAD_KEY = "configuration"

COMMIT_ATTEMPTS = 8
HISTORY_LIMIT = 100
# The body of a change can take 1 MiB, so pages have fewer rows than those of other tables.
CHANGES_PAGE_SIZE = 100
_CHANGE_KEY_DIGITS = 12

_log = logging.getLogger(__name__)


@attrs.define(auto_exc=True)
class DocumentConflict(StepError):
    """The document has another version than the one that the operator edited.

    :ivar current: newest accepted change of the document.
    :ivar diff: unified diff from the current text to the rejected one.
    """

    current: Change
    diff: str


@attrs.define(auto_exc=True)
class DocumentFaults(StepError):
    """The content of a document is invalid."""

    faults: list[Fault]


CommitError = DocumentConflict | DocumentFaults | StoreError


@attrs.frozen
class _ProposedChange:
    service: str
    body: str
    expected: int
    author: str
    document: Document | None


def render_diff(current: str, refused: str) -> str:
    """Return a unified diff from the current document to the rejected one."""
    lines = difflib.unified_diff(
        current.splitlines(), refused.splitlines(), "current", "refused", lineterm=""
    )
    return "\n".join(lines)


class ConfigurationStore:
    """Commits each change as one transaction of document, change-log entry and head row.

    :param table: table service that stores the configuration.
    """

    def __init__(self, table: Table) -> None:
        self._table = table
        # Cached configuration, so that ownership checks need not read all documents each time.
        self._cached = Configuration()
        self._cache_lock = threading.Lock()

    def read_number(self) -> Result[int, StoreError]:
        """Return the number of the newest accepted change, or 0 when there is none."""
        return self._read_head().map(lambda row: row.value["number"] if row else 0)

    def read(self, service: str) -> Result[Change | None, StoreError]:
        """Return the newest change of a service, which may be a withdrawal, or None."""
        result = self._table.read(DOCUMENTS, service)
        return result.map(lambda row: _decode_change(row) if row else None)

    def commit(
        self, service: str, text: str, expected: int, author: str
    ) -> Result[Change, CommitError]:
        """Validate a document and commit it as the service's new version.

        :param expected: version that the operator edited, or 0 for a service without a document.
        :returns: the accepted change. After a ``StoreError`` with effect ``UNKNOWN``, only the
            history tells whether the change was accepted.
        """
        parsed = parse_document(text, service)
        if parsed.is_err():
            return Err(_make_document_faults(service, parsed.unwrap_err()))
        document = parsed.unwrap()
        if document.service != service:
            reason = f"the document is of service {document.service!r}, not {service!r}"
            return Err(_make_document_faults(service, [Fault(service, 0, "service", reason)]))
        return self._commit_with_retries(_ProposedChange(service, text, expected, author, document))

    def withdraw(self, service: str, expected: int, author: str) -> Result[Change, CommitError]:
        """Withdraw a service's document; its history is kept."""
        return self._commit_with_retries(_ProposedChange(service, "", expected, author, None))

    def read_history(
        self, service: str = "", limit: int = HISTORY_LIMIT
    ) -> Result[list[Change], StoreError]:
        """Return accepted changes of one service or of all, newest first."""
        head = self.read_number()
        if head.is_err():
            return Err(head.unwrap_err())
        history: list[Change] = []
        end = head.unwrap()
        while end > 0 and len(history) < limit:
            start = max(0, end - CHANGES_PAGE_SIZE)
            page = self._table.scan(CHANGES, after=_make_change_key(start), limit=end - start)
            if page.is_err():
                return Err(page.unwrap_err())
            changes = [_decode_change(row) for row in reversed(page.unwrap())]
            history += [c for c in changes if c.number <= end and service in ("", c.service)]
            end = start
        return Ok(history[:limit])

    def read_all(self) -> Result[ChangeBatch, StoreError]:
        """Return the newest change of every service, for an instance without a configuration."""
        # The number is read first, so scanned documents may be newer than it. The change log after
        # that number is read last and therefore includes every change that the scan returned.
        head = self.read_number()
        rows = head.and_then(lambda _: scan_all(self._table, DOCUMENTS))
        newer = rows.and_then(lambda _: self.read_changes_after(head.unwrap()))
        if newer.is_err():
            return Err(newer.unwrap_err())
        newest = {row.key: _decode_change(row) for row in rows.unwrap()}
        for change in newer.unwrap().changes:
            newest[change.service] = change
        return Ok(ChangeBatch(newer.unwrap().number, tuple(newest.values())))

    def read_changes_after(self, after: int) -> Result[ChangeBatch, StoreError]:
        """Return the newest change of each service after a number, read from the change log."""
        newest: dict[str, Change] = {}
        number = after
        while True:
            page = self._table.scan(
                CHANGES, after=_make_change_key(number), limit=CHANGES_PAGE_SIZE
            )
            if page.is_err():
                return Err(page.unwrap_err())
            for row in page.unwrap():
                change = _decode_change(row)
                if change.number != number + 1:
                    reason = f"change {number + 1} is missing in the log"
                    return Err(StoreError("configuration", CHANGES, reason))
                number = change.number
                newest[change.service] = change
            if len(page.unwrap()) < CHANGES_PAGE_SIZE:
                return Ok(ChangeBatch(number, tuple(newest.values())))

    def _commit_with_retries(self, proposed: _ProposedChange) -> Result[Change, CommitError]:
        nonce = make_nonce()
        result: Result[Change, Any] = Err(StoreError("configuration", HEADS, "was not read"))
        for _ in range(COMMIT_ATTEMPTS):
            result = self._try_commit(proposed, nonce)
            if result.is_ok() or not isinstance(result.err(), StoreConflict):
                return result
        reason = f"other operators' changes came first {COMMIT_ATTEMPTS} times; try again"
        return Err(StoreError("configuration", HEADS, reason))

    def _try_commit(self, proposed: _ProposedChange, nonce: str) -> Result[Change, Any]:
        # The head is read before the documents and checked in the transaction, so no data read
        # here can have changed when the transaction takes effect.
        head = self._read_head()
        result = head.and_then(lambda _: self._table.read(DOCUMENTS, proposed.service))
        if result.is_err():
            return Err(result.unwrap_err())
        row = result.unwrap()
        refusal = _find_conflict(row, proposed) or self._find_faults(
            proposed, in_force=row is not None and bool(row.value["body"])
        )
        if refusal is not None:
            return Err(refusal)
        head_row = head.unwrap()
        number = (head_row.value["number"] if head_row else 0) + 1
        version = row.version if row else ABSENT
        change = Change(
            number=number,
            service=proposed.service,
            version=version + 1,
            body=proposed.body,
            author=proposed.author,
            nonce=nonce,
        )
        checks = [
            Check(CHANGES, _make_change_key(number), ABSENT),
            Check(HEADS, HEAD_KEY, head_row.version if head_row else ABSENT),
            Check(DOCUMENTS, proposed.service, version),
        ]
        return self._write(change, checks).map(lambda _: change)

    def _write(self, change: Change, checks: list[Check]) -> Result[Any, Any]:
        # The change-log entry comes first, because ``commit_confirmed`` reads back the first write
        # and this row is never overwritten: its nonce identifies the writer even after later
        # changes.
        value = attrs.asdict(change)
        writes = [
            Write(CHANGES, _make_change_key(change.number), value),
            Write(HEADS, HEAD_KEY, {NONCE_KEY: change.nonce, "number": change.number}),
            Write(DOCUMENTS, change.service, value),
        ]
        result = commit_confirmed(self._table, checks, writes)
        for _ in range(COMMIT_ATTEMPTS):
            if not _has_unknown_effect(result):
                return result
            # The version checks let the transaction take effect at most once. Sending it again is
            # therefore safe, and determines whether the lost one can still take effect.
            result = commit_confirmed(self._table, checks, writes)
            if result.is_err() and isinstance(result.err(), StoreConflict):
                result = self._read_back(change, result)
            elif result.is_err() and result.unwrap_err().effect is Effect.NONE:
                result = Err(attrs.evolve(result.unwrap_err(), effect=Effect.UNKNOWN))
        return result

    def _read_back(self, change: Change, conflict: Result[Any, Any]) -> Result[Any, Any]:
        result = self._table.read(CHANGES, _make_change_key(change.number))
        if result.is_err():
            return Err(attrs.evolve(result.unwrap_err(), effect=Effect.UNKNOWN))
        row = result.unwrap()
        is_own_change = row is not None and row.value[NONCE_KEY] == change.nonce
        return Ok({}) if is_own_change else conflict

    def _find_faults(
        self, proposed: _ProposedChange, in_force: bool
    ) -> DocumentFaults | StoreError | None:
        if proposed.document is None:
            return (
                None
                if in_force
                else _make_document_faults(proposed.service, [_make_withdrawal_fault(proposed)])
            )
        with self._cache_lock:
            cached = self._cached
            newer = self.read_changes_after(cached.number) if cached.loaded else self.read_all()
            if newer.is_err():
                return newer.unwrap_err()
            cached = self._cached = apply_batch(cached, newer.unwrap(), cached.number)
        faults = check_model_owners(proposed.document, cached.catalog, proposed.service)
        return _make_document_faults(proposed.service, faults) if faults else None

    def _read_head(self) -> Result[Row | None, StoreError]:
        return self._table.read(HEADS, HEAD_KEY)


def _make_change_key(number: int) -> str:
    return f"{number:0{_CHANGE_KEY_DIGITS}d}"


def _decode_change(row: Row) -> Change:
    value = row.value
    return Change(
        number=value["number"],
        service=value["service"],
        version=value["version"],
        body=value["body"],
        author=value["author"],
        nonce=value[NONCE_KEY],
    )


def _has_unknown_effect(result: Result[Any, Any]) -> bool:
    error = result.err()
    return isinstance(error, StoreError) and error.effect is Effect.UNKNOWN


def _make_document_faults(service: str, faults: list[Fault]) -> DocumentFaults:
    reason = f"the document has {len(faults)} fault(s)"
    return DocumentFaults("configuration", service, reason, faults)


def _make_withdrawal_fault(proposed: _ProposedChange) -> Fault:
    return Fault(proposed.service, 0, "", "no document of this service is in force")


def _find_conflict(row: Row | None, proposed: _ProposedChange) -> DocumentConflict | None:
    if row is None:
        current = Change(number=0, service=proposed.service, version=ABSENT, body="")
    else:
        current = _decode_change(row)
    withdrawn = proposed.expected == ABSENT and not current.body
    if current.version == proposed.expected or withdrawn:
        return None
    reason = f"version {current.version} by {current.author!r} is in force, not {proposed.expected}"
    diff = render_diff(current.body, proposed.body)
    return DocumentConflict("configuration", proposed.service, reason, current, diff)


FetchFromPeer = Callable[[int], Result[ChangeBatch, StepError]]
OnCatalog = Callable[[Catalog], None]


class ConfigurationPoller:
    """Thread that polls for the newest accepted configuration.

    :param fetch_from_peer: requests all changes after a number from a peer.
    :param head_interval: seconds between reads of the configuration number.
    :param staleness_limit: seconds without contact to the store or a peer after which the
        configuration is no longer ``current``.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        fetch_from_peer: FetchFromPeer,
        head_interval: float,
        staleness_limit: float,
        clock: Clock = monotonic,
    ) -> None:
        self._store = store
        self._fetch_from_peer = fetch_from_peer
        self._head_interval = head_interval
        self._staleness_limit = staleness_limit
        self._clock = clock
        # Only ``poll`` replaces the state, under the lock; readers use the reference without it.
        self._state = Configuration()
        self._last_confirmed: float | None = None
        self._highest_peer_number = 0
        self._callbacks: list[OnCatalog] = []
        self._lock = threading.Lock()
        self._poll_requested = threading.Event()
        self._closing = False
        self._thread: threading.Thread | None = None

    @property
    def state(self) -> Configuration:
        """Return the configuration in force."""
        return self._state

    @property
    def current(self) -> bool:
        """Whether the configuration was compared with the store or a peer recently enough."""
        last_confirmed = self._last_confirmed
        if not self._state.loaded or last_confirmed is None:
            return False
        return self._clock() - last_confirmed <= self._staleness_limit

    def subscribe(self, callback: OnCatalog) -> None:
        """Register a callback for each new catalog; it is called now if there is one.

        Calls never overlap.
        """
        with self._lock:
            self._callbacks.append(callback)
            if self._state.loaded:
                callback(self._state.catalog)

    def start(self) -> None:
        """Start the polling thread."""
        self._thread = threading.Thread(target=self._run, name="configuration", daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop the thread and wait for it."""
        self._closing = True
        self._poll_requested.set()
        if self._thread:
            self._thread.join()

    def record_peer_number(self, number: int) -> None:
        """Record a peer's number.

        It confirms that this instance's configuration is current, or starts a poll if it is newer.
        """
        if self._state.loaded and number <= self._state.number:
            self._last_confirmed = self._clock()
            return
        if number > self._highest_peer_number or not self._state.loaded:
            self._highest_peer_number = max(number, self._highest_peer_number)
            self._poll_requested.set()

    def request_poll(self) -> None:
        """Poll immediately, after a change was committed by this process."""
        self._poll_requested.set()

    def poll(self) -> None:
        """Poll the store, or a peer when the store can't be read; must not run concurrently."""
        batch, after = self._fetch_batch()
        if batch is None:
            return
        # A reply from a peer that is behind counts as contact too: every change that the store
        # accepts reaches at least one of the two instances.
        self._last_confirmed = self._clock()
        with self._lock:
            self._apply(batch, after)

    def _fetch_batch(self) -> tuple[ChangeBatch | None, int]:
        state = self._state
        if state.loaded and self._highest_peer_number > state.number:
            reply = self._fetch_from_peer(state.number)
            if reply.is_ok() and reply.unwrap().number > state.number:
                return reply.unwrap(), state.number
        reply = self._read_store(state)
        if reply.is_err():
            reply = self._fetch_from_peer(state.number)
        return reply.ok(), state.number

    def _read_store(self, state: Configuration) -> Result[ChangeBatch, StoreError]:
        if not state.loaded:
            return self._store.read_all()
        head = self._store.read_number()
        if head.is_err() or head.unwrap() <= state.number:
            return head.map(ChangeBatch)
        return self._store.read_changes_after(state.number)

    def _apply(self, batch: ChangeBatch, after: int) -> None:
        state = apply_batch(self._state, batch, after)
        if state is self._state:
            return
        self._state = state
        _log.info("configuration in force", extra={"number": state.number})
        for service, faults in state.faults_by_service.items():
            reasons = [str(fault) for fault in faults]
            _log.error(
                "document can't be parsed; the last valid one, if any, stays in force",
                extra={"service": service, "faults": reasons},
            )
        for callback in self._callbacks:
            callback(state.catalog)

    def _run(self) -> None:
        while not self._closing:
            try:
                self.poll()
            except Exception:
                _log.exception("configuration poll failed")
            self._poll_requested.wait(self._head_interval)
            self._poll_requested.clear()
