"""Fake engines and a faulty network on a virtual clock, for tests of the control loop."""

from collections.abc import Sequence

import attrs
from result import Err, Ok, Result

from catkinhook.control.engineapi import Acknowledgement
from catkinhook.control.ledger import LOAD_KINDS, Order, OrderKind, Progress, Report
from catkinhook.errors import EngineError

MAX_DELAY = 30.0


class VirtualClock:
    """Clock that advances only when a test sets it."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


@attrs.define
class FakeEngine:
    """Engine that executes orders without checking whether they fit into its memory.

    :ivar boot: number of starts, part of the boot id.
    :ivar resident: sizes of the resident items in bytes.
    :ivar working: accepted orders that are not complete, by id.
    :ivar progress: progress of all orders received since the last start, by id.
    """

    memory: int = 100
    checks_fencing: bool = False
    boot: int = 1
    role: str = "mixed"
    resident: dict[str, int] = attrs.Factory(dict)
    working: dict[str, Order] = attrs.Factory(dict)
    progress: dict[str, Progress] = attrs.Factory(dict)
    fencing: int = 0
    leaving: bool = False
    running: int = 0

    @property
    def used(self) -> int:
        """Return the bytes in use, including loads in progress."""
        loading = {o.item: o.memory for o in self.working.values() if o.kind in LOAD_KINDS}
        return sum((loading | self.resident).values())

    def receive(self, order: Order) -> Progress:
        """Receive one copy of an order."""
        if order.order_id in self.progress:
            return self.progress[order.order_id]
        stale = self.checks_fencing and order.fencing < self.fencing
        self.progress[order.order_id] = Progress.STALE if stale else Progress.RUNNING
        if not stale:
            self.fencing = max(self.fencing, order.fencing)
            self.working[order.order_id] = order
        return self.progress[order.order_id]

    def finish(self, order_id: str) -> None:
        """Complete an order."""
        order = self.working.pop(order_id)
        self.progress[order_id] = Progress.DONE
        if order.kind in LOAD_KINDS:
            self.resident[order.item] = order.memory
        elif order.kind is OrderKind.SET_ROLE:
            self.role = order.item
        else:
            for item in [i for i in self.resident if f"{i}/".startswith(f"{order.item}/")]:
                del self.resident[item]

    def restart(self) -> None:
        """Restart: lose models, orders and the fencing token."""
        self.boot += 1
        self.role, self.fencing = "mixed", 0
        self.resident, self.working, self.progress = {}, {}, {}

    def report(self, now: float) -> Report:
        """Return an up-to-date report."""
        return Report(
            boot_id=f"boot-{self.boot}",
            taken_at=now,
            memory=self.memory,
            used=self.used,
            role=self.role,
            leaving=self.leaving,
            running=self.running,
            models=frozenset(item for item in self.resident if "/" not in item),
            adapters=frozenset(item for item in self.resident if "/" in item),
            progress_by_order=dict(self.progress),
            fencing=self.fencing,
        )


@attrs.frozen
class Message:
    """A copy of an order in flight; it is delivered before the deadline or never."""

    address: str
    order: Order
    deadline: float


class FakeNetwork:
    """Engines behind a network that delays, duplicates and drops copies of orders.

    :ivar receive: called with address and order when a copy is delivered.
    :ivar copies: number of copies of the next orders; undelivered ones stay in flight.
    :ivar delivers_copy: whether one copy is delivered immediately and answered.
    :ivar silent: addresses of engines that do not answer.
    """

    def __init__(self, clock: VirtualClock, engines: dict[str, FakeEngine]) -> None:
        self.engines = engines
        self.clock = clock
        self.in_flight: list[Message] = []
        self.copies = 1
        self.delivers_copy = True
        self.silent: set[str] = set()

    def receive(self, address: str, order: Order) -> Progress:
        """Deliver a copy of an order to an engine."""
        return self.engines[address].receive(order)

    def send(self, address: str, orders: Sequence[Order]) -> Result[Acknowledgement, EngineError]:
        """Send orders; the error means that no answer arrived, whatever was delivered."""
        copies, delivers_copy = self.copies, self.delivers_copy
        self.copies, self.delivers_copy = 1, True
        deadline = self.clock() + MAX_DELAY
        late = [order for order in orders for _ in range(copies - delivers_copy)]
        self.in_flight += [Message(address, order, deadline) for order in late]
        if not delivers_copy or address in self.silent:
            return Err(EngineError("engines", address, "no answer"))
        answers = {order.order_id: self.receive(address, order) for order in orders}
        stale = {key: answer for key, answer in answers.items() if answer is Progress.STALE}
        boot_id = f"boot-{self.engines[address].boot}"
        accepted = frozenset(answers.keys() - stale.keys())
        return Ok(Acknowledgement(boot_id=boot_id, accepted=accepted, refused=stale))

    def report(self, address: str) -> Result[Report, EngineError]:
        """Return an engine's report, or an error if the engine is silent."""
        if address in self.silent:
            return Err(EngineError("engines", address, "no answer"))
        return Ok(self.engines[address].report(self.clock()))

    def plain_report(self, address: str) -> Result[Report, EngineError]:
        """Return the report of a plain endpoint."""
        return self.report(address)

    def deliver(self, index: int) -> None:
        """Deliver a copy that is in flight."""
        message = self.in_flight.pop(index)
        self.receive(message.address, message.order)

    def advance(self, seconds: float) -> None:
        """Advance the clock; copies past their deadline are lost."""
        self.clock.now += seconds
        self.in_flight = [m for m in self.in_flight if m.deadline > self.clock.now]

    def boots(self) -> list[int]:
        """Return the boot number of each engine."""
        return [engine.boot for engine in self.engines.values()]
