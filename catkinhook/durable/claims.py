"""At-most-once execution of non-idempotent requests, by claims on their idempotency keys.

States are ``absent -> claimed -> sent -> done``; an operator may settle a claim that stays in
``sent``. Each transition is a compare-and-set on the row version. Rows are never deleted: a deleted
key could be executed a second time, and a row recreated at version 1 could match the version check
of a delayed transition.
"""

import enum
import logging
import threading
import time
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from catkinhook.clocks import Clock, monotonic
from catkinhook.durable.claimanswers import Answer, AnswerStore
from catkinhook.durable.claimtypes import (
    Claim,
    ClaimAcquired,
    ClaimInProgress,
    OpenClaim,
    State,
    StoredAnswer,
)
from catkinhook.durable.claimwriter import Commit, CommitResult
from catkinhook.errors import Effect, Ran, Refusal, StepError, StoreConflict, StoreError
from catkinhook.state.rowexpiry import RowObserver, advance_age, is_age_step_due
from catkinhook.state.tableservice import (
    ABSENT,
    NONCE_KEY,
    Check,
    Row,
    Table,
    Write,
    make_nonce,
    scan_all,
)

TABLE = "claims"
STEP = "claims"
TRANSITION_ATTEMPTS = 4
MIN_POLL_INTERVAL_S = 0.05
MAX_POLL_INTERVAL_S = 1.0
RETRY_AFTER_S = 1.0
FLUSH_INTERVAL_S = 0.5
# Number of claim timeouts for which a claim must be unchanged before an operator can settle it.
# After that, a gateway that checks ``Claim.send_by`` can no longer send the request.
SETTLE_DELAY_FACTOR = 2.0

_log = logging.getLogger(__name__)


class _PendingKind(enum.IntEnum):
    """Kind of a pending write to a claim; a higher value replaces a lower one."""

    LOST = 1
    RELEASE = 2
    ANSWER = 3


@attrs.frozen
class _PendingWrite:
    claim: Claim
    kind: _PendingKind
    answer: Answer | None = None


class ClaimStore:
    """Claims stored in the table service, as one process sees them; thread-safe.

    :param commit: commits one state transition, for example ``ClaimWriter.commit``.
    :param claim_timeout: seconds after which another attempt may take over an unchanged row in
        state ``claimed``.
    :param retention: seconds for which stored answers are kept.
    :param labels: labels stored with each claim for operators, such as the gateway's name.
    """

    def __init__(
        self,
        table: Table,
        answers: AnswerStore,
        commit: Commit,
        claim_timeout: float,
        retention: float,
        clock: Clock = monotonic,
        labels: dict[str, str] | None = None,
    ) -> None:
        self.conflicting_outcomes = 0
        self._table = table
        self._answers = answers
        self._commit = commit
        self._claim_timeout = claim_timeout
        self._retention = retention
        self._clock = clock
        self._labels = labels or {}
        self._observer = RowObserver(clock)
        self._lock = threading.Lock()
        self._pending: dict[tuple[str, str], _PendingWrite] = {}
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread that retries writes that the store has not confirmed."""
        self._thread = threading.Thread(target=self._run, name="claims", daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop the thread and retry the pending writes once."""
        self._stopped.set()
        if self._thread:
            self._thread.join()
        remaining = self.flush()
        if remaining:
            _log.error("claim store closed with pending writes", extra={"count": remaining})

    def try_acquire(
        self, key: str, body_hash: str, labels: dict[str, str] | None = None
    ) -> Result[ClaimAcquired | StoredAnswer | ClaimInProgress, Refusal]:
        """Claim a key without waiting, or return its existing state.

        :param key: from ``hash_key``.
        :param labels: labels shown to operators, such as the service and the caller.
        """
        for _ in range(TRANSITION_ATTEMPTS):
            result = self._table.read(TABLE, key)
            if result.is_err():
                # The outcome is unknown: an earlier attempt with this key may have been executed.
                reason = (
                    "this attempt was not sent, but whether an earlier one with the same key ran "
                    f"can't be read: {result.unwrap_err().reason}"
                )
                return Err(
                    _make_refusal("claim-unreadable", 503, Ran.UNKNOWN, reason, RETRY_AFTER_S)
                )
            row = result.unwrap()
            existing = self._resolve_existing(row, body_hash)
            if existing is not None:
                return existing
            claim = Claim(
                key=key,
                body_hash=body_hash,
                claimant=make_nonce(),
                version=row.version if row else ABSENT,
                labels=self._labels | (labels or {}),
            )
            match self._commit_state(claim, State.CLAIMED):
                case Ok(version):
                    return Ok(ClaimAcquired(attrs.evolve(claim, version=version)))
                case Err(StoreError() as error):
                    if error.effect is Effect.UNKNOWN:
                        self._enqueue(_PendingWrite(claim, _PendingKind.RELEASE))
                    return Err(_make_store_refusal(error))
        return Ok(ClaimInProgress(State.CLAIMED))

    def acquire(
        self,
        key: str,
        body_hash: str,
        timeout: float,
        labels: dict[str, str] | None = None,
        sleep: Callable[[float], None] = time.sleep,
    ) -> Result[ClaimAcquired | StoredAnswer, Refusal]:
        """Claim a key, polling while another attempt holds it.

        :param timeout: seconds to wait for the other attempt to finish.
        """
        deadline = self._clock() + timeout
        interval = MIN_POLL_INTERVAL_S
        while True:
            acquired = self.try_acquire(key, body_hash, labels)
            if acquired.is_err() or not isinstance(acquired.unwrap(), ClaimInProgress):
                return acquired
            remaining = deadline - self._clock()
            if remaining <= 0:
                reason = "another attempt with this idempotency key has not ended"
                return Err(_make_refusal("still-running", 409, Ran.UNKNOWN, reason))
            sleep(min(interval, remaining))
            interval = min(2 * interval, MAX_POLL_INTERVAL_S)

    def mark_sent(self, claim: Claim) -> Result[Claim, Refusal]:
        """Record that the request is about to be sent.

        The request may be sent only after an ``Ok``, and only until ``Claim.send_by``.
        """
        send_by = self._clock() + self._claim_timeout
        match self._commit_state(claim, State.SENT):
            case Ok(version):
                return Ok(attrs.evolve(claim, version=version, send_by=send_by))
            case Err(StoreConflict()):
                reason = "another attempt took the claim over"
                return Err(_make_refusal("claim-taken-over", 409, Ran.UNKNOWN, reason))
            case Err(error):
                if error.effect is Effect.UNKNOWN:
                    self._enqueue(_PendingWrite(claim, _PendingKind.RELEASE))
                return Err(_make_store_refusal(error))

    def may_send(self, claim: Claim) -> bool:
        """Return whether ``Claim.send_by`` has not passed yet.

        Call this right before sending the first byte. If the process was paused after ``mark_sent``
        and the deadline has passed, call ``release_not_run`` instead.
        """
        return self._clock() < claim.send_by

    def release_not_run(self, claim: Claim, retry: bool = False) -> Result[Claim, Refusal]:
        """Record that the endpoint did not execute the request.

        :param retry: true to keep the claim for a retry on another endpoint, false to release it
            so that any attempt can take it over immediately.
        :returns: the claim, which can be marked as sent again; an error when the store did not
            confirm the write, in which case the claim is released in the background.
        """
        match self._commit_state(claim, State.CLAIMED, released=not retry):
            case Ok(version):
                return Ok(attrs.evolve(claim, version=version, send_by=0.0))
            case Err(error):
                self._enqueue(_PendingWrite(claim, _PendingKind.RELEASE))
                return Err(_make_store_refusal(error))

    def mark_lost(self, claim: Claim) -> None:
        """Record that the answer was lost, so that repeats are refused without waiting."""
        if self._commit_state(claim, State.SENT, lost=True).is_err():
            self._enqueue(_PendingWrite(claim, _PendingKind.LOST))

    def complete(self, claim: Claim, answer: Answer) -> Result[None, StepError]:
        """Store the answer of an executed request, however late it arrives.

        :returns: an error when the store has not confirmed the write. It is retried in the
            background, and the answer can be returned to the caller in the meantime.
        """
        pending = _PendingWrite(claim, _PendingKind.ANSWER, answer)
        stored = self._answers.put(claim.key, claim.claimant, answer)
        if stored.is_ok():
            value = {"answer": stored.unwrap()}
            written = self._commit_state(claim, State.DONE, **value)
            if written.is_ok():
                return Ok(None)
            stored = written
        self._enqueue(pending)
        # A conflict is expected when ``mark_lost`` or an operator has changed the row. The retry
        # reads the current version of the row.
        if isinstance(stored.unwrap_err(), StoreConflict) and self._retry_write(pending):
            return Ok(None)
        return Err(stored.unwrap_err())

    def flush(self) -> int:
        """Retry the pending writes; return how many remain."""
        with self._lock:
            pending = list(self._pending.values())
        for pending_write in pending:
            self._retry_write(pending_write)
        with self._lock:
            return len(self._pending)

    def list_open(self) -> Result[list[OpenClaim], StoreError]:
        """Return all claims in state ``claimed`` or ``sent``."""
        scanned = scan_all(self._table, TABLE)
        return scanned.map(
            lambda rows: [self._make_open_claim(row) for row in rows if _is_open(row)]
        )

    def settle(self, key: str, ran: bool, author: str) -> Result[None, Refusal]:
        """Record an operator's decision on a claim in state ``sent``.

        :param ran: whether the request was executed; false allows the key to be executed again.
        """
        result = self._table.read(TABLE, key)
        if result.is_err():
            reason = result.unwrap_err().reason
            return Err(_make_refusal("not-settled", 503, Ran.UNKNOWN, reason, RETRY_AFTER_S))
        row = result.unwrap()
        if row is None or row.value["state"] != State.SENT:
            state = row.value["state"] if row else "absent"
            reason = f"the claim is {state}, and only a sent one can be settled"
            return Err(_make_refusal("not-open", 409, Ran.UNKNOWN, reason))
        unchanged = self._observer.measure_unchanged(row)
        remaining = self._claim_timeout * SETTLE_DELAY_FACTOR - unchanged
        if remaining > 0:
            reason = f"its sender may still be at work; ask again in {remaining:.0f} s"
            return Err(
                _make_refusal("too-early", 409, Ran.UNKNOWN, reason, max(remaining, RETRY_AFTER_S))
            )
        state = State.SETTLED_RAN if ran else State.SETTLED_NOT_RUN
        value = row.value | {"state": state, "author": author, NONCE_KEY: make_nonce()}
        written = self._commit(Check(TABLE, key, row.version), Write(TABLE, key, value))
        if written.is_ok():
            return Ok(None)
        error = written.unwrap_err()
        return Err(_make_refusal("not-settled", 503, Ran.UNKNOWN, error.reason, RETRY_AFTER_S))

    def expire(self) -> Result[int, StoreError]:
        """Advance the age of stored answers and delete those past their retention.

        The row itself stays, so that the key is never executed again.

        :returns: how many answers were deleted.
        """
        scanned = scan_all(self._table, TABLE)
        return scanned.map(
            lambda rows: sum(self._advance_row_age(row) for row in rows if "answer" in row.value)
        )

    def _resolve_existing(
        self, row: Row | None, body_hash: str
    ) -> Result[ClaimAcquired | StoredAnswer | ClaimInProgress, Refusal] | None:
        if row is None:
            return None
        if row.value["body_hash"] != body_hash:
            reason = "the idempotency key was used with another body"
            return Err(_make_refusal("key-reused", 422, Ran.NO, reason))
        return _RESOLVE_BY_STATE[State(row.value["state"])](self, row)

    def _resolve_claimed(self, row: Row) -> Result[ClaimInProgress, Refusal] | None:
        stale = self._observer.measure_unchanged(row) >= self._claim_timeout
        return None if row.value.get("released") or stale else Ok(ClaimInProgress(State.CLAIMED))

    def _resolve_sent(self, row: Row) -> Result[ClaimInProgress, Refusal] | None:
        if row.value.get("lost"):
            reason = "the connection was lost after the request was sent"
            return Err(_make_refusal("outcome-unknown", 502, Ran.UNKNOWN, reason))
        return Ok(ClaimInProgress(State.SENT))

    def _resolve_done(self, row: Row) -> Result[StoredAnswer, Refusal] | None:
        if "answer" not in row.value:
            reason = "the request ran and its answer is no longer stored"
            return Err(_make_refusal("answer-expired", 410, Ran.YES, reason))
        answer = self._answers.get(row.value["answer"])
        if answer.is_err():
            reason = f"the request ran and its answer can't be read: {answer.unwrap_err().reason}"
            return Err(_make_refusal("answer-unreadable", 503, Ran.YES, reason, RETRY_AFTER_S))
        return Ok(StoredAnswer(answer.unwrap()))

    def _resolve_settled_ran(self, row: Row) -> Result[StoredAnswer, Refusal] | None:
        reason = "an operator found that the request ran; its answer is not known"
        return Err(_make_refusal("settled-ran", 409, Ran.YES, reason))

    def _resolve_settled_not_run(self, row: Row) -> Result[StoredAnswer, Refusal] | None:
        return None

    def _commit_state(self, claim: Claim, state: State, **extra: object) -> CommitResult:
        check = Check(TABLE, claim.key, claim.version)
        return self._commit(check, Write(TABLE, claim.key, _build_value(claim, state, **extra)))

    def _enqueue(self, pending: _PendingWrite) -> None:
        key = (pending.claim.key, pending.claim.claimant)
        with self._lock:
            earlier = self._pending.get(key)
            if earlier is None or earlier.kind <= pending.kind:
                self._pending[key] = pending

    def _retry_write(self, pending: _PendingWrite) -> bool:
        finished = self._apply_write(pending)
        if finished:
            key = (pending.claim.key, pending.claim.claimant)
            with self._lock:
                if self._pending.get(key) is pending:
                    del self._pending[key]
        return finished

    def _apply_write(self, pending: _PendingWrite) -> bool:
        # Returns whether the write is confirmed or no longer applies to the row.
        claim = pending.claim
        result = self._table.read(TABLE, claim.key)
        if result.is_err():
            return False
        row = result.unwrap()
        if row is None or row.value["claimant"] != claim.claimant:
            return self._discard_write(pending)
        state = State(row.value["state"])
        if state not in _STATES_BY_KIND[pending.kind]:
            return True
        claim = attrs.evolve(claim, version=row.version)
        if pending.kind is _PendingKind.ANSWER:
            stored = self._answers.put(claim.key, claim.claimant, pending.answer)
            return stored.is_ok() and (
                self._commit_state(claim, State.DONE, answer=stored.unwrap()).is_ok()
            )
        if pending.kind is _PendingKind.RELEASE:
            # Written even when the row is still ``claimed``: it raises the version, so a delayed
            # ``sent`` transition can no longer match.
            return self._commit_state(claim, State.CLAIMED, released=True).is_ok()
        return self._commit_state(claim, State.SENT, lost=True).is_ok()

    def _discard_write(self, pending: _PendingWrite) -> bool:
        if pending.kind is _PendingKind.ANSWER:
            # Only possible when an operator recorded an executed request as not executed.
            self.conflicting_outcomes += 1
            _log.error(
                "answer discarded: the claim was settled as not run and acquired again",
                extra=pending.claim.labels,
            )
        return True

    def _make_open_claim(self, row: Row) -> OpenClaim:
        return OpenClaim(
            key=row.key,
            state=State(row.value["state"]),
            lost=bool(row.value.get("lost")),
            unchanged=self._observer.measure_unchanged(row),
            labels=row.value.get("labels", {}),
        )

    def _advance_row_age(self, row: Row) -> int:
        if not is_age_step_due(self._observer, row, self._retention):
            return 0
        value = advance_age(row, make_nonce())
        expired = value is None
        if expired:
            value = {k: v for k, v in row.value.items() if k != "answer"}
            value[NONCE_KEY] = make_nonce()
        written = self._commit(Check(TABLE, row.key, row.version), Write(TABLE, row.key, value))
        if expired and written.is_ok():
            self._answers.delete(row.value["answer"])
        elif written.is_ok():
            self._observer.measure_unchanged(Row(TABLE, row.key, written.unwrap(), value))
        return int(expired and written.is_ok())

    def _run(self) -> None:
        while not self._stopped.wait(FLUSH_INTERVAL_S):
            try:
                self.flush()
            except Exception:
                _log.exception("retry of pending claim writes failed")


_RESOLVE_BY_STATE = {
    State.CLAIMED: ClaimStore._resolve_claimed,
    State.SENT: ClaimStore._resolve_sent,
    State.DONE: ClaimStore._resolve_done,
    State.SETTLED_RAN: ClaimStore._resolve_settled_ran,
    State.SETTLED_NOT_RUN: ClaimStore._resolve_settled_not_run,
}

# Row states in which a pending write still applies. An answer that arrives after an operator's
# decision is stored, because it proves that the request was executed.
_STATES_BY_KIND = {
    _PendingKind.LOST: {State.SENT},
    _PendingKind.RELEASE: {State.CLAIMED, State.SENT},
    _PendingKind.ANSWER: {State.SENT, State.SETTLED_RAN, State.SETTLED_NOT_RUN},
}


def _build_value(claim: Claim, state: State, **extra: object) -> dict:
    value = {
        "state": state,
        "claimant": claim.claimant,
        "body_hash": claim.body_hash,
        "labels": claim.labels,
        NONCE_KEY: make_nonce(),
    }
    return value | extra


def _is_open(row: Row) -> bool:
    return row.value["state"] in (State.CLAIMED, State.SENT)


def _make_refusal(
    code: str, status: int, ran: Ran, reason: str, retry_after: float = 0.0
) -> Refusal:
    return Refusal(STEP, "", reason, code, status, ran, retry_after)


def _make_store_refusal(error: StepError) -> Refusal:
    reason = f"the claim could not be written, so the request was not sent: {error.reason}"
    return Refusal(STEP, error.peer, reason, "store-unavailable", 503, Ran.NO, RETRY_AFTER_S)
