"""Read access to the fleet for peers, gateways and operators."""

from catkinhook.clocks import Clock
from catkinhook.control.ledger import EndpointRow
from catkinhook.control.workers import ControlLoop
from catkinhook.peering.controllerhandler import ModelStatus, OrderStatus
from catkinhook.state.documents import Catalog


class FleetView:
    """Describes models, open orders and accelerators of the controller's endpoints."""

    def __init__(self, control_loop: ControlLoop, clock: Clock) -> None:
        self._control_loop = control_loop
        self._clock = clock
        self._catalog = Catalog()
        self._first_seen: dict[str, float] = {}

    def set_catalog(self, catalog: Catalog) -> None:
        """Set the documents in force."""
        self._catalog = catalog
        self._control_loop.set_catalog(catalog)

    def request_adapter(self, model: str, adapter: str) -> bool:
        """Load an adapter on demand; return whether it is routable or has an open load order."""
        return self._control_loop.request_adapter(model, adapter)

    def describe_models(self) -> list[ModelStatus]:
        """Return the number of routable copies of each model in the documents."""
        views = [view for view in self._control_loop.views.values() if not view.leaving]
        statuses = []
        for name, entry in sorted(self._catalog.entry_by_model.items()):
            zones = [view.zone for view in views if name in view.models]
            distinct_zones = tuple(sorted(set(zones)))
            statuses.append(ModelStatus(name, len(zones), distinct_zones, entry.model.copies))
        return statuses

    def describe_orders(self) -> list[OrderStatus]:
        """Return the open orders of endpoints that this controller holds, with their ages."""
        now = self._clock()
        held_rows = [row for row in self._rows() if row.holder == self._control_loop.node]
        orders = [(row.endpoint, order) for row in held_rows for order in row.open_orders]
        open_order_ids = {order.order_id for _, order in orders}
        self._first_seen = {
            key: at for key, at in self._first_seen.items() if key in open_order_ids
        }
        return [
            OrderStatus(
                endpoint=endpoint,
                order_id=order.order_id,
                kind=order.kind.value,
                item=order.item,
                age=now - self._first_seen.setdefault(order.order_id, now),
            )
            for endpoint, order in orders
        ]

    def capacities(self, service: str) -> list[int]:
        """Return the accelerator memory of each known endpoint of a service, in bytes."""
        prefix = service + "/"
        return [row.memory for row in self._rows() if row.endpoint.startswith(prefix)]

    def _rows(self) -> list[EndpointRow]:
        return self._control_loop.ask(lambda fleet: fleet.rows())
