"""Workspaces of callers: their keys, priorities and limits in one version of the configuration."""

import re
from collections import OrderedDict
from collections.abc import Iterable

import attrs

from catkinhook.errors import Ran, Refusal
from catkinhook.requests.limitbound import StockFactors

STEP = "workspaces"
# Removed keys that are remembered, to tell their callers from those whose key was never valid.
MAX_REMOVED_KEYS = 4096

_CREDENTIALS = re.compile(r"bearer +([!-~]+)", re.ASCII | re.IGNORECASE)


@attrs.frozen(kw_only=True)
class TokenLimit:
    """Limit on what the requests of a workspace may use, over all hosts.

    :ivar rate: units per second.
    :ivar burst: units that may be used at once after a time of rest.
    :ivar counts_tokens: whether the unit is a token; otherwise it is a request.
    :ivar plain_tokens: tokens that a request counts for that does not state its own.
    :ivar stock: factors on what may be held in stock, from the bound of the deployment.
    """

    rate: float
    burst: float
    counts_tokens: bool = True
    plain_tokens: int = 0
    stock: StockFactors = StockFactors()

    def cost(self, tokens: int | None) -> float:
        """Return what a request counts for.

        :param tokens: prompt tokens and output token limit, None if the request states none.
        """
        if not self.counts_tokens:
            return 1.0
        return float(self.plain_tokens if tokens is None else tokens)


@attrs.frozen(kw_only=True)
class Workspace:
    """A workspace of callers.

    :ivar keys: keys that its callers send.
    :ivar priority: goes before the priority of the route, 0 for the most urgent; None if unset.
    :ivar limit: None if it has none.
    """

    name: str
    # Keys must not appear in a log.
    keys: tuple[str, ...] = attrs.field(repr=False)
    priority: int | None = None
    limit: TokenLimit | None = None


@attrs.frozen(kw_only=True)
class Identified:
    """A caller that may use a route.

    :ivar workspace: None for a caller without a key.
    """

    workspace: Workspace | None = None

    @property
    def name(self) -> str:
        """Name of the workspace, empty if there is none."""
        return "" if self.workspace is None else self.workspace.name


@attrs.frozen(kw_only=True)
class WorkspaceDirectory:
    """All workspaces of one version of the configuration, by name and by key.

    A key that is given to two workspaces belongs to the first of them.

    :ivar notes: invalid values of the configuration and what is used instead, without keys.
    """

    workspaces: tuple[Workspace, ...]
    notes: tuple[str, ...] = ()
    workspace_by_name: dict[str, Workspace] = attrs.field(init=False, hash=False, repr=False)
    _workspace_by_key: dict[str, Workspace] = attrs.field(init=False, hash=False, repr=False)

    @workspace_by_name.default
    def _index_names(self) -> dict[str, Workspace]:
        return {workspace.name: workspace for workspace in reversed(self.workspaces)}

    @_workspace_by_key.default
    def _index_keys(self) -> dict[str, Workspace]:
        return {key: workspace for workspace in reversed(self.workspaces) for key in workspace.keys}

    def find(self, key: str) -> Workspace | None:
        """Return the workspace that holds a key, None if there is none."""
        return self._workspace_by_key.get(key)

    def keys(self) -> Iterable[str]:
        """Return all keys."""
        return self._workspace_by_key.keys()

    def identify(self, authorization: tuple[str, ...], is_open: bool) -> Identified | Refusal:
        """Return the caller of a request, or the refusal if it may not use its route.

        :param authorization: values of all its Authorization headers.
        :param is_open: whether the route is open to callers without a key.
        """
        if not authorization:
            if is_open:
                return Identified()
            return make_key_refusal("missing-key", "the request has no key")
        if len(authorization) > 1:
            reason = "the request has several Authorization headers"
            return make_key_refusal("malformed-key", reason)
        key = parse_key(authorization[0])
        if key is None:
            reason = "the Authorization header is not a bearer key"
            return make_key_refusal("malformed-key", reason)
        workspace = self._workspace_by_key.get(key)
        if workspace is None:
            return make_key_refusal("unknown-key", "no workspace has this key")
        return Identified(workspace=workspace)


def parse_key(authorization: str) -> str | None:
    """Return the key in the value of an Authorization header, None if it is malformed."""
    credentials = _CREDENTIALS.fullmatch(authorization)
    return None if credentials is None else credentials[1]


def make_key_refusal(code: str, reason: str) -> Refusal:
    """Return the refusal of a request without a valid key."""
    return Refusal(STEP, "", reason, code, 401, Ran.NO)


@attrs.frozen(kw_only=True)
class DirectoryChange:
    """Numbers of what a new version of the configuration changes in the workspaces."""

    workspaces: int
    keys: int
    keys_added: int
    keys_removed: int
    keys_moved: int
    limits_changed: int


def count_changes(
    previous: WorkspaceDirectory | None, current: WorkspaceDirectory | None
) -> DirectoryChange | None:
    """Return what has changed, None if nothing has."""
    if previous == current:
        return None
    old, new = previous or _EMPTY_DIRECTORY, current or _EMPTY_DIRECTORY
    old_keys, new_keys = set(old.keys()), set(new.keys())
    kept_names = old.workspace_by_name.keys() & new.workspace_by_name.keys()
    return DirectoryChange(
        workspaces=len(new.workspaces),
        keys=len(new_keys),
        keys_added=len(new_keys - old_keys),
        keys_removed=len(old_keys - new_keys),
        keys_moved=sum(old.find(key).name != new.find(key).name for key in old_keys & new_keys),
        limits_changed=sum(
            old.workspace_by_name[name].limit != new.workspace_by_name[name].limit
            for name in kept_names
        ),
    )


class RemovedKeys:
    """Keys that earlier versions of the configuration had, as far as this host knew them."""

    def __init__(self) -> None:
        self._current: WorkspaceDirectory | None = None
        self._removed: OrderedDict[str, None] = OrderedDict()

    def observe(self, directory: WorkspaceDirectory) -> None:
        """Record the directory in force."""
        if self._current is not None:
            removed = set(self._current.keys()).difference(directory.keys())
            self._removed.update(dict.fromkeys(removed))
        self._current = directory
        while len(self._removed) > MAX_REMOVED_KEYS:
            self._removed.popitem(last=False)

    def __contains__(self, key: str) -> bool:
        return key in self._removed


_EMPTY_DIRECTORY = WorkspaceDirectory(workspaces=())
