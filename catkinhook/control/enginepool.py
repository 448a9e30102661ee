"""Engines of one service as one plan sees them, with what the plan derives from them."""

from collections.abc import Iterable

from catkinhook.control.enginerecords import (
    NO_DEMAND,
    Demand,
    EngineRecord,
    is_loading,
)
from catkinhook.requests.routes import EngineSpec, ModelSpec

# A load with more than this left counts as one that keeps its engine for long.
LONG_LOAD_S = 2.0
# Seconds until an order ends whose end only a report can tell.
UNKNOWN_LEFT_S = 0.5


class EnginePool:
    """Copies of models by name, and the demand that they answer.

    A plan asks the same questions for each model and engine. With 45 engines and 196 models a plan
    that worked them out each time took seconds, so the answers are kept until ``note_order``.

    :param demand: demand by model, adapters included.
    :param adapter_rates: requests a second for the adapters of a model, by model.
    :ivar victim_by_id: model that an engine would drop first, and what its loss costs.
    """

    def __init__(
        self,
        spec: EngineSpec,
        books: Iterable[EngineRecord],
        demand: dict[str, Demand],
        adapter_rates: dict[str, float],
        now: float,
    ) -> None:
        self.spec = spec
        self.books = list(books)
        self.demand = demand
        self.now = now
        self.victim_by_id: dict[str, tuple[str, float] | None] = {}
        self._adapter_rates = adapter_rates
        self._copies_by_model: dict[str, list[EngineRecord]] = {}
        self._loading_by_model: dict[str, list[EngineRecord]] = {}
        self._models_by_id: dict[str, tuple[frozenset[str], frozenset[str]]] = {}
        self._places: list[EngineRecord] | None = None
        self._queued = 0
        self._long_load_ends: list[float] | None = None
        self._memory_by_id: dict[str, float] = {}
        self._rate_by_id: dict[str, float] = {}
        for book in self.books:
            self._enter(book)

    def copies(self, name: str) -> list[EngineRecord]:
        """Return the usable engines that requests for a model may be sent to."""
        return self._copies_by_model.get(name, [])

    def loading(self, name: str) -> list[EngineRecord]:
        """Return the usable engines that load a model, or are about to."""
        return self._loading_by_model.get(name, [])

    def usable_models(self, book: EngineRecord) -> frozenset[str]:
        """Return the models of an engine that requests may be sent to."""
        return self._models_by_id[book.view.endpoint][0]

    def memory_mb(self, book: EngineRecord) -> float:
        """Return the memory in use on an engine when all that is on its way has arrived."""
        endpoint = book.view.endpoint
        if endpoint not in self._memory_by_id:
            self._memory_by_id[endpoint] = book.memory_mb(self.spec)
        return self._memory_by_id[endpoint]

    def adapter_rate(self, book: EngineRecord) -> float:
        """Return the requests a second for adapters that an engine would have to bring."""
        endpoint = book.view.endpoint
        if endpoint not in self._rate_by_id:
            self._rate_by_id[endpoint] = sum(
                self._adapter_rates.get(name, 0.0) / max(1, len(self.copies(name)))
                for name in book.adapters
            )
        return self._rate_by_id[endpoint]

    def places(self) -> list[EngineRecord]:
        """Return the engines that could be the next to load a model."""
        if self._places is None:
            self._places = [
                book
                for book in self.books
                if book.is_usable
                and book.sequence >= 0
                and book.settle_at is None
                and not book.planned
            ]
        return self._places

    def busy_seconds(self, book: EngineRecord, longest_s: float) -> float:
        """Return the seconds until an engine has carried out its order, up to a longest time."""
        if book.open_order is None:
            return 0.0
        left = book.open_order.done_at - self.now
        return min(left, longest_s) if left != float("inf") else UNKNOWN_LEFT_S

    def long_load_ends(self) -> list[float]:
        """Return the seconds until each long load ends, infinite for one that has yet to begin."""
        if self._long_load_ends is None:
            usable = (book for book in self.books if book.is_usable)
            ends = (self._long_load_end(book) for book in usable)
            self._long_load_ends = sorted(end for end in ends if end is not None)
        return self._long_load_ends

    def queue_load(self, model: ModelSpec) -> float:
        """Return the seconds until a long load may begin, after those queued before it."""
        ends = self.long_load_ends()
        rounds, place = divmod(self._queued, len(ends))
        self._queued += 1
        return min(ends[place], model.load_s) + rounds * model.load_s

    def _long_load_end(self, book: EngineRecord) -> float | None:
        if book.open_order is not None and book.open_order.order.is_load:
            left = book.open_order.done_at - self.now
            return left if left > LONG_LOAD_S else None
        is_load = book.sending is not None and book.sending.is_load and not book.sending.adapter
        model = self.spec.model_by_name.get(book.sending.model if is_load else book.planned)
        is_long = model is not None and book.load_seconds(model) > LONG_LOAD_S
        return float("inf") if is_long else None

    def wanted(self, name: str) -> Demand:
        """Return the demand for a model."""
        return self.demand.get(name, NO_DEMAND)

    def note_order(self, book: EngineRecord) -> None:
        """Take over that the plan has changed an engine."""
        self._leave(book)
        self._enter(book)
        self._memory_by_id.pop(book.view.endpoint, None)
        self._rate_by_id.clear()
        self.victim_by_id.clear()
        self._places = self._long_load_ends = None

    def _enter(self, book: EngineRecord) -> None:
        usable = book.usable_models()
        loading = frozenset(name for name in _find_coming(book) if is_loading(book, name))
        self._models_by_id[book.view.endpoint] = (usable, loading)
        if not book.is_usable:
            return
        for name in usable:
            self._copies_by_model.setdefault(name, []).append(book)
        for name in loading:
            self._loading_by_model.setdefault(name, []).append(book)

    def _leave(self, book: EngineRecord) -> None:
        usable, loading = self._models_by_id.pop(book.view.endpoint)
        for names, by_model in (
            (usable, self._copies_by_model),
            (loading, self._loading_by_model),
        ):
            for name in names:
                if name in by_model:
                    by_model[name] = [other for other in by_model[name] if other is not book]


def _find_coming(book: EngineRecord) -> set[str]:
    orders = (book.sending, book.open_order.order if book.open_order else None)
    names = {book.planned} | {order.model for order in orders if order is not None}
    return names - {""}
