"""What the holder of the order lease knows of each engine, and the demand of all hosts."""

import attrs

from catkinhook.control.enginestates import EngineState, SequencedOrder
from catkinhook.requests.routes import EngineSpec, ModelSpec
from catkinhook.state.views import EndpointView

# An engine that gave no report this often in a row counts as down.
FAILURES_TO_DOWN = 2
# Seconds between reports of an engine that carries out an order.
BUSY_REPORT_S = 0.2
# Seconds between reports of an engine that is down. A call to a silent one holds a thread for
# 0.6 s.
DOWN_REPORT_S = 1.0
# A call for a report that has not ended after this time is counted as lost.
ASKED_LIFE_S = 3.0


@attrs.frozen(kw_only=True)
class Demand:
    """Demand for one item over all hosts.

    :ivar rate: requests a second.
    :ivar unmet: requests a second that were refused for want of it.
    """

    rate: float = 0.0
    unmet: float = 0.0
    waiting: int = 0
    running: int = 0

    def plus(self, other: "Demand") -> "Demand":
        """Return the sum."""
        return Demand(
            rate=self.rate + other.rate,
            unmet=self.unmet + other.unmet,
            waiting=self.waiting + other.waiting,
            running=self.running + other.running,
        )


NO_DEMAND = Demand()


@attrs.define
class OpenOrder:
    """An order that an engine carries out.

    :ivar done_at: time at which it should be done, infinite when only a report can tell.
    """

    order: SequencedOrder
    sent_at: float
    done_at: float


@attrs.define
class EngineRecord:
    """What is known of one engine.

    :ivar adapters: adapters by model; a model without an entry is not resident.
    :ivar incoming: time at which an adapter is expected, as ``model/adapter``.
    :ivar open_order: order for a model that is carried out.
    :ivar sending: order whose answer has not arrived.
    :ivar unanswered: order to send again, because its answer was lost.
    :ivar resends: how often the last order was sent again.
    :ivar settle_at: a report from after this time tells what became of a lost answer.
    :ivar running_by_model: requests of all hosts in progress there, ``running`` their sum.
    :ivar planned: model to load as soon as its place is free.
    :ivar retiring: model that gets no new requests, to be dropped for the planned one.
    :ivar failures: reports in a row that it did not give.
    :ivar is_doubted: a host could not reach it, so that it is asked for a report now.
    :ivar is_asked: a call for a report is in progress.
    """

    view: EndpointView
    sequence: int = -1
    adapters: dict[str, set[str]] = attrs.Factory(dict)
    incoming: dict[str, float] = attrs.Factory(dict)
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    open_order: OpenOrder | None = None
    sending: SequencedOrder | None = None
    unanswered: SequencedOrder | None = None
    resends: int = 0
    settle_at: float | None = None
    reported_at: float = float("-inf")
    asked_at: float = float("-inf")
    loaded_at: dict[str, float] = attrs.Factory(dict)
    running: int = 0
    running_by_model: dict[str, int] = attrs.Factory(dict)
    planned: str = ""
    retiring: str = ""
    retiring_since: float = 0.0
    failures: int = 0
    is_doubted: bool = False
    is_asked: bool = False

    @property
    def is_usable(self) -> bool:
        """Whether it counts as a place for models."""
        return not self.view.leaving and self.failures < FAILURES_TO_DOWN

    @property
    def is_free(self) -> bool:
        """Whether another order may be sent."""
        return (
            self.sequence >= 0
            and self.sending is None
            and self.unanswered is None
            and self.open_order is None
            and self.settle_at is None
            and self.is_usable
        )

    def held_adapters(self) -> set[str]:
        """Return the adapters that are there, as ``model/adapter``."""
        return {f"{model}/{name}" for model, names in self.adapters.items() for name in names}

    def usable_models(self) -> frozenset[str]:
        """Return the models that requests may be sent to."""
        dropped = {
            order.model
            for order in (self.sending, self.open_order.order if self.open_order else None)
            if order is not None and not order.is_load and not order.adapter
        }
        return frozenset(self.adapters) - dropped - {self.retiring}

    def memory_mb(self, spec: EngineSpec) -> float:
        """Return the memory in use when all that is on its way has arrived."""
        models = set(self.adapters) | {item.partition("/")[0] for item in self.incoming}
        if self.open_order is not None and self.open_order.order.is_load:
            models.add(self.open_order.order.model)
        total = 0.0
        for name in models:
            model = spec.model_by_name.get(name)
            # The size of a model that the configuration doesn't name any more isn't known.
            total += model.memory_mb if model else spec.memory_mb
        for item in self.held_adapters() | set(self.incoming):
            model = spec.model_by_name.get(item.partition("/")[0])
            total += model.adapter_mb if model else 0.0
        return total

    def has_copy(self, model: str) -> bool:
        """Whether the engine has a model's weights in its memory or on its disk."""
        return model in self.in_memory or model in self.on_disk

    def load_seconds(self, model: ModelSpec) -> float:
        """Return the seconds that a load of a model takes here."""
        if model.name in self.in_memory:
            return model.memory_load_s
        return model.disk_load_s if model.name in self.on_disk else model.load_s


def find_free_time(book: EngineRecord, now: float) -> float:
    """Return when an engine takes its next order."""
    order = book.open_order
    if order is None:
        return now
    return order.done_at if order.done_at != float("inf") else now + BUSY_REPORT_S


def is_loading(book: EngineRecord, name: str) -> bool:
    """Whether an engine loads a model, or is about to."""
    if book.planned == name:
        return True
    orders = (book.sending, book.open_order.order if book.open_order else None)
    return any(o is not None and o.is_load and o.model == name and not o.adapter for o in orders)


def group_adapters(state: EngineState) -> dict[str, set[str]]:
    """Return the adapters of a report by model."""
    adapters: dict[str, set[str]] = {model: set() for model in state.models}
    for item in state.adapters:
        model, _, adapter = item.partition("/")
        if model in adapters:
            adapters[model].add(adapter)
    return adapters
