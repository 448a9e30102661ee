"""Account of the bytes that requests hold: what is evicted at the limit, and what is given back."""

import random
import threading
import unittest

from catkinhook.requests.memorybudget import (
    BLOCK_BYTES,
    HeldBody,
    MemoryBudget,
    MemoryHolder,
    MemoryLimitError,
    derive_limit,
)
from catkinhook.units import MIB

WAIT_S = 10.0


class MemoryBudgetTest(unittest.TestCase):
    """Evictions at the limit."""

    def setUp(self) -> None:
        self.evicted: list[tuple[str, int]] = []
        self.memory = MemoryBudget(100, lambda kind, size: self.evicted.append((kind, size)))

    def open(self, kind: str, size: int) -> MemoryHolder:
        """Return a holder with some bytes."""
        holder = self.memory.open(kind, lambda: self.evicted.append((f"told {kind}", 0)))
        holder.take(size)
        return holder

    def test_largest_holder_is_evicted_and_not_the_newest(self) -> None:
        """A request that comes when an endless answer fills the memory must go on."""
        large, small = self.open("large", 80), self.open("small", 10)
        newest = self.open("newest", 20)
        self.assertEqual(self.evicted, [("large", 80), ("told large", 0)])
        self.assertTrue(large.is_evicted)
        self.assertFalse(small.is_evicted or newest.is_evicted)
        self.assertEqual(self.memory.held, 30)
        with self.assertRaises(MemoryLimitError):
            large.take(1)
        self.assertEqual(self.memory.held, 30)

    def test_holder_that_grows_beyond_all_others_evicts_itself(self) -> None:
        """An endless answer must not evict the sound ones beside it one after the other."""
        others = [self.open(str(number), 20) for number in range(3)]
        endless = self.memory.open("endless")
        with self.assertRaises(MemoryLimitError):
            for _ in range(100):
                endless.take(1)
        self.assertFalse(any(other.is_evicted for other in others))
        self.assertEqual(self.memory.held, 60)

    def test_caller_that_reads_is_not_evicted_before_one_that_does_not(self) -> None:
        """Among similar holders, a slow but sound one must not go for those that stand still.

        A caller that read its answer was cut off because its unread output was just the largest.
        """
        stuck = self.open("stuck", 40)
        reading = self.open("reading", 45)
        reading.give_back(10)
        reading.take(10)
        self.open("newest", 30)
        self.assertTrue(stuck.is_evicted)
        self.assertFalse(reading.is_evicted)

    def test_bytes_are_given_back_once(self) -> None:
        """The account must not drift, or the process would refuse answers without holding any."""
        holder = self.open("a", 60)
        holder.give_back(20)
        self.assertEqual(self.memory.held, 40)
        holder.resize(50)
        self.assertEqual(self.memory.held, 50)
        holder.close()
        holder.close()
        holder.give_back(10)
        holder.take(10)
        self.assertEqual(self.memory.held, 0)
        evicted = self.open("b", 60)
        self.open("c", 50)
        evicted.give_back(60)
        evicted.close()
        self.assertEqual(self.memory.held, 50)

    def test_pinned_bytes_are_not_evicted_and_leave_room_for_others(self) -> None:
        """Bodies of requests in progress must neither be dropped nor use up the memory."""
        body = self.open("body", 50)
        body.pin()
        second = self.open("second", 10)
        with self.assertRaises(MemoryLimitError):
            second.pin()
        answer = self.memory.open("answer")
        with self.assertRaises(MemoryLimitError):
            answer.take(60)
        self.assertFalse(body.is_evicted)
        self.assertEqual(self.memory.held, 50)
        body.close()
        self.open("third", 50).pin()

    def test_concurrent_holders_keep_the_limit(self) -> None:
        """Threads that take and give back at once must neither pass the limit nor lose bytes."""
        limit, largest = 1000, [0]
        memory = MemoryBudget(limit)

        def run(seed: int) -> None:
            rng = random.Random(seed)
            for _ in range(300):
                holder = memory.open("a")
                try:
                    for _ in range(rng.randrange(8)):
                        holder.take(rng.randrange(1, 80))
                        largest[0] = max(largest[0], memory.held)
                        holder.give_back(rng.randrange(1, 40))
                except MemoryLimitError:
                    pass
                finally:
                    holder.close()

        threads = [threading.Thread(target=run, args=(seed,)) for seed in range(16)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(WAIT_S)
        self.assertEqual(memory.held, 0)
        # A reader without the lock may see the bytes of one ``take`` in each thread.
        self.assertLessEqual(largest[0], limit + 16 * 80)

    def test_limit_leaves_room_for_the_process_itself(self) -> None:
        """The limit must follow from the memory of the deployment, and hold an answer on any."""
        for memory_mb in (160, 256, 300):
            # Each held byte may be copied once.
            self.assertLess(2 * derive_limit(memory_mb), memory_mb * MIB - 60 * MIB)
        self.assertGreaterEqual(derive_limit(0), 16 * MIB)


class HeldBodyTest(unittest.TestCase):
    """Bodies that are held until they are complete."""

    def test_body_is_returned_unchanged_and_given_back_part_by_part(self) -> None:
        """A held body must not be copied as a whole to be sent."""
        memory = MemoryBudget()
        rng = random.Random(3)
        sizes = [1, 2, 70_000, 5, BLOCK_BYTES, 1, BLOCK_BYTES - 1, 1, 30_000, 40_000]
        parts = [rng.randbytes(size) for size in sizes]
        body = HeldBody(memory, lambda: None)
        for part in parts:
            body.append(part)
        self.assertEqual(body.size, sum(sizes))
        self.assertEqual(memory.held, sum(sizes))
        received = b""
        for part in body:
            received += part
            self.assertEqual(memory.held, sum(sizes) - len(received))
        self.assertEqual(received, b"".join(parts))
        body.close()

    def test_tiny_parts_are_joined(self) -> None:
        """A body that comes byte by byte must not take fifty times its size."""
        body = HeldBody(MemoryBudget(), lambda: None)
        for _ in range(3 * BLOCK_BYTES):
            body.append(b"x")
        self.assertEqual(len(list(body)), 3)

    def test_evicted_body_never_looks_complete(self) -> None:
        """The iteration of a dropped body must fail, or a part would pass for the whole."""
        aborted: list[bool] = []
        memory = MemoryBudget(100)
        body = HeldBody(memory, lambda: aborted.append(True))
        body.append(b"x" * 60)
        other = HeldBody(memory, lambda: None)
        other.append(b"y" * 50)
        self.assertTrue(body.is_evicted and aborted)
        with self.assertRaises(MemoryLimitError):
            next(body)
        with self.assertRaises(MemoryLimitError):
            body.append(b"x")
        self.assertEqual(b"".join(other), b"y" * 50)
        self.assertEqual(memory.held, 0)


if __name__ == "__main__":
    unittest.main()
