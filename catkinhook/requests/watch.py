"""Watch for callers that leave while their request runs."""

import threading
from collections.abc import Callable

# Bounds the work an engine does for a caller that left; 256 checks take about 50 microseconds.
CHECK_INTERVAL_S = 0.1


class DisconnectMonitor:
    """Service that calls back once for each watched caller that has left.

    Threads of the request path block in reads from endpoints, so they can't look for themselves.
    """

    def __init__(self, interval: float = CHECK_INTERVAL_S) -> None:
        self._interval = interval
        self._lock = threading.Lock()
        self._pair_by_key: dict[str, tuple[Callable[[], bool], Callable[[], None]]] = {}
        self._is_watching = threading.Event()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="caller-watch", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread."""
        self._stop.set()
        self._is_watching.set()
        self._thread.join()

    def add(self, key: str, has_left: Callable[[], bool], on_left: Callable[[], None]) -> None:
        """Watch a caller until ``remove``.

        :param has_left: tells whether the caller has left; must not block.
        :param on_left: called once, in the thread of the watch; must not block.
        """
        with self._lock:
            self._pair_by_key[key] = (has_left, on_left)
            self._is_watching.set()

    def remove(self, key: str) -> None:
        """Stop watching."""
        with self._lock:
            self._pair_by_key.pop(key, None)

    def _run(self) -> None:
        while not self._stop.is_set():
            self._is_watching.wait()
            self._stop.wait(self._interval)
            with self._lock:
                pairs = list(self._pair_by_key.items())
                if not pairs and not self._stop.is_set():
                    self._is_watching.clear()
            for key, (has_left, on_left) in pairs:
                if has_left():
                    self.remove(key)
                    on_left()
