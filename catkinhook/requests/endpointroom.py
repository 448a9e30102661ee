"""What a host knows of the capacity of each endpoint: requests, tokens, pace and speed.

Figures of other hosts come from the holder's view and from load headers; both are out of date when
they arrive. What this host has sent since then counts in full.
"""

from collections.abc import Iterable

import attrs

from catkinhook.requests import capacity
from catkinhook.requests.estimates import DecayingMean
from catkinhook.requests.sharedspeeds import MeasuredSpeed, SharedSpeeds

# Age in seconds from which a figure of other hosts is not used.
MAX_REPORT_AGE_S = 4.0
# Share of the slots that a host uses at an endpoint whose other requests it does not know.
UNKNOWN_SLOT_SHARE = 0.5
# Smoothing factor of the mean of the requests in reports.
MEAN_SMOOTHING = 0.2
# Time constant in seconds of the recent starts at an endpoint.
RECENT_S = 2.0
# Half-life in seconds of a pace; endpoints change it every few hundred milliseconds.
PACE_HALF_LIFE_S = 0.3
# Age in seconds up to which a pace is passed on.
MAX_PACE_AGE_S = 2.0
# Prior of the seconds for which a request holds a slot.
PRIOR_HOLD_S = 1.5
# A difference between the clocks in seconds that shows that the host was suspended.
MIN_SUSPENSION_S = 0.25
# Tokens that a request of another host is assumed to reserve while nothing is known.
PRIOR_RESERVED_TOKENS = 1500.0
# Multiple of its part of the memory that a host uses at an endpoint whose other requests it does
# not know.
UNKNOWN_PART_FACTOR = 2.0
# Share of the known hosts that must have reported to a holder for its sums to be used.
MIN_HOST_SHARE = 0.5


@attrs.frozen
class EndpointUsage:
    """Requests in progress at an endpoint.

    :ivar unread_tokens: prompt tokens of requests without a first event.
    :ivar reserved_tokens: KV cache tokens that the requests reserve.
    """

    requests: float = 0.0
    unread_tokens: float = 0.0
    reserved_tokens: float = 0.0

    def plus(self, other: "EndpointUsage", factor: float = 1.0) -> "EndpointUsage":
        """Return the sum, with a multiple of the other usage, but at least 0."""
        return EndpointUsage(
            max(0.0, self.requests + factor * other.requests),
            max(0.0, self.unread_tokens + factor * other.unread_tokens),
            max(0.0, self.reserved_tokens + factor * other.reserved_tokens),
        )


_NOTHING = EndpointUsage()


@attrs.define
class _OwnRequest:
    endpoint: str
    model: str
    started_at: float
    usage: EndpointUsage


@attrs.define
class _Endpoint:
    """State of one endpoint.

    :ivar own: usage by this host.
    :ivar reported: usage by this host in its last report.
    :ivar others: usage by other hosts at ``view_at``.
    :ivar mean_others: mean requests of other hosts over recent reports, None before the first.
    :ivar header_others: requests of other hosts at ``header_at``, from a load header.
    :ivar own_at_base: requests of this host when the newer of both figures was taken.
    :ivar recent_starts: starts by this host, decayed to ``recent_at``.
    """

    own: EndpointUsage = _NOTHING
    reported: EndpointUsage = _NOTHING
    others: EndpointUsage = _NOTHING
    view_at: float = float("-inf")
    mean_others: float | None = None
    header_others: float = 0.0
    header_at: float = float("-inf")
    own_at_base: float = 0.0
    recent_starts: float = 0.0
    recent_at: float = float("-inf")
    pace: float | None = None
    pace_at: float = float("-inf")
    mean_pace: DecayingMean = attrs.Factory(DecayingMean)

    def has_view(self, now: float) -> bool:
        return now - self.view_at <= MAX_REPORT_AGE_S

    def is_known(self, now: float) -> bool:
        return now - max(self.view_at, self.header_at) <= MAX_REPORT_AGE_S

    def other_requests(self, hold_s: float, now: float) -> float:
        """Return the expected requests of other hosts, 0 if unknown."""
        if not self.is_known(now):
            return 0.0
        requests, at = self.others.requests, self.view_at
        if self.header_at >= self.view_at:
            requests, at = self.header_others, self.header_at
        mean = requests if self.mean_others is None else self.mean_others
        return capacity.expected_requests(requests, mean, now - at, hold_s)

    def recent_at_time(self, now: float) -> float:
        return self.recent_starts * 0.5 ** (max(0.0, now - self.recent_at) / RECENT_S)


class EndpointRoom:
    """What is known of each endpoint; times are seconds on the local monotonic clock.

    All numbers of an unknown endpoint are those of an idle one.
    """

    def __init__(self) -> None:
        self.speeds = SharedSpeeds()
        self._endpoint_by_id: dict[str, _Endpoint] = {}
        self._request_by_number: dict[int, _OwnRequest] = {}
        self._hold = DecayingMean()
        # The mean is needed for each candidate of a decision, at the same time.
        self._hold_s, self._hold_at = PRIOR_HOLD_S, float("-inf")
        # Mean usage by a request of other hosts, from the last view.
        self._mean_usage = _NOTHING
        self._known_hosts = 1
        self._boot_offset: float | None = None

    # Queries.

    def requests(self, endpoint: str, now: float) -> float:
        """Return the running and waiting requests of all hosts.

        Those of other hosts are corrected for the age of the report, and not counted if it is older
        than ``MAX_REPORT_AGE_S``.
        """
        state = self._endpoint_by_id.get(endpoint)
        return (
            0.0
            if state is None
            else state.own.requests + state.other_requests(self.hold_seconds(now), now)
        )

    def unread_prompt_tokens(self, endpoint: str, now: float) -> float:
        """Return the prompt tokens of all hosts' requests that the endpoint has yet to read."""
        state = self._endpoint_by_id.get(endpoint)
        if state is None:
            return 0.0
        if state.has_view(now):
            return state.own.unread_tokens + state.others.unread_tokens
        others = state.other_requests(self.hold_seconds(now), now)
        return state.own.unread_tokens + others * self._mean_usage.unread_tokens

    def reserved_tokens(self, endpoint: str, now: float) -> float:
        """Return the KV cache tokens that all hosts' requests reserve."""
        state = self._endpoint_by_id.get(endpoint)
        if state is None:
            return 0.0
        others = state.other_requests(self.hold_seconds(now), now)
        return self._reserved(state, others, self._mean_reserved(state), now)

    def free_tokens(self, endpoint: str, limit: float, now: float) -> float:
        """Return how many KV cache tokens this host may reserve in addition.

        The tokens of other hosts' requests are known from reports that are up to 3 s old, which is
        longer than a request lasts. What they may have started since is kept free. At an endpoint
        whose other requests are not known, a host uses a small multiple of its part.

        :param limit: tokens that all hosts may reserve.
        """
        state = self._endpoint_by_id.get(endpoint)
        if state is None or not state.is_known(now):
            own = 0.0 if state is None else state.own.reserved_tokens
            share = min(UNKNOWN_SLOT_SHARE, UNKNOWN_PART_FACTOR / max(1, self._known_hosts))
            return max(0.0, limit * share - own)
        hold_s = self.hold_seconds(now)
        others, mean = state.other_requests(hold_s, now), self._mean_reserved(state)
        free = limit - self._reserved(state, others, mean, now)
        count_age_s, view_age_s = now - max(state.view_at, state.header_at), now - state.view_at
        margin = capacity.margin_requests(others, count_age_s, view_age_s, hold_s)
        return max(0.0, free - mean * margin)

    def pace(self, endpoint: str, now: float) -> float:
        """Return the factor by which work takes longer at this moment; 1.0 is normal."""
        state = self._endpoint_by_id.get(endpoint)
        if state is None or state.pace is None:
            return 1.0
        mean = state.mean_pace.blend(1.0, now)
        return capacity.decay_toward(state.pace, mean, now - state.pace_at, PACE_HALF_LIFE_S)

    def mean_pace(self, endpoint: str, now: float) -> float:
        """Return the mean pace seen."""
        state = self._endpoint_by_id.get(endpoint)
        return 1.0 if state is None else state.mean_pace.blend(1.0, now)

    def prompt_token_seconds(self, endpoint: str, model: str, now: float) -> float:
        """Return the seconds in which the endpoint reads a prompt token, at the normal pace."""
        return self.speeds.prompt_token_seconds(endpoint, model, now)

    def free_slots(self, endpoint: str, slots: int, now: float) -> float:
        """Return how many free slots this host may use: its part of those that all hosts see.

        Above 0, a request may start. At an endpoint whose other requests are not known, these are
        ``UNKNOWN_SLOT_SHARE`` of the slots.

        :param slots: slots of the endpoint; those of a plain service include its queue.
        """
        slots = max(1, slots)
        state = self._endpoint_by_id.get(endpoint)
        if state is None or not state.is_known(now):
            own = 0.0 if state is None else state.own.requests
            return max(0.0, max(1.0, UNKNOWN_SLOT_SHARE * slots) - own)
        others, own = state.other_requests(self.hold_seconds(now), now), state.own.requests
        others_recent = others * RECENT_S / self.hold_seconds(now)
        share = capacity.share_of_starts(state.recent_at_time(now), others_recent)
        part = capacity.part_of_free(slots - others - state.own_at_base, share)
        left = part - max(0.0, own - state.own_at_base)
        return max(0.0, min(left, slots - others - own))

    def occupancy(self, endpoint: str, slots: int, now: float) -> float:
        """Return the share of the slots that the requests of all hosts use, waiting ones too."""
        return self.requests(endpoint, now) / max(1, slots)

    def is_known(self, endpoint: str, now: float) -> bool:
        """Return whether the usage by other hosts is known from a recent report."""
        state = self._endpoint_by_id.get(endpoint)
        return state is not None and state.is_known(now)

    def forecast(
        self, endpoint: str, model: str, own_tokens: float, slots: int, now: float
    ) -> capacity.Forecast:
        """Predict first event and gaps of a request that is sent now.

        :param own_tokens: prompt tokens of the request that are not cached.
        """
        requests, pace = self.requests(endpoint, now), self.pace(endpoint, now)
        ahead = self.unread_prompt_tokens(endpoint, now)
        token_s = self.prompt_token_seconds(endpoint, model, now)
        wait_s = capacity.slot_wait_seconds(requests, slots, self.hold_seconds(now))
        # A stream outlasts the present pace.
        event_s = self.speeds.event_seconds(endpoint, model, now) * self.mean_pace(endpoint, now)
        event_s *= capacity.batch_factor(requests)
        return capacity.Forecast(
            first_event_s=capacity.first_event_seconds(ahead, own_tokens, token_s, wait_s, pace),
            event_s=event_s,
            gap_s=capacity.gap_seconds(event_s, ahead + own_tokens, token_s, pace),
            tokens_ahead=ahead,
            own_tokens=own_tokens,
            waits_for_slot=wait_s > 0.0,
        )

    def observe_first_event(
        self, endpoint: str, model: str, forecast: capacity.Forecast, seconds: float, now: float
    ) -> None:
        """Learn the reading speed of an endpoint from the first event of a request."""
        if not forecast.waits_for_slot:
            token_s = seconds / (forecast.tokens * self.pace(endpoint, now))
            self.speeds.observe_prompt(endpoint, model, token_s, now)

    def observe_events(self, endpoint: str, model: str, event_s: float, now: float) -> None:
        """Learn the decoding speed of an endpoint from the time between events of a stream."""
        factor = self.mean_pace(endpoint, now) * capacity.batch_factor(self.requests(endpoint, now))
        self.speeds.observe_event(endpoint, model, event_s / factor, now)

    def hold_seconds(self, now: float) -> float:
        """Return the mean time for which a request holds a slot."""
        if self._hold_at != now:
            self._hold_s, self._hold_at = max(1e-3, self._hold.blend(PRIOR_HOLD_S, now)), now
        return self._hold_s

    # Requests of this host.

    def start(
        self, number: int, endpoint: str, model: str, unread: float, reserved: float, now: float
    ) -> None:
        """Count a request that this host sends.

        :param number: number of the attempt.
        :param unread: prompt tokens that are probably not cached.
        """
        state = self._state(endpoint)
        usage = EndpointUsage(1.0, unread, reserved)
        self._request_by_number[number] = _OwnRequest(endpoint, model, now, usage)
        state.own = state.own.plus(usage)
        state.recent_starts, state.recent_at = state.recent_at_time(now) + 1.0, now

    def record_first_event(self, number: int) -> None:
        """Record that an endpoint has read the prompt of a request."""
        request = self._request_by_number.get(number)
        if request is None or not request.usage.unread_tokens:
            return
        state = self._state(request.endpoint)
        read = EndpointUsage(0.0, request.usage.unread_tokens, 0.0)
        state.own = state.own.plus(read, -1.0)
        request.usage = request.usage.plus(read, -1.0)

    def record_tokens(self, number: int, tokens: float) -> None:
        """Record the KV cache tokens that a request uses; it may need more than was reserved."""
        request = self._request_by_number.get(number)
        if request is None or tokens <= request.usage.reserved_tokens:
            return
        more = EndpointUsage(0.0, 0.0, tokens - request.usage.reserved_tokens)
        state = self._state(request.endpoint)
        state.own = state.own.plus(more)
        request.usage = request.usage.plus(more)

    def finish(self, number: int, now: float) -> None:
        """Remove a request that has ended.

        Those of engines give the mean time for which a request holds a slot.
        """
        request = self._request_by_number.pop(number, None)
        if request is None:
            return
        state = self._endpoint_by_id.get(request.endpoint)
        if state is not None:
            state.own = state.own.plus(request.usage, -1.0)
        if request.model and not request.usage.unread_tokens:
            self._hold.observe(now - request.started_at, now)
            self._hold_at = float("-inf")

    # Reports.

    def report_usage(self, is_for_holder: bool) -> dict[tuple[str, str], tuple[float, float]]:
        """Return unread prompt tokens and reserved tokens of this host by endpoint and model.

        :param is_for_holder: whether to remember this as what the sums of the holder contain.
        """
        tokens_by_use: dict[tuple[str, str], tuple[float, float]] = {}
        for request in self._request_by_number.values():
            use, usage = (request.endpoint, request.model), request.usage
            known = tokens_by_use.get(use, (0.0, 0.0))
            tokens_by_use[use] = (
                known[0] + usage.unread_tokens,
                known[1] + usage.reserved_tokens,
            )
        if is_for_holder:
            for state in self._endpoint_by_id.values():
                state.reported = state.own
        return tokens_by_use

    def report_speeds(self, now: float) -> tuple[MeasuredSpeed, ...]:
        """Return what was measured since the last report, with recent paces."""
        speeds = []
        for speed in self.speeds.take_measured(now):
            state = self._endpoint_by_id.get(speed.key)
            if state is not None and now - state.pace_at <= MAX_PACE_AGE_S:
                speed = attrs.evolve(speed, pace=state.pace, pace_at=state.pace_at)
            speeds.append(speed)
        return tuple(speeds)

    def apply_view(
        self,
        endpoints: Iterable[str],
        sums: tuple[dict[str, int], dict[str, tuple[float, float]]],
        host_count: int,
        known_hosts: int,
        lag_s: float,
        now: float,
    ) -> None:
        """Apply the sums of the holder.

        :param endpoints: known endpoints.
        :param sums: requests, and unread prompt tokens and reserved tokens, by endpoint; those
            without requests may be absent.
        :param host_count: hosts that have reported to the holder.
        :param known_hosts: hosts that reported within the last seconds. A new holder's sums lack
            those that have not reported to it yet.
        :param lag_s: mean age of the reports that the holder summed.
        """
        if host_count < MIN_HOST_SHARE * known_hosts:
            return
        self._known_hosts = known_hosts
        factor = max(1.0, known_hosts / max(1, host_count))
        taken_at = now - lag_s
        total = _NOTHING
        for endpoint in endpoints:
            state = self._state(endpoint)
            others = _NOTHING.plus(self._subtract_own(endpoint, state, sums), factor)
            total = total.plus(others)
            elapsed_s = taken_at - state.view_at
            if elapsed_s <= 0.0:
                continue
            if state.mean_others is None or elapsed_s > MAX_REPORT_AGE_S:
                state.mean_others = others.requests
            step = others.requests - state.mean_others
            state.mean_others += MEAN_SMOOTHING * step
            state.others, state.view_at = others, taken_at
            if state.header_at < taken_at:
                state.own_at_base = state.reported.requests
        if total.requests:
            self._mean_usage = _NOTHING.plus(total, 1.0 / total.requests)

    def record_load(
        self, endpoint: str, running: int, waiting: int, pace: float | None, now: float
    ) -> None:
        """Apply the load header of an answer.

        :param pace: factor by which work takes longer, None if the header has none.
        """
        state = self._state(endpoint)
        state.header_others = max(0.0, running + waiting - state.own.requests)
        state.header_at, state.own_at_base = now, state.own.requests
        if pace is not None:
            state.pace, state.pace_at = pace, now
            state.mean_pace.observe(pace, now)

    def merge_speeds(self, speeds: tuple[MeasuredSpeed, ...], now: float) -> None:
        """Apply the speeds and paces that the holder told."""
        self.speeds.merge(speeds, now)
        for speed in speeds:
            state = self._endpoint_by_id.get(speed.key)
            if state is not None and speed.pace is not None and speed.pace_at > state.pace_at:
                state.pace, state.pace_at = speed.pace, speed.pace_at
                state.mean_pace.observe(speed.pace, now)

    def record_boot_time(self, boot_s: float, now: float) -> None:
        """Age what is known by the time for which the host was suspended.

        :param boot_s: clock that advances during a suspension, which the monotonic one does not.
        """
        offset = boot_s - now
        suspended_s = 0.0 if self._boot_offset is None else offset - self._boot_offset
        self._boot_offset = offset
        if suspended_s < MIN_SUSPENSION_S:
            return
        for state in self._endpoint_by_id.values():
            state.view_at -= suspended_s
            state.header_at -= suspended_s
            state.pace_at -= suspended_s
            state.recent_at -= suspended_s

    def restart(self, endpoint: str) -> None:
        """Forget the requests of other hosts at an endpoint that has restarted."""
        state = self._endpoint_by_id.get(endpoint)
        if state is not None:
            state.header_at, state.pace = float("-inf"), None

    def remove(self, endpoints: set[str]) -> None:
        """Remove endpoints that no longer exist; ``speeds`` is told of all endpoints itself."""
        for endpoint in endpoints:
            self._endpoint_by_id.pop(endpoint, None)

    def _state(self, endpoint: str) -> _Endpoint:
        state = self._endpoint_by_id.get(endpoint)
        if state is None:
            # Its entry may have been dropped and put again while requests were in progress.
            own = _NOTHING
            for request in self._request_by_number.values():
                if request.endpoint == endpoint:
                    own = own.plus(request.usage)
            state = self._endpoint_by_id[endpoint] = _Endpoint(own=own, reported=own)
        return state

    def _subtract_own(
        self,
        endpoint: str,
        state: _Endpoint,
        sums: tuple[dict[str, int], dict[str, tuple[float, float]]],
    ) -> EndpointUsage:
        """Return the usage by other hosts at an endpoint."""
        running_by_id, tokens_by_id = sums
        others = max(0.0, running_by_id.get(endpoint, 0) - state.reported.requests)
        tokens = tokens_by_id.get(endpoint)
        if tokens is None:
            # The holder or the other hosts run a version that doesn't report tokens.
            return EndpointUsage(others, 0.0, others * self._mean_reserved(state))
        sum_of_all = EndpointUsage(others, tokens[0], tokens[1])
        return sum_of_all.plus(attrs.evolve(state.reported, requests=0.0), -1.0)

    def _reserved(self, state: _Endpoint, others: float, mean: float, now: float) -> float:
        """Return the tokens that all hosts' requests reserve.

        :param others: expected requests of other hosts.
        :param mean: tokens that a request of another host reserves.
        """
        if not state.has_view(now):
            return state.own.reserved_tokens + others * mean
        change = (others - state.others.requests) * mean
        return state.own.reserved_tokens + max(0.0, state.others.reserved_tokens + change)

    def _mean_reserved(self, state: _Endpoint) -> float:
        """Return the tokens that a request of another host reserves."""
        if self._mean_usage.reserved_tokens:
            return self._mean_usage.reserved_tokens
        own = state.own
        return own.reserved_tokens / own.requests if own.requests else PRIOR_RESERVED_TOKENS
