"""Inputs of a reconciler cycle: desired orders and the policy derived from the documents."""

from collections.abc import Sequence

import attrs

from catkinhook.control.leases import Identity, Liveness
from catkinhook.control.ledger import OrderKind, Resident
from catkinhook.state.documents import Catalog, WeightStore


@attrs.frozen(kw_only=True)
class DesiredOrder:
    """A desired order for an endpoint.

    :ivar rank: position among all planned moves, most urgent first.
    :ivar urgent: true when no copy of the item is reachable.
    """

    kind: OrderKind
    item: str
    memory: int = 0
    version: str = ""
    rank: int = 0
    urgent: bool = False


@attrs.frozen(kw_only=True)
class ServicePolicy:
    """Policy for the endpoints of a service, derived from the documents.

    :ivar max_delay: seconds after which an order that was sent can no longer arrive.
    :ivar required_by_model: copies that must remain reachable.
    :ivar size_by_item: memory and version of the models and adapters.
    :ivar adapter_share: maximum adapter loads in flight on one endpoint.
    """

    max_delay: float
    checks_fencing: bool = False
    adapter_share: int = 1
    store: WeightStore = attrs.Factory(WeightStore)
    required_by_model: dict[str, int] = attrs.Factory(dict)
    size_by_item: dict[str, Resident] = attrs.Factory(dict)


def make_policy(catalog: Catalog, service: str, endpoints: int) -> ServicePolicy | None:
    """Return the policy of a service, or None when no document declares the service.

    :param endpoints: number of endpoints that share the limit of adapter loads in flight.
    """
    document = catalog.document_by_service.get(service)
    if document is None:
        return None
    sizes: dict[str, Resident] = {}
    for model in document.models:
        sizes[model.name] = Resident(int(model.memory), model.version)
        for adapter in model.adapters:
            item = f"{model.name}/{adapter.name}"
            sizes[item] = Resident(int(adapter.memory), adapter.version)
    return ServicePolicy(
        max_delay=document.endpoints.max_message_delay,
        checks_fencing=document.endpoints.checks_fencing,
        adapter_share=max(1, document.endpoints.adapters_in_flight // max(1, endpoints)),
        store=document.endpoints.weight_store,
        required_by_model={model.name: max(1, model.copies) for model in document.models},
        size_by_item=sizes,
    )


@attrs.frozen(kw_only=True)
class ReconcileTask:
    """Inputs of one reconciler cycle.

    :ivar owned: true when this node should hold the endpoint.
    :ivar leaving: true when the host list marks the endpoint as leaving.
    :ivar leaving_by_endpoint: leaving flags of all endpoints in the host list.
    :ivar eject: true when the endpoint should be ejected from routing.
    """

    address: str
    identity: Identity
    liveness: Liveness
    policy: ServicePolicy
    owned: bool = True
    leaving: bool = False
    eject: bool = False
    leaving_by_endpoint: dict[str, bool] = attrs.Factory(dict)
    desired: Sequence[DesiredOrder] = ()
