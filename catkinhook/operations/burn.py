"""Error budgets: requests that met their latency target, and the burn rate by window."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from catkinhook.state.documents import Catalog


MINUTE_S = 60.0
# Buckets of one minute for the last hour and of ten minutes up to a day.
FINE_WINDOW_MINUTES = 60
COARSE_BUCKET_MINUTES = 10
RETENTION_MINUTES = 24 * 60


@attrs.frozen
class Bucket:
    """Requests of one caller class that ended within one time span.

    :ivar minutes_ago: age of the span's newer end; an age needs no comparison of host clocks.
    :ivar total: requests that ended, including those refused by the system.
    :ivar met: requests that met the latency target of their class.
    """

    service: str
    caller_class: str
    minutes_ago: int
    total: int
    met: int


@attrs.frozen
class Alert:
    """Alert rule that fires when the burn rate exceeds a threshold over a long and a short window.

    :ivar severity: ``page`` or ``ticket``.
    """

    severity: str
    long_minutes: int
    short_minutes: int
    threshold: float


# Thresholds at which the long window uses 2%, 5% and 10% of a 30-day error budget.
ALERTS = (
    Alert("page", 60, 5, 14.4),
    Alert("page", 6 * 60, 30, 6.0),
    Alert("ticket", 24 * 60, 2 * 60, 3.0),
)
WINDOWS_MINUTES = (5, 30, 60, 2 * 60, 6 * 60, 24 * 60)


@attrs.frozen(kw_only=True)
class ClassBurn:
    """Error budget of one caller class of one service.

    :ivar attainment: share of the last day's requests that met the target, 1 without requests.
    :ivar budget_left: remaining share of the day's error budget, negative when exceeded.
    :ivar rate_by_minutes: burn rate by window length; at 1 the budget is used up exactly.
    :ivar alerts: alert rules that fire.
    :ivar buckets: counts by age, for charts.
    """

    service: str
    caller_class: str
    objective: float
    total: int
    met: int
    attainment: float
    budget_left: float
    rate_by_minutes: dict[int, float]
    alerts: list[Alert]
    buckets: list[Bucket]


@attrs.frozen
class BurnReport:
    """Error budgets of all caller classes.

    :ivar missing: instances whose counters could not be read.
    """

    classes: list[ClassBurn]
    missing: list[str]


class BurnCounters:
    """Request counters of one gateway; not thread-safe, owned by one thread or actor."""

    def __init__(self) -> None:
        self._total: dict[tuple[str, str], Counter[int]] = defaultdict(Counter)
        self._met: dict[tuple[str, str], Counter[int]] = defaultdict(Counter)
        self._ended: Counter[tuple[str, str, bool]] = Counter()

    def record(self, service: str, caller_class: str, met: bool, now: float) -> None:
        """Count a request that ended.

        :param now: seconds on the local monotonic clock.
        """
        self._ended[service, caller_class, met] += 1
        minute = int(now // MINUTE_S)
        self._total[service, caller_class][minute] += 1
        if met:
            self._met[service, caller_class][minute] += 1

    def totals(self) -> dict[tuple[str, str, bool], int]:
        """Return the requests since the start by service, class and whether the target was met."""
        return dict(self._ended)

    def export(self, now: float) -> list[Bucket]:
        """Return the buckets of the last day and delete older ones."""
        current = int(now // MINUTE_S)
        buckets = []
        for key, totals in self._total.items():
            grouped: Counter[int] = Counter()
            met: Counter[int] = Counter()
            for minute in [m for m in totals if current - m >= RETENTION_MINUTES]:
                del totals[minute]
                self._met[key].pop(minute, None)
            for minute, count in totals.items():
                age = _bucket_age(current - minute)
                grouped[age] += count
                met[age] += self._met[key][minute]
            buckets += [Bucket(*key, age, grouped[age], met[age]) for age in sorted(grouped)]
        return buckets


def _bucket_age(minutes: int) -> int:
    return (
        minutes
        if minutes < FINE_WINDOW_MINUTES
        else minutes // COARSE_BUCKET_MINUTES * COARSE_BUCKET_MINUTES
    )


def _sum_window(buckets: Iterable[Bucket], minutes: int) -> tuple[int, int]:
    inside = [bucket for bucket in buckets if bucket.minutes_ago < minutes]
    return sum(bucket.total for bucket in inside), sum(bucket.met for bucket in inside)


def _compute_burn_rate(buckets: list[Bucket], minutes: int, objective: float) -> float:
    total, met = _sum_window(buckets, minutes)
    return (total - met) / total / (1 - objective) if total else 0.0


def _merge_gateway_buckets(buckets: list[Bucket]) -> list[Bucket]:
    total: Counter[int] = Counter()
    met: Counter[int] = Counter()
    for bucket in buckets:
        total[bucket.minutes_ago] += bucket.total
        met[bucket.minutes_ago] += bucket.met
    first = buckets[0]
    return [
        Bucket(first.service, first.caller_class, age, total[age], met[age])
        for age in sorted(total)
    ]


def _compute_burn(objective: float, buckets: list[Bucket]) -> ClassBurn:
    merged = _merge_gateway_buckets(buckets)
    total, met = _sum_window(merged, RETENTION_MINUTES)
    rates = {minutes: _compute_burn_rate(merged, minutes, objective) for minutes in WINDOWS_MINUTES}
    alerts = [
        alert
        for alert in ALERTS
        if min(rates[alert.long_minutes], rates[alert.short_minutes]) > alert.threshold
    ]
    return ClassBurn(
        service=merged[0].service,
        caller_class=merged[0].caller_class,
        objective=objective,
        total=total,
        met=met,
        attainment=met / total if total else 1.0,
        budget_left=1.0 - rates[RETENTION_MINUTES],
        rate_by_minutes=rates,
        alerts=alerts,
        buckets=merged,
    )


def build_report(catalog: "Catalog", buckets: list[Bucket], missing: list[str]) -> BurnReport:
    """Aggregate the counters of all gateways into a report.

    :param catalog: documents in force, for the objectives.
    :param buckets: counters of all gateways that could be read.
    :param missing: names of the instances that could not be read.
    """
    buckets_by_class: dict[tuple[str, str], list[Bucket]] = defaultdict(list)
    for bucket in buckets:
        buckets_by_class[bucket.service, bucket.caller_class].append(bucket)
    classes = []
    for (service, name), rows in sorted(buckets_by_class.items()):
        document = catalog.document_by_service.get(service)
        if document is not None:
            classes.append(_compute_burn(document.get_class(name).objective, rows))
    return BurnReport(classes, sorted(missing))
