"""In-memory table service, object store and host list with injectable faults."""

import copy
import json
import threading
import time
from collections.abc import Callable
from typing import Any

import attrs
from result import Err, Ok, Result
from sortedcontainers import SortedDict

from catkinhook.errors import Effect, StoreConflict, StoreError
from catkinhook.state.hostlist import Host
from catkinhook.state.objectstore import ObjectStore
from catkinhook.state.tableservice import ABSENT, SCAN_LIMIT, Check, Row, Table, Versions, Write


@attrs.define(kw_only=True)
class StoreFaults:
    """Injected faults of one store; a counter is decremented by each write that it affects.

    :ivar down: all calls fail without effect.
    :ivar slow: seconds that each call takes.
    :ivar lose_answers: number of writes that take effect but get no response.
    :ivar lose_writes: number of writes without effect whose outcome is reported as unknown.
    :ivar hold_writes: number of writes reported as unknown that ``apply_held_writes`` applies.
    """

    down: bool = False
    slow: float = 0.0
    lose_answers: int = 0
    lose_writes: int = 0
    hold_writes: int = 0

    def consume(self, name: str) -> bool:
        """Decrement a counter; returns whether it was above zero."""
        remaining = getattr(self, name)
        if remaining > 0:
            setattr(self, name, remaining - 1)
        return remaining > 0


class _FaultyStore:
    """Base class with the lock, injected faults and held writes of one store."""

    def __init__(self, step: str, sleep: Callable[[float], None]) -> None:
        self.faults = StoreFaults()
        self.reads = 0
        self.writes = 0
        self._step = step
        self._sleep = sleep
        self._lock = threading.Lock()
        self._held_writes: list[Callable[[], Result]] = []

    def start(self) -> None:
        """Do nothing; the content exists as long as the object."""

    def close(self) -> None:
        """Do nothing."""

    def apply_held_writes(self) -> int:
        """Apply the held writes in order of arrival; returns their number."""
        with self._lock:
            held, self._held_writes = self._held_writes, []
            for apply in held:
                apply()
            return len(held)

    def discard_held_writes(self) -> None:
        """Discard the held writes, so that they never take effect."""
        with self._lock:
            self._held_writes.clear()

    def _read(self, read: Callable[[], Any]) -> Result[Any, StoreError]:
        self._sleep_if_slow()
        with self._lock:
            self.reads += 1
            return Err(self._make_error("is down")) if self.faults.down else Ok(read())

    def _write(self, apply: Callable[[], Result]) -> Result:
        self._sleep_if_slow()
        with self._lock:
            self.writes += 1
            if self.faults.down:
                return Err(self._make_error("is down"))
            if self.faults.consume("lose_writes"):
                return Err(self._make_error("no answer", Effect.UNKNOWN))
            if self.faults.consume("hold_writes"):
                self._held_writes.append(apply)
                return Err(self._make_error("no answer", Effect.UNKNOWN))
            result = apply()
            if self.faults.consume("lose_answers"):
                return Err(self._make_error("no answer", Effect.UNKNOWN))
            return result

    def _make_error(self, reason: str, effect: Effect = Effect.NONE) -> StoreError:
        return StoreError(self._step, "memory", reason, effect)

    def _sleep_if_slow(self) -> None:
        if self.faults.slow > 0:
            self._sleep(self.faults.slow)


class MemoryTable(_FaultyStore, Table):
    """In-memory transactional tables.

    :param sleep: called with the seconds to wait when the store is slow.
    """

    def __init__(self, sleep: Callable[[float], None] = time.sleep) -> None:
        super().__init__("tables", sleep)
        self._rows_by_table: dict[str, SortedDict] = {}

    def read(self, table: str, key: str) -> Result[Row | None, StoreError]:
        """Return a row, or None when it is absent."""
        return self._read(lambda: self._get_row(table, key))

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = SCAN_LIMIT
    ) -> Result[list[Row], StoreError]:
        """Return rows in key order with a prefix, after a key."""
        return self._read(lambda: self._scan_rows(table, prefix, after, limit))

    def commit(
        self, checks: list[Check], writes: list[Write]
    ) -> Result[Versions, StoreConflict | StoreError]:
        """Apply all writes if all checks hold."""
        # Serializing isolates the stored values and rejects values that HTTP could not carry.
        texts = [None if w.value is None else json.dumps(w.value) for w in writes]
        return self._write(lambda: self._apply(checks, writes, texts))

    def _get_row(self, table: str, key: str) -> Row | None:
        stored = self._rows_by_table.get(table, {}).get(key)
        return None if stored is None else Row(table, key, stored[0], json.loads(stored[1]))

    def _scan_rows(self, table: str, prefix: str, after: str, limit: int) -> list[Row]:
        rows = self._rows_by_table.get(table)
        found: list[Row] = []
        if rows is None:
            return found
        start = max(prefix, after)
        for key in rows.irange(minimum=start):
            if len(found) >= limit or not key.startswith(prefix):
                break
            if key > after:
                found.append(self._get_row(table, key))
        return found

    def _get_version(self, table: str, key: str) -> int:
        stored = self._rows_by_table.get(table, {}).get(key)
        return ABSENT if stored is None else stored[0]

    def _apply(
        self, checks: list[Check], writes: list[Write], texts: list[str | None]
    ) -> Result[Versions, StoreConflict]:
        current = {(c.table, c.key): self._get_version(c.table, c.key) for c in checks}
        changed = {
            (check.table, check.key): current[check.table, check.key]
            for check in checks
            if current[check.table, check.key] != check.version
        }
        if changed:
            return Err(StoreConflict("tables", "memory", "a checked row has changed", changed))
        versions: Versions = {}
        for write, text in zip(writes, texts, strict=True):
            key = (write.table, write.key)
            rows = self._rows_by_table.setdefault(write.table, SortedDict())
            if text is None:
                rows.pop(write.key, None)
                versions[key] = ABSENT
            else:
                versions[key] = self._get_version(*key) + 1
                rows[write.key] = (versions[key], text)
        return Ok(versions)


class MemoryObjectStore(_FaultyStore, ObjectStore):
    """In-memory object store.

    :param sleep: called with the seconds to wait when the store is slow.
    """

    def __init__(self, sleep: Callable[[float], None] = time.sleep) -> None:
        super().__init__("objects", sleep)
        self._content_by_key: dict[str, bytes] = {}

    def put(self, key: str, content: bytes) -> Result[None, StoreError]:
        """Store bytes under a key, replacing an existing object."""
        return self._write(lambda: Ok(self._content_by_key.update({key: bytes(content)})))

    def get(self, key: str) -> Result[bytes | None, StoreError]:
        """Return the bytes under a key, or None when the key is absent."""
        return self._read(lambda: self._content_by_key.get(key))

    def delete(self, key: str) -> Result[None, StoreError]:
        """Remove a key; a missing key is no error."""

        def apply() -> Result[None, StoreError]:
            self._content_by_key.pop(key, None)
            return Ok(None)

        return self._write(apply)

    def list_keys(self) -> list[str]:
        """Return all keys in order."""
        with self._lock:
            return sorted(self._content_by_key)


class MemoryHostList(_FaultyStore):
    """In-memory host list that shows changes after a delay.

    :param lag: seconds until a change is visible.
    :param clock: seconds on a monotonic clock.
    """

    def __init__(
        self,
        lag: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        super().__init__("hosts", sleep)
        self._lag = lag
        self._clock = clock
        self._versions: list[tuple[float, dict[str, Host]]] = [(float("-inf"), {})]

    def put_host(self, host: Host) -> None:
        """Add or replace a host."""
        self._append_version(lambda hosts: hosts.update({host.endpoint: host}))

    def remove_host(self, endpoint: str) -> None:
        """Remove a host by ``service/host``; a missing one is no error."""
        self._append_version(lambda hosts: hosts.pop(endpoint, None))

    def list_hosts(self) -> Result[list[Host], StoreError]:
        """Return the hosts as of ``lag`` seconds ago."""
        return self._read(self._visible_hosts)

    def _append_version(self, change: Callable[[dict[str, Host]], object]) -> None:
        with self._lock:
            hosts = copy.copy(self._versions[-1][1])
            change(hosts)
            self._versions.append((self._clock(), hosts))

    def _visible_hosts(self) -> list[Host]:
        visible_until = self._clock() - self._lag
        while len(self._versions) > 1 and self._versions[1][0] <= visible_until:
            self._versions.pop(0)
        return sorted(self._versions[0][1].values(), key=lambda host: host.endpoint)
