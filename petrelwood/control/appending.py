"""Appending to the log: proposing records to all servers, one after the other."""

import asyncio
import secrets
import time
from collections.abc import Callable

from structlog.typing import FilteringBoundLogger

from petrelwood.control.errors import NoQuorumError, PeerError, QueueFullError, UnknownVersionError
from petrelwood.control.peers import Peers
from petrelwood.control.tasks import BackgroundTasks
from petrelwood.decide.cluster.durable_replica import DiskFailedError, DurableReplica
from petrelwood.decide.cluster.log_proposal import Proposal, Proposer
from petrelwood.decide.cluster.log_records import Message, Record, RecordKind, Reply

CHECK_INTERVAL = 0.01  # seconds between two looks at a record that is being decided
MAX_WAITING = 32  # records that wait for their turn; further ones are rejected at once
IDENTITY_NAME_SIZE = 24  # bytes of a server's name that its proposer's identity begins with
IDENTITY_RANDOM_SIZE = 8  # random bytes in it


def new_identity(name: str) -> str:
    """Return a proposer's identity that no other process ever has.

    It does not use the wall clock, which may be stepped back to the time of an earlier start.
    """
    beginning = name.encode()[:IDENTITY_NAME_SIZE].decode(errors="ignore")
    return f"{beginning}.{secrets.token_hex(IDENTITY_RANDOM_SIZE)}"


class Appender:
    """Appends records to the log on behalf of the server `name`."""

    def __init__(
        self,
        name: str,
        durable: DurableReplica,
        peers: Peers,
        random_fraction: Callable[[], float],
        logger: FilteringBoundLogger,
    ) -> None:
        self.proposer = Proposer(new_identity(name))
        self._name = name
        self._durable = durable
        self._peers = peers
        self._random_fraction = random_fraction
        self._log = logger
        self._turn = asyncio.Lock()
        self._waiting = 0
        self._proposal: Proposal | None = None
        self._tasks = BackgroundTasks()

    async def append(self, record: Record) -> int:
        """Return the slot of a record once it is decided.

        If this is cancelled, the record may be decided all the same.

        Raises:
            DiskFailedError: this server's disk has failed.
            QueueFullError: too many records wait to be decided.
            UnknownVersionError: the record revokes a version that the log does not hold.
            NoQuorumError: no majority accepted it in time; it may still be decided later.
        """
        self._durable.require_disk()
        if self._waiting >= MAX_WAITING:
            raise QueueFullError("too many records wait")
        self._waiting += 1
        try:
            async with self._turn:
                return await self._decide(record)
        finally:
            self._waiting -= 1

    async def fill_slot(self) -> None:
        """Append a record without effect: the slot that it fills is decided, and so are all before it.

        Raises:
            DiskFailedError, QueueFullError, NoQuorumError: as `append` does.
        """
        record_id = f"{self.proposer.identity}.{self._durable.replica.chosen}"
        await self.append(Record(record_id, RecordKind.NO_OPERATION, 0, 0, b""))

    async def _decide(self, record: Record) -> int:
        replica = self._durable.replica
        if record.kind == RecordKind.REVOCATION:
            if record.number not in replica.records:
                raise UnknownVersionError(f"there is no version {record.number}")
            if replica.is_revoked(record.number):
                return replica.chosen
        servers = (self._name, *self._peers)
        proposal = Proposal(
            replica, self.proposer, servers, record, time.monotonic_ns(), self._random_fraction, self._send
        )
        self._proposal = proposal
        while not proposal.ended:
            proposal.check(time.monotonic_ns())
            await asyncio.sleep(CHECK_INTERVAL)
        if proposal.decided_slot is None:
            raise NoQuorumError("there is no quorum; the record may come into force later")
        self._log.info("record decided", slot=proposal.decided_slot, kind=str(record.kind), id=record.id)
        return proposal.decided_slot

    def _send(self, server: str, message: Message) -> None:
        self._tasks.start(self._exchange(server, message))

    async def _exchange(self, server: str, message: Message) -> None:
        """Send a message to one server, this one included, and pass its reply to the current proposal.

        A late reply goes to a later proposal, which tells by the ballot that it is not its own. A proposal
        does not depend on this server's disk, only this server's vote does.
        """
        try:
            reply = await self._reply(server, message)
        except (PeerError, DiskFailedError) as error:
            self._log.debug("no reply to a proposal", server=server, error=str(error))
            return
        if self._proposal is not None:
            self._proposal.handle_reply(server, message, reply, time.monotonic_ns())
            self._durable.save_changes(time.monotonic_ns())

    async def _reply(self, server: str, message: Message) -> Reply:
        if server == self._name:
            return self._durable.answer(message, time.monotonic_ns())
        return await self._peers.send(server, message)

    def close(self) -> None:
        """Cancel all messages that are on their way."""
        self._tasks.cancel()
