"""The link to the roster: closing it at any time, and malformed events."""

import asyncio
import unittest
from unittest import mock

from tornado.netutil import bind_sockets

from petrelwood.links.roster import RosterLink


class Closing(unittest.IsolatedAsyncioTestCase):
    async def test_it_ends_also_where_it_was_connecting(self):
        for iterations in range(4):  # of the event loop, before the link is closed
            with self.subTest(turns=iterations):
                listening = bind_sockets(0, "127.0.0.1")
                self.addCleanup(listening[0].close)
                core = mock.Mock(loop=asyncio.get_running_loop(), now=lambda: 0)
                core.sleep_until = lambda until: asyncio.sleep(60)
                membership = mock.Mock(resume_after=None)
                membership.backoff.failed = lambda now: 0
                link = RosterLink(listening[0].getsockname(), membership, 10**9, core, mock.Mock())
                link.open()
                for _ in range(iterations):
                    await asyncio.sleep(0)
                link.close()
                await asyncio.wait([link.task], timeout=5)
                self.assertTrue(link.task.cancelled())
                link.task.cancel()


class MalformedEvents(unittest.IsolatedAsyncioTestCase):
    async def _follow(self, data):
        """Return the membership and the log of a link whose roster sends an event with this data."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
            writer.write(f"event: list\nid: e-1\ndata: {data}\n\n".encode())
            await writer.drain()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        core = mock.Mock(loop=asyncio.get_running_loop(), now=lambda: 0)
        core.name = "d"
        retried = asyncio.Event()

        async def sleep_until(_):
            retried.set()
            await asyncio.sleep(60)

        core.sleep_until = sleep_until
        membership = mock.Mock(resume_after=None)
        membership.backoff.failed = lambda now: 0
        membership.on_contact = lambda now: False
        membership.apply_list.side_effect = lambda *_: retried.set()
        log = mock.Mock()
        link = RosterLink(server.sockets[0].getsockname(), membership, 10**9, core, log)
        link.open()
        await asyncio.wait_for(retried.wait(), 30)
        self.assertFalse(link.task.done())
        link.close()
        return membership, log

    async def test_data_that_is_no_list_changes_nothing_and_is_logged(self):
        """Guards against treating an empty object or string as a list without workers."""
        for data in ("{}", '""', "null", "5", '{"worker": "w1"}', '"w1"'):
            with self.subTest(data):
                membership, log = await self._follow(data)
                membership.apply_list.assert_not_called()
                reason = log.info.call_args.kwargs["reason"]
                self.assertEqual(reason, "the data of an event must be a list of endpoints")

    async def test_an_entry_whose_number_is_out_of_range_changes_nothing(self):
        """Guards against a number that is valid in JSON but can't be converted to an integer."""
        entry = '{"worker": "w1", "address": "127.0.0.1:1", "state": "usable", "booted": 1e999}'
        membership, _ = await self._follow(f"[{entry}]")
        membership.apply_list.assert_not_called()


if __name__ == "__main__":
    unittest.main()
