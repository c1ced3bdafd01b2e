"""Structured log: each event is one line of key=value pairs."""

from __future__ import annotations

import logging as standard_logging
import re
import sys
from collections.abc import Collection
from enum import Enum
from typing import TextIO

from absl import flags, logging

from cornelturn.events.sink import LineQueueHandler, LineRateLimiter

NEEDS_QUOTES = re.compile(r'[ "=\n\r\t]')

MAX_LISTED_NAMES = 12
"""Number of names that one field of an event lists."""

LINE_RATE_LIMITER = LineRateLimiter()

FieldValue = str | int | float | bool | None | Enum


def configure_logging(level: str, stream: TextIO | None = None) -> None:
    """Write all events at or above a level to a stream.

    Parameters
    ----------
    level : str
        One of debug, info, warning, error.
    stream : file or None
        Stream for the lines, None for standard error.
    """
    if not flags.FLAGS.is_parsed():
        # Until its flags are parsed, absl writes all lines to standard error.
        flags.FLAGS(["cornelturn"])
    logger = logging.get_absl_logger()
    for handler in [
        existing
        for existing in logger.handlers
        if isinstance(existing, LineQueueHandler)
    ]:
        logger.removeHandler(handler)
        handler.close()
    logger.addHandler(LineQueueHandler(stream or sys.stderr))
    logger.propagate = False
    logging.set_verbosity(level)
    # Lines contain neither thread nor process, so records need not look them up.
    standard_logging.logThreads = False
    standard_logging.logProcesses = False
    standard_logging.logMultiprocessing = False
    for name in ("uvicorn", "uvicorn.error", "blacksheep.server"):
        standard_logging.getLogger(name).setLevel(standard_logging.CRITICAL)


def log_write_s() -> float:
    """Return the time spent on writing log lines, in seconds."""
    handlers = logging.get_absl_logger().handlers
    return sum(
        handler.write_time.spent_s
        for handler in handlers
        if isinstance(handler, LineQueueHandler)
    )


def render_event(event: str, fields: dict[str, FieldValue]) -> str:
    """Return an event and its fields as key=value pairs."""
    pairs = [f" {key}={render_value(value)}" for key, value in fields.items()]
    return f"event={event}{''.join(pairs)}"


def render_value(value: FieldValue) -> str:
    """Return a value as text, quoted if it contains a delimiter."""
    if type(value) is int:
        return str(value)
    text = value if type(value) is str else _text(value)
    if text and not NEEDS_QUOTES.search(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'


def render_names(names: Collection[str]) -> str:
    """Return the first few names in order, then the number of the others."""
    listed = sorted(names)[:MAX_LISTED_NAMES]
    others = len(names) - len(listed)
    return ",".join([*listed, f"+{others}"] if others else listed) or "-"


def _text(value: FieldValue) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return str(value).lower()
    return str(value.value if isinstance(value, Enum) else value)


def log_event(event: str, **fields: FieldValue) -> None:
    """Log an event of normal operation."""
    if logging.level_info() and LINE_RATE_LIMITER.allow(event):
        _write(standard_logging.INFO, event, fields)


def log_debug(event: str, **fields: FieldValue) -> None:
    """Log an event that is useful only for debugging."""
    if logging.level_debug() and LINE_RATE_LIMITER.allow(event):
        _write(standard_logging.DEBUG, event, fields)


def log_warning(event: str, **fields: FieldValue) -> None:
    """Log an event that may require action by an operator."""
    if logging.level_warning() and LINE_RATE_LIMITER.allow(event):
        _write(standard_logging.WARNING, event, fields)


def _write(level: int, event: str, fields: dict[str, FieldValue]) -> None:
    """Pass a line to the handlers without looking up the calling line."""
    logger = logging.get_absl_logger()
    text = _render_line(event, fields)
    logger.handle(logger.makeRecord(logger.name, level, "", 0, text, (), None))


def _render_line(event: str, fields: dict[str, FieldValue]) -> str:
    """Render an event, with the number of its suppressed lines before it, if any."""
    suppressed = LINE_RATE_LIMITER.take_suppressed_count(event)
    if suppressed:
        fields = {**fields, "left_out": suppressed}
    return render_event(event, fields)
