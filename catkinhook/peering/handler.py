"""Thrift handler of a controller: joins the steps that answer peers and gateways."""

import functools
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from catkinhook.errors import StepError
from catkinhook.peering import structs, wire
from catkinhook.peering.gossip import Gossip
from catkinhook.state.configuration import ConfigurationPoller
from catkinhook.state.snapshots import SnapshotPublisher
from catkinhook.thrift_gen import ttypes


@attrs.frozen
class ModelStatus:
    """Copies of a model that are reachable.

    :ivar wanted: copies that its document asks for.
    """

    model: str
    copies: int
    zones: tuple[str, ...]
    wanted: int


@attrs.frozen
class OrderStatus:
    """An order that is open.

    :ivar age: seconds since it was written.
    """

    endpoint: str
    order_id: str
    kind: str
    item: str
    age: float


class Fleet(Protocol):
    """Owner of endpoints, as far as peers, gateways and operators ask."""

    def request_adapter(self, model: str, adapter: str) -> bool:
        """Return whether the adapter is routable or an order for it is open now."""

    def describe_models(self) -> list[ModelStatus]:
        """Return the models of this controller's documents."""

    def describe_orders(self) -> list[OrderStatus]:
        """Return the open orders of endpoints that this controller owns."""


def _refusing(method: Callable[..., Any]) -> Callable[..., Any]:
    """Turn typed errors into the exception that peers can decode."""

    @functools.wraps(method)
    def call(*args: Any) -> Any:
        try:
            return method(*args)
        except StepError as error:
            raise structs.make_refused(error) from error

    return call


class ControllerHandler:
    """Answers the calls of ``interfaces/catkinhook.thrift``."""

    def __init__(
        self,
        gossip: Gossip,
        watch: ConfigurationPoller,
        publisher: SnapshotPublisher,
        fleet: Fleet,
    ) -> None:
        self._gossip = gossip
        self._watch = watch
        self._publisher = publisher
        self._fleet = fleet

    @_refusing
    def exchange(self, digest: ttypes.Digest) -> ttypes.Digest:
        """Answer a peer's digest."""
        return self._gossip.receive(digest)

    @_refusing
    def changes_after(self, number: int) -> ttypes.ChangeBatch:
        """Return configuration changes after a number.

        :raises Refused: if this instance has no copy itself.
        """
        state = self._watch.state
        if not state.loaded:
            raise StepError("configuration", "", "this instance has no copy yet")
        return wire.encode_batch(state.changes_after(number))

    @_refusing
    def snapshot(self, request: ttypes.SnapshotRequest) -> ttypes.SnapshotReply:
        """Take a gateway's report and return what is new."""
        return self._publisher.handle_request(request)

    @_refusing
    def request_adapter(self, model: str, adapter: str) -> bool:
        """Return whether the adapter is routable or being loaded."""
        return self._fleet.request_adapter(model, adapter)

    @_refusing
    def describe(self) -> ttypes.InstanceStatus:
        """Return the status of this instance for operators."""
        models = self._fleet.describe_models()
        orders = self._fleet.describe_orders()
        now = self._publisher.now()
        return ttypes.InstanceStatus(
            member=wire.encode_member(self._gossip.own()),
            current=self._watch.current,
            models=[ttypes.ModelStatus(m.model, m.copies, list(m.zones), m.wanted) for m in models],
            orders=[
                ttypes.OrderStatus(
                    o.endpoint, o.order_id, o.kind, o.item, int(o.age * structs.MS_PER_S)
                )
                for o in orders
            ],
            burn=wire.encode_burn(self._publisher.list_burn()),
            gateways=[
                # Burn counters are summed above, so they are not sent twice.
                wire.encode_report(attrs.evolve(report, burn=()), now)
                for report in self._publisher.list_reports()
            ],
            endpoints=self._publisher.count_endpoints(),
            moves=len(orders),
        )
