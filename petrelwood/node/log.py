"""The log of a dispatcher on the platform: one JSON object a line.

It has few imports, so that a dispatcher fits into a small machine; structlog has many.
"""

import time
from typing import TextIO

import orjson


class JsonLogger:
    """Writes events to a stream; its methods are those of a structlog logger."""

    def __init__(self, out: TextIO) -> None:
        self.out = out

    def _write(self, level: str, event: str, fields: dict[str, object]) -> None:
        line = {"at": round(time.time(), 3), "level": level, "event": event, **fields}
        text = orjson.dumps(line, default=str, option=orjson.OPT_NON_STR_KEYS)  # members of an enum as keys
        self.out.write(text.decode() + "\n")
        self.out.flush()

    def debug(self, event: str, **fields: object) -> None:
        """Write nothing: the platform's log has no room for it."""

    def info(self, event: str, **fields: object) -> None:
        """Log a normal event."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log a fault that service survives."""
        self._write("warning", event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Log a fault that an operator should see to."""
        self._write("error", event, fields)
