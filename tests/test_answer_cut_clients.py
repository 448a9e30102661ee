"""Answers that other HTTP clients than that of a host's requests get cut at every byte."""

import unittest
from typing import Any

import urllib3

from catkinhook.gateway import StaticSnapshotSource, build_kernel
from catkinhook.requests.outcomes import Outcome
from tests.gateway_fakes import (
    Cut,
    FakeEndpoint,
    ReceivedRequest,
    RetryingDispatcher,
    make_settings,
    make_snapshot,
)


class CuttingEngine(FakeEndpoint):
    """Fake engine or plain service that cuts the answers to some requests.

    :ivar cut_path: beginning of the path of requests whose answers are cut.
    :ivar size: bytes of these answers that are sent, None for whole answers.
    :ivar cuts_left: number of answers that are still cut.
    :ivar last_size: size of the last answer that was to be cut.
    """

    def __init__(self, *args: str) -> None:
        self.cut_path = "/"
        self.size: int | None = None
        self.cuts_left = 0
        self.last_size = 0
        super().__init__(*args)

    def _respond(self, connection: Any, request: ReceivedRequest) -> None:
        if self.size is None or not self.cuts_left or not request.path.startswith(self.cut_path):
            super()._respond(connection, request)
            return
        self.cuts_left -= 1
        recorder = _Recorder()
        super()._respond(recorder, request)
        self.last_size = len(recorder.data)
        connection.sendall(recorder.data[: self.size])
        raise Cut


class _Recorder:
    """Stands in for a connection and records what is sent."""

    def __init__(self) -> None:
        self.data = b""

    def sendall(self, data: bytes) -> None:
        self.data += data


class GatewayCutTest(unittest.TestCase):
    """Answers of engines and plain services to a gateway."""

    def setUp(self) -> None:
        self.engine = CuttingEngine()
        self.plain = CuttingEngine("ledger", "plain")
        self.dispatcher = RetryingDispatcher(retries=0)
        source = StaticSnapshotSource(make_snapshot(self.engine.view(), self.plain.view()))
        kernel = build_kernel(make_settings(), source, self.dispatcher)
        kernel.start()
        for part in (kernel, self.engine, self.plain):
            self.addCleanup(part.close)
        self.url = f"http://127.0.0.1:{kernel.find('listener').port}"

    def complete(self, stream: bool = False) -> tuple[int, bytes]:
        """Request a completion; return status and body."""
        fields = {"model": "summary", "prompt": "own", "stream": stream, "max_tokens": 1}
        response = urllib3.request("POST", f"{self.url}/v1/completions", json=fields, retries=False)
        return response.status, response.data

    def cut_each(self, engine: CuttingEngine, path: str, call: Any, cuts: int = 1) -> dict:
        """Return what a call returns by the number of bytes that were sent of an answer.

        :param cuts: number of answers that are cut in each call.
        """
        engine.cut_path, engine.size, engine.last_size = path, 0, 1
        returned = {}
        while engine.size < engine.last_size:
            engine.cuts_left = cuts
            returned[engine.size] = call()
            engine.size += 1
        engine.size = None
        return returned

    def check_no_crash(self) -> None:
        """Check that no attempt counts as one that crashed its endpoint."""
        crashes = self.dispatcher.outcomes.count(Outcome.CRASHED)
        self.assertEqual(crashes, 0, f"of {len(self.dispatcher.outcomes)} attempts")

    def test_cut_answer_of_an_engine_is_not_whole(self) -> None:
        """A success without its text must not come from a head without its end."""
        whole = self.complete()
        self.assertEqual(whole[0], 200)
        returned = self.cut_each(self.engine, "/v1/completions", self.complete)
        wrong = {size: answer for size, answer in returned.items() if answer[0] != 502}
        self.assertFalse(wrong)
        self.check_no_crash()

    def test_cut_answer_of_a_plain_service_is_not_whole(self) -> None:
        """The same for an answer whose length comes before its other headers, and is 0."""
        headers = {"Content-Length": "0", "Content-Location": "/balance/17"}
        self.plain.on_request = lambda request: (
            (200, headers, b"") if request.path.startswith("/balance") else None
        )

        def read() -> tuple[int, str | None]:
            response = urllib3.request("GET", f"{self.url}/services/ledger/balance", retries=False)
            return response.status, response.headers.get("Content-Location")

        self.assertEqual(read()[0], 200)
        returned = self.cut_each(self.plain, "/balance", read)
        wrong = {size: answer for size, answer in returned.items() if answer[0] != 502}
        self.assertFalse(wrong)

    def test_cut_stream_of_an_engine_is_resumed(self) -> None:
        """A stream that was cut must go on at the same engine after each cut."""
        whole = self.complete(stream=True)
        self.assertIn(b"[DONE]", whole[1])

        def stream() -> tuple[int, bytes]:
            return self.complete(stream=True)

        returned = self.cut_each(self.engine, "/v1/completions", stream)
        # Before the end of its head, an answer does not show that the engine took the request.
        wrong = {s: a for s, a in returned.items() if a != whole and a[0] != 502}
        self.assertFalse(wrong)
        self.assertIn(whole, returned.values())
        self.check_no_crash()

    def test_cut_answer_to_a_resume_does_not_show_a_restart(self) -> None:
        """Half a boot id must not end a stream that its engine still has."""
        whole = self.complete(stream=True)

        def stream() -> tuple[int, bytes]:
            self.engine.on_event = cut_once
            return self.complete(stream=True)

        def cut_once(attempt: str, sequence: int, block: bytes) -> list[bytes]:
            self.engine.on_event = lambda attempt, sequence, block: [block]
            raise Cut

        returned = self.cut_each(self.engine, "/v1/streams/", stream)
        wrong = {size: answer for size, answer in returned.items() if answer != whole}
        self.assertFalse(wrong)
        self.check_no_crash()

    def test_cut_report_does_not_show_a_restart(self) -> None:
        """Half a boot id must not show that an engine crashed, which a retry would repeat."""
        self.engine.on_request = lambda request: (
            (200, {"Content-Length": "1000", "Connection": "close"}, b"")
            if request.path == "/v1/completions"
            else None
        )
        # The gateway asks three times.
        self.cut_each(self.engine, "/v1/report", self.complete, cuts=1)
        self.check_no_crash()


if __name__ == "__main__":
    unittest.main()
