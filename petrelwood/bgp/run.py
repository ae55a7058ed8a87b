"""Runs one speaker until SIGTERM: takes its announcements back, says goodbye, exits 0."""

import asyncio
import contextlib
import json
import signal
import sys

from petrelwood.bgp.speaker import Speaker
from petrelwood.store.snapshot import put

STATUS_INTERVAL = 1.0  # seconds between two writes of the figures


async def _run(described, log, status):
    loop, ends = asyncio.get_running_loop(), asyncio.Event()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, ends.set)
    speaker = Speaker(described, log)
    found = speaker.open()
    print(json.dumps({"ready": f"{found[0]}:{found[1]}" if found else described.health}), flush=True)
    while not ends.is_set():
        if status:
            put(status, json.dumps(speaker.figures()).encode())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STATUS_INTERVAL):
                await ends.wait()
    await speaker.close()
    log.info("closed", **speaker.figures())


def run(described, log, status=""):
    """Blocks until the end; 0, or 1 where it can't listen. `status`: a file that has its figures, renewed
    each second."""
    try:
        asyncio.run(_run(described, log, status))
    except OSError as fault:
        print(f"petrelwood: the speaker can't listen: {fault.strerror}", file=sys.stderr)
        return 1
    return 0
