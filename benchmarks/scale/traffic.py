"""Counts messages, bytes and processor time of a hollow fleet by purpose, by second and by member."""

import time
from collections import Counter, defaultdict

SECOND = 1_000_000_000

# Flows of the list of workers
LIST_TO_DISPATCHERS = "list of workers, roster to dispatchers"
LIST_ASKED = "list of workers, asked for by dispatchers"
CONTROL_FLOWS = (LIST_TO_DISPATCHERS, LIST_ASKED)
# Flows of calls
CALLS_TO_WORKERS = "calls, dispatchers to workers"
CALLS_BACK = "answers, workers to dispatchers"
ORDERS_TO_WORKERS = "load orders, dispatchers to workers"
ORDERS_BACK = "load orders' answers"
PROBES = "probes and their answers"
GREETINGS = "greetings of new connections, both ways"
CALL_FLOWS = (CALLS_TO_WORKERS, CALLS_BACK, ORDERS_TO_WORKERS, ORDERS_BACK, PROBES, GREETINGS)

# Kinds of work for processor time
NEWS, TIMERS, CALLS = "news of workers", "timers", "calls"


class Flow:
    """Messages and bytes of one flow."""

    __slots__ = ("messages", "bytes", "messages_by_second", "bytes_by_second", "by_member")

    def __init__(self):
        self.messages, self.bytes = 0, 0
        self.messages_by_second, self.bytes_by_second = Counter(), Counter()
        self.by_member = defaultdict(Counter)  # member -> second -> bytes

    def peak(self, of, first=0, last=1 << 40):
        """Return the largest count of a second between `first` and `last`."""
        return max((n for second, n in of.items() if first <= second <= last), default=0)


class Traffic:
    """Counts messages and bytes. `now()` returns the virtual time in ns."""

    def __init__(self, now):
        self.now, self.flows = now, defaultdict(Flow)

    def count(self, name, member, size, messages=1):
        """Count messages of `size` bytes in total that `member` (dispatcher or worker) sends or receives."""
        flow, second = self.flows[name], self.now() // SECOND
        flow.messages += messages
        flow.bytes += size
        flow.messages_by_second[second] += messages
        flow.bytes_by_second[second] += size
        flow.by_member[member][second] += size

    def messages(self, names):
        """Return the number of messages of these flows."""
        return sum(self.flows[name].messages for name in names)

    def bytes(self, names):
        """Return the number of bytes of these flows."""
        return sum(self.flows[name].bytes for name in names)

    def peak_messages(self, names, first=0, last=1 << 40):
        """Return the number of messages of these flows in their busiest second."""
        total = Counter()
        for name in names:
            total.update(self.flows[name].messages_by_second)
        return max((n for second, n in total.items() if first <= second <= last), default=0)

    def peak_bytes(self, names, first=0, last=1 << 40):
        """Return the bytes of these flows in their busiest second."""
        total = Counter()
        for name in names:
            total.update(self.flows[name].bytes_by_second)
        return max((n for second, n in total.items() if first <= second <= last), default=0)

    def peak_bytes_of_one(self, names, first=0, last=1 << 40):
        """Return the bytes of these flows at one member in its busiest second, the largest of all members."""
        total = defaultdict(Counter)
        for name in names:
            for member, seconds in self.flows[name].by_member.items():
                total[member].update(seconds)
        return max(
            (n for seconds in total.values() for second, n in seconds.items() if first <= second <= last),
            default=0,
        )


class ProcessorTime:
    """Processor time of all dispatchers of a process by kind of work; nested measurements count once, for the
    outermost."""

    def __init__(self):
        self.spent, self.times, self.inside = Counter(), Counter(), False

    def measure(self, what, call, *arguments):
        """Call it, and count its processor time unless a surrounding measurement counts it already."""
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
        """Return the processor time of a kind of work in seconds."""
        return self.spent[what] / 1e9
