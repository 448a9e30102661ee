"""A request reported as not run did not run, wherever its connection was reset."""

import socket
import unittest

import urllib3
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok, Result

from catkinhook.durable.claimanswers import Answer
from catkinhook.durable.claimtypes import Claim, ClaimAcquired
from catkinhook.errors import Refusal
from catkinhook.gateway import StaticSnapshotSource, build_kernel
from tests.gateway_fakes import Cut, FakeEndpoint, RetryingDispatcher, make_settings, make_snapshot

BODY = b"x" * 3000


class RecordingClaims:
    """Fake claim store that records state transitions.

    :ivar paused: simulates a process that was paused between ``sent`` and the first byte.
    """

    def __init__(self) -> None:
        self.steps: list[str] = []
        self.paused = False

    def acquire(self, key: str, body_hash: str, timeout: float, labels: dict) -> Result:
        """Claim any key."""
        claim = Claim(key=key, body_hash=body_hash, claimant="c", version=1, labels=labels)
        return self._record("claimed", ClaimAcquired(claim))

    def mark_sent(self, claim: Claim) -> Result[Claim, Refusal]:
        """Record that the request may be sent."""
        return self._record("sent", claim)

    def may_send(self, claim: Claim) -> bool:
        """Return false if the process was paused."""
        return not self.paused

    def release_not_run(self, claim: Claim, retry: bool) -> Result[Claim, Refusal]:
        """Record that the request did not run."""
        return self._record("kept" if retry else "released", claim)

    def mark_lost(self, claim: Claim) -> None:
        """Record that the answer is lost."""
        self._record("lost", claim)

    def complete(self, claim: Claim, answer: Answer) -> Result[None, Refusal]:
        """Record the answer."""
        return self._record("done", None)

    def _record(self, step: str, value: object) -> Result:
        self.steps.append(step)
        return Ok(value)


class NotRunTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = FakeEndpoint("ledger", "plain")
        self.addCleanup(self.ledger.close)
        self.claims = RecordingClaims()
        self.dispatcher = RetryingDispatcher(retries=3)
        source = StaticSnapshotSource(make_snapshot(self.ledger.view()))
        kernel = build_kernel(make_settings(), source, self.dispatcher, self.claims)
        kernel.start()
        self.addCleanup(kernel.close)
        self.url = f"http://127.0.0.1:{kernel.find('listener').port}/services/ledger/postings"

    def post(self) -> urllib3.BaseHTTPResponse:
        """Send a posting."""
        self.claims.steps.clear()
        headers = {"Idempotency-Key": "k"}
        return urllib3.request("POST", self.url, body=BODY, headers=headers, retries=False)

    def test_refused_connection_did_not_run(self) -> None:
        self.ledger.close()
        answer = self.post()
        self.assertEqual((answer.status, answer.json()["ran"]), (503, "no"))
        self.assertEqual(self.claims.steps, ["claimed", "sent", "kept", "released"])

    @settings(max_examples=25)
    @given(st.one_of(st.sampled_from([0, 1]), st.integers(2, len(BODY) + 300)))
    def test_cut_after_any_number_of_bytes(self, taken: int) -> None:
        """Guards against "no" for a request whose bytes the endpoint may have read."""
        read: list[int] = []
        cuts = [True]

        def cut(connection: socket.socket) -> None:
            if not cuts:
                return  # the probe after the lost connection
            cuts.clear()
            while sum(read) < taken:
                part = connection.recv(taken - sum(read))
                if not part:
                    break
                read.append(len(part))
            raise Cut

        self.ledger.on_accept = cut
        answer = self.post()
        self.assertEqual(answer.status, 503 if answer.json()["ran"] == "no" else 502)
        if sum(read):
            self.assertEqual(answer.json()["ran"], "unknown")
            self.assertEqual(self.claims.steps, ["claimed", "sent", "lost"])

    def test_cut_after_the_last_byte_is_never_sent_again(self) -> None:
        """Guards against a posting that runs twice because its answer was lost."""

        def run_and_cut(request: object) -> None:
            raise Cut

        self.ledger.on_request = run_and_cut
        answer = self.post()
        self.assertEqual((answer.status, answer.json()["ran"]), (502, "unknown"))
        self.assertEqual(self.ledger.count("/postings"), 1)
        self.assertEqual(self.claims.steps, ["claimed", "sent", "lost"])

    def test_missing_answer_does_not_mean_not_run(self) -> None:
        """Shows that "no answer means not run" is wrong if only the answer was lost."""

        def run_and_cut(request: object) -> None:
            raise Cut

        self.ledger.on_request = run_and_cut
        url = f"http://{self.ledger.view().address}/postings"
        naive_ran = "yes"
        try:
            urllib3.request("POST", url, body=BODY, retries=False)
        except urllib3.exceptions.HTTPError:
            naive_ran = "no"
        self.assertEqual((naive_ran, self.ledger.count("/postings")), ("no", 1))

    def test_not_run_response_of_an_endpoint_is_trusted(self) -> None:
        self.ledger.on_request = lambda request: (503, {"X-Not-Run": "1"}, b"{}")
        answer = self.post()
        self.assertEqual((answer.status, answer.json()["ran"]), (503, "no"))
        self.assertEqual(self.claims.steps, ["claimed", "sent", "kept", "released"])

    def test_process_that_was_paused_does_not_send(self) -> None:
        """Guards against sending a posting after an operator settled its claim as not run."""
        self.claims.paused = True
        answer = self.post()
        self.assertEqual((answer.status, answer.json()["ran"]), (503, "no"))
        self.assertEqual(self.ledger.count("/postings"), 0)
        self.assertEqual(self.claims.steps, ["claimed", "sent", "kept", "released"])

    def test_refused_admission_releases_the_claim(self) -> None:
        """Guards against a key that stays claimed by a request that was never sent."""
        self.dispatcher.admit = lambda request, now: Err(Refusal("dispatch", "", "full", "full"))
        self.assertEqual(self.post().json()["ran"], "no")
        self.assertEqual(self.claims.steps, ["claimed", "released"])

    def test_answer_is_stored_and_passed_on(self) -> None:
        """Guards against treating an error response of the service as a lost request."""
        for status in (200, 409, 500):
            self.ledger.on_request = lambda request, status=status: (status, {}, b"answer")
            answer = self.post()
            self.assertEqual((answer.status, answer.data), (status, b"answer"))
            self.assertEqual(self.claims.steps, ["claimed", "sent", "done"])

    def test_crossed_answer_of_a_posting_is_unknown(self) -> None:
        """Guards against storing another request's answer under this one's key."""
        self.ledger.on_request = lambda request: (200, {"X-Request-Id": "f" * 32}, b"foreign")
        answer = self.post()
        self.assertEqual((answer.status, answer.json()["ran"]), (502, "unknown"))
        self.assertEqual(self.claims.steps, ["claimed", "sent", "lost"])

    def test_refusal_of_another_request_is_not_trusted(self) -> None:
        """Guards against "not run" for a posting that runs, by a refusal of another request."""
        own = "{own}"
        for ids in ([], ["f" * 32], ["f" * 32, own], [own, "f" * 32]):
            with self.subTest(ids=ids):

                def refuse(request: object, ids: list[str] = ids) -> tuple:
                    values = [i.format(own=request.headers.get("x-request-id")) for i in ids] or [
                        ""
                    ]
                    lines = "\r\nX-Request-Id: ".join(values)
                    return 503, {"X-Not-Run": "1", "X-Request-Id": lines}, b"{}"

                self.ledger.on_request = refuse
                answer = self.post()
                self.assertEqual((answer.status, answer.json()["ran"]), (502, "unknown"))
                self.assertEqual(self.claims.steps, ["claimed", "sent", "lost"])


if __name__ == "__main__":
    unittest.main()
