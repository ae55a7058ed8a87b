"""The roster by DNS over UDP: the SRV records of one name are the whole list, the SOA's serial its number.

What is believed of the list is decided in `decide.cluster.membership`, when to ask in
`decide.cluster.polling`. An answer counts if its sender, its id and its question are those that were asked,
and it is whole and good; an older list changes nothing."""

import errno
import socket

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rdata
import dns.rdataclass
import dns.rdatatype

from petrelwood.decide.cluster.membership import Endpoint, EndpointState
from petrelwood.links import sockets
from petrelwood.node.units import MS

NAME = dns.name.from_text("_api._tcp.svc.local")
MOST = 65_535  # bytes of a datagram
STATES = {0: EndpointState.USABLE, 1: EndpointState.DRAINING}
READS = 8  # datagrams in one turn of the loop
# send(2) and recv(2): the socket is as good as before, and nothing was sent or received
MOMENTARY = frozenset(
    (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM, errno.ECONNREFUSED)
)

# The library imports a record type's module when the first record of it comes, when no descriptor may be left
# to open the module's file.
for _type in (dns.rdatatype.SRV, dns.rdatatype.SOA, dns.rdatatype.A, dns.rdatatype.TXT):
    dns.rdata.get_rdata_class(dns.rdataclass.IN, _type)


class Unusable(Exception):
    """An answer that says nothing."""


def question():
    """The query's bytes after its id."""
    query = dns.message.make_query(NAME, dns.rdatatype.SRV)
    query.flags = 0
    return query.to_wire()[2:]


def answer(data):
    """(serial, entries) of an answer's bytes. Raises `Unusable`."""
    try:
        message = dns.message.from_wire(data)
    except (dns.exception.DNSException, ValueError, IndexError) as fault:
        raise Unusable(f"can't be read: {fault!r}") from None
    if (
        not message.flags & dns.flags.QR
        or message.opcode() != dns.opcode.QUERY
        or message.flags & dns.flags.TC
    ):
        raise Unusable("not a whole answer")
    if message.rcode() != dns.rcode.NOERROR:
        raise Unusable(f"it says {dns.rcode.to_text(message.rcode())}")
    asked = message.question
    if len(asked) != 1 or asked[0].name != NAME or asked[0].rdtype != dns.rdatatype.SRV:
        raise Unusable("it answers another question")
    if any(r.rdclass != dns.rdataclass.IN for r in message.answer + message.authority + message.additional):
        raise Unusable("it has records of another class")
    serials = [r[0].serial for r in message.authority if r.rdtype == dns.rdatatype.SOA and len(r)]
    if len(serials) != 1:
        raise Unusable("it has no serial")
    hosts, texts, entries = {}, {}, []
    for record in message.additional + message.answer:
        if record.rdtype == dns.rdatatype.A:
            hosts[record.name] = record[0].address
        elif record.rdtype == dns.rdatatype.TXT:
            texts[record.name] = dict(
                s.decode("utf-8", "replace").partition("=")[::2] for s in record[0].strings
            )
    for record in message.answer:
        if record.rdtype == dns.rdatatype.SRV and record.name == NAME:
            for one in record:
                entries.append(_entry(one, hosts, texts))
    return serials[0], entries


def _entry(one, hosts, texts):
    labels, text = one.target.labels, texts.get(one.target)
    if one.target not in hosts or text is None or len(labels) < 3 or one.priority not in STATES:
        raise Unusable(f"it does not tell of {one.target}")
    try:
        return Endpoint(
            labels[0].decode(),
            (hosts[one.target], one.port),
            labels[1].decode(),
            int(text.get("cell") or 0),
            int(text.get("started") or 0) * MS,
            STATES[one.priority],
        )
    except ValueError as fault:
        raise Unusable(f"it garbles {one.target}: {fault}") from None


class DnsRoster:
    """`core.endpoints_changed(entries, leaving, whole)` hears of each list that is new."""

    def __init__(self, address, membership, polling, core, log):
        self.address, self.membership, self.polling, self.core, self.log = (
            address,
            membership,
            polling,
            core,
            log,
        )
        self.sock, self.question, self.last, self.counts = (
            None,
            question(),
            None,
            {"asked": 0, "good": 0, "unusable": 0, "old": 0},
        )
        self.failed = False  # it is to be opened, and could not be or has failed
        self.warned = False  # since the last good answer
        self.receive_failures = 0  # since a datagram or a question

    def open(self):
        """Where that can't be done now, it is tried again when the roster is next to be asked."""
        self.failed = False
        try:
            self._connect()
        except OSError as fault:
            self._reopen_later(fault)

    def _connect(self):
        self.close()
        self.sock = sockets.fresh(self.address[0], socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.connect(self.address)  # the kernel drops what comes from anyone else
        self.core.loop.add_reader(self.sock, self._read)

    def close(self):
        if self.sock is not None:
            self.core.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None

    def moves(self, address):
        """The roster is at another address from now on; its numbers go on."""
        self.address = address
        self.polling.restart(self.core.now())
        self.warned = False
        self.open()

    def check(self, now):
        if self.sock is None and not self.failed or not self.polling.is_due(now):
            return
        if self.failed:
            self.open()
        self.counts["asked"] += 1
        asked = self.polling.begin_query(now).to_bytes(2, "big") + self.question
        self.receive_failures = 0
        if self.sock is not None:
            self._send(asked)

    def _send(self, asked):
        try:
            try:
                self.sock.send(asked)
            except ConnectionRefusedError:  # of the question before; this one was not sent
                self.sock.send(asked)
        except OSError as fault:  # it is asked again
            if fault.errno not in MOMENTARY:
                self._reopen_later(fault)

    def _reopen_later(self, fault):
        """The socket may never work again: the address that it is bound to may have gone. The next question
        has another one."""
        self.close()
        self.failed = True
        if not self.warned:
            self.warned = True
            self.log.warning(
                "the roster can't be asked", address=f"{self.address[0]}:{self.address[1]}", why=str(fault)
            )

    def _read(self):
        for _ in range(READS):
            try:
                data = self.sock.recv(MOST)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as fault:  # a refusal of what was sent before
                self.receive_failures += 1
                # a question has one refusal: this would go on, as fast as the loop turns
                if self.receive_failures > READS:
                    self._reopen_later(fault)
                    return
                continue
            self.receive_failures = 0
            self.take(data)

    def take(self, data):
        """One datagram."""
        now, id_ = self.core.now(), int.from_bytes(data[:2], "big")
        asked_at = self.polling.end_query(id_) if len(data) >= 12 else None
        if asked_at is None:
            self.counts["unusable"] += 1
            return
        if data[2:] == self.last:  # nothing has changed: nothing is read
            self.membership.on_complete(asked_at)
            self._good(now)
            return
        try:
            serial, entries = answer(data)
        except Unusable as fault:
            self.counts["unusable"] += 1
            if self.counts["unusable"] < 8:
                self.log.info("an answer of the roster is of no use", why=str(fault))
            return
        if serial < self.membership.number:
            self.counts["old"] += 1
            return
        self.last = data[2:]
        self._good(now)
        if serial > self.membership.number:
            self.core.endpoints_changed(
                *self.membership.apply_list(f"dns-{serial}", entries, now, self.core.clock.wall()), True
            )
        # an answer may come long after it was written, but not before it was asked for
        self.membership.on_complete(asked_at)

    def _good(self, now):
        self.counts["good"] += 1
        self.warned = False
        self.polling.on_usable_answer(now)
        if self.membership.on_contact(now):
            self.log.info("roster heard again")
