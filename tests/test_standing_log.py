"""The `standing` log line of `petrelwood.node` can be written whatever the workers answered."""

import unittest

import orjson
from node_site import Worker, ask
from test_crossings import Caller, InProcessSite


class StandingLog(unittest.IsolatedAsyncioTestCase):
    async def test_the_ends_are_named_by_their_words(self):
        worker = Worker("s-1", lambda worker, said, writer: {"type": "FAULT", "req": said["req"], "meta": {}})
        async with InProcessSite([worker]) as site:
            client = Caller(site.address)
            client.call(ask(fn=1))
            await site.until(client.read)
            fields = site.node.standing()
            client.close()
        self.assertGreater(fields["ends"]["s-1"]["error"], 0)
        self.assertEqual({type(word) for word in fields["ends"]["s-1"]}, {str})
        self.assertEqual(orjson.loads(orjson.dumps(fields))["ends"], fields["ends"])


if __name__ == "__main__":
    unittest.main()
