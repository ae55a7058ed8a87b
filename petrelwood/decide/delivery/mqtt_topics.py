"""What an MQTT message asks: which customer, function and patience, and where its answer may go.

Topics are `act/CUSTOMER/TYPE/FUNCTION`; the broker lets a customer's session publish under its own name only.
An answer may go under `reply/CUSTOMER/` only, to a topic without wildcards: nobody's message makes this
dispatcher publish where its sender may not."""

from typing import NamedTuple

ACT, REPLY = "act", "reply"


class TopicRequest(NamedTuple):
    """What a topic and its properties say; `why` where it can't be an activation."""

    customer: str
    type: str
    function: str
    why: str = ""


def filter_of(group, customer):
    return f"$share/{group}/{ACT}/{customer}/+/+"


def asked(topic, customer):
    parts = topic.split("/")
    if len(parts) != 4 or parts[0] != ACT or parts[1] != customer or not parts[2] or not parts[3]:
        return TopicRequest(customer, "", "", f"activations are published to {ACT}/{customer}/TYPE/FUNCTION")
    return TopicRequest(customer, parts[2], parts[3])


def may_answer(topic, customer):
    """Whether an answer may be published there."""
    return (
        topic.startswith(f"{REPLY}/{customer}/")
        and len(topic) > len(f"{REPLY}/{customer}/")
        and not (set(topic) & set("+#\0"))
    )


def identity(response_topic, correlation, session, number):
    """The id of a message in the ledger: the same for a client that asks again with the same Correlation
    Data. A message without any has none, and each is an activation of its own."""
    if correlation is None:
        return f"mqtt:{session}:{number}"
    return f"mqtt:{response_topic or ''}:{correlation.hex()}"
