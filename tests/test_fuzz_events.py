"""Fuzzing of the splitter of events and the check of their order with arbitrary bytes."""

import re
import unittest
from unittest import mock

import attrs
from hypothesis import example, given, settings
from hypothesis import strategies as st

from catkinhook.requests import eventsplitter
from catkinhook.requests.eventsplitter import EventError, EventOrderChecker, EventSplitter
from tests.test_fuzz_relay import CUTS, split

PIECES = (
    b"id: 1|id: 2|id: 3|id: 4|id:2|id: 02|id: 2 |id: x|id|id: -1|id: +3|data: x|data:x|data|data: |"
    b": ping|:|event: error|event: token|event:error|retry: 1000|weight-versions: 2|{}|<html>|"
    b"HTTP/1.1 200 OK|HTTP/1.1 500 Internal Server Error|Content-Type: text/html|content-length: 4|"
    b"\xff|\xef\xbb\xbf|\x00|\x0b|\x0c|\xc2\x85|id: 1\ndata: x\n|id: 2\ndata: y\n|"
    b"error|id: 3\r\ndata: z\r\n"
).split(b"|")
ENDS = st.sampled_from([b"\n", b"\n", b"\r\n", b"\r", b"\n\n", b"\r\n\r\n", b"\n\r\n", b""])
PIECE = st.tuples(st.sampled_from(PIECES), ENDS).map(b"".join) | st.binary(max_size=4)
STREAMS = st.lists(PIECE, max_size=24).map(b"".join)
COMMENT = st.sampled_from([b"", b"", b": ping\n\n", b":\r\n\r\n", b"\n", b"retry: 5\r\r"])
VALID_FIELD = st.sampled_from([b"data: x", b"data", b"data:", b": ping", b"event: token"])
# Each line of a caller's stream has a field name, or is a comment or empty.
LINE = re.compile(rb"(?:[a-z][a-z0-9-]*)?:.*|data|", re.DOTALL)


@attrs.frozen
class ReceivedEvent:
    """Event as a caller reads it.

    :ivar ids: values of its id lines.
    """

    ids: tuple[bytes, ...]
    event: bytes
    has_data: bool


def read_lines(data: bytes) -> list[bytes]:
    """Return the complete lines of a stream."""
    return data.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n")[:-1]


def read_as_caller(data: bytes) -> list[ReceivedEvent]:
    """Return the events of a stream as the standard of server-sent events reads them."""
    events, ids, event, has_data, has_fields = [], (), b"", False, False
    for line in read_lines(data):
        if not line:
            if has_fields:
                events.append(ReceivedEvent(ids, event, has_data))
            ids, event, has_data, has_fields = (), b"", False, False
            continue
        name, _, value = line.partition(b":")
        value = value[1:] if value[:1] == b" " else value
        has_fields = has_fields or name not in (b"", b"retry")
        has_data = has_data or name == b"data"
        ids = (*ids, value) if name == b"id" else ids
        event = value if name == b"event" else event
    return events


def relay(parts: list[bytes], last: int, is_resumed: bool) -> tuple[bytes, bool, int]:
    """Return what the caller receives, whether it looks complete, and the last number."""
    splitter, order, received = EventSplitter(), EventOrderChecker(last), b""
    if is_resumed:
        order.resume()
    try:
        for part in parts:
            for block in splitter.feed(part):
                order.accept(block)
                received += block
        splitter.finish()
    except EventError:
        return received, False, order.last
    return received, True, order.last


class EventsTest(unittest.TestCase):
    """Whatever bytes an endpoint sends, the caller reads events in their order."""

    @settings(max_examples=600)
    @given(STREAMS, CUTS, st.integers(0, 2), st.booleans())
    @example(b"HTTP/1.1 500 Internal Server Error\r\n\r\nout of memory\n\n", [], 0, True)
    @example(b"id: 1\ndata: x\n\r\nid: 9\ndata: y\n\n", [], 0, False)
    @example(b"id: " + b"4" * 5000 + b"\ndata: x\n\n", [], 0, False)
    def test_arbitrary_stream(self, wire: bytes, cuts: list[int], last: int, resumed: bool) -> None:
        """Guards against text that is no event, and events out of order, in a caller's stream."""
        received, complete, end = relay(split(wire, cuts), last, resumed)
        self.assertTrue(wire.startswith(received))
        if complete:
            self.assertEqual(received, wire)
        numbers = [last]
        for event in read_as_caller(received):
            self.assertEqual((len(event.ids), event.has_data), (1, True), received)
            self.assertNotEqual(event.event, b"error")
            numbers.append(int(event.ids[0]))
        steps = [after - before for before, after in zip(numbers, numbers[1:], strict=False)]
        self.assertTrue(all(step == 1 if resumed else step > 0 for step in steps), received)
        self.assertEqual(end, numbers[-1])
        for line in read_lines(received):
            self.assertTrue(LINE.fullmatch(line), line)

    @settings(max_examples=400)
    @given(STREAMS, CUTS, st.booleans())
    def test_result_is_independent_of_splits(
        self, wire: bytes, cuts: list[int], resumed: bool
    ) -> None:
        """Guards against line ends that are misread where two reads meet."""
        self.assertEqual(relay(split(wire, cuts), 0, resumed), relay([wire], 0, resumed))

    @settings(max_examples=300)
    @given(
        st.lists(st.tuples(COMMENT, st.lists(VALID_FIELD, max_size=3)), max_size=6),
        st.sampled_from([b"\n", b"\r\n", b"\r"]),
        CUTS,
        st.integers(0, 10**17),
    )
    def test_valid_stream_passes_unchanged(
        self, blocks: list[tuple[bytes, list[bytes]]], end: bytes, cuts: list[int], last: int
    ) -> None:
        """Guards against strict checks that end sound streams."""
        wire = b""
        for number, (comment, fields) in enumerate(blocks, last + 1):
            lines = [*fields[:1], b"id: %d" % number, *fields[1:], b"data: x"]
            wire += comment + end.join([*lines, b"", b""])
        for resumed in (False, True):
            expected = (wire, True, last + len(blocks))
            self.assertEqual(relay(split(wire, cuts), last, resumed), expected)

    @given(st.integers(1, 60))
    def test_unfinished_event_is_not_complete(self, missing: int) -> None:
        """Guards against the part of an event that counts as a whole one at the end."""
        wire = b"".join(b"id: %d\ndata: token%d\n\n" % (n, n) for n in (1, 2, 3))
        received, complete, _ = relay([wire[:-missing]], 0, False)
        self.assertEqual(complete, wire[:-missing].endswith(b"\n\n") or missing >= len(wire))
        self.assertTrue(wire.startswith(received))

    def test_long_event_in_small_pieces_is_scanned_once(self) -> None:
        """Guards against processor time that grows with the square of an event's length."""
        event = b"id: 1\ndata: " + b"x" * 10_000 + b"\n\n"
        pattern = mock.Mock(wraps=eventsplitter._BLOCK)
        with mock.patch.object(eventsplitter, "_BLOCK", pattern):
            splitter = EventSplitter()
            blocks = [b for at in range(len(event)) for b in splitter.feed(event[at : at + 1])]
        self.assertEqual(blocks, [event])
        # One scan for each end of a line, one for the first byte and one after the event.
        self.assertLessEqual(pattern.match.call_count, 5)


if __name__ == "__main__":
    unittest.main()
