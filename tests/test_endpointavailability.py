"""Decisions of a host about endpoints that ask for no requests."""

import random
import unittest

import attrs

from catkinhook.errors import Refusal
from catkinhook.hostsettings import Bounds
from catkinhook.requests.endpointavailability import (
    MAX_LEAVING,
    OWN_SOURCE,
    AvailabilityChange,
    EndpointAvailability,
)
from catkinhook.requests.hostscheduler import Scheduler
from catkinhook.requests.outcomes import Outcome
from catkinhook.requests.routedrequest import Assignment, Decision, RoutedRequest
from catkinhook.requests.routetable import EngineSpec, Route, RouteTable, ServiceSpec
from catkinhook.requests.suspects import SuspectStatus
from catkinhook.state.views import EndpointView
from tests.test_hostscheduler import LIVE

SLOTS = 2


def make_view(name: str, boot_id: str = "1") -> EndpointView:
    """Return an engine."""
    return EndpointView(
        endpoint=name,
        address=f"{name}:1",
        service="llm",
        zone="z1",
        boot_id=boot_id,
        models=frozenset({"m1"}),
        slots=SLOTS,
    )


class AvailabilityCase(unittest.TestCase):
    """A scheduler with two engines and a clock that the test advances."""

    def setUp(self) -> None:
        self.now = 100.0
        self.changes: list[AvailabilityChange] = []
        self.availability = EndpointAvailability()
        self.availability.on_change = self.changes.append
        self.scheduler = Scheduler(
            "z1", "host/1", Bounds(), random.Random(1), availability=self.availability
        )
        spec = EngineSpec(
            slots=SLOTS, cache_tokens=10_000, memory_mb=200, adapter_slots=2, loads_per_s=1
        )
        services = {"llm": ServiceSpec(name="llm", max_connections=9, engine=spec)}
        self.scheduler.set_table(RouteTable(version=1, routes=(), service_by_name=services))
        self.views = {name: make_view(name) for name in ("e1", "e2")}
        self.scheduler.set_endpoints(self.views, self.now)
        self.decisions: dict[str, Decision] = {}

    def make_request(self, name: str, route: Route = LIVE) -> RoutedRequest:
        """Return a request."""
        return RoutedRequest(
            request_id=name,
            service="llm",
            route=route,
            arrived=self.now,
            deadline=self.now + route.timeout_s,
            item="m1",
            prompt_tokens=100,
            output_tokens=100,
            fingerprint=name,
        )

    def submit(self, name: str) -> Decision | None:
        """Submit a request and return its decision, None while it is queued."""
        self.scheduler.submit(
            self.make_request(name),
            lambda decision: self.decisions.__setitem__(name, decision),
            self.now,
        )
        return self.decisions.get(name)

    def fill_slots(self) -> list[Assignment]:
        """Fill all slots."""
        decisions = [self.submit(f"f{number}") for number in range(2 * SLOTS)]
        self.assertTrue(all(isinstance(decision, Assignment) for decision in decisions))
        return decisions

    def record_leaving(self, *names: str) -> None:
        """Record that engines said that they leave, and decide on the requests that wait."""
        for name in names:
            self.availability.record_leaving(self.views[name], OWN_SOURCE, self.now, self.now)
        self.scheduler.dispatch_waiting(self.now)

    def used_endpoints(self, count: int) -> set[str]:
        """Return the endpoints of new requests, which are finished at once."""
        found = set()
        for number in range(count):
            decision = self.submit(f"u{self.now}/{number}")
            found.add(decision.endpoint.endpoint)
            self.scheduler.finish(decision.attempt, Outcome.COMPLETED, self.now)
        return found


class LeavingEndpointsTest(AvailabilityCase):
    """Endpoints that said that they leave."""

    def test_boot_that_leaves_gets_no_request_whatever_its_entry_says(self) -> None:
        """Guards against requests after the entry says ready, lapses or comes again."""
        self.record_leaving("e1")
        self.assertEqual(self.used_endpoints(4), {"e2"})
        for views in ({"e2": make_view("e2")}, self.views):
            self.scheduler.set_endpoints(dict(views), self.now)
            self.assertEqual(self.used_endpoints(4), {"e2"})

    def test_next_boot_is_another_endpoint(self) -> None:
        """Guards against leaving out an endpoint that started again under its id."""
        self.record_leaving("e1", "e2")
        self.views["e1"] = make_view("e1", boot_id="2")
        self.scheduler.set_endpoints(dict(self.views), self.now)
        self.assertEqual(self.used_endpoints(4), {"e1"})

    def test_waiting_requests_are_refused_when_all_leave(self) -> None:
        """Guards against requests that wait for endpoints that will take no more."""
        running = self.fill_slots()
        self.assertIsNone(self.submit("waits"))
        self.record_leaving("e1")
        self.assertNotIn("waits", self.decisions)
        self.record_leaving("e2")
        refusal = self.decisions["waits"]
        self.assertIsInstance(refusal, Refusal)
        self.assertIn("leaving", refusal.reason)
        self.scheduler.finish(running[0].attempt, Outcome.COMPLETED, self.now)
        self.assertIsInstance(self.submit("later"), Refusal)

    def test_request_waits_for_a_copy_that_the_holder_announced(self) -> None:
        """Guards against a refusal while another copy is about to be available."""
        self.record_leaving("e1", "e2")
        self.scheduler.set_forecast({("llm", "m1"): 0.3}, self.now)
        self.assertIsNone(self.submit("waits"))
        self.views["e3"] = make_view("e3")
        self.scheduler.set_endpoints(dict(self.views), self.now)
        self.assertEqual(self.decisions["waits"].endpoint.endpoint, "e3")

    def test_no_request_moves_to_an_endpoint_that_leaves(self) -> None:
        """Guards against a reserved place, or a retry, at an endpoint that leaves."""
        self.record_leaving("e2")
        request = self.make_request("r")
        self.assertIsNone(self.scheduler.try_move(request, frozenset({"e1"}), self.now))

    def test_end_of_a_leaving_endpoint_makes_no_request_suspect(self) -> None:
        """Guards against blaming a request for the planned end of an engine."""
        for number in range(3):
            decision = self.submit("r")
            view = decision.endpoint
            self.availability.record_leaving(view, OWN_SOURCE, self.now, self.now)
            self.scheduler.finish(decision.attempt, Outcome.CRASHED, self.now)
            self.views[view.endpoint] = attrs.evolve(view, boot_id=f"{number + 2}")
            self.scheduler.set_endpoints(dict(self.views), self.now)
            self.now += 10.0
        status = self.scheduler.suspects.status("r", self.now)
        self.assertIs(status, SuspectStatus.HARMLESS)

    def test_change_is_reported_once_with_its_age(self) -> None:
        """Guards against a line for each answer, and against one without source and age."""
        for source, told_at in (("front-2", 99.5), (OWN_SOURCE, 100.0)):
            self.availability.record_leaving(self.views["e1"], source, told_at, self.now)
        self.assertEqual(
            self.changes,
            [
                AvailabilityChange(
                    endpoint="e1",
                    address="e1:1",
                    boot_id="1",
                    state="leaving",
                    source="front-2",
                    age_s=0.5,
                )
            ],
        )

    def test_memory_is_bounded(self) -> None:
        """Guards against growth with each endpoint of a long life of the process."""
        for number in range(MAX_LEAVING + 100):
            view = make_view(f"x{number}")
            self.availability.record_leaving(view, OWN_SOURCE, self.now, self.now)
        self.assertTrue(self.availability.is_leaving(f"x{MAX_LEAVING + 99}", "1"))
        self.assertFalse(self.availability.is_leaving("x0", "1"))


if __name__ == "__main__":
    unittest.main()
