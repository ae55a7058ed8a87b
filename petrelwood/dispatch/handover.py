"""Hand-over over a Unix socket: listeners by descriptor, state by its log, outcomes of what the old one still
finishes.

Messages are msgpack lists behind a 4-byte length; descriptors ride on `offer`. What is decided is in
`decide.cluster.handover`.

    new -> old   ["hello", facts]                        old -> new   ["no", why] or ["offer", watch] with
    descriptors
    new -> old   ["ready"]                               old -> new   ["go", completed share, of how many]
    new -> old   ["owns"], ["alive"] now and then, later ["proven"] or ["back", why]
    old -> new   ["end", customer, id, outcome, sent, body], ... ["drained"], or ["taken"]: the old one serves
    again
"""

import asyncio
import os
import pathlib
import socket
import struct

import msgpack

from petrelwood.decide.cluster import handover
from petrelwood.links.local import Bound
from petrelwood.store import state as store

SIZE = struct.Struct("<I")
MOST = 1 << 20
CHECK, BEAT = 0.05, 5  # seconds between looks, and looks between two signs of life
# ns without a look at the old one, after which this process asks itself whether it still owns
STILL = 1_000_000_000


class Lost(Exception):
    """The other side is gone, or speaks nonsense."""


class Channel:
    """One connection, both ways."""

    def __init__(self, sock, loop):
        sock.setblocking(False)
        self.sock, self.loop, self.data, self.fds, self.closed = sock, loop, bytearray(), [], False
        # many tell at a time: one message after the other, in their order
        self.sending = asyncio.Lock()

    async def send(self, *message, fds=()):
        data = SIZE.pack(len(body := msgpack.packb(message, use_bin_type=True))) + body
        try:
            # descriptors ride on the first bytes; a message fits the socket
            if fds:
                socket.send_fds(self.sock, [data], list(fds))
            else:
                async with self.sending:
                    await self.loop.sock_sendall(self.sock, data)
        except OSError as fault:
            raise Lost(str(fault)) from None

    async def receive(self):
        while True:
            if len(self.data) >= SIZE.size:
                size = SIZE.unpack_from(self.data)[0]
                if size > MOST:
                    raise Lost("a message's length can't be")
                if len(self.data) >= SIZE.size + size:
                    body = bytes(self.data[SIZE.size : SIZE.size + size])
                    del self.data[: SIZE.size + size]
                    try:
                        message = msgpack.unpackb(body, raw=False)
                    except ValueError:
                        raise Lost("a message can't be read") from None
                    if not isinstance(message, list) or not message or not isinstance(message[0], str):
                        raise Lost("a message of another kind")
                    return message
            await self._read()

    async def _readable(self):
        """Waits until the socket can be read."""
        ready = self.loop.create_future()
        self.loop.add_reader(self.sock.fileno(), lambda: ready.done() or ready.set_result(None))
        try:
            await ready
        finally:
            self.loop.remove_reader(self.sock.fileno())

    async def _read(self):
        while True:
            try:
                data, fds, _, _ = socket.recv_fds(self.sock, 65_536, 16)
                break
            except BlockingIOError:
                await self._readable()
            except OSError as fault:
                raise Lost(str(fault)) from None
        self.fds += fds
        if not data:
            raise Lost("it closed the connection")
        self.data += data

    def close(self):
        if not self.closed:
            self.closed = True
            for fd in self.fds:
                os.close(fd)
            self.fds = []
            self.sock.close()


class Predecessor:
    """In the process that serves: waits on the control socket for one that follows. `core`: a `Dispatcher`;
    `gives` and `takes_back` are called beside the webhooks' own, `over` when this process may end."""

    def __init__(self, path, core, webhooks, log, gives, takes_back, over):
        self.path, self.core, self.webhooks, self.log = pathlib.Path(path), core, webhooks, log
        self.gives, self.takes_back, self.over = gives, takes_back, over
        self.machine, self.channel, self.tasks = handover.Predecessor(), None, set()

    def open(self):
        """Takes the path over: one that follows binds it anew, so the newest is always found there."""
        self.server = Bound(self.path, socket.SOCK_STREAM)
        self._task(self._accept())
        self._task(self._watch())

    def _task(self, coroutine):
        task = self.core.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def close(self):
        for task in list(self.tasks):
            task.cancel()
        self.server.close()
        if self.channel is not None:
            self.channel.close()

    async def _accept(self):
        while True:
            sock, _ = await self.core.loop.sock_accept(self.server.sock)
            self._task(self._serve(Channel(sock, self.core.loop)))

    async def _watch(self):
        while True:
            await asyncio.sleep(CHECK)
            self._do(self.machine.check(self.core.now()))
            if (
                self.machine.state == handover.WATCHING
                and not self.machine.drained
                and not self.core.pending.acts
                and all(front.quiet() for front in self.core.fronts)
            ):
                self.machine.is_drained(self.core.now())
                await self._tell("drained")
                self._do("end" if self.machine.state == handover.OVER else None)

    async def _tell(self, *message):
        try:
            if self.channel is not None:
                await self.channel.send(*message)
        except Lost as fault:
            self._gone(str(fault))

    async def _serve(self, channel):
        now = self.core.now
        try:
            kind, facts = (await asyncio.wait_for(channel.receive(), 5))[:2]
            why = (
                "it did not greet"
                if kind != "hello" or not isinstance(facts, dict)
                else handover.refuses(facts, self.core.name, self._state_format(), self.machine.busy())
            )
            if why:
                self.log.warning("an upgrade was turned away", why=why)
                await channel.send("no", why)
                channel.close()
                return
            self.channel = channel
            self.machine.asked(now())
            self.log.info("an upgrade begins", by=facts.get("pid"))
            await channel.send("offer", handover.WATCH, fds=self.webhooks.descriptors())
            while True:
                message = await channel.receive()
                if message[0] == "ready":
                    if self.machine.ready(now()) == "go":
                        self._give()
                        await channel.send("go", *self.core.well())
                elif message[0] == "owns":
                    self.machine.owns(now())
                    self.log.info("handed over; finishing what is owed", owed=len(self.core.pending.acts))
                elif message[0] == "alive":
                    self.machine.hears(now())
                elif message[0] == "proven":
                    self._do(self.machine.is_proven(now()))
                elif message[0] == "back":
                    raise Lost(f"it gives back: {message[1]}")
        except (TimeoutError, Lost, ValueError, TypeError, IndexError) as fault:
            channel.close()
            if channel is self.channel:
                self._gone(str(fault) or "it said nothing")

    def _state_format(self):
        """What one that follows must read: the newest format that stands in the folder."""
        return store.PLAIN_FORMAT if self.core.state is None else self.core.state.format

    def _gone(self, why):
        channel, self.channel = self.channel, None
        if channel is not None:
            channel.close()
            self._do(self.machine.lost(self.core.now(), why))

    def _give(self):
        """The one moment: nothing new is taken here from now on, and all that was taken is in the log."""
        self.core.give_way(self._ended)
        self.webhooks.pause()
        self.gives()

    def _ended(self, *facts):
        self._task(self._tell("end", *facts))

    async def _dismiss(self, channel):
        try:
            await asyncio.wait_for(channel.send("taken"), 5)
        except (TimeoutError, Lost):
            pass
        channel.close()

    def _do(self, what):
        if what == "resume":
            self.log.error("the upgrade failed; this process serves again", why=self.machine.why)
            self.core.take_back()
            self.webhooks.resume()
            self.takes_back()
            # one that only stood still must hear that it is over for it
            if self.channel is not None:
                channel, self.channel = self.channel, None
                self._task(self._dismiss(channel))
        elif what == "end":
            self.log.info("the new process has proven itself")
            self.over()


class Successor:
    """In the process that follows."""

    def __init__(self, path, loop, name):
        self.path, self.loop, self.name, self.channel, self.machine = path, loop, name, None, None
        self.listeners, self.drained = [], asyncio.Event()

    async def ask(self, now):
        """Greets the old one and takes the listeners. Raises `Lost` where there is none, or it says no."""
        sock = socket.socket(socket.AF_UNIX)
        try:
            sock.connect(str(self.path))
        except OSError as fault:
            sock.close()
            raise Lost(f"nobody serves at {self.path}: {fault.strerror}") from None
        self.channel = Channel(sock, self.loop)
        await self.channel.send(
            "hello",
            {
                "name": self.name,
                "pid": os.getpid(),
                "protocol": handover.FORMAT,
                "reads": (store.OLDEST, store.FORMAT),
            },
        )
        try:
            kind, fact = (await asyncio.wait_for(self.channel.receive(), 10))[:2]
        except TimeoutError:
            raise Lost("the old process does not answer") from None
        if kind != "offer":
            raise Lost(f"the old process says no: {fact}")
        self.machine = handover.Successor(now, fact)
        self.listeners, self.channel.fds = [socket.socket(fileno=fd) for fd in self.channel.fds], []
        if not self.listeners:
            raise Lost("the old process passed no listener")

    async def take(self, now):
        """Says ready, waits for go. Raises `Lost`."""
        self.machine.can_serve(now())
        await self.channel.send("ready")
        try:
            message = await asyncio.wait_for(self.channel.receive(), handover.READY_WITHIN / 1e9)
        except TimeoutError:
            raise Lost("the old process did not give way in time") from None
        if message[0] != "go" or self.machine.go(now(), (message[1], message[2])) != "accept":
            raise Lost("the old process did not give way")

    async def follow(self, core, log, fails):
        """Hears how what the old one finishes ends, and tells when this one has proven itself; `fails()`
        where it has not."""
        await self.channel.send("owns")
        self.fails, core.unsure, beat = fails, self._unsure, 0
        hears, self.looked = self.loop.create_task(self._hear(core, log)), core.now()
        try:
            while True:
                await asyncio.sleep(CHECK)
                # this process stood still: what came meanwhile is heard first
                if core.now() - self.looked > STILL:
                    await asyncio.sleep(4 * CHECK)
                self.looked, beat = core.now(), beat + 1
                if not beat % BEAT and self.machine.state == handover.OWNING:
                    await self.channel.send("alive")
                if self.machine.state == handover.FAILED:
                    return
                verdict = self.machine.check(core.now())
                if verdict == "proven":
                    log.info("the upgrade has proven itself")
                    await self.channel.send("proven")
                elif verdict == "back":
                    log.error("the upgrade gives back", why=self.machine.why)
                    fails()
                    return
                if hears.done():
                    return
        except Lost:
            self.machine.lost(core.now())
        finally:
            await asyncio.wait([hears], timeout=None if self.machine.state == handover.PROVEN else 0)

    def _unsure(self, now):
        """Whether this process may have been given up without knowing: it stood still, or the old one serves
        again."""
        return (
            self.machine.state == handover.FAILED
            or self.machine.state == handover.OWNING
            and now - self.looked > STILL
        )

    async def _hear(self, core, log):
        try:
            while True:
                message = await self.channel.receive()
                if message[0] == "taken":
                    self.machine.state, self.machine.why = handover.FAILED, "the old process serves again"
                    log.error("the upgrade was taken back")
                    self.fails()
                    return
                if message[0] == "end" and len(message) == 6:
                    core.heard_end(*message[1:])
                elif message[0] == "drained":
                    self.drained.set()
        except Lost:
            if not self.drained.is_set():
                log.warning("the old process went before it had finished")
        self.machine.lost(core.now())
        core.old_is_gone()
        self.drained.set()

    async def give_back(self, why):
        try:
            await self.channel.send("back", why)
        except Lost:
            pass
        self.channel.close()
