"""Index of endpoints by the models and adapters that they can run."""

from collections.abc import Callable

from catkinhook.state.modelnames import split_model
from catkinhook.state.views import EndpointView


class EndpointIndex:
    """Endpoint ids by service, model and adapter, without endpoints that are leaving.

    Load reports arrive twice a second, and a rebuild for thousands of endpoints takes several
    milliseconds, so the index is rebuilt only if endpoints or their items change.
    """

    def __init__(self) -> None:
        self._ids_by_item: dict[tuple[str, str], list[str]] = {}
        self._capabilities_by_id: dict[str, tuple] = {}

    def update(self, endpoint_by_id: dict[str, EndpointView]) -> None:
        """Index the endpoints of a snapshot."""
        capabilities = {
            endpoint: (view.service, view.models, view.adapters)
            for endpoint, view in endpoint_by_id.items()
            if not view.leaving
        }
        if capabilities == self._capabilities_by_id:
            return
        self._capabilities_by_id = capabilities
        self._ids_by_item = {}
        for endpoint, (service, models, adapters) in capabilities.items():
            usable = {adapter for adapter in adapters if split_model(adapter)[0] in models}
            for item in {"", *models, *usable}:
                self._ids_by_item.setdefault((service, item), []).append(endpoint)

    def find(self, service: str, item: str) -> list[str]:
        """Return the endpoints that can run an item.

        :param item: model, ``model/adapter``, or empty for a plain service.
        """
        return self._ids_by_item.get((service, item), [])

    def count_copies(self, is_reachable: Callable[[str], bool]) -> dict[str, int]:
        """Return the number of reachable copies by model.

        :param is_reachable: returns whether the endpoint with an id can be reached.
        """
        return {
            item: sum(map(is_reachable, endpoints))
            for (_, item), endpoints in self._ids_by_item.items()
        }
