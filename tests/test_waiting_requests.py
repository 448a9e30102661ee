"""Requests that wait for an endpoint in the thread of their caller."""

import random
import threading
import time
import unittest
from collections.abc import Callable
from unittest import mock

from catkinhook.errors import Ran, Refusal
from catkinhook.hostsettings import Bounds
from catkinhook.requests.attempts import AttemptError
from catkinhook.requests.forwarding import Forwarder
from catkinhook.requests.hostscheduler import Scheduler
from catkinhook.requests.memorybudget import MemoryBudget
from catkinhook.requests.outcomes import Outcome
from catkinhook.requests.refusals import REPEAT_PAUSE_S
from catkinhook.requests.routedrequest import Assignment, Decision, RoutedRequest
from catkinhook.requests.routetable import RouteTable, ServiceSpec
from catkinhook.requests.upstreams import CallerDisconnectedError
from catkinhook.stateactor import StateActor
from tests.test_retries_over_restarts import ROUTE, SERVICE, make_view

DEADLINE_S = 3.0


class ImmediateMonitor:
    """Monitor that finds at once that a caller has left."""

    def add(
        self, key: str, is_disconnected: Callable[[], bool], on_disconnect: Callable[[], None]
    ) -> None:
        """Check the caller."""
        if is_disconnected():
            on_disconnect()

    def remove(self, key: str) -> None:
        """Do nothing."""


class WaitingRequestTest(unittest.TestCase):
    """A forwarder whose scheduler hears of nothing but its requests."""

    def setUp(self) -> None:
        bounds = Bounds(retry_share=0.2, retry_slack=1000.0)
        scheduler = Scheduler("z1", "host/1", bounds, random.Random(1))
        scheduler.record_host_count(1, 0.0, time.monotonic())
        spec = ServiceSpec(name=SERVICE, max_connections=9, engine=None)
        scheduler.set_table(RouteTable(version=1, routes=(), service_by_name={SERVICE: spec}))
        scheduler.set_endpoints({"e1": make_view("e1", slots=1)}, time.monotonic())
        self.scheduler = StateActor(scheduler)
        self.scheduler.start()
        self.addCleanup(self.scheduler.close)
        self.forwarder = Forwarder(
            self.scheduler,
            ImmediateMonitor(),
            mock.MagicMock(),
            mock.MagicMock(),
            lambda: None,
            lambda: None,
            MemoryBudget(),
        )

    def make_request(self, name: str) -> RoutedRequest:
        """Return a request that arrives now."""
        now = time.monotonic()
        return RoutedRequest(
            request_id=name, service=SERVICE, route=ROUTE, arrived=now, deadline=now + DEADLINE_S
        )

    def submit(self, name: str) -> list[Decision]:
        """Submit a request and return the list of its decisions."""
        decisions: list[Decision] = []
        request, now = self.make_request(name), time.monotonic()
        self.scheduler.ask(lambda scheduler: scheduler.submit(request, decisions.append, now))
        return decisions

    def test_caller_that_leaves_when_the_wait_begins_ends_it(self) -> None:
        """Guards against a request that waits to its deadline although its caller has left."""
        for number in range(2):
            self.assertIsInstance(self.submit(f"full{number}")[0], Assignment)
        began = time.monotonic()
        with self.assertRaises(CallerDisconnectedError):
            self.forwarder.run(self.make_request("r1"), mock.MagicMock(), lambda: True)
        self.assertLess(time.monotonic() - began, DEADLINE_S / 2)
        self.assertEqual(self.scheduler.ask(lambda scheduler: scheduler.waiting()), 0)

    def test_repeat_starts_when_a_refusal_of_another_request_prolongs_its_pause(self) -> None:
        """Guards against a repeat that waits to its deadline at an idle endpoint."""
        other: list[Decision] = []
        opened_at: list[float] = []

        def refuse(assignment: Assignment, *options: object) -> None:
            opened_at.append(time.monotonic())
            if len(opened_at) == 1:
                other.extend(self.submit("other"))
                raise AttemptError("test", "e1", "refused", Ran.NO, 503, Outcome.NOT_RUN)
            raise AttemptError("test", "e1", "is over", Ran.NO, 0, Outcome.CANCELLED)

        def refuse_other() -> None:
            self.scheduler.tell(
                lambda scheduler: scheduler.finish(
                    other[0].attempt, Outcome.NOT_RUN, time.monotonic()
                )
            )

        timer = threading.Timer(REPEAT_PAUSE_S / 2, refuse_other)
        self.addCleanup(timer.join)
        self.forwarder._on_waiting = timer.start
        upstream = mock.MagicMock()
        upstream.open = refuse
        result = self.forwarder.run(self.make_request("r1"), upstream, lambda: False)
        self.assertIsInstance(result, Refusal)
        self.assertEqual(len(opened_at), 2, result.reason)
        self.assertLess(opened_at[1] - opened_at[0], DEADLINE_S / 2)

    def test_endpoint_is_not_ejected_for_requests_that_it_never_got(self) -> None:
        """Guards against an endpoint that is left out beyond the end of its pause.

        Requests that were assigned before an endpoint asked for a pause are not sent.
        """

        def open_paused(assignment: Assignment, *options: object) -> None:
            endpoint = assignment.endpoint.endpoint
            raise AttemptError(
                "test", endpoint, "pauses", Ran.NO, 0, Outcome.NOT_RUN, "unavailable"
            )

        upstream = mock.MagicMock()
        upstream.open = open_paused
        for number in range(3):
            self.forwarder.run(self.make_request(f"r{number}"), upstream, lambda: False)
        now = time.monotonic()
        views = {name: make_view(name, slots=1) for name in ("e1", "e2")}
        self.scheduler.ask(lambda scheduler: scheduler.set_endpoints(views, now))
        assigned = [self.submit(name)[0].endpoint.endpoint for name in ("r4", "r5")]
        self.assertEqual(sorted(assigned), ["e1", "e2"])
