"""Data types for the requests and attempts of the dispatcher."""

import attrs

from catkinhook.state.documents import CallerClass, Document
from catkinhook.state.views import EndpointView


@attrs.frozen(kw_only=True)
class Request:
    """Properties of a request that the dispatcher bases its decisions on.

    :ivar request_id: unique id of the request, the same for all its attempts.
    :ivar model: model name, empty for a plain service.
    :ivar adapter: adapter name, empty for none.
    :ivar prompt_tokens: estimated tokens of the prompt.
    :ivar output_tokens: output token limit.
    :ivar prefixes: hashes of the prompt's prefixes, shortest first.
    :ivar fingerprint: hash of service, model, adapter and body.
    :ivar arrived: seconds on the local monotonic clock.
    """

    request_id: str
    document: Document
    class_name: str
    caller_class: CallerClass
    fingerprint: str
    arrived: float
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefixes: tuple[str, ...] = ()
    repeatable: bool = True


@attrs.frozen(kw_only=True)
class Choice:
    """An endpoint chosen for one attempt, which is in progress until ``finish``.

    :ivar attempt_id: unique id of the attempt, sent to the endpoint.
    :ivar priority: priority for the engine, from 0 for the most urgent requests to 9.
    :ivar probe: true for the retry of a request that may have crashed an endpoint.
    """

    attempt_id: str
    endpoint: EndpointView
    priority: int = 0
    probe: bool = False


@attrs.define
class Attempt:
    """An attempt in progress, with its predictions.

    :ivar load: other requests on the endpoint when the attempt started.
    :ivar uncached_tokens: expected number of uncached prompt tokens.
    :ivar hinted_share: share of the prompt that the prefix index lists as cached.
    :ivar predicted_ratio: predicted latency divided by the target.
    :ivar probe: true for the retry of a request that may have crashed an endpoint.
    """

    request: Request
    endpoint: EndpointView
    started_at: float
    load: float
    uncached_tokens: float
    hinted_share: float
    predicted_ratio: float
    probe: bool = False
    first_token_at: float | None = None


@attrs.define
class RequestState:
    """Attempts and failures of an admitted request so far."""

    attempts: int = 0
    retries: int = 0
    crashes: int = 0
    may_have_run: bool = False
