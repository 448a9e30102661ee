"""Texts of the reasons of refusals, which state the inputs of the decision."""

from collections.abc import Sequence

import attrs

# Largest number of endpoints listed in the reason of a refusal.
MAX_EXPLAINED_ENDPOINTS = 4


@attrs.frozen
class EndpointState:
    """What the reason of a refusal states of one endpoint.

    :ivar own_tokens: tokens that requests of this host have reserved.
    :ivar event_s: predicted seconds between two events.
    """

    endpoint: str
    load: float
    slots: int
    own_tokens: int
    event_s: float

    def describe(self) -> str:
        """Return one phrase."""
        return (
            f"{self.endpoint} {self.load:.0f}/{self.slots} requests, {self.own_tokens} own tokens, "
            f"{self.event_s:.3f} s an event"
        )


@attrs.frozen
class WaitForecast:
    """Inputs and result of the forecast of a request's start.

    :ivar wait_s: predicted time to the start.
    :ivar places: places of the endpoints that hold the item.
    :ivar holding_s: mean time for which a request holds a place.
    :ivar ahead: requests ahead at this host.
    :ivar time_left_s: time until the caller leaves.
    :ivar serve_s: time from the start to the first event or complete answer.
    """

    wait_s: float
    places: float
    holding_s: float
    ahead: int
    time_left_s: float
    serve_s: float

    def describe(self) -> str:
        """Return one phrase."""
        return (
            f"a place is expected in {self.wait_s:.2f} s ({self.places:.0f} places held for "
            f"{self.holding_s:.2f} s each, {self.ahead} requests ahead), the first answer "
            f"{self.serve_s:.2f} s later, and the caller leaves in {self.time_left_s:.2f} s"
        )


def explain_full(name: str, states: Sequence[EndpointState]) -> str:
    """Return that all endpoints of an item are full."""
    described = "; ".join(state.describe() for state in states)
    return f"all endpoints of {name} are full: {described}"


def explain_missing(name: str, is_unavailable: bool, is_forecast: bool) -> str:
    """Return why no endpoint can take an item.

    :param is_unavailable: whether all of its endpoints leave or pause.
    :param is_forecast: whether the holder has announced another copy.
    """
    if is_unavailable:
        return f"all endpoints of {name!r} are leaving or pausing"
    return f"{name!r} is not available yet" if is_forecast else f"no endpoint has {name!r}"


def explain_forecast_age(forecast_at: float | None, now: float) -> str:
    """Return when the holder was last heard."""
    if forecast_at is None:
        return "the holder was never heard"
    return f"the holder was heard {now - forecast_at:.2f} s ago"
