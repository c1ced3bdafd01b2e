"""Commands that call the operators' API of an entry."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Annotated
from urllib.parse import quote

import msgspec
import typer
import yaml

from cornelturn.cli.client import (
    ExitCode,
    decode_body,
    exit_with_error,
    print_answer,
    request_or_exit,
)
from cornelturn.fleet.waves import DrainPolicy
from cornelturn.reports.catalogue import ReportName
from cornelturn.reports.forms import ReportFormat

IN_FORCE_POLL_INTERVAL_S = 0.2
IN_FORCE_TIMEOUT_S = 30.0
WAVE_POLL_INTERVAL_S = 1.0

JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
GenerationOption = Annotated[
    int | None,
    typer.Option("--generation", help="Change only if this generation is in force."),
]

pool_app = typer.Typer(
    help="Pools and their availability budgets.", no_args_is_help=True
)
queue_app = typer.Typer(help="Queues and the pools they use.", no_args_is_help=True)
preset_app = typer.Typer(help="Presets; exactly one is in force.", no_args_is_help=True)
instance_app = typer.Typer(help="Instances and their pools.", no_args_is_help=True)
request_app = typer.Typer(help="Recorded requests.", no_args_is_help=True)
maintenance_app = typer.Typer(help="Maintenance waves.", no_args_is_help=True)
configuration_app = typer.Typer(help="The whole configuration.", no_args_is_help=True)


def _read_configuration() -> tuple[dict, int]:
    answer = request_or_exit("GET", "/configuration")
    return decode_body(answer), int(answer.etag.strip('"'))


def _write_configuration(document: dict, generation: int) -> None:
    body = msgspec.json.encode(document)
    answer = request_or_exit("PUT", "/configuration", body, generation)
    typer.echo(f"generation {answer.etag.strip(chr(34))} accepted")


# Configuration


@configuration_app.command("show")
def configuration_show() -> None:
    """Print the configuration in force as YAML."""
    document, generation = _read_configuration()
    typer.echo(f"# generation {generation}")
    typer.echo(yaml.safe_dump(document, sort_keys=False), nl=False)


@configuration_app.command("apply")
def configuration_apply(
    file: Annotated[Path, typer.Argument(help="YAML file.", exists=True)],
    generation: GenerationOption = None,
) -> None:
    """Replace the configuration with that in a file."""
    expected_generation = (
        generation if generation is not None else _read_configuration()[1]
    )
    answer = request_or_exit(
        "PUT", "/configuration", file.read_bytes(), expected_generation
    )
    typer.echo(f"generation {answer.etag.strip(chr(34))} accepted")


# Pools


@pool_app.command("list")
def pool_list(as_json: JsonOption = False) -> None:
    """List the pools."""
    columns = ("name", "instances", "in_service", "unavailable", "max_unavailable")
    print_answer(request_or_exit("GET", "/pools"), as_json, (*columns, "queues"))


@pool_app.command("add")
def pool_add(
    name: str,
    max_unavailable: Annotated[
        int, typer.Option(help="Instances that may be out of service at once.")
    ] = 1,
) -> None:
    """Add a pool."""
    document, generation = _read_configuration()
    document["pools"].append({"name": name, "max_unavailable": max_unavailable})
    _write_configuration(document, generation)


@pool_app.command("remove")
def pool_remove(name: str) -> None:
    """Remove a pool that has no instances and no queues."""
    document, generation = _read_configuration()
    remaining = [pool for pool in document["pools"] if pool["name"] != name]
    if len(remaining) == len(document["pools"]):
        exit_with_error(ExitCode.REFUSED, f"pool: expected a known pool, found {name}")
    document["pools"] = remaining
    _write_configuration(document, generation)


# Queues


@queue_app.command("list")
def queue_list(as_json: JsonOption = False) -> None:
    """List the queues."""
    document, _ = _read_configuration()
    if as_json:
        typer.echo(msgspec.json.encode(document["queues"]).decode())
        return
    for queue in document["queues"]:
        overflow = ",".join(queue["overflow"]) or "-"
        typer.echo(
            f"{queue['name']}  pool={queue['pool']}  class={queue['work_class']}  "
            f"share={queue['share']:g}  overflow={overflow}"
        )


@queue_app.command("assign")
def queue_assign(
    name: str,
    pool: Annotated[str, typer.Option(help="Pool that serves the queue.")],
    overflow: Annotated[
        list[str] | None,
        typer.Option(help="Pool for overflow, in order of preference; repeatable."),
    ] = None,
) -> None:
    """Assign a queue to a pool."""
    document, generation = _read_configuration()
    for queue in document["queues"]:
        if queue["name"] == name:
            queue["pool"] = pool
            queue["overflow"] = list(overflow or ())
            _write_configuration(document, generation)
            return
    exit_with_error(ExitCode.REFUSED, f"queue: expected a known queue, found {name}")


# Presets


@preset_app.command("list")
def preset_list(as_json: JsonOption = False) -> None:
    """List the presets and mark the one in force."""
    document, _ = _read_configuration()
    if as_json:
        view = {"in_force": document["preset"], "presets": document["presets"]}
        typer.echo(msgspec.json.encode(view).decode())
        return
    for preset in document["presets"]:
        mark = "*" if preset["name"] == document["preset"] else " "
        typer.echo(f"{mark} {preset['name']}")


@preset_app.command("switch")
def preset_switch(
    name: str,
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until it is in force at every entry.")
    ] = False,
    generation: GenerationOption = None,
) -> None:
    """Put a preset in force."""
    answer = request_or_exit("PUT", f"/preset/{quoted(name)}", b"{}", generation)
    accepted = int(answer.etag.strip('"'))
    typer.echo(f"generation {accepted} accepted, preset {name}")
    if wait:
        _wait_until_in_force(accepted)


def _wait_until_in_force(generation: int) -> None:
    deadline_s = time.monotonic() + IN_FORCE_TIMEOUT_S
    while True:
        entries = decode_body(request_or_exit("GET", "/entries"))
        live_entries = [
            entry for entry in entries if entry["state"] in ("self", "alive", "silent")
        ]
        outdated = [entry for entry in live_entries if entry["generation"] < generation]
        if not outdated:
            typer.echo(f"in force at {len(live_entries)} entries")
            return
        if time.monotonic() >= deadline_s:
            names = ", ".join(
                f"{entry['name']} ({entry['state']}, generation {entry['generation']})"
                for entry in outdated
            )
            exit_with_error(ExitCode.NOT_IN_FORCE, f"not in force at {names}")
        time.sleep(IN_FORCE_POLL_INTERVAL_S)


# Instances


@instance_app.command("list")
def instance_list(
    pool: Annotated[str, typer.Option(help="Only this pool.")] = "",
    as_json: JsonOption = False,
) -> None:
    """List the instances."""
    columns = ("name", "pool", "data_centre", "rack", "state", "leaving", "up")
    path = f"/instances?pool={quoted(pool)}" if pool else "/instances"
    print_answer(request_or_exit("GET", path), as_json, (*columns, "reason"))


@instance_app.command("assign")
def instance_assign(
    name: str, pool: Annotated[str, typer.Option(help="Pool that it joins.")]
) -> None:
    """Add an instance of the platform's list to a pool."""
    _put_instance_action(f"/instances/{quoted(name)}/assign?pool={quoted(pool)}")


@instance_app.command("drain")
def instance_drain(name: str) -> None:
    """Assign no new work to an instance; work that has started continues."""
    _put_instance_action(f"/instances/{quoted(name)}/drain")


@instance_app.command("resume")
def instance_resume(name: str) -> None:
    """Return an instance to service."""
    _put_instance_action(f"/instances/{quoted(name)}/resume")


@instance_app.command("move")
def instance_move(
    name: str, pool: Annotated[str, typer.Option(help="Pool that it joins.")]
) -> None:
    """Drain an instance, then move it to another pool."""
    _put_instance_action(f"/instances/{quoted(name)}/move?pool={quoted(pool)}")


def quoted(name: str) -> str:
    """Return a name as one segment of a path, or as the value of a query."""
    return quote(name, safe="")


def _put_instance_action(path: str) -> None:
    view = decode_body(request_or_exit("PUT", path, b"{}"))
    typer.echo(f"{view['name']}: {view['state']} in {view['pool']}")


# Requests


@request_app.command("list")
def request_list(
    state: Annotated[
        str, typer.Option(help="Only this state, for example unknown.")
    ] = "",
    as_json: JsonOption = False,
) -> None:
    """List the recorded requests."""
    columns = ("request", "member", "queue", "state", "target", "detail")
    path = f"/requests?state={quoted(state)}" if state else "/requests"
    print_answer(request_or_exit("GET", path), as_json, columns)


# Maintenance

PoolOption = Annotated[str, typer.Option("--pool", help="Pool of the wave.")]
WAVE_COLUMNS = ("pool", "number", "state", "done", "working", "pending", "note")


@maintenance_app.command("start")
def maintenance_start(
    pool: PoolOption,
    policy: Annotated[
        DrainPolicy, typer.Option(help="What to do with tasks that delay a drain.")
    ] = DrainPolicy.WAIT,
    as_json: JsonOption = False,
) -> None:
    """Start a wave that drains and reboots every instance of a pool."""
    path = f"/maintenance/{quoted(pool)}/start?policy={policy.value}"
    print_answer(request_or_exit("PUT", path, b"{}"), as_json, WAVE_COLUMNS)


@maintenance_app.command("status")
def maintenance_status(
    pool: PoolOption,
    follow: Annotated[
        bool, typer.Option("--follow", help="Print the progress until the wave ends.")
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Show the progress of the wave of a pool."""
    while True:
        answer = request_or_exit("GET", f"/maintenance/{quoted(pool)}")
        print_answer(answer, as_json, (*WAVE_COLUMNS, "elapsed_ms", "estimate_ms"))
        if not follow or decode_body(answer)["state"] in ("done", "cancelled"):
            return
        time.sleep(WAVE_POLL_INTERVAL_S)


@maintenance_app.command("pause")
def maintenance_pause(pool: PoolOption, as_json: JsonOption = False) -> None:
    """Pause a wave: no further instance is taken out; those already out complete it."""
    print_answer(
        request_or_exit("PUT", f"/maintenance/{quoted(pool)}/pause", b"{}"),
        as_json,
        WAVE_COLUMNS,
    )


@maintenance_app.command("resume")
def maintenance_resume(pool: PoolOption, as_json: JsonOption = False) -> None:
    """Resume a paused wave."""
    print_answer(
        request_or_exit("PUT", f"/maintenance/{quoted(pool)}/resume", b"{}"),
        as_json,
        WAVE_COLUMNS,
    )


@maintenance_app.command("cancel")
def maintenance_cancel(pool: PoolOption, as_json: JsonOption = False) -> None:
    """Cancel a wave; draining instances return to service without a reboot."""
    print_answer(
        request_or_exit("PUT", f"/maintenance/{quoted(pool)}/cancel", b"{}"),
        as_json,
        WAVE_COLUMNS,
    )


def report(
    name: Annotated[ReportName, typer.Argument(help="Report.")],
    member: Annotated[str, typer.Option(help="Only this member.")] = "",
    as_json: JsonOption = False,
    as_csv: Annotated[bool, typer.Option("--csv", help="Print CSV.")] = False,
) -> None:
    """Print a report, as pages of 132 columns unless JSON or CSV is requested."""
    report_format = ReportFormat.TEXT
    if as_json:
        report_format = ReportFormat.JSON
    if as_csv:
        report_format = ReportFormat.CSV
    path = f"/reports/{name.value}?form={report_format.value}"
    if member:
        path += f"&member={member}"
    typer.echo(request_or_exit("GET", path).body.decode(), nl=False)
