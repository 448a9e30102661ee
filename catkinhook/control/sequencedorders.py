"""Sequenced orders to an engine, its replies and the state that it reports."""

import enum
from typing import Protocol

import attrs
from result import Result

from catkinhook.errors import EngineError
from catkinhook.state.views import EndpointView


@attrs.frozen(kw_only=True)
class SequencedOrder:
    """An order that an engine accepts only with the next sequence number.

    :ivar is_load: whether the order is a load; otherwise it is an unload.
    :ivar model: model to load or unload, or the adapter's model.
    :ivar adapter: adapter name, empty for the model itself.
    :ivar expected: sequence number: orders that the engine must have accepted before this one.
    :ivar holder: node that holds the order lease.
    :ivar fence: fencing token of that lease.
    """

    is_load: bool
    model: str
    adapter: str = ""
    expected: int
    holder: str
    fence: int

    @property
    def item(self) -> str:
        """Model, or adapter as ``model/adapter``."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


class OrderReply(enum.Enum):
    """An engine's reply to an order."""

    ACCEPTED = "accepted"
    IN_EFFECT = "holds"  # the engine is in the ordered state, without further work
    REFUSED = "refused"  # the engine is busy, or the sequence number differs
    FENCED = "fenced"  # the engine has seen a higher fencing token
    INVALID = "invalid"
    GONE = "gone"  # the address belongs to another endpoint


@attrs.frozen(kw_only=True)
class EngineState:
    """State that an engine reports, a few hundred milliseconds old.

    :ivar sequence: number of orders accepted since its start.
    :ivar busy: true while it executes an order for a model.
    :ivar adapters: resident adapters as ``model/adapter``.
    :ivar incoming: adapters being loaded.
    :ivar running: requests in its batch.
    :ivar waiting: requests queued.
    """

    boot_id: str
    sequence: int
    busy: bool
    models: frozenset[str]
    adapters: frozenset[str]
    incoming: frozenset[str] = frozenset()
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    running: int = 0
    waiting: int = 0


class SequencedEngineClient(Protocol):
    """Client of the engines' API for sequenced orders; thread-safe."""

    def order(
        self, endpoint: EndpointView, order: SequencedOrder
    ) -> Result[OrderReply, EngineError]:
        """Send one order; after an error it may be executed now, later or never."""

    def state(self, endpoint: EndpointView) -> Result[EngineState, EngineError]:
        """Return the state that an engine reports."""
