"""Deferred requests: accepted once they are durable, executed under a lease by any gateway.

A pending request is a row ``open.<id>`` with its body in the object store. Completion replaces that
row with ``done.<id>`` in one transaction. Deferred requests are idempotent: after a lease expires,
a request may be executed a second time, and the first stored answer is kept.
"""

import hashlib
import logging
import random
import threading
import uuid

import attrs
from result import Err, Ok, Result

from catkinhook.clocks import Clock, monotonic
from catkinhook.durable.claimanswers import Answer, AnswerStore
from catkinhook.errors import Effect, Ran, Refusal, StepError, StoreConflict, StoreError
from catkinhook.state.objectstore import ObjectStore
from catkinhook.state.rowexpiry import RowObserver, advance_age, is_age_step_due
from catkinhook.state.tableservice import (
    ABSENT,
    NONCE_KEY,
    Check,
    Row,
    Table,
    Versions,
    Write,
    commit_confirmed,
    make_nonce,
    scan_all,
)

TABLE = "deferred"
STEP = "deferred"
OPEN_PREFIX = "open."
DONE_PREFIX = "done."
WAITING = "waiting"
LEASED = "leased"
PUT_ATTEMPTS = 3
COMMIT_ATTEMPTS = 3
RETRY_AFTER_S = 1.0

_log = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class DeferredRequest:
    """A request to execute later.

    :ivar finish_within: deadline of the caller's class, in seconds, for the complete response.
    """

    service: str
    caller: str
    class_name: str
    method: str
    path: str
    headers: dict[str, str]
    finish_within: float


@attrs.frozen(kw_only=True)
class Lease:
    """The exclusive right to execute a deferred request until the lease expires.

    :ivar holder: nonce that identifies this lease.
    :ivar version: version of the row after the last renewal.
    :ivar attempts: number of earlier leases on the request.
    :ivar waited: lower bound, in seconds, of the time since the request was accepted.
    """

    request_id: str
    request: DeferredRequest
    body: bytes
    holder: str
    version: int
    attempts: int
    waited: float


class DeferredStore:
    """Deferred requests stored in the table service, as one gateway sees them; thread-safe.

    :param lease_time: seconds after which another gateway may take over an unchanged lease.
    :param retention: seconds for which answers are kept.
    :param rng: shuffles the waiting requests, so that gateways rarely compete for the same one.
    """

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        lease_time: float,
        retention: float,
        rng: random.Random,
        clock: Clock = monotonic,
    ) -> None:
        self._table = table
        self._objects = objects
        self._answers = AnswerStore(objects, "deferred-answers")
        self._lease_time = lease_time
        self._retention = retention
        self._rng = rng
        self._clock = clock
        self._observer = RowObserver(clock)
        self._lock = threading.Lock()
        self._lease_by_holder: dict[str, Lease] = {}
        self._answer_by_holder: dict[str, tuple[Lease, Answer]] = {}
        self._first_seen_by_key: dict[str, float] = {}

    def accept(
        self, request: DeferredRequest, body: bytes, request_id: str = ""
    ) -> Result[str, Refusal]:
        """Store a request; an ``Ok`` with its id guarantees that it will be executed.

        :param request_id: id that a repeat of the same request uses as well; empty to create one.
        """
        request_id = request_id or uuid.uuid4().hex
        digest = hashlib.sha256(body).hexdigest()
        stored = self._store_body(_make_body_key(request_id, digest), body)
        if stored.is_err():
            reason = f"the request could not be stored: {stored.unwrap_err().reason}"
            return Err(_make_refusal("not-accepted", 503, Ran.NO, reason))
        open_key, done_key = OPEN_PREFIX + request_id, DONE_PREFIX + request_id
        checks = [Check(TABLE, open_key, ABSENT), Check(TABLE, done_key, ABSENT)]
        value = {
            "state": WAITING,
            "request": attrs.asdict(request),
            "body": digest,
            "attempts": 0,
            "waited": 0.0,
        }
        match self._commit(checks, open_key, value):
            case Ok():
                return Ok(request_id)
            case Err(StoreConflict()):
                return self._find_accepted(request_id, request, digest)
            case Err(error):
                # The body is kept, because a repeat with the same id may have been accepted.
                return Err(_make_accept_refusal(error))

    def find_answer(self, request_id: str, caller: str) -> Result[Answer | None, Refusal]:
        """Return the answer to a request, or None while it has none.

        :param caller: the caller that asks; requests of other callers are not found.
        """
        # Completion moves the row from open to done, so reading open first can't miss it.
        for prefix in (OPEN_PREFIX, DONE_PREFIX):
            result = self._table.read(TABLE, prefix + request_id)
            if result.is_err():
                reason = result.unwrap_err().reason
                return Err(_make_refusal("unreadable", 503, Ran.UNKNOWN, reason))
            row = result.unwrap()
            if row is not None and row.value["request"]["caller"] == caller:
                return self._read_answer(row) if prefix == DONE_PREFIX else Ok(None)
        return Err(_make_refusal("unknown-request", 404, Ran.UNKNOWN, "there is no such request"))

    def acquire_leases(self, limit: int) -> Result[list[Lease], StoreError]:
        """Lease up to ``limit`` requests that are waiting or whose lease has expired."""
        scanned = scan_all(self._table, TABLE, OPEN_PREFIX)
        if scanned.is_err():
            return Err(scanned.unwrap_err())
        rows = scanned.unwrap()
        with self._lock:
            first_seen, now = self._first_seen_by_key, self._clock()
            self._first_seen_by_key = {row.key: first_seen.get(row.key, now) for row in rows}
            available = [row for row in rows if self._is_available(row)]
        self._rng.shuffle(available)
        leases: list[Lease] = []
        for row in available:
            if len(leases) >= limit:
                break
            lease = self._acquire_lease(row)
            if lease is not None:
                leases.append(lease)
        return Ok(leases)

    def renew(self, lease: Lease) -> Result[Lease, StepError]:
        """Renew a lease; an error of type ``StoreConflict`` means that it was lost."""
        value = self._build_value(lease, LEASED)
        renewed = self._update_open_row(lease, value)
        if renewed.is_err():
            if isinstance(renewed.unwrap_err(), StoreConflict):
                self._forget_lease(lease)
            return Err(renewed.unwrap_err())
        lease = attrs.evolve(lease, version=renewed.unwrap())
        with self._lock:
            if lease.holder in self._lease_by_holder:
                self._lease_by_holder[lease.holder] = lease
        return Ok(lease)

    def renew_all(self) -> int:
        """Renew every lease that this gateway holds; return how many it still holds."""
        for lease in self.list_leases():
            self.renew(lease)
        return len(self.list_leases())

    def complete(self, lease: Lease, answer: Answer) -> Result[None, StepError]:
        """Store the answer and complete the request.

        :returns: an error when the store has not confirmed the write; ``flush`` then retries it.
        """
        with self._lock:
            lease = self._lease_by_holder.get(lease.holder, lease)
            self._answer_by_holder[lease.holder] = (lease, answer)
        completed = self._store_answer(lease, answer)
        if completed.is_ok():
            self._forget_lease(lease)
        return completed

    def flush(self) -> int:
        """Retry the answers that are not stored yet; return how many remain."""
        with self._lock:
            pending = list(self._answer_by_holder.values())
        for lease, answer in pending:
            if self._store_answer(lease, answer).is_ok():
                self._forget_lease(lease)
        with self._lock:
            return len(self._answer_by_holder)

    def release_lease(self, lease: Lease) -> Result[None, StepError]:
        """Release the lease for another gateway; if the write fails, the lease expires instead."""
        with self._lock:
            lease = self._lease_by_holder.get(lease.holder, lease)
        changed = self._update_open_row(lease, self._build_value(lease, WAITING))
        self._forget_lease(lease)
        return changed.map(lambda _: None)

    def release_all(self) -> None:
        """Store the remaining answers and release every other lease, before a planned stop."""
        self.flush()
        with self._lock:
            leases = [
                lease
                for holder, lease in self._lease_by_holder.items()
                if holder not in self._answer_by_holder
            ]
        for lease in leases:
            self.release_lease(lease)

    def list_leases(self) -> list[Lease]:
        """Return the leases that this gateway holds."""
        with self._lock:
            return list(self._lease_by_holder.values())

    def expire(self) -> Result[int, StoreError]:
        """Advance the age of stored answers and delete those past their retention.

        :returns: how many were deleted.
        """
        scanned = scan_all(self._table, TABLE, DONE_PREFIX)
        return scanned.map(lambda rows: sum(self._advance_row_age(row) for row in rows))

    def _find_accepted(
        self, request_id: str, request: DeferredRequest, digest: str
    ) -> Result[str, Refusal]:
        for prefix in (OPEN_PREFIX, DONE_PREFIX):
            result = self._table.read(TABLE, prefix + request_id)
            if result.is_err():
                return Err(_make_accept_refusal(result.unwrap_err(), Ran.UNKNOWN))
            row = result.unwrap()
            if row is None:
                continue
            if row.value["body"] == digest and row.value["request"]["caller"] == request.caller:
                return Ok(request_id)
            reason = "the id was used with another request"
            return Err(_make_refusal("key-reused", 422, Ran.NO, reason))
        return Err(
            _make_refusal("not-accepted", 503, Ran.UNKNOWN, "the request could not be stored")
        )

    def _store_body(self, name: str, content: bytes) -> Result[None, StoreError]:
        for _ in range(PUT_ATTEMPTS):
            stored = self._objects.put(name, content)
            if stored.is_ok() or stored.unwrap_err().effect is Effect.NONE:
                break
        return stored

    def _commit(
        self, checks: list[Check], key: str, value: dict, extra_writes: list[Write] | None = None
    ) -> Result[Versions, StoreConflict | StoreError]:
        writes = [Write(TABLE, key, value | {NONCE_KEY: make_nonce()}), *(extra_writes or [])]
        unknown: StoreError | None = None
        for _ in range(COMMIT_ATTEMPTS):
            result = commit_confirmed(self._table, checks, writes)
            if result.is_ok():
                return result
            error = result.unwrap_err()
            if isinstance(error, StoreConflict):
                return self._read_back(writes[0], result) if unknown else result
            if error.effect is Effect.UNKNOWN:
                unknown = error
            elif unknown is None:
                return result
        return Err(unknown)

    def _read_back(self, write: Write, conflict: Result) -> Result:
        result = self._table.read(write.table, write.key)
        if result.is_err():
            error = result.unwrap_err()
            return Err(StoreError(error.step, error.peer, error.reason, Effect.UNKNOWN))
        row = result.unwrap()
        if row is not None and row.value.get(NONCE_KEY) == write.value[NONCE_KEY]:
            return Ok({(write.table, write.key): row.version})
        return conflict

    def _is_available(self, row: Row) -> bool:
        unchanged = self._observer.measure_unchanged(row)
        return row.value["state"] == WAITING or unchanged >= self._lease_time

    def _acquire_lease(self, row: Row) -> Lease | None:
        request_id = row.key.removeprefix(OPEN_PREFIX)
        body = self._objects.get(_make_body_key(request_id, row.value["body"]))
        if body.is_err():
            return None
        if body.unwrap() is None:
            # Expected if another gateway has just completed the request, and an error otherwise.
            if self._table.read(TABLE, row.key).unwrap_or(None) == row:
                _log.error("body of a deferred request is missing", extra={"id": request_id})
            return None
        with self._lock:
            observed = self._clock() - self._first_seen_by_key.get(row.key, self._clock())
        lease = Lease(
            request_id=request_id,
            request=DeferredRequest(**row.value["request"]),
            body=body.unwrap(),
            holder=make_nonce(),
            version=row.version,
            attempts=row.value["attempts"],
            waited=max(row.value["waited"], observed),
        )
        acquired = self._update_open_row(lease, self._build_value(lease, LEASED))
        if acquired.is_err():
            return None
        lease = attrs.evolve(lease, version=acquired.unwrap())
        with self._lock:
            self._lease_by_holder[lease.holder] = lease
        return lease

    def _build_value(self, lease: Lease, state: str) -> dict:
        return {
            "state": state,
            "request": attrs.asdict(lease.request),
            "body": hashlib.sha256(lease.body).hexdigest(),
            "attempts": lease.attempts + 1,
            "waited": lease.waited,
            "holder": lease.holder,
        }

    def _update_open_row(self, lease: Lease, value: dict) -> Result[int, StepError]:
        key = OPEN_PREFIX + lease.request_id
        changed = self._commit([Check(TABLE, key, lease.version)], key, value)
        return changed.map(lambda versions: versions[TABLE, key])

    def _store_answer(self, lease: Lease, answer: Answer) -> Result[None, StepError]:
        stored = self._answers.put(lease.request_id, lease.holder, answer)
        if stored.is_err():
            return Err(stored.unwrap_err())
        for _ in range(COMMIT_ATTEMPTS):
            completed = self._move_to_done(lease.request_id, stored.unwrap())
            # A renewal or another gateway may have changed the row since it was read.
            if completed.is_ok() or not isinstance(completed.unwrap_err(), StoreConflict):
                break
        return completed

    def _move_to_done(self, request_id: str, answer: dict) -> Result[None, StepError]:
        open_key, done_key = OPEN_PREFIX + request_id, DONE_PREFIX + request_id
        # The lease is not checked: even if another gateway took it over, the first answer is kept.
        result = self._table.read(TABLE, open_key)
        if result.is_err():
            return Err(result.unwrap_err())
        row = result.unwrap()
        if row is None:
            return Ok(None)
        checks = [Check(TABLE, open_key, row.version), Check(TABLE, done_key, ABSENT)]
        value = {
            "answer": answer,
            "request": row.value["request"],
            "body": row.value["body"],
            "attempts": row.value["attempts"],
        }
        completed = self._commit(checks, done_key, value, [Write(TABLE, open_key, None)])
        if completed.is_err():
            return Err(completed.unwrap_err())
        # If this fails, the body is deleted together with the answer when that expires.
        self._objects.delete(_make_body_key(request_id, row.value["body"]))
        return Ok(None)

    def _forget_lease(self, lease: Lease) -> None:
        with self._lock:
            self._lease_by_holder.pop(lease.holder, None)
            self._answer_by_holder.pop(lease.holder, None)
            self._first_seen_by_key.pop(OPEN_PREFIX + lease.request_id, None)
        self._observer.forget(TABLE, OPEN_PREFIX + lease.request_id)

    def _read_answer(self, row: Row) -> Result[Answer, Refusal]:
        answer = self._answers.get(row.value["answer"])
        if answer.is_err():
            reason = f"the answer can't be read: {answer.unwrap_err().reason}"
            return Err(_make_refusal("answer-unreadable", 503, Ran.YES, reason))
        return Ok(answer.unwrap())

    def _advance_row_age(self, row: Row) -> int:
        if not is_age_step_due(self._observer, row, self._retention):
            return 0
        value = advance_age(row, make_nonce())
        check = Check(TABLE, row.key, row.version)
        if value is not None:
            written = self._table.commit([check], [Write(TABLE, row.key, value)])
            if written.is_ok():
                version = written.unwrap()[TABLE, row.key]
                self._observer.measure_unchanged(Row(TABLE, row.key, version, value))
            return 0
        request_id = row.key.removeprefix(DONE_PREFIX)
        body = self._objects.delete(_make_body_key(request_id, row.value["body"]))
        # The row is deleted last, because it holds the keys of the objects.
        if body.is_err() or self._answers.delete(row.value["answer"]).is_err():
            return 0
        return int(self._table.commit([check], [Write(TABLE, row.key, None)]).is_ok())


def _make_body_key(request_id: str, digest: str) -> str:
    return f"deferred/{request_id}/{digest}"


def _make_refusal(code: str, status: int, ran: Ran, reason: str) -> Refusal:
    return Refusal(STEP, "", reason, code, status, ran, RETRY_AFTER_S if status == 503 else 0.0)


def _make_accept_refusal(error: StepError, ran: Ran | None = None) -> Refusal:
    # If the answer to the transaction was lost, the request may have been accepted and executed.
    if ran is None:
        ran = Ran.UNKNOWN if error.effect is Effect.UNKNOWN else Ran.NO
    return _make_refusal(
        "not-accepted", 503, ran, f"the request could not be stored: {error.reason}"
    )
