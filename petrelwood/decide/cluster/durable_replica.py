"""A replica whose replies leave only once what they depend on is on its disk, even if the disk fails.

After a failed write the replica in memory is ahead of the disk: it may have promised or accepted what a
restart would forget. None of that has left, as each reply is given only after a write. Until a later write of
the whole state has succeeded the replica does not vote, and says so (`NotVoting`). It goes on learning what
others have decided, as that is a fact whichever server stores it. Writes are retried with backoff.

Free of I/O but for `save`, which is handed in, as the clock is. Times in ns.
"""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from petrelwood.decide.cluster.log_proposal import MS
from petrelwood.decide.cluster.log_records import Extract, Learn, Message, NotVoting, Reply
from petrelwood.decide.cluster.replicated_log import Replica
from petrelwood.decide.overload.backoff import Backoff
from petrelwood.errors import UnavailableError

FIRST_RETRY_DELAY = 100 * MS
MAX_RETRY_DELAY = 5_000 * MS
Save = Callable[[list[Any]], None]


class DiskFailedError(UnavailableError):
    """The log can't be written at present; another server may be able to serve the request."""


class DiskObserver(Protocol):
    """Receives the failures and recoveries of a replica's disk."""

    def disk_failed(self, error: OSError, retry_in: int) -> None:
        """Handle a failed write, to be retried in `retry_in` ns; the replica does not vote until then."""

    def disk_recovered(self, outage: int) -> None:
        """Handle the first successful write after an outage of `outage` ns; the replica may vote again."""


class DurableReplica:
    """A replica and its disk.

    `save(value)` makes `Replica.durable_state()` survive a crash, or raises OSError. `random_fraction()` is
    drawn in [0, 1).
    """

    def __init__(
        self,
        replica: Replica,
        save: Save,
        random_fraction: Callable[[], float],
        observer: DiskObserver,
    ) -> None:
        self.replica = replica
        self.failed_since: int | None = None
        self._error: OSError | None = None
        self._save = save
        self._observer = observer
        self._backoff = Backoff(FIRST_RETRY_DELAY, MAX_RETRY_DELAY, random_fraction)

    @property
    def failed(self) -> bool:
        """Return whether the disk has failed, so that the replica in memory may be ahead of it."""
        return self.failed_since is not None

    def require_disk(self) -> None:
        """Raise an error while the disk has failed.

        Raises:
            DiskFailedError: the last write failed.
        """
        if self._error is not None:
            raise DiskFailedError(
                f"this server does not vote: its log can't be written: {_reason(self._error)}"
            ) from self._error

    def answer(self, message: Message, now: int) -> Reply:
        """Return the reply to a message, once all that it depends on is durable.

        Raises:
            DiskFailedError: the message is a `Learn`, and what it carries could not be written.
        """
        if isinstance(message, Learn):
            reply = self.replica.answer(message)
            self.save_changes(now)
            self.require_disk()
            return reply
        if self.failed:
            return NotVoting()
        reply = self.replica.answer(message)
        return reply if self.save_changes(now) else NotVoting()

    def learn(self, extract: Extract, now: int) -> None:
        """Learn decided records, and write them."""
        self.replica.learn(extract)
        self.save_changes(now)

    def rejoin(self, voted_in: Mapping[str, int], servers: int, now: int) -> bool:
        """Rejoin as `Replica.rejoin` does; return whether the replica votes from now on."""
        return self.replica.rejoin(voted_in, servers) and self.save_changes(now)

    def save_changes(self, now: int) -> bool:
        """Write the state if it has changed; return whether all of it is on the disk.

        After a failure only `retry` writes.
        """
        if self.replica.changed and not self.failed:
            self._write(now)
        return not self.failed

    def retry(self, now: int) -> None:
        """Write the whole state again if the disk has failed and the backoff is over; to be called often."""
        if self.failed and self._backoff.may_retry(now):
            self._write(now)

    def _write(self, now: int) -> None:
        try:
            self._save(self.replica.durable_state())
        except OSError as error:
            self._failed(error, now)
            return
        self.replica.changed = False
        if self.failed_since is None:
            return
        outage = now - self.failed_since
        self.failed_since = None
        self._error = None
        self._backoff.succeeded()
        self._observer.disk_recovered(outage)

    def _failed(self, error: OSError, now: int) -> None:
        if self.failed_since is None:
            self.failed_since = now
        self._error = error
        retry_at = self._backoff.failed(now)
        self._observer.disk_failed(error, retry_at - now)


def _reason(error: OSError) -> str:
    return error.strerror or str(error)
