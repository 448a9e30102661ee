"""Calls into the event loop of a waitress server that end the loop."""

import contextlib
import threading
from collections.abc import Callable

from waitress.server import BaseWSGIServer

# Longest time in seconds for which the loop waits for the thread that woke it.
WAKE_TIMEOUT_S = 1.0


def run_after_wake(server: BaseWSGIServer, function: Callable[[], object]) -> None:
    """Run a function that closes the server's trigger in the server's event loop.

    The loop may run what is queued for it before the byte that wakes it is written. If it closed
    the trigger's pipe then, the byte would go to a closed descriptor, or to the next connection
    that gets its number. So the function waits until the byte is written.

    :param function: closes the trigger, such as with all sockets of the loop.
    """
    is_woken = threading.Event()

    def run() -> None:
        is_woken.wait(WAKE_TIMEOUT_S)
        function()

    # After ``WAKE_TIMEOUT_S`` the loop no longer waits for a thread that is held up.
    with contextlib.suppress(OSError):
        server.trigger.pull_trigger(run)
    is_woken.set()
