"""Index of the prompt prefixes that are probably in the caches of endpoints."""

from collections import OrderedDict

TIME_TO_LIVE_S = 120.0
MAX_PREFIXES_PER_ENDPOINT = 2048

# Share of the prefill time of hinted tokens that a hint saves. It is below 1 because prefixes do
# not cover the whole prompt and some hints are out of date.
PRIOR_SAVING = 0.5
SAVING_SMOOTHING = 0.03


class PrefixIndex:
    """Cached prefixes by endpoint, with a time to live.

    Cache events of engines arrive late and incompletely, so an entry is a hint: it changes the
    predicted latency, but never decides whether an endpoint may run a request.
    """

    def __init__(self) -> None:
        self._expiries_by_endpoint: dict[str, OrderedDict[str, float]] = {}
        self._saving = PRIOR_SAVING

    def update_saving(self, share: float, uncached_seconds: float, seconds: float) -> None:
        """Update the estimate of what hints save.

        :param share: hinted share of a prompt.
        :param uncached_seconds: predicted time to the first token with an empty cache.
        :param seconds: measured time to the first token.
        """
        if share > 0 and uncached_seconds > 0:
            observed = min(1.0, max(0.0, 1.0 - seconds / uncached_seconds) / share)
            self._saving += SAVING_SMOOTHING * (observed - self._saving)

    def estimate_uncached_tokens(
        self,
        endpoint: str,
        tokens: int,
        prefixes: tuple[str, ...],
        reported: frozenset[str],
        now: float,
    ) -> tuple[float, float]:
        """Return the expected number of uncached prompt tokens, and the hinted share."""
        share = self.cached_share(endpoint, prefixes, reported, now)
        return tokens * (1.0 - share * self._saving), share

    def record(self, endpoint: str, prefixes: tuple[str, ...], now: float) -> None:
        """Record that an endpoint ran a prompt with these prefixes."""
        expiries = self._expiries_by_endpoint.setdefault(endpoint, OrderedDict())
        for prefix in prefixes:
            expiries[prefix] = now + TIME_TO_LIVE_S
            expiries.move_to_end(prefix)
        while len(expiries) > MAX_PREFIXES_PER_ENDPOINT:
            expiries.popitem(last=False)

    def cached_share(
        self, endpoint: str, prefixes: tuple[str, ...], reported: frozenset[str], now: float
    ) -> float:
        """Return the share of a prompt that is probably cached.

        :param prefixes: hashes of the prompt's prefixes, shortest first.
        :param reported: prefixes that the endpoint itself reported.
        """
        expiries = self._expiries_by_endpoint.get(endpoint, {})
        for length in range(len(prefixes), 0, -1):
            prefix = prefixes[length - 1]
            if prefix in reported or expiries.get(prefix, 0.0) > now:
                return length / len(prefixes)
        return 0.0

    def remove(self, endpoint: str) -> None:
        """Remove the hints of an endpoint that restarted or no longer exists."""
        self._expiries_by_endpoint.pop(endpoint, None)
