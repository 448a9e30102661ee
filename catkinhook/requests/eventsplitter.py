"""Splitting of a byte stream into server-sent events without changing their bytes."""

import re

from catkinhook.units import KIB

# An incomplete event is scanned again at each end of a line, so this limits the cost.
MAX_EVENT_BYTES = 256 * KIB

# Lines up to an empty one. The ends of lines may differ within a stream; an atomic group keeps both
# bytes of CR LF together.
_BLOCK = re.compile(rb"(?>[^\r\n]+(?>\r\n|\n|\r))*+(?>\r\n|\n|\r)")
# Names of fields that are not known here are accepted: clients ignore them.
_FIELD = re.compile(rb"(?:[a-z][a-z0-9-]*)?:|data\Z")
# The limit on digits keeps the number within 64 bits.
_NUMBER = re.compile(rb"0|[1-9][0-9]{0,17}")
# Fields of blocks that are not events. The empty name is that of comments and empty lines.
_CONTROL_FIELDS = frozenset({b"", b"retry"})
_ERROR_EVENT = b"error"


class EventError(ValueError):
    """An event stream is malformed or out of order."""


class EventSizeError(EventError):
    """An event is larger than events may be."""


class EventSplitter:
    """Incremental splitter of server-sent events; their content is not checked."""

    def __init__(self) -> None:
        self._pending = b""
        self._last_block = b""

    @property
    def pending_bytes(self) -> int:
        """Return the number of bytes that are held until their event is complete."""
        return len(self._pending)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the blocks of lines that are complete with these bytes.

        :returns: events or comments, each with the empty line that ends it.
        :raises EventError: if a block exceeds the size limit.
        """
        if self._pending and b"\n" not in data and b"\r" not in data:
            # No block ends here, so the pending bytes needn't be scanned again.
            self._pending += data
            self._check_size()
            return []
        data = self._pending + data if self._pending else data
        blocks: list[bytes] = []
        start = 0
        while match := _BLOCK.match(data, start):
            blocks.append(match[0])
            start = match.end()
        self._pending = data[start:]
        self._check_size()
        self._last_block = blocks[-1] if blocks else self._last_block
        return blocks

    def _check_size(self) -> None:
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventSizeError(f"an event is larger than {MAX_EVENT_BYTES} bytes")

    def finish(self, is_delimited: bool = True) -> None:
        """Check that the stream ends after a complete block.

        A block is complete for its reader once the CR of its last CR LF has arrived, so it is
        returned then. If nothing but the end of the connection ends the stream, a missing LF shows
        that it was cut.

        :param is_delimited: whether a length or chunks marked the end of the stream.
        :raises EventError: if it ends within a block or a line end.
        """
        if self._pending:
            raise EventError("the stream ended within an event")
        is_cut = self._last_block.endswith(b"\r") and b"\r\n" in self._last_block
        if is_cut and not is_delimited:
            raise EventError("the stream ended within a line end")


class EventOrderChecker:
    """Checks that only events arrive, once and in order, across attempts at several endpoints.

    :ivar last: number of the last accepted event.
    """

    def __init__(self, last: int) -> None:
        self.last = last
        self._is_resumed = False

    def resume(self) -> None:
        """Require that the next event directly follows the last one, as it must after a resume."""
        self._is_resumed = True

    def accept(self, block: bytes) -> bool:
        """Accept the next block of lines, and return whether it is an event.

        :raises EventError: if it is neither an event nor a comment, is out of order, or reports an
            error.
        """
        number = _parse_number(block)
        if number is None:
            return False
        follows = number == self.last + 1 if self._is_resumed else number > self.last
        if not follows:
            raise EventError(f"event {number} follows event {self.last}")
        self.last = number
        return True


def _parse_number(block: bytes) -> int | None:
    """Return the number of an event, None for a block that callers do not read as an event."""
    values_by_name: dict[bytes, list[bytes]] = {}
    for line in block.splitlines():
        if line and not _FIELD.match(line):
            raise EventError(f"{line[:40]!r} is not a line of an event")
        name, _, value = line.partition(b":")
        values_by_name.setdefault(name, []).append(value.removeprefix(b" "))
    if values_by_name.keys() <= _CONTROL_FIELDS:
        return None
    if _ERROR_EVENT in values_by_name.get(b"event", ()):
        raise EventError("the endpoint sent an error event")
    ids = values_by_name.get(b"id", [])
    if len(ids) != 1 or not _NUMBER.fullmatch(ids[0]):
        raise EventError("an event does not have exactly one number")
    if b"data" not in values_by_name:
        raise EventError(f"event {int(ids[0])} has no data")
    return int(ids[0])
