"""Namespace types: what the activations of some functions have in common."""

from typing import NamedTuple

from petrelwood import ports
from petrelwood.settings.decoders import DURATION, TEXT, one_of
from petrelwood.settings.node import REQUIRED, Node


class NamespaceSettings(NamedTuple):
    """A namespace type as a file has it."""

    name: str
    type: ports.NamespaceType
    timeout: int  # ns until a client gives up
    remember: int  # ns that ids are remembered, as the file says; 0: it does not


class Namespaces(NamedTuple):
    """All namespace types of a gateway; each map is by the type's name."""

    types: dict[str, ports.NamespaceType]
    timeouts: dict[str, int]  # action timeout, ns
    remember: dict[str, int]  # ns that ids are remembered


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
    """Return the namespace types of a gateway's file.

    Ids are remembered for at least twice the tolerance (ns), so that no webhook is accepted after its id was
    forgotten.
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
