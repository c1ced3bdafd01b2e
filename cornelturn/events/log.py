"""Log lines: one line of key=value pairs for each event."""

from __future__ import annotations

import logging as standard_logging
import sys
from enum import Enum
from typing import TextIO

from absl import flags, logging

from cornelturn.events.sink import LineBudget, LineQueue

NEEDS_QUOTES = frozenset(' "=\n\r\t')

BUDGET = LineBudget()

Field = str | int | float | bool | None | Enum


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
    logger = logging.get_absl_logger()
    for handler in [one for one in logger.handlers if isinstance(one, LineQueue)]:
        logger.removeHandler(handler)
        handler.close()
    logger.addHandler(LineQueue(stream or sys.stderr))
    logger.propagate = False
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
    if logging.level_info() and BUDGET.take(event):
        logging.info("%s", _bounded(event, fields))


def log_debug(event: str, **fields: Field) -> None:
    """Log an event that only helps to find faults."""
    if logging.level_debug() and BUDGET.take(event):
        logging.debug("%s", _bounded(event, fields))


def log_warning(event: str, **fields: Field) -> None:
    """Log an event that an operator may have to act on."""
    if BUDGET.take(event):
        logging.warning("%s", _bounded(event, fields))


def _bounded(event: str, fields: dict[str, Field]) -> str:
    """Return the pairs of an event, with the lines left out before it, if any."""
    left_out = BUDGET.left_out(event)
    if left_out:
        fields = {**fields, "left_out": left_out}
    return render(event, fields)
