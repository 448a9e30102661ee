"""Resident models and adapters and the role of an emulated engine, changed by orders."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

LOAD_KINDS = ("load_model", "load_adapter")
UNLOAD_KINDS = ("unload_model", "unload_adapter")
ROLES = ("mixed", "prefill", "decode")
KINDS = (*LOAD_KINDS, *UNLOAD_KINDS, "set_role")


@attrs.frozen(kw_only=True)
class Order:
    """A received order.

    :ivar item: model, ``model/adapter`` or role.
    :ivar memory: bytes that the item occupies.
    :ivar fencing: fencing token of the sender.
    """

    order_id: str
    kind: str
    item: str
    memory: int = 0
    fencing: int = 0
    sender: str = ""


def read_order(value: dict[str, Any]) -> Order:
    """Decode an order of the engine protocol.

    :raises ValueError: if a field is missing or has a wrong type.
    """
    try:
        order = Order(**value)
    except TypeError as error:
        raise ValueError(f"order can't be read: {error}") from error
    if order.kind not in KINDS:
        raise ValueError(f"order kind {order.kind!r} is none of {', '.join(KINDS)}")
    if type(order.memory) is not int or type(order.fencing) is not int or order.memory < 0:
        raise ValueError("'memory' and 'fencing' must be whole numbers")
    return order


@attrs.frozen(kw_only=True)
class LoadTimes:
    """Duration of each kind of order, in seconds."""

    load_model: float = 0.5
    unload_model: float = 0.1
    load_adapter: float = 0.02
    unload_adapter: float = 0.005
    set_role: float = 0.2


# Waits for permission to load; returns a factor of the load time and a callback that ends the load.
LoadPermit = Callable[[str], Awaitable[tuple[float, Callable[[], Awaitable[None]]]]]


class Residency:
    """Resident items, pending changes and their memory; confined to one event loop.

    :param memory: accelerator memory in bytes.
    :param checks_fencing: refuse orders with a fencing token below the highest one received.
    :param permit: awaited before each load.
    """

    def __init__(
        self, memory: int, times: LoadTimes, checks_fencing: bool, permit: LoadPermit | None = None
    ) -> None:
        self.memory = memory
        self.overcommits = 0
        self._times = times
        self._checks_fencing = checks_fencing
        self._permit = permit
        self._tasks: set[asyncio.Task] = set()
        self.clear()

    def clear(self) -> None:
        """Discard all state but ``overcommits``, as a restart of the engine does."""
        for task in list(self._tasks):
            task.cancel()
        self.fencing = 0
        self.role = "mixed"
        self.status_by_order: dict[str, str] = {}
        self._memory_by_item: dict[str, int] = {}
        self._loading_memory_by_item: dict[str, int] = {}
        self._role_memory = 0
        self._next_role_memory = 0
        self._role_change_active = False

    @property
    def used(self) -> int:
        """Return the bytes in use, including loads in progress and the larger role of a change."""
        role = max(self._role_memory, self._next_role_memory)
        return (
            sum(self._memory_by_item.values()) + sum(self._loading_memory_by_item.values()) + role
        )

    def list_models(self) -> list[str]:
        """Return the resident models."""
        return sorted(item for item in self._memory_by_item if "/" not in item)

    def list_adapters(self) -> list[str]:
        """Return the resident adapters as ``model/adapter``."""
        return sorted(item for item in self._memory_by_item if "/" in item)

    def is_resident(self, item: str) -> bool:
        """Return whether a model, or an adapter and its model, can serve requests."""
        return item in self._memory_by_item and item.partition("/")[0] in self._memory_by_item

    def preload(self, memory_by_item: dict[str, int]) -> None:
        """Make items resident without a load."""
        self._memory_by_item.update(memory_by_item)
        self._count_overcommit()

    def accept(self, order: Order) -> str:
        """Accept an order; returns the reason of a refusal, or an empty string.

        A repeated order is accepted without a second effect.
        """
        if order.order_id in self.status_by_order:
            return "stale" if self.status_by_order[order.order_id] == "stale" else ""
        if self._checks_fencing:
            if order.fencing < self.fencing:
                self.status_by_order[order.order_id] = "stale"
                return "stale"
            self.fencing = order.fencing
        self.status_by_order[order.order_id] = "running"
        task = asyncio.get_running_loop().create_task(self._execute(order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return ""

    async def _execute(self, order: Order) -> None:
        failure = self._find_rejection_reason(order)
        if not failure:
            run = {"set_role": self._set_role}.get(order.kind)
            run = run or (self._load if order.kind in LOAD_KINDS else self._unload)
            failure = await run(order)
        self.status_by_order[order.order_id] = f"failed: {failure}" if failure else "done"

    def _find_rejection_reason(self, order: Order) -> str:
        model = order.item.partition("/")[0]
        if order.kind == "set_role":
            return "" if order.item in ROLES else f"role {order.item!r} does not exist"
        if order.kind.endswith("adapter") != ("/" in order.item):
            return f"{order.item!r} does not fit {order.kind}"
        if order.kind == "load_adapter" and model not in self._memory_by_item:
            return f"model {model!r} is not resident"
        if order.kind in LOAD_KINDS and order.item in self._loading_memory_by_item:
            return f"{order.item!r} is being loaded by another order"
        return ""

    async def _load(self, order: Order) -> str:
        if order.item in self._memory_by_item:
            return ""
        self._loading_memory_by_item[order.item] = order.memory
        try:
            if self._count_overcommit():
                return "out of memory"
            factor, end_load = await self._permit(order.kind) if self._permit else (1.0, None)
            try:
                await asyncio.sleep(getattr(self._times, order.kind) * factor)
            finally:
                if end_load:
                    await end_load()
            if order.kind == "load_adapter" and order.item.partition("/")[0] not in (
                self._memory_by_item
            ):
                return "its model was unloaded"
            self._memory_by_item[order.item] = order.memory
            return ""
        except PermissionError as error:
            return str(error)
        finally:
            self._loading_memory_by_item.pop(order.item, None)

    async def _unload(self, order: Order) -> str:
        await asyncio.sleep(getattr(self._times, order.kind))
        self._memory_by_item.pop(order.item, None)
        for adapter in [a for a in self._memory_by_item if a.startswith(f"{order.item}/")]:
            del self._memory_by_item[adapter]
        return ""

    async def _set_role(self, order: Order) -> str:
        if self._role_change_active:
            return "another role change is in progress"
        self._next_role_memory = order.memory
        if self._count_overcommit():
            self._next_role_memory = 0
            return "out of memory"
        self._role_change_active = True
        await asyncio.sleep(self._times.set_role)
        self._role_change_active = False
        self.role, self._role_memory, self._next_role_memory = order.item, order.memory, 0
        return ""

    def _count_overcommit(self) -> bool:
        is_overcommitted = self.used > self.memory
        self.overcommits += is_overcommitted
        return is_overcommitted
