"""The broker that triggers come from."""

from typing import NamedTuple

from petrelwood.links.tls import Identity
from petrelwood.settings.decoders import ADDRESS, COUNT, DURATION, SECOND, SIZE, TEXT, Address
from petrelwood.settings.node import Node
from petrelwood.settings.tls import decode_identity

DEFAULT_WINDOW = (4, 256)  # activations; least, most
MAX_WINDOW = 65535  # activations: MQTT's Receive Maximum has 16 bits
MIN_KEEP_ALIVE = SECOND  # ns
SPECIAL_IN_TOPICS = frozenset("+#/")


class MqttTerms(NamedTuple):
    """How a dispatcher connects to the broker, and how much it takes from it."""

    broker: Address
    user: str | None
    password: bytes | None
    group: str  # of the shared subscription: the same at all dispatchers
    keep_alive: int  # ns
    session: int  # ns that the broker keeps a session without a connection
    min_window: int  # activations of one customer under way at a time
    max_window: int
    connect_within: int  # ns
    max_packet_size: int  # bytes
    max_queued_answers: int  # that wait for the broker, for each customer
    initial_backoff: int  # ns, the first backoff before it connects again
    max_backoff: int  # ns, the longest
    tls: Identity | None


def _decode_window(node: Node) -> tuple[int, int]:
    """Return the least and the most activations of one customer under way at a time."""
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
    """Return what an `mqtt` node describes; None, and no triggers from a broker, where there is none."""
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
