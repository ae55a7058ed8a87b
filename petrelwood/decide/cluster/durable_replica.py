"""A replica that replies only after the state on which the reply depends is on disk, even if the disk fails.

After a failed write the state in memory is ahead of the disk: it may contain promises or accepted records
that a restart would lose. Other servers have seen none of these, because a reply is returned only after its
write. The replica replies `NotVoting` until a later write of the whole state succeeds. It continues to learn
decided records, because a decided record is final whichever server stores it. Writes are retried with
backoff.

This module does no I/O itself: `save` and the current time are passed in. Times in ns.
"""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from petrelwood.decide.cluster.log_proposal import MS
from petrelwood.decide.cluster.log_records import Extract, Learn, Message, NotVoting, Reply
from petrelwood.decide.cluster.replicated_log import Replica
from petrelwood.decide.overload.backoff import Backoff
from petrelwood.errors import UnavailableError

FIRST_RETRY_DELAY = 100 * MS  # after the first failed write
MAX_RETRY_DELAY = 5_000 * MS
Save = Callable[[list[Any]], None]


class DiskFailedError(UnavailableError):
    """The log can't currently be written; another server may be able to serve the request."""


class DiskObserver(Protocol):
    """Receives the failures and recoveries of a replica's disk."""

    def disk_failed(self, error: OSError, retry_in: int) -> None:
        """Handle a failed write; it is retried in `retry_in` ns, until then the replica does not vote."""

    def disk_recovered(self, outage: int) -> None:
        """Handle the first successful write after an outage of `outage` ns; the replica may vote again."""


class DurableReplica:
    """A replica and its disk.

    `save(value)` stores the result of `Replica.durable_state()` such that it survives a crash, or raises
    OSError. `random_fraction()` returns a random number in [0, 1).
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
        """Return whether the last write failed, so that the state in memory may be ahead of the disk."""
        return self.failed_since is not None

    def require_disk(self) -> None:
        """Raise an error if the last write to the disk failed.

        Raises:
            DiskFailedError: the last write failed.
        """
        if self._error is not None:
            raise DiskFailedError(
                f"this server does not vote: its log can't be written: {_reason(self._error)}"
            ) from self._error

    def answer(self, message: Message, now: int) -> Reply:
        """Return the reply to a message, after making the state on which it depends durable.

        Raises:
            DiskFailedError: the message is a `Learn` and its records could not be written.
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
        """Apply decided records, and write them."""
        self.replica.learn(extract)
        self.save_changes(now)

    def rejoin(self, voted_in: Mapping[str, int], servers: int, now: int) -> bool:
        """Rejoin by `Replica.rejoin`; return whether the replica votes from now on."""
        return self.replica.rejoin(voted_in, servers) and self.save_changes(now)

    def save_changes(self, now: int) -> bool:
        """Write the state if it has changed; return whether the whole state is on disk.

        After a failed write, only `retry` writes.
        """
        if self.replica.changed and not self.failed:
            self._write(now)
        return not self.failed

    def retry(self, now: int) -> None:
        """Write the whole state again if the last write failed and the backoff has elapsed; call it often."""
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
