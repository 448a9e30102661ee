"""Status of all instances, collected by the controller that serves the admin request."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import attrs

from catkinhook.errors import StepError
from catkinhook.operations.burn import Bucket
from catkinhook.peering import controllermessages, thriftfields
from catkinhook.peering.membership import Member
from catkinhook.peering.peers import PeerPool
from catkinhook.thrift_gen import ttypes

MAX_PARALLEL_CALLS = 16


@attrs.frozen
class GatewayStatus:
    """One gateway as seen by its controller."""

    gateway: str
    in_progress: int
    ready: bool


@attrs.frozen
class Instance:
    """One controller with its gateways.

    :ivar current: whether its configuration is known to be up to date.
    :ivar endpoints: endpoints that it publishes to its gateways.
    """

    member: Member
    current: bool
    endpoints: int
    moves: int
    gateways: list[GatewayStatus]


@attrs.frozen
class ModelCopies:
    """Reachable copies of a model, as seen by the collecting controller."""

    model: str
    copies: int
    wanted: int
    zones: list[str]


@attrs.frozen
class OpenOrder:
    """An order that has not finished.

    :ivar age: seconds since it was written.
    """

    node: str
    endpoint: str
    order_id: str
    kind: str
    item: str
    age: float


@attrs.frozen
class Overview:
    """Status of all instances that responded.

    :ivar missing: nodes of live members that did not respond.
    """

    instances: list[Instance]
    models: list[ModelCopies]
    orders: list[OpenOrder]
    burn: list[Bucket]
    missing: list[str]


class OverviewCollector:
    """Requests the status of all live members, with bounded concurrency.

    :param read_live: returns the live members, this one first.
    :param describe: describes this instance.
    """

    def __init__(
        self,
        pool: PeerPool,
        read_live: Callable[[], list[Member]],
        describe: Callable[[], ttypes.InstanceStatus],
    ) -> None:
        self._pool = pool
        self._read_live = read_live
        self._describe = describe

    def collect(self) -> Overview:
        """Return the status of all instances that respond."""
        members = self._read_live()[1:]
        own = self._describe()
        with ThreadPoolExecutor(MAX_PARALLEL_CALLS, "overview") as executor:
            fetched = list(executor.map(self._fetch_status, members))
        statuses = [own, *(status for status in fetched if status is not None)]
        missing = [m.node for m, status in zip(members, fetched, strict=True) if status is None]
        return Overview(
            instances=[_decode_instance(status) for status in statuses],
            models=[ModelCopies(m.model, m.copies, m.wanted, m.zones) for m in own.models],
            orders=[order for status in statuses for order in _decode_orders(status)],
            burn=[
                bucket
                for status in statuses
                for bucket in controllermessages.decode_burn(status.burn)
            ],
            missing=sorted(missing),
        )

    def _fetch_status(self, member: Member) -> ttypes.InstanceStatus | None:
        status = self._pool.call(member.address, "describe").ok()
        if status is None:
            return None
        try:
            thriftfields.require_fields(status, member.node)
        except StepError:
            return None
        return status


def _decode_instance(status: ttypes.InstanceStatus) -> Instance:
    return Instance(
        member=controllermessages.decode_member(status.member),
        current=status.current,
        endpoints=status.endpoints,
        moves=status.moves,
        gateways=[GatewayStatus(g.gateway, g.in_progress, g.ready) for g in status.gateways],
    )


def _decode_orders(status: ttypes.InstanceStatus) -> list[OpenOrder]:
    node = status.member.node
    return [
        OpenOrder(node, o.endpoint, o.order_id, o.kind, o.item, o.age_ms / thriftfields.MS_PER_S)
        for o in status.orders
    ]
