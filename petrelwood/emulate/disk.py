"""What a dispatcher of the emulator has kept: the records of `store.state`, in memory, over its kills and
starts."""


class Disk:
    """One life's view of the records."""

    stopped, durability, boot = None, "process", "emulated"

    def __init__(self, records, wall):
        self.found, self.records = list(records), records
        records.append(["life", wall, self.boot, 1, 1])

    def add(self, *record):
        self.records.append(list(record))
        return True

    def flush(self):
        return True

    def tend(self, wall):
        """Nothing grows over a day that matters."""
