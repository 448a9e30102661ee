"""Quarantine: one request can crash only a bounded number of endpoints, over all gateways."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinhook.durable.quarantine import MAX_PROBES, QuarantineTable, State
from catkinhook.emulators.inmemory import MemoryTable
from catkinhook.requests.suspects import CRASHES_TO_QUARANTINE, PROBE_TTL_S, EventKind, Suspects

GATEWAYS = 8


class Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


class QuarantineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.table = MemoryTable()
        self.gateways = [QuarantineTable(self.table, self.clock) for _ in range(GATEWAYS)]

    def test_one_gateway_at_a_time_retries_a_suspect(self) -> None:
        """Guards against one crash per gateway when a caller repeats a request at each of them."""
        allowed = [
            gateway.begin_probe("f", f"chat/e{index}").is_ok()
            for index, gateway in enumerate(self.gateways)
        ]
        self.assertEqual(sum(allowed), 1)

    def test_naive_gossip_lets_each_gateway_retry(self) -> None:
        """Shows the failure that the table prevents: gateways retry unaware of others' probes."""
        crash = Suspects("origin").record(EventKind.CRASH, "f", "m", 0.0, "chat/e1", "boot")
        probes = 0
        for index in range(GATEWAYS):
            suspects = Suspects(f"gateway-{index}")
            suspects.merge([crash], 0.1)
            if not suspects.has_running_probe("f", 0.2):
                suspects.record(EventKind.PROBE, "f", "m", 0.2, f"chat/e{index}")
                probes += 1
        self.assertEqual(probes, GATEWAYS)

    def test_completion_allows_the_next_retry(self) -> None:
        self.gateways[0].begin_probe("f", "chat/e1").unwrap()
        self.gateways[0].record_state("f", State.CLEARED).unwrap()
        self.gateways[0].release_endpoint("f", "chat/e1").unwrap()
        self.assertTrue(self.gateways[1].begin_probe("f", "chat/e1").is_ok())

    def test_quarantine_persists_through_late_completions_and_restarts(self) -> None:
        self.gateways[0].begin_probe("f", "chat/e1").unwrap()
        self.gateways[0].record_state("f", State.QUARANTINED).unwrap()
        self.gateways[1].record_state("f", State.CLEARED).unwrap()
        restarted = QuarantineTable(self.table, self.clock)
        self.assertEqual(restarted.begin_probe("f", "chat/e1").unwrap_err().code, "quarantined")
        self.assertEqual(restarted.list_quarantined().unwrap(), {"f"})

    def test_one_suspect_at_a_time_on_an_endpoint(self) -> None:
        """Guards against quarantining a harmless suspect for a crash that another one caused."""
        first, second = self.gateways[:2]
        first.begin_probe("harmless", "chat/e1").unwrap()
        refusal = second.begin_probe("crashing", "chat/e1").unwrap_err()
        self.assertEqual((refusal.code, refusal.ran.value), ("suspect-waits", "no"))
        self.assertTrue(second.begin_probe("crashing", "chat/e2").is_ok())
        # The endpoint is reserved by another fingerprint, so this changes nothing.
        second.release_endpoint("crashing", "chat/e1").unwrap()
        self.assertTrue(second.begin_probe("third", "chat/e1").is_err())
        first.release_endpoint("harmless", "chat/e1").unwrap()
        self.assertTrue(second.begin_probe("third", "chat/e1").is_ok())

    def test_store_outage_allows_no_retry(self) -> None:
        self.table.faults.down = True
        refusal = self.gateways[0].begin_probe("f", "chat/e1").unwrap_err()
        self.assertEqual((refusal.status, refusal.ran.value), (503, "no"))

    @settings(max_examples=150)
    @given(st.integers(0, 2**32), st.integers(5, 60))
    def test_crashed_endpoints_are_bounded(self, seed: int, steps: int) -> None:
        """Guards against losses that grow with the number of gateways or of their crashes."""
        rng = random.Random(seed)
        clock, table = Clock(), MemoryTable()
        gateways = [QuarantineTable(table, clock) for _ in range(GATEWAYS)]
        # The first crash made the request a suspect.
        crashed_count = 1
        for _ in range(steps):
            index = rng.randrange(GATEWAYS)
            if gateways[index].begin_probe("f", f"chat/e{rng.randrange(4)}").is_ok():
                crashed_count += 1
                if rng.random() < 0.5:
                    # The gateway crashed before it recorded the result.
                    gateways[index] = QuarantineTable(table, clock)
                else:
                    gateways[index].record_state("f", State.QUARANTINED)
            clock.now += rng.choice([0.1, 5.0, PROBE_TTL_S / 2, PROBE_TTL_S])
        self.assertLessEqual(crashed_count, CRASHES_TO_QUARANTINE + MAX_PROBES)


if __name__ == "__main__":
    unittest.main()
