"""Decisions of a host on its requests: which endpoint, in which order they wait, who is refused.

Everything here is a function of the state and the time passed in.
"""

import math
import random
from collections import Counter
from collections.abc import Callable

import attrs

from catkinhook.errors import Ran, Refusal
from catkinhook.hostsettings import Bounds
from catkinhook.requests import retries, routing
from catkinhook.requests.candidates import EndpointIndex
from catkinhook.requests.demand import ItemDemand
from catkinhook.requests.estimates import DecayingMean, Estimates
from catkinhook.requests.outcomes import Outcome
from catkinhook.requests.prefixes import PrefixIndex
from catkinhook.requests.routed import Assignment, Decision, RoutedRequest
from catkinhook.requests.routes import RouteTable
from catkinhook.requests.suspects import EventKind, Suspects, SuspectStatus
from catkinhook.state.views import EndpointView, LoadReport

STEP = "scheduling"

# Seconds before a caller gives up by which an attempt must start to be of use.
START_MARGIN_S = 0.25
# Part of a caller's patience for which a request waits for word on when an item will be available.
UNKNOWN_WAIT_SHARE = 0.3
# Requests that a plain service queues itself, as a share of its slots; it refuses beyond that.
PLAIN_QUEUE_SHARE = 1.0
# Part of the KV cache that is filled by plan; answers may grow longer than expected.
CACHE_SHARE = 0.92
# Part of the most output tokens that an answer takes on average.
OUTPUT_SHARE = 0.7
# An answer of this many times the mean length should end within its route's time. Source: the
# platform's largest requests are four times the mean.
LARGE_FACTOR = 4.0
# An endpoint that denied having an item is passed over for it this long.
ABSENT_ITEM_TTL_S = 1.2
# An endpoint that refused a connection is left alone for this long.
DOWN_S = 0.8
# Bounds on the seconds after which a refused caller is told to come back.
RETRY_AFTER_MIN_S = 0.2
RETRY_AFTER_MAX_S = 10.0
# Spread of the return of callers that are refused together, as a share of the wait.
RETRY_SPREAD = 0.25
# Smoothing of the seconds between ends of requests, from which waits are predicted.
PACE_STEP = 0.1
# Objectives longer than this mark work that leaves room for other work.
PATIENT_OBJECTIVE_S = 4.0
# Endpoints named in the reason of a refusal.
MAX_EXPLAINED = 4
# Longest queue of one host, which bounds its memory and threads.
MAX_WAITING = 400


@attrs.define(eq=False)
class Ticket:
    """A request that waits for a decision.

    :ivar decide: called once with the decision.
    """

    work: RoutedRequest
    exclude: frozenset[str]
    decide: Callable[[Decision], None]
    since: float
    ran: Ran = Ran.NO


@attrs.define
class _Attempt:
    work: RoutedRequest
    endpoint: str
    started: float
    load: float
    uncached: float
    hinted_share: float
    probe: bool
    first_at: float | None = None
    marked_at: float = 0.0
    events: int = 0


@attrs.define
class _Pace:
    """Seconds between two ends of requests of one service."""

    seconds: float = 0.0
    at: float | None = None

    def note(self, now: float) -> None:
        if self.at is not None:
            step = PACE_STEP if self.seconds else 1.0
            self.seconds += step * (min(1.0, now - self.at) - self.seconds)
        self.at = now


class Scheduler:
    """Owner of what a host decides from; one actor calls it.

    :param zone: availability zone of this host.
    :param origin: unique name of this process, for suspect events.
    :param started_at: start of this process, until which another may have spent its repeats.
    """

    def __init__(
        self,
        zone: str,
        origin: str,
        bounds: Bounds,
        rng: random.Random,
        started_at: float = float("-inf"),
    ) -> None:
        self._zone = zone
        self._bounds = bounds
        self._rng = rng
        self._table: RouteTable | None = None
        self._endpoint_by_id: dict[str, EndpointView] = {}
        self._index = EndpointIndex()
        self._load_by_id: dict[str, routing.EndpointLoad] = {}
        self._tokens_by_id: dict[str, int] = {}
        self._attempt_by_number: dict[int, _Attempt] = {}
        self._waiting: list[Ticket] = []
        self._demand_by_item: dict[tuple[str, str], ItemDemand] = {}
        self._expected_by_item: dict[tuple[str, str], float] = {}
        self._told_at: float | None = None
        self._absent_until: dict[tuple[str, str], float] = {}
        self._down_until: dict[str, float] = {}
        self._window_by_service: dict[str, retries.RetryWindow] = {}
        self._pace_by_service: dict[str, _Pace] = {}
        self._estimates = Estimates()
        self._events_by_route: dict[str, DecayingMean] = {}
        self._prefixes = PrefixIndex()
        self._ejections = retries.Ejections()
        self._next_attempt = 1
        self._is_stopping = False
        self._started_at = started_at
        self.hosts = 1
        self.suspects = Suspects(origin)

    # What is known.

    def set_table(self, table: RouteTable) -> None:
        """Take over a newer configuration."""
        self._table = table

    def set_endpoints(self, endpoint_by_id: dict[str, EndpointView], now: float) -> None:
        """Take over the endpoints and what they hold."""
        if endpoint_by_id == self._endpoint_by_id:
            self.dispatch_waiting(now)
            return
        for endpoint, view in endpoint_by_id.items():
            known = self._endpoint_by_id.get(endpoint)
            if known is not None and known.boot_id != view.boot_id:
                self._prefixes.remove(endpoint)
                self._ejections.reset(endpoint)
                self._down_until.pop(endpoint, None)
        gone = set(self._endpoint_by_id) - set(endpoint_by_id)
        for endpoint in gone:
            self._prefixes.remove(endpoint)
            self._load_by_id.pop(endpoint, None)
            self._tokens_by_id.pop(endpoint, None)
            self._down_until.pop(endpoint, None)
        self._estimates.remove(gone)
        self._endpoint_by_id = dict(endpoint_by_id)
        self._index.update(self._endpoint_by_id)
        self.dispatch_waiting(now)

    def stop(self, now: float) -> None:
        """Refuse what waits and what would have to wait, because this host stops."""
        self._is_stopping = True
        self.dispatch_waiting(now)

    def set_expected(self, seconds_by_item: dict[tuple[str, str], float], now: float) -> None:
        """Take over in how many seconds missing items will be available.

        The endpoints that came with it follow in ``set_endpoints``, which decides on what waits:
        an item that has arrived is not expected any more.
        """
        self._expected_by_item = {item: now + s for item, s in seconds_by_item.items()}
        self._told_at = now

    def record_load(self, endpoint: str, running: int, waiting: int, now: float) -> None:
        """Take over the load of an endpoint over all hosts, as of now."""
        self._load(endpoint).apply_report(LoadReport(running, waiting, 0.0, now))

    # Requests.

    def submit(self, work: RoutedRequest, decide: Callable[[Decision], None], now: float) -> Ticket:
        """Queue a new request; ``decide`` is called now or later."""
        self._demand(work).count_request(now)
        self._window(work.service).record_request(now)
        return self._enqueue(Ticket(work, frozenset(), decide, now), now)

    def resubmit(
        self,
        work: RoutedRequest,
        exclude: frozenset[str],
        ran: Ran,
        decide: Callable[[Decision], None],
        now: float,
        has_arrived: bool = True,
    ) -> Ticket | None:
        """Queue a request for another attempt, or return None when it may not be repeated.

        :param exclude: endpoints that earlier attempts used.
        :param ran: whether an earlier attempt may have run.
        :param has_arrived: whether an earlier attempt reached an endpoint; only what reaches a
            second one spends the budget for repeats.
        """
        if ran is not Ran.NO and not work.is_repeatable:
            return None
        if has_arrived and not self._window(work.service).try_acquire(self.hosts, now):
            return None
        return self._enqueue(Ticket(work, exclude, decide, now, ran), now)

    def withdraw(self, ticket: Ticket) -> None:
        """Drop a request that waits, because its caller left."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def dispatch_waiting(self, now: float) -> None:
        """Place what can be placed, and refuse what can't be served in time."""
        if not self._waiting:
            return
        blocked: set[tuple[str, str]] = set()
        ahead_by_service: dict[str, int] = {}
        left: list[Ticket] = []
        for ticket in sorted(self._waiting, key=lambda t: _order(t.work, now)):
            key = (ticket.work.service, ticket.work.item)
            decision: Decision | None = None
            # Excluded endpoints differ between tickets, so only first attempts share a verdict.
            if key not in blocked or ticket.exclude:
                decision = self._try_place(ticket, now)
            if decision is None:
                blocked.add(key)
                ahead = ahead_by_service.get(ticket.work.service, 0)
                decision = self._refuse_hopeless(ticket, ahead, now)
            if decision is None:
                ahead_by_service[ticket.work.service] = ahead + 1
                left.append(ticket)
            else:
                ticket.decide(decision)
        self._waiting = left

    def record_first_event(self, attempt: int, now: float) -> None:
        """Record the first bytes of an attempt's answer."""
        state = self._attempt_by_number.get(attempt)
        if state is None or state.first_at is not None:
            return
        state.first_at = state.marked_at = now
        work = state.work
        if work.item:
            full = self._estimates.first_token_seconds(
                state.endpoint, work.model, work.prompt_tokens, state.load, now
            )
            self._prefixes.update_saving(state.hinted_share, full, now - state.started)
        self._estimates.observe_first_token(
            state.endpoint, work.model, state.uncached, state.load, now - state.started, now
        )
        self._prefixes.record(state.endpoint, work.prefixes, now)

    def record_events(self, attempt: int, events: int, now: float) -> None:
        """Learn the speed of a batch from one of its streams.

        :param events: events since the last call, or since the first event.
        """
        state = self._attempt_by_number.get(attempt)
        if state is None or state.first_at is None:
            return
        load = self._load(state.endpoint).current()
        seconds = now - state.marked_at
        model = state.work.model
        self._estimates.observe_tokens(state.endpoint, model, events + 1, load, seconds, now)
        state.marked_at = now
        state.events += events

    def finish(
        self,
        attempt: int,
        outcome: Outcome,
        now: float,
        is_absent: bool = False,
        is_down: bool = False,
    ) -> None:
        """End an attempt.

        :param is_absent: the endpoint denied having the item.
        :param is_down: the endpoint can't be reached.
        """
        state = self._attempt_by_number.pop(attempt, None)
        if state is None:
            return
        work, endpoint = state.work, state.endpoint
        self._load(endpoint).finish(now)
        used = self._tokens_by_id.get(endpoint, 0) - _reserved(work)
        self._tokens_by_id[endpoint] = max(0, used)
        demand = self._demand(work)
        demand.in_progress = max(0, demand.in_progress - 1)
        self._pace_by_service.setdefault(work.service, _Pace()).note(now)
        if is_down:
            self._down_until[endpoint] = now + DOWN_S
        if is_absent:
            self._absent_until[endpoint, work.item] = now + ABSENT_ITEM_TTL_S
        elif outcome is Outcome.COMPLETED:
            self._ejections.record_success(endpoint)
            if state.events:
                mean = self._events_by_route.setdefault(work.route.name, DecayingMean())
                mean.observe(state.events, now)
            if self.suspects.status(work.fingerprint, now) is not SuspectStatus.HARMLESS:
                self.suspects.record(EventKind.CLEAR, work.fingerprint, work.model, now)
        elif outcome is not Outcome.CANCELLED:
            self._ejections.record_failure(endpoint, outcome is Outcome.CRASHED, now)
        # A connection that was refused carried no request that could have crashed the endpoint.
        if outcome is Outcome.CRASHED and state.first_at is None and not is_down:
            view = self._endpoint_by_id.get(endpoint)
            boot = view.boot_id if view else ""
            fingerprint = work.fingerprint
            self.suspects.record(EventKind.CRASH, fingerprint, work.model, now, endpoint, boot)
        self.dispatch_waiting(now)

    # What other hosts and the holder of the order lease are told.

    def demand(self, now: float) -> dict[tuple[str, str], tuple[float, float, int, int]]:
        """Return rate, unmet rate, waiting and running requests by service and item."""
        waiting: dict[tuple[str, str], int] = {}
        for ticket in self._waiting:
            key = (ticket.work.service, ticket.work.item)
            waiting[key] = waiting.get(key, 0) + 1
        summary = {}
        for key, demand in list(self._demand_by_item.items()):
            rate, unmet = demand.rates(now)
            if rate < 1e-3 and not demand.in_progress and key not in waiting:
                del self._demand_by_item[key]
                continue
            summary[key] = (rate, unmet, waiting.get(key, 0), demand.in_progress)
        return summary

    def running(self) -> dict[tuple[str, str], int]:
        """Return this host's requests in progress by endpoint and model."""
        attempts = self._attempt_by_number.values()
        return Counter((attempt.endpoint, attempt.work.model) for attempt in attempts)

    def down(self, now: float) -> set[str]:
        """Return the endpoints that could not be reached lately."""
        return {endpoint for endpoint, until in self._down_until.items() if until > now}

    def missing(self, now: float) -> set[tuple[str, str]]:
        """Return the items that requests wait for and no usable endpoint has."""
        found = {(t.work.service, t.work.item) for t in self._waiting if t.work.item}
        return {key for key in found if not self._find(*key, now)}

    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    # Decisions.

    def _enqueue(self, ticket: Ticket, now: float) -> Ticket:
        self._waiting.append(ticket)
        self.dispatch_waiting(now)
        return ticket

    def _try_place(self, ticket: Ticket, now: float) -> Decision | None:
        work = ticket.work
        status = self.suspects.status(work.fingerprint, now)
        if status is SuspectStatus.QUARANTINED:
            reason = "the request crashed endpoints repeatedly and is quarantined"
            return Refusal(STEP, "", reason, "quarantined", 503, ticket.ran)
        found = self._usable(ticket, now)
        best = routing.choose_best([self._predict(work, view, now) for view in found])
        if best is None:
            return None
        view = self._endpoint_by_id[best.endpoint]
        return self._start(work, view, status is SuspectStatus.SUSPECT, now)

    def _usable(self, ticket: Ticket, now: float) -> list[EndpointView]:
        """Return the endpoints with room that are not ejected, or one that is."""
        work = ticket.work
        holding = [
            self._endpoint_by_id[endpoint]
            for endpoint in self._find(work.service, work.item, now)
            if self._absent_until.get((endpoint, work.item), 0.0) <= now
        ]
        # An endpoint that failed once is better than none, but only for what may be repeated.
        fresh = [view for view in holding if view.endpoint not in ticket.exclude]
        if not fresh and ticket.ran is Ran.NO:
            fresh = holding
        roomy = [view for view in fresh if self._has_room(view, work)]
        # One that failed is better than full ones.
        return retries.exclude_ejected(
            roomy,
            lambda view: self._ejections.is_ejected(view.endpoint, now),
            lambda view: self._ejections.ejection_end(view.endpoint),
        )

    def _find(self, service: str, item: str, now: float) -> list[str]:
        found = self._index.find(service, item)
        return [endpoint for endpoint in found if self._down_until.get(endpoint, 0.0) <= now]

    def _has_room(self, view: EndpointView, work: RoutedRequest) -> bool:
        load = self._load(view.endpoint).current()
        if not work.item:
            return load < max(1, view.slots) * (1.0 + PLAIN_QUEUE_SHARE)
        if load >= max(1, view.slots):
            return False
        spec = self._table.service_by_name.get(work.service) if self._table else None
        if spec is None or spec.engine is None:
            return True
        own = self._tokens_by_id.get(view.endpoint, 0)
        others = max(0.0, load - self._load(view.endpoint).own_requests)
        used = own + others * (_reserved(work) if not own else own / max(1, self._own(view)))
        return used == 0 or used + _reserved(work) <= CACHE_SHARE * spec.engine.cache_tokens

    def _own(self, view: EndpointView) -> int:
        return self._load(view.endpoint).own_requests

    def _predict(self, work: RoutedRequest, view: EndpointView, now: float) -> routing.Prediction:
        load = self._load(view.endpoint).current()
        tokens, _ = self._uncached(work, view, now)
        first = self._estimates.first_token_seconds(view.endpoint, work.model, tokens, load, now)
        between = finish = 0.0
        mean = self._events_by_route.get(work.route.name)
        if mean is not None:
            between = self._estimates.token_seconds(view.endpoint, work.model, load, now)
            finish = first + LARGE_FACTOR * mean.value * between
        route = work.route
        targets = (max(1e-3, route.objective_s), route.gap_s or math.inf, route.timeout_s)
        return routing.Prediction(
            endpoint=view.endpoint,
            ratio=routing.latency_ratio(first, between, finish, targets),
            finish=first,
            same_zone=view.zone == self._zone,
        )

    def _uncached(self, work: RoutedRequest, view: EndpointView, now: float) -> tuple[float, float]:
        return self._prefixes.uncached(
            view.endpoint, work.prompt_tokens, work.prefixes, frozenset(), now
        )

    def _start(
        self, work: RoutedRequest, view: EndpointView, probe: bool, now: float
    ) -> Assignment:
        number, self._next_attempt = self._next_attempt, self._next_attempt + 1
        load = self._load(view.endpoint)
        uncached, hinted_share = self._uncached(work, view, now)
        self._attempt_by_number[number] = _Attempt(
            work, view.endpoint, now, load.current(), uncached, hinted_share, probe
        )
        load.start(now)
        tokens = self._tokens_by_id.get(view.endpoint, 0) + _reserved(work)
        self._tokens_by_id[view.endpoint] = tokens
        self._demand(work).in_progress += 1
        return Assignment(
            endpoint=view, attempt=number, priority=engine_priority(work), probe=probe
        )

    def _refuse_hopeless(self, ticket: Ticket, ahead: int, now: float) -> Refusal | None:
        work = ticket.work
        limit = work.caller_deadline() - START_MARGIN_S
        ready_at = self._predict_start(ticket, ahead, now)
        if not self._is_stopping and ready_at <= limit and len(self._waiting) <= MAX_WAITING:
            return None
        reason = self._explain_wait(work, now)
        if self._is_stopping:
            # Another host can let it wait for longer than this one lives.
            ready_at, reason = now, f"the host is stopping; {reason}"
        wait = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, ready_at - now))
        if not math.isfinite(wait):
            wait = RETRY_AFTER_MAX_S
        wait *= 1.0 + RETRY_SPREAD * self._rng.random()
        self._demand(work).count_unmet(now)
        status = 503 if ticket.ran is Ran.NO else 502
        return Refusal(STEP, "", reason, "no-capacity", status, ticket.ran, wait)

    def _predict_start(self, ticket: Ticket, ahead: int, now: float) -> float:
        """Return when a waiting request can start."""
        work = ticket.work
        key = (work.service, work.item)
        if self._find(*key, now):
            pace = self._pace_by_service.get(work.service, _Pace()).seconds
            return now + pace * (ahead + 1)
        expected = self._expected_by_item.get(key)
        if expected is not None:
            return max(now, expected)
        longest = UNKNOWN_WAIT_SHARE * (work.caller_deadline() - work.arrived)
        return now if now - ticket.since < longest else math.inf

    def _explain_wait(self, work: RoutedRequest, now: float) -> str:
        """Return why a request has to wait."""
        key = (work.service, work.item)
        if self._find(*key, now):
            return self._explain_full(work, now)
        is_expected = key in self._expected_by_item
        name = repr(work.item or work.service)
        reason = f"{name} is not available yet" if is_expected else f"no endpoint has {name}"
        return f"{reason}; {self._explain_word(now)}"

    def _explain_word(self, now: float) -> str:
        if self._told_at is None:
            return "the holder was never heard"
        return f"the holder was heard {now - self._told_at:.2f} s ago"

    def _explain_full(self, work: RoutedRequest, now: float) -> str:
        states = []
        for endpoint in self._find(work.service, work.item, now)[:MAX_EXPLAINED]:
            load = self._load(endpoint).current()
            slots = self._endpoint_by_id[endpoint].slots
            tokens = self._tokens_by_id.get(endpoint, 0)
            event_s = self._estimates.token_seconds(endpoint, work.model, load, now)
            states.append(
                f"{endpoint} {load:.0f}/{slots} requests, {tokens} own tokens, "
                f"{event_s:.3f} s an event"
            )
        return f"all endpoints of {work.item or work.service} are full: {'; '.join(states)}"

    def _load(self, endpoint: str) -> routing.EndpointLoad:
        return self._load_by_id.setdefault(endpoint, routing.EndpointLoad())

    def _demand(self, work: RoutedRequest) -> ItemDemand:
        return self._demand_by_item.setdefault((work.service, work.item), ItemDemand())

    def _window(self, service: str) -> retries.RetryWindow:
        bounds = self._bounds
        return self._window_by_service.setdefault(
            service,
            retries.RetryWindow(
                bounds.retry_window_s, bounds.retry_share, bounds.retry_slack, self._started_at
            ),
        )


def engine_priority(work: RoutedRequest) -> int:
    """Return the priority for the engine, 0 for the most urgent work to 9.

    Work of the same rank that has seconds until its objective lets interactive work go first.
    """
    patient = work.route.objective_s > PATIENT_OBJECTIVE_S
    return min(9, 2 * work.route.priority + (1 if patient else 0))


def _reserved(work: RoutedRequest) -> int:
    return work.prompt_tokens + int(OUTPUT_SHARE * work.output_tokens)


def _order(work: RoutedRequest, now: float) -> tuple[bool, float, float]:
    """Order of waiting requests: those that can still be on time, by the time they have left.

    Late ones follow by rank, so that a burst that can't be served on time doesn't take the place
    of requests that can.
    """
    due = work.arrived + work.route.objective_s
    is_late = now > due
    return (is_late, float(work.route.priority) if is_late else due, work.arrived)
