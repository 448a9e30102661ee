"""Endpoint views and desired orders of the fleet, rolling updates, and the control loop."""

import time
import unittest
from collections.abc import Callable

import attrs

from catkinhook.control.engineapi import HttpEngineApi
from catkinhook.control.fleet import Fleet, Observation
from catkinhook.control.leases import Heartbeat, NodeRow
from catkinhook.control.ledger import EndpointRow, Order, OrderKind, Report, Resident
from catkinhook.control.placement import Planner
from catkinhook.control.workers import ControlLoop, Intervals
from catkinhook.emulators.engine import Engine, EngineSettings
from catkinhook.emulators.inmemory import MemoryHostList, MemoryTable
from catkinhook.state.documents import (
    Adapter,
    Document,
    Endpoints,
    Model,
    WeightStore,
    build_catalog,
)
from catkinhook.state.hostlist import Host
from tests.control_fakes import VirtualClock

GIB = 1 << 30
FULL = 80 * GIB
MODELS = [
    Model(
        name=name,
        memory=30 * GIB,
        version="2",
        max_copies=1,
        adapters=[Adapter(name="x", memory=GIB)],
    )
    for name in ("a", "b", "c")
]


def make_document(models: list[Model]) -> Document:
    store = WeightStore(loads_per_second=5.0)
    return Document(service="s", owner="o", endpoints=Endpoints(weight_store=store), models=models)


def make_host(name: str, leaving: bool = False, address: str = "127.0.0.1:1") -> Host:
    return Host(name, address, "s", "z", leaving)


def make_row(name: str, version_by_model: dict[str, str], orders: tuple = ()) -> EndpointRow:
    resident = {m: Resident(30 * GIB, v) for m, v in version_by_model.items()}
    return EndpointRow(
        endpoint=f"s/{name}",
        memory=FULL,
        holder="n",
        incarnation=1,
        boot_id="b",
        resident=resident,
        orders=orders,
    )


def make_order(kind: OrderKind, item: str) -> Order:
    return Order(
        order_id=item, kind=kind, item=item, memory=30 * GIB, fencing=1, sender="n", incarnation=1
    )


class FleetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.fleet = Fleet(self.clock, Planner())
        self.fleet.set_catalog(build_catalog(1, [make_document(MODELS[:1])]))

    def record_observation(self, row: EndpointRow, models: set[str], **report_fields) -> None:
        name = row.endpoint.partition("/")[2]
        default_report = Report(
            boot_id="b", taken_at=self.clock(), models=frozenset(models), memory=FULL
        )
        self.fleet.set_hosts([*self.fleet.hosts().values(), make_host(name)])
        self.fleet.observe(
            Observation(
                endpoint=row.endpoint, row=row, report=attrs.evolve(default_report, **report_fields)
            )
        )

    def desired(self, name: str) -> list[tuple[str, str]]:
        return [(order.kind.value, order.item) for order in self.fleet.desired_orders(f"s/{name}")]

    def test_open_unload_ends_routing(self) -> None:
        """Guards against new requests for a model that is about to be unloaded."""
        self.record_observation(
            make_row("e", {"a": "2"}, (make_order(OrderKind.UNLOAD_MODEL, "a"),)), {"a"}
        )
        self.assertEqual(self.fleet.views()["s/e"].models, frozenset())

    def test_restarted_engine_is_not_routable(self) -> None:
        """Guards against routing by a row that does not reflect the restart yet."""
        self.record_observation(make_row("e", {"a": "2"}), {"a"})
        self.assertEqual(self.fleet.views()["s/e"].models, {"a"})
        self.record_observation(make_row("e", {"a": "2"}), set(), boot_id="b2")
        self.assertEqual(self.fleet.views()["s/e"].models, frozenset())

    def test_host_list_or_report_marks_an_endpoint_as_leaving(self) -> None:
        """Guards against new requests to a leaving endpoint while one of the two sources lags."""
        self.record_observation(make_row("e", {"a": "2"}), {"a"}, leaving=True)
        self.assertTrue(self.fleet.views()["s/e"].leaving)
        self.record_observation(make_row("e", {"a": "2"}), {"a"})
        self.assertFalse(self.fleet.views()["s/e"].leaving)
        self.fleet.set_hosts([make_host("e", leaving=True)])
        self.assertTrue(self.fleet.views()["s/e"].leaving)

    def test_unlisted_host_is_removed_after_a_delay(self) -> None:
        """Guards against keeping a removed host, and against removal after one partial list."""
        self.record_observation(make_row("e", {"a": "2"}), {"a"})
        self.fleet.set_hosts([])
        self.assertIn("s/e", self.fleet.views())
        self.clock.now += 4.0
        self.fleet.set_hosts([])
        self.assertEqual(self.fleet.views(), {})

    def test_host_list_alone_lags_for_a_leaving_endpoint(self) -> None:
        """Shows that only the report marks the endpoint as leaving while the host list lags."""
        listed = make_host("e")
        self.record_observation(make_row("e", {"a": "2"}), {"a"}, leaving=True)
        self.assertFalse(listed.leaving)
        self.assertTrue(self.fleet.views()["s/e"].leaving)

    def test_leaving_endpoint_is_replaced(self) -> None:
        """Guards against a model that becomes unreachable with its endpoint."""
        self.record_observation(make_row("e", {"a": "2"}), {"a"})
        self.record_observation(make_row("f", {}), set())
        self.fleet.plan({})
        self.assertEqual(self.desired("f"), [])
        self.record_observation(
            attrs.evolve(make_row("e", {"a": "2"}), live=False), {"a"}, leaving=True
        )
        self.fleet.plan({})
        self.assertEqual(self.desired("f"), [("load_model", "a")])

    def test_new_version_is_resident_before_the_old_one_is_unloaded(self) -> None:
        """Guards against an update that unloads the old version first, or never."""
        load = make_order(OrderKind.LOAD_MODEL, "a")
        stages = [({}, (), "f", ("load_model", "a")), ({}, (load,), "f", None)]
        stages += [({"a": "2"}, (), "e", ("unload_model", "a"))]
        for resident, orders, expected_endpoint, expected_order in stages:
            with self.subTest(resident=resident, orders=orders):
                self.record_observation(make_row("e", {"a": "1"}), {"a"})
                self.record_observation(make_row("f", resident, orders), set(resident))
                self.fleet.plan({})
                all_desired = self.desired("e") + self.desired("f")
                self.assertEqual(all_desired, [expected_order] if expected_order else [])
                self.assertEqual(self.desired(expected_endpoint), all_desired)


class ControlLoopTest(unittest.TestCase):
    """A control loop with emulated engines on loopback.

    The wall-clock timeouts are only reached if the code hangs.
    """

    def setUp(self) -> None:
        self.table, self.hosts = MemoryTable(), MemoryHostList()
        self.http = HttpEngineApi(1.0, time.monotonic)
        self.engines = [Engine(EngineSettings(lag=0.05)) for _ in range(2)]
        for index, engine in enumerate(self.engines):
            engine.start()
            self.addCleanup(engine.close)
            self.hosts.put_host(make_host(f"e{index}", address=engine.address))
        self.addCleanup(self.http.close)

    def start_control_loop(self, node: str, forward: Callable = lambda *call: False) -> ControlLoop:
        template = NodeRow(node=node, incarnation=0, address=node)
        heartbeat = Heartbeat(self.table, template, 0.2, 2.0, time.monotonic)
        control_loop = ControlLoop(
            node=node,
            table=self.table,
            engines=self.http,
            host_list=self.hosts,
            heartbeat=heartbeat,
            clock=time.monotonic,
            demand=dict,
            forward=forward,
            intervals=Intervals(hosts=0.1, report=0.05, plan=0.1),
            drain_limit=1.0,
        )
        for service in (heartbeat, control_loop):
            service.start()
            self.addCleanup(service.close)
        control_loop.set_catalog(build_catalog(1, [make_document(MODELS)]))
        return control_loop

    def wait(self, condition: Callable[[], bool]) -> None:
        deadline = time.monotonic() + 30.0
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.02)

    def models(self, control_loop: ControlLoop) -> set[str]:
        return {m for view in control_loop.views.values() for m in view.models}

    def test_models_and_adapters_are_loaded_by_their_holders(self) -> None:
        """Guards against a model or adapter that no controller loads."""
        forwarded: list[str] = []
        controllers: dict[str, ControlLoop] = {}

        def forward(address: str, model: str, adapter: str) -> bool:
            forwarded.append(address)
            return controllers[address].request_adapter(model, adapter)

        for node in ("n1", "n2"):
            controllers[node] = self.start_control_loop(node, forward)
        first = controllers["n1"]
        self.wait(lambda: self.models(first) == {"a", "b", "c"})
        for name in "abc":
            self.assertTrue(first.request_adapter(name, "x"))
        self.assertFalse(first.request_adapter("a", "unknown"))
        items = {"a/x", "b/x", "c/x"}
        self.wait(lambda: {i for v in first.views.values() for i in v.adapters} == items)
        self.assertEqual(set(forwarded) - {"n2"}, set())

    def test_unresponsive_engine_does_not_delay_others(self) -> None:
        """Guards against an unresponsive engine that delays loads on other engines."""
        self.engines[0].faults.paused = True
        control_loop = self.start_control_loop("n1")
        self.wait(lambda: len(self.models(control_loop)) == 2)
        self.assertEqual(control_loop.views["s/e0"].models, frozenset())

    def test_other_controller_takes_over_after_a_stop(self) -> None:
        """Guards against endpoints without a holder after a planned stop."""
        first, second = self.start_control_loop("n1"), self.start_control_loop("n2")
        self.wait(lambda: self.models(second) == {"a", "b", "c"})
        first.close()
        first.heartbeat.close()
        rows = lambda: self.table.scan("endpoints").unwrap()  # noqa: E731
        self.wait(lambda: {row.value["holder"] for row in rows()} == {"n2"})


if __name__ == "__main__":
    unittest.main()
