"""Where log lines go: a bounded queue that one thread empties into a stream."""

from __future__ import annotations

import logging as standard_logging
import queue
import threading
import time
from dataclasses import dataclass, field
from logging.handlers import QueueHandler
from typing import TextIO

from cornelturn.clock import MILLISECONDS_PER_SECOND, Clock
from cornelturn.events.work_times import WorkPart

QUEUE_LINES = 10_000
"""Lines that wait for a slow reader, about 2 MB of an entry's 300 MB."""

LINES_A_SECOND = 300
"""Lines of one kind of event in a second: the heaviest standard day has 100."""

FLUSH_S = 0.5
"""Time that a stopping process gives its reader."""

GATHER_S = 0.05
"""Time in which lines are gathered for one write to the stream."""


class KeyValueFormatter(standard_logging.Formatter):
    """Puts time and level in front of the pairs of the event.

    Parameters
    ----------
    second : int
        Unix time of the last line, for which `moment` is the text.
    """

    second: int = -1
    moment: str = ""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line of a record."""
        second = int(record.created)
        if second != self.second:
            self.second = second
            self.moment = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
        stamp = f"{self.moment}.{int(record.msecs):03d}Z"
        return f"time={stamp} level={record.levelname.lower()} {record.getMessage()}"


class LineQueue(QueueHandler):
    """Formats records and queues their lines; a full queue drops and counts them.

    Writing never waits for the reader of the stream: the thread does. An empty
    record wakes the thread when the queue is closed.

    Parameters
    ----------
    writing : WorkPart
        Time that the thread has spent on writing, waits for the reader included.
    """

    def __init__(self, stream: TextIO, limit: int = QUEUE_LINES) -> None:
        super().__init__(queue.SimpleQueue())
        self.setFormatter(KeyValueFormatter())
        self.stream = stream
        self.limit = limit
        self.dropped = 0
        self.writing = WorkPart()
        self.is_closing = threading.Event()
        self.thread = threading.Thread(target=self._write_all, daemon=True)
        self.thread.start()

    def prepare(self, record: standard_logging.LogRecord) -> str:
        """Return the line of a record."""
        return self.format(record)

    def enqueue(self, record: str) -> None:
        """Queue a line, or count it as dropped."""
        if self.queue.qsize() < self.limit:
            self.queue.put(record)
        else:
            self.dropped += 1

    def close(self) -> None:
        """Give the reader a moment to take the lines that wait.

        The library calls this when the process ends.
        """
        self.is_closing.set()
        self.queue.put(None)
        self.thread.join(FLUSH_S)
        super().close()

    def _write_all(self) -> None:
        told = 0
        while not (self.is_closing.is_set() and self.queue.empty()):
            lines = self._gather()
            dropped = self.dropped
            if dropped > told:
                lines.append(f"event=lines_dropped lines={dropped - told}")
                told = dropped
            with self.writing:
                self.stream.writelines(f"{line}\n" for line in lines)
                self.stream.flush()

    def _gather(self) -> list[str]:
        """Wait for a line and return those of a moment."""
        first = self.queue.get()
        self.is_closing.wait(GATHER_S)
        found = [first, *(self.queue.get() for _ in range(self.queue.qsize()))]
        return [line for line in found if line is not None]


@dataclass(slots=True)
class Spent:
    """Lines of one kind of event in the current second."""

    second: int
    lines: int = 0
    left_out: int = 0


@dataclass(slots=True)
class LineBudget:
    """Bounds the lines of each kind of event in a second.

    Parameters
    ----------
    limit : int
        Lines of one kind in a second.
    """

    limit: int = LINES_A_SECOND
    clock: Clock = field(default_factory=Clock)
    spent: dict[str, Spent] = field(default_factory=dict)

    def take(self, event: str) -> bool:
        """Return whether one more line of an event may be written."""
        second = self.clock.now_ms() // MILLISECONDS_PER_SECOND
        known = self.spent.get(event)
        if known is None:
            known = self.spent[event] = Spent(second)
        if known.second != second:
            known.second, known.lines = second, 0
        if known.lines >= self.limit:
            known.left_out += 1
            return False
        known.lines += 1
        return True

    def left_out(self, event: str) -> int:
        """Return the lines of an event left out since the last call."""
        known = self.spent[event]
        count, known.left_out = known.left_out, 0
        return count
