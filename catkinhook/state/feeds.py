"""Seams towards the store: feeds of rows, and a row that is written under a condition."""

from typing import Protocol

import attrs
from result import Result

from catkinhook.errors import StoreConflict, StoreError


@attrs.frozen
class TableChanges:
    """Rows that a feed returned.

    :ivar version: version of the table that they lead to.
    :ivar value_by_key: rows that were written.
    :ivar removed: keys of rows that were dropped.
    :ivar whole: true when these are all rows of the table.
    """

    version: int
    value_by_key: dict[str, bytes]
    removed: frozenset[str] = frozenset()
    is_full: bool = False


class ChangeFeed(Protocol):
    """One table of the store, as seen by a watcher."""

    def read_changes(self, after: int | None, wait_s: float) -> Result[TableChanges, StoreError]:
        """Return what changed after a version, waiting for at most ``wait_s`` seconds.

        The whole table is returned for ``None``, and when its history is no longer available.
        """


@attrs.frozen
class VersionedRow:
    """A row and its version; version 0 means that there is none."""

    version: int
    value: bytes


class ConditionalRow(Protocol):
    """One row that is written only if nobody else wrote it since."""

    def read(self) -> Result[VersionedRow, StoreError]:
        """Return the row."""

    def write(self, expected: int, value: bytes) -> Result[int, StoreConflict | StoreError]:
        """Write the row if it still has a version; return its new version."""
