"""Estimates of prefill and decode speed by endpoint and model, with priors and decay."""

import attrs

PRIOR_TOKEN_SECONDS = 0.01
PRIOR_PREFILL_SECONDS = 0.0002

# Batch size at which each request runs at half the speed of a single request.
HALF_SPEED_BATCH_SIZE = 16.0
# Fixed cost of a prompt in tokens; without it, the predicted cost of a short prompt is near zero.
FIXED_PROMPT_TOKENS = 64
HALF_LIFE_S = 20.0
MAX_WEIGHT = 12.0
PRIOR_WEIGHT = 1.0

_ALL = ""


@attrs.define
class DecayingMean:
    """Exponentially decaying mean; the weight of an observation halves in ``HALF_LIFE_S``."""

    value: float = 0.0
    weight: float = 0.0
    updated_at: float = 0.0

    def weight_at(self, now: float) -> float:
        """Return the decayed weight of all observations."""
        return self.weight * 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)

    def observe(self, value: float, now: float) -> None:
        """Add an observation."""
        weight = min(self.weight_at(now), MAX_WEIGHT - 1.0)
        self.value = (self.value * weight + value) / (weight + 1.0)
        self.weight, self.updated_at = weight + 1.0, max(self.updated_at, now)

    def blend(self, prior: float, now: float) -> float:
        """Return the weighted mean of the prior and the observations."""
        weight = self.weight_at(now)
        return (prior * PRIOR_WEIGHT + self.value * weight) / (PRIOR_WEIGHT + weight)


def slowdown(load: float) -> float:
    """Return the factor by which ``load`` other requests slow a request down."""
    return 1.0 + max(0.0, load) / HALF_SPEED_BATCH_SIZE


class Estimates:
    """Seconds per prompt token and per output token of an unloaded endpoint.

    The prior of an endpoint and model is the mean of the endpoint, whose prior is the mean of all
    endpoints. An observation of a slow endpoint therefore affects the estimates of all its models.
    """

    def __init__(self) -> None:
        self._prefill: dict[tuple[str, str], DecayingMean] = {}
        self._decode: dict[tuple[str, str], DecayingMean] = {}

    def observe_first_token(
        self, endpoint: str, model: str, tokens: float, load: float, seconds: float, now: float
    ) -> None:
        """Record the time to the first token of a request.

        :param tokens: prompt tokens that were not cached.
        :param load: other requests on the endpoint.
        """
        seconds_per_token = seconds / ((tokens + FIXED_PROMPT_TOKENS) * slowdown(load))
        _observe(self._prefill, endpoint, model, seconds_per_token, now)

    def observe_tokens(
        self, endpoint: str, model: str, tokens: int, load: float, seconds: float, now: float
    ) -> None:
        """Record the time between the first and the last token of a response."""
        if tokens > 1 and seconds > 0:
            seconds_per_token = seconds / ((tokens - 1) * slowdown(load))
            _observe(self._decode, endpoint, model, seconds_per_token, now)

    def first_token_seconds(
        self, endpoint: str, model: str, tokens: float, load: float, now: float
    ) -> float:
        """Predict the time to the first token.

        :param tokens: prompt tokens that are not cached.
        """
        seconds_per_token = _blend(self._prefill, endpoint, model, PRIOR_PREFILL_SECONDS, now)
        return seconds_per_token * (tokens + FIXED_PROMPT_TOKENS) * slowdown(load)

    def prompt_token_seconds(self, endpoint: str, model: str, now: float) -> float:
        """Predict the time in which an unloaded endpoint reads a prompt token."""
        return _blend(self._prefill, endpoint, model, PRIOR_PREFILL_SECONDS, now)

    def token_seconds(self, endpoint: str, model: str, load: float, now: float) -> float:
        """Predict the time between two tokens."""
        seconds_per_token = _blend(self._decode, endpoint, model, PRIOR_TOKEN_SECONDS, now)
        return seconds_per_token * slowdown(load)

    def speed(self, endpoint: str, now: float) -> float:
        """Return the tokens per second of a single request on an unloaded endpoint."""
        return 1.0 / _blend(self._decode, endpoint, _ALL, PRIOR_TOKEN_SECONDS, now)

    def remove(self, endpoints: set[str]) -> None:
        """Remove the estimates of endpoints that no longer exist."""
        for means in (self._prefill, self._decode):
            for key in [key for key in means if key[0] in endpoints]:
                del means[key]


def _observe(
    means: dict[tuple[str, str], DecayingMean],
    endpoint: str,
    model: str,
    seconds_per_token: float,
    now: float,
) -> None:
    for key in {(endpoint, model), (endpoint, _ALL), (_ALL, _ALL)}:
        means.setdefault(key, DecayingMean()).observe(seconds_per_token, now)


def _blend(
    means: dict[tuple[str, str], DecayingMean],
    endpoint: str,
    model: str,
    prior: float,
    now: float,
) -> float:
    overall = means.get((_ALL, _ALL))
    value = overall.blend(prior, now) if overall else prior
    for key in ((endpoint, _ALL), (endpoint, model)) if model else ((endpoint, _ALL),):
        mean = means.get(key)
        if mean is not None:
            value = mean.blend(value, now)
    return value
