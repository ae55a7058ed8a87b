"""The topics of MQTT messages: which activation a request names, and where its answer may be published.

Requests have topics `act/CUSTOMER/TYPE/FUNCTION`; the broker lets the session of a customer publish under its
own name only. Answers are published only to topics under `reply/CUSTOMER/` without wildcards, so that no
sender can make this dispatcher publish where the sender itself may not.
"""

from typing import NamedTuple

REQUEST_LEVEL = "act"
RESPONSE_LEVEL = "reply"
REQUEST_LEVELS = 4  # levels in the topic of a request
FORBIDDEN_IN_RESPONSE_TOPIC = frozenset("+#\0")


class TopicRequest(NamedTuple):
    """The parts of the topic of a request; `rejection_reason` is set if the topic names no activation."""

    customer: str
    type: str
    function: str
    rejection_reason: str = ""


def subscription_filter(group: str, customer: str) -> str:
    """Return the shared subscription of a group of dispatchers for the messages of one customer."""
    return f"$share/{group}/{REQUEST_LEVEL}/{customer}/+/+"


def parse_request(topic: str, customer: str) -> TopicRequest:
    """Return the request of a message to this topic that a customer's subscription received."""
    levels = topic.split("/")
    well_formed = len(levels) == REQUEST_LEVELS and all(levels)
    if not well_formed or levels[:2] != [REQUEST_LEVEL, customer]:
        expected = f"{REQUEST_LEVEL}/{customer}/TYPE/FUNCTION"
        return TopicRequest(customer, "", "", f"activations are published to {expected}")
    _, _, type_name, function = levels
    return TopicRequest(customer, type_name, function)


def is_allowed_response_topic(topic: str, customer: str) -> bool:
    """Return whether an answer to this customer may be published to a topic."""
    prefix = f"{RESPONSE_LEVEL}/{customer}/"
    is_below = topic.startswith(prefix) and len(topic) > len(prefix)
    return is_below and FORBIDDEN_IN_RESPONSE_TOPIC.isdisjoint(topic)


def message_id(response_topic: str | None, correlation: bytes | None, session: str, number: int) -> str:
    """Return the ledger id of a message; retries with the same Correlation Data have the same id.

    A message without Correlation Data is a new activation each time: its id consists of the session and the
    `number` of the message in that session.
    """
    if correlation is None:
        return f"mqtt:{session}:{number}"
    return f"mqtt:{response_topic or ''}:{correlation.hex()}"
