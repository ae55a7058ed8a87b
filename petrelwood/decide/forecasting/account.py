"""The account of early loads: how each one ended, what it cost and what it saved, and when to hold back by
itself.

An early load ends in one of: used in time, used late (called while it was still loading), never used, pushed
another out, failed, stopped by a rule. The balance of a function, a hall and the whole is in seconds of cold
wait, with what has been spent priced in; it forgets slowly. Where it turns negative early loads are held
back, and tried again after a wait that doubles."""

from collections import Counter

from petrelwood.decide.overload.backoff import Backoff

IN_TIME, LATE, NEVER, PUSHED, FAILED, STOPPED = (
    "in time",
    "late",
    "never used",
    "pushed another out",
    "failed",
    "stopped",
)
ENDS = (IN_TIME, LATE, NEVER, PUSHED, FAILED, STOPPED)
FORGETS = 0.02  # of a balance, with each end
TRUST = 2.0  # seconds of wait a balance may fall before it counts as negative


class EarlyLoad:
    """One early load that is under way or stands unused."""

    __slots__ = ("function", "hall", "worker", "asked", "stood", "until", "size", "load", "pushed")

    def __init__(self, function, hall, worker, asked, until, size, load):
        self.function, self.hall, self.worker, self.asked, self.until = function, hall, worker, asked, until
        self.size, self.load, self.stood, self.pushed = size, load, None, None


class Balance:
    def __init__(self, first_wait, chance):
        self.seconds, self.ends = 0.0, Counter()
        self.backoff, self.held, self.spent_memory, self.saved = (
            Backoff(first_wait, 64 * first_wait, chance),
            False,
            0.0,
            0.0,
        )

    def book(self, now, end, seconds, memory):
        self.ends[end] += 1
        self.seconds = self.seconds * (1 - FORGETS) + seconds
        self.spent_memory += memory
        self.saved += max(0.0, seconds)
        if self.seconds < -TRUST and not self.held:
            self.held = True
            self.backoff.failed(now)
        elif self.seconds >= 0:
            self.held = False
            self.backoff.succeeded()

    def may(self, now):
        """Whether early loads may go on; a held one is tried again when its wait is over."""
        if self.held and self.backoff.may_retry(now):
            self.held, self.seconds = False, -TRUST / 2  # one more trial, on short credit
        return not self.held


class Account:
    """Times in ns; `prices` as `planner.Prices`. `told(now, early, end, seconds, gigabyte-seconds)` hears of
    each end."""

    def __init__(self, prices, first_wait, chance, most=10_000):
        self.prices, self.first_wait, self.chance, self.most = prices, first_wait, chance, most
        self.open, self.whole = {}, Balance(first_wait, chance)
        self.functions, self.halls, self.lost, self.told = {}, {}, 0, None

    def may(self, now, function, hall):
        for table, key in ((self.functions, function), (self.halls, hall)):
            balance = table.get(key)
            if balance is not None and not balance.may(now):
                return False
        return self.whole.may(now)

    def ordered(self, now, function, hall, worker, until, size, load):
        if len(self.open) >= self.most:
            self.lost += 1
            return
        self.open[function, worker] = EarlyLoad(function, hall, worker, now, until, size, load)

    def stands(self, now, function, worker, good, pushed=None):
        """Its order was answered."""
        early = self.open.get((function, worker))
        if early is None:
            return
        if not good:
            self._end(now, early, FAILED, 0.0)
        elif early.stood is None:
            early.stood, early.pushed = now, pushed

    def called(self, now, function, worker, warm):
        """A call of the function began there: what it found. The end of the early load that it used, or
        None."""
        early = self.open.get((function, worker))
        if early is None:
            return None
        if early.stood is not None and warm:
            return self._end(now, early, IN_TIME, early.load / 1e9)
        if early.stood is None:  # still loading: it waited less than without
            return self._end(now, early, LATE, min(early.load, now - early.asked) / 1e9)
        return None

    def stopped(self, now, function, hall):
        """A rule, or traffic that needed the room, kept a wish from being an order: it costs nothing."""
        for balance in self._balances(function, hall):
            balance.ends[STOPPED] += 1

    def pushed_out(self, now, function):
        """A copy of this function was missed where an early load had pushed it out."""
        for early in list(self.open.values()):
            if early.pushed == function:
                self._end(now, early, PUSHED, -early.load / 1e9)

    def sweep(self, now):
        """What lapsed without use."""
        for early in [e for e in self.open.values() if now >= e.until]:
            self._end(now, early, NEVER, 0.0)

    def _balances(self, function, hall):
        for table, key in ((self.functions, function), (self.halls, hall)):
            if key not in table:
                if len(table) >= self.most:
                    table.pop(next(iter(table)))
                table[key] = Balance(self.first_wait, self.chance)
            yield table[key]
        yield self.whole

    def _end(self, now, early, end, saved):
        del self.open[early.function, early.worker]
        stood = (now - (early.stood or now)) / 1e9 * early.size / 1e9
        seconds = saved - self.prices.fetch - self.prices.memory * stood
        for balance in self._balances(early.function, early.hall):
            balance.book(now, end, seconds, stood)
        if self.told is not None:
            self.told(now, early, end, seconds, stood)
        return end

    def lines(self):
        """A table for people: whole, halls, then the functions with the worst balances."""
        rows = [("all", self.whole)] + sorted(self.halls.items())
        rows += sorted(self.functions.items(), key=lambda p: p[1].seconds)[:10]
        for name, balance in rows:
            ends = ", ".join(f"{end} {balance.ends[end]}" for end in ENDS if balance.ends[end])
            yield (
                f"{name}: {balance.seconds:+.1f} s, {'held back' if balance.held else 'goes on'}; "
                f"{ends or 'nothing yet'}"
            )
