"""Fault sequences that the state machine rarely generates, and progress after faults."""

import unittest

import attrs

from catkinhook.control.ledger import OrderKind, reachable_models, resident_models
from catkinhook.control.tasks import DesiredOrder
from tests.control_fakes import MAX_DELAY
from tests.test_orders import SIZES, UNLOAD_A, ReconcilerMachine

# Steps of a cycle after which it has written a load but not yet sent it.
STEPS_BEFORE_SEND = 5
UNLOAD_B = attrs.evolve(UNLOAD_A, item="b")
TO_DECODE = DesiredOrder(kind=OrderKind.SET_ROLE, item="decode")


def load(item: str) -> DesiredOrder:
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

    def work(self, node: str, address: str, request: DesiredOrder | None, **options) -> None:
        self.machine.work(node, address, request, **options)
        self.check()

    def check(self) -> None:
        self.machine.check_rows()
        self.machine.memory_fits()
        self.machine.rows_bound_the_engines()

    def row(self, address: str):
        return self.machine.rows()[f"s/{address}"]

    def test_copy_after_a_restart(self) -> None:
        """Guards against a duplicate of a completed load that arrives at the next boot."""
        self.work("n1", "e1", load("b"), fate=(2, True), rounds=2, wait=0.5)
        self.machine.restart_engine("e1")
        self.work("n1", "e1", load("c"), wait=0.5)
        self.work("n1", "e1", load("a"), wait=0.5)
        self.machine.deliver_all("e1")
        self.check()

    def test_copies_of_unloaded_models_after_a_restart(self) -> None:
        """Guards against duplicates of loads that do not fit in memory together."""
        self.machine.restart_engine("e1")
        for request in (load("b"), load("a"), UNLOAD_B, load("c")):
            self.work("n1", "e1", request, fate=(2, True), wait=2.0)
        self.assertNotIn("c", self.e1.resident)
        self.machine.restart_engine("e1")
        self.machine.deliver_all("e1")
        self.check()

    def test_two_holders_unload_the_last_two_copies(self) -> None:
        """Guards against two unloads that each count the copy that the other removes."""
        for steps in range(1, 6):
            self.setUp()
            self.machine.race(UNLOAD_A, steps)
            self.work("n1", "e1", None)
            self.work("n2", "e2", None)
            copies = ["a" in self.e1.resident, "a" in self.e2.resident]
            self.assertIn(True, copies)

    def test_token_is_no_evidence_on_engines_that_ignore_it(self) -> None:
        """Guards against closing the order of a paused holder after a newer token was seen."""
        self.machine.pause("n1", "e1", load("c"), STEPS_BEFORE_SEND)
        for item in ("a/x", "b"):
            self.work("n2", "e1", load(item), wait=0.5)
        self.assertNotIn("b", self.e1.resident)
        self.machine.resume("n1", "e1")
        self.check()

    def test_absence_is_no_evidence_while_the_sender_is_paused(self) -> None:
        """Guards against closing an unload because a restart has already taken the model."""
        self.work("n1", "e1", load("b"))
        self.work("n1", "e2", UNLOAD_B, rounds=1)
        self.machine.pause("n1", "e2", None, 3)
        self.machine.restart_engine("e2", seeing=False)
        self.work("n2", "e2", load("b"), wait=31.0)
        self.work("n2", "e1", UNLOAD_B)
        self.machine.resume("n1", "e2")
        self.machine.finish("e2")
        self.assertIn("b", self.e1.resident.keys() | self.e2.resident.keys())

    def test_token_does_not_close_the_unload_of_a_paused_holder(self) -> None:
        """Guards against counting a copy whose unload may still arrive."""
        self.work("n1", "e1", load("b"))
        self.work("n1", "e2", UNLOAD_B, rounds=1)
        self.machine.pause("n1", "e2", None, 3)
        self.work("n2", "e2", load("a/x"))
        self.work("n2", "e1", UNLOAD_B)
        self.machine.resume("n1", "e2")
        self.machine.finish("e2")
        self.assertIn("b", self.e1.resident.keys() | self.e2.resident.keys())

    def test_copy_of_an_unload_after_a_restart(self) -> None:
        """Guards against a duplicate of a completed unload that removes a later load."""
        self.work("n1", "e1", UNLOAD_A, fate=(2, True))
        self.work("n1", "e1", None, rounds=1, wait=0.5)
        self.assertNotIn("a", self.row("e1").resident)
        self.machine.restart_engine("e1")
        self.work("n1", "e1", load("a"), wait=0.5)
        self.work("n2", "e2", UNLOAD_A, wait=2.0)
        self.machine.deliver_all("e1")
        self.assertIn("a", self.e1.resident.keys() | self.e2.resident.keys())

    def test_role_change_takes_all_copies(self) -> None:
        """Guards against counting copies on an endpoint whose role is changing."""
        self.work("n1", "e1", TO_DECODE, finishing=False)
        self.assertTrue(self.e1.working)
        self.work("n2", "e2", UNLOAD_A)
        self.assertIn("a", self.e2.resident)

    def test_ejected_endpoint_does_not_count(self) -> None:
        """Guards against ejecting an endpoint and unloading the only other copy."""
        self.machine.eject_or_release("n1", "e1", eject=True, owned=True)
        self.assertTrue(self.row("e1").ejected)
        self.machine.eject_or_release("n1", "e2", eject=True, owned=True)
        self.assertFalse(self.row("e2").ejected)
        self.work("n2", "e2", UNLOAD_A)
        self.assertIn("a", self.e2.resident)

    def test_unload_waits_for_running_requests(self) -> None:
        """Guards against an unload that aborts requests of the model."""
        self.e1.running = 1
        self.work("n1", "e1", UNLOAD_A, rounds=2, wait=4.0)
        self.assertIn("a", self.e1.resident)
        self.assertNotIn("a", reachable_models(self.row("e1")))
        self.e1.running = 0
        self.work("n1", "e1", None, wait=4.0)
        self.assertNotIn("a", resident_models(self.row("e1")))

    def test_lost_orders_are_sent_again(self) -> None:
        """Guards against a lost order that reserves memory until its delay has passed."""
        self.work("n1", "e1", load("b"), fate=(1, False), rounds=1, wait=0.5)
        self.work("n1", "e1", None, wait=0.5)
        self.assertIn("b", self.row("e1").resident)

    def test_dead_sender_holds_memory_only_for_the_delay(self) -> None:
        """Guards against an order that stays open after its sender's incarnation has ended."""
        self.machine.pause("n1", "e1", load("c"), STEPS_BEFORE_SEND)
        self.work("n2", "e1", load("b"), rounds=2, wait=MAX_DELAY)
        self.assertNotIn("b", self.e1.resident)
        self.machine.restart_node("n1")
        self.work("n2", "e1", load("b"), wait=MAX_DELAY)
        self.assertIn("b", self.e1.resident)

    def test_new_token_closes_orders_on_engines_that_check_it(self) -> None:
        """Guards against waiting for a stopped sender whose token the engine refuses."""
        self.begin(checks_fencing=True)
        self.machine.pause("n1", "e1", load("c"), STEPS_BEFORE_SEND)
        self.work("n2", "e1", load("b"), rounds=5, wait=1.0)
        self.assertEqual(self.row("e1").open_orders, ())
        self.machine.resume("n1", "e1")
        self.assertNotIn("c", self.e1.resident)

    def test_released_endpoint_is_taken_at_once(self) -> None:
        """Guards against a planned stop that leaves endpoints without a holder."""
        self.machine.eject_or_release("n1", "e1", eject=False, owned=False)
        self.assertEqual(self.row("e1").holder, "")
        self.work("n2", "e1", load("b"), wait=0.5, taking_over=False)
        self.assertEqual((self.row("e1").holder, self.row("e1").fencing), ("n2", 2))
        self.assertIn("b", self.e1.resident)

    def test_vanished_endpoint_does_not_count(self) -> None:
        """Guards against counting the row of an endpoint that was removed with its holder."""
        del self.machine.listed["s/e1"]
        self.work("n2", "e2", UNLOAD_A)
        self.assertIn("a", self.e2.resident)
        self.machine.eject_or_release("n1", "e1", eject=False, owned=False)
        self.assertFalse(self.row("e1").live)

    def test_silent_engine_is_not_live(self) -> None:
        """Guards against counting copies on an engine that no longer answers."""
        self.machine.network.silent.add("e1")
        self.work("n1", "e1", None, rounds=2, wait=4.0)
        self.assertFalse(self.row("e1").live)
        self.work("n2", "e2", UNLOAD_A)
        self.assertIn("a", self.e2.resident)


if __name__ == "__main__":
    unittest.main()
