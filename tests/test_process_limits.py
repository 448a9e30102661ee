"""A host process at its limits, or with signals and changes together, loses no request."""

import errno
import fcntl
import os
import resource
import signal
import subprocess
import sys
import time
import unittest
from unittest import mock

from catkinhook.requests.attempts import CountingConnection
from tests.connectioncase import HEADERS, Caller, ConnectionCase
from tests.hostcase import wait_until
from tests.hostprocess import GAP_S, GRACE_S, STOP_S, HostProcessCase
from tests.platform_fakes import make_configuration

LOOKUP = f"GET /look/x HTTP/1.1\r\n{HEADERS}\r\n"
ANSWERS = frozenset({200, 503})
PIPE_BYTES = 4096
# Each lookup is a line of about 500 bytes, of which 120 are not left out.
LOOKUPS = 100
SPARE_DESCRIPTORS = 12
# A settings file that takes some 0.1 s to read, and reloads that take longer than the grace period.
SETTINGS_LINES = 200_000
RELOADS = 200
RELOAD_GAP_S = 0.005
CHANGES = 20
# Runs a host in whose main thread the reload of the settings and the release of the lease fail.
FAILING_MAIN_THREAD = """
import sys
from unittest import mock
from catkinhook.control.orderleasemanager import LeaseManager
from catkinhook.platform import daemon

read, calls = daemon.read_settings_file, []

def read_once(path):
    calls.append(path)
    if len(calls) > 1:
        raise MemoryError
    return read(path)

with mock.patch.object(daemon, "read_settings_file", read_once):
    with mock.patch.object(LeaseManager, "resign", side_effect=MemoryError):
        sys.exit(daemon.run())
"""


class UnreadLogTest(HostProcessCase):
    """A host whose output nobody reads."""

    popen_options = {"stdout": subprocess.PIPE, "stderr": subprocess.PIPE}

    def setUp(self) -> None:
        super().setUp()
        self.plain.head_pause_s = 0.0
        for pipe in (self.process.stdout, self.process.stderr):
            fcntl.fcntl(pipe, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
            self.addCleanup(pipe.close)

    def test_full_log_pipes_hold_up_no_request(self) -> None:
        """A log that nobody reads must delay neither answers nor the end of the process."""
        caller = Caller(self.front)
        self.addCleanup(caller.close)
        for _ in range(LOOKUPS):
            caller.send(LOOKUP)
            self.assertEqual(caller.read_answer()[0], 200)
        calls = self.start_callers()
        self.process.send_signal(signal.SIGTERM)
        self.check_answers(calls)
        self.assertEqual(self.process.wait(STOP_S), 0)


class NoDescriptorForEndpointsTest(ConnectionCase):
    """A host that has no descriptor left for connections to endpoints."""

    def test_lack_of_descriptors_takes_no_endpoint_for_down(self) -> None:
        """Once there are descriptors again, requests must not be refused for their lack."""
        error = OSError(errno.EMFILE, "Too many open files")
        with mock.patch.object(CountingConnection, "_new_conn", side_effect=error):
            self.assertEqual(self.exchange(LOOKUP)[0], 503)
        # Shorter than the time for which an endpoint that is down gets no requests.
        urgent = LOOKUP.replace("Deadline-Ms: 3000", "Deadline-Ms: 500")
        self.assertEqual(self.exchange(urgent)[0], 200)
        self.assertEqual(len(self.received_requests(self.plain_endpoints)), 1)
        self.check_nothing_is_held()


class NoDescriptorsTest(HostProcessCase):
    """A host whose callers use up its descriptors."""

    def setUp(self) -> None:
        super().setUp()
        self.plain.head_pause_s = 0.0
        self.kept = [Caller(self.front) for _ in range(3)]
        for caller in self.kept:
            self.addCleanup(caller.close)
            caller.send(LOOKUP)
            self.assertEqual(caller.read_answer()[0], 200)
        count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
        limit = count + SPARE_DESCRIPTORS
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (limit, limit))

    def test_requests_are_answered_without_descriptors(self) -> None:
        """Each request that the host has read must get an answer, and later ones their turn."""
        idle = [Caller(self.front) for _ in range(2 * SPARE_DESCRIPTORS)]
        for caller in idle:
            self.addCleanup(caller.close)
        waiting = idle.pop()
        waiting.send(LOOKUP)
        time.sleep(GAP_S)
        for _ in range(3):
            for caller in self.kept:
                caller.send(LOOKUP)
            for caller in self.kept:
                self.assertIn(caller.read_answer()[0], ANSWERS)
        for caller in idle:
            caller.close()
        self.assertIn(waiting.read_answer()[0], ANSWERS)
        wait_until(self.is_served)
        self.assertIsNone(self.process.poll())

    def is_served(self) -> bool:
        """Return whether a request gets its endpoint's answer."""
        caller = self.kept[0]
        caller.send(LOOKUP)
        return caller.read_answer()[0] == 200


class FailingMainThreadTest(HostProcessCase):
    """A host whose main thread meets an unexpected error."""

    command = (sys.executable, "-c", FAILING_MAIN_THREAD)

    def test_error_in_a_reload_cuts_no_request(self) -> None:
        """An error after SIGHUP must not end the process."""
        calls = self.start_callers()
        self.process.send_signal(signal.SIGHUP)
        self.check_answers(calls)
        self.assertIsNone(self.process.poll())

    def test_error_in_a_stop_cuts_no_request(self) -> None:
        """An error after SIGTERM must not end the process before its requests."""
        calls = self.start_callers()
        self.process.send_signal(signal.SIGTERM)
        self.check_answers(calls)
        self.assertEqual(self.process.wait(STOP_S), 0)


class SignalsAndChangesTest(HostProcessCase):
    """A host that gets signals and changes of the configuration at the same time."""

    def test_stop_does_not_wait_for_reloads(self) -> None:
        """SIGTERM after many reloads must not be handled after the end of the grace period.

        The host would be killed, with all requests that it still serves.
        """
        comments = "x" * 20 + "\n"
        self.settings.write_text(self.text + comments * SETTINGS_LINES, encoding="utf-8")
        for _ in range(RELOADS):
            self.process.send_signal(signal.SIGHUP)
            time.sleep(RELOAD_GAP_S)
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(STOP_S), 0)

    def test_reloads_beside_changes_cut_no_request(self) -> None:
        """SIGHUP and a change at the same moment must cut no request, nor a kept connection."""
        calls = self.start_callers()
        for number in range(CHANGES):
            self.put_change(number)
            self.process.send_signal(signal.SIGHUP)
            time.sleep(GAP_S / 4)
        self.check_answers(calls)
        self.assertTrue(self.is_ready())

    def test_stop_with_a_change_cuts_no_request(self) -> None:
        """SIGTERM must cut no request when a change is just on its way to the host."""
        self.check_stop_after_change(0.0)

    def test_stop_shortly_after_a_change_cuts_no_request(self) -> None:
        """SIGTERM must cut no request when the host is just applying a change."""
        self.check_stop_after_change(0.02)

    def test_stop_some_time_after_a_change_cuts_no_request(self) -> None:
        """SIGTERM must cut no request after a change is in force."""
        self.check_stop_after_change(0.2)

    def check_stop_after_change(self, delay_s: float) -> None:
        """Check that no request is cut by SIGTERM at a time after a change."""
        calls = self.start_callers()
        self.put_change(1)
        time.sleep(delay_s)
        self.process.send_signal(signal.SIGTERM)
        self.check_answers(calls)
        self.assertEqual(self.process.wait(STOP_S), 0)

    def put_change(self, number: int) -> None:
        """Write a configuration with other weights, timeouts and limits, and one more route."""
        configuration = make_configuration(2 + number)
        routes = configuration["routes"]
        for route in routes:
            route["timeout_ms"] = GRACE_S * 1000 * (1.0 if number % 2 else 1.1)
            route["traffic_split"] = [{"service": route["service"], "weight": 1.0 + number}]
        routes.append({**routes[-1], "name": "added", "path_prefix": f"/added-{number}/"})
        configuration["limits"] = {"idle_timeout_ms": 200, "header_timeout_ms": 200}
        self.store.put("op", "config", configuration)


if __name__ == "__main__":
    unittest.main()
