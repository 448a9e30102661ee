"""An error in a thread that many requests depend on is felt by none of the others."""

import threading
import unittest

from catkinhook.requests.disconnectmonitor import DisconnectMonitor
from tests.hostcase import WAIT_S

CHECK_INTERVAL_S = 0.01


class DisconnectMonitorTest(unittest.TestCase):
    """The monitor that all requests in progress share."""

    def setUp(self) -> None:
        # Keeps the traceback out of the tests' output.
        self.enterContext(self.assertLogs("catkinhook.requests.disconnectmonitor"))
        self.monitor = DisconnectMonitor(CHECK_INTERVAL_S)
        self.monitor.start()
        self.addCleanup(self.monitor.close)

    def check_others_are_watched(self) -> None:
        """Check that the end of another caller's connection is noticed."""
        left = threading.Event()
        self.monitor.add("other", lambda: True, left.set)
        self.assertTrue(left.wait(WAIT_S))

    def test_error_of_a_check_does_not_end_the_watch_of_others(self) -> None:
        """An error must not leave engines at work for all callers that leave after it."""
        checked = threading.Event()

        def check() -> bool:
            checked.set()
            raise OSError("no such socket")

        self.monitor.add("broken", check, lambda: None)
        self.assertTrue(checked.wait(WAIT_S))
        self.check_others_are_watched()

    def test_error_of_a_cancellation_does_not_end_the_watch_of_others(self) -> None:
        """The same for an error while the request of a caller that left is cancelled."""
        called = threading.Event()

        def cancel() -> None:
            called.set()
            raise RuntimeError("can't cancel")

        self.monitor.add("broken", lambda: True, cancel)
        self.assertTrue(called.wait(WAIT_S))
        self.check_others_are_watched()


if __name__ == "__main__":
    unittest.main()
