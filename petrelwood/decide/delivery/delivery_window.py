"""How many activations of one broker session may be in flight: an adaptive window."""

INITIAL_SIZE = 4  # times the least one
DECREASE = 0.8


class DeliveryWindow:
    """How many activations of one session may be in flight.

    It grows by one for each window of answers in time, and is cut by a fifth, once for each usual answer's
    time, when one is late or rejected.
    """

    def __init__(self, least: int, most: int) -> None:
        self.least = least
        self.most = most
        self.size = float(min(most, INITIAL_SIZE * least))
        self.next_decrease_at = 0

    def on_answer(self, now: int, in_time: bool, duration: int) -> None:
        """An activation of the session has ended."""
        if in_time:
            self.size = min(self.most, self.size + 1 / self.size)
        elif now >= self.next_decrease_at:
            self.size = max(self.least, self.size * DECREASE)
            self.next_decrease_at = now + duration

    def has_room(self, in_flight: int) -> bool:
        """Whether one more may begin beside these."""
        return in_flight < int(self.size)
