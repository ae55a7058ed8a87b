"""One configuration server: its replica of the log on disk, its peers, and who asks it.

What is decided is in `decide.cluster.replicated_log`. A reply leaves only once what it depends on is on the
disk; a server whose disk fails does not vote until a write has succeeded (`decide.cluster.durable_replica`).
A server that finds no log where it should be, and was not told to begin a new one, has lost its disk:
it learns from the others and votes again when `Replica.rejoin` allows it."""

import asyncio
import secrets
import signal
import time
from random import Random

from tornado.iostream import StreamBufferFullError, StreamClosedError
from tornado.netutil import bind_sockets

from petrelwood.control import messages
from petrelwood.control.log_storage import LogStorage, LogStorageError
from petrelwood.decide.cluster import replicated_log as log
from petrelwood.decide.cluster.durable_replica import DiskFailedError, DurableReplica
from petrelwood.links import rpc
from petrelwood.links.listener import Listener
from petrelwood.links.rpc_client import CallFailed, RpcClient

IDENTITY_NAME = 24  # bytes of a server's name that its proposer's identity begins with
READ = 65_536
CALL_WITHIN = 1.0  # seconds for a peer's answer
CHECK = 0.01  # seconds between two looks at a record that is being decided
RETRY = 0.05  # seconds between two looks whether a disk that failed is to be written to again
CATCH_UP = 1.0  # seconds between two questions to a peer for what this server lacks
WAITING = 32  # records that wait for their turn; further ones are refused at once
QUIET = 300.0  # seconds without a call after which a connection is closed


def new_identity(name):
    """A proposer's identity that no other process ever has.

    It is not made of the wall clock, which may be stepped back to the moment of an earlier start."""
    begin = name.encode()[:IDENTITY_NAME].decode(errors="ignore")
    return f"{begin}.{secrets.token_hex(8)}"


class ConfigurationServer(Listener):
    """`peers`: addresses of the other servers by name. `write(value)` makes the log's value durable."""

    def __init__(self, name, peers, replica, write, logger):
        super().__init__()
        self.name, self.replica, self.log = name, replica, logger
        self.chance = Random(name).random
        self.durable = DurableReplica(replica, write, self.chance, self)
        self.peers = {peer: RpcClient(address, messages.MOST) for peer, address in peers.items()}
        self.servers = (name, *peers)
        self.proposer = log.Proposer(new_identity(name))
        self.lock, self.waiting, self.streams, self.tasks = asyncio.Lock(), 0, set(), set()
        if not self.durable.save_changes(time.monotonic_ns()):
            self.durable.require_disk()

    def disk_failed(self, error, retry_in):
        """Says that the disk failed; see `DiskObserver`."""
        self.log.error(
            "log write failed; not voting", error=error.strerror or str(error), retry_ms=retry_in // log.MS
        )

    def disk_recovered(self, outage):
        """Says that the disk is well again; see `DiskObserver`."""
        self.log.info("log written again; voting", outage_ms=outage // log.MS, chosen=self.replica.chosen)

    async def watch_disk(self):
        """Writes the log again once it could not be written, with backoff."""
        while True:
            await asyncio.sleep(RETRY)
            self.durable.retry(time.monotonic_ns())

    def accept_failed(self, error, pause):
        """Says that no connection is taken for a moment."""
        self.log.warning("accept failed", error=error.strerror, pause_ms=pause // 1_000_000)

    # Who asks.
    async def handle_stream(self, stream, address):
        stream.set_nodelay(True)
        self.streams.add(stream)
        reader = rpc.Reader(messages.MOST)
        try:
            while True:
                data = await asyncio.wait_for(stream.read_bytes(READ, partial=True), QUIET)
                for message in reader.feed(data):
                    if message[0] == rpc.REQUEST:
                        self._spawn(self._serve(stream, *message[1:]))
        except (StreamClosedError, TimeoutError, rpc.Garbage):
            pass
        finally:
            self.streams.discard(stream)
            stream.close()

    async def _serve(self, stream, msgid, method, params):
        try:
            answer = rpc.response(msgid, None, await self.answer(method, params))
        except (messages.Malformed, CallFailed, DiskFailedError) as fault:
            answer = rpc.response(msgid, str(fault), None)
        try:
            await stream.write(answer)
        except (StreamClosedError, StreamBufferFullError):
            pass

    async def answer(self, method, params):
        """The result of one call. Raises `Malformed`, and `CallFailed` or `DiskFailedError` for what can't be
        done now."""
        if method == "read":
            return messages.plain(self.replica.extract(messages.since(params), compact=True))
        if method == "catch-up":
            return messages.plain(self.replica.extract(messages.since(params)))
        if method == "voted-in":
            return [self.replica.voted_in()]
        if method == "append":
            if len(params) != 1:
                raise messages.Malformed("an append needs a record")
            return [await self.append(messages.record(params[0]))]
        message = messages.message(method, params)
        if message is None:
            raise messages.Malformed("no such method")
        return messages.result(self.durable.answer(message, time.monotonic_ns()))

    # Appending.
    async def append(self, record):
        """The slot of a record once it is decided. Raises `CallFailed` and `DiskFailedError`."""
        self.durable.require_disk()
        if self.waiting >= WAITING:
            raise CallFailed("too many records wait")
        self.waiting += 1
        try:
            async with self.lock:
                return await self._decide(record)
        finally:
            self.waiting -= 1

    async def _decide(self, record):
        if record.kind == log.CALL_OFF:
            if record.number not in self.replica.records:
                raise CallFailed(f"there is no version {record.number}")
            if self.replica.is_off(record.number):
                return self.replica.chosen
        append = log.Append(
            self.replica, self.proposer, self.servers, record, time.monotonic_ns(), self.chance, self._send
        )
        self.current = append
        while append.done is None and not append.failed:
            append.check(time.monotonic_ns())
            await asyncio.sleep(CHECK)
        if append.failed:
            raise CallFailed("there is no quorum; the record may come into force later")
        self.log.info("decided", slot=append.done, kind=record.kind, id=record.id)
        return append.done

    def _send(self, server, message):
        self._spawn(self._ask(server, message))

    async def _ask(self, server, message):
        """One message to one server, this one among them, and its reply to the record that is on its way."""
        try:
            if server == self.name:
                reply = self.durable.answer(message, time.monotonic_ns())
            else:
                reply = messages.reply(await self.peers[server].call(*messages.call(message), CALL_WITHIN))
        except (CallFailed, messages.Malformed, DiskFailedError) as fault:
            self.log.debug("no reply", server=server, why=str(fault))
            return
        self.current.reply(server, message, reply, time.monotonic_ns())
        self.durable.save_changes(time.monotonic_ns())

    # Catching up.
    async def follow(self):
        """Asks a peer drawn at random for what this server lacks, and rejoins after the loss of the disk."""
        while True:
            await asyncio.sleep(CATCH_UP * (0.5 + self.chance()))
            if not self.peers:
                continue
            try:
                if self.replica.votes_from is None:
                    await self._rejoin()
                peer = list(self.peers)[int(self.chance() * len(self.peers))]
                answer = await self.peers[peer].call("catch-up", [self.replica.chosen], CALL_WITHIN)
                self.durable.learn(messages.extract(answer), time.monotonic_ns())
                if self.replica.lacks_slots():
                    identity = f"{self.proposer.identity}.{self.replica.chosen}"
                    await self.append(log.Record(identity, log.NO_OPERATION, 0, 0, b""))
            except (CallFailed, messages.Malformed, DiskFailedError) as fault:
                self.log.debug("not caught up", why=str(fault))

    async def _rejoin(self):
        voted_in = {}
        for peer, client in self.peers.items():
            try:
                (slot,) = await client.call("voted-in", [], CALL_WITHIN)
            except (CallFailed, ValueError, TypeError):
                continue
            if isinstance(slot, int):
                voted_in[peer] = slot
        if self.durable.rejoin(voted_in, len(self.servers), time.monotonic_ns()):
            self.log.info("rejoined", votes_from=self.replica.votes_from)
        elif self.replica.votes_from is None:
            self.log.warning("no majority of the others votes; this server can't rejoin", heard=len(voted_in))

    def _spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def end(self):
        """Closes all connections."""
        self.stop()
        for client in self.peers.values():
            client.close()
        for stream in list(self.streams):
            stream.close()
        for task in list(self.tasks):
            task.cancel()


async def serve(name, listen, peers, folder, new_after, logger, ready):
    """Until SIGTERM. `ready(address)` is called once it listens. Raises `LogStorageError` and OSError."""
    loop, ends = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ends.set)
    storage = LogStorage(folder)
    replica = storage.open(new_after)
    try:
        server = ConfigurationServer(name, peers, replica, storage.save, logger)
    except DiskFailedError as error:
        raise LogStorageError(f"{storage.path}: {error}") from error
    sockets = bind_sockets(listen[1], listen[0])
    server.add_sockets(sockets)
    following = [loop.create_task(server.follow()), loop.create_task(server.watch_disk())]
    ready(sockets[0].getsockname()[:2])
    logger.info(
        "listening", votes_from=replica.votes_from, chosen=replica.chosen, servers=len(server.servers)
    )
    await ends.wait()
    for task in following:
        task.cancel()
    server.end()
    logger.info("closed", chosen=replica.chosen)
