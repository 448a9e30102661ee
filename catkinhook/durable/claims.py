"""At-most-once claims of requests that must not be repeated.

``absent -> claimed -> sent -> done``; an operator may settle a claim that stays ``sent``. Each
transition is a compare-and-set. Rows are never deleted, because a key that was forgotten could run
a second time, and because a row that starts again at version 1 would let an old transition match.
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
from catkinhook.durable.claimstates import (
    Claim,
    ClaimAcquired,
    ClaimInProgress,
    OpenClaim,
    State,
    StoredAnswer,
)
from catkinhook.durable.claimwriter import Commit, CommitResult
from catkinhook.errors import Effect, Ran, Refusal, StepError, StoreConflict, StoreError
from catkinhook.state.rowages import RowObserver, advance_age, is_age_step_due
from catkinhook.state.tables import (
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
WAIT_FIRST_S = 0.05
WAIT_LONGEST_S = 1.0
RETRY_AFTER_S = 1.0
FLUSH_INTERVAL_S = 0.5
# An operator's decision waits until a sender that checks ``Claim.send_by`` can no longer send.
SETTLE_WAIT_FACTOR = 2.0

_log = logging.getLogger(__name__)


class _Intent(enum.IntEnum):
    """What is still to be written for a claim; a higher one replaces a lower one."""

    LOST = 1
    RELEASE = 2
    ANSWER = 3


@attrs.frozen
class _Pending:
    claim: Claim
    intent: _Intent
    answer: Answer | None = None


class ClaimStore:
    """Claims as one gateway sees them; safe for use by many threads.

    :param commit: writes one transition, such as ``ClaimWriter.commit``.
    :param claim_timeout: seconds after which an unchanged ``claimed`` may be taken over.
    :param retention: seconds for which answers are kept.
    :param labels: stored with each claim for operators, such as the gateway's name.
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
        self._pending: dict[tuple[str, str], _Pending] = {}
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread that retries writes which the store did not take."""
        self._thread = threading.Thread(target=self._retry, name="claims", daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Try the remaining writes once more and stop."""
        self._stopped.set()
        if self._thread:
            self._thread.join()
        left = self.flush()
        if left:
            _log.error("claims closed with unwritten outcomes", extra={"count": left})

    def try_acquire(
        self, key: str, body_hash: str, labels: dict[str, str] | None = None
    ) -> Result[ClaimAcquired | StoredAnswer | ClaimInProgress, Refusal]:
        """Claim a key, or learn what became of it.

        :param key: from ``hash_key``.
        :param labels: shown to operators, such as service and caller.
        """
        for _ in range(TRANSITION_ATTEMPTS):
            found = self._table.read(TABLE, key)
            if found.is_err():
                # A repeat must not hear "not run" of a key that an earlier attempt ran.
                reason = (
                    "this attempt was not sent, but whether an earlier one with the same key ran "
                    f"can't be read: {found.unwrap_err().reason}"
                )
                return Err(_refuse("claim-unreadable", 503, Ran.UNKNOWN, reason, RETRY_AFTER_S))
            row = found.unwrap()
            decided = self._decide(row, body_hash)
            if decided is not None:
                return decided
            claim = Claim(
                key=key,
                body_hash=body_hash,
                claimant=make_nonce(),
                version=row.version if row else ABSENT,
                labels=self._labels | (labels or {}),
            )
            match self._write(claim, State.CLAIMED):
                case Ok(version):
                    return Ok(ClaimAcquired(attrs.evolve(claim, version=version)))
                case Err(StoreError() as error):
                    if error.effect is Effect.UNKNOWN:
                        self._keep(_Pending(claim, _Intent.RELEASE))
                    return Err(_refuse_store(error))
        return Ok(ClaimInProgress(State.CLAIMED))

    def acquire(
        self,
        key: str,
        body_hash: str,
        timeout: float,
        labels: dict[str, str] | None = None,
        sleep: Callable[[float], None] = time.sleep,
    ) -> Result[ClaimAcquired | StoredAnswer, Refusal]:
        """Begin, and wait while another attempt runs.

        :param timeout: seconds to wait for the other attempt.
        """
        limit = self._clock() + timeout
        pause = WAIT_FIRST_S
        while True:
            begun = self.try_acquire(key, body_hash, labels)
            if begun.is_err() or not isinstance(begun.unwrap(), ClaimInProgress):
                return begun
            left = limit - self._clock()
            if left <= 0:
                reason = "another attempt with this idempotency key has not ended"
                return Err(_refuse("still-running", 409, Ran.UNKNOWN, reason))
            sleep(min(pause, left))
            pause = min(2 * pause, WAIT_LONGEST_S)

    def mark_sent(self, claim: Claim) -> Result[Claim, Refusal]:
        """Record that the request is about to be sent.

        Only an ``Ok`` allows the request to be sent, and only until ``Claim.send_by``.
        """
        send_by = self._clock() + self._claim_timeout
        match self._write(claim, State.SENT):
            case Ok(version):
                return Ok(attrs.evolve(claim, version=version, send_by=send_by))
            case Err(StoreConflict()):
                reason = "another attempt took the claim over"
                return Err(_refuse("claim-taken-over", 409, Ran.UNKNOWN, reason))
            case Err(error):
                if error.effect is Effect.UNKNOWN:
                    self._keep(_Pending(claim, _Intent.RELEASE))
                return Err(_refuse_store(error))

    def may_send(self, claim: Claim) -> bool:
        """Return whether the request may be sent now; ask just before the first byte.

        A gateway that was paused since ``mark_sent`` must call ``release_not_run`` instead.
        """
        return self._clock() < claim.send_by

    def release_not_run(self, claim: Claim, retry: bool = False) -> Result[Claim, Refusal]:
        """Record that the endpoint did not run the request.

        :param retry: keep the claim for another endpoint; otherwise any attempt may take it at
            once.
        :returns: the claim, to be marked as sent again; an error when the store did not confirm,
            after which the claim is released in the background.
        """
        match self._write(claim, State.CLAIMED, released=not retry):
            case Ok(version):
                return Ok(attrs.evolve(claim, version=version, send_by=0.0))
            case Err(error):
                self._keep(_Pending(claim, _Intent.RELEASE))
                return Err(_refuse_store(error))

    def mark_lost(self, claim: Claim) -> None:
        """Record that no answer can be expected any more; repeats then learn so at once."""
        if self._write(claim, State.SENT, lost=True).is_err():
            self._keep(_Pending(claim, _Intent.LOST))

    def complete(self, claim: Claim, answer: Answer) -> Result[None, StepError]:
        """Store the answer of a request that ran, however late it is.

        :returns: an error when the store did not take it yet; it is then retried in the
            background, and the caller can have the answer meanwhile.
        """
        pending = _Pending(claim, _Intent.ANSWER, answer)
        stored = self._answers.put(claim.key, claim.claimant, answer)
        if stored.is_ok():
            value = {"answer": stored.unwrap()}
            written = self._write(claim, State.DONE, **value)
            if written.is_ok():
                return Ok(None)
            stored = written
        self._keep(pending)
        # A conflict is usual here: ``mark_lost`` or an operator changed the row before.
        if isinstance(stored.unwrap_err(), StoreConflict) and self._try_pending(pending):
            return Ok(None)
        return Err(stored.unwrap_err())

    def flush(self) -> int:
        """Retry the writes that the store did not take; returns how many remain."""
        with self._lock:
            pending = list(self._pending.values())
        for item in pending:
            self._try_pending(item)
        with self._lock:
            return len(self._pending)

    def list_open(self) -> Result[list[OpenClaim], StoreError]:
        """Return all claims in ``claimed`` or ``sent``."""
        rows = scan_all(self._table, TABLE)
        return rows.map(lambda found: [self._describe(row) for row in found if _is_open(row)])

    def settle(self, key: str, ran: bool, author: str) -> Result[None, Refusal]:
        """Record an operator's finding on a claim in ``sent``.

        :param ran: false allows the key to run again.
        """
        found = self._table.read(TABLE, key)
        if found.is_err():
            reason = found.unwrap_err().reason
            return Err(_refuse("not-settled", 503, Ran.UNKNOWN, reason, RETRY_AFTER_S))
        row = found.unwrap()
        if row is None or row.value["state"] != State.SENT:
            state = row.value["state"] if row else "absent"
            reason = f"the claim is {state}, and only a sent one can be settled"
            return Err(_refuse("not-open", 409, Ran.UNKNOWN, reason))
        left = self._claim_timeout * SETTLE_WAIT_FACTOR - self._observer.measure_unchanged(row)
        if left > 0:
            reason = f"its sender may still be at work; ask again in {left:.0f} s"
            return Err(_refuse("too-early", 409, Ran.UNKNOWN, reason, max(left, RETRY_AFTER_S)))
        state = State.SETTLED_RAN if ran else State.SETTLED_NOT_RUN
        value = row.value | {"state": state, "author": author, NONCE_KEY: make_nonce()}
        written = self._commit(Check(TABLE, key, row.version), Write(TABLE, key, value))
        if written.is_ok():
            return Ok(None)
        error = written.unwrap_err()
        return Err(_refuse("not-settled", 503, Ran.UNKNOWN, error.reason, RETRY_AFTER_S))

    def expire(self) -> Result[int, StoreError]:
        """Age the stored answers and drop those past their retention.

        The key itself stays, so that it never runs again.

        :returns: how many answers were dropped.
        """
        rows = scan_all(self._table, TABLE)
        return rows.map(lambda found: sum(self._age(row) for row in found if "answer" in row.value))

    def _decide(
        self, row: Row | None, body_hash: str
    ) -> Result[ClaimAcquired | StoredAnswer | ClaimInProgress, Refusal] | None:
        if row is None:
            return None
        if row.value["body_hash"] != body_hash:
            reason = "the idempotency key was used with another body"
            return Err(_refuse("key-reused", 422, Ran.NO, reason))
        return _DECIDE_BY_STATE[State(row.value["state"])](self, row)

    def _decide_claimed(self, row: Row) -> Result[ClaimInProgress, Refusal] | None:
        stale = self._observer.measure_unchanged(row) >= self._claim_timeout
        return None if row.value.get("released") or stale else Ok(ClaimInProgress(State.CLAIMED))

    def _decide_sent(self, row: Row) -> Result[ClaimInProgress, Refusal] | None:
        if row.value.get("lost"):
            reason = "the connection was lost after the request was sent"
            return Err(_refuse("outcome-unknown", 502, Ran.UNKNOWN, reason))
        return Ok(ClaimInProgress(State.SENT))

    def _decide_done(self, row: Row) -> Result[StoredAnswer, Refusal] | None:
        if "answer" not in row.value:
            reason = "the request ran and its answer is no longer stored"
            return Err(_refuse("answer-expired", 410, Ran.YES, reason))
        answer = self._answers.get(row.value["answer"])
        if answer.is_err():
            reason = f"the request ran and its answer can't be read: {answer.unwrap_err().reason}"
            return Err(_refuse("answer-unreadable", 503, Ran.YES, reason, RETRY_AFTER_S))
        return Ok(StoredAnswer(answer.unwrap()))

    def _decide_settled_ran(self, row: Row) -> Result[StoredAnswer, Refusal] | None:
        reason = "an operator found that the request ran; its answer is not known"
        return Err(_refuse("settled-ran", 409, Ran.YES, reason))

    def _decide_settled_not_run(self, row: Row) -> Result[StoredAnswer, Refusal] | None:
        return None

    def _write(self, claim: Claim, state: State, **extra: object) -> CommitResult:
        check = Check(TABLE, claim.key, claim.version)
        return self._commit(check, Write(TABLE, claim.key, _build_value(claim, state, **extra)))

    def _keep(self, pending: _Pending) -> None:
        key = (pending.claim.key, pending.claim.claimant)
        with self._lock:
            earlier = self._pending.get(key)
            if earlier is None or earlier.intent <= pending.intent:
                self._pending[key] = pending

    def _try_pending(self, pending: _Pending) -> bool:
        finished = self._finish_pending(pending)
        if finished:
            key = (pending.claim.key, pending.claim.claimant)
            with self._lock:
                if self._pending.get(key) is pending:
                    del self._pending[key]
        return finished

    def _finish_pending(self, pending: _Pending) -> bool:
        claim = pending.claim
        found = self._table.read(TABLE, claim.key)
        if found.is_err():
            return False
        row = found.unwrap()
        if row is None or row.value["claimant"] != claim.claimant:
            return self._give_up(pending)
        state = State(row.value["state"])
        if state not in _STATES_BY_INTENT[pending.intent]:
            return True
        claim = attrs.evolve(claim, version=row.version)
        if pending.intent is _Intent.ANSWER:
            stored = self._answers.put(claim.key, claim.claimant, pending.answer)
            return stored.is_ok() and (
                self._write(claim, State.DONE, answer=stored.unwrap()).is_ok()
            )
        if pending.intent is _Intent.RELEASE:
            # Written even over ``claimed``, so that a delayed copy of ``sent`` can't match later.
            return self._write(claim, State.CLAIMED, released=True).is_ok()
        return self._write(claim, State.SENT, lost=True).is_ok()

    def _give_up(self, pending: _Pending) -> bool:
        if pending.intent is _Intent.ANSWER:
            # Only possible after an operator settled a request that did run as not run.
            self.conflicting_outcomes += 1
            _log.error("answer to a claim that was settled and taken", extra=pending.claim.labels)
        return True

    def _describe(self, row: Row) -> OpenClaim:
        return OpenClaim(
            key=row.key,
            state=State(row.value["state"]),
            lost=bool(row.value.get("lost")),
            unchanged=self._observer.measure_unchanged(row),
            labels=row.value.get("labels", {}),
        )

    def _age(self, row: Row) -> int:
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

    def _retry(self) -> None:
        while not self._stopped.wait(FLUSH_INTERVAL_S):
            try:
                self.flush()
            except Exception:
                _log.exception("retry of unwritten claims failed")


_DECIDE_BY_STATE = {
    State.CLAIMED: ClaimStore._decide_claimed,
    State.SENT: ClaimStore._decide_sent,
    State.DONE: ClaimStore._decide_done,
    State.SETTLED_RAN: ClaimStore._decide_settled_ran,
    State.SETTLED_NOT_RUN: ClaimStore._decide_settled_not_run,
}

# States from which a pending write may still go ahead. An answer that arrives after a settlement
# is stored, since it proves that the request ran.
_STATES_BY_INTENT = {
    _Intent.LOST: {State.SENT},
    _Intent.RELEASE: {State.CLAIMED, State.SENT},
    _Intent.ANSWER: {State.SENT, State.SETTLED_RAN, State.SETTLED_NOT_RUN},
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


def _refuse(code: str, status: int, ran: Ran, reason: str, retry_after: float = 0.0) -> Refusal:
    return Refusal(STEP, "", reason, code, status, ran, retry_after)


def _refuse_store(error: StepError) -> Refusal:
    reason = f"the claim could not be written, so the request was not sent: {error.reason}"
    return Refusal(STEP, error.peer, reason, "store-unavailable", 503, Ran.NO, RETRY_AFTER_S)
