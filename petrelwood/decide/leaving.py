"""The end of a dispatcher that was told to stop: how long it still takes what comes, and when it cuts what is left. Times in ns."""
MS = 1_000_000
STILL = 700 * MS           # connections and requests still come so long, as the platform says
CUT = 3_300 * MS           # the platform kills 3.7 s after it at the soonest


class Leaving:
    def __init__(self, now):
        self.since = now

    def closed(self, now):
        return now - self.since >= STILL

    def out_of_time(self, now):
        return now - self.since >= CUT

    def over(self, now, owed, quiet):
        """Whether the process may end."""
        return self.closed(now) and not owed and quiet or now - self.since >= CUT + STILL // 4
