"""The program of one dispatcher on its platform: from its configuration to SIGTERM."""

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

# A stream imports it at its first use, when no descriptor may be left.
importlib.import_module("tornado.platform.asyncio")

RELOAD_INTERVAL = 0.1  # seconds until a file that can't be used is read again
# How often a malformed file is read again: it may be half written when its signal comes, and the platform
# waits 4 s for the change. Without end while no descriptor is left to open it.
MOST_RELOADS = 30
# Few objects live long; what dies in reference cycles is collected soon, and cheaply.
COLLECTION_THRESHOLDS = (1000, 5, 5)


class SignalHandler:
    """Ends the dispatcher at SIGTERM, and reads its configuration again at SIGHUP."""

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
        self._reload(MOST_RELOADS)

    def _reload(self, retries: int, deferred: bool = False) -> None:
        """Read the file; `deferred`: whether it was logged that this has to wait."""
        self.next_reload = None
        try:
            self.node.reload(configuration.read(os.environ))
        except NoDescriptorError as error:
            if not deferred:
                self.log.warning("the new configuration has to wait", why=str(error))
            self._retry(retries, True)
        except ConfigurationError as error:
            if retries == MOST_RELOADS:
                self.log.error("the new configuration is wrong; nothing changes", why=str(error))
            if retries:
                self._retry(retries - 1)

    def _retry(self, retries: int, deferred: bool = False) -> None:
        self.next_reload = self.node.loop.call_later(RELOAD_INTERVAL, self._reload, retries, deferred)


def _tune_collector() -> None:
    gc.collect()
    gc.set_threshold(*COLLECTION_THRESHOLDS)
    gc.freeze()  # what was made at the start stays for good, and is not looked through again


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
    # A signal that comes while the loop is closed must not end the process by its default action.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM))


def run(early_signals: Iterable[int]) -> int:
    """Run a dispatcher until SIGTERM; return the exit status.

    `early_signals`: those that came before the event loop runs, looked at once it does.
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
