"""Endpoints that refuse requests, to which repeats would spend the retry budget for little.

Only repeats avoid them. First attempts cost no budget, and show when an endpoint accepts requests
again.
"""

import attrs

# A request is not sent again to an endpoint that refused it this recently.
REPEAT_PAUSE_S = 0.15
# Refusals in a row after which repeats of other requests avoid an endpoint too. An endpoint that
# refuses only some requests may run the repeat.
REFUSALS_TO_AVOID = 3
# Time after the latest refusal for which they do, and longest time between refusals in a row.
AVOID_S = 0.5


@attrs.define
class _Refusals:
    count: int = 0
    last_at: float = float("-inf")


class RefusingEndpoints:
    """Refusals in a row of each endpoint."""

    def __init__(self) -> None:
        self._refusals_by_endpoint: dict[str, _Refusals] = {}

    def record_refusal(self, endpoint: str, now: float) -> None:
        """Record that an endpoint refused a request without running it."""
        refusals = self._refusals_by_endpoint.setdefault(endpoint, _Refusals())
        refusals.count = refusals.count + 1 if now <= refusals.last_at + AVOID_S else 1
        refusals.last_at = now

    def record_answer(self, endpoint: str, started_at: float) -> None:
        """Record that an endpoint answered an attempt, unless it has refused a later one.

        :param started_at: start of the attempt.
        """
        refusals = self._refusals_by_endpoint.get(endpoint)
        if refusals is not None and started_at >= refusals.last_at:
            del self._refusals_by_endpoint[endpoint]

    def remove(self, endpoint: str) -> None:
        """Remove an endpoint that left or restarted."""
        self._refusals_by_endpoint.pop(endpoint, None)

    def avoided_until(self, endpoint: str) -> float:
        """Return the time until which no request is repeated at an endpoint."""
        refusals = self._refusals_by_endpoint.get(endpoint)
        if refusals is None or refusals.count < REFUSALS_TO_AVOID:
            return 0.0
        return refusals.last_at + AVOID_S

    def may_repeat(self, endpoint: str, is_tried: bool, now: float) -> bool:
        """Return whether a request may be repeated at an endpoint.

        :param is_tried: whether the same request was sent to the endpoint before.
        """
        return self.repeat_at(endpoint, is_tried) <= now

    def repeat_at(self, endpoint: str, is_tried: bool) -> float:
        """Return the time from which a request may be repeated at an endpoint.

        :param is_tried: as for ``may_repeat``.
        """
        refusals = self._refusals_by_endpoint.get(endpoint)
        if refusals is None:
            return 0.0
        pause_end = refusals.last_at + REPEAT_PAUSE_S if is_tried else 0.0
        return max(pause_end, self.avoided_until(endpoint))
