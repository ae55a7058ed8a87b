"""The settings of a gateway: its customers and functions, its limits, and the terms of the scheduler."""

from pathlib import Path
from typing import NamedTuple

from petrelwood import ports
from petrelwood.links.tls import Identity
from petrelwood.settings.customers import Customer, decode_customers
from petrelwood.settings.decoders import ADDRESS, COUNT, DURATION, FLAG, SECOND, TEXT, Address
from petrelwood.settings.document import File
from petrelwood.settings.early_loads import EarlyTerms, decode_early_loads
from petrelwood.settings.errors import SettingsError
from petrelwood.settings.functions import FunctionRule, decode_functions
from petrelwood.settings.limits import Limits, decode_limits
from petrelwood.settings.mqtt import MqttTerms, decode_mqtt
from petrelwood.settings.namespaces import Namespaces, decode_namespaces
from petrelwood.settings.node import Node, ReadValue
from petrelwood.settings.storage import (
    ConfigurationTerms,
    HistoryTerms,
    StateTerms,
    decode_configuration,
    decode_history,
    decode_state,
)
from petrelwood.settings.tls import decode_identity
from petrelwood.settings.workers import WorkerSettings, WorkerTerms, decode_workers


class Gateway(NamedTuple):
    """All settings of one dispatcher."""

    name: str
    listen: Address
    roster: Address  # address of the endpoint list of workers
    seed: int
    tolerance: int  # ns, the maximum difference between a webhook's timestamp and the clock
    timeouts: dict[str, int]  # namespace type -> action timeout, ns
    remember: dict[str, int]  # namespace type -> how long ids are remembered, ns
    limits: Limits
    workers: WorkerTerms
    customers: dict[str, Customer]
    functions: tuple[FunctionRule, ...]
    terms: ports.Terms
    tls: Identity | None  # of the webhook front
    worker_tls: Identity | None
    mqtt: MqttTerms | None
    early: EarlyTerms | None  # None: there are no early loads
    history: HistoryTerms | None
    state: StateTerms | None  # None: no state survives a restart
    versions: str  # folder of the versions that are rolled out to all dispatchers; "": none
    configuration: ConfigurationTerms | None  # None: versions are written to the folder by other means
    control: str  # path of the socket for hand-overs; "": hand-overs are disabled
    health: str  # path of the local speaker's socket, which receives heartbeats; "": there is no speaker
    damps: bool  # whether retry storms are damped; true by default

    def as_of(self, own: "Gateway") -> "Gateway":
        """Return these settings, with those specific to one dispatcher taken from its `own` file."""
        return self._replace(
            name=own.name,
            listen=own.listen,
            seed=own.seed,
            state=own.state,
            history=own.history,
            control=own.control,
            versions=own.versions,
            configuration=own.configuration,
            health=own.health,
            terms=self.terms._replace(zone=own.terms.zone),
        )

    def rule(self, function: str) -> FunctionRule | None:
        """Return the rule for a function's full name, else for its longest prefix, else None."""
        longest = None
        for rule in self.functions:
            if rule.pattern == function:
                return rule
            fits = rule.pattern.endswith("*") and function.startswith(rule.pattern[:-1])
            if fits and (longest is None or len(rule.pattern) > len(longest.pattern)):
                longest = rule
        return longest


class _Identity(NamedTuple):
    """The settings of the dispatcher itself, from the `gateway` node."""

    name: str
    zone: str
    listen: Address
    roster: Address
    seed: int
    dispatchers: int
    tick: int  # ns
    tolerance: int  # ns
    tls: Identity | None


def _decode_gateway_node(node: Node) -> _Identity:
    identity = _Identity(
        name=node.arg(TEXT, "a name"),
        zone=node.value("zone", TEXT, ""),
        listen=node.value("listen", ADDRESS),
        roster=node.value("roster", ADDRESS),
        seed=node.value("seed", COUNT, 0),
        dispatchers=node.value("dispatchers", COUNT, 1),
        tick=node.value("tick", DURATION, SECOND // 500),
        tolerance=node.value("tolerance", DURATION, 300 * SECOND),
        tls=decode_identity(node),
    )
    node.reject_unknown(1)
    if not identity.dispatchers:
        node.report("'dispatchers' must be 1 or more: this one counts")
    return identity


def _module_terms(
    identity: _Identity, namespaces: Namespaces, customers: dict[str, Customer], workers: WorkerSettings
) -> ports.Terms:
    """Return the terms that the scheduler receives at its start."""
    return ports.Terms(
        zone=identity.zone,
        dispatchers=identity.dispatchers,
        types=namespaces.types,
        quotas={customer.name: customer.share for customer in customers.values() if customer.share},
        guarantees=workers.guarantees,
        orders=workers.orders,
        allowed=workers.allowed,
        must_request_list=False,
        reports_by_probe=workers.reports_by_probe,
        tick=identity.tick,
    )


class _Sections(NamedTuple):
    """The sections that don't depend on other sections; the fields are those of `Gateway`."""

    limits: Limits
    mqtt: MqttTerms | None
    early: EarlyTerms | None
    history: HistoryTerms | None
    state: StateTerms | None
    control: str
    versions: str
    configuration: ConfigurationTerms | None
    health: str
    damps: bool


def _decode_sections(file: Node) -> _Sections:
    limits = decode_limits(file.optional_child("limits"))
    mqtt = decode_mqtt(file.optional_child("mqtt"))
    early = decode_early_loads(file.optional_child("early"))
    history = decode_history(file.optional_child("history"))
    state = decode_state(file.optional_child("state"))
    control = file.value("control", TEXT, "")
    versions = file.value("versions", TEXT, "")
    return _Sections(
        limits=limits,
        mqtt=mqtt,
        early=early,
        history=history,
        state=state,
        control=file.resolve(control),
        versions=file.resolve(versions),
        configuration=decode_configuration(file.optional_child("configuration"), versions),
        health=file.resolve(file.value("health", TEXT, "")),
        damps=file.value("damp-storms", FLAG, True),
    )


def decode(file: Node) -> Gateway:
    """Return the gateway that a file describes.

    Raises:
        SettingsError: The first error, if the file does not collect errors.
    """
    identity = _decode_gateway_node(file.child("gateway"))
    namespaces = decode_namespaces(file, identity.tolerance)
    customers = decode_customers(file)
    functions = decode_functions(file, namespaces.types)
    sections = _decode_sections(file)
    workers = decode_workers(file.child("workers"))
    file.reject_unknown()
    return Gateway(
        name=identity.name,
        listen=identity.listen,
        roster=identity.roster,
        seed=identity.seed,
        tolerance=identity.tolerance,
        timeouts=namespaces.timeouts,
        remember=namespaces.remember,
        limits=sections.limits,
        workers=workers.links,
        customers=customers,
        functions=functions,
        terms=_module_terms(identity, namespaces, customers, workers),
        tls=identity.tls,
        worker_tls=workers.tls,
        mqtt=sections.mqtt,
        early=sections.early,
        history=sections.history,
        state=sections.state,
        versions=sections.versions,
        configuration=sections.configuration,
        control=sections.control,
        health=sections.health,
        damps=sections.damps,
    )


def read(
    path: str | Path,
    text: str | None = None,
    errors: list[SettingsError] | None = None,
    values: list[ReadValue] | None = None,
) -> Gateway:
    """Return the gateway that a file, or a text given instead, describes.

    Args:
        path: The file.
        text: The text to parse; None: the text is read from the file.
        errors: Receives all errors; None: the first error is raised.
        values: Receives each value that the decoding reads.

    Raises:
        SettingsError: The first error, if `errors` is None.
    """
    return decode(File(path, text, errors, values))
