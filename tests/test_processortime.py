"""CPU time by thread, which identifies the threads of a host that use too much of it."""

import io
import json
import threading
import time
import unittest
from contextlib import redirect_stdout

from catkinhook.operations.decisionlog import DecisionLog
from catkinhook.operations.hostmetrics import HostMetrics
from catkinhook.operations.processortime import (
    ENDED_THREADS,
    ProcessorTimeLogger,
    read_thread_seconds,
    thread_group_name,
)

# Several clock ticks, the unit in which the kernel accounts for CPU time.
BUSY_S = 0.1
WAIT_S = 10.0


def run_busy(until: threading.Event) -> None:
    """Use CPU time, then wait."""
    end = time.thread_time() + BUSY_S
    while time.thread_time() < end:
        pass
    until.wait(WAIT_S)


class ProcessorTimeTest(unittest.TestCase):
    """Guards against CPU time that is attributed to no thread."""

    def setUp(self) -> None:
        self.done = threading.Event()
        self.thread = threading.Thread(target=run_busy, args=(self.done,), name="busy-7")
        self.thread.start()
        self.addCleanup(self.thread.join)
        self.addCleanup(self.done.set)

    def test_threads_are_grouped_without_their_numbers(self) -> None:
        self.assertEqual(thread_group_name("waitress-12"), "waitress")
        self.assertEqual(thread_group_name("orders_3"), "orders")
        self.assertEqual(thread_group_name("MainThread"), "MainThread")

    def test_time_of_a_thread_is_reported_while_it_runs_and_after(self) -> None:
        deadline = time.monotonic() + WAIT_S
        while read_thread_seconds().get("busy", 0.0) < BUSY_S / 2:
            self.assertLess(time.monotonic(), deadline, "the thread's CPU time was not reported")
            time.sleep(0.005)
        self.done.set()
        self.thread.join()
        after = read_thread_seconds()
        self.assertNotIn("busy", after)
        self.assertGreaterEqual(after[ENDED_THREADS], BUSY_S / 2)

    def test_metrics_and_log_report_the_time_by_thread(self) -> None:
        text = HostMetrics().render().decode()
        self.assertIn('catkinhook_thread_seconds_total{thread="MainThread"}', text)
        out = io.StringIO()
        with redirect_stdout(out):
            log = DecisionLog("host-1")
            time_logger = ProcessorTimeLogger(log, interval_s=0.02)
            log.start()
            time_logger.start()
            time.sleep(0.2)
            time_logger.close()
            log.close()
        lines = [json.loads(line) for line in out.getvalue().splitlines()]
        self.assertTrue(lines)
        self.assertEqual(lines[0]["outcome"], "processor time")
        self.assertIn("MainThread", lines[0]["by_thread"])


if __name__ == "__main__":
    unittest.main()
