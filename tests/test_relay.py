"""Parser of event streams, chunk decoder and sequence check."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from catkinhook.requests.chunkdecoder import ChunkDecoder, ChunkError
from catkinhook.requests.relay import Event, EventChecker, EventParser, StreamError, render_event

EVENTS = [Event(b"a:%d" % n, b"line %d" % n) for n in range(1, 6)]
WIRE = b"".join(b"id: %b\ndata: %b\n\n" % (event.event_id, event.data) for event in EVENTS)


class EventParserTest(unittest.TestCase):
    @given(st.lists(st.integers(0, len(WIRE)), max_size=12), st.booleans())
    def test_result_is_independent_of_read_boundaries(self, cuts: list[int], crlf: bool) -> None:
        """Guards against events lost or joined if a read ends within one."""
        wire = WIRE.replace(b"\n", b"\r\n") if crlf else WIRE
        parser, events = EventParser(), []
        edges = [0, *sorted(cuts), len(wire)]
        for start, end in zip(edges, edges[1:], strict=False):
            events += parser.feed(wire[start:end])
        self.assertEqual(events, EVENTS)

    def test_incomplete_event_is_bounded(self) -> None:
        """Guards against an engine that exhausts the gateway's memory with one event."""
        parser = EventParser(max_bytes=100)
        with self.assertRaises(StreamError) as caught:
            for _ in range(20):
                parser.feed(b"data: xxxx")
        self.assertEqual(caught.exception.kind, "oversized")

    def test_comments_are_skipped_and_lines_joined(self) -> None:
        events = EventParser().feed(b": ping\n\nid: a:1\ndata: x\ndata:y\n\n")
        self.assertEqual(events, [Event(b"a:1", b"x\ny")])
        self.assertEqual(render_event(events[0].data), b"data: x\ndata: y\n\n")


class ChunkDecoderTest(unittest.TestCase):
    @given(st.lists(st.binary(min_size=1, max_size=30), max_size=5), st.data())
    def test_result_is_independent_of_read_boundaries(
        self, chunks: list[bytes], data: st.DataObject
    ) -> None:
        """Guards against content that is lost, duplicated or taken from a chunk header."""
        wire = b"".join(b"%x;x=1\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
        wire += b"0\r\nTrailer: x\r\n\r\n"
        cuts = sorted(data.draw(st.lists(st.integers(0, len(wire)), max_size=12)))
        decoder, content = ChunkDecoder(), b""
        edges = [0, *cuts, len(wire)]
        for start, end in zip(edges, edges[1:], strict=False):
            content += decoder.feed(wire[start:end])
        self.assertEqual((content, decoder.ended), (b"".join(chunks), True))

    def test_invalid_coding_is_rejected(self) -> None:
        """Guards against byte sequences that decoders interpret differently."""
        for wire in (b"-1\r\n", b"x\r\n", b"\r\n", b"1_0\r\n", b"2\r\nabc", b"0\r\n\r\nz"):
            with self.subTest(wire), self.assertRaises(ChunkError):
                ChunkDecoder().feed(wire)
        with self.assertRaises(ChunkError):
            ChunkDecoder().feed(b"1" * 2000)


class EventCheckerTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.sampled_from([b"a", b"b", b"a:1"]), st.integers(0, 5))))
    def test_accepts_only_events_of_its_attempt_in_order(
        self, ids: list[tuple[bytes, int]]
    ) -> None:
        """Guards against events of another attempt, and against gaps and duplicates."""
        checker, expected = EventChecker("a"), 1
        for attempt, number in ids:
            event = Event(b"%b:%d" % (attempt, number), b"x")
            if attempt == b"a" and number == expected:
                checker.check(event)
                expected += 1
            else:
                with self.assertRaises(StreamError):
                    checker.check(event)


if __name__ == "__main__":
    unittest.main()
