"""What a link to a worker has been asked and has not ended yet: the queue, the stages and how each call ends.

Shared by the links of all protocols. A frame is encoded as it leaves, since a send's time left is part of it.
What an end proves is decided in `decide.delivery.send_outcome`. `core` hears of each end, through `submit`:
`send_ended`, `load_order_ended`, `health_check_ended`; never from within a method that it has called
itself."""

from collections import deque

from petrelwood.decide.delivery import send_outcome
from petrelwood.links import sockets


class Call:
    """One send, order or probe. `tag` names it among those that are out; `line` is the connection that has
    it, where there are several; `until` (ns) is when a send's time is up, whether its activation still lives
    or not. `content` is what its frame is made of when it leaves, `size` the bytes that it counts for while
    it waits, `begins` how many bytes were written on its connection before it, where that proves
    something."""

    __slots__ = ("kind", "act", "n", "fn", "at", "content", "size", "stage", "tag", "line", "until", "begins")

    def __init__(self, kind, act, n, fn, at, content, size, tag, until=None):
        self.kind = kind
        self.act = act
        self.n = n
        self.fn = fn
        self.at = at
        self.content = content
        self.size = size
        self.stage = send_outcome.SendStage.QUEUED
        self.tag = tag
        self.line = None
        self.until = until
        self.begins = None


class Calls:
    """The calls of one link. Subclasses move them: `_wait` in, `_hand` out, `_encode` for the bytes of one,
    `_notice_end` for what a worker should give up."""

    LEAST_LEFT = 1  # ns that a send must have left to leave: the unit in which its worker is told

    def __init__(self, worker, address, core):
        self.worker, self.address, self.core = worker, address, core
        self.waiting, self.waiting_bytes, self.out, self.runs = deque(), 0, {}, {}
        self.counts = {"sent": 0, "answered": 0, "strays": 0, "lost": 0, "recalled": 0}

    def cancel(self, act, n):
        """Ends the wait for a send; the worker is told where it may have heard of it."""
        self._stop(act, n, send_outcome.of_cancel)

    def late(self, act, n):
        """The time of a send is up."""
        self._stop(act, n, send_outcome.of_time)

    def _stop(self, act, n, proof):
        call = self.runs.get((act, n))
        if call is not None:
            if call.stage == send_outcome.SendStage.WRITTEN:
                self._notice_end(call)
            self._end(call, proof(call.stage))

    def withdraw(self, act, n):
        """Its activation has ended: what has not left yet never does. That needs nobody's leave, as a cancel
        does."""
        call = self.runs.get((act, n))
        if call is not None and call.stage == send_outcome.SendStage.QUEUED:
            self._end(call, send_outcome.of_recall(call.stage))

    def recall(self):
        """The worker drains or is gone: what has not left yet is taken back."""
        for call in list(self.waiting):
            code = send_outcome.of_recall(call.stage)
            if code is not None and call.kind != "probe":
                self.counts["recalled"] += 1
                self._end(call, code)

    def owes(self):
        return bool(self.waiting or self.out)

    def _wait(self, call):
        self.waiting.append(call)
        self.waiting_bytes += call.size

    def _hand(self, call):
        """It leaves our queue for the socket; its bytes. A send tells its worker the time that is left now:
        it may have waited for as long as a connection takes to come up."""
        frame = self._encode(call)
        call.content = None
        call.stage = send_outcome.SendStage.WRITTEN
        self.out[call.tag] = call
        self.waiting_bytes -= call.size
        self.counts["sent"] += 1
        return frame

    def _lose(self, call, stream):
        """Ends a call whose connection is lost, or was never made (None)."""
        taken = 0 if stream is None else sockets.bytes_taken(stream)
        stage = send_outcome.reached(call.stage, call.begins, taken)
        self._end(call, send_outcome.of_loss(stage))

    def _encode(self, call):
        """The bytes of a call."""
        raise NotImplementedError

    def _may_leave(self, call):
        """Whether the first that waits may still be handed over; what may not is ended. An order that has
        waited is held against the ration as it is now: it counts when it arrives, not when it was given. A
        send whose time is up never leaves, which proves that it never ran."""
        if call.kind == "run" and call.until - self.core.now() < self.LEAST_LEFT:
            self._end(call, send_outcome.of_time(call.stage))
            return False
        if call.kind != "hold" or self.core.may_send_order(call.at):
            return True
        self.counts["recalled"] += 1
        self._end(call, send_outcome.of_recall(call.stage))
        return False

    def _overdue_calls(self, now, within):
        """Orders and probes that wait or are out for longer: nothing tells their end but us."""
        return [c for c in (*self.out.values(), *self.waiting) if c.kind != "run" and now - c.at > within]

    def _expired(self, now):
        """Sends whose time is up. Those of activations that have ended have no other end on a connection that
        says nothing: they would keep their lane, their connection and their link."""
        return [c for c in self.out.values() if c.until is not None and now > c.until]

    def _notice_end(self, call):
        """Tells the worker that a send need not be finished."""

    def _end(self, call, code, note=0, body=b"", gauge=None):
        if call.stage == send_outcome.SendStage.QUEUED:
            try:
                self.waiting.remove(call)
                self.waiting_bytes -= call.size
            except ValueError:
                return
        elif self.out.pop(call.tag, None) is None:
            return
        self._tell(call, code, note, body, gauge)

    def _tell(self, call, code, note=0, body=b"", gauge=None):
        if call.kind == "hold" and call.stage == send_outcome.SendStage.QUEUED:
            self.core.order_not_sent(call.at)
        call.stage = send_outcome.SendStage.ANSWERED
        if call.kind == "run":
            self.runs.pop((call.act, call.n), None)
            self.core.submit(
                self.core.send_ended, call.act, call.n, self.worker, code, note, body, call.at, gauge
            )
        elif call.kind == "hold":
            self.core.submit(self.core.load_order_ended, self.worker, call.fn, code, note)
        else:
            self.core.submit(self.core.health_check_ended, self.worker, code, gauge)
