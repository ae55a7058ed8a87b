"""Compares the CPU time of a refused request, by the stage that refuses it, with that of a completed one.

    python benchmarks/refusal.py [--count 2000]

Everything runs in one process, so each figure includes the caller's own cost; a request that is answered 404
because of its path is the lower bound to compare the others with."""

import argparse
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "tests"))

import rig  # noqa: E402


class Run(rig.Case):
    def runTest(self):
        """Never run as a test."""

    async def costs(self, count):
        """Return the CPU time (us) of a request and the statuses seen, for each kind of answer."""
        await self.begin(rig.Worker("w1"), limits='body "20KB"')
        costs_by_answer = {}

        async def timed(word, make_message, prepare=lambda: None):
            prepare()
            messages = [make_message() for _ in range(count)]
            begun, statuses = time.process_time(), set()
            for message in messages:
                statuses.add((await self.caller.call(message, 10)).status)
            costs_by_answer[word] = ((time.process_time() - begun) / count * 1e6, statuses)

        await timed("404 at the path", lambda: self.message(path="/nowhere"))
        await timed("completed", self.message)
        await timed(
            "401, signature checked",
            lambda: self.message(webhook_signature="v1,AAAA"),
            lambda: setattr(self.front.admission, "record_signature", lambda *a: None),
        )
        await timed("503 at the intake", self.message, lambda: setattr(self.core.intake, "closing", True))
        await timed(
            "429 unread",
            self.message,
            lambda: setattr(self.front.admission, "may_check_signature", lambda *a: False),
        )
        await self.asyncTearDown()
        return costs_by_answer


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--count", type=int, default=2000)
    costs_by_answer = asyncio.run(Run().costs(parser.parse_args().count))
    full = costs_by_answer["completed"][0]
    for word, (cost, statuses) in costs_by_answer.items():
        print(f"{word:24s} {cost:7.0f} us, {cost / full:.2f} of a completed one; answered {sorted(statuses)}")


if __name__ == "__main__":
    main()
