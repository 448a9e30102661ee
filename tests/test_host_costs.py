"""Work of a host that nobody asked for, which made whole days too slow on large deployments.

Everything is counted instead of timed, so that the verdicts repeat on any machine.
"""

import threading
from unittest import mock

from catkinhook.stateactor import Owned
from tests.hostcase import HostCase, wait_until

EVENTS = 64
# Messages to the scheduler for one request beside those for its events: submit, first event and
# end, and the pauses of the caller's and the holder's threads.
MESSAGES_A_REQUEST = 6


class StreamCostTest(HostCase):
    """Work for each event of a stream."""

    def test_events_of_a_stream_are_told_to_the_scheduler_in_groups(self) -> None:
        """Guards against a message to the scheduler's actor for each event of a stream.

        Each one wakes the actor's thread, which took a third of the time of a request.
        """
        for engine in self.engines:
            engine.events, engine.gap_s = EVENTS, 0.002
        callers: list[str] = []
        tell = Owned.tell

        def count(owned: Owned, change: object) -> None:
            callers.append(threading.current_thread().name)
            tell(owned, change)

        with mock.patch.object(Owned, "tell", count):
            answer, body = self.ask("POST", "/live/x", b"p", Model="m1", Token_Usage="10,20")
            wait_until(lambda: self.host.state.in_progress == 0)
        self.assertEqual(answer.status, 200)
        self.assertEqual(body.count(b"\n\n"), EVENTS)
        told = [name for name in callers if name.startswith("waitress")]
        self.assertLessEqual(len(told), EVENTS // 8 + MESSAGES_A_REQUEST)
