"""State machine: accepted changes persist, and no instance reverts, under any fault."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from result import Err, Ok, Result

from catkinhook.emulators.memory import MemoryTable
from catkinhook.errors import Effect, StepError, StoreError
from catkinhook.state.changes import Change, ChangeBatch
from catkinhook.state.configuration import ConfigurationPoller, ConfigurationStore
from tests.test_configuration import render_document
from tests.test_gossip import UnreliableTable

SERVICES = ("a", "b")
MODELS = ("", "summary")
# Faults, disconnections and stale versions are rarer than plain edits, so that changes get
# accepted.
FAULTS = ("", "", "", "lose_answers", "lose_writes", "hold_writes")
RARELY = st.sampled_from((False, False, False, True))
# Number of the table call before which another operator's change takes effect; 0 for none.
EDIT_INTERRUPTS = st.integers(0, 6)
POLL_INTERRUPTS = st.integers(0, 3)
INSTANCES = 3
INDEXES = st.integers(0, INSTANCES - 1)


def _is_unknown(error: Exception) -> bool:
    return isinstance(error, StoreError) and error.effect is Effect.UNKNOWN


class BusyTable(UnreliableTable):
    """Connection to the store on which another change can take effect before the n-th call."""

    def __init__(self, table: MemoryTable) -> None:
        super().__init__(table)
        self._calls_left = 0
        self._interrupt = None

    def interrupt(self, calls: int, change) -> None:
        """Run ``change`` before the call with this number, counted from 1; 0 for never."""
        self._calls_left, self._interrupt = calls, change

    def __getattr__(self, method: str):
        call = super().__getattr__(method)

        def interrupted(*args, **options) -> Result:
            self._calls_left -= 1
            if self._calls_left == 0:
                self._interrupt()
            return call(*args, **options)

        return interrupted


class ConfigurationMachine(RuleBasedStateMachine):
    """Instances that share one store; each can be disconnected from the store and from peers."""

    @initialize()
    def set_up(self) -> None:
        self.table = MemoryTable()
        self.tables = [BusyTable(self.table) for _ in range(INSTANCES)]
        self.alone = [False] * INSTANCES
        self.watches = [self.start_instance(index) for index in range(INSTANCES)]
        self.highest = [0] * INSTANCES
        self.accepted: dict[int, Change] = {}
        self.refused: set[str] = set()
        self.edits = 0

    def start_instance(self, index: int) -> ConfigurationPoller:
        store = ConfigurationStore(self.tables[index])
        return ConfigurationPoller(
            store, lambda after: self.ask_peer(index, after), 2.0, 15.0, lambda: 0.0
        )

    def ask_peer(self, index: int, after: int) -> Result[ChangeBatch, StepError]:
        for other in range(INSTANCES):
            state = self.watches[other].state
            if other != index and state.loaded and not self.alone[index] and not self.alone[other]:
                return Ok(state.changes_after(after))
        return Err(StepError("peers", "", "no peer answers"))

    @rule(
        index=INDEXES,
        service=st.sampled_from(SERVICES),
        model=st.sampled_from(MODELS),
        fault=st.sampled_from(FAULTS),
        stale=RARELY,
        withdraw=RARELY,
        interrupt=EDIT_INTERRUPTS,
        other=st.sampled_from(SERVICES),
    )
    def edit(
        self,
        index: int,
        service: str,
        model: str,
        fault: str,
        stale: bool,
        withdraw: bool,
        interrupt: int,
        other: str,
    ) -> None:
        store = ConfigurationStore(self.tables[index])
        seen = store.read(service).unwrap_or(None)
        version = (seen.version if seen else 0) - stale
        self.tables[index].interrupt(interrupt, lambda: self.submit_other(other, model))
        if fault:
            setattr(self.table.faults, fault, 1)
        self.submit(store, service, model, version, withdraw)
        self.tables[index].interrupt(0, None)
        for name in filter(None, FAULTS):
            setattr(self.table.faults, name, 0)

    def submit_other(self, service: str, model: str) -> None:
        """Edit as another operator, through a separate connection."""
        store = ConfigurationStore(self.table)
        seen = store.read(service).unwrap_or(None)
        self.submit(store, service, model, seen.version if seen else 0, False)

    def submit(
        self, store: ConfigurationStore, service: str, model: str, version: int, withdraw: bool
    ) -> None:
        self.edits += 1
        text = render_document(service, f"owner{self.edits}", model)
        if withdraw:
            result = store.withdraw(service, version, "w")
        else:
            result = store.commit(service, text, version, "w")
        if result.is_ok():
            change = result.unwrap()
            assert change.number not in self.accepted
            self.accepted[change.number] = change
        elif not withdraw and not _is_unknown(result.unwrap_err()):
            self.refused.add(text)

    @rule()
    def deliver_late_writes(self) -> None:
        self.table.apply_held_writes()

    @rule(index=INDEXES, interrupt=POLL_INTERRUPTS, service=st.sampled_from(SERVICES))
    def poll(self, index: int, interrupt: int, service: str) -> None:
        self.tables[index].interrupt(interrupt, lambda: self.submit_other(service, ""))
        self.watches[index].poll()
        self.tables[index].interrupt(0, None)

    @rule(index=INDEXES, other=INDEXES)
    def gossip(self, index: int, other: int) -> None:
        if index != other and not self.alone[index] and not self.alone[other]:
            self.watches[index].record_peer_number(self.watches[other].state.number)

    @rule(index=INDEXES, down=st.booleans(), alone=RARELY)
    def cut(self, index: int, down: bool, alone: bool) -> None:
        self.tables[index].down = down
        self.alone[index] = alone

    @rule(down=RARELY)
    def cut_store_for_all(self, down: bool) -> None:
        self.table.faults.down = down

    @rule(index=INDEXES)
    def restart(self, index: int) -> None:
        self.watches[index] = self.start_instance(index)
        self.highest[index] = 0

    @rule()
    def heal(self) -> None:
        """Reconnect all instances; each reaches the newest number within two polls."""
        self.table.faults.down = False
        self.table.apply_held_writes()
        for index in range(INSTANCES):
            self.cut(index, False, False)
        head = ConfigurationStore(self.table).read_number().unwrap()
        for watch in self.watches:
            watch.poll()
            if watch.state.number < head:
                watch.poll()
            assert watch.state.number == head, (watch.state.number, head)

    @invariant()
    def never_reverts(self) -> None:
        for index, watch in enumerate(self.watches):
            assert watch.state.number >= self.highest[index]
            self.highest[index] = watch.state.number

    @invariant()
    def accepted_changes_stay(self) -> None:
        down, self.table.faults.down = self.table.faults.down, False
        log = {row.value["number"]: row.value for row in self.table.scan("changes").unwrap()}
        self.table.faults.down = down
        assert sorted(log) == list(range(1, len(log) + 1))
        assert not self.refused & {value["body"] for value in log.values()}
        for number, change in self.accepted.items():
            assert log[number]["nonce"] == change.nonce
        by_service = {value["service"]: value["body"] for _, value in sorted(log.items())}
        owners = [service for service, body in by_service.items() if "summary" in body]
        assert len(owners) <= 1, owners
        for watch in self.watches:
            expected: dict[str, str] = {}
            for number in range(1, watch.state.number + 1):
                expected[log[number]["service"]] = log[number]["body"]
            changes = watch.state.change_by_service.values()
            assert {change.service: change.body for change in changes} == expected
            in_force = {service for service, body in expected.items() if body}
            assert set(watch.state.catalog.document_by_service) == in_force


ConfigurationMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=50, deadline=None, derandomize=True, database=None
)


class ConfigurationMachineTest(ConfigurationMachine.TestCase):
    """Runs the machine."""


if __name__ == "__main__":
    unittest.main()
