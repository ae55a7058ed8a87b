"""A model of the shared store of models: throughput, overload, refused fetches, outages."""


class Store:
    """The store; concurrent fetches share its throughput, `pace`.

    Each fetch in flight beyond `takes` lowers the efficiency by `thrash`; beyond twice `takes` it refuses
    fetches. At a demand of `fall` times its pace over `fall_for` it stops for `down`. Sizes in bytes, pace in
    bytes a second, times in ns.
    """

    def __init__(self, clock, pace, takes=8, thrash=0.05, fall=0.0, fall_for=0, down=0):
        self.clock, self.pace, self.takes, self.thrash = clock, pace, takes, thrash
        self.fall, self.fall_for, self.down = fall, fall_for, down
        self.fetches, self.stopped_until, self.timer, self.seen = {}, 0, None, clock.now()
        self.asked, self.window, self.began = 0, 0, clock.now()
        self.counts = {"fetched": 0, "refused": 0, "stops": 0, "bytes": 0}

    def stop(self, length):
        """Stop for a while: fetches in flight make no progress, and new ones are refused."""
        self._move()
        self.stopped_until = max(self.stopped_until, self.clock.now() + length)
        self.counts["stops"] += 1
        self._next()

    def fetch(self, size, done):
        """Start a fetch and return its handle, or None if it is refused.

        Calls `done(True)` once the bytes have arrived, `done(False)` at once if the fetch is refused.
        """
        self._move()
        self._pushed(size)
        if self.clock.now() < self.stopped_until or len(self.fetches) >= 2 * self.takes:
            self.counts["refused"] += 1
            done(False)
            return None
        handle = object()
        self.fetches[handle] = [size, size, done]
        self._next()
        return handle

    def _pushed(self, size):
        if not self.fall:
            return
        now = self.clock.now()
        if now - self.began > self.fall_for:
            self.began, self.window = now, 0
        self.window += size
        if self.window > self.fall * self.pace * self.fall_for / 1e9 and now >= self.stopped_until:
            self.stop(self.down)

    def _rate(self):
        n = len(self.fetches)
        return self.pace / n / (1 + self.thrash * max(0, n - self.takes)) if n else 0.0

    def _move(self):
        now = self.clock.now()
        begun = max(self.seen, self.stopped_until)
        if now > begun:
            moved = (now - begun) / 1e9 * self._rate()
            for fetch in self.fetches.values():
                fetch[0] -= moved
        self.seen = now

    def _next(self):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.fetches:
            left = max(0.0, min(f[0] for f in self.fetches.values()))
            start = max(self.clock.now(), self.stopped_until)
            self.timer = self.clock.at(start + int(left / self._rate() * 1e9) + 1000, self._moved)

    def _moved(self):
        self.timer = None
        self._move()
        over = [h for h, f in self.fetches.items() if f[0] <= 1]
        ends = [self.fetches.pop(h) for h in over]
        self._next()
        for _, size, done in ends:
            self.counts["fetched"] += 1
            self.counts["bytes"] += size
            done(True)
