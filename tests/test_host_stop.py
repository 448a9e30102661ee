"""Planned stops of a host process: each request that it reads gets an answer or a refusal."""

import contextlib
import tempfile
import threading
import time
import unittest
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

from catkinhook.host import MAX_REQUESTS
from tests.hostcase import REQUEST_ID, WAIT_S, HostCase, wait_until
from tests.stopping_host import (
    GRACE_S,
    Caller,
    End,
    Outcome,
    StoppingHost,
    run_load,
)

# Longer than the grace period: only the end of the process ends such a request.
ENDLESS_S = 15.0
# Statuses that promise that the request did not run.
REFUSALS = frozenset({408, 421, 429, 503})
LOAD_BEFORE_STOP_S = 0.5
# Time after SIGTERM within ``ACCEPT_ALL_AFTER_STOP_S``.
LATE_REQUEST_S = 1.0
# More than the spare threads of the server.
MORE_REQUESTS = 40
MAX_THREADS = MAX_REQUESTS + MORE_REQUESTS


class ProcessStopTest(unittest.TestCase):
    """A host process that gets SIGTERM while callers send requests."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="catkinhook-test-")
        self.addCleanup(folder.cleanup)
        self.host = StoppingHost(Path(folder.name))
        self.addCleanup(self.host.close)
        self.host.start()
        self.executor = ThreadPoolExecutor(MAX_THREADS)
        self.addCleanup(self.executor.shutdown)

    def send(self, number: int, path: str, work_s: float, deadline_s: float) -> Future[Outcome]:
        """Send one request on a new connection in a thread."""

        def run() -> Outcome:
            with contextlib.closing(Caller(self.host.front_address)) as caller:
                return caller.send(f"{path}{number:x}", path, work_s, deadline_s)

        return self.executor.submit(run)

    def stop_under_load(self, callers: int, *choices: tuple) -> list[Outcome]:
        """Stop the host while callers send requests, and return the ends of all requests.

        :param callers: half of them keep their connections.
        :param choices: as for ``run_load``.
        """
        is_running = threading.Event()
        is_running.set()
        loads = [
            self.executor.submit(run_load, self.host, is_running, seed, seed % 2 == 0, *choices)
            for seed in range(callers)
        ]
        time.sleep(LOAD_BEFORE_STOP_S)
        self.check_stop(self.host.request_stop())
        is_running.clear()
        return [outcome for load in loads for outcome in load.result(timeout=WAIT_S)]

    def check_stop(self, began: float) -> None:
        """Check that the process ends by itself within the grace period."""
        code, ended_at = self.host.wait()
        self.assertEqual(code, 0)
        self.assertLess(ended_at - began, GRACE_S)

    def check_outcomes(self, outcomes: list[Outcome], stopped_at: float) -> None:
        """Check that no request was cut, and that no refused one reached an endpoint."""
        received = self.host.received_ids()
        cut = [
            f"{outcome.path} sent {outcome.sent_at - stopped_at:.3f} s and closed "
            f"{outcome.ended_at - stopped_at:.3f} s after SIGTERM, work {outcome.work_s} s, "
            f"deadline {outcome.deadline_s} s, passed on: {outcome.request_id in received}"
            for outcome in outcomes
            if outcome.end is End.CUT
        ]
        self.assertEqual(cut, [])
        refused = {outcome.request_id for outcome in outcomes if outcome.status in REFUSALS}
        self.assertEqual(refused & received, set())

    def test_request_that_crosses_the_exit_is_answered_or_not_read(self) -> None:
        """A request that an idle host has read must not be cut when the process exits."""
        began = time.monotonic() + LOAD_BEFORE_STOP_S
        outcomes = self.stop_under_load(6, ("/nothing/x",), (0.0,), (0.3,))
        self.check_outcomes(outcomes, began)

    def test_request_in_progress_at_the_end_of_the_grace_is_answered(self) -> None:
        """A request that was passed on must not be cut: its caller must hear that it may have run.

        Its deadline may be later than the end of the grace period if it came before SIGTERM or
        within ``ACCEPT_ALL_AFTER_STOP_S`` after it.
        """
        paths = ("/post/x", "/look/x") * 4
        before = [
            self.send(number, path, ENDLESS_S, ENDLESS_S) for number, path in enumerate(paths)
        ]
        wait_until(lambda: len(self.host.received_ids()) == len(before))
        began = self.host.request_stop()
        time.sleep(LATE_REQUEST_S)
        after = [
            self.send(number + len(before), path, ENDLESS_S, ENDLESS_S)
            for number, path in enumerate(paths)
        ]
        self.check_stop(began)
        outcomes = [future.result(WAIT_S) for future in before + after]
        self.check_outcomes(outcomes, began)
        self.assertEqual({outcome.status for outcome in outcomes}, {502})
        self.assertEqual(len(self.host.received_ids()), len(outcomes))
        for endpoint in self.host.endpoints:
            self.assertEqual(len(endpoint.received_ids), len(set(endpoint.received_ids)))
        logged = {line["id"] for line in self.host.process.lines if line.get("status") == 502}
        self.assertEqual(logged, self.host.received_ids())

    def test_more_requests_than_threads_at_the_end_of_the_grace_are_answered(self) -> None:
        """No request may be cut while it waits for a thread, or because others are answered."""
        busy = [
            self.send(number, "/post/x", ENDLESS_S, ENDLESS_S) for number in range(MAX_REQUESTS)
        ]
        wait_until(lambda: len(self.host.received_ids()) == MAX_REQUESTS)
        more = [
            self.send(MAX_REQUESTS + number, "/post/x", 0.0, ENDLESS_S)
            for number in range(MORE_REQUESTS)
        ]
        began = self.host.request_stop()
        self.check_stop(began)
        outcomes = [future.result(WAIT_S) for future in busy + more]
        self.check_outcomes(outcomes, began)
        statuses = [outcome.status for outcome in outcomes]
        self.assertEqual(statuses, [502] * MAX_REQUESTS + [503] * MORE_REQUESTS)


class StoppedHostTest(HostCase):
    """A host in this process after ``Host.stop``, which the end of the process follows."""

    def test_stopped_host_reads_no_request(self) -> None:
        """A request that is read after the last check for requests is cut by the exit."""
        with contextlib.closing(Caller(self.settings.front_address)) as kept:
            self.assertEqual(kept.send(REQUEST_ID, "/look/x", 0.0, 1.0).status, 200)
            self.host.stop()
            with contextlib.closing(Caller(self.settings.front_address)) as new:
                ends = [caller.send(REQUEST_ID, "/look/x", 0.0, 1.0).end for caller in (kept, new)]
        self.assertEqual(ends, [End.NOT_READ, End.NOT_READ])


if __name__ == "__main__":
    unittest.main()
