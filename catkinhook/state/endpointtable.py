"""Endpoints by their entries in the store, with a grace period after outages of the store."""

import attrs

from catkinhook.state.views import EndpointView

# Entries that expired during an outage of the store reappear within about 2 s of its recovery.
# Source: the platform's page on discovery.
EXPIRY_GRACE_S = 2.5


@attrs.define
class EndpointTable:
    """Endpoint views by endpoint id.

    Removal of an entry normally means that its endpoint leaves. After an outage of the store the
    entry may only have expired, so the endpoint is then kept for a grace period.
    """

    _view_by_id: dict[str, EndpointView] = attrs.Factory(dict)
    _expiry_by_id: dict[str, float] = attrs.Factory(dict)

    def put(self, view: EndpointView) -> None:
        """Add or replace an entry."""
        self._view_by_id[view.endpoint] = view
        self._expiry_by_id.pop(view.endpoint, None)

    def remove(self, endpoint: str, grace_until: float | None) -> None:
        """Remove an entry.

        :param grace_until: time until which the endpoint is kept, or None to remove it now.
        """
        if endpoint not in self._view_by_id:
            return
        if grace_until is None:
            self._expiry_by_id.pop(endpoint, None)
            del self._view_by_id[endpoint]
        else:
            self._expiry_by_id.setdefault(endpoint, grace_until)

    def expire(self, now: float) -> list[str]:
        """Remove the endpoints whose grace period has ended; return their ids."""
        expired = [endpoint for endpoint, expiry in self._expiry_by_id.items() if expiry <= now]
        for endpoint in expired:
            self.remove(endpoint, None)
        return expired

    def ids(self) -> set[str]:
        """Return the ids of all endpoints."""
        return set(self._view_by_id)

    def views(self) -> dict[str, EndpointView]:
        """Return all endpoints by id."""
        return dict(self._view_by_id)
