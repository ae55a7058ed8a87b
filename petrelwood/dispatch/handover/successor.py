"""The side of a hand-over in the process that replaces a running one.

It gets the listeners, serves on them, hears how what the predecessor has in flight ends, and gives back where
it does worse than the predecessor did. What is decided is in `decide.cluster.handover`.
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
OFFER_TIMEOUT = 10.0  # seconds
SECOND = 1_000_000_000  # ns
# ns without a check, after which this process asks itself whether it was superseded meanwhile
STALL = 1_000_000_000
CATCH_UP = 4 * CHECK_INTERVAL  # seconds in which is heard what came during a stall

NowFunction = Callable[[], int]


class SuccessorCore(Protocol):
    """What the successor's side needs of the core."""

    @property
    def handover(self) -> HandoverHooks:
        """Whom the core asks whether this process may be superseded."""

    def now(self) -> int:
        """Return the monotonic time in ns."""

    def note_predecessor_outcome(
        self, customer: str, id_: str, outcome: ActivationState, sent: bool, body: bytes | None, /
    ) -> object:
        """Learn how an activation ended that the predecessor had in flight."""

    def predecessor_ended(self) -> object:
        """Learn that the predecessor has ended: the outcomes that it did not send are not known."""


class SuccessorProcess:
    """Takes over from the process at the control socket `path`, for the gateway `name`."""

    def __init__(self, path: str, loop: asyncio.AbstractEventLoop, name: str) -> None:
        self.path = path
        self.loop = loop
        self.name = name
        self.listeners: list[socket.socket] = []
        self.predecessor_drained = asyncio.Event()
        self.connection: Channel | None = None

    @property
    def channel(self) -> Channel:
        """The connection to the predecessor, once `request` has made it."""
        if self.connection is None:
            raise PeerLostError("there is no connection to the old process")
        return self.connection

    async def request(self, now: int) -> None:
        """Greet the predecessor and take its listeners.

        Raises:
            HandoverError: The predecessor does not hand over, or is gone.
        """
        self.connection = Channel(self._connect(), self.loop)
        formats = (OLDEST_FORMAT, NEWEST_FORMAT)
        request = TakeoverRequest(self.name, handover.PROTOCOL_VERSION, formats, os.getpid())
        await self.channel.send(Hello(request))
        try:
            # not `wait_for`, which loses a cancellation that comes as the message does
            async with asyncio.timeout(OFFER_TIMEOUT):
                offer = await self.channel.receive()
        except TimeoutError as fault:
            raise PeerTimeoutError("the old process does not answer") from fault
        if not isinstance(offer, Offer):
            reason = offer.reason if isinstance(offer, Rejection) else offer
            raise HandoverRejectedError(f"the old process says no: {reason}")
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
            raise PeerLostError(f"nobody serves at {self.path}: {fault.strerror}") from fault
        return sock

    async def take_over(self, now: NowFunction) -> None:
        """Say that this process can serve, and wait until the predecessor gives way.

        Raises:
            HandoverError: The predecessor does not give way, or is gone.
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
        """Serve beside the predecessor until that one is gone.

        Where this process fails before that, it calls `on_failure()` and returns.
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
        checks = 0
        while not outcomes.done():
            await asyncio.sleep(CHECK_INTERVAL)
            # this process stood still: what came meanwhile is heard first
            if core.now() - self.last_check > STALL:
                await asyncio.sleep(CATCH_UP)
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
        """Return whether the predecessor may serve again: it does, or this process was stalled too long."""
        stalled = now - self.last_check > STALL
        phase = self.machine.phase
        return phase == SuccessorPhase.FAILED or phase == SuccessorPhase.OWNING and stalled

    async def _receive_outcomes(self, core: SuccessorCore, log: Logger) -> None:
        try:
            while True:
                match await self.channel.receive():
                    case TakenBack():
                        self.machine.fail("the old process serves again")
                        log.error("upgrade taken back by the old process")
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

    def close(self) -> None:
        """End the connection, if there is one."""
        if self.connection is not None:
            self.connection.close()
