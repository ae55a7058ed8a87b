"""Who sends little is served before those who send at full speed; an iteration of the loop stays short."""

import asyncio
import unittest

from petrelwood.decide.overload.fair_queue import FairQueue, Share
from petrelwood.decide.overload.resource_limits import READ_TIME_PER_ITERATION
from petrelwood.node.read_turns import ReadTurns


class Order(unittest.TestCase):
    def serve(self, queue, cost=1_000, quiet_cost=100):
        share, work = queue.pop()
        queue.charge(share, quiet_cost if work == "quiet" else cost)
        return work

    def test_who_sends_little_is_served_at_once_after_its_first_turn(self):
        queue, floods, quiet = FairQueue(), [Share(0) for _ in range(50)], Share(0)
        for number, share in enumerate(floods):
            queue.push(share, number)
        waits = []
        for _ in range(10):
            queue.push(quiet, "quiet")
            served = []
            while "quiet" not in served:
                number = self.serve(queue)
                served.append(number)
                if number != "quiet":
                    queue.push(floods[number], number)
            waits.append(len(served) - 1)
        self.assertLessEqual(waits[0], len(floods))  # all have their first turn
        self.assertLessEqual(max(waits[1:]), 1)

    def test_new_connections_come_after_one_that_sends_little(self):
        """Guards against a client that opens ever new connections."""
        queue, quiet = FairQueue(), Share(0)
        for number in range(50):
            queue.push(queue.new_share(), number)
        queue.push(quiet, "quiet")
        self.assertEqual(self.serve(queue), "quiet")

    def test_no_credit_is_saved_up_while_nothing_is_sent(self):
        """Guards against a connection that rests for long and then keeps all others from being served."""
        queue, rested, busy = FairQueue(), Share(0), Share(0)
        for _ in range(100):
            queue.push(busy, "busy")
            self.serve(queue)
        order = []
        queue.push(rested, "rested")
        queue.push(busy, "busy")
        for _ in range(6):
            order.append(self.serve(queue))
            queue.push(rested if order[-1] == "rested" else busy, order[-1])
        self.assertEqual(sorted(order), ["busy"] * 3 + ["rested"] * 3)


class Iterations(unittest.IsolatedAsyncioTestCase):
    async def test_the_time_of_an_iteration_is_bounded_and_all_are_served(self):
        clock, handled, iterations = 0, [], []
        turns = ReadTurns(asyncio.get_running_loop(), lambda: clock)

        def handle(number):
            nonlocal clock
            clock += READ_TIME_PER_ITERATION // 4
            handled.append(number)

        waits = [asyncio.ensure_future(turns.take(Share(0), lambda n=n: handle(n))) for n in range(20)]
        while len(handled) < 20:
            before = len(handled)
            await asyncio.sleep(0)
            iterations.append(len(handled) - before)
        await asyncio.gather(*waits)
        self.assertEqual(handled, list(range(20)))
        self.assertLessEqual(max(iterations), 4)

    async def test_an_error_ends_its_own_connection_alone(self):
        turns = ReadTurns(
            asyncio.get_running_loop(), iter(range(0, 1 << 40, READ_TIME_PER_ITERATION)).__next__
        )

        def fail():
            raise ValueError("defect")

        results = await asyncio.gather(
            *(turns.take(Share(0), each) for each in (list, fail, list, fail)), return_exceptions=True
        )
        self.assertEqual([type(each) for each in results], [type(None), ValueError, type(None), ValueError])


if __name__ == "__main__":
    unittest.main()
