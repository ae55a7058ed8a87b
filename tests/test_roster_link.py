"""The link to the roster ends when it is closed, at whatever moment that comes."""

import asyncio
import unittest
from unittest import mock

from tornado.netutil import bind_sockets

from petrelwood.links.roster import RosterLink


class Closing(unittest.IsolatedAsyncioTestCase):
    async def test_it_ends_also_where_it_was_connecting(self):
        for turns in range(4):  # of the loop, after which it is closed
            with self.subTest(turns=turns):
                listening = bind_sockets(0, "127.0.0.1")
                self.addCleanup(listening[0].close)
                core = mock.Mock(loop=asyncio.get_running_loop(), now=lambda: 0)
                core.sleep_until = lambda until: asyncio.sleep(60)
                membership = mock.Mock(resume_after=None)
                membership.backoff.failed = lambda now: 0
                link = RosterLink(listening[0].getsockname(), membership, 10**9, core, mock.Mock())
                link.open()
                for _ in range(turns):
                    await asyncio.sleep(0)
                link.close()
                await asyncio.wait([link.task], timeout=5)
                self.assertTrue(link.task.cancelled())
                link.task.cancel()


if __name__ == "__main__":
    unittest.main()
