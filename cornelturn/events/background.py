"""Background tasks that a task of the process starts."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from cornelturn.events.log import log_warning

FailureHandler = Callable[[BaseException], None]


def format_error(error: BaseException) -> str:
    """Return an error with its traceback as text."""
    return "".join(traceback.format_exception(error))


def log_failure(error: BaseException) -> None:
    """Log an unexpected error that has ended a background task."""
    log_warning("task_failed", error=repr(error), trace=format_error(error))


def watch_task(
    task: asyncio.Task[Any], on_failure: FailureHandler = log_failure
) -> None:
    """Call a handler if a task ends with an error; nobody else awaits the task."""
    task.add_done_callback(partial(_report_failure, on_failure))


def _report_failure(on_failure: FailureHandler, task: asyncio.Task[Any]) -> None:
    if not task.cancelled() and task.exception() is not None:
        on_failure(task.exception())


def start_background(
    running: set[asyncio.Task[Any]],
    work: Coroutine[Any, Any, Any],
    on_failure: FailureHandler = log_failure,
) -> asyncio.Task[Any]:
    """Start a task and keep it in a set until it ends.

    The event loop holds only weak references to tasks; the set prevents the task from
    being garbage collected while it runs.

    Parameters
    ----------
    on_failure : callable
        Called with the error if the task ends with one.
    """
    task = asyncio.create_task(work)
    running.add(task)
    task.add_done_callback(running.discard)
    watch_task(task, on_failure)
    return task
