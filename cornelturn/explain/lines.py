"""Parsing of log lines, which may be unordered, truncated and of several entries."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime

from cornelturn.clock import MILLISECONDS_PER_SECOND

PAIR_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?=\s|$)')
ESCAPES = {"\\n": "\n", "\\r": "\r", '\\"': '"', "\\\\": "\\"}
ESCAPE_PATTERN = re.compile(r'\\[nr"\\]')


@dataclass(frozen=True, slots=True)
class LogLine:
    """One parsed log line.

    Parameters
    ----------
    time_ms : int
        Unix time on the entry's clock.
    entry : str
        Entry that wrote it, empty while that is not known.
    fields : dict
        The other pairs of key and value.
    """

    time_ms: int
    entry: str
    event: str
    fields: dict[str, str] = field(default_factory=dict)

    def value(self, name: str) -> str:
        """Return a field, empty if the line lacks it."""
        return self.fields.get(name, "")

    def number(self, name: str) -> int:
        """Return a field as a whole number, 0 if it is not one."""
        text = self.value(name)
        return int(text) if text.lstrip("-").isdigit() else 0


def parse_line(text: str) -> LogLine | None:
    """Return a parsed line, None if it has no time or no event.

    A word before the time is the name of the entry, as log collectors put it there. The
    last pair of a line without a line end is left out, since its value may be
    truncated.
    """
    start = text.find("time=")
    if start < 0:
        return None
    matches = PAIR_PATTERN.findall(text[start:])
    if not text.endswith("\n"):
        matches = matches[:-1]
    pairs = {name: unquote(value) for name, value in matches}
    time_ms = parse_time(pairs.pop("time", ""))
    event = pairs.pop("event", "")
    pairs.pop("level", None)
    if time_ms is None or not event:
        return None
    words = text[:start].split()
    return LogLine(time_ms, words[-1] if words else "", event, pairs)


def parse_time(text: str) -> int | None:
    """Return the Unix time of a time stamp in ms, None if it is not valid."""
    try:
        moment = datetime.strptime(text, "%Y-%m-%dT%H:%M:%S.%fZ")
    except ValueError:
        return None
    moment = moment.replace(tzinfo=UTC)
    return round(moment.timestamp() * MILLISECONDS_PER_SECOND)


def unquote(value: str) -> str:
    """Return a value without its quotes and escapes."""
    if not value.startswith('"'):
        return value
    return ESCAPE_PATTERN.sub(lambda match: ESCAPES[match[0]], value[1:-1])


def read_log(name: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the parsed lines of one file.

    Lines without an entry get the name of the first entry that the file logs as
    started, or else the name of the file.
    """
    parsed = [line for line in map(parse_line, lines) if line is not None]
    started = (line.value("entry") for line in parsed if line.event == "entry_started")
    entry = next(started, "") or name
    return [line if line.entry else replace(line, entry=entry) for line in parsed]
