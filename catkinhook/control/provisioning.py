"""Decisions of the host that holds the lease for orders: which engine loads or drops what.

An engine carries out one order for a model at a time, and takes an order only as its next one
(``SequencedOrder.expected``). An order whose answer was lost therefore can't be carried out after a
later one, and the memory that was counted for an order is the memory at which it is carried out.
"""

from collections import deque
from collections.abc import Iterable

import attrs

from catkinhook.control.enginepool import EnginePool
from catkinhook.control.enginerecords import (
    ASKED_LIFE_S,
    BUSY_REPORT_S,
    DOWN_REPORT_S,
    FAILURES_TO_DOWN,
    NO_DEMAND,
    Demand,
    EngineRecord,
    OpenOrder,
    find_free_time,
    group_adapters,
    is_loading,
)
from catkinhook.control.enginestates import EngineState, OrderReply, SequencedOrder
from catkinhook.control.modelplans import (
    RETIRE_S,
    choose_engine,
    choose_spare,
    find_needs,
    is_hot,
    max_rare_loads,
)
from catkinhook.hostsettings import Bounds
from catkinhook.requests.routes import EngineSpec, ModelSpec, RouteTable
from catkinhook.state.views import EndpointView

# Seconds after the expected end of a load at which the item is taken to be there.
LOAD_MARGIN_S = 0.05
# Time for an adapter to arrive: a base and a part for each MB. Source: the platform's sheets give
# 6.3 ms for 12 MB and 19 ms for 66 MB.
ADAPTER_BASE_S = 0.008
ADAPTER_S_PER_MB = 0.0003
# Adapters that one engine may be loading at once, as the platform's page on engines says.
MAX_INCOMING = 4
# An adapter that was used this recently is not dropped for another one.
ADAPTER_MIN_IDLE_S = 0.3
# An adapter that nobody waits for displaces only what has rested this long: callers that were
# refused come back within a few seconds, and two such adapters must not displace each other.
UNAWAITED_MIN_IDLE_S = 2.0
# Refused requests a second for an item from which on it counts as asked for.
MIN_UNMET_RATE = 0.05
# Requests of one adapter in progress on one engine at which another engine should have it too.
ADAPTER_CROWD = 12
# Seconds until an engine has a place, when none has one now.
NEXT_PLACE_S = 1.0
# Reports are as of up to this many seconds before they are read.
REPORT_LAG_S = 0.35
# Seconds between reports of an engine that has nothing to do.
IDLE_REPORT_S = 2.5
# A new holder moves no model until all hosts have told it their demand.
GATHER_S = 0.6
# What the holder before knew of demand counts half after this long.
KNOWN_RATES_HALF_LIFE_S = 4.0
MIN_KNOWN_RATE = 0.05
MAX_KNOWN_RATES = 64
# Requests for which a second without a copy counts in the order of needs, so that a model with few
# callers gets its turn.
AGE_GAIN_PER_S = 1.0
# Time that an engine takes to drop a model that no request uses.
UNLOAD_S = 0.1
# Longest time for which a model is retired before its unload, which waits for the model's requests
# and keeps the engine from bringing adapters. Source: a stream takes up to 5 s on these sheets.
RETIRE_MAX_S = 6.0
# An order whose answer was lost is sent again this often before a report has to settle it. An
# engine carries out at most one of the copies, because each names the same number of orders
# before it.
MAX_RESENDS = 2
# Orders with a lost answer are settled by a report that is this much younger.
LOST_SETTLE_S = 0.5


@attrs.frozen(kw_only=True)
class OutgoingOrder:
    """An order to send to an endpoint now."""

    view: EndpointView
    order: SequencedOrder


@attrs.frozen(kw_only=True)
class ProvisioningStatus:
    """Numbers that tell whether engines or plans are short.

    :ivar missing: models and adapters that requests ask for and no usable engine holds.
    :ivar models_without_copy: models among them.
    :ivar engines: engines whose state is known and which count as places.
    :ivar free: engines that would take an order now.
    :ivar loading: engines that load a model.
    """

    missing: int
    models_without_copy: int
    engines: int
    free: int
    loading: int


class Provisioner:
    """State of all engines and the orders to them; one actor calls it.

    :param node: name of this host, sent with each order.
    """

    def __init__(self, node: str, bounds: Bounds) -> None:
        self._node = node
        self._bounds = bounds
        self._table: RouteTable | None = None
        self._books: dict[str, EngineRecord] = {}
        self._demand: dict[tuple[str, str], Demand] = {}
        self._items_by_model: dict[tuple[str, str], list[str]] = {}
        self._used_at: dict[str, float] = {}
        self._missing_since: dict[str, dict[str, float]] = {}
        self._store_loads: deque[float] = deque()
        self._expected: dict[tuple[str, str], float] = {}
        self._fence = 0
        self._begun_at = 0.0
        self._known_rates: dict[str, float] = {}
        self._now = 0.0

    # What is known.

    def begin_term(self, fence: int, rates: dict[str, float], now: float) -> None:
        """Begin to give orders under a fencing token; every engine is asked for its state.

        :param rates: requests a second by model, as the holder before knew them.
        """
        self._fence = fence
        self._begun_at = now
        self._known_rates = rates
        self._missing_since = {}
        # The holder before may have used up the weight store's rate.
        window = self._bounds.load_window_s
        self._store_loads = deque([now] * int(window / 2))
        self._books = {endpoint: EngineRecord(book.view) for endpoint, book in self._books.items()}

    def set_table(self, table: RouteTable) -> None:
        """Take over a newer configuration."""
        self._table = table

    def set_endpoints(self, views: Iterable[EndpointView], now: float) -> None:
        """Take over the engines and what their entries say."""
        by_id = {view.endpoint: view for view in views if view.kind == "engine"}
        for endpoint in set(self._books) - set(by_id):
            del self._books[endpoint]
        for endpoint, view in by_id.items():
            book = self._books.get(endpoint)
            if book is None or book.view.boot_id != view.boot_id:
                self._books[endpoint] = EngineRecord(view)
                continue
            book.view = view
            if view.in_memory or view.on_disk:
                book.in_memory, book.on_disk = view.in_memory, view.on_disk

    def set_demand(self, demand: dict[tuple[str, str], Demand], now: float) -> None:
        """Take over the demand of all hosts."""
        self._demand = demand
        self._items_by_model = {}
        for (service, item), wanted in demand.items():
            key = (service, item.partition("/")[0])
            self._items_by_model.setdefault(key, []).append(item)
            if wanted.running or wanted.waiting:
                self._used_at[item] = now

    def request_reports(self, endpoints: Iterable[str]) -> None:
        """Ask engines that some host could not reach for a report."""
        for endpoint in endpoints:
            if endpoint in self._books:
                self._books[endpoint].is_doubted = True

    def set_running(self, running_by_use: dict[tuple[str, str], int]) -> None:
        """Take over the requests of all hosts in progress by endpoint and model."""
        for book in self._books.values():
            book.running_by_model = {}
        for (endpoint, model), count in running_by_use.items():
            if endpoint in self._books:
                self._books[endpoint].running_by_model[model] = count
        for book in self._books.values():
            book.running = sum(book.running_by_model.values())

    def record_report(self, endpoint: str, state: EngineState | None, asked_at: float) -> None:
        """Take over an engine's report.

        :param state: None when it did not answer.
        :param asked_at: time at which it was asked.
        """
        book = self._books.get(endpoint)
        if book is None:
            return
        book.is_doubted = book.is_asked = False
        if state is None:
            book.failures += 1
            return
        book.failures = 0
        if state.boot_id != book.view.boot_id:
            # The entry of the restarted engine has not arrived yet.
            book.sequence = -1
            return
        book.reported_at = asked_at
        if state.sequence < book.sequence:
            return
        if state.in_memory or state.on_disk:
            book.in_memory, book.on_disk = state.in_memory, state.on_disk
        is_settled = book.settle_at is not None and asked_at >= book.settle_at
        if state.sequence > book.sequence or is_settled:
            self._adopt(book, state, asked_at)
        elif book.settle_at is None and book.sending is None:
            self._confirm(book, state, asked_at)

    def _adopt(self, book: EngineRecord, state: EngineState, now: float) -> None:
        """Take over all that a report says, for want of knowledge of the orders behind it."""
        book.sequence = state.sequence
        book.settle_at = None
        book.unanswered = None
        book.adapters = group_adapters(state)
        book.incoming = dict.fromkeys(state.incoming, now + REPORT_LAG_S)
        book.open_order = None
        if state.busy:
            # Whatever it does is over when a report says so.
            nothing = SequencedOrder(is_load=False, model="", expected=0, holder="", fence=0)
            book.open_order = OpenOrder(nothing, now, float("inf"))

    def _confirm(self, book: EngineRecord, state: EngineState, asked_at: float) -> None:
        """Compare a report of the same number of orders with what is expected."""
        order = book.open_order
        if order is None:
            if asked_at >= max(book.loaded_at.values(), default=0.0) + REPORT_LAG_S:
                current = {i: at for i, at in book.incoming.items() if at > asked_at}
                book.incoming = current
                book.adapters = group_adapters(state)
            return
        if state.busy or asked_at < order.sent_at + REPORT_LAG_S:
            return
        book.open_order = None
        book.adapters = group_adapters(state)
        book.incoming = dict.fromkeys(state.incoming, asked_at)
        book.loaded_at[order.order.model] = asked_at

    def record_reply(
        self, endpoint: str, order: SequencedOrder, reply: OrderReply | None, now: float
    ) -> bool:
        """Take over the answer to an order.

        :param reply: None when the answer was lost.
        :returns: false when another holder was seen.
        """
        book = self._books.get(endpoint)
        if book is None or book.sending is not order:
            return True
        book.sending = None
        if reply is None and book.resends < MAX_RESENDS:
            book.unanswered = order
            return True
        book.resends = 0
        if reply is OrderReply.ACCEPTED or (reply is OrderReply.HOLDS and not order.is_load):
            self._accept(book, order, reply, now)
        elif reply is not OrderReply.HOLDS:
            # Only a report can tell the number of orders, and what was carried out.
            book.settle_at = now + (LOST_SETTLE_S if reply is None else 0.0)
        elif order.adapter:
            book.adapters.setdefault(order.model, set()).add(order.adapter)
        return reply is not OrderReply.FENCED

    def _accept(
        self, book: EngineRecord, order: SequencedOrder, reply: OrderReply, now: float
    ) -> None:
        book.sequence = order.expected + 1
        model = self._find_model(book, order.model)
        if order.adapter:
            item = f"{order.model}/{order.adapter}"
            if order.is_load:
                size = model.adapter_mb if model else 0.0
                book.incoming[item] = now + ADAPTER_BASE_S + ADAPTER_S_PER_MB * size
                book.loaded_at[item] = now
            else:
                book.adapters.get(order.model, set()).discard(order.adapter)
                book.loaded_at.pop(item, None)
        elif order.is_load:
            seconds = book.load_seconds(model) if model else 0.0
            book.planned = ""
            book.open_order = OpenOrder(order, now, now + seconds + LOAD_MARGIN_S)
        elif reply is OrderReply.HOLDS:
            book.adapters.pop(order.model, None)
        else:
            # An unload waits for the model's requests. The engine refuses a load that comes early.
            is_used = book.running_by_model.get(order.model, 0) > 0
            done_at = float("inf") if is_used else now + UNLOAD_S
            book.open_order = OpenOrder(order, now, done_at)

    # What is decided.

    def plan(self, now: float) -> list[OutgoingOrder]:
        """Return the orders to send now."""
        self._expected = {}
        self._now = now
        self._advance(now)
        if self._table is None:
            return []
        commands = self._send_again()
        for service in self._table.service_by_name.values():
            if service.engine is not None:
                pool = EnginePool(
                    service.engine,
                    [b for b in self._books.values() if b.view.service == service.name],
                    self._model_demand(service.name),
                    self._adapter_rates(service.name),
                    now,
                )
                commands += self._plan_models(service.name, pool)
                commands += self._plan_adapters(service.name, pool)
        return commands

    def _send_again(self) -> list[OutgoingOrder]:
        """Return the orders whose answers were lost."""
        commands = []
        for book in self._books.values():
            order, book.unanswered = book.unanswered, None
            if order is not None and order.fence == self._fence:
                book.sending, book.resends = order, book.resends + 1
                commands.append(OutgoingOrder(view=book.view, order=order))
        return commands

    def due_reports(self, now: float) -> list[EndpointView]:
        """Return the engines that should be asked for a report now."""
        due = []
        for book in self._books.values():
            age = now - book.asked_at
            if age < self._report_interval(book, now) or (book.is_asked and age < ASKED_LIFE_S):
                continue
            if book.settle_at is None or now >= book.settle_at:
                book.asked_at, book.is_asked = now, True
                due.append(book.view)
        return due

    def known_engines(self) -> list[EngineRecord]:
        """Return the engines whose state is known."""
        return [book for book in self._books.values() if book.sequence >= 0]

    def expected_waits(self, now: float) -> dict[tuple[str, str], float]:
        """Return the seconds until items that are missing will be available."""
        return {item: max(0.0, at - now) for item, at in self._expected.items()}

    def status(self) -> ProvisioningStatus:
        """Return numbers on demand that isn't met and on what engines do."""
        usable = [book for book in self.known_engines() if book.is_usable]
        models = {name for book in usable for name in book.usable_models()}
        items = models | {item for book in usable for item in book.held_adapters()}
        missing = [
            item
            for (_, item), wanted in self._demand.items()
            if item and item not in items and (wanted.waiting or wanted.unmet > MIN_UNMET_RATE)
        ]
        return ProvisioningStatus(
            missing=len(missing),
            models_without_copy=len({item.partition("/")[0] for item in missing} - models),
            engines=len(usable),
            free=sum(book.is_free for book in usable),
            loading=sum(
                book.open_order is not None and book.open_order.order.is_load for book in usable
            ),
        )

    def _report_interval(self, book: EngineRecord, now: float) -> float:
        order = book.open_order
        if book.failures >= FAILURES_TO_DOWN:
            return DOWN_REPORT_S
        if book.sequence < 0 or book.settle_at is not None:
            return BUSY_REPORT_S
        if book.is_doubted or book.failures:
            return BUSY_REPORT_S
        if order is not None and (order.done_at == float("inf") or now >= order.done_at):
            return BUSY_REPORT_S
        return IDLE_REPORT_S

    def _advance(self, now: float) -> None:
        """Take as arrived what should have arrived by now."""
        for book in self._books.values():
            for item in [i for i, at in book.incoming.items() if at <= now]:
                del book.incoming[item]
                model, _, adapter = item.partition("/")
                if model in book.adapters:
                    book.adapters[model].add(adapter)
            order = book.open_order
            if order is None or order.done_at > now:
                continue
            book.open_order = None
            if order.order.is_load:
                book.adapters.setdefault(order.order.model, set())
                book.loaded_at[order.order.model] = now
            else:
                book.adapters.pop(order.order.model, None)

    def _plan_models(self, service: str, pool: EnginePool) -> list[OutgoingOrder]:
        commands = self._load_planned(pool)
        if pool.now - self._begun_at < GATHER_S:
            return commands
        if not pool.demand:
            commands += self._spread_copies(pool)
        for name, gain in self._order_by_age(service, pool, find_needs(pool)):
            commands += self._plan_copy(service, pool, pool.spec.model_by_name[name], gain)
        self._expect_loading(service, pool)
        return commands

    def _order_by_age(
        self, service: str, pool: EnginePool, needs: list[tuple[str, float]]
    ) -> list[tuple[str, float]]:
        """Return the needs with those first that serve most or have been missing for longest."""
        missing = {name for name, _ in needs if not pool.copies(name)}
        known = self._missing_since.get(service, {})
        since = {name: known.get(name, pool.now) for name in missing}
        self._missing_since[service] = since

        def weigh(need: tuple[str, float]) -> float:
            name, gain = need
            return gain + AGE_GAIN_PER_S * (pool.now - since.get(name, pool.now))

        return sorted(needs, key=weigh, reverse=True)

    def _plan_copy(
        self, service: str, pool: EnginePool, model: ModelSpec, gain: float
    ) -> list[OutgoingOrder]:
        """Return the first order towards a copy of a model, and tell when it can be there."""
        found = choose_engine(pool, model, gain)
        ends = pool.long_load_ends()
        is_full = len(ends) >= max_rare_loads(pool.books) and not is_hot(pool.wanted(model.name))
        must_wait = found is not None and is_full and not found[0].has_copy(model.name)
        if not pool.copies(model.name):
            # Without a place now, the next one is likely to be free soon.
            wait = found[2] if found else model.disk_load_s + NEXT_PLACE_S
            if must_wait and ends:
                wait += pool.queue_load(model)
            self._expect(service, model.name, pool.now + wait)
        if found is None or must_wait:
            return []
        book, victim, _ = found
        if not book.is_free or not self._may_load(book, model, pool.spec, pool.now):
            return []
        if victim:
            book.planned = model.name
            book.retiring, book.retiring_since = victim, pool.now
            commands = self._drop_retired(book, pool.now)
        else:
            commands = [self._send(book, True, model.name, "", pool.now)]
        pool.note_order(book)
        return commands

    def _expect(self, service: str, name: str, at: float) -> None:
        for item in self._items_by_model.get((service, name), ()):
            wanted = self._demand[service, item]
            if wanted.waiting or wanted.unmet:
                self._expected[service, item] = at

    def _load_planned(self, pool: EnginePool) -> list[OutgoingOrder]:
        """Load what places were made free for; its load was counted then."""
        commands = []
        spec = pool.spec
        for book in pool.books:
            if book.retiring not in book.adapters or not book.planned:
                book.retiring = ""
            if book.retiring:
                commands += self._drop_retired(book, pool.now)
                pool.note_order(book)
                continue
            model = spec.model_by_name.get(book.planned)
            if not book.planned or not book.is_free:
                continue
            has_room = book.memory_mb(spec) + model.memory_mb <= spec.memory_mb if model else False
            if model is None or model.name in book.adapters or not has_room:
                book.planned = ""
            else:
                commands.append(self._send(book, True, model.name, "", pool.now))
            pool.note_order(book)
        return commands

    def _drop_retired(self, book: EngineRecord, now: float) -> list[OutgoingOrder]:
        """Drop a retired model once no request uses it, or after the longest time."""
        is_used = book.running_by_model.get(book.retiring, 0) > 0
        if not book.is_free or (is_used and now - book.retiring_since < RETIRE_MAX_S):
            return []
        return [self._send(book, False, book.retiring, "", now)]

    def _spread_copies(self, pool: EnginePool) -> list[OutgoingOrder]:
        """Before traffic, load what few engines have, which leaves copies on their disks.

        A load from a disk takes a fifth of one from the weight store, and demand that moves to
        other models does not wait.
        """
        commands = []
        spec, now = pool.spec, pool.now
        resident = {name: len(pool.copies(name)) for name in spec.model_by_name}
        known = dict(resident)
        for book in pool.books:
            for name in spec.model_by_name:
                is_kept = name in book.on_disk and name not in book.adapters
                known[name] += is_kept or is_loading(book, name)
        for book in pool.books:
            # One load an engine ends before traffic comes.
            if not book.is_free or book.planned or book.loaded_at:
                continue
            wanted = [
                model
                for name, model in spec.model_by_name.items()
                if name not in book.adapters and name not in book.on_disk
                # Models with adapters have the most callers, and their demand moves most.
                and known[name] < (2 if model.adapters else 1)
            ]
            model = min(wanted, key=lambda m: (known[m.name], m.name), default=None)
            if model is None:
                continue
            victim = ""
            if book.memory_mb(spec) + model.memory_mb > spec.memory_mb:
                victim = choose_spare(spec, book, resident)
                if not victim:
                    continue
            if not self._may_load(book, model, spec, now):
                break
            known[model.name] += 1
            if victim:
                resident[victim] -= 1
                book.planned = model.name
                commands.append(self._send(book, False, victim, "", now))
            else:
                commands.append(self._send(book, True, model.name, "", now))
            pool.note_order(book)
        return commands

    def _model_demand(self, service: str) -> dict[str, Demand]:
        total: dict[str, Demand] = {}
        for (owner, item), demand in self._demand.items():
            if owner == service and item:
                name = item.partition("/")[0]
                total[name] = total.get(name, NO_DEMAND).plus(demand)
        spec = self._table.service_by_name[service].engine if self._table else None
        keep = 0.5 ** ((self._now - self._begun_at) / KNOWN_RATES_HALF_LIFE_S)
        for name, rate in self._known_rates.items():
            if spec is not None and name in spec.model_by_name and rate * keep > MIN_KNOWN_RATE:
                seen = total.get(name, NO_DEMAND)
                total[name] = attrs.evolve(seen, rate=max(seen.rate, rate * keep))
        return total

    def request_rates(self) -> dict[str, float]:
        """Return the requests a second by model, for the next holder."""
        rates: dict[str, float] = {}
        for (_, item), demand in self._demand.items():
            if item:
                name = item.partition("/")[0]
                rates[name] = rates.get(name, 0.0) + demand.rate
        busiest = sorted(rates.items(), key=lambda pair: -pair[1])[:MAX_KNOWN_RATES]
        return {name: round(rate, 2) for name, rate in busiest if rate >= MIN_KNOWN_RATE}

    def _adapter_rates(self, service: str) -> dict[str, float]:
        """Return the requests a second for adapters by their model."""
        rates: dict[str, float] = {}
        for (owner, item), demand in self._demand.items():
            model, _, adapter = item.partition("/")
            if adapter and owner == service:
                rates[model] = rates.get(model, 0.0) + demand.rate + demand.unmet
        return rates

    def _expect_loading(self, service: str, pool: EnginePool) -> None:
        for book in pool.books:
            coming = self._find_coming(pool, book) if book.is_usable else None
            if coming is None or pool.copies(coming[0]):
                continue
            name, at = coming
            for item in self._items_by_model.get((service, name), ()):
                known = self._expected.get((service, item), float("inf"))
                self._expected[service, item] = min(known, at)

    def _find_coming(self, pool: EnginePool, book: EngineRecord) -> tuple[str, float] | None:
        """Return the model that an engine loads or is about to load, and when it is there."""
        order, sending = book.open_order, book.sending
        if order is not None and order.order.is_load:
            return order.order.model, order.done_at
        is_load = sending is not None and sending.is_load and not sending.adapter
        model = pool.spec.model_by_name.get(sending.model if is_load else book.planned)
        if model is None:
            return None
        at = pool.now + book.load_seconds(model) + LOAD_MARGIN_S
        if book.retiring:
            is_used = book.running_by_model.get(book.retiring, 0) > 0
            at += UNLOAD_S + (RETIRE_S if is_used else 0.0)
        return model.name, at

    def _may_load(self, book: EngineRecord, model: ModelSpec, spec: EngineSpec, now: float) -> bool:
        """Count a load against the weight store's rate, unless the engine has a copy."""
        if book.has_copy(model.name):
            return True
        window, loads = self._bounds.load_window_s, self._store_loads
        while loads and loads[0] <= now - window - LOAD_MARGIN_S:
            loads.popleft()
        if len(loads) + 1 > spec.loads_per_s * window * self._bounds.load_overage:
            return False
        loads.append(now)
        return True

    def _plan_adapters(self, service: str, pool: EnginePool) -> list[OutgoingOrder]:
        commands = []
        spec, now = pool.spec, pool.now
        wanted = [
            (demand, item)
            for (owner, item), demand in self._demand.items()
            if owner == service
            and "/" in item
            and (demand.waiting or demand.unmet > MIN_UNMET_RATE)
        ]
        for demand, item in sorted(wanted, key=lambda pair: -pair[0].waiting):
            name, _, adapter = item.partition("/")
            model = spec.model_by_name.get(name)
            holders = pool.copies(name)
            if model is None or not holders:
                continue
            coming = [b.incoming[item] for b in holders if item in b.incoming]
            having = [b for b in holders if adapter in b.adapters[name]]
            if coming:
                self._expected[service, item] = min(coming)
                continue
            if having and demand.running < ADAPTER_CROWD * len(having):
                continue
            free_at = min(find_free_time(book, now) for book in holders)
            self._expected.setdefault((service, item), free_at + 2 * ADAPTER_BASE_S)
            for book in sorted(holders, key=lambda b: (b.running, b.view.endpoint)):
                is_unsure = book.unanswered is not None or book.settle_at is not None
                if book in having or book.sending is not None or is_unsure:
                    continue
                rest = ADAPTER_MIN_IDLE_S if demand.waiting else UNAWAITED_MIN_IDLE_S
                step = self._bring_adapter(spec, book, model, adapter, rest, now)
                if step is not None:
                    commands.append(step)
                    break
        return commands

    def _bring_adapter(
        self,
        spec: EngineSpec,
        book: EngineRecord,
        model: ModelSpec,
        adapter: str,
        rest_s: float,
        now: float,
    ) -> OutgoingOrder | None:
        """Return the next order towards an adapter.

        :param rest_s: seconds for which an adapter must have been unused to make room.
        """
        # Engines refuse orders for adapters while they carry out one for a model.
        if book.open_order is not None or len(book.incoming) >= MAX_INCOMING:
            return None
        held = book.held_adapters()
        has_place = len(held) + len(book.incoming) < spec.adapter_places
        if has_place and book.memory_mb(spec) + model.adapter_mb <= spec.memory_mb:
            return self._send(book, True, model.name, adapter, now)
        never = float("-inf")
        wanted_at = {
            i: max(self._used_at.get(i, never), book.loaded_at.get(i, never)) for i in held
        }
        idle = [item for item in held if now - wanted_at[item] >= rest_s]
        if not idle:
            return None
        victim = min(idle, key=lambda item: (wanted_at[item], item))
        name, _, old = victim.partition("/")
        return self._send(book, False, name, old, now)

    def _send(
        self, book: EngineRecord, is_load: bool, model: str, adapter: str, now: float
    ) -> OutgoingOrder:
        order = SequencedOrder(
            is_load=is_load,
            model=model,
            adapter=adapter,
            expected=book.sequence,
            holder=self._node,
            fence=self._fence,
        )
        book.sending = order
        return OutgoingOrder(view=book.view, order=order)

    def _find_model(self, book: EngineRecord, name: str) -> ModelSpec | None:
        service = self._table.service_by_name.get(book.view.service) if self._table else None
        return service.engine.model_by_name.get(name) if service and service.engine else None
