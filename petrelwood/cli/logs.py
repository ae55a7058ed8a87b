"""Structured logs: one line an event on standard error, as JSON or for reading."""

import logging
import sys

import structlog


def open_log(form, level="info", **bound):
    """A logger; `form` 'json' or 'text'."""
    shape = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            shape,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger(**bound)
