"""Functions that end the event loop of a waitress server."""

import threading
import time
import unittest

import waitress
from waitress import wasyncore

from catkinhook.operations.admin import AdminServer
from catkinhook.wsgiserver import close_sockets

PAUSE_S = 0.05


class SlowWriter:
    """Trigger of a server whose queued functions run before the byte that wakes the loop.

    :ivar errors: errors of the writes of that byte.
    """

    def __init__(self, server: waitress.server.BaseWSGIServer) -> None:
        self.errors: list[OSError] = []
        self._trigger = server.trigger
        self._pull = server.trigger.pull_trigger
        server.trigger.pull_trigger = self.pull_trigger

    def pull_trigger(self, function: object = None) -> None:
        """Queue a function, wake the loop, and write another byte after a pause."""
        self._pull(function)
        time.sleep(PAUSE_S)
        try:
            self._pull()
        except OSError as error:
            self.errors.append(error)


class EventLoopTest(unittest.TestCase):
    """Servers that close while the thread that asked for it still writes to their trigger."""

    def test_admin_server_closes_after_the_write(self) -> None:
        """Guards against "Bad file descriptor" from the close of the admin server.

        The loop had closed the trigger's pipe before the byte that wakes it was written.
        """
        server = AdminServer("127.0.0.1:0", lambda environ, start_response: [])
        server.start()
        writer = SlowWriter(server._server)
        server.close()
        self.assertEqual(writer.errors, [])
        self.assertFalse(server._thread.is_alive())

    def test_sockets_close_after_the_write(self) -> None:
        """Guards against a byte that is written to another connection's descriptor."""
        sockets: dict = {}
        server = waitress.create_server(
            lambda environ, start_response: [], map=sockets, host="127.0.0.1", port=0
        )
        thread = threading.Thread(target=server.run, daemon=True)
        thread.start()
        writer = SlowWriter(server)
        close_sockets(server, sockets)
        thread.join(2.0)
        self.assertEqual(writer.errors, [])
        self.assertFalse(thread.is_alive())
        wasyncore.close_all(sockets)
