"""Catching up with the other servers, and rejoining them after a loss of the disk."""

import asyncio
import time
from collections.abc import Callable

from structlog.typing import FilteringBoundLogger

from petrelwood.control.appending import Appender
from petrelwood.control.errors import NoQuorumError, PeerError, QueueFullError
from petrelwood.control.peers import Peers
from petrelwood.decide.cluster.durable_replica import DiskFailedError, DurableReplica

INTERVAL = 1.0  # seconds between two rounds, on average
FAILURES = (PeerError, NoQuorumError, QueueFullError, DiskFailedError)


class CatchUp:
    """Reads the decided records that this server lacks from peers drawn at random."""

    def __init__(
        self,
        durable: DurableReplica,
        peers: Peers,
        appender: Appender,
        random_fraction: Callable[[], float],
        logger: FilteringBoundLogger,
    ) -> None:
        self._durable = durable
        self._replica = durable.replica
        self._peers = peers
        self._appender = appender
        self._random_fraction = random_fraction
        self._log = logger

    async def run(self) -> None:
        """Catch up periodically until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL * (0.5 + self._random_fraction()))
            if not len(self._peers):
                continue
            try:
                await self._round()
            except FAILURES as error:
                self._log.debug("catching up failed", error=str(error))

    async def _round(self) -> None:
        """Rejoin if needed, read from one peer, and fill a slot if the replica lacks slots.

        Raises:
            PeerError, NoQuorumError, QueueFullError, DiskFailedError: a step failed; see `FAILURES`.
        """
        if self._replica.votes_from is None:
            await self._rejoin()
        peer = list(self._peers)[int(self._random_fraction() * len(self._peers))]
        extract = await self._peers.read_after(peer, self._replica.chosen)
        self._durable.learn(extract, time.monotonic_ns())
        if self._replica.lacks_slots():
            await self._appender.fill_slot()

    async def _rejoin(self) -> None:
        """Ask all peers up to which slot they may have voted, and resume voting if the answers allow it."""
        voted_in = {}
        for peer in self._peers:
            try:
                slot = await self._peers.voted_in(peer)
            except PeerError as error:
                self._log.debug("no answer about votes", server=peer, error=str(error))
                continue
            if slot is not None:
                voted_in[peer] = slot
        if self._durable.rejoin(voted_in, len(self._peers) + 1, time.monotonic_ns()):
            self._log.info("rejoined", votes_from=self._replica.votes_from)
        elif self._replica.votes_from is None:
            self._log.warning("can't rejoin: no majority of the other servers votes", voting=len(voted_in))
