"""The state log of a dispatcher of the emulator: its records in memory, kept across kills and restarts."""

from petrelwood.decide.delivery.state_records import IncarnationStarted


class Disk:
    """The records as one incarnation of a dispatcher sees them."""

    stopped, durability = None, "process"

    def __init__(self, records, wall, boot, epoch):
        self.found, self.records, self.boot = list(records), records, boot
        records.append(IncarnationStarted(wall, boot, epoch, 1))

    def add(self, record):
        self.records.append(record)
        return True

    def is_superseded(self):
        return False

    def flush(self):
        return True

    def check(self, wall):
        """Do nothing: the log does not grow large enough within a day to need rewriting."""
