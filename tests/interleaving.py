"""Threads that pause before each store call, so that a test controls their interleaving."""

import threading
from collections.abc import Callable

STEP_TIMEOUT_S = 20.0


class ThreadKilled(BaseException):
    """Terminates a thread the way a process kill would."""


class SteppedThread:
    """A thread that runs only while a test steps it."""

    _current = threading.local()

    def __init__(self, run: Callable[[], None]) -> None:
        self.finished = False
        self.failure: BaseException | None = None
        self._killed = False
        self._resume = threading.Semaphore(0)
        self._paused = threading.Semaphore(0)
        self._thread = threading.Thread(target=self._run, args=(run,), daemon=True)
        self._thread.start()

    @staticmethod
    def pause() -> None:
        """Pause the calling stepped thread; does nothing in other threads."""
        thread = getattr(SteppedThread._current, "thread", None)
        if thread is not None:
            thread._paused.release()
            thread._resume.acquire()
            if thread._killed:
                raise ThreadKilled

    def step(self) -> None:
        """Run to the next pause or the end."""
        if self.finished:
            return
        self._resume.release()
        assert self._paused.acquire(timeout=STEP_TIMEOUT_S), "the thread did not reach a pause"
        if self.failure:
            raise self.failure

    def kill(self) -> None:
        """Terminate the thread at its current pause."""
        self._killed = True
        self.step()

    def _run(self, run: Callable[[], None]) -> None:
        SteppedThread._current.thread = self
        self._resume.acquire()
        try:
            if not self._killed:
                run()
        except ThreadKilled:
            pass
        except BaseException as error:
            self.failure = error
        self.finished = True
        self._paused.release()


class PausingStore:
    """Wraps a store and pauses the calling stepped thread before each call."""

    def __init__(self, store: object) -> None:
        self._store = store

    def __getattr__(self, name: str):
        method = getattr(self._store, name)

        def call(*args):
            SteppedThread.pause()
            return method(*args)

        return call
