"""What a host's scheduler knows for fair sharing, refusals and the pacing of long prompts.

The decisions are those of ``fairqueue``, ``startforecast`` and ``promptpacing``; this module keeps
the figures that they take as parameters.
"""

from collections.abc import Iterable, Sequence

import attrs

from catkinhook.requests import fairqueue, promptpacing
from catkinhook.requests.endpointselection import Prediction
from catkinhook.requests.fairqueue import ServedTokens, ServiceClasses
from catkinhook.requests.promptpacing import PendingPrompt, PromptOutlook, PromptPacing
from catkinhook.requests.routedrequest import RoutedRequest
from catkinhook.requests.routetable import RouteTable
from catkinhook.requests.startforecast import HoldingTimes


@attrs.frozen
class EndpointFigures:
    """What is known of one endpoint that may take a request.

    :ivar places: requests that it may have.
    :ivar load: requests that it has, those of all hosts included.
    :ivar unread_tokens: prompt tokens that it has not read, those of all hosts included.
    :ivar token_seconds: time in which it reads a prompt token.
    :ivar own_tokens: prompt tokens of the request that it has to read.
    """

    endpoint: str
    places: float
    load: float
    unread_tokens: float
    token_seconds: float
    own_tokens: float

    def outlook(self) -> PromptOutlook:
        """Return what is expected of the prompt of the request."""
        return PromptOutlook(
            self.own_tokens * self.token_seconds, self.unread_tokens * self.token_seconds
        )


@attrs.frozen
class _SentPrompt:
    """A prompt that this host sent.

    :ivar due_at: time by which it must have begun to be read to meet its objective.
    """

    tokens: float
    due_at: float
    is_long: bool


class QueuePolicy:
    """Figures of all services of one host."""

    def __init__(self) -> None:
        self._table: RouteTable | None = None
        self._classes_by_service: dict[str, ServiceClasses] = {}
        self._served_by_service: dict[str, ServedTokens] = {}
        self._endpoint_by_attempt: dict[int, str] = {}
        self._sent_by_endpoint: dict[str, dict[int, _SentPrompt]] = {}
        self.holding_times = HoldingTimes()
        self.pacing = PromptPacing()

    def set_table(self, table: RouteTable) -> None:
        """Replace the configuration."""
        self._table = table
        self._classes_by_service.clear()

    def record_arrival(self, request: RoutedRequest, now: float) -> None:
        """Record a new request."""
        self._served(request.service).record_waiting(request.workspace, now)
        if request.item:
            self.pacing.record_arrival(request.service, request.prompt_tokens, now)

    def record_start(
        self, attempt: int, request: RoutedRequest, figures: EndpointFigures, now: float
    ) -> int:
        """Record that a request is sent to an endpoint; return its priority for the engine."""
        self._served(request.service).record_start(
            request.workspace, fairqueue.count_cost(request), now
        )
        outlook = figures.outlook()
        objective_s = request.route.objective_s
        slack_s = outlook.slack_s(objective_s, now - request.arrived)
        is_long = self.is_long(request)
        if request.item:
            due_at = request.arrived + objective_s - outlook.read_s
            self._endpoint_by_attempt[attempt] = figures.endpoint
            sent_by_attempt = self._sent_by_endpoint.setdefault(figures.endpoint, {})
            sent_by_attempt[attempt] = _SentPrompt(figures.own_tokens, due_at, is_long)
        if is_long:
            self.pacing.record_long_start(figures.endpoint, outlook.read_s, now)
        classes = self.classes(request.service)
        rank, count = classes.priority_rank(request.priority), len(classes.priorities)
        return promptpacing.find_engine_priority(rank, count, slack_s, objective_s, is_long)

    def record_read(self, attempt: int) -> None:
        """Record that the prompt of an attempt was read, or that the attempt has ended."""
        endpoint = self._endpoint_by_attempt.pop(attempt, None)
        if endpoint is None:
            return
        sent_by_attempt = self._sent_by_endpoint[endpoint]
        del sent_by_attempt[attempt]
        if not sent_by_attempt:
            del self._sent_by_endpoint[endpoint]

    def classes(self, service: str) -> ServiceClasses:
        """Return the classes of a service."""
        found = self._classes_by_service.get(service)
        if found is None:
            if self._table is None:
                return ServiceClasses((), (), 0.0)
            found = fairqueue.list_classes(self._table, service)
            self._classes_by_service[service] = found
        return found

    def is_long(self, request: RoutedRequest) -> bool:
        """Return whether a request's prompt is long."""
        return bool(request.item) and self.pacing.is_long(request.service, request.prompt_tokens)

    def find_prompt_class(self, request: RoutedRequest) -> str:
        """Return ``long``, ``middle`` or ``short``, empty for a plain service."""
        if not request.item:
            return ""
        return self.pacing.find_class(request.service, request.prompt_tokens)

    def sort(
        self, requests: Sequence[RoutedRequest], first_event_seconds: Iterable[float], now: float
    ) -> list[int]:
        """Return the indices of queued requests in the order in which they are decided on."""
        for request in requests:
            self._served(request.service).record_waiting(request.workspace, now)
        return fairqueue.sort_queue(requests, first_event_seconds, self._served_by_service, now)

    def unread_own_tokens(self, endpoint: str) -> float:
        """Return the tokens of the prompts of this host that an endpoint has not read."""
        return sum(sent.tokens for sent in self._sent_by_endpoint.get(endpoint, {}).values())

    def describe_needs(
        self, request: RoutedRequest, first_event_s: float, now: float
    ) -> tuple[int, bool, bool, bool, bool]:
        """Return what decides, beside the item, which endpoints may take a request."""
        objective_s = request.route.objective_s
        slack_s = objective_s - (now - request.arrived) - first_event_s
        return (
            self.classes(request.service).rank(request),
            fairqueue.is_pressed(objective_s, slack_s),
            self.is_long(request),
            slack_s <= 0.0,
            promptpacing.may_wait(slack_s),
        )

    def may_start(
        self, request: RoutedRequest, figures: EndpointFigures, first_event_s: float, now: float
    ) -> bool:
        """Return whether a request may take a place of an endpoint now.

        :param first_event_s: predicted time from its start to its first event.
        """
        classes = self.classes(request.service)
        objective_s = request.route.objective_s
        waited_s = now - request.arrived
        is_pressed = fairqueue.is_pressed(objective_s, objective_s - waited_s - first_event_s)
        rank = classes.rank(request)
        if not fairqueue.may_use_place(figures.load, figures.places, rank, is_pressed):
            return False
        if not self.is_long(request):
            return True
        outlook = figures.outlook()
        slack_s = outlook.slack_s(objective_s, waited_s)
        if fairqueue.is_pressed(objective_s, slack_s) or not promptpacing.may_wait(slack_s):
            return True
        return self.pacing.may_start_long(
            figures.endpoint,
            request.service,
            outlook.ahead_s,
            any(not prompt.is_long for prompt in self._find_pending(figures.endpoint, now)),
            classes.shortest_objective_s,
            now,
        )

    def weigh(
        self,
        request: RoutedRequest,
        prediction: Prediction,
        figures: EndpointFigures,
        now: float,
    ) -> Prediction:
        """Return a prediction with the time to read what is ahead, and what others lose by it."""
        outlook = figures.outlook()
        extra_s = outlook.ahead_s
        if self.is_long(request):
            pending = self._find_pending(figures.endpoint, now)
            extra_s += promptpacing.find_lost_slack(outlook.read_s, pending)
        ratio = prediction.ratio + extra_s / max(1e-3, request.route.objective_s)
        return attrs.evolve(prediction, ratio=ratio, finish_s=prediction.finish_s + extra_s)

    def _find_pending(self, endpoint: str, now: float) -> list[PendingPrompt]:
        return [
            PendingPrompt(sent.tokens, sent.due_at - now, sent.is_long)
            for sent in self._sent_by_endpoint.get(endpoint, {}).values()
        ]

    def _served(self, service: str) -> ServedTokens:
        return self._served_by_service.setdefault(service, ServedTokens())
