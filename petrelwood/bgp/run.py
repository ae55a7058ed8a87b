"""Runs one speaker until SIGTERM or SIGINT; it then withdraws its routes, closes its sessions and exits 0."""

import asyncio
import contextlib
import json
import signal
import sys

from petrelwood.bgp.speaker import Speaker
from petrelwood.store.snapshot import put

STATUS_INTERVAL = 1.0  # seconds between two writes of the status file


async def _run(described, log, status):
    loop, stopped = asyncio.get_running_loop(), asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    speaker = Speaker(described, log)
    address = speaker.open()
    print(json.dumps({"ready": f"{address[0]}:{address[1]}" if address else described.health}), flush=True)
    while not stopped.is_set():
        if status:
            put(status, json.dumps(speaker.figures()).encode())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STATUS_INTERVAL):
                await stopped.wait()
    await speaker.close()
    log.info("closed", **speaker.figures())


def run(described, log, status=""):
    """Run the speaker until a signal; return 0, or 1 if it can't listen.

    `status`: the path of a file that the speaker's figures are written to each second, or "".
    """
    try:
        asyncio.run(_run(described, log, status))
    except OSError as error:
        print(f"petrelwood: the speaker can't listen: {error.strerror}", file=sys.stderr)
        return 1
    return 0
