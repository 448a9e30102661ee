"""Callers of requests: their workspaces, and the headers that endpoints get for them."""

import threading
from collections.abc import Callable

import attrs

from catkinhook.errors import Ran, Refusal
from catkinhook.platform import protocolnames
from catkinhook.requests.routetable import Route, RouteTable
from catkinhook.requests.workspaces import (
    Identified,
    RemovedKeys,
    Workspace,
    WorkspaceDirectory,
    make_key_refusal,
    parse_key,
)

STEP = "callers"
# Seconds after which a caller may repeat a request whose key was given to another workspace.
CHANGED_RETRY_S = 0.2

Headers = tuple[tuple[str, str], ...]


@attrs.frozen(kw_only=True)
class Caller:
    """Caller of one request.

    :ivar workspace: None if it has none.
    :ivar dropped_headers: names of its headers, in lower case, that endpoints don't get.
    :ivar more_headers: headers that endpoints get instead.
    """

    workspace: Workspace | None = None
    dropped_headers: frozenset[str] = frozenset()
    more_headers: Headers = ()

    @property
    def workspace_name(self) -> str:
        """Name of the workspace, empty if there is none."""
        return "" if self.workspace is None else self.workspace.name

    def limit_cost(self, tokens: int | None) -> float:
        """Return what a request counts for in the limit of the workspace, 0 without a limit.

        :param tokens: tokens that the request states, None if it states none.
        """
        limit = None if self.workspace is None else self.workspace.limit
        return 0.0 if limit is None else limit.cost(tokens)


class CallerChecker:
    """Identifies callers by the configuration in force.

    :param get_route_table: returns the configuration in force, None before the first one.
    :param record_refusal: called with the code of each refusal.
    """

    def __init__(
        self,
        get_route_table: Callable[[], RouteTable | None],
        record_refusal: Callable[[str], None],
    ) -> None:
        self._get_route_table = get_route_table
        self._record_refusal = record_refusal
        self._lock = threading.Lock()
        self._removed_keys = RemovedKeys()
        self._observed: WorkspaceDirectory | None = None

    def identify(self, table: RouteTable, route: Route, headers: Headers) -> Caller:
        """Return the caller of a request.

        :raises Refusal: if the caller may not use the route.
        """
        directory = table.workspaces
        if directory is None:
            return Caller()
        self._observe(directory)
        authorization = _find_authorization(headers)
        identified = directory.identify(authorization, route.is_open)
        if isinstance(identified, Refusal):
            raise self._refuse(identified, authorization)
        name = identified.name
        # Header values are sent in latin-1, and endpoints get the name in UTF-8.
        sent_name = name if name.isascii() else name.encode().decode("latin-1")
        return Caller(
            workspace=identified.workspace,
            dropped_headers=protocolnames.WORKSPACE_HEADERS,
            more_headers=((protocolnames.TENANT, sent_name),) if name else (),
        )

    def make_check(
        self, table: RouteTable, route: Route, headers: Headers, caller: Caller
    ) -> Callable[[], Refusal | None]:
        """Return a function that tells whether a request may still be sent to an endpoint.

        A request may wait for seconds. The function returns a refusal if the configuration in force
        no longer has the caller's key, or if the endpoint would get headers that don't agree with
        it.

        :param table: configuration by which the caller was identified.
        """

        def check() -> Refusal | None:
            current = self._get_route_table()
            if current is table or current is None or current.workspaces is None:
                return None
            self._observe(current.workspaces)
            authorization = _find_authorization(headers)
            is_open = _find_present_route(current, route).is_open
            identified = current.workspaces.identify(authorization, is_open)
            if isinstance(identified, Refusal):
                return self._refuse(identified, authorization)
            return self._compare(identified, table, caller)

        return check

    def _compare(self, identified: Identified, table: RouteTable, caller: Caller) -> Refusal | None:
        """Return a refusal if a request was not prepared for its caller's present workspace."""
        if table.workspaces is not None and identified.name == caller.workspace_name:
            return None
        reason = "the caller's workspace changed while the request waited"
        return Refusal(STEP, "", reason, "workspace-changed", 503, Ran.NO, CHANGED_RETRY_S)

    def _observe(self, directory: WorkspaceDirectory) -> None:
        if directory is self._observed:
            return
        with self._lock:
            self._removed_keys.observe(directory)
            self._observed = directory

    def _refuse(self, refusal: Refusal, authorization: tuple[str, ...]) -> Refusal:
        """Count a refusal and return it, with the code for removed keys if that is the reason."""
        if refusal.code == "unknown-key" and parse_key(authorization[0]) in self._removed_keys:
            refusal = make_key_refusal("removed-key", "the workspace's key was removed")
        self._record_refusal(refusal.code)
        return refusal


def _find_present_route(table: RouteTable, route: Route) -> Route:
    """Return the route with the same host and prefix in another version, or the same route."""
    present = table.match(route.host, route.prefix)
    is_same = present is not None and present.prefix == route.prefix
    return present if is_same else route


def _find_authorization(headers: Headers) -> tuple[str, ...]:
    name = protocolnames.AUTHORIZATION.lower()
    return tuple(value for key, value in headers if key.lower() == name)
