"""Bound on the use of a workspace in any window, and the sizes of stocks that follow from it."""

import math

import attrs

# Bound of deployments whose settings state none.
DEFAULT_WINDOW_S = 8.0
DEFAULT_OVERAGE = 0.1
DEFAULT_SLACK = 11_000.0


@attrs.frozen(kw_only=True)
class StockFactors:
    """Factors on the sizes in ``limitsizes``, which are those for the default bound.

    :ivar burst: factor on stocks that are a part of the burst.
    :ivar rate: factor on stocks that are a part of the rate, and on times for which credit is held.
    :ivar slack: factor on stocks in tokens.
    """

    burst: float = 1.0
    rate: float = 1.0
    slack: float = 1.0


@attrs.frozen(kw_only=True)
class LimitBound:
    """Bound (rate x window + burst) x (1 + overage) + slack on the use in any window.

    :ivar slack: tokens.
    """

    window_s: float = DEFAULT_WINDOW_S
    overage: float = DEFAULT_OVERAGE
    slack: float = DEFAULT_SLACK

    def allowed(self, rate: float, burst: float) -> float:
        """Return the tokens that may be used in a window."""
        return (rate * self.window_s + burst) * (1.0 + self.overage) + self.slack

    def stock_factors(self) -> StockFactors:
        """Return the factors with which stocks stay within this bound.

        The stock may be burst x (1 + overage) + rate x window x overage + slack, as the rest of the
        bound is refilled in the window.
        """
        return StockFactors(
            burst=(1.0 + self.overage) / (1.0 + DEFAULT_OVERAGE),
            rate=self.window_s * self.overage / (DEFAULT_WINDOW_S * DEFAULT_OVERAGE),
            slack=self.slack / DEFAULT_SLACK,
        )


def choose_bound(
    window_s: float | None, overage: float | None, slack: float | None
) -> tuple[LimitBound, tuple[str, ...]]:
    """Return the bound, and the settings for which the default is used.

    :param window_s: None if the settings do not state it, like the others.
    """
    stated = {"window_s": window_s, "overage": overage, "slack": slack}
    is_usable = {
        name: value is not None and math.isfinite(value) and value >= 0
        for name, value in stated.items()
    }
    # A window without length would bound nothing but the burst.
    is_usable["window_s"] = is_usable["window_s"] and window_s > 0
    usable = {name: value for name, value in stated.items() if is_usable[name]}
    faults = tuple(
        f"bounds.quota_{name} is {'missing' if stated[name] is None else stated[name]!r}"
        for name in stated
        if not is_usable[name]
    )
    return LimitBound(**usable), faults
