"""Weight-store slots, which limit the number and the rate of concurrent model loads."""

import threading
from collections.abc import Container
from typing import Any

import attrs

from catkinhook.state.documents import WeightStore

WEIGHTS = "weights"
# Seconds by which other loads are delayed after those of models without a reachable copy, so that
# an urgent load of another controller gets the slot first.
NON_URGENT_DELAY = 0.3
# Seconds added to each interval, because a delayed order arrives closer to the next one.
PACING_MARGIN = 0.05
# Seconds after which the request of an endpoint with a hanging worker no longer blocks others.
REQUEST_LIFETIME = 3.0


@attrs.frozen(kw_only=True)
class SlotRow:
    """Row of one weight store.

    :ivar taken: incremented by each acquisition but not by a release, so only acquisitions are
        paced.
    :ivar endpoint_by_order: loading endpoints by order id.
    """

    taken: int = 0
    endpoint_by_order: dict[str, str] = attrs.Factory(dict)
    nonce: str = ""


def decode_slots(value: dict[str, Any] | None) -> SlotRow:
    """Decode a slot row; an absent row has no slots in use."""
    return SlotRow(**value) if value else SlotRow()


def acquire_slot(row: SlotRow, order_id: str, endpoint: str, nonce: str) -> SlotRow:
    """Return the row with one more slot acquired."""
    slots = row.endpoint_by_order | {order_id: endpoint}
    return SlotRow(taken=row.taken + 1, endpoint_by_order=slots, nonce=nonce)


def release_slots(row: SlotRow, order_ids: frozenset[str], nonce: str) -> SlotRow:
    """Return the row without the slots of these orders."""
    kept = {key: value for key, value in row.endpoint_by_order.items() if key not in order_ids}
    return attrs.evolve(row, endpoint_by_order=kept, nonce=nonce)


def remove_slots_of_missing(row: SlotRow, endpoints: Container[str]) -> SlotRow:
    """Return the row without the slots of endpoints that are gone and so load nothing."""
    slots = row.endpoint_by_order.items()
    return attrs.evolve(row, endpoint_by_order={k: e for k, e in slots if e in endpoints})


class Pacer:
    """Decides when this controller may acquire a slot; thread-safe.

    Clocks of different hosts are not compared. A slot may be acquired when no controller has
    acquired one since this one saw the current count, long enough ago on its own clock.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._seen: dict[str, tuple[int, float]] = {}
        self._desired: dict[str, dict[str, tuple[int, float]]] = {}

    def request(self, store: str, endpoint: str, rank: int | None, now: float) -> bool:
        """Tell whether an endpoint's load is first among those of this controller.

        :param rank: rank of the endpoint's most urgent load, None when it has none.
        """
        with self._lock:
            desired = self._desired.setdefault(store, {})
            desired.pop(endpoint, None)
            if rank is None:
                return False
            desired[endpoint] = (rank, now)
            fresh = {key: at for key, at in desired.items() if now - at[1] < REQUEST_LIFETIME}
            return min(fresh, key=lambda key: (fresh[key][0], key)) == endpoint

    def allows(self, store: WeightStore, row: SlotRow, urgent: bool, now: float) -> bool:
        """Tell whether a slot may be acquired, from a row that was read before ``now``."""
        with self._lock:
            taken, since = self._seen.get(store.name, (-1, now))
            if taken != row.taken:
                self._seen[store.name] = (row.taken, now)
                return False
        # One slot is reserved for loads of models without a reachable copy.
        reserve = 0 if urgent or store.loads_at_once == 1 else 1
        if len(row.endpoint_by_order) >= store.loads_at_once - reserve:
            return False
        wait = 1.0 / store.loads_per_second + PACING_MARGIN + (0.0 if urgent else NON_URGENT_DELAY)
        return now - since >= wait

    def record_acquisition(self, store: str, row: SlotRow, now: float) -> None:
        """Record an own acquisition that was confirmed at ``now``."""
        with self._lock:
            self._seen[store] = (row.taken, now)
