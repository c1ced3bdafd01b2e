"""Background tasks that a task of the process starts."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


def start_background(
    running: set[asyncio.Task[Any]], work: Coroutine[Any, Any, Any]
) -> asyncio.Task[Any]:
    """Start a task and keep it in a set until it ends.

    The event loop holds only weak references to tasks; the set prevents the task from
    being garbage collected while it runs.
    """
    task = asyncio.create_task(work)
    running.add(task)
    task.add_done_callback(running.discard)
    return task
