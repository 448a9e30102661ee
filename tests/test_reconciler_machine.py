"""State machine of reconcilers: no overcommitted memory, and the last copy stays, under faults."""

import unittest
from collections.abc import Iterator

import attrs
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from catkinhook.control.leases import Identity, Liveness, NodeRow
from catkinhook.control.ledger import (
    LOAD_KINDS,
    EndpointRow,
    Order,
    OrderKind,
    Resident,
    affected_models,
    memory_bound,
    reachable_models,
    resident_models,
)
from catkinhook.control.loadslots import Pacer
from catkinhook.control.reconciler import ENDPOINTS_TABLE, Reconciler, decode_rows
from catkinhook.control.reconciletasks import DesiredOrder, ReconcileTask, ServicePolicy
from catkinhook.emulators.inmemory import MemoryTable
from catkinhook.state.documents import WeightStore
from tests.control_fakes import MAX_DELAY, FakeEngine, FakeNetwork, VirtualClock

NODES = ("n1", "n2")
ADDRESSES = ("e1", "e2")
SIZES = {"a": Resident(30), "b": Resident(30), "c": Resident(50), "a/x": Resident(15)}
POLICY = ServicePolicy(
    max_delay=MAX_DELAY,
    adapter_share=2,
    store=WeightStore(loads_per_second=10.0, loads_at_once=6),
    required_by_model={"a": 1, "b": 1},
    size_by_item=SIZES,
)
DESIRED_ORDERS = [
    DesiredOrder(
        kind=kind, item=item, memory=SIZES[item].memory if kind in LOAD_KINDS else 0, urgent=True
    )
    for kind, items in {
        OrderKind.LOAD_MODEL: "abc",
        OrderKind.UNLOAD_MODEL: "abc",
        OrderKind.LOAD_ADAPTER: ["a/x"],
        OrderKind.UNLOAD_ADAPTER: ["a/x"],
    }.items()
    for item in items
] + [DesiredOrder(kind=OrderKind.SET_ROLE, item=role) for role in ("mixed", "decode")]
nodes, addresses = st.sampled_from(NODES), st.sampled_from(ADDRESSES)
UNLOAD_A = DesiredOrder(kind=OrderKind.UNLOAD_MODEL, item="a")
# Unloads of a model with two copies are drawn more often, because holders conflict most there.
desired = st.sampled_from([*DESIRED_ORDERS, UNLOAD_A, UNLOAD_A, None])


class LeaseOnlyReconciler:
    """Naive reconciler that relies on its lease and the last report, without a write-ahead log."""

    def __init__(self, endpoint, table, engines, pacer, clock, drain_limit=0.0) -> None:
        self._engines = engines
        self._count = 0

    def cycle(self, task: ReconcileTask) -> Iterator[None]:
        yield
        report = self._engines.report(task.address).unwrap_or(None)
        others = [self._engines.report(a).unwrap_or(None) for a in ADDRESSES if a != task.address]
        if not task.owned or report is None:
            return
        for desired in task.desired:
            used, reported = report.used + desired.memory, report.models | report.adapters
            if desired.kind in LOAD_KINDS and (desired.item in reported or used > report.memory):
                continue
            models = report.models if desired.kind is OrderKind.SET_ROLE else {desired.item}
            required_models = (
                models & POLICY.required_by_model.keys()
                if desired.kind not in LOAD_KINDS
                else set()
            )
            if any(not any(o and m in o.models for o in others) for m in required_models):
                continue
            self._count += 1
            order = Order(
                order_id=f"{id(self)}-{self._count}",
                kind=desired.kind,
                item=desired.item,
                memory=desired.memory,
                fencing=1,
                sender=task.identity.node,
                incarnation=task.identity.incarnation,
            )
            yield
            self._engines.send(task.address, [order])


class UnlimitedPacer(Pacer):
    """Pacer that allows every load immediately; test_slots covers pacing."""

    def request(self, store, endpoint, rank, now) -> bool:
        return rank is not None

    def allows(self, store, row, urgent, now) -> bool:
        return True


class ReconcilerMachine(RuleBasedStateMachine):
    """State machine in which any node may act as the holder of any endpoint at any time."""

    reconciler_class: type = Reconciler

    @initialize(checks_fencing=st.booleans())
    def begin(self, checks_fencing: bool) -> None:
        self.clock = VirtualClock()
        self.table = MemoryTable(sleep=lambda seconds: None)
        engines = {a: FakeEngine(checks_fencing=checks_fencing) for a in ADDRESSES}
        engines["e1"].resident = {"a": 30}
        engines["e2"].resident = {"a": 30, "b": 30}
        self.network = FakeNetwork(self.clock, engines)
        self.network.receive = self.receive
        self.policy = attrs.evolve(POLICY, checks_fencing=checks_fencing)
        self.node_rows = {node: NodeRow(node=node, incarnation=1) for node in NODES}
        self.ended_at = dict.fromkeys(NODES, 0.0)
        self.pacer = UnlimitedPacer()
        self.reconcilers = {}
        self.cycles: dict[tuple[str, str], Iterator[None]] = {}
        self.lost_models: dict[str, set[str]] = {a: set() for a in ADDRESSES}
        self.exempt_orders: set[str] = set()
        self.affected_by_order: dict[str, frozenset[str]] = {}
        self.known: dict[str, EndpointRow] = {}
        self.checked = None
        self.listed = {f"s/{address}": False for address in ADDRESSES}
        for address in ADDRESSES:
            self.run_cycles("n1", address, None, rounds=1)

    def rows(self) -> dict[str, EndpointRow]:
        entries = self.table.scan(ENDPOINTS_TABLE).unwrap()
        return {row.endpoint: row for row in decode_rows(entries)}

    def receive(self, address: str, order: Order):
        """Check at the start of a removal that another copy serves the model.

        A copy that was lost in a crash counts until a row shows the crash.
        """
        engine = self.network.engines[address]
        is_first_copy = order.order_id not in engine.progress
        answer = engine.receive(order)
        if (
            not is_first_copy
            or order.order_id not in engine.working
            or order.order_id in self.exempt_orders
        ):
            return answer
        removed = {order.item} if order.kind is OrderKind.UNLOAD_MODEL else set()
        if order.kind is OrderKind.SET_ROLE and order.item != engine.role:
            # Copies loaded while the order was open were never routable.
            removed = self.affected_by_order.get(order.order_id, frozenset(engine.resident))
        for model in removed & engine.resident.keys() & POLICY.required_by_model.keys():
            others = [a for a in ADDRESSES if a != address and self.serves(a, model)]
            assert others, f"{order.kind} {order.item} on {address} takes the last {model}"
        return answer

    def serves(self, address: str, model: str) -> bool:
        engine = self.network.engines[address]
        unloading = {o.item for o in engine.working.values() if o.kind is OrderKind.UNLOAD_MODEL}
        changing = any(
            o.kind is OrderKind.SET_ROLE and o.item != engine.role for o in engine.working.values()
        )
        is_resident = model in engine.resident and model not in unloading and not changing
        return is_resident or model in self.lost_models[address]

    def start_cycle(self, node, address, wanted, taking_over=True, owned=True, eject=False) -> None:
        key = (node, address)
        if key not in self.reconcilers:
            self.reconcilers[key] = self.reconciler_class(
                f"s/{address}", self.table, self.network, self.pacer, self.clock, 10.0
            )
        rows = dict(self.node_rows)
        live = {n: row for n, row in rows.items() if n == node or not taking_over}
        task = ReconcileTask(
            address=address,
            identity=Identity(node, rows[node].incarnation),
            liveness=Liveness(live, rows, dict(self.ended_at)),
            policy=self.policy,
            owned=owned,
            leaving_by_endpoint=self.listed,
            eject=eject,
            desired=wanted,
        )
        self.cycles[key] = self.reconcilers[key].cycle(task)

    @rule(
        node=nodes,
        address=addresses,
        request=desired,
        rounds=st.integers(1, 3),
        wait=st.sampled_from([0.5, 5.0, 31.0]),
        delivery=st.sampled_from([(1, True), (1, True), (1, False), (2, True), (2, False)]),
        completes_orders=st.booleans(),
        fault=st.sampled_from([None, None, None, "lose_answers", "lose_writes", "hold_writes"]),
        taking_over=st.booleans(),
    )
    def run_cycles(
        self,
        node,
        address,
        request,
        rounds=3,
        wait=5.0,
        delivery=(1, True),
        completes_orders=True,
        fault=None,
        taking_over=True,
    ) -> None:
        """Run cycles with one desired order.

        :param delivery: number of copies of each sent order, and whether one of them arrives.
        """
        if fault:
            setattr(self.table.faults, fault, 1)
        for _ in range(rounds):
            self.pause(node, address, request, 0, taking_over)
            self.network.copies, self.network.delivers_copy = delivery
            self.resume(node, address)
            self.network.copies, self.network.delivers_copy = 1, True
            if completes_orders:
                self.finish(address)
            self.network.advance(wait)

    @rule(node=nodes, address=addresses, request=desired, steps=st.integers(1, 6))
    def pause(
        self, node, address, request, steps, taking_over=True, owned=True, eject=False
    ) -> None:
        """Start a cycle and pause it before one of its calls."""
        if (node, address) not in self.cycles:
            wanted = [request] if request else []
            self.start_cycle(node, address, wanted, taking_over, owned, eject)
            self.resume(node, address, steps)

    @rule(request=desired, steps=st.integers(1, 6), wait=st.sampled_from([0.5, 5.0, 31.0]))
    def race(self, request, steps, wait=5.0) -> None:
        """Let the holders of different endpoints execute the same desired order concurrently."""
        pairs = list(zip(NODES, ADDRESSES, strict=True))
        for node, address in pairs:
            self.pause(node, address, request, steps)
        for node, address in pairs:
            self.resume(node, address)
        self.network.advance(wait)

    @rule(node=nodes, address=addresses, eject=st.booleans(), owned=st.booleans())
    def eject_or_release(self, node, address, eject, owned) -> None:
        self.pause(node, address, None, 99, owned=owned, eject=eject)

    @rule(node=nodes, address=addresses)
    def resume(self, node: str, address: str, steps: int = 99) -> None:
        running = self.cycles.get((node, address))
        for _ in range(steps if running else 0):
            ended = next(running, "ended") == "ended"
            self.check_rows()
            if ended:
                del self.cycles[(node, address)]
                return

    @rule(node=nodes)
    def restart_node(self, node: str) -> None:
        """Replace the incarnation; the orders that the old one sent stay in flight."""
        for key in [key for key in self.reconcilers if key[0] == node]:
            del self.reconcilers[key]
            self.cycles.pop(key, None)
        incarnation = self.node_rows[node].incarnation + 1
        self.node_rows[node] = NodeRow(node=node, incarnation=incarnation)
        self.ended_at[node] = self.clock()

    @rule(address=addresses, is_observed=st.booleans())
    def restart_engine(self, address: str, is_observed=True) -> None:
        """Restart an engine, optionally with a cycle that observes the restart.

        Copies in flight may arrive before or after a holder has observed it.
        """
        engine = self.network.engines[address]
        self.lost_models[address] |= {item for item in engine.resident if "/" not in item}
        engine.restart()
        if is_observed:
            self.run_cycles("n1", address, None, rounds=1, wait=0.5)

    @rule(address=addresses)
    def deliver_all(self, address: str) -> None:
        while any(message.address == address for message in self.network.in_flight):
            self.deliver(0)
        self.finish(address)

    @rule(address=addresses, leaving=st.booleans())
    def set_leaving(self, address: str, leaving: bool) -> None:
        self.network.engines[address].leaving = leaving

    def finish(self, address: str) -> None:
        engine = self.network.engines[address]
        for order_id in list(engine.working):
            engine.finish(order_id)

    @precondition(lambda self: self.network.in_flight)
    @rule(index=st.integers(0, 20), arrives=st.booleans())
    def deliver(self, index: int, arrives: bool = True) -> None:
        index %= len(self.network.in_flight)
        if arrives:
            self.network.deliver(index)
        else:
            self.network.in_flight.pop(index)

    @rule()
    def deliver_held_writes(self) -> None:
        self.table.apply_held_writes()
        self.checked = None

    @invariant()
    def check_rows(self) -> None:
        """Check the rows written since the last call, and record the crashes that they show."""
        if (self.table.writes, self.network.boots()) == self.checked:
            return
        self.checked = (self.table.writes, self.network.boots())
        rows = self.rows()
        for endpoint, row in rows.items():
            address = endpoint.partition("/")[2]
            before = self.known.get(endpoint)
            old_ids = {order.order_id for order in before.orders} if before else set()
            for order in row.orders:
                if order.order_id not in old_ids:
                    self.affected_by_order[order.order_id] = affected_models(row, order)
                    self.check_removal(rows, row, affected_models(row, order))
            if row.ejected and before and not before.ejected:
                self.check_removal(rows, row, resident_models(row))
            if (
                row.boot_id == f"boot-{self.network.engines[address].boot}"
                and self.lost_models[address]
            ):
                # Removals that were written before the crash was visible are exempt.
                self.exempt_orders |= {o.order_id for other in rows.values() for o in other.orders}
                self.lost_models[address].clear()
        self.known = rows

    def check_removal(self, rows: dict[str, EndpointRow], row: EndpointRow, models) -> None:
        for model in models & POLICY.required_by_model.keys():
            others = [r for e, r in rows.items() if e != row.endpoint]
            assert any(model in reachable_models(r) for r in others), f"takes the last {model}"

    @invariant()
    def check_memory(self) -> None:
        for address, engine in self.network.engines.items():
            assert engine.used <= engine.memory, f"{address} uses {engine.used}"

    @invariant()
    def check_rows_bound_engines(self) -> None:
        for endpoint, row in self.known.items():
            address = endpoint.partition("/")[2]
            engine = self.network.engines[address]
            assert memory_bound(row) >= engine.used, f"{address} uses more than its row says"
            if row.boot_id == f"boot-{engine.boot}":
                missing = [m for m in reachable_models(row) if m not in engine.resident]
                assert not missing, f"{missing} reachable by the row, not on {address}"


class LeaseOnlyMachine(ReconcilerMachine):
    reconciler_class = LeaseOnlyReconciler


SETTINGS = settings(max_examples=400, stateful_step_count=40)


class ReconcilerMachineTest(unittest.TestCase):
    def test_ledger_keeps_memory_and_copies(self) -> None:
        """Guards against overcommitted memory and removal of last copies under any faults."""
        run_state_machine_as_test(ReconcilerMachine, settings=SETTINGS)

    def test_lease_alone_fails(self) -> None:
        """Guards against a state machine that can't find the faults that the ledger prevents."""
        with self.assertRaises(AssertionError):
            run_state_machine_as_test(
                LeaseOnlyMachine, settings=settings(SETTINGS, phases=[Phase.generate])
            )


if __name__ == "__main__":
    unittest.main()
