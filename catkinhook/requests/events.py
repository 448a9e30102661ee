"""Server-sent events cut out of a byte stream without changing their bytes."""

import attrs

from catkinhook.units import KIB

# An unfinished event is searched again with each read, so its cost grows with the square of this.
MAX_EVENT_BYTES = 256 * KIB

_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")


class EventError(ValueError):
    """The bytes don't form events in order."""


@attrs.frozen
class RawEvent:
    """One event as it came, with the empty line that ends it.

    :ivar number: its id, None when it has none.
    """

    raw: bytes
    number: int | None


class EventSplitter:
    """Incremental splitter.

    :ivar pending: bytes of an event that has not ended.
    """

    def __init__(self) -> None:
        self.pending = b""

    def feed(self, data: bytes) -> list[RawEvent]:
        """Return the events that these bytes complete.

        :raises EventError: if an event is larger than the bound.
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


class EventOrder:
    """Accepts events each once and in order, over attempts at several endpoints.

    :ivar last: number of the last event that was accepted.
    """

    def __init__(self, last: int) -> None:
        self.last = last
        self._is_resumed = False

    def resume(self) -> None:
        """Expect the event after the last one next, from another attempt."""
        self._is_resumed = True

    def accept(self, event: RawEvent) -> None:
        """Accept the next event.

        :raises EventError: if it is not the one that follows.
        """
        if event.number is None:
            return
        follows = event.number == self.last + 1 if self._is_resumed else event.number > self.last
        if not follows:
            raise EventError(f"event {event.number} follows event {self.last}")
        self.last = event.number


def _find_end(data: bytes, start: int) -> int:
    ends = [(at, len(end)) for end in _ENDS if (at := data.find(end, start)) >= 0]
    if not ends:
        return -1
    at, size = min(ends)
    return at + size


def _read_number(raw: bytes) -> int | None:
    for line in raw.replace(b"\r", b"\n").split(b"\n"):
        name, mark, value = line.partition(b":")
        if mark and name == b"id":
            value = value.strip()
            return int(value) if value.isdigit() else None
    return None
