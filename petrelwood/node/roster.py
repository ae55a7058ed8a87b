"""The roster of workers, polled by DNS over UDP.

`node.roster_protocol` has the messages. What is believed of the endpoint list is decided in
`decide.cluster.membership`, when to poll in `decide.cluster.polling`. An answer counts if it comes from the
roster, has the id of an open query and is complete; a list that is older than the last one changes nothing.
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

DATAGRAM_SIZE = 65_535  # bytes of a datagram at most
MOST_READS = 8  # datagrams in one turn of the loop
# As many failed reads in a row are borne: a query that is refused makes one of them.
MOST_RECEIVE_FAILURES = 8
UNUSABLE_ANSWERS_LOGGED = 7
# send(2): the socket is as good as before, and nothing was sent
TRANSIENT_ERRORS = frozenset(
    (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM, errno.ECONNREFUSED)
)


class RosterCore(Protocol):
    """What the roster needs of the dispatcher."""

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
        """Learn of a new endpoint list; `draining`: workers that drain or are gone since."""


class DnsRoster:
    """The roster at one address.

    Each new list goes to `membership`, and what it changes to `core`. Times in ns.
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
        # the last answer without its id: most answers repeat it, and need not be decoded
        self.last_answer: bytes | None = None
        self.counts = {"asked": 0, "good": 0, "unusable": 0, "old": 0}
        self.needs_reopening = False  # it could not be opened, or its socket has failed
        self.failure_logged = False  # since the last usable answer
        self.receive_failures = 0  # since the last datagram or query

    def open(self) -> None:
        """Open the socket; where that fails it is tried again before the next query."""
        self.needs_reopening = False
        try:
            self._connect()
        except OSError as error:
            self._reopen_later(error)

    def _connect(self) -> None:
        self.close()
        self.sock = sockets.new_socket(self.address[0], socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.connect(self.address)  # the kernel drops what comes from anyone else
        self.core.loop.add_reader(self.sock, self._read, self.sock)

    def close(self) -> None:
        """Close the socket, if it is open."""
        if self.sock is not None:
            self.core.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None

    def set_address(self, address: Address) -> None:
        """Poll the roster at another address from now on; the numbers of its lists go on."""
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
        """Send a query. Where it can't be sent now, the next one follows soon."""
        try:
            try:
                sock.send(query)
            except ConnectionRefusedError:  # of the query before; this one was not sent
                sock.send(query)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                self._reopen_later(error)

    def _reopen_later(self, error: OSError) -> None:
        """Close the socket; the next query opens another one.

        It may never work again: the local address that it is bound to may have gone.
        """
        self.close()
        self.needs_reopening = True
        if not self.failure_logged:
            self.failure_logged = True
            host, port = self.address
            self.log.warning("the roster can't be asked", address=f"{host}:{port}", why=str(error))

    def _read(self, sock: socket.socket) -> None:
        """Handle the datagrams that have come, up to `MOST_READS`."""
        for _ in range(MOST_READS):
            try:
                data = sock.recv(DATAGRAM_SIZE)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:  # a refusal of what was sent before
                self.receive_failures += 1
                # a query has one refusal: this would go on, as fast as the loop turns
                if self.receive_failures > MOST_RECEIVE_FAILURES:
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
        # an answer may come long after it was written, but not before its query was sent
        self.membership.on_complete(queried_at)

    def _end_query(self, data: bytes) -> int | None:
        """Return when the query of an answer was sent, or None if it answers no open one."""
        if len(data) < roster_protocol.HEADER_SIZE:
            return None
        return self.polling.end_query(int.from_bytes(data[: roster_protocol.ID_SIZE], "big"))

    def _decode(self, data: bytes) -> EndpointList | None:
        """Return the list in an answer, or None where it is unusable, which is counted and logged."""
        try:
            return roster_protocol.decode_answer(data)
        except UnusableAnswerError as error:
            self.counts["unusable"] += 1
            if self.counts["unusable"] <= UNUSABLE_ANSWERS_LOGGED:
                self.log.info("an answer of the roster is of no use", why=str(error))
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
