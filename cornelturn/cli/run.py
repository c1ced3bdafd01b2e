"""Runs an entry or a stand-in until a stop is requested."""

from __future__ import annotations

import asyncio
from pathlib import Path

from result import Err, Ok

from cornelturn.cli.client import ExitCode
from cornelturn.cli.lifecycle import (
    exempt_start_objects,
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
"""Time beyond the drain limit after which an entry that has not stopped is aborted."""


def load_entry_settings(path: Path) -> EntrySettings:
    """Return the settings in a file; print all errors and exit if it is invalid."""
    match load_file(path, EntrySettings):
        case Ok(settings):
            return settings
        case Err(problems):
            exit_with_settings_problems(problems)


async def run_entry(settings: EntrySettings) -> ExitCode:
    """Run an entry until a stop is requested, or it fails or is superseded."""
    configure_logging(settings.log_level)
    stop_requested = install_stop_signals()
    entry = EntryProcess(settings)
    exempt_start_objects()
    await entry.start()
    await wait_for_stop(stop_requested, entry.failed)
    if not entry.failed.is_set():
        await entry.stop()
        return ExitCode.OK
    timeout_ms = settings.limits.drain_limit_ms + ABORT_MARGIN_MS
    await stop_or_abort(entry, timeout_ms)
    return ExitCode.FAILED


async def stop_or_abort(entry: EntryProcess, timeout_ms: int) -> None:
    """Stop an entry, or abort it after a timeout.

    A task of the entry may have ended with an error; stopping then waits forever for
    its answer.
    """
    try:
        async with asyncio.timeout(to_seconds(timeout_ms)):
            await entry.stop()
    except TimeoutError:
        log_warning("stop_cut_short", entry=entry.own.name)
        await entry.abort()


async def run_platform_standin(host: str, port: int) -> None:
    """Run the stand-in of the platform until a stop is requested."""
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
    """Run the stand-in of a target until a stop is requested."""
    configure_logging("info")
    stop_requested = install_stop_signals()
    url = await target.start()
    if platform_url:
        await register_target(platform_url, target.name, url, place)
    log_event("target_started", target=target.name, url=url)
    await stop_requested.wait()
    await target.stop()
