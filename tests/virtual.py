"""Asyncio on a clock that jumps, and connections to scripted workers that live on it: the dispatcher's own
link and core run unchanged."""

import asyncio
import json
import selectors

from tornado.iostream import StreamClosedError

MS = 1_000_000


class _Jump(selectors.SelectSelector):
    """Waits for nobody: where there is nothing to do until a timer, the clock is there."""

    def __init__(self):
        super().__init__()
        self.time = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise AssertionError("nothing will ever happen")
        self.time += max(0.0, timeout)
        return super().select(0)


class Loop(asyncio.SelectorEventLoop):
    def __init__(self):
        self.jump = _Jump()
        super().__init__(self.jump)

    def time(self):
        return self.jump.time


class Clock:
    """As `clocks.LoopClock`, on a `Loop`."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()

    def now(self):
        return round(self.loop.time() * 1e9)

    wall = steady_wall = now

    def at(self, when, call, *args):
        # never early, however the float is rounded
        return self.loop.call_at((when + 2) / 1e9, call, *args)


def run(main):
    """The result of a coroutine that runs on a clock of its own, from 0 s."""
    with asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(main)


class Stream:
    """What the link uses of `node.stream.Stream`. `net(address)` gives the host there: `joins(stream)`
    (seconds until the connection is up, None for never, or an OSError), `transit()` (seconds) and
    `line(stream, said)`."""

    def __init__(self, net):
        self.net, self.host, self.up, self.ended, self.rest = net, None, False, False, b""
        self.loop, self.coming, self.wait, self.last = asyncio.get_running_loop(), [], None, 0.0
        # as `sockets.bytes_written` and `bytes_taken` read them; all that is written is taken at once
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

    def _later(self, call, *args):  # in order, both ways
        at = max(self.last, self.loop.time() + self.host.transit())
        self.last = at
        self.loop.call_at(at, call, *args)

    def _arrives(self, data):
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            self.host.line(self, json.loads(line))

    def says(self, answer):
        """The worker's line, on its way."""
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
