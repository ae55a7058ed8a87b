"""The activations that still need an answer: each admitted one gets exactly one final answer, in time.

This module tracks the attempts in flight of each activation, the clients that wait for its answer, and its
deadline. The dispatcher reports events to it and acts on the results. An activation can end only once: a
second answer is counted as a fault and not sent.
"""

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from petrelwood.decide.delivery.ledger import ActivationState, Key, Ledger

if TYPE_CHECKING:
    from petrelwood.decide.overload.intake import ActivationRequest

# The number of deadlines of ended activations that are kept in any case; beyond it they are removed once they
# are more than half of all.
MIN_ENDED_DEADLINES = 256


class AdmissionObserver(Protocol):
    """Receives the admissions and ends of activations; see `decide.overload.intake`."""

    def on_admitted(self, customer: str, id_: str, /) -> object:
        """Handle the admission of an activation."""

    def on_ended(
        self, now: int, customer: str, type_name: str, duration: int, outcome: ActivationState, /
    ) -> object:
        """Handle the end of an activation, `duration` ns after its arrival."""


class FunctionRule(Protocol):
    """The properties of a function that its settings or the client state before it runs."""

    @property
    def lanes(self) -> int:
        """Return how many activations one copy runs at a time."""

    @property
    def load_time(self) -> int:
        """Return how long a copy takes to load, ns; 0 if it is not known."""

    @property
    def work(self) -> int:
        """Return how long an activation computes, ns; 0 if it is not known."""


class Waiter(NamedTuple):
    """The exchange of a client that waits for the answer at a front, and its deadline in ns."""

    exchange: Any
    due: int


@dataclass(slots=True, eq=False)
class PendingActivation:
    """One activation that needs an answer. Times in ns."""

    id: str
    key: Key
    customer: str
    type: str
    arrived_at: int
    due: int
    function: Any
    body: bytes
    lanes: int
    load_time: int
    work: int
    idempotency_mark: Any  # by which workers recognise repeats, if it is not the id
    number: int  # consecutive, in the order of admission
    in_flight: set[int]  # numbers of the attempts that have not ended
    waiters: list[Waiter]
    attempts: int = 0  # attempts begun so far


class Overdue(NamedTuple):
    """An activation past a deadline: its own, or that of some of its waiters."""

    activation: PendingActivation
    late: list[Any]  # exchanges whose own deadline has passed while the activation continues
    is_final: bool  # whether the deadline of the activation itself has passed


class PendingActivations:
    """All activations of one dispatcher that need an answer. Times in ns.

    `ledger`: None if earlier attempts are not remembered. `prefix`: the beginning of the ids generated here;
    None if activations keep the ids of their requests, which must then be unique among the pending ones.
    """

    def __init__(self, intake: AdmissionObserver, ledger: Ledger | None, prefix: str | None = "") -> None:
        self.intake = intake
        self.ledger = ledger
        self.prefix = prefix
        self.activations: dict[str, PendingActivation] = {}
        self.by_key: dict[Key, PendingActivation] = {}
        self.last_number = 0
        self._deadlines: list[tuple[int, int, PendingActivation]] = []  # a heap of (due, number, activation)
        self.counts: dict[str, int] = {
            "taken": 0,
            ActivationState.COMPLETED.value: 0,
            ActivationState.REJECTED.value: 0,
            ActivationState.ABORTED.value: 0,
            ActivationState.CLIENT_LEFT.value: 0,
            "overdue": 0,
            "twice": 0,
            "joined": 0,
            "defects": 0,
        }

    # Clients
    def admit(
        self,
        request: "ActivationRequest",
        due: int,
        function: object,
        rule: FunctionRule,
        body: bytes,
        exchange: object,
    ) -> PendingActivation:
        """Add and return a new activation, for an `intake.ActivationRequest` whose outcome was ADMIT."""
        self.last_number += 1
        key = (request.customer, request.id)
        id_ = request.id if self.prefix is None else f"{self.prefix}{self.last_number}"
        # Positional arguments, because keyword arguments take a third longer on this per-request path.
        activation = PendingActivation(
            id_,
            key,
            request.customer,
            request.type,
            request.arrived_at,
            due,
            function,
            body,
            rule.lanes,
            rule.load_time,
            rule.work,
            request.idempotency_mark,
            self.last_number,
            set(),
            [],
        )
        self.activations[activation.id] = activation
        self.by_key[key] = activation
        self._wait(activation, exchange, due)
        if self.ledger is not None:
            self.ledger.entries[key].activation_id = activation.id
        self.intake.on_admitted(*key)
        self.counts["taken"] += 1
        return activation

    def join(self, key: Key, due: int, exchange: object) -> bool:
        """Add a retry that waits for the answer of a pending activation; return False if there is none."""
        activation = self.by_key.get(key)
        if activation is None:
            return False
        self._wait(activation, exchange, due)
        self.counts["joined"] += 1
        return True

    def _wait(self, activation: PendingActivation, exchange: object, due: int) -> None:
        activation.waiters.append(Waiter(exchange, due))
        heapq.heappush(self._deadlines, (due, activation.number, activation))

    def client_departed(self, activation_id: str, exchange: object) -> bool:
        """Remove a departed client's exchange; return True if no other waits and the activation may end."""
        activation = self.activations.get(activation_id)
        if activation is None:
            return False
        activation.waiters = [one for one in activation.waiters if one.exchange is not exchange]
        outlives_client = self.ledger is not None and self.ledger.outlives_client(activation.type)
        return not activation.waiters and not outlives_client

    # Attempts
    def begin_attempt(self, activation_id: str) -> int | None:
        """Return the number of a new attempt, or None if the activation has ended."""
        activation = self.activations.get(activation_id)
        if activation is None:
            return None
        attempt = activation.attempts
        activation.attempts += 1
        activation.in_flight.add(attempt)
        return attempt

    def end_attempt(self, activation_id: str, attempt: int) -> bool:
        """End an attempt; return whether it was in flight and its activation still needs an answer."""
        activation = self.activations.get(activation_id)
        if activation is None or attempt not in activation.in_flight:
            return False
        activation.in_flight.remove(attempt)
        return True

    # Answers
    def end(
        self, now: int, activation_id: str, outcome: ActivationState, body: bytes | None = None
    ) -> PendingActivation | None:
        """End an activation; return it with its waiters, or None if it had ended before."""
        activation = self.activations.pop(activation_id, None)
        if activation is None:
            self.counts["twice"] += 1
            return None
        if self.by_key.get(activation.key) is activation:
            del self.by_key[activation.key]
        # Free the body now: the heap of deadlines refers to the activation until its deadline.
        activation.body = b""
        self.counts[outcome] += 1
        duration = now - activation.arrived_at
        self.intake.on_ended(now, activation.customer, activation.type, duration, outcome)
        if self.ledger is not None:
            self.ledger.end(activation.key, outcome, body, activation.attempts > 0)
        self._remove_ended_deadlines()
        return activation

    # Deadlines
    def _is_open(self, activation: PendingActivation) -> bool:
        # A new activation may have the id of one that has ended.
        return self.activations.get(activation.id) is activation

    def _remove_ended_deadlines(self) -> None:
        """Keep the heap from growing with every activation that ends long before its deadline."""
        if len(self._deadlines) > 2 * len(self.activations) + MIN_ENDED_DEADLINES:
            self._deadlines = [entry for entry in self._deadlines if self._is_open(entry[2])]
            heapq.heapify(self._deadlines)

    def next_deadline(self) -> int | None:
        """Return the earliest deadline, or None if no activation is pending."""
        while self._deadlines and not self._is_open(self._deadlines[0][2]):
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def overdue(self, now: int) -> list[Overdue]:
        """Return the activations that are past a deadline, and remove their expired waiters."""
        found = []
        while self._deadlines and self._deadlines[0][0] <= now:
            activation = heapq.heappop(self._deadlines)[2]
            if not self._is_open(activation):
                continue
            if now >= activation.due:
                found.append(Overdue(activation, [], True))
                continue
            late = [waiter.exchange for waiter in activation.waiters if waiter.due <= now]
            activation.waiters = [waiter for waiter in activation.waiters if waiter.due > now]
            found.append(Overdue(activation, late, False))
        return found
