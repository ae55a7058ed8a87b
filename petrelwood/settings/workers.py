"""Settings of workers: their guarantees, the links to them, and the operations allowed to the scheduler."""

from typing import NamedTuple

from petrelwood import ports
from petrelwood.links.tls import Identity
from petrelwood.settings.decoders import COUNT, DURATION, FLAG, FRACTION, NUMBER, SECOND, SIZE, one_of
from petrelwood.settings.node import Node
from petrelwood.settings.tls import decode_identity


class WorkerTerms(NamedTuple):
    """The terms of links to workers."""

    connect_within: int  # ns, until the connection is open and the greeting has arrived
    queue: int  # maximum bytes queued for a worker that does not read
    frame: int  # maximum bytes of a message
    quiet: int  # ns; a link with outstanding responses is closed after this time without data
    drain_grace: int  # ns, the time for which sends continue after a worker is reported to drain
    order_within: int  # ns, the timeout of a load order


class WorkerSettings(NamedTuple):
    """All settings in a `workers` node."""

    links: WorkerTerms
    guarantees: ports.Guarantees
    orders: ports.LoadOrders
    allowed: ports.Allowed
    reports_by_probe: bool  # load is reported only in response to a probe, not with answers
    tls: Identity | None


class _Parts(NamedTuple):
    """The children of a `workers` node that have properties."""

    cold: Node
    fall: Node
    sends: Node
    ration: Node | None


def _decode_links(node: Node) -> WorkerTerms:
    return WorkerTerms(
        connect_within=node.value("connect-within", DURATION, SECOND // 4),
        queue=node.value("queue", SIZE, 4_000_000),
        frame=node.value("frame", SIZE, 8_000_000),
        quiet=node.value("quiet", DURATION, 30 * SECOND),
        drain_grace=node.value("drain-grace", DURATION, SECOND // 4),
        order_within=node.value("order-within", DURATION, 10 * SECOND),
    )


def _decode_guarantees(parts: _Parts) -> ports.Guarantees:
    return ports.Guarantees(
        max_list_request_interval=0,
        warm_up_time=parts.cold.arg(DURATION, "a time"),
        initial_capacity_share=parts.cold.prop("from", FRACTION),
        crash_load_multiple=parts.fall.prop("multiple", NUMBER),
        slow_start_window=parts.fall.arg(DURATION, "a time"),
    )


def _decode_orders(node: Node, ration: Node | None, *, keep: int, loads_on_send: bool) -> ports.LoadOrders:
    orders = ports.LoadOrders(
        allowed=node.value("orders", FLAG, True),
        loads_on_send=loads_on_send,
        min_idle_time=keep,
        base_orders=0.0,
        orders_per_activation=0.0,
        period=0,
    )
    if ration is None:
        return orders
    return orders._replace(
        base_orders=float(ration.prop("free", NUMBER)),
        orders_per_activation=ration.prop("part", FRACTION),
        period=ration.prop("period", DURATION),
    )


def _decode_allowed(node: Node, sends: Node) -> ports.Allowed:
    return ports.Allowed(
        sends=sends.arg(COUNT, "a number"),
        overlap=sends.prop("overlap", FLAG, True),
        cancel=node.value("cancel", FLAG, True),
        probe=node.value("probe", FLAG, True),
        retry_after=True,
        max_retry_after=node.value("most-retry-after", DURATION, 10 * SECOND),
    )


def decode_workers(node: Node) -> WorkerSettings:
    """Return the settings in a `workers` node."""
    parts = _Parts(
        cold=node.child("cold"),
        fall=node.child("fall"),
        sends=node.child("sends"),
        ration=node.optional_child("ration"),
    )
    keep = node.value("keep", DURATION)
    loads_on_send = node.value("on-miss", one_of("load", "miss")) == "load"
    settings = WorkerSettings(
        links=_decode_links(node),
        guarantees=_decode_guarantees(parts),
        orders=_decode_orders(node, parts.ration, keep=keep, loads_on_send=loads_on_send),
        allowed=_decode_allowed(node, parts.sends),
        reports_by_probe=node.value("reports", one_of("answers", "probe"), "answers") == "probe",
        tls=decode_identity(node),
    )
    parts.cold.reject_unknown(1)
    parts.fall.reject_unknown(1)
    parts.sends.reject_unknown(1)
    if parts.ration is not None:
        parts.ration.reject_unknown()
    node.reject_unknown()
    return settings
