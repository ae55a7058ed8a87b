"""Keeps a dispatcher's folder of versions as the configuration servers have them, and tells them what it
calls off.

Whom it asks and what follows is decided in `decide.cluster.version_watch`. The folder outlives the servers: a
dispatcher that restarts while none of them answers has the versions that it had."""

import asyncio

from petrelwood.control import messages
from petrelwood.decide.cluster import replicated_log as log
from petrelwood.decide.cluster.rollout import STAGES, dwell_for
from petrelwood.decide.cluster.version_watch import (
    ANSWER_WITHIN,
    SECOND,
    CallOff,
    VersionWatch,
)
from petrelwood.links.rpc_client import CallFailed, RpcClient
from petrelwood.store import versions

APPEND_WITHIN = 5.0  # seconds; over `replicated_log.PATIENCE`
APPEND_AGAIN = 1.0  # seconds between two tries to tell that a version was called off
UNSENT = 64  # of them at most that wait


class ConfigurationFollower:
    """`terms`: `settings.gateway.ConfigurationTerms`; `chance()`: in [0, 1)."""

    def __init__(self, name, terms, folder, clock, chance, logger):
        self.name, self.folder, self.clock, self.log = name, folder, clock, logger
        addresses = {f"{host}:{port}": (host, port) for host, port in terms.servers}
        self.clients = {server: RpcClient(at, messages.MOST) for server, at in addresses.items()}
        staged = dwell_for(terms.within) * (len(STAGES) - 1)
        self.watch = VersionWatch(name, addresses, versions.position(folder), staged, chance)
        self.unsent, self.tasks = {}, set()

    async def run(self):
        """Asks, round after round, until it is cancelled."""
        try:
            while True:
                for server in self.watch.due(self.clock.now()):
                    self._spawn(self._ask(server))
                await asyncio.sleep(max(0, self.watch.next - self.clock.now()) / SECOND)
        finally:
            for task in list(self.tasks):
                task.cancel()
            for client in self.clients.values():
                client.close()

    async def _ask(self, server):
        try:
            answer = await self.clients[server].call("read", [self.watch.known], ANSWER_WITHIN / SECOND)
            found = messages.extract(answer)
        except (CallFailed, messages.Malformed) as fault:
            self.watch.failed(server, self.clock.now())
            self.log.debug("a configuration server has not answered", server=server, why=str(fault))
            return
        self._take(server, found)

    def _take(self, server, found):
        """All of an answer is in the folder before the position is: what a kill cuts off is read again."""
        known = self.watch.known
        try:
            for news in self.watch.answered(server, found, self.clock.now(), self.clock.wall()):
                self._keep(news)
            if self.watch.known != known:
                versions.note_position(self.folder, self.watch.known)
        except OSError as fault:
            self.watch.known = known
            self.log.error("a version can't be kept; it is asked for again", why=str(fault))

    def _keep(self, news):
        """Puts one piece of news into the folder. Raises OSError."""
        if isinstance(news, CallOff):
            versions.call_off(self.folder, news.number, news.why)
        else:
            try:
                text = log.unpacked(news.body)
            except log.Damaged as fault:
                self.log.error(
                    "a version can't be read; it is passed over", number=news.number, why=str(fault)
                )
                return
            versions.receive(self.folder, news.number, text, news.begun)
        self.log.info("heard of a version", number=news.number, off=isinstance(news, CallOff))

    def call_off(self, number, why):
        """Tells the servers that this dispatcher has found a version bad, until one has it decided."""
        if number in self.unsent or len(self.unsent) >= UNSENT:
            return
        self.unsent[number] = why
        self._spawn(self._append(number, f"{self.name}: {why}"))

    async def _append(self, number, why):
        record = [
            f"off-{number}-{self.name}"[: messages.ID],
            log.CALL_OFF,
            number,
            self.clock.wall(),
            why.encode(),
        ]
        while number in self.unsent:
            for server in self.watch.order:
                try:
                    await self.clients[server].call("append", [record], APPEND_WITHIN)
                except CallFailed as fault:
                    self.log.warning(
                        "a call-off is not decided", number=number, server=server, why=str(fault)
                    )
                    continue
                del self.unsent[number]
                return
            await asyncio.sleep(APPEND_AGAIN)

    def _spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
