"""Runs an entry on the users' platform."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

import typer
from result import Err, Ok

from cornelturn.cli.client import ExitCode
from cornelturn.cli.lifecycle import (
    exempt_start_objects,
    exit_with_settings_problems,
    install_stop_signals,
    wait_for_stop,
)
from cornelturn.entry.job_settings import JobEntrySettings
from cornelturn.events.log import (
    configure_logging,
    log_event,
    log_warning,
)
from cornelturn.events.timed_loop import TimedLoop
from cornelturn.platform.entry import build_entry
from cornelturn.platform.settings import load_node_file, settings_path


def run_platform_entry() -> ExitCode:
    """Run an entry until a stop is requested, or it fails or is superseded."""
    match load_node_file(settings_path()):
        case Ok(settings):
            configure_logging(settings.log_level, sys.stdout)
            with asyncio.Runner(loop_factory=TimedLoop) as runner:
                return runner.run(_run_entry(settings))
        case Err(problems):
            exit_with_settings_problems(problems)


def check_node_file(file: Path) -> ExitCode:
    """Print every error in a settings file, or the name of its entry."""
    match load_node_file(file):
        case Ok(settings):
            typer.echo(f"{file}: good; entry {settings.name}")
            return ExitCode.OK
        case Err(problems):
            exit_with_settings_problems(problems)


async def _run_entry(settings: JobEntrySettings) -> ExitCode:
    stop_requested = install_stop_signals()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, _log_settings_change, settings)
    entry = build_entry(settings)
    exempt_start_objects()
    await entry.start()
    await wait_for_stop(stop_requested, entry.failed)
    if entry.failed.is_set():
        return ExitCode.FAILED
    log_event("stop_asked", entry=settings.name)
    await entry.stop()
    return ExitCode.OK


def _log_settings_change(current_settings: JobEntrySettings) -> None:
    """Log whether the settings file differs from the settings in use.

    Nothing is applied: addresses never change while an entry runs.
    """
    match load_node_file(settings_path()):
        case Ok(settings):
            log_event("settings_read", is_changed=settings != current_settings)
        case Err(problems):
            text = "; ".join(str(problem) for problem in problems)
            log_warning("settings_refused", problems=text)
