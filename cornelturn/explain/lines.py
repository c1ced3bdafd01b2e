"""Reading of log lines: any order, several entries, lines cut short."""

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
    """One line.

    Parameters
    ----------
    time_ms : int
        Unix time on the entry's clock.
    entry : str
        Entry that wrote it, empty while that is not known.
    fields : dict
        The other pairs.
    """

    time_ms: int
    entry: str
    event: str
    fields: dict[str, str] = field(default_factory=dict)

    def value(self, name: str) -> str:
        """Return a field, empty if the line lacks it."""
        return self.fields.get(name, "")

    def number(self, name: str) -> int:
        """Return a field as a number, 0 if it is none."""
        text = self.value(name)
        return int(text) if text.lstrip("-").isdigit() else 0


def parse_line(text: str) -> LogLine | None:
    """Return a line, None if it is not one of ours or is cut before its event.

    A word before the time names the entry, as collectors of logs put it there. The
    last pair of a line without its end is left out, since its value may be cut.
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
    """Return the Unix milliseconds of a time stamp, None if it is none."""
    try:
        moment = datetime.strptime(text, "%Y-%m-%dT%H:%M:%S.%fZ")
    except ValueError:
        return None
    moment = moment.replace(tzinfo=UTC)
    return round(moment.timestamp() * MILLISECONDS_PER_SECOND)


def unquote(value: str) -> str:
    """Return the text of a value."""
    if not value.startswith('"'):
        return value
    return ESCAPE_PATTERN.sub(lambda match: ESCAPES[match[0]], value[1:-1])


def read_log(name: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines of one file.

    Lines that name no entry belong to the one that the file says has started, or
    else to the file.
    """
    parsed = [line for line in map(parse_line, lines) if line is not None]
    started = (line.value("entry") for line in parsed if line.event == "entry_started")
    entry = next(started, "") or name
    return [line if line.entry else replace(line, entry=entry) for line in parsed]
