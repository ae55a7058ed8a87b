"""The data of all connections together stays within its size; who made no progress for longest gives way."""

import asyncio
import unittest

from petrelwood.decide.overload.memory_pool import MemoryPool
from petrelwood.decide.overload.resource_limits import CapacityIntake, ResourceLimits
from petrelwood.node.connection_memory import (
    LONG_READ_SIZE,
    READERS_OVER_LIMIT,
    SHORT_READ_SIZE,
    AnswerMemory,
    RequestMemory,
)


class Holder:
    """A connection that holds as much as the test says."""

    def __init__(self, name, size=0, unread=False):
        self.name, self.size, self.unread, self.is_closed = name, size, unread, False

    def partial_size(self):
        return self.size

    unsent_size = partial_size

    def may_complete_request(self):
        return self.unread

    def close(self):
        self.is_closed, self.size = True, 0

    abandon_partial_request = close


class Pool(unittest.TestCase):
    def test_it_counts_what_is_held_and_orders_by_progress(self):
        pool = MemoryPool(100)
        for name, size in (("a", 40), ("b", 40), ("a", 60), ("c", 20), ("b", 10)):
            pool.update(name, size)
        self.assertEqual((pool.used, list(pool), pool.is_exceeded()), (90, ["a", "c", "b"], False))
        pool.update("a", 0)
        pool.update("a", 0)
        self.assertEqual((pool.used, pool.first()), (30, "c"))


class Requests(unittest.IsolatedAsyncioTestCase):
    def memory(self, size=10_000):
        self.closed = 0

        def count():
            self.closed += 1

        return RequestMemory(size, count)

    async def test_the_oldest_that_sends_no_more_gives_way(self):
        memory = self.memory()
        idle, busy, late = Holder("idle", 4_000), Holder("busy", 4_000, unread=True), Holder("late", 4_000)
        memory.update(busy)
        memory.update(idle)
        late.unread = True
        memory.update(late)
        self.assertEqual((idle.is_closed, busy.is_closed, late.is_closed), (True, False, False))
        self.assertEqual((memory.pool.used, self.closed), (8_000, 1))

    async def test_while_all_go_on_sending_one_after_another_reads(self):
        """Guards against requests that grow side by side, none of which becomes complete."""
        memory = self.memory()
        holders = [Holder(n, 4_000, unread=True) for n in range(READERS_OVER_LIMIT + 2)]
        for holder in holders:
            memory.update(holder)
        waits = [asyncio.ensure_future(memory.wait_to_read(holder)) for holder in holders]
        await asyncio.sleep(0)
        self.assertEqual([wait.done() for wait in waits], [True] * READERS_OVER_LIMIT + [False] * 2)
        holders[0].size = 0  # its request is complete
        memory.update(holders[0])
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual([wait.done() for wait in waits[-2:]], [True, False])
        self.assertEqual(memory.reserve_read(holders[1], 1 << 20), LONG_READ_SIZE)
        self.assertEqual(memory.reserve_read(holders[-1], 1 << 20), SHORT_READ_SIZE)
        for holder in holders:
            holder.size = 0
            memory.update(holder)
        await asyncio.wait_for(asyncio.gather(*waits), 1)

    async def test_who_is_closed_while_it_waits_waits_no_longer(self):
        memory = self.memory()
        holders = [Holder(n, 8_000, unread=True) for n in range(READERS_OVER_LIMIT + 1)]
        for holder in holders:
            memory.update(holder)
        second = holders[-1]
        wait = asyncio.ensure_future(memory.wait_to_read(second))
        await asyncio.sleep(0)
        second.close()
        memory.update(second)
        await asyncio.wait_for(wait, 1)

    async def test_long_reads_are_reserved_before_they_are_made(self):
        """Guards against hundreds of long reads in one iteration of the event loop."""
        memory = self.memory(3 * LONG_READ_SIZE)
        holders = [Holder(n) for n in range(5)]
        sizes = [memory.reserve_read(holder, 1 << 20) for holder in holders]
        self.assertEqual(sizes, [LONG_READ_SIZE] * 3 + [SHORT_READ_SIZE] * 2)
        for holder in holders:
            memory.update(holder)
        self.assertEqual(memory.reserve_read(holders[4], 5_000), 5_000)
        self.assertEqual(memory.reserve_read(holders[3], 0), SHORT_READ_SIZE)


class Answers(unittest.IsolatedAsyncioTestCase):
    async def test_who_has_read_nothing_for_longest_is_closed(self):
        closed = []
        memory = AnswerMemory(10_000, lambda: closed.append(1))
        stuck, reads, other = Holder("stuck", 4_000), Holder("reads", 5_000), Holder("other", 1_000)
        for holder in (reads, stuck, other):
            memory.update(holder)
        reads.size = 4_500
        memory.relieve()
        other.size = 9_000
        memory.update(other)
        await asyncio.sleep(0)
        # the first to go has made no progress since it came, the next one progressed after that
        self.assertEqual((stuck.is_closed, len(closed) >= 1), (True, True))
        self.assertLessEqual(memory.pool.used, 10_000)


class Bodies(unittest.TestCase):
    def test_all_shares_together_leave_room_in_the_least_memory(self):
        memory = 32 << 20
        limits = ResourceLimits(1024, memory)
        data = 7 * limits.body_bytes // 3 + limits.request_bytes + limits.answer_bytes
        self.assertLess(data, memory - (24 << 20))
        intake = CapacityIntake(limits, 1)
        self.assertTrue(intake.has_room(limits.body_bytes))
        self.assertFalse(intake.has_room(limits.body_bytes + 1))


if __name__ == "__main__":
    unittest.main()
