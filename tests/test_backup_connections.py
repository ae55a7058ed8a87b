"""Guards against a call that waits a second or more because the first packet of its connection was lost."""

import unittest

from node_site import ask
from test_crossings import Caller, InProcessSite, ManualWorker
from test_time_left import TTL, LateConnections, is_waiting_for_connection

from petrelwood.decide.cluster import connection_pool

# a connection may take 20 s; no health check asks for another one
PERMISSIONS = {"connectTimeout": 20_000_000, "probes": False}


class Backup(unittest.IsolatedAsyncioTestCase):
    """A call waits, and its connection is not established before the test wants it."""

    async def test_it_carries_the_call_while_the_first_connection_does_not_come_up(self):
        worker, late = ManualWorker("s-1"), LateConnections()
        async with InProcessSite([worker], permissions=PERMISSIONS) as site:
            client = Caller(site.address)
            with late.hold():
                client.call(ask(fn=1, ttl=TTL))
                await site.until(lambda: is_waiting_for_connection(site.node, "s-1") and late.waiting)
            link, first = site.node.links_by_worker["s-1"], late.waiting[0][1]
            await site.until(worker.runs)
            self.assertFalse(first.up)
            late.establish()
            self.assertEqual((link.connecting, link.connecting_backups), (0, 0))
            worker.answer(worker.runs()[0])
            await site.until(client.read)
            self.assertEqual((client.answers[1][0], len(worker.runs())), ("completed", 1))
            client.close()

    async def test_its_failure_ends_no_call(self):
        worker, late = ManualWorker("s-1"), LateConnections()
        async with InProcessSite([worker], permissions=PERMISSIONS) as site:
            client = Caller(site.address)
            with late.hold():
                client.call(ask(fn=1, ttl=TTL))
                await site.until(lambda: len(late.waiting) == 2)
                link = site.node.links_by_worker["s-1"]
                waiting = list(link.waiting)
                (_, first), (_, backup) = late.waiting
                link._lost(backup, "the test closes it")
                self.assertEqual((list(link.waiting), link.connecting), (waiting, 1))
                link._lost(first, "the test closes it")
                self.assertNotIn(waiting[0], link.waiting)
            client.close()

    async def test_a_short_timeout_of_connecting_has_none(self):
        worker, late = ManualWorker("s-1"), LateConnections()
        async with InProcessSite([worker]) as site:
            client = Caller(site.address)
            with late.hold():
                client.call(ask(fn=1, ttl=TTL))
                await site.until(lambda: late.waiting)
                self.assertIsNone(late.waiting[0][1].backup_timer)
            client.close()

    async def test_it_takes_no_descriptor_over_the_limit(self):
        worker, late = ManualWorker("s-1"), LateConnections()
        async with InProcessSite([worker], permissions=PERMISSIONS) as site:
            node, client = site.node, Caller(site.address)
            with late.hold():
                client.call(ask(fn=1, ttl=TTL))
                await site.until(lambda: late.waiting)
                node.resource_limits.workers = node.worker_connections
                node.links_by_worker["s-1"]._connect_backup()
                self.assertEqual(node.worker_connections, 1)
            client.close()


class Decision(unittest.TestCase):
    def test_a_backup_takes_the_place_of_no_other_connection(self):
        self.assertTrue(connection_pool.wants_connection(waiting=2, connecting=2, backups=1))
        self.assertFalse(connection_pool.wants_connection(waiting=1, connecting=2, backups=1))

    def test_backups_count_for_the_limit(self):
        most = connection_pool.MAX_CONNECTING
        self.assertFalse(connection_pool.wants_connection(waiting=9, connecting=most, backups=1))


if __name__ == "__main__":
    unittest.main()
