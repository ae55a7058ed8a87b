"""The program of one dispatcher on its platform, from reading the configuration to SIGTERM."""

import asyncio
import gc
import importlib
import os
import signal
import sys
from collections.abc import Iterable

from petrelwood.node import configuration
from petrelwood.node.configuration import Configuration, NoDescriptorError
from petrelwood.node.json_object import ConfigurationError
from petrelwood.node.log import JsonLogger
from petrelwood.node.service import Node

# A stream imports this module at its first use, when no descriptor may be left to open its file.
importlib.import_module("tornado.platform.asyncio")

RELOAD_INTERVAL = 0.1  # seconds until an unusable file is read again
# The number of times that a malformed file is read again: it may be half written when the signal arrives, and
# the platform waits 4 s for the change. While no descriptor is left to open the file, retries are unlimited.
MAX_RELOAD_RETRIES = 30
# Few objects live long, so frequent collections are cheap and free reference cycles soon.
COLLECTION_THRESHOLDS = (1000, 5, 5)


class SignalHandler:
    """Ends the dispatcher at SIGTERM, and reloads its configuration at SIGHUP."""

    def __init__(self, node: Node, log: JsonLogger, end: asyncio.Event) -> None:
        self.node = node
        self.log = log
        self.end = end  # set at SIGTERM
        self.next_reload: asyncio.TimerHandle | None = None

    def handle(self, number: int) -> None:
        """Handle one signal."""
        if number == signal.SIGTERM:
            self.end.set()
            return
        if self.next_reload is not None:
            self.next_reload.cancel()
        self._reload(MAX_RELOAD_RETRIES)

    def _reload(self, retries: int, deferred: bool = False) -> None:
        """Read the file; `deferred`: whether it was logged already that no descriptor is left to open it."""
        self.next_reload = None
        try:
            self.node.reload(configuration.read(os.environ))
        except NoDescriptorError as error:
            if not deferred:
                self.log.warning("can't open the new configuration yet; will retry", why=str(error))
            self._retry(retries, True)
        except ConfigurationError as error:
            if retries == MAX_RELOAD_RETRIES:
                self.log.error("the new configuration is wrong; nothing changes", why=str(error))
            if retries:
                self._retry(retries - 1)

    def _retry(self, retries: int, deferred: bool = False) -> None:
        self.next_reload = self.node.loop.call_later(RELOAD_INTERVAL, self._reload, retries, deferred)


def _tune_collector() -> None:
    gc.collect()
    gc.set_threshold(*COLLECTION_THRESHOLDS)
    gc.freeze()  # objects made at the start live until the end: exclude them from collections


async def _serve(gateway: Configuration, log: JsonLogger, early_signals: Iterable[int]) -> None:
    loop = asyncio.get_running_loop()
    end = asyncio.Event()
    node = Node(gateway, log)
    node.begin()
    signals = SignalHandler(node, log, end)
    for each in (signal.SIGHUP, signal.SIGTERM):
        loop.add_signal_handler(each, signals.handle, each)
    for number in early_signals:
        signals.handle(number)
    _tune_collector()
    log.info(
        "listening",
        host=gateway.listen[0],
        port=gateway.listen[1],
        workers=len(node.membership.members),
        descriptors=gateway.sockets,
    )
    await end.wait()
    await node.close()
    # A signal that arrives while the loop is being closed must not end the process by its default action.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM))


def run(early_signals: Iterable[int]) -> int:
    """Run a dispatcher until SIGTERM; return the exit status.

    `early_signals`: signals received before the event loop runs, which handles them first.
    """
    log = JsonLogger(sys.stderr)
    try:
        gateway = configuration.read(os.environ)
    except ConfigurationError as error:
        print(f"petrelwood: {error}", file=sys.stderr)
        return 2
    try:
        asyncio.run(_serve(gateway, log, early_signals))
    except OSError as error:
        host, port = gateway.listen
        print(f"petrelwood: can't listen on {host}:{port}: {error.strerror}", file=sys.stderr)
        return 2
    return 0
