"""Encoded endpoint entries with the version of the table in which each one changed."""

from collections.abc import Mapping

import attrs

from catkinhook.state.storeinterfaces import TableChanges
from catkinhook.state.views import EndpointView

# Removals that are remembered. A host that has older entries gets all of them.
MAX_REMOVED = 512


@attrs.define
class EntryLog:
    """Entries that this host uses, and what has changed in them since a version.

    Heartbeats change an entry without changing what a host does, so they are left out. Otherwise
    each heartbeat of each endpoint would be sent to each host.

    :ivar version: version of the table that the entries include.
    :ivar changed_in: version of the latest change.
    """

    version: int = 0
    changed_in: int = 0
    _entry_by_id: dict[str, tuple[EndpointView, bytes, int]] = attrs.Factory(dict)
    _removed_in_by_id: dict[str, int] = attrs.Factory(dict)
    # Changes after this version are known.
    _known_from: int = 0

    def update(
        self,
        version: int,
        view_by_id: Mapping[str, EndpointView],
        value_by_id: Mapping[str, bytes],
    ) -> bool:
        """Replace the entries; return whether any of them has changed.

        :param version: version of the table. If it is lower than before, the earlier versions
            were wrong, and all entries count as changed.
        """
        if version < self.version or not self.version:
            self._entry_by_id.clear()
            self._removed_in_by_id.clear()
            self._known_from = version
        self.version = version
        has_changed = False
        for endpoint in self._entry_by_id.keys() - view_by_id.keys():
            del self._entry_by_id[endpoint]
            self._removed_in_by_id[endpoint] = version
            has_changed = True
        for endpoint, view in view_by_id.items():
            previous = self._entry_by_id.get(endpoint)
            # An equal view is the same object; see ``EndpointWatch``.
            if previous is None or previous[0] is not view:
                self._entry_by_id[endpoint] = (view, value_by_id[endpoint], version)
                self._removed_in_by_id.pop(endpoint, None)
                has_changed = True
        while len(self._removed_in_by_id) > MAX_REMOVED:
            oldest = min(self._removed_in_by_id, key=self._removed_in_by_id.__getitem__)
            self._known_from = self._removed_in_by_id.pop(oldest)
        if has_changed:
            self.changed_in = version
        return has_changed

    def changes_after(self, known: int) -> TableChanges:
        """Return the changes after a version, or all entries if not all changes are known."""
        is_full = known < self._known_from
        return TableChanges(
            version=self.version,
            value_by_key={
                endpoint: value
                for endpoint, (_, value, changed_in) in self._entry_by_id.items()
                if is_full or changed_in > known
            },
            removed=frozenset(
                endpoint
                for endpoint, removed_in in self._removed_in_by_id.items()
                if not is_full and removed_in > known
            ),
            is_full=is_full,
        )
