"""Speeds of endpoints and models, measured by all hosts together.

A time is the product of a nominal time, a factor of the endpoint and a factor of the model, so that
an observation of one model on an endpoint improves the predictions for all others. A host sends
what it measured since its last report; the holder merges it by weight and tells all hosts.
"""

from collections.abc import Set

import attrs

from catkinhook.requests.estimates import HALF_LIFE_S, PRIOR_WEIGHT, DecayingMean

NOMINAL_PROMPT_TOKEN_S = 0.00005
NOMINAL_EVENT_S = 0.05
# Key of the mean of all endpoints, and prefix of the keys of models. Ids of endpoints and names of
# models can't begin with this character.
OVERALL = "*"
MODEL_PREFIX = "*/"
# An observation counts as at most this factor above or below the prediction. A request that waited
# for other reasons would otherwise spoil the estimate.
MAX_SURPRISE = 6.0
# Limits of factors from other processes.
MIN_FACTOR = 0.01
MAX_FACTOR = 100.0
# Entries in one report. A host that measures more sends the rest in its next reports.
MAX_SPEEDS_IN_REPORT = 16
# Keys for which a host collects measurements until it sends them.
MAX_PENDING = 1024
# Weight of what the holder told, relative to what this host measured itself.
MAX_MERGED_WEIGHT = 64.0


@attrs.frozen(kw_only=True)
class MeasuredSpeed:
    """Measured speed of an endpoint or a model, without the load on it.

    :ivar key: id of an endpoint, ``OVERALL``, or ``MODEL_PREFIX`` and the name of a model.
    :ivar prompt_token_s: seconds per prompt token with a model, or on an endpoint, of factor 1; 0
        if not measured.
    :ivar event_s: seconds between two events of a stream, 0 if not measured.
    :ivar weight: number of observations.
    :ivar pace: latest factor that the endpoint told, None if unknown.
    :ivar pace_at: time at which it told this.
    """

    key: str
    prompt_token_s: float
    event_s: float
    weight: float
    pace: float | None = None
    pace_at: float = float("-inf")


@attrs.define
class _Sum:
    """Observations that were not sent yet."""

    value: float = 0.0
    weight: float = 0.0

    def add(self, value: float) -> None:
        self.value += value
        self.weight += 1.0

    def mean(self) -> float:
        return self.value / self.weight if self.weight else 0.0


@attrs.define
class _Merged:
    """Factor that the holder told."""

    factor: float
    weight: float
    at: float

    def weight_at(self, now: float) -> float:
        return self.weight * 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)


class _Factors:
    """Factors by key for one kind of time."""

    def __init__(self) -> None:
        self._own: dict[str, DecayingMean] = {}
        self._merged: dict[str, _Merged] = {}
        self.pending: dict[str, _Sum] = {}

    def get(self, key: str, now: float) -> float:
        """Return the factor of a key; the prior of an endpoint is the mean of all endpoints."""
        is_endpoint = not key.startswith(OVERALL)
        prior = self.get(OVERALL, now) if is_endpoint else 1.0
        total, weight = prior * PRIOR_WEIGHT, PRIOR_WEIGHT
        merged = self._merged.get(key)
        if merged is not None:
            merged_weight = merged.weight_at(now)
            total, weight = total + merged.factor * merged_weight, weight + merged_weight
        own = self._own.get(key)
        if own is not None:
            own_weight = own.weight_at(now)
            total, weight = total + own.value * own_weight, weight + own_weight
        return total / weight

    def observe(self, endpoint: str, model: str, factor: float, now: float) -> None:
        """Add an observation of the product of both factors.

        :param model: empty for a plain service, which says nothing about engines.
        """
        model_key = MODEL_PREFIX + model
        of_endpoint = self.get(endpoint, now)
        of_model = self.get(model_key, now) if model else 1.0
        expected = of_endpoint * of_model
        factor = max(expected / MAX_SURPRISE, min(expected * MAX_SURPRISE, factor))
        values = {endpoint: factor / of_model}
        if model:
            values |= {OVERALL: factor / of_model, model_key: factor / of_endpoint}
        for key, value in values.items():
            self._own.setdefault(key, DecayingMean()).observe(value, now)
            if key in self.pending or len(self.pending) < MAX_PENDING:
                self.pending.setdefault(key, _Sum()).add(value)

    def merge(self, key: str, factor: float, weight: float, now: float) -> None:
        """Apply what the holder told, unless more is known from an earlier holder."""
        known = self._merged.get(key)
        weight = min(MAX_MERGED_WEIGHT, max(0.0, weight))
        if known is None or known.weight_at(now) <= weight or known.weight <= weight:
            factor = max(MIN_FACTOR, min(MAX_FACTOR, factor))
            self._merged[key] = _Merged(factor, weight, now)

    def retain(self, endpoints: Set[str]) -> None:
        """Remove the keys of all other endpoints."""
        for by_key in (self._own, self._merged, self.pending):
            for key in by_key.keys() - endpoints:
                if not key.startswith(OVERALL):
                    del by_key[key]


class SharedSpeeds:
    """Speeds as one host knows them."""

    def __init__(self) -> None:
        # None until the endpoints are known.
        self._endpoints: Set[str] | None = None
        # Endpoints that the latest change removed.
        self._removed: Set[str] = frozenset()
        self._prompt = _Factors()
        self._event = _Factors()

    def prompt_token_seconds(self, endpoint: str, model: str, now: float) -> float:
        """Return the seconds per prompt token at the normal pace."""
        return NOMINAL_PROMPT_TOKEN_S * _product(self._prompt, endpoint, model, now)

    def event_seconds(self, endpoint: str, model: str, now: float) -> float:
        """Return the seconds between two events of a single request at the normal pace."""
        return NOMINAL_EVENT_S * _product(self._event, endpoint, model, now)

    def observe_prompt(self, endpoint: str, model: str, token_s: float, now: float) -> None:
        """Add a measured time per prompt token, at the normal pace."""
        if token_s > 0.0 and self._is_known(endpoint):
            self._prompt.observe(endpoint, model, token_s / NOMINAL_PROMPT_TOKEN_S, now)

    def observe_event(self, endpoint: str, model: str, event_s: float, now: float) -> None:
        """Add a measured time between two events of a single request, at the normal pace."""
        if event_s > 0.0 and self._is_known(endpoint):
            self._event.observe(endpoint, model, event_s / NOMINAL_EVENT_S, now)

    def take_measured(self, now: float) -> list[MeasuredSpeed]:
        """Return what was measured since the last call, most changed first, bounded.

        The rest is returned by later calls.
        """
        changes: dict[str, float] = {}
        for factors in (self._prompt, self._event):
            for key, observed in factors.pending.items():
                known = factors.get(key, now)
                change = observed.weight * abs(observed.mean() / known - 1.0)
                changes[key] = max(changes.get(key, 0.0), change)
        found = sorted(changes, key=lambda key: changes[key], reverse=True)
        return [self._take(key) for key in found[:MAX_SPEEDS_IN_REPORT]]

    def merge(self, speeds: list[MeasuredSpeed] | tuple[MeasuredSpeed, ...], now: float) -> None:
        """Apply the speeds that the holder told.

        Those of endpoints that are not known yet are kept until the endpoints change next: a view
        may name an endpoint before its entry is read, and tells a speed again only if it changes.
        """
        for speed in speeds:
            if speed.key in self._removed:
                continue
            if speed.prompt_token_s > 0.0:
                factor = speed.prompt_token_s / NOMINAL_PROMPT_TOKEN_S
                self._prompt.merge(speed.key, factor, speed.weight, now)
            if speed.event_s > 0.0:
                factor = speed.event_s / NOMINAL_EVENT_S
                self._event.merge(speed.key, factor, speed.weight, now)

    def set_endpoints(self, endpoints: Set[str]) -> None:
        """Remove the speeds of all other endpoints; call it when the endpoints have changed.

        Answers and views that arrive after the removal of their endpoint would otherwise add its
        speeds again, for good.
        """
        self._removed = frozenset() if self._endpoints is None else self._endpoints - endpoints
        self._endpoints = frozenset(endpoints)
        self._prompt.retain(self._endpoints)
        self._event.retain(self._endpoints)

    def _is_known(self, endpoint: str) -> bool:
        return self._endpoints is None or endpoint in self._endpoints

    def _take(self, key: str) -> MeasuredSpeed:
        prompt = self._prompt.pending.pop(key, _Sum())
        event = self._event.pending.pop(key, _Sum())
        return MeasuredSpeed(
            key=key,
            prompt_token_s=prompt.mean() * NOMINAL_PROMPT_TOKEN_S,
            event_s=event.mean() * NOMINAL_EVENT_S,
            weight=max(prompt.weight, event.weight),
        )


def _product(factors: _Factors, endpoint: str, model: str, now: float) -> float:
    factor = factors.get(endpoint, now)
    return factor * factors.get(MODEL_PREFIX + model, now) if model else factor
