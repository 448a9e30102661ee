"""Signals of a process, handled one after another by its main thread."""

import contextlib
import os
import queue
import signal
from collections.abc import Callable

WAKE_UP_BYTES = 4096


def receive_signals(*numbers: signal.Signals) -> Callable[[], int]:
    """Handle signals from now on, and return a function that waits for the next one.

    Signals that arrived since its last call count as one, the first in ``numbers``: a request to
    stop must not wait until each of many earlier signals has been handled.

    The kernel delivers a signal to any thread, but Python runs its handler in the main thread only,
    when that runs again. Each signal therefore writes a byte to a pipe, in whichever thread takes
    it, and the main thread waits for that byte.

    Python runs a handler between any two steps of the main thread, so it may not take a lock that
    the main thread may hold, such as that of a ``threading.Event``. ``put`` of a ``SimpleQueue`` is
    safe there.

    :param numbers: signals, the most urgent ones first.
    """
    received: queue.SimpleQueue[int] = queue.SimpleQueue()
    wake_up_reader, wake_up_writer = os.pipe()
    os.set_blocking(wake_up_writer, False)
    # A full pipe wakes the main thread as well.
    signal.set_wakeup_fd(wake_up_writer, warn_on_full_buffer=False)
    for number in numbers:
        signal.signal(number, lambda received_number, _frame: received.put(received_number))

    def wait_for_signal() -> int:
        arrived: set[int] = set()
        while not arrived:
            # Handlers have run when this returns; a byte of a signal that was already returned
            # finds the queue empty.
            os.read(wake_up_reader, WAKE_UP_BYTES)
            with contextlib.suppress(queue.Empty):
                while True:
                    arrived.add(received.get_nowait())
        return next(number for number in numbers if number in arrived)

    return wait_for_signal
