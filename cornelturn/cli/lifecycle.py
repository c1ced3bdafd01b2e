"""What all programs do from their settings to their end."""

from __future__ import annotations

import asyncio
import signal
from typing import NoReturn

from cornelturn.cli.client import ExitCode, fail
from cornelturn.settings.loader import SettingsProblem


def stop_signal() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event.set)
    return event


async def wait_for_end(stopped: asyncio.Event, superseded: asyncio.Event) -> None:
    """Wait until an entry is told to stop or finds itself replaced."""
    waits = {
        asyncio.create_task(stopped.wait()),
        asyncio.create_task(superseded.wait()),
    }
    _, pending = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for task in pending:
        task.cancel()


def refuse_settings(problems: tuple[SettingsProblem, ...]) -> NoReturn:
    """End the program with every problem of its settings."""
    fail(ExitCode.USAGE, "\nerror: ".join(str(one) for one in problems))
