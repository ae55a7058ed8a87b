"""The rate limit of load orders, and the limit of further copies that load concurrently.

The platform allows a base number of load orders per period, and an additional number for each accepted
activation (`ports.LoadOrders`). An activation is credited when it has been sent, its function is known to
exist and its client has not cancelled it within a delay. Therefore floods of activations that are cancelled,
or that call unknown functions, do not raise the limit.

A load order is checked twice: by `may_order` when it is decided, and by `may_leave` when a link writes it to
the socket, because it may have waited for a connection. `withdraw` uncounts an order that was never sent.
"""

from collections import deque

from petrelwood.decide.scheduling.parameters import Parameters
from petrelwood.decide.scheduling.records import Activation, Copy, Function, LoadCredit
from petrelwood.decide.scheduling.window_counter import BUCKETS, BackdatedCounter

# Python 3.11 is slow to look a member up on its enum, and these are looked up for each activation.
NO_CREDIT = LoadCredit.NONE
PENDING = LoadCredit.PENDING
COUNTED = LoadCredit.COUNTED
# Share of the target latency for which the client must not cancel an activation before it is credited.
CREDIT_DELAY_SHARE = 1 / 6
# Further copies that may load concurrently, per worker in this dispatcher's part of the fleet. It is limited
# because a new copy evicts other copies from its worker, whose functions are then loaded again elsewhere.
CONCURRENT_LOADS_PER_WORKER = 1 / 8
# Multiple of the target latency, or of the load time if that is longer, for which a further copy counts as
# loading unless its load is known to have ended.
FURTHER_LOAD_TIMEOUT_FACTOR = 2
# Multiple of the target latency after a failed load in which no function gets a further copy, because an
# overloaded store rejects fetches, and fails completely if they continue.
FURTHER_COPIES_PAUSE_FACTOR = 2
# A function whose load failed gets no copy at all for the target latency divided by this.
FUNCTION_PAUSE_DIVISOR = 4


class LoadOrderLimit:
    """Counts load orders, and the activations that are credited for them, over the last period.

    Attributes:
        credited: the credited activations, counted at their arrival times.
        ordered: load orders, counted when they were decided or, if they were delayed, when they were sent.
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
        self.credit_delay = min(int(self.target_latency * CREDIT_DELAY_SHARE), orders.period // BUCKETS)
        self.pending: deque[tuple[int, Activation]] = deque()  # (time at which it is credited, activation)
        self.copies_loading: list[
            tuple[Copy, int]
        ] = []  # (further copy, time after which it no longer counts as loading)
        self.no_further_copies_until = now

    def credit(self, activation: Activation, now: int) -> None:
        """Schedule the credit of a sent activation, if its function exists and its client still waits."""
        if (
            activation.function.exists
            and activation.load_credit is NO_CREDIT
            and self.activations.get(activation.id) is activation
        ):
            activation.load_credit = PENDING
            self.pending.append((now + self.credit_delay, activation))
        self._count_pending(now)

    def revoke(self, activation: Activation) -> None:
        """Revoke the credit of an activation, as its client has departed."""
        self.credited.add(activation.arrived_at, -1 if activation.load_credit is COUNTED else 0)
        activation.load_credit = NO_CREDIT

    def may_order(self, now: int, share: float = 1.0) -> bool:
        """Return whether one more load may be ordered within this share of the limit."""
        self._count_pending(now)
        ordered = self.ordered.upper_bound(now)
        orders = self.orders
        if not orders.allowed or not orders.period:
            return orders.allowed
        return ordered + 1 <= share * (
            orders.base_orders + orders.orders_per_activation * self.credited.lower_bound(now)
        )

    def record_order(self, now: int) -> None:
        """Count a load order."""
        self.ordered.add(now)

    def may_leave(self, now: int, given_at: int) -> bool:
        """Return whether a delayed load order that was decided at `given_at` may be sent now.

        If so, it is counted at `now` instead of `given_at`.
        """
        self.ordered.add(given_at, -1)
        may_leave = self.may_order(now)
        self.ordered.add(now if may_leave else given_at)
        return may_leave

    def withdraw(self, given_at: int) -> None:
        """Uncount a load order that was decided at `given_at` and was never sent."""
        self.ordered.add(given_at, -1)

    def restore(self, now: int, orders: int) -> None:
        """Count at `now` the orders that an earlier incarnation sent in the last period."""
        self.ordered.add(now, orders)

    def may_add_further_copy(self, now: int, fleet_size: int) -> bool:
        """Return whether a function that has a copy may get another, as only a few may load concurrently.

        Further copies whose load has ended are removed first.
        """
        self.copies_loading = [
            (copy, until) for copy, until in self.copies_loading if copy.loading_since and now < until
        ]
        max_loading = max(1, int(CONCURRENT_LOADS_PER_WORKER * fleet_size / self.dispatchers))
        return now >= self.no_further_copies_until and len(self.copies_loading) < max_loading

    def record_further_copy(self, copy: Copy, function: Function, now: int) -> None:
        """Count a further copy of the function as loading."""
        until = now + FURTHER_LOAD_TIMEOUT_FACTOR * max(self.target_latency, function.load_time)
        self.copies_loading.append((copy, until))

    def load_failed(self, function: Function, now: int) -> None:
        """Pause placements of the function, and further copies of all functions, after a failed load."""
        function.placement_paused_until = now + self.target_latency // FUNCTION_PAUSE_DIVISOR
        self.no_further_copies_until = now + FURTHER_COPIES_PAUSE_FACTOR * self.target_latency

    def _count_pending(self, now: int) -> None:
        """Credit the pending activations whose delay is over."""
        pending = self.pending
        while pending and pending[0][0] <= now:
            activation = pending.popleft()[1]
            if activation.load_credit is PENDING:
                activation.load_credit = COUNTED
                self.credited.add(activation.arrived_at)
