"""Check of a configuration before it is put in force: faults, and differences from another one.

All functions are pure. No finding and no difference contains a key of a workspace.
"""

import enum
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import attrs

from catkinhook.requests.routetable import EngineSpec, RetryMode, Route, RouteTable, ServiceSpec
from catkinhook.requests.workspaces import TokenLimit, Workspace, count_changes

# Time over which limits apply to workspaces.
LIMIT_WINDOW_S = 8.0


class Kind(enum.StrEnum):
    """Kind of a finding."""

    ERROR = "error"
    NEVER_MATCHES = "never matches"
    CONTRADICTION = "contradiction"
    WARNING = "warning"


@attrs.frozen
class Finding:
    """A fault of a configuration.

    :ivar subject: entry that has it, such as ``route 'live'``.
    """

    kind: Kind
    subject: str
    reason: str

    def __str__(self) -> str:
        return f"{self.kind.value}: {self.subject}: {self.reason}"


def is_clean(findings: Iterable[Finding]) -> bool:
    """Whether a configuration has no fault; warnings are none."""
    return all(finding.kind is Kind.WARNING for finding in findings)


def check_table(table: RouteTable) -> list[Finding]:
    """Return the faults of a configuration that hosts would accept."""
    findings = [*_check_route_order(table.routes), *_check_workspaces(table)]
    for route in table.routes:
        findings += _check_route(route, table.service_by_name)
    for service in table.service_by_name.values():
        if service.engine is not None:
            findings += _check_engine(service, service.engine)
    return findings


def check_succession(table: RouteTable, in_force: RouteTable) -> list[Finding]:
    """Return the faults of a configuration as the successor of another one."""
    if table.version > in_force.version:
        return []
    reason = f"it is not above {in_force.version}, which is in force, so hosts ignore it"
    return [Finding(Kind.ERROR, f"version {table.version}", reason)]


def _name_route(route: Route) -> str:
    return f"route {route.name!r} ({route.host}{route.prefix})"


def _check_route_order(routes: Iterable[Route]) -> Iterator[Finding]:
    first_by_match: dict[tuple[str, str], Route] = {}
    for route in routes:
        first = first_by_match.setdefault((route.host.lower(), route.prefix), route)
        if first is not route:
            reason = f"{_name_route(first)} is earlier and has the same host and prefix"
            yield Finding(Kind.NEVER_MATCHES, _name_route(route), reason)


# Faults of single routes: kind, condition and reason.
_ROUTE_CHECKS: tuple[tuple[Kind, Callable[[Route], bool], str], ...] = (
    (
        Kind.NEVER_MATCHES,
        lambda route: ":" in route.host,
        "hosts are compared without their ports",
    ),
    (
        Kind.NEVER_MATCHES,
        lambda route: route.prefix != "" and not route.prefix.startswith("/"),
        "the prefix does not begin with a slash",
    ),
    (
        Kind.CONTRADICTION,
        lambda route: route.timeout_s <= 0,
        "the timeout is 0, so no request has time for an answer",
    ),
    (
        Kind.CONTRADICTION,
        lambda route: route.objective_s > route.timeout_s,
        "the objective is above the timeout",
    ),
    (
        Kind.CONTRADICTION,
        lambda route: route.is_stream and route.gap_s > route.timeout_s,
        "the aim for gaps between events is above the timeout",
    ),
    (
        Kind.CONTRADICTION,
        lambda route: route.max_attempts > 1 and route.retry_mode is RetryMode.NEVER,
        "max_attempts is above 1, but its requests must not be repeated",
    ),
)


def _check_route(route: Route, service_by_name: dict[str, ServiceSpec]) -> Iterator[Finding]:
    subject = _name_route(route)
    for kind, is_faulty, reason in _ROUTE_CHECKS:
        if is_faulty(route):
            yield Finding(kind, subject, reason)
    for name, weight in route.weight_by_service:
        if name not in service_by_name:
            yield Finding(Kind.ERROR, subject, f"the service {name!r} does not exist")
        if not weight:
            yield Finding(Kind.NEVER_MATCHES, subject, f"the weight of service {name!r} is 0")


def _check_engine(service: ServiceSpec, engine: EngineSpec) -> Iterator[Finding]:
    if not engine.slots:
        reason = "its engines have no slots"
        yield Finding(Kind.CONTRADICTION, f"service {service.name!r}", reason)
    for model in engine.model_by_name.values():
        subject = f"model {model.name!r} of service {service.name!r}"
        if model.memory_mb > engine.memory_mb:
            reason = f"it needs {model.memory_mb:g} MB of an engine's {engine.memory_mb:g} MB"
            yield Finding(Kind.CONTRADICTION, subject, reason)
        elif model.adapters and model.memory_mb + model.adapter_mb > engine.memory_mb:
            reason = "no adapter fits into an engine's memory beside it"
            yield Finding(Kind.CONTRADICTION, subject, reason)
        if model.adapters and not engine.adapter_slots:
            reason = "it has adapters, but engines have no adapter slots"
            yield Finding(Kind.CONTRADICTION, subject, reason)


def _check_workspaces(table: RouteTable) -> Iterator[Finding]:
    directory = table.workspaces
    if directory is None:
        return
    for note in directory.notes:
        yield Finding(Kind.ERROR, "workspaces", note)
    has_keys = any(workspace.keys for workspace in directory.workspaces)
    if not has_keys and not any(route.is_open for route in table.routes):
        reason = "no key is valid and no route is open, so no request is served"
        yield Finding(Kind.CONTRADICTION, "workspaces", reason)
    engines = [s.engine for s in table.service_by_name.values() if s.engine is not None]
    largest = max((engine.cache_tokens for engine in engines), default=0)
    for workspace in directory.workspaces:
        if not workspace.keys:
            reason = "it has no key, so no caller belongs to it"
            yield Finding(Kind.NEVER_MATCHES, f"workspace {workspace.name!r}", reason)
        if workspace.limit is not None:
            yield from _check_limit(workspace, workspace.limit, largest)


def _check_limit(workspace: Workspace, limit: TokenLimit, largest: int) -> Iterator[Finding]:
    """Check a limit.

    :param largest: tokens of the largest request that an engine can hold.
    """
    subject = f"limit of workspace {workspace.name!r}"
    one_request = limit.cost(None)
    if limit.rate * LIMIT_WINDOW_S + limit.burst < one_request:
        reason = f"it allows less than one request of {one_request:g} in {LIMIT_WINDOW_S:g} s"
        yield Finding(Kind.CONTRADICTION, subject, reason)
    elif limit.burst < one_request:
        reason = f"the burst of {limit.burst:g} is below one request of {one_request:g}"
        yield Finding(Kind.CONTRADICTION, subject, reason)
    elif limit.counts_tokens and limit.burst < largest:
        reason = f"the burst of {limit.burst:g} is below a request of {largest} tokens"
        yield Finding(Kind.WARNING, subject, f"{reason}, which engines can hold")


def list_differences(in_force: RouteTable, table: RouteTable) -> list[str]:
    """Return the differences from the version in force, one a line."""
    lines = []
    if in_force.version != table.version:
        lines.append(f"version: {in_force.version} -> {table.version}")
    for kind, describe in _DESCRIBE_BY_KIND.items():
        lines += _compare(kind, describe(in_force), describe(table))
    lines += _compare_keys(in_force, table)
    return lines


Described = dict[str, dict[str, Any]]


def _describe_routes(table: RouteTable) -> Described:
    # The first of several routes with the same host and prefix is the one that matches.
    return {
        f"{route.host.lower()}{route.prefix}": attrs.asdict(route, recurse=False)
        for route in reversed(table.routes)
    }


def _describe_services(table: RouteTable) -> Described:
    described = {}
    for name, service in table.service_by_name.items():
        engine = service.engine
        fields = {} if engine is None else attrs.asdict(engine, recurse=False)
        fields.pop("model_by_name", None)
        described[name] = {"max_connections": service.max_connections, **fields}
    return described


def _describe_models(table: RouteTable) -> Described:
    return {
        f"{name}/{model.name}": attrs.asdict(model, recurse=False)
        for name, service in table.service_by_name.items()
        if service.engine is not None
        for model in service.engine.model_by_name.values()
    }


def _describe_workspaces(table: RouteTable) -> Described:
    workspaces = table.workspaces.workspaces if table.workspaces is not None else ()
    return {
        workspace.name: {
            "priority": workspace.priority,
            **(attrs.asdict(workspace.limit) if workspace.limit is not None else {}),
        }
        for workspace in workspaces
    }


def _describe_limits(table: RouteTable) -> Described:
    return {"of callers": attrs.asdict(table.limits)}


_DESCRIBE_BY_KIND: dict[str, Callable[[RouteTable], Described]] = {
    "route": _describe_routes,
    "service": _describe_services,
    "model": _describe_models,
    "workspace": _describe_workspaces,
    "limits": _describe_limits,
}


def _compare(kind: str, old: Described, new: Described) -> Iterator[str]:
    for name in sorted(old.keys() | new.keys()):
        if name not in new:
            yield f"{kind} {name!r} removed"
        elif name not in old:
            yield f"{kind} {name!r} added"
        else:
            for field in sorted(old[name].keys() | new[name].keys()):
                before, after = old[name].get(field), new[name].get(field)
                if before != after:
                    yield f"{kind} {name!r}: {field}: {_show(before)} -> {_show(after)}"


def _show(value: Any) -> str:
    return "none" if value is None else f"{value:g}" if isinstance(value, float) else str(value)


def _compare_keys(in_force: RouteTable, table: RouteTable) -> Iterator[str]:
    if (in_force.workspaces is None) != (table.workspaces is None):
        yield "workspaces: " + ("on -> off" if table.workspaces is None else "off -> on")
    change = count_changes(in_force.workspaces, table.workspaces)
    if change is not None and (change.keys_added or change.keys_removed or change.keys_moved):
        yield (
            f"keys: {change.keys_added} added, {change.keys_removed} removed, "
            f"{change.keys_moved} moved to another workspace, {change.keys} in all"
        )
