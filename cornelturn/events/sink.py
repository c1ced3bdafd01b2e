"""Log handler with a bounded queue that one thread writes to a stream.

A slow reader of the stream must not block the event loop, and a flood of one event must
not displace the others.
"""

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

MAX_QUEUED_LINES = 10_000
"""Lines that may wait for a slow reader: about 2 MB of the 300 MB of an entry."""

MAX_EVENT_LINES_PER_S = 300
"""Lines of one event per second: the heaviest standard day has 100."""

CLOSE_TIMEOUT_S = 0.5
"""Time that a stopping process waits for the queued lines to be written."""

BATCH_WINDOW_S = 0.05
"""Time for which lines are collected for one write to the stream."""


class KeyValueFormatter(standard_logging.Formatter):
    """Puts time and level before the key=value pairs of the event.

    Parameters
    ----------
    second : int
        Unix time of the last line in whole seconds, with `timestamp` as its text.
    """

    second: int = -1
    timestamp: str = ""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line of a record."""
        second = int(record.created)
        if second != self.second:
            self.second = second
            self.timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
        stamp = f"{self.timestamp}.{int(record.msecs):03d}Z"
        return f"time={stamp} level={record.levelname.lower()} {record.getMessage()}"


class LineQueueHandler(QueueHandler):
    """Formats records and queues their lines; drops and counts them if it is full.

    Only the thread waits for the reader of the stream, never the caller that logs. When
    the handler is closed, a record of None wakes the thread.

    Parameters
    ----------
    write_time : WorkPart
        Time that the thread has spent on writing, including waits for the reader.
    """

    def __init__(self, stream: TextIO, max_lines: int = MAX_QUEUED_LINES) -> None:
        super().__init__(queue.SimpleQueue())
        self.setFormatter(KeyValueFormatter())
        self.stream = stream
        self.max_lines = max_lines
        self.dropped = 0
        self.write_time = WorkPart()
        self.is_closing = threading.Event()
        self.thread = threading.Thread(target=self._write_all, daemon=True)
        self.thread.start()

    def prepare(self, record: standard_logging.LogRecord) -> str:
        """Return the line of a record."""
        return self.format(record)

    def enqueue(self, record: str) -> None:
        """Queue a line, or count it as dropped."""
        if self.queue.qsize() < self.max_lines:
            self.queue.put(record)
        else:
            self.dropped += 1

    def close(self) -> None:
        """Wait up to `CLOSE_TIMEOUT_S` for the queued lines to be written.

        The logging module calls this when the process ends.
        """
        self.is_closing.set()
        self.queue.put(None)
        self.thread.join(CLOSE_TIMEOUT_S)
        super().close()

    def _write_all(self) -> None:
        reported = 0
        while not (self.is_closing.is_set() and self.queue.empty()):
            lines = self._next_batch()
            dropped = self.dropped
            if dropped > reported:
                lines.append(f"event=lines_dropped lines={dropped - reported}")
                reported = dropped
            with self.write_time:
                self.stream.writelines(f"{line}\n" for line in lines)
                self.stream.flush()

    def _next_batch(self) -> list[str]:
        """Wait for a line and return it with those of the next `BATCH_WINDOW_S`."""
        first = self.queue.get()
        self.is_closing.wait(BATCH_WINDOW_S)
        batch = [first, *(self.queue.get() for _ in range(self.queue.qsize()))]
        return [line for line in batch if line is not None]


@dataclass(slots=True)
class EventWindow:
    """Lines of one event in the current second, and its suppressed lines.

    Parameters
    ----------
    second : int
        Second of the limiter's clock.
    lines : int
        Lines written in this second.
    suppressed : int
        Lines suppressed since their number was last taken.
    """

    second: int
    lines: int = 0
    suppressed: int = 0


@dataclass(slots=True)
class LineRateLimiter:
    """Limits the lines of each event per second.

    Parameters
    ----------
    max_lines_per_s : int
        Lines of one event per second.
    """

    max_lines_per_s: int = MAX_EVENT_LINES_PER_S
    clock: Clock = field(default_factory=Clock)
    windows: dict[str, EventWindow] = field(default_factory=dict)

    def allow(self, event: str) -> bool:
        """Return whether one more line of an event may be written."""
        second = self.clock.now_ms() // MILLISECONDS_PER_SECOND
        window = self.windows.get(event)
        if window is None:
            window = self.windows[event] = EventWindow(second)
        if window.second != second:
            window.second, window.lines = second, 0
        if window.lines >= self.max_lines_per_s:
            window.suppressed += 1
            return False
        window.lines += 1
        return True

    def take_suppressed_count(self, event: str) -> int:
        """Return and reset the number of suppressed lines of an event."""
        window = self.windows[event]
        count, window.suppressed = window.suppressed, 0
        return count
