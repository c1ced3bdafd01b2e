"""Log lines are bounded and never hold the process up."""

from __future__ import annotations

import io
import logging
import os
import re
import subprocess
import sys
import threading

import pytest

from cornelturn.clock import ManualTime
from cornelturn.events.sink import LineBudget, LineQueue

LINES = 3_000
LIMIT = 100


@pytest.fixture
def pipe():
    """Return the ends of a pipe whose reader has not begun."""
    reading, writing = os.pipe()
    stream = os.fdopen(writing, "w")
    yield os.fdopen(reading), stream
    stream.close()


def record(number: int) -> logging.LogRecord:
    text = f"event=test number={number} pad={'x' * 200}"
    return logging.LogRecord("test", logging.INFO, "", 0, text, None, None)


def test_reader_that_stops_reading_holds_nothing_up_and_learns_what_is_missing(pipe):
    reader, stream = pipe
    lines = LineQueue(stream, LIMIT)
    for number in range(LINES):
        lines.handle(record(number))
    # The pipe holds 64 KiB, the queue `LIMIT` lines: the rest is dropped at once.
    assert lines.dropped > LINES // 2
    found: list[str] = []
    reading = threading.Thread(target=lambda: found.extend(reader))
    reading.start()
    lines.queue.put(lines.prepare(record(LINES)))
    lines.close()
    stream.close()
    reading.join()
    text = "".join(found)
    told = sum(int(one) for one in re.findall(r"lines_dropped lines=(\d+)", text))
    assert told == lines.dropped
    assert text.count("event=test") + told == LINES + 1


class CountingStream(io.StringIO):
    flushes = 0

    def flush(self) -> None:
        self.flushes += 1


def test_lines_of_a_moment_share_a_flush_and_keep_their_order():
    stream = CountingStream()
    lines = LineQueue(stream)
    for number in range(LINES):
        lines.handle(record(number))
    lines.close()
    numbers = re.findall(r"number=(\d+)", stream.getvalue())
    assert numbers == [str(number) for number in range(LINES)]
    # A slow machine takes several moments to hand the lines in.
    assert stream.flushes < LINES // 10


def test_lines_that_wait_are_written_when_the_process_ends():
    code = (
        "import sys\n"
        "from cornelturn.events.log import configure_logging, log_event\n"
        "configure_logging('info', sys.stdout)\n"
        "for number in range(200): log_event('test', number=number)\n"
    )
    ended = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert ended.stdout.count("event=test") == 200


def test_lines_of_a_kind_are_bounded_in_a_second_and_counted():
    time = ManualTime()
    budget = LineBudget(limit=10, clock=time.clock())
    assert sum(budget.take("submit") for _ in range(50)) == 10
    assert budget.take("cancel")
    time.advance_ms(1_000)
    assert budget.take("submit")
    assert budget.left_out("submit") == 40
    assert budget.left_out("submit") == 0
