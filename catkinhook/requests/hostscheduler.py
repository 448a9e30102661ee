"""Scheduling of requests on a host: endpoint selection, queue order and load shedding.

The scheduler reads no clock; callers pass the time in.
"""

import logging
import math
import random
from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from catkinhook.errors import Ran, Refusal
from catkinhook.hostsettings import Bounds
from catkinhook.requests import (
    capacity,
    endpointselection,
    fairqueue,
    promptpacing,
    refusalreasons,
    retries,
    startforecast,
)
from catkinhook.requests.demand import ItemDemand
from catkinhook.requests.endpointavailability import (
    MAX_PAUSE_S,
    EndpointAvailability,
    LeavingEndpoint,
)
from catkinhook.requests.endpointindex import EndpointIndex
from catkinhook.requests.endpointroom import EndpointRoom
from catkinhook.requests.estimates import DecayingMean, Estimates
from catkinhook.requests.hostretries import HostCount, RetryBucket
from catkinhook.requests.outcomes import Outcome
from catkinhook.requests.partquarantine import PartQuarantine, Quarantine
from catkinhook.requests.prefixes import PrefixIndex
from catkinhook.requests.queuepolicy import EndpointFigures, QueuePolicy
from catkinhook.requests.refusalreasons import MAX_EXPLAINED_ENDPOINTS, EndpointState, WaitForecast
from catkinhook.requests.refusals import AVOID_S, RefusingEndpoints
from catkinhook.requests.requesthold import RequestHold, find_hold
from catkinhook.requests.retrycounts import RetryBudgetState
from catkinhook.requests.routedrequest import Assignment, Decision, RoutedRequest
from catkinhook.requests.routetable import RouteTable
from catkinhook.requests.sharedselection import SharedSelection
from catkinhook.requests.sharedspeeds import MeasuredSpeed
from catkinhook.requests.suspects import EventKind, Suspects
from catkinhook.state.views import EndpointView, LoadReport

_log = logging.getLogger(__name__)

STEP = "scheduling"

# An attempt must start this long before the caller times out, or its answer arrives too late.
START_MARGIN_S = 0.25
# Share of the caller's timeout for which a request may be queued while no forecast says when its
# item will be available.
NO_FORECAST_WAIT_SHARE = 0.3
# Requests that a plain service queues itself, as a multiple of its slots; it refuses further
# requests.
PLAIN_QUEUE_RATIO = 1.0
# Share of the KV cache that may be reserved; the rest is headroom for answers that exceed the mean
# length.
MAX_CACHE_SHARE = 0.92
# Mean length of an answer as a share of the request's output token limit.
MEAN_OUTPUT_SHARE = 0.7
# An answer of this many times the mean length should end within its route's timeout. The platform's
# largest requests are four times the mean.
LARGE_OUTPUT_FACTOR = 4.0
# An endpoint's deadline is this much earlier than that of its host, so that its statement that it
# did not run a request arrives in time.
REPLY_MARGIN_S = 0.05
# An endpoint that reported an item as absent receives no requests for it for this long.
ABSENT_ITEM_TTL_S = 1.2
# An endpoint that refused a connection receives no requests for this long.
DOWN_TTL_S = 0.8
RETRY_AFTER_MIN_S = 0.2
RETRY_AFTER_MAX_S = 10.0
# Time within which the holder tells of another copy after the last endpoint of an item said that it
# leaves.
LEAVING_RETRY_AFTER_S = 1.0
# Relative jitter of Retry-After, so that callers refused together don't retry together.
RETRY_AFTER_JITTER_RATIO = 0.25
# Smoothing factor of the interval between completions, which predicts queueing times.
INTERVAL_SMOOTHING = 0.1
# Seconds after a load header with a pace for which capacity is shared between hosts.
PACE_ACTIVATION_S = 60.0
# Longest queue of one host, which bounds its memory and threads.
MAX_QUEUE_LENGTH = 400
# Interval in which queued requests are decided on again where capacity is shared: no event of this
# host tells that a request of another host has ended, or that a request may now take any place.
QUEUE_CHECK_S = 0.05


@attrs.define(eq=False)
class PendingRequest:
    """A queued request.

    :ivar on_decision: called once with the decision.
    :ivar exclude: endpoints that earlier attempts used.
    :ivar queued_at: time at which this attempt was queued.
    :ivar ran: whether an earlier attempt may have run.
    :ivar is_charged: whether a retry is reserved for this attempt.
    """

    request: RoutedRequest
    exclude: frozenset[str]
    on_decision: Callable[[Decision], None]
    queued_at: float
    ran: Ran = Ran.NO
    is_charged: bool = False


@attrs.define
class _Attempt:
    """An attempt in progress.

    :ivar boot_id: boot id of the endpoint when the attempt started.
    :ivar load: other requests on the endpoint when the attempt started.
    :ivar uncached_tokens: expected number of uncached prompt tokens.
    :ivar hinted_share: share of the prompt that the prefix index lists as cached.
    :ivar is_probe: whether the request is quarantined and tests whether it still crashes endpoints.
    :ivar is_success: whether the answer is not an error.
    :ivar is_harmless: whether the answer has shown that the prompt does not crash its endpoint.
    :ivar observed_at: time up to which ``events`` were counted.
    :ivar forecast: prediction of the first event, None if capacity is not shared.
    """

    request: RoutedRequest
    endpoint: str
    boot_id: str
    started_at: float
    load: float
    uncached_tokens: float
    hinted_share: float
    is_probe: bool = False
    first_event_at: float | None = None
    is_success: bool = True
    is_harmless: bool = False
    observed_at: float = 0.0
    events: int = 0
    forecast: capacity.Forecast | None = None


@attrs.define
class _CompletionInterval:
    """Smoothed time between two completions of requests of one service."""

    seconds: float = 0.0
    last_at: float | None = None

    def record(self, now: float) -> None:
        if self.last_at is not None:
            step = INTERVAL_SMOOTHING if self.seconds else 1.0
            self.seconds += step * (min(1.0, now - self.last_at) - self.seconds)
        self.last_at = now


class Scheduler:
    """Scheduling state of a host; called by one actor only.

    :param zone: availability zone of this host.
    :param origin: unique name of this process, for suspect events.
    :param started_at: start of this process; an earlier process of this host may have used the
        retry budget until then.
    :param on_quarantine: called with a quarantine of prompt parts that changed, what happened and
        the time.
    :param may_probe: returns whether this host may send a quarantined request now.
    :param availability: endpoints that must get no requests.
    :param on_selection: called with the reason for which one endpoint was preferred to others.
    :param on_forecast_error: called with predicted minus measured seconds to a first event.
    :ivar suspects: events about requests that may crash endpoints, exchanged between hosts.
    :ivar parts: quarantine of prompt parts that crash engines, exchanged between hosts.
    """

    def __init__(
        self,
        zone: str,
        origin: str,
        bounds: Bounds,
        rng: random.Random,
        started_at: float = float("-inf"),
        on_quarantine: Callable[[Quarantine, str, float], None] = lambda *change: None,
        may_probe: Callable[[], bool] = lambda: False,
        availability: EndpointAvailability | None = None,
        on_selection: Callable[[str], None] = lambda reason: None,
        on_forecast_error: Callable[[float], None] = lambda seconds: None,
    ) -> None:
        self._zone = zone
        self._bounds = bounds
        self._rng = rng
        self._table: RouteTable | None = None
        self._endpoint_by_id: dict[str, EndpointView] = {}
        self._index = EndpointIndex()
        self._load_by_id: dict[str, endpointselection.EndpointLoad] = {}
        self._reserved_tokens_by_id: dict[str, int] = {}
        self._attempt_by_number: dict[int, _Attempt] = {}
        self._queue: list[PendingRequest] = []
        self._demand_by_item: dict[tuple[str, str], ItemDemand] = {}
        self._forecast_by_item: dict[tuple[str, str], float] = {}
        self._forecast_at: float | None = None
        self._absent_until: dict[tuple[str, str], float] = {}
        self._down_until: dict[str, float] = {}
        self._retries_by_service: dict[str, RetryBucket] = {}
        self._host_count = HostCount(bounds.retry_window_s)
        self._refusing = RefusingEndpoints()
        self._interval_by_service: dict[str, _CompletionInterval] = {}
        self._estimates = Estimates()
        self._events_by_route: dict[str, DecayingMean] = {}
        self._room = EndpointRoom()
        # The latest time seen, and the time of the latest load header with a pace.
        self._latest_at = self._pace_seen_at = float("-inf")
        self._prefixes = PrefixIndex()
        self._selection = SharedSelection(
            room=self._room,
            prefixes=self._prefixes,
            events_by_route=self._events_by_route,
            zone=zone,
            rng=rng,
            large_output_factor=LARGE_OUTPUT_FACTOR,
            plain_queue_ratio=PLAIN_QUEUE_RATIO,
            on_selection=on_selection,
            on_forecast_error=on_forecast_error,
        )
        self._ejections = retries.Ejections()
        self._availability = availability or EndpointAvailability()
        self._next_attempt = 1
        self._is_stopping = False
        self._started_at = started_at
        self._may_probe = may_probe
        self._policy = QueuePolicy()
        self._dispatched_at = float("-inf")
        self.suspects = Suspects(origin)
        self.parts = PartQuarantine(on_quarantine, may_probe)

    @property
    def shares_capacity(self) -> bool:
        """Whether hosts of this deployment share what they know of the capacity of endpoints."""
        if self._table is not None and self._table.workspaces is not None:
            return True
        return self._latest_at - self._pace_seen_at <= PACE_ACTIVATION_S

    # Inputs.

    def set_table(self, table: RouteTable) -> None:
        """Replace the route table by a newer version."""
        self._table = table
        self._policy.set_table(table)

    def set_endpoints(self, endpoint_by_id: dict[str, EndpointView], now: float) -> None:
        """Replace the endpoints and the items resident on them."""
        self._latest_at = max(self._latest_at, now)
        if endpoint_by_id == self._endpoint_by_id:
            self.dispatch_waiting(now)
            return
        for endpoint, view in endpoint_by_id.items():
            previous = self._endpoint_by_id.get(endpoint)
            if previous is not None and previous.boot_id != view.boot_id:
                self._prefixes.remove(endpoint)
                self._room.restart(endpoint)
                self._ejections.reset(endpoint)
                self._refusing.remove(endpoint)
                self._down_until.pop(endpoint, None)
                self._policy.pacing.remove(endpoint)
        removed = set(self._endpoint_by_id) - set(endpoint_by_id)
        for endpoint in removed:
            self._prefixes.remove(endpoint)
            self._refusing.remove(endpoint)
            self._down_until.pop(endpoint, None)
            self._policy.pacing.remove(endpoint)
        self._estimates.remove(removed)
        self._room.remove(removed)
        self._endpoint_by_id = dict(endpoint_by_id)
        for endpoint in removed:
            self._load(endpoint).report = None
            self._forget_absent_load(endpoint)
        self._index.update(self._endpoint_by_id)
        self.dispatch_waiting(now)

    def stop(self, now: float) -> None:
        """Refuse queued requests, and later ones that can't start at once."""
        self._is_stopping = True
        self.dispatch_waiting(now)

    def set_forecast(self, seconds_by_item: dict[tuple[str, str], float], now: float) -> None:
        """Set the forecast of the seconds until missing items are available.

        Queued requests are decided on in ``set_endpoints``, which the caller calls next: an item
        that has become available is no longer in the forecast.
        """
        self._forecast_by_item = {item: now + s for item, s in seconds_by_item.items()}
        self._forecast_at = now

    def record_load(self, endpoint: str, running: int, waiting: int, now: float) -> None:
        """Record the present load of an endpoint over all hosts."""
        self._load(endpoint).apply_report(LoadReport(running, waiting, 0.0, now))

    def record_load_header(
        self, endpoint: str, running: int, waiting: int, pace: float | None, now: float
    ) -> None:
        """Record the load that an endpoint stated in an answer.

        :param pace: factor by which its work takes longer at present, None if not stated.
        """
        if pace is not None:
            self._pace_seen_at = max(self._pace_seen_at, now)
            self._latest_at = max(self._latest_at, now)
        if endpoint in self._endpoint_by_id:
            self._room.record_load(endpoint, running, waiting, pace, now)

    def record_usage(
        self,
        running_by_id: dict[str, int],
        tokens_by_id: dict[str, tuple[float, float]],
        host_count: int,
        lag_s: float,
        now: float,
    ) -> None:
        """Record the holder's sums of requests and tokens at endpoints.

        :param tokens_by_id: unread prompt tokens and reserved tokens.
        :param host_count: hosts that have reported to the holder.
        :param lag_s: mean age of the reports that the holder summed.
        """
        if self.shares_capacity:
            known_hosts = self._host_count.get(now)
            sums = (running_by_id, tokens_by_id)
            self._room.apply_view(self._endpoint_by_id, sums, host_count, known_hosts, lag_s, now)

    def record_speeds(self, speeds: tuple[MeasuredSpeed, ...], now: float) -> None:
        """Record the speeds that all hosts measured."""
        if speeds:
            self._room.merge_speeds(speeds, now)

    def record_boot_time(self, boot_s: float, now: float) -> None:
        """Record the time of a clock that advances while the host is suspended."""
        if self.shares_capacity:
            self._room.record_boot_time(boot_s, now)

    def record_leaving(self, endpoints: Iterable[LeavingEndpoint], source: str, now: float) -> None:
        """Record endpoints that said to another host that they leave.

        Those that are not known here with the same boot are ignored; they are told again.

        :param source: name of the host that told it.
        """
        for leaving in endpoints:
            view = self._endpoint_by_id.get(leaving.endpoint)
            if view is not None and view.boot_id == leaving.boot_id:
                self._availability.record_leaving(view, source, leaving.told_at, now)

    def record_host_count(self, count: int, settle_s: float, now: float) -> None:
        """Record the number of hosts that share the retry budget.

        :param settle_s: time in seconds within which this many hosts report to a new holder.
        """
        self._host_count.record(count, settle_s, now)

    # Requests.

    def submit(
        self, request: RoutedRequest, on_decision: Callable[[Decision], None], now: float
    ) -> PendingRequest:
        """Queue a new request; ``on_decision`` may be called before this returns."""
        self._latest_at = max(self._latest_at, now)
        self._demand(request).count_request(now)
        if self.shares_capacity:
            self._policy.record_arrival(request, now)
        self._retries(request.service).record_request(self._host_count.get(now), now)
        return self._enqueue(PendingRequest(request, frozenset(), on_decision, now), now)

    def resubmit(
        self,
        request: RoutedRequest,
        exclude: frozenset[str],
        ran: Ran,
        on_decision: Callable[[Decision], None],
        now: float,
        has_reached_endpoint: bool = True,
    ) -> PendingRequest | None:
        """Queue a request for another attempt, or return None if it must not be retried.

        :param exclude: endpoints that earlier attempts used.
        :param ran: whether an earlier attempt may have run.
        :param has_reached_endpoint: whether an earlier attempt reached an endpoint. If none did,
            the retry does not count against the retry budget. Otherwise, it does once it is sent.
        """
        if ran is not Ran.NO and not request.is_repeatable:
            return None
        next_at = self._find_next_return(request, now) if has_reached_endpoint else None
        if next_at is not None:
            # Refused here and not queued: the pause may be removed meanwhile in another thread, and
            # a retry that is not reserved must not be assigned.
            pending = PendingRequest(request, exclude, on_decision, now, ran)
            decision = self._decide_quarantined(pending, now)
            on_decision(decision or self._refuse_to_wait(pending, next_at, next_at, now))
            return pending
        if has_reached_endpoint and not self._try_reserve_retry(request.service, now):
            return None
        pending = PendingRequest(request, exclude, on_decision, now, ran, has_reached_endpoint)
        return self._enqueue(pending, now)

    def try_move(
        self, request: RoutedRequest, exclude: frozenset[str], now: float
    ) -> Assignment | None:
        """Assign a request that may have run to another endpoint if it can start there at once.

        The assignment counts against the retry budget and has to be finished, as others do.

        :param exclude: endpoints that earlier attempts used.
        """
        if not request.is_repeatable or not self._try_reserve_retry(request.service, now):
            return None
        moved = PendingRequest(request, exclude, lambda decision: None, now, Ran.UNKNOWN, True)
        decision: Decision | None = None
        try:
            decision = self._decide_quarantined(moved, now) or self._try_assign(moved, now)
        finally:
            self._settle_retry(moved, isinstance(decision, Assignment))
        return decision if isinstance(decision, Assignment) else None

    def retry_budget_state(self, service: str, now: float) -> RetryBudgetState:
        """Return the retry budget of a service."""
        hosts = self._host_count.get(now)
        return RetryBudgetState(self._retries(service).balance(hosts, now), hosts)

    def dispatch_repeat(self, pending: PendingRequest, now: float) -> float | None:
        """Decide on queued requests, unless all endpoints of a repeat still refuse requests.

        Where capacity is shared, first attempts are decided on again too, after a fixed interval.

        :returns: the time at which the repeat may be sent to the next of the endpoints that refused
            requests, None if there is none. Later refusals may move it.
        """
        if self.shares_capacity:
            # Requests that wait at the same time ask for this one after the other.
            if now - self._dispatched_at >= QUEUE_CHECK_S / 2:
                self.dispatch_waiting(now)
            return now + QUEUE_CHECK_S
        request = pending.request
        times = [
            self._refusing.repeat_at(endpoint, endpoint in pending.exclude)
            for endpoint in self._find_reachable(request.service, request.item, now)
        ]
        if min(times, default=0.0) <= now:
            self.dispatch_waiting(now)
        return min((time for time in times if time > now), default=None)

    def cancel(self, pending: PendingRequest) -> None:
        """Remove a queued request, for example because its caller disconnected."""
        if pending in self._queue:
            self._queue.remove(pending)
            self._settle_retry(pending, is_sent=False)

    def dispatch_waiting(self, now: float) -> None:
        """Assign queued requests to endpoints, and refuse those that can't start in time."""
        if not self._queue:
            return
        self._dispatched_at = now
        blocked: set[tuple[object, ...]] = set()
        queued_by_group: dict[tuple[str, str], int] = {}
        remaining: list[PendingRequest] = []
        for pending in self._sort_queue(now):
            try:
                decision = self._decide(pending, blocked, queued_by_group, now)
            except Exception as error:
                # Otherwise the request would stay in the queue, where it would keep all others from
                # a decision, and those decided before it would be decided again.
                _log.exception("no decision on a request")
                decision = _make_error_refusal(pending, error)
            if decision is None:
                remaining.append(pending)
            else:
                self._settle_retry(pending, isinstance(decision, Assignment))
                pending.on_decision(decision)
        self._queue = remaining

    def _sort_queue(self, now: float) -> list[PendingRequest]:
        """Return the queued requests in the order in which they are decided on."""
        if not self.shares_capacity:
            return sorted(
                self._queue, key=lambda pending: fairqueue.deadline_key(pending.request, now)
            )
        requests = [pending.request for pending in self._queue]
        seconds = [self._expect_first_event(request, now) for request in requests]
        return [self._queue[index] for index in self._policy.sort(requests, seconds, now)]

    def _decide(
        self,
        pending: PendingRequest,
        blocked: set[tuple[object, ...]],
        queued_by_group: dict[tuple[str, str], int],
        now: float,
    ) -> Decision | None:
        """Return the decision on a queued request, None if it stays queued.

        :param blocked: results of ``_block_key`` of requests that found no place.
        :param queued_by_group: number of requests ahead of this one that stay queued, by service
            and, where capacity is shared, by model.
        """
        request = pending.request
        key = self._block_key(request, now)
        decision = self._decide_quarantined(pending, now)
        # Excluded endpoints differ between requests, so only first attempts share a result.
        if decision is None and (key not in blocked or pending.exclude):
            decision = self._try_assign(pending, now) or self._refuse_repeat(pending, now)
        if decision is None:
            if not pending.exclude:
                blocked.add(key)
            group = (request.service, request.model if self.shares_capacity else "")
            queued_ahead = queued_by_group.get(group, 0)
            decision = self._refuse_if_too_late(pending, queued_ahead, now)
            if decision is None:
                queued_by_group[group] = queued_ahead + 1
        return decision

    def _block_key(self, request: RoutedRequest, now: float) -> tuple[object, ...]:
        """Return a key that is equal for requests that the same endpoints can take."""
        key = (request.service, request.item)
        if not self.shares_capacity:
            return key
        first_event_s = self._expect_first_event(request, now)
        return (*key, *self._policy.describe_needs(request, first_event_s, now))

    def record_first_event(self, attempt: int, now: float, is_success: bool = True) -> None:
        """Record the arrival of the first bytes of an attempt's answer.

        :param is_success: whether the answer is not an error. An error shows nothing about the
            prompt: an engine whose deadline ends while it reads the prompt answers 504.
        """
        state = self._attempt_by_number.get(attempt)
        if state is None or state.first_event_at is not None:
            return
        state.first_event_at = state.observed_at = now
        self._policy.record_read(attempt)
        state.is_success = is_success
        request = state.request
        self._refusing.record_answer(state.endpoint, state.started_at)
        self._room.record_first_event(attempt)
        if state.forecast is not None:
            self._selection.record_first_event(
                request,
                state.endpoint,
                state.forecast,
                now - state.started_at,
                now,
                state.hinted_share,
                is_success,
            )
        elif request.item:
            full = self._estimates.first_token_seconds(
                state.endpoint, request.model, request.prompt_tokens, state.load, now
            )
            self._prefixes.update_saving(state.hinted_share, full, now - state.started_at)
        self._estimates.observe_first_token(
            state.endpoint,
            request.model,
            state.uncached_tokens,
            state.load,
            now - state.started_at,
            now,
        )
        self._prefixes.record(state.endpoint, request.prefixes, now)

    def record_events(self, attempt: int, events: int, now: float) -> None:
        """Update the estimated decode speed of an endpoint from the events of one stream.

        :param events: events since the last call, or since the first event.
        """
        state = self._attempt_by_number.get(attempt)
        if state is None or state.first_event_at is None:
            return
        load = self._load(state.endpoint).current()
        seconds = now - state.observed_at
        model = state.request.model
        self._estimates.observe_tokens(state.endpoint, model, events + 1, load, seconds, now)
        if events > 0 and seconds > 0.0 and self.shares_capacity:
            self._room.observe_events(state.endpoint, model, seconds / events, now)
        state.observed_at = now
        state.events += events

    def record_harmless(self, attempt: int, now: float) -> None:
        """Record that an attempt's answer got beyond its beginning, which clears its prompt."""
        state = self._attempt_by_number.get(attempt)
        if state is not None and state.is_success and not state.is_harmless:
            state.is_harmless = True
            self.parts.record_answer(state.request.units, now)

    def record_crash(
        self, attempt: int, has_started: bool, now: float, has_begun: bool = False
    ) -> None:
        """Record that the endpoint of an attempt crashed when its answer had at most begun.

        An endpoint that is leaving or was removed has ended as planned, which no request caused.

        :param has_started: whether the endpoint had started to answer, without an event.
        :param has_begun: whether it had just sent the first events.
        """
        state = self._attempt_by_number.get(attempt)
        if state is None or state.is_harmless or self._is_leaving(state):
            return
        request = state.request
        # The entry may already be that of the next start.
        crash_id = (state.endpoint, state.boot_id)
        self.parts.record_crash(request.units, crash_id, has_started, now, has_begun)
        if state.first_event_at is not None and not has_begun:
            # Two crashes quarantine a whole request, too few for a stream that had gone on.
            return
        self.suspects.record(
            EventKind.CRASH, request.fingerprint, request.model, now, state.endpoint, state.boot_id
        )

    def finish(
        self,
        attempt: int,
        outcome: Outcome,
        now: float,
        is_absent: bool = False,
        is_down: bool = False,
        is_unbounded: bool = False,
    ) -> None:
        """End an attempt.

        :param is_absent: whether the endpoint reported that it does not have the item.
        :param is_down: whether the endpoint can't be reached.
        :param is_unbounded: whether the endpoint sent more bytes than an answer may have. It is
            then ejected at once.
        """
        state = self._attempt_by_number.pop(attempt, None)
        if state is None:
            return
        request, endpoint = state.request, state.endpoint
        self._policy.record_read(attempt)
        if self.shares_capacity and outcome is Outcome.COMPLETED:
            held_s = now - state.started_at
            self._policy.holding_times.record(request.service, request.model, held_s, now)
        self._load(endpoint).finish(now)
        self._room.finish(attempt, now)
        used = self._reserved_tokens_by_id.get(endpoint, 0) - _reserved_tokens(request)
        self._reserved_tokens_by_id[endpoint] = max(0, used)
        self._forget_absent_load(endpoint)
        demand = self._demand(request)
        demand.in_progress = max(0, demand.in_progress - 1)
        self._interval_by_service.setdefault(request.service, _CompletionInterval()).record(now)
        if is_down:
            self._down_until[endpoint] = now + DOWN_TTL_S
        if is_absent:
            self._absent_until[endpoint, request.item] = now + ABSENT_ITEM_TTL_S
        elif outcome is Outcome.COMPLETED:
            if state.is_success and not state.is_harmless:
                self.parts.record_answer(request.units, now)
            self._ejections.record_success(endpoint)
            if state.events:
                mean = self._events_by_route.setdefault(request.route.name, DecayingMean())
                mean.observe(state.events, now)
            if self.suspects.crash_times(request.fingerprint, now):
                self.suspects.record(EventKind.CLEAR, request.fingerprint, request.model, now)
        elif outcome is not Outcome.CANCELLED:
            if outcome is Outcome.NOT_RUN and not is_down:
                self._refusing.record_refusal(endpoint, now)
            ejects = outcome is Outcome.CRASHED or is_unbounded
            self._ejections.record_failure(endpoint, ejects, now)
        if state.is_probe and outcome is not Outcome.COMPLETED:
            self.suspects.record(EventKind.END, request.fingerprint, request.model, now, endpoint)
        self.dispatch_waiting(now)

    # Reports to other hosts and to the holder of the order lease.

    def demand(self, now: float) -> dict[tuple[str, str], tuple[float, float, int, int]]:
        """Return request rate, refusal rate, queued and running requests by service and item."""
        waiting: dict[tuple[str, str], int] = {}
        for pending in self._queue:
            key = (pending.request.service, pending.request.item)
            waiting[key] = waiting.get(key, 0) + 1
        summary = {}
        for key, demand in list(self._demand_by_item.items()):
            rate, unmet = demand.rates(now)
            if rate < 1e-3 and not demand.in_progress and key not in waiting:
                del self._demand_by_item[key]
                continue
            summary[key] = (rate, unmet, waiting.get(key, 0), demand.in_progress)
        return summary

    def quarantined_attempts(self) -> list[int]:
        """Return the attempts whose endpoint may crash when it starts to answer."""
        return [
            number
            for number, attempt in self._attempt_by_number.items()
            if attempt.first_event_at is None and self.parts.find(attempt.request.units) is not None
        ]

    def count_running(self) -> dict[tuple[str, str], int]:
        """Return this host's requests in progress by endpoint and model."""
        attempts = self._attempt_by_number.values()
        return Counter((attempt.endpoint, attempt.request.model) for attempt in attempts)

    def report_tokens(self, is_for_holder: bool) -> dict[tuple[str, str], tuple[float, float]]:
        """Return unread prompt tokens and reserved tokens of this host by endpoint and model.

        :param is_for_holder: whether the holder will count these requests as those of this host.
        """
        return self._room.report_usage(is_for_holder) if self.shares_capacity else {}

    def report_speeds(self, is_for_holder: bool, now: float) -> tuple[MeasuredSpeed, ...] | None:
        """Return the speeds measured since the last report, None if capacity is not shared."""
        if not self.shares_capacity:
            return None
        return self._room.report_speeds(now) if is_for_holder else ()

    def down_endpoints(self, now: float) -> set[str]:
        """Return the endpoints that refused a connection recently."""
        return {endpoint for endpoint, until in self._down_until.items() if until > now}

    def leaving_endpoints(self) -> list[LeavingEndpoint]:
        """Return the known endpoints that said that they leave."""
        return self._availability.select_leaving(self._endpoint_by_id.values())

    def missing_items(self, now: float) -> set[tuple[str, str]]:
        """Return the items of queued requests that no reachable endpoint has.

        Where hosts share capacity, an endpoint without room for the request does not count.
        """
        request_by_key = {
            (pending.request.service, pending.request.item): pending.request
            for pending in self._queue
            if pending.request.item
        }
        return {
            key
            for key, request in request_by_key.items()
            if not any(
                not self.shares_capacity
                or self._has_capacity(self._endpoint_by_id[endpoint], request, now)
                for endpoint in self._find_reachable(*key, now)
            )
        }

    def waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    # Decisions.

    def _enqueue(self, pending: PendingRequest, now: float) -> PendingRequest:
        self._queue.append(pending)
        try:
            self.dispatch_waiting(now)
        except Exception:
            # Its caller is told that it was not run, so no later event may assign it.
            self.cancel(pending)
            raise
        return pending

    def _decide_quarantined(self, pending: PendingRequest, now: float) -> Decision | None:
        """Refuse a quarantined request or assign it as a probe; return None for any other."""
        request = pending.request
        hold = find_hold(self.suspects.crash_times(request.fingerprint, now))
        if hold is not None and now < hold.ends_at:
            return self._decide_held(pending, hold, now)
        quarantine = self.parts.find(request.units)
        if quarantine is None:
            return None
        is_first_attempt = pending.ran is Ran.NO and not pending.exclude
        if is_first_attempt and self.parts.is_probe_due(request.units, now):
            assignment = self._try_assign(pending, now)
            if assignment is not None:
                self.parts.record_probe(request.units, now)
                return assignment
        reason = (
            f"prompt part {quarantine.key} is quarantined: it crashed "
            f"{quarantine.describe_crashes(now)}"
        )
        retry_after_s = max(RETRY_AFTER_MIN_S, quarantine.probe_due_at() - now)
        return self._make_quarantine_refusal(pending, reason, min(RETRY_AFTER_MAX_S, retry_after_s))

    def _decide_held(self, pending: PendingRequest, hold: RequestHold, now: float) -> Decision:
        """Assign a request that crashed endpoints as a probe if one is due, or refuse it."""
        request = pending.request
        is_probe_due = (
            now >= hold.probe_at
            and pending.ran is Ran.NO
            and not pending.exclude
            and self._may_probe()
            and not self.suspects.has_running_probe(request.fingerprint, now)
        )
        assignment = self._try_assign(pending, now) if is_probe_due else None
        if assignment is not None:
            self._attempt_by_number[assignment.attempt].is_probe = True
            self.suspects.record(
                EventKind.PROBE,
                request.fingerprint,
                request.model,
                now,
                assignment.endpoint.endpoint,
            )
            return assignment
        reason = f"the request crashed endpoints {hold.crashes} times and is quarantined"
        retry_after_s = max(RETRY_AFTER_MIN_S, min(hold.probe_at, hold.ends_at) - now)
        return self._make_quarantine_refusal(pending, reason, min(RETRY_AFTER_MAX_S, retry_after_s))

    def _make_quarantine_refusal(
        self, pending: PendingRequest, reason: str, retry_after_s: float
    ) -> Refusal:
        status = _refusal_status(pending.ran)
        return Refusal(STEP, "", reason, "quarantined", status, pending.ran, retry_after_s)

    def _try_assign(self, pending: PendingRequest, now: float) -> Assignment | None:
        request = pending.request
        found = self._usable_endpoints(pending, now)
        if self.shares_capacity:
            # Only the decisions on long prompts need the figures about reading at all endpoints.
            is_long = self._policy.is_long(request)
            figures_by_id = {
                view.endpoint: self._figures(request, view, now, is_long) for view in found
            }
            found = self._leave_room(request, found, figures_by_id, now)
            chosen = self._selection.choose(
                request, found, now, lambda found: self._weigh(request, found, figures_by_id, now)
            )
            return None if chosen is None else self._start_attempt(request, chosen, now)
        best = endpointselection.choose_best([self._predict(request, view, now) for view in found])
        if best is None:
            return None
        return self._start_attempt(request, self._endpoint_by_id[best.endpoint], now)

    def _usable_endpoints(self, pending: PendingRequest, now: float) -> list[EndpointView]:
        """Return endpoints with spare capacity that are not ejected, or one that is ejected."""
        request = pending.request
        resident = [
            self._endpoint_by_id[endpoint]
            for endpoint in self._find_reachable(request.service, request.item, now)
            if self._absent_until.get((endpoint, request.item), 0.0) <= now
        ]
        # If all endpoints were tried, a request that can't have run may use one of them again.
        untried = [view for view in resident if view.endpoint not in pending.exclude]
        if not untried and pending.ran is Ran.NO:
            untried = resident
        if pending.is_charged:
            untried = [
                view
                for view in untried
                if self._refusing.may_repeat(view.endpoint, view.endpoint in pending.exclude, now)
            ]
        available = [view for view in untried if self._has_capacity(view, request, now)]
        # An ejected endpoint with spare capacity is preferred to queueing for a full one.
        return retries.exclude_ejected(
            available,
            lambda view: self._ejections.is_ejected(view.endpoint, now),
            lambda view: self._ejections.ejection_end(view.endpoint),
        )

    def _find_reachable(self, service: str, item: str, now: float) -> list[str]:
        return [
            endpoint
            for endpoint in self._index.find(service, item)
            if self._down_until.get(endpoint, 0.0) <= now
            and self._availability.is_available(self._endpoint_by_id[endpoint], now)
        ]

    def _has_shared_capacity(self, view: EndpointView, request: RoutedRequest, now: float) -> bool:
        spec = self._table.service_by_name.get(request.service) if self._table else None
        has_cache = request.item and spec is not None and spec.engine is not None
        limit = MAX_CACHE_SHARE * spec.engine.cache_tokens if has_cache else math.inf
        return self._selection.has_capacity(request, view, _reserved_tokens(request), limit, now)

    def _has_capacity(self, view: EndpointView, request: RoutedRequest, now: float) -> bool:
        if self.shares_capacity:
            return self._has_shared_capacity(view, request, now)
        load = self._load(view.endpoint).current()
        if not request.item:
            return load < max(1, view.slots) * (1.0 + PLAIN_QUEUE_RATIO)
        if load >= max(1, view.slots):
            return False
        spec = self._table.service_by_name.get(request.service) if self._table else None
        if spec is None or spec.engine is None:
            return True
        own_tokens = self._reserved_tokens_by_id.get(view.endpoint, 0)
        other_requests = max(0.0, load - self._load(view.endpoint).own_requests)
        # Requests of other hosts are assumed to reserve as many tokens as those of this host do.
        reserved = _reserved_tokens(request)
        mean_reserved = own_tokens / max(1, self._own_requests(view)) if own_tokens else reserved
        used = own_tokens + other_requests * mean_reserved
        return used == 0 or used + reserved <= MAX_CACHE_SHARE * spec.engine.cache_tokens

    def _is_leaving(self, state: _Attempt) -> bool:
        """Return whether the endpoint of an attempt was removed or is leaving."""
        view = self._endpoint_by_id.get(state.endpoint)
        return (
            view is None
            or view.leaving
            or self._availability.is_leaving(state.endpoint, state.boot_id)
        )

    def _own_requests(self, view: EndpointView) -> int:
        return self._load(view.endpoint).own_requests

    def _predict(
        self, request: RoutedRequest, view: EndpointView, now: float
    ) -> endpointselection.Prediction:
        load = self._load(view.endpoint).current()
        uncached_tokens, _ = self._estimate_uncached_tokens(request, view, now)
        first_event_s = self._estimates.first_token_seconds(
            view.endpoint, request.model, uncached_tokens, load, now
        )
        event_interval_s = finish_s = 0.0
        mean = self._events_by_route.get(request.route.name)
        if mean is not None:
            event_interval_s = self._estimates.token_seconds(
                view.endpoint, request.model, load, now
            )
            finish_s = first_event_s + LARGE_OUTPUT_FACTOR * mean.value * event_interval_s
        route = request.route
        targets = (max(1e-3, route.objective_s), route.gap_s or math.inf, route.timeout_s)
        return endpointselection.Prediction(
            endpoint=view.endpoint,
            ratio=endpointselection.latency_ratio(
                first_event_s, event_interval_s, finish_s, targets
            ),
            finish_s=first_event_s,
            same_zone=view.zone == self._zone,
        )

    def _estimate_uncached_tokens(
        self, request: RoutedRequest, view: EndpointView, now: float
    ) -> tuple[float, float]:
        return self._prefixes.estimate_uncached_tokens(
            view.endpoint, request.prompt_tokens, request.prefixes, frozenset(), now
        )

    def _start_attempt(self, request: RoutedRequest, view: EndpointView, now: float) -> Assignment:
        number, self._next_attempt = self._next_attempt, self._next_attempt + 1
        figures = self._figures(request, view, now) if self.shares_capacity else None
        load = self._load(view.endpoint)
        uncached_tokens, hinted_share = self._estimate_uncached_tokens(request, view, now)
        self._attempt_by_number[number] = _Attempt(
            request,
            view.endpoint,
            view.boot_id,
            now,
            load.current(),
            uncached_tokens,
            hinted_share,
        )
        if self.shares_capacity:
            forecast = self._selection.forecast(request, view, now)
            self._attempt_by_number[number].forecast = forecast
        load.start(now)
        reserved = _reserved_tokens(request)
        self._room.start(number, view.endpoint, request.model, uncached_tokens, reserved, now)
        tokens = self._reserved_tokens_by_id.get(view.endpoint, 0) + reserved
        self._reserved_tokens_by_id[view.endpoint] = tokens
        self._demand(request).in_progress += 1
        return self._make_assignment(number, request, view, figures, now)

    def _make_assignment(
        self,
        attempt: int,
        request: RoutedRequest,
        view: EndpointView,
        figures: EndpointFigures | None,
        now: float,
    ) -> Assignment:
        """Return the assignment of an attempt that was recorded.

        :param figures: figures of the endpoint without this request, None where capacity is not
            shared.
        """
        if figures is None:
            priority = promptpacing.route_priority(request)
            return Assignment(endpoint=view, attempt=attempt, priority=priority)
        return Assignment(
            endpoint=view,
            attempt=attempt,
            priority=self._policy.record_start(attempt, request, figures, now),
            prompt_class=self._policy.find_prompt_class(request),
            reply_margin_s=REPLY_MARGIN_S,
        )

    def _leave_room(
        self,
        request: RoutedRequest,
        views: list[EndpointView],
        figures_by_id: dict[str, EndpointFigures],
        now: float,
    ) -> list[EndpointView]:
        """Return the endpoints at which a request leaves enough room for more urgent ones."""
        first_event_s = self._expect_first_event(request, now)
        return [
            view
            for view in views
            if self._policy.may_start(request, figures_by_id[view.endpoint], first_event_s, now)
        ]

    def _weigh(
        self,
        request: RoutedRequest,
        predictions: list[endpointselection.Prediction],
        figures_by_id: dict[str, EndpointFigures],
        now: float,
    ) -> list[endpointselection.Prediction]:
        """Return predictions that take into account what a long prompt costs pending short ones."""
        if not self._policy.is_long(request):
            return predictions
        weighed = []
        for found in predictions:
            # The prediction already has the time to read what is ahead.
            figures = attrs.evolve(figures_by_id[found.endpoint], unread_tokens=0.0)
            weighed.append(self._policy.weigh(request, found, figures, now))
        return weighed

    def _figures(
        self, request: RoutedRequest, view: EndpointView, now: float, has_reading: bool = True
    ) -> EndpointFigures:
        """Return what is known of an endpoint that may take a request, of all hosts together.

        :param has_reading: whether the figures about the reading of prompts are needed.
        """
        endpoint, room = view.endpoint, self._room
        unread_tokens = token_s = uncached_tokens = 0.0
        if has_reading:
            uncached_tokens, _ = self._estimate_uncached_tokens(request, view, now)
            token_s = room.prompt_token_seconds(endpoint, request.model, now)
            token_s *= room.pace(endpoint, now)
            unread_tokens = room.unread_prompt_tokens(endpoint, now)
        return EndpointFigures(
            endpoint=endpoint,
            places=self._selection.count_places(request, view),
            load=room.requests(endpoint, now),
            unread_tokens=unread_tokens,
            token_seconds=token_s,
            own_tokens=uncached_tokens,
        )

    def _expect_first_event(self, request: RoutedRequest, now: float) -> float:
        """Return the time from a request's start to its first event, 0 if it is plain.

        It is predicted for an endpoint of mean speed that has nothing else to read.
        """
        if not request.item:
            return 0.0
        token_s = self._room.prompt_token_seconds("", request.model, now)
        return capacity.first_event_seconds(0.0, request.prompt_tokens, token_s, 0.0, 1.0)

    def _refuse_if_too_late(
        self, pending: PendingRequest, queued_ahead: int, now: float
    ) -> Refusal | None:
        request = pending.request
        latest_start = request.caller_deadline() - START_MARGIN_S
        next_at = self._find_next_return(request, now)
        forecast = self._forecast_wait(pending, queued_ahead, now) if next_at is None else None
        if forecast is not None:
            ready_at = now + forecast.wait_s
            is_late = startforecast.is_too_late(
                forecast.wait_s, forecast.time_left_s, forecast.serve_s
            )
        else:
            ready_at = (
                self._predict_start(pending, queued_ahead, now) if next_at is None else next_at
            )
            is_late = ready_at > latest_start
        is_refused = next_at is not None or self._is_stopping or is_late
        if not is_refused and len(self._queue) <= MAX_QUEUE_LENGTH:
            return None
        return self._refuse_to_wait(pending, ready_at, next_at, now, forecast)

    def _forecast_wait(
        self, pending: PendingRequest, queued_ahead: int, now: float
    ) -> WaitForecast | None:
        """Forecast the start of a request for which all endpoints are full.

        :returns: None where capacity is not shared, no endpoint can take the request, or nothing is
            known of the time that requests hold a place.
        """
        request = pending.request
        holding_s = self._policy.holding_times.find(request.service, request.model, now)
        if not self.shares_capacity or holding_s is None:
            return None
        views = [
            self._endpoint_by_id[endpoint]
            for endpoint in self._find_reachable(request.service, request.item, now)
            if pending.ran is Ran.NO or endpoint not in pending.exclude
        ]
        if not views:
            return None
        figures = [self._figures(request, view, now, has_reading=False) for view in views]
        endpoints = [startforecast.EndpointPlaces(item.places, item.load) for item in figures]
        is_stream = request.route.is_stream
        return WaitForecast(
            wait_s=startforecast.predict_wait(endpoints, holding_s, queued_ahead),
            places=sum(endpoint.places for endpoint in endpoints),
            holding_s=holding_s,
            ahead=queued_ahead,
            time_left_s=request.caller_deadline() - now,
            serve_s=self._expect_first_event(request, now) if is_stream else holding_s,
        )

    def _refuse_to_wait(
        self,
        pending: PendingRequest,
        ready_at: float,
        next_at: float | None,
        now: float,
        forecast: WaitForecast | None = None,
    ) -> Refusal:
        """Refuse a request that can't start in time.

        :param ready_at: predicted start.
        :param next_at: result of ``_find_next_return``.
        """
        request = pending.request
        reason = self._explain_wait(request, now)
        if forecast is not None:
            reason = f"{reason}; {forecast.describe()}"
        if self._is_stopping:
            # Another host can queue the request for longer than this process will run.
            ready_at, reason = now, f"the host is stopping; {reason}"
        if self.shares_capacity and next_at is None:
            time_left_s = request.caller_deadline() - now
            retry_after_s = startforecast.choose_retry_after(ready_at - now, time_left_s, self._rng)
        else:
            # The end of a pause is known, and callers that come earlier are refused again.
            longest_s = RETRY_AFTER_MAX_S if next_at is None else MAX_PAUSE_S
            retry_after_s = min(longest_s, max(RETRY_AFTER_MIN_S, ready_at - now))
            if not math.isfinite(retry_after_s):
                retry_after_s = RETRY_AFTER_MAX_S
            retry_after_s *= 1.0 + RETRY_AFTER_JITTER_RATIO * self._rng.random()
        self._demand(request).count_unmet(now)
        status = _refusal_status(pending.ran)
        return Refusal(STEP, "", reason, "no-capacity", status, pending.ran, retry_after_s)

    def _find_next_return(self, request: RoutedRequest, now: float) -> float | None:
        """Return when an item may be available again, None unless all endpoints leave or pause.

        If one of them pauses, requests don't wait for the end of the pause, where they would all
        start at once. If all leave, they wait for another copy that the holder has announced.
        """
        key = (request.service, request.item)
        views = [self._endpoint_by_id[endpoint] for endpoint in self._index.find(*key)]
        if not views or any(self._availability.is_available(view, now) for view in views):
            return None
        ends = [self._availability.find_pause_end(view) for view in views]
        if any(end is not None for end in ends):
            return min(end for end in ends if end is not None)
        return None if key in self._forecast_by_item else now + LEAVING_RETRY_AFTER_S

    def _refuse_repeat(self, pending: PendingRequest, now: float) -> Refusal | None:
        """Refuse a repeat if each endpoint that could take it refuses all requests.

        The caller may return without spending the retry budget, and reach another host.
        """
        request = pending.request
        avoided_until_by_id = {
            endpoint: self._refusing.avoided_until(endpoint)
            for endpoint in self._find_reachable(request.service, request.item, now)
            if pending.ran is Ran.NO or endpoint not in pending.exclude
        }
        ready_at = min(avoided_until_by_id.values(), default=0.0)
        if not pending.is_charged or ready_at <= now:
            return None
        endpoints = ", ".join(sorted(avoided_until_by_id)[:MAX_EXPLAINED_ENDPOINTS])
        reason = f"all endpoints of {request.item or request.service} refuse requests: {endpoints}"
        retry_after_s = max(AVOID_S, ready_at - now)
        retry_after_s *= 1.0 + RETRY_AFTER_JITTER_RATIO * self._rng.random()
        self._demand(request).count_unmet(now)
        status = _refusal_status(pending.ran)
        return Refusal(STEP, "", reason, "no-capacity", status, pending.ran, retry_after_s)

    def _predict_start(self, pending: PendingRequest, queued_ahead: int, now: float) -> float:
        """Return the predicted start of a queued request."""
        request = pending.request
        key = (request.service, request.item)
        # A repeat that may have run must not be sent to the same endpoint again.
        if any(
            pending.ran is Ran.NO or endpoint not in pending.exclude
            for endpoint in self._find_reachable(*key, now)
        ):
            interval_s = self._interval_by_service.get(
                request.service, _CompletionInterval()
            ).seconds
            return now + interval_s * (queued_ahead + 1)
        expected = self._forecast_by_item.get(key)
        if expected is not None:
            return max(now, expected)
        max_wait_s = NO_FORECAST_WAIT_SHARE * (request.caller_deadline() - request.arrived)
        return now if now - pending.queued_at < max_wait_s else math.inf

    def _explain_wait(self, request: RoutedRequest, now: float) -> str:
        """Return why a request can't start at once."""
        key = (request.service, request.item)
        if self._find_reachable(*key, now):
            return self._explain_full(request, now)
        reason = refusalreasons.explain_missing(
            request.item or request.service,
            self._find_next_return(request, now) is not None,
            key in self._forecast_by_item,
        )
        return f"{reason}; {refusalreasons.explain_forecast_age(self._forecast_at, now)}"

    def _explain_full(self, request: RoutedRequest, now: float) -> str:
        states = []
        endpoints = self._find_reachable(request.service, request.item, now)
        for endpoint in endpoints[:MAX_EXPLAINED_ENDPOINTS]:
            load = self._load(endpoint).current()
            states.append(
                EndpointState(
                    endpoint,
                    load,
                    self._endpoint_by_id[endpoint].slots,
                    self._reserved_tokens_by_id.get(endpoint, 0),
                    self._estimates.token_seconds(endpoint, request.model, load, now),
                )
            )
        return refusalreasons.explain_full(request.item or request.service, states)

    def _forget_absent_load(self, endpoint: str) -> None:
        """Forget the load of an endpoint without an entry, once this host's requests have ended.

        The entry may be put again while they are in progress.
        """
        if endpoint not in self._endpoint_by_id and not self._load(endpoint).own_requests:
            del self._load_by_id[endpoint]
            self._reserved_tokens_by_id.pop(endpoint, None)

    def _load(self, endpoint: str) -> endpointselection.EndpointLoad:
        return self._load_by_id.setdefault(endpoint, endpointselection.EndpointLoad())

    def _demand(self, request: RoutedRequest) -> ItemDemand:
        return self._demand_by_item.setdefault((request.service, request.item), ItemDemand())

    def _retries(self, service: str) -> RetryBucket:
        bounds = self._bounds
        return self._retries_by_service.setdefault(
            service,
            RetryBucket(
                bounds.retry_window_s, bounds.retry_share, bounds.retry_slack, self._started_at
            ),
        )

    def _try_reserve_retry(self, service: str, now: float) -> bool:
        return self._retries(service).try_reserve(self._host_count.get(now), now)

    def _settle_retry(self, pending: PendingRequest, is_sent: bool) -> None:
        if not pending.is_charged:
            return
        bucket = self._retries(pending.request.service)
        if is_sent:
            bucket.spend()
        else:
            bucket.give_back()


def _refusal_status(ran: Ran) -> int:
    """Return 503, which promises that the request has not run and won't, or 502."""
    return 503 if ran is Ran.NO else 502


def _make_error_refusal(pending: PendingRequest, error: Exception) -> Refusal:
    reason = f"the scheduler failed: {error!r}"
    return Refusal(STEP, "", reason, "internal", _refusal_status(pending.ran), pending.ran, 1.0)


def _reserved_tokens(request: RoutedRequest) -> int:
    return request.prompt_tokens + int(MEAN_OUTPUT_SHARE * request.output_tokens)
