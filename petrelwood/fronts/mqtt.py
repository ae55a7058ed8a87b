"""The MQTT front: receives activations from a broker and answers them by the request/response pattern.

There is one session per customer (`mqtt_session`), so that the broker can distinguish customers and each has
its own window. Dispatchers distribute messages by a shared subscription.

`decide.delivery.mqtt_acknowledgement` decides when to acknowledge a message and how to handle a lost
connection; `decide.delivery.mqtt_topics` defines the topics; the intake, which all fronts share, decides
whether a message runs.
"""

import asyncio

from petrelwood.fronts.interfaces import MqttCore, MqttTerms
from petrelwood.fronts.mqtt_counts import MqttCounts
from petrelwood.fronts.mqtt_session import MqttSession
from petrelwood.links.interfaces import Logger


class Mqtt:
    """The MQTT sessions of all customers. `core` admits their messages."""

    def __init__(self, terms: MqttTerms, core: MqttCore, log: Logger) -> None:
        self.core = core
        self.sessions = [MqttSession(core, terms, customer, log) for customer in core.gateway.customers]
        self._draining: asyncio.Task[None] | None = None
        self._drain_deadline = 0  # ns

    def open(self) -> None:
        """Connect to the broker."""
        for session in self.sessions:
            session.task = self.core.loop.create_task(session.run())

    def check(self, now: int) -> None:
        """Check keep-alives and deadlines; called about twenty times per second, `now` in ns."""
        for session in self.sessions:
            session.check(now)

    def storm_changed(self, name: str, on: bool) -> None:
        """Do nothing: there are few sessions, and their windows adapt to the answers."""

    def drain(self) -> None:
        """Stop accepting messages and finish the admitted ones, because the process shuts down."""
        self.stop()

    def stop(self) -> None:
        """Start draining the sessions; wait for an unreachable broker up to the longest action timeout."""
        self._drain_deadline = self.core.now() + max(self.core.gateway.timeouts.values())
        self._draining = self.core.loop.create_task(self._drain())

    async def _drain(self) -> None:
        await asyncio.gather(*(session.drain() for session in self.sessions))

    def is_drained(self) -> bool:
        """Return whether all messages are answered and the broker has the answers."""
        if self._draining is None or not self._draining.done():
            return False
        return self.core.now() >= self._drain_deadline or all(each.is_idle() for each in self.sessions)

    def close_idle(self) -> None:
        """Close all sessions."""
        for session in self.sessions:
            session.close()

    def figures(self) -> MqttCounts:
        """Return the sums of the counts of all sessions."""
        total = MqttCounts()
        for session in self.sessions:
            total.add(session.counts)
        return total
