"""Settings of a dispatcher's stored data, and of the sources of its settings versions."""

from typing import NamedTuple

from petrelwood.decide.cluster.rollout import DEFAULT_ROLLOUT_TIME, MIN_ROLLOUT_TIME
from petrelwood.settings.decoders import ADDRESS, COUNT, DURATION, SECOND, SIZE, TEXT, Address, one_of
from petrelwood.settings.node import Node


class HistoryTerms(NamedTuple):
    """The storage of the history of use."""

    folder: str
    keep: int  # days
    max_size: int  # bytes on disk


class StateTerms(NamedTuple):
    """The storage of the state that survives a restart."""

    folder: str
    durability: str  # "process" or "machine": records survive a crash of the process, or of the machine too


class ConfigurationTerms(NamedTuple):
    """The delivery of settings versions by the configuration servers."""

    servers: tuple[Address, ...]
    within: int  # ns, from the start of a roll-out until the version is in force at all reachable dispatchers


def decode_history(node: Node | None) -> HistoryTerms | None:
    """Return the settings in a `history` node; None, which disables it, if there is no such node."""
    if node is None:
        return None
    terms = HistoryTerms(
        folder=str(node.folder / node.value("folder", TEXT)),
        keep=node.value("keep", COUNT, 60),
        max_size=node.value("most", SIZE, 1 << 30),
    )
    node.reject_unknown()
    return terms


def decode_state(node: Node | None) -> StateTerms | None:
    """Return the settings in a `state` node; None, with which no state survives, if there is no such node."""
    if node is None:
        return None
    terms = StateTerms(
        folder=str(node.folder / node.value("folder", TEXT)),
        durability=node.value("durability", one_of("process", "machine"), "process"),
    )
    node.reject_unknown()
    return terms


def decode_configuration(node: Node | None, versions: str) -> ConfigurationTerms | None:
    """Return the settings in a `configuration` node; None if there is no such node.

    `versions` is the folder that versions are written to, as named in the file.
    """
    if node is None:
        return None
    servers = []
    for server in node.every("server"):
        servers.append(server.arg(ADDRESS, "an address"))
        server.reject_unknown(1)
    terms = ConfigurationTerms(tuple(servers), node.value("within", DURATION, DEFAULT_ROLLOUT_TIME))
    node.reject_unknown()
    if not servers:
        node.report("'configuration' needs a 'server' at least")
    if not versions:
        node.report("'configuration' needs a folder of 'versions' to keep what it hears of")
    if terms.within < MIN_ROLLOUT_TIME:
        least = MIN_ROLLOUT_TIME // SECOND
        node.report(f"'within' can't be under {least} s: versions are taken in stages")
    return terms
