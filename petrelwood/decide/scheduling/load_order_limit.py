"""The rate limit of load orders, and the limit of further copies that load at a time.

The platform allows so many load orders in each period, and so many more for each activation that was taken
(`ports.LoadOrders`). An activation is credited once it was sent to a function that exists and its client has
stayed for a while: floods of activations that are cancelled, or that call unknown functions, earn nothing.

An order passes the limit twice: `may_order` when it is decided, and `may_leave` when a link hands it to the
socket, as it may have waited for a connection meanwhile. `withdraw` takes off one that never left.
"""

from collections import deque

from petrelwood.decide.scheduling.parameters import Parameters
from petrelwood.decide.scheduling.records import Activation, Copy, Function, LoadCredit
from petrelwood.decide.scheduling.window_counter import BUCKETS, BackdatedCounter

# Python 3.11 is slow to look a member up on its enum, and these are looked up for each activation.
NO_CREDIT = LoadCredit.NONE
PENDING = LoadCredit.PENDING
COUNTED = LoadCredit.COUNTED
# Part of the target latency for which a client must have stayed before its activation counts.
CREDIT_DELAY = 1 / 6
# Further copies that load at a time, for each worker of this dispatcher's part of the fleet: a copy pushes
# others out of its worker, whose functions load again elsewhere.
LOADS_AT_ONCE = 1 / 8
# Target latencies, or load times if these are longer, for which a further copy counts as loading unless its
# load is known to have ended.
FURTHER_LOAD_TIMEOUT = 2
# Target latencies after a failed load in which no function gets a further copy: a crowded store rejects
# fetches, and fails altogether if they go on.
FURTHER_COPIES_PAUSE = 2
# The function whose load failed gets no copy at all for the target latency divided by this.
FUNCTION_PAUSE_DIVISOR = 4


class LoadOrderLimit:
    """Counts load orders, and the activations that are credited for them, over the last period.

    Attributes:
        credited: activations that count, at their times of arrival.
        ordered: load orders, at the times when they were decided or, if they waited, when they left.
        no_further_copies_until: no function gets a further copy before this time, ns.
    """

    def __init__(self, now: int, parameters: Parameters, activations: dict[str, Activation]) -> None:
        orders = parameters.terms.orders
        self.orders = orders
        self.dispatchers = parameters.terms.dispatchers
        self.target_latency = parameters.target_latency
        self.activations = activations
        self.credited = BackdatedCounter(orders.period or 1)
        self.ordered = BackdatedCounter(orders.period or 1)
        self.credit_delay = min(int(self.target_latency * CREDIT_DELAY), orders.period // BUCKETS)
        self.pending: deque[tuple[int, Activation]] = deque()  # with the time when each counts
        self.copies_loading: list[
            tuple[Copy, int]
        ] = []  # further copies, with the time when they count no longer
        self.no_further_copies_until = now

    def credit(self, activation: Activation, now: int) -> None:
        """Credit an activation that was sent, after a delay, if its function exists and its client stays."""
        if (
            activation.function.exists
            and activation.load_credit is NO_CREDIT
            and self.activations.get(activation.id) is activation
        ):
            activation.load_credit = PENDING
            self.pending.append((now + self.credit_delay, activation))
        self._count_pending(now)

    def revoke(self, activation: Activation) -> None:
        """Take the credit of an activation back, as its client has departed."""
        self.credited.add(activation.arrived_at, -1 if activation.load_credit is COUNTED else 0)
        activation.load_credit = NO_CREDIT

    def may_order(self, now: int, part: float = 1.0) -> bool:
        """Return whether one more load may be ordered within `part` of the limit."""
        self._count_pending(now)
        ordered = self.ordered.upper_bound(now)
        orders = self.orders
        if not orders.allowed or not orders.period:
            return orders.allowed
        return ordered + 1 <= part * (
            orders.base_orders + orders.orders_per_activation * self.credited.lower_bound(now)
        )

    def record_order(self, now: int) -> None:
        """Count a load order."""
        self.ordered.add(now)

    def may_leave(self, now: int, given_at: int) -> bool:
        """Return whether an order that was decided at `given_at` and has waited may leave now.

        If so, it is counted at `now` in place of `given_at`.
        """
        self.ordered.add(given_at, -1)
        may_leave = self.may_order(now)
        self.ordered.add(now if may_leave else given_at)
        return may_leave

    def withdraw(self, given_at: int) -> None:
        """Take an order that was decided at `given_at` and never left off the count."""
        self.ordered.add(given_at, -1)

    def restore(self, now: int, orders: int) -> None:
        """Count the orders that an earlier incarnation gave in the last period, as of now."""
        self.ordered.add(now, orders)

    def may_add_further_copy(self, now: int, fleet_size: int) -> bool:
        """Return whether a function that has a copy may get another, as few may load at a time.

        Further copies whose load has ended are forgotten first.
        """
        self.copies_loading = [
            (copy, until) for copy, until in self.copies_loading if copy.loading_since and now < until
        ]
        at_once = max(1, int(LOADS_AT_ONCE * fleet_size / self.dispatchers))
        return now >= self.no_further_copies_until and len(self.copies_loading) < at_once

    def record_further_copy(self, copy: Copy, function: Function, now: int) -> None:
        """Count a further copy of the function as loading."""
        until = now + FURTHER_LOAD_TIMEOUT * max(self.target_latency, function.load_time)
        self.copies_loading.append((copy, until))

    def load_failed(self, function: Function, now: int) -> None:
        """Pause loads of the function, and further copies of all functions, after a failed load."""
        function.placement_paused_until = now + self.target_latency // FUNCTION_PAUSE_DIVISOR
        self.no_further_copies_until = now + FURTHER_COPIES_PAUSE * self.target_latency

    def _count_pending(self, now: int) -> None:
        """Credit the pending activations whose delay is over."""
        pending = self.pending
        while pending and pending[0][0] <= now:
            activation = pending.popleft()[1]
            if activation.load_credit is PENDING:
                activation.load_credit = COUNTED
                self.credited.add(activation.arrived_at)
