"""Server-sent events, the reader's half of the HTML standard's section 9.2: bytes to events."""


class Events:
    """Feed it bytes; it yields (event, data, id) for each one that is whole. A comment yields nothing."""

    def __init__(self, most=8_000_000):
        self.buffer, self.data, self.event, self.id, self.most = b"", [], "", "", most

    def feed(self, chunk):
        self.buffer += chunk
        if len(self.buffer) + sum(map(len, self.data)) > self.most:
            raise ValueError("an event is too large")
        lines = self.buffer.replace(b"\r\n", b"\n").split(b"\n")
        self.buffer = lines.pop()
        for line in lines:
            if not line:
                if self.data:
                    yield self.event or "message", "\n".join(self.data), self.id
                self.data, self.event = [], ""
                continue
            name, _, value = line.decode("utf-8", "replace").partition(":")
            value = value[1:] if value.startswith(" ") else value
            if name == "data":
                self.data.append(value)
            elif name == "event":
                self.event = value
            elif name == "id" and "\0" not in value:
                self.id = value


def event(kind, data, id_):
    """The bytes of one event; `data` without line breaks."""
    return f"event: {kind}\nid: {id_}\ndata: {data}\n\n".encode()
