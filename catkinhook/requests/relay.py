"""Relay of an engine's event stream: parsing, sequence check, and resume on the same engine."""

import time
from collections.abc import Callable, Iterator

import attrs

from catkinhook.operations.metrics import GatewayMetrics
from catkinhook.requests.attempts import Attempt, AttemptError
from catkinhook.requests.outcomes import Outcome
from catkinhook.units import KIB

STEP = "relay"
# An incomplete event is scanned again at each read, so the cost is quadratic in this limit.
MAX_EVENT_BYTES = 256 * KIB
DONE = b"[DONE]"
ERROR_EVENT = b"error"
MAX_RESUMES_WITHOUT_EVENT = 3
RESUME_BACKOFF_S = 0.05


@attrs.define(auto_exc=True)
class StreamError(Exception):
    """A stream contains invalid events, or events of another attempt.

    :ivar kind: ``crossed``, ``sequence``, ``unnumbered``, ``oversized`` or ``error``.
    """

    kind: str
    reason: str


@attrs.frozen
class Event:
    """One server-sent event.

    :ivar event_id: text of the ``id`` field, empty for none.
    :ivar data: lines of the ``data`` fields joined by newlines.
    :ivar is_error: whether the engine reports an error instead of a token.
    """

    event_id: bytes
    data: bytes
    is_error: bool = False


class EventParser:
    """Incremental parser of server-sent events that buffers at most one incomplete event."""

    def __init__(self, max_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_bytes = max_bytes
        self._pending = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are complete with these bytes.

        :raises StreamError: if an event exceeds the size limit.
        """
        if self._pending:
            data = self._pending + data
        trailing_cr = b""
        if b"\r" in data:
            # A single CR also ends a line; a trailing one may be the first half of CR LF.
            trailing_cr = b"\r" if data.endswith(b"\r") else b""
            data = data.removesuffix(b"\r").replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        blocks = data.split(b"\n\n")
        self._pending = blocks.pop() + trailing_cr
        if len(self._pending) > self._max_bytes:
            raise StreamError("oversized", f"an event is larger than {self._max_bytes} bytes")
        events = [_parse_block(block) for block in blocks]
        return [event for event in events if event is not None]


def _parse_block(block: bytes) -> Event | None:
    event_id, event_type, lines = b"", b"", []
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            lines.append(value)
        elif name == b"id":
            event_id = value
        elif name == b"event":
            event_type = value
    return Event(event_id, b"\n".join(lines), event_type == ERROR_EVENT) if lines else None


class EventChecker:
    """Checks that events belong to one attempt and arrive exactly once and in order."""

    def __init__(self, attempt_id: str) -> None:
        self._prefix = attempt_id.encode() + b":"
        self.last_sequence = 0

    def check(self, event: Event) -> None:
        """Accept the next event.

        :raises StreamError: if it reports an error, belongs to another attempt or is out of
            sequence.
        """
        if event.is_error:
            raise StreamError("error", "the engine sent an error event")
        if event.event_id == self._prefix + b"%d" % (self.last_sequence + 1):
            self.last_sequence += 1
            return
        event_id = event.event_id[:80].decode("utf-8", "replace")
        if not event.event_id:
            raise StreamError("unnumbered", "an event has no id")
        if not event.event_id.startswith(self._prefix):
            raise StreamError("crossed", f"event {event_id!r} belongs to another attempt")
        reason = f"event {event_id!r} follows event {self.last_sequence}"
        raise StreamError("sequence", reason)


def render_event(data: bytes) -> bytes:
    """Return an event for the caller."""
    if b"\n" in data:
        data = data.replace(b"\n", b"\ndata: ")
    return b"data: " + data + b"\n\n"


def render_error(problem: bytes) -> bytes:
    """Return the event that ends an incomplete stream."""
    return b"event: " + ERROR_EVENT + b"\ndata: " + problem + b"\n\n"


class StreamRelay:
    """Events of one attempt's stream, resumed on the same engine if its connection breaks.

    :param attempt: attempt whose response head was read.
    :param metrics: counts dropped events and resumes.
    :ivar tokens: number of relayed events, without the end marker.
    """

    def __init__(
        self,
        attempt: Attempt,
        metrics: GatewayMetrics,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._attempt = attempt
        self._metrics = metrics
        self._sleep = sleep
        self._checker = EventChecker(attempt.attempt_id)
        self._parser = EventParser()
        self._resumes_without_event = 0
        self._error: AttemptError | None = None
        self.tokens = 0
        self.complete = False

    def __iter__(self) -> Iterator[bytes]:
        """Yield bytes for the caller; events that arrive together are joined.

        :raises AttemptError: if the stream broke and the engine could not resume it.
        """
        while not self.complete:
            if self._error is not None:
                error, self._error = self._error, None
                self._resume(error)
            if joined := self.read():
                yield joined
        self._attempt.finish()

    @property
    def is_readable(self) -> bool:
        """Return whether the connection can be read without a resume."""
        return not self.complete and self._error is None

    def fileno(self) -> int:
        """Return the file descriptor to poll, -1 if the stream can only be read by ``__iter__``."""
        return self._attempt.fileno() if self.is_readable else -1

    def read(self) -> bytes:
        """Read once from the connection and return bytes for the caller, if any."""
        try:
            data = self._attempt.read_once()
        except AttemptError as error:
            self._error = error
            return b""
        joined, stream_error = self._accept(data)
        if stream_error is not None and not self.complete:
            self._metrics.dropped_events.labels(stream_error.kind).inc()
            self._error = self._make_error(stream_error.reason)
        if joined:
            self._resumes_without_event = 0
        return joined

    def fail_on_gap_timeout(self) -> None:
        """Treat the connection as lost after the gap timeout."""
        self._error = self._make_error("nothing came within the gap timeout")

    def fail_on_disconnect(self) -> AttemptError:
        """Return the error of a stream whose caller disconnected."""
        return self._make_error("the caller left", Outcome.CANCELLED)

    def _accept(self, data: bytes) -> tuple[bytes, StreamError | None]:
        parts: list[bytes] = []
        try:
            for event in self._parser.feed(data):
                self._checker.check(event)
                parts.append(render_event(event.data))
                if event.data == DONE:
                    self.complete = True
                    break
                self.tokens += 1
        except StreamError as error:
            return b"".join(parts), error
        return b"".join(parts), None

    def _resume(self, cause: AttemptError) -> None:
        self._attempt.close()
        while True:
            self._resumes_without_event += 1
            if self._attempt.aborted:
                raise self.fail_on_disconnect()
            if self._resumes_without_event > MAX_RESUMES_WITHOUT_EVENT:
                raise cause
            try:
                self._attempt.resume(self._checker.last_sequence)
            except AttemptError as error:
                if error.outcome is Outcome.CRASHED or error.status:
                    raise
                cause = error
                self._sleep(RESUME_BACKOFF_S * self._resumes_without_event)
                continue
            self._metrics.resumes.inc()
            self._parser = EventParser()
            return

    def _make_error(self, reason: str, outcome: Outcome = Outcome.BROKEN) -> AttemptError:
        address = self._attempt.endpoint.address
        return AttemptError(STEP, address, f"stream was lost: {reason}", outcome=outcome)
