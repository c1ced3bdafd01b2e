"""The program `cornelturn`: its commands and options."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Annotated

import typer

from cornelturn import __version__
from cornelturn.cli.client import ExitCode
from cornelturn.cli.operators import (
    configuration_app,
    instance_app,
    maintenance_app,
    pool_app,
    preset_app,
    queue_app,
    report,
    request_app,
)

HELP = """Fleet capacity and maintenance manager.

Operators' commands read CORNELTURN_OPERATORS_URL and CORNELTURN_OPERATORS_TOKEN.

Exit codes: 0 done, 1 failed, 2 wrong usage or settings, 3 refused, 4 another
change came first, 5 entry or table service unavailable, 6 token not accepted,
7 not in force everywhere in time.
"""

app = typer.Typer(help=HELP, no_args_is_help=True, pretty_exceptions_enable=False)
standin_app = typer.Typer(
    help="Stand-ins of the platform and of targets, for trials.", no_args_is_help=True
)
platform_app = typer.Typer(help="Entries on the users' platform.", no_args_is_help=True)
settings_app = typer.Typer(help="Settings files.", no_args_is_help=True)

app.add_typer(pool_app, name="pool")
app.add_typer(queue_app, name="queue")
app.add_typer(preset_app, name="preset")
app.add_typer(instance_app, name="instance")
app.add_typer(request_app, name="request")
app.add_typer(maintenance_app, name="maintenance")
app.add_typer(configuration_app, name="configuration")
app.add_typer(settings_app, name="settings")
app.add_typer(standin_app, name="standin")
app.add_typer(platform_app, name="platform")
app.command("report")(report)

LogFilesArgument = Annotated[
    list[Path], typer.Argument(help="Logs of entries.", exists=True)
]
JobOption = Annotated[
    str, typer.Option("--job", "--request", help="Lines about a job or request.")
]
TargetOption = Annotated[str, typer.Option("--target", help="Lines about a target.")]
EntryOption = Annotated[str, typer.Option("--entry", help="Lines of an entry.")]
FromOption = Annotated[
    str, typer.Option("--from", help="Earliest time, as in the logs.")
]
ToOption = Annotated[str, typer.Option("--to", help="Latest time, as in the logs.")]
FiguresOption = Annotated[
    bool,
    typer.Option("--figures", help="Print figures by role, pool and second instead."),
]
SettingsOption = Annotated[Path, typer.Option("--settings", help="YAML settings file.")]


@app.command()
def explain(
    logs: LogFilesArgument,
    job: JobOption = "",
    target: TargetOption = "",
    entry: EntryOption = "",
    first: FromOption = "",
    last: ToOption = "",
    has_figures: FiguresOption = False,
) -> None:
    """Show from logs, in order, what happened to a job, a target or an entry."""
    from cornelturn.cli.explain import print_explanation, print_figures

    if has_figures:
        raise typer.Exit(int(print_figures(logs, first, last)))
    raise typer.Exit(int(print_explanation(logs, job, target, entry, first, last)))


@app.command()
def organisations(
    address: Annotated[
        str, typer.Option("--from", help="Metrics listener of an entry, IP:PORT.")
    ],
    pool: Annotated[str, typer.Option(help="Only what this pool has.")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
    as_report: Annotated[
        bool, typer.Option("--report", help="Print pages of 132 columns.")
    ] = False,
    as_csv: Annotated[bool, typer.Option("--csv", help="Print CSV.")] = False,
) -> None:
    """Show what each organisation has running and waiting, its cap and refusals."""
    from cornelturn.cli.organisations import print_organisations, print_report
    from cornelturn.reports.forms import ReportFormat

    if as_report or as_csv:
        form = ReportFormat.CSV if as_csv else ReportFormat.TEXT
        print_report(address, pool, form)
    else:
        print_organisations(address, pool, as_json)


@app.command()
def entry(settings: SettingsOption) -> None:
    """Run an entry until SIGTERM; requests in progress end first, up to a limit."""
    from cornelturn.cli.run import load_entry_settings, run_entry

    code = asyncio.run(run_entry(load_entry_settings(settings)))
    raise typer.Exit(int(code))


@app.command()
def demo(
    seconds: Annotated[
        int, typer.Option(help="Duration of the load in seconds.", min=1)
    ] = 8,
) -> None:
    """Run a small fleet in this process under load, then print a report."""
    from cornelturn.cli.demo import run_demo

    is_all_correct = asyncio.run(run_demo(seconds))
    raise typer.Exit(int(ExitCode.OK if is_all_correct else ExitCode.FAILED))


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


@settings_app.command("check")
def settings_check(
    file: Annotated[Path, typer.Argument(help="Settings of an entry.")],
) -> None:
    """Check the settings of an entry and the configuration that they name."""
    from cornelturn.cli.check import check_settings

    raise typer.Exit(int(check_settings(file)))


@platform_app.command("run")
def platform_run() -> None:
    """Run an entry on the users' platform until SIGTERM."""
    from cornelturn.cli.platform import run_platform_entry

    raise typer.Exit(int(run_platform_entry()))


@platform_app.command("check")
def platform_check(
    file: Annotated[Path, typer.Argument(help="Settings file of the platform.")],
) -> None:
    """Check a settings file of the platform and print every error in it."""
    from cornelturn.cli.platform import check_node_file

    raise typer.Exit(int(check_node_file(file)))


@standin_app.command("platform")
def standin_platform(
    host: Annotated[str, typer.Option(help="IP address to bind.")] = "127.0.0.1",
    port: Annotated[int, typer.Option(help="Port, 0 for any.")] = 0,
) -> None:
    """Run the stand-in of the platform: table, object store and instance list."""
    from cornelturn.cli.run import run_platform_standin

    asyncio.run(run_platform_standin(host, port))


@standin_app.command("target")
def standin_target(
    name: Annotated[str, typer.Option(help="Name of the instance.")],
    platform: Annotated[str, typer.Option(help="URL of the platform stand-in.")] = "",
    place: Annotated[str, typer.Option(help="data-centre/rack")] = "dc-1/rack-1",
    host: Annotated[str, typer.Option(help="IP address to bind.")] = "127.0.0.1",
    port: Annotated[int, typer.Option(help="Port, 0 for any.")] = 0,
    run_ms: Annotated[int, typer.Option(help="Run time in milliseconds.")] = 20,
) -> None:
    """Run the stand-in of a target."""
    from cornelturn.cli.run import run_target_standin
    from cornelturn.standins.target import TargetStandin

    target = TargetStandin(name, host, port, run_ms)
    asyncio.run(run_target_standin(target, platform, place))


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
