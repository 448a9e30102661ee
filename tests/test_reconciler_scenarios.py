"""Reconciler: faults that its state machine rarely generates, and progress after faults."""

import unittest

import attrs

from catkinhook.control.ledger import OrderKind, reachable_models, resident_models
from catkinhook.control.reconciletasks import DesiredOrder
from tests.control_fakes import MAX_DELAY
from tests.test_reconciler_machine import SIZES, UNLOAD_A, ReconcilerMachine

# Steps of a cycle after which a load is written but not sent yet.
STEPS_BEFORE_SEND = 5
UNLOAD_B = attrs.evolve(UNLOAD_A, item="b")
SET_DECODE_ROLE = DesiredOrder(kind=OrderKind.SET_ROLE, item="decode")


def make_load(item: str) -> DesiredOrder:
    kind = OrderKind.LOAD_ADAPTER if "/" in item else OrderKind.LOAD_MODEL
    return DesiredOrder(kind=kind, item=item, memory=SIZES[item].memory, urgent=True)


class ScenarioTest(unittest.TestCase):
    """Engine e1 starts with model a, e2 with a and b; each has 100 bytes of memory."""

    def setUp(self) -> None:
        self.machine = ReconcilerMachine()
        self.begin(checks_fencing=False)

    def begin(self, checks_fencing: bool) -> None:
        self.machine.begin(checks_fencing)
        self.e1, self.e2 = self.machine.network.engines.values()

    def run_cycles(self, node: str, address: str, order: DesiredOrder | None, **options) -> None:
        self.machine.run_cycles(node, address, order, **options)
        self.check()

    def check(self) -> None:
        self.machine.check_rows()
        self.machine.check_memory()
        self.machine.check_rows_bound_engines()

    def row(self, address: str):
        return self.machine.rows()[f"s/{address}"]

    def test_duplicate_load_after_a_restart(self) -> None:
        """Guards against a duplicate of a completed load that arrives at the next boot."""
        self.run_cycles("n1", "e1", make_load("b"), delivery=(2, True), rounds=2, wait=0.5)
        self.machine.restart_engine("e1")
        self.run_cycles("n1", "e1", make_load("c"), wait=0.5)
        self.run_cycles("n1", "e1", make_load("a"), wait=0.5)
        self.machine.deliver_all("e1")
        self.check()

    def test_duplicate_loads_of_unloaded_models_after_a_restart(self) -> None:
        """Guards against duplicates of loads that do not fit in memory together."""
        self.machine.restart_engine("e1")
        for order in (make_load("b"), make_load("a"), UNLOAD_B, make_load("c")):
            self.run_cycles("n1", "e1", order, delivery=(2, True), wait=2.0)
        self.assertNotIn("c", self.e1.resident)
        self.machine.restart_engine("e1")
        self.machine.deliver_all("e1")
        self.check()

    def test_two_holders_unload_the_last_two_copies(self) -> None:
        """Guards against two unloads that each count the copy that the other removes."""
        for steps in range(1, 6):
            self.setUp()
            self.machine.race(UNLOAD_A, steps)
            self.run_cycles("n1", "e1", None)
            self.run_cycles("n2", "e2", None)
            copies = ["a" in self.e1.resident, "a" in self.e2.resident]
            self.assertIn(True, copies)

    def test_fencing_token_closes_no_order_on_engines_that_ignore_it(self) -> None:
        """Guards against closing the order of a paused holder because of a newer fencing token."""
        self.machine.pause("n1", "e1", make_load("c"), STEPS_BEFORE_SEND)
        for item in ("a/x", "b"):
            self.run_cycles("n2", "e1", make_load(item), wait=0.5)
        self.assertNotIn("b", self.e1.resident)
        self.machine.resume("n1", "e1")
        self.check()

    def test_missing_model_closes_no_unload_while_its_sender_is_paused(self) -> None:
        """Guards against closing an unload because the model is missing after a restart."""
        self.run_cycles("n1", "e1", make_load("b"))
        self.run_cycles("n1", "e2", UNLOAD_B, rounds=1)
        self.machine.pause("n1", "e2", None, 3)
        self.machine.restart_engine("e2", is_observed=False)
        self.run_cycles("n2", "e2", make_load("b"), wait=31.0)
        self.run_cycles("n2", "e1", UNLOAD_B)
        self.machine.resume("n1", "e2")
        self.machine.finish("e2")
        self.assertIn("b", self.e1.resident.keys() | self.e2.resident.keys())

    def test_fencing_token_does_not_close_the_unload_of_a_paused_holder(self) -> None:
        """Guards against counting a copy whose unload may still arrive."""
        self.run_cycles("n1", "e1", make_load("b"))
        self.run_cycles("n1", "e2", UNLOAD_B, rounds=1)
        self.machine.pause("n1", "e2", None, 3)
        self.run_cycles("n2", "e2", make_load("a/x"))
        self.run_cycles("n2", "e1", UNLOAD_B)
        self.machine.resume("n1", "e2")
        self.machine.finish("e2")
        self.assertIn("b", self.e1.resident.keys() | self.e2.resident.keys())

    def test_duplicate_unload_after_a_restart(self) -> None:
        """Guards against a duplicate of a completed unload that removes a later load."""
        self.run_cycles("n1", "e1", UNLOAD_A, delivery=(2, True))
        self.run_cycles("n1", "e1", None, rounds=1, wait=0.5)
        self.assertNotIn("a", self.row("e1").resident)
        self.machine.restart_engine("e1")
        self.run_cycles("n1", "e1", make_load("a"), wait=0.5)
        self.run_cycles("n2", "e2", UNLOAD_A, wait=2.0)
        self.machine.deliver_all("e1")
        self.assertIn("a", self.e1.resident.keys() | self.e2.resident.keys())

    def test_role_change_makes_all_copies_unreachable(self) -> None:
        """Guards against counting copies on an endpoint whose role is changing."""
        self.run_cycles("n1", "e1", SET_DECODE_ROLE, completes_orders=False)
        self.assertTrue(self.e1.working)
        self.run_cycles("n2", "e2", UNLOAD_A)
        self.assertIn("a", self.e2.resident)

    def test_ejected_endpoint_does_not_count(self) -> None:
        """Guards against ejecting an endpoint and unloading the only other copy."""
        self.machine.eject_or_release("n1", "e1", eject=True, owned=True)
        self.assertTrue(self.row("e1").ejected)
        self.machine.eject_or_release("n1", "e2", eject=True, owned=True)
        self.assertFalse(self.row("e2").ejected)
        self.run_cycles("n2", "e2", UNLOAD_A)
        self.assertIn("a", self.e2.resident)

    def test_unload_waits_for_running_requests(self) -> None:
        """Guards against an unload that aborts requests of the model."""
        self.e1.running = 1
        self.run_cycles("n1", "e1", UNLOAD_A, rounds=2, wait=4.0)
        self.assertIn("a", self.e1.resident)
        self.assertNotIn("a", reachable_models(self.row("e1")))
        self.e1.running = 0
        self.run_cycles("n1", "e1", None, wait=4.0)
        self.assertNotIn("a", resident_models(self.row("e1")))

    def test_lost_orders_are_resent(self) -> None:
        """Guards against a lost order that reserves memory until its delay has passed."""
        self.run_cycles("n1", "e1", make_load("b"), delivery=(1, False), rounds=1, wait=0.5)
        self.run_cycles("n1", "e1", None, wait=0.5)
        self.assertIn("b", self.row("e1").resident)

    def test_ended_sender_reserves_memory_only_for_the_message_delay(self) -> None:
        """Guards against an order that stays open after its sender's incarnation has ended."""
        self.machine.pause("n1", "e1", make_load("c"), STEPS_BEFORE_SEND)
        self.run_cycles("n2", "e1", make_load("b"), rounds=2, wait=MAX_DELAY)
        self.assertNotIn("b", self.e1.resident)
        self.machine.restart_node("n1")
        self.run_cycles("n2", "e1", make_load("b"), wait=MAX_DELAY)
        self.assertIn("b", self.e1.resident)

    def test_newer_fencing_token_closes_orders_on_engines_that_check_it(self) -> None:
        """Guards against waiting for a stopped sender whose token the engine refuses."""
        self.begin(checks_fencing=True)
        self.machine.pause("n1", "e1", make_load("c"), STEPS_BEFORE_SEND)
        self.run_cycles("n2", "e1", make_load("b"), rounds=5, wait=1.0)
        self.assertEqual(self.row("e1").open_orders, ())
        self.machine.resume("n1", "e1")
        self.assertNotIn("c", self.e1.resident)

    def test_released_endpoint_is_taken_over_immediately(self) -> None:
        """Guards against endpoints without a holder after a planned stop."""
        self.machine.eject_or_release("n1", "e1", eject=False, owned=False)
        self.assertEqual(self.row("e1").holder, "")
        self.run_cycles("n2", "e1", make_load("b"), wait=0.5, taking_over=False)
        self.assertEqual((self.row("e1").holder, self.row("e1").fencing), ("n2", 2))
        self.assertIn("b", self.e1.resident)

    def test_removed_endpoint_does_not_count(self) -> None:
        """Guards against counting the row of an endpoint that was removed with its holder."""
        del self.machine.listed["s/e1"]
        self.run_cycles("n2", "e2", UNLOAD_A)
        self.assertIn("a", self.e2.resident)
        self.machine.eject_or_release("n1", "e1", eject=False, owned=False)
        self.assertFalse(self.row("e1").live)

    def test_unresponsive_engine_is_not_live(self) -> None:
        """Guards against counting copies on an engine that no longer answers."""
        self.machine.network.silent.add("e1")
        self.run_cycles("n1", "e1", None, rounds=2, wait=4.0)
        self.assertFalse(self.row("e1").live)
        self.run_cycles("n2", "e2", UNLOAD_A)
        self.assertIn("a", self.e2.resident)


if __name__ == "__main__":
    unittest.main()
