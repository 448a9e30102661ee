"""Engine records of the lease holder, and the orders that engines execute.

An engine executes one model order at a time and accepts only the order with the next sequence
number (``SequencedOrder.expected``). An order whose reply was lost therefore can't take effect
after a later one, and the memory use computed when the order was planned remains valid.
"""

from collections.abc import Iterable

from catkinhook.control.adapterplacement import ADAPTER_BASE_S, ADAPTER_S_PER_MB
from catkinhook.control.enginerecords import (
    BUSY_REPORT_INTERVAL_S,
    DOWN_AFTER_FAILED_REPORTS,
    DOWN_REPORT_INTERVAL_S,
    REPORT_CALL_EXPIRY_S,
    EngineRecord,
    OpenOrder,
    OutgoingOrder,
    memory_mb_of,
)
from catkinhook.control.enginereports import RecordCorrection, apply_report
from catkinhook.control.sequencedorders import EngineState, OrderReply, SequencedOrder
from catkinhook.requests.routetable import EngineSpec, ModelSpec, RouteTable
from catkinhook.state.views import EndpointView

# Seconds after the expected end of a load at which the item is assumed to be resident.
LOAD_MARGIN_S = 0.05
# Seconds between reports of an idle engine.
IDLE_REPORT_INTERVAL_S = 2.5
# Unload time of a model that no request uses.
UNLOAD_S = 0.1
# Resends of an order whose reply was lost before a report must show the outcome. The engine
# executes at most one of the duplicates because all have the same sequence number.
MAX_RESENDS = 2
# Time after a lost reply from which a report shows the outcome of the order.
RESYNC_DELAY_S = 0.5
# Time after a lost reply for which the order may still be executed. The platform's documentation of
# orders says "seconds later".
LATE_ORDER_S = 15.0


class EngineOrders:
    """Tracks the engines' state and the orders in progress; owned by one actor.

    :param node: name of this host, sent with each order.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._table: RouteTable | None = None
        self._record_by_id: dict[str, EngineRecord] = {}
        self._late_loads_by_id: dict[str, list[tuple[float, SequencedOrder]]] = {}
        self._fence = 0

    def discard_records(self, fence: int) -> None:
        """Discard the known state of all engines, and send orders with a fencing token."""
        self._fence = fence
        self._record_by_id = {
            endpoint: self._make_record(engine.view)
            for endpoint, engine in self._record_by_id.items()
        }

    def set_table(self, table: RouteTable) -> None:
        """Set the routes and engine specifications in force."""
        self._table = table

    def set_paces(self, pace_by_id: dict[str, float]) -> None:
        """Set the duration of work relative to the normal one, by endpoint; absent ones are 1."""
        for endpoint, engine in self._record_by_id.items():
            engine.pace = pace_by_id.get(endpoint, 1.0)

    def set_endpoints(self, views: Iterable[EndpointView], now: float) -> None:
        """Add, update and remove engines according to the endpoints' entries."""
        by_id = {view.endpoint: view for view in views if view.kind == "engine"}
        for endpoint in set(self._record_by_id) - set(by_id):
            del self._record_by_id[endpoint]
        for endpoint, view in by_id.items():
            engine = self._record_by_id.get(endpoint)
            if engine is None or engine.view.boot_id != view.boot_id:
                self._record_by_id[endpoint] = self._make_record(view)
                continue
            previous, engine.view = engine.view, view
            copies = (view.in_memory, view.on_disk)
            # A report may be newer than an entry that has not changed.
            if any(copies) and copies != (previous.in_memory, previous.on_disk):
                engine.in_memory, engine.on_disk = copies

    def _make_record(self, view: EndpointView) -> EngineRecord:
        late_loads = self._late_loads_by_id.setdefault(view.endpoint, [])
        return EngineRecord(
            view, in_memory=view.in_memory, on_disk=view.on_disk, late_loads=late_loads
        )

    def request_reports(self, endpoints: Iterable[str]) -> None:
        """Request a report from engines that a host could not reach."""
        for endpoint in endpoints:
            if endpoint in self._record_by_id:
                self._record_by_id[endpoint].needs_report = True

    def record_leaving(self, boots: Iterable[tuple[str, str]]) -> None:
        """Record that engines said in an answer that they leave.

        :param boots: id and boot id of each engine.
        """
        for endpoint, boot_id in boots:
            engine = self._record_by_id.get(endpoint)
            if engine is not None and engine.view.boot_id == boot_id:
                engine.has_said_leaving = True

    def set_running(self, running_by_use: dict[tuple[str, str], int]) -> None:
        """Replace the numbers of requests in progress over all hosts, by endpoint and model."""
        for engine in self._record_by_id.values():
            engine.running_by_model = {}
        for (endpoint, model), count in running_by_use.items():
            if endpoint in self._record_by_id:
                self._record_by_id[endpoint].running_by_model[model] = count
        for engine in self._record_by_id.values():
            engine.running = sum(engine.running_by_model.values())

    def record_report(
        self, endpoint: str, state: EngineState | None, requested_at: float
    ) -> RecordCorrection | None:
        """Update an engine's record from its report.

        :param state: None when the engine did not answer.
        :param requested_at: time at which the report was requested.
        :returns: what the report changed at an unchanged sequence number, None for nothing.
        """
        engine = self._record_by_id.get(endpoint)
        if engine is None:
            return None
        engine.needs_report = engine.is_report_pending = False
        if state is None:
            engine.failed_reports += 1
            return None
        engine.failed_reports = 0
        if state.boot_id != engine.view.boot_id:
            # The engine has restarted, and its new entry has not arrived yet.
            self._record_by_id[endpoint] = self._make_record(engine.view)
            self._record_by_id[endpoint].report_requested_at = engine.report_requested_at
            return None
        return apply_report(engine, state, requested_at)

    def record_reply(
        self, endpoint: str, order: SequencedOrder, reply: OrderReply | None, now: float
    ) -> bool:
        """Update an engine's record from the reply to an order.

        :param reply: None when the reply was lost.
        :returns: false when the engine has seen a higher fencing token.
        """
        if reply is None and order.is_load:
            self._late_loads_by_id.setdefault(endpoint, []).append((now, order))
        engine = self._record_by_id.get(endpoint)
        if engine is None or engine.in_flight_order is not order:
            return True
        engine.in_flight_order = None
        if reply is None and engine.resend_count < MAX_RESENDS:
            engine.unanswered_order = order
            return True
        engine.resend_count = 0
        if reply is OrderReply.ACCEPTED or (reply is OrderReply.IN_EFFECT and not order.is_load):
            self._record_accepted(engine, order, reply, now)
        elif reply is OrderReply.IN_EFFECT and order.adapter:
            engine.adapters.setdefault(order.model, set()).add(order.adapter)
        else:
            # Only a report shows the engine's sequence number and which orders it has executed. A
            # model that the engine already had is missing from the record.
            engine.resync_at = now + (RESYNC_DELAY_S if reply is None else 0.0)
        return reply is not OrderReply.FENCED

    def _record_accepted(
        self, engine: EngineRecord, order: SequencedOrder, reply: OrderReply, now: float
    ) -> None:
        engine.sequence = order.expected + 1
        engine.unconfirmed_order = None
        model = self._find_model(engine, order.model)
        if order.adapter:
            item = f"{order.model}/{order.adapter}"
            if order.is_load:
                size = model.adapter_mb if model else 0.0
                engine.ready_at_by_adapter[item] = now + ADAPTER_BASE_S + ADAPTER_S_PER_MB * size
                engine.loaded_at[item] = now
            else:
                engine.adapters.get(order.model, set()).discard(order.adapter)
                engine.loaded_at.pop(item, None)
                if reply is OrderReply.ACCEPTED:
                    # The adapter keeps its slot until its requests end, which only a report shows.
                    engine.open_order = OpenOrder(order, now, float("inf"))
        elif order.is_load:
            seconds = engine.load_seconds(model) if model else 0.0
            engine.planned_model = ""
            engine.open_order = OpenOrder(order, now, now + seconds + LOAD_MARGIN_S)
        elif reply is OrderReply.IN_EFFECT:
            engine.adapters.pop(order.model, None)
        else:
            # An unload waits for the model's requests; until then the engine refuses a load.
            is_used = engine.running_by_model.get(order.model, 0) > 0
            done_at = float("inf") if is_used else now + UNLOAD_S
            engine.open_order = OpenOrder(order, now, done_at)

    def _forget_late_loads(self, now: float) -> None:
        """Forget the loads that were sent too long ago to be executed."""
        for endpoint, loads in list(self._late_loads_by_id.items()):
            loads[:] = [(at, order) for at, order in loads if now - at < LATE_ORDER_S]
            if not loads and endpoint not in self._record_by_id:
                del self._late_loads_by_id[endpoint]

    def _resend_unanswered(self) -> list[OutgoingOrder]:
        """Return the orders whose replies were lost and mark them as in flight again."""
        orders = []
        for engine in self._record_by_id.values():
            order, engine.unanswered_order = engine.unanswered_order, None
            if order is not None and order.fence == self._fence:
                engine.in_flight_order, engine.resend_count = order, engine.resend_count + 1
                orders.append(OutgoingOrder(view=engine.view, order=order))
        return orders

    def due_reports(self, now: float) -> list[EndpointView]:
        """Return the engines to request a report from, and mark the calls as pending."""
        due = []
        for engine in self._record_by_id.values():
            age = now - engine.report_requested_at
            if age < self._report_interval(engine, now) or (
                engine.is_report_pending and age < REPORT_CALL_EXPIRY_S
            ):
                continue
            if engine.resync_at is None or now >= engine.resync_at:
                engine.report_requested_at, engine.is_report_pending = now, True
                due.append(engine.view)
        return due

    def known_engines(self) -> list[EngineRecord]:
        """Return the engines whose state is known."""
        return [engine for engine in self._record_by_id.values() if engine.sequence >= 0]

    def _report_interval(self, engine: EngineRecord, now: float) -> float:
        order = engine.open_order
        if engine.failed_reports >= DOWN_AFTER_FAILED_REPORTS:
            return DOWN_REPORT_INTERVAL_S
        if engine.sequence < 0 or engine.resync_at is not None:
            return BUSY_REPORT_INTERVAL_S
        if engine.needs_report or engine.failed_reports:
            return BUSY_REPORT_INTERVAL_S
        if order is not None and (order.done_at == float("inf") or now >= order.done_at):
            return BUSY_REPORT_INTERVAL_S
        return IDLE_REPORT_INTERVAL_S

    def _apply_expected_completions(self, now: float) -> None:
        """Apply the effects of orders and adapter loads whose expected end has passed."""
        for engine in self._record_by_id.values():
            for item in [i for i, at in engine.ready_at_by_adapter.items() if at <= now]:
                del engine.ready_at_by_adapter[item]
                model, _, adapter = item.partition("/")
                if model in engine.adapters:
                    engine.adapters[model].add(adapter)
            order = engine.open_order
            if order is None or order.done_at > now:
                continue
            engine.open_order, engine.unconfirmed_order = None, order
            if order.order.is_load:
                engine.adapters.setdefault(order.order.model, set())
                engine.loaded_at[order.order.model] = now
            else:
                engine.adapters.pop(order.order.model, None)

    def _make_orders(
        self, engine: EngineRecord, is_load: bool, model: str, adapter: str, now: float
    ) -> list[OutgoingOrder]:
        """Return the order and mark it as in flight; empty while the order is not safe."""
        order = SequencedOrder(
            is_load=is_load,
            model=model,
            adapter=adapter,
            expected=engine.sequence,
            holder=self._node,
            fence=self._fence,
        )
        if not self._leaves_room_for_late_loads(engine, order):
            return []
        engine.in_flight_order = order
        counted = tuple(sorted(engine.counted_items()))
        return [OutgoingOrder(view=engine.view, order=order, counted=counted)]

    def _leaves_room_for_late_loads(self, engine: EngineRecord, order: SequencedOrder) -> bool:
        """Whether each load that the engine may execute late, after an order, would fit."""
        late_loads = engine.late_loads_after(order.expected + 1)
        if not late_loads:
            return True
        spec = self._table.service_by_name[engine.view.service].engine
        items = engine.counted_items()
        if order.is_load:
            items.add(order.item)
        else:
            items = {i for i in items if order.item not in (i, i.partition("/")[0])}
        return all(_fits(items | {late.item}, spec) for late in late_loads)

    def _find_model(self, engine: EngineRecord, name: str) -> ModelSpec | None:
        service = self._table.service_by_name.get(engine.view.service) if self._table else None
        return service.engine.model_by_name.get(name) if service and service.engine else None


def _fits(items: set[str], spec: EngineSpec) -> bool:
    """Whether models and adapters fit into an engine."""
    adapters = sum("/" in item for item in items)
    return memory_mb_of(items, spec) <= spec.memory_mb and adapters <= spec.adapter_slots
