"""Configuration in the store: committing changes, and watching for those of others (G8)."""

import difflib
import logging
import threading
from collections.abc import Callable
from typing import Any

import attrs
from result import Err, Ok, Result

from catkinhook.clocks import Clock, monotonic
from catkinhook.errors import Effect, StepError, StoreConflict, StoreError
from catkinhook.faults import Fault
from catkinhook.state.changes import Change, ChangeBatch, Configuration, apply_batch
from catkinhook.state.documents import Catalog, Document, check_model_owners, parse_document
from catkinhook.state.tables import (
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

DOCUMENTS = "documents"
CHANGES = "changes"
HEADS = "heads"
HEAD_KEY = "configuration"

COMMIT_ATTEMPTS = 8
HISTORY_LIMIT = 100
# Bodies of changes are up to 1 MiB each, so pages are smaller than those of other tables.
CHANGES_PAGE = 100
_KEY_DIGITS = 12

_log = logging.getLogger(__name__)


@attrs.define(auto_exc=True)
class DocumentConflict(StepError):
    """Another operator changed the document first.

    :ivar current: document now in force.
    :ivar diff: unified diff from the current text to the refused one.
    """

    current: Change
    diff: str


@attrs.define(auto_exc=True)
class DocumentFaults(StepError):
    """A document was refused for its content."""

    faults: list[Fault]


CommitError = DocumentConflict | DocumentFaults | StoreError


@attrs.frozen
class _Intent:
    service: str
    body: str
    expected: int
    author: str
    document: Document | None


def render_diff(current: str, refused: str) -> str:
    """Return a unified diff between two documents."""
    lines = difflib.unified_diff(
        current.splitlines(), refused.splitlines(), "current", "refused", lineterm=""
    )
    return "\n".join(lines)


class ConfigurationStore:
    """Commits changes as one transaction of document, change-log entry and head.

    :param table: table service that holds the configuration.
    """

    def __init__(self, table: Table) -> None:
        self._table = table
        # Copy of the configuration that saves reading all documents for each check.
        self._seen = Configuration()
        self._seen_lock = threading.Lock()

    def read_number(self) -> Result[int, StoreError]:
        """Return the number of the newest accepted change, 0 when there is none."""
        return self._read_head().map(lambda row: row.value["number"] if row else 0)

    def read(self, service: str) -> Result[Change | None, StoreError]:
        """Return the newest change of a service, also a withdrawal."""
        found = self._table.read(DOCUMENTS, service)
        return found.map(lambda row: _read_change(row) if row else None)

    def commit(
        self, service: str, text: str, expected: int, author: str
    ) -> Result[Change, CommitError]:
        """Check a document and put it into force.

        :param expected: version that the operator edited, 0 for a service that has none.
        :returns: the accepted change; a ``StoreError`` with effect ``UNKNOWN`` means that only
            the history can tell whether it was accepted.
        """
        parsed = parse_document(text, service)
        if parsed.is_err():
            return Err(_refuse(service, parsed.unwrap_err()))
        document = parsed.unwrap()
        if document.service != service:
            reason = f"the document is of service {document.service!r}, not {service!r}"
            return Err(_refuse(service, [Fault(service, 0, "service", reason)]))
        return self._submit(_Intent(service, text, expected, author, document))

    def withdraw(self, service: str, expected: int, author: str) -> Result[Change, CommitError]:
        """Take a service out of force; its history stays."""
        return self._submit(_Intent(service, "", expected, author, None))

    def history(
        self, service: str = "", limit: int = HISTORY_LIMIT
    ) -> Result[list[Change], StoreError]:
        """Return accepted changes, newest first, of one service or of all."""
        head = self.read_number()
        if head.is_err():
            return Err(head.unwrap_err())
        found: list[Change] = []
        end = head.unwrap()
        while end > 0 and len(found) < limit:
            start = max(0, end - CHANGES_PAGE)
            page = self._table.scan(CHANGES, after=_change_key(start), limit=end - start)
            if page.is_err():
                return Err(page.unwrap_err())
            changes = [_read_change(row) for row in reversed(page.unwrap())]
            found += [c for c in changes if c.number <= end and service in ("", c.service)]
            end = start
        return Ok(found[:limit])

    def read_all(self) -> Result[ChangeBatch, StoreError]:
        """Return all documents in force, for an instance that has none."""
        # The number is read before the documents. Documents may then be newer than the number,
        # so the log after it is read last, which includes every change that the scan saw.
        head = self.read_number()
        rows = head.and_then(lambda _: scan_all(self._table, DOCUMENTS))
        newer = rows.and_then(lambda _: self.read_changes_after(head.unwrap()))
        if newer.is_err():
            return Err(newer.unwrap_err())
        newest = {row.key: _read_change(row) for row in rows.unwrap()}
        for change in newer.unwrap().changes:
            newest[change.service] = change
        return Ok(ChangeBatch(newer.unwrap().number, tuple(newest.values())))

    def read_changes_after(self, after: int) -> Result[ChangeBatch, StoreError]:
        """Return the newest change of each service after a number, from the change log."""
        newest: dict[str, Change] = {}
        number = after
        while True:
            page = self._table.scan(CHANGES, after=_change_key(number), limit=CHANGES_PAGE)
            if page.is_err():
                return Err(page.unwrap_err())
            for row in page.unwrap():
                change = _read_change(row)
                if change.number != number + 1:
                    reason = f"change {number + 1} is missing in the log"
                    return Err(StoreError("configuration", CHANGES, reason))
                number = change.number
                newest[change.service] = change
            if len(page.unwrap()) < CHANGES_PAGE:
                return Ok(ChangeBatch(number, tuple(newest.values())))

    def _submit(self, intent: _Intent) -> Result[Change, CommitError]:
        nonce = make_nonce()
        result: Result[Change, Any] = Err(StoreError("configuration", HEADS, "was not read"))
        for _ in range(COMMIT_ATTEMPTS):
            result = self._attempt(intent, nonce)
            if result.is_ok() or not isinstance(result.err(), StoreConflict):
                return result
        reason = f"other operators' changes came first {COMMIT_ATTEMPTS} times; try again"
        return Err(StoreError("configuration", HEADS, reason))

    def _attempt(self, intent: _Intent, nonce: str) -> Result[Change, Any]:
        # The head is read before the documents and checked in the transaction, so nothing that
        # was read here can have changed when the transaction takes effect.
        head = self._read_head()
        found = head.and_then(lambda _: self._table.read(DOCUMENTS, intent.service))
        if found.is_err():
            return Err(found.unwrap_err())
        row = found.unwrap()
        refusal = _find_conflict(row, intent) or self._find_faults(
            intent, in_force=row is not None and bool(row.value["body"])
        )
        if refusal is not None:
            return Err(refusal)
        head_row = head.unwrap()
        number = (head_row.value["number"] if head_row else 0) + 1
        version = row.version if row else ABSENT
        change = Change(
            number=number,
            service=intent.service,
            version=version + 1,
            body=intent.body,
            author=intent.author,
            nonce=nonce,
        )
        checks = [
            Check(CHANGES, _change_key(number), ABSENT),
            Check(HEADS, HEAD_KEY, head_row.version if head_row else ABSENT),
            Check(DOCUMENTS, intent.service, version),
        ]
        return self._write(change, checks).map(lambda _: change)

    def _write(self, change: Change, checks: list[Check]) -> Result[Any, Any]:
        # The change-log entry comes first since it is never overwritten: its nonce still tells
        # who wrote it when other changes have followed.
        value = attrs.asdict(change)
        writes = [
            Write(CHANGES, _change_key(change.number), value),
            Write(HEADS, HEAD_KEY, {NONCE_KEY: change.nonce, "number": change.number}),
            Write(DOCUMENTS, change.service, value),
        ]
        result = commit_confirmed(self._table, checks, writes)
        for _ in range(COMMIT_ATTEMPTS):
            if not _is_unknown(result):
                return result
            # The checks let the same transaction take effect only once, so that sending it
            # again is safe and settles whether the lost one can still take effect.
            result = commit_confirmed(self._table, checks, writes)
            if result.is_err() and isinstance(result.err(), StoreConflict):
                result = self._read_back(change, result)
            elif result.is_err() and result.unwrap_err().effect is Effect.NONE:
                result = Err(attrs.evolve(result.unwrap_err(), effect=Effect.UNKNOWN))
        return result

    def _read_back(self, change: Change, conflict: Result[Any, Any]) -> Result[Any, Any]:
        found = self._table.read(CHANGES, _change_key(change.number))
        if found.is_err():
            return Err(attrs.evolve(found.unwrap_err(), effect=Effect.UNKNOWN))
        row = found.unwrap()
        mine = row is not None and row.value[NONCE_KEY] == change.nonce
        return Ok({}) if mine else conflict

    def _find_faults(self, intent: _Intent, in_force: bool) -> DocumentFaults | StoreError | None:
        if intent.document is None:
            return None if in_force else _refuse(intent.service, [_nothing_in_force(intent)])
        with self._seen_lock:
            seen = self._seen
            newer = self.read_changes_after(seen.number) if seen.loaded else self.read_all()
            if newer.is_err():
                return newer.unwrap_err()
            seen = self._seen = apply_batch(seen, newer.unwrap(), seen.number)
        faults = check_model_owners(intent.document, seen.catalog, intent.service)
        return _refuse(intent.service, faults) if faults else None

    def _read_head(self) -> Result[Row | None, StoreError]:
        return self._table.read(HEADS, HEAD_KEY)


def _change_key(number: int) -> str:
    return f"{number:0{_KEY_DIGITS}d}"


def _read_change(row: Row) -> Change:
    value = row.value
    return Change(
        number=value["number"],
        service=value["service"],
        version=value["version"],
        body=value["body"],
        author=value["author"],
        nonce=value[NONCE_KEY],
    )


def _is_unknown(result: Result[Any, Any]) -> bool:
    error = result.err()
    return isinstance(error, StoreError) and error.effect is Effect.UNKNOWN


def _refuse(service: str, faults: list[Fault]) -> DocumentFaults:
    reason = f"the document has {len(faults)} fault(s)"
    return DocumentFaults("configuration", service, reason, faults)


def _nothing_in_force(intent: _Intent) -> Fault:
    return Fault(intent.service, 0, "", "no document of this service is in force")


def _find_conflict(row: Row | None, intent: _Intent) -> DocumentConflict | None:
    if row is None:
        current = Change(number=0, service=intent.service, version=ABSENT, body="")
    else:
        current = _read_change(row)
    withdrawn = intent.expected == ABSENT and not current.body
    if current.version == intent.expected or withdrawn:
        return None
    reason = f"version {current.version} by {current.author!r} is in force, not {intent.expected}"
    diff = render_diff(current.body, intent.body)
    return DocumentConflict("configuration", intent.service, reason, current, diff)


FetchFromPeer = Callable[[int], Result[ChangeBatch, StepError]]
OnCatalog = Callable[[Catalog], None]


class ConfigurationPoller:
    """Thread that keeps the newest accepted configuration.

    :param fetch_from_peer: asks some peer for all changes after a number.
    :param head_interval: seconds between reads of the configuration number.
    :param staleness_limit: seconds without store or peers after which it isn't ``current``.
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
        # Only ``poll`` replaces the state, under the lock; readers take the reference.
        self._state = Configuration()
        self._confirmed_at: float | None = None
        self._heard = 0
        self._callbacks: list[OnCatalog] = []
        self._lock = threading.Lock()
        self._awake = threading.Event()
        self._closing = False
        self._thread: threading.Thread | None = None

    @property
    def state(self) -> Configuration:
        """Return the configuration in force."""
        return self._state

    @property
    def current(self) -> bool:
        """Whether the configuration was compared with store or peers recently enough."""
        confirmed_at = self._confirmed_at
        if not self._state.loaded or confirmed_at is None:
            return False
        return self._clock() - confirmed_at <= self._staleness_limit

    def subscribe(self, callback: OnCatalog) -> None:
        """Call back with each new catalog, at once if there is one; calls come one at a time."""
        with self._lock:
            self._callbacks.append(callback)
            if self._state.loaded:
                callback(self._state.catalog)

    def start(self) -> None:
        """Begin to poll."""
        self._thread = threading.Thread(target=self._run, name="configuration", daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop polling and wait for the thread."""
        self._closing = True
        self._awake.set()
        if self._thread:
            self._thread.join()

    def note_peer_number(self, number: int) -> None:
        """Note that a peer has this number, and confirm the own one; polls at once if newer."""
        if self._state.loaded and number <= self._state.number:
            self._confirmed_at = self._clock()
            return
        if number > self._heard or not self._state.loaded:
            self._heard = max(number, self._heard)
            self._awake.set()

    def request_poll(self) -> None:
        """Poll now, after a change was committed here."""
        self._awake.set()

    def poll(self) -> None:
        """Compare with the store, or with a peer when the store can't be read; for one thread."""
        batch, after = self._find_batch()
        if batch is None:
            return
        # A peer that lags behind is contact too: whatever the store accepts reaches one of both.
        self._confirmed_at = self._clock()
        with self._lock:
            self._apply(batch, after)

    def _find_batch(self) -> tuple[ChangeBatch | None, int]:
        state = self._state
        if state.loaded and self._heard > state.number:
            answer = self._fetch_from_peer(state.number)
            if answer.is_ok() and answer.unwrap().number > state.number:
                return answer.unwrap(), state.number
        answer = self._read_store(state)
        if answer.is_err():
            answer = self._fetch_from_peer(state.number)
        return answer.ok(), state.number

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
            _log.error("document can't be read", extra={"service": service, "faults": reasons})
        for callback in self._callbacks:
            callback(state.catalog)

    def _run(self) -> None:
        while not self._closing:
            try:
                self.poll()
            except Exception:
                _log.exception("configuration poll failed")
            self._awake.wait(self._head_interval)
            self._awake.clear()
