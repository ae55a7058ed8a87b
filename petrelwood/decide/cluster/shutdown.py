"""The end of a dispatcher that was told to stop: how long it still takes what comes, and when it cuts what is
left. Times in ns."""

MS = 1_000_000
STILL = 700 * MS  # connections and requests still come so long, as the platform says;
# and it kills no sooner than that and the longest action timeout, taken as this where it is longer
LONGEST = 3_000 * MS
# left for the last answers before it: so much, or that part of the timeout where it is less
MARGIN, PART = 400 * MS, 4


class Shutdown:
    """`longest`: the longest action timeout."""

    def __init__(self, now, longest):
        rest = min(longest, LONGEST)
        self.since, margin = now, min(MARGIN, rest // PART)
        self.cut = STILL + rest - margin
        self.last = self.cut + margin // 2

    def closed(self, now):
        return now - self.since >= STILL

    def out_of_time(self, now):
        return now - self.since >= self.cut

    def over(self, now, owed, quiet):
        """Whether the process may end."""
        return self.closed(now) and not owed and quiet or now - self.since >= self.last
