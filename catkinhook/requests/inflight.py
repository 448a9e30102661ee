"""Requests and attempts as the decisions see them."""

import attrs

from catkinhook.state.documents import CallerClass, Document
from catkinhook.state.views import EndpointView


@attrs.frozen(kw_only=True)
class Request:
    """What the decisions need to know of one request.

    :ivar request_id: unique for the request, the same over its attempts.
    :ivar model: model name, empty for a plain service.
    :ivar adapter: adapter name, empty for none.
    :ivar prompt_tokens: estimated tokens of the prompt.
    :ivar output_tokens: bound on tokens of the answer.
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
    """An endpoint chosen for one attempt, which counts as in progress until ``finish``.

    :ivar attempt_id: unique id of the attempt, sent to the endpoint.
    :ivar priority: priority for the engine, 0 for the most urgent work to 9.
    :ivar probe: true for the retry of a request that may have crashed an endpoint.
    """

    attempt_id: str
    endpoint: EndpointView
    priority: int = 0
    probe: bool = False


@attrs.define
class Attempt:
    """An attempt in progress, with what was expected of it.

    :ivar load: requests on the endpoint when it started.
    :ivar uncached: prompt tokens expected not to be cached.
    :ivar hinted: share of the prompt that prefix hints named.
    :ivar predicted: predicted time as a share of the promised time.
    :ivar probe: true for the retry of a request that may have crashed an endpoint.
    """

    request: Request
    endpoint: EndpointView
    started: float
    load: float
    uncached: float
    hinted: float
    predicted: float
    probe: bool = False
    first_token: float | None = None


@attrs.define
class RequestState:
    """What became of an admitted request so far."""

    attempts: int = 0
    retries: int = 0
    crashes: int = 0
    may_have_run: bool = False
