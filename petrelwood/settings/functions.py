"""Function rules: the namespace type of a function, and the properties of its copies."""

from collections.abc import Collection
from typing import NamedTuple

from petrelwood.settings.decoders import COUNT, DURATION, TEXT
from petrelwood.settings.errors import suggestion
from petrelwood.settings.node import Node


class FunctionRule(NamedTuple):
    """The settings of one function, or of all functions with a common name prefix."""

    pattern: str  # a complete name, or a name prefix followed by '*'
    type: str  # the namespace type
    lanes: int  # maximum number of activations that a copy runs concurrently
    load_time: int  # ns; 0: unknown
    work: int = 0  # ns, the usual service time; 0: unknown


def _decode_function(node: Node, namespace_types: Collection[str], *, file_is_partial: bool) -> FunctionRule:
    namespace_type = node.prop("type", TEXT)
    if namespace_type not in namespace_types:
        # The type may be defined by a node without a valid name, or in an included file that can't be read.
        all_are_known = bool(namespace_types) and "" not in namespace_types and not file_is_partial
        if all_are_known:
            hint = suggestion(namespace_type, sorted(namespace_types))
            node.report(f"there is no namespace type '{namespace_type}'{hint}")
    rule = FunctionRule(
        pattern=node.arg(TEXT, "a name"),
        type=namespace_type,
        lanes=node.prop("lanes", COUNT, 1) or 1,
        load_time=node.prop("load-time", DURATION, 0),
    )
    node.reject_unknown(1)
    return rule


def decode_functions(file: Node, namespace_types: Collection[str]) -> tuple[FunctionRule, ...]:
    """Return the function rules of a gateway's file in file order.

    `namespace_types` has the names of the namespace types that the file defines.
    """
    return tuple(
        _decode_function(node, namespace_types, file_is_partial=file.partial)
        for node in file.labelled("function", "function")
    )
