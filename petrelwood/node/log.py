"""The log of a dispatcher on the platform: JSON lines on standard error, so few imports that they fit into a
small machine."""

import time

import orjson


class Log:
    """`info`, `warning`, `error` as a structlog logger has them."""

    def __init__(self, out):
        self.out = out

    def _line(self, level, event, fields):
        at = time.time()
        self.out.write(
            orjson.dumps({"at": round(at, 3), "level": level, "event": event, **fields}, default=str).decode()
            + "\n"
        )
        self.out.flush()

    def info(self, event, **fields):
        self._line("info", event, fields)

    def warning(self, event, **fields):
        self._line("warning", event, fields)

    def error(self, event, **fields):
        self._line("error", event, fields)
