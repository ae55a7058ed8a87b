"""When to ask the roster: often while it answers, soon again after a loss. Times in ns."""

MS = 1_000_000
# between two questions; the roster may tell 1.5 s after the event, and waits for no one
EVERY = 250 * MS
AGAIN = 80 * MS  # after a question that has no answer yet
# what the roster would have told counts as told then, however late its answers come
LATE = 4_500 * MS
OPEN = LATE // AGAIN  # questions whose answers are still taken: those of that time


class RosterPolling:
    """`ids`: those that are open, oldest first. `chance()` in [0, 1)."""

    def __init__(self, chance):
        self.chance, self.ids, self.next = chance, {}, 0

    def due(self, now):
        return now >= self.next

    def asks(self, now):
        """The id of a question that goes out now."""
        id_ = int(self.chance() * 65536)
        self.ids.pop(id_, None)
        self.ids[id_] = now
        if len(self.ids) > OPEN:
            del self.ids[next(iter(self.ids))]
        self.next = now + AGAIN
        return id_

    def answered(self, now, id_):
        """Whether this id was asked and has had no answer yet."""
        return self.ids.pop(id_, None) is not None

    def good(self, now):
        """An answer that could be used."""
        self.next = now + EVERY

    def anew(self, now):
        """Another roster: nothing that was asked of the one before counts."""
        self.ids.clear()
        self.next = now
