"""Group commit: one transaction carries many independent row changes."""

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
from catkinhook.state.tables import NONCE_KEY, Check, Table, Write

MAX_GROUP = 128
# A lost answer is cleared up by the same transaction again, whose nonce makes it idempotent.
COMMIT_ATTEMPTS = 3
CLOSE_TIMEOUT_S = 10.0

_log = logging.getLogger(__name__)

CommitResult = Result[int, StoreConflict | StoreError]
# Commits one change and returns its new version.
Commit = Callable[[Check, Write], CommitResult]


@attrs.frozen
class ConditionalWrite:
    """One row change; the value carries a nonce of its own under ``NONCE_KEY``."""

    check: Check
    write: Write

    @property
    def key(self) -> tuple[str, str]:
        """Return ``(table, key)``."""
        return self.write.table, self.write.key


def make_single_commit(table: Table) -> Commit:
    """Return a ``Commit`` that writes each change in a transaction of its own."""

    def commit(check: Check, write: Write) -> CommitResult:
        return commit_group(table, [ConditionalWrite(check, write)])[write.table, write.key]

    return commit


def commit_group(
    table: Table, changes: list[ConditionalWrite]
) -> dict[tuple[str, str], CommitResult]:
    """Commit independent changes together.

    A change whose check fails is taken out and the others are submitted again.

    :param changes: at most one for each row, since a transaction with two would apply both.
    :returns: the outcome of each change. An error with effect ``UNKNOWN`` remains when the
        answer was lost in every attempt; such a change may still take effect later.
    """
    outcomes: dict[tuple[str, str], CommitResult] = {}
    left = {change.key: change for change in changes}
    if len(left) != len(changes):
        raise ValueError("a group holds two changes of one row")
    unknown: StoreError | None = None
    attempts = COMMIT_ATTEMPTS
    while left and attempts:
        result = table.commit([c.check for c in left.values()], [c.write for c in left.values()])
        if result.is_ok():
            versions = result.unwrap()
            outcomes |= {key: Ok(versions[key]) for key in left}
            return outcomes
        error = result.unwrap_err()
        if isinstance(error, StoreConflict):
            removed = [key for key in error.current_by_key if key in left]
            for key in removed:
                outcomes[key] = _resolve(table, left.pop(key), Err(error), unknown)
            # A conflict that names no row of the group would repeat for ever.
            attempts -= not removed
        else:
            attempts -= 1
            unknown = error if error.effect is Effect.UNKNOWN else unknown
            if unknown is None:
                break
    for key, change in left.items():
        final = Err(unknown or result.unwrap_err())
        outcomes[key] = _resolve(table, change, final, unknown)
    return outcomes


def _resolve(
    table: Table, change: ConditionalWrite, failure: CommitResult, unknown: StoreError | None
) -> CommitResult:
    if unknown is None:
        return failure
    # An earlier attempt whose answer was lost may have taken effect.
    found = table.read(*change.key)
    if found.is_err():
        return Err(unknown)
    row = found.unwrap()
    if row is not None and row.value.get(NONCE_KEY) == change.write.value[NONCE_KEY]:
        return Ok(row.version)
    return failure


@attrs.frozen
class _Submit:
    change: ConditionalWrite
    outcome: Future


@attrs.frozen
class _Written:
    pass


class _GroupActor(pykka.ThreadingActor):
    """Owner of the changes that wait; a worker thread outside does the writing."""

    def __init__(self, groups: queue.Queue, max_group: int) -> None:
        super().__init__()
        self._groups = groups
        self._max_group = max_group
        self._waiting: deque[_Submit] = deque()
        self._writing = False

    def on_receive(self, message: _Submit | _Written) -> None:
        if isinstance(message, _Submit):
            self._waiting.append(message)
        else:
            self._writing = False
        if self._waiting and not self._writing:
            self._writing = True
            self._groups.put(self._take_group())

    def on_stop(self) -> None:
        for submit in self._waiting:
            submit.outcome.set_result(Err(StoreError("claims", "", "the writer is closed")))

    def _take_group(self) -> list[_Submit]:
        group: dict[tuple[str, str], _Submit] = {}
        later: list[_Submit] = []
        while self._waiting and len(group) < self._max_group:
            submit = self._waiting.popleft()
            if submit.change.key in group:
                later.append(submit)
            else:
                group[submit.change.key] = submit
        self._waiting.extendleft(reversed(later))
        return list(group.values())


class ClaimWriter:
    """Commits the changes of many threads in groups.

    :param delay: seconds to wait for further changes before a group is written.
    """

    def __init__(self, table: Table, delay: float = 0.0, max_group: int = MAX_GROUP) -> None:
        self.groups_written = 0
        self.changes_written = 0
        self._table = table
        self._delay = delay
        self._max_group = max_group
        self._groups: queue.Queue[list[_Submit] | None] = queue.Queue()
        self._actor: pykka.ActorRef | None = None
        self._worker: threading.Thread | None = None
        self._lock = threading.Lock()
        self._closed = True

    def start(self) -> None:
        """Start the actor and the writing thread."""
        self._actor = _GroupActor.start(self._groups, self._max_group)
        self._worker = threading.Thread(target=self._work, name="claim writer", daemon=True)
        self._worker.start()
        self._closed = False

    def close(self) -> None:
        """Write the group in progress, fail the changes that wait, and stop."""
        # The lock keeps changes from arriving behind the stop message, where no one answers them.
        with self._lock:
            if self._closed:
                return
            self._closed = True
        self._actor.stop(timeout=CLOSE_TIMEOUT_S)
        self._groups.put(None)
        self._worker.join(CLOSE_TIMEOUT_S)

    def commit(self, check: Check, write: Write) -> CommitResult:
        """Commit one change with those of other threads; returns its new version."""
        submit = _Submit(ConditionalWrite(check, write), Future())
        with self._lock:
            if self._closed:
                return Err(StoreError("claims", "", "the writer is closed"))
            self._actor.tell(submit)
        return submit.outcome.result()

    def _work(self) -> None:
        while (group := self._groups.get()) is not None:
            if self._delay:
                time.sleep(self._delay)
            self._write(group)
            try:
                self._actor.tell(_Written())
            except pykka.ActorDeadError:
                continue

    def _write(self, group: list[_Submit]) -> None:
        try:
            outcomes = commit_group(self._table, [submit.change for submit in group])
        except Exception as error:
            _log.exception("group commit failed")
            failure = StoreError("claims", "", f"group commit failed: {error}", Effect.UNKNOWN)
            outcomes = {submit.change.key: Err(failure) for submit in group}
        self.groups_written += 1
        self.changes_written += len(group)
        for submit in group:
            submit.outcome.set_result(outcomes[submit.change.key])
