"""Hand-over from a serving process to the one that follows it: who owns what when, and when it goes back.

    the one that serves:  serving -> offering -> handing -> watching -> over
    the one that follows: checking -> waiting -> owning -> proven

Every activation belongs to the process that took it, and only that one sends or answers for it. There is one
moment at which new ones change hands: when the old one has stopped accepting, flushed its state, and says go.
Before that, whatever happens, the old one goes on as if nothing had been asked. After it the old one keeps
the listeners, without accepting, until the new one has proven itself; if that dies, says back, or is silent
too long, the old one accepts again. Times in ns of each process's own clock."""

SECOND = 1_000_000_000
SERVING, OFFERING, HANDING, WATCHING, OVER = "serving", "offering", "handing", "watching", "over"
CHECKING, WAITING, OWNING, PROVEN, FAILED = "checking", "waiting", "owning", "proven", "failed"
READY_WITHIN = 15 * SECOND  # from the offer to the new one's word that it can serve
OWNS_WITHIN = 2 * SECOND  # from go to its word that it accepts
# a new one that says nothing for so long counts as failed, until it has proven itself
SILENT = 2 * SECOND
WATCH = 5 * SECOND
# answers that say something; how much smaller the completed share may be than before
FEW, WORSE = 20, 0.2
FORMAT = 1


def refuses(hello, name, format_, busy):
    """Why one that asks to take over may not, or None. `hello`: what it says of itself."""
    if busy:
        return "an upgrade is under way"
    if hello.get("name") != name:
        return f"it is for gateway '{hello.get('name')}', this is '{name}'"
    oldest, newest = hello.get("reads", (0, -1))
    if not oldest <= format_ <= newest:
        return f"it reads state of format {oldest} to {newest}, this writes {format_}"
    if hello.get("protocol") != FORMAT:
        return f"it speaks hand-over {hello.get('protocol')}, this speaks {FORMAT}"
    return None


class Predecessor:
    """The old one. Each method returns what is to be done: 'offer', 'go', 'resume', 'end' or None."""

    def __init__(self):
        self.state, self.until, self.drained, self.proven, self.why = SERVING, 0, False, False, ""

    def busy(self):
        return self.state != SERVING

    def asked(self, now):
        self.state, self.until = OFFERING, now + READY_WITHIN
        return "offer"

    def ready(self, now):
        """The new one can serve. From 'go' on nothing new is taken here."""
        if self.state != OFFERING:
            return None
        self.state, self.until, self.drained, self.proven = HANDING, now + OWNS_WITHIN, False, False
        return "go"

    def owns(self, now):
        if self.state == HANDING:
            self.state, self.until = WATCHING, now + SILENT
        return None

    def hears(self, now):
        """It says that it is there."""
        if self.state == WATCHING:
            self.until = now + SILENT

    def is_proven(self, now):
        if self.state != WATCHING:
            return None
        self.proven = True
        return self._end()

    def is_drained(self, now):
        """All that was taken here has its answer."""
        self.drained = True
        return self._end()

    def _end(self):
        if self.state == WATCHING and self.proven and self.drained:
            self.state = OVER
            return "end"
        return None

    def lost(self, now, why):
        """The new one is gone, or gives back."""
        if self.state == WATCHING and self.proven:
            # it has proven itself: what becomes of it now is not ours
            return None
        return self._back(why)

    def check(self, now):
        if self.state in (OFFERING, HANDING, WATCHING) and not self.proven and now >= self.until:
            return self._back(
                {
                    OFFERING: "it was not ready in time",
                    HANDING: "it did not accept in time",
                    WATCHING: "it went silent before it had proven itself",
                }[self.state]
            )
        return None

    def _back(self, why):
        was, self.state, self.why = self.state, SERVING, why
        return "resume" if was in (HANDING, WATCHING) else None


class Successor:
    """The new one. `before`: the completed share of answers that the old one had, with how many it was told
    from."""

    def __init__(self, now, watch=WATCH):
        self.state, self.watch, self.until, self.why = CHECKING, watch, now + READY_WITHIN, ""
        self.before, self.good, self.bad = (1.0, 0), 0, 0

    def can_serve(self, now):
        self.state, self.until = WAITING, now + READY_WITHIN
        return "ready"

    def go(self, now, before):
        if self.state != WAITING:
            return None
        self.state, self.until, self.before = OWNING, now + self.watch, before
        return "accept"

    def ended(self, good):
        if self.state == OWNING:
            self.good, self.bad = self.good + good, self.bad + (not good)

    def _worse(self):
        seen = self.good + self.bad
        share, count = self.before
        return seen >= FEW and count >= FEW and self.good / seen < share - WORSE

    def check(self, now):
        """'proven', 'back', 'give up' or None."""
        if self.state in (CHECKING, WAITING) and now >= self.until:
            self.state, self.why = FAILED, "there was no word to go in time"
            return "give up"
        if self.state != OWNING:
            return None
        if self._worse():
            self.state, self.why = (
                FAILED,
                f"only {self.good} of {self.good + self.bad} completed, {self.before[0]:.0%} before",
            )
            return "back"
        if now >= self.until:
            self.state = PROVEN
            return "proven"
        return None

    def lost(self, now):
        """The old one is gone: before go there is nothing to take over; after it this one is alone."""
        if self.state in (CHECKING, WAITING):
            self.state, self.why = FAILED, "the old process went before it gave way"
            return "give up"
        if self.state == OWNING:
            self.state = PROVEN
        return None
