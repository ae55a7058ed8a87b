"""One configuration server: its replica of the log on disk, its peers, and its callers.

The decisions are made in `decide.cluster.replicated_log`. A reply is sent only once the state it depends on
is on the disk; a server whose disk fails does not vote until a write has succeeded
(`decide.cluster.durable_replica`). A server that finds no log in its folder, and was not started to begin a
new one, has lost its disk: it catches up with the others and votes again when `Replica.rejoin` allows it
(`control.catching_up`).
"""

import asyncio
import time
from collections.abc import Mapping
from random import Random
from typing import Any

from structlog.typing import FilteringBoundLogger
from tornado.iostream import IOStream

from petrelwood.control import messages
from petrelwood.control.appending import Appender
from petrelwood.control.catching_up import CatchUp
from petrelwood.control.connection import Connection
from petrelwood.control.errors import MalformedMessageError
from petrelwood.control.peers import Address, Peers
from petrelwood.control.tasks import BackgroundTasks
from petrelwood.decide.cluster.durable_replica import DurableReplica, Save
from petrelwood.decide.cluster.log_proposal import MS
from petrelwood.decide.cluster.replicated_log import Replica
from petrelwood.errors import ProtocolError
from petrelwood.links.accept_errors import AcceptError, classify
from petrelwood.links.listener import Listener

DISK_CHECK_INTERVAL = 0.05  # seconds between two checks whether a failed write is due to be retried


class ConfigurationServer(Listener):
    """A configuration server; as a `Listener` it accepts the connections of its callers.

    `peers`: addresses of the other servers by name. `save(value)`: see `DurableReplica`.

    Raises:
        DiskFailedError: the first state of a new log can't be written.
    """

    def __init__(
        self,
        name: str,
        peers: Mapping[str, Address],
        replica: Replica,
        save: Save,
        logger: FilteringBoundLogger,
    ) -> None:
        super().__init__()
        random_fraction = Random(name).random
        self.replica = replica
        self.durable = DurableReplica(replica, save, random_fraction, self)
        self.peers = Peers(peers)
        self._log = logger
        self._appender = Appender(name, self.durable, self.peers, random_fraction, logger)
        self._catch_up = CatchUp(self.durable, self.peers, self._appender, random_fraction, logger)
        self._connections: set[Connection] = set()
        self._tasks = BackgroundTasks()
        if not self.durable.save_changes(time.monotonic_ns()):
            self.durable.require_disk()

    def start_background(self) -> list[asyncio.Task[None]]:
        """Start the tasks that catch up and retry failed writes, until `close`; return them."""
        return [self._tasks.start(self._catch_up.run()), self._tasks.start(self._watch_disk())]

    def close(self) -> None:
        """Close all listeners and connections, and cancel all tasks."""
        self.stop()
        self._tasks.cancel()
        self._appender.close()
        self.peers.close()
        for connection in list(self._connections):
            connection.close()

    # Disk
    def disk_failed(self, error: OSError, retry_in: int) -> None:
        """Log that a write failed; see `DiskObserver`."""
        reason = error.strerror or str(error)
        self._log.error("log write failed; not voting", error=reason, retry_ms=retry_in // MS)

    def disk_recovered(self, outage: int) -> None:
        """Log that a write succeeded again; see `DiskObserver`."""
        # None: the disk was also lost, and the server has not rejoined yet
        votes_from = self.replica.votes_from
        self._log.info("log written again", outage_ms=outage // MS, votes_from=votes_from)

    async def _watch_disk(self) -> None:
        while True:
            await asyncio.sleep(DISK_CHECK_INTERVAL)
            self.durable.retry(time.monotonic_ns())

    # Connections
    def accept_failed(self, error: OSError, pause: int) -> None:
        """Log that accepting is paused for `pause` ns; close an idle connection if descriptors ran out."""
        self._log.warning("accept failed", error=error.strerror, pause_ms=pause // MS)
        if classify(error) is AcceptError.DESCRIPTORS:
            self._close_idlest_connection()

    def _close_idlest_connection(self) -> None:
        idle = [connection for connection in self._connections if connection.idle]
        if idle:
            min(idle, key=lambda connection: connection.last_read).close()

    async def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve one connection until it ends."""
        connection = Connection(stream, self._call, self._tasks)
        self._connections.add(connection)
        try:
            await connection.serve()
        except (OSError, ProtocolError) as error:
            self._log.debug("connection ended", address=address[0], error=str(error))
        finally:
            self._connections.discard(connection)
            connection.close()

    async def _call(self, method: str, params: list[Any]) -> list[Any]:
        """Return the result of one call.

        Raises:
            PetrelwoodError: the call failed; `str()` of the error is sent to the caller.
        """
        if method == "read":
            extract = self.replica.extract(messages.decode_position(params), compact=True)
            return messages.encode_extract(extract)
        if method == "catch-up":
            return messages.encode_extract(self.replica.extract(messages.decode_position(params)))
        if method == "voted-in":
            return [self.replica.voted_in()]
        if method == "append":
            if len(params) != 1:
                raise MalformedMessageError("an append needs a record")
            return [await self._appender.append(messages.decode_record(params[0]))]
        message = messages.decode_call(method, params)
        if message is None:
            raise MalformedMessageError("no such method")
        return messages.encode_reply(self.durable.answer(message, time.monotonic_ns()))
