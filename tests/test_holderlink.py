"""What a host believes of engines: the store's entries and the holder's word."""

import json
import unittest

import attrs

from catkinhook.control.holding import EXCHANGE_S
from catkinhook.peering.holderlink import HURRY_S, Overlay, choose_pause
from catkinhook.peering.hostmessages import Holding
from catkinhook.platform.records import decode_endpoint
from tests.platform_standin import FakeEndpoint


class OverlayTest(unittest.TestCase):
    """Entries with the holder's word on top."""

    def setUp(self) -> None:
        self.entry = {**FakeEndpoint("i-e", ("m1",)).entry("llm"), "sequence": 99}
        self.view = decode_endpoint("i-e", json.dumps(self.entry).encode()).unwrap()

    def make(self, boot_id: str) -> Holding:
        """Return a holding with another model."""
        return Holding(
            endpoint="i-e",
            boot_id=boot_id,
            sequence=3,
            models=frozenset(("m2",)),
            adapters=frozenset(("m2/a1",)),
        )

    def test_heartbeats_do_not_hide_the_holders_word(self) -> None:
        """Guards against a model that no host uses after its load.

        An entry counts heartbeats under the name that a report uses for orders; compared with each
        other, each entry looked newer than what the holder knew.
        """
        merged = Overlay().merge({"i-e": self.view}, [self.make("1")])
        self.assertEqual(merged["i-e"].models, {"m2"})
        self.assertEqual(merged["i-e"].adapters, {"m2/a1"})

    def test_restarted_engine_is_taken_from_its_entry(self) -> None:
        """Guards against requests for models that an engine lost at its restart."""
        merged = Overlay().merge({"i-e": self.view}, [self.make("0")])
        self.assertEqual(merged["i-e"].models, {"m1"})

    def test_unchanged_endpoint_is_not_merged_again(self) -> None:
        """Guards against work for all engines of a deployment at each exchange of each host."""
        overlay = Overlay()
        holding = self.make("1")
        first = overlay.merge({"i-e": self.view}, [holding])
        self.assertIs(overlay.merge({"i-e": self.view}, [holding])["i-e"], first["i-e"])
        changed = attrs.evolve(holding, models=frozenset(("m3",)))
        self.assertEqual(overlay.merge({"i-e": self.view}, [changed])["i-e"].models, {"m3"})
        self.assertEqual(overlay.merge({"i-e": self.view}, [])["i-e"].models, {"m1"})
        leaving = attrs.evolve(self.view, leaving=True)
        self.assertTrue(overlay.merge({"i-e": leaving}, [changed])["i-e"].leaving)

    def test_pause_follows_the_expected_time(self) -> None:
        """Guards against hosts that ask many times a second for what takes seconds."""
        missing = {("llm", "m1")}
        self.assertEqual(choose_pause(set(), {}), EXCHANGE_S)
        self.assertEqual(choose_pause(missing, {("llm", "m1"): 8.0}), EXCHANGE_S)
        self.assertLess(choose_pause(missing, {("llm", "m1"): 0.02}), 0.05)
        self.assertGreaterEqual(choose_pause(missing, {("llm", "m1"): 0.0}), HURRY_S)

    def test_exchanges_do_not_grow_with_the_hosts(self) -> None:
        """Guards against a holder that gets more reports than it can answer.

        With 75 hosts the holder was not heard for a second, and all hosts read its row instead:
        15,815 calls to the store in 50 s.
        """
        missing = {("llm", "m1")}
        for hosts in (16, 75, 300):
            self.assertLessEqual(hosts / choose_pause(set(), {}, hosts), 150.0)
            self.assertLessEqual(hosts / choose_pause(missing, {}, hosts), 250.0)


if __name__ == "__main__":
    unittest.main()
