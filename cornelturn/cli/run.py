"""Running a process until it is told to stop."""

from __future__ import annotations

import asyncio
from pathlib import Path

from result import Err, Ok

from cornelturn.cli.client import ExitCode
from cornelturn.cli.lifecycle import (
    exit_with_settings_problems,
    install_stop_signals,
    wait_for_stop,
)
from cornelturn.clock import to_seconds
from cornelturn.entry.process import EntryProcess
from cornelturn.events.log import configure_logging, log_event, log_warning
from cornelturn.settings.loader import load_file
from cornelturn.settings.models import EntrySettings
from cornelturn.standins.platform import PlatformStandin
from cornelturn.standins.register import register_target
from cornelturn.standins.target import TargetStandin

ABORT_MARGIN_MS = 10_000


def load_entry_settings(path: Path) -> EntrySettings:
    """Return the settings of a file; end the program if they are wrong."""
    match load_file(path, EntrySettings):
        case Ok(settings):
            return settings
        case Err(problems):
            exit_with_settings_problems(problems)


async def run_entry(settings: EntrySettings) -> ExitCode:
    """Run an entry until it is told to stop or finds itself replaced."""
    configure_logging(settings.log_level)
    stop_requested = install_stop_signals()
    entry = EntryProcess(settings)
    await entry.start()
    await wait_for_stop(stop_requested, entry.is_superseded)
    if not entry.is_superseded.is_set():
        await entry.stop()
        return ExitCode.OK
    timeout_ms = settings.limits.drain_limit_ms + ABORT_MARGIN_MS
    await stop_or_abort(entry, timeout_ms)
    return ExitCode.FAILED


async def stop_or_abort(entry: EntryProcess, timeout_ms: int) -> None:
    """Stop an entry one of whose tasks may be gone and never answer."""
    try:
        async with asyncio.timeout(to_seconds(timeout_ms)):
            await entry.stop()
    except TimeoutError:
        log_warning("stop_cut_short", entry=entry.own.name)
        await entry.abort()


async def run_platform_standin(host: str, port: int) -> None:
    """Run the stand-in of the platform until it is told to stop."""
    configure_logging("info")
    stop_requested = install_stop_signals()
    platform = PlatformStandin(host, port)
    url = await platform.start()
    log_event("platform_started", url=url)
    await stop_requested.wait()
    await platform.stop()


async def run_target_standin(
    target: TargetStandin, platform_url: str, place: str
) -> None:
    """Run the stand-in of a target until it is told to stop."""
    configure_logging("info")
    stop_requested = install_stop_signals()
    url = await target.start()
    if platform_url:
        await register_target(platform_url, target.name, url, place)
    log_event("target_started", target=target.name, url=url)
    await stop_requested.wait()
    await target.stop()
