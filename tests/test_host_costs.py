"""Unnecessary work of a host, which took too much CPU time in large deployments.

The tests count operations instead of measuring time, so that results don't depend on the machine.
"""

import os
import random
import subprocess
import sys
import threading
import time
import tomllib
import unittest
from collections.abc import Callable
from pathlib import Path
from unittest import mock

from catkinhook.control.ordercoordinator import IDLE_INTERVAL_S, OrderCoordinator
from catkinhook.control.provisioning import Provisioner
from catkinhook.hostsettings import Bounds
from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.operations.hostmetrics import HostMetrics
from catkinhook.platform.protocolnames import SETTINGS_VARIABLE
from catkinhook.requests.disconnectmonitor import DisconnectMonitor
from catkinhook.requests.hostscheduler import Scheduler
from catkinhook.stateactor import StateActor
from tests.hostcase import WAIT_S, HostCase, wait_until
from tests.test_ordercoordinator import make_views

ROOT = Path(__file__).resolve().parent.parent
EVENT_COUNT = 64
# Time for a thread to become idle, and time for which its waits are then counted.
SETTLE_S = 0.1
IDLE_S = 0.5
# Maximum number of waits of an idle thread in that time.
MAX_WAITS = 2
# Modules of the command line and the other daemons, which a host must not load.
UNUSED_MODULES = {
    "catkinhook.cli",
    "catkinhook.operations.commands",
    "catkinhook.peering.membership",
    "catkinhook.state.configurationchanges",
    "catkinhook.state.documents",
    "cattrs",
    "cyclopts",
    "ruamel.yaml",
}
# Maximum number of messages to the scheduler for one request, such as for its first event and its
# end, in addition to those for groups of events.
MAX_MESSAGES_PER_REQUEST = 6


class StreamCostTest(HostCase):
    """Cost of each event of a stream."""

    def test_events_of_a_stream_are_sent_to_the_scheduler_in_groups(self) -> None:
        """The scheduler's actor must not get a message for each event of a stream.

        Each message wakes the actor's thread, which took a quarter of the CPU time of an event.
        """
        for engine in self.engines:
            engine.events, engine.gap_s = EVENT_COUNT, 0.002
        callers: list[str] = []
        tell = StateActor.tell

        def count(actor: StateActor, change: object) -> None:
            callers.append(threading.current_thread().name)
            tell(actor, change)

        with mock.patch.object(StateActor, "tell", count):
            answer, body = self.send_request(
                "POST", "/live/x", b"p", Model="m1", Token_Usage="10,20"
            )
            wait_until(lambda: self.host.state.in_progress == 0)
        self.assertEqual(answer.status, 200)
        self.assertEqual(body.count(b"\n\n"), EVENT_COUNT)
        senders = [name for name in callers if name.startswith("waitress")]
        self.assertLessEqual(len(senders), EVENT_COUNT // 8 + MAX_MESSAGES_PER_REQUEST)


class StartCostTest(unittest.TestCase):
    """Modules that a host loads at its start."""

    def test_host_starts_without_modules_that_it_does_not_use(self) -> None:
        """Starts must not take most of a host's CPU time in a platform test run.

        Such a run starts 75 hosts twice, and importing the command line, YAML and documents took
        half of each start.
        """
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        words = deploy["roles"]["host"]["run"].split()
        self.assertEqual(words[:2], ["python3", "-m"])
        environment = {k: v for k, v in os.environ.items() if k != SETTINGS_VARIABLE}
        started = subprocess.run(
            [sys.executable, "-X", "importtime", *words[1:]],
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=WAIT_S,
        )
        loaded = {line.rpartition("|")[2].strip() for line in started.stderr.splitlines()}
        self.assertIn("no settings file is specified", started.stderr)
        self.assertIn("catkinhook.host", loaded)
        self.assertEqual(sorted(loaded & UNUSED_MODULES), [])


def count_waits(thread: threading.Thread, seconds: float) -> int:
    """Return how often a thread blocks within a period."""

    def read() -> int:
        text = Path(f"/proc/self/task/{thread.native_id}/status").read_text(encoding="utf-8")
        found = [line for line in text.splitlines() if line.startswith("voluntary_ctxt_switches")]
        return int(found[0].split()[1])

    time.sleep(SETTLE_S)
    before = read()
    time.sleep(seconds)
    return read() - before


class ViewCostTest(unittest.TestCase):
    """Cost of repeated updates without changes."""

    def test_unchanged_endpoints_are_not_indexed_again(self) -> None:
        """The index of all engines must not be updated in exchanges without changes."""
        scheduler = Scheduler("z", "host", Bounds(), random.Random(1))
        views = {view.endpoint: view for view in make_views(5)}
        with mock.patch.object(scheduler._index, "update") as update:
            for now in (1.0, 2.0):
                scheduler.set_endpoints(dict(views), now)
        self.assertEqual(update.call_count, 1)


def make_coordinator(may_order: Callable[[], bool]) -> OrderCoordinator:
    """Return an order coordinator without engines."""
    return OrderCoordinator(
        "host",
        Provisioner("host", Bounds()),
        mock.Mock(),
        may_order,
        lambda: None,
        HostMetrics(),
        DecisionLog("host"),
        time.monotonic,
    )


class IdleCostTest(unittest.TestCase):
    """Threads of an idle host.

    Load on the machine can only reduce the counts.
    """

    def test_disconnect_monitor_sleeps_without_callers(self) -> None:
        """Without callers, the monitor must not wake up ten times a second."""
        monitor = DisconnectMonitor(0.01)
        monitor.start()
        self.addCleanup(monitor.close)
        self.assertLessEqual(count_waits(monitor._thread, IDLE_S), MAX_WAITS)
        left = threading.Event()
        monitor.add("a", lambda: True, left.set)
        self.assertTrue(left.wait(WAIT_S))
        self.assertLessEqual(count_waits(monitor._thread, IDLE_S), MAX_WAITS)

    def test_planner_sleeps_on_a_host_without_the_lease(self) -> None:
        """Without the lease, the planner must not wake up ten times a second."""
        held = threading.Event()
        coordinator = make_coordinator(held.is_set)
        coordinator.start()
        self.addCleanup(coordinator.close)
        self.assertLessEqual(count_waits(coordinator._thread, IDLE_S), MAX_WAITS)

    def test_planner_starts_at_once_with_the_lease(self) -> None:
        """The planner must not keep sleeping after the host has acquired the lease."""
        held = threading.Event()
        planned = threading.Event()
        coordinator = make_coordinator(lambda: held.is_set() and (planned.set() or True))
        coordinator.start()
        self.addCleanup(coordinator.close)
        time.sleep(SETTLE_S)
        held.set()
        began = time.monotonic()
        coordinator.begin_term(1, {})
        self.assertTrue(planned.wait(WAIT_S))
        self.assertLess(time.monotonic() - began, IDLE_INTERVAL_S / 2)
