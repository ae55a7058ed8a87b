"""Admission of connections, TLS handshakes, unfinished requests and signature checks, by client address.

Limits apply to client addresses, not to the customer that a request names: before the signature is checked,
anyone could use up another customer's share. Each address has a rate limit for new connections. Once half of
a bound is in use, each address is limited to a share of it, so that many connections from one address don't
keep the others out; a single address may use nearly all. Requests of an address whose signatures fail are
rejected unread, with backoff. The number of known addresses is bounded; the least recently seen one without a
connection is forgotten.

The admission of activations is decided in `intake` and in `decide.scheduling.admission`.
"""

from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum
from operator import attrgetter

from petrelwood.decide.overload.backoff import Backoff

SECOND = 1_000_000_000  # ns
BURST_SHARE = 1 / 4  # share of the bound on connections that one address may open at once
MIN_BURST = 16  # connections that one address may open at once, where `BURST_SHARE` allows fewer
REFILL_SHARE = 1 / 8  # share of the bound on connections that one address may open per second
MIN_RATE = 1.0  # connections per second that one address may always open
STORM_RATE_FACTOR = 1 / 4  # multiplies the rate of each address during a storm of reconnects
SHARING_THRESHOLD = 0.5  # share of a bound in use above which each address is limited to an equal share
LONE_ADDRESS_SHARE = 7 / 8  # share of a bound that the only address using it may take
MAX_BAD_SIGNATURES = 16  # invalid signatures in a row after which an address is banned
FIRST_BAN = SECOND // 2  # ns for which the requests of a banned address are rejected unread at first
MAX_BAN = 32 * SECOND  # ns, the longest ban after repeated failures
MAX_ADDRESSES = 4096  # addresses that are remembered
RETRY_SPREAD = 2  # seconds over which the Retry-After of rejected connections is drawn
STORM_RETRY_SPREAD = 4  # the same spread during a storm of reconnects, in seconds


class AdmissionVerdict(StrEnum):
    """The verdict on an accepted connection; the values are also the names of the counters."""

    ADMIT = "take"
    TOO_FAST = "too fast"
    AT_CAPACITY = "crowded"
    OVER_SHARE = "over its part"
    BANNED = "bad signatures"


class Address:
    """The usage and the signature failures of one client address."""

    __slots__ = ("backoff", "bad_signatures", "bytes", "handshaking", "open", "seen_at", "tokens")

    def __init__(self, tokens: float, now: int, chance: Callable[[], float]) -> None:
        self.open = 0  # open connections
        self.handshaking = 0  # connections whose TLS handshake is not done
        self.bytes = 0  # bytes reserved for incomplete requests
        self.tokens = tokens  # connections that it may open now
        self.seen_at = now
        self.bad_signatures = 0  # consecutive
        self.backoff = Backoff(FIRST_BAN, MAX_BAN, chance)


Usage = Callable[[Address], int]
OPEN: Usage = attrgetter("open")
HANDSHAKING: Usage = attrgetter("handshaking")
BYTES: Usage = attrgetter("bytes")


class ConnectionAdmission:
    """Bounds on connections, handshakes and request bytes over all addresses.

    `chance` returns a random number in [0, 1). If `handshakes` is 0, handshakes are neither bounded nor
    counted. Times in ns.
    """

    def __init__(
        self,
        connections: int,
        handshakes: int,
        max_bytes: int,
        chance: Callable[[], float],
        max_addresses: int = MAX_ADDRESSES,
    ) -> None:
        self.connections = connections
        self.handshakes = handshakes
        self.max_bytes = max_bytes
        self.chance = chance
        self.max_addresses = max_addresses
        self.addresses: OrderedDict[str, Address] = OrderedDict()
        self.open = 0
        self.handshaking = 0
        self.reserved_bytes = 0
        self.is_storm = False
        self.burst = max(connections * BURST_SHARE, min(connections, MIN_BURST))
        self.counts = {verdict.value: 0 for verdict in AdmissionVerdict}

    def admit_connection(self, now: int, name: str) -> AdmissionVerdict:
        """Return ADMIT for an accepted connection, or the reason for closing it."""
        address = self._address(now, name)
        rate = max(MIN_RATE, self.connections * REFILL_SHARE) * (STORM_RATE_FACTOR if self.is_storm else 1.0)
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
        """Record that the handshake of an admitted connection has ended."""
        address = self.addresses.get(name)
        if self.handshakes and address is not None and address.handshaking:
            address.handshaking -= 1
            self.handshaking -= 1

    def on_closed(self, name: str) -> None:
        """Record that an admitted connection was closed."""
        address = self.addresses.get(name)
        self.open -= 1
        if address is not None:
            address.open = max(0, address.open - 1)

    def reserve_bytes(self, now: int, name: str, size: int) -> bool:
        """Reserve memory for bytes of an incomplete request; return False if there is not enough."""
        address = self._address(now, name)
        is_full = self.reserved_bytes + size > self.max_bytes
        if is_full or self._is_over_share(
            address, BYTES, address.bytes + size, self.reserved_bytes, self.max_bytes
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
        """Return whether to check a signature from this address; if not, its request is rejected unread."""
        if self._address(now, name).backoff.may_retry(now):
            return True
        self.counts[AdmissionVerdict.BANNED] += 1
        return False

    def record_signature(self, now: int, name: str, is_good: bool) -> None:
        """Record whether a signature from this address was valid."""
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
        """Return the `Retry-After` of a rejected connection, randomised so that retries spread out."""
        address = self.addresses.get(name)
        ban = max(0, address.backoff.not_before - now) if address is not None else 0
        return 1 + int(ban / SECOND + self.chance() * (STORM_RETRY_SPREAD if self.is_storm else RETRY_SPREAD))

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

    def _is_over_share(self, address: Address, usage: Usage, own_use: int, used: int, bound: int) -> bool:
        """Return whether an address has used up its share of a bound of which more than half is used.

        The only address that uses the bound may take all but an eighth, which is left for the next address.
        """
        if used <= bound * SHARING_THRESHOLD:
            return False
        active = max(1, sum(1 for each in self.addresses.values() if usage(each)))
        others = active - (1 if usage(address) else 0)
        return own_use >= max(1, bound // (others + 1) if others else bound * LONE_ADDRESS_SHARE)

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
        """Forget the least recently seen address without a connection, but not `newest`."""
        for name, address in self.addresses.items():
            if not address.open and name != newest:
                del self.addresses[name]
                return
