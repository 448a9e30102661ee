"""State machine: accepted changes persist, and no instance reverts, under any fault."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from result import Err, Ok, Result

from catkinhook.emulators.inmemory import MemoryTable
from catkinhook.errors import Effect, StepError, StoreError
from catkinhook.state.configuration import ConfigurationPoller, ConfigurationStore
from catkinhook.state.configurationchanges import Change, ChangeBatch
from tests.test_configuration import render_document
from tests.test_gossip import UnreliableTable

SERVICES = ("a", "b")
MODELS = ("", "summary")
# Faults, disconnections and stale versions are rarer than plain edits, so that changes get
# accepted.
FAULTS = ("", "", "", "lose_answers", "lose_writes", "hold_writes")
RARELY_TRUE = st.sampled_from((False, False, False, True))
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
        self.isolated = [False] * INSTANCES
        self.pollers = [self.start_instance(index) for index in range(INSTANCES)]
        self.highest_number = [0] * INSTANCES
        self.accepted: dict[int, Change] = {}
        self.refused: set[str] = set()
        self.edit_count = 0

    def start_instance(self, index: int) -> ConfigurationPoller:
        store = ConfigurationStore(self.tables[index])
        return ConfigurationPoller(
            store, lambda after: self.ask_peer(index, after), 2.0, 15.0, lambda: 0.0
        )

    def ask_peer(self, index: int, after: int) -> Result[ChangeBatch, StepError]:
        for other in range(INSTANCES):
            state = self.pollers[other].state
            if (
                other != index
                and state.loaded
                and not self.isolated[index]
                and not self.isolated[other]
            ):
                return Ok(state.changes_after(after))
        return Err(StepError("peers", "", "no peer answers"))

    @rule(
        index=INDEXES,
        service=st.sampled_from(SERVICES),
        model=st.sampled_from(MODELS),
        fault=st.sampled_from(FAULTS),
        stale=RARELY_TRUE,
        withdraw=RARELY_TRUE,
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
        current = store.read(service).unwrap_or(None)
        version = (current.version if current else 0) - stale
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
        current = store.read(service).unwrap_or(None)
        self.submit(store, service, model, current.version if current else 0, False)

    def submit(
        self, store: ConfigurationStore, service: str, model: str, version: int, withdraw: bool
    ) -> None:
        self.edit_count += 1
        text = render_document(service, f"owner{self.edit_count}", model)
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
    def apply_held_writes(self) -> None:
        self.table.apply_held_writes()

    @rule(index=INDEXES, interrupt=POLL_INTERRUPTS, service=st.sampled_from(SERVICES))
    def poll(self, index: int, interrupt: int, service: str) -> None:
        self.tables[index].interrupt(interrupt, lambda: self.submit_other(service, ""))
        self.pollers[index].poll()
        self.tables[index].interrupt(0, None)

    @rule(index=INDEXES, other=INDEXES)
    def gossip(self, index: int, other: int) -> None:
        if index != other and not self.isolated[index] and not self.isolated[other]:
            self.pollers[index].record_peer_number(self.pollers[other].state.number)

    @rule(index=INDEXES, down=st.booleans(), isolated=RARELY_TRUE)
    def set_connectivity(self, index: int, down: bool, isolated: bool) -> None:
        self.tables[index].down = down
        self.isolated[index] = isolated

    @rule(down=RARELY_TRUE)
    def set_store_down(self, down: bool) -> None:
        self.table.faults.down = down

    @rule(index=INDEXES)
    def restart(self, index: int) -> None:
        self.pollers[index] = self.start_instance(index)
        self.highest_number[index] = 0

    @rule()
    def reconnect_all(self) -> None:
        """Reconnect all instances; each reaches the newest number within two polls."""
        self.table.faults.down = False
        self.table.apply_held_writes()
        for index in range(INSTANCES):
            self.set_connectivity(index, False, False)
        head = ConfigurationStore(self.table).read_number().unwrap()
        for poller in self.pollers:
            poller.poll()
            if poller.state.number < head:
                poller.poll()
            assert poller.state.number == head, (poller.state.number, head)

    @invariant()
    def never_reverts(self) -> None:
        for index, poller in enumerate(self.pollers):
            assert poller.state.number >= self.highest_number[index]
            self.highest_number[index] = poller.state.number

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
        for poller in self.pollers:
            expected: dict[str, str] = {}
            for number in range(1, poller.state.number + 1):
                expected[log[number]["service"]] = log[number]["body"]
            changes = poller.state.change_by_service.values()
            assert {change.service: change.body for change in changes} == expected
            in_force = {service for service, body in expected.items() if body}
            assert set(poller.state.catalog.document_by_service) == in_force


ConfigurationMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=50, deadline=None, derandomize=True, database=None
)


class ConfigurationMachineTest(ConfigurationMachine.TestCase):
    """Runs the machine."""


if __name__ == "__main__":
    unittest.main()
