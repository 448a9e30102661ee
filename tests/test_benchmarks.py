"""The short benchmark meets its targets, and costs stay bounded as the size grows."""

import subprocess
import sys
import unittest

from benchmarks import hosts, microbenchmarks
from benchmarks.resulttable import Comparison
from benchmarks.scenarios import Run, run_one
from tests.runner import ROOT

SHORT_TIMEOUT_S = 120  # only catches a hang
PICK_RATIO_BOUND = 4.0  # for 100 times as many candidates
ROUND_SECONDS_BOUND = 0.7
ROUND_RATIO_BOUND = 27 * 20 / 2  # the product of models and replicas grows 533-fold


class ShortFormTest(unittest.TestCase):
    def test_all_targets_are_met(self) -> None:
        """Guards the targets for attainment, moves and reachability relative to naive policies."""
        command = [sys.executable, "-m", "benchmarks", "--short", "--workers", "4"]
        completed = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=SHORT_TIMEOUT_S, check=False
        )
        self.assertEqual(
            completed.returncode, 0, completed.stdout[-3000:] + completed.stderr[-3000:]
        )
        self.assertIn("all targets met", completed.stdout)

    def test_run_is_deterministic(self) -> None:
        """Guards against results that depend on hash order or the wall clock."""
        run = Run("jusoor", "crashing request", "catkinhook", 3)
        self.assertEqual(run_one(run), run_one(run))

    def test_memory_is_never_overcommitted_in_the_model(self) -> None:
        result = run_one(Run("kegyelet", "crash", "catkinhook", 2))
        self.assertEqual((result.overcommitted, result.unreachable), (0, set()))

    def test_shortfalls_name_each_missed_target(self) -> None:
        comparison = Comparison(
            deployment="jusoor",
            scenario="burst",
            seed=1,
            ratio_to_best=0.99,
            ratio_to_median=1.2,
            moves_ratio=0.4,
            unreachable=1,
        )
        self.assertEqual(len(comparison.shortfalls()), 4)


class CostTest(unittest.TestCase):
    def test_choice_does_not_grow_with_candidates(self) -> None:
        """Guards against an endpoint choice that scans every endpoint."""
        seconds = [microbenchmarks.measure_pick(count) for count in microbenchmarks.CANDIDATES]
        self.assertLess(max(seconds) / min(seconds), PICK_RATIO_BOUND)

    def test_placement_round_at_480_models(self) -> None:
        small, large = (
            microbenchmarks.measure_placement_round(*size)
            for size in microbenchmarks.PLACEMENT_SIZES
        )
        self.assertLess(large, ROUND_SECONDS_BOUND)
        self.assertLess(large / small, ROUND_RATIO_BOUND)


class HostPatternsTest(unittest.TestCase):
    """Load patterns of hosts, with the current and the baseline policy."""

    def compare_policies(self, name: str) -> tuple[hosts.RunCounts, hosts.RunCounts]:
        """Return the counts of the current and the baseline policy."""
        pattern = next(pattern for pattern in hosts.PATTERNS if pattern.name == name)
        current = hosts.run_pattern(pattern, (1, 2))
        with hosts.baseline_policy():
            return current, hosts.run_pattern(pattern, (1, 2))

    def test_lost_engine_of_a_hot_model(self) -> None:
        """Guards against all engines loading rare models when the engine of a hot model fails."""
        pattern = hosts.PATTERNS[0]
        current = [hosts.run_pattern(pattern, (seed,)).on_time for seed in hosts.SEEDS]
        with hosts.baseline_policy():
            baseline = [hosts.run_pattern(pattern, (seed,)).on_time for seed in hosts.SEEDS]
        # When an engine is idle anyway, keeping one free of rare models costs a little, so the
        # worst seeds are compared.
        self.assertGreater(min(current), 2 * min(baseline))
        self.assertGreater(sum(current), sum(baseline))

    def test_more_adapters_than_slots(self) -> None:
        """Guards against adapters of refused requests that evict each other in turn."""
        current, baseline = self.compare_policies("more adapters than slots")
        self.assertLess(current.orders, baseline.orders)

    def test_orders_without_answers(self) -> None:
        """Guards against callers that wait until a report settles a lost answer."""
        current, baseline = self.compare_policies("orders unanswered")
        self.assertLess(current.refusals, baseline.refusals)


if __name__ == "__main__":
    unittest.main()
