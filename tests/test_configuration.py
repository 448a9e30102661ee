"""Configuration: an accepted change takes effect everywhere within seconds and never reverts."""

import threading
import unittest

import attrs
from result import Err, Ok, Result

from catkinhook.emulators.inmemory import MemoryTable
from catkinhook.errors import Effect, StepError, StoreError
from catkinhook.state.configuration import (
    CHANGES,
    CHANGES_PAGE_SIZE,
    ConfigurationPoller,
    ConfigurationStore,
    DocumentConflict,
    DocumentFaults,
)
from catkinhook.state.configurationchanges import ChangeBatch, Configuration, apply_batch
from catkinhook.state.tableservice import Write


def render_document(service: str, owner: str = "jusoor", model: str = "") -> str:
    text = f"service: {service}\nowner: {owner}\n"
    return text + (f"models:\n  - {{name: {model}, memory: 1GiB}}\n" if model else "")


def no_peer(after: int) -> Result[ChangeBatch, StepError]:
    return Err(StepError("peers", "", "no peer answers"))


class StoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = MemoryTable()
        self.store = ConfigurationStore(self.table)

    def test_lost_answer_is_read_back(self) -> None:
        """Guards against reporting an accepted change as failed, or applying it twice."""
        self.table.faults.lose_answers = 1
        change = self.store.commit("desk", render_document("desk"), 0, "amal").unwrap()
        self.assertEqual((change.number, change.version), (1, 1))
        self.assertEqual(self.store.read_number().unwrap(), 1)

    def test_delayed_commit_takes_effect_once(self) -> None:
        """Guards against a delayed transaction that reverts a later change."""
        self.table.faults.hold_writes = 1
        self.store.commit("desk", render_document("desk"), 0, "amal").unwrap()
        self.store.commit("desk", render_document("desk", "kegyelet"), 1, "bela").unwrap()
        self.table.apply_held_writes()
        self.assertIn("kegyelet", self.store.read("desk").unwrap().body)
        self.assertEqual(self.store.read_number().unwrap(), 2)

    def test_delayed_commit_that_arrives_before_its_repeat_is_accepted(self) -> None:
        """Guards against reporting an accepted change as a conflict with another operator."""
        commit, calls = self.table.commit, []

        def deliver_first(checks, writes):
            calls.append(self.table.apply_held_writes())
            return commit(checks, writes)

        self.table.commit = deliver_first
        self.table.faults.hold_writes = 1
        change = self.store.commit("desk", render_document("desk"), 0, "amal").unwrap()
        self.assertEqual((calls, change.number), ([0, 1], 1))

    def test_unsettled_outcome_is_reported_as_unknown(self) -> None:
        """Guards against reporting "not written" for a change that may still take effect."""
        commit = self.table.commit

        def lose_answer_and_go_down(checks, writes):
            commit(checks, writes)
            self.table.faults.down = True
            return Err(StoreError("tables", "memory", "answer lost", Effect.UNKNOWN))

        self.table.commit = lose_answer_and_go_down
        error = self.store.commit("desk", render_document("desk"), 0, "amal").unwrap_err()
        self.assertIs(error.effect, Effect.UNKNOWN)

    def test_racing_operator_gets_the_current_text_and_a_diff(self) -> None:
        text = render_document("desk")
        self.store.commit("desk", text, 0, "amal").unwrap()
        self.store.commit("desk", text.replace("jusoor", "first"), 1, "bela").unwrap()
        conflict = self.store.commit("desk", text.replace("jusoor", "second"), 1, "amal")
        error = conflict.unwrap_err()
        self.assertIsInstance(error, DocumentConflict)
        self.assertIn("first", error.current.body)
        self.assertIn("-owner: first\n+owner: second", error.diff)

    def test_last_write_wins_loses_a_change(self) -> None:
        """Shows that without the version check one of two concurrent changes is lost."""

        def race(commit) -> set[str]:
            self.table = MemoryTable()
            store = ConfigurationStore(self.table)
            store.commit("desk", render_document("desk"), 0, "setup").unwrap()
            current = store.read("desk").unwrap()
            accepted = {owner for owner in ("first", "second") if commit(store, current, owner)}
            bodies = {c.body for c in store.read_history().unwrap()}
            return {owner for owner in accepted if render_document("desk", owner) not in bodies}

        def commit_naively(store: ConfigurationStore, current, owner: str) -> bool:
            value = attrs.asdict(current) | {"body": render_document("desk", owner), "number": 2}
            names = [(CHANGES, f"{2:012d}"), ("documents", "desk")]
            return self.table.commit([], [Write(*name, value) for name in names]).is_ok()

        def commit_checked(store: ConfigurationStore, current, owner: str) -> bool:
            return store.commit(
                "desk", render_document("desk", owner), current.version, owner
            ).is_ok()

        def commit_without_check(store, current, owner):
            is_accepted = commit_naively(store, current, owner)
            head = self.table.read("heads", "configuration").unwrap().value | {"number": 2}
            self.table.commit([], [Write("heads", "configuration", head)]).unwrap()
            return is_accepted

        self.assertEqual(race(commit_without_check), {"first"})
        self.assertEqual(race(commit_checked), set())

    def test_concurrent_edits_lose_no_change(self) -> None:
        accepted: list[str] = []

        def edit(owner: str) -> None:
            store = ConfigurationStore(self.table)
            for index in range(10):
                current = store.read("desk").unwrap()
                text = render_document("desk", f"{owner}{index}")
                if store.commit("desk", text, current.version if current else 0, owner).is_ok():
                    accepted.append(text)

        threads = [threading.Thread(target=edit, args=(f"o{n}",)) for n in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(30)
        bodies = [change.body for change in self.store.read_history().unwrap()]
        self.assertEqual(sorted(bodies), sorted(accepted))

    def test_concurrent_changes_cannot_give_one_model_to_two_services(self) -> None:
        """Guards against checking model ownership on a catalog that is older than the head."""
        commit = self.table.commit
        other = ConfigurationStore(self.table)

        def commit_after_other(checks, writes):
            self.table.commit = commit
            other.commit("b", render_document("b", model="summary"), 0, "bela").unwrap()
            return commit(checks, writes)

        self.table.commit = commit_after_other
        result = self.store.commit("a", render_document("a", model="summary"), 0, "amal")
        self.assertIsInstance(result.unwrap_err(), DocumentFaults)

    def test_history_and_catch_up_read_more_than_one_page(self) -> None:
        count = CHANGES_PAGE_SIZE * 2 + 1
        for number in range(count):
            text = render_document("desk", f"owner{number}")
            self.store.commit("desk", text, number, "amal").unwrap()
        self.store.commit("other", render_document("other"), 0, "amal").unwrap()
        self.assertEqual(self.store.read_changes_after(1).unwrap().number, count + 1)
        history = self.store.read_history("desk", count).unwrap()
        self.assertEqual([c.number for c in history], list(range(count, 0, -1)))

    def test_withdrawn_service_can_return(self) -> None:
        self.store.commit("desk", render_document("desk"), 0, "amal").unwrap()
        self.store.withdraw("desk", 1, "amal").unwrap()
        self.assertTrue(self.store.withdraw("desk", 2, "amal").is_err())
        self.assertEqual(
            self.store.commit("desk", render_document("desk"), 0, "a").unwrap().number, 3
        )


class PollerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = MemoryTable()
        self.store = ConfigurationStore(self.table)
        self.now = 0.0

    def make_poller(self, peer=no_peer, table: MemoryTable | None = None) -> ConfigurationPoller:
        store = ConfigurationStore(table or self.table)
        return ConfigurationPoller(store, peer, 2.0, 15.0, lambda: self.now)

    def test_change_arrives_from_a_peer_while_the_store_is_down(self) -> None:
        first = self.make_poller()
        self.store.commit("desk", render_document("desk"), 0, "amal").unwrap()
        first.poll()
        self.table.faults.down = True
        second = self.make_poller(lambda after: Ok(first.state.changes_after(after)))
        second.poll()
        self.assertIn("desk", second.state.catalog.document_by_service)

    def test_is_not_current_without_store_and_peers(self) -> None:
        poller = self.make_poller()
        self.assertFalse(poller.current)
        poller.poll()
        self.assertTrue(poller.current)
        self.table.faults.down = True
        self.now = 15.5
        poller.poll()
        self.assertFalse(poller.current)
        poller.record_peer_number(0)
        self.assertTrue(poller.current)

    def test_thread_applies_and_calls_back(self) -> None:
        called_back = threading.Event()
        poller = ConfigurationPoller(self.store, no_peer, 0.01, 15.0)
        poller.subscribe(lambda catalog: catalog.number == 1 and called_back.set())
        poller.start()
        self.store.commit("desk", render_document("desk"), 0, "amal").unwrap()
        self.assertTrue(called_back.wait(10))
        poller.close()

    def test_older_copy_is_not_applied(self) -> None:
        state = apply_batch(Configuration(), ChangeBatch(5), 0)
        self.assertIs(apply_batch(state, ChangeBatch(4), 0), state)
        self.assertIs(apply_batch(state, ChangeBatch(9), 6), state)


if __name__ == "__main__":
    unittest.main()
