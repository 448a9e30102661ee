"""Bound of the bytes that all requests in progress of a process hold together."""

import threading
from collections.abc import Callable, Iterator

from catkinhook.units import KIB, MIB

# Memory of a host without held bytes: modules, 230 threads, and the buffer of one read and the head
# of each of 224 requests.
PROCESS_BYTES = 110 * MIB
# Share of the rest that may be held. Copies in progress, such as of a part that is being sent, and
# free memory that the allocator keeps take the other part.
HELD_SHARE = 0.5
# Two of the largest answers, for hosts with little memory.
MIN_LIMIT_BYTES = 16 * MIB
# Share of the limit that holders which can't be evicted may use.
PINNED_SHARE = 0.5
# Holders with at least this share of the bytes of the largest one may be evicted in its place.
VICTIM_SHARE = 0.5
# Smaller parts of a body are joined, because each object takes about 50 bytes more than its
# content.
BLOCK_BYTES = 64 * KIB


class MemoryLimitError(ConnectionAbortedError):
    """The limit was reached, and this holder held the most."""


def derive_limit(memory_mb: float) -> int:
    """Return the bytes that a process with a memory limit may hold for its requests."""
    return max(MIN_LIMIT_BYTES, int((memory_mb * MIB - PROCESS_BYTES) * HELD_SHARE))


class MemoryBudget:
    """Account of the bytes that are held for requests in progress; thread-safe.

    When the limit is reached, one of the largest holders is evicted, not the newest one. Of those
    that hold similarly much, it is the one that has changed least recently: the output of a caller
    that doesn't read stays as it is, that of one that reads slowly changes.

    :param limit: number of bytes, infinite for an account without a limit.
    :param on_evict: called with the kind and the bytes of each holder that is evicted; must not
        block.
    """

    def __init__(
        self,
        limit: float = float("inf"),
        on_evict: Callable[[str, int], None] = lambda kind, size: None,
    ) -> None:
        self.limit = limit
        self._on_evict = on_evict
        self._lock = threading.Lock()
        self._evictable: set[MemoryHolder] = set()
        self._held = 0
        self._pinned = 0
        self._changes = 0

    @property
    def held(self) -> int:
        """Return the number of bytes that are held now."""
        return self._held

    def open(self, kind: str, evict: Callable[[], None] = lambda: None) -> "MemoryHolder":
        """Return a new holder without bytes, which its owner has to close.

        :param kind: what is held, for metrics and the log.
        :param evict: called in any thread when the holder is evicted, unless by its own ``take``;
            must not block. The owner drops the bytes as soon as possible.
        """
        return MemoryHolder(self, kind, evict)

    # Methods for ``MemoryHolder``.

    def change(self, holder: "MemoryHolder", count: int) -> None:
        """Add bytes to a holder, or subtract them, and evict others until the limit is kept.

        :raises MemoryLimitError: if bytes are added and the holder is evicted.
        """
        evicted: list[tuple[MemoryHolder, int]] = []
        with self._lock:
            if holder.is_closed:
                return
            if not holder.is_evicted:
                count = max(count, -holder.size)
                holder.size += count
                self._held += count
                if holder.is_pinned:
                    self._pinned += count
                elif holder.size:
                    self._evictable.add(holder)
                else:
                    self._evictable.discard(holder)
                self._changes += 1
                holder.changed = self._changes
            while self._held > self.limit and self._evictable:
                victim = self._choose_victim()
                evicted.append((victim, victim.size))
                self._remove(victim)
                victim.is_evicted = True
        for other, size in evicted:
            self._on_evict(other.kind, size)
            if other is not holder:
                other.evict()
        if holder.is_evicted and count > 0:
            raise MemoryLimitError(f"the process holds too many bytes, most of them {holder.kind}")

    def pin(self, holder: "MemoryHolder") -> None:
        """Exclude a holder from eviction.

        :raises MemoryLimitError: if too many bytes are pinned, or the holder was evicted.
        """
        with self._lock:
            is_full = self._pinned + holder.size > self.limit * PINNED_SHARE
            if is_full and not holder.is_evicted:
                self._remove(holder)
                holder.is_evicted = True
            elif not holder.is_evicted and not holder.is_pinned:
                holder.is_pinned = True
                self._evictable.discard(holder)
                self._pinned += holder.size
        if holder.is_evicted:
            raise MemoryLimitError(f"the process holds too many bytes of {holder.kind}")

    def close(self, holder: "MemoryHolder") -> None:
        """Remove a holder with all its bytes."""
        with self._lock:
            self._remove(holder)
            holder.is_closed = True

    def _choose_victim(self) -> "MemoryHolder":
        min_size = VICTIM_SHARE * max(holder.size for holder in self._evictable)
        largest = [holder for holder in self._evictable if holder.size >= min_size]
        return min(largest, key=lambda holder: holder.changed)

    def _remove(self, holder: "MemoryHolder") -> None:
        self._evictable.discard(holder)
        self._held -= holder.size
        if holder.is_pinned:
            self._pinned -= holder.size
        holder.size = 0


class MemoryHolder:
    """Bytes that one owner holds; its methods may be called by several threads.

    :ivar size: number of bytes.
    :ivar changed: number of the latest change, in the order of all changes of the account.
    :ivar is_evicted: whether the owner has to drop its bytes.
    """

    __slots__ = (
        "_budget",
        "kind",
        "evict",
        "size",
        "changed",
        "is_evicted",
        "is_pinned",
        "is_closed",
    )

    def __init__(self, budget: MemoryBudget, kind: str, evict: Callable[[], None]) -> None:
        self._budget = budget
        self.kind = kind
        self.evict = evict
        self.size = 0
        self.changed = 0
        self.is_evicted = False
        self.is_pinned = False
        self.is_closed = False

    def take(self, count: int) -> None:
        """Account for bytes before they are kept.

        :raises MemoryLimitError: if the holder is or was evicted.
        """
        if count:
            self._budget.change(self, count)

    def give_back(self, count: int) -> None:
        """Account for bytes that were dropped."""
        if count:
            self._budget.change(self, -count)

    def resize(self, size: int) -> None:
        """Account for a new number of bytes; for holders that one thread uses.

        :raises MemoryLimitError: if the number grows and the holder is or was evicted.
        """
        if size != self.size or self.is_evicted:
            self._budget.change(self, size - self.size)

    def pin(self) -> None:
        """Exclude the bytes from eviction, because their owner can't drop them any more.

        :raises MemoryLimitError: if too many bytes are excluded.
        """
        self._budget.pin(self)

    def close(self) -> None:
        """Give back all bytes; later calls have no effect."""
        self._budget.close(self)


class HeldBody:
    """Body of an answer that is held until it is complete, then iterated once.

    One thread appends and iterates; the budget may evict it from any thread.

    :param on_evict: called after the parts were dropped; must not block.
    :ivar size: number of bytes appended.
    """

    def __init__(self, memory: MemoryBudget, on_evict: Callable[[], None]) -> None:
        self._on_evict = on_evict
        self._parts: list[bytes | bytearray] = []
        self._holder = memory.open("answer", self._evict)
        self.size = 0

    @property
    def is_evicted(self) -> bool:
        """Return whether the body was dropped."""
        return self._holder.is_evicted

    def append(self, part: bytes) -> None:
        """Hold the next bytes.

        :raises MemoryLimitError: if the body was dropped.
        """
        try:
            self._holder.take(len(part))
        except MemoryLimitError:
            self._parts = []
            raise
        # A list that ``_evict`` has replaced meanwhile is dropped with this frame.
        parts = self._parts
        self.size += len(part)
        last = parts[-1] if parts else b""
        if not last or len(last) + len(part) > BLOCK_BYTES:
            parts.append(part)
            return
        if isinstance(last, bytes):
            last = parts[-1] = bytearray(last)
        last += part

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        """Return the next part and stop holding it.

        :raises MemoryLimitError: if the body was dropped, so that it looks incomplete.
        """
        parts = self._parts
        if self._holder.is_evicted:
            raise MemoryLimitError("the process holds too many bytes, most of them this answer")
        if not parts:
            raise StopIteration
        part = bytes(parts.pop(0))
        self._holder.give_back(len(part))
        return part

    def close(self) -> None:
        """Drop the rest."""
        self._parts = []
        self._holder.close()

    def _evict(self) -> None:
        self._parts = []
        self._on_evict()
