"""Clients of a soak test that send signed webhooks."""

import time
from collections import deque

import httptools

from benchmarks.soak.clients import COMPLETED, Client, ClientConnection
from benchmarks.soak.peers import rig
from benchmarks.soak.plan import EFFECTS
from benchmarks.soak.records import Request
from petrelwood.fronts.signing import sign
from petrelwood.standins.caller import request as encode_request

TYPES = ("again", "hall", "once")  # namespace types of the stand-in's settings, in the order of EFFECTS
OUTCOMES = {200: COMPLETED, 503: "rejected", 504: "aborted"}


class WebhookConnection(ClientConnection):
    """One HTTP/1.1 connection; responses arrive in the order of the requests."""

    def __init__(self, play) -> None:
        super().__init__(play)
        self.unanswered: deque[int] = deque()
        self.parser = httptools.HttpResponseParser(self)

    def data_received(self, data):
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Record an answer (called by httptools)."""
        status = self.parser.get_status_code()
        message_id = self.unanswered.popleft() if self.unanswered else 0
        self.answered(message_id, OUTCOMES.get(status, f"status {status}"))
        self.parser = httptools.HttpResponseParser(self)

    def encode(self, message_id: int, request: Request, function: int) -> bytes:
        self.unanswered.append(message_id)
        stamp = int(time.time())
        body = b"{}"
        headers = {
            "Content-Type": "application/json",
            "webhook-id": request.id,
            "webhook-timestamp": stamp,
            "webhook-signature": sign("v1", rig.SECRET, request.id, stamp, body),
        }
        type_name = TYPES[EFFECTS.index(request.effect)]
        return encode_request(f"/hooks/x/{type_name}-{function}", headers, body)


class WebhookClient(Client):
    """Sends webhooks one at a time, because HTTP/1.1 delays a response until the previous one was sent."""

    connection_class = WebhookConnection
    ways_to_leave = ("close", "reset")

    def ask(self) -> None:
        """Send one request, unless another one has no answer yet."""
        if not self.connection.unanswered:
            super().ask()

    def _time_allowed(self, number: int) -> float:
        return self.plan.deadlines[number]
