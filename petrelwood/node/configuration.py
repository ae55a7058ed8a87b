"""The configuration of one dispatcher: environment variables, and the JSON file that the platform writes.

The file is decoded once into the values that the core and the decision module need. Its keys are defined by
the platform.
"""

import errno
import json
import resource
from collections.abc import Mapping
from typing import Any, NamedTuple, NotRequired, TypedDict

from petrelwood import ports
from petrelwood.decide.cluster.membership import Endpoint, EndpointState
from petrelwood.links.interfaces import Address
from petrelwood.node.json_object import ConfigurationError, JsonObject
from petrelwood.node.module_terms import module_terms
from petrelwood.node.units import MS

CONNECT_TIMEOUT = 250 * MS  # the default for connections to workers
LOAD_ORDER_TIMEOUT = 10_000 * MS  # the default for load orders
ENDPOINT_STATES = {
    "Ready": EndpointState.USABLE,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.GONE,
}
NAME_VARIABLE = "PROXY_NAME"
LISTEN_VARIABLE = "PROXY_LISTEN"
FILE_VARIABLE = "PROXY_CONFIG"


class NoDescriptorError(ConfigurationError):
    """The file could not be opened, because the process or the machine has no file descriptor left."""


class RawEndpoint(TypedDict):
    """A worker in the file's endpoint list."""

    name: str
    address: str
    status: str
    zone: NotRequired[str | None]
    group: NotRequired[int | None]
    since_ms: NotRequired[int | None]


class RawTopology(TypedDict):
    """The workers that one event lists: all workers (a snapshot), or only the changed ones."""

    snapshot: NotRequired[bool]
    endpoints: list[RawEndpoint]


class RawEvent(TypedDict):
    """One event of the endpoint list."""

    topology: RawTopology


class RawEvents(TypedDict):
    """The events of the endpoint list before the start of the dispatcher, in order."""

    batch: list[RawEvent]


class EndpointBatch(NamedTuple):
    """The endpoints of one event."""

    complete: bool  # whether it replaces all earlier batches
    endpoints: tuple[Endpoint, ...]


class WorkerTerms(NamedTuple):
    """The terms of connections to workers; times in ns."""

    connect_within: int
    idle: int  # the idle timeout after which a worker closes a connection; 0: none
    streams: int  # the number of concurrent requests on one connection
    order_within: int  # the timeout of a load order
    cancels: bool  # whether a sent request may be cancelled


class Configuration(NamedTuple):
    """The configuration of a dispatcher, with the parts of `settings.gateway.Gateway` that the core uses."""

    name: str
    listen: Address  # for clients
    names: Address  # of the roster, which is polled for the endpoint list
    number: int  # the number of the last event in `known`
    known: tuple[EndpointBatch, ...]  # the endpoint list at the start
    seed: str  # of the random number generator
    sockets: int  # the number of file descriptors that the process may have open
    memory: int  # bytes
    timeouts: dict[str, int]  # namespace type -> action timeout, ns
    customers: frozenset[str]  # the names of all customers, including those without a quota
    workers: WorkerTerms
    terms: ports.Terms
    damps: bool = False  # whether the core damps retry storms
    early: None = None  # the terms of load forecasts; there are none here
    limits: None = None  # the limits of webhooks; there are none here


def parse_address(text: str) -> Address:
    """Return the address of "HOST:PORT".

    Raises:
        ValueError: the port is missing or not a number.
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


def decode_endpoint(raw: RawEndpoint) -> Endpoint:
    """Return the decoded endpoint.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: the endpoint is malformed.
    """
    return Endpoint(
        raw["name"],
        parse_address(raw["address"]),
        raw.get("zone") or "",
        int(raw.get("group") or 0),
        int(raw.get("since_ms") or 0) * MS,
        ENDPOINT_STATES[raw["status"]],
    )


def _decode_events(events: RawEvents) -> tuple[EndpointBatch, ...]:
    batches: list[EndpointBatch] = []
    for event in events["batch"]:
        topology = event["topology"]
        complete = bool(topology.get("snapshot")) or not batches
        endpoints = [decode_endpoint(each) for each in topology["endpoints"]]  # faster than a generator
        batches.append(EndpointBatch(complete, tuple(endpoints)))
    return tuple(batches)


def _worker_terms(permissions: JsonObject, family: JsonObject) -> WorkerTerms:
    return WorkerTerms(
        permissions.time("connectTimeout", 0) or CONNECT_TIMEOUT,
        permissions.time("connIdle", 0),
        max(1, int(permissions.number("multiplex", 1))),
        family.time("orderLimit", 0) or LOAD_ORDER_TIMEOUT,
        permissions.flag("cancelling"),
    )


def decode(raw: dict[str, Any]) -> Configuration:
    """Return the configuration decoded from the JSON object of the file.

    Raises:
        ConfigurationError: a value is missing or malformed.
        KeyError, TypeError, ValueError, AttributeError: an address or the endpoint list is malformed.
    """
    file = JsonObject(raw, "the file")
    settings = file.member("settings")
    limits = file.member("limits")
    settings.path = "settings"
    permissions = settings.member("permissions")
    family = settings.member("familyInfo")
    timeouts = {each.text("name"): each.time("deadline", least=1) for each in settings.members("classes")}
    return Configuration(
        name=file.text("name"),
        listen=parse_address(file.text("listen")),
        names=parse_address(file.text("names")),
        number=int(file.member("known").number("offset")),
        known=_decode_events(raw["known"]),
        seed=str(raw["seed"]),
        sockets=int(limits.number("sockets", least=1)),
        memory=int(limits.number("memory_mb", least=1)) << 20,
        timeouts=timeouts,
        customers=frozenset(each.text("name") for each in settings.members("tenants", [])),
        workers=_worker_terms(permissions, family),
        terms=module_terms(settings.raw),
    )


def _usable_descriptors(configured: int) -> int:
    """Return the configured limit of open descriptors, or that of the process if it is lower."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if limit == resource.RLIM_INFINITY else min(configured, limit)


def _read_file(path: str) -> Configuration:
    try:
        with open(path, "rb") as file:
            return decode(json.load(file))
    except OSError as error:
        out_of_descriptors = error.errno in (errno.EMFILE, errno.ENFILE)
        kind = NoDescriptorError if out_of_descriptors else ConfigurationError
        raise kind(f"can't read {path}: {error.strerror}") from error
    except ConfigurationError as error:
        raise ConfigurationError(f"{path}: {error}") from error
    except KeyError as error:
        raise ConfigurationError(f"{path} lacks {error}") from error
    except (ValueError, TypeError, AttributeError, IndexError) as error:
        raise ConfigurationError(f"{path} can't be used: {error}") from error


def read(environ: Mapping[str, str]) -> Configuration:
    """Return the configuration from the environment and the file that it names.

    The number of descriptors is bounded by the limit of the process.

    Raises:
        NoDescriptorError: the file can't be opened for lack of a descriptor; its content may be valid.
        ConfigurationError: a variable is missing, or the file is unreadable or malformed.
    """
    for variable in (NAME_VARIABLE, LISTEN_VARIABLE, FILE_VARIABLE):
        if not environ.get(variable):
            raise ConfigurationError(f"the variable {variable} is not set")
    configuration = _read_file(environ[FILE_VARIABLE])
    listen = environ[LISTEN_VARIABLE]
    try:
        listen_address = parse_address(listen)
    except ValueError as error:
        raise ConfigurationError(f"{LISTEN_VARIABLE} must be HOST:PORT, not {listen!r}") from error
    return configuration._replace(
        name=environ[NAME_VARIABLE],
        listen=listen_address,
        sockets=_usable_descriptors(configuration.sockets),
    )
