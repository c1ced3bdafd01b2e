"""Checking settings files."""

from __future__ import annotations

from pathlib import Path

import typer
from result import Err, Ok

from cornelturn.cli.client import ExitCode
from cornelturn.settings.documents import ConfigurationDocument
from cornelturn.settings.loader import SettingsProblem, load_file
from cornelturn.settings.models import EntrySettings


def check_settings(path: Path) -> ExitCode:
    """Print every error in the settings and in the configuration they name."""
    match load_file(path, EntrySettings):
        case Err(problems):
            return _report(path, problems)
        case Ok(settings):
            pass
    if settings.configuration_file is not None:
        named = Path(settings.configuration_file)
        match load_file(named, ConfigurationDocument):
            case Err(problems):
                return _report(named, problems)
            case Ok(document):
                budgets = document.excessive_budgets()
        if budgets:
            return _report(named, tuple(SettingsProblem("pools", x) for x in budgets))
    typer.echo(f"{path}: good")
    return ExitCode.OK


def _report(path: Path, problems: tuple[SettingsProblem, ...]) -> ExitCode:
    for problem in problems:
        typer.echo(f"error: {path}: {problem}", err=True)
    return ExitCode.USAGE
