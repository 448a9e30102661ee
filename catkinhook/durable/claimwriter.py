"""Group commit of independent row changes: one transaction carries many of them."""

import logging
import queue
import threading
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future

import attrs
import pykka
from result import Err, Ok, Result

from catkinhook.errors import Effect, StoreConflict, StoreError
from catkinhook.state.tableservice import NONCE_KEY, Check, Table, Write

MAX_GROUP = 128
# After a lost answer the same transaction is sent again; its nonces make it idempotent.
COMMIT_ATTEMPTS = 3
CLOSE_TIMEOUT_S = 10.0

_log = logging.getLogger(__name__)

CommitResult = Result[int, StoreConflict | StoreError]
# Commits one change and returns the new version of its row.
Commit = Callable[[Check, Write], CommitResult]


@attrs.frozen
class ConditionalWrite:
    """One row change with its version check; the value has a unique nonce under ``NONCE_KEY``."""

    check: Check
    write: Write

    @property
    def key(self) -> tuple[str, str]:
        """Return ``(table, key)``."""
        return self.write.table, self.write.key


def make_single_commit(table: Table) -> Commit:
    """Return a ``Commit`` that writes each change in its own transaction."""

    def commit(check: Check, write: Write) -> CommitResult:
        return commit_group(table, [ConditionalWrite(check, write)])[write.table, write.key]

    return commit


def commit_group(
    table: Table, changes: list[ConditionalWrite]
) -> dict[tuple[str, str], CommitResult]:
    """Commit independent changes in one transaction.

    Changes whose check fails are removed, and the remaining ones are submitted again.

    :param changes: at most one for each row, because a transaction with two would apply both.
    :returns: the result of each change. An error with effect ``UNKNOWN`` means that the answer was
        lost in every attempt; the change may still take effect later.
    """
    outcomes: dict[tuple[str, str], CommitResult] = {}
    remaining = {change.key: change for change in changes}
    if len(remaining) != len(changes):
        raise ValueError("a group contains two changes of one row")
    unknown_error: StoreError | None = None
    attempts = COMMIT_ATTEMPTS
    while remaining and attempts:
        result = table.commit(
            [c.check for c in remaining.values()], [c.write for c in remaining.values()]
        )
        if result.is_ok():
            versions = result.unwrap()
            outcomes |= {key: Ok(versions[key]) for key in remaining}
            return outcomes
        error = result.unwrap_err()
        if isinstance(error, StoreConflict):
            conflicting = [key for key in error.current_by_key if key in remaining]
            for key in conflicting:
                outcomes[key] = _confirm(table, remaining.pop(key), Err(error), unknown_error)
            # Bounds the retries when a conflict names no row of the group.
            attempts -= not conflicting
        else:
            attempts -= 1
            unknown_error = error if error.effect is Effect.UNKNOWN else unknown_error
            if unknown_error is None:
                break
    for key, change in remaining.items():
        failure = Err(unknown_error or result.unwrap_err())
        outcomes[key] = _confirm(table, change, failure, unknown_error)
    return outcomes


def _confirm(
    table: Table, change: ConditionalWrite, failure: CommitResult, unknown_error: StoreError | None
) -> CommitResult:
    if unknown_error is None:
        return failure
    # An earlier attempt whose answer was lost may have taken effect: then the row has its nonce.
    result = table.read(*change.key)
    if result.is_err():
        return Err(unknown_error)
    row = result.unwrap()
    if row is not None and row.value.get(NONCE_KEY) == change.write.value[NONCE_KEY]:
        return Ok(row.version)
    return failure


@attrs.frozen
class _Submission:
    change: ConditionalWrite
    outcome: Future


@attrs.frozen
class _GroupDone:
    pass


class _GroupActor(pykka.ThreadingActor):
    """Queues submitted changes and forms groups of them, which a separate thread writes."""

    def __init__(self, group_queue: queue.Queue, max_group: int) -> None:
        super().__init__()
        self._group_queue = group_queue
        self._max_group = max_group
        self._queued: deque[_Submission] = deque()
        self._writing = False

    def on_receive(self, message: _Submission | _GroupDone) -> None:
        if isinstance(message, _Submission):
            self._queued.append(message)
        else:
            self._writing = False
        if self._queued and not self._writing:
            self._writing = True
            self._group_queue.put(self._build_group())

    def on_stop(self) -> None:
        for submission in self._queued:
            submission.outcome.set_result(Err(StoreError("claims", "", "the writer is closed")))

    def _build_group(self) -> list[_Submission]:
        group: dict[tuple[str, str], _Submission] = {}
        later: list[_Submission] = []
        while self._queued and len(group) < self._max_group:
            submission = self._queued.popleft()
            if submission.change.key in group:
                later.append(submission)
            else:
                group[submission.change.key] = submission
        self._queued.extendleft(reversed(later))
        return list(group.values())


class ClaimWriter:
    """Commits the changes of many threads in groups.

    :param delay: seconds to wait before each group is written, while changes queue for the next.
    """

    def __init__(self, table: Table, delay: float = 0.0, max_group: int = MAX_GROUP) -> None:
        self.groups_written = 0
        self.changes_written = 0
        self._table = table
        self._delay = delay
        self._max_group = max_group
        self._group_queue: queue.Queue[list[_Submission] | None] = queue.Queue()
        self._actor: pykka.ActorRef | None = None
        self._worker: threading.Thread | None = None
        self._lock = threading.Lock()
        self._closed = True

    def start(self) -> None:
        """Start the actor and the writing thread."""
        self._actor = _GroupActor.start(self._group_queue, self._max_group)
        self._worker = threading.Thread(target=self._run, name="claim writer", daemon=True)
        self._worker.start()
        self._closed = False

    def close(self) -> None:
        """Write the group in progress, fail the queued changes, and stop."""
        # Holding the lock keeps a change from being queued after the stop message, where it would
        # never get a result.
        with self._lock:
            if self._closed:
                return
            self._closed = True
        self._actor.stop(timeout=CLOSE_TIMEOUT_S)
        self._group_queue.put(None)
        self._worker.join(CLOSE_TIMEOUT_S)

    def commit(self, check: Check, write: Write) -> CommitResult:
        """Commit one change together with those of other threads; return its new version."""
        submission = _Submission(ConditionalWrite(check, write), Future())
        with self._lock:
            if self._closed:
                return Err(StoreError("claims", "", "the writer is closed"))
            self._actor.tell(submission)
        return submission.outcome.result()

    def _run(self) -> None:
        while (group := self._group_queue.get()) is not None:
            if self._delay:
                time.sleep(self._delay)
            self._write_group(group)
            try:
                self._actor.tell(_GroupDone())
            except pykka.ActorDeadError:
                continue

    def _write_group(self, group: list[_Submission]) -> None:
        try:
            outcomes = commit_group(self._table, [submission.change for submission in group])
        except Exception as error:
            _log.exception("group commit failed")
            failure = StoreError("claims", "", f"group commit failed: {error}", Effect.UNKNOWN)
            outcomes = {submission.change.key: Err(failure) for submission in group}
        self.groups_written += 1
        self.changes_written += len(group)
        for submission in group:
            submission.outcome.set_result(outcomes[submission.change.key])
