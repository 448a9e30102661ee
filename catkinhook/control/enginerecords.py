"""Engine records of the lease holder, and the demand aggregated over all hosts."""

from collections.abc import Collection

import attrs

from catkinhook.control.sequencedorders import EngineState, SequencedOrder
from catkinhook.requests.routetable import EngineSpec, ModelSpec
from catkinhook.state.views import EndpointView

# Consecutive failed report calls after which an engine counts as down.
DOWN_AFTER_FAILED_REPORTS = 2
# Seconds between reports of an engine that is executing an order.
BUSY_REPORT_INTERVAL_S = 0.2
# Seconds between reports of an engine that is down. A call to an unresponsive engine blocks a
# thread for 0.6 s.
DOWN_REPORT_INTERVAL_S = 1.0
# Seconds after which a report call that has not returned no longer blocks the next one.
REPORT_CALL_EXPIRY_S = 3.0


@attrs.frozen(kw_only=True)
class Demand:
    """Demand for one item over all hosts.

    :ivar rate: requests per second.
    :ivar unmet: requests per second that were refused because the item was unavailable.
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
    """An order that an engine is executing.

    :ivar done_at: expected completion time, infinite when only a report can show completion.
    """

    order: SequencedOrder
    sent_at: float
    done_at: float


@attrs.define
class EngineRecord:
    """Known state of one engine.

    :ivar sequence: number of orders that it has accepted, -1 when unknown.
    :ivar adapters: adapters by model; a model without an entry is not resident.
    :ivar ready_at_by_adapter: expected end of each adapter load, by ``model/adapter``.
    :ivar in_memory: models whose weights are cached in the engine's host memory.
    :ivar on_disk: models whose weights are cached on the engine's disk.
    :ivar open_order: order that the engine is executing: for a model, or an unload of an adapter in
        use.
    :ivar unconfirmed_order: order for a model whose expected end has passed, until a report shows
        that the engine is not busy.
    :ivar in_flight_order: order whose reply has not arrived.
    :ivar unanswered_order: order to resend because its reply was lost.
    :ivar resend_count: number of resends of the last order.
    :ivar resync_at: time from which a report shows the outcome of an order whose reply was lost,
        None when no outcome is unknown.
    :ivar reported_at: time at which the last report of the current boot was requested.
    :ivar report_requested_at: time of the last report call.
    :ivar loaded_at: end of the load of a model, and start of the load of a ``model/adapter``.
    :ivar running_by_model: requests in progress from all hosts; ``running`` is their sum.
    :ivar planned_model: model to load as soon as memory for it is free.
    :ivar draining_model: model that gets no new requests and is unloaded for the planned one.
    :ivar drain_started_at: time at which the drain began.
    :ivar late_loads: loads whose replies were lost, with the times of the losses, also of earlier
        boots. An engine that restarts under its id counts orders anew, so it may execute a load
        that was sent before as soon as it has accepted as many orders as that load expects.
    :ivar failed_reports: consecutive failed report calls.
    :ivar needs_report: a host could not reach the engine, so a report is requested now.
    :ivar is_report_pending: a report call is in progress.
    :ivar pace: duration of its work relative to the normal one.
    :ivar has_said_leaving: an answer of its present boot said that it leaves.
    """

    view: EndpointView
    sequence: int = -1
    adapters: dict[str, set[str]] = attrs.Factory(dict)
    ready_at_by_adapter: dict[str, float] = attrs.Factory(dict)
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    open_order: OpenOrder | None = None
    unconfirmed_order: OpenOrder | None = None
    in_flight_order: SequencedOrder | None = None
    unanswered_order: SequencedOrder | None = None
    resend_count: int = 0
    resync_at: float | None = None
    reported_at: float = float("-inf")
    report_requested_at: float = float("-inf")
    loaded_at: dict[str, float] = attrs.Factory(dict)
    running: int = 0
    running_by_model: dict[str, int] = attrs.Factory(dict)
    planned_model: str = ""
    draining_model: str = ""
    drain_started_at: float = 0.0
    late_loads: list[tuple[float, SequencedOrder]] = attrs.Factory(list)
    failed_reports: int = 0
    needs_report: bool = False
    is_report_pending: bool = False
    has_said_leaving: bool = False
    pace: float = 1.0

    @property
    def is_usable(self) -> bool:
        """Whether models may be placed on the engine."""
        is_leaving = self.view.leaving or self.has_said_leaving
        return not is_leaving and self.failed_reports < DOWN_AFTER_FAILED_REPORTS

    @property
    def is_free(self) -> bool:
        """Whether another order may be sent."""
        return (
            self.sequence >= 0
            and self.in_flight_order is None
            and self.unanswered_order is None
            and self.open_order is None
            and self.resync_at is None
            and self.is_usable
        )

    @property
    def is_unloading_adapter(self) -> bool:
        """Whether an unload waits for an adapter's requests, which may take several seconds."""
        return self.open_order is not None and bool(self.open_order.order.adapter)

    def resident_adapters(self) -> set[str]:
        """Return the resident adapters as ``model/adapter``."""
        return {f"{model}/{name}" for model, names in self.adapters.items() for name in names}

    def counted_items(self) -> set[str]:
        """Return the models and adapters that are resident or being loaded."""
        items = set(self.adapters) | self.resident_adapters() | set(self.ready_at_by_adapter)
        if self.open_order is not None and self.open_order.order.is_load:
            items.add(self.open_order.order.model)
        return items

    def usable_models(self) -> frozenset[str]:
        """Return the resident models that may receive requests, without those being unloaded."""
        unloading = {
            order.model
            for order in (self.in_flight_order, self.open_order.order if self.open_order else None)
            if order is not None and not order.is_load and not order.adapter
        }
        return frozenset(self.adapters) - unloading - {self.draining_model}

    def memory_mb(self, spec: EngineSpec) -> float:
        """Return the memory use after all loads in progress, in MB.

        It includes the largest load that the engine may execute late, after its next order.
        """
        items = self.counted_items()
        late_loads = self.late_loads_after(self.sequence + 1)
        return max(
            [memory_mb_of(items, spec)]
            + [memory_mb_of(items | {order.item}, spec) for order in late_loads]
        )

    def late_loads_after(self, sequence: int) -> list[SequencedOrder]:
        """Return the loads that the engine may execute late with a sequence number."""
        return [order for _, order in self.late_loads if order.expected == sequence]

    def has_local_weights(self, model: str) -> bool:
        """Whether the engine has a model's weights in its memory or on its disk."""
        return model in self.in_memory or model in self.on_disk

    def load_seconds(self, model: ModelSpec) -> float:
        """Return the load time of a model on this engine."""
        if model.name in self.in_memory:
            return model.memory_load_s
        return model.disk_load_s if model.name in self.on_disk else model.load_s


@attrs.frozen(kw_only=True)
class OutgoingOrder:
    """An order that is ready to send, with its endpoint.

    :ivar counted: models and adapters that the engine's record counts, without the order.
    """

    view: EndpointView
    order: SequencedOrder
    counted: tuple[str, ...] = ()


def memory_mb_of(items: Collection[str], spec: EngineSpec) -> float:
    """Return the memory use of models and adapters, with the models of the adapters, in MB."""
    total = 0.0
    for name in {item.partition("/")[0] for item in items}:
        model = spec.model_by_name.get(name)
        # The size of a model that was removed from the configuration is unknown, so it counts as
        # the engine's whole memory.
        total += model.memory_mb if model else spec.memory_mb
    for item in items:
        name, _, adapter = item.partition("/")
        model = spec.model_by_name.get(name)
        total += model.adapter_mb if model and adapter else 0.0
    return total


def estimate_free_at(engine: EngineRecord, now: float) -> float:
    """Return the estimated time from which an engine accepts its next order."""
    order = engine.open_order
    if order is None:
        return now
    return order.done_at if order.done_at != float("inf") else now + BUSY_REPORT_INTERVAL_S


def is_loading(engine: EngineRecord, name: str) -> bool:
    """Whether an engine is loading a model or is planned to load it."""
    if engine.planned_model == name:
        return True
    orders = (engine.in_flight_order, engine.open_order.order if engine.open_order else None)
    return any(o is not None and o.is_load and o.model == name and not o.adapter for o in orders)


def group_adapters(state: EngineState) -> dict[str, set[str]]:
    """Return the adapters in a report, grouped by model."""
    adapters: dict[str, set[str]] = {model: set() for model in state.models}
    for item in state.adapters:
        model, _, adapter = item.partition("/")
        if model in adapters:
            adapters[model].add(adapter)
    return adapters
