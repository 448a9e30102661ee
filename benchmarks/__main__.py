"""Print the benchmark: ``python -m benchmarks [--short]``."""

import argparse
import sys

from benchmarks import microbenchmarks
from benchmarks.resulttable import compare_with_naive, list_runs, render_comparisons, render_table
from benchmarks.scenarios import SCENARIO_BY_NAME, WORKERS, run_all

SEEDS = (1, 2, 3, 4, 5)
SHORT_SEEDS = (1,)
SHORT_SCENARIOS = ("burst", "tenfold shift", "slow endpoint", "crash", "crashing request")


def main(arguments: list[str]) -> int:
    """Run and print; return 1 when a target is not met."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks", description=__doc__)
    parser.add_argument("--short", action="store_true", help="one seed and five scenarios, for CI")
    parser.add_argument("--seeds", help="numbers separated by commas, such as 6,7,8")
    parser.add_argument("--workers", type=int, default=WORKERS, help="number of worker processes")
    options = parser.parse_args(arguments)
    seeds = SHORT_SEEDS if options.short else SEEDS
    if options.seeds:
        seeds = tuple(int(seed) for seed in options.seeds.split(","))
    scenarios = SHORT_SCENARIOS if options.short else tuple(SCENARIO_BY_NAME)
    results = run_all(list_runs(seeds, scenarios), options.workers)
    comparisons = compare_with_naive(results)
    print(f"seeds {', '.join(map(str, seeds))}; means over seeds, met requests per accelerator")
    print(render_table(results))
    print(render_comparisons(comparisons))
    pick_seconds, round_seconds = microbenchmarks.measure()
    fastest = min(pick_seconds.values())
    print("\nrouting decision, as a multiple of the cheapest:")
    print("  ".join(f"{count} candidates {s / fastest:.2f}" for count, s in pick_seconds.items()))
    print("placement round:")
    for (models, replicas), seconds in round_seconds.items():
        print(f"  {models} models on {replicas} replicas {seconds * 1000:.1f} ms")
    return 1 if any(comparison.shortfalls() for comparison in comparisons) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
