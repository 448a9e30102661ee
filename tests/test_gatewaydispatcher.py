"""Routing, admission control, limits and retries of a gateway."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from catkinhook.errors import Ran
from catkinhook.requests import admission, endpointselection, estimates, retries
from catkinhook.requests.gatewaydispatcher import Dispatcher, Request
from catkinhook.requests.limits import ServiceLimit
from catkinhook.requests.outcomes import Outcome
from catkinhook.requests.prefixes import TIME_TO_LIVE_S, PrefixIndex
from catkinhook.state.documents import CallerClass, Document, Limits, Model, build_catalog
from catkinhook.state.views import EndpointView, LoadReport, Snapshot

DOCUMENT = Document(
    service="s",
    owner="o",
    models=[Model(name=name, memory=1) for name in "ab"],
    classes={
        "live": CallerClass(first_token=0.5, between_tokens=0.05),
        "night": CallerClass(priority="deferrable", finish_within=100.0),
    },
    default_class="live",
    limits=Limits(concurrent_requests=1000, requests_per_second=1000.0, retry_share=0.1),
)
OUTCOMES = [Outcome.FAILED, Outcome.CRASHED, Outcome.NOT_RUN, Outcome.BROKEN, Outcome.COMPLETED]


def make_request(number: int = 0, class_name: str = "live", **changes) -> Request:
    values = {
        "request_id": str(number),
        "document": DOCUMENT,
        "class_name": class_name,
        "caller_class": DOCUMENT.classes[class_name],
        "fingerprint": f"f{number}",
        "arrived": 0.0,
        "model": "a",
        "prompt_tokens": 200,
        "output_tokens": 40,
    }
    return Request(**(values | changes))


def make_view(index: int, running: int = 0, **changes) -> EndpointView:
    values = {
        "endpoint": f"s/{index}",
        "address": "127.0.0.1:1",
        "service": "s",
        "zone": "z",
        "boot_id": "b",
        "models": frozenset("ab"),
        "report": LoadReport(running, 0, 0.0, 0.0),
    }
    return EndpointView(**(values | changes))


def make_dispatcher(views: list[EndpointView], seed: int = 1, **changes) -> Dispatcher:
    dispatcher = Dispatcher("z", random.Random(seed))
    by_id = {view.endpoint: view for view in views}
    dispatcher.update(Snapshot(1, build_catalog(1, [DOCUMENT]), by_id, **changes), 0.0)
    return dispatcher


class EndpointSelectionTest(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.booleans(), st.sampled_from(["", "a", "b", "ab"])), max_size=20),
        st.lists(st.sampled_from(OUTCOMES), max_size=25),
        st.integers(0, 99),
    )
    def test_endpoint_has_the_model_and_is_not_leaving(self, shapes, outcomes, seed) -> None:
        """Guards against sampling or ejection that returns an unusable endpoint, and against
        ejection of all endpoints of a model."""
        views = [
            make_view(index, leaving=leaving, models=frozenset(models))
            for index, (leaving, models) in enumerate(shapes)
        ]
        usable = {v.endpoint for v in views if not v.leaving and "a" in v.models}
        dispatcher = make_dispatcher(views, seed)
        for number, outcome in enumerate(outcomes):
            result = dispatcher.pick(make_request(number), number * 0.1)
            self.assertEqual(result.is_ok(), bool(usable))
            if result.is_ok():
                choice = result.unwrap()
                self.assertIn(choice.endpoint.endpoint, usable)
                dispatcher.finish(choice.attempt_id, outcome, 10, number * 0.1)

    def test_slow_endpoint_is_avoided_once_known(self) -> None:
        """Guards against predictions that use only the reported load."""
        dispatcher = make_dispatcher([make_view(0), make_view(1)])
        counts = {"s/0": 0, "s/1": 0}
        for number in range(200):
            now = number * 1.0
            choice = dispatcher.pick(make_request(number), now).unwrap()
            endpoint = choice.endpoint.endpoint
            counts[endpoint] += number >= 50
            factor = 8.0 if endpoint == "s/0" else 1.0
            dispatcher.record_first_token(choice.attempt_id, now + 0.05 * factor)
            end = now + 0.05 * factor + 0.4 * factor
            dispatcher.finish(choice.attempt_id, Outcome.COMPLETED, 40, end)
        self.assertLess(counts["s/0"], counts["s/1"] / 4)

    def test_zone_breaks_ties(self) -> None:
        views = [make_view(0, zone="far"), make_view(1, zone="z"), make_view(2, zone="far")]
        chosen = {
            make_dispatcher(views, s).pick(make_request(), 0.0).unwrap().endpoint.zone
            for s in range(20)
        }
        self.assertEqual(chosen, {"z"})

    def test_adapter_must_be_resident_with_its_model(self) -> None:
        views = [
            make_view(0, adapters=frozenset({"a/x"}), models=frozenset("b")),
            make_view(1, adapters=frozenset({"a/x"})),
            make_view(2),
        ]
        chosen = {
            make_dispatcher(views, s)
            .pick(make_request(adapter="x"), 0.0)
            .unwrap()
            .endpoint.endpoint
            for s in range(20)
        }
        self.assertEqual(chosen, {"s/1"})

    def test_copies_of_a_request_run_on_two_endpoints_at_most(self) -> None:
        """Guards against a crashing request that is sent many times before its first crash."""
        dispatcher = make_dispatcher([make_view(index) for index in range(8)])
        request = make_request()
        chosen = {dispatcher.pick(request, 0.0).unwrap().endpoint.endpoint for _ in range(30)}
        self.assertLessEqual(len(chosen), 2)


class LoadTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.floats(0, 9), st.booleans()), max_size=20), st.floats(0, 9))
    def test_report_is_corrected_by_later_local_changes(self, steps, taken_at) -> None:
        """Compares with a direct count: reported load plus starts minus ends since the report."""
        load, own, since = endpointselection.EndpointLoad(), 0, 0
        for at, starts in sorted(steps):
            if not starts and own == 0:
                continue
            own += 1 if starts else -1
            since += (1 if starts else -1) if at > taken_at else 0
            (load.start if starts else load.finish)(at)
        load.apply_report(LoadReport(30, 2, 0.0, taken_at))
        self.assertEqual(load.current(), max(own, 32 + since))

    def test_older_report_does_not_replace_a_newer_one(self) -> None:
        load = endpointselection.EndpointLoad()
        load.apply_report(LoadReport(5, 0, 0.0, 2.0))
        load.apply_report(LoadReport(50, 0, 0.0, 1.0))
        self.assertEqual(load.current(), 5)


class AdmissionTest(unittest.TestCase):
    @given(st.lists(st.integers(0, 150), min_size=1, max_size=12), st.integers(20, 2000))
    def test_refuses_only_if_no_endpoint_meets_the_targets(self, loads, tokens) -> None:
        """Compares with predictions computed from the priors for every endpoint."""
        views = [make_view(index, load) for index, load in enumerate(loads)]
        slow = 1.0 + min(loads) / estimates.HALF_SPEED_BATCH_SIZE
        prompt = tokens + estimates.FIXED_PROMPT_TOKENS
        first = estimates.PRIOR_PREFILL_SECONDS * prompt * slow / 0.5
        between = estimates.PRIOR_TOKEN_SECONDS * slow / 0.05
        result = make_dispatcher(views).admit(make_request(prompt_tokens=tokens), 0.0)
        self.assertEqual(result.is_ok(), max(first, between) <= admission.MAX_LATENCY_RATIO)
        if result.is_err():
            self.assertEqual(result.unwrap_err().ran, Ran.NO)

    def test_deferrable_request_is_refused_under_load_until_its_deadline_is_close(self) -> None:
        views = [make_view(0, running=60)]
        admitted = [
            make_dispatcher(views).admit(make_request(class_name="night"), now).is_ok()
            for now in (0.0, 30.0, 60.0, 90.0)
        ]
        self.assertEqual(admitted, sorted(admitted))
        self.assertEqual((admitted[0], admitted[-1]), (False, True))
        self.assertTrue(make_dispatcher(views).admit(make_request(), 0.0).is_ok())

    def test_priority_of_deferrable_requests_rises_with_time(self) -> None:
        night = DOCUMENT.classes["night"]
        priorities = [
            admission.engine_priority(admission.compute_urgency(night, 0.0, 1.0, now))
            for now in range(0, 101, 10)
        ]
        self.assertEqual(priorities, sorted(priorities, reverse=True))
        self.assertEqual((priorities[0], priorities[-1]), (9, 0))


class LimitTest(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.integers(0, 60), st.booleans()), max_size=60),
        st.integers(1, 6),
        st.integers(1, 8),
    )
    def test_admits_the_same_requests_as_a_naive_version(self, steps, concurrent, rate) -> None:
        """Compares with a version that keeps all admissions and recomputes the token bucket."""
        limit, times, running = ServiceLimit(), [], 0
        clock = sorted(tenth for tenth, _ in steps)
        for tenth, (_, ends) in zip(clock, steps, strict=True):
            if ends and running:
                limit.release()
                running -= 1
            tokens, last = float(rate), clock[0]
            for at, taken in [*times, (tenth, False)]:
                tokens, last = min(float(rate), tokens + (at - last) * rate / 16), at
                tokens -= taken
            expected = tokens >= 1.0 and running < concurrent
            times.append((tenth, expected))
            running += expected
            self.assertEqual(limit.acquire(concurrent, rate, tenth / 16)[0], expected)

    def test_share_is_kept_while_the_peer_list_is_uncertain(self) -> None:
        """Guards against a gateway that uses the shares of peers it can't reach."""
        views = [make_view(0)]
        dispatcher = make_dispatcher(views, share=0.005)
        by_id = {view.endpoint: view for view in views}
        catalog = build_catalog(1, [DOCUMENT])
        dispatcher.update(Snapshot(2, catalog, by_id, share=1.0, current=False), 0.0)
        results = [dispatcher.admit(make_request(n, output_tokens=1), 0.0) for n in range(9)]
        self.assertEqual(sum(result.is_ok() for result in results), 5)
        self.assertEqual(results[-1].unwrap_err().status, 429)


class RetryTest(unittest.TestCase):
    @given(st.lists(st.sampled_from(OUTCOMES[:4]), min_size=1, max_size=120), st.integers(0, 9))
    def test_retry_budget_is_not_exceeded(self, outcomes, seed) -> None:
        """Guards against retries that multiply the load of a failing service."""
        dispatcher = make_dispatcher([make_view(index) for index in range(6)], seed)
        first_attempts = granted = 0
        for number, outcome in enumerate(outcomes):
            request = make_request(number)
            if dispatcher.admit(request, number * 1.0).is_err():
                continue
            first_attempts += 1
            for _ in range(5):
                result = dispatcher.plan_retry(request, outcome, number * 1.0)
                granted += result.is_ok()
        self.assertLessEqual(granted, first_attempts * 0.1 + retries.INITIAL_BALANCE)

    def test_request_that_may_have_run_is_not_retried(self) -> None:
        """Guards against a retry after "not run" if an earlier attempt may have run."""
        dispatcher = make_dispatcher([make_view(0), make_view(1)])
        request = make_request(repeatable=False)
        dispatcher.admit(request, 0.0).unwrap()
        first = dispatcher.pick(request, 0.0).unwrap()
        dispatcher.finish(first.attempt_id, Outcome.NOT_RUN, 0, 0.1)
        self.assertTrue(dispatcher.plan_retry(request, Outcome.NOT_RUN, 0.1).is_ok())
        second = dispatcher.pick(request, 0.2).unwrap()
        dispatcher.finish(second.attempt_id, Outcome.BROKEN, 0, 0.3)
        for outcome in (Outcome.BROKEN, Outcome.NOT_RUN):
            refusal = dispatcher.plan_retry(request, outcome, 0.3).unwrap_err()
            self.assertIs(refusal.ran, Ran.UNKNOWN)

    def test_refusal_after_an_attempt_does_not_claim_not_run(self) -> None:
        """Guards against ``ran`` set to "no" when a retry finds no endpoint (guarantee G4)."""
        dispatcher = make_dispatcher([make_view(0)])
        request = make_request()
        dispatcher.admit(request, 0.0).unwrap()
        choice = dispatcher.pick(request, 0.0).unwrap()
        dispatcher.finish(choice.attempt_id, Outcome.BROKEN, 0, 0.1)
        refusal = dispatcher.pick(request, 0.1, frozenset({"s/0"})).unwrap_err()
        self.assertIs(refusal.ran, Ran.UNKNOWN)

    @given(st.integers(1, 30), st.integers(0, 999))
    def test_backoff_is_bounded(self, retry, seed) -> None:
        seconds = retries.backoff(retry, random.Random(seed))
        self.assertTrue(0 < seconds <= retries.BACKOFF_MAX_S * retries.JITTER_RANGE[1])


class PrefixIndexTest(unittest.TestCase):
    def test_prefix_hint_expires(self) -> None:
        index = PrefixIndex()
        index.record("e", ("p", "pq"), 0.0)
        later = TIME_TO_LIVE_S + 1
        self.assertEqual(index.cached_share("e", ("p", "px"), frozenset(), 1.0), 0.5)
        self.assertEqual(index.cached_share("e", ("p", "pq"), frozenset(), later), 0.0)
        self.assertEqual(index.cached_share("e", ("p", "pq"), frozenset({"p"}), later), 0.5)


class EstimatesTest(unittest.TestCase):
    def test_estimates_decay_to_the_mean_of_all_endpoints(self) -> None:
        known = estimates.Estimates()
        for _ in range(20):
            known.observe_tokens("slow", "a", 100, 0, 10.0, 0.0)
            known.observe_tokens("fast", "a", 100, 0, 1.0, 0.0)
        fresh = known.token_seconds("slow", "a", 0, 0.0)
        late = known.token_seconds("slow", "a", 0, 600.0)
        self.assertGreater(fresh, 4 * known.token_seconds("fast", "a", 0, 0.0))
        self.assertLess(late, fresh / 2)


class DemandTest(unittest.TestCase):
    def test_counts_rate_unmet_and_in_progress(self) -> None:
        """Guards against demand figures that follow a change too slowly for the planner."""
        dispatcher = make_dispatcher([make_view(0, running=150)])
        for number in range(100):
            dispatcher.admit(make_request(number, "live"), number * 0.2)
        busy = dispatcher.demand(20.0)["a"]
        self.assertAlmostEqual(busy.requests_per_second, 5.0, delta=0.6)
        self.assertAlmostEqual(busy.unmet, 5.0, delta=0.6)
        self.assertEqual(busy.in_progress, 0)
        dispatcher = make_dispatcher([make_view(0)])
        dispatcher.admit(make_request(), 0.0).unwrap()
        self.assertEqual(dispatcher.demand(0.0)["a"].in_progress, 1)
        dispatcher.release(make_request(), True, 1.0)
        self.assertEqual(dispatcher.demand(1.0)["a"].in_progress, 0)


if __name__ == "__main__":
    unittest.main()
