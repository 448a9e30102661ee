"""Order of queued requests, and the places that less urgent requests leave free.

Addresses bursts of one kind of request or of one workspace that take all places of the endpoints.
A host rarely has more than a few queued requests, so its order alone can't make hosts share fairly.
Each host therefore leaves the last places of an endpoint to more urgent kinds, which works across
all hosts without a message.
"""

from collections.abc import Iterable, Sequence

import attrs

from catkinhook.requests.routedrequest import RoutedRequest
from catkinhook.requests.routetable import RouteTable

# Share of an endpoint's places that each less urgent class leaves free.
RESERVED_SHARE = 0.1
# Share of the places that every class may use.
MIN_PLACES_SHARE = 1.0 / 3.0
# An objective of more than this many times the shortest one of its service is long.
LONG_OBJECTIVE_RATIO = 3.0
# A request whose slack is at most this share of its objective may take any place.
LAST_SLACK_SHARE = 0.25
# Half-life of the tokens served to a workspace.
SERVED_HALF_LIFE_S = 4.0
# A workspace that has started no request for this long has been at rest.
REST_S = 2.0
# A request of a workspace below this share of the mean of all active ones goes before others
# regardless of priority. It is more than the quarter of an equal share that each one must get.
STARVED_SHARE = 0.35


@attrs.frozen
class ServiceClasses:
    """Classes of requests of one service, the most urgent first.

    :ivar priorities: distinct priorities in ascending order.
    :ivar classes: distinct pairs of priority and whether the objective is long, in ascending order.
    :ivar shortest_objective_s: shortest objective of a route of the service.
    """

    priorities: tuple[int, ...]
    classes: tuple[tuple[int, bool], ...]
    shortest_objective_s: float

    def is_long_objective(self, objective_s: float) -> bool:
        """Return whether requests with this objective can wait for others."""
        return objective_s > LONG_OBJECTIVE_RATIO * self.shortest_objective_s

    def rank(self, request: RoutedRequest) -> int:
        """Return the rank of a request's class, 0 for the most urgent."""
        own = (request.priority, self.is_long_objective(request.route.objective_s))
        return sum(1 for other in self.classes if other < own)

    def priority_rank(self, priority: int) -> int:
        """Return the rank of a priority among those of the service."""
        return sum(1 for other in self.priorities if other < priority)


def list_classes(table: RouteTable, service: str) -> ServiceClasses:
    """Return the classes of a service in one version of the configuration."""
    routes = [route for route in table.routes if service in dict(route.weight_by_service)]
    workspaces = table.workspaces.workspaces if table.workspaces is not None else ()
    overrides = {item.priority for item in workspaces if item.priority is not None}
    has_own_priorities = bool(workspaces) and all(item.priority is not None for item in workspaces)
    shortest_s = min((route.objective_s for route in routes), default=0.0)
    classes: set[tuple[int, bool]] = set()
    for route in routes:
        is_long = route.objective_s > LONG_OBJECTIVE_RATIO * shortest_s
        # Where every caller belongs to a workspace with a priority, no request has the route's.
        uses_own = not has_own_priorities or route.is_open
        for priority in overrides | ({route.priority} if uses_own else set()):
            classes.add((priority, is_long))
    return ServiceClasses(
        tuple(sorted({priority for priority, _ in classes})), tuple(sorted(classes)), shortest_s
    )


def count_places(places: float, rank: int) -> float:
    """Return the number of an endpoint's places that requests of a rank may use."""
    return places * max(MIN_PLACES_SHARE, 1.0 - RESERVED_SHARE * rank)


def may_use_place(load: float, places: float, rank: int, is_pressed: bool) -> bool:
    """Return whether a request may use a free place of an endpoint.

    :param load: requests on the endpoint, those of all hosts included.
    :param places: requests that the endpoint may have.
    :param is_pressed: result of ``is_pressed`` for the request.
    """
    return load < (places if is_pressed else count_places(places, rank))


def is_pressed(objective_s: float, slack_s: float) -> bool:
    """Return whether a request has waited for as long as its objective allows.

    :param slack_s: objective - time waited - predicted time to the first event.
    """
    return slack_s <= LAST_SLACK_SHARE * objective_s


def count_cost(request: RoutedRequest) -> float:
    """Return what a request counts for its workspace; each plain one counts the same."""
    return float(max(1, request.tokens))


@attrs.define
class _Served:
    tokens: float = 0.0
    updated_at: float = 0.0
    active_at: float = float("-inf")

    def tokens_at(self, now: float) -> float:
        return self.tokens * 0.5 ** (max(0.0, now - self.updated_at) / SERVED_HALF_LIFE_S)


class ServedTokens:
    """Tokens that the workspaces of one service were served recently, with decay."""

    def __init__(self) -> None:
        self._served_by_workspace: dict[str, _Served] = {}

    def record_waiting(self, workspace: str, now: float) -> None:
        """Record that a workspace has a request to serve.

        One that returns from rest starts at the smallest count of the active ones, so that rest
        earns no credit.
        """
        served = self._served_by_workspace.setdefault(workspace, _Served())
        if now - served.active_at > REST_S:
            smallest = min(self._active_counts(now), default=0.0)
            served.tokens = max(served.tokens_at(now), smallest)
            served.updated_at = now
        served.active_at = now

    def record_start(self, workspace: str, tokens: float, now: float) -> None:
        """Add the tokens of a request that starts."""
        served = self._served_by_workspace.setdefault(workspace, _Served())
        served.tokens = served.tokens_at(now) + tokens
        served.updated_at = served.active_at = now

    def count(self, workspace: str, now: float) -> float:
        """Return the tokens that a workspace was served recently."""
        served = self._served_by_workspace.get(workspace)
        return 0.0 if served is None else served.tokens_at(now)

    def mean(self, now: float) -> float:
        """Return the mean of the tokens that the active workspaces were served."""
        counts = self._active_counts(now)
        return sum(counts) / len(counts) if counts else 0.0

    def _active_counts(self, now: float) -> list[float]:
        return [
            served.tokens_at(now)
            for served in self._served_by_workspace.values()
            if now - served.active_at <= REST_S
        ]


def sort_queue(
    requests: Sequence[RoutedRequest],
    first_event_seconds: Iterable[float],
    served_by_service: dict[str, ServedTokens],
    now: float,
) -> list[int]:
    """Return the indices of queued requests in the order in which they are decided on.

    Requests of a workspace that others have starved go first, then those that can still meet their
    objective. Among these, the order is by priority, by whether the objective lets the request wait
    for others, by the tokens that the workspace will have been served when it is the request's
    turn, and by arrival.

    :param first_event_seconds: predicted time from the start of each request to its first event.
    """
    shortest_by_service: dict[str, float] = {}
    for request in requests:
        shortest_s = shortest_by_service.get(request.service, float("inf"))
        shortest_by_service[request.service] = min(shortest_s, request.route.objective_s)
    mean_by_service = {service: served.mean(now) for service, served in served_by_service.items()}
    entries = []
    for index, (request, first_event_s) in enumerate(
        zip(requests, first_event_seconds, strict=True)
    ):
        waited_s = now - request.arrived
        objective_s = request.route.objective_s
        slack_s = objective_s - waited_s - first_event_s
        can_wait = objective_s > LONG_OBJECTIVE_RATIO * shortest_by_service[
            request.service
        ] and not is_pressed(objective_s, slack_s)
        count = served_by_service[request.service].count(request.workspace, now)
        is_starved = count < STARVED_SHARE * mean_by_service[request.service]
        entries.append(
            (slack_s < 0.0, request.priority, can_wait, request.arrived, index, is_starved, count)
        )
    entries.sort()
    tags: dict[tuple[str, str], float] = {}
    keys = []
    for is_late, priority, can_wait, arrived, index, is_starved, count in entries:
        request = requests[index]
        ahead = tags.get((request.service, request.workspace), 0.0)
        tags[request.service, request.workspace] = ahead + count_cost(request)
        # Only the first request of a starved workspace goes first; its count may then be higher.
        is_first = is_starved and not ahead
        keys.append((not is_first, is_late, priority, can_wait, count + ahead, arrived, index))
    return [key[-1] for key in sorted(keys)]


def deadline_key(request: RoutedRequest, now: float) -> tuple[bool, float, float]:
    """Sort key of queued requests where capacity is not shared.

    The earliest deadline goes first, then late requests by priority. Late requests come last, so
    that a burst that has missed its objective doesn't delay requests that can still meet theirs.
    """
    due = request.arrived + request.route.objective_s
    is_late = now > due
    return (is_late, float(request.priority) if is_late else due, request.arrived)
