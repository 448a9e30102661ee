"""Result table and targets of the benchmark."""

import statistics
from collections.abc import Iterable

import attrs

from benchmarks.policies import NAIVE_BY_NAME, POLICY_BY_NAME
from benchmarks.scenarios import DEPLOYMENT_BY_NAME, SCENARIO_BY_NAME, Run
from benchmarks.simulation import Result

CATKINHOOK_POLICY = "catkinhook"
ON_DEMAND = "load on demand"
MEDIAN_TARGET_SCENARIOS = ("burst", "tenfold shift", "slow endpoint")
MEDIAN_TARGET = 1.3
MOVES_TARGET = 1 / 3

COLUMNS = (
    f"{'policy':<15}{'met/acc':>8}{'spread':>12}{'live':>7}{'night':>7}{'share':>7}"
    f"{'moves':>7}{'refused':>9}{'retries':>9}{'p95 ttft':>10}{'lost':>6}{'unreach':>9}"
)


@attrs.frozen(kw_only=True)
class Verdict:
    """Targets of one user, scenario and seed.

    :ivar best: attainment per accelerator as a multiple of the best naive version.
    :ivar median: the same of the median naive version.
    :ivar moves: moves as a share of load on demand.
    :ivar unreachable: models that had no copy at some time.
    """

    deployment: str
    scenario: str
    seed: int
    best: float
    median: float
    moves: float
    unreachable: int

    def shortfalls(self) -> list[str]:
        """Return the targets that are not met."""
        found = []
        if self.best < 1.0:
            found.append(f"{self.best:.3f} times the best naive version, target 1")
        if self.scenario in MEDIAN_TARGET_SCENARIOS and self.median < MEDIAN_TARGET:
            found.append(f"{self.median:.2f} times the median naive version, target 1.3")
        if self.moves > MOVES_TARGET:
            found.append(f"{self.moves:.2f} of the moves of load on demand, target 0.33")
        if self.unreachable:
            found.append(f"{self.unreachable} models unreachable, target 0")
        return found


def runs(seeds: Iterable[int], scenarios: Iterable[str]) -> list[Run]:
    """Return the runs of all policies, scenario by scenario."""
    return [
        Run(deployment, scenario, policy, seed)
        for deployment in DEPLOYMENT_BY_NAME
        for scenario in scenarios
        for policy in POLICY_BY_NAME
        for seed in seeds
    ]


def judge(results: dict[Run, Result]) -> list[Verdict]:
    """Compare catkinhook with the naive policies of the same user, scenario and seed."""
    verdicts = []
    for run, result in results.items():
        if run.policy != CATKINHOOK_POLICY:
            continue
        naive = {name: results[attrs.evolve(run, policy=name)] for name in NAIVE_BY_NAME}
        totals = [_met(other) for other in naive.values()]
        verdicts.append(
            Verdict(
                deployment=run.deployment,
                scenario=run.scenario,
                seed=run.seed,
                best=_met(result) / max(totals),
                median=_met(result) / statistics.median(totals),
                moves=result.moves / max(1, naive[ON_DEMAND].moves),
                unreachable=len(result.unreachable),
            )
        )
    return verdicts


def render(results: dict[Run, Result]) -> str:
    """Return the table, means over the seeds with the spread of the attainment."""
    lines = []
    for deployment, make in DEPLOYMENT_BY_NAME.items():
        accelerators = len(make().engines)
        for scenario in SCENARIO_BY_NAME:
            if not any((r.deployment, r.scenario) == (deployment, scenario) for r in results):
                continue
            lines += ["", f"{deployment}, {scenario}", COLUMNS]
            for policy in POLICY_BY_NAME:
                key = (deployment, scenario, policy)
                group = [r for run, r in results.items() if _key(run) == key]
                lines.append(_row(policy, group, accelerators))
    return "\n".join(lines)


def render_verdicts(verdicts: list[Verdict]) -> str:
    """Return the worst and best ratio over the seeds, and all shortfalls."""
    lines = ["", f"{'':<28}{'to best naive':>16}{'to median':>16}{'moves':>9}{'unreach':>9}"]
    for deployment in DEPLOYMENT_BY_NAME:
        for scenario in SCENARIO_BY_NAME:
            group = [v for v in verdicts if (v.deployment, v.scenario) == (deployment, scenario)]
            if not group:
                continue
            best, median = [v.best for v in group], [v.median for v in group]
            lines.append(
                f"{deployment + ', ' + scenario:<28}"
                f"{f'{min(best):.3f}-{max(best):.3f}':>16}{f'{min(median):.2f}-{max(median):.2f}':>16}"
                f"{max(v.moves for v in group):>9.2f}{max(v.unreachable for v in group):>9}"
            )
    failed = [
        f"shortfall: {v.deployment}, {v.scenario}, seed {v.seed}: {text}"
        for v in verdicts
        for text in v.shortfalls()
    ]
    return "\n".join(lines + (failed or ["all targets met"]))


def _key(run: Run) -> tuple[str, str, str]:
    return run.deployment, run.scenario, run.policy


def _met(result: Result) -> int:
    return sum(result.met.values())


def _row(policy: str, group: list[Result], accelerators: int) -> str:
    totals = [_met(result) / accelerators for result in group]
    share = statistics.fmean(_met(r) / sum(r.offered.values()) for r in group)
    first = statistics.fmean(_percentile(r.first_tokens, 0.95) for r in group)

    def mean(values: Iterable[float]) -> float:
        return statistics.fmean(values)

    return (
        f"{policy:<15}{mean(totals):>8.1f}{f'{min(totals):.0f}-{max(totals):.0f}':>12}"
        f"{mean(r.met['live'] / accelerators for r in group):>7.1f}"
        f"{mean(r.met['night'] / accelerators for r in group):>7.1f}{share:>7.3f}"
        f"{mean(r.moves for r in group):>7.1f}{mean(r.refusals for r in group):>9.1f}"
        f"{mean(r.retries for r in group):>9.1f}{first:>8.2f} s"
        f"{mean(r.lost for r in group):>6.1f}{max(len(r.unreachable) for r in group):>9}"
    )


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0
