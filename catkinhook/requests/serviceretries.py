"""Retry budgets of a host's services."""

import attrs

from catkinhook.hostsettings import Bounds
from catkinhook.requests.hostretries import HostCount, RetryBucket
from catkinhook.requests.retrycounts import RetryBudgetState


@attrs.define
class ServiceRetries:
    """Retry budgets by service.

    :ivar started_at: start of this process; an earlier process of this host may have used the
        budgets until then.
    :ivar host_count: hosts that share the budgets.
    """

    bounds: Bounds
    started_at: float
    host_count: HostCount
    _bucket_by_service: dict[str, RetryBucket] = attrs.Factory(dict)

    def record_request(self, service: str, now: float) -> None:
        """Record a new request."""
        self._bucket(service).record_request(self.host_count.get(now), now)

    def try_reserve(self, service: str, now: float) -> bool:
        """Reserve a retry, unless the budget is used up."""
        return self._bucket(service).try_reserve(self.host_count.get(now), now)

    def settle(self, service: str, is_sent: bool) -> None:
        """Spend a reserved retry that was sent, or give back one that was not."""
        bucket = self._bucket(service)
        if is_sent:
            bucket.spend()
        else:
            bucket.give_back()

    def budget_state(self, service: str, now: float) -> RetryBudgetState:
        """Return the retry budget of a service."""
        hosts = self.host_count.get(now)
        return RetryBudgetState(self._bucket(service).balance(hosts, now), hosts)

    def _bucket(self, service: str) -> RetryBucket:
        bounds = self.bounds
        return self._bucket_by_service.setdefault(
            service,
            RetryBucket(
                bounds.retry_window_s, bounds.retry_share, bounds.retry_slack, self.started_at
            ),
        )
