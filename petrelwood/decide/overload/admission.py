"""Who may open a connection, shake hands, be read and have a signature checked, before any of it costs much.

All by address: what a request says of its customer is not believed before its signature holds, or anyone
could wear out another's part. An address has a pace of its own for connections, and a part of each bound once
half of the bound is taken; so one crowd can't keep the others out, and a lone caller may use all. An address
whose signatures fail goes through `Backoff`: it is refused unread for a while that doubles. What is known of
addresses is bounded; the one heard of longest ago is forgotten."""

from collections import OrderedDict

from petrelwood.decide.overload.backoff import Backoff

SECOND = 1_000_000_000
TAKE, PACE, CROWDED, UNFAIR, BAD = "take", "too fast", "crowded", "over its part", "bad signatures"
BURST, LEAST = 1 / 4, 16  # of the bound on connections that one address may open at once, and at least
REFILL = 1 / 8  # of it, each second
STORM = 1 / 4  # of the pace, while connections come in a storm
HALF = 0.5  # of a bound in use, from which it is shared out
LONE = 7 / 8  # of a bound, for an address that is alone
BAD_IN_A_ROW = 16  # signatures of an address that fail before it is refused unread
FIRST, LONGEST = SECOND // 2, 32 * SECOND


class Address:
    __slots__ = ("open", "bytes", "tokens", "seen", "bad", "backoff", "shaking")

    def __init__(self, tokens, now, chance):
        self.open, self.bytes, self.tokens, self.seen, self.bad, self.shaking = 0, 0, tokens, now, 0, 0
        self.backoff = Backoff(FIRST, LONGEST, chance)


class Admission:
    """`connections`, `handshakes` and `bytes_`: bounds over all addresses; `chance` draws in [0, 1). Times in
    ns."""

    def __init__(self, connections, handshakes, bytes_, chance, most=4096):
        self.connections, self.handshakes, self.bytes, self.chance, self.most = (
            connections,
            handshakes,
            bytes_,
            chance,
            most,
        )
        self.addresses, self.open, self.shaking, self.held, self.storm = OrderedDict(), 0, 0, 0, False
        self.burst = max(connections * BURST, min(connections, LEAST))
        self.counts = {name: 0 for name in (TAKE, PACE, CROWDED, UNFAIR, BAD)}

    def _address(self, now, address):
        found = self.addresses.get(address)
        if found is None:
            found = self.addresses[address] = Address(self.burst, now, self.chance)
            if len(self.addresses) > self.most:
                for name, one in self.addresses.items():
                    if not one.open and name != address:
                        del self.addresses[name]
                        break
        else:
            self.addresses.move_to_end(address)
        return found

    def _active(self, what):
        return max(1, sum(1 for one in self.addresses.values() if getattr(one, what)))

    def _over_part(self, one, mine, used, bound, what):
        """Whether an address has its part of a bound that is half used. A lone one may take all but an
        eighth, which is kept for whoever comes next."""
        if used <= bound * HALF:
            return False
        others = self._active(what) - (1 if getattr(one, what) else 0)
        return mine >= max(1, bound // (others + 1) if others else bound * LONE)

    def connects(self, now, address):
        """A connection was accepted: `TAKE`, or why it is closed again."""
        one, pace = (
            self._address(now, address),
            max(1.0, self.connections * REFILL) * (STORM if self.storm else 1.0),
        )
        one.tokens = min(self.burst, one.tokens + (now - one.seen) / SECOND * pace)
        one.seen = now
        if self.open >= self.connections or self.handshakes and self.shaking >= self.handshakes:
            verdict = CROWDED
        elif not one.backoff.may_retry(now):
            verdict = BAD
        elif (
            self._over_part(one, one.open, self.open, self.connections, "open")
            or self.handshakes
            and self._over_part(one, one.shaking, self.shaking, self.handshakes, "shaking")
        ):
            verdict = UNFAIR
        elif one.tokens < 1:
            verdict = PACE
        else:
            verdict = TAKE
            one.tokens, one.open, self.open = one.tokens - 1, one.open + 1, self.open + 1
            if self.handshakes:
                one.shaking, self.shaking = one.shaking + 1, self.shaking + 1
        self.counts[verdict] += 1
        return verdict

    def shaken(self, address):
        """A connection that was taken has its handshake behind it."""
        one = self.addresses.get(address)
        if self.handshakes and one is not None and one.shaking:
            one.shaking, self.shaking = one.shaking - 1, self.shaking - 1

    def closed(self, address):
        """A connection that was taken is gone."""
        one = self.addresses.get(address)
        self.open -= 1
        if one is not None:
            one.open = max(0, one.open - 1)

    def reads(self, now, address, bytes_):
        """Bytes of a request that is not whole yet came in: whether they may be held."""
        one = self._address(now, address)
        if self.held + bytes_ > self.bytes or self._over_part(
            one, one.bytes + bytes_, self.held, self.bytes, "bytes"
        ):
            self.counts[CROWDED] += 1
            return False
        one.bytes, self.held = one.bytes + bytes_, self.held + bytes_
        return True

    def read(self, address, bytes_):
        """A request is whole, or given up: its bytes are no longer held here."""
        one = self.addresses.get(address)
        self.held -= bytes_
        if one is not None:
            one.bytes = max(0, one.bytes - bytes_)

    def may_check(self, now, address):
        """Whether a signature from there is worth checking; else it is refused unread."""
        if self._address(now, address).backoff.may_retry(now):
            return True
        self.counts[BAD] += 1
        return False

    def checked(self, now, address, good):
        one = self._address(now, address)
        if good:
            one.bad = 0
            one.backoff.succeeded()
            return
        one.bad += 1
        if one.bad >= BAD_IN_A_ROW:
            one.bad = 0
            one.backoff.failed(now)

    def wait(self, address, now):
        """Seconds after which a refused connection may be tried again, for `Retry-After`; drawn, so that a
        crowd parts."""
        one = self.addresses.get(address)
        ban = max(0, one.backoff.not_before - now) if one is not None else 0
        return 1 + int(ban / SECOND + self.chance() * (4 if self.storm else 2))
