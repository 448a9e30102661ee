"""Reconciler of an endpoint: writes its ledger row, sends its orders and tracks their outcome."""

import contextlib
import math
from collections.abc import Callable, Iterator, Sequence

import attrs
from result import Result

from catkinhook.clocks import Clock
from catkinhook.control.engineapi import Acknowledgement, EngineApi
from catkinhook.control.leases import Identity
from catkinhook.control.ledger import (
    LOAD_KINDS,
    EndpointRow,
    Order,
    OrderKind,
    OrderState,
    Progress,
    Report,
    ReportContext,
    add_orders,
    affected_models,
    apply_report,
    check_removal,
    decode_row,
    encode_row,
    mark_sends_ended,
    resident_models,
    take_over,
)
from catkinhook.control.loadslots import (
    WEIGHTS_TABLE,
    Pacer,
    SlotRow,
    acquire_slot,
    decode_slots,
    drop_orphaned_slots,
    release_slots,
)
from catkinhook.control.reconciletasks import DesiredOrder, ReconcileTask
from catkinhook.errors import StepError, StoreConflict, StoreError
from catkinhook.state.tableservice import (
    Check,
    Row,
    Table,
    Versions,
    Write,
    commit_confirmed,
    make_nonce,
    scan_all,
)

ENDPOINTS_TABLE = "endpoints"
# Maximum sends of one order to one boot of an engine; after that only a new order can replace it.
MAX_SENDS = 5
# Time without a report after which the holder marks an endpoint as not live.
REPORT_TIMEOUT_S = 3.0
# Time for which a cached row is used without a read. It is shorter than ``ROUTE_PROPAGATION_S``, so
# that a node that has lost the endpoint stops routing to a model before the new holder sends the
# model's unload.
ROW_CACHE_TTL_S = 2.0
# Time within which gateways stop routing to a model after its unload is written.
ROUTE_PROPAGATION_S = 3.0


@attrs.define
class _SendRecord:
    """Sends of one order to one boot of the engine.

    :ivar ended_at: end of the last send call, infinite while it is in progress.
    """

    boot_id: str
    count: int
    ended_at: float


@attrs.frozen
class _PendingCommit:
    """A row to write and the additional conditions of its transaction.

    :ivar checked_endpoints: endpoints whose rows must be unchanged.
    :ivar load: model load that acquires a weight-store slot.
    """

    row: EndpointRow
    checked_endpoints: frozenset[str] = frozenset()
    load: Order | None = None


class Reconciler:
    """Reconciler of one endpoint; a single thread runs its cycles.

    A cycle yields before each call to the store or the engine, where tests interleave cycles. The
    process may be suspended there for any time, so a decision is only valid for the row version
    against which it is committed.

    :param drain_limit: seconds after which an unload is sent even if the engine is not idle.
    """

    def __init__(
        self,
        endpoint: str,
        table: Table,
        engines: EngineApi,
        pacer: Pacer,
        clock: Clock,
        drain_limit: float = 60.0,
        make_id: Callable[[], str] = make_nonce,
    ) -> None:
        self.endpoint = endpoint
        self.row: EndpointRow | None = None
        self.report: Report | None = None
        self.errors: list[StepError] = []
        self.orders_written = 0
        self._table = table
        self._engines = engines
        self._pacer = pacer
        self._clock = clock
        self._drain_limit = drain_limit
        self._make_id = make_id
        self._version = 0
        self._row_changed_at = -math.inf
        self._read_at = -math.inf
        self._last_report_at = clock()
        self._send_by_order: dict[str, _SendRecord] = {}
        self._send_end_seen_at_by_order: dict[str, float] = {}
        self._written_at_by_order: dict[str, float] = {}
        self._refusal_by_order: dict[str, tuple[str, Progress]] = {}
        self._slots = SlotRow()
        self._slots_version = 0
        self._versions: dict[str, int] = {}

    def cycle(self, task: ReconcileTask) -> Iterator[None]:
        """Read the row and a report, commit the updated row, and send the due orders."""
        self.errors = []
        yield
        is_read = self._is_row_fresh() or self._read_row()
        before = self.row
        yield
        report = self._read_report(task.address)
        if not is_read:
            return
        if not self._may_write(task):
            yield from self._mark_own_sends_ended(task.identity)
            return
        pending = yield from self._prepare_commit(task, report)
        if pending is None:
            return
        if pending.row != before and not (yield from self._commit(task, before, pending)):
            return
        if report is not None and self._is_holder(task.identity):
            yield from self._send_due_orders(task, report)

    def _is_row_fresh(self) -> bool:
        """Whether the cached row may be used; each write checks its version."""
        return self.row is not None and self._clock() < self._read_at + ROW_CACHE_TTL_S

    def _read_row(self) -> bool:
        self._read_at = -math.inf
        read = self._table.read(ENDPOINTS_TABLE, self.endpoint)
        if read.is_err():
            self.errors.append(read.unwrap_err())
            return False
        stored = read.unwrap()
        try:
            self.row = decode_row(stored.value) if stored else None
        except (KeyError, TypeError, ValueError) as error:
            reason = f"ledger row can't be decoded: {error!r}"
            self.errors.append(StepError("orders", self.endpoint, reason))
            return False
        version = stored.version if stored else 0
        if version != self._version:
            # Another holder may have written the row after the time that a lagging report shows.
            self._row_changed_at = self._clock()
        self._version = version
        self._read_at = self._clock()
        self._record_ended_sends(self.row.orders if self.row else ())
        return True

    def _record_ended_sends(self, orders: Sequence[Order]) -> None:
        now = self._clock()
        ids = [order.order_id for order in orders if order.ended]
        self._send_end_seen_at_by_order = {
            order_id: self._send_end_seen_at_by_order.get(order_id, now) for order_id in ids
        }

    def _read_report(self, address: str) -> Report | None:
        result = self._engines.report(address)
        if result.is_err():
            self.errors.append(result.unwrap_err())
            return None
        report = result.unwrap()
        self._last_report_at = self._clock()
        refusals = {
            order_id: progress
            for order_id, (boot_id, progress) in self._refusal_by_order.items()
            if boot_id == report.boot_id
        }
        report = attrs.evolve(report, progress_by_order=refusals | report.progress_by_order)
        self.report = report
        return report

    def _may_write(self, task: ReconcileTask) -> bool:
        row = self.row
        if row is None:
            return task.owned
        if self._is_holder(task.identity):
            return True
        return task.owned and not task.liveness.is_live(row.holder, row.incarnation)

    def _is_holder(self, identity: Identity) -> bool:
        row = self.row
        return row is not None and (row.holder, row.incarnation) == (
            identity.node,
            identity.incarnation,
        )

    def _mark_own_sends_ended(self, identity: Identity) -> Iterator[None]:
        """Record for the new holder that this node no longer sends its orders."""
        row = self.row
        order_ids = (
            [o.order_id for o in row.orders if _is_own(o, identity) and not o.ended] if row else []
        )
        if not order_ids:
            return
        yield
        self._write_rows([], mark_sends_ended(row, order_ids))

    def _prepare_commit(self, task: ReconcileTask, report: Report | None) -> Iterator[None]:
        row = self.row
        if row is None:
            if report is None:
                return None
            row = EndpointRow(
                endpoint=self.endpoint,
                memory=report.memory,
                holder=task.identity.node,
                incarnation=task.identity.incarnation,
            )
        elif not self._is_holder(task.identity):
            row = take_over(row, task.identity.node, task.identity.incarnation)
        if not task.owned:
            order_ids = [o.order_id for o in row.orders if _is_own(o, task.identity)]
            row = attrs.evolve(mark_sends_ended(row, order_ids), holder="", incarnation=0)
            # An endpoint that has left the host list gets no new holder to mark it as not live.
            is_listed = self.endpoint in task.leaving_by_endpoint
            return _PendingCommit(attrs.evolve(row, live=row.live and is_listed))
        if report is None:
            is_overdue = self._clock() - self._last_report_at > REPORT_TIMEOUT_S
            return _PendingCommit(attrs.evolve(row, live=False) if is_overdue else row)
        row = apply_report(row, report, self._report_context(task))
        closed_orders = [o for o in row.orders if o.state is OrderState.CLOSED]
        row = mark_sends_ended(
            row, [o.order_id for o in closed_orders if _is_own(o, task.identity)]
        )
        row = attrs.evolve(row, live=row.live and not task.leaving)
        return (yield from self._add_desired_orders(task, row, report))

    def _report_context(self, task: ReconcileTask) -> ReportContext:
        def send_ended_at(order: Order) -> float | None:
            if order.ended:
                return self._send_end_seen_at_by_order.get(order.order_id)
            if _is_own(order, task.identity):
                record = self._send_by_order.get(order.order_id)
                return record.ended_at if record else None
            return task.liveness.ended_at(order.sender, order.incarnation)

        return ReportContext(
            send_ended_at=send_ended_at,
            max_delay=task.policy.max_delay,
            checks_fencing=task.policy.checks_fencing,
            row_changed_at=self._row_changed_at,
            size_of=task.policy.size_by_item.get,
        )

    def _add_desired_orders(
        self, task: ReconcileTask, row: EndpointRow, report: Report
    ) -> Iterator[None]:
        removals: list[Order] = []
        unconditional: list[Order] = []
        model_loads: list[tuple[DesiredOrder, Order]] = []
        adapter_loads = sum(order.kind is OrderKind.LOAD_ADAPTER for order in row.open_orders)
        for desired in sorted(task.desired, key=lambda desired: desired.rank):
            order = self._make_order(
                row, desired.kind, desired.item, desired.memory, desired.version
            )
            if desired.kind is OrderKind.LOAD_MODEL:
                model_loads.append((desired, order))
            elif affected_models(row, order):
                removals.append(order)
            elif (
                desired.kind is not OrderKind.LOAD_ADAPTER
                or adapter_loads < task.policy.adapter_share
            ):
                adapter_loads += desired.kind is OrderKind.LOAD_ADAPTER
                unconditional.append(order)
        unconditional += self._make_fencing_orders(task, row, report)
        row, errors = add_orders(row, unconditional)
        self.errors += errors
        row = row if task.eject else attrs.evolve(row, ejected=False)
        pending = _PendingCommit(row)
        if removals or task.eject != row.ejected:
            yield
            pending = self._add_removals(task, row, removals)
        model_loads = [pair for pair in model_loads if add_orders(pending.row, [pair[1]])[1] == []]
        rank = model_loads[0][0].rank if model_loads else None
        store = task.policy.store
        if self._pacer.request(store.name, self.endpoint, rank, self._clock()):
            yield
            if self._read_slots(task) and self._pacer.allows(
                store, self._slots, model_loads[0][0].urgent, self._clock()
            ):
                load = model_loads[0][1]
                row_with_load, _ = add_orders(pending.row, [load])
                pending = attrs.evolve(pending, row=row_with_load, load=load)
        return pending

    def _make_order(
        self, row: EndpointRow, kind: OrderKind, item: str, memory: int, version: str = ""
    ) -> Order:
        return Order(
            order_id=self._make_id(),
            kind=kind,
            item=item,
            memory=memory,
            version=version,
            fencing=row.fencing,
            sender=row.holder,
            incarnation=row.incarnation,
        )

    def _make_fencing_orders(
        self, task: ReconcileTask, row: EndpointRow, report: Report
    ) -> list[Order]:
        """Return an order that raises the engine's fencing token, if older orders are open.

        The order sets the current role again, so its only effect is that the engine refuses orders
        with older tokens afterwards.
        """
        has_older_orders = any(order.fencing < row.fencing for order in row.open_orders)
        is_token_known = report.fencing >= row.fencing
        if not (task.policy.checks_fencing and has_older_orders) or is_token_known:
            return []
        return [self._make_order(row, OrderKind.SET_ROLE, row.role, row.role_memory)]

    def _add_removals(
        self, task: ReconcileTask, row: EndpointRow, orders: list[Order]
    ) -> _PendingCommit:
        scan = scan_all(self._table, ENDPOINTS_TABLE, self.endpoint.partition("/")[0] + "/")
        if scan.is_err():
            self.errors.append(scan.unwrap_err())
            return _PendingCommit(row)
        self._versions = {entry.key: entry.version for entry in scan.unwrap()}
        # The row of a removed endpoint remains marked as live if its holder was removed with it.
        listed = {e for e, leaving in task.leaving_by_endpoint.items() if not leaving}
        rows = [r for r in decode_rows(scan.unwrap()) if r.endpoint in listed]
        required = task.policy.required_by_model
        checked_endpoints: frozenset[str] = frozenset()
        for order in orders:
            removal_check = check_removal(rows, row, affected_models(row, order), required)
            errors = [removal_check.unwrap_err()] if removal_check.is_err() else []
            if not errors:
                row, errors = add_orders(row, [order])
            self.errors += errors
            checked_endpoints |= removal_check.unwrap() if not errors else frozenset()
        if task.eject != row.ejected:
            removal_check = check_removal(rows, row, resident_models(row), required)
            if removal_check.is_ok():
                row, checked_endpoints = (
                    attrs.evolve(row, ejected=True),
                    checked_endpoints | removal_check.unwrap(),
                )
            else:
                self.errors.append(removal_check.unwrap_err())
        return _PendingCommit(row, checked_endpoints)

    def _read_slots(self, task: ReconcileTask) -> bool:
        read = self._table.read(WEIGHTS_TABLE, task.policy.store.name)
        if read.is_err():
            self.errors.append(read.unwrap_err())
            return False
        stored = read.unwrap()
        slots = decode_slots(stored.value if stored else None)
        self._slots = drop_orphaned_slots(slots, task.leaving_by_endpoint)
        self._slots_version = stored.version if stored else 0
        return True

    def _commit(
        self, task: ReconcileTask, before: EndpointRow | None, pending: _PendingCommit
    ) -> Iterator[None]:
        """Write the row and acquire or release weight-store slots in one transaction."""
        store = task.policy.store
        closed_loads = _open_model_loads(before) - _open_model_loads(pending.row)
        checks = [
            Check(ENDPOINTS_TABLE, key, self._versions[key])
            for key in sorted(pending.checked_endpoints)
        ]
        writes: list[Write] = []
        slots = self._slots
        if closed_loads and pending.load is None:
            yield
            if not self._read_slots(task):
                return False
            slots = self._slots
        if pending.load:
            slots = acquire_slot(slots, pending.load.order_id, self.endpoint, self._make_id())
        if closed_loads & slots.endpoint_by_order.keys():
            slots = release_slots(slots, closed_loads, self._make_id())
        if pending.load or slots != self._slots:
            checks.append(Check(WEIGHTS_TABLE, store.name, self._slots_version))
            writes.append(Write(WEIGHTS_TABLE, store.name, attrs.asdict(slots)))
        yield
        result = self._write_rows(checks, pending.row, writes)
        if result.is_err():
            return False
        if pending.load:
            self._pacer.record_acquisition(store.name, slots, self._clock())
        return True

    def _write_rows(
        self, checks: list[Check], row: EndpointRow, writes: Sequence[Write] = ()
    ) -> Result[Versions, StoreConflict | StoreError]:
        row = attrs.evolve(row, nonce=self._make_id())
        checks = [Check(ENDPOINTS_TABLE, self.endpoint, self._version), *checks]
        writes = [Write(ENDPOINTS_TABLE, self.endpoint, encode_row(row)), *writes]
        result = commit_confirmed(self._table, checks, writes)
        if result.is_err():
            self.errors.append(result.unwrap_err())
            self._read_at = -math.inf
            return result
        known_ids = {order.order_id for order in self.row.orders} if self.row else set()
        now = self._clock()
        for order in row.orders:
            self._written_at_by_order.setdefault(order.order_id, now)
        self.orders_written += sum(order.order_id not in known_ids for order in row.orders)
        self._forget_other_orders({order.order_id for order in row.orders})
        self.row = row
        self._version = result.unwrap()[(ENDPOINTS_TABLE, self.endpoint)]
        self._row_changed_at = now
        self._record_ended_sends(row.orders)
        return result

    def _forget_other_orders(self, kept_ids: set[str]) -> None:
        for by_id in (self._written_at_by_order, self._send_by_order, self._refusal_by_order):
            for order_id in by_id.keys() - kept_ids:
                del by_id[order_id]

    def _send_due_orders(self, task: ReconcileTask, report: Report) -> Iterator[None]:
        due = [o for o in self.row.open_orders if self._is_due(o, task.identity, report)]
        if not due:
            return
        for order in due:
            self._send_by_order.setdefault(order.order_id, _SendRecord(report.boot_id, 0, math.inf))
            self._send_by_order[order.order_id].ended_at = math.inf
        yield
        result = self._engines.send(task.address, due)
        now = self._clock()
        for order in due:
            record = self._send_by_order[order.order_id]
            count = record.count if record.boot_id == report.boot_id else 0
            self._send_by_order[order.order_id] = _SendRecord(report.boot_id, count + 1, now)
        if result.is_err():
            self.errors.append(result.unwrap_err())
        else:
            self._record_refusals(due, result.unwrap())

    def _record_refusals(self, orders: list[Order], acknowledgement: Acknowledgement) -> None:
        for order in orders:
            progress = acknowledgement.refused.get(order.order_id)
            # Only a permanent refusal closes an order, because the engine may accept a later copy
            # of any other order.
            if progress is Progress.STALE or (progress and order.kind in LOAD_KINDS):
                self._refusal_by_order[order.order_id] = (acknowledgement.boot_id, progress)

    def _is_due(self, order: Order, identity: Identity, report: Report) -> bool:
        if not _is_own(order, identity) or order.ended:
            return False
        if order.order_id in report.progress_by_order:
            return False
        record = self._send_by_order.get(order.order_id)
        if record and record.boot_id == report.boot_id and record.count >= MAX_SENDS:
            return False
        # A report taken before the end of the last send may lack an order that has arrived.
        if record and report.taken_at < record.ended_at:
            return False
        return order.kind in LOAD_KINDS or self._is_drained(order, report)

    def _is_drained(self, order: Order, report: Report) -> bool:
        if order.kind is OrderKind.SET_ROLE and order.item == self.row.role:
            return True
        # The write time is unknown if the answer of the store was lost; the wait then starts now.
        written_at = self._written_at_by_order.setdefault(order.order_id, self._clock())
        is_idle = report.running + report.waiting == 0
        if is_idle and report.taken_at >= written_at + ROUTE_PROPAGATION_S:
            return True
        return self._clock() >= written_at + self._drain_limit


def decode_rows(entries: list[Row]) -> list[EndpointRow]:
    """Decode ledger rows; malformed ones are skipped, so their copies don't count as reachable."""
    rows = []
    for entry in entries:
        with contextlib.suppress(KeyError, TypeError, ValueError):
            rows.append(decode_row(entry.value))
    return rows


def _is_own(order: Order, identity: Identity) -> bool:
    return (order.sender, order.incarnation) == (identity.node, identity.incarnation)


def _open_model_loads(row: EndpointRow | None) -> frozenset[str]:
    orders = row.open_orders if row else ()
    return frozenset(o.order_id for o in orders if o.kind is OrderKind.LOAD_MODEL)
