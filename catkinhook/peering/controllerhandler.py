"""Thrift handler of a controller, called by peers and gateways."""

import functools
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from catkinhook.errors import StepError
from catkinhook.peering import controllermessages, thriftfields
from catkinhook.peering.gossip import Gossip
from catkinhook.state.configuration import ConfigurationPoller
from catkinhook.state.snapshots import SnapshotPublisher
from catkinhook.thrift_gen import ttypes


@attrs.frozen
class ModelStatus:
    """Reachable copies of a model.

    :ivar wanted: number of copies that its document specifies.
    """

    model: str
    copies: int
    zones: tuple[str, ...]
    wanted: int


@attrs.frozen
class OrderStatus:
    """An open order.

    :ivar age: seconds since it was written.
    """

    endpoint: str
    order_id: str
    kind: str
    item: str
    age: float


class Fleet(Protocol):
    """The queries on a controller's endpoints that peers, gateways and operators make."""

    def request_adapter(self, model: str, adapter: str) -> bool:
        """Return whether the adapter is routable or an order for it is open."""

    def describe_models(self) -> list[ModelStatus]:
        """Return the status of the models in this controller's documents."""

    def describe_orders(self) -> list[OrderStatus]:
        """Return the open orders of endpoints that this controller owns."""


def _convert_step_errors(method: Callable[..., Any]) -> Callable[..., Any]:
    """Decorate a method so that a ``StepError`` is raised as the thrift exception ``Refused``."""

    @functools.wraps(method)
    def call(*args: Any) -> Any:
        try:
            return method(*args)
        except StepError as error:
            raise thriftfields.make_refused(error) from error

    return call


class ControllerHandler:
    """Implements the service of ``interfaces/catkinhook.thrift``."""

    def __init__(
        self,
        gossip: Gossip,
        poller: ConfigurationPoller,
        publisher: SnapshotPublisher,
        fleet: Fleet,
    ) -> None:
        self._gossip = gossip
        self._poller = poller
        self._publisher = publisher
        self._fleet = fleet

    @_convert_step_errors
    def exchange(self, digest: ttypes.Digest) -> ttypes.Digest:
        """Merge a peer's digest and return this node's."""
        return self._gossip.handle_exchange(digest)

    @_convert_step_errors
    def changes_after(self, number: int) -> ttypes.ChangeBatch:
        """Return the configuration changes after a number.

        :raises Refused: if this instance has not loaded a configuration.
        """
        state = self._poller.state
        if not state.loaded:
            raise StepError("configuration", "", "this instance has no copy yet")
        return controllermessages.encode_batch(state.changes_after(number))

    @_convert_step_errors
    def snapshot(self, request: ttypes.SnapshotRequest) -> ttypes.SnapshotReply:
        """Store a gateway's report and return what changed since its last request."""
        return self._publisher.handle_request(request)

    @_convert_step_errors
    def request_adapter(self, model: str, adapter: str) -> bool:
        """Return whether the adapter is routable or being loaded."""
        return self._fleet.request_adapter(model, adapter)

    @_convert_step_errors
    def describe(self) -> ttypes.InstanceStatus:
        """Return the status of this instance for operators."""
        models = self._fleet.describe_models()
        orders = self._fleet.describe_orders()
        now = self._publisher.now()
        return ttypes.InstanceStatus(
            member=controllermessages.encode_member(self._gossip.own_member()),
            current=self._poller.current,
            models=[ttypes.ModelStatus(m.model, m.copies, list(m.zones), m.wanted) for m in models],
            orders=[
                ttypes.OrderStatus(
                    o.endpoint, o.order_id, o.kind, o.item, int(o.age * thriftfields.MS_PER_S)
                )
                for o in orders
            ],
            burn=controllermessages.encode_burn(self._publisher.list_burn()),
            gateways=[
                # The burn counters are already summed in ``burn``.
                controllermessages.encode_report(attrs.evolve(report, burn=()), now)
                for report in self._publisher.list_reports()
            ],
            endpoints=self._publisher.count_endpoints(),
            moves=len(orders),
        )
