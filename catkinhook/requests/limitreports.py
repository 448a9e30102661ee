"""What a report on limits says besides its valid uses."""

import attrs


@attrs.frozen(kw_only=True)
class UnreadUses:
    """Entries of a report that can't be read, so that they don't release a lease.

    :ivar workspaces: workspaces whose entries are invalid.
    :ivar is_open: whether there may be entries of any workspace, as some have no valid name or are
        beyond the number of entries of a message.
    """

    workspaces: frozenset[str] = frozenset()
    is_open: bool = False

    def may_name(self, workspace: str) -> bool:
        """Return whether one of the entries may be that of a workspace."""
        return self.is_open or workspace in self.workspaces


ALL_READ = UnreadUses()
