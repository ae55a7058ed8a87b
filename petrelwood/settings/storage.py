"""What a dispatcher stores, and where versions of its settings come from."""

from typing import NamedTuple

from petrelwood.decide.cluster.rollout import DEFAULT_ROLLOUT_TIME, MIN_ROLLOUT_TIME
from petrelwood.settings.decoders import ADDRESS, COUNT, DURATION, SECOND, SIZE, TEXT, Address, one_of
from petrelwood.settings.node import Node


class HistoryTerms(NamedTuple):
    """How use over time is stored."""

    folder: str
    keep: int  # days
    max_size: int  # bytes on disk


class StateTerms(NamedTuple):
    """How the state that survives a restart is stored."""

    folder: str
    durability: str  # "process" or "machine": the end of which a stored record survives


class ConfigurationTerms(NamedTuple):
    """How versions of the settings come from the configuration servers."""

    servers: tuple[Address, ...]
    within: int  # ns from a version's beginning until it is in force at every dispatcher that can hear of it


def decode_history(node: Node | None) -> HistoryTerms | None:
    """Return what a `history` node describes; None, and no history, where there is none."""
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
    """Return what a `state` node describes; None, and nothing survives, where there is none."""
    if node is None:
        return None
    terms = StateTerms(
        folder=str(node.folder / node.value("folder", TEXT)),
        durability=node.value("durability", one_of("process", "machine"), "process"),
    )
    node.reject_unknown()
    return terms


def decode_configuration(node: Node | None, versions: str) -> ConfigurationTerms | None:
    """Return what a `configuration` node describes; None where there is none.

    `versions`: the folder that versions are written to, as the file names it.
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
