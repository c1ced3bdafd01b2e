"""Checks the settings file of an entry."""

from __future__ import annotations

from pathlib import Path

import typer
from result import Err, Ok

from cornelturn.cli.client import ExitCode
from cornelturn.settings.documents import ConfigurationDocument
from cornelturn.settings.loader import SettingsProblem, load_file
from cornelturn.settings.models import EntrySettings


def check_settings(path: Path) -> ExitCode:
    """Print every error in a settings file or, if it has none, in its configuration."""
    match load_file(path, EntrySettings):
        case Err(problems):
            return _print_problems(path, problems)
        case Ok(settings):
            pass
    if settings.configuration_file is not None:
        configuration_path = Path(settings.configuration_file)
        match load_file(configuration_path, ConfigurationDocument):
            case Err(problems):
                return _print_problems(configuration_path, problems)
            case Ok(document):
                budgets = document.excessive_budgets()
        if budgets:
            return _print_problems(
                configuration_path,
                tuple(SettingsProblem("pools", text) for text in budgets),
            )
    typer.echo(f"{path}: good")
    return ExitCode.OK


def _print_problems(path: Path, problems: tuple[SettingsProblem, ...]) -> ExitCode:
    for problem in problems:
        typer.echo(f"error: {path}: {problem}", err=True)
    return ExitCode.USAGE
