"""Shared by all stand-in processes: announce the address, schedule the troubles, end on SIGTERM."""

import asyncio
import json
import random
import signal
import sys
import time


def announce_ready(address):
    """Print the address that the process listens on, as a JSON line."""
    print(json.dumps({"ready": f"{address[0]}:{address[1]}"}), flush=True)


def random_stream(seed, purpose):
    """Return a random generator that is independent of those for other purposes."""
    return random.Random(f"{seed}/{purpose}")


async def wait_for_signal():
    """Wait for SIGTERM or SIGINT."""
    stopped, loop = asyncio.Event(), asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await stopped.wait()


async def listen_to_operator(on_message):
    """Call `on_message` with the decoded JSON of each line of standard input, until it ends."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        on_message(json.loads(line))


def call_at(start, when, call, *args):
    """Schedule a call `when` ns after `start`, a monotonic time, or at once if that time has passed."""
    asyncio.get_running_loop().call_later(max(0, start + when - time.monotonic_ns()) / 1e9, call, *args)


def schedule_troubles(day, start, handlers):
    """Schedule those troubles of a day that the process handles, relative to `start`.

    `handlers`: kind of trouble -> (begin, end or None), each called with the trouble. A trouble whose time is
    already over is skipped, as after a restart of the process; one that still lasts begins at once.
    """
    elapsed = time.monotonic_ns() - start
    for trouble in day.troubles:
        if trouble.kind not in handlers:
            continue
        begin, end = handlers[trouble.kind]
        if trouble.at < elapsed and (not trouble.span or trouble.at + trouble.span < elapsed):
            continue
        call_at(start, trouble.at, begin, trouble)
        if end is not None:
            call_at(start, trouble.at + trouble.span, end, trouble)
