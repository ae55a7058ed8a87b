"""The log of a dispatcher on the platform: one JSON object per line.

It is used instead of structlog because it has few imports, so that a dispatcher fits into a small machine.
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
        text = orjson.dumps(line, default=str, option=orjson.OPT_NON_STR_KEYS)  # allows enum members as keys
        self.out.write(text.decode() + "\n")
        self.out.flush()

    def debug(self, event: str, **fields: object) -> None:
        """Do nothing, because the log of the platform has no room for debug events."""

    def info(self, event: str, **fields: object) -> None:
        """Log a normal event."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log a fault that does not interrupt service."""
        self._write("warning", event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Log a fault that needs an operator."""
        self._write("error", event, fields)
