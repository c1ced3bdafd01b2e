"""Work that a task of the process leaves running beside itself."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


def start_background(
    running: set[asyncio.Task[Any]], work: Coroutine[Any, Any, Any]
) -> asyncio.Task[Any]:
    """Start work and keep it in a set until it ends.

    The loop holds its tasks only weakly; the set keeps them from being lost.
    """
    task = asyncio.create_task(work)
    running.add(task)
    task.add_done_callback(running.discard)
    return task
