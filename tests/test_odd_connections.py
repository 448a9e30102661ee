"""Odd requests and unexpected ends of connections of the HTTP server."""

import time
import unittest

from waitress.adjustments import Adjustments

from catkinhook.platform.upstream import _FOLD as UPSTREAM_FOLD
from catkinhook.units import KIB
from catkinhook.wsgiserver import Parser
from tests.connectioncase import HEADERS, ConnectionCase

# Time for one head of 60 KiB. A quadratic pattern takes several seconds, a linear one 1 ms.
PARSE_S = 0.5


def parse(data: bytes) -> Parser:
    """Return the parser of a request."""
    parser = Parser(Adjustments())
    while data:
        data = data[parser.received(data) :]
        if parser.completed:
            break
    return parser


class ParserTest(unittest.TestCase):
    """Heads of requests that are odd or made to harm."""

    def test_run_of_spaces_does_not_block_the_event_loop(self) -> None:
        """One request must not stop the event loop, and with it all requests, for seconds."""
        began = time.process_time()
        parser = parse(b"GET / HTTP/1.1\r\nX-A: a" + b" " * (60 * KIB) + b"b\r\n\r\n")
        self.assertLess(time.process_time() - began, PARSE_S)
        self.assertIsNone(parser.error)

    def test_run_of_spaces_of_an_endpoint_does_not_block_the_host(self) -> None:
        """A header of an endpoint must not hold the interpreter for seconds."""
        began = time.process_time()
        UPSTREAM_FOLD.sub(" ", "a" + " " * (60 * KIB) + "b")
        self.assertLess(time.process_time() - began, PARSE_S)
        self.assertEqual(UPSTREAM_FOLD.sub(" ", "a \t\r\n\t b\n c  d"), "a b c  d")

    def test_body_in_chunks_needs_http_1_1(self) -> None:
        """A body in chunks must not be dropped, and then be read as a further request."""
        body = b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
        for version in (b" HTTP/1.0", b" HTTP/1.2", b""):
            parser = parse(b"POST /x" + version + b"\r\nConnection: keep-alive\r\n" + body)
            self.assertEqual(getattr(parser.error, "code", None), 400, version)
        parser = parse(b"POST /x HTTP/1.1\r\n" + body)
        self.assertIsNone(parser.error)
        self.assertEqual(parser.get_body_stream().read(), b"hello")


class OddTargetTest(ConnectionCase):
    """A host whose callers send targets that can't be passed on."""

    def test_target_with_control_characters_is_refused(self) -> None:
        """It is the caller's fault: no endpoint is tried, and none is blamed."""
        for target in ("/look/a\x01b", "/look/a\x7fb", "/look/a\tb"):
            status, _ = self.exchange(f"GET {target} HTTP/1.1\r\n{HEADERS}\r\n")
            self.check_nothing_is_held()
            self.assertEqual(status, 400, target)
