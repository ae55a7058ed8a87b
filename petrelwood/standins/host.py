"""What every stand-in process does: announce its address, play its troubles, end on SIGTERM."""

import asyncio
import json
import random
import signal
import sys
import time


def ready(address):
    print(json.dumps({"ready": f"{address[0]}:{address[1]}"}), flush=True)


def stream(seed, purpose):
    """A random stream of its own for each purpose."""
    return random.Random(f"{seed}/{purpose}")


async def until_told():
    """Waits for SIGTERM or SIGINT."""
    ends, loop = asyncio.Event(), asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, ends.set)
    await ends.wait()


async def listen_to_operator(hear):
    """Hands each JSON line of standard input to `hear`, until its end."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        hear(json.loads(line))


def at(start, when, call, *args):
    """Calls it `when` ns after `start`, a monotonic time; at once if that has passed."""
    asyncio.get_running_loop().call_later(max(0, start + when - time.monotonic_ns()) / 1e9, call, *args)


def play(day, start, mine):
    """Plays the troubles of a day that `mine` (kind -> (begin, end or None)) knows, from `start` on. What
    began
    before is not begun again, but for what still lasts."""
    passed = time.monotonic_ns() - start
    for trouble in day.troubles:
        if trouble.kind not in mine:
            continue
        begin, end = mine[trouble.kind]
        if trouble.at < passed and (not trouble.span or trouble.at + trouble.span < passed):
            continue
        at(start, trouble.at, begin, trouble)
        if end is not None:
            at(start, trouble.at + trouble.span, end, trouble)
