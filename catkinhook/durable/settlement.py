"""Operator access to open claims, and the thread that expires stored data."""

import logging
import threading
from collections.abc import Callable
from typing import Any, Protocol

import attrs
from result import Ok, Result

from catkinhook.control.leases import choose_owner
from catkinhook.durable.claims import ClaimStore
from catkinhook.errors import StepError

SETTLED_RAN = "settled-ran"

_log = logging.getLogger(__name__)


@attrs.frozen
class ClaimInDoubt:
    """An open claim as shown to operators.

    :ivar unchanged_s: seconds since this controller first saw the current version of the row.
    """

    key: str
    state: str
    lost: bool
    unchanged_s: int
    labels: str


class ClaimAdmin:
    """Lists claims without an outcome and records operators' decisions on them."""

    def __init__(self, claims: ClaimStore) -> None:
        self._claims = claims

    def list_open(self) -> Result[list[ClaimInDoubt], StepError]:
        """Return the claims without a stored outcome."""
        return self._claims.list_open().map(
            lambda open_claims: [
                ClaimInDoubt(
                    key=claim.key,
                    state=claim.state.value,
                    lost=claim.lost,
                    unchanged_s=int(claim.unchanged),
                    labels=" ".join(f"{k}={v}" for k, v in sorted(claim.labels.items())),
                )
                for claim in open_claims
            ]
        )

    def settle(self, key: str, outcome: str, note: str) -> Result[Any, StepError]:
        """Record an operator's decision on a claim.

        :param outcome: ``settled-ran`` or ``settled-not-run``.
        :param note: who decided, and on what evidence.
        """
        return self._claims.settle(key, outcome == SETTLED_RAN, note).and_then(lambda _: Ok(None))


class ExpiringStore(Protocol):
    """A store with entries that expire."""

    def expire(self) -> Result[int, Any]:
        """Advance the age of entries and delete expired ones; return how many were deleted."""


class ExpiryThread:
    """Thread that expires entries of stores, each store normally on one node.

    :param read_weights: returns the weight of each live node.
    :param store_by_name: stores; weighted rendezvous hashing of the name selects the node for each.
    :param interval: seconds between rounds.
    """

    def __init__(
        self,
        node: str,
        read_weights: Callable[[], dict[str, float]],
        store_by_name: dict[str, ExpiringStore],
        interval: float,
    ) -> None:
        self._node = node
        self._read_weights = read_weights
        self._store_by_name = store_by_name
        self._interval = interval
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="housekeeping", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread."""
        self._stop.set()
        self._thread.join()

    def run_once(self) -> None:
        """Expire entries of the stores assigned to this node; safe on two nodes at once."""
        weights = self._read_weights()
        for name, store in self._store_by_name.items():
            if choose_owner(name, weights) == self._node:
                expired = store.expire()
                if expired.is_ok() and expired.unwrap():
                    _log.info("entries expired", extra={"store": name, "count": expired.unwrap()})

    def _run(self) -> None:
        while not self._stop.wait(self._interval):
            try:
                self.run_once()
            except Exception:
                _log.exception("expiry of stored entries failed")
