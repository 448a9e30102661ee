"""Splitting of a byte stream into server-sent events without changing their bytes."""

import attrs

from catkinhook.units import KIB

# An incomplete event is scanned again at each read, so the cost is quadratic in this limit.
MAX_EVENT_BYTES = 256 * KIB

_EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")


class EventError(ValueError):
    """An event stream is malformed or out of order."""


@attrs.frozen
class RawEvent:
    """One event as received, including the empty line that ends it.

    :ivar number: numeric id of the event, None if it has none.
    """

    raw: bytes
    number: int | None


class EventSplitter:
    """Incremental splitter of server-sent events.

    :ivar pending: bytes of an incomplete event.
    """

    def __init__(self) -> None:
        self.pending = b""

    def feed(self, data: bytes) -> list[RawEvent]:
        """Return the events that are complete with these bytes.

        :raises EventError: if an event exceeds the size limit.
        """
        data = self.pending + data if self.pending else data
        events: list[RawEvent] = []
        start = 0
        while (end := _find_end(data, start)) >= 0:
            raw = data[start:end]
            events.append(RawEvent(raw, _read_number(raw)))
            start = end
        self.pending = data[start:]
        if len(self.pending) > MAX_EVENT_BYTES:
            raise EventError(f"an event is larger than {MAX_EVENT_BYTES} bytes")
        return events


class EventOrderChecker:
    """Checks that events arrive once and in order, across attempts at several endpoints.

    :ivar last: number of the last accepted event.
    """

    def __init__(self, last: int) -> None:
        self.last = last
        self._is_resumed = False

    def resume(self) -> None:
        """Require that the next event directly follows the last one, as it must after a resume."""
        self._is_resumed = True

    def accept(self, event: RawEvent) -> None:
        """Accept the next event.

        :raises EventError: if it is out of order.
        """
        if event.number is None:
            return
        follows = event.number == self.last + 1 if self._is_resumed else event.number > self.last
        if not follows:
            raise EventError(f"event {event.number} follows event {self.last}")
        self.last = event.number


def _find_end(data: bytes, start: int) -> int:
    ends = [(at, len(end)) for end in _EVENT_ENDS if (at := data.find(end, start)) >= 0]
    if not ends:
        return -1
    at, size = min(ends)
    return at + size


def _read_number(raw: bytes) -> int | None:
    for line in raw.replace(b"\r", b"\n").split(b"\n"):
        name, separator, value = line.partition(b":")
        if separator and name == b"id":
            value = value.strip()
            return int(value) if value.isdigit() else None
    return None
