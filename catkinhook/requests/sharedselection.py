"""Selection of endpoints where hosts share what they know of their capacity."""

import math
import random
from collections.abc import Callable, Mapping

import attrs

from catkinhook.requests import capacity, endpointselection
from catkinhook.requests.endpointroom import EndpointRoom
from catkinhook.requests.endpointselection import Prediction
from catkinhook.requests.estimates import DecayingMean
from catkinhook.requests.prefixes import PrefixIndex
from catkinhook.requests.routedrequest import RoutedRequest
from catkinhook.state.views import EndpointView


@attrs.define
class SharedSelection:
    """Compares endpoints by what ``EndpointRoom`` knows of them.

    :ivar zone: availability zone of this host.
    :ivar events_by_route: mean number of events of a stream.
    :ivar large_output_factor: an answer of this many times the mean length should be in time.
    :ivar plain_queue_ratio: requests that a plain service queues, as a multiple of its slots.
    :ivar on_selection: called with the reason of a selection.
    :ivar on_forecast_error: called with predicted minus measured seconds to a first event.
    """

    room: EndpointRoom
    prefixes: PrefixIndex
    events_by_route: Mapping[str, DecayingMean]
    zone: str
    rng: random.Random
    large_output_factor: float
    plain_queue_ratio: float
    on_selection: Callable[[str], None]
    on_forecast_error: Callable[[float], None]

    def choose(
        self,
        request: RoutedRequest,
        views: list[EndpointView],
        now: float,
        weigh: Callable[[list[Prediction]], list[Prediction]] = list,
    ) -> EndpointView | None:
        """Return the best of a few endpoints that are drawn by their free slots.

        :param views: endpoints with capacity for the request.
        :param weigh: returns the predictions with what else counts for or against each endpoint.
        """
        if not views:
            return None
        view_by_id = {view.endpoint: view for view in views}
        candidates = [self._make_candidate(request, view, now) for view in views]
        drawn = capacity.draw(candidates, self.rng)
        predictions = weigh([self._predict(request, view_by_id[c.endpoint], now) for c in drawn])
        best, reason = capacity.choose(predictions, drawn)
        self.on_selection(reason)
        return view_by_id[best.endpoint]

    def has_capacity(
        self,
        request: RoutedRequest,
        view: EndpointView,
        reserved: int,
        cache_tokens: float,
        now: float,
    ) -> bool:
        """Return whether this host may use a slot, and the KV cache has room for the request.

        :param reserved: tokens that the request reserves.
        :param cache_tokens: tokens that may be reserved, infinite if unknown.
        """
        room, endpoint = self.room, view.endpoint
        if room.free_slots(endpoint, self.count_places(request, view), now) <= 0.0:
            return False
        if reserved <= room.free_tokens(endpoint, cache_tokens, now):
            return True
        return room.reserved_tokens(endpoint, now) < 1.0

    def forecast(self, request: RoutedRequest, view: EndpointView, now: float) -> capacity.Forecast:
        """Predict first event and gaps of a request that is sent now."""
        uncached_tokens, _ = self.prefixes.estimate_uncached_tokens(
            view.endpoint, request.prompt_tokens, request.prefixes, frozenset(), now
        )
        slots = view.slots
        return self.room.forecast(view.endpoint, request.model, uncached_tokens, slots, now)

    def record_first_event(
        self,
        request: RoutedRequest,
        endpoint: str,
        forecast: capacity.Forecast,
        seconds: float,
        now: float,
        hinted_share: float,
        is_success: bool,
    ) -> None:
        """Learn from the difference between a measured first event and its prediction.

        :param seconds: measured time to the first event.
        :param hinted_share: share of the prompt that the prefix index listed as cached.
        :param is_success: whether the answer is not an error.
        """
        self.on_forecast_error(forecast.first_event_s - seconds)
        if not is_success:
            return
        if request.item:
            full = forecast.first_event_s * forecast.uncached_ratio(request.prompt_tokens)
            self.prefixes.update_saving(hinted_share, full, seconds)
        self.room.observe_first_event(endpoint, request.model, forecast, seconds, now)

    def _make_candidate(
        self, request: RoutedRequest, view: EndpointView, now: float
    ) -> capacity.Candidate:
        places = self.count_places(request, view)
        occupancy = self.room.occupancy(view.endpoint, places, now)
        return capacity.Candidate(
            endpoint=view.endpoint,
            free_slots=places * (1.0 - occupancy),
            occupancy=occupancy,
            cached_share=self.prefixes.cached_share(
                view.endpoint, request.prefixes, frozenset(), now
            ),
        )

    def _predict(self, request: RoutedRequest, view: EndpointView, now: float) -> Prediction:
        forecast, route = self.forecast(request, view, now), request.route
        mean = self.events_by_route.get(route.name)
        events = self.large_output_factor * mean.value if mean is not None else 0.0
        finish_s = forecast.first_event_s + events * forecast.event_s
        gap_s = forecast.gap_s if route.is_stream else 0.0
        targets = (max(1e-3, route.objective_s), route.gap_s or math.inf, route.timeout_s)
        ratio = endpointselection.latency_ratio(forecast.first_event_s, gap_s, finish_s, targets)
        return Prediction(
            endpoint=view.endpoint,
            ratio=ratio,
            finish_s=forecast.first_event_s,
            same_zone=view.zone == self.zone,
        )

    def count_places(self, request: RoutedRequest, view: EndpointView) -> int:
        """Return the slots of an endpoint, with the queue of a plain service."""
        slots = max(1, view.slots)
        return slots if request.item else int(slots * (1.0 + self.plain_queue_ratio))
