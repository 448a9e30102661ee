"""Planned stops of a host process: kept and half-sent connections, and the start."""

import contextlib
import socket
import tempfile
import threading
import time
import unittest
from pathlib import Path

from catkinhook.hoststate import ACCEPT_ALL_AFTER_STOP_S
from tests.hostcase import REQUEST_ID, WAIT_S, HostCase, wait_until
from tests.stopping_host import GRACE_S, Caller, End, StoppingHost, StoppingHostCase

# Time after SIGTERM within ``ACCEPT_ALL_AFTER_STOP_S``.
LATE_REQUEST_S = 1.0
# Deadline of a request that is accepted after ``ACCEPT_ALL_AFTER_STOP_S``.
LATE_DEADLINE_S = 0.5


def can_connect(address: str) -> bool:
    """Return whether a listener accepts connections."""
    host, _, port = address.rpartition(":")
    with contextlib.suppress(OSError), socket.create_connection((host, int(port)), WAIT_S):
        return True
    return False


class ConnectionStopTest(StoppingHostCase):
    """Connections on which nothing is in progress when the host gets SIGTERM."""

    def test_connection_is_served_until_the_stop_ends(self) -> None:
        """A kept connection, or a half-sent request, must not be closed within the grace."""
        kept, slow, endless = (Caller(self.host.front_address) for _ in range(3))
        for caller in (kept, slow, endless):
            self.addCleanup(caller.close)
        self.assertEqual(kept.send("kept-1", "/post/x", 0.0, 1.0).status, 200)
        may_go_on = threading.Event()
        half_sent = threading.Barrier(3)

        def pause(is_over: threading.Event) -> None:
            half_sent.wait(WAIT_S)
            is_over.wait(WAIT_S)

        is_gone = threading.Event()
        half = self.executor.submit(
            slow.send, "slow", "/post/x", 0.0, 1.0, lambda: pause(may_go_on)
        )
        never = self.executor.submit(
            endless.send, "late", "/post/x", 0.0, 1.0, lambda: pause(is_gone)
        )
        half_sent.wait(WAIT_S)
        began = self.host.request_stop()
        time.sleep(LATE_REQUEST_S)
        may_go_on.set()
        outcomes = [half.result(WAIT_S), kept.send("kept-2", "/post/x", 0.0, 1.0)]
        time.sleep(ACCEPT_ALL_AFTER_STOP_S - LATE_REQUEST_S)
        outcomes.append(kept.send("kept-3", "/post/x", 0.0, LATE_DEADLINE_S))
        self.assertEqual([outcome.status for outcome in outcomes], [200, 200, 200])
        self.check_stop(began)
        is_gone.set()
        self.assertIs(never.result(WAIT_S).end, End.NOT_READ)
        self.assertNotIn("late", self.host.received_ids())


class EarlyStopTest(unittest.TestCase):
    """A host process that gets SIGTERM while it starts."""

    def test_stop_right_after_the_start_ends_the_process(self) -> None:
        """A process that is stopped while it starts must not go on, nor end with a failure."""
        with tempfile.TemporaryDirectory(prefix="catkinhook-test-") as folder:
            host = StoppingHost(Path(folder))
            self.addCleanup(host.close)
            host.start()
            wait_until(lambda: can_connect(host.ready_address))
            began = host.request_stop()
            code, ended_at = host.wait()
        self.assertEqual(code, 0)
        self.assertLess(ended_at - began, GRACE_S)


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
