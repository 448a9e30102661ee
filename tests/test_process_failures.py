"""Failures that only separate processes and signals reproduce."""

import json
import signal
import threading
import time
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
  weight_store: {name: test, loads_per_second: 10, loads_at_once: 8}
models:
  - {name: small, memory: 8GiB, copies: 2, max_copies: 4}
  - {name: large, memory: 40GiB, copies: 1, max_copies: 1}
classes:
  live: {first_token: 2s, between_tokens: 200ms}
  night: {priority: deferrable, finish_within: 1h}
default_class: live
"""

LEDGER = """\
service: ledger
owner: test
endpoints: {kind: plain}
routes:
  - {path: /postings, method: POST, repeatable: false}
"""


class FailureTest(unittest.TestCase):
    """Each test has two entry hosts, engines that ignore fencing tokens, and a ledger service."""

    def setUp(self) -> None:
        self.deployment = Deployment()
        self.addCleanup(self.deployment.close)
        self.http = self.deployment.http

    def start(self, engines: int = 2, nodes: int = 2) -> None:
        self.engines = []
        for index in range(engines):
            address = self.deployment.start_emulator("engine", "--step-time", "10ms")
            self.engines.append(address)
            zone = f"zone-{index % 2}"
            self.deployment.register_host(f"e{index}", address, "chat", zone)
        self.engine_processes = self.deployment.processes[-engines:]
        self.ledger = self.deployment.start_emulator("service")
        self.deployment.register_host("s0", self.ledger, "ledger", "zone-0")
        for index in range(nodes):
            self.deployment.add_node(f"entry-{index}", f"zone-{index % 2}")
        for service, text in (("chat", CHAT), ("ledger", LEDGER)):
            self.assertEqual(self.apply(service, text, 0), 200)
        for node in self.deployment.nodes:
            self.deployment.await_model(node, "small")
            self.deployment.await_model(node, "large")

    def apply(self, service: str, text: str, version: int, node: int = 0) -> int:
        address = self.deployment.nodes[node].admin_address
        headers = {"Authorization": f"Bearer {TOKEN}", "If-Match": str(version)}
        url = f"http://{address}/api/documents/{service}"
        return self.http.request("PUT", url, body=text, headers=headers).status

    def post(self, node: int, key: str, amount: int = 5):
        url = f"{self.deployment.nodes[node].url}/services/ledger/postings"
        return self.http.request(
            "POST", url, json={"amount": amount}, headers={"Idempotency-Key": key}
        )

    def count_runs(self) -> dict[str, int]:
        answer = self.http.request("GET", f"http://{self.ledger}/runs")
        return json.loads(answer.data)["runs"]

    def read_report(self, engine: int) -> dict:
        answer = self.http.request("GET", f"http://{self.engines[engine]}/v1/report")
        return json.loads(answer.data)

    def is_served(self, node: int, model: str = "small") -> bool:
        return self.deployment.complete(self.deployment.nodes[node], model, "x").status == 200

    def test_controller_paused_past_its_lease_overcommits_nothing(self) -> None:
        """Guards against a lease holder that continues after its endpoints were taken over."""
        self.start()
        paused, other = self.deployment.nodes
        paused.controller.send(signal.SIGSTOP)
        # The lease expires and the other controller starts its own moves.
        larger = CHAT.replace("name: small, memory: 8GiB", "name: medium, memory: 24GiB")
        deadline = time.monotonic() + 8
        self.assertEqual(self.apply("chat", larger, 1, node=1), 200)
        while time.monotonic() < deadline:
            time.sleep(0.2)
        paused.controller.send(signal.SIGCONT)
        wait_for(lambda: self.is_served(1, "medium"), "the new model answers")
        time.sleep(3)
        for engine in range(len(self.engines)):
            report = self.read_report(engine)
            self.assertEqual(report["overcommits"], 0)
            self.assertLessEqual(report["used"], report["memory"])
        self.assertTrue(self.is_served(1, "large"))

    def test_gateway_killed_during_a_posting_never_runs_it_twice(self) -> None:
        """Guards against a retry at another gateway that runs the posting again."""
        self.start()
        self.deployment.set_faults(self.ledger, slow_ms=1500)
        answers = []

        def send() -> None:
            try:
                answers.append(self.post(0, "grant-1").status)
            except urllib3.exceptions.HTTPError:
                answers.append(0)

        caller = threading.Thread(target=send)
        caller.start()
        time.sleep(0.7)
        self.deployment.nodes[0].gateway.popen.kill()
        caller.join(40)
        self.assertEqual(answers, [0])
        self.deployment.set_faults(self.ledger, slow_ms=0)
        for _ in range(3):
            repeat = self.post(1, "grant-1")
            self.assertEqual(json.loads(repeat.data)["ran"], "unknown", repeat.data)
        self.assertLessEqual(self.count_runs().get("grant-1", 0), 1)

    def test_deferred_request_survives_the_gateway_that_runs_it(self) -> None:
        """Guards against accepted work that is lost with a process."""
        self.start()
        body = {
            "model": "small",
            "messages": [{"role": "user", "content": "a long letter"}],
            "max_tokens": 400,
        }
        first, second = self.deployment.nodes
        headers = {"X-Caller-Class": "night", "Prefer": "respond-async"}
        accepted = self.http.request(
            "POST", f"{first.url}/v1/chat/completions", json=body, headers=headers
        )
        self.assertEqual(accepted.status, 202, accepted.data)
        time.sleep(0.5)
        first.gateway.popen.kill()
        url = second.url + accepted.headers["Location"]
        wait_for(lambda: self.http.request("GET", url).status == 200, "the answer is there", 60)
        answer = json.loads(self.http.request("GET", url).data)
        self.assertEqual(answer["usage"]["completion_tokens"], 400)

    def test_store_outage_stops_postings_only(self) -> None:
        """Guards against an outage that stops repeatable requests, and postings without a claim."""
        self.start()
        self.assertEqual(self.post(0, "before").status, 200)
        self.deployment.set_faults(self.deployment.platform_url[7:], down=True)
        refused = self.post(0, "during")
        self.assertEqual(refused.status, 503)
        self.assertNotIn("during", self.count_runs())
        self.assertNotEqual(json.loads(refused.data)["ran"], "yes")
        self.assertIn(self.apply("chat", CHAT.replace("copies: 2", "copies: 1"), 1), (503,))
        deadline = time.monotonic() + 4
        while time.monotonic() < deadline:
            self.assertTrue(self.is_served(0))
            self.assertTrue(self.is_served(1, "large"))
            time.sleep(0.2)
        self.deployment.set_faults(self.deployment.platform_url[7:], down=False)
        wait_for(lambda: self.post(0, "during").status == 200, "postings run again")
        repeat = self.post(1, "before")
        self.assertEqual(repeat.status, 200)
        self.assertEqual(self.count_runs(), {"before": 1, "during": 1})

    def test_leaving_endpoint_gets_no_new_work_after_a_few_seconds(self) -> None:
        """Guards against reading the leaving state from the host list only.

        The host list lags, so the state must also be read from the engine's report.
        """
        self.start()
        self.deployment.set_faults(self.engines[0], leaving=True)
        time.sleep(3)
        before = self.read_report(0)["late_requests"]
        for node in (0, 1):
            for _ in range(20):
                self.assertTrue(self.is_served(node))
        self.assertEqual(self.read_report(0)["late_requests"], before)

    def test_crashing_request_crashes_a_bounded_number_of_engines(self) -> None:
        """Guards against a caller that retries a crashing request at every entry host."""
        self.start(engines=4)
        for engine in self.engines:
            self.deployment.set_faults(engine, crash_on="poison pill")
        harmless: list[int] = []
        deployment = self.deployment

        def send(index: int) -> None:
            node = deployment.nodes[index % 2]
            answer = deployment.complete(node, "small", f"harmless {index}", max_tokens=150)
            harmless.append(answer.status)

        concurrent = [threading.Thread(target=send, args=(index,)) for index in range(8)]
        for thread in concurrent:
            thread.start()
        time.sleep(0.3)
        crashed_counts = []
        for attempt in range(8):
            node = self.deployment.nodes[attempt % 2]
            answer = self.deployment.complete(node, "small", "poison pill")
            self.assertNotEqual(answer.status, 200)
            crashed_counts.append(sum(p.popen.poll() is not None for p in self.engine_processes))
            time.sleep(0.3)
        self.assertLessEqual(crashed_counts[-1], 2, crashed_counts)
        for thread in concurrent:
            thread.join(60)
        self.assertEqual(harmless, [200] * 8)
        wait_for(lambda: self.is_served(0) and self.is_served(1), "harmless requests are answered")


if __name__ == "__main__":
    unittest.main()
