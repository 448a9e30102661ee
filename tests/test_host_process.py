"""A host as a process of its own: signals cost no request."""

import http.client
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.connectioncase import HEADERS, Caller
from tests.hostcase import WAIT_S, find_port, wait_until
from tests.platform_fakes import FakeEndpoint, FakeStore, make_configuration

CALLERS = 4
EVENTS = 8
GAP_S = 0.2
GRACE_S = 6
# The host stops to serve after it has been unready for 3 s.
STOP_S = GRACE_S + 2.0
# Pairs of signals, each with a longer gap than the one before.
PAIRS = 1000
LONGEST_GAP_S = 0.001
PAIR_INTERVAL_S = 0.002


class HostProcessTest(unittest.TestCase):
    """A host that gets signals while it serves."""

    def setUp(self) -> None:
        self.store = FakeStore()
        self.engine, self.plain = FakeEndpoint("i-e1", ("m1",)), FakeEndpoint("i-d1")
        for fake in (self.store, self.engine, self.plain):
            fake.start()
            self.addCleanup(fake.close)
        self.store.put("op", "config", make_configuration())
        self.store.put("servers", "i-e1", self.engine.entry("llm"))
        self.store.put("servers", "i-d1", self.plain.entry("desk"))
        self.engine.events, self.engine.gap_s = EVENTS, GAP_S
        self.plain.head_pause_s = GAP_S
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = Path(folder.name) / "settings"
        self.front, self.ready = (f"127.0.0.1:{find_port()}" for _ in range(2))
        self.text = (
            f"node=front-1\nzone=z1\nlisten.front={self.front}\nlisten.ready={self.ready}\n"
            f"listen.control=127.0.0.1:{find_port()}\nplatform.address={self.store.address}\n"
            f"bounds.grace_s={GRACE_S}\nbounds.lease_ms=1000\n"
        )
        self.settings.write_text(self.text, encoding="utf-8")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "catkinhook.platform"],
            env={**os.environ, "CATKINHOOK_BOOT": str(self.settings)},
            stdout=subprocess.DEVNULL,
        )
        self.addCleanup(self.process.wait, WAIT_S)
        self.addCleanup(self.process.kill)
        wait_until(self.is_ready)
        wait_until(self.is_listening)
        self.executor = ThreadPoolExecutor(max_workers=2 * CALLERS)
        self.addCleanup(self.executor.shutdown)

    def is_ready(self) -> bool:
        """Return whether the host says that it is ready."""
        connection = http.client.HTTPConnection(self.ready, timeout=WAIT_S)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def is_listening(self) -> bool:
        """Return whether the host accepts connections of callers."""
        try:
            Caller(self.front).close()
        except ConnectionRefusedError:
            return False
        return True

    def stream(self) -> tuple[int, int]:
        """Request a stream, and return its status and number of events."""
        caller = Caller(self.front)
        caller.send(f"POST /digest/x HTTP/1.1\r\n{HEADERS}Model: m1\r\nContent-Length: 0\r\n\r\n")
        status, body = caller.read_answer()
        caller.close()
        return status, body.count(b"id:")

    def look_up(self) -> list[int]:
        """Send requests on a kept connection until the host closes it, and return the answers."""
        caller, answers = Caller(self.front), []
        until = time.monotonic() + EVENTS * GAP_S
        while time.monotonic() < until:
            caller.send(f"POST /post/x HTTP/1.1\r\n{HEADERS}Content-Length: 0\r\n\r\n")
            answers.append(caller.read_answer()[0])
        caller.close()
        return answers

    def start_callers(self) -> list:
        """Start streams and lookups, and wait until they run."""
        calls = [self.executor.submit(self.stream) for _ in range(CALLERS)]
        calls += [self.executor.submit(self.look_up) for _ in range(CALLERS)]
        wait_until(lambda: len(self.engine.received) >= CALLERS and len(self.plain.received) >= 1)
        return calls

    def check_answers(self, calls: list) -> None:
        """Check that all callers got whole answers."""
        results = [call.result(WAIT_S) for call in calls]
        self.assertEqual(results[:CALLERS], [(200, EVENTS)] * CALLERS)
        for answers in results[CALLERS:]:
            self.assertTrue(answers)
            self.assertEqual(set(answers), {200})

    def test_reload_cuts_no_request(self) -> None:
        """SIGHUP must cut no request, whatever is in the settings file, or if it is gone."""
        texts = (self.text, "", "listen.front=\n", "\xff", f"{self.text}bounds.grace_s=x\n", None)
        calls = self.start_callers()
        for text in texts:
            if text is None:
                self.settings.unlink()
            else:
                self.settings.write_bytes(text.encode("latin-1"))
            for _ in range(2):
                self.process.send_signal(signal.SIGHUP)
            time.sleep(GAP_S / 2)
        self.check_answers(calls)
        self.assertIsNone(self.process.poll())
        self.assertTrue(self.is_ready())

    def test_stop_follows_signals_in_quick_succession(self) -> None:
        """A signal that comes while another one is handled must not leave the host deaf to SIGTERM.

        It would be killed at the end of the grace period, with the requests that run.
        """
        for number in range(PAIRS):
            self.process.send_signal(signal.SIGHUP)
            until = time.perf_counter() + number * LONGEST_GAP_S / PAIRS
            while time.perf_counter() < until:
                pass
            self.process.send_signal(signal.SIGHUP)
            time.sleep(PAIR_INTERVAL_S)
        time.sleep(GAP_S)
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(STOP_S), 0)

    def test_stop_cuts_no_request(self) -> None:
        """SIGTERM must cut no request that runs, nor one that comes before the callers notice."""
        calls = self.start_callers()
        self.process.send_signal(signal.SIGTERM)
        self.check_answers(calls)
        self.assertEqual(self.process.wait(STOP_S), 0)


if __name__ == "__main__":
    unittest.main()
