"""The predecessor's side of a hand-over: the process that serves now.

It waits on the control socket for a successor, hands its listeners over, and finishes its activations in
flight. Until the successor has proven itself it stands by, and resumes serving if the successor fails. The
decisions are made in `decide.cluster.handover`.
"""

import asyncio
import contextlib
import pathlib
import socket
from collections.abc import Callable, Coroutine, Sequence
from typing import Protocol

from petrelwood.decide.cluster import handover
from petrelwood.decide.cluster.completion import CompletionRate
from petrelwood.decide.cluster.handover import PredecessorAction, PredecessorPhase
from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.decide.delivery.pending import PendingActivations
from petrelwood.dispatch.durable_state import DurableState
from petrelwood.dispatch.errors import HandoverError, HandoverRejectedError
from petrelwood.dispatch.handover.channel import Channel
from petrelwood.dispatch.handover.hooks import ActivationEndHandler
from petrelwood.dispatch.handover.messages import (
    ActivationEnded,
    Alive,
    Drained,
    GiveBack,
    Go,
    Hello,
    Message,
    Offer,
    Owns,
    Proven,
    Ready,
    Rejection,
    TakenBack,
)
from petrelwood.dispatch.interfaces import Logger
from petrelwood.links.unix_socket import UnixSocket
from petrelwood.store.state_segments import PLAIN_FORMAT

CHECK_INTERVAL = 0.05  # seconds
GREETING_TIMEOUT = 5.0  # seconds for the greeting of a successor
DISMISSAL_TIMEOUT = 5.0  # seconds to tell a superseded successor so


class DrainedFront(Protocol):
    """A front whose connections must drain before this process ends."""

    def is_drained(self) -> bool:
        """Return whether no connection is in use."""


class ListenerOwner(Protocol):
    """The front whose listeners are handed over; see `fronts.webhook.Webhooks`."""

    def descriptors(self) -> list[int]:
        """Return the file descriptors of the listeners."""

    def pause(self) -> object:
        """Stop accepting connections until `resume` is called."""

    def resume(self) -> object:
        """Accept connections again."""


class PredecessorCore(Protocol):
    """The parts of the core that the predecessor's side uses."""

    @property
    def name(self) -> str:
        """The name of the dispatcher."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The loop that the dispatcher runs on."""

    @property
    def pending(self) -> PendingActivations:
        """The activations without a final answer."""

    @property
    def fronts(self) -> Sequence[DrainedFront]:
        """The fronts that are open."""

    @property
    def durable_state(self) -> DurableState | None:
        """The durable record of activations, or None if none is kept."""

    def now(self) -> int:
        """Return the monotonic time in ns."""

    def recent_completion(self) -> CompletionRate:
        """Return the completion rate of the activations answered in the last ten seconds."""

    def stop_admitting(self, on_end: ActivationEndHandler, /) -> object:
        """Stop admitting requests; `on_end` is called for each activation that ends."""

    def resume_admitting(self) -> object:
        """Admit requests again."""


class PredecessorProcess:
    """Serves the control socket at `path`.

    `on_handover` and `on_resume` are called when the webhook front is paused and resumed, `on_finished` when
    this process may end.
    """

    def __init__(
        self,
        path: str,
        core: PredecessorCore,
        webhooks: ListenerOwner,
        log: Logger,
        *,
        on_handover: Callable[[], object],
        on_resume: Callable[[], object],
        on_finished: Callable[[], object],
    ) -> None:
        self.path = pathlib.Path(path)
        self.core = core
        self.webhooks = webhooks
        self.log = log
        self.on_handover = on_handover
        self.on_resume = on_resume
        self.on_finished = on_finished
        self.machine = handover.Predecessor()
        self.channel: Channel | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def open(self) -> None:
        """Listen at the path; a successor rebinds it, so the newest process is always reachable there."""
        self.server = UnixSocket(self.path, socket.SOCK_STREAM)
        self.accepting = self._start(self._accept())
        self._start(self._watch())

    def _start(self, work: Coroutine[object, object, None]) -> asyncio.Task[None]:
        task = self.core.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def stop(self) -> None:
        """Give up the place for good, as this process was told to end; call `close` once it has drained.

        A successor that has taken over is still told how the activations end that this process has in flight.
        One that waits to take over learns from the closed connection that it can't.
        """
        if not self.machine.on_closing():
            self.close()
            return
        self.accepting.cancel()
        self.server.close()

    def close(self) -> None:
        """Close the control socket and the connection to the successor."""
        for task in list(self.tasks):
            task.cancel()
        self.server.close()
        channel = self.channel
        self.channel = None
        if channel is not None:
            channel.close()

    async def _accept(self) -> None:
        while True:
            try:
                sock, _ = await self.core.loop.sock_accept(self.server.sock)
            except OSError as error:
                # No descriptor is free, or the connection is gone: keep listening for the next upgrade.
                self.log.warning("accept failed", error=str(error))
                await asyncio.sleep(CHECK_INTERVAL)
                continue
            self._start(self._serve(Channel(sock, self.core.loop)))

    async def _watch(self) -> None:
        last_check = self.core.now()
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            if self.core.now() - last_check > handover.STALL:
                # heartbeats that arrived during a stall are read before the check
                await asyncio.sleep(handover.CATCH_UP / handover.SECOND)
            last_check = self.core.now()
            self._carry_out(self.machine.check(last_check))
            if self._just_drained():
                self.machine.on_drained()
                await self._send(Drained())
                if self.machine.phase == PredecessorPhase.OVER:
                    self._carry_out(PredecessorAction.END)

    def _just_drained(self) -> bool:
        return (
            self.machine.phase in (PredecessorPhase.WATCHING, PredecessorPhase.CLOSING)
            and not self.machine.has_drained
            and not self.core.pending.activations
            and all(front.is_drained() for front in self.core.fronts)
        )

    async def _send(self, message: Message) -> None:
        try:
            if self.channel is not None:
                await self.channel.send(message)
        except HandoverError as fault:
            self._successor_lost(str(fault))

    async def _serve(self, channel: Channel) -> None:
        try:
            # not `wait_for`, which loses a cancellation that arrives together with the message
            async with asyncio.timeout(GREETING_TIMEOUT):
                hello = await channel.receive()
            reason = self._reason_to_reject(hello)
            if reason:
                self.log.warning("upgrade rejected", why=reason)
                await channel.send(Rejection(reason))
                channel.close()
                return
            self.channel = channel
            self.machine.on_request(self.core.now())
            self.log.info("upgrade started", by=hello.request.pid if isinstance(hello, Hello) else None)
            await channel.send(Offer(handover.PROBATION), self.webhooks.descriptors())
            while True:
                await self._handle(channel, await channel.receive())
        except (TimeoutError, HandoverError) as fault:
            channel.close()
            if channel is self.channel:
                self._successor_lost(str(fault) or "it sent no greeting in time")

    def _reason_to_reject(self, hello: Message) -> str | None:
        if not isinstance(hello, Hello):
            return "it did not greet"
        is_busy = self.machine.is_busy()
        state = self.core.durable_state
        # the newest format in the folder, which the successor must be able to read
        state_format = PLAIN_FORMAT if state is None else state.log.format
        return handover.rejection_reason(hello.request, self.core.name, state_format, is_busy)

    async def _handle(self, channel: Channel, message: Message) -> None:
        now = self.core.now()
        match message:
            case Ready():
                if self.machine.on_ready(now) == PredecessorAction.GO:
                    self._hand_over()
                    completion = self.core.recent_completion()
                    await channel.send(Go(completion.share, completion.answers))
            case Owns():
                self.machine.on_accepting(now)
                self.log.info("handed over; draining", in_flight=len(self.core.pending.activations))
            case Alive():
                self.machine.on_heartbeat(now)
            case Proven():
                self._carry_out(self.machine.on_proven())
            case GiveBack(reason):
                raise HandoverRejectedError(f"the successor gave back: {reason}")

    def _successor_lost(self, reason: str) -> None:
        channel = self.channel
        self.channel = None
        if channel is not None:
            channel.close()
            self._carry_out(self.machine.on_successor_lost(reason))

    def _hand_over(self) -> None:
        """Stop admitting; afterwards the state log contains every admitted activation."""
        self.core.stop_admitting(self._activation_ended)
        self.webhooks.pause()
        self.on_handover()

    def _activation_ended(
        self, customer: str, id_: str, outcome: ActivationState, sent: bool, body: bytes | None
    ) -> None:
        self._start(self._send(ActivationEnded(customer, id_, outcome, sent, body)))

    async def _dismiss(self, channel: Channel) -> None:
        with contextlib.suppress(TimeoutError, HandoverError):
            async with asyncio.timeout(DISMISSAL_TIMEOUT):
                await channel.send(TakenBack())
        channel.close()

    def _carry_out(self, action: PredecessorAction | None) -> None:
        if action == PredecessorAction.RESUME:
            self._resume()
        elif action == PredecessorAction.END:
            self.log.info("the new process has proven itself")
            self.on_finished()

    def _resume(self) -> None:
        self.log.error("upgrade failed; this process serves again", why=self.machine.reason)
        self.core.resume_admitting()
        self.webhooks.resume()
        self.on_resume()
        # a successor that was only stalled must be told that it is superseded
        if self.channel is not None:
            channel = self.channel
            self.channel = None
            self._start(self._dismiss(channel))
