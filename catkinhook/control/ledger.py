"""Endpoint ledger: what may be resident on an endpoint, and which orders may still change it.

All functions are pure. Orders are written before they are sent, so a row is an upper bound of the
engine's memory and a lower bound of the reachable copies, whichever node holds the endpoint.
"""

import enum
import math
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import attrs
from result import Err, Ok, Result

from catkinhook.errors import StepError

# Number of past boots to remember, because a report of an earlier boot may arrive late.
PAST_BOOTS = 16

T = TypeVar("T")


class OrderKind(enum.StrEnum):
    """Kind of an order in the engines' protocol."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"


LOAD_KINDS = frozenset({OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER})
UNLOAD_KINDS = frozenset({OrderKind.UNLOAD_MODEL, OrderKind.UNLOAD_ADAPTER})


class OrderState(enum.StrEnum):
    """State of an order in a row; orders that can no longer arrive are removed."""

    OPEN = "open"
    # The outcome is known, but a copy of the order may still arrive at a later boot of the engine.
    CLOSED = "closed"


@attrs.frozen(kw_only=True)
class Order:
    """One order to an engine.

    :ivar item: model, ``model/adapter`` or role.
    :ivar memory: size of the item in bytes; for a role change the larger of both roles' sizes.
    :ivar fencing: fencing token of the holder that wrote the order.
    :ivar sender: node that sends the order.
    :ivar incarnation: incarnation of the sender's controller.
    :ivar version: version of the model or adapter.
    :ivar ended: true when the sender's last send call has ended.
    """

    order_id: str
    kind: OrderKind
    item: str
    memory: int
    fencing: int
    sender: str
    incarnation: int
    version: str = ""
    state: OrderState = OrderState.OPEN
    ended: bool = False


@attrs.frozen
class Resident:
    """A resident model or adapter.

    :ivar version: empty when the item was found on the engine and its version is unknown.
    """

    memory: int
    version: str = ""


@attrs.frozen(kw_only=True)
class EndpointRow:
    """Ledger row of one endpoint.

    :ivar memory: accelerator memory in bytes.
    :ivar live: false when the engine is leaving or doesn't answer its holder.
    :ivar ejected: true while the holder keeps new requests away from the endpoint.
    :ivar resident: resident items by model or ``model/adapter``.
    :ivar holder: node that writes the row.
    :ivar incarnation: incarnation of the holder's controller.
    :ivar fencing: fencing token, incremented by each takeover.
    """

    endpoint: str
    memory: int
    holder: str
    incarnation: int
    fencing: int = 1
    nonce: str = ""
    boot_id: str = ""
    past_boots: tuple[str, ...] = ()
    role: str = "mixed"
    role_memory: int = 0
    live: bool = True
    ejected: bool = False
    resident: dict[str, Resident] = attrs.Factory(dict)
    orders: tuple[Order, ...] = ()

    @property
    def open_orders(self) -> tuple[Order, ...]:
        """Return the orders that may still take effect."""
        return tuple(order for order in self.orders if order.state is OrderState.OPEN)


class Progress(enum.StrEnum):
    """Progress of an order as the engine reports it."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STALE = "stale"


@attrs.frozen(kw_only=True)
class Report:
    """An engine's report.

    :ivar taken_at: earliest possible time of the report on the reader's monotonic clock.
    :ivar fencing: highest fencing token of an order that this boot accepted.
    :ivar lag: age of the load figures in seconds.
    """

    boot_id: str
    taken_at: float
    memory: int = 0
    used: int = 0
    role: str = "mixed"
    leaving: bool = False
    running: int = 0
    waiting: int = 0
    tokens_per_second: float = 0.0
    models: frozenset[str] = frozenset()
    adapters: frozenset[str] = frozenset()
    progress_by_order: dict[str, Progress] = attrs.Factory(dict)
    fencing: int = 0
    prefixes: frozenset[str] = frozenset()
    lag: float = 0.0


def memory_bound(row: EndpointRow) -> int:
    """Return an upper bound of the engine's memory use now or after a restart, in bytes.

    An item with an open unload is still resident in the row. A closed load counts while a copy of
    it may arrive at a later boot, so that the copy fits beside what is loaded in the meantime.
    """
    by_item = {item: resident.memory for item, resident in row.resident.items()}
    role_memory = row.role_memory
    for order in row.orders:
        if order.kind is OrderKind.SET_ROLE:
            role_memory = max(role_memory, order.memory)
        elif order.kind in LOAD_KINDS:
            # An engine holds an item only once, so an item and its load are not added.
            by_item[order.item] = max(by_item.get(order.item, 0), order.memory)
    return sum(by_item.values()) + role_memory


def reachable_models(row: EndpointRow) -> frozenset[str]:
    """Return the items that callers can reach whatever the outcome of the open orders."""
    if not row.live or row.ejected:
        return frozenset()
    if any(_changes_role(row, order) for order in row.open_orders):
        return frozenset()
    return frozenset(row.resident) - unloading_items(row)


def _changes_role(row: EndpointRow, order: Order) -> bool:
    return order.kind is OrderKind.SET_ROLE and order.item != row.role


def unloading_items(row: EndpointRow) -> frozenset[str]:
    """Return the items with an open unload, including adapters unloaded with their model."""
    items = {order.item for order in row.open_orders if order.kind in UNLOAD_KINDS}
    adapters = {item for item in row.resident if item.partition("/")[0] in items}
    return frozenset(items | adapters)


def loading_items(row: EndpointRow) -> frozenset[str]:
    """Return the items with an open load that are not resident."""
    items = {order.item for order in row.open_orders if order.kind in LOAD_KINDS}
    return frozenset(items - row.resident.keys())


def add_orders(row: EndpointRow, orders: Iterable[Order]) -> tuple[EndpointRow, list[StepError]]:
    """Add orders to a row, except for those that the row doesn't allow.

    :returns: the row and an error for each rejected order.
    """
    errors: list[StepError] = []
    for order in orders:
        reason = _find_rejection_reason(row, order)
        if reason:
            errors.append(StepError("ledger", row.endpoint, f"{order.kind} {order.item}: {reason}"))
        else:
            row = attrs.evolve(row, orders=(*row.orders, order))
    return row, errors


def _find_rejection_reason(row: EndpointRow, order: Order) -> str:
    model, _, adapter = order.item.partition("/")
    if any(other.order_id == order.order_id for other in row.orders):
        return "the row already has an order with this id"
    if any(_interferes(other, order) for other in row.open_orders):
        return "another order for it is open"
    if order.kind in LOAD_KINDS and order.item in row.resident:
        return "already resident"
    if order.kind is OrderKind.LOAD_ADAPTER and adapter and model not in row.resident:
        return "its model is not resident"
    if order.kind in UNLOAD_KINDS and order.item not in row.resident:
        return "not resident"
    bound = memory_bound(attrs.evolve(row, orders=(*row.orders, order)))
    if bound > row.memory and bound > memory_bound(row):
        return f"needs {bound} bytes of {row.memory}"
    return ""


def _interferes(first: Order, second: Order) -> bool:
    if first.item == second.item:
        return True
    if OrderKind.SET_ROLE in (first.kind, second.kind):
        return first.kind is second.kind
    # No adapter is loaded or unloaded while an order for its model is open.
    return first.item.startswith(second.item + "/") or second.item.startswith(first.item + "/")


def affected_models(row: EndpointRow, order: Order) -> frozenset[str]:
    """Return the models that an order may make unreachable on this endpoint."""
    if order.kind is OrderKind.UNLOAD_MODEL:
        return frozenset({order.item})
    return resident_models(row) if _changes_role(row, order) else frozenset()


def resident_models(row: EndpointRow) -> frozenset[str]:
    """Return the resident models without adapters."""
    return frozenset(item for item in row.resident if "/" not in item)


def other_copies(rows: Iterable[EndpointRow], row: EndpointRow, model: str) -> list[str]:
    """Return the other endpoints that are known to serve a model, ordered by id."""
    return sorted(
        other.endpoint
        for other in rows
        if other.endpoint != row.endpoint and model in reachable_models(other)
    )


def check_removal(
    rows: Iterable[EndpointRow],
    row: EndpointRow,
    models: Iterable[str],
    required_by_model: dict[str, int],
) -> Result[frozenset[str], StepError]:
    """Tell whether models may stop being reachable on an endpoint.

    :param rows: rows of all endpoints, as read from the store.
    :param required_by_model: copies that must stay reachable; models not listed need none.
    :returns: the endpoints counted as other copies, whose rows the transaction must check.
    """
    rows = list(rows)
    counted: set[str] = set()
    for model in sorted(models):
        required = required_by_model.get(model, 0)
        others = other_copies(rows, row, model)
        if len(others) < required:
            reason = f"{len(others)} other copies of {model!r} are reachable, {required} required"
            return Err(StepError("ledger", row.endpoint, reason))
        counted.update(others[:required])
    return Ok(frozenset(counted))


def take_over(row: EndpointRow, node: str, incarnation: int) -> EndpointRow:
    """Make a node the holder, with the next fencing token."""
    return attrs.evolve(row, holder=node, incarnation=incarnation, fencing=row.fencing + 1)


def mark_sends_ended(row: EndpointRow, order_ids: Iterable[str]) -> EndpointRow:
    """Record that the sender of these orders will not send them again."""
    ids = frozenset(order_ids)
    orders = tuple(
        attrs.evolve(order, ended=True) if order.order_id in ids else order for order in row.orders
    )
    return attrs.evolve(row, orders=orders)


# Returns the time on the observer's monotonic clock at which it learned that an order is not sent
# again.
SendEndedAt = Callable[[Order], float | None]


@attrs.frozen(kw_only=True)
class ReportContext:
    """What an observer needs to interpret an engine's report.

    :ivar send_ended_at: returns the time at which the observer learned that an order is not sent
        again, None while it may be.
    :ivar max_delay: seconds after which an order that was sent can no longer arrive.
    :ivar checks_fencing: true when the engine refuses an order with an older token.
    :ivar row_changed_at: time at which the observer last wrote the row or saw it changed; older
        reports say nothing about items without an order.
    :ivar size_of: returns size and version of an item according to the documents.
    """

    send_ended_at: SendEndedAt
    max_delay: float
    checks_fencing: bool = False
    row_changed_at: float = -math.inf
    size_of: Callable[[str], Resident | None] = lambda item: None


def apply_report(row: EndpointRow, report: Report, context: ReportContext) -> EndpointRow:
    """Update a row from a report that was requested after the row was read."""
    if report.boot_id in row.past_boots:
        return row
    if report.boot_id != row.boot_id:
        if report.taken_at < context.row_changed_at:
            return row
        row = _reset_after_restart(row, report)
    ordered_items = frozenset(order.item for order in row.open_orders)
    for order in row.orders:
        row = _apply_to_order(row, order, report, context)
    if report.taken_at >= context.row_changed_at:
        row = _reconcile_resident(row, report, context, ordered_items)
    return attrs.evolve(row, live=not report.leaving, memory=report.memory or row.memory)


def _reset_after_restart(row: EndpointRow, report: Report) -> EndpointRow:
    """Clear the residents and reopen every order that may still arrive at the new boot."""
    past = (*row.past_boots, row.boot_id)[-PAST_BOOTS:] if row.boot_id else row.past_boots
    orders = tuple(attrs.evolve(order, state=OrderState.OPEN) for order in row.orders)
    return attrs.evolve(
        row,
        boot_id=report.boot_id,
        past_boots=past,
        resident={},
        role=report.role,
        orders=orders,
        ejected=False,
    )


def _apply_to_order(
    row: EndpointRow, order: Order, report: Report, context: ReportContext
) -> EndpointRow:
    ended = context.send_ended_at(order)
    cannot_arrive = ended is not None and report.taken_at >= ended + context.max_delay
    if order.state is OrderState.CLOSED:
        return _replace_order(row, order, None) if cannot_arrive else row
    progress = report.progress_by_order.get(order.order_id)
    fenced = context.checks_fencing and report.fencing > order.fencing
    if progress is Progress.RUNNING or (progress is None and not cannot_arrive and not fenced):
        return row
    took_effect = progress is Progress.DONE
    if progress is None:
        took_effect = _is_effect_reported(order, report)
    row = _replace_order(
        row, order, None if cannot_arrive else attrs.evolve(order, state=OrderState.CLOSED)
    )
    return _apply_effect(row, order) if took_effect else row


def _is_effect_reported(order: Order, report: Report) -> bool:
    if order.kind is OrderKind.SET_ROLE:
        return report.role == order.item
    present = order.item in report.models | report.adapters
    return present == (order.kind in LOAD_KINDS)


def _replace_order(row: EndpointRow, order: Order, by: Order | None) -> EndpointRow:
    orders = (by if other.order_id == order.order_id else other for other in row.orders)
    return attrs.evolve(row, orders=tuple(other for other in orders if other is not None))


def _apply_effect(row: EndpointRow, order: Order) -> EndpointRow:
    if order.kind is OrderKind.SET_ROLE:
        return attrs.evolve(row, role=order.item, role_memory=order.memory)
    resident = dict(row.resident)
    if order.kind in LOAD_KINDS:
        resident[order.item] = Resident(order.memory, order.version)
    else:
        resident.pop(order.item, None)
        if order.kind is OrderKind.UNLOAD_MODEL:
            resident = {k: v for k, v in resident.items() if not k.startswith(order.item + "/")}
    return attrs.evolve(row, resident=resident)


def _reconcile_resident(
    row: EndpointRow, report: Report, context: ReportContext, ordered_items: frozenset[str]
) -> EndpointRow:
    """Adopt changes that no order explains, such as models loaded when the engine started.

    :param ordered_items: items with an open order, for which the report's lists may be outdated.
    """
    shown = report.models | report.adapters
    settled = {k for k in shown | row.resident.keys() if not {k, k.split("/")[0]} & ordered_items}
    resident = {k: v for k, v in row.resident.items() if k in shown or k not in settled}
    added = sorted((shown & settled) - resident.keys())
    sizes = {item: context.size_of(item) for item in added}
    known = sum(size.memory for size in sizes.values() if size)
    known += sum(value.memory for value in resident.values())
    unknown = [item for item in added if sizes[item] is None]
    share = math.ceil(max(0, report.used - known) / len(unknown)) if unknown else 0
    resident |= {item: sizes[item] or Resident(share) for item in added}
    return row if resident == row.resident else attrs.evolve(row, resident=resident)


def encode_row(row: EndpointRow) -> dict[str, Any]:
    """Encode a row as a JSON object."""
    return attrs.asdict(row)


def decode_row(value: dict[str, Any]) -> EndpointRow:
    """Decode a row from a JSON object.

    :raises KeyError, TypeError, ValueError: if the object is not a ledger row.
    """
    if not isinstance(value, dict) or not isinstance(value["resident"], dict):
        raise TypeError("the row or its residents are not JSON objects")
    items = value["resident"].items()
    resident = {item: _check_types(Resident(**entry)) for item, entry in items}
    orders = tuple(_decode_order(order) for order in value["orders"])
    past = tuple(value["past_boots"])
    if not all(isinstance(boot, str) for boot in past):
        raise TypeError("past_boots is not a list of strings")
    changes = {"resident": resident, "orders": orders, "past_boots": past}
    return _check_types(EndpointRow(**(value | changes)))


def _check_types(value: T) -> T:
    for field in attrs.fields(type(value)):
        found = getattr(value, field.name)
        if field.type in (int, str, bool) and type(found) is not field.type:
            raise TypeError(f"{field.name!r} is not of type {field.type.__name__}")
        # A negative size would lower the memory bound.
        if field.type is int and found < 0:
            raise ValueError(f"{field.name!r} is negative")
    return value


def _decode_order(value: dict[str, Any]) -> Order:
    kind, state = OrderKind(value["kind"]), OrderState(value["state"])
    return _check_types(Order(**(value | {"kind": kind, "state": state})))
