"""Structured logs on standard error, one line per event, as JSON or readable text."""

import logging
import sys

import structlog


def open_log(output_format, level="info", **context):
    """Return a logger that adds `context` to each event; `output_format` is 'json' or 'text'."""
    renderer = (
        structlog.processors.JSONRenderer()
        if output_format == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger(**context)
