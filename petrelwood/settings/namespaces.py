"""Namespace types: the latencies, effect and deduplication that the activations of functions share."""

from typing import NamedTuple

from petrelwood import ports
from petrelwood.settings.decoders import DURATION, TEXT, one_of
from petrelwood.settings.node import REQUIRED, Node


class NamespaceSettings(NamedTuple):
    """A namespace type as defined in a file."""

    name: str
    type: ports.NamespaceType
    timeout: int  # ns, the action timeout, after which a client gives up
    remember: int  # ns, the time for which ids are remembered; 0: not set in the file


class Namespaces(NamedTuple):
    """All namespace types of a gateway; the keys are the names of the types."""

    types: dict[str, ports.NamespaceType]
    timeouts: dict[str, int]  # action timeout, ns
    remember: dict[str, int]  # how long ids are remembered, ns


def decode_namespace_type(node: Node) -> NamespaceSettings:
    """Return the namespace type that a `namespace-type` node describes."""
    name = node.arg(TEXT, "a name")
    target = node.value("target-latency", DURATION)
    timeout = node.value("action-timeout", DURATION)
    if target > timeout:
        node.report(f"namespace type '{name}': its target latency is over its action timeout")
    effect = node.value("effect", one_of(*ports.Effect))
    is_deduplicated = effect == ports.Effect.DEDUPLICATED
    scope = node.value("scope", one_of(*ports.Scope), REQUIRED if is_deduplicated else ports.Scope.ALL.value)
    window = node.value("window", DURATION, REQUIRED if is_deduplicated else 0)
    remember = node.value("remember", DURATION, 0)
    node.reject_unknown(1)
    namespace_type = ports.NamespaceType(target, ports.Effect(effect), ports.Scope(scope), window)
    return NamespaceSettings(name, namespace_type, timeout, remember)


def decode_namespaces(file: Node, tolerance: int) -> Namespaces:
    """Return the namespace types in a gateway's file.

    Ids are remembered for at least twice the tolerance (ns), so that a webhook's timestamp is no longer
    accepted when its id is forgotten.
    """
    namespaces = Namespaces({}, {}, {})
    for node in file.labelled("namespace-type", "namespace type"):
        decoded = decode_namespace_type(node)
        namespaces.types[decoded.name] = decoded.type
        namespaces.timeouts[decoded.name] = decoded.timeout
        namespaces.remember[decoded.name] = max(decoded.remember, 2 * tolerance)
    if not namespaces.types and not file.partial:
        file.report("no 'namespace-type' is given")
    return namespaces
