"""State of a host's scheduler, which the modules of its decisions share."""

import random
from collections.abc import Callable

import attrs

from catkinhook.errors import Ran
from catkinhook.requests import capacity, endpointselection, retries
from catkinhook.requests.demand import ItemDemand
from catkinhook.requests.endpointavailability import EndpointAvailability
from catkinhook.requests.endpointindex import EndpointIndex
from catkinhook.requests.endpointroom import EndpointRoom
from catkinhook.requests.estimates import DecayingMean, Estimates
from catkinhook.requests.hostretries import HostCount
from catkinhook.requests.partquarantine import PartQuarantine
from catkinhook.requests.prefixes import PrefixIndex
from catkinhook.requests.queuepolicy import QueuePolicy
from catkinhook.requests.refusals import RefusingEndpoints
from catkinhook.requests.routedrequest import Decision, RoutedRequest
from catkinhook.requests.routetable import RouteTable
from catkinhook.requests.sharedselection import SharedSelection
from catkinhook.requests.suspects import Suspects
from catkinhook.state.views import EndpointView

STEP = "scheduling"

# An answer of this many times the mean length should end within its route's timeout. The platform's
# largest requests are four times the mean.
LARGE_OUTPUT_FACTOR = 4.0
# Requests that a plain service queues itself, as a multiple of its slots; it refuses further
# requests.
PLAIN_QUEUE_RATIO = 1.0
# Mean length of an answer as a share of the request's output token limit.
MEAN_OUTPUT_SHARE = 0.7
# Smoothing factor of the interval between completions, which predicts queueing times.
INTERVAL_SMOOTHING = 0.1
# Seconds after a load header with a pace for which capacity is shared between hosts.
PACE_ACTIVATION_S = 60.0


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
class Attempt:
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
class CompletionInterval:
    """Smoothed time between two completions of requests of one service."""

    seconds: float = 0.0
    last_at: float | None = None

    def record(self, now: float) -> None:
        if self.last_at is not None:
            step = INTERVAL_SMOOTHING if self.seconds else 1.0
            self.seconds += step * (min(1.0, now - self.last_at) - self.seconds)
        self.last_at = now


@attrs.define(eq=False)
class SchedulerState:
    """What a host's scheduler knows; used by one actor only.

    :ivar zone: availability zone of this host.
    :ivar may_probe: returns whether this host may send a quarantined request now.
    :ivar availability: endpoints that must get no requests.
    :ivar suspects: events about requests that may crash endpoints, exchanged between hosts.
    :ivar parts: quarantine of prompt parts that crash engines, exchanged between hosts.
    :ivar host_count: hosts that share the retry budget.
    :ivar on_selection: called with the reason for which one endpoint was preferred to others.
    :ivar on_forecast_error: called with predicted minus measured seconds to a first event.
    :ivar latest_at: the latest time seen.
    :ivar pace_seen_at: time of the latest load header with a pace.
    """

    zone: str
    rng: random.Random
    may_probe: Callable[[], bool]
    availability: EndpointAvailability
    suspects: Suspects
    parts: PartQuarantine
    host_count: HostCount
    on_selection: Callable[[str], None]
    on_forecast_error: Callable[[float], None]
    table: RouteTable | None = None
    endpoint_by_id: dict[str, EndpointView] = attrs.Factory(dict)
    index: EndpointIndex = attrs.Factory(EndpointIndex)
    load_by_id: dict[str, endpointselection.EndpointLoad] = attrs.Factory(dict)
    reserved_tokens_by_id: dict[str, int] = attrs.Factory(dict)
    attempt_by_number: dict[int, Attempt] = attrs.Factory(dict)
    demand_by_item: dict[tuple[str, str], ItemDemand] = attrs.Factory(dict)
    forecast_by_item: dict[tuple[str, str], float] = attrs.Factory(dict)
    forecast_at: float | None = None
    absent_until: dict[tuple[str, str], float] = attrs.Factory(dict)
    down_until: dict[str, float] = attrs.Factory(dict)
    refusing: RefusingEndpoints = attrs.Factory(RefusingEndpoints)
    interval_by_service: dict[str, CompletionInterval] = attrs.Factory(dict)
    estimates: Estimates = attrs.Factory(Estimates)
    events_by_route: dict[str, DecayingMean] = attrs.Factory(dict)
    room: EndpointRoom = attrs.Factory(EndpointRoom)
    prefixes: PrefixIndex = attrs.Factory(PrefixIndex)
    ejections: retries.Ejections = attrs.Factory(retries.Ejections)
    policy: QueuePolicy = attrs.Factory(QueuePolicy)
    next_attempt: int = 1
    is_stopping: bool = False
    latest_at: float = float("-inf")
    pace_seen_at: float = float("-inf")
    selection: SharedSelection = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.selection = SharedSelection(
            room=self.room,
            prefixes=self.prefixes,
            events_by_route=self.events_by_route,
            zone=self.zone,
            rng=self.rng,
            large_output_factor=LARGE_OUTPUT_FACTOR,
            plain_queue_ratio=PLAIN_QUEUE_RATIO,
            on_selection=self.on_selection,
            on_forecast_error=self.on_forecast_error,
        )

    @property
    def shares_capacity(self) -> bool:
        """Whether hosts of this deployment share what they know of the capacity of endpoints."""
        if self.table is not None and self.table.workspaces is not None:
            return True
        return self.latest_at - self.pace_seen_at <= PACE_ACTIVATION_S

    def estimate_uncached_tokens(
        self, request: RoutedRequest, view: EndpointView, now: float
    ) -> tuple[float, float]:
        return self.prefixes.estimate_uncached_tokens(
            view.endpoint, request.prompt_tokens, request.prefixes, frozenset(), now
        )

    def find_reachable(self, service: str, item: str, now: float) -> list[str]:
        return [
            endpoint
            for endpoint in self.index.find(service, item)
            if self.down_until.get(endpoint, 0.0) <= now
            and self.availability.is_available(self.endpoint_by_id[endpoint], now)
        ]

    def forget_absent_load(self, endpoint: str) -> None:
        """Forget the load of an endpoint without an entry, once this host's requests have ended.

        The entry may be put again while they are in progress.
        """
        if endpoint not in self.endpoint_by_id and not self.load(endpoint).own_requests:
            del self.load_by_id[endpoint]
            self.reserved_tokens_by_id.pop(endpoint, None)

    def load(self, endpoint: str) -> endpointselection.EndpointLoad:
        return self.load_by_id.setdefault(endpoint, endpointselection.EndpointLoad())

    def demand(self, request: RoutedRequest) -> ItemDemand:
        return self.demand_by_item.setdefault((request.service, request.item), ItemDemand())


def refusal_status(ran: Ran) -> int:
    """Return 503, which promises that the request has not run and won't, or 502."""
    return 503 if ran is Ran.NO else 502


def reserved_tokens(request: RoutedRequest) -> int:
    return request.prompt_tokens + int(MEAN_OUTPUT_SHARE * request.output_tokens)
