"""Weight-store slots: rate, concurrency and priority across several controllers."""

import random
import unittest

import attrs

from catkinhook.control.leases import Identity, Liveness, NodeRow
from catkinhook.control.ledger import OrderKind, Resident
from catkinhook.control.loadslots import WEIGHTS_TABLE, Pacer, SlotRow, decode_slots
from catkinhook.control.reconciler import Reconciler
from catkinhook.control.reconciletasks import DesiredOrder, ReconcileTask, ServicePolicy
from catkinhook.emulators.inmemory import MemoryTable
from catkinhook.state.documents import WeightStore
from catkinhook.state.tableservice import Write
from tests.control_fakes import FakeEngine, FakeNetwork, VirtualClock

STORE = WeightStore(name="w", loads_per_second=2.0, loads_at_once=3)
NODES, MODELS, SEEDS = 3, 4, 20
LOAD_TIME_S = 2.5
MAX_SECONDS = 120.0


class SimulatedControllers:
    """Controllers with one endpoint each, stepped in random order with random pauses."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.table = MemoryTable(sleep=lambda seconds: None)
        self.engines = {f"e{n}": FakeEngine(memory=1000) for n in range(NODES)}
        self.network = FakeNetwork(self.clock, self.engines)
        self.started_at_by_order: dict[str, float] = {}
        self.acquisitions: list[float] = []
        self.cycles = [None] * NODES
        self.listed = [f"s/e{n}" for n in range(NODES)]
        self.offsets = [self.rng.uniform(0, 1000) for _ in range(NODES)]
        self.reconcilers = [
            Reconciler(f"s/e{n}", self.table, self.network, Pacer(), self.own_clock(n))
            for n in range(NODES)
        ]

    def own_clock(self, node: int):
        return lambda: self.clock.now + self.offsets[node]

    def make_task(self, node: int) -> ReconcileTask:
        models = [f"m{node}-{i}" for i in range(MODELS)]
        row = NodeRow(node=f"n{node}", incarnation=1)
        desired = [
            DesiredOrder(kind=OrderKind.LOAD_MODEL, item=m, memory=1, rank=i, urgent=i < 2)
            for i, m in enumerate(models)
        ]
        return ReconcileTask(
            address=f"e{node}",
            identity=Identity(f"n{node}", 1),
            liveness=Liveness({row.node: row}, {row.node: row}, {row.node: 0.0}),
            policy=ServicePolicy(
                max_delay=30.0, store=STORE, size_by_item=dict.fromkeys(models, Resident(1))
            ),
            leaving_by_endpoint=dict.fromkeys(self.listed, False),
            desired=desired,
        )

    def read_slots(self) -> SlotRow:
        row = self.table.read(WEIGHTS_TABLE, STORE.name).unwrap()
        return decode_slots(row.value if row else None)

    def step(self) -> None:
        """Advance one controller by one step of its cycle, and the clock by a random time."""
        node = self.rng.randrange(NODES)
        self.table.faults.lose_answers = int(self.rng.random() < 0.05)
        if self.cycles[node] is None:
            self.cycles[node] = self.reconcilers[node].cycle(self.make_task(node))
        if next(self.cycles[node], "ended") == "ended":
            self.cycles[node] = None
        self.table.faults.lose_answers = 0
        self.acquisitions += [self.clock.now] * (self.read_slots().taken - len(self.acquisitions))
        self.network.advance(self.rng.choice([0.0, 0.01, 0.02, 0.2]))
        for engine in self.engines.values():
            for order_id in list(engine.working):
                started_at = self.started_at_by_order.setdefault(order_id, self.clock.now)
                if self.clock.now - started_at >= LOAD_TIME_S:
                    engine.finish(order_id)

    def resident(self) -> int:
        return sum(len(engine.resident) for engine in self.engines.values())


class SlotsTest(unittest.TestCase):
    def test_limits_hold_over_all_controllers(self) -> None:
        """Guards against loads beyond the weight store's limits, and against leaked slots."""
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                controllers = SimulatedControllers(seed)
                while (
                    controllers.resident() < NODES * MODELS and controllers.clock.now < MAX_SECONDS
                ):
                    controllers.step()
                    self.assertLessEqual(
                        len(controllers.read_slots().endpoint_by_order), STORE.loads_at_once
                    )
                    loading = sum(len(engine.working) for engine in controllers.engines.values())
                    self.assertLessEqual(loading, STORE.loads_at_once)
                self.assertEqual(controllers.resident(), NODES * MODELS)
                intervals = [
                    b - a
                    for a, b in zip(
                        controllers.acquisitions, controllers.acquisitions[1:], strict=False
                    )
                ]
                self.assertGreaterEqual(min(intervals), 1 / STORE.loads_per_second)

    def test_slots_of_a_removed_endpoint_are_released(self) -> None:
        """Guards against blocked loads after engines are removed during their loads."""
        controllers = SimulatedControllers(1)
        orphaned = SlotRow(taken=7, endpoint_by_order={"1": "s/x", "2": "s/y", "3": "s/z"})
        controllers.table.commit([], [Write(WEIGHTS_TABLE, STORE.name, attrs.asdict(orphaned))])
        while controllers.resident() < NODES * MODELS and controllers.clock.now < MAX_SECONDS:
            controllers.step()
        self.assertEqual(controllers.resident(), NODES * MODELS)
        self.assertFalse(
            orphaned.endpoint_by_order.keys() & controllers.read_slots().endpoint_by_order
        )

    def test_urgent_loads_come_first(self) -> None:
        """Guards against a model without copies that is queued behind others."""
        pacer = Pacer()
        self.assertTrue(pacer.request("w", "later", 5, 0.0))
        self.assertTrue(pacer.request("w", "sooner", 1, 0.0))
        self.assertFalse(pacer.request("w", "later", 5, 0.0))
        full_but_one = SlotRow(taken=1, endpoint_by_order={"1": "a", "2": "b"})
        self.assertFalse(pacer.allows(STORE, full_but_one, True, 0.0))
        self.assertFalse(pacer.allows(STORE, full_but_one, False, 60.0))
        self.assertTrue(pacer.allows(STORE, full_but_one, True, 60.0))

    def test_request_of_a_hanging_worker_expires(self) -> None:
        """Guards against a hanging worker that blocks the loads of other endpoints."""
        pacer = Pacer()
        pacer.request("w", "stuck", 0, 0.0)
        self.assertFalse(pacer.request("w", "other", 1, 1.0))
        self.assertTrue(pacer.request("w", "other", 1, 4.0))


if __name__ == "__main__":
    unittest.main()
