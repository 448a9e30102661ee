"""CPU time of this process by thread, as a metric and in periodic log lines."""

import os
import resource
import threading
from collections.abc import Iterable
from pathlib import Path

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from catkinhook.operations.decisionlog import DecisionLog

# Seconds between lines of the log.
REPORT_INTERVAL_S = 10.0
# Group of all threads that have exited, such as request threads after a burst.
ENDED_THREADS = "ended"

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_TASKS = Path("/proc/self/task")
# Positions of utime and stime among the fields after the name in a ``stat`` file; see proc(5).
_USER_TICKS, _SYSTEM_TICKS = 11, 12


def thread_group_name(name: str) -> str:
    """Return a thread's name without its numeric suffix."""
    return name.rstrip("0123456789-_")


def read_thread_seconds() -> dict[str, float]:
    """Return the seconds of CPU time by thread group since the start.

    Reads the kernel's accounting in /proc, since the thread clocks may be simulated.
    """
    seconds_by_group: dict[str, float] = {}
    for thread in threading.enumerate():
        try:
            fields = (
                (_TASKS / str(thread.native_id) / "stat").read_text().rpartition(")")[2].split()
            )
        except OSError:
            # The thread exited after the enumeration, or has not started yet.
            continue
        ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
        group = thread_group_name(thread.name)
        seconds_by_group[group] = seconds_by_group.get(group, 0.0) + ticks / _TICKS_PER_S
    usage = resource.getrusage(resource.RUSAGE_SELF)
    total = usage.ru_utime + usage.ru_stime
    seconds_by_group[ENDED_THREADS] = max(0.0, total - sum(seconds_by_group.values()))
    return seconds_by_group


class ThreadSecondsCollector(Collector):
    """Prometheus collector of CPU time by thread group."""

    def collect(self) -> Iterable[CounterMetricFamily]:
        """Return the current value of the metric."""
        family = CounterMetricFamily(
            "catkinhook_thread_seconds", "Processor time by group of threads.", labels=("thread",)
        )
        for group, seconds in sorted(read_thread_seconds().items()):
            family.add_metric((group,), seconds)
        return (family,)


class ProcessorTimeLogger:
    """Service that logs the CPU time of each interval.

    :param interval_s: seconds between lines.
    """

    def __init__(self, log: DecisionLog, interval_s: float = REPORT_INTERVAL_S) -> None:
        self._log = log
        self._interval_s = interval_s
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="processor-time", daemon=True)

    def start(self) -> None:
        """Start the logging thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the logging thread."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        before: dict[str, float] = {}
        while not self._stop.wait(self._interval_s):
            after = read_thread_seconds()
            # An exited thread's time moves to ``ENDED_THREADS``, so a group's total can decrease.
            spent = {g: round(s - before.get(g, 0.0), 3) for g, s in after.items()}
            self._log.record(
                "process",
                outcome="processor time",
                seconds=round(sum(after.values()) - sum(before.values()), 3),
                interval_s=self._interval_s,
                by_thread={group: seconds for group, seconds in spent.items() if seconds > 0},
            )
            before = after
