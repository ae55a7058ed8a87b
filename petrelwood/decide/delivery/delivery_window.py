"""An adaptive window that limits the activations in flight of one broker session."""

INITIAL_SIZE_FACTOR = 4  # the initial size is the minimum times this
DECREASE_FACTOR = 0.8  # multiplies the size when an answer is late or rejected


class DeliveryWindow:
    """The limit of the activations in flight of one session, between `least` and `most`.

    It grows by one for each window of answers in time. It shrinks by a fifth when an answer is late or
    rejected, and then not again for the duration of that activation.
    """

    def __init__(self, least: int, most: int) -> None:
        self.least = least
        self.most = most
        self.size = float(min(most, INITIAL_SIZE_FACTOR * least))
        self.next_decrease_at = 0

    def on_answer(self, now: int, in_time: bool, duration: int) -> None:
        """Adjust the window after an activation has ended.

        Args:
            now: the current time, ns.
            in_time: whether the activation completed in time.
            duration: ns from its arrival to its answer.
        """
        if in_time:
            self.size = min(self.most, self.size + 1 / self.size)
        elif now >= self.next_decrease_at:
            self.size = max(self.least, self.size * DECREASE_FACTOR)
            self.next_decrease_at = now + duration

    def has_room(self, in_flight: int) -> bool:
        """Return whether one more activation may begin while `in_flight` others run."""
        return in_flight < int(self.size)
