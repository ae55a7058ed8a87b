"""The workers that this dispatcher knows from the endpoint list."""

from collections.abc import Sequence

from petrelwood.decide.scheduling.records import Worker
from petrelwood.ports import EndpointEntry

# Multiplicative hashing that spreads the bits of a 32-bit hash, after an exclusive or with another hash.
HASH_MULTIPLIER = 0x9E3779B1
HASH_MASK = 0xFFFFFFFF


class Fleet:
    """All known workers, and those that the endpoint list marks as usable.

    Attributes:
        workers: known workers by id: usable ones, and others with attempts in flight.
        usable: the usable ones; each change of the endpoint list replaces this list object.
        zone: the dispatcher's own zone.
        salt: drawn at the start, so that different dispatchers prefer different workers.
    """

    def __init__(self, zone: str, salt: int) -> None:
        self.workers: dict[str, Worker] = {}
        self.usable: list[Worker] = []
        self.zone = zone
        self.salt = salt

    def apply(self, now: int, entries: Sequence[EndpointEntry], is_whole: bool) -> list[Worker]:
        """Apply a change of the endpoint list, or a complete endpoint list.

        Returns:
            The workers whose copies are lost: they have restarted, or are no longer usable.
        """
        if is_whole:
            listed_ids = {entry.worker for entry in entries}
            for worker in self.usable:
                worker.is_usable = worker.id in listed_ids
        restarted = [found for entry in entries if (found := self._apply_entry(entry, now))]
        removed = [worker for worker in self.usable if not worker.is_usable]
        self.usable = [worker for worker in self.workers.values() if worker.is_usable]
        return restarted + removed

    def forget_unused(self) -> None:
        """Forget workers that are not usable and have no attempt in flight."""
        self.workers = {
            worker.id: worker
            for worker in self.workers.values()
            if worker.is_usable or worker.in_flight or worker.lost
        }

    def _apply_entry(self, entry: EndpointEntry, now: int) -> Worker | None:
        """Apply one entry, and return its worker if the worker has restarted."""
        worker = self.workers.get(entry.worker)
        if worker is None:
            worker = self.workers[entry.worker] = Worker(
                id=entry.worker,
                zone=entry.zone,
                cell=entry.cell,
                booted=entry.booted,
                is_usable=entry.usable,
                first_seen=now,
            )
        has_restarted = entry.booted != worker.booted
        if has_restarted:
            worker.reset()
        worker.zone = entry.zone
        worker.cell = entry.cell
        worker.booted = entry.booted
        worker.is_usable = entry.usable
        order = (worker.hash ^ self.salt) * HASH_MULTIPLIER & HASH_MASK
        worker.preference = (worker.zone != self.zone, order)
        return worker if has_restarted else None
