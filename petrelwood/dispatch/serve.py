"""Runs one dispatcher until SIGTERM: takes nothing new, answers all it owes, exits 0."""
import asyncio
import json
import signal
import sys

from petrelwood.brain import Brain
from petrelwood.dispatch.dispatcher import Dispatcher
from petrelwood.dispatch.stall import StallWatch
from petrelwood.fronts.mqtt import Mqtt
from petrelwood.fronts.webhook import Webhooks


async def _serve(gateway, log, brain):
    core = Dispatcher(gateway, log, brain)
    watch = StallWatch(core.loop, gateway.terms.tick, log)
    watch.open()
    core.open()
    ends = asyncio.Event()
    for name in (signal.SIGTERM, signal.SIGINT):
        core.loop.add_signal_handler(name, ends.set)
    waiter = asyncio.ensure_future(ends.wait())
    await asyncio.wait([waiter, asyncio.ensure_future(core.listed_once.wait())],
                       return_when=asyncio.FIRST_COMPLETED)
    if not ends.is_set():                                # without a list nothing can be served
        front = Webhooks(gateway, core, log)
        core.fronts.append(front)
        if gateway.mqtt is not None:
            triggers = Mqtt(gateway.mqtt, core, log)
            core.fronts.append(triggers)
            triggers.open()
        host, port = front.open(gateway.listen)
        log.info("listening", host=host, port=port)
        print(json.dumps({"ready": f"{host}:{port}"}), flush=True)
        await waiter
    log.info("closing", owed=len(core.duty.acts))
    await core.close()
    watch.close()
    log.info("closed", **core.figures())


def run(gateway, log, brain=Brain):
    """Blocks until the end; 0, or 1 where the listener can't be opened."""
    try:
        asyncio.run(_serve(gateway, log, brain))
    except OSError as fault:
        print(f"petrelwood: can't listen on {gateway.listen[0]}:{gateway.listen[1]}: {fault.strerror}",
              file=sys.stderr)
        return 1
    return 0
