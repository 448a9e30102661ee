"""Signals of a process, handled one after another by its main thread."""

import contextlib
import queue
import signal
from collections.abc import Callable


def receive_signals(*numbers: signal.Signals) -> Callable[[], int]:
    """Handle signals from now on, and return a function that waits for the next one.

    Signals that arrived since its last call count as one, the first in ``numbers``: a request to
    stop must not wait until each of many earlier signals has been handled.

    Python runs a handler in the main thread between any two steps, so it may not take a lock that
    the main thread may hold, such as that of a ``threading.Event`` on which it waits. ``put`` of a
    ``SimpleQueue`` is safe there.

    :param numbers: signals, the most urgent ones first.
    """
    received: queue.SimpleQueue[int] = queue.SimpleQueue()
    for number in numbers:
        signal.signal(number, lambda received_number, _frame: received.put(received_number))

    def wait_for_signal() -> int:
        arrived = {received.get()}
        with contextlib.suppress(queue.Empty):
            while True:
                arrived.add(received.get_nowait())
        return next(number for number in numbers if number in arrived)

    return wait_for_signal
