"""The limit of all connections to workers, on real sockets."""

import unittest
from unittest import mock

from node_site import ask
from test_crossings import Caller, InProcessSite, ManualWorker


class LimitOfConnections(unittest.IsolatedAsyncioTestCase):
    async def test_the_link_that_gives_up_its_connection_takes_the_descriptor_back(self):
        """Guards against exceeding the limit when the link of a closed idle connection opens another one at
        once."""
        first, second = ManualWorker("s-1"), ManualWorker("s-2")
        async with InProcessSite([first, second]) as site:
            client = Caller(site.address)
            client.call(ask(fn=1))
            await site.until(lambda: first.runs() or second.runs())
            chosen, other = (first, second) if first.runs() else (second, first)
            chosen.answer(chosen.runs()[0])
            await site.until(client.read)
            node = site.node
            loser, taker = node.links_by_worker[chosen.name], node.links_by_worker[other.name]
            await site.until(loser.longest_idle_connection)
            node.resource_limits.workers = node.worker_connections
            self.assertIsNone(taker.longest_idle_connection())
            with mock.patch.object(node, "may_send", lambda activation, link: False):
                client.call(ask(fn=1, ttl=3900))
                await site.until(lambda: loser.waiting)  # although it has an idle connection
                taker.order_load(f"{2:016x}", 1, 1)
                self.assertLessEqual(node.worker_connections, node.resource_limits.workers)
            await site.until(lambda: other.orders() or len(chosen.runs()) == 2)
            self.assertLessEqual(node.worker_connections, node.resource_limits.workers)
            client.close()


if __name__ == "__main__":
    unittest.main()
