"""Claims: a key is executed at most once, repeats get its answer, and no outcome is lost."""

import threading
import unittest
from collections import Counter

import attrs
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from result import Err, Ok

from catkinhook.durable.claimanswers import MAX_INLINE_BYTES, Answer, AnswerStore
from catkinhook.durable.claims import ClaimStore
from catkinhook.durable.claimtypes import (
    Claim,
    ClaimAcquired,
    ClaimInProgress,
    State,
    StoredAnswer,
    hash_key,
)
from catkinhook.durable.claimwriter import (
    ClaimWriter,
    ConditionalWrite,
    commit_group,
    make_single_commit,
)
from catkinhook.emulators.inmemory import MemoryObjectStore, MemoryTable, StoreFaults
from catkinhook.errors import Effect, Ran, StoreConflict
from catkinhook.state.tableservice import NONCE_KEY, Check, Write, make_nonce
from tests.interleaving import PausingStore, SteppedThread

CLAIM_TIMEOUT_S = 5.0
RETENTION_S = 1000.0
GATEWAYS = 8
KEYS = ["a", "b", "large"]
# Outcomes of one attempt:
# - "late answer": the answer arrives after the gateway has recorded it as lost;
# - "refused once": the endpoint refuses the request, and a retry executes it;
# - "not run": the gateway releases the claim without sending the request;
# - "lost after", "lost before": the connection is lost after or before the request is executed.
OUTCOMES = ["answer", "late answer", "refused once", "not run", "lost after", "lost before"]

# Most requests go through two gateways, so that attempts with the same key overlap.
GATEWAY_INDEX = st.one_of(st.integers(0, 1), st.integers(0, GATEWAYS - 1))
FAULT = st.sampled_from(["none"] * 6 + ["down", "lose_answers", "lose_writes", "hold_writes"])
FAULTS = st.one_of(
    st.lists(FAULT, max_size=12),
    st.builds(
        lambda before, fault, count: ["none"] * before + [fault] * count,
        st.integers(0, 5),
        FAULT,
        st.integers(1, 6),
    ),
)


def make_claim_store(table, objects, clock) -> ClaimStore:
    answers = AnswerStore(objects, "claims")
    return ClaimStore(
        table, answers, make_single_commit(table), CLAIM_TIMEOUT_S, RETENTION_S, clock
    )


def make_answer(key: str, text: str = "") -> Answer:
    padding = MAX_INLINE_BYTES * (key == "large")
    return Answer(status=200, headers={"X": key}, body=f"{key} {text}".encode() + b"." * padding)


class NaiveClaims:
    """Keeps claims in the memory of one gateway only, so that another gateway repeats a key."""

    def __init__(self, table, objects, clock) -> None:
        self._answer_by_key: dict[str, Answer | None] = {}

    def try_acquire(self, key, body_hash):
        if key not in self._answer_by_key:
            self._answer_by_key[key] = None
            claim = Claim(key=key, body_hash="", claimant="", version=0, labels={})
            return Ok(ClaimAcquired(claim))
        answer = self._answer_by_key[key]
        return Ok(StoredAnswer(answer) if answer else ClaimInProgress(State.SENT))

    def mark_sent(self, claim):
        return Ok(claim)

    def may_send(self, claim):
        return True

    def release_not_run(self, claim, retry=False):
        if not retry:
            del self._answer_by_key[claim.key]
        return Ok(claim)

    def mark_lost(self, claim):
        pass

    def complete(self, claim, answer):
        self._answer_by_key[claim.key] = answer
        return Ok(None)

    def flush(self):
        return 0


@attrs.define(eq=False)
class Gateway:
    claims: object
    workers: list[SteppedThread] = attrs.Factory(list)


class ClaimMachine(RuleBasedStateMachine):
    """Gateways that share one store; Hypothesis chooses their steps, crashes and pauses."""

    make_store = staticmethod(make_claim_store)

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.table, self.objects = MemoryTable(), MemoryObjectStore()
        self.gateways = [self.make_gateway() for _ in range(GATEWAYS)]
        self.runs: Counter[str] = Counter()
        self.answer_by_key: dict[str, Answer] = {}
        # Attempts between ``mark_sent`` and the outcome.
        self.unfinished_attempts: dict[str, int] = Counter()
        # Keys whose outcome may stay unknown.
        self.may_be_unknown: set[str] = set()

    def make_gateway(self) -> Gateway:
        table, objects = PausingStore(self.table), PausingStore(self.objects)
        return Gateway(self.make_store(table, objects, lambda: self.now))

    def serve(self, gateway: Gateway, key: str, outcome: str) -> None:
        was_executed = self.runs[key] > 0
        acquired = gateway.claims.try_acquire(key, "hash")
        match acquired:
            case Ok(StoredAnswer(answer)):
                assert answer == self.answer_by_key[key], "a repeat got a different answer"
            case Err(refusal):
                self.check_refusal(refusal, key, was_executed)
            case Ok(ClaimAcquired(claim)):
                self.execute_claim(gateway.claims, claim, outcome, was_executed)

    def check_refusal(self, refusal, key: str, was_executed: bool) -> None:
        if refusal.ran is Ran.NO:
            assert not was_executed, f"{refusal.code} reports an executed key as not executed"
        if refusal.ran is Ran.YES:
            assert self.runs[key], f"{refusal.code} reports a key as executed that was not"

    def execute_claim(self, claims, claim: Claim, outcome: str, was_executed: bool) -> None:
        key = claim.key
        self.unfinished_attempts[key] += 1
        sent = claims.mark_sent(claim)
        if sent.is_err():
            self.unfinished_attempts[key] -= 1
            self.check_refusal(sent.unwrap_err(), key, was_executed)
            return
        SteppedThread.pause()
        claim = sent.unwrap()
        if not claims.may_send(claim) or outcome == "not run":
            claims.release_not_run(claim)
            self.unfinished_attempts[key] -= 1
            return
        SteppedThread.pause()
        if outcome == "refused once":
            released = claims.release_not_run(claim, retry=True)
            self.unfinished_attempts[key] -= 1
            if released.is_ok():
                self.execute_claim(claims, released.unwrap(), "answer", was_executed)
            return
        self.send(claims, claim, outcome)
        self.unfinished_attempts[key] -= 1

    def send(self, claims, claim: Claim, outcome: str) -> None:
        key = claim.key
        if outcome != "lost before":
            self.runs[key] += 1
            self.answer_by_key[key] = make_answer(key, f"run {self.runs[key]}")
            assert self.runs[key] == 1, f"key {key} ran twice"
        SteppedThread.pause()
        if outcome.startswith("lost"):
            self.may_be_unknown.add(key)
        if outcome != "answer":
            claims.mark_lost(claim)
            SteppedThread.pause()
        if not outcome.startswith("lost"):
            claims.complete(claim, self.answer_by_key[key])

    @rule(
        index=GATEWAY_INDEX,
        key=st.sampled_from(KEYS),
        outcome=st.sampled_from(OUTCOMES),
        faults=FAULTS,
    )
    def start_request(self, index: int, key: str, outcome: str, faults: list[str]) -> None:
        gateway = self.gateways[index]
        gateway.workers.append(SteppedThread(lambda: self.serve(gateway, key, outcome)))
        self.step_worker(gateway.workers[-1], ["none", *faults])

    @rule(index=GATEWAY_INDEX, key=st.sampled_from(KEYS), outcome=st.sampled_from(OUTCOMES))
    def repeat_after_timeout(self, index: int, key: str, outcome: str) -> None:
        for _ in range(2):
            self.start_request(index, key, outcome, ["none"] * 30)
            self.now += CLAIM_TIMEOUT_S

    @rule(index=GATEWAY_INDEX, faults=FAULTS)
    def start_flush(self, index: int, faults: list[str]) -> None:
        gateway = self.gateways[index]
        gateway.workers.append(SteppedThread(gateway.claims.flush))
        self.step_worker(gateway.workers[-1], ["none", *faults])

    @rule(pick=st.integers(0, 1000), faults=FAULTS)
    def step_any_worker(self, pick: int, faults: list[str]) -> None:
        active = [w for gateway in self.gateways for w in gateway.workers if not w.finished]
        if active:
            self.step_worker(active[pick % len(active)], faults)

    def step_worker(self, worker: SteppedThread, faults: list[str]) -> None:
        """Run one store call of a worker for each fault, which affects only that call."""
        for fault in faults:
            before = self.table.faults, self.objects.faults
            if fault != "none":
                value = True if fault == "down" else 1
                self.table.faults = self.objects.faults = StoreFaults(**{fault: value})
            worker.step()
            self.table.faults, self.objects.faults = before

    @rule(index=GATEWAY_INDEX)
    def crash_gateway(self, index: int) -> None:
        for worker in self.gateways[index].workers:
            if not worker.finished:
                worker.kill()
        # Outcomes of requests in progress and of pending writes are lost with the gateway.
        self.may_be_unknown |= {key for key in KEYS if self.unfinished_attempts[key]}
        pending = getattr(self.gateways[index].claims, "_pending", {})
        self.may_be_unknown |= {item.claim.key for item in pending.values()}
        self.gateways[index] = self.make_gateway()

    # Binary fractions add up exactly. With steps of 0.1 s, a rounding error could leave the clock
    # slightly short of CLAIM_TIMEOUT_S.
    @rule(seconds=st.sampled_from([0.125, CLAIM_TIMEOUT_S, 3 * CLAIM_TIMEOUT_S]))
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @rule(down=st.booleans(), objects=st.booleans())
    def set_store_down(self, down: bool, objects: bool) -> None:
        (self.objects if objects else self.table).faults.down = down

    @rule()
    def apply_held_writes(self) -> None:
        self.table.apply_held_writes()
        self.objects.apply_held_writes()

    @invariant()
    def no_key_ran_twice(self) -> None:
        assert all(count <= 1 for count in self.runs.values())

    def teardown(self) -> None:
        self.table.faults, self.objects.faults = StoreFaults(), StoreFaults()
        try:
            self.finish_all_workers()
        finally:
            for gateway in self.gateways:
                for worker in gateway.workers:
                    if not worker.finished:
                        worker.kill()
        for key in KEYS:
            self.check_outcome(key)

    def finish_all_workers(self) -> None:
        for gateway in self.gateways:
            for worker in gateway.workers:
                while not worker.finished:
                    worker.step()
        for gateway in self.gateways:
            assert gateway.claims.flush() == 0, "a write is still pending although the store works"
        self.apply_held_writes()

    def check_outcome(self, key: str) -> None:
        row = self.table.read("claims", key).unwrap()
        state = row.value["state"] if row else "absent"
        if state == State.SENT:
            is_explained = key in self.may_be_unknown
            assert is_explained, f"the outcome of {key} is unknown without a fault that explains it"
        elif self.runs[key]:
            assert state == State.DONE, f"{key} was executed, but its state is {state}"
            replay = self.make_gateway().claims.try_acquire(key, "hash").unwrap()
            assert replay.answer == self.answer_by_key[key]
        else:
            is_free = state in ("absent", State.CLAIMED)
            assert is_free, f"{key} was not executed, but its state is {state}"
            claims = self.make_gateway().claims
            if not isinstance(claims.try_acquire(key, "hash").unwrap(), ClaimAcquired):
                self.now += CLAIM_TIMEOUT_S
                assert isinstance(claims.try_acquire(key, "hash").unwrap(), ClaimAcquired)


class NaiveMachine(ClaimMachine):
    make_store = NaiveClaims

    def check_outcome(self, key: str) -> None:
        """Accept any row, because the naive version writes none."""


class ClaimMachineTest(unittest.TestCase):
    def test_at_most_once_under_crashes_pauses_and_outages(self) -> None:
        limits = settings(max_examples=800, stateful_step_count=20)
        run_state_machine_as_test(ClaimMachine, settings=limits)

    def test_naive_version_fails(self) -> None:
        """Guards against a state machine that detects no violation."""
        limits = settings(
            max_examples=800,
            stateful_step_count=20,
            phases=[Phase.generate],
            report_multiple_bugs=False,
        )
        with self.assertRaisesRegex(AssertionError, "ran twice"):
            run_state_machine_as_test(NaiveMachine, settings=limits)


class ClaimsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.table, self.objects = MemoryTable(), MemoryObjectStore()
        self.claims = self.make_store()

    def make_store(self) -> ClaimStore:
        return make_claim_store(self.table, self.objects, lambda: self.now)

    def send(self, key: str) -> Claim:
        return self.claims.mark_sent(self.claims.try_acquire(key, "h").unwrap().claim).unwrap()

    def test_other_body_is_refused(self) -> None:
        self.send("k")
        refusal = self.claims.try_acquire("k", "other").unwrap_err()
        self.assertEqual((refusal.status, refusal.ran), (422, Ran.NO))

    def test_keys_of_different_callers_differ(self) -> None:
        """Guards against two callers that get the same claim key from different parts."""
        self.assertNotEqual(hash_key("s", "ab", "c"), hash_key("s", "a", "bc"))

    def test_lost_outcome_is_unknown_until_an_operator_settles_it(self) -> None:
        self.claims.mark_lost(self.send("k"))
        refusal = self.claims.try_acquire("k", "h").unwrap_err()
        self.assertEqual((refusal.status, refusal.ran), (502, Ran.UNKNOWN))
        operator = self.make_store()
        self.assertEqual([c.key for c in operator.list_open().unwrap()], ["k"])
        self.assertEqual(operator.settle("k", False, "op").unwrap_err().code, "too-early")
        self.now += 2 * CLAIM_TIMEOUT_S
        self.assertTrue(operator.settle("k", False, "op").is_ok())
        self.assertIsInstance(self.claims.try_acquire("k", "h").unwrap(), ClaimAcquired)

    def test_settled_as_run_never_runs_again(self) -> None:
        self.send("k")
        self.claims.settle("k", True, "op")
        self.now += 2 * CLAIM_TIMEOUT_S
        self.assertTrue(self.claims.settle("k", True, "op").is_ok())
        refusal = self.claims.try_acquire("k", "h").unwrap_err()
        self.assertEqual((refusal.status, refusal.ran), (409, Ran.YES))

    def test_answer_after_a_wrong_settlement(self) -> None:
        """Guards against a second execution, or a hidden one, after an operator's mistake."""
        for is_reacquired in (False, True):
            key = f"reacquired {is_reacquired}"
            claim = self.send(key)
            self.claims.settle(key, False, "op")
            self.now += 2 * CLAIM_TIMEOUT_S
            self.claims.settle(key, False, "op")
            if is_reacquired:
                self.make_store().try_acquire(key, "h").unwrap()
            self.claims.complete(claim, make_answer(key))
            self.assertEqual(self.claims.conflicting_outcomes, int(is_reacquired))
        self.assertEqual(
            self.claims.try_acquire("reacquired False", "h").unwrap().answer.status, 200
        )

    def test_wait_ends_with_the_answer_or_409(self) -> None:
        claim = self.send("k")

        def sleep(seconds: float) -> None:
            self.now += seconds

        refusal = self.claims.acquire("k", "h", 3.0, sleep=sleep).unwrap_err()
        self.assertEqual((refusal.status, refusal.ran), (409, Ran.UNKNOWN))

        def complete(seconds: float) -> None:
            self.claims.complete(claim, make_answer("k"))

        replay = self.claims.acquire("k", "h", 3.0, sleep=complete).unwrap()
        self.assertEqual(replay.answer, make_answer("k"))

    def test_unconfirmed_sent_is_released(self) -> None:
        """Guards against a key whose outcome stays unknown although its request was never sent.

        The delayed ``sent`` writes reach the store before or after the release.
        """
        for delivered_first in (True, False):
            key = f"delivered first {delivered_first}"
            claim = self.claims.try_acquire(key, "h").unwrap().claim
            self.table.faults.hold_writes = 3
            refusal = self.claims.mark_sent(claim).unwrap_err()
            self.assertEqual((refusal.status, refusal.ran), (503, Ran.NO))
            if delivered_first:
                self.table.apply_held_writes()
            self.assertEqual(self.claims.flush(), 0)
            self.table.apply_held_writes()
            self.assertIsInstance(self.make_store().try_acquire(key, "h").unwrap(), ClaimAcquired)

    def test_paused_sender_may_not_send(self) -> None:
        claim = self.send("k")
        self.assertTrue(self.claims.may_send(claim))
        self.now += CLAIM_TIMEOUT_S
        self.assertFalse(self.claims.may_send(claim))

    def test_expired_answer_keeps_the_key(self) -> None:
        """Guards against a key that is deleted with its answer and then executed again."""
        self.claims.complete(self.send("large"), make_answer("large"))
        for _ in range(20):
            self.now += RETENTION_S / 20
            self.make_store().expire()
        self.assertEqual(len(self.objects.list_keys()), 1)
        for _ in range(20):
            self.claims.expire()
            self.now += RETENTION_S / 16
        self.assertEqual(self.objects.list_keys(), [])
        self.assertEqual(self.claims.try_acquire("large", "h").unwrap_err().ran, Ran.YES)


def make_change(key: str, version: int = 0) -> ConditionalWrite:
    return ConditionalWrite(Check("t", key, version), Write("t", key, {NONCE_KEY: make_nonce()}))


class GroupCommitTest(unittest.TestCase):
    def test_conflict_does_not_affect_other_changes(self) -> None:
        table = MemoryTable()
        table.commit([], [Write("t", "b", {})])
        outcomes = commit_group(table, [make_change(key) for key in "abc"])
        self.assertEqual(outcomes["t", "a"], Ok(1))
        self.assertIsInstance(outcomes["t", "b"].unwrap_err(), StoreConflict)
        self.assertEqual(outcomes["t", "c"], Ok(1))

    def test_effect_is_read_back_after_a_lost_answer(self) -> None:
        table = MemoryTable()
        table.faults.lose_answers = 1
        outcomes = commit_group(table, [make_change(key) for key in "ab"])
        self.assertEqual(list(outcomes.values()), [Ok(1), Ok(1)])

    def test_outage_after_a_lost_answer_stays_unknown(self) -> None:
        """Guards against reporting "not written" after a lost answer when the retry fails."""

        class FailingTable(MemoryTable):
            def commit(self, checks, writes):
                result = super().commit(checks, writes)
                self.faults.down = True
                return result

        table = FailingTable()
        table.faults.lose_answers = 1
        outcome = commit_group(table, [make_change("a")])["t", "a"]
        self.assertIs(outcome.unwrap_err().effect, Effect.UNKNOWN)

    def test_threads_share_transactions_and_one_wins_each_key(self) -> None:
        """Guards against a transaction with two changes of one row, which would both succeed."""
        table = MemoryTable()
        table.faults.slow = 0.002
        table.faults.lose_answers = 3
        writer = ClaimWriter(table)
        writer.start()
        wins: list[str] = []

        def work() -> None:
            for number in range(20):
                if writer.commit(*attrs.astuple(make_change(str(number)), recurse=False)).is_ok():
                    wins.append(str(number))

        threads = [threading.Thread(target=work) for _ in range(16)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(20)
        writer.close()
        self.assertEqual(sorted(wins), sorted(str(number) for number in range(20)))
        self.assertLess(writer.groups_written, writer.changes_written / 2)
        self.assertTrue(writer.commit(*attrs.astuple(make_change("x"), recurse=False)).is_err())
