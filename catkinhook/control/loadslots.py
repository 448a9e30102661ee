"""Weight-store slots: limits on the concurrency and the rate of model loads."""

import threading
from collections.abc import Container
from typing import Any

import attrs

from catkinhook.state.documents import WeightStore

WEIGHTS_TABLE = "weights"
# Extra delay of non-urgent loads, so that an urgent load of another controller acquires the slot
# first. A load is urgent when its model has no reachable copy.
NON_URGENT_DELAY_S = 0.3
# Margin on each interval between loads, because a delayed order arrives closer to the next one.
PACING_MARGIN_S = 0.05
# Time after which the request of an endpoint whose worker thread hangs no longer blocks the others.
REQUEST_TTL_S = 3.0


@attrs.frozen(kw_only=True)
class SlotRow:
    """Row of one weight store.

    :ivar taken: number of acquisitions. A release does not change it, so that only acquisitions
        are paced.
    :ivar endpoint_by_order: endpoint by order id, for each slot in use.
    """

    taken: int = 0
    endpoint_by_order: dict[str, str] = attrs.Factory(dict)
    nonce: str = ""


def decode_slots(value: dict[str, Any] | None) -> SlotRow:
    """Decode a slot row; a missing row has no slots in use."""
    return SlotRow(**value) if value else SlotRow()


def acquire_slot(row: SlotRow, order_id: str, endpoint: str, nonce: str) -> SlotRow:
    """Return the row with a slot acquired for an order."""
    slots = row.endpoint_by_order | {order_id: endpoint}
    return SlotRow(taken=row.taken + 1, endpoint_by_order=slots, nonce=nonce)


def release_slots(row: SlotRow, order_ids: frozenset[str], nonce: str) -> SlotRow:
    """Return the row without the slots of these orders."""
    remaining = {key: value for key, value in row.endpoint_by_order.items() if key not in order_ids}
    return attrs.evolve(row, endpoint_by_order=remaining, nonce=nonce)


def drop_orphaned_slots(row: SlotRow, endpoints: Container[str]) -> SlotRow:
    """Return the row without the slots of removed endpoints, which no longer load anything."""
    slots = row.endpoint_by_order.items()
    return attrs.evolve(row, endpoint_by_order={k: e for k, e in slots if e in endpoints})


class Pacer:
    """Rate limiter that decides when this controller may acquire a slot; thread-safe.

    It never compares the clocks of different hosts. A slot may be acquired when the acquisition
    count has not changed for the required interval on this host's own clock.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._acquisition_by_store: dict[str, tuple[int, float]] = {}
        self._requests_by_store: dict[str, dict[str, tuple[int, float]]] = {}

    def request(self, store: str, endpoint: str, rank: int | None, now: float) -> bool:
        """Register an endpoint's load, and tell whether it is the next one of this controller.

        :param rank: rank of the endpoint's most urgent load, None to withdraw its request.
        """
        with self._lock:
            requests = self._requests_by_store.setdefault(store, {})
            requests.pop(endpoint, None)
            if rank is None:
                return False
            requests[endpoint] = (rank, now)
            rank_by_endpoint = {
                key: rank
                for key, (rank, requested_at) in requests.items()
                if now - requested_at < REQUEST_TTL_S
            }
            return min(rank_by_endpoint, key=lambda key: (rank_by_endpoint[key], key)) == endpoint

    def allows(self, store: WeightStore, row: SlotRow, urgent: bool, now: float) -> bool:
        """Whether a slot may be acquired, according to a row that was read before ``now``."""
        with self._lock:
            known_count, unchanged_since = self._acquisition_by_store.get(store.name, (-1, now))
            if known_count != row.taken:
                self._acquisition_by_store[store.name] = (row.taken, now)
                return False
        # One slot is reserved for loads of models without a reachable copy.
        reserved_slots = 0 if urgent or store.loads_at_once == 1 else 1
        if len(row.endpoint_by_order) >= store.loads_at_once - reserved_slots:
            return False
        min_interval_s = (
            1.0 / store.loads_per_second + PACING_MARGIN_S + (0.0 if urgent else NON_URGENT_DELAY_S)
        )
        return now - unchanged_since >= min_interval_s

    def record_acquisition(self, store: str, row: SlotRow, now: float) -> None:
        """Record an acquisition by this controller that was confirmed at ``now``."""
        with self._lock:
            self._acquisition_by_store[store] = (row.taken, now)
