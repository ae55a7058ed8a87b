"""When to try again: one piece for links, the roster and whatever else repeats.

Waits double from `first` to `most`, each drawn from its upper half, or with `full` from all of it, so that those that
failed together do not come back together. A budget in `Budget` bounds repeats by firsts.
"""


class Comeback:
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
    """So many repeats for so many firsts: each first earns a part of a repeat, up to a few kept."""

    def __init__(self, part, kept):
        self.part, self.kept, self.left = part, kept, kept

    def first(self):
        self.left = min(self.kept, self.left + self.part)

    def spend(self):
        """Whether a repeat may go out; it is then paid for."""
        if self.left < 1:
            return False
        self.left -= 1
        return True
