"""The MQTT front: activations from a broker, answers by request/response, on the same core as the webhooks.

One session for each customer (`mqtt_session`), so that the broker tells them apart and each has a window of
its own; dispatchers share the work by a shared subscription. What is acknowledged when, and what a lost
connection means, is decided in `decide.delivery.mqtt_acknowledgement`; topics in
`decide.delivery.mqtt_topics`; whether a message runs, in the intake that all fronts share.
"""

import asyncio

from petrelwood.fronts.interfaces import MqttCore, MqttTerms
from petrelwood.fronts.mqtt_counts import MqttCounts
from petrelwood.fronts.mqtt_session import MqttSession
from petrelwood.links.interfaces import Logger


class Mqtt:
    """The sessions of all customers. `core` admits their messages."""

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
        """Check keep-alives and deadlines; called some twenty times a second, `now` in ns."""
        for session in self.sessions:
            session.check(now)

    def storm_changed(self, name: str, on: bool) -> None:
        """Do nothing: sessions are few, and their windows follow the answers."""

    def drain(self) -> None:
        """Take nothing new and finish what has begun, as the process ends."""
        self.stop()

    def stop(self) -> None:
        """Begin to end the sessions; a broker that is away is waited for no longer than a client waits."""
        self._drain_deadline = self.core.now() + max(self.core.gateway.timeouts.values())
        self._draining = self.core.loop.create_task(self._drain())

    async def _drain(self) -> None:
        await asyncio.gather(*(session.drain() for session in self.sessions))

    def is_drained(self) -> bool:
        """Return whether all is answered and the broker has the answers."""
        if self._draining is None or not self._draining.done():
            return False
        return self.core.now() >= self._drain_deadline or all(each.is_idle() for each in self.sessions)

    def close_idle(self) -> None:
        """Disconnect."""
        for session in self.sessions:
            session.close()

    def figures(self) -> MqttCounts:
        """Return the counts of all sessions together."""
        total = MqttCounts()
        for session in self.sessions:
            total.add(session.counts)
        return total
