"""Signals of a process, handled one after another by its main thread."""

import queue
import signal
from collections.abc import Callable


def receive_signals(*numbers: signal.Signals) -> Callable[[], int]:
    """Handle signals from now on, and return a function that waits for the next one.

    Python runs a handler in the main thread between any two steps, so it may not take a lock that
    the main thread may hold, such as that of a ``threading.Event`` on which it waits. ``put`` of a
    ``SimpleQueue`` is safe there.
    """
    received: queue.SimpleQueue[int] = queue.SimpleQueue()
    for number in numbers:
        signal.signal(number, lambda received_number, _frame: received.put(received_number))
    return received.get
