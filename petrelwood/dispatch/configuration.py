"""Follows the configuration servers: stores the versions that they decided, and reports revocations to them.

`decide.cluster.version_watch` decides which servers are polled and how an answer is handled. The versions are
stored in a folder, so a dispatcher that restarts while no server answers keeps the versions it had.
"""

import asyncio
from collections.abc import Coroutine

from petrelwood.control import messages
from petrelwood.control.errors import MalformedMessageError
from petrelwood.decide.cluster.log_records import (
    CorruptVersionError,
    Extract,
    Record,
    RecordKind,
    decompress_text,
)
from petrelwood.decide.cluster.rollout import STAGES, dwell_for
from petrelwood.decide.cluster.version_watch import (
    ANSWER_TIMEOUT,
    SECOND,
    Revocation,
    Version,
    VersionWatch,
)
from petrelwood.dispatch.interfaces import Clock, Logger, RandomFraction
from petrelwood.links.rpc_client import RpcClient, RpcError
from petrelwood.settings.storage import ConfigurationTerms
from petrelwood.store import versions

APPEND_TIMEOUT = 5.0  # seconds; longer than `QUORUM_TIMEOUT`, after which a server gives up
APPEND_RETRY_INTERVAL = 1.0  # seconds between two rounds of attempts to report a revocation
MAX_UNSENT_REVOCATIONS = 64


class ConfigurationFollower:
    """Keeps the versions folder of one dispatcher up to date with the configuration servers."""

    def __init__(
        self,
        name: str,
        terms: ConfigurationTerms,
        folder: str,
        clock: Clock,
        chance: RandomFraction,
        logger: Logger,
    ) -> None:
        self.name = name
        self.folder = folder
        self.clock = clock
        self.log = logger
        addresses = {f"{host}:{port}": (host, port) for host, port in terms.servers}
        self.clients = {
            server: RpcClient(address, messages.MAX_MESSAGE_SIZE) for server, address in addresses.items()
        }
        rollout_time = dwell_for(terms.within) * (len(STAGES) - 1)
        self.watch = VersionWatch(name, addresses, versions.position(folder), rollout_time, chance)
        self.unsent_revocations: dict[int, str] = {}  # version -> reason
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Poll the servers periodically until cancelled; then close the connections."""
        try:
            while True:
                for server in self.watch.servers_to_poll(self.clock.now()):
                    self._start(self._poll(server))
                await asyncio.sleep(max(0, self.watch.next_round_at - self.clock.now()) / SECOND)
        finally:
            for task in list(self.tasks):
                task.cancel()
            for client in self.clients.values():
                client.close()

    async def _poll(self, server: str) -> None:
        try:
            answer = await self.clients[server].call("read", [self.watch.position], ANSWER_TIMEOUT / SECOND)
            extract = messages.decode_extract(answer)
        except (RpcError, MalformedMessageError) as fault:
            self.watch.on_failure(server, self.clock.now())
            self.log.debug("configuration server poll failed", server=server, why=str(fault))
            return
        self._apply(server, extract)

    def _apply(self, server: str, extract: Extract) -> None:
        """Store an answer.

        The position is stored last, so that records lost to a kill before that are read again.
        """
        position = self.watch.position
        try:
            for event in self.watch.on_answer(server, extract, self.clock.now(), self.clock.steady_wall()):
                self._store(event)
            if self.watch.position != position:
                versions.store_position(self.folder, self.watch.position)
        except OSError as fault:
            self.watch.position = position
            self.log.error("storing a version failed; it will be read again", why=str(fault))

    def _store(self, event: Version | Revocation) -> None:
        """Store one decided record in the folder.

        Raises:
            OSError: The record could not be written.
        """
        if isinstance(event, Revocation):
            versions.revoke(self.folder, event.number, event.reason)
        else:
            try:
                text = decompress_text(event.body)
            except CorruptVersionError as fault:
                self.log.error("version unreadable; skipped", number=event.number, why=str(fault))
                return
            versions.receive(self.folder, event.number, text, event.rollout_start)
        self.log.info("version received", number=event.number, off=isinstance(event, Revocation))

    def report_revocation(self, number: int, why: str) -> None:
        """Report to the servers that this dispatcher has revoked a version.

        The report is retried until a server has appended it to the log.
        """
        if number in self.unsent_revocations or len(self.unsent_revocations) >= MAX_UNSENT_REVOCATIONS:
            return
        self.unsent_revocations[number] = why
        self._start(self._report_revocation(number, f"{self.name}: {why}"))

    async def _report_revocation(self, number: int, why: str) -> None:
        record = Record(
            f"off-{number}-{self.name}"[: messages.MAX_ID_SIZE],
            RecordKind.REVOCATION,
            number,
            self.clock.wall(),
            why.encode(),
        )
        params = [messages.encode_record(record)]
        while number in self.unsent_revocations:
            for server in self.watch.servers:
                try:
                    await self.clients[server].call("append", params, APPEND_TIMEOUT)
                except RpcError as fault:
                    self.log.warning(
                        "reporting a revocation failed; will be retried",
                        number=number,
                        server=server,
                        why=str(fault),
                    )
                    continue
                del self.unsent_revocations[number]
                return
            await asyncio.sleep(APPEND_RETRY_INTERVAL)

    def _start(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
