"""Changes to what a host's scheduler knows of endpoints."""

from collections.abc import Iterable

from catkinhook.requests.endpointavailability import LeavingEndpoint
from catkinhook.requests.schedulerstate import SchedulerState
from catkinhook.state.views import EndpointView


def set_endpoints(
    state: SchedulerState, endpoint_by_id: dict[str, EndpointView], now: float
) -> None:
    """Replace the endpoints and the items resident on them."""
    state.latest_at = max(state.latest_at, now)
    if endpoint_by_id == state.endpoint_by_id:
        return
    for endpoint, view in endpoint_by_id.items():
        previous = state.endpoint_by_id.get(endpoint)
        if previous is not None and previous.boot_id != view.boot_id:
            state.prefixes.remove(endpoint)
            state.room.restart(endpoint)
            state.ejections.reset(endpoint)
            state.refusing.remove(endpoint)
            state.down_until.pop(endpoint, None)
            state.policy.pacing.remove(endpoint)
    removed = set(state.endpoint_by_id) - set(endpoint_by_id)
    for endpoint in removed:
        state.prefixes.remove(endpoint)
        state.refusing.remove(endpoint)
        state.down_until.pop(endpoint, None)
        state.policy.pacing.remove(endpoint)
    state.estimates.remove(removed)
    state.room.remove(removed)
    state.endpoint_by_id = dict(endpoint_by_id)
    state.room.speeds.set_endpoints(endpoint_by_id.keys())
    for endpoint in removed:
        state.load(endpoint).report = None
        state.forget_absent_load(endpoint)
    state.index.update(state.endpoint_by_id)


def record_load_header(
    state: SchedulerState, endpoint: str, running: int, waiting: int, pace: float | None, now: float
) -> None:
    """Record the load that an endpoint stated in an answer.

    :param pace: factor by which its work takes longer at present, None if not stated.
    """
    if pace is not None:
        state.pace_seen_at = max(state.pace_seen_at, now)
        state.latest_at = max(state.latest_at, now)
    if endpoint in state.endpoint_by_id:
        state.room.record_load(endpoint, running, waiting, pace, now)


def record_usage(
    state: SchedulerState,
    running_by_id: dict[str, int],
    tokens_by_id: dict[str, tuple[float, float]],
    host_count: int,
    lag_s: float,
    now: float,
) -> None:
    """Record the holder's sums of requests and tokens at endpoints.

    :param tokens_by_id: unread prompt tokens and reserved tokens.
    :param host_count: hosts that have reported to the holder.
    :param lag_s: mean age of the reports that the holder summed.
    """
    if state.shares_capacity:
        known_hosts = state.host_count.get(now)
        sums = (running_by_id, tokens_by_id)
        state.room.apply_view(state.endpoint_by_id, sums, host_count, known_hosts, lag_s, now)


def record_leaving(
    state: SchedulerState, endpoints: Iterable[LeavingEndpoint], source: str, now: float
) -> None:
    """Record endpoints that said to another host that they leave.

    Those that are not known here with the same boot are ignored; they are told again.

    :param source: name of the host that told it.
    """
    for leaving in endpoints:
        view = state.endpoint_by_id.get(leaving.endpoint)
        if view is not None and view.boot_id == leaving.boot_id:
            state.availability.record_leaving(view, source, leaving.told_at, now)
