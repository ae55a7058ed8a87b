"""What a dispatcher of the emulator has recorded: the records of its state log, in memory, over its kills and
starts."""

from petrelwood.decide.delivery.state_records import IncarnationStarted


class Disk:
    """One incarnation's view of the records."""

    stopped, durability = None, "process"

    def __init__(self, records, wall, boot, epoch):
        self.found, self.records, self.boot = list(records), records, boot
        records.append(IncarnationStarted(wall, boot, epoch, 1))

    def add(self, record):
        self.records.append(record)
        return True

    def flush(self):
        return True

    def check(self, wall):
        """Nothing grows over a day that matters."""
