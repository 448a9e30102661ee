"""Requests of a host whose route is known, and the scheduler's decisions on them."""

import enum
import functools

import attrs

from catkinhook.errors import Refusal
from catkinhook.requests.partevidence import list_units
from catkinhook.requests.routetable import RetryMode, Route
from catkinhook.state.views import EndpointView

# Idle timeout of callers: a caller closes a stream that sends no event for the maximum of a fixed
# time, a multiple of the objective and a multiple of the target interval between events. The
# platform's documentation of callers specifies these values.
IDLE_TIMEOUT_MIN_S = 2.0
IDLE_TIMEOUT_OBJECTIVE_FACTOR = 4.0
IDLE_TIMEOUT_GAP_FACTOR = 8.0
# Output token limit of a request that does not set one.
DEFAULT_OUTPUT_TOKENS = 200


class AttemptProgress(enum.StrEnum):
    """How much of an endpoint's answer to one attempt has arrived."""

    NONE = "none"
    HEAD = "head"
    EVENTS = "events"  # at least the first event, or all of an answer that is no stream


@attrs.frozen(kw_only=True)
class RoutedRequest:
    """A request and its route.

    :ivar request_id: id that the caller gave this attempt.
    :ivar configuration: version of the configuration that defines the route.
    :ivar item: empty for a plain service, ``model`` or ``model/adapter``.
    :ivar arrived: seconds on the local monotonic clock.
    :ivar deadline: time at which the caller or the route cancels the request.
    :ivar prompt_tokens: tokens of the prompt.
    :ivar output_tokens: output token limit.
    :ivar prefixes: hashes of the prompt's prefixes, shortest first.
    :ivar shared_parts: ids of the prompt's parts that other requests may have too, which are all
        but the last.
    :ivar fingerprint: hash that is equal for requests with the same effect on an endpoint.
    :ivar workspace: name of the caller's workspace, empty if it has none.
    :ivar workspace_priority: priority of that workspace, None if it has none of its own.
    :ivar limit_cost: what the request counts for in the limit of its workspace.
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
    shared_parts: tuple[str, ...] = ()
    fingerprint: str = ""
    workspace: str = ""
    workspace_priority: int | None = None
    limit_cost: float = 0.0

    @property
    def priority(self) -> int:
        """Priority, 0 for the most urgent; that of the workspace goes before that of the route."""
        own = self.workspace_priority
        return self.route.priority if own is None else own

    @property
    def model(self) -> str:
        """Model of the item, empty for a plain service."""
        return self.item.partition("/")[0]

    @functools.cached_property
    def units(self) -> tuple[str, ...]:
        """Units of the prompt that may be blamed for a crash, see ``partevidence``."""
        return list_units(self.service, self.model, self.shared_parts)

    @property
    def tokens(self) -> int:
        """Largest number of KV cache tokens that the request can use."""
        return self.prompt_tokens + self.output_tokens

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run a second time."""
        return self.route.retry_mode is not RetryMode.NEVER

    def caller_deadline(self) -> float:
        """Return the time at which the caller disconnects if no data has arrived."""
        if not self.route.is_stream:
            return self.deadline
        return min(self.deadline, self.arrived + caller_idle_timeout(self.route))


def caller_idle_timeout(route: Route) -> float:
    """Return the seconds without an event after which a caller closes a stream."""
    objective = IDLE_TIMEOUT_OBJECTIVE_FACTOR * route.objective_s
    return max(IDLE_TIMEOUT_MIN_S, objective, IDLE_TIMEOUT_GAP_FACTOR * route.gap_s)


@attrs.frozen(kw_only=True)
class Assignment:
    """The endpoint of the next attempt, which is in progress until it is finished.

    :ivar attempt: number of the attempt in the scheduler.
    :ivar priority: priority for the engine, from 0 for the most urgent requests to 9.
    :ivar probe: true for the retry of a request that may have crashed an endpoint.
    :ivar prompt_class: ``long``, ``middle`` or ``short``, compared with the prompts of the service;
        empty where capacity is not shared, and for a plain service.
    :ivar reply_margin_s: time by which the endpoint's deadline is earlier than that of the host.
    """

    endpoint: EndpointView
    attempt: int
    priority: int
    probe: bool = False
    prompt_class: str = ""
    reply_margin_s: float = 0.0


Decision = Assignment | Refusal
