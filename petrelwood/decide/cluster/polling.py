"""Polling of the roster: at a fixed interval while it answers, sooner after a lost query. Times in ns."""

from collections.abc import Callable

MILLISECOND = 1_000_000
# After a usable answer. The roster may learn of an event 1.5 s late, and does not delay an answer to wait for
# one.
INTERVAL = 250 * MILLISECOND
RETRY_INTERVAL = 80 * MILLISECOND  # after a query that has no answer yet
# Period after a query in which its answer is accepted; the answer is dated by the time of the query.
ANSWER_LIFETIME = 4_500 * MILLISECOND
MAX_OPEN_QUERIES = ANSWER_LIFETIME // RETRY_INTERVAL  # open queries whose answers are still accepted
QUERY_IDS = 65_536  # number of different query ids


class RosterPolling:
    """The open queries to one roster and the time of the next one.

    `random_fraction()` returns a random number in [0, 1).
    """

    __slots__ = ("random_fraction", "next_at", "open_queries")

    def __init__(self, random_fraction: Callable[[], float]) -> None:
        self.random_fraction = random_fraction
        self.open_queries: dict[int, int] = {}  # id -> time of sending, oldest first
        self.next_at = 0

    def is_due(self, now: int) -> bool:
        """Return whether a query must be sent now."""
        return now >= self.next_at

    def begin_query(self, now: int) -> int:
        """Record a query that is sent now, and return its id."""
        query_id = int(self.random_fraction() * QUERY_IDS)
        self.open_queries.pop(query_id, None)
        self.open_queries[query_id] = now
        if len(self.open_queries) > MAX_OPEN_QUERIES:
            del self.open_queries[next(iter(self.open_queries))]
        self.next_at = now + RETRY_INTERVAL
        return query_id

    def end_query(self, query_id: int) -> int | None:
        """Close the query with this id; return when it was sent, or None if no such query is open."""
        return self.open_queries.pop(query_id, None)

    def on_usable_answer(self, now: int) -> None:
        """Schedule the next query after `INTERVAL`, because an answer contained a usable list."""
        self.next_at = now + INTERVAL

    def restart(self, now: int) -> None:
        """Forget all open queries and poll immediately, because another roster is polled from now on."""
        self.open_queries.clear()
        self.next_at = now
