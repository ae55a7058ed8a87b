"""An event loop on virtual time and simulated connections to scripted workers; the dispatcher's own link and
core run on them unchanged."""

import asyncio
import json
import selectors

from tornado.iostream import StreamClosedError

MS = 1_000_000


class _VirtualTimeSelector(selectors.SelectSelector):
    """A selector that never blocks: it advances the virtual clock by the timeout instead."""

    def __init__(self):
        super().__init__()
        self.time = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise AssertionError("deadlock: the event loop waits without a timer")
        self.time += max(0.0, timeout)
        return super().select(0)


class Loop(asyncio.SelectorEventLoop):
    """An event loop on virtual time, from 0 s."""

    def __init__(self):
        self.selector = _VirtualTimeSelector()
        super().__init__(self.selector)

    def time(self):
        """Return the virtual time in seconds."""
        return self.selector.time


class Clock:
    """A substitute for `clocks.LoopClock` on a `Loop`."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()

    def now(self):
        return round(self.loop.time() * 1e9)

    wall = steady_wall = now

    def at(self, when, call, *args):
        # 2 ns later, so that rounding to a float never makes the timer fire early
        return self.loop.call_at((when + 2) / 1e9, call, *args)


def run(main):
    """Run a coroutine on a virtual clock of its own that starts at 0 s; return its result."""
    with asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(main)


class Stream:
    """The part of `node.stream.Stream` that the link uses, on a simulated network.

    `net(address)` returns the host at an address, or None if there is none. A host has `joins(stream)` (the
    seconds until the connection is established, None for never, or an OSError), `transit()` (the network
    delay in seconds) and `line(stream, message)`, which receives each line that the link sent."""

    def __init__(self, net):
        self.net, self.host, self.up, self.ended, self.rest = net, None, False, False, b""
        self.loop, self.coming, self.wait, self.last = asyncio.get_running_loop(), [], None, 0.0
        # read by `sockets.bytes_written` and `bytes_taken`; the simulated kernel takes all data at once
        self._total_write_index = self._total_write_done_index = 0

    async def connect(self, address):
        self.host = self.net(address)
        delay = OSError("refused") if self.host is None else self.host.joins(self)
        self.wait = self.loop.create_future()
        if isinstance(delay, OSError):
            self.loop.call_later(0.001, self.close)
        elif delay is not None:
            self.loop.call_later(delay, self._joined)
        await self.wait
        self.wait = None

    def _joined(self):
        if not self.ended:
            self.up = True
            self.wait.set_result(None)

    def set_nodelay(self, _):
        pass

    async def read_bytes(self, most, partial):
        while not self.coming:
            if self.ended:
                raise StreamClosedError()
            self.wait = self.loop.create_future()
            await self.wait
            self.wait = None
        return self.coming.pop(0)

    def write(self, data):
        if self.ended:
            raise StreamClosedError()
        self._total_write_index = self._total_write_done_index = self._total_write_index + len(data)
        self._later(self._arrives, data)

    def _later(self, call, *args):  # keeps the order of all lines, in both directions
        at = max(self.last, self.loop.time() + self.host.transit())
        self.last = at
        self.loop.call_at(at, call, *args)

    def _arrives(self, data):
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            self.host.line(self, json.loads(line))

    def says(self, answer):
        """Send a line from the worker to the link."""
        if self.ended:
            return
        self._later(self._hears, json.dumps(answer).encode() + b"\n")

    def _hears(self, data):
        if not self.ended:
            self.coming.append(data)
            self._wake()

    def _wake(self):
        if self.wait is not None and not self.wait.done():
            self.wait.set_result(None)

    def close(self):
        if self.ended:
            return
        self.ended = True
        if self.wait is not None and not self.wait.done():
            if self.up:
                self.wait.set_result(None)
            else:
                self.wait.set_exception(StreamClosedError())

    def closed(self):
        return self.ended

    def writing(self):
        return False
