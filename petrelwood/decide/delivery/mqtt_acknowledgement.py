"""When a message is acknowledged, when its activation begins, and what a lost session means. Free of I/O.

An acknowledgement tells the broker that it will never have to deliver the message again. What that must prove
depends on what may happen if two dispatchers get the same message:

- **Repeatable**: acknowledged last, together with the answer. If this dispatcher dies before that, the broker
delivers the
  message again, here or elsewhere, and it runs again; nobody's answer is lost.
- **Once-only and deduplicated**: acknowledged first, and begun only once that is *proved*: the broker can't
deliver it
  again. For QoS 2 the broker's PUBREL proves it. For QoS 1 it is a PINGREQ written after the PUBACK: the
  broker reads in
  order, so its PINGRESP says that it has read the PUBACK. As every dispatcher keeps to this, a message that
  comes again
  was never begun anywhere. If this dispatcher dies after the proof, the activation is lost with it, and runs
  never twice.
  Where the connection breaks before the proof, QoS 2 is settled by what the broker sends next. For QoS 1 the
  standard
  lets the broker hand the message to another dispatcher or not: one that does not come again is never begun
  here and an
  abort is owed, though another may answer it too. Whoever wants exactly one answer publishes these with QoS
  2.
- **QoS 0** is never delivered again: it begins at once.

Deliveries beyond the window (`Window`) wait unacknowledged and not begun: the broker holds what is behind
them."""

from collections import OrderedDict, deque

from petrelwood import ports

HELD, PROVING, RUNNING, READY, DONE = "held", "proving", "running", "ready", "done"
LAST, FIRST, NONE = "last", "first", "none"


def plan(effect, qos):
    """When to acknowledge: LAST, FIRST or NONE."""
    if not qos:
        return NONE
    return LAST if effect == ports.REPEATABLE else FIRST


class Delivery:
    """One message of a broker's. `id` is its packet identifier, None once the broker knows it no more."""

    __slots__ = ("id", "qos", "plan", "state", "due", "mark", "what", "doubted", "given")

    def __init__(self, id_, qos, plan_, due, mark, what):
        self.id, self.qos, self.plan, self.state, self.due, self.what = id_, qos, plan_, HELD, due, what
        # tells its message from another under the same number
        self.mark = mark
        self.given = 0  # the connection on which its answer left
        self.doubted = False  # whether the broker may have given it to another


class Window:
    """How many activations of one session may be under way: it grows by one for each window of answers in
    time, and is cut by a fifth, once for each usual answer's time, when one is late or turned away."""

    def __init__(self, least, most):
        self.least, self.most, self.size, self.cut_at = least, most, float(min(most, 4 * least)), 0

    def ended(self, now, well, took):
        if well:
            self.size = min(self.most, self.size + 1 / self.size)
        elif now >= self.cut_at:
            self.size, self.cut_at = max(self.least, self.size * 0.8), now + took

    def room(self, under_way):
        return under_way < int(self.size)


class Deliveries:
    """The messages of one session. `out` acts on what is decided, in the same turn: `ack(id, qos)`,
    `comp(id)`, `ping()`, `begin(delivery)`, `turn_away(delivery)` (rejected, it never ran),
    `owes_abort(delivery)`, `give(delivery)` (the answer that was kept for it) and `moved(delivery)` (another
    has it: no answer from here)."""

    def __init__(self, window, out):
        self.window, self.out = window, out
        # by packet identifier; begun and not yet answered
        self.known, self.under_way = OrderedDict(), set()
        self.held, self.unproved, self.in_ping, self.pings = deque(), [], [], 0
        self.closing, self.resumed, self.connected, self.connection = False, False, True, 0

    # From the broker.
    def published(self, now, id_, qos, dup, effect, due, mark, what):
        """A message has come; `what` is the caller's own, `mark` the same for the same message. Returns its
        delivery, or None where it is known."""
        old = self.known.get(id_) if qos else None
        if old is not None and old.mark != mark:  # the broker gives its number to another message
            self._forgotten(now, old)
        elif old is not None:
            if qos == 2 and old.plan == FIRST and old.state == PROVING:
                self.out.ack(id_, 2)  # our PUBREC was lost: it was not begun
                return None
            if dup and old.state == HELD:
                return None
            if dup and qos == 1 and old.plan == FIRST and old.state == PROVING:
                old.doubted = False
                self._unprove(old)  # our PUBACK was lost: it was not begun
                self._acknowledge(old)
                return None
            if dup and old.plan == LAST:
                old.doubted = False
                if old.state == READY or old.state == DONE and old.given != self.connection:
                    self._give(old)  # what left on an earlier connection was lost with it
                # or it still runs here: the answer will acknowledge it
                return None
            if dup and old.state == DONE:
                if old.given != self.connection:
                    self._turn_away(old)
                return None
            self._forgotten(now, old)
        delivery = Delivery(id_ if qos else None, qos, plan(effect, qos), due, mark, what)
        if qos:
            self.known[id_] = delivery
        self.held.append(delivery)
        self._flow(now)
        return delivery

    def released(self, now, id_):
        """PUBREL: the broker will never deliver it again."""
        delivery = self.known.get(id_)
        self.out.comp(id_)
        if delivery is None or delivery.qos != 2:
            return
        if delivery.state == PROVING:
            self._begin(delivery)
        elif delivery.state == DONE:
            self._drop(delivery)

    def ponged(self, now):
        """PINGRESP: all that was acknowledged before that PINGREQ is proved."""
        if self.pings:
            self.pings -= 1
        if self.resumed:
            self.resumed = False
            for delivery in [d for d in self.known.values() if d.state == DONE and d.qos == 1]:
                self._drop(delivery)
            for delivery in [d for d in self.known.values() if d.doubted]:
                self._drop(delivery)
                delivery.id = None
                self.under_way.discard(delivery)
                (self.out.owes_abort if delivery.state == PROVING else self.out.moved)(delivery)
        proved, self.in_ping = self.in_ping, []
        for delivery in proved:
            if delivery.state == PROVING:
                self._drop(delivery)
                self._begin(delivery)
        self._prove()

    # From the core.
    def answered(self, now, delivery, well, took):
        """Its activation has its final answer: `out.give` sends it, now or when the message comes again."""
        self.under_way.discard(delivery)
        self.window.ended(now, well, took)
        if delivery.plan == LAST and delivery.id is not None and (not self.connected or delivery.doubted):
            delivery.state = READY
        else:
            self._give(delivery)
        self._flow(now)

    def _give(self, delivery):
        """The answer, and with it the acknowledgement where that is still owed."""
        owed, delivery.state, delivery.given = (
            delivery.plan == LAST and delivery.id is not None,
            DONE,
            self.connection,
        )
        if owed and delivery.qos == 1 and not self.resumed:
            # after a break it may still be on its way to us again
            self._drop(delivery)
        self.out.give(delivery, owed)

    def sweep(self, now):
        """Turns away at once what can't begin in time any more: it never ran."""
        late = [d for d in self.held if now >= d.due]
        for delivery in late:
            self.held.remove(delivery)
            self._turn_away(delivery)
        self._flow(now)

    def close(self, now):
        """Nothing more begins: what is held is turned away."""
        self.closing = True
        while self.held:
            self._turn_away(self.held.popleft())

    def idle(self):
        """Whether nothing is under way or waits for proof."""
        return (
            not self.under_way and not self.held and not any(d.state == PROVING for d in self.known.values())
        )

    # The connection.
    def lost(self):
        """The connection is lost; what runs goes on, what waits for its turn may come again."""
        self.in_ping, self.unproved, self.pings, self.connected = [], [], 0, False
        for delivery in list(self.held):
            if delivery.qos == 1:  # the broker delivers it again, here or elsewhere
                self._drop(delivery)
                self.held.remove(delivery)

    def resume(self, now, present):
        """Connected again. Where the broker has kept the session it first delivers again what is still ours
        and not acknowledged; a PINGREQ after that tells when it is through. What did not come again may be
        with another dispatcher: what runs here ends without an answer, and for what waited for proof an abort
        is owed. The same holds for all where the broker has not kept the session."""
        self.resumed, self.connected, self.connection = False, True, self.connection + 1
        proving = [d for d in self.known.values() if d.state == PROVING]
        if present:
            for delivery in self.known.values():
                delivery.doubted = (
                    delivery.plan == LAST and delivery.qos == 1 and delivery.state in (RUNNING, READY)
                )
                delivery.doubted = delivery.doubted or delivery.qos == 1 and delivery.state == PROVING
            self.unproved, self.in_ping, self.resumed, self.pings = [], [], True, 1
            self.out.ping()
            return
        for delivery in list(self.known.values()):
            self._drop(delivery)
            delivery.id = None
            if delivery.plan == LAST and delivery.state in (RUNNING, READY):
                self.under_way.discard(delivery)
                self.out.moved(delivery)
        self.held = deque(d for d in self.held if d.id is None and not d.qos)
        for delivery in proving:
            self.out.owes_abort(delivery)

    # What follows.
    def _flow(self, now):
        while self.held and not self.closing and self.window.room(len(self.under_way) + self._proving()):
            if self.held[0].plan == FIRST and not self.connected:
                return
            delivery = self.held.popleft()
            if now >= delivery.due:
                self._turn_away(delivery)
            elif delivery.plan == FIRST:
                self._acknowledge(delivery)
            else:
                self._begin(delivery)

    def _proving(self):
        return len(self.unproved) + len(self.in_ping)

    def _acknowledge(self, delivery):
        delivery.state = PROVING
        self.out.ack(delivery.id, delivery.qos)
        if delivery.qos == 1:
            self.unproved.append(delivery)
            self._prove()

    def _prove(self):
        if self.unproved and not self.pings:
            self.in_ping, self.unproved, self.pings = self.unproved, [], 1
            self.out.ping()

    def _unprove(self, delivery):
        for waits in (self.unproved, self.in_ping):
            if delivery in waits:
                waits.remove(delivery)

    def _begin(self, delivery):
        delivery.state = RUNNING
        if delivery.plan == FIRST and delivery.qos == 2:
            self._drop(delivery)
        self.under_way.add(delivery)
        self.out.begin(delivery)

    def _turn_away(self, delivery):
        """Acknowledged with its rejection: it never ran."""
        if delivery.qos == 1 and not self.resumed:
            self._drop(delivery)
        delivery.state, delivery.given = DONE, self.connection
        self.out.turn_away(delivery)

    def _forgotten(self, now, old):
        """Its number stands for another message now: the broker has done with it, or has lost it."""
        self._drop(old)
        if old.state == PROVING:
            self._unprove(old)
            self._begin(old)  # done with it: that is proof
        elif old.state == HELD:
            self.held.remove(old)
        old.id = None

    def _drop(self, delivery):
        if delivery.id is not None and self.known.get(delivery.id) is delivery:
            del self.known[delivery.id]
