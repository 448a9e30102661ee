"""What endpoints said in their answers about the requests that follow."""

import threading
from collections.abc import Callable

import attrs

from catkinhook.state.views import EndpointView

# Endpoints that are remembered as leaving, which bounds the memory; the oldest are forgotten first.
MAX_LEAVING = 4096
# Source of what an endpoint said to this host; another host is the source otherwise.
OWN_SOURCE = "answer"


@attrs.frozen(kw_only=True)
class LeavingEndpoint:
    """An endpoint that said that it leaves.

    :ivar boot_id: its boot; a later boot with the same id is not leaving.
    :ivar told_at: time at which an answer said so, on the local monotonic clock.
    """

    endpoint: str
    boot_id: str
    told_at: float


@attrs.frozen(kw_only=True)
class AvailabilityChange:
    """Change of whether an endpoint may get requests of this host.

    :ivar state: ``leaving``.
    :ivar source: ``OWN_SOURCE`` or the name of the host that reported it.
    :ivar age_s: seconds since the answer that said so.
    """

    endpoint: str
    address: str
    boot_id: str
    state: str
    source: str
    age_s: float


class EndpointAvailability:
    """Endpoints that must get no requests, by their id and boot; thread-safe.

    The entry of an endpoint may still say that it is ready, lapse and come again. An endpoint that
    said that it leaves is left out for as long as this process knows its boot.

    :ivar on_change: called with each change of state, in the thread that recorded it.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._leaving_by_boot: dict[tuple[str, str], LeavingEndpoint] = {}
        self.on_change: Callable[[AvailabilityChange], None] = lambda change: None

    def record_leaving(self, view: EndpointView, source: str, told_at: float, now: float) -> None:
        """Record that an endpoint said that it leaves.

        :param source: as in ``AvailabilityChange``.
        :param told_at: time at which its answer said so.
        """
        key = (view.endpoint, view.boot_id)
        if key in self._leaving_by_boot:
            return
        leaving = LeavingEndpoint(endpoint=view.endpoint, boot_id=view.boot_id, told_at=told_at)
        with self._lock:
            if self._leaving_by_boot.setdefault(key, leaving) is not leaving:
                return
            if len(self._leaving_by_boot) > MAX_LEAVING:
                del self._leaving_by_boot[next(iter(self._leaving_by_boot))]
        self.on_change(
            AvailabilityChange(
                endpoint=view.endpoint,
                address=view.address,
                boot_id=view.boot_id,
                state="leaving",
                source=source,
                age_s=max(0.0, now - told_at),
            )
        )

    def is_leaving(self, endpoint: str, boot_id: str) -> bool:
        """Return whether an endpoint said that it leaves."""
        return (endpoint, boot_id) in self._leaving_by_boot

    def is_available(self, view: EndpointView) -> bool:
        """Return whether an endpoint may get requests."""
        return (view.endpoint, view.boot_id) not in self._leaving_by_boot

    def leaving(self) -> list[LeavingEndpoint]:
        """Return all endpoints that said that they leave, also those that are gone."""
        with self._lock:
            return list(self._leaving_by_boot.values())
