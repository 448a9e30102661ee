"""On-demand loading of adapters: the gateway requests missing ones from its controller."""

import queue
import threading
from collections.abc import Callable

from catkinhook.clocks import Clock, monotonic
from catkinhook.peering.peers import PeerClient
from catkinhook.requests.gatewaydispatcher import Request
from catkinhook.state.views import Snapshot

# Bounds the adapter loads that are requested concurrently.
CONNECTION_COUNT = 8
CALL_TIMEOUT_S = 3.0
# Longest time that a request waits for its adapter.
ADAPTER_TIMEOUT_S = 3.0


class AdapterLoader:
    """Client that requests adapters from the controller on demand; thread-safe.

    :param address: ``IP:port`` of this host's controller.
    """

    def __init__(self, address: str, secret: bytes, clock: Clock = monotonic) -> None:
        self._clock = clock
        self._idle_clients: queue.Queue[PeerClient] = queue.Queue()
        self._clients = [
            PeerClient(address, secret, CALL_TIMEOUT_S) for _ in range(CONNECTION_COUNT)
        ]
        self._changed = threading.Condition()
        self._available: frozenset[str] = frozenset()
        self._requested: set[str] = set()
        self._closing = False

    def start(self) -> None:
        """Add the clients to the pool; they connect on first use."""
        for client in self._clients:
            self._idle_clients.put(client)

    def close(self) -> None:
        """Close the connections and wake all waiting requests."""
        with self._changed:
            self._closing = True
            self._changed.notify_all()
        for client in self._clients:
            client.close()

    def update(self, snapshot: Snapshot) -> None:
        """Update the set of available adapters from a snapshot."""
        views = snapshot.endpoint_by_id.values()
        available = frozenset(item for view in views if not view.leaving for item in view.adapters)
        with self._changed:
            self._available = available
            self._changed.notify_all()

    def ensure_available(self, request: Request) -> bool:
        """Wait until the adapter of a request is available; request a load if necessary.

        :returns: false if it is not available within ``ADAPTER_TIMEOUT_S``.
        """
        item = f"{request.model}/{request.adapter}"
        if not request.adapter or item in self._available:
            return True
        with self._changed:
            is_first = item not in self._requested
            self._requested.add(item)
        if is_first:
            try:
                self._request_load(request)
            finally:
                with self._changed:
                    self._requested.discard(item)
                    self._changed.notify_all()
        return self._wait_for(lambda: item in self._available)

    def _request_load(self, request: Request) -> None:
        try:
            client = self._idle_clients.get(timeout=ADAPTER_TIMEOUT_S)
        except queue.Empty:
            return
        try:
            client.call("request_adapter", request.model, request.adapter)
        finally:
            self._idle_clients.put(client)

    def _wait_for(self, condition: Callable[[], bool]) -> bool:
        deadline = self._clock() + ADAPTER_TIMEOUT_S
        with self._changed:
            while not condition() and not self._closing:
                time_left = deadline - self._clock()
                if time_left <= 0 or not self._changed.wait(time_left):
                    break
            return condition()
