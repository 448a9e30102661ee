"""Long prompts alongside short ones.

Addresses prompts of several thousand tokens that an engine reads ahead of short ones: three of them
make a short prompt late. The engine reads short prompts before a long one that has slack to spare.
On each endpoint, long prompts that lose nothing by a wait use a part of the reading rate while
short ones are pending or expected; all others go at once.
"""

from collections.abc import Iterable

import attrs

from catkinhook.requests.routedrequest import RoutedRequest

# A prompt of more than this many times the mean of its service is long.
LONG_PROMPT_RATIO = 2.0
# Prompts of a service that must have been seen before any counts as long.
MIN_PROMPTS = 4
# Number of prompts over which their mean length is taken. A group of long ones hardly changes it.
MEAN_PROMPTS = 200
# Part of an endpoint's reading rate that long prompts may use beside short ones.
LONG_RATE_SHARE = 0.65
# Short prompts are expected for this long after the latest one.
SHORT_EXPECTED_S = 2.0
# A long prompt with more slack than this share of its objective is read after short ones. With
# less, those that arrive later would make it late.
YIELDING_SLACK_SHARE = 0.5
# Slack from which a request is in the most relaxed class, and a long prompt may wait for a turn. A
# wait with less slack makes more long prompts late than it brings short ones in time.
RELAXED_SLACK_S = 1.0
MAX_SLACK_CLASSES = 3
ENGINE_PRIORITIES = 10
# Where capacity is not shared, routes with a longer objective than this get a lower engine priority
# than interactive ones.
RELAXED_OBJECTIVE_S = 4.0


@attrs.frozen
class PendingPrompt:
    """A prompt that was sent to an endpoint and has not been read.

    :ivar slack_s: its slack when it was sent, less the time since then.
    """

    tokens: float
    slack_s: float
    is_long: bool


@attrs.frozen
class PromptOutlook:
    """What is expected of a prompt at one endpoint.

    :ivar read_s: time to read the prompt itself.
    :ivar ahead_s: time to read the prompts ahead of it, those of other hosts included.
    """

    read_s: float
    ahead_s: float

    def slack_s(self, objective_s: float, waited_s: float) -> float:
        """Return the time left when the prompt has been read."""
        return objective_s - waited_s - self.ahead_s - self.read_s


def find_lost_slack(read_s: float, pending: Iterable[PendingPrompt]) -> float:
    """Return by how many seconds a long prompt would make pending short ones late."""
    return sum(
        min(read_s, max(0.0, read_s - max(0.0, prompt.slack_s)))
        for prompt in pending
        if not prompt.is_long
    )


def route_priority(request: RoutedRequest) -> int:
    """Return the priority for the engine where capacity is not shared.

    Of routes with the same priority, those with interactive objectives go first.
    """
    is_relaxed = request.route.objective_s > RELAXED_OBJECTIVE_S
    return min(ENGINE_PRIORITIES - 1, 2 * request.priority + (1 if is_relaxed else 0))


def may_wait(slack_s: float) -> bool:
    """Return whether a long prompt loses nothing by a wait for its turn."""
    return slack_s >= RELAXED_SLACK_S


def find_engine_priority(
    rank: int, priority_count: int, slack_s: float, objective_s: float, is_long: bool = False
) -> int:
    """Return the priority for the engine: by the request's priority, then by slack and length.

    Short prompts and those without slack to spare are read in the order of arrival: if prompts that
    are late went before others, they would make these late too.

    :param rank: rank of the request's priority among those of its service.
    :param priority_count: number of priorities of the service.
    """
    classes = min(MAX_SLACK_CLASSES, max(1, ENGINE_PRIORITIES // max(1, priority_count)))
    if slack_s >= RELAXED_SLACK_S:
        slack_class = 2
    else:
        slack_class = 1 if is_long and slack_s > YIELDING_SLACK_SHARE * objective_s else 0
    return min(ENGINE_PRIORITIES - 1, rank * classes + min(classes - 1, slack_class))


@attrs.define
class _ServicePrompts:
    count: int = 0
    mean: float = 0.0
    short_at: float = float("-inf")


class PromptPacing:
    """Lengths of the prompts of services, and the turns of long prompts at endpoints."""

    def __init__(self) -> None:
        self._prompts_by_service: dict[str, _ServicePrompts] = {}
        self._turn_end_by_endpoint: dict[str, float] = {}

    def record_arrival(self, service: str, tokens: int, now: float) -> None:
        """Record the length of a new prompt."""
        prompts = self._prompts_by_service.setdefault(service, _ServicePrompts())
        if not self.is_long(service, tokens):
            prompts.short_at = now
        prompts.count = min(MEAN_PROMPTS, prompts.count + 1)
        prompts.mean += (tokens - prompts.mean) / prompts.count

    def is_long(self, service: str, tokens: int) -> bool:
        """Return whether a prompt is long compared with those of its service."""
        prompts = self._prompts_by_service.get(service)
        if prompts is None or prompts.count < MIN_PROMPTS:
            return False
        return tokens > LONG_PROMPT_RATIO * prompts.mean

    def find_class(self, service: str, tokens: int) -> str:
        """Return ``long``, ``middle`` (more than the mean of the service) or ``short``."""
        if self.is_long(service, tokens):
            return "long"
        prompts = self._prompts_by_service.get(service)
        is_middle = prompts is not None and prompts.count >= MIN_PROMPTS and tokens > prompts.mean
        return "middle" if is_middle else "short"

    def may_start_long(
        self,
        endpoint: str,
        service: str,
        unread_s: float,
        has_short: bool,
        shortest_objective_s: float,
        now: float,
    ) -> bool:
        """Return whether a long prompt may go to an endpoint now.

        :param unread_s: time to read the prompts that are pending there.
        :param has_short: whether a short prompt is pending there.
        :param shortest_objective_s: shortest objective of the service.
        """
        prompts = self._prompts_by_service.get(service)
        is_expected = prompts is not None and now - prompts.short_at <= SHORT_EXPECTED_S
        if not has_short and not is_expected:
            return True
        if unread_s > LONG_RATE_SHARE * shortest_objective_s:
            return False
        return self._turn_end_by_endpoint.get(endpoint, 0.0) <= now

    def turn_end(self, endpoint: str) -> float:
        """Return the time from which the next long prompt may go to an endpoint."""
        return self._turn_end_by_endpoint.get(endpoint, 0.0)

    def record_long_start(self, endpoint: str, read_s: float, now: float) -> None:
        """Begin the turn of a long prompt, which lasts until its part of the rate is used."""
        self._turn_end_by_endpoint[endpoint] = now + read_s / LONG_RATE_SHARE

    def remove(self, endpoint: str) -> None:
        """Remove the turns of an endpoint that restarted or no longer exists."""
        self._turn_end_by_endpoint.pop(endpoint, None)
