"""Endpoint ledger: what may be resident on an endpoint, and which orders may still change it.

All functions are pure. Orders are written ahead, so the row is an upper bound of the engine's
memory and a lower bound of the copies that callers can reach, whoever holds the endpoint.
"""

import enum
import math
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import attrs
from result import Err, Ok, Result

from catkinhook.errors import StepError

# A report of an earlier boot may arrive after a later one, so the last boots are remembered.
PAST_BOOTS = 16

T = TypeVar("T")


class OrderKind(enum.StrEnum):
    """Kind of an order in the engines' protocol."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"


LOADS = frozenset({OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER})
UNLOADS = frozenset({OrderKind.UNLOAD_MODEL, OrderKind.UNLOAD_ADAPTER})


class OrderState(enum.StrEnum):
    """State of an order in a row; an order that can no longer arrive is removed from the row."""

    OPEN = "open"
    # The outcome is known, but a copy may still arrive at a later boot of the engine.
    CLOSED = "closed"


@attrs.frozen(kw_only=True)
class Order:
    """One order to an engine.

    :ivar item: model, ``model/adapter`` or role.
    :ivar memory: bytes of the item; of the larger side for a role change.
    :ivar fencing: fencing token of the holder that wrote the order.
    :ivar sender: node that sends the order.
    :ivar incarnation: incarnation of the sender's controller.
    :ivar version: version of the model or adapter.
    :ivar ended: true when the sender has ended its last send call.
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

    :ivar version: empty when it was found on the engine and its version isn't known.
    """

    memory: int
    version: str = ""


@attrs.frozen(kw_only=True)
class EndpointRow:
    """Ledger row of one endpoint.

    :ivar memory: accelerator memory in bytes.
    :ivar live: false when the engine is leaving or does not answer its holder.
    :ivar ejected: true while the holder keeps new work away from the endpoint.
    :ivar resident: by model or ``model/adapter``.
    :ivar holder: node that writes the row.
    :ivar incarnation: incarnation of the holder's controller.
    :ivar fencing: raised by each takeover.
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
    """What an engine says about an order."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STALE = "stale"


@attrs.frozen(kw_only=True)
class Report:
    """An engine's report.

    :ivar taken_at: earliest time at which it can have been taken, on the reader's monotonic clock.
    :ivar fencing: highest fencing token of an order that this boot accepted.
    :ivar lag: seconds by which the load figures are late.
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
    """Return the most memory that the engine can use now or after a restart, in bytes.

    An item with an open unload is still resident in the row. A closed load counts while a copy of
    it may arrive at a later boot, so that such copies fit together with what is loaded meanwhile.
    """
    by_item = {item: resident.memory for item, resident in row.resident.items()}
    role_memory = row.role_memory
    for order in row.orders:
        if order.kind is OrderKind.SET_ROLE:
            role_memory = max(role_memory, order.memory)
        elif order.kind in LOADS:
            # An engine holds an item once, so an item and its load are not added up.
            by_item[order.item] = max(by_item.get(order.item, 0), order.memory)
    return sum(by_item.values()) + role_memory


def reachable_models(row: EndpointRow) -> frozenset[str]:
    """Return the items that callers reach on an endpoint, whatever becomes of its orders."""
    if not row.live or row.ejected:
        return frozenset()
    if any(_changes_role(row, order) for order in row.open_orders):
        return frozenset()
    return frozenset(row.resident) - unloading_items(row)


def _changes_role(row: EndpointRow, order: Order) -> bool:
    return order.kind is OrderKind.SET_ROLE and order.item != row.role


def unloading_items(row: EndpointRow) -> frozenset[str]:
    """Return the items with an open unload, and the resident adapters that go with their model."""
    items = {order.item for order in row.open_orders if order.kind in UNLOADS}
    adapters = {item for item in row.resident if item.partition("/")[0] in items}
    return frozenset(items | adapters)


def loading_items(row: EndpointRow) -> frozenset[str]:
    """Return the items with an open load that are not resident."""
    items = {order.item for order in row.open_orders if order.kind in LOADS}
    return frozenset(items - row.resident.keys())


def add_orders(row: EndpointRow, orders: Iterable[Order]) -> tuple[EndpointRow, list[StepError]]:
    """Write orders into a row, leaving out those that the row doesn't allow.

    :returns: the row and an error for each order left out.
    """
    errors: list[StepError] = []
    for order in orders:
        reason = _refuse(row, order)
        if reason:
            errors.append(StepError("ledger", row.endpoint, f"{order.kind} {order.item}: {reason}"))
        else:
            row = attrs.evolve(row, orders=(*row.orders, order))
    return row, errors


def _refuse(row: EndpointRow, order: Order) -> str:
    model, _, adapter = order.item.partition("/")
    if any(other.order_id == order.order_id for other in row.orders):
        return "the row already has an order with this id"
    if any(_overlap(other, order) for other in row.open_orders):
        return "another order for it is open"
    if order.kind in LOADS and order.item in row.resident:
        return "already resident"
    if order.kind is OrderKind.LOAD_ADAPTER and adapter and model not in row.resident:
        return "its model is not resident"
    if order.kind in UNLOADS and order.item not in row.resident:
        return "not resident"
    bound = memory_bound(attrs.evolve(row, orders=(*row.orders, order)))
    if bound > row.memory and bound > memory_bound(row):
        return f"needs {bound} bytes of {row.memory}"
    return ""


def _overlap(first: Order, second: Order) -> bool:
    if first.item == second.item:
        return True
    if OrderKind.SET_ROLE in (first.kind, second.kind):
        return first.kind is second.kind
    # An adapter neither arrives nor leaves while an order for its model is open.
    return first.item.startswith(second.item + "/") or second.item.startswith(first.item + "/")


def affected_models(row: EndpointRow, order: Order) -> frozenset[str]:
    """Return the models whose copy on this endpoint an order may take from callers."""
    if order.kind is OrderKind.UNLOAD_MODEL:
        return frozenset({order.item})
    return resident_models(row) if _changes_role(row, order) else frozenset()


def resident_models(row: EndpointRow) -> frozenset[str]:
    """Return the resident models without adapters."""
    return frozenset(item for item in row.resident if "/" not in item)


def other_copies(rows: Iterable[EndpointRow], row: EndpointRow, model: str) -> list[str]:
    """Return the other endpoints that surely serve a model, in order of their ids."""
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
    :returns: the endpoints that were counted, whose rows the transaction must check.
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


def end_sends(row: EndpointRow, order_ids: Iterable[str]) -> EndpointRow:
    """Record that the sender of orders will not send them again."""
    ids = frozenset(order_ids)
    orders = tuple(
        attrs.evolve(order, ended=True) if order.order_id in ids else order for order in row.orders
    )
    return attrs.evolve(row, orders=orders)


# When an observer learned, on its monotonic clock, that an order will not be sent again.
SendEnd = Callable[[Order], float | None]


@attrs.frozen(kw_only=True)
class ReportContext:
    """How to judge an engine's reports.

    :ivar send_end: when the observer learned that an order won't be sent again, or None.
    :ivar max_delay: seconds after which an order that was sent can no longer arrive.
    :ivar checks_fencing: true when the engine refuses an order with an older token.
    :ivar settled_at: time of the observer's last write of the row; older reports say nothing
        about items without an order.
    :ivar size_of: memory in bytes and version of an item by the documents.
    """

    send_end: SendEnd
    max_delay: float
    checks_fencing: bool = False
    settled_at: float = -math.inf
    size_of: Callable[[str], Resident | None] = lambda item: None


def apply_report(row: EndpointRow, report: Report, evidence: ReportContext) -> EndpointRow:
    """Bring a row up to date with a report that was asked for after the row was read."""
    if report.boot_id in row.past_boots:
        return row
    if report.boot_id != row.boot_id:
        if report.taken_at < evidence.settled_at:
            return row
        row = _restart(row, report)
    touched = frozenset(order.item for order in row.open_orders)
    for order in row.orders:
        row = _apply_to_order(row, order, report, evidence)
    if report.taken_at >= evidence.settled_at:
        row = _adjust_resident(row, report, evidence, touched)
    return attrs.evolve(row, live=not report.leaving, memory=report.memory or row.memory)


def _restart(row: EndpointRow, report: Report) -> EndpointRow:
    """Empty the row, but open every order that may still arrive at the new boot."""
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
    row: EndpointRow, order: Order, report: Report, evidence: ReportContext
) -> EndpointRow:
    ended = evidence.send_end(order)
    arrived = ended is not None and report.taken_at >= ended + evidence.max_delay
    if order.state is OrderState.CLOSED:
        return _replace(row, order, None) if arrived else row
    progress = report.progress_by_order.get(order.order_id)
    fenced = evidence.checks_fencing and report.fencing > order.fencing
    if progress is Progress.RUNNING or (progress is None and not arrived and not fenced):
        return row
    took_effect = progress is Progress.DONE
    if progress is None:
        took_effect = _shows_effect(order, report)
    row = _replace(row, order, None if arrived else attrs.evolve(order, state=OrderState.CLOSED))
    return _take_effect(row, order) if took_effect else row


def _shows_effect(order: Order, report: Report) -> bool:
    if order.kind is OrderKind.SET_ROLE:
        return report.role == order.item
    present = order.item in report.models | report.adapters
    return present == (order.kind in LOADS)


def _replace(row: EndpointRow, order: Order, by: Order | None) -> EndpointRow:
    orders = (by if other.order_id == order.order_id else other for other in row.orders)
    return attrs.evolve(row, orders=tuple(other for other in orders if other is not None))


def _take_effect(row: EndpointRow, order: Order) -> EndpointRow:
    if order.kind is OrderKind.SET_ROLE:
        return attrs.evolve(row, role=order.item, role_memory=order.memory)
    resident = dict(row.resident)
    if order.kind in LOADS:
        resident[order.item] = Resident(order.memory, order.version)
    else:
        resident.pop(order.item, None)
        if order.kind is OrderKind.UNLOAD_MODEL:
            resident = {k: v for k, v in resident.items() if not k.startswith(order.item + "/")}
    return attrs.evolve(row, resident=resident)


def _adjust_resident(
    row: EndpointRow, report: Report, evidence: ReportContext, touched: frozenset[str]
) -> EndpointRow:
    """Follow changes that no order explains, such as models that the engine came with.

    :param touched: items that had an open order, for which the lists of the report may be late.
    """
    shown = report.models | report.adapters
    settled = {k for k in shown | row.resident.keys() if not {k, k.split("/")[0]} & touched}
    resident = {k: v for k, v in row.resident.items() if k in shown or k not in settled}
    added = sorted((shown & settled) - resident.keys())
    sizes = {item: evidence.size_of(item) for item in added}
    known = sum(size.memory for size in sizes.values() if size)
    known += sum(value.memory for value in resident.values())
    unknown = [item for item in added if sizes[item] is None]
    share = math.ceil(max(0, report.used - known) / len(unknown)) if unknown else 0
    resident |= {item: sizes[item] or Resident(share) for item in added}
    return row if resident == row.resident else attrs.evolve(row, resident=resident)


def encode_row(row: EndpointRow) -> dict[str, Any]:
    """Return a row as a JSON object."""
    return attrs.asdict(row)


def decode_row(value: dict[str, Any]) -> EndpointRow:
    """Read a row from a JSON object.

    :raises KeyError, TypeError, ValueError: if the object is not a ledger row.
    """
    if not isinstance(value, dict) or not isinstance(value["resident"], dict):
        raise TypeError("a row and its residents are objects")
    items = value["resident"].items()
    resident = {item: _check_types(Resident(**entry)) for item, entry in items}
    orders = tuple(_decode_order(order) for order in value["orders"])
    past = tuple(value["past_boots"])
    if not all(isinstance(boot, str) for boot in past):
        raise TypeError("past boots are texts")
    changes = {"resident": resident, "orders": orders, "past_boots": past}
    return _check_types(EndpointRow(**(value | changes)))


def _check_types(value: T) -> T:
    for field in attrs.fields(type(value)):
        found = getattr(value, field.name)
        if field.type in (int, str, bool) and type(found) is not field.type:
            raise TypeError(f"{field.name!r} is not of type {field.type.__name__}")
        # A negative size would lower the bound of memory.
        if field.type is int and found < 0:
            raise ValueError(f"{field.name!r} is negative")
    return value


def _decode_order(value: dict[str, Any]) -> Order:
    kind, state = OrderKind(value["kind"]), OrderState(value["state"])
    return _check_types(Order(**(value | {"kind": kind, "state": state})))
