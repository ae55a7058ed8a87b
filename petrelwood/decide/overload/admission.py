"""Admission of connections, TLS handshakes, unfinished requests and signature checks, by client address.

The customer that a request names does not count: before its signature is checked, anyone could use up
another's share. An address has a rate limit for connections, and a share of each bound once half of the bound
is in use: many connections from one address don't keep the others out, and a single address may use nearly
all. An address whose signatures fail is rejected unread, with backoff. The number of known addresses is
bounded; the one that was seen longest ago is forgotten.

What is admitted of requests is decided in `intake`, and in `decide.scheduling.admission`.
"""

from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum
from operator import attrgetter

from petrelwood.decide.overload.backoff import Backoff

SECOND = 1_000_000_000  # ns
BURST = 1 / 4  # of the bound on connections, that one address may open at once,
LEAST_BURST = 16  # or so many connections if that is more
REFILL = 1 / 8  # of the bound on connections, that an address may open each second
LEAST_RATE = 1.0  # connections a second
STORM_RATE = 1 / 4  # factor of the rate during a storm of reconnects
SHARED_FROM = 0.5  # part of a bound in use, from which on each address has an equal share
LONE_SHARE = 7 / 8  # of a bound, for the only address that uses it
MAX_BAD_SIGNATURES = 16  # in a row, before an address is rejected unread
FIRST_BAN = SECOND // 2  # ns that it is rejected unread at first,
LONGEST_BAN = 32 * SECOND  # and at most
MOST_ADDRESSES = 4096  # that are remembered
SPREAD = 2  # seconds over which the Retry-After of rejected connections is drawn,
STORM_SPREAD = 4  # and during a storm of reconnects


class AdmissionVerdict(StrEnum):
    """What becomes of a connection that was accepted; also the names of the counters."""

    ADMIT = "take"
    TOO_FAST = "too fast"
    AT_CAPACITY = "crowded"
    OVER_SHARE = "over its part"
    BANNED = "bad signatures"


class Address:
    """What is known of one address."""

    __slots__ = ("backoff", "bad_signatures", "bytes", "handshaking", "open", "seen_at", "tokens")

    def __init__(self, tokens: float, now: int, chance: Callable[[], float]) -> None:
        self.open = 0  # connections
        self.handshaking = 0
        self.bytes = 0  # of requests that are not complete yet
        self.tokens = tokens
        self.seen_at = now
        self.bad_signatures = 0  # in a row
        self.backoff = Backoff(FIRST_BAN, LONGEST_BAN, chance)


Usage = Callable[[Address], int]
OPEN: Usage = attrgetter("open")
HANDSHAKING: Usage = attrgetter("handshaking")
BYTES: Usage = attrgetter("bytes")


class ConnectionAdmission:
    """Bounds on connections, handshakes and bytes over all addresses.

    `chance` is drawn in [0, 1); without a bound on handshakes (0) none are counted. Times in ns.
    """

    def __init__(
        self,
        connections: int,
        handshakes: int,
        most_bytes: int,
        chance: Callable[[], float],
        max_addresses: int = MOST_ADDRESSES,
    ) -> None:
        self.connections = connections
        self.handshakes = handshakes
        self.most_bytes = most_bytes
        self.chance = chance
        self.max_addresses = max_addresses
        self.addresses: OrderedDict[str, Address] = OrderedDict()
        self.open = 0
        self.handshaking = 0
        self.reserved_bytes = 0
        self.is_storm = False
        self.burst = max(connections * BURST, min(connections, LEAST_BURST))
        self.counts = {verdict.value: 0 for verdict in AdmissionVerdict}

    def admit_connection(self, now: int, name: str) -> AdmissionVerdict:
        """Return ADMIT for a connection that was accepted, or why it is to be closed."""
        address = self._address(now, name)
        rate = max(LEAST_RATE, self.connections * REFILL) * (STORM_RATE if self.is_storm else 1.0)
        address.tokens = min(self.burst, address.tokens + (now - address.seen_at) / SECOND * rate)
        address.seen_at = now
        verdict = self._verdict(now, address)
        if verdict is AdmissionVerdict.ADMIT:
            address.tokens -= 1
            address.open += 1
            self.open += 1
            if self.handshakes:
                address.handshaking += 1
                self.handshaking += 1
        self.counts[verdict] += 1
        return verdict

    def on_handshake_done(self, name: str) -> None:
        """Note that the handshake of an admitted connection is over."""
        address = self.addresses.get(name)
        if self.handshakes and address is not None and address.handshaking:
            address.handshaking -= 1
            self.handshaking -= 1

    def on_closed(self, name: str) -> None:
        """Note that an admitted connection was closed."""
        address = self.addresses.get(name)
        self.open -= 1
        if address is not None:
            address.open = max(0, address.open - 1)

    def reserve_bytes(self, now: int, name: str, size: int) -> bool:
        """Reserve memory for bytes of an unfinished request, and return whether there was enough."""
        address = self._address(now, name)
        is_full = self.reserved_bytes + size > self.most_bytes
        if is_full or self._is_over_share(
            address, BYTES, address.bytes + size, self.reserved_bytes, self.most_bytes
        ):
            self.counts[AdmissionVerdict.AT_CAPACITY] += 1
            return False
        address.bytes += size
        self.reserved_bytes += size
        return True

    def release_bytes(self, name: str, size: int) -> None:
        """Release the reserved bytes of a request that is complete or rejected."""
        address = self.addresses.get(name)
        self.reserved_bytes -= size
        if address is not None:
            address.bytes = max(0, address.bytes - size)

    def may_check_signature(self, now: int, name: str) -> bool:
        """Return whether a signature from this address is checked; else the request is rejected unread."""
        if self._address(now, name).backoff.may_retry(now):
            return True
        self.counts[AdmissionVerdict.BANNED] += 1
        return False

    def record_signature(self, now: int, name: str, is_good: bool) -> None:
        """Note whether a signature from this address was valid."""
        address = self._address(now, name)
        if is_good:
            address.bad_signatures = 0
            address.backoff.succeeded()
            return
        address.bad_signatures += 1
        if address.bad_signatures >= MAX_BAD_SIGNATURES:
            address.bad_signatures = 0
            address.backoff.failed(now)

    def retry_after_seconds(self, name: str, now: int) -> int:
        """Return the `Retry-After` of a rejected connection; drawn, so that many do not retry together."""
        address = self.addresses.get(name)
        ban = max(0, address.backoff.not_before - now) if address is not None else 0
        return 1 + int(ban / SECOND + self.chance() * (STORM_SPREAD if self.is_storm else SPREAD))

    def _verdict(self, now: int, address: Address) -> AdmissionVerdict:
        if self.open >= self.connections or (self.handshakes and self.handshaking >= self.handshakes):
            return AdmissionVerdict.AT_CAPACITY
        if not address.backoff.may_retry(now):
            return AdmissionVerdict.BANNED
        if self._is_over_share(address, OPEN, address.open, self.open, self.connections):
            return AdmissionVerdict.OVER_SHARE
        if self.handshakes and self._is_over_share(
            address, HANDSHAKING, address.handshaking, self.handshaking, self.handshakes
        ):
            return AdmissionVerdict.OVER_SHARE
        return AdmissionVerdict.TOO_FAST if address.tokens < 1 else AdmissionVerdict.ADMIT

    def _is_over_share(self, address: Address, usage: Usage, mine: int, used: int, bound: int) -> bool:
        """Return whether an address has used up its share of a bound that is half used.

        The only address that uses it may take all but an eighth, which is left for the next one.
        """
        if used <= bound * SHARED_FROM:
            return False
        active = max(1, sum(1 for each in self.addresses.values() if usage(each)))
        others = active - (1 if usage(address) else 0)
        return mine >= max(1, bound // (others + 1) if others else bound * LONE_SHARE)

    def _address(self, now: int, name: str) -> Address:
        found = self.addresses.get(name)
        if found is not None:
            self.addresses.move_to_end(name)
            return found
        found = Address(self.burst, now, self.chance)
        self.addresses[name] = found
        if len(self.addresses) > self.max_addresses:
            self._forget_one(name)
        return found

    def _forget_one(self, newest: str) -> None:
        """Forget the address that was seen longest ago, of those without a connection."""
        for name, address in self.addresses.items():
            if not address.open and name != newest:
                del self.addresses[name]
                return
