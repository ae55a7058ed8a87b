"""The roster of workers, polled by DNS over UDP.

`node.roster_protocol` encodes and decodes the messages, `decide.cluster.membership` decides how lists change
the membership, and `decide.cluster.polling` when to poll. An answer is accepted if it comes from the roster,
has the id of an open query and is complete; a list that is older than the last one is ignored.
"""

import asyncio
import errno
import socket
from typing import Protocol

from petrelwood.decide.cluster.membership import Membership
from petrelwood.decide.cluster.polling import RosterPolling
from petrelwood.dispatch.interfaces import Clock
from petrelwood.links import sockets
from petrelwood.links.interfaces import Address, Logger
from petrelwood.node import roster_protocol
from petrelwood.node.roster_protocol import EndpointList, UnusableAnswerError
from petrelwood.ports import EndpointEntry

DATAGRAM_SIZE = 65_535  # the maximum size of a datagram, in bytes
MAX_READS_PER_ITERATION = 8  # the number of datagrams read in one iteration of the event loop
# The number of successive failed reads that are tolerated; a refused query causes one.
MAX_RECEIVE_FAILURES = 8
UNUSABLE_ANSWERS_LOGGED = 7  # the number of unusable answers that are logged; later ones are only counted
# Errors of send(2) after which the socket remains usable and nothing was sent.
TRANSIENT_ERRORS = frozenset(
    (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM, errno.ECONNREFUSED)
)


class RosterCore(Protocol):
    """The interface of the dispatcher for the roster."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop."""

    @property
    def clock(self) -> Clock:
        """The clock, for wall-clock time."""

    def now(self) -> int:
        """Return the monotonic time in ns."""

    def endpoints_changed(
        self, entries: list[EndpointEntry], draining: list[str], is_whole: bool, /
    ) -> object:
        """Handle a new endpoint list; `draining`: workers that began to drain or are gone."""


class DnsRoster:
    """The roster at one address.

    Each new list is applied to `membership`, and its changes are passed to `core`. Times are in ns.
    """

    def __init__(
        self,
        address: Address,
        membership: Membership,
        polling: RosterPolling,
        core: RosterCore,
        log: Logger,
    ) -> None:
        self.address = address
        self.membership = membership
        self.polling = polling
        self.core = core
        self.log = log
        self.sock: socket.socket | None = None
        self.query_without_id = roster_protocol.encode_query()
        # the last answer without its id; most answers are equal to it and need not be decoded
        self.last_answer: bytes | None = None
        self.counts = {"asked": 0, "good": 0, "unusable": 0, "old": 0}
        self.needs_reopening = False  # the socket could not be opened, or has failed
        self.failure_logged = False  # since the last usable answer
        self.receive_failures = 0  # since the last datagram or query

    def open(self) -> None:
        """Open the socket; if that fails, the next query tries again."""
        self.needs_reopening = False
        try:
            self._connect()
        except OSError as error:
            self._reopen_later(error)

    def _connect(self) -> None:
        self.close()
        self.sock = sockets.new_socket(self.address[0], socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.connect(self.address)  # the kernel drops datagrams from other senders
        self.core.loop.add_reader(self.sock, self._read, self.sock)

    def close(self) -> None:
        """Close the socket, if it is open."""
        if self.sock is not None:
            self.core.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None

    def set_address(self, address: Address) -> None:
        """Poll the roster at another address from now on; the numbering of the lists continues."""
        self.address = address
        self.polling.restart(self.core.now())
        self.failure_logged = False
        self.open()

    def check(self, now: int) -> None:
        """Send a query if one is due."""
        is_closed = self.sock is None and not self.needs_reopening
        if is_closed or not self.polling.is_due(now):
            return
        if self.needs_reopening:
            self.open()
        self.counts["asked"] += 1
        query_id = self.polling.begin_query(now).to_bytes(roster_protocol.ID_SIZE, "big")
        self.receive_failures = 0
        if self.sock is not None:
            self._send(self.sock, query_id + self.query_without_id)

    def _send(self, sock: socket.socket, query: bytes) -> None:
        """Send a query; if it can't be sent now, the next one follows soon."""
        try:
            try:
                sock.send(query)
            except ConnectionRefusedError:  # reports the refusal of the previous query; this one was not sent
                sock.send(query)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                self._reopen_later(error)

    def _reopen_later(self, error: OSError) -> None:
        """Close the socket; the next query opens another one.

        The socket may never work again, because the local address that it is bound to may be gone.
        """
        self.close()
        self.needs_reopening = True
        if not self.failure_logged:
            self.failure_logged = True
            host, port = self.address
            self.log.warning("can't query the roster", address=f"{host}:{port}", why=str(error))

    def _read(self, sock: socket.socket) -> None:
        """Handle up to `MAX_READS_PER_ITERATION` received datagrams."""
        for _ in range(MAX_READS_PER_ITERATION):
            try:
                data = sock.recv(DATAGRAM_SIZE)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:  # reports the refusal of an earlier query
                self.receive_failures += 1
                # a query is refused once; more failures would make the event loop spin
                if self.receive_failures > MAX_RECEIVE_FAILURES:
                    self._reopen_later(error)
                    return
                continue
            self.receive_failures = 0
            self.handle_datagram(data)

    def handle_datagram(self, data: bytes) -> None:
        """Handle one datagram from the roster's address."""
        now = self.core.now()
        queried_at = self._end_query(data)
        if queried_at is None:
            self.counts["unusable"] += 1
            return
        answer = data[roster_protocol.ID_SIZE :]
        if answer == self.last_answer:
            self.membership.on_complete(queried_at)
            self._usable_answer_received(now)
            return
        endpoint_list = self._decode(data)
        if endpoint_list is None:
            return
        if endpoint_list.serial < self.membership.number:
            self.counts["old"] += 1
            return
        self.last_answer = answer
        self._usable_answer_received(now)
        if endpoint_list.serial > self.membership.number:
            self._apply(endpoint_list, now)
        # the answer may be old, but it was written after its query was sent
        self.membership.on_complete(queried_at)

    def _end_query(self, data: bytes) -> int | None:
        """Return when the query of an answer was sent, or None if no open query has its id."""
        if len(data) < roster_protocol.HEADER_SIZE:
            return None
        return self.polling.end_query(int.from_bytes(data[: roster_protocol.ID_SIZE], "big"))

    def _decode(self, data: bytes) -> EndpointList | None:
        """Return the list in an answer; count and log an unusable answer and return None."""
        try:
            return roster_protocol.decode_answer(data)
        except UnusableAnswerError as error:
            self.counts["unusable"] += 1
            if self.counts["unusable"] <= UNUSABLE_ANSWERS_LOGGED:
                self.log.info("ignored an unusable roster answer", why=str(error))
            return None

    def _apply(self, endpoint_list: EndpointList, now: int) -> None:
        list_id = f"dns-{endpoint_list.serial}"
        wall = self.core.clock.wall()
        change = self.membership.apply_list(list_id, endpoint_list.endpoints, now, wall)
        self.core.endpoints_changed(change.listed, change.leaving, True)

    def _usable_answer_received(self, now: int) -> None:
        self.counts["good"] += 1
        self.failure_logged = False
        self.polling.on_usable_answer(now)
        if self.membership.on_contact(now):
            self.log.info("roster heard again")
