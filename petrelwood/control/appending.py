"""Appending to the log: proposes records to all servers, one record at a time."""

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

CHECK_INTERVAL = 0.01  # seconds between two checks of the current proposal
MAX_WAITING = 32  # queued records; further ones are rejected at once
IDENTITY_NAME_SIZE = 24  # bytes of the server's name at the start of its proposer's identity
IDENTITY_RANDOM_SIZE = 8  # random bytes in the identity


def new_identity(name: str) -> str:
    """Return a proposer's identity that is unique to this process.

    It is not derived from the wall clock, which may be stepped back to the time of an earlier start.
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
        self._proposing = asyncio.Lock()
        self._waiting = 0
        self._proposal: Proposal | None = None
        self._tasks = BackgroundTasks()

    async def append(self, record: Record) -> int:
        """Append a record, and return its slot once it is decided.

        If this is cancelled, the record may still be decided.

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
            async with self._proposing:
                return await self._decide(record)
        finally:
            self._waiting -= 1

    async def fill_slot(self) -> None:
        """Append a no-operation record, so that its slot and all slots before it are decided.

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

        A late reply is passed to a later proposal, which ignores it because of its ballot. If this server's
        disk fails, only its own vote is lost; the proposal continues.
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
        """Cancel all messages in flight."""
        self._tasks.cancel()
