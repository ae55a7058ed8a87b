"""`python -m petrelwood.node`: one dispatcher as its platform starts it, until SIGTERM.

Exit status 0 after SIGTERM, 2 with one line on standard error where it can't start.
"""

import signal

EARLY = []  # signals that come before the loop runs
for _name in (signal.SIGHUP, signal.SIGTERM):
    signal.signal(_name, lambda number, frame: EARLY.append(number))

import asyncio
import gc
import importlib
import os
import sys

from petrelwood.node import configuration
from petrelwood.node.log import Log
from petrelwood.node.service import Node

# a stream imports it at its first use, when no descriptor may be left
importlib.import_module("tornado.platform.asyncio")

# seconds until a file that can't be used is read again; so often, as the platform waits 4 s for it, but
# without end while no descriptor is left to open it
AGAIN, TRIES = 0.1, 30


class Running:
    def __init__(self, node, log, ends):
        self.node, self.log, self.ends, self.later = node, log, ends, None

    def heard(self, number):
        if number == signal.SIGTERM:
            self.ends.set()
            return
        if self.later is not None:
            self.later.cancel()
        self._read(TRIES)

    def _read(self, tries, waits=False):
        """The file may be half written when its signal comes: it is read again for a while."""
        self.later = None
        try:
            self.node.reload(configuration.read(os.environ))
        except configuration.NoDescriptorError as fault:
            if not waits:
                self.log.warning("the new configuration has to wait", why=str(fault))
            self.later = self.node.loop.call_later(AGAIN, self._read, tries, True)
        except configuration.ConfigurationError as fault:
            if tries == TRIES:
                self.log.error("the new configuration is wrong; nothing changes", why=str(fault))
            if tries:
                self.later = self.node.loop.call_later(AGAIN, self._read, tries - 1)


async def _serve(gateway, log):
    loop, ends = asyncio.get_running_loop(), asyncio.Event()
    node = Node(gateway, log)
    node.begin()
    running = Running(node, log, ends)
    for name in (signal.SIGHUP, signal.SIGTERM):
        loop.add_signal_handler(name, running.heard, name)
    for number in EARLY:
        running.heard(number)
    gc.collect()
    # little lives long: what dies in circles goes soon, and cheaply
    gc.set_threshold(1000, 5, 5)
    # what stays for good is not looked through again and again
    gc.freeze()
    log.info(
        "listening",
        host=gateway.listen[0],
        port=gateway.listen[1],
        workers=len(node.membership.members),
        descriptors=gateway.sockets,
    )
    await ends.wait()
    await node.close()
    # it ends: by none that comes while the loop is closed
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM))


def main():
    log = Log(sys.stderr)
    try:
        gateway = configuration.read(os.environ)
    except configuration.ConfigurationError as fault:
        print(f"petrelwood: {fault}", file=sys.stderr)
        return 2
    try:
        asyncio.run(_serve(gateway, log))
    except OSError as fault:
        print(
            f"petrelwood: can't listen on {gateway.listen[0]}:{gateway.listen[1]}: {fault.strerror}",
            file=sys.stderr,
        )
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
