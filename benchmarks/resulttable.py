"""Result table and targets of the benchmark."""

import statistics
from collections.abc import Iterable

import attrs

from benchmarks.policies import NAIVE_BY_NAME, POLICY_BY_NAME
from benchmarks.scenarios import DEPLOYMENT_BY_NAME, SCENARIO_BY_NAME, Run
from benchmarks.simulation import Result

CATKINHOOK_POLICY = "catkinhook"
ON_DEMAND_POLICY = "load on demand"
MEDIAN_TARGET_SCENARIOS = ("burst", "tenfold shift", "slow endpoint")
MEDIAN_TARGET = 1.3
MOVES_TARGET = 1 / 3

COLUMNS = (
    f"{'policy':<15}{'met/acc':>8}{'spread':>12}{'live':>7}{'night':>7}{'share':>7}"
    f"{'moves':>7}{'refused':>9}{'retries':>9}{'p95 ttft':>10}{'lost':>6}{'unreach':>9}"
)


@attrs.frozen(kw_only=True)
class Comparison:
    """Catkinhook against the naive policies, for one deployment, scenario and seed.

    :ivar ratio_to_best: attainment per accelerator as a multiple of the best naive policy.
    :ivar ratio_to_median: the same for the median naive policy.
    :ivar moves_ratio: moves as a share of those of load on demand.
    :ivar unreachable: models that had no copy at some time.
    """

    deployment: str
    scenario: str
    seed: int
    ratio_to_best: float
    ratio_to_median: float
    moves_ratio: float
    unreachable: int

    def shortfalls(self) -> list[str]:
        """Return the targets that are not met."""
        missed = []
        if self.ratio_to_best < 1.0:
            missed.append(f"{self.ratio_to_best:.3f} times the best naive policy, target 1")
        if self.scenario in MEDIAN_TARGET_SCENARIOS and self.ratio_to_median < MEDIAN_TARGET:
            missed.append(f"{self.ratio_to_median:.2f} times the median naive policy, target 1.3")
        if self.moves_ratio > MOVES_TARGET:
            missed.append(f"{self.moves_ratio:.2f} of the moves of load on demand, target 0.33")
        if self.unreachable:
            missed.append(f"{self.unreachable} models unreachable, target 0")
        return missed


def list_runs(seeds: Iterable[int], scenarios: Iterable[str]) -> list[Run]:
    """Return the runs of all policies, scenario by scenario."""
    return [
        Run(deployment, scenario, policy, seed)
        for deployment in DEPLOYMENT_BY_NAME
        for scenario in scenarios
        for policy in POLICY_BY_NAME
        for seed in seeds
    ]


def compare_with_naive(results: dict[Run, Result]) -> list[Comparison]:
    """Compare catkinhook with the naive policies of the same deployment, scenario and seed."""
    comparisons = []
    for run, result in results.items():
        if run.policy != CATKINHOOK_POLICY:
            continue
        naive = {name: results[attrs.evolve(run, policy=name)] for name in NAIVE_BY_NAME}
        totals = [_count_met(other) for other in naive.values()]
        comparisons.append(
            Comparison(
                deployment=run.deployment,
                scenario=run.scenario,
                seed=run.seed,
                ratio_to_best=_count_met(result) / max(totals),
                ratio_to_median=_count_met(result) / statistics.median(totals),
                moves_ratio=result.moves / max(1, naive[ON_DEMAND_POLICY].moves),
                unreachable=len(result.unreachable),
            )
        )
    return comparisons


def render_table(results: dict[Run, Result]) -> str:
    """Return the table, means over the seeds with the spread of the attainment."""
    lines = []
    for deployment, make_deployment in DEPLOYMENT_BY_NAME.items():
        accelerators = len(make_deployment().engines)
        for scenario in SCENARIO_BY_NAME:
            if not any((r.deployment, r.scenario) == (deployment, scenario) for r in results):
                continue
            lines += ["", f"{deployment}, {scenario}", COLUMNS]
            for policy in POLICY_BY_NAME:
                key = (deployment, scenario, policy)
                group = [r for run, r in results.items() if _group_key(run) == key]
                lines.append(_format_row(policy, group, accelerators))
    return "\n".join(lines)


def render_comparisons(comparisons: list[Comparison]) -> str:
    """Return the worst and best ratio over the seeds, and all shortfalls."""
    lines = ["", f"{'':<28}{'to best naive':>16}{'to median':>16}{'moves':>9}{'unreach':>9}"]
    for deployment in DEPLOYMENT_BY_NAME:
        for scenario in SCENARIO_BY_NAME:
            group = [c for c in comparisons if (c.deployment, c.scenario) == (deployment, scenario)]
            if not group:
                continue
            best, median = [c.ratio_to_best for c in group], [c.ratio_to_median for c in group]
            lines.append(
                f"{deployment + ', ' + scenario:<28}"
                f"{f'{min(best):.3f}-{max(best):.3f}':>16}{f'{min(median):.2f}-{max(median):.2f}':>16}"
                f"{max(c.moves_ratio for c in group):>9.2f}{max(c.unreachable for c in group):>9}"
            )
    shortfalls = [
        f"shortfall: {c.deployment}, {c.scenario}, seed {c.seed}: {text}"
        for c in comparisons
        for text in c.shortfalls()
    ]
    return "\n".join(lines + (shortfalls or ["all targets met"]))


def _group_key(run: Run) -> tuple[str, str, str]:
    return run.deployment, run.scenario, run.policy


def _count_met(result: Result) -> int:
    return sum(result.met.values())


def _format_row(policy: str, group: list[Result], accelerators: int) -> str:
    totals = [_count_met(result) / accelerators for result in group]
    met_share = statistics.fmean(_count_met(r) / sum(r.offered.values()) for r in group)
    p95_first_token = statistics.fmean(_percentile(r.first_token_seconds, 0.95) for r in group)

    def mean(values: Iterable[float]) -> float:
        return statistics.fmean(values)

    return (
        f"{policy:<15}{mean(totals):>8.1f}{f'{min(totals):.0f}-{max(totals):.0f}':>12}"
        f"{mean(r.met['live'] / accelerators for r in group):>7.1f}"
        f"{mean(r.met['night'] / accelerators for r in group):>7.1f}{met_share:>7.3f}"
        f"{mean(r.moves for r in group):>7.1f}{mean(r.refusals for r in group):>9.1f}"
        f"{mean(r.retries for r in group):>9.1f}{p95_first_token:>8.2f} s"
        f"{mean(r.engine_crashes for r in group):>6.1f}{max(len(r.unreachable) for r in group):>9}"
    )


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0
