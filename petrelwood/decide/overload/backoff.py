"""When to try again: one piece for links, the roster and whatever else repeats.

Waits double from `first` to `most`, each drawn from its upper half, or with `full` from all of it, so that
those that failed together do not come back together. A budget in `Budget` bounds repeats by firsts."""


class Backoff:
    """The waits of one thing that is tried again. Times in ns."""

    def __init__(self, first, most, chance, full=False):
        self.first, self.most, self.chance, self.full = first, most, chance, full
        self.failures, self.not_before = 0, 0

    def failed(self, now):
        """Notes a failure; the time before which nothing is tried again."""
        wait = min(self.first << min(self.failures, 16), self.most)
        self.failures += 1
        least = 0 if self.full else wait // 2
        self.not_before = now + least + int(self.chance() * (wait - least))
        return self.not_before

    def succeeded(self):
        self.failures, self.not_before = 0, 0

    def may(self, now):
        return now >= self.not_before


class Budget:
    """So many repeats for so many firsts: each first earns a part of a repeat, up to a few kept. With `every`
    (ns) time earns one too, so that what has had no firsts for long is tried all the same."""

    def __init__(self, part, kept, every=0):
        self.part, self.kept, self.left, self.every, self.since, self.refused = part, kept, kept, every, 0, 0

    def first(self):
        self.left = min(self.kept, self.left + self.part)

    def spend(self, now=0):
        """Whether a repeat may go out; it is then paid for."""
        if self.every and now > self.since:
            self.left, self.since = min(self.kept, self.left + (now - self.since) / self.every), now
        if self.left < 1 - 1e-9:  # tenths do not sum to one exactly
            self.refused += 1
            return False
        self.left -= 1
        return True
