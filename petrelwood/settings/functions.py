"""Rules of functions: which namespace type a function is of, and what its copies are like."""

from collections.abc import Collection
from typing import NamedTuple

from petrelwood.settings.decoders import COUNT, DURATION, TEXT
from petrelwood.settings.errors import suggestion
from petrelwood.settings.node import Node


class FunctionRule(NamedTuple):
    """What holds for one function, or for those whose names begin alike."""

    pattern: str  # a whole name, or the beginning of names before a '*'
    type: str  # its namespace type
    lanes: int  # activations that a copy runs at a time
    load_time: int  # ns; 0: not known
    work: int = 0  # ns of the usual work; 0: not known


def _decode_function(node: Node, namespace_types: Collection[str], *, file_is_partial: bool) -> FunctionRule:
    namespace_type = node.prop("type", TEXT)
    if namespace_type not in namespace_types:
        # a type without a name, or one in a part that can't be read, may be meant
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
    """Return the rules of a gateway's file in their order; `namespace_types`: the names that it defines."""
    return tuple(
        _decode_function(node, namespace_types, file_is_partial=file.partial)
        for node in file.labelled("function", "function")
    )
