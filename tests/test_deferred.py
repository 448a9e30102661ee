"""Deferred requests: no accepted request is lost."""

import random
import threading
import time
import unittest
from functools import partial

import attrs
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test
from result import Err, Ok

from catkinhook.durable.claimanswers import Answer
from catkinhook.durable.deferred import (
    DONE_PREFIX,
    OPEN_PREFIX,
    TABLE,
    DeferredRequest,
    DeferredStore,
)
from catkinhook.durable.deferredworkers import DeferredWorkers
from catkinhook.emulators.inmemory import MemoryObjectStore, MemoryTable, StoreFaults
from catkinhook.errors import Ran
from catkinhook.state.tableservice import Write
from tests.interleaving import PausingStore, SteppedThread

LEASE_TIME_S = 15.0
RETENTION_S = 1600.0
GATEWAYS = 4
HANG_TIMEOUT_S = 20.0
REQUEST = DeferredRequest(
    service="s",
    caller="c",
    class_name="overnight",
    method="POST",
    path="/v1/completions",
    headers={},
    finish_within=3600.0,
)


def make_answer(body: bytes, run: int = 1) -> Answer:
    return Answer(status=200, headers={"Run": str(run)}, body=b"answer to " + body)


class NaiveDeferred(DeferredStore):
    """Deletes the row of a request when its execution starts."""

    def _acquire_lease(self, row):
        lease = super()._acquire_lease(row)
        if lease is not None:
            self._table.commit([], [Write(TABLE, OPEN_PREFIX + lease.request_id, None)])
        return lease

    def _store_answer(self, lease, answer):
        stored = self._answers.put(lease.request_id, lease.holder, answer)
        value = {"answer": stored.unwrap_or({}), "request": attrs.asdict(lease.request)}
        return self._table.commit([], [Write(TABLE, DONE_PREFIX + lease.request_id, value)])


@attrs.define(eq=False)
class Gateway:
    deferred: DeferredStore
    workers: list[SteppedThread] = attrs.Factory(list)


FAULT = st.sampled_from(["none", "none", "down", "lose_answers", "lose_writes", "hold_writes"])


def make_fault_lists(max_successes: int, counts: list[int]) -> st.SearchStrategy[list[str]]:
    return st.builds(
        lambda before, fault, count, after: ["none"] * before + [fault] * count + ["none"] * after,
        st.integers(0, max_successes),
        FAULT,
        st.sampled_from(counts),
        st.sampled_from([0, 8]),
    )


FAULTS = make_fault_lists(8, [1, 2, 3, 6])
ACCEPT_FAULTS = make_fault_lists(2, [1, 3, 7])
GATEWAY_INDEX = st.integers(0, GATEWAYS - 1)


class DeferredMachine(RuleBasedStateMachine):
    """Gateways that share one store; Hypothesis chooses their steps, crashes and pauses."""

    make_store = DeferredStore

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.table, self.objects = MemoryTable(), MemoryObjectStore()
        self.gateways = [self.make_gateway() for _ in range(GATEWAYS)]
        self.body_count = 0
        self.body_by_id: dict[str, bytes] = {}
        self.refused_bodies: set[bytes] = set()
        self.executed_bodies: list[bytes] = []
        self.answer_by_id: dict[str, Answer] = {}

    def make_gateway(self) -> Gateway:
        table, objects = PausingStore(self.table), PausingStore(self.objects)
        rng = random.Random(1)
        return Gateway(
            self.make_store(table, objects, LEASE_TIME_S, RETENTION_S, rng, lambda: self.now)
        )

    def accept(self, deferred: DeferredStore, body: bytes, repeat: bool) -> None:
        request_id = body.decode() if repeat else ""
        for _ in range(1 + repeat):
            match deferred.accept(REQUEST, body, request_id):
                case Ok(accepted_id):
                    self.body_by_id[accepted_id] = body
                case Err(refusal) if refusal.ran is Ran.NO and not repeat:
                    self.refused_bodies.add(body)

    def work(self, deferred: DeferredStore, limit: int, release: bool) -> None:
        for lease in deferred.acquire_leases(limit).unwrap_or([]):
            SteppedThread.pause()
            if release:
                deferred.release_lease(lease)
                continue
            self.executed_bodies.append(lease.body)
            answer = make_answer(lease.body, len(self.executed_bodies))
            SteppedThread.pause()
            deferred.complete(lease, answer)

    def start_worker(self, index: int, run, faults: list[str]) -> None:
        worker = SteppedThread(lambda: run(self.gateways[index].deferred))
        self.gateways[index].workers.append(worker)
        self.step_worker(worker, ["none", *faults])

    def step_worker(self, worker: SteppedThread, faults: list[str]) -> None:
        """Run one store call of a worker for each fault, which affects only that call."""
        for fault in faults:
            if fault != "none":
                value = True if fault == "down" else 1
                self.table.faults = self.objects.faults = StoreFaults(**{fault: value})
            worker.step()
            self.table.faults, self.objects.faults = StoreFaults(), StoreFaults()

    @rule(index=GATEWAY_INDEX, faults=ACCEPT_FAULTS, repeat=st.booleans())
    def start_accept(self, index: int, faults: list[str], repeat: bool) -> None:
        self.body_count += 1
        body = f"body{self.body_count}".encode()
        self.start_worker(index, lambda deferred: self.accept(deferred, body, repeat), faults)

    @rule(index=GATEWAY_INDEX, limit=st.integers(1, 3), release=st.booleans(), faults=FAULTS)
    def start_work(self, index: int, limit: int, release: bool, faults: list[str]) -> None:
        self.start_worker(index, lambda deferred: self.work(deferred, limit, release), faults)

    @rule(index=GATEWAY_INDEX, faults=FAULTS)
    def crash_while_working(self, index: int, faults: list[str]) -> None:
        self.start_accept(index, ["none"] * 8, False)
        self.start_work(index, 3, False, faults)
        self.stop(index, False)

    @rule(index=GATEWAY_INDEX, faults=FAULTS)
    def start_renewal(self, index: int, faults: list[str]) -> None:
        self.start_worker(index, lambda deferred: (deferred.flush(), deferred.renew_all()), faults)

    @rule(pick=st.integers(0, 1000), faults=FAULTS)
    def step_any_worker(self, pick: int, faults: list[str]) -> None:
        active = [w for gateway in self.gateways for w in gateway.workers if not w.finished]
        if active:
            self.step_worker(active[pick % len(active)], faults)

    @rule(index=GATEWAY_INDEX, planned=st.booleans())
    def stop(self, index: int, planned: bool) -> None:
        for worker in self.gateways[index].workers:
            if not worker.finished:
                worker.kill()
        if planned:
            self.gateways[index].deferred.release_all()
        self.gateways[index] = self.make_gateway()

    @rule(seconds=st.sampled_from([1.0, LEASE_TIME_S]))
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def apply_held_writes(self) -> None:
        self.table.apply_held_writes()
        self.objects.apply_held_writes()

    @rule()
    def read_answers(self) -> None:
        self.check_answers(may_be_pending=True)

    def check_answers(self, may_be_pending: bool) -> None:
        deferred = self.make_gateway().deferred
        for request_id, body in self.body_by_id.items():
            answer = deferred.find_answer(request_id, "c")
            assert answer.is_ok(), f"{request_id} was accepted and is lost: {answer}"
            if answer.unwrap() is None:
                assert may_be_pending, f"{request_id} was never executed"
            else:
                first = self.answer_by_id.setdefault(request_id, answer.unwrap())
                assert answer.unwrap() == first, "a second answer replaced the first"
                assert first.body == make_answer(body).body, "another request's answer"

    def teardown(self) -> None:
        try:
            for gateway in self.gateways:
                for worker in gateway.workers:
                    while not worker.finished:
                        worker.step()
                assert gateway.deferred.flush() == 0
        finally:
            for gateway in self.gateways:
                for worker in gateway.workers:
                    if not worker.finished:
                        worker.kill()
        self.apply_held_writes()
        deferred = self.make_gateway().deferred
        for _ in range(2):
            self.work(deferred, 1000, release=False)
            self.now += LEASE_TIME_S
        self.check_answers(may_be_pending=False)
        executed_after_refusal = self.refused_bodies & set(self.executed_bodies)
        assert not executed_after_refusal, "a request that was refused as not run was executed"


class NaiveMachine(DeferredMachine):
    make_store = NaiveDeferred


class DeferredMachineTest(unittest.TestCase):
    def test_accepted_requests_survive_crashes_and_outages(self) -> None:
        limits = settings(max_examples=400, stateful_step_count=20)
        run_state_machine_as_test(DeferredMachine, settings=limits)

    def test_naive_version_fails(self) -> None:
        """Guards against a state machine that detects no violation."""
        limits = settings(
            max_examples=400,
            stateful_step_count=20,
            phases=[Phase.generate],
            report_multiple_bugs=False,
        )
        with self.assertRaisesRegex(AssertionError, "accepted and is lost"):
            run_state_machine_as_test(NaiveMachine, settings=limits)


class DeferredTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.table, self.objects = MemoryTable(), MemoryObjectStore()
        self.first, self.second = self.make_store(), self.make_store()

    def make_store(self, lease_time: float = LEASE_TIME_S, clock=None, table=None) -> DeferredStore:
        clock = clock or (lambda: self.now)
        return DeferredStore(
            table or self.table, self.objects, lease_time, RETENTION_S, random.Random(1), clock
        )

    def test_object_store_outage_refuses_as_not_run(self) -> None:
        self.objects.faults.down = True
        refusal = self.first.accept(REQUEST, b"x").unwrap_err()
        self.assertEqual((refusal.status, refusal.ran), (503, Ran.NO))
        self.objects.faults.down = False
        self.assertEqual(self.second.acquire_leases(1).unwrap(), [])

    def test_unconfirmed_request_is_not_accepted(self) -> None:
        """Guards against reporting "accepted" or "not run" without the store's confirmation."""
        self.table.faults.lose_writes = 3
        refusal = self.first.accept(REQUEST, b"x", "id").unwrap_err()
        self.assertEqual((refusal.status, refusal.ran), (503, Ran.UNKNOWN))
        self.table.faults.lose_answers = 3
        self.assertEqual(self.first.accept(REQUEST, b"x", "id"), Ok("id"))
        self.assertEqual(self.second.accept(REQUEST, b"x", "id"), Ok("id"))
        self.assertEqual(self.second.accept(REQUEST, b"y", "id").unwrap_err().status, 422)
        self.assertEqual(len(self.second.acquire_leases(9).unwrap()), 1)

    def test_lease_is_exclusive_until_it_expires(self) -> None:
        self.first.accept(REQUEST, b"x")
        lease = self.first.acquire_leases(1).unwrap()[0]
        self.assertEqual(self.second.acquire_leases(1).unwrap(), [])
        self.now += LEASE_TIME_S - 1
        self.first.renew_all()
        self.assertEqual(self.second.acquire_leases(1).unwrap(), [])
        self.now += LEASE_TIME_S
        new_lease = self.second.acquire_leases(1).unwrap()[0]
        self.assertEqual((new_lease.attempts, new_lease.waited), (1, 2 * LEASE_TIME_S - 1))
        self.assertTrue(self.first.renew(lease).is_err())
        self.assertEqual(self.first.list_leases(), [])

    def test_first_of_two_answers_is_kept(self) -> None:
        """Guards against a second execution that replaces an answer a caller may have read."""
        request_id = self.first.accept(REQUEST, b"x").unwrap()
        gateways = [self.make_store(table=PausingStore(self.table)) for _ in range(2)]
        leases = gateways[0].acquire_leases(1).unwrap()
        gateways[1].acquire_leases(1)
        self.now += LEASE_TIME_S
        leases += gateways[1].acquire_leases(1).unwrap()
        workers = []
        for run, (gateway, lease) in enumerate(zip(gateways, leases, strict=True), 1):
            answer = make_answer(b"x", run)
            workers.append(SteppedThread(partial(gateway.complete, lease, answer)))
        # Both pause between reading the row and the transaction that completes the request.
        for worker in workers:
            worker.step()
            worker.step()
        for worker in workers:
            while not worker.finished:
                worker.step()
        self.assertEqual(self.first.find_answer(request_id, "c").unwrap(), make_answer(b"x", 1))

    def test_planned_stop_releases_leases_immediately(self) -> None:
        self.first.accept(REQUEST, b"x")
        self.first.acquire_leases(1)
        self.first.release_all()
        self.assertEqual([lease.body for lease in self.second.acquire_leases(1).unwrap()], [b"x"])

    def test_other_callers_do_not_find_a_request(self) -> None:
        """Guards against returning an answer to another caller."""
        request_id = self.first.accept(REQUEST, b"x").unwrap()
        lease = self.first.acquire_leases(1).unwrap()[0]
        self.first.complete(lease, make_answer(b"x"))
        self.assertEqual(self.second.find_answer(request_id, "other").unwrap_err().status, 404)
        self.assertEqual(self.second.find_answer(request_id, "c").unwrap(), make_answer(b"x"))

    def test_answer_is_kept_until_it_expires(self) -> None:
        request_id = self.first.accept(REQUEST, b"x").unwrap()
        self.first.complete(self.first.acquire_leases(1).unwrap()[0], make_answer(b"x" * 40_000))
        for _ in range(16):
            self.first.expire()
            self.assertTrue(self.first.find_answer(request_id, "c").is_ok())
            self.now += RETENTION_S / 16
        self.assertEqual(self.first.expire().unwrap(), 1)
        self.assertEqual(self.first.find_answer(request_id, "c").unwrap_err().status, 404)
        self.assertEqual(self.objects.list_keys(), [])

    def test_workers_execute_all_and_close_releases_leases(self) -> None:
        """Guards against requests that stay leased to a stopped gateway."""
        lease_time = 0.3
        release, stuck = threading.Event(), threading.Event()
        self.addCleanup(release.set)

        def run(lease):
            if lease.body == b"stuck":
                stuck.set()
                release.wait(HANG_TIMEOUT_S)
            return make_answer(lease.body)

        deferred = self.make_store(lease_time, time.monotonic)
        ids = [deferred.accept(REQUEST, b"%d" % n).unwrap() for n in range(20)]
        stuck_id = deferred.accept(REQUEST, b"stuck").unwrap()
        workers = DeferredWorkers(deferred, run, 4, lease_time, poll_interval=0.01)
        workers.start()
        self.assertTrue(stuck.wait(HANG_TIMEOUT_S))
        deadline = time.monotonic() + HANG_TIMEOUT_S
        while any(deferred.find_answer(request_id, "c").unwrap() is None for request_id in ids):
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.02)
        workers.drain(0.1)
        workers.close()
        self.assertIsNone(self.second.find_answer(stuck_id, "c").unwrap())
        self.assertEqual(
            [lease.body for lease in self.second.acquire_leases(9).unwrap()], [b"stuck"]
        )
