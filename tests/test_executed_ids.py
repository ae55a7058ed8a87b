"""The id of a once-only activation that may have run does not run again; one that never ran does."""

import unittest

from node_site import ask
from test_crossings import NO_CANCEL, Caller, InProcessSite, ManualWorker

from petrelwood.decide.delivery.executed_ids import ExecutedIds


class Ids(unittest.TestCase):
    def test_the_oldest_are_forgotten_and_the_number_is_bounded(self):
        ids = ExecutedIds(3)
        for name in ("a", "b", "a", "c", "d"):
            ids.add(name)
        self.assertEqual(("a" in ids, "b" in ids, "d" in ids, len(ids)), (False, True, True, 3))
        ids.discard("b")
        ids.discard("never")
        self.assertEqual(("b" in ids, len(ids)), (False, 2))


class Again(unittest.IsolatedAsyncioTestCase):
    async def send_until_written(self, site, worker, fields, kind):
        caller = Caller(site.address)
        caller.call(fields, type_=kind)
        before = len(worker.runs())
        await site.until(lambda: len(worker.runs()) > before)
        return caller

    async def test_after_its_client_has_left(self):
        for how in ("end", "reset", "cancel"):
            with self.subTest(how):
                worker = ManualWorker("s-1")
                async with InProcessSite([worker], **NO_CANCEL) as site:
                    fields = ask(fn=1)
                    gone = await self.send_until_written(site, worker, fields, "single")
                    gone.close(how)
                    await site.until(lambda: site.node.pending.counts["left"] == 1)
                    worker.answer(worker.runs()[0])  # the attempt is no longer in flight
                    await site.until(lambda site=site, id_=fields["call"]: not site.node.is_open(id_))
                    again = Caller(site.address)
                    again.call(fields, type_="single")
                    await site.until(again.read)
                    self.assertEqual(again.answers[1][0], "Broken")  # not Throttled: it may have run
                    self.assertEqual(len(worker.runs()), 1)
                    again.close()

    async def test_a_worker_that_never_ran_it_leaves_it_free(self):
        worker = ManualWorker("s-1")
        async with InProcessSite([worker], **NO_CANCEL) as site:
            fields = ask(fn=1)
            gone = await self.send_until_written(site, worker, fields, "single")
            gone.close()
            await site.until(lambda: site.node.pending.counts["left"] == 1)
            worker.answer(worker.runs()[0], type="SHED")
            await site.until(lambda: not site.node.is_open(fields["call"]))
            again = await self.send_until_written(site, worker, fields, "single")
            worker.answer(worker.runs()[1])
            await site.until(again.read)
            self.assertEqual(again.answers[1][0], "completed")
            again.close()

    async def test_others_than_once_only_are_run_again(self):
        worker = ManualWorker("s-1")
        async with InProcessSite([worker], **NO_CANCEL) as site:
            fields = ask(fn=1)
            gone = await self.send_until_written(site, worker, fields, "plain")
            gone.close()
            await site.until(lambda: site.node.pending.counts["left"] == 1)
            worker.answer(worker.runs()[0])
            await site.until(lambda: not site.node.is_open(fields["call"]))
            again = await self.send_until_written(site, worker, fields, "plain")
            self.assertEqual(len(worker.runs()), 2)
            again.close()


if __name__ == "__main__":
    unittest.main()
