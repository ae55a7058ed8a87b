"""What a refusal costs against a full answer, by where it is made: processor time of the dispatcher for each
request.

    python benchmarks/refusal.py [--count 2000]

Everything runs in one process, so the caller's own cost is in all of them alike; a request that is answered
404 at the path is the floor that the others are seen over."""

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
        await self.begin(rig.Worker("w1"), limits='body "20KB"')
        found = {}

        async def timed(word, made, prepare=lambda: None):
            prepare()
            messages = [made() for _ in range(count)]
            begun, statuses = time.process_time(), set()
            for message in messages:
                statuses.add((await self.caller.call(message, 10)).status)
            found[word] = ((time.process_time() - begun) / count * 1e6, statuses)

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
        return found


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--count", type=int, default=2000)
    found = asyncio.run(Run().costs(parser.parse_args().count))
    full = found["completed"][0]
    for word, (cost, statuses) in found.items():
        print(f"{word:24s} {cost:7.0f} us, {cost / full:.2f} of a completed one; answered {sorted(statuses)}")


if __name__ == "__main__":
    main()
