"""Limits of a gateway's fronts: what is in flight, queued or waited for."""

from typing import NamedTuple

from petrelwood.settings.decoders import COUNT, DURATION, FRACTION, SECOND, SIZE
from petrelwood.settings.node import Node


class Limits(NamedTuple):
    """Each field is the setting of that name under `limits`."""

    connections: int = 2000
    header: int = 16_000  # bytes of one request's head
    body: int = 1_000_000  # bytes
    head_within: int = 5 * SECOND  # ns from the connection's start, or the first byte, to the end of the head
    body_within: int = 10 * SECOND  # ns
    idle: int = 75 * SECOND  # ns between two requests
    pipeline: int = 16  # requests read ahead on one connection
    held: int = 20_000  # activations, queued or in flight, that are owed an answer
    per_customer: float = 0.8  # the part of `held` that one customer may have
    ledger: int = 500_000  # ids remembered
    results: int = 64_000_000  # bytes of answers remembered for retries
    handshakes: int = 250  # new connections that have not finished a first request
    bytes: int = 256_000_000  # of requests that are not complete yet, over all connections


DEFAULT_LIMITS = Limits()


def decode_limits(node: Node | None) -> Limits:
    """Return the limits that a `limits` node sets, or the defaults where there is none."""
    if node is None:
        return DEFAULT_LIMITS
    default = DEFAULT_LIMITS
    limits = Limits(
        connections=node.value("connections", COUNT, default.connections),
        header=node.value("header", SIZE, default.header),
        body=node.value("body", SIZE, default.body),
        head_within=node.value("head-within", DURATION, default.head_within),
        body_within=node.value("body-within", DURATION, default.body_within),
        idle=node.value("idle", DURATION, default.idle),
        pipeline=node.value("pipeline", COUNT, default.pipeline),
        held=node.value("held", COUNT, default.held),
        per_customer=node.value("per-customer", FRACTION, default.per_customer),
        ledger=node.value("ledger", COUNT, default.ledger),
        results=node.value("results", SIZE, default.results),
        handshakes=node.value("handshakes", COUNT, default.handshakes),
        bytes=node.value("bytes", SIZE, default.bytes),
    )
    node.reject_unknown()
    return limits
