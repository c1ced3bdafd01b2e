"""Measures how long tasks occupy the event loop, by part of the work.

A context variable holds the part: the tasks that a task starts, and the callbacks of
the connections that it opens, inherit it.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine, Generator, Iterator
from contextlib import contextmanager
from contextvars import Context, ContextVar
from types import coroutine
from typing import Any

from cornelturn.events.work_times import WorkPart

CURRENT_PART: ContextVar[WorkPart | None] = ContextVar("part", default=None)


@contextmanager
def attributed_to(part: WorkPart) -> Iterator[None]:
    """Attribute the tasks that are started in the block to a part."""
    token = CURRENT_PART.set(part)
    try:
        yield
    finally:
        CURRENT_PART.reset(token)


def current_part() -> WorkPart:
    """Return the part to which a callback is attributed."""
    return CURRENT_PART.get() or WorkPart()


def create_timed_task(
    loop: asyncio.AbstractEventLoop,
    work: Coroutine[Any, Any, Any],
    context: Context | None = None,
) -> asyncio.Task[Any]:
    """Return a task whose steps add their time to the current part; a task factory."""
    part = CURRENT_PART.get() if context is None else context.get(CURRENT_PART)
    if part is not None:
        work = _run_timed(work, part)
    return asyncio.Task(work, loop=loop, context=context)


async def _run_timed(work: Coroutine[Any, Any, Any], part: WorkPart) -> Any:
    return await _run_steps(work, part)


@coroutine
def _run_steps(
    work: Coroutine[Any, Any, Any], part: WorkPart
) -> Generator[Any, Any, Any]:
    """Run a coroutine step by step, and add the time of each step to a part."""
    error: BaseException | None = None
    while True:
        started_s = time.perf_counter()
        try:
            awaited = work.send(None) if error is None else work.throw(error)
        except StopIteration as end:
            return end.value
        finally:
            part.spent_s += time.perf_counter() - started_s
        error = None
        try:
            yield awaited
        except GeneratorExit:
            work.close()
            raise
        except BaseException as raised:
            error = raised
