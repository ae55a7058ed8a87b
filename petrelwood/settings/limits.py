"""Limits of a gateway's fronts: connections, request sizes, timeouts, and unfinished activations."""

from typing import NamedTuple

from petrelwood.settings.decoders import COUNT, DURATION, FRACTION, SECOND, SIZE
from petrelwood.settings.node import Node


class Limits(NamedTuple):
    """The settings under `limits`, with the same names."""

    connections: int = 2000
    header: int = 16_000  # bytes of the head of a request
    body: int = 1_000_000  # bytes of the body of a request
    # ns, from the connection's start or the request's first byte to the end of the head
    head_within: int = 5 * SECOND
    body_within: int = 10 * SECOND  # ns, from the end of the head to the end of the body
    idle: int = 75 * SECOND  # ns, the maximum time between two requests
    pipeline: int = 16  # maximum number of requests read ahead on a connection
    held: int = 20_000  # maximum number of activations, queued or in flight, that have no answer yet
    per_customer: float = 0.8  # the maximum share of `held` for one customer
    ledger: int = 500_000  # maximum number of remembered ids
    results: int = 64_000_000  # bytes of the answers that are remembered for retries
    handshakes: int = 250  # maximum number of connections without a complete first request
    bytes: int = 256_000_000  # maximum bytes of incomplete requests over all connections


DEFAULT_LIMITS = Limits()


def decode_limits(node: Node | None) -> Limits:
    """Return the limits that a `limits` node sets, or the defaults if there is no such node."""
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
