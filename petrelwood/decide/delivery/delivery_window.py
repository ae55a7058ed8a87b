"""An adaptive window that bounds the activations of one broker session in flight."""

INITIAL_SIZE = 4  # times the least one
DECREASE = 0.8


class DeliveryWindow:
    """The bound on the activations of one session in flight, between `least` and `most`.

    It grows by one for each window of answers in time, and shrinks by a fifth when an answer is late or
    rejected, at most once in the duration of such an activation.
    """

    def __init__(self, least: int, most: int) -> None:
        self.least = least
        self.most = most
        self.size = float(min(most, INITIAL_SIZE * least))
        self.next_decrease_at = 0

    def on_answer(self, now: int, in_time: bool, duration: int) -> None:
        """Adjust the window to the end of an activation.

        Args:
            now: ns.
            in_time: whether it completed in time.
            duration: ns from its arrival to its answer.
        """
        if in_time:
            self.size = min(self.most, self.size + 1 / self.size)
        elif now >= self.next_decrease_at:
            self.size = max(self.least, self.size * DECREASE)
            self.next_decrease_at = now + duration

    def has_room(self, in_flight: int) -> bool:
        """Return whether one more activation may begin beside `in_flight` others."""
        return in_flight < int(self.size)
