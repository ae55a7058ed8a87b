"""Starts a process that takes over from this one, for a version whose changes need a new process."""

import asyncio
import subprocess
from collections.abc import Callable

from petrelwood.dispatch.handover.predecessor import PredecessorProcess
from petrelwood.dispatch.interfaces import Logger

EXIT_CHECK_INTERVAL = 0.1  # seconds
HANDOVER_CHECK_INTERVAL = 0.05  # seconds

UpgradeCommand = Callable[[str], list[str]]
"""The command line of the successor, from the state of the roll-out as JSON."""


class Upgrader:
    """Starts successors of this process, one at a time.

    `command`: None if no process can be started; `predecessor`: None without a control socket.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        log: Logger,
        command: UpgradeCommand | None,
        predecessor: PredecessorProcess | None,
    ) -> None:
        self.loop = loop
        self.log = log
        self.command = command
        self.predecessor = predecessor

    @property
    def available(self) -> bool:
        """Whether an upgrade can be started at all."""
        return self.command is not None and self.predecessor is not None

    @property
    def handing_over(self) -> bool:
        """Whether a hand-over is in progress, whoever started it."""
        return self.predecessor is not None and self.predecessor.machine.is_busy()

    async def run(self, rollout_state: str) -> None:
        """Start a successor, and return once it has failed; if it succeeds, this process ends.

        The successor outlives this process, so it must not be owned by an asyncio transport.
        """
        if self.command is None:
            return
        command = self.command(rollout_state)
        try:
            child = await self.loop.run_in_executor(
                None, lambda: subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL)
            )
        except OSError as fault:
            self.log.error("starting an upgrade failed", why=str(fault))
            return
        while (code := child.poll()) is None:
            await asyncio.sleep(EXIT_CHECK_INTERVAL)
        while self.handing_over:  # the successor has ended, and this process has not resumed yet
            await asyncio.sleep(HANDOVER_CHECK_INTERVAL)
        self.log.error("upgrade to a version failed", code=code)
