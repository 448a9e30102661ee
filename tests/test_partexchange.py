"""Exchange of evidence about prompt parts between hosts: lifted quarantines, limits and cost."""

import random
import threading
import unittest
from unittest import mock

from catkinhook.peering.evidencepush import EvidencePush
from catkinhook.peering.partmessages import MAX_PART_EVENTS
from catkinhook.requests import partquarantine
from catkinhook.requests.partevidence import MAX_SUSPECTED_UNITS, list_units
from catkinhook.requests.partquarantine import (
    MAX_HOLD_S,
    MAX_QUARANTINES,
    PartEvent,
    PartEventKind,
    PartQuarantine,
    Quarantine,
)

MAX_AGE_S = 10.0
FIRST = "f1"
DEADLY = "d9"


def make_host() -> PartQuarantine:
    return PartQuarantine(lambda *change: None)


def make_units(*parts: str, model: str = "m1") -> tuple[str, ...]:
    return list_units("llm", model, parts)


def exchange(sender: PartQuarantine, receiver: PartQuarantine, now: float) -> bool:
    """Send a report to a host that answers with its own evidence; return what ``merge`` did."""
    is_new = receiver.merge(sender.events(now, MAX_PART_EVENTS, MAX_AGE_S), now)
    sender.merge(receiver.events(now, MAX_PART_EVENTS, MAX_AGE_S), now)
    return is_new


class QuarantineExchangeTest(unittest.TestCase):
    """Quarantines that hosts learn from each other."""

    def test_host_that_was_cut_off_learns_that_a_quarantine_was_lifted(self) -> None:
        """Guards against a host that refuses a sound part for as long as it runs.

        Only the holder sends probes, so such a host never finds out by itself.
        """
        holder, frozen = make_host(), make_host()
        now = 100.0
        for number in range(2):
            now += 1.0
            holder.record_crash(make_units(FIRST, DEADLY), (f"e{number}", "1"), True, now)
            holder.record_answer(make_units(FIRST), now + 0.1)
        exchange(holder, frozen, now)
        self.assertIsNotNone(frozen.find(make_units(DEADLY)))
        holder.record_answer(make_units(FIRST, DEADLY), now + 1.0)
        now += 1.0 + 2 * MAX_AGE_S
        for _ in range(2):
            exchange(frozen, holder, now)
        self.assertIsNone(frozen.find(make_units(DEADLY)))
        self.assertIsNone(holder.find(make_units(DEADLY)))
        self.assertFalse(exchange(frozen, holder, now + 2 * MAX_AGE_S))

    def test_number_of_strikes_in_a_message_is_bounded(self) -> None:
        """Guards against an invalid message after which each decision of a host fails."""
        quarantine = Quarantine(units=("llm/d",), at=0.0, suspected_since=0.0, strikes=2**31 - 1)
        self.assertEqual(quarantine.hold_s, MAX_HOLD_S)


class TwoDeadlyPartsTest(unittest.TestCase):
    """Two deadly parts behind one sound first part, which is in the crashes of both."""

    def crash_under_both(self, host: PartQuarantine) -> None:
        host.record_crash(make_units(FIRST, "d1", model="m2"), ("e1", "1"), True, 101.0)
        host.record_answer(make_units(FIRST, model="m1"), 101.5)
        host.record_crash(make_units(FIRST, "d2", model="m2"), ("e2", "1"), True, 102.0)

    def test_part_that_was_answered_before_needs_more_crashes(self) -> None:
        """Guards against refusals of all requests of a route under one model for a minute."""
        host = make_host()
        host.record_answer(make_units(FIRST, "s1", model="m2"), 100.0)
        self.crash_under_both(host)
        self.assertIsNone(host.find(make_units(FIRST, "s2", model="m2")))

    def test_host_that_has_answered_a_part_since_contradicts_its_quarantine(self) -> None:
        """Guards against a quarantine by the host that happened to answer least."""
        host, other = make_host(), make_host()
        self.crash_under_both(host)
        other.record_crash(make_units(FIRST, "d1", model="m2"), ("e1", "1"), True, 101.0)
        other.record_answer(make_units(FIRST, "s1", model="m2"), 101.6)
        for _ in range(2):
            exchange(host, other, 102.1)
        for checked in (host, other):
            self.assertIsNone(checked.find(make_units(FIRST, "s2", model="m2")))


class CostTest(unittest.TestCase):
    """Work in the actor through which all requests of a host pass."""

    def test_old_evidence_is_not_weighed_for_each_message(self) -> None:
        """Guards against a holder that spends its time on messages for minutes after a crash.

        The holder of 300 hosts answers 150 messages a second.
        """
        host = make_host()
        for number in range(MAX_SUSPECTED_UNITS):
            host.record_crash((f"llm/s{number}",), ("e1", "1"), False, 100.0)
        with mock.patch.object(partquarantine, "weigh", wraps=partquarantine.weigh) as weigh:
            self.assertEqual(host.events(100.0 + 2 * MAX_AGE_S, MAX_PART_EVENTS, MAX_AGE_S), [])
        weigh.assert_not_called()

    def test_events_that_a_message_has_no_room_for_are_not_made(self) -> None:
        """Guards against the same cost in the seconds after a crash that cut many requests."""
        host = make_host()
        for number in range(MAX_SUSPECTED_UNITS):
            host.record_crash((f"llm/s{number}",), ("e1", "1"), False, 100.0)
        with mock.patch.object(partquarantine, "PartEvent", wraps=PartEvent) as make:
            events = host.events(101.0, MAX_PART_EVENTS, MAX_AGE_S)
        self.assertEqual(len(events), MAX_PART_EVENTS)
        self.assertEqual(make.call_count, MAX_PART_EVENTS)

    def test_quarantines_of_other_parts_cost_a_request_little(self) -> None:
        """Guards against a queue of hundreds of requests that takes 50 ms to go through."""
        host = make_host()
        for number in range(MAX_QUARANTINES):
            event = PartEvent(
                kind=PartEventKind.QUARANTINED, units=f"llm/q{number}", age=0.0, strikes=1
            )
            host.merge([event], 100.0)
        with mock.patch.object(host._evidence, "answered_at", return_value=0.0) as answered_at:
            self.assertIsNone(host.find(make_units(FIRST, "s1")))
            answered_at.assert_not_called()
            self.assertIsNotNone(host.find(make_units(FIRST, "q1")))

    def test_answers_of_other_services_do_not_evaluate_the_evidence(self) -> None:
        """Guards against a service without any answers that slows down all others of a host."""
        host = make_host()
        for number in range(4):
            units = list_units("down", "m1", (FIRST,))
            host.record_crash(units, (f"e{number}", "1"), True, 100.0 + number)
        with mock.patch.object(host._evidence, "find_suspects", return_value=[]) as find:
            host.record_answer(make_units(FIRST), 105.0)
            find.assert_not_called()
            host.record_answer(list_units("down", "m1", ("f2",)), 106.0)
            find.assert_called_once()


class EvidencePushTest(unittest.TestCase):
    """Threads that send evidence to other hosts."""

    def test_close_during_a_push_ends_the_thread_without_an_error(self) -> None:
        """Guards against a traceback when a host stops while it has evidence to push."""

        def list_peers() -> list[str]:
            push.close()
            return ["10.0.0.1:1"]

        push = EvidencePush(list_peers, mock.Mock(), random.Random(1))
        with mock.patch.object(threading, "excepthook") as excepthook:
            push.start()
            push.request()
            push._thread.join(5.0)
        self.assertFalse(push._thread.is_alive())
        excepthook.assert_not_called()


if __name__ == "__main__":
    unittest.main()
