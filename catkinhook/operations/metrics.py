"""Prometheus metrics of gateways and controllers."""

from collections.abc import Callable, Iterator

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

CONTENT_TYPE = CONTENT_TYPE_LATEST

_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.31, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0)


class GatewayMetrics:
    """Counters and histograms in a separate registry, so that one process can hold several."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        common = {"registry": self.registry, "namespace": "catkinhook"}
        labels = ("service", "caller_class")
        self.requests = Counter(
            "requests", "Requests that ended, by HTTP status.", (*labels, "status"), **common
        )
        self.refusals = Counter(
            "refusals",
            "Requests refused, by reason and whether they ran.",
            ("code", "ran"),
            **common,
        )
        self.attempts = Counter(
            "attempts", "Attempts at endpoints, by outcome.", ("service", "outcome"), **common
        )
        self.retries = Counter("retries", "Attempts after the first.", ("service",), **common)
        self.tokens = Counter("relayed_tokens", "Tokens relayed.", ("service",), **common)
        self.dropped_events = Counter(
            "dropped_events", "Events not passed to a caller, by fault.", ("fault",), **common
        )
        self.resumes = Counter("stream_resumes", "Streams resumed on their engine.", **common)
        self.callers_left = Counter("callers_left", "Callers that left early.", **common)
        self.in_progress = Gauge("requests_in_progress", "Requests that hold a slot.", **common)
        self.evictions = Counter(
            "evictions",
            "Bodies and other bytes that were dropped at the memory limit, by kind.",
            ("kind",),
            **common,
        )
        self.first_token = Histogram(
            "first_token_seconds",
            "Time from arrival to the first bytes of the answer.",
            labels,
            buckets=_BUCKETS_S,
            **common,
        )
        self.duration = Histogram(
            "request_seconds",
            "Time from arrival to the end of the answer.",
            labels,
            buckets=_BUCKETS_S,
            **common,
        )

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self.registry)


class LatencyTargetCollector:
    """Collects the requests that met their latency target, from the error budget counters.

    :param read_totals: returns requests by service, class and whether the target was met.
    """

    def __init__(self, read_totals: Callable[[], dict[tuple[str, str, bool], int]]) -> None:
        self._read_totals = read_totals

    def collect(self) -> Iterator[Metric]:
        """Return the counter."""
        family = CounterMetricFamily(
            "catkinhook_promises",
            "Requests that ended, refused ones included, by whether the promise was met.",
            labels=("service", "caller_class", "met"),
        )
        for (service, name, met), count in self._read_totals().items():
            family.add_metric((service, name, "yes" if met else "no"), count)
        yield family


class ControllerCollector:
    """Collects the gauges of a controller at scrape time.

    :param read_values: returns value and help text by metric name without prefix.
    :param read_copies: returns reachable and wanted copies by model.
    """

    def __init__(
        self,
        read_values: Callable[[], dict[str, tuple[float, str]]],
        read_copies: Callable[[], dict[str, tuple[int, int]]],
    ) -> None:
        self._read_values = read_values
        self._read_copies = read_copies

    def collect(self) -> Iterator[Metric]:
        """Return the gauges."""
        for name, (value, help_text) in self._read_values().items():
            yield GaugeMetricFamily(f"catkinhook_{name}", help_text, value=value)
        copies = GaugeMetricFamily(
            "catkinhook_model_copies", "Copies that can be routed to.", labels=("model",)
        )
        wanted = GaugeMetricFamily(
            "catkinhook_model_copies_wanted", "Copies that documents ask for.", labels=("model",)
        )
        for model, (reachable, requested) in self._read_copies().items():
            copies.add_metric((model,), reachable)
            wanted.add_metric((model,), requested)
        yield copies
        yield wanted


def make_renderer(collector: ControllerCollector) -> Callable[[], bytes]:
    """Return a function that renders a collector in the text format."""
    registry = CollectorRegistry()
    registry.register(collector)
    return lambda: generate_latest(registry)
