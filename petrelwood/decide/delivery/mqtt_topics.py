"""The topics of MQTT messages: what a request asks for, and where its answer may be published.

Topics of requests are `act/CUSTOMER/TYPE/FUNCTION`; the broker lets a customer's session publish under its
own name only. An answer may go to a topic under `reply/CUSTOMER/` only, and to none with wildcards: no
message makes this dispatcher publish where its sender may not.
"""

from typing import NamedTuple

REQUEST_LEVEL = "act"
RESPONSE_LEVEL = "reply"
REQUEST_LEVELS = 4  # the levels of a request's topic
FORBIDDEN_IN_RESPONSE_TOPIC = frozenset("+#\0")


class TopicRequest(NamedTuple):
    """The parts of a request's topic; `rejection_reason` is set if the topic names no activation."""

    customer: str
    type: str
    function: str
    rejection_reason: str = ""


def subscription_filter(group: str, customer: str) -> str:
    """Return the shared subscription by which the dispatchers of a group receive one customer's messages."""
    return f"$share/{group}/{REQUEST_LEVEL}/{customer}/+/+"


def parse_request(topic: str, customer: str) -> TopicRequest:
    """Return the request that a message to this topic makes, received by this customer's subscription."""
    levels = topic.split("/")
    well_formed = len(levels) == REQUEST_LEVELS and all(levels)
    if not well_formed or levels[:2] != [REQUEST_LEVEL, customer]:
        expected = f"{REQUEST_LEVEL}/{customer}/TYPE/FUNCTION"
        return TopicRequest(customer, "", "", f"activations are published to {expected}")
    _, _, type_name, function = levels
    return TopicRequest(customer, type_name, function)


def is_allowed_response_topic(topic: str, customer: str) -> bool:
    """Return whether an answer to this customer's message may be published to a topic."""
    prefix = f"{RESPONSE_LEVEL}/{customer}/"
    is_below = topic.startswith(prefix) and len(topic) > len(prefix)
    return is_below and FORBIDDEN_IN_RESPONSE_TOPIC.isdisjoint(topic)


def message_id(response_topic: str | None, correlation: bytes | None, session: str, number: int) -> str:
    """Return the id of a message in the ledger, the same for a retry with the same Correlation Data.

    A message without Correlation Data has no id of its own, and is a new activation each time: its id is made
    of the session and of its `number` there.
    """
    if correlation is None:
        return f"mqtt:{session}:{number}"
    return f"mqtt:{response_topic or ''}:{correlation.hex()}"
