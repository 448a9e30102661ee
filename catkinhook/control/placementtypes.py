"""Types of placement's inputs and outputs: replicas, demand and moves."""

import enum

import attrs


class MoveKind(enum.StrEnum):
    """Kind of a move; the values equal those of the orders that execute it."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"


@attrs.frozen(kw_only=True)
class Replica:
    """An engine endpoint as input of placement.

    :ivar memory: accelerator memory in bytes.
    :ivar reserved: the ledger's upper bound of memory use in bytes, including open orders.
    :ivar models: resident models without an open unload.
    :ivar loading: models with an open load.
    :ivar adapters: resident or loading adapters as ``model/adapter``.
    :ivar tokens_per_second: speed of one request, or speed relative to other endpoints; 0 when
        unknown.
    :ivar running: requests in the batch when the speed was measured.
    """

    endpoint: str
    service: str
    zone: str
    memory: int
    reserved: int
    models: frozenset[str] = frozenset()
    loading: frozenset[str] = frozenset()
    adapters: frozenset[str] = frozenset()
    tokens_per_second: float = 0.0
    leaving: bool = False
    running: int = 0


@attrs.frozen(kw_only=True)
class ModelDemand:
    """Demand for one model, or for ``model/adapter``.

    :ivar requests_per_second: smoothed request rate over all gateways.
    :ivar in_progress: requests in progress.
    :ivar unmet: requests per second that were refused for lack of capacity.
    """

    requests_per_second: float = 0.0
    in_progress: int = 0
    unmet: float = 0.0


@attrs.frozen(kw_only=True)
class Move:
    """One change of the placement, executed by an order.

    :ivar item: model, ``model/adapter`` or role.
    :ivar memory: bytes that a load needs, otherwise 0.
    :ivar urgent: true when the item has no reachable copy.
    """

    kind: MoveKind
    endpoint: str
    item: str
    memory: int = 0
    urgent: bool = False
