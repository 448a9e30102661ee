"""Pure calculations on the capacity of endpoints: free slots, predictions and endpoint selection.

Load pattern: many hosts decide at the same moment from reports that are up to 2 s old. When each
chooses the best predicted endpoint, all choose the same one.
"""

import math
import random
from collections.abc import Sequence

import attrs

from catkinhook.requests.endpointselection import Prediction, choose_best

# Candidates drawn at random; the better of two avoids that hosts with the same report agree.
CANDIDATES = 2
# Exponent of the free slots in the weight of a candidate, and the least weight in slots.
FREE_EXPONENT = 0.5
MIN_WEIGHT = 0.1
# Ratio of latency to target that is added to a prediction for an endpoint whose slots are all used.
# It keeps hosts from filling the fastest endpoints before they see the others' requests there.
OCCUPANCY_COST = 0.3
# Standard deviations of the tokens of other hosts' requests that are kept free. A larger margin
# makes requests wait that endpoints have room for.
MARGIN_DEVIATIONS = 2.0
# Standard deviation of the tokens of a request, relative to their mean.
TOKEN_DEVIATION_RATIO = 0.6
# Fixed cost of a prompt, as prompt tokens that take the same time.
FIXED_PROMPT_TOKENS = 150
# Prompt tokens that an engine may read between two events: an event has 5 tokens, and each step
# reads up to 1,024 prompt tokens.
TOKENS_READ_PER_EVENT = 5 * 1024
# Number of running requests that double the time of a step, mostly by their context.
DOUBLING_BATCH_SIZE = 64.0


@attrs.frozen(kw_only=True)
class Candidate:
    """An endpoint that may take a request.

    :ivar free_slots: free slots, for all hosts.
    :ivar occupancy: share of the slots that is in use.
    :ivar cached_share: share of the prompt that is probably cached there.
    """

    endpoint: str
    free_slots: float
    occupancy: float = 0.0
    cached_share: float = 0.0


@attrs.frozen(kw_only=True)
class Forecast:
    """Prediction for a request at an endpoint.

    :ivar first_event_s: seconds to the first event.
    :ivar event_s: mean seconds between two events.
    :ivar gap_s: longest seconds between two events.
    :ivar tokens_ahead: prompt tokens of other requests that are read first.
    :ivar own_tokens: prompt tokens of the request that are not cached.
    :ivar waits_for_slot: whether the request waits for the end of another.
    """

    first_event_s: float
    event_s: float
    gap_s: float
    tokens_ahead: float
    own_tokens: float
    waits_for_slot: bool

    @property
    def tokens(self) -> float:
        """Tokens that are read until the first event, with the fixed cost of a prompt."""
        return self.tokens_ahead + self.own_tokens + FIXED_PROMPT_TOKENS

    def uncached_ratio(self, prompt_tokens: int) -> float:
        """Return the factor on the time of reading with an empty cache."""
        return (self.tokens + max(0.0, prompt_tokens - self.own_tokens)) / self.tokens


def uncertain_requests(requests: float, age_s: float, hold_s: float) -> float:
    """Return the variance of the requests of other hosts, ``age_s`` after they were reported.

    Starts and ends since the report are independent of each other, so their number varies like that
    of a queue without a limit. The variance is that of all requests once none of those is left.

    :param requests: expected number of requests.
    :param hold_s: mean time for which a request holds a slot.
    """
    return max(0.0, requests) * (1.0 - math.exp(-2.0 * max(0.0, age_s) / hold_s))


def margin_requests(requests: float, count_age_s: float, view_age_s: float, hold_s: float) -> float:
    """Return the requests of mean size to leave room for, as other hosts may have started them.

    :param requests: expected number of other hosts' requests.
    :param count_age_s: age of their number.
    :param view_age_s: age of their tokens.
    :param hold_s: mean time for which a request holds a slot.
    """
    started = uncertain_requests(requests, count_age_s, hold_s)
    replaced = uncertain_requests(requests, view_age_s, hold_s)
    return MARGIN_DEVIATIONS * math.sqrt(started + replaced * TOKEN_DEVIATION_RATIO**2)


def share_of_starts(own_recent: float, others_recent: float) -> float:
    """Return this host's share of the recent starts at an endpoint, the next one included."""
    return (own_recent + 1.0) / (own_recent + 1.0 + max(0.0, others_recent))


def part_of_free(free_slots: float, share: float) -> float:
    """Return how many of the free slots that a report shows this host may use, at least one."""
    return 0.0 if free_slots <= 0.0 else max(1.0, free_slots * share)


def expected_requests(requests: float, mean: float, age_s: float, hold_s: float) -> float:
    """Return the expected number of requests of other hosts, ``age_s`` after it was reported.

    Of the reported requests, those end that are as old as a request lasts, and others start at the
    mean rate. A report that is older than a request lasts says little more than the mean: hosts
    that took it for the present would all move to the endpoint that was idle then.

    :param mean: mean over recent reports.
    :param hold_s: mean time for which a request holds a slot.
    """
    return mean + (requests - mean) * math.exp(-max(0.0, age_s) / hold_s)


def decay_toward(value: float, mean: float, age_s: float, half_life_s: float) -> float:
    """Return a value that was seen ``age_s`` ago and tends to its mean."""
    return mean + (value - mean) * 0.5 ** (max(0.0, age_s) / half_life_s)


def batch_factor(requests: float) -> float:
    """Return the factor by which other running requests prolong the step of an engine."""
    return 1.0 + max(0.0, requests) / DOUBLING_BATCH_SIZE


def slot_wait_seconds(requests: float, slots: int, hold_s: float) -> float:
    """Return the expected wait for a slot at an endpoint with ``requests`` requests.

    :param hold_s: mean time for which a request holds a slot.
    """
    ahead = requests - max(1, slots) + 1.0
    return 0.0 if ahead <= 0.0 else ahead * hold_s / max(1, slots)


def first_event_seconds(
    tokens_ahead: float, own_tokens: float, token_s: float, slot_wait_s: float, pace: float
) -> float:
    """Return the predicted time to the first event of a request.

    :param tokens_ahead: prompt tokens of other requests that the endpoint reads first.
    :param own_tokens: prompt tokens of the request that are not cached.
    :param token_s: seconds per prompt token at the normal pace.
    """
    tokens = max(0.0, tokens_ahead) + own_tokens + FIXED_PROMPT_TOKENS
    return pace * (tokens * token_s + slot_wait_s)


def gap_seconds(event_s: float, unread_tokens: float, token_s: float, pace: float) -> float:
    """Return the predicted longest time between two events of a stream.

    :param event_s: mean seconds between two events, without the reading of prompts.
    :param unread_tokens: prompt tokens that the endpoint has to read, between the events.
    """
    read = min(max(0.0, unread_tokens), TOKENS_READ_PER_EVENT)
    return event_s + pace * read * token_s


def draw(candidates: Sequence[Candidate], rng: random.Random) -> list[Candidate]:
    """Return the candidates to compare.

    These are up to ``CANDIDATES`` random ones, weighted by free slots, and the one with the largest
    cached share of the prompt, if any: reading a shared prefix again elsewhere costs time. The same
    candidate may be drawn twice, so that hosts don't all choose the better of two endpoints.
    """
    if len(candidates) == 1:
        return list(candidates)
    weights = [max(MIN_WEIGHT, candidate.free_slots) ** FREE_EXPONENT for candidate in candidates]
    drawn_by_id = {c.endpoint: c for c in rng.choices(candidates, weights, k=CANDIDATES)}
    drawn = list(drawn_by_id.values())
    cached = max(candidates, key=lambda c: (c.cached_share, c.free_slots))
    if cached.cached_share > max(c.cached_share for c in drawn):
        drawn.append(cached)
    return drawn


def choose(predictions: Sequence[Prediction], drawn: Sequence[Candidate]) -> tuple[Prediction, str]:
    """Return the best prediction and the reason: ``only``, ``zone``, ``cached`` or ``predicted``.

    :param predictions: predictions for ``drawn``, at least one, in the same order.
    """
    occupancy_by_id = {candidate.endpoint: candidate.occupancy for candidate in drawn}
    predictions = [
        attrs.evolve(p, ratio=p.ratio + OCCUPANCY_COST * occupancy_by_id[p.endpoint])
        for p in predictions
    ]
    best = choose_best(predictions)
    if len(predictions) == 1:
        return best, "only"
    if best.ratio > min(p.ratio for p in predictions):
        return best, "zone"
    share_by_id = {candidate.endpoint: candidate.cached_share for candidate in drawn}
    own_share = share_by_id.pop(best.endpoint)
    is_cached = own_share > max(share_by_id.values())
    return best, "cached" if is_cached else "predicted"
