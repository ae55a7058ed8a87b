"""Plausibility checks, which find valid settings that contradict each other or will soon fail."""

import datetime
from collections.abc import Iterator

from petrelwood import ports
from petrelwood.settings.customers import Customer
from petrelwood.settings.decoders import SECOND
from petrelwood.settings.errors import SettingsError
from petrelwood.settings.gateway import Gateway
from petrelwood.settings.node import Node

EXPIRY_NOTICE = 14  # days before a certificate expires


def _section(file: Node, name: str, label: str | None = None) -> Node:
    """Return the first node with a name, and with a label if given, or the file if there is none."""
    for node in file.children:
        if node.name == name and (label is None or node.args[:1] == [label]):
            return node
    return file


def _check_namespace_types(file: Node, gateway: Gateway) -> Iterator[SettingsError]:
    used_types = {rule.type for rule in gateway.functions}
    for name, namespace_type in gateway.terms.types.items():
        node = _section(file, "namespace-type", name)
        is_deduplicated = namespace_type.effect == ports.Effect.DEDUPLICATED
        if name not in used_types:
            yield node.error(f"no function is of namespace type '{name}'")
        if is_deduplicated and namespace_type.window < gateway.timeouts[name]:
            yield node.error(
                f"the window of '{name}' is shorter than its action timeout: what may have "
                "run late in it can't be sent again"
            )
        has_window = any(child.name == "window" for child in node.children)
        if not is_deduplicated and has_window:
            yield node.error(f"'{name}' is {namespace_type.effect}: its window means nothing")


def _check_functions(file: Node, gateway: Gateway) -> Iterator[SettingsError]:
    prefix_rules = [rule for rule in gateway.functions if rule.pattern.endswith("*")]
    for rule in prefix_rules:
        for other in prefix_rules:
            covers_it = other is not rule and rule.pattern.startswith(other.pattern[:-1])
            if covers_it and rule._replace(pattern="") == other._replace(pattern=""):
                node = _section(file, "function", rule.pattern)
                yield node.error(f"'{rule.pattern}' says the same as '{other.pattern}', which covers it")
    if not gateway.functions:
        yield file.error("there is no function: every activation is answered 404")


def _check_load_orders(file: Node, gateway: Gateway) -> Iterator[SettingsError]:
    orders = gateway.terms.orders
    if not (orders.period and orders.allowed):
        return
    renewals = orders.period / max(1, orders.min_idle_time)
    if orders.base_orders < renewals:
        yield _section(file, "workers").error(
            f"the ration gives {orders.base_orders:g} free orders in {orders.period / SECOND:g} s; renewing "
            f"a single copy each {orders.min_idle_time / SECOND:g} s takes {renewals:.1f} of them"
        )


def _check_slow_start(file: Node, gateway: Gateway) -> Iterator[SettingsError]:
    guarantees = gateway.terms.guarantees
    if not guarantees.warm_up_time:
        return
    latencies = (namespace_type.target_latency for namespace_type in gateway.terms.types.values())
    shortest_latency = min(latencies, default=0)
    lanes = max((rule.lanes for rule in gateway.functions), default=0)
    # The number of concurrent sends that do not crash a cold worker.
    sends = guarantees.crash_load_multiple * guarantees.initial_capacity_share * lanes
    if shortest_latency and lanes and sends * guarantees.slow_start_window < shortest_latency:
        yield _section(file, "workers").error(
            f"a worker that has just started bears under one send in "
            f"{guarantees.slow_start_window / SECOND:g} s "
            f"({guarantees.crash_load_multiple:g} x {guarantees.initial_capacity_share:g} of {lanes} lanes, "
            f"an answer taking up to {shortest_latency / SECOND:g} s): "
            "it gets hardly any, and is not seen to be well"
        )
    if guarantees.slow_start_window > guarantees.warm_up_time:
        yield _section(file, "workers").error(
            "'fall' is longer than 'cold': a worker is warm before what it was given is counted"
        )


def _check_customers(file: Node, gateway: Gateway) -> Iterator[SettingsError]:
    if len(gateway.customers) <= 1:
        return
    customers: list[Customer] = list(gateway.customers.values())
    total_share = sum(customer.share for customer in customers)
    for customer in customers:
        if not customer.share and total_share:
            yield _section(file, "customer", customer.name).error(
                f"customer '{customer.name}' has no share, others have: nothing of its is beyond one"
            )
    if gateway.limits.per_customer * len(customers) < 1:
        yield _section(file, "limits").error("all customers' parts together are less than what may be held")


def _check_links(file: Node, gateway: Gateway) -> Iterator[SettingsError]:
    if gateway.workers.quiet <= gateway.workers.connect_within:
        yield _section(file, "workers").error(
            "'quiet' is no longer than 'connect-within': slow links are given up at once"
        )


def _check_upgrades(file: Node, gateway: Gateway) -> Iterator[SettingsError]:
    if gateway.control and gateway.state is None:
        yield _section(file, "control").error(
            "an upgrade without 'state' passes no ids: retries of what is on hand are refused as unknown"
        )


def _check_timeouts(file: Node, gateway: Gateway) -> Iterator[SettingsError]:
    for name, timeout in gateway.timeouts.items():
        if gateway.workers.drain_grace >= timeout:
            yield _section(file, "workers").error(
                f"'drain-grace' is no shorter than the action timeout of '{name}'"
            )
        if gateway.remember[name] < timeout:
            yield _section(file, "namespace-type", name).error(
                f"ids of '{name}' are forgotten before its action timeout is over"
            )


def _check_certificates(file: Node, gateway: Gateway, now: datetime.datetime) -> Iterator[SettingsError]:
    for section, identity in (
        ("gateway", gateway.tls),
        ("workers", gateway.worker_tls),
        ("mqtt", gateway.mqtt.tls if gateway.mqtt else None),
    ):
        if identity is not None:
            remaining = identity.check(now)
            if remaining is not None and remaining.days < EXPIRY_NOTICE:
                yield _section(file, section).error(f"its certificate runs out in {remaining.days} days")


def warnings(file: Node, gateway: Gateway, now: datetime.datetime | None = None) -> list[SettingsError]:
    """Return warnings about implausible settings in a gateway's file, each with its position.

    Args:
        file: The file.
        gateway: The settings decoded from the file.
        now: The time at which certificates are checked; None: the system time.
    """
    return [
        *_check_namespace_types(file, gateway),
        *_check_functions(file, gateway),
        *_check_load_orders(file, gateway),
        *_check_slow_start(file, gateway),
        *_check_customers(file, gateway),
        *_check_links(file, gateway),
        *_check_upgrades(file, gateway),
        *_check_timeouts(file, gateway),
        *_check_certificates(file, gateway, now or datetime.datetime.now(datetime.UTC)),
    ]
