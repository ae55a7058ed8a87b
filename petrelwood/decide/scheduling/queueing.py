"""The queue of each function: sends to free slots, gives up expired activations, adds copies."""

from collections import deque
from heapq import heappop, heappush

from petrelwood.decide.scheduling.actions import Actions
from petrelwood.decide.scheduling.admission import Admission
from petrelwood.decide.scheduling.parameters import Parameters
from petrelwood.decide.scheduling.placement import CopyStart, Placement
from petrelwood.decide.scheduling.records import Activation, Copy, Function
from petrelwood.decide.scheduling.send_rules import SendRules

# Queued activations per slot that is in use or loading, above which a copy is added.
BACKLOG_PER_SLOT = 1.0
# Share of the target latency for which the oldest activation must have been queued before its function gets a
# further copy, because a slot may become free in the meantime.
COPY_DELAY_SHARE = 1 / 6
# At the limit of copies, the newest activations are rejected if the queue is longer than this multiple of the
# backlog above which a copy is added.
MAX_BACKLOG_FACTOR = 2


class Queueing:
    """Queues activations, and sends them or gives them up as slots, copies and time allow.

    Attributes:
        waiting: functions with queued activations, by key.
    """

    def __init__(
        self,
        parameters: Parameters,
        functions: dict[str, Function],
        activations: dict[str, Activation],
        rules: SendRules,
        admission: Admission,
        placement: Placement,
        actions: Actions,
    ) -> None:
        self.sweep_interval = parameters.sweep_interval
        self.tick = parameters.terms.tick
        self.copy_delay = parameters.target_latency * COPY_DELAY_SHARE  # ns
        self.functions = functions
        self.activations = activations
        self.rules = rules
        self.admission = admission
        self.placement = placement
        self.actions = actions
        self.waiting: dict[str, Function] = {}

    def enqueue(self, activation: Activation, now: int, is_retry: bool = False) -> None:
        """Queue an activation, at the front if it is a retry or hedged request, and dispatch its function."""
        # Since the activation was sent, its function may have been idle, forgotten and created again.
        function = self.functions.setdefault(activation.function.key, activation.function)
        activation.function = function
        if not activation.is_queued:
            if is_retry:
                function.queue.appendleft(activation)
            else:
                function.queue.append(activation)
            function.queued += 1
        activation.is_queued = True
        self.waiting[function.key] = function
        heappush(function.expiries, (self.rules.expiry(activation), activation))
        self.dispatch(function, now)
        if function.queued:
            self.actions.set_timer(now, self.sweep_interval)

    def dispatch_all(self, now: int) -> None:
        """Dispatch the queues of all functions, then low-priority activations to the remaining free slots."""
        for function in list(self.waiting.values()):
            self.dispatch(function, now)
        remaining = [
            function
            for function in self.waiting.values()
            if function.low_priority_queue or function.copy_added_at == now
        ]
        for function in remaining:
            self.dispatch(function, now, with_low_priority=True)

    def dispatch(self, function: Function, now: int, with_low_priority: bool = False) -> None:
        """Send to free slots, give up expired activations, then add copies, or reject at the limit of copies.

        The order matters: an activation that is sent to a free slot needs no further copy.
        """
        if function.queued:
            self._send_queued(function, now, with_low_priority)
        expiries = function.expiries
        while expiries and expiries[0][0] <= now:
            activation = heappop(expiries)[1]
            if activation.is_queued and self.activations.get(activation.id) is activation:
                self._handle_expiry(activation, now)
        while function.queued and now >= function.placement_paused_until:
            if not self._handle_backlog(function, now):
                break
        if (
            function.wants_copy
            and function.copies
            and not function.queued
            and now >= function.placement_paused_until
            and self._may_add_further_copy(function, now)
        ):
            function.wants_copy = not self._add_copy(function, None, now)
        if not function.queued:
            self.waiting.pop(function.key, None)

    def time_to_sweep(self, now: int) -> int:
        """Return the time to the next sweep, or to the next expiry if that is sooner, ns."""
        first = now + self.sweep_interval
        for function in self.waiting.values():
            if function.expiries:
                first = min(first, function.expiries[0][0])
        return min(self.sweep_interval, max(first - now, self.tick))

    def _send_queued(self, function: Function, now: int, with_low_priority: bool) -> None:
        """Send queued activations to free slots; those of low priority last, and only if requested."""
        if not any(copy.in_flight < function.slots for copy in function.copies.values()):
            function.wants_copy = False
            return
        self._send_from(function, function.queue, now, with_low_priority)
        if with_low_priority:
            self._send_from(function, function.low_priority_queue, now, with_low_priority)

    def _send_from(
        self, function: Function, queue: deque[Activation], now: int, with_low_priority: bool
    ) -> None:
        """Send from one of a function's queues until no slot is free."""
        unsent = []
        while queue:
            activation = queue.popleft()
            if not activation.is_queued:
                continue
            if not with_low_priority and self.admission.is_low_priority(activation, now):
                function.low_priority_queue.append(activation)
                continue
            if not self.rules.may_send(activation, now):
                self.actions.give_up(activation, now)
                continue
            copy = self.placement.find_free_copy(function, activation, now)
            if copy is not None:
                self._send(activation, copy, now)
                continue
            unsent.append(activation)
            if not activation.attempts:  # a retry may run on fewer copies, so it must not block the others
                break
        queue.extendleft(reversed(unsent))

    def _send(self, activation: Activation, copy: Copy, now: int) -> None:
        """Remove an activation from its queue and send it."""
        activation.function.dequeue(activation)
        self.actions.send(activation, copy, now)

    def _handle_expiry(self, activation: Activation, now: int) -> None:
        """Send an expired activation to any free slot, or give it up.

        It remains queued with a new expiry if the estimate of its service time has changed, or if it has an
        attempt in flight, because it is given up later then.
        """
        may_send = self.rules.may_send(activation, now)
        function = activation.function
        if may_send and (activation.in_flight or now <= self.rules.queueing_limit(activation)):
            heappush(function.expiries, (max(now + 1, self.rules.expiry(activation)), activation))
            return
        copy = self.placement.find_free_copy(function, activation, now) if may_send else None
        if copy is not None:
            self._send(activation, copy, now)
        else:
            self.actions.give_up(activation, now)

    def _handle_backlog(self, function: Function, now: int) -> bool:
        """Add a copy if the queue is long, or reject the newest if the limit of copies is reached.

        Returns:
            Whether a copy was added, so that the backlog must be checked again.
        """
        copies = self.placement.useful_copies(function, now)
        slots = sum(function.slots if copy.loading_since else copy.in_flight for copy in copies)
        if function.queued <= BACKLOG_PER_SLOT * slots:
            return False
        # This check is the last one because `oldest_queued` drops stale entries, and `dispatch_all` tests
        # whether the low-priority queue is empty.
        if function.copies and now - function.oldest_queued().arrived_at < self.copy_delay:
            return False
        if len(copies) >= self.placement.copy_limit():
            longest = MAX_BACKLOG_FACTOR * BACKLOG_PER_SLOT * len(copies) * function.slots
            while function.queued > longest:
                self.actions.give_up(function.newest_queued(), now)
            return False
        if copies and not self._may_add_further_copy(function, now):
            return False
        return self._add_copy(function, function.oldest_queued(), now)

    def _may_add_further_copy(self, function: Function, now: int) -> bool:
        """Return whether the function may get a further copy.

        If it has queued activations, it must have the most per copy of all functions.
        """
        if not self.placement.may_add_further_copy(now):
            return False
        if not function.queued:
            return True
        longest = max(self.waiting.values(), default=function, key=_queued_per_copy)
        return function is longest

    def _add_copy(self, function: Function, activation: Activation | None, now: int) -> bool:
        """Add a copy, start it by an attempt or a load order, and return whether it was started."""
        candidates = self.placement.find_candidates(function, activation, now)
        if candidates is None:
            return False
        if self.actions.check_health(candidates.workers, now):
            return False  # the copy is added when they have answered, or at the next sweep
        copy = self.placement.add_copy(function, candidates, now)
        if candidates.start is CopyStart.ATTEMPT and activation is not None:
            self._send(activation, copy, now)
            return True
        return self.actions.order_load(function, copy.worker, now)


def _queued_per_copy(function: Function) -> float:
    return function.queued / (len(function.copies) or 1)
