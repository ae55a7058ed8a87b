"""Messages, bytes and processor time of a hollow fleet, by what they are for, by second and by who has
them."""

import time
from collections import Counter, defaultdict

SECOND = 1_000_000_000

# What flows. The list of workers:
LIST_TO_DISPATCHERS = "list of workers, roster to dispatchers"
LIST_ASKED = "list of workers, asked for by dispatchers"
CONTROL_FLOWS = (LIST_TO_DISPATCHERS, LIST_ASKED)
# Calls and what belongs to them:
CALLS_TO_WORKERS = "calls, dispatchers to workers"
CALLS_BACK = "answers, workers to dispatchers"
ORDERS_TO_WORKERS = "load orders, dispatchers to workers"
ORDERS_BACK = "load orders' answers"
PROBES = "probes and their answers"
GREETINGS = "greetings of new connections, both ways"
CALL_FLOWS = (CALLS_TO_WORKERS, CALLS_BACK, ORDERS_TO_WORKERS, ORDERS_BACK, PROBES, GREETINGS)

# What processor time goes into.
NEWS, TIMERS, CALLS = "news of workers", "timers", "calls"


class Flow:
    """Messages and bytes of one flow."""

    __slots__ = ("messages", "bytes", "messages_by_second", "bytes_by_second", "by_member")

    def __init__(self):
        self.messages, self.bytes = 0, 0
        self.messages_by_second, self.bytes_by_second = Counter(), Counter()
        self.by_member = defaultdict(Counter)  # member -> second -> bytes

    def peak(self, of, first=0, last=1 << 40):
        """The most in one second, of those from `first` to `last`."""
        return max((n for second, n in of.items() if first <= second <= last), default=0)


class Traffic:
    """Counts what passes. `now()` gives virtual time in ns."""

    def __init__(self, now):
        self.now, self.flows = now, defaultdict(Flow)

    def count(self, name, member, size, messages=1):
        """Messages of `size` bytes together that `member` (a dispatcher or a worker) sends or gets."""
        flow, second = self.flows[name], self.now() // SECOND
        flow.messages += messages
        flow.bytes += size
        flow.messages_by_second[second] += messages
        flow.bytes_by_second[second] += size
        flow.by_member[member][second] += size

    def messages(self, names):
        """All messages of these flows."""
        return sum(self.flows[name].messages for name in names)

    def bytes(self, names):
        """All bytes of these flows."""
        return sum(self.flows[name].bytes for name in names)

    def peak_messages(self, names, first=0, last=1 << 40):
        """The most messages of these flows in one second."""
        total = Counter()
        for name in names:
            total.update(self.flows[name].messages_by_second)
        return max((n for second, n in total.items() if first <= second <= last), default=0)

    def peak_bytes(self, names, first=0, last=1 << 40):
        """The most bytes of these flows in one second."""
        total = Counter()
        for name in names:
            total.update(self.flows[name].bytes_by_second)
        return max((n for second, n in total.items() if first <= second <= last), default=0)

    def peak_bytes_of_one(self, names, first=0, last=1 << 40):
        """The most bytes of these flows in one second at one member."""
        total = defaultdict(Counter)
        for name in names:
            for member, seconds in self.flows[name].by_member.items():
                total[member].update(seconds)
        return max(
            (n for seconds in total.values() for second, n in seconds.items() if first <= second <= last),
            default=0,
        )


class ProcessorTime:
    """Processor time of all dispatchers of a process by what it goes into; what calls what is counted
    once."""

    def __init__(self):
        self.spent, self.times, self.inside = Counter(), Counter(), False

    def measure(self, what, call, *arguments):
        """Does it, and counts its time unless that is being counted already."""
        if self.inside:
            return call(*arguments)
        self.inside, begun = True, time.process_time_ns()
        try:
            return call(*arguments)
        finally:
            self.spent[what] += time.process_time_ns() - begun
            self.times[what] += 1
            self.inside = False

    def seconds(self, what):
        """Seconds that went into it."""
        return self.spent[what] / 1e9
