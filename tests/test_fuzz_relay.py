"""Fuzzing of stream parser, chunk decoder and relay with arbitrary bytes and read boundaries."""

import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from catkinhook.operations.metrics import GatewayMetrics
from catkinhook.requests.attempts import Attempt, AttemptError, AttemptLimits, ConnectionPool
from catkinhook.requests.chunkdecoder import MAX_LINE_BYTES, ChunkDecoder, ChunkError
from catkinhook.requests.relay import EventParser, StreamError, StreamRelay
from tests.gateway_fakes import make_view

PIECES = (
    b"id: a:1\n|id: a:2\n|id: b:1\n|id:a:3\r\n|data: x\n|data: [DONE]\n|data:[DONE]|\n|\r\n|\r|"
)
PIECES += b"\n\n|: ping\n\n|id: a:1\ndata: x\n\n|id: a:2\ndata: [DONE]\n\n|event: error\n|\xff|data"
STREAMS = st.lists(st.sampled_from(PIECES.split(b"|")) | st.binary(max_size=4), max_size=24)
CODING = st.sampled_from([b"1\r\nx\r\n", b"0\r\n", b"\r\n", b"0x1\r\n", b"a;x\r\n", b"+1"])
CUTS = st.lists(st.integers(0, 500), max_size=8)
WHOLE = b"id: a:1\ndata: x\n\nid: a:2\ndata: y\n\nid: a:3\ndata: [DONE]\n\n"


def find_end_markers(received: bytes) -> list[bool]:
    """Return for each event that a caller receives whether it is the end marker."""
    text = received.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
    return [block == b"data: [DONE]" for block in text.split(b"\n\n")[:-1]]


def relay(parts: list[bytes]) -> tuple[bytes, bool, AttemptError | None]:
    """Return what the caller received, whether it is complete, and the error."""
    attempt = Attempt(ConnectionPool(), make_view("127.0.0.1:1"), "a", AttemptLimits(1, 1, 1 << 20))
    remaining = list(parts)

    def read_once() -> bytes:
        if not remaining:
            raise attempt._make_error("closed")
        return remaining.pop(0)

    def resume(last_sequence: int) -> None:
        raise attempt._make_error("answered 404", status=404)

    attempt.read_once, attempt.resume = read_once, resume
    stream, received = StreamRelay(attempt, GatewayMetrics(), lambda _: None), b""
    try:
        for data in stream:
            received += data
    except AttemptError as error:
        return received, stream.complete, error
    return received, stream.complete, None


def split(wire: bytes, cuts: list[int]) -> list[bytes]:
    """Return the bytes split at the cuts."""
    edges = [0, *sorted(cut % (len(wire) + 1) for cut in cuts), len(wire)]
    return [wire[start:end] for start, end in zip(edges, edges[1:], strict=False)]


class RelayTest(unittest.TestCase):
    @settings(max_examples=300)
    @given(STREAMS.map(b"".join) | st.integers(0, len(WHOLE)).map(lambda n: WHOLE[:n]), CUTS)
    @example(b"id: a:1\ndata: x\r\rdata: [DONE]\n\n", [])
    def test_arbitrary_stream(self, wire: bytes, cuts: list[int]) -> None:
        """Guards against hangs, and streams that look complete to the caller but are not."""
        received, complete, error = relay(split(wire, cuts))
        end_markers = find_end_markers(received)
        self.assertEqual((complete, complete), (error is None, any(end_markers)), received)
        self.assertFalse(any(end_markers[:-1]), received)
        self.assertEqual(received, relay([wire])[0])
        if WHOLE.startswith(wire):
            self.assertEqual(complete, wire == WHOLE)

    @settings(max_examples=200)
    @given(STREAMS, CUTS)
    def test_events_are_independent_of_splits(self, pieces: list[bytes], cuts: list[int]) -> None:
        """Guards against line ends misread at a split, and against unbounded buffers."""
        wire, parser, small, events = b"".join(pieces), EventParser(), EventParser(20), []
        for part in split(wire, cuts):
            events += parser.feed(part)
        self.assertEqual(events, EventParser().feed(wire))
        self.assertNotIn(b"\r", b"".join(event.event_id + event.data for event in events))
        try:
            for part in split(wire, cuts):
                small.feed(part)
                self.assertLessEqual(len(small._pending), 20)
        except StreamError as error:
            self.assertEqual(error.kind, "oversized")

    @settings(max_examples=300)
    @given(st.lists(CODING | st.binary(max_size=5), max_size=12), CUTS)
    def test_arbitrary_coding(self, pieces: list[bytes], cuts: list[int]) -> None:
        """Guards against other exceptions, and content that depends on read boundaries."""

        def decode(parts: list[bytes]) -> tuple[bytes, bool] | None:
            decoder, content = ChunkDecoder(), b""
            try:
                for part in parts:
                    content += decoder.feed(part)
                    self.assertLessEqual(len(decoder._pending), MAX_LINE_BYTES)
            except ChunkError:
                return None
            return content, decoder.ended

        wire = b"".join(pieces)
        self.assertEqual(decode(split(wire, cuts)), decode([wire]))

    def test_only_plain_hexadecimal_sizes_are_accepted(self) -> None:
        """Guards against sizes that other decoders interpret as a different number."""
        for wire in (b"0x1\r\nx\r\n", b"\x0b1\r\nx\r\n", b"1 1\r\n"):
            with self.subTest(wire), self.assertRaises(ChunkError):
                ChunkDecoder().feed(wire)
