"""Connections that callers reset are accounted for, whatever had become of their requests."""

import socket
import struct
import threading
import time
from unittest import mock

from catkinhook.answertask import Task
from catkinhook.callerresets import IDLE, PARTIAL_REQUEST, RECENT_ANSWER
from catkinhook.unanswered import CALLER_CLOSED, UNSENT_ANSWER
from catkinhook.units import MIB
from tests.connectioncase import HEADERS, Caller, ConnectionCase
from tests.hostcase import WAIT_S, wait_until
from tests.platform_fakes import ScriptedAnswer

LOOKUP = f"GET /look/x HTTP/1.1\r\n{HEADERS}\r\n"
STREAM = f"POST /live/x HTTP/1.1\r\n{HEADERS}Model: m1\r\nContent-Length: 0\r\n\r\n"


def reset(caller: Caller) -> None:
    """Reset a connection."""
    caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()


class CallerResetTest(ConnectionCase):
    """Callers that reset their connections at different moments."""

    def setUp(self) -> None:
        super().setUp()
        self.lines: list[tuple[str, str]] = []
        record = self.host.log.record

        def keep(kind: str, outcome: str, **inputs: object) -> None:
            self.lines.append((kind, outcome))
            record(kind, outcome, **inputs)

        patch = mock.patch.object(self.host.log, "record", keep)
        patch.start()
        self.addCleanup(patch.stop)

    def count_resets(self, state: str) -> float:
        """Return how many resets the host counts, for one state of the connection."""
        name, labels = "catkinhook_caller_resets_total", {"state": state}
        return self.host.metrics.registry.get_sample_value(name, labels) or 0.0

    def answer(self, caller: Caller) -> None:
        """Get an answer."""
        caller.send(LOOKUP)
        self.assertEqual(caller.read_answer()[0], 200)

    def test_reset_before_a_thread_began_the_request_is_logged(self) -> None:
        """A request that was read and waits for a thread must not end without a line."""
        with mock.patch.object(self.host.front.server, "add_task"):
            caller = self.connect()
            caller.send(LOOKUP)
            channels = self.host.front.server.active_channels
            wait_until(lambda: any(channel.requests for channel in list(channels.values())))
            reset(caller)
            wait_until(lambda: self.count_unanswered(CALLER_CLOSED) == 1)
        wait_until(lambda: ("unanswered", CALLER_CLOSED) in self.lines)

    def test_reset_of_an_answer_on_its_way_is_counted(self) -> None:
        """An answer of which a part was never sent must not count as answered only."""
        body = b"x" * (8 * MIB - 1)
        for engine in self.engines:
            engine.scripted_answers.append(
                ScriptedAnswer(body=body, framing="length", content_type="text/plain")
            )
        caller = self.connect()
        caller.send(STREAM)
        wait_until(lambda: ("request", "answered") in self.lines)
        # The thread passes the answer on after its line.
        wait_until(lambda: self.host.state.in_progress == 0)
        reset(caller)
        wait_until(lambda: self.count_unanswered(UNSENT_ANSWER) == 1)
        self.assertIn(("unanswered", UNSENT_ANSWER), self.lines)

    def test_reset_after_an_answer_is_counted(self) -> None:
        """An answer that was passed to the kernel may be lost by a reset, so it leaves a line."""
        caller = self.connect()
        self.answer(caller)
        reset(caller)
        wait_until(lambda: self.count_resets(RECENT_ANSWER) == 1)
        self.assertIn(("caller-reset", RECENT_ANSWER), self.lines)

    def test_reset_before_the_thread_notes_its_answer_is_counted(self) -> None:
        """A caller may have an answer before the thread that sent it has come to its end."""
        finish, is_closed = Task.finish, threading.Event()

        def finish_late(task: Task) -> None:
            is_closed.wait(WAIT_S)
            finish(task)

        with mock.patch.object(Task, "finish", finish_late):
            caller = self.connect()
            self.answer(caller)
            reset(caller)
            wait_until(lambda: not self.host.front.server.active_channels)
            is_closed.set()
            wait_until(lambda: self.count_resets(RECENT_ANSWER) == 1)

    def test_reset_in_a_request_is_counted(self) -> None:
        """A request that arrived in part must leave a line, as its caller may have sent all."""
        caller = self.connect()
        self.answer(caller)
        caller.send(LOOKUP[:20])
        channels = self.host.front.server.active_channels
        wait_until(lambda: any(channel.request for channel in list(channels.values())))
        reset(caller)
        wait_until(lambda: self.count_resets(PARTIAL_REQUEST) == 1)

    def test_reset_of_an_idle_connection_is_only_counted(self) -> None:
        """Resets of connections without requests must not fill the log."""
        caller = self.connect()
        time.sleep(0.05)
        reset(caller)
        wait_until(lambda: self.count_resets(IDLE) == 1)
        self.assertNotIn(("caller-reset", IDLE), self.lines)
