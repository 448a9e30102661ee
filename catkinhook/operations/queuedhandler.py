"""Log handler that never blocks the thread that logs."""

import atexit
import contextlib
import logging
import queue
import threading
from logging.handlers import QueueHandler

# Records that wait for their writer; further ones are counted and dropped.
MAX_QUEUED = 1000
# Longest wait for the writer when the process exits.
CLOSE_TIMEOUT_S = 0.5


class QueuedHandler(QueueHandler):
    """Passes records to another handler in a thread of its own.

    A pipe that nobody reads blocks its writer. The event loop and the scheduler log errors, and
    every request of a host depends on them.

    :param target: handler that writes the records.
    """

    def __init__(self, target: logging.Handler) -> None:
        super().__init__(queue.Queue(MAX_QUEUED))
        self._target = target
        self._dropped_lock = threading.Lock()
        self._dropped = 0
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)

    def start(self) -> None:
        """Start the writer, and let the exit of the process wait for it."""
        self._thread.start()
        atexit.register(self.close)

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it if the queue is full."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            with self._dropped_lock:
                self._dropped += 1

    def close(self) -> None:
        """Wait until the queued records are written, for at most ``CLOSE_TIMEOUT_S``."""
        atexit.unregister(self.close)
        with contextlib.suppress(queue.Full):
            self.queue.put_nowait(None)
        if self._thread.is_alive():
            self._thread.join(CLOSE_TIMEOUT_S)
        super().close()

    def _run(self) -> None:
        while (record := self.queue.get()) is not None:
            self._target.handle(record)
            with self._dropped_lock:
                dropped, self._dropped = self._dropped, 0
            if dropped:
                self._target.handle(_make_dropped_record(dropped))


def _make_dropped_record(count: int) -> logging.LogRecord:
    message = "%d records were dropped because the log was not read in time"
    return logging.LogRecord(__name__, logging.WARNING, "", 0, message, (count,), None)
