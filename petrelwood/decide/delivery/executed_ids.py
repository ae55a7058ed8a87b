"""The ids of once-only activations that may have run, on a platform whose clients choose the ids.

An activation with such an id must not run again, even if its client left before the answer and comes again.
The number of ids is bounded; the oldest are forgotten first.
"""


class ExecutedIds:
    """Ids of activations of which an attempt was written to a worker; `capacity` is their maximum number."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._ids: dict[str, None] = {}  # the oldest first

    def __contains__(self, activation_id: str) -> bool:
        """Return whether an activation with this id may have run."""
        return activation_id in self._ids

    def __len__(self) -> int:
        """Return the number of ids."""
        return len(self._ids)

    def add(self, activation_id: str) -> None:
        """Note that an attempt is written to a worker."""
        if activation_id not in self._ids and len(self._ids) >= self.capacity:
            del self._ids[next(iter(self._ids))]
        self._ids[activation_id] = None

    def discard(self, activation_id: str) -> None:
        """Note that the only attempt that was written provably never ran."""
        self._ids.pop(activation_id, None)
