"""Threads that stop before each call of a store, so that a test decides the order of all steps."""

import threading
from collections.abc import Callable

HANG_S = 20.0


class ThreadKilled(BaseException):
    """Ends a thread as the death of its process would."""


class SteppedThread:
    """A thread that runs only while a test steps it."""

    _current = threading.local()

    def __init__(self, run: Callable[[], None]) -> None:
        self.finished = False
        self.failure: BaseException | None = None
        self._killed = False
        self._go = threading.Semaphore(0)
        self._parked = threading.Semaphore(0)
        self._thread = threading.Thread(target=self._run, args=(run,), daemon=True)
        self._thread.start()

    @staticmethod
    def pause() -> None:
        """Park the calling worker; other threads pass."""
        worker = getattr(SteppedThread._current, "worker", None)
        if worker is not None:
            worker._parked.release()
            worker._go.acquire()
            if worker._killed:
                raise ThreadKilled

    def step(self) -> None:
        """Run to the next pause or the end."""
        if self.finished:
            return
        self._go.release()
        assert self._parked.acquire(timeout=HANG_S), "a worker hangs"
        if self.failure:
            raise self.failure

    def kill(self) -> None:
        """End the worker where it stands."""
        self._killed = True
        self.step()

    def _run(self, run: Callable[[], None]) -> None:
        SteppedThread._current.worker = self
        self._go.acquire()
        try:
            if not self._killed:
                run()
        except ThreadKilled:
            pass
        except BaseException as error:
            self.failure = error
        self.finished = True
        self._parked.release()


class PausingStore:
    """Wraps a store and pauses the calling worker before each call."""

    def __init__(self, store: object) -> None:
        self._store = store

    def __getattr__(self, name: str):
        method = getattr(self._store, name)

        def call(*args):
            SteppedThread.pause()
            return method(*args)

        return call
