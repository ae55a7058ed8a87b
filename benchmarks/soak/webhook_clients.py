"""Clients of a soak that send signed webhooks."""

import time
from collections import deque

import httptools

from benchmarks.soak.clients import COMPLETED, Client, ClientConnection
from benchmarks.soak.peers import rig
from benchmarks.soak.plan import EFFECTS
from benchmarks.soak.records import Request
from petrelwood.fronts.signing import sign
from petrelwood.standins.caller import request as encode_request

TYPES = ("again", "hall", "once")  # of the stand-in's settings, in the order of EFFECTS
WORDS = {200: COMPLETED, 503: "rejected", 504: "aborted"}


class WebhookConnection(ClientConnection):
    """One connection of HTTP/1.1; answers come in the order of the requests."""

    def __init__(self, play) -> None:
        super().__init__(play)
        self.unanswered: deque[int] = deque()
        self.parser = httptools.HttpResponseParser(self)

    def data_received(self, data):
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Note an answer, as httptools has read one."""
        status = self.parser.get_status_code()
        message_id = self.unanswered.popleft() if self.unanswered else 0
        self.answered(message_id, WORDS.get(status, f"status {status}"))
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
    """Asks by webhooks, one at a time: an answer may not come before that of the request ahead of it."""

    connection_class = WebhookConnection
    ways_to_leave = ("close", "reset")

    def ask(self) -> None:
        """Write one request, unless one is open."""
        if not self.connection.unanswered:
            super().ask()

    def _time_allowed(self, number: int) -> float:
        return self.plan.deadlines[number]
