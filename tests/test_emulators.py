"""Emulators: the protocols of the design document over real sockets, and injected faults."""

import json
import subprocess
import sys
import threading
import time
import unittest
from collections.abc import Iterator

import urllib3

from catkinhook.emulators.batching import BatchSettings
from catkinhook.emulators.engine import Engine, EngineSettings
from catkinhook.emulators.generation import generate_text
from catkinhook.emulators.plainservice import PlainService, PlainServiceSettings
from catkinhook.emulators.platform import Platform, PlatformEmulatorSettings
from catkinhook.emulators.residency import LoadTimes
from catkinhook.emulators.weightstore import WeightLimits
from catkinhook.errors import Effect, StoreConflict
from catkinhook.state.hostlist import Host, HttpHostList
from catkinhook.state.objectstore import HttpObjectStore
from catkinhook.state.tableservice import Check, HttpTable, Write
from tests.loopback_deployment import Process

HANG_S = 20.0
FAST_LOAD_TIMES = LoadTimes(load_model=0.02, unload_model=0.01, load_adapter=0.01, set_role=0.01)


class EmulatorTest(unittest.TestCase):
    """Base class that starts emulators and calls them without retries."""

    def setUp(self) -> None:
        self.http = urllib3.PoolManager(retries=False, timeout=HANG_S, maxsize=64)
        self.addCleanup(self.http.clear)

    def run_emulator(self, emulator):
        emulator.start()
        self.addCleanup(emulator.close)
        return emulator

    def call(self, emulator, method: str, path: str, body=None, headers=None):
        url = f"http://{emulator.address}{path}"
        return self.http.request(method, url, json=body, headers=headers)

    def wait_for(self, condition) -> None:
        deadline = time.monotonic() + HANG_S
        while not condition():
            self.assertLess(time.monotonic(), deadline, "the condition did not become true in time")
            time.sleep(0.01)


def read_events(response) -> Iterator[tuple[str, str]]:
    buffer = b""
    for chunk in response.stream(4096):
        buffer += chunk
        while b"\n\n" in buffer:
            event, _, buffer = buffer.partition(b"\n\n")
            fields = dict(line.split(": ", 1) for line in event.decode().split("\n"))
            yield fields["id"], fields["data"]


def join_text(events: list[tuple[str, str]]) -> str:
    chunks = [json.loads(data)["choices"][0] for _, data in events if data != "[DONE]"]
    return "".join(chunk["delta"]["content"] for chunk in chunks)


class EngineTest(EmulatorTest):
    def start_engine(self, **changes) -> Engine:
        options = {
            "resident": {"m": 10},
            "memory": 100,
            "lag": 0.0,
            "times": FAST_LOAD_TIMES,
        } | changes
        return self.run_emulator(Engine(EngineSettings(**options)))

    def send_order(self, engine: Engine, order_id: str, kind: str, item: str, memory=0, fencing=0):
        order = {"order_id": order_id, "kind": kind, "item": item, "memory": memory}
        order |= {"fencing": fencing, "sender": "node"}
        return self.call(engine, "POST", "/v1/orders", {"orders": [order]}).json()

    def fetch_report(self, engine: Engine) -> dict:
        return self.call(engine, "GET", "/v1/report").json()

    def test_200_streams_keep_the_token_rate(self) -> None:
        """Guards against an emulator that is itself the bottleneck of a load test."""
        # A separate process, since the readers would slow the engine through the interpreter lock.
        process = Process("emulate", "engine")
        self.addCleanup(process.stop)
        address = process.await_line("address")["address"]
        with urllib3.PoolManager(retries=False, timeout=HANG_S) as http:
            order = {"order_id": "1", "kind": "load_model", "item": "m", "memory": 1}
            http.request("POST", f"http://{address}/v1/orders", json={"orders": [order]})
            url = f"http://{address}/v1/report"
            self.wait_for(lambda: b'"1": "done"' in http.request("GET", url).data)
        streams, tokens = 200, 30
        token_gaps: list[float] = []
        failures: list[str] = []

        def read(index: int) -> None:
            body = {"model": "m", "messages": [{"role": "user", "content": f"call {index}"}]}
            body |= {"stream": True, "max_tokens": tokens}
            url = f"http://{address}/v1/chat/completions"
            with urllib3.PoolManager(retries=False, timeout=HANG_S) as http:
                response = http.request(
                    "POST",
                    url,
                    json=body,
                    headers={"X-Request-Id": f"a{index}"},
                    preload_content=False,
                )
                times, events = [], []
                try:
                    for event in read_events(response):
                        times.append(time.monotonic())
                        events.append(event)
                except urllib3.exceptions.HTTPError as error:
                    failures.append(f"stream {index}: {error}")
                    return
            expected = [f"a{index}:{n}" for n in range(1, tokens + 2)]
            if [event_id for event_id, _ in events] != expected or (
                join_text(events) != generate_text(body)
            ):
                failures.append(f"stream {index} got a wrong answer")
            token_gaps.append((times[-1] - times[0]) / (tokens - 1))

        threads = [threading.Thread(target=read, args=(n,)) for n in range(streams)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(HANG_S)
        self.assertEqual(failures, [])
        self.assertEqual(len(token_gaps), streams)
        # The emulated gap is 46 ms; twice that indicates a stall of the emulator or of this test.
        self.assertLess(sum(token_gaps) / streams, 0.092)

    def test_broken_stream_resumes_without_gap(self) -> None:
        engine = self.start_engine()
        self.call(engine, "POST", "/faults", {"break_streams": 1})
        body = {"model": "m", "messages": ["x"], "stream": True, "max_tokens": 8}
        events = []
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            response = self.http.request(
                "POST",
                f"http://{engine.address}/v1/chat/completions",
                json=body,
                headers={"X-Request-Id": "a"},
                preload_content=False,
            )
            for event in read_events(response):
                events.append(event)
        self.assertEqual(len(events), 2)
        last = {"Last-Event-ID": events[-1][0]}
        response = self.http.request(
            "GET",
            f"http://{engine.address}/v1/streams/a",
            headers=last,
            preload_content=False,
        )
        events += list(read_events(response))
        self.assertEqual(join_text(events), generate_text(body))
        self.assertEqual(events[-1], ("a:9", "[DONE]"))

    def test_cancelled_attempt_stops_running(self) -> None:
        engine = self.start_engine()
        body = {"model": "m", "prompt": "x", "stream": True, "max_tokens": 10_000}
        response = self.http.request(
            "POST",
            f"http://{engine.address}/v1/completions",
            json=body,
            headers={"X-Request-Id": "a"},
            preload_content=False,
        )
        self.assertEqual(self.call(engine, "DELETE", "/v1/streams/a").status, 200)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            list(response.stream(4096))
        self.wait_for(lambda: self.fetch_report(engine)["running"] == 0)

    def test_requests_run_in_order_of_priority(self) -> None:
        engine = self.start_engine(batch=BatchSettings(max_running=1, step_time=0.005))
        finished: list[str] = []

        def run(name: str, priority: str, tokens: int) -> None:
            body = {"model": "m", "prompt": name, "max_tokens": tokens}
            self.call(engine, "POST", "/v1/completions", body, {"X-Priority": priority})
            finished.append(name)

        threads = []
        for name, priority, tokens in [("first", "0", 400), ("late", "9", 60), ("soon", "0", 2)]:
            threads.append(threading.Thread(target=run, args=(name, priority, tokens)))
            threads[-1].start()
            started = len(threads)
            self.wait_for(
                lambda started=started: self.fetch_report(engine)["running"]
                + self.fetch_report(engine)["waiting"]
                >= started
            )
        for thread in threads:
            thread.join(HANG_S)
        self.assertEqual(finished, ["first", "soon", "late"])

    def test_orders_memory_and_fencing(self) -> None:
        """Guards against an emulator that hides an overcommit or a stale order."""
        engine = self.start_engine(checks_fencing=True)
        self.assertEqual(self.send_order(engine, "1", "load_model", "n", 50, 5)["accepted"], ["1"])
        self.wait_for(lambda: self.fetch_report(engine)["orders"].get("1") == "done")
        self.assertEqual(self.fetch_report(engine)["used"], 60)
        stale = self.send_order(engine, "2", "unload_model", "n", 0, 4)
        self.assertEqual(stale["rejected"], [{"order_id": "2", "reason": "stale"}])
        self.send_order(engine, "3", "load_model", "too-large", 41, 5)
        self.wait_for(lambda: self.fetch_report(engine)["overcommits"] == 1)
        self.assertEqual(self.fetch_report(engine)["orders"]["3"], "failed: out of memory")
        self.assertEqual(self.fetch_report(engine)["models"], ["m", "n"])
        self.send_order(engine, "1", "load_model", "n", 50, 5)
        self.assertEqual(self.fetch_report(engine)["used"], 60)

    def test_lost_and_delayed_orders(self) -> None:
        """Guards against an emulator that executes lost orders or drops delayed ones.

        The sender sees a failed call in both cases, so the two faults must differ in effect.
        """
        engine = self.start_engine()
        self.call(engine, "POST", "/faults", {"lose_orders": 1})
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.send_order(engine, "1", "load_model", "n", 1)
        self.assertEqual(self.fetch_report(engine)["orders"], {})
        self.call(engine, "POST", "/faults", {"delay_orders_ms": 200})
        short_timeout_http = urllib3.PoolManager(retries=False, timeout=0.05)
        self.addCleanup(short_timeout_http.clear)
        order = {"order_id": "2", "kind": "load_model", "item": "n", "memory": 1}
        with self.assertRaises(urllib3.exceptions.HTTPError):
            url = f"http://{engine.address}/v1/orders"
            short_timeout_http.request("POST", url, json={"orders": [order]})
        self.wait_for(lambda: self.fetch_report(engine)["orders"].get("2") == "done")

    def test_pause_stops_tokens_and_responses(self) -> None:
        engine = self.start_engine()
        body = {"model": "m", "prompt": "x", "stream": True, "max_tokens": 40}
        url = f"http://{engine.address}/v1/completions"
        response = self.http.request("POST", url, json=body, preload_content=False)
        engine.faults.set_switches({"paused": True})
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.http.request("GET", f"http://{engine.address}/v1/report", timeout=0.2)
        before = engine._batch.tokens_made
        time.sleep(0.2)
        self.assertLessEqual(engine._batch.tokens_made, before + 1)
        engine.faults.set_switches({"paused": False})
        self.assertEqual(len(list(read_events(response))), 41)

    def test_crash_changes_the_boot_id_and_loses_the_models(self) -> None:
        engine = self.start_engine()
        before = self.fetch_report(engine)["boot_id"]
        self.call(engine, "POST", "/faults", {"crash_on": "crashing"})
        with self.assertRaises(urllib3.exceptions.HTTPError):
            body = {"model": "m", "prompt": "crashing"}
            self.call(engine, "POST", "/v1/completions", body)
        after = self.fetch_report(engine)
        self.assertNotEqual(after["boot_id"], before)
        self.assertEqual(after["models"], [])
        refused = self.call(engine, "POST", "/v1/completions", {"model": "m", "prompt": "x"})
        self.assertEqual(refused.status, 404)

    def test_cached_prefix_is_reported_and_reused(self) -> None:
        engine = self.start_engine()
        body = {"model": "m", "prompt": "p" * 2000, "max_tokens": 1}
        for _ in range(2):
            self.call(engine, "POST", "/v1/completions", body)
        self.wait_for(lambda: self.fetch_report(engine)["cached_blocks"] == 2000 // 256)
        self.assertEqual(len(self.fetch_report(engine)["prefixes"]), 2000 // 256)

    def test_weight_store_refuses_a_load_above_its_rate(self) -> None:
        limits = {"w": WeightLimits(loads_per_second=0.01, loads_at_once=9)}
        platform = self.run_emulator(Platform(PlatformEmulatorSettings(weight_limits=limits)))
        engine = self.start_engine(weight_store=f"{platform.url}/weights/w")
        self.send_order(engine, "1", "load_model", "n", 1)
        self.wait_for(lambda: self.fetch_report(engine)["orders"].get("1") == "done")
        self.send_order(engine, "2", "load_model", "o", 1)
        self.wait_for(lambda: self.fetch_report(engine)["orders"].get("2", "").startswith("failed"))
        described = self.call(platform, "GET", "/weights/w").json()
        self.assertEqual((described["admitted"], described["refused"]), (1, 1))
        self.assertEqual(described["models_loading"], 0)


class PlainServiceTest(EmulatorTest):
    def test_counts_runs_when_the_answer_is_lost(self) -> None:
        service = self.run_emulator(PlainService(PlainServiceSettings()))
        self.call(service, "POST", "/faults", {"lose_answers": 1, "refuse": 1})
        key = {"Idempotency-Key": "k", "X-Request-Id": "a"}
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.call(service, "POST", "/postings", {"a": 1}, key)
        self.assertEqual(service.count_runs(), {})
        answer = self.call(service, "POST", "/postings", {"a": 1}, key)
        self.assertEqual((answer.status, answer.headers["X-Request-Id"]), (200, "a"))
        self.call(service, "POST", "/faults", {"lose_answers": 1})
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.call(service, "POST", "/postings", {"a": 1}, key)
        self.assertEqual(self.call(service, "GET", "/runs").json()["runs"], {"k": 2})


class PlatformTest(EmulatorTest):
    def setUp(self) -> None:
        super().setUp()
        host = Host("h1", "127.0.0.1:1", "s", "z")
        self.platform = self.run_emulator(Platform(PlatformEmulatorSettings(hosts=[host])))
        self.table = HttpTable(self.platform.url, HANG_S)
        self.objects = HttpObjectStore(self.platform.url, HANG_S)

    def test_transactions(self) -> None:
        write = Write("t", "a/b ü", {"n": 1})
        versions = self.table.commit([Check("t", "a/b ü", 0)], [write])
        self.assertEqual(versions.unwrap(), {("t", "a/b ü"): 1})
        self.assertEqual(self.table.read("t", "a/b ü").unwrap().value, {"n": 1})
        conflict = self.table.commit([Check("t", "a/b ü", 0)], [write]).unwrap_err()
        self.assertIsInstance(conflict, StoreConflict)
        self.assertEqual(conflict.current_by_key, {("t", "a/b ü"): 1})
        self.table.commit([], [Write("t", "c", {}), Write("t", "a", {})])
        self.assertEqual([r.key for r in self.table.scan("t", "a", "a").unwrap()], ["a/b ü"])
        self.table.commit([Check("t", "c", 1)], [Write("t", "c", None)])
        self.assertIsNone(self.table.read("t", "c").unwrap())

    def test_faults(self) -> None:
        """Guards against a client that treats a lost answer as a write without effect."""
        self.call(self.platform, "POST", "/faults", {"lose_answers": 2})
        lost = self.table.commit([], [Write("t", "k", {"n": 1})]).unwrap_err()
        self.assertIs(lost.effect, Effect.UNKNOWN)
        self.assertEqual(self.table.read("t", "k").unwrap().version, 1)
        self.assertIs(self.objects.put("o", b"x").unwrap_err().effect, Effect.UNKNOWN)
        self.assertEqual(self.objects.get("o").unwrap(), b"x")
        self.call(self.platform, "POST", "/faults", {"down": True})
        down = self.table.commit([], [Write("t", "k", {"n": 2})]).unwrap_err()
        self.assertIs(down.effect, Effect.NONE)
        self.call(self.platform, "POST", "/faults", {"down": False})
        self.assertEqual(self.table.read("t", "k").unwrap().version, 1)

    def test_host_registration(self) -> None:
        value = {"host": "h2", "address": "127.0.0.1:2", "service": "s", "zone": "z"}
        hosts = {"hosts": [value | {"state": "leaving"}]}
        self.assertEqual(self.call(self.platform, "PUT", "/hosts", hosts).status, 200)
        found = HttpHostList(self.platform.url, HANG_S).list_hosts().unwrap()
        self.assertEqual(
            [(h.endpoint, h.leaving) for h in found], [("s/h1", False), ("s/h2", True)]
        )


class ProcessTest(unittest.TestCase):
    def test_sigterm_ends_each_emulator_cleanly(self) -> None:
        programs = [
            "from catkinhook.emulators.engine import *; exit(run_engine(EngineSettings()))",
            "from catkinhook.emulators.platform import *;"
            "exit(run_platform(PlatformEmulatorSettings()))",
            "from catkinhook.emulators.plainservice import *; exit(run_plain_service())",
        ]
        for program in programs:
            with subprocess.Popen(
                [sys.executable, "-c", program], stdout=subprocess.PIPE, stderr=subprocess.PIPE
            ) as process:
                self.addCleanup(process.kill)
                address = json.loads(process.stdout.readline())["address"]
                with urllib3.PoolManager(retries=False, timeout=HANG_S) as http:
                    response = http.request("GET", f"http://{address}/faults")
                    self.assertEqual(response.status, 200)
                    process.terminate()
                    _, errors = process.communicate(timeout=HANG_S)
                self.assertEqual((process.returncode, errors), (0, b""), program)
