"""Bounded load generator for a gateway or engine, which checks each answer against its prompt."""

import itertools
import json
import threading
import time
from collections import Counter
from collections.abc import Callable

import attrs
import urllib3
from hdrh.histogram import HdrHistogram

from catkinhook.emulators.generation import generate_text
from catkinhook.requests.relay import DONE, EventParser, StreamError

MAX_CONCURRENCY = 1000
MAX_COUNT = 1_000_000
MAX_DURATION_S = 3600.0
PERCENTILES = (50.0, 95.0, 99.0)

_MAX_RECORDED_US = int(MAX_DURATION_S * 1e6)
_READ_BYTES = 64 << 10


@attrs.frozen(kw_only=True)
class LoadSettings:
    """Parameters of one bounded run.

    :ivar url: base URL of a gateway or an engine.
    :ivar models: models requested in turn.
    :ivar concurrency: concurrent requests.
    :ivar count: total number of requests.
    :ivar duration: seconds after which no further request is started.
    :ivar headers: additional headers, such as ``Authorization``.
    :ivar timeout: seconds without a byte after which a request counts as failed.
    """

    url: str
    models: tuple[str, ...]
    concurrency: int = 1
    count: int = 1
    duration: float = 60.0
    stream: bool = True
    max_tokens: int = 32
    prompt_bytes: int = 200
    headers: dict[str, str] = attrs.Factory(dict)
    timeout: float = 30.0

    def __attrs_post_init__(self) -> None:
        bounds = (
            ("concurrency", self.concurrency, MAX_CONCURRENCY),
            ("count", self.count, MAX_COUNT),
            ("duration", self.duration, MAX_DURATION_S),
        )
        for name, value, maximum in bounds:
            if not 0 < value <= maximum:
                raise ValueError(f"{name} must be above 0 and at most {maximum}, not {value}")


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_RECORDED_US, 3)


@attrs.define
class LoadResult:
    """Results of a run.

    :ivar ends: requests by result: ``complete``, ``incomplete``, ``failed``, ``wrong``,
        or ``refused`` with the status and ``ran``.
    :ivar first_token: microseconds to the first bytes of an answer.
    :ivar gaps: microseconds between successive reads of a stream that returned bytes.
    :ivar total: microseconds to the end of an answer.
    :ivar seconds: length of the run.
    """

    ends: Counter[str] = attrs.Factory(Counter)
    first_token: HdrHistogram = attrs.Factory(_make_histogram)
    gaps: HdrHistogram = attrs.Factory(_make_histogram)
    total: HdrHistogram = attrs.Factory(_make_histogram)
    tokens: int = 0
    seconds: float = 0.0

    def merge(self, other: "LoadResult") -> None:
        """Add the counts and histograms of another result."""
        self.ends += other.ends
        self.tokens += other.tokens
        for name in ("first_token", "gaps", "total"):
            getattr(self, name).add(getattr(other, name))

    def describe(self) -> dict:
        """Return counts and percentiles in milliseconds, for JSON."""
        percentiles = {
            name: {f"p{p:g}": _to_ms(getattr(self, name), p) for p in PERCENTILES}
            for name in ("first_token", "gaps", "total")
        }
        return {
            "ends": dict(self.ends),
            "seconds": round(self.seconds, 3),
            "tokens_per_second": round(self.tokens / self.seconds, 1) if self.seconds else 0.0,
            "milliseconds": percentiles,
        }


@attrs.frozen
class _ReceivedAnswer:
    status: int
    body: bytes
    first_read_at: float
    gaps: list[float]


def run_load(settings: LoadSettings, expect: Callable[[dict], str] = generate_text) -> LoadResult:
    """Send requests until the count or the duration is reached.

    :param expect: returns the expected text for a request's body; the default is the text that
        emulated engines generate.
    """
    numbers = itertools.count()
    lock = threading.Lock()
    result = LoadResult()
    started = time.monotonic()

    def run_worker() -> None:
        worker_result = LoadResult()
        with urllib3.PoolManager(retries=False, timeout=settings.timeout) as http:
            while (number := next(numbers)) < settings.count:
                if time.monotonic() - started >= settings.duration:
                    break
                _run_request(settings, http, number, expect, worker_result)
        with lock:
            result.merge(worker_result)

    threads = [
        threading.Thread(target=run_worker, daemon=True) for _ in range(settings.concurrency)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    result.seconds = time.monotonic() - started
    return result


def _run_request(
    settings: LoadSettings,
    http: urllib3.PoolManager,
    number: int,
    expect: Callable[[dict], str],
    result: LoadResult,
) -> None:
    fields = {
        "model": settings.models[number % len(settings.models)],
        "prompt": f"request {number} ".ljust(settings.prompt_bytes, "."),
        "max_tokens": settings.max_tokens,
        "stream": settings.stream,
    }
    started = time.monotonic()
    try:
        answer = _post_completion(settings, http, json.dumps(fields).encode())
    except (urllib3.exceptions.HTTPError, OSError):
        result.ends["failed"] += 1
        return
    outcome = _classify_answer(settings, answer, expect(fields))
    result.ends[outcome] += 1
    if outcome != "complete":
        return
    result.tokens += settings.max_tokens
    result.first_token.record_value(_to_us(answer.first_read_at - started))
    result.total.record_value(_to_us(time.monotonic() - started))
    for gap in answer.gaps:
        result.gaps.record_value(_to_us(gap))


def _post_completion(
    settings: LoadSettings, http: urllib3.PoolManager, body: bytes
) -> _ReceivedAnswer:
    headers = {"Content-Type": "application/json", **settings.headers}
    url = settings.url.rstrip("/") + "/v1/completions"
    response = http.request("POST", url, body=body, headers=headers, preload_content=False)
    parts, read_times = [], []
    try:
        while part := response.read1(_READ_BYTES):
            read_times.append(time.monotonic())
            parts.append(part)
    finally:
        response.release_conn()
    gaps = [later - earlier for earlier, later in itertools.pairwise(read_times)]
    first_read_at = read_times[0] if read_times else time.monotonic()
    return _ReceivedAnswer(response.status, b"".join(parts), first_read_at, gaps)


def _classify_answer(settings: LoadSettings, answer: _ReceivedAnswer, expected: str) -> str:
    if answer.status != 200:
        return f"refused {answer.status} ran={_parse_ran(answer.body)}"
    try:
        text, complete = (_parse_events if settings.stream else _parse_completion)(answer.body)
    except (ValueError, LookupError, TypeError, StreamError):
        return "wrong"
    if not complete:
        return "incomplete" if expected.startswith(text) else "wrong"
    return "complete" if text == expected else "wrong"


def _parse_events(body: bytes) -> tuple[str, bool]:
    events = EventParser(max_bytes=len(body)).feed(body)
    complete = bool(events) and events[-1].data == DONE
    chunks = [json.loads(event.data) for event in events if event.data != DONE]
    # An error event carries a problem document, which has no choices.
    texts = [chunk["choices"][0]["text"] for chunk in chunks if "choices" in chunk]
    return "".join(texts), complete


def _parse_completion(body: bytes) -> tuple[str, bool]:
    return json.loads(body)["choices"][0]["text"], True


def _parse_ran(body: bytes) -> str:
    try:
        return str(json.loads(body).get("ran", ""))
    except (ValueError, AttributeError):
        return ""


def _to_us(seconds: float) -> int:
    return max(1, min(_MAX_RECORDED_US, int(seconds * 1e6)))


def _to_ms(histogram: HdrHistogram, percentile: float) -> float:
    return round(histogram.get_value_at_percentile(percentile) / 1000, 3)
