"""Server-sent events: decoding for clients and encoding for servers.

Specification: https://html.spec.whatwg.org/multipage/server-sent-events.html, section 9.2.
"""

from collections.abc import Iterator
from typing import NamedTuple

from petrelwood.links.errors import MalformedEventError

MAX_EVENT_SIZE = 8_000_000  # bytes per event; larger than a list of all workers of a large site
DEFAULT_NAME = "message"


class Event(NamedTuple):
    """One event.

    Attributes:
        name: The type of the event.
        data: The lines of its data, joined.
        id: The id of this event, or of the last earlier event that had an id.
    """

    name: str
    data: str
    id: str


class EventReader:
    """Decodes a stream of bytes into events of at most `max_size` bytes each."""

    def __init__(self, max_size: int = MAX_EVENT_SIZE) -> None:
        self._max_size = max_size
        self._buffer = b""  # the incomplete line
        self._data: list[str] = []
        self._name = ""
        self._id = ""

    def feed(self, chunk: bytes) -> Iterator[Event]:
        """Yield the events that these bytes complete. Comments yield nothing.

        Raises:
            MalformedEventError: An event is too large.
        """
        self._buffer += chunk
        if len(self._buffer) + sum(map(len, self._data)) > self._max_size:
            raise MalformedEventError("an event is too large")
        lines = self._buffer.replace(b"\r\n", b"\n").split(b"\n")
        self._buffer = lines.pop()
        for line in lines:
            if line:
                self._take_field(line)
                continue
            if self._data:
                yield Event(self._name or DEFAULT_NAME, "\n".join(self._data), self._id)
            self._data = []
            self._name = ""

    def _take_field(self, line: bytes) -> None:
        name, _, value = line.decode("utf-8", "replace").partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            self._data.append(value)
        elif name == "event":
            self._name = value
        elif name == "id" and "\0" not in value:
            self._id = value


def event(name: str, data: str, event_id: str) -> bytes:
    """Return the bytes of one event; `data` must not contain line breaks."""
    return f"event: {name}\nid: {event_id}\ndata: {data}\n\n".encode()
