"""The successor's side of a hand-over: the process that replaces the serving one.

It receives the listeners and serves on them, is notified of the outcomes of the predecessor's activations in
flight, and gives back if it performs worse than the predecessor did. The decisions are made in
`decide.cluster.handover`.
"""

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable
from typing import Protocol

from petrelwood.decide.cluster import handover
from petrelwood.decide.cluster.completion import CompletionRate
from petrelwood.decide.cluster.handover import SuccessorAction, SuccessorPhase, TakeoverRequest
from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.dispatch.errors import HandoverError, HandoverRejectedError, PeerLostError, PeerTimeoutError
from petrelwood.dispatch.handover.channel import Channel
from petrelwood.dispatch.handover.hooks import HandoverHooks
from petrelwood.dispatch.handover.messages import (
    ActivationEnded,
    Alive,
    Drained,
    GiveBack,
    Go,
    Hello,
    Offer,
    Owns,
    Proven,
    Ready,
    Rejection,
    TakenBack,
)
from petrelwood.dispatch.interfaces import Logger
from petrelwood.store.state_segments import NEWEST_FORMAT, OLDEST_FORMAT

CHECK_INTERVAL = 0.05  # seconds
CHECKS_PER_HEARTBEAT = 5
OFFER_TIMEOUT = 10.0  # seconds for the predecessor's answer to the greeting
SECOND = 1_000_000_000  # ns

NowFunction = Callable[[], int]


class SuccessorCore(Protocol):
    """The parts of the core that the successor's side uses."""

    @property
    def handover(self) -> HandoverHooks:
        """The hooks, by which the core asks whether this process may be superseded."""

    def now(self) -> int:
        """Return the monotonic time in ns."""

    def note_predecessor_outcome(
        self, customer: str, id_: str, outcome: ActivationState, sent: bool, body: bytes | None, /
    ) -> object:
        """Record how an activation ended that the predecessor had in flight."""

    def predecessor_ended(self) -> object:
        """Handle the end of the predecessor: outcomes that it did not send stay unknown."""


class SuccessorProcess:
    """Takes over from the process at the control socket `path`, for the gateway `name`."""

    def __init__(self, path: str, loop: asyncio.AbstractEventLoop, name: str) -> None:
        self.path = path
        self.loop = loop
        self.name = name
        self.listeners: list[socket.socket] = []
        self.predecessor_drained = asyncio.Event()
        self.connection: Channel | None = None
        self.machine = handover.Successor(0)  # `request` begins it anew

    @property
    def channel(self) -> Channel:
        """The connection to the predecessor, which `request` makes."""
        if self.connection is None:
            raise PeerLostError("there is no connection to the old process")
        return self.connection

    async def request(self, now: int) -> None:
        """Greet the predecessor and receive its listeners.

        Raises:
            HandoverError: The predecessor refused to hand over, or is gone.
        """
        self.connection = Channel(self._connect(), self.loop)
        formats = (OLDEST_FORMAT, NEWEST_FORMAT)
        request = TakeoverRequest(self.name, handover.PROTOCOL_VERSION, formats, os.getpid())
        await self.channel.send(Hello(request))
        try:
            # not `wait_for`, which loses a cancellation that arrives together with the message
            async with asyncio.timeout(OFFER_TIMEOUT):
                offer = await self.channel.receive()
        except TimeoutError as fault:
            raise PeerTimeoutError("the old process does not answer") from fault
        if not isinstance(offer, Offer):
            reason = offer.reason if isinstance(offer, Rejection) else offer
            raise HandoverRejectedError(f"the old process refused to hand over: {reason}")
        self.machine = handover.Successor(now, offer.watch)
        self.listeners = [socket.socket(fileno=fd) for fd in self.channel.take_descriptors()]
        if not self.listeners:
            raise HandoverRejectedError("the old process passed no listener")

    def _connect(self) -> socket.socket:
        sock = socket.socket(socket.AF_UNIX)
        try:
            sock.connect(str(self.path))
        except OSError as fault:
            sock.close()
            raise PeerLostError(
                f"can't connect to the old process at {self.path}: {fault.strerror}"
            ) from fault
        return sock

    async def take_over(self, now: NowFunction) -> None:
        """Report that this process is ready, and wait until the predecessor lets it take over.

        Raises:
            HandoverError: The predecessor did not give way, or is gone.
        """
        self.machine.on_ready_to_serve(now())
        await self.channel.send(Ready())
        try:
            async with asyncio.timeout(handover.READY_TIMEOUT / SECOND):
                go = await self.channel.receive()
        except TimeoutError as fault:
            raise PeerTimeoutError("the old process did not give way in time") from fault
        if not isinstance(go, Go):
            raise HandoverRejectedError("the old process did not give way")
        before = CompletionRate(go.completed_share, go.answers)
        if self.machine.on_go(now(), before) != SuccessorAction.ACCEPT:
            raise HandoverRejectedError("the old process did not give way")

    async def follow(self, core: SuccessorCore, log: Logger, on_failure: Callable[[], object]) -> None:
        """Serve beside the predecessor until it has ended.

        If this process fails before that, `on_failure()` is called.
        """
        self.on_failure = on_failure
        self.last_check = core.now()
        core.handover.may_be_superseded = self._may_be_superseded
        outcomes = self.loop.create_task(self._receive_outcomes(core, log))
        try:
            await self.channel.send(Owns())
            await self._watch_itself(core, log, outcomes)
        except HandoverError:
            self.machine.on_predecessor_lost()
        finally:
            await asyncio.wait([outcomes], timeout=None if self.machine.phase == SuccessorPhase.PROVEN else 0)

    async def _watch_itself(self, core: SuccessorCore, log: Logger, outcomes: asyncio.Task[None]) -> None:
        """Send heartbeats, and check whether this process has proven itself or failed."""
        checks = 0
        while not outcomes.done():
            await asyncio.sleep(CHECK_INTERVAL)
            # After a stall, the messages that arrived meanwhile are processed before the check.
            if core.now() - self.last_check > handover.STALL:
                await asyncio.sleep(handover.CATCH_UP / SECOND)
            self.last_check = core.now()
            checks += 1
            if checks % CHECKS_PER_HEARTBEAT == 0 and self.machine.phase == SuccessorPhase.OWNING:
                await self.channel.send(Alive())
            if self.machine.phase == SuccessorPhase.FAILED:
                return
            verdict = self.machine.check(core.now())
            if verdict == SuccessorAction.PROVEN:
                log.info("the upgrade has proven itself")
                await self.channel.send(Proven())
            elif verdict == SuccessorAction.HAND_BACK:
                log.error("upgrade failed; giving back", why=self.machine.reason)
                self.on_failure()
                return

    def _may_be_superseded(self, now: int) -> bool:
        """Return whether the predecessor may have resumed: it has, or this process stalled for too long."""
        stalled = now - self.last_check > handover.STALL
        phase = self.machine.phase
        return phase == SuccessorPhase.FAILED or phase == SuccessorPhase.OWNING and stalled

    async def _receive_outcomes(self, core: SuccessorCore, log: Logger) -> None:
        try:
            while True:
                match await self.channel.receive():
                    case TakenBack():
                        self.machine.fail("the old process serves again")
                        log.error("upgrade cancelled by the old process")
                        self.on_failure()
                        return
                    case ActivationEnded(customer, id_, outcome, sent, body):
                        core.note_predecessor_outcome(customer, id_, outcome, sent, body)
                    case Drained():
                        self.predecessor_drained.set()
        except HandoverError:
            if not self.predecessor_drained.is_set():
                log.warning("the old process ended before it had drained")
        self.machine.on_predecessor_lost()
        core.predecessor_ended()
        self.predecessor_drained.set()

    async def give_back(self, why: str) -> None:
        """Tell the predecessor to serve again."""
        with contextlib.suppress(HandoverError):
            await self.channel.send(GiveBack(why))
        self.close()

    async def stop(self) -> None:
        """Give back, if this process was told to end before it has proven itself."""
        if self.machine.on_closing() == SuccessorAction.HAND_BACK:
            await self.give_back(self.machine.reason)

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.connection is not None:
            self.connection.close()
