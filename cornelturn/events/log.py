"""Log lines: one line of key=value pairs for each event."""

from __future__ import annotations

import logging as standard_logging
import sys
import time
from enum import Enum
from typing import TextIO

from absl import flags, logging

NEEDS_QUOTES = frozenset(' "=\n\r\t')

Field = str | int | float | bool | None | Enum


class KeyValueFormatter(standard_logging.Formatter):
    """Puts time and level in front of the pairs of the event."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line of a record."""
        moment = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        stamp = f"{moment}.{int(record.msecs):03d}Z"
        return f"time={stamp} level={record.levelname.lower()} {record.getMessage()}"


def configure_logging(level: str, stream: TextIO | None = None) -> None:
    """Send all events at or above a level to a stream.

    Parameters
    ----------
    level : str
        One of debug, info, warning, error.
    stream : file or None
        Where the lines go, None for standard error.
    """
    if not flags.FLAGS.is_parsed():
        # Until flags are parsed the library sends all lines to standard error.
        flags.FLAGS(["cornelturn"])
    handler = logging.get_absl_handler()
    handler.setFormatter(KeyValueFormatter())
    handler.python_handler.stream = stream or sys.stderr
    logging.use_absl_handler()
    logging.set_verbosity(level)
    for name in ("uvicorn", "uvicorn.error", "blacksheep.server"):
        standard_logging.getLogger(name).setLevel(standard_logging.CRITICAL)


def render(event: str, fields: dict[str, Field]) -> str:
    """Return the key=value pairs of an event."""
    pairs = [f"event={event}"]
    pairs += [f"{key}={render_value(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def render_value(value: Field) -> str:
    """Return a value, quoted where it would break the line apart."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, Enum):
        value = value.value
    text = str(value)
    if text and NEEDS_QUOTES.isdisjoint(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'


def log_event(event: str, **fields: Field) -> None:
    """Log an event of normal operation."""
    if logging.level_info():
        logging.info("%s", render(event, fields))


def log_debug(event: str, **fields: Field) -> None:
    """Log an event that only helps to find faults."""
    if logging.level_debug():
        logging.debug("%s", render(event, fields))


def log_warning(event: str, **fields: Field) -> None:
    """Log an event that an operator may have to act on."""
    logging.warning("%s", render(event, fields))
