"""Push of new evidence about prompt parts to a few other hosts.

The holder of the order lease passes the evidence on too, but only with the regular exchanges. They
are two seconds apart with 75 hosts, and stop while the lease changes hands. A host pushes what is
new to it to a few random hosts, which do the same, so that it reaches all within a few round trips.
"""

import contextlib
import random
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor

# Number of hosts to which each host pushes. With three, a few hosts in a hundred are not reached;
# they learn from the holder.
FANOUT = 3
# Maximum number of calls in progress. Calls to peers that are cut off take until their timeout.
MAX_CALLS = 2 * FANOUT
# Minimum seconds between two pushes of a host, which bounds the messages while engines crash often.
MIN_INTERVAL_S = 0.1


class EvidencePush:
    """Service that sends this host's evidence to a few random hosts when it changes.

    :param list_peers: returns the addresses of other hosts.
    :param send: sends the evidence to the host at an address and handles all errors.
    """

    def __init__(
        self,
        list_peers: Callable[[], Iterable[str]],
        send: Callable[[str], object],
        rng: random.Random,
    ) -> None:
        self._list_peers = list_peers
        self._send = send
        self._rng = rng
        self._requested = threading.Event()
        self._stop = threading.Event()
        self._executor = ThreadPoolExecutor(FANOUT, "evidence-push")
        self._calls: list[Future] = []
        self._thread = threading.Thread(target=self._run, name="evidence-push", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread without waiting for calls in progress."""
        self._stop.set()
        self._requested.set()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def request(self) -> None:
        """Push the evidence as soon as the minimum interval allows."""
        self._requested.set()

    def _run(self) -> None:
        while True:
            self._requested.wait()
            self._requested.clear()
            if self._stop.is_set():
                return
            peers = list(self._list_peers())
            self._calls = [call for call in self._calls if not call.done()]
            count = min(FANOUT, MAX_CALLS - len(self._calls), len(peers))
            # The executor may be shut down meanwhile, or no thread can be started at present.
            with contextlib.suppress(RuntimeError):
                for address in self._rng.sample(peers, count):
                    self._calls.append(self._executor.submit(self._send, address))
            self._stop.wait(MIN_INTERVAL_S)
