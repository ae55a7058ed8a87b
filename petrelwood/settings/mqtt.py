"""Settings of the MQTT broker that delivers triggers."""

from typing import NamedTuple

from petrelwood.links.tls import Identity
from petrelwood.settings.decoders import ADDRESS, COUNT, DURATION, SECOND, SIZE, TEXT, Address
from petrelwood.settings.node import Node
from petrelwood.settings.tls import decode_identity

DEFAULT_WINDOW = (4, 256)  # activations: minimum, maximum
MAX_WINDOW = 65535  # activations; MQTT's Receive Maximum has 16 bits
MIN_KEEP_ALIVE = SECOND  # ns
SPECIAL_IN_TOPICS = frozenset("+#/")


class MqttTerms(NamedTuple):
    """The connection of a dispatcher to the broker, and the limits of the data on it."""

    broker: Address
    user: str | None
    password: bytes | None
    group: str  # of the shared subscription; the same for all dispatchers
    keep_alive: int  # ns
    session: int  # ns, the time for which the broker keeps a session without a connection
    min_window: int  # smallest window, the maximum number of activations of one customer in flight
    max_window: int  # largest window
    connect_within: int  # ns, the timeout of connecting
    max_packet_size: int  # bytes
    max_queued_answers: int  # answers queued for the broker, per customer
    initial_backoff: int  # ns, the first delay before reconnecting
    max_backoff: int  # ns, the longest delay before reconnecting
    tls: Identity | None


def _decode_window(node: Node) -> tuple[int, int]:
    """Return the minimum and the maximum of the window of a customer's activations in flight."""
    window = node.optional_child("window")
    least, most = DEFAULT_WINDOW
    if window is not None:
        least = window.prop("least", COUNT, least)
        most = window.prop("most", COUNT, most)
    if not 0 < least <= most <= MAX_WINDOW:
        (window or node).report(f"'window' needs 0 < least <= most <= {MAX_WINDOW}")
    if window is not None:
        window.reject_unknown()
    return least, most


def _decode_password(node: Node) -> bytes | None:
    password = node.value("password", TEXT, "")
    file = node.value("password-file", TEXT, "")
    if file:
        try:
            password = (node.folder / file).read_text().strip()
        except OSError as error:
            node.report(f"'password-file' can't be read: {error.strerror}")
        except UnicodeDecodeError:
            node.report("'password-file' can't be read: it is not UTF-8")
    return password.encode() if password else None


def decode_mqtt(node: Node | None) -> MqttTerms | None:
    """Return the settings in an `mqtt` node; None, which disables triggers, if there is no such node."""
    if node is None:
        return None
    min_window, max_window = _decode_window(node)
    password = _decode_password(node)
    terms = MqttTerms(
        broker=node.value("broker", ADDRESS),
        user=node.value("user", TEXT, None),
        password=password,
        group=node.value("group", TEXT, "petrelwood"),
        keep_alive=node.value("keep-alive", DURATION, 20 * SECOND),
        session=node.value("session", DURATION, 30 * SECOND),
        min_window=min_window,
        max_window=max_window,
        connect_within=node.value("connect-within", DURATION, 2 * SECOND),
        max_packet_size=node.value("packet", SIZE, 1_000_000),
        max_queued_answers=node.value("answers", COUNT, 10_000),
        initial_backoff=node.value("come-back", DURATION, SECOND // 10),
        max_backoff=node.value("come-back-most", DURATION, 10 * SECOND),
        tls=decode_identity(node),
    )
    node.reject_unknown()
    if terms.keep_alive < MIN_KEEP_ALIVE:
        node.report("'keep-alive' must be 1 s or more: the protocol counts in seconds")
    if set(terms.group) & SPECIAL_IN_TOPICS:
        node.report("'group' can't hold '+', '#' or '/'")
    return terms
