"""Claims as operators list and settle them, and the ageing of stored answers."""

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
    """A claim as operators see it.

    :ivar unchanged_s: seconds for which this controller has seen the row unchanged.
    """

    key: str
    state: str
    lost: bool
    unchanged_s: int
    labels: str


class ClaimAdmin:
    """Lists and settles claims without an outcome."""

    def __init__(self, claims: ClaimStore) -> None:
        self._claims = claims

    def list_open(self) -> Result[list[ClaimInDoubt], StepError]:
        """Return the claims whose request was sent and whose answer is not stored."""
        return self._claims.list_open().map(
            lambda found: [
                ClaimInDoubt(
                    key=claim.key,
                    state=claim.state.value,
                    lost=claim.lost,
                    unchanged_s=int(claim.unchanged),
                    labels=" ".join(f"{k}={v}" for k, v in sorted(claim.labels.items())),
                )
                for claim in found
            ]
        )

    def settle(self, key: str, outcome: str, note: str) -> Result[Any, StepError]:
        """Record what an operator found out.

        :param outcome: ``settled-ran`` or ``settled-not-run``.
        :param note: who found it out, and how.
        """
        return self._claims.settle(key, outcome == SETTLED_RAN, note).and_then(lambda _: Ok(None))


class ExpiringStore(Protocol):
    """A store whose contents age."""

    def expire(self) -> Result[int, Any]:
        """Age the contents and drop those past their retention; returns how many."""


class ExpiryThread:
    """Thread that ages stored answers, on one node at a time.

    :param read_weights: returns the weight of each live node.
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
        """Begin the rounds."""
        self._thread.start()

    def close(self) -> None:
        """Stop the rounds."""
        self._stop.set()
        self._thread.join()

    def run_once(self) -> None:
        """Age the stores that this node is to age; two nodes at once do no harm."""
        weights = self._read_weights()
        for name, store in self._store_by_name.items():
            if choose_owner(name, weights) == self._node:
                dropped = store.expire()
                if dropped.is_ok() and dropped.unwrap():
                    _log.info("answers expired", extra={"store": name, "count": dropped.unwrap()})

    def _run(self) -> None:
        while not self._stop.wait(self._interval):
            try:
                self.run_once()
            except Exception:
                _log.exception("housekeeping failed")
