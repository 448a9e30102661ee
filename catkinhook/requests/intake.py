"""Validation of callers' HTTP requests and conversion to calls."""

import hashlib
import json
import random
import re
from collections.abc import Iterable
from urllib.parse import quote

import attrs
import xxhash

from catkinhook.durable.claimtypes import hash_key
from catkinhook.errors import Ran, Refusal
from catkinhook.jsontexts import decode_json
from catkinhook.requests.callrunner import EVENT_STREAM, Call
from catkinhook.requests.gatewaydispatcher import Request
from catkinhook.state.documents import Caller, Document, Route
from catkinhook.state.modelnames import split_model
from catkinhook.state.views import Snapshot

STEP = "intake"
JSON_CONTENT_TYPE = "application/json"
SERVICES_PREFIX = "/services/"
COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")

BYTES_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 256
MAX_OUTPUT_TOKENS = 1 << 20
PREFIX_BLOCK_BYTES = 256
MAX_PREFIX_BLOCKS = 32

# Methods that HTTP defines as safe. Requests with other methods are repeatable only if their route
# is configured so.
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_METHODS = _SAFE_METHODS | {"POST", "PUT", "PATCH", "DELETE"}

# Headers that are forwarded to a plain service. The bearer token authenticates callers to this
# system only, so it is not forwarded.
FORWARDED_HEADERS = (
    "Accept",
    "Accept-Language",
    "Content-Type",
    "Idempotency-Key",
    "If-Match",
    "If-None-Match",
    "Traceparent",
    "User-Agent",
)
_IDEMPOTENCY_KEY = re.compile(r"^[\x21-\x7e]{1,255}$")
_id_generator = random.Random()
_QUERY = re.compile(r"^[\x21-\x7e]*$")


@attrs.frozen(kw_only=True)
class InboundRequest:
    """A caller's request, without its credentials.

    :ivar path: decoded path.
    :ivar headers: forwarded headers.
    :ivar class_name: class of the caller.
    :ivar caller: name of the caller, empty if the document lists no callers.
    """

    method: str
    path: str
    query: str = ""
    headers: dict[str, str] = attrs.Factory(dict)
    body: bytes = b""
    class_name: str = ""
    caller: str = ""


def make_refusal(code: str, status: int, reason: str, retry_after_s: float = 0.0) -> Refusal:
    """Return a refusal of a request that was not sent to any endpoint."""
    return Refusal(STEP, "", reason, code, status, Ran.NO, retry_after_s)


def find_document(inbound: InboundRequest, snapshot: Snapshot) -> Document:
    """Return the document of the service that a request addresses.

    :raises Refusal: if the service or model does not exist.
    """
    if inbound.path.startswith(SERVICES_PREFIX):
        name = inbound.path.removeprefix(SERVICES_PREFIX).partition("/")[0]
        document = snapshot.catalog.document_by_service.get(name)
        if document is None or document.endpoints.kind != "plain":
            raise make_refusal("unknown-service", 404, f"there is no plain service {name[:80]!r}")
        return document
    name = _get_string(_parse_object(inbound.body), "model")
    model, adapter = split_model(name)
    entry = snapshot.catalog.entry_by_model.get(model)
    adapter_names = {spec.name for spec in entry.model.adapters} if entry else set()
    if entry is None or (adapter and adapter not in adapter_names):
        raise make_refusal("unknown-model", 404, f"no service offers model {name[:200]!r}")
    return entry.document


def identify_caller(
    document: Document, authorization: str, class_header: str, inbound: InboundRequest
) -> InboundRequest:
    """Return the request with the class and name of its caller.

    :param authorization: value of the ``Authorization`` header.
    :param class_header: value of the ``X-Caller-Class`` header, which is used only if the document
        lists classes but no callers.
    :raises Refusal: if the caller or its class is unknown.
    """
    if document.callers:
        caller = _find_caller(document, authorization)
        if caller is None:
            raise make_refusal("unauthorized", 401, "the bearer token belongs to no caller")
        return attrs.evolve(inbound, class_name=caller.caller_class, caller=caller.name)
    if not document.classes:
        # Each class name creates metrics and burn counters, so callers must not choose them freely.
        return attrs.evolve(inbound, class_name=document.default_class)
    name = class_header or document.default_class
    if name not in document.classes:
        raise make_refusal("unknown-class", 400, f"{name[:80]!r} is not a class of the service")
    return attrs.evolve(inbound, class_name=name)


def find_callers(documents: Iterable[Document], authorization: str) -> list[str]:
    """Return the qualified caller names that an ``Authorization`` header authenticates.

    The empty name, which stands for callers of services that list none, is always included.
    """
    found = [(document.service, _find_caller(document, authorization)) for document in documents]
    return ["", *(qualify_caller_name(service, caller.name) for service, caller in found if caller)]


def qualify_caller_name(service: str, caller: str) -> str:
    """Return the qualified name of a caller, empty if the service lists no callers."""
    return f"{service}/{caller}" if caller else ""


def _find_caller(document: Document, authorization: str) -> Caller | None:
    scheme, _, token = authorization.partition(" ")
    return document.find_caller(token.strip()) if scheme.lower() == "bearer" else None


def build_call(inbound: InboundRequest, snapshot: Snapshot, arrived: float) -> Call:
    """Convert a request whose class is known into a call.

    :param arrived: seconds on the local monotonic clock.
    :raises Refusal: if the request is not valid.
    """
    document = find_document(inbound, snapshot)
    if inbound.path.startswith(SERVICES_PREFIX):
        return _build_service_call(inbound, document, arrived)
    return _build_completion(inbound, document, arrived)


def _build_completion(inbound: InboundRequest, document: Document, arrived: float) -> Call:
    fields = _parse_object(inbound.body)
    model, adapter = split_model(fields["model"])
    stream = fields.get("stream", False)
    if not isinstance(stream, bool):
        raise make_refusal("bad-request", 400, "'stream' must be true or false")
    prompt = _get_prompt(fields)
    request = Request(
        request_id=_make_request_id(),
        document=document,
        class_name=inbound.class_name,
        caller_class=document.get_class(inbound.class_name),
        fingerprint=make_fingerprint(document.service, model, adapter, inbound.body),
        arrived=arrived,
        model=model,
        adapter=adapter,
        prompt_tokens=len(prompt) // BYTES_PER_TOKEN + 1,
        output_tokens=_get_output_tokens(fields),
        prefixes=hash_prefixes(fields["model"], fields),
    )
    headers = {
        "Content-Type": JSON_CONTENT_TYPE,
        "Accept": EVENT_STREAM if stream else JSON_CONTENT_TYPE,
    }
    return Call(
        request=request,
        method="POST",
        path=inbound.path,
        headers=headers,
        body=inbound.body,
        stream=stream,
    )


def _build_service_call(inbound: InboundRequest, document: Document, arrived: float) -> Call:
    path = _get_service_path(inbound)
    if inbound.method not in _METHODS:
        raise make_refusal("method", 405, f"method {inbound.method[:20]!r} is not supported")
    if not _QUERY.match(inbound.query):
        raise make_refusal("bad-request", 400, "the query is not percent-encoded")
    route = document.find_route(inbound.method, path)
    repeatable = _is_repeatable(route, inbound.method)
    key = inbound.headers.get("Idempotency-Key", "")
    if not repeatable and not _IDEMPOTENCY_KEY.match(key):
        reason = "the route needs an Idempotency-Key of 1 to 255 printable characters"
        raise make_refusal("idempotency-key", 400, reason)
    target = quote(path, safe="/~!$&'()*+,;=:@") + (f"?{inbound.query}" if inbound.query else "")
    identity = f"{inbound.method} {target}\0".encode()
    request = Request(
        request_id=_make_request_id(),
        document=document,
        class_name=inbound.class_name,
        caller_class=document.get_class(inbound.class_name),
        fingerprint=make_fingerprint(document.service, "", "", identity + inbound.body),
        arrived=arrived,
        repeatable=repeatable,
    )
    return Call(
        request=request,
        method=inbound.method,
        path=target,
        headers=inbound.headers,
        body=inbound.body,
        claim_key="" if repeatable else hash_key(document.service, inbound.caller, key),
        body_hash="" if repeatable else hashlib.sha256(identity + inbound.body).hexdigest(),
    )


def _is_repeatable(route: Route | None, method: str) -> bool:
    return route.repeatable if route is not None else method in _SAFE_METHODS


def _get_service_path(inbound: InboundRequest) -> str:
    """Return the path below the service in canonical form, as routes are matched by it."""
    path = "/" + inbound.path.removeprefix(SERVICES_PREFIX).partition("/")[2]
    segments = path.split("/")[1:]
    # A non-canonical path could bypass a route that forbids retries.
    if any(segment in (".", "..") for segment in segments) or "" in segments[:-1]:
        raise make_refusal("bad-path", 400, "the path has empty or dot segments")
    if any(ord(char) < 0x20 or char in "\\;\x7f" for char in path):
        raise make_refusal("bad-path", 400, "the path has control characters, '\\' or ';'")
    return path


def _make_request_id() -> str:
    # Ids must be unique but not unpredictable; uuid4() would cost a system call.
    return f"{_id_generator.getrandbits(128):032x}"


def make_fingerprint(service: str, model: str, adapter: str, body: bytes) -> str:
    """Return a hash that is equal for identical requests."""
    head = f"{service}\0{model}\0{adapter}\0".encode()
    return hashlib.sha256(head + body).hexdigest()[:32]


def hash_prefixes(model: str, fields: dict) -> tuple[str, ...]:
    """Return the hashes of a prompt's block-aligned prefixes, shortest first, as engines do.

    :param model: ``model`` or ``model/adapter``.
    """
    if "messages" in fields:
        text = json.dumps(fields["messages"], sort_keys=True)
    else:
        text = json.dumps(fields["prompt"])
    data = text.encode()
    prefix_hash = xxhash.xxh64(model.encode("utf-8", "surrogatepass"))
    hashes = []
    for start in range(0, len(data) - PREFIX_BLOCK_BYTES + 1, PREFIX_BLOCK_BYTES):
        if len(hashes) == MAX_PREFIX_BLOCKS:
            break
        prefix_hash.update(data[start : start + PREFIX_BLOCK_BYTES])
        hashes.append(prefix_hash.hexdigest())
    return tuple(hashes)


def _parse_object(body: bytes) -> dict:
    try:
        fields = decode_json(body)
    except (ValueError, RecursionError) as error:
        raise make_refusal("bad-json", 400, f"the body is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise make_refusal("bad-json", 400, "the body is not a JSON object")
    return fields


def _get_string(fields: dict, name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise make_refusal("bad-request", 400, f"{name!r} must be a text that is not empty")
    return value


def _get_prompt(fields: dict) -> str:
    """Return the text of the prompt; messages are joined in their order."""
    if "messages" not in fields:
        return _get_string(fields, "prompt")
    messages = fields["messages"]
    is_valid = (
        isinstance(messages, list) and messages and all(isinstance(m, dict) for m in messages)
    )
    if not is_valid:
        raise make_refusal("bad-request", 400, "'messages' must be a list of objects")
    return "\n".join(f"{m.get('role', '')}:{m.get('content', '')}" for m in messages)


def _get_output_tokens(fields: dict) -> int:
    value = fields.get("max_tokens", DEFAULT_OUTPUT_TOKENS)
    is_valid = isinstance(value, int) and not isinstance(value, bool)
    if not is_valid or not 1 <= value <= MAX_OUTPUT_TOKENS:
        raise make_refusal("bad-request", 400, f"'max_tokens' must be 1 to {MAX_OUTPUT_TOKENS}")
    return value
