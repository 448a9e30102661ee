"""Endpoint ledger: resident items of an endpoint, and the orders that may still change them.

All functions are pure. As in a write-ahead log, orders are written before they are sent. A row
therefore gives an upper bound of the engine's memory use and a lower bound of the reachable copies,
whichever node holds the endpoint.
"""

import enum
import math
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import attrs
from result import Err, Ok, Result

from catkinhook.errors import StepError

# Number of past boots to remember, because a report from an earlier boot may arrive late.
MAX_PAST_BOOTS = 16

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
    """State of an order in a row. Orders that can no longer arrive are removed from the row."""

    OPEN = "open"
    # The outcome is known, but a duplicate may still arrive at a later boot of the engine.
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
    :ivar ended: true when the sender's last send call has ended and it won't send the order again.
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
    :ivar live: false when the engine is leaving or doesn't report to its holder.
    :ivar ejected: true while new requests are not routed to the endpoint.
    :ivar resident: resident items by model or ``model/adapter``.
    :ivar holder: node that writes the row and sends the orders.
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

    :ivar taken_at: earliest time of the reported state, on the reader's monotonic clock.
    :ivar fencing: highest fencing token among the orders that this boot accepted.
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

    An item stays resident in the row until its unload has closed. A closed load counts while a
    duplicate may arrive at a later boot, so that the duplicate fits beside the items loaded in the
    meantime.
    """
    by_item = {item: resident.memory for item, resident in row.resident.items()}
    role_memory = row.role_memory
    for order in row.orders:
        if order.kind is OrderKind.SET_ROLE:
            role_memory = max(role_memory, order.memory)
        elif order.kind in LOAD_KINDS:
            # An engine has at most one copy of an item, so the item and its load are not added up.
            by_item[order.item] = max(by_item.get(order.item, 0), order.memory)
    return sum(by_item.values()) + role_memory


def reachable_models(row: EndpointRow) -> frozenset[str]:
    """Return the items that callers can reach regardless of the outcome of the open orders."""
    if not row.live or row.ejected:
        return frozenset()
    if any(_changes_role(row, order) for order in row.open_orders):
        return frozenset()
    return frozenset(row.resident) - unloading_items(row)


def _changes_role(row: EndpointRow, order: Order) -> bool:
    return order.kind is OrderKind.SET_ROLE and order.item != row.role


def unloading_items(row: EndpointRow) -> frozenset[str]:
    """Return the items with an open unload, including the adapters of an unloaded model."""
    items = {order.item for order in row.open_orders if order.kind in UNLOAD_KINDS}
    adapters = {item for item in row.resident if item.partition("/")[0] in items}
    return frozenset(items | adapters)


def loading_items(row: EndpointRow) -> frozenset[str]:
    """Return the items with an open load that are not resident."""
    items = {order.item for order in row.open_orders if order.kind in LOAD_KINDS}
    return frozenset(items - row.resident.keys())


def add_orders(row: EndpointRow, orders: Iterable[Order]) -> tuple[EndpointRow, list[StepError]]:
    """Add orders to a row, except those that conflict with it or don't fit into memory.

    :returns: the updated row, and an error for each rejected order.
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
    if any(_conflicts(other, order) for other in row.open_orders):
        return "a conflicting order is open"
    if order.kind in LOAD_KINDS and order.item in row.resident:
        return "the item is already resident"
    if order.kind is OrderKind.LOAD_ADAPTER and adapter and model not in row.resident:
        return "the adapter's model is not resident"
    if order.kind in UNLOAD_KINDS and order.item not in row.resident:
        return "the item is not resident"
    bound = memory_bound(attrs.evolve(row, orders=(*row.orders, order)))
    if bound > row.memory and bound > memory_bound(row):
        return f"needs {bound} bytes, but the engine has {row.memory}"
    return ""


def _conflicts(first: Order, second: Order) -> bool:
    if first.item == second.item:
        return True
    if OrderKind.SET_ROLE in (first.kind, second.kind):
        return first.kind is second.kind
    # Adapters are not loaded or unloaded while an order for their model is open.
    return first.item.startswith(second.item + "/") or second.item.startswith(first.item + "/")


def affected_models(row: EndpointRow, order: Order) -> frozenset[str]:
    """Return the models that an order may make unreachable on the endpoint."""
    if order.kind is OrderKind.UNLOAD_MODEL:
        return frozenset({order.item})
    return resident_models(row) if _changes_role(row, order) else frozenset()


def resident_models(row: EndpointRow) -> frozenset[str]:
    """Return the resident models without adapters."""
    return frozenset(item for item in row.resident if "/" not in item)


def other_copies(rows: Iterable[EndpointRow], row: EndpointRow, model: str) -> list[str]:
    """Return the other endpoints on which a model is reachable, ordered by id."""
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
    """Check that enough copies remain if models become unreachable on an endpoint.

    :param rows: rows of all endpoints, as read from the store.
    :param required_by_model: copies that must remain reachable, 0 for models not listed.
    :returns: the endpoints with the remaining copies; the transaction must check that their rows
        are unchanged.
    """
    rows = list(rows)
    checked_endpoints: set[str] = set()
    for model in sorted(models):
        required = required_by_model.get(model, 0)
        others = other_copies(rows, row, model)
        if len(others) < required:
            reason = f"{len(others)} other copies of {model!r} are reachable, {required} required"
            return Err(StepError("ledger", row.endpoint, reason))
        checked_endpoints.update(others[:required])
    return Ok(frozenset(checked_endpoints))


def take_over(row: EndpointRow, node: str, incarnation: int) -> EndpointRow:
    """Make a node the holder and increment the fencing token."""
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
    """Context in which an observer interprets an engine's report.

    :ivar send_ended_at: returns the time at which the observer learned that an order is not sent
        again, None while it may be.
    :ivar max_delay: seconds after which an order that was sent can no longer arrive.
    :ivar checks_fencing: true when the engine refuses orders with an older fencing token.
    :ivar row_changed_at: time at which the observer last wrote the row or saw a change of it. Older
        reports are ignored for items without an order.
    :ivar size_of: returns the size and version of an item according to the documents.
    """

    send_ended_at: SendEndedAt
    max_delay: float
    checks_fencing: bool = False
    row_changed_at: float = -math.inf
    size_of: Callable[[str], Resident | None] = lambda item: None


def apply_report(row: EndpointRow, report: Report, context: ReportContext) -> EndpointRow:
    """Update a row from a report requested after the row was read."""
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
    """Clear the resident items and reopen all orders, because each may arrive at the new boot."""
    past_boots = (*row.past_boots, row.boot_id)[-MAX_PAST_BOOTS:] if row.boot_id else row.past_boots
    orders = tuple(attrs.evolve(order, state=OrderState.OPEN) for order in row.orders)
    return attrs.evolve(
        row,
        boot_id=report.boot_id,
        past_boots=past_boots,
        resident={},
        role=report.role,
        orders=orders,
        ejected=False,
    )


def _apply_to_order(
    row: EndpointRow, order: Order, report: Report, context: ReportContext
) -> EndpointRow:
    send_ended_at = context.send_ended_at(order)
    cannot_arrive = (
        send_ended_at is not None and report.taken_at >= send_ended_at + context.max_delay
    )
    if order.state is OrderState.CLOSED:
        return _replace_order(row, order, None) if cannot_arrive else row
    progress = report.progress_by_order.get(order.order_id)
    is_fenced = context.checks_fencing and report.fencing > order.fencing
    if progress is Progress.RUNNING or (progress is None and not cannot_arrive and not is_fenced):
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
    is_present = order.item in report.models | report.adapters
    return is_present == (order.kind in LOAD_KINDS)


def _replace_order(row: EndpointRow, order: Order, replacement: Order | None) -> EndpointRow:
    orders = (replacement if other.order_id == order.order_id else other for other in row.orders)
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
    """Apply changes that no order explains, such as models loaded when the engine started.

    Memory in use beyond the items of known size is divided equally among the items of unknown size.

    :param ordered_items: items with an open order, for which the report may be outdated.
    """
    reported = report.models | report.adapters
    unordered_items = {
        item
        for item in reported | row.resident.keys()
        if not {item, item.split("/")[0]} & ordered_items
    }
    resident = {k: v for k, v in row.resident.items() if k in reported or k not in unordered_items}
    added_items = sorted((reported & unordered_items) - resident.keys())
    sizes = {item: context.size_of(item) for item in added_items}
    known_memory = sum(size.memory for size in sizes.values() if size)
    known_memory += sum(value.memory for value in resident.values())
    unknown_items = [item for item in added_items if sizes[item] is None]
    share_of_unknown = (
        math.ceil(max(0, report.used - known_memory) / len(unknown_items)) if unknown_items else 0
    )
    resident |= {item: sizes[item] or Resident(share_of_unknown) for item in added_items}
    return row if resident == row.resident else attrs.evolve(row, resident=resident)


def encode_row(row: EndpointRow) -> dict[str, Any]:
    """Encode a row as a JSON object."""
    return attrs.asdict(row)


def decode_row(value: dict[str, Any]) -> EndpointRow:
    """Decode a row from a JSON object.

    :raises KeyError, TypeError, ValueError: if the object is not a ledger row.
    """
    if not isinstance(value, dict) or not isinstance(value["resident"], dict):
        raise TypeError("the row or its resident items are not JSON objects")
    items = value["resident"].items()
    resident = {item: _check_types(Resident(**entry)) for item, entry in items}
    orders = tuple(_decode_order(order) for order in value["orders"])
    past_boots = tuple(value["past_boots"])
    if not all(isinstance(boot, str) for boot in past_boots):
        raise TypeError("past_boots is not a list of strings")
    decoded_fields = {"resident": resident, "orders": orders, "past_boots": past_boots}
    return _check_types(EndpointRow(**(value | decoded_fields)))


def _check_types(value: T) -> T:
    for field in attrs.fields(type(value)):
        field_value = getattr(value, field.name)
        if field.type in (int, str, bool) and type(field_value) is not field.type:
            raise TypeError(f"{field.name!r} is not of type {field.type.__name__}")
        # A negative size would make the memory bound too low.
        if field.type is int and field_value < 0:
            raise ValueError(f"{field.name!r} is negative")
    return value


def _decode_order(value: dict[str, Any]) -> Order:
    kind, state = OrderKind(value["kind"]), OrderState(value["state"])
    return _check_types(Order(**(value | {"kind": kind, "state": state})))
