"""Parsing and validation of service documents, the YAML files in which teams declare services."""

import hashlib
import re

import attrs
from result import Err, Ok, Result

from catkinhook.validationerrors import Fault
from catkinhook.yamlfile import Bytes, Parsed, Seconds, parse_yaml

MAX_DOCUMENT_BYTES = 1 << 20
MAX_COPIES = 64

_NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9._-]{0,62}\Z")
_SHA256_PATTERN = re.compile(r"^[0-9a-f]{64}\Z")

PRIORITIES = ("interactive", "deferrable")
ENDPOINT_KINDS = ("engine", "plain")
WILDCARD_METHOD = "*"


@attrs.frozen(kw_only=True)
class Adapter:
    """Adapter of a model.

    :ivar name: unique within the model; requests select it as ``model/adapter``.
    :ivar version: when it changes, the new version is loaded before the old one is unloaded.
    :ivar memory: accelerator memory in bytes.
    """

    name: str
    memory: Bytes
    version: str = "1"


@attrs.frozen(kw_only=True)
class Model:
    """Model that a service offers.

    :ivar name: unique across all services.
    :ivar version: when it changes, the new version is loaded before the old one is unloaded.
    :ivar adapters: adapters that are loaded on demand.
    :ivar memory: accelerator memory of one copy in bytes, including the KV cache.
    :ivar copies: minimum number of reachable copies.
    :ivar max_copies: maximum number of copies that placement loads.
    """

    name: str
    memory: Bytes
    version: str = "1"
    copies: int = 1
    max_copies: int = 8
    adapters: list[Adapter] = attrs.Factory(list)


@attrs.frozen(kw_only=True)
class CallerClass:
    """Service-level objective (SLO) for one class of callers.

    :ivar priority: ``interactive`` or ``deferrable``.
    :ivar first_token: target in seconds for the time to the first token, or to the complete
        response of a plain service.
    :ivar between_tokens: target in seconds for the time between tokens.
    :ivar finish_within: deadline in seconds for the complete response to a deferrable request.
    :ivar objective: share of requests that must meet the targets, between 0 and 1.
    """

    priority: str = "interactive"
    first_token: Seconds = Seconds(1.0)
    between_tokens: Seconds = Seconds(0.2)
    finish_within: Seconds = Seconds(3600.0)
    objective: float = 0.95


@attrs.frozen(kw_only=True)
class Caller:
    """Caller that authenticates with a bearer token.

    :ivar name: part of the claim key of non-repeatable requests.
    :ivar caller_class: name of the caller's class.
    :ivar token_sha256: SHA-256 digest of the token in lower-case hexadecimal digits.
    """

    name: str
    caller_class: str
    token_sha256: str


@attrs.frozen(kw_only=True)
class Route:
    """Requests of a plain service, selected by path and method.

    :ivar path: path prefix below ``/services/{service}``, matched by whole segments.
    :ivar method: HTTP method, or ``*`` for any.
    :ivar repeatable: false if a request must be executed at most once.
    """

    path: str
    method: str = WILDCARD_METHOD
    repeatable: bool = False


@attrs.frozen(kw_only=True)
class Limits:
    """Limits of a service, divided among the live gateways.

    :ivar concurrent_requests: maximum number of requests in progress.
    :ivar requests_per_second: maximum rate of admitted requests.
    :ivar retry_share: retry budget as a share of first attempts, between 0 and 1.
    """

    concurrent_requests: int = 1000
    requests_per_second: float = 1000.0
    retry_share: float = 0.1


@attrs.frozen(kw_only=True)
class WeightStore:
    """Rate-limited weight store from which the engines of a service load models.

    :ivar name: services whose stores have the same name share one limit.
    :ivar loads_per_second: maximum rate of model loads.
    :ivar loads_at_once: maximum number of concurrent model loads.
    """

    name: str = "default"
    loads_per_second: float = 1.0
    loads_at_once: int = 9


@attrs.frozen(kw_only=True)
class Endpoints:
    """Endpoints of a service.

    :ivar kind: ``engine`` or ``plain``.
    :ivar checks_fencing: true if the engines reject orders with a stale fencing token.
    :ivar max_message_delay: seconds after which an order that was sent can no longer arrive.
    :ivar adapters_in_flight: number of concurrent adapter loads above which each takes longer.
    :ivar weight_store: weight store from which the engines load models, with its limits.
    """

    kind: str = "engine"
    checks_fencing: bool = False
    max_message_delay: Seconds = Seconds(30.0)
    adapters_in_flight: int = 70
    weight_store: WeightStore = attrs.Factory(WeightStore)


@attrs.frozen(kw_only=True)
class PlacementPolicy:
    """Trade-off between SLO attainment and the cost of moves.

    :ivar move_cost: minimum gain of one move, in additional requests per second that meet their
        targets.
    :ivar moves_per_hour: budget of loads, unloads and role changes per hour.
    """

    move_cost: float = 0.5
    moves_per_hour: int = 120


@attrs.frozen(kw_only=True)
class Document:
    """Declaration of one service.

    :ivar service: name of the service, unique across all documents.
    :ivar owner: team that owns the service.
    :ivar endpoints: endpoints of the service, whose hosts the platform lists.
    :ivar models: models that the service offers, only for kind ``engine``.
    :ivar classes: caller classes by name.
    :ivar default_class: class of callers that specify none.
    :ivar callers: if any are listed, all other callers are rejected.
    :ivar routes: routes of a plain service; a request that matches none is repeatable only if its
        method is safe, such as GET but not POST.
    :ivar limits: limits across all gateways.
    :ivar placement: trade-off between SLO attainment and the cost of moves.
    """

    service: str
    owner: str
    endpoints: Endpoints = attrs.Factory(Endpoints)
    models: list[Model] = attrs.Factory(list)
    classes: dict[str, CallerClass] = attrs.Factory(dict)
    default_class: str = "default"
    callers: list[Caller] = attrs.Factory(list)
    routes: list[Route] = attrs.Factory(list)
    limits: Limits = attrs.Factory(Limits)
    placement: PlacementPolicy = attrs.Factory(PlacementPolicy)

    def get_class(self, name: str) -> CallerClass:
        """Return a caller class by name, or one with default values if it is not defined."""
        return self.classes.get(name) or CallerClass()

    def find_caller(self, token: str) -> Caller | None:
        """Return the caller that a bearer token authenticates, or None."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        return next((caller for caller in self.callers if caller.token_sha256 == digest), None)

    def find_route(self, method: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a method and path, or None."""
        matching = [route for route in self.routes if _matches_route(route, method, path)]
        return max(matching, key=lambda route: len(route.path), default=None)


@attrs.frozen
class ModelEntry:
    """Model and the document that declares it."""

    model: Model
    document: Document


@attrs.frozen
class Catalog:
    """Index of the documents in force.

    :ivar number: configuration number.
    :ivar document_by_service: documents by service name.
    :ivar entry_by_model: models of all documents, with their documents, by model name.
    """

    number: int = 0
    document_by_service: dict[str, Document] = attrs.Factory(dict)
    entry_by_model: dict[str, ModelEntry] = attrs.Factory(dict)


def build_catalog(number: int, documents: list[Document]) -> Catalog:
    """Build the catalog of documents.

    A model that two services declare belongs to the alphabetically first service.
    """
    ordered = sorted(documents, key=lambda document: document.service)
    entries: dict[str, ModelEntry] = {}
    for document in ordered:
        for model in document.models:
            entries.setdefault(model.name, ModelEntry(model, document))
    return Catalog(number, {document.service: document for document in ordered}, entries)


def _matches_route(route: Route, method: str, path: str) -> bool:
    prefix = route.path.rstrip("/")
    is_below = path == prefix or path.startswith(prefix + "/")
    return is_below and route.method in (WILDCARD_METHOD, method)


def _check_name(parsed: Parsed, path: tuple, name: str) -> list[Fault]:
    if _NAME_PATTERN.match(name):
        return []
    reason = f"{name!r} must be 1 to 63 of a-z, 0-9, '.', '_', '-' and start with a letter or digit"
    return [parsed.make_fault(path, reason)]


def _check_unique(parsed: Parsed, path: tuple, names: list[str]) -> list[Fault]:
    first_index_by_name: dict[str, int] = {}
    return [
        parsed.make_fault((*path, index, "name"), f"{name!r} is named twice")
        for index, name in enumerate(names)
        if first_index_by_name.setdefault(name, index) != index
    ]


def _check_models(parsed: Parsed, document: Document) -> list[Fault]:
    faults = _check_unique(parsed, ("models",), [model.name for model in document.models])
    if document.models and document.endpoints.kind != "engine":
        faults.append(
            parsed.make_fault(("models",), "only a service with kind engine offers models")
        )
    for index, model in enumerate(document.models):
        path = ("models", index)
        faults += _check_name(parsed, (*path, "name"), model.name)
        if model.memory <= 0:
            faults.append(parsed.make_fault((*path, "memory"), "must be above 0"))
        if not 1 <= model.copies <= model.max_copies <= MAX_COPIES:
            reason = f"needs 1 <= copies <= max_copies <= {MAX_COPIES}"
            faults.append(parsed.make_fault((*path, "copies"), reason))
        faults += _check_unique(parsed, (*path, "adapters"), [a.name for a in model.adapters])
        for adapter_index, adapter in enumerate(model.adapters):
            faults += _check_name(parsed, (*path, "adapters", adapter_index, "name"), adapter.name)
            if adapter.memory <= 0:
                faults.append(
                    parsed.make_fault((*path, "adapters", adapter_index, "memory"), "is not > 0")
                )
    return faults


def _check_classes(parsed: Parsed, document: Document) -> list[Fault]:
    faults = []
    for name, caller_class in document.classes.items():
        if caller_class.priority not in PRIORITIES:
            reason = f"{caller_class.priority!r} must be one of {', '.join(PRIORITIES)}"
            faults.append(parsed.make_fault(("classes", name, "priority"), reason))
        if not 0 < caller_class.objective < 1:
            reason = f"{caller_class.objective} must lie between 0 and 1, such as 0.95"
            faults.append(parsed.make_fault(("classes", name, "objective"), reason))
        for field in ("first_token", "between_tokens", "finish_within"):
            if getattr(caller_class, field) <= 0:
                faults.append(parsed.make_fault(("classes", name, field), "must be above 0"))
    if document.classes and document.default_class not in document.classes:
        reason = f"{document.default_class!r} is none of {', '.join(sorted(document.classes))}"
        faults.append(parsed.make_fault(("default_class",), reason))
    return faults


def _check_callers(parsed: Parsed, document: Document) -> list[Fault]:
    faults = _check_unique(parsed, ("callers",), [caller.name for caller in document.callers])
    for index, caller in enumerate(document.callers):
        if caller.caller_class not in document.classes:
            reason = f"{caller.caller_class!r} is not a class of this document"
            faults.append(parsed.make_fault(("callers", index, "caller_class"), reason))
        if not _SHA256_PATTERN.match(caller.token_sha256):
            reason = "must be 64 lower-case hexadecimal digits"
            faults.append(parsed.make_fault(("callers", index, "token_sha256"), reason))
    return faults


def _check_ranges(parsed: Parsed, document: Document) -> list[Fault]:
    limits, endpoints, placement = document.limits, document.endpoints, document.placement
    checks = [
        (("limits", "concurrent_requests"), limits.concurrent_requests > 0, "must be above 0"),
        (("limits", "requests_per_second"), limits.requests_per_second > 0, "must be above 0"),
        (("limits", "retry_share"), 0 <= limits.retry_share <= 1, "must lie between 0 and 1"),
        (("endpoints", "kind"), endpoints.kind in ENDPOINT_KINDS, "must be engine or plain"),
        (("endpoints", "max_message_delay"), endpoints.max_message_delay > 0, "must be above 0"),
        (("endpoints", "adapters_in_flight"), endpoints.adapters_in_flight > 0, "must be above 0"),
        (
            ("endpoints", "weight_store", "loads_per_second"),
            endpoints.weight_store.loads_per_second > 0,
            "must be above 0",
        ),
        (
            ("endpoints", "weight_store", "loads_at_once"),
            endpoints.weight_store.loads_at_once > 0,
            "must be above 0",
        ),
        (("placement", "move_cost"), placement.move_cost >= 0, "must not be negative"),
        (("placement", "moves_per_hour"), placement.moves_per_hour > 0, "must be above 0"),
    ]
    return [parsed.make_fault(path, reason) for path, is_valid, reason in checks if not is_valid]


def _check_routes(parsed: Parsed, document: Document) -> list[Fault]:
    return [
        parsed.make_fault(("routes", index, "path"), f"{route.path!r} must start with '/'")
        for index, route in enumerate(document.routes)
        if not route.path.startswith("/")
    ]


def parse_document(text: str, file: str = "document") -> Result[Document, list[Fault]]:
    """Parse and validate a service document.

    :param text: YAML text of at most ``MAX_DOCUMENT_BYTES`` bytes.
    :param file: file name in faults.
    :returns: the document, or all faults.
    """
    if len(text.encode("utf-8", "surrogatepass")) > MAX_DOCUMENT_BYTES:
        return Err([Fault(file, 0, "", f"is larger than {MAX_DOCUMENT_BYTES} bytes")])
    result = parse_yaml(text, Document, file)
    if result.is_err():
        return Err(result.unwrap_err())
    parsed = result.unwrap()
    document: Document = parsed.value
    faults = _check_name(parsed, ("service",), document.service)
    for check in (_check_models, _check_classes, _check_callers, _check_ranges, _check_routes):
        faults += check(parsed, document)
    return Err(faults) if faults else Ok(document)


def check_model_owners(document: Document, catalog: Catalog, file: str = "document") -> list[Fault]:
    """Return a fault for each model that the catalog assigns to another service."""
    faults = []
    for index, model in enumerate(document.models):
        entry = catalog.entry_by_model.get(model.name)
        if entry is not None and entry.document.service != document.service:
            reason = f"{model.name!r} is offered by service {entry.document.service!r} already"
            faults.append(Fault(file, 0, f"models[{index}].name", reason))
    return faults
