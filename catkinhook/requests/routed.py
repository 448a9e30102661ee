"""A request as the decisions of a host see it, and what they decide."""

import attrs

from catkinhook.errors import Refusal
from catkinhook.requests.routes import RetryMode, Route
from catkinhook.state.views import EndpointView

# A caller gives up on a stream after a silence of the longest of these: a time, a multiple of the
# objective, a multiple of the pause between events. Source: the platform's page on its callers.
PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_GAPS = 8.0
# Tokens that an event of a stream carries when the answer's length isn't known.
DEFAULT_OUTPUT_TOKENS = 200


@attrs.frozen(kw_only=True)
class RoutedRequest:
    """One request.

    :ivar request_id: id that the caller gave this attempt of its own.
    :ivar configuration: version of the configuration that the route is from.
    :ivar item: empty for a plain service, ``model`` or ``model/adapter``.
    :ivar arrived: seconds on the local monotonic clock.
    :ivar deadline: time at which the caller or the route ends the request.
    :ivar prompt_tokens: tokens of the prompt.
    :ivar output_tokens: most tokens of the answer.
    :ivar prefixes: hashes of the prompt's parts with all parts before them, shortest first.
    :ivar fingerprint: hash of what makes two requests the same work.
    """

    request_id: str
    service: str
    route: Route
    arrived: float
    deadline: float
    configuration: int = 0
    item: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefixes: tuple[str, ...] = ()
    fingerprint: str = ""

    @property
    def model(self) -> str:
        """Model of the item, empty for a plain service."""
        return self.item.partition("/")[0]

    @property
    def tokens(self) -> int:
        """Tokens of KV cache that the request may come to need."""
        return self.prompt_tokens + self.output_tokens

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run a second time."""
        return self.route.retry_mode is not RetryMode.NEVER

    def caller_deadline(self) -> float:
        """Return when the caller leaves if nothing has arrived."""
        if not self.route.is_stream:
            return self.deadline
        return min(self.deadline, self.arrived + patience(self.route))


def patience(route: Route) -> float:
    """Return the seconds of silence after which a caller leaves a stream."""
    objective = PATIENCE_OBJECTIVES * route.objective_s
    return max(PATIENCE_S, objective, PATIENCE_GAPS * route.gap_s)


@attrs.frozen(kw_only=True)
class Assignment:
    """The endpoint of the next attempt, where the request counts until it is finished.

    :ivar priority: priority for the engine, 0 for the most urgent work to 9.
    :ivar probe: true for the retry of a request that may have crashed an endpoint.
    """

    endpoint: EndpointView
    attempt: int
    priority: int
    probe: bool = False


Decision = Assignment | Refusal
