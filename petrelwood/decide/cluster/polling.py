"""When to poll the roster: at a steady interval while it answers, sooner after a lost query. Times in ns."""

from collections.abc import Callable

MILLISECOND = 1_000_000
INTERVAL = 250 * MILLISECOND  # the roster may know of an event 1.5 s late, and waits for no one
RETRY_INTERVAL = 80 * MILLISECOND  # after a query that has no answer yet
# an answer counts for the time of its query, up to this much later
ANSWER_LIFETIME = 4_500 * MILLISECOND
MAX_OPEN_QUERIES = ANSWER_LIFETIME // RETRY_INTERVAL  # whose answers are still taken
QUERY_IDS = 65_536


class RosterPolling:
    """The open queries to one roster, and when to send the next; `random_fraction()` is drawn in [0, 1)."""

    __slots__ = ("random_fraction", "next_at", "open_queries")

    def __init__(self, random_fraction: Callable[[], float]) -> None:
        self.random_fraction = random_fraction
        self.open_queries: dict[int, int] = {}  # id -> when it was sent, oldest first
        self.next_at = 0

    def is_due(self, now: int) -> bool:
        """Return whether a query is to be sent now."""
        return now >= self.next_at

    def begin_query(self, now: int) -> int:
        """Return the id of a query that is sent now."""
        query_id = int(self.random_fraction() * QUERY_IDS)
        self.open_queries.pop(query_id, None)
        self.open_queries[query_id] = now
        if len(self.open_queries) > MAX_OPEN_QUERIES:
            del self.open_queries[next(iter(self.open_queries))]
        self.next_at = now + RETRY_INTERVAL
        return query_id

    def end_query(self, query_id: int) -> int | None:
        """Return when the query of an answer was sent, or None if none is open under this id."""
        return self.open_queries.pop(query_id, None)

    def on_usable_answer(self, now: int) -> None:
        """Schedule the next query a whole interval later, after an answer with a usable list."""
        self.next_at = now + INTERVAL

    def restart(self, now: int) -> None:
        """Forget all open queries and poll at once, as another roster is polled from now on."""
        self.open_queries.clear()
        self.next_at = now
