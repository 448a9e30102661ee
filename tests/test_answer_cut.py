"""Answers that are cut at every byte of their head and body, or end with their connection."""

import collections
import itertools
import os
import re
import socket
import struct
import unittest
from http.server import BaseHTTPRequestHandler

import attrs

from catkinhook.hostsettings import Bounds
from tests.hostcase import WAIT_S, HostCase
from tests.platform_fakes import FakeEndpoint

# Short heads and bodies keep the number of cuts small.
ID = "a1"
PLAIN_BODY = b"answer"
LAST = 2
FRAMINGS = ("length", "chunked", "closing")
ENDINGS = ("close", "reset")
MAX_SHOWN = 4
LINGER_RESET = struct.pack("ii", 1, 0)
INTERIM = b"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nA: b\r\n\r\n"


_numbers = itertools.count()


def events(first: int, last: int = LAST, end: bytes = b"\n") -> bytes:
    """Return numbered events with the given line end."""
    return b"".join(b"id: %d%bdata: x%b%b" % (n, end, end, end) for n in range(first, last + 1))


def render_answer(body: bytes, framing: str, status: str = "200 OK") -> tuple[bytes, bytes]:
    """Return head and framed body of an answer."""
    line_by_framing = {
        "length": b"Content-Length: %d\r\n" % len(body),
        "chunked": b"Transfer-Encoding: chunked\r\n",
        "closing": b"",
    }
    # The framing comes last, so that most cuts of the head lack it.
    marks = f"HTTP/1.1 {status}\r\nAttempt-Id: {ID}\r\nResponse-Seal: s\r\n".encode()
    head = marks + line_by_framing[framing] + b"\r\n"
    if framing == "chunked":
        chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        return head, chunk + b"0\r\n\r\n"
    return head, body


@attrs.frozen
class RawAnswer:
    """Bytes that an endpoint sends as its answer.

    :ivar ending: ``close``, ``reset`` or ``keep`` (the connection stays open).
    """

    data: bytes
    ending: str = "keep"


class RawEndpoint(FakeEndpoint):
    """Fake endpoint that sends given bytes to the first attempt of each request.

    Later attempts get a whole answer with the events that are due.

    :cvar answer_by_path: answers to first attempts, of all endpoints.
    :cvar ports: client ports of the requests that all endpoints received, by path.
    :cvar kept_ports: client ports of connections that carried an answer that is ended by ``keep``.
    """

    answer_by_path: dict[str, RawAnswer] = {}
    ports: dict[str, list[int]] = collections.defaultdict(list)
    kept_ports: set[int] = set()

    def _handle_request(self, request: BaseHTTPRequestHandler) -> None:
        self.ports[request.path].append(request.client_address[1])
        answer = self.answer_by_path.pop(request.path, None)
        if answer is None:
            last = int(request.headers.get("Last-Event-Id") or 0)
            is_stream = bool(request.headers.get("Model"))
            body = events(last + 1) if is_stream else PLAIN_BODY
            answer = RawAnswer(b"".join(render_answer(body, "chunked")))
        request.wfile.write(answer.data)
        if answer.ending == "keep":
            self.kept_ports.add(request.client_address[1])
            return
        request.close_connection = True
        if answer.ending == "reset":
            connection = request.connection
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            os.close(connection.detach())


@attrs.frozen
class Received:
    """What a caller received.

    :ivar is_whole: whether the framing of the answer says that it is complete.
    """

    status: int
    body: bytes
    is_whole: bool
    head: bytes = attrs.field(eq=False, repr=False)


def decode_chunks(data: bytes) -> tuple[bytes, bool]:
    """Return the content of chunks as far as it arrived, and whether the last chunk came."""
    content = b""
    while data:
        size, separator, data = data.partition(b"\r\n")
        if not separator or not size:
            return content, False
        count = int(size, 16)
        if not count:
            return content, data == b"\r\n"
        content += data[:count]
        data = data[count + 2 :]
    return content, False


def read_answer(sock: socket.socket, method: str = "POST") -> Received:
    """Read an answer to the end of its connection."""
    data, is_reset = b"", False
    try:
        while part := sock.recv(65536):
            data += part
    except ConnectionResetError:
        is_reset = True
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return Received(0, data, False, head)
    lines = [line.lower() for line in head.split(b"\r\n")]
    status = int(lines[0].split()[1])
    lengths = [int(line[15:]) for line in lines if line.startswith(b"content-length:")]
    if method == "HEAD" or status in (204, 304):
        return Received(status, rest, not rest, head)
    if b"transfer-encoding: chunked" in lines:
        return Received(status, *decode_chunks(rest), head)
    is_whole = len(rest) == lengths[0] if lengths else not is_reset
    return Received(status, rest, is_whole, head)


class _SharedHost(HostCase):
    """Host whose endpoints send given bytes."""

    endpoint_class = RawEndpoint
    # The tests repeat more requests than the default budget allows.
    bounds = Bounds(lease_s=1.0, grace_s=4.0, retry_slack=100_000.0)


class CutCase(unittest.TestCase):
    """Tests that share one host, because its start takes longer than most of them."""

    @classmethod
    def setUpClass(cls) -> None:
        """Start the host."""
        # A test case needs the name of a method, which is not run here.
        cls.host_case = _SharedHost("setUp")
        cls.addClassCleanup(cls.close_host)
        cls.host_case.setUp()

    @classmethod
    def close_host(cls) -> None:
        """Stop the host, and check that it had no unhandled error."""
        if not cls.host_case.doCleanups():
            raise AssertionError("the host had an unhandled error or could not be stopped")

    def setUp(self) -> None:
        RawEndpoint.answer_by_path.clear()
        RawEndpoint.ports.clear()
        RawEndpoint.kept_ports.clear()

    def receive(
        self,
        route: str,
        answer: RawAnswer,
        method: str = "POST",
        version: str = "1.1",
        connection: str = "close",
    ) -> Received:
        """Send a request, whose first attempt gets the answer, on a new connection."""
        # Requests with an equal path count as repeats of one that crashes endpoints.
        path = f"/{route}/{next(_numbers)}"
        RawEndpoint.answer_by_path[path] = answer
        model = "Model: m1\r\nToken-Usage: 1,3\r\n" if route in ("live", "digest") else ""
        head = (
            f"{method} {path} HTTP/{version}\r\nHost: h.example\r\n"
            f"Connection: {connection}\r\n"
            f"Attempt-Id: {ID}\r\nDeadline-Ms: 3000\r\n{model}\r\n"
        )
        host, _, port = self.host_case.settings.front_address.rpartition(":")
        with socket.create_connection((host, int(port)), WAIT_S) as sock:
            sock.sendall(head.encode())
            return read_answer(sock, method)

    def check(
        self, route: str, expected_by_answer: dict[RawAnswer, tuple], version: str = "1.1"
    ) -> None:
        """Compare what callers get for each answer of an endpoint.

        :param expected_by_answer: status, body (None for that of a refusal of the host) and whether
            it is framed as whole.
        """
        wrong = []
        for answer, (status, body, is_whole) in expected_by_answer.items():
            received = self.receive(route, answer, version=version)
            body = received.body if body is None else body
            if (received.status, received.body, received.is_whole) != (status, body, is_whole):
                wrong.append((answer, received))
        self.assertFalse(wrong[:MAX_SHOWN], f"{len(wrong)} of {len(expected_by_answer)}")


REFUSED = (502, None, True)


def cut_heads(
    body: bytes, endings: tuple[str, ...] = ("close",), prefix: bytes = b""
) -> list[RawAnswer]:
    """Return an answer in each framing, cut at each byte of its head."""
    heads = [prefix + render_answer(body, framing)[0] for framing in FRAMINGS]
    cuts = {head[:size] for head in heads for size in range(len(head))}
    return [RawAnswer(cut, ending) for cut in sorted(cuts) for ending in endings]


class HeadCutTest(CutCase):
    """Answers that are cut within their heads."""

    def test_plain_answer_cut_in_its_head_is_not_whole(self) -> None:
        """A success with an empty or short body must not come from a head without its end."""
        self.check("post", dict.fromkeys(cut_heads(PLAIN_BODY, ENDINGS), REFUSED))

    def test_stream_cut_in_its_head_is_not_whole(self) -> None:
        """A stream must not be empty and complete because its head lacks its end."""
        self.check("digest", dict.fromkeys(cut_heads(events(1)), REFUSED))

    def test_head_cut_on_a_kept_connection_is_not_whole(self) -> None:
        """An answer on a connection with earlier answers must be checked like the first one."""
        for route, body in (("look", PLAIN_BODY), ("live", events(1))):
            with self.subTest(route=route):
                RawEndpoint.ports.clear()
                self.check(route, dict.fromkeys(cut_heads(body), (200, body, True)))
                # Every first attempt was cut, and the second ones keep their connections.
                attempts = list(RawEndpoint.ports.values())
                self.assertEqual({len(ports) for ports in attempts}, {2})
                self.assertTrue(any(ports[0] in RawEndpoint.kept_ports for ports in attempts))

    def test_head_cut_after_interim_answers_is_not_whole(self) -> None:
        """The end of an interim answer must not be taken for the end of the final head."""
        self.check("post", dict.fromkeys(cut_heads(PLAIN_BODY, prefix=INTERIM), REFUSED))

    def test_refusal_cut_in_its_head_does_not_promise_that_it_did_not_run(self) -> None:
        """A head without its end must not be believed, though the promise has arrived."""
        head = b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n\r\n"
        cuts = [RawAnswer(head[:size], "close") for size in range(len(head))]
        self.check("post", dict.fromkeys(cuts, REFUSED))


def cut_bodies(body: bytes) -> list[tuple[RawAnswer, str, bytes, bool]]:
    """Return an answer in each framing, cut at each byte of its body.

    :returns: answer, framing, the content that it has, and whether its framing is complete.
    """
    cuts = []
    for framing, ending in itertools.product(FRAMINGS, ENDINGS):
        head, framed = render_answer(body, framing)
        for size in range(len(framed) + 1):
            answer = RawAnswer(head + framed[:size], ending)
            content = decode_chunks(framed[:size])[0] if framing == "chunked" else framed[:size]
            is_whole = ending == "close" if framing == "closing" else size == len(framed)
            cuts.append((answer, framing, content, is_whole))
    return cuts


class BodyCutTest(CutCase):
    """Answers that are cut within their bodies, or end with their connection."""

    def test_plain_answer_cut_in_its_body_is_not_whole(self) -> None:
        """A short body must not be framed as whole; without a framing, only a reset shows it."""
        self.check(
            "post",
            {
                answer: (200, content, True) if is_whole else REFUSED
                for answer, _, content, is_whole in cut_bodies(PLAIN_BODY)
            },
        )

    def test_stream_that_ends_inside_an_event_is_broken_off(self) -> None:
        """A stream that may not be resumed must not end as complete inside an event."""
        expected_by_answer = {}
        for answer, _, content, is_whole in cut_bodies(events(1)):
            complete = events(1, content.count(b"\n\n"))
            expected = (200, complete, is_whole and content == complete)
            expected_by_answer[answer] = expected if complete else REFUSED
        self.check("digest", expected_by_answer)

    def test_stream_that_ends_inside_an_event_is_resumed(self) -> None:
        """A stream that may be resumed must go on elsewhere after the last complete event."""
        expected_by_answer = {}
        for answer, _, content, is_whole in cut_bodies(events(1)):
            count = content.count(b"\n\n")
            if is_whole and count and content == events(1, count):
                expected_by_answer[answer] = (200, content, True)
            else:
                # After the last event, nothing shows that the stream was complete.
                expected_by_answer[answer] = (200, events(1), count < LAST)
        self.check("live", expected_by_answer)

    def test_stream_cut_inside_a_line_end_is_broken_off(self) -> None:
        """A stream that ends between CR and LF must not end as complete."""
        stream = events(1, end=b"\r\n")
        head, _ = render_answer(stream, "closing")
        expected_by_answer, expected_by_resumed = {}, {}
        for size in range(len(stream) + 1):
            # The empty line that ends an event is complete for a caller once its CR has arrived.
            content = stream[:size]
            count = content.count(b"\r\n\r")
            passed = content[: content.rfind(b"\r\n\r") + 3] if count else b""
            is_whole = bool(count) and content == events(1, count, b"\r\n")
            passed = content if is_whole else passed
            if content.count(b"\r\n\r\n") == count:
                passed = events(1, count, b"\r\n")
            answer = RawAnswer(head + content, "close")
            expected_by_answer[answer] = (200, passed, is_whole) if count else REFUSED
            rest = b"" if is_whole else events(count + 1)
            expected_by_resumed[answer] = (200, passed + rest, is_whole or count < LAST)
        self.check("digest", expected_by_answer)
        self.check("live", expected_by_resumed)

    def test_mixed_line_ends_within_a_framing_are_whole(self) -> None:
        """A stream that its framing calls complete must not be broken off for its line ends."""
        stream = events(1, end=b"\r\n")[:-1]
        for framing in ("length", "chunked"):
            whole = RawAnswer(b"".join(render_answer(stream, framing)))
            self.check("digest", {whole: (200, stream, True)})


class CallerFramingTest(CutCase):
    """Framing of answers towards the caller."""

    def test_broken_stream_does_not_look_whole_without_chunks(self) -> None:
        """A caller with HTTP/1.0 gets no chunks, and must see that a stream was broken off."""
        expected_by_answer = {}
        for answer, _, content, is_whole in cut_bodies(events(1)):
            count = content.count(b"\n\n")
            if count and answer.ending == "close":
                is_complete = is_whole and content == events(1, count)
                expected_by_answer[answer] = (200, None, is_complete)
        self.check("digest", expected_by_answer, version="1.0")

    def test_broken_stream_does_not_look_whole_on_a_kept_connection(self) -> None:
        """A caller that keeps its connection must see that a stream was broken off, too."""
        head, body = render_answer(events(1), "closing")
        for version in ("1.0", "1.1"):
            for size, is_whole in ((len(body), True), (len(body) - 1, False)):
                answer = RawAnswer(head + body[:size], "close")
                with self.subTest(version=version, size=size):
                    received = self.receive("digest", answer, "POST", version, "keep-alive")
                    self.assertEqual((received.status, received.is_whole), (200, is_whole))

    def test_answers_without_a_body_do_not_wait_for_one(self) -> None:
        """Answers to HEAD and those with 204 or 304 end with their head, whatever it announces."""
        for method, status in (("HEAD", 200), ("HEAD", 404), ("GET", 204), ("GET", 304)):
            for framing in FRAMINGS:
                with self.subTest(method=method, status=status, framing=framing):
                    head, _ = render_answer(PLAIN_BODY, framing, f"{status} X")
                    received = self.receive("post", RawAnswer(head), method)
                    expected = (status, b"", True)
                    self.assertEqual((received.status, received.body, received.is_whole), expected)
                    # No header may announce a body of another size than that of the endpoint.
                    lengths = re.findall(rb"content-length: *(\d+)", received.head.lower())
                    is_announced = method == "HEAD" and framing == "length"
                    expected_lengths = [str(len(PLAIN_BODY)).encode()] if is_announced else []
                    self.assertEqual(lengths, expected_lengths)

    def test_refusal_of_a_head_request_has_no_body(self) -> None:
        """Bytes after the head of an answer to HEAD would be read as the next answer."""
        for route, status in (("post", 502), ("unknown", 404)):
            received = self.receive(route, RawAnswer(b"", "close"), "HEAD")
            self.assertEqual((received.status, received.body), (status, b""))


if __name__ == "__main__":
    unittest.main()
