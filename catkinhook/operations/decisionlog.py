"""Structured, rate-limited log of decisions and state changes; writing never blocks the caller."""

import contextlib
import logging
import queue
import sys
import threading
import time
from typing import Any

import attrs
from prometheus_client import CollectorRegistry, Counter
from pythonjsonlogger.json import JsonFormatter

# Sustained rate and burst size of the lines of one kind.
LINES_PER_S = 40.0
BURST_LINES = 120.0
# Lines queued for standard output; further ones are counted and dropped.
MAX_QUEUED = 2000
# Seconds between summary lines, which give the number of suppressed lines.
SUMMARY_INTERVAL_S = 5.0
CLOSE_TIMEOUT_S = 0.5
# Longest text of a line; texts of other processes and of exceptions may be of any length.
MAX_TEXT_CHARS = 1000
# Most items of a list in a line; an engine may report thousands of models and adapters.
MAX_LISTED_ITEMS = 32

_LOGGER = "catkinhook.decisions"


@attrs.define
class _TokenBucket:
    tokens: float = BURST_LINES
    refilled_at: float = 0.0
    suppressed: int = 0


class DecisionLog:
    """Writes one JSON line per decision to standard output.

    :param node: name of this host, added to each line.
    """

    def __init__(self, node: str, registry: CollectorRegistry | None = None) -> None:
        self._node = node
        self._queue: queue.Queue[dict[str, Any] | None] = queue.Queue(MAX_QUEUED)
        self._lock = threading.Lock()
        self._bucket_by_kind: dict[str, _TokenBucket] = {}
        self._last_summary_at = time.monotonic()
        self._logger = logging.Logger(_LOGGER, logging.INFO)
        handler = logging.StreamHandler(sys.stdout)
        handler.setFormatter(
            JsonFormatter("%(at)s %(kind)s %(outcome)s", static_fields={"node": node})
        )
        self._logger.addHandler(handler)
        self._counter = Counter(
            "decisions",
            "Decisions and changes of belief, by kind and outcome.",
            ("kind", "outcome"),
            namespace="catkinhook",
            registry=registry or CollectorRegistry(),
        )
        self._thread = threading.Thread(target=self._run, name="decision-log", daemon=True)

    def start(self) -> None:
        """Start the writer thread."""
        self._thread.start()

    def close(self) -> None:
        """Flush the queue, for at most ``CLOSE_TIMEOUT_S``."""
        with contextlib.suppress(queue.Full):
            self._queue.put_nowait(None)
        if self._thread.is_alive():
            self._thread.join(CLOSE_TIMEOUT_S)

    def record(self, kind: str, outcome: str, **inputs: Any) -> None:
        """Queue a line, or only count it when its kind exceeds the rate limit.

        :param kind: subject of the decision, such as ``request``.
        :param outcome: short name of the result; the part before a colon is a label of the counter.
        :param inputs: values that led to the decision, such as ages in seconds or versions.
        """
        self._counter.labels(kind, outcome.partition(":")[0]).inc()
        now = time.monotonic()
        with self._lock:
            bucket = self._bucket_by_kind.setdefault(kind, _TokenBucket(refilled_at=now))
            refill = (now - bucket.refilled_at) * LINES_PER_S
            bucket.tokens = min(BURST_LINES, bucket.tokens + refill)
            bucket.refilled_at = now
            if bucket.tokens < 1.0:
                bucket.suppressed += 1
                return
            bucket.tokens -= 1.0
        line = {"at": round(now, 3), "kind": kind, "outcome": outcome, **inputs}
        line = {name: _shorten(value) for name, value in line.items()}
        try:
            self._queue.put_nowait(line)
        except queue.Full:
            with self._lock:
                bucket.suppressed += 1

    def _run(self) -> None:
        while True:
            try:
                line = self._queue.get(timeout=SUMMARY_INTERVAL_S)
            except queue.Empty:
                line = {}
            if line is None:
                return
            if line:
                self._write(line)
            if time.monotonic() - self._last_summary_at >= SUMMARY_INTERVAL_S:
                self._write_summary()

    def _write_summary(self) -> None:
        self._last_summary_at = time.monotonic()
        with self._lock:
            suppressed = {
                kind: bucket.suppressed
                for kind, bucket in self._bucket_by_kind.items()
                if bucket.suppressed
            }
            for bucket in self._bucket_by_kind.values():
                bucket.suppressed = 0
        if suppressed:
            at = round(time.monotonic(), 3)
            self._write({"at": at, "kind": "log", "outcome": "left out", "lines": suppressed})

    def _write(self, line: dict[str, Any]) -> None:
        # A closed standard output must not end the process.
        with contextlib.suppress(OSError, ValueError):
            self._logger.info(line)


def _shorten(value: Any) -> Any:
    """Return a value of a line with bounded texts and lists."""
    if isinstance(value, str):
        return value[:MAX_TEXT_CHARS]
    if not isinstance(value, (list, tuple)):
        return value
    items = [_shorten(item) for item in value[:MAX_LISTED_ITEMS]]
    left_out = len(value) - len(items)
    return [*items, f"{left_out} more"] if left_out else items
