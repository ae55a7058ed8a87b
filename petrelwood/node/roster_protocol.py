"""The endpoint list as DNS messages: a query for the SRV records of one name, and the answers to it.

An answer lists all workers. Each SRV record names a worker, with its port and its state (as the priority); an
A record has the address of the worker, and a TXT record its cell and its start time. The serial of the SOA
record is the number of the list. The messages are encoded and decoded by dnspython.
"""

from collections.abc import Callable
from typing import NamedTuple

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rdata
import dns.rdataclass
import dns.rdatatype
from dns.rdtypes.ANY.SOA import SOA
from dns.rdtypes.ANY.TXT import TXT
from dns.rdtypes.IN.A import A
from dns.rdtypes.IN.SRV import SRV

from petrelwood.decide.cluster.membership import Endpoint, EndpointState
from petrelwood.errors import ProtocolError
from petrelwood.node.units import MS

SERVICE_NAME = dns.name.from_text("_api._tcp.svc.local")
STATE_OF_PRIORITY = {0: EndpointState.USABLE, 1: EndpointState.DRAINING}
ID_SIZE = 2  # bytes of the id at the start of a message
HEADER_SIZE = 12  # the minimum size of a message, in bytes
MIN_TARGET_LABELS = 3  # the name of a worker: its id, its zone and a suffix

# The library imports the module of a record type with the first record of that type. Import them now, because
# no descriptor may be left then to open the file of the module.
_load_class: Callable[[dns.rdataclass.RdataClass, dns.rdatatype.RdataType], object] = (
    dns.rdata.get_rdata_class
)
for _type in (dns.rdatatype.SRV, dns.rdatatype.SOA, dns.rdatatype.A, dns.rdatatype.TXT):
    _load_class(dns.rdataclass.IN, _type)


class UnusableAnswerError(ProtocolError):
    """An answer without a complete and well-formed endpoint list."""


class EndpointList(NamedTuple):
    """A complete endpoint list."""

    serial: int  # the number of the list; later lists have larger numbers
    endpoints: list[Endpoint]


def encode_query() -> bytes:
    """Return the query for the endpoint list without the id that precedes it."""
    query = dns.message.make_query(SERVICE_NAME, dns.rdatatype.SRV)
    query.flags = dns.flags.Flag(0)
    return query.to_wire()[ID_SIZE:]


def decode_answer(data: bytes) -> EndpointList:
    """Return the endpoint list in an answer.

    Raises:
        UnusableAnswerError: the answer is malformed, to another query, or lacks a part of the list.
    """
    try:
        message = dns.message.from_wire(data)
    except (dns.exception.DNSException, ValueError, IndexError) as error:
        raise UnusableAnswerError(f"the answer is malformed: {error!r}") from error
    _check_header(message)
    _check_question(message)
    serial = _serial(message)
    return EndpointList(serial, _endpoints(message))


def _check_header(message: dns.message.Message) -> None:
    is_answer = message.flags & dns.flags.QR and message.opcode() == dns.opcode.QUERY
    if not is_answer or message.flags & dns.flags.TC:
        raise UnusableAnswerError("the message is not a complete answer")
    if message.rcode() != dns.rcode.NOERROR:
        raise UnusableAnswerError(f"the answer has the error code {dns.rcode.to_text(message.rcode())}")


def _check_question(message: dns.message.Message) -> None:
    questions = message.question
    if len(questions) != 1 or questions[0].name != SERVICE_NAME or questions[0].rdtype != dns.rdatatype.SRV:
        raise UnusableAnswerError("the answer is to another question")
    record_sets = message.answer + message.authority + message.additional
    if any(record_set.rdclass != dns.rdataclass.IN for record_set in record_sets):
        raise UnusableAnswerError("the answer has records of another class")


def _serial(message: dns.message.Message) -> int:
    """Return the serial of the one SOA record."""
    first_records = [record_set[0] for record_set in message.authority if len(record_set)]
    serials = [record.serial for record in first_records if isinstance(record, SOA)]
    if len(serials) != 1:
        raise UnusableAnswerError("the answer lacks its SOA record or has several")
    return serials[0]


def _endpoints(message: dns.message.Message) -> list[Endpoint]:
    """Return the endpoints, in the order of their SRV records."""
    hosts: dict[dns.name.Name, str] = {}
    texts: dict[dns.name.Name, dict[str, str]] = {}
    for record_set in message.additional + message.answer:
        record = record_set[0]
        if isinstance(record, A):
            hosts[record_set.name] = record.address
        elif isinstance(record, TXT):
            texts[record_set.name] = _decode_text(record)
    return [
        _decode_endpoint(record, hosts, texts)
        for record_set in message.answer
        if record_set.name == SERVICE_NAME
        for record in record_set
        if isinstance(record, SRV)
    ]


def _decode_text(record: TXT) -> dict[str, str]:
    """Return the values in the `name=value` strings of a TXT record, by name."""
    values: dict[str, str] = {}
    for string in record.strings:
        name, _, value = string.decode("utf-8", "replace").partition("=")
        values[name] = value
    return values


def _decode_endpoint(
    record: SRV, hosts: dict[dns.name.Name, str], texts: dict[dns.name.Name, dict[str, str]]
) -> Endpoint:
    """Return the endpoint of an SRV record; `hosts` and `texts`: the A and TXT records, by target name."""
    target = record.target
    labels = target.labels
    text = texts.get(target)
    if (
        target not in hosts
        or text is None
        or len(labels) < MIN_TARGET_LABELS
        or record.priority not in STATE_OF_PRIORITY
    ):
        raise UnusableAnswerError(f"missing record or unknown state of {target}")
    try:
        return Endpoint(
            labels[0].decode(),
            (hosts[target], record.port),
            labels[1].decode(),
            int(text.get("cell") or 0),
            int(text.get("started") or 0) * MS,
            STATE_OF_PRIORITY[record.priority],
        )
    except ValueError as error:
        raise UnusableAnswerError(f"a record of {target} is malformed: {error}") from error
