"""What a dispatcher tells its links about calls that wait in them: whether they may still be written.

The decision module decides; see `dispatch.interfaces.DecisionModule`.
"""

from collections.abc import Callable

from petrelwood.dispatch.interfaces import DecisionModule


class QueuedCallChecks:
    """The part of the core that the links ask before they write a call that was queued.

    Attributes:
        now: returns the monotonic time in ns.
        scheduler: the decision module.
    """

    now: Callable[[], int]
    scheduler: DecisionModule

    def is_attempt_outdated(self, activation_id: str, attempt: int, worker: str) -> bool:
        """Return whether an attempt that is queued for its worker may no longer be written."""
        return self.scheduler.is_attempt_outdated(self.now(), activation_id, attempt, worker)

    def may_attempt_leave(self, activation_id: str, attempt: int, worker: str) -> bool:
        """Return whether an attempt that was queued for its worker may be written now."""
        return self.scheduler.may_attempt_leave(self.now(), activation_id, attempt, worker)

    def may_send_order(self, given_at: int) -> bool:
        """Return whether a load order that was issued at `given_at` may be sent now."""
        return self.scheduler.may_load_order_leave(self.now(), given_at)

    def order_not_sent(self, given_at: int) -> None:
        """Withdraw a load order that was issued at `given_at` and will never be sent."""
        self.scheduler.load_order_withdrawn(self.now(), given_at)
