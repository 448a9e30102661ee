"""Interfaces to the store: change feeds of tables, and rows with compare-and-set writes."""

from typing import Protocol

import attrs
from result import Result

from catkinhook.errors import StoreConflict, StoreError


@attrs.frozen
class TableChanges:
    """Changes of one table, as returned by a change feed.

    :ivar version: store version of the table after these changes.
    :ivar value_by_key: values of rows that were written.
    :ivar removed: keys of rows that were deleted.
    :ivar is_full: true when ``value_by_key`` has all rows of the table.
    :ivar ignored: descriptions of rows that were left out because they are not rows of this table.
    """

    version: int
    value_by_key: dict[str, bytes]
    removed: frozenset[str] = frozenset()
    is_full: bool = False
    ignored: tuple[str, ...] = ()


class ChangeFeed(Protocol):
    """Change feed of one table of the store."""

    def read_changes(self, after: int | None, wait_s: float) -> Result[TableChanges, StoreError]:
        """Return the changes after a version, waiting at most ``wait_s`` seconds for one.

        The full table is returned if ``after`` is None, and if the history since ``after`` is no
        longer available or belongs to an earlier era of the store.
        """


@attrs.frozen
class VersionedRow:
    """A row and its store version; version 0 of an era means that the row does not exist.

    :ivar newest: newest version of a store with eras at the read, 0 for any other store.
    :ivar read_at: time of the read in seconds, by the steady clock of the store; 0 if not stated.
    """

    version: int
    value: bytes
    read_at: float = 0.0
    newest: int = 0


class ConditionalRow(Protocol):
    """One row that is written with compare-and-set."""

    def read(self) -> Result[VersionedRow, StoreError]:
        """Return the row."""

    def write(self, expected: int, value: bytes) -> Result[int, StoreConflict | StoreError]:
        """Write the row if it still has the expected version; return the new version.

        A conflict is also returned if the expected version belongs to an earlier era. If the era
        has risen during the call and another row had the version, the effect of the error is
        unknown: that row has been written.
        """
