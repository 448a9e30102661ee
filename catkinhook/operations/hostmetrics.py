"""Prometheus metrics of the ``host`` daemon."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from catkinhook.operations.processortime import ThreadSecondsCollector

_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.31, 0.6, 1.0, 1.5, 2.5, 5.0, 8.0, 15.0, 25.0)
_WAIT_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0)
_ERROR_BUCKETS_S = (-2.0, -0.8, -0.4, -0.2, -0.1, -0.05, 0.0, 0.05, 0.1, 0.2, 0.4, 0.8, 2.0)


class HostMetrics:
    """Counters and histograms of one host, in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        common = {"registry": self.registry, "namespace": "catkinhook"}
        labels = ("service", "route")
        self.requests = Counter(
            "requests", "Requests that ended, by HTTP status.", (*labels, "status"), **common
        )
        self.failed_attempts = Counter(
            "failed_attempts", "Attempts that failed, by outcome.", ("service", "outcome"), **common
        )
        self.unbounded_answers = Counter(
            "unbounded_answers", "Answers with more bytes than an answer may have.", **common
        )
        self.retries = Counter(
            "retries",
            "Further attempts that were granted or denied, by cause.",
            ("service", "cause", "result"),
            **common,
        )
        self.unanswered = Counter(
            "unanswered_requests",
            "Whole requests whose connection ended without a complete answer.",
            ("why",),
            **common,
        )
        self.caller_resets = Counter(
            "caller_resets",
            "Connections that their callers reset while no request was in progress.",
            ("state",),
            **common,
        )
        self.availability = Counter(
            "endpoint_availability_changes",
            "Endpoints that left, paused or resumed, by what told this host.",
            ("state", "source"),
            **common,
        )
        self.key_refusals = Counter(
            "key_refusals",
            "Requests that were refused for their key: missing, malformed, unknown or removed.",
            ("reason",),
            **common,
        )
        self.duration = Histogram(
            "request_seconds",
            "Time to the end of the answer.",
            labels,
            buckets=_BUCKETS_S,
            **common,
        )
        self.first_event = Histogram(
            "first_event_seconds", "Time to the first bytes.", labels, buckets=_BUCKETS_S, **common
        )
        self.selections = Counter(
            "endpoint_selections",
            "Endpoints selected by shared capacity, by what decided.",
            ("reason",),
            **common,
        )
        self.forecast_error = Histogram(
            "first_event_forecast_error_seconds",
            "Predicted minus measured time to the first bytes of an attempt.",
            buckets=_ERROR_BUCKETS_S,
            **common,
        )
        self.first_event_by_prompt = Histogram(
            "first_event_by_prompt_seconds",
            "Time to the first bytes, by the length of the prompt compared with its service.",
            (*labels, "prompt"),
            buckets=_BUCKETS_S,
            **common,
        )
        self.refusals = Counter(
            "refusals",
            "Refusals by reason and whether the request ran.",
            (*labels, "code", "ran"),
            **common,
        )
        self.refusal_wait = Histogram(
            "refusal_wait_seconds",
            "Time for which requests were held before they were refused.",
            (*labels, "code"),
            buckets=_BUCKETS_S,
            **common,
        )
        self.in_progress = Gauge("requests_in_progress", "Requests that hold a slot.", **common)
        self.held_bytes = Gauge(
            "held_bytes", "Bytes that are held for requests in progress.", **common
        )
        self.evictions = Counter(
            "evictions",
            "Bodies and other bytes that were dropped at the memory limit, by kind.",
            ("kind",),
            **common,
        )
        self.report_wait = Histogram(
            "holder_report_wait_seconds",
            "Wait of another host's report for the actor of the holder.",
            buckets=_BUCKETS_S,
            **common,
        )
        self.plan_duration = Histogram(
            "holder_plan_seconds", "Time of one plan of the holder.", buckets=_BUCKETS_S, **common
        )
        self.limit_tokens = Counter(
            "limit_tokens",
            "Tokens, or requests, of workspaces with a limit, by what became of them.",
            ("workspace", "result"),
            **common,
        )
        self.limit_share = Gauge(
            "limit_share_per_second",
            "Part of a workspace's limit that this host may use.",
            ("workspace",),
            **common,
        )
        self.limit_balance = Gauge(
            "limit_balance",
            "What this host may admit at once of a workspace's requests.",
            ("workspace",),
            **common,
        )
        self.credit_calls = Counter(
            "limit_credit_calls",
            "Calls to the holder for credit, by outcome.",
            ("outcome",),
            **common,
        )
        self.limit_wait = Histogram(
            "limit_wait_seconds",
            "Time for which requests waited for credit, without those that found some.",
            buckets=_WAIT_BUCKETS_S,
            **common,
        )
        self.missing_items = Gauge(
            "holder_missing_items", "Models and adapters that are asked for and not held.", **common
        )
        self.places_short = Gauge(
            "model_places_short", "Slots that models lack beside the others' requests.", **common
        )
        self.accept_errors = Counter(
            "accept_errors", "Connections of callers that could not be accepted.", **common
        )
        self.idle_connections = Gauge(
            "idle_connections", "Idle connections to endpoints.", **common
        )
        self.store_eras = Counter(
            "store_eras", "Times that the store came back from an older copy.", **common
        )
        self.source_changes = Counter(
            "state_source_changes",
            "Changes of where this host learns entries, configuration and lease from.",
            ("source",),
            **common,
        )
        self.store_calls = Gauge(
            "store_calls", "Calls to the store since the start.", ("purpose",), **common
        )
        self.state_age = Gauge(
            "state_age_seconds",
            "Time since what this host knows was read from the store.",
            **common,
        )
        self.registry.register(ThreadSecondsCollector())

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self.registry)
