"""One configuration server: its replica of the log on disk, its peers, and who asks it.

What is decided is in `decide.cluster.replicated_log`. A reply leaves only once what it depends on is on the
disk. A server that finds no log where it should be, and was not told to begin a new one, has lost its disk:
it learns from the others and votes again when `Replica.rejoin` allows it."""

import asyncio
import pathlib
import secrets
import signal
import time
from random import Random

from tornado.iostream import StreamBufferFullError, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from petrelwood.control import messages
from petrelwood.decide.cluster import replicated_log as log
from petrelwood.links import rpc
from petrelwood.links.rpc_client import CallFailed, RpcClient
from petrelwood.store import snapshot

KIND, VERSION = "config-log", 1  # of the file
FILE = "log.snapshot"
READ = 65_536
CALL_WITHIN = 1.0  # seconds for a peer's answer
CHECK = 0.01  # seconds between two looks at a record that is being decided
CATCH_UP = 1.0  # seconds between two questions to a peer for what this server lacks
WAITING = 32  # records that wait for their turn; further ones are refused at once
QUIET = 300.0  # seconds without a call after which a connection is closed


class Unusable(Exception):
    """The log can't be opened; `str()` is one line."""


def opened(folder, new_after):
    """The replica that a folder holds. `new_after`: None, or the slot after which a new log begins."""
    path = pathlib.Path(folder) / FILE
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        found = snapshot.read(path, KIND, VERSION)
        if found is not None and new_after is not None:
            raise Unusable(f"{path} holds a log; a new one can't begin there")
        if found is not None:
            return log.Replica.restored(found[1])
    except (snapshot.Unreadable, ValueError, TypeError) as fault:
        raise Unusable(f"{path} can't be used: {fault}") from None
    except OSError as fault:
        raise Unusable(f"{path} can't be read: {fault.strerror}") from None
    if new_after is None:
        return log.Replica(votes_from=None)
    replica = log.Replica(votes_from=new_after + 1)
    replica.chosen, replica.changed = new_after, True
    return replica


class ConfigurationServer(TCPServer):
    """`peers`: addresses of the other servers by name. `write(value)` makes the log's value durable."""

    def __init__(self, name, peers, replica, write, logger):
        super().__init__()
        self.name, self.replica, self.write_log, self.log = name, replica, write, logger
        self.chance = Random(name).random
        self.peers = {peer: RpcClient(address, messages.MOST) for peer, address in peers.items()}
        self.servers = (name, *peers)
        self.proposer = log.Proposer(f"{name}.{secrets.token_hex(8)}")
        self.lock, self.waiting, self.streams, self.tasks = asyncio.Lock(), 0, set(), set()
        self.keep()

    def keep(self):
        """Before anything leaves that depends on it."""
        if self.replica.changed:
            self.write_log(self.replica.durable())
            self.replica.changed = False

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
        except (messages.Malformed, CallFailed) as fault:
            answer = rpc.response(msgid, str(fault), None)
        try:
            await stream.write(answer)
        except (StreamClosedError, StreamBufferFullError):
            pass

    async def answer(self, method, params):
        """The result of one call. Raises `Malformed`, and `CallFailed` for what can't be done now."""
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
        reply = self.replica.answer(message)
        self.keep()
        return messages.result(reply)

    # Appending.
    async def append(self, record):
        """The slot of a record once it is decided. Raises `CallFailed`."""
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
                reply = self.replica.answer(message)
            else:
                self.keep()
                reply = messages.reply(await self.peers[server].call(*messages.call(message), CALL_WITHIN))
        except (CallFailed, messages.Malformed) as fault:
            self.log.debug("no reply", server=server, why=str(fault))
            return
        self.keep()
        self.current.reply(server, message, reply, time.monotonic_ns())
        self.keep()

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
                self.replica.learn(messages.extract(answer))
                self.keep()
                if self.replica.lacks_slots():
                    identity = f"{self.proposer.identity}.{self.replica.chosen}"
                    await self.append(log.Record(identity, log.NO_OPERATION, 0, 0, b""))
            except (CallFailed, messages.Malformed) as fault:
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
        if self.replica.rejoin(voted_in, len(self.servers)):
            self.keep()
            self.log.info("rejoined", votes_from=self.replica.votes_from)
        else:
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
    """Until SIGTERM. `ready(address)` is called once it listens. Raises `Unusable` and OSError."""
    loop, ends = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ends.set)
    replica = opened(folder, new_after)
    path = pathlib.Path(folder) / FILE
    server = ConfigurationServer(
        name, peers, replica, lambda value: snapshot.write(path, KIND, VERSION, value), logger
    )
    sockets = bind_sockets(listen[1], listen[0])
    server.add_sockets(sockets)
    following = loop.create_task(server.follow())
    ready(sockets[0].getsockname()[:2])
    logger.info(
        "listening", votes_from=replica.votes_from, chosen=replica.chosen, servers=len(server.servers)
    )
    await ends.wait()
    following.cancel()
    server.end()
    logger.info("closed", chosen=replica.chosen)
