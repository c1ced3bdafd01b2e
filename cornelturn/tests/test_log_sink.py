"""The log must not block the process.

A reader that stalls must not block the caller that logs, and a flood of one event must
be limited; dropped and suppressed lines are counted.
"""

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
from cornelturn.events.sink import LineQueueHandler, LineRateLimiter

LINES = 3_000
LIMIT = 100


@pytest.fixture
def pipe():
    """Return the ends of a pipe that is not read yet."""
    reading, writing = os.pipe()
    stream = os.fdopen(writing, "w")
    yield os.fdopen(reading), stream
    stream.close()


def record(number: int) -> logging.LogRecord:
    text = f"event=test number={number} pad={'x' * 200}"
    return logging.LogRecord("test", logging.INFO, "", 0, text, None, None)


def test_stalled_reader_blocks_nothing_and_gets_the_count_of_dropped_lines(pipe):
    reader, stream = pipe
    handler = LineQueueHandler(stream, LIMIT)
    for number in range(LINES):
        handler.handle(record(number))
    # The pipe buffers 64 KiB, the queue `LIMIT` lines; the rest is dropped at once.
    assert handler.dropped > LINES // 2
    written: list[str] = []
    reading = threading.Thread(target=lambda: written.extend(reader))
    reading.start()
    handler.queue.put(handler.prepare(record(LINES)))
    handler.close()
    stream.close()
    reading.join()
    text = "".join(written)
    reported = sum(
        int(count) for count in re.findall(r"lines_dropped lines=(\d+)", text)
    )
    assert reported == handler.dropped
    assert text.count("event=test") + reported == LINES + 1


class CountingStream(io.StringIO):
    flushes = 0

    def flush(self) -> None:
        self.flushes += 1


def test_lines_of_a_batch_share_a_flush_and_keep_their_order():
    stream = CountingStream()
    handler = LineQueueHandler(stream)
    for number in range(LINES):
        handler.handle(record(number))
    handler.close()
    numbers = re.findall(r"number=(\d+)", stream.getvalue())
    assert numbers == [str(number) for number in range(LINES)]
    # On a slow machine, logging all lines takes several batches.
    assert stream.flushes < LINES // 10


def test_queued_lines_are_written_when_the_process_ends():
    code = (
        "import sys\n"
        "from cornelturn.events.log import configure_logging, log_event\n"
        "configure_logging('info', sys.stdout)\n"
        "for number in range(200): log_event('test', number=number)\n"
    )
    process = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True
    )
    assert process.stdout.count("event=test") == 200


def test_lines_of_an_event_are_limited_per_second_and_counted():
    manual_time = ManualTime()
    limiter = LineRateLimiter(max_lines_per_s=10, clock=manual_time.clock())
    assert sum(limiter.allow("submit") for _ in range(50)) == 10
    assert limiter.allow("cancel")
    manual_time.advance_ms(1_000)
    assert limiter.allow("submit")
    assert limiter.take_suppressed_count("submit") == 40
    assert limiter.take_suppressed_count("submit") == 0
