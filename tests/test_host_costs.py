"""Work of a host that nobody asked for, which made whole days too slow on large deployments.

Everything is counted instead of timed, so that the verdicts repeat on any machine.
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

from catkinhook.control.coordination import IDLE_INTERVAL_S, OrderCoordinator
from catkinhook.control.provisioning import Provisioner
from catkinhook.hostsettings import Bounds
from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.operations.hostmetrics import HostMetrics
from catkinhook.platform.names import SETTINGS_VARIABLE
from catkinhook.requests.scheduling import Scheduler
from catkinhook.requests.watch import DisconnectMonitor
from catkinhook.stateactor import StateActor
from tests.hostcase import WAIT_S, HostCase, wait_until
from tests.test_holding import make_views

ROOT = Path(__file__).resolve().parent.parent
EVENTS = 64
# Time for a thread to reach its wait, and time for which its waits are counted.
SETTLE_S = 0.1
IDLE_S = 0.5
# Waits of a thread with nothing to do in that time.
MAX_WAITS = 2
# Modules of the command line and the other daemons.
UNUSED_MODULES = {
    "catkinhook.cli",
    "catkinhook.operations.commands",
    "catkinhook.peering.membership",
    "catkinhook.state.changes",
    "catkinhook.state.documents",
    "cattrs",
    "cyclopts",
    "ruamel.yaml",
}
# Most messages of a request to the scheduler beside those for groups of events, such as for its
# first event and its end.
MESSAGES_A_REQUEST = 6


class StreamCostTest(HostCase):
    """Work for each event of a stream."""

    def test_events_of_a_stream_are_told_to_the_scheduler_in_groups(self) -> None:
        """Guards against a message to the scheduler's actor for each event of a stream.

        Each one wakes the actor's thread, which took a quarter of the processor time of an event.
        """
        for engine in self.engines:
            engine.events, engine.gap_s = EVENTS, 0.002
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
        self.assertEqual(body.count(b"\n\n"), EVENTS)
        told = [name for name in callers if name.startswith("waitress")]
        self.assertLessEqual(len(told), EVENTS // 8 + MESSAGES_A_REQUEST)


class StartCostTest(unittest.TestCase):
    """Modules that a host loads at its start."""

    def test_host_starts_without_modules_that_it_does_not_use(self) -> None:
        """Guards against starts that take most of a host's processor time of a day.

        A day of the platform starts 75 hosts twice, and the command line, YAML and documents took
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
        self.assertIn("no settings file is named", started.stderr)
        self.assertIn("catkinhook.host", loaded)
        self.assertEqual(sorted(loaded & UNUSED_MODULES), [])


def count_waits(thread: threading.Thread, seconds: float) -> int:
    """Return how often a thread went to sleep within a time."""

    def read() -> int:
        text = Path(f"/proc/self/task/{thread.native_id}/status").read_text(encoding="utf-8")
        found = [line for line in text.splitlines() if line.startswith("voluntary_ctxt_switches")]
        return int(found[0].split()[1])

    time.sleep(SETTLE_S)
    before = read()
    time.sleep(seconds)
    return read() - before


class ViewCostTest(unittest.TestCase):
    """Work for what a host is told again."""

    def test_unchanged_endpoints_are_not_indexed_again(self) -> None:
        """Guards against an index of all engines that is compared at each exchange."""
        scheduler = Scheduler("z", "host", Bounds(), random.Random(1))
        views = {view.endpoint: view for view in make_views(5)}
        with mock.patch.object(scheduler._index, "update") as update:
            for now in (1.0, 2.0):
                scheduler.set_endpoints(dict(views), now)
        self.assertEqual(update.call_count, 1)


def make_holder(may_order: Callable[[], bool]) -> OrderCoordinator:
    """Return a holder of no engines."""
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
    """Threads of a host that has nothing to do.

    A busy machine can only make the counts smaller.
    """

    def test_watch_of_callers_sleeps_while_there_is_none(self) -> None:
        """Guards against ten looks a second at no caller on each host."""
        watch = DisconnectMonitor(0.01)
        watch.start()
        self.addCleanup(watch.close)
        self.assertLessEqual(count_waits(watch._thread, IDLE_S), MAX_WAITS)
        left = threading.Event()
        watch.add("a", lambda: True, left.set)
        self.assertTrue(left.wait(WAIT_S))
        self.assertLessEqual(count_waits(watch._thread, IDLE_S), MAX_WAITS)

    def test_planner_sleeps_on_a_host_without_the_lease(self) -> None:
        """Guards against ten looks a second at a plan that another host makes."""
        held = threading.Event()
        holder = make_holder(held.is_set)
        holder.start()
        self.addCleanup(holder.close)
        self.assertLessEqual(count_waits(holder._thread, IDLE_S), MAX_WAITS)

    def test_planner_begins_at_once_with_the_lease(self) -> None:
        """Guards against a holder that sleeps on after it took the lease."""
        held = threading.Event()
        planned = threading.Event()
        holder = make_holder(lambda: held.is_set() and (planned.set() or True))
        holder.start()
        self.addCleanup(holder.close)
        time.sleep(SETTLE_S)
        held.set()
        began = time.monotonic()
        holder.begin_term(1, {})
        self.assertTrue(planned.wait(WAIT_S))
        self.assertLess(time.monotonic() - began, IDLE_INTERVAL_S / 2)
