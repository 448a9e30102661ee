"""End-to-end tests with separate processes: requests, invalid input and planned stops."""

import contextlib
import json
import signal
import threading
import unittest

import urllib3

from tests.loopback_deployment import TOKEN, Deployment, wait_for

CHAT = """\
service: chat
owner: test
endpoints:
  kind: engine
  checks_fencing: false
  max_message_delay: 1s
  weight_store: {name: test, loads_per_second: 5, loads_at_once: 4}
models:
  - {name: small, memory: 8GiB, copies: 2, adapters: [{name: formal, memory: 64MiB}]}
classes:
  live: {first_token: 2s, between_tokens: 200ms}
default_class: live
"""

LEDGER = """\
service: ledger
owner: test
endpoints: {kind: plain}
routes:
  - {path: /postings, method: POST, repeatable: false}
"""


class DeploymentTest(unittest.TestCase):
    """Gateway, controller, platform, two engines of different speed and a plain service."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.deployment = Deployment()
        cls.addClassCleanup(cls.deployment.close)
        fast = cls.deployment.start_emulator("engine", "--step-time", "10ms")
        slow = cls.deployment.start_emulator("engine", "--step-time", "30ms")
        cls.ledger = cls.deployment.start_emulator("service")
        cls.deployment.register_host("e1", fast, "chat", "zone-a")
        cls.deployment.register_host("e2", slow, "chat", "zone-b")
        cls.deployment.register_host("s1", cls.ledger, "ledger", "zone-a")
        cls.node = cls.deployment.add_node("entry-1", "zone-a")
        for service, text in (("chat", CHAT), ("ledger", LEDGER)):
            status = cls.put_document(service, text)
            assert status == 200, status
        cls.deployment.await_model(cls.node, "small")

    @classmethod
    def put_document(cls, service: str, text: str, version: str = "0") -> int:
        url = f"http://{cls.node.admin_address}/api/documents/{service}"
        headers = {"Authorization": f"Bearer {TOKEN}", "If-Match": version}
        return cls.deployment.http.request("PUT", url, body=text, headers=headers).status

    def post(self, path: str, body: object, **headers: str):
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        url = self.node.url + path
        return self.deployment.http.request("POST", url, body=raw, headers=headers)

    def test_plain_answer_is_stable_for_a_prompt(self) -> None:
        answers = {
            json.loads(self.deployment.complete(self.node, "small", "hello").data)["choices"][0][
                "message"
            ]["content"]
            for _ in range(4)
        }
        self.assertEqual(len(answers), 1)

    def test_plain_answer_slower_than_the_connect_timeout(self) -> None:
        """The connect timeout must not apply to the answer."""
        response = self.deployment.complete(self.node, "small", "a long letter", max_tokens=150)
        self.assertEqual(response.status, 200, response.data)

    def test_adapter_is_loaded_on_demand(self) -> None:
        response = self.deployment.complete(self.node, "small/formal", "hello")
        self.assertEqual(response.status, 200, response.data)

    def test_stream_ends_with_done(self) -> None:
        response = self.deployment.complete(self.node, "small", "hello", stream=True)
        self.assertTrue(response.data.endswith(b"data: [DONE]\n\n"), response.data[-200:])
        self.assertEqual(response.data.count(b"data: "), 9)

    def test_repeated_posting_runs_once(self) -> None:
        answers = {
            self.post(
                "/services/ledger/postings", {"amount": 5}, **{"Idempotency-Key": "posting-1"}
            ).data
            for _ in range(3)
        }
        self.assertEqual(len(answers), 1)
        runs = self.deployment.http.request("GET", f"http://{self.ledger}/runs")
        self.assertEqual(json.loads(runs.data)["runs"]["posting-1"], 1, runs.data)

    def test_invalid_input_gets_a_problem_document(self) -> None:
        """Invalid requests must not cause tracebacks, status 5xx or side effects."""
        chat = "/v1/chat/completions"
        cases = [
            (chat, {"model": "nothing", "messages": []}, {}, 404),
            (chat, b"{not json", {}, 400),
            (chat, b"x" * (3 << 20), {}, 413),
            ("/services/ledger/postings", {"amount": 1}, {}, 400),
            ("/services/nothing/x", {}, {}, 404),
        ]
        for path, body, headers, status in cases:
            response = self.post(path, body, **headers)
            problem = json.loads(response.data)
            self.assertEqual((response.status, problem["ran"]), (status, "no"), problem)

    def test_invalid_document_changes_nothing(self) -> None:
        self.assertIn(self.put_document("chat", CHAT.replace("8GiB", "8"), "1"), (400, 422))
        self.assertEqual(self.deployment.complete(self.node, "small", "still there").status, 200)

    def stop_during_a_stream(self, name: str, gateway: dict | None = None) -> tuple[bytes, int]:
        """Return the bytes that a caller received, and the exit code of the stopped gateway."""
        node = self.deployment.add_node(name, "zone-b", gateway)
        self.deployment.await_model(node, "small")
        body = {
            "model": "small",
            "messages": [{"role": "user", "content": "long"}],
            "max_tokens": 60,
            "stream": True,
        }
        url = f"{node.url}/v1/chat/completions"
        response = self.deployment.http.request("POST", url, json=body, preload_content=False)
        chunks = response.stream(64)
        received = [next(chunks)]
        node.gateway.send(signal.SIGTERM)

        def read() -> None:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                received.extend(chunks)

        reader = threading.Thread(target=read)
        reader.start()
        reader.join(40)
        return b"".join(received), node.gateway.popen.wait(40)

    def test_stop_lets_a_stream_finish(self) -> None:
        """A planned stop must not abort requests in progress."""
        received, code = self.stop_during_a_stream("entry-2")
        self.assertTrue(received.endswith(b"data: [DONE]\n\n"), received[-200:])
        self.assertEqual(received.count(b"data: "), 61)
        self.assertEqual(code, 0)
        wait_for(lambda: self.deployment.complete(self.node, "small", "x").status == 200, "served")

    def test_stop_without_drain_time_aborts_a_stream(self) -> None:
        """Without a drain time, a planned stop aborts the stream."""
        received, _ = self.stop_during_a_stream(
            "entry-3", {"drain_time": "1ms", "notice_time": "1ms"}
        )
        self.assertNotIn(b"[DONE]", received)


if __name__ == "__main__":
    unittest.main()
