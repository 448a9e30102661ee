"""Threads that serve requests, started on demand."""

from collections.abc import Callable

from waitress.channel import HTTPChannel
from waitress.task import ThreadedTaskDispatcher


class OnDemandDispatcher(ThreadedTaskDispatcher):
    """waitress task dispatcher that starts a thread only when all others are busy.

    :param max_threads: maximum number of threads.
    """

    def __init__(self, max_threads: int) -> None:
        super().__init__()
        self._max_threads = max_threads
        self.set_thread_count(1)

    def start_new_thread(self, target: Callable, thread_no: int) -> None:
        """Start a thread; if that fails, the tasks wait for the threads that run.

        An exception would leave the task out of the queue, and its connection would be closed.

        :raises RuntimeError: if no thread runs.
        """
        try:
            super().start_new_thread(target, thread_no)
        except (RuntimeError, MemoryError) as error:
            # The caller, which holds the lock, has counted the thread, and counts it as busy next.
            self.threads.discard(thread_no)
            self.active_count -= 1
            if not self.threads:
                raise
            self.logger.warning("no thread was started: %r", error)

    def add_task(self, task: HTTPChannel) -> None:
        """Queue a task, and start a thread if none is idle."""
        with self.lock:
            busy = self.active_count + len(self.queue)
            count = len(self.threads) - self.stop_count
        if busy >= count and count < self._max_threads and not self.stop_count:
            self.set_thread_count(count + 1)
        super().add_task(task)
