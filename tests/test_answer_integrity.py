"""Late, crossed, reordered or truncated answers never reach a caller as complete."""

import json
import threading
import unittest
from collections.abc import Callable, Iterable

import attrs
import urllib3
import waitress

from catkinhook.gateway import StaticSnapshotSource, build_kernel
from catkinhook.requests.outcomes import Outcome
from tests.gateway_fakes import Cut, FakeEndpoint, RetryingDispatcher, make_settings, make_snapshot

PROMPT = "own"
TEXT = "own-0 own-1 own-2"
Hook = Callable[[str, int, bytes], list[bytes]]


@attrs.frozen
class ReceivedResponse:
    """Response as seen by a caller: whether it looks complete, and its text."""

    complete: bool
    text: str


def make_hook(change: Callable[[str, int, bytes], list[bytes]], times: int) -> Hook:
    """Return a hook that modifies the second event of a stream, at most ``times`` times."""
    remaining = [times]

    def hook(attempt: str, sequence: int, block: bytes) -> list[bytes]:
        if sequence != 2 or remaining[0] <= 0:
            return [block]
        remaining[0] -= 1
        return change(attempt, sequence, block)

    return hook


def _cross(attempt: str, sequence: int, block: bytes) -> list[bytes]:
    return [block.replace(attempt.encode(), b"f" * 32).replace(b"own", b"foreign")]


def _swap(attempt: str, sequence: int, block: bytes) -> list[bytes]:
    later = block.replace(b":2\n", b":3\n").replace(b"own-1", b"own-2")
    return [later, block]


def _cut(attempt: str, sequence: int, block: bytes) -> list[bytes]:
    raise Cut


def _report_error(attempt: str, sequence: int, block: bytes) -> list[bytes]:
    return [b"event: error\n" + block.replace(b"own", b"foreign")]


def _replace_with_answer(attempt: str, sequence: int, block: bytes) -> list[bytes]:
    return [b"HTTP/1.1 500 Internal Server Error\r\nServer: engine\r\n\r\nforeign\r\n\r\n"]


CHANGES: dict[str, Callable[[str, int, bytes], list[bytes]]] = {
    "crossed": _cross,
    "late event of an earlier attempt": lambda a, n, b: [*_cross(a, n, b), b],
    "out of order": _swap,
    "repeated": lambda a, n, b: [b, b],
    "missing": lambda a, n, b: [],
    "without id": lambda a, n, b: [b.partition(b"\n")[2].replace(b"own", b"foreign")],
    "cut": _cut,
    "error event": _report_error,
    "answer instead of an event": _replace_with_answer,
}


def read_stream(url: str) -> ReceivedResponse:
    """Read a stream as a caller that relies on its end marker."""
    body = json.dumps({"model": "summary", "prompt": PROMPT, "stream": True}).encode()
    target = url + "/v1/completions"
    response = urllib3.request("POST", target, body=body, retries=False, preload_content=False)
    data = b""
    try:
        for chunk in response.stream(4096):
            data += chunk
    except urllib3.exceptions.HTTPError:
        return ReceivedResponse(False, "")
    lines = [line for line in data.decode().split("\n\n") if line]
    texts = [
        json.loads(line.partition("data: ")[2])["choices"][0]["text"]
        for line in lines
        if "choices" in line
    ]
    return ReceivedResponse(bool(lines) and lines[-1].endswith("data: [DONE]"), " ".join(texts))


def read_full_response(url: str) -> ReceivedResponse:
    """Read a non-streaming response as a caller that relies on status and length."""
    body = json.dumps({"model": "summary", "prompt": PROMPT}).encode()
    try:
        response = urllib3.request("POST", url + "/v1/completions", body=body, retries=False)
    except urllib3.exceptions.HTTPError:
        return ReceivedResponse(False, "")
    return ReceivedResponse(response.status == 200, response.data.decode())


class NaiveRelay:
    """Relay that forwards all bytes without checking ids, for comparison with the gateway."""

    def __init__(self, address: str) -> None:
        self._engine = f"http://{address}"
        self._server = waitress.create_server(self._serve, host="127.0.0.1", port=0, threads=4)
        self.url = f"http://127.0.0.1:{self._server.effective_port}"
        threading.Thread(target=self._server.run, daemon=True).start()

    def _serve(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        response = urllib3.request(
            "POST",
            self._engine + environ["PATH_INFO"],
            body=environ["wsgi.input"].read(),
            headers={"X-Request-Id": "a" * 32},
            preload_content=False,
            retries=False,
        )
        start_response("200 OK", [("Content-Type", "text/plain")])
        try:
            while data := response.read1(65536):
                yield data
        except urllib3.exceptions.HTTPError:
            return


class IntegrityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.engine = FakeEndpoint()
        self.addCleanup(self.engine.close)
        self.dispatcher = RetryingDispatcher(retries=0)
        source = StaticSnapshotSource(make_snapshot(self.engine.view()))
        kernel = build_kernel(make_settings(), source, self.dispatcher)
        kernel.start()
        self.addCleanup(kernel.close)
        self.url = f"http://127.0.0.1:{kernel.find('listener').port}"

    def test_stream_with_one_fault_is_recovered(self) -> None:
        """Guards against forwarding a wrong event, and against failing where a resume succeeds."""
        for name, change in CHANGES.items():
            with self.subTest(name):
                self.engine.on_event = make_hook(change, times=1)
                self.assertEqual(read_stream(self.url), ReceivedResponse(True, TEXT))

    def test_stream_with_persistent_fault_is_complete_only_if_correct(self) -> None:
        """Guards against sending the end marker after wrong or missing events."""
        complete = set()
        for name, change in CHANGES.items():
            with self.subTest(name):
                self.engine.on_event = make_hook(change, times=100)
                received = read_stream(self.url)
                if received.complete:
                    complete.add(name)
                    self.assertEqual(received.text, TEXT)
                self.assertTrue(TEXT.startswith(received.text), received.text)
        # The resume starts after the repeated event, so it does not request that event again.
        self.assertEqual(complete, {"repeated"})

    def test_full_response_of_another_request_is_refused(self) -> None:
        body = b'{"choices": [{"text": "foreign"}]}'
        self.engine.on_request = lambda request: (200, {"X-Request-Id": "f" * 32}, body)
        self.assertFalse(read_full_response(self.url).complete)

    def test_resume_does_not_act_on_the_answer_of_another_request(self) -> None:
        """Guards against ending a stream, or reporting a crash, for another request's answer."""
        foreign = {"X-Request-Id": "f" * 32, "X-Boot-Id": "another"}
        for status in (200, 404):
            with self.subTest(status=status):
                answers = [(status, foreign, b"{}")]

                def answer_resume(request: object, answers: list = answers) -> tuple | None:
                    is_resume = request.path.startswith("/v1/streams/")
                    return answers.pop() if is_resume and answers else None

                self.dispatcher.outcomes.clear()
                self.engine.on_event = make_hook(_cut, times=1)
                self.engine.on_request = answer_resume
                self.assertEqual(read_stream(self.url), ReceivedResponse(True, TEXT))
                self.assertNotIn(Outcome.CRASHED, self.dispatcher.outcomes)

    def test_truncated_full_response_is_refused(self) -> None:
        """Guards against forwarding the part that arrived before the connection was lost."""
        self.engine.on_request = self._send_half
        self.assertFalse(read_full_response(self.url).complete)

    def test_naive_relay_fails_the_same_checks(self) -> None:
        """Guards against checks that detect no violation."""
        naive = NaiveRelay(self.engine.address)
        violations = set()
        for name, change in CHANGES.items():
            self.engine.on_event = make_hook(change, times=100)
            received = read_stream(naive.url)
            if received.complete and received.text != TEXT:
                violations.add(name)
        # A truncated stream has no end marker whatever the relay does, so the difference shows only
        # in a truncated non-streaming response.
        self.assertEqual(violations, set(CHANGES) - {"cut"})
        self.engine.on_request = self._send_half
        self.assertTrue(read_full_response(naive.url).complete)

    def _send_half(self, request: object) -> tuple | None:
        if not request.path.startswith("/v1/completions"):
            return None
        return 200, {"Content-Length": "1000", "Connection": "close"}, b'{"choices": ['


if __name__ == "__main__":
    unittest.main()
