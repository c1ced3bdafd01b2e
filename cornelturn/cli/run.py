"""Running a process until it is told to stop."""

from __future__ import annotations

import asyncio
from pathlib import Path

from result import Err, Ok

from cornelturn.cli.client import ExitCode
from cornelturn.cli.lifecycle import refuse_settings, stop_signal, wait_for_end
from cornelturn.clock import to_seconds
from cornelturn.entry.process import EntryProcess
from cornelturn.events.log import configure_logging, log_event, log_warning
from cornelturn.settings.loader import load_file
from cornelturn.settings.models import EntrySettings
from cornelturn.standins.platform import PlatformStandin
from cornelturn.standins.register import register_target
from cornelturn.standins.target import TargetStandin

BROKEN_STOP_MARGIN_MS = 10_000


def load_entry_settings(path: Path) -> EntrySettings:
    """Return the settings of a file; end the program if they are wrong."""
    match load_file(path, EntrySettings):
        case Ok(settings):
            return settings
        case Err(problems):
            refuse_settings(problems)


async def run_entry(settings: EntrySettings) -> ExitCode:
    """Run an entry until it is told to stop or finds itself replaced."""
    configure_logging(settings.log_level)
    stopped = stop_signal()
    entry = EntryProcess(settings)
    await entry.start()
    await wait_for_end(stopped, entry.is_superseded)
    if not entry.is_superseded.is_set():
        await entry.stop()
        return ExitCode.OK
    limit_ms = settings.limits.drain_limit_ms + BROKEN_STOP_MARGIN_MS
    await stop_within(entry, limit_ms)
    return ExitCode.FAILED


async def stop_within(entry: EntryProcess, limit_ms: int) -> None:
    """Stop an entry one of whose tasks may be gone and never answer."""
    try:
        async with asyncio.timeout(to_seconds(limit_ms)):
            await entry.stop()
    except TimeoutError:
        log_warning("stop_cut_short", entry=entry.own.name)
        await entry.abort()


async def run_platform(host: str, port: int) -> None:
    """Run the stand-in of the platform until it is told to stop."""
    configure_logging("info")
    stopped = stop_signal()
    platform = PlatformStandin(host, port)
    url = await platform.start()
    log_event("platform_started", url=url)
    await stopped.wait()
    await platform.stop()


async def run_target(target: TargetStandin, platform_url: str, place: str) -> None:
    """Run the stand-in of a target until it is told to stop."""
    configure_logging("info")
    stopped = stop_signal()
    url = await target.start()
    if platform_url:
        await register_target(platform_url, target.name, url, place)
    log_event("target_started", target=target.name, url=url)
    await stopped.wait()
    await target.stop()
