"""Commands of operators."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Annotated

import msgspec
import typer
import yaml

from cornelturn.cli.client import ExitCode, decode, fail, request, show
from cornelturn.fleet.waves import DrainPolicy
from cornelturn.reports.catalogue import ReportName
from cornelturn.reports.forms import ReportFormat

WAIT_POLL_S = 0.2
WAIT_LIMIT_S = 30.0
WAVE_POLL_S = 1.0

JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
GenerationOption = Annotated[
    int | None,
    typer.Option("--generation", help="Change only if this generation is in force."),
]

pool = typer.Typer(help="Pools and their availability budgets.", no_args_is_help=True)
queue = typer.Typer(help="Queues and the pools they use.", no_args_is_help=True)
preset = typer.Typer(help="Presets; exactly one is in force.", no_args_is_help=True)
instance = typer.Typer(help="Instances and their pools.", no_args_is_help=True)
requests = typer.Typer(help="Recorded requests.", no_args_is_help=True)
maintenance = typer.Typer(help="Maintenance waves.", no_args_is_help=True)
configuration = typer.Typer(help="The whole configuration.", no_args_is_help=True)


def _document() -> tuple[dict, int]:
    answer = request("GET", "/configuration")
    return decode(answer), int(answer.etag.strip('"'))


def _replace(document: dict, generation: int) -> None:
    body = msgspec.json.encode(document)
    answer = request("PUT", "/configuration", body, generation)
    typer.echo(f"generation {answer.etag.strip(chr(34))} accepted")


# Configuration


@configuration.command("show")
def configuration_show() -> None:
    """Print the configuration in force as YAML."""
    document, generation = _document()
    typer.echo(f"# generation {generation}")
    typer.echo(yaml.safe_dump(document, sort_keys=False), nl=False)


@configuration.command("apply")
def configuration_apply(
    file: Annotated[Path, typer.Argument(help="YAML file.", exists=True)],
    generation: GenerationOption = None,
) -> None:
    """Replace the configuration by that of a file."""
    seen = generation if generation is not None else _document()[1]
    answer = request("PUT", "/configuration", file.read_bytes(), seen)
    typer.echo(f"generation {answer.etag.strip(chr(34))} accepted")


# Pools


@pool.command("list")
def pool_list(as_json: JsonOption = False) -> None:
    """List the pools."""
    columns = ("name", "instances", "in_service", "unavailable", "max_unavailable")
    show(request("GET", "/pools"), as_json, (*columns, "queues"))


@pool.command("add")
def pool_add(
    name: str,
    max_unavailable: Annotated[
        int, typer.Option(help="Instances that may be out of service at once.")
    ] = 1,
) -> None:
    """Add a pool."""
    document, generation = _document()
    document["pools"].append({"name": name, "max_unavailable": max_unavailable})
    _replace(document, generation)


@pool.command("remove")
def pool_remove(name: str) -> None:
    """Remove a pool that has no instances and no queues."""
    document, generation = _document()
    kept = [one for one in document["pools"] if one["name"] != name]
    if len(kept) == len(document["pools"]):
        fail(ExitCode.REFUSED, f"pool: expected a known pool, found {name}")
    document["pools"] = kept
    _replace(document, generation)


# Queues


@queue.command("list")
def queue_list(as_json: JsonOption = False) -> None:
    """List the queues."""
    document, _ = _document()
    if as_json:
        typer.echo(msgspec.json.encode(document["queues"]).decode())
        return
    for one in document["queues"]:
        overflow = ",".join(one["overflow"]) or "-"
        typer.echo(
            f"{one['name']}  pool={one['pool']}  class={one['work_class']}  "
            f"share={one['share']:g}  overflow={overflow}"
        )


@queue.command("assign")
def queue_assign(
    name: str,
    pool: Annotated[str, typer.Option(help="Pool that serves the queue.")],
    overflow: Annotated[
        list[str] | None,
        typer.Option(help="Pool that may help, in order; repeatable."),
    ] = None,
) -> None:
    """Assign the work of a queue to a pool."""
    document, generation = _document()
    for one in document["queues"]:
        if one["name"] == name:
            one["pool"] = pool
            one["overflow"] = list(overflow or ())
            _replace(document, generation)
            return
    fail(ExitCode.REFUSED, f"queue: expected a known queue, found {name}")


# Presets


@preset.command("list")
def preset_list(as_json: JsonOption = False) -> None:
    """List the presets and tell which one is in force."""
    document, _ = _document()
    if as_json:
        view = {"in_force": document["preset"], "presets": document["presets"]}
        typer.echo(msgspec.json.encode(view).decode())
        return
    for one in document["presets"]:
        mark = "*" if one["name"] == document["preset"] else " "
        typer.echo(f"{mark} {one['name']}")


@preset.command("switch")
def preset_switch(
    name: str,
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until it is in force everywhere.")
    ] = False,
    generation: GenerationOption = None,
) -> None:
    """Put a preset in force."""
    answer = request("PUT", f"/preset/{name}", b"{}", generation)
    accepted = int(answer.etag.strip('"'))
    typer.echo(f"generation {accepted} accepted, preset {name}")
    if wait:
        _wait_in_force(accepted)


def _wait_in_force(generation: int) -> None:
    deadline_s = time.monotonic() + WAIT_LIMIT_S
    while True:
        entries = decode(request("GET", "/entries"))
        live = [one for one in entries if one["state"] in ("self", "alive", "silent")]
        behind = [one for one in live if one["generation"] < generation]
        if not behind:
            typer.echo(f"in force at {len(live)} entries")
            return
        if time.monotonic() >= deadline_s:
            names = ", ".join(
                f"{one['name']} ({one['state']}, generation {one['generation']})"
                for one in behind
            )
            fail(ExitCode.NOT_IN_FORCE, f"not in force at {names}")
        time.sleep(WAIT_POLL_S)


# Instances


@instance.command("list")
def instance_list(
    pool: Annotated[str, typer.Option(help="Only this pool.")] = "",
    as_json: JsonOption = False,
) -> None:
    """List the instances."""
    columns = ("name", "pool", "data_centre", "rack", "state", "leaving", "up")
    path = f"/instances?pool={pool}" if pool else "/instances"
    show(request("GET", path), as_json, (*columns, "reason"))


@instance.command("assign")
def instance_assign(
    name: str, pool: Annotated[str, typer.Option(help="Pool that it joins.")]
) -> None:
    """Add an instance of the platform's list to a pool."""
    _change_instance(f"/instances/{name}/assign?pool={pool}")


@instance.command("drain")
def instance_drain(name: str) -> None:
    """Give an instance no new work; its started work goes on."""
    _change_instance(f"/instances/{name}/drain")


@instance.command("resume")
def instance_resume(name: str) -> None:
    """Bring an instance back into service."""
    _change_instance(f"/instances/{name}/resume")


@instance.command("move")
def instance_move(
    name: str, pool: Annotated[str, typer.Option(help="Pool that it joins.")]
) -> None:
    """Drain an instance and let it join another pool."""
    _change_instance(f"/instances/{name}/move?pool={pool}")


def _change_instance(path: str) -> None:
    view = decode(request("PUT", path, b"{}"))
    typer.echo(f"{view['name']}: {view['state']} in {view['pool']}")


# Requests


@requests.command("list")
def request_list(
    state: Annotated[
        str, typer.Option(help="Only this state, for example unknown.")
    ] = "",
    as_json: JsonOption = False,
) -> None:
    """List the recorded requests."""
    columns = ("request", "member", "queue", "state", "target", "detail")
    path = f"/requests?state={state}" if state else "/requests"
    show(request("GET", path), as_json, columns)


# Maintenance

PoolOption = Annotated[str, typer.Option("--pool", help="Pool of the wave.")]
WAVE_COLUMNS = ("pool", "number", "state", "done", "working", "pending", "note")


@maintenance.command("start")
def maintenance_start(
    pool: PoolOption,
    policy: Annotated[
        DrainPolicy, typer.Option(help="What happens to tasks that hold up a drain.")
    ] = DrainPolicy.WAIT,
    as_json: JsonOption = False,
) -> None:
    """Start a wave that drains and reboots every instance of a pool."""
    path = f"/maintenance/{pool}/start?policy={policy.value}"
    show(request("PUT", path, b"{}"), as_json, WAVE_COLUMNS)


@maintenance.command("status")
def maintenance_status(
    pool: PoolOption,
    follow: Annotated[
        bool, typer.Option("--follow", help="Print progress until it ends.")
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Show how far the wave of a pool has come."""
    while True:
        answer = request("GET", f"/maintenance/{pool}")
        show(answer, as_json, (*WAVE_COLUMNS, "elapsed_ms", "estimate_ms"))
        if not follow or decode(answer)["state"] in ("done", "cancelled"):
            return
        time.sleep(WAVE_POLL_S)


@maintenance.command("pause")
def maintenance_pause(pool: PoolOption, as_json: JsonOption = False) -> None:
    """Take no further instance out; those in work come back."""
    show(request("PUT", f"/maintenance/{pool}/pause", b"{}"), as_json, WAVE_COLUMNS)


@maintenance.command("resume")
def maintenance_resume(pool: PoolOption, as_json: JsonOption = False) -> None:
    """Go on with a paused wave."""
    show(request("PUT", f"/maintenance/{pool}/resume", b"{}"), as_json, WAVE_COLUMNS)


@maintenance.command("cancel")
def maintenance_cancel(pool: PoolOption, as_json: JsonOption = False) -> None:
    """End a wave; draining instances come back without a reboot."""
    show(request("PUT", f"/maintenance/{pool}/cancel", b"{}"), as_json, WAVE_COLUMNS)


def report(
    name: Annotated[ReportName, typer.Argument(help="Report.")],
    member: Annotated[str, typer.Option(help="Only this member.")] = "",
    as_json: JsonOption = False,
    as_csv: Annotated[bool, typer.Option("--csv", help="Print CSV.")] = False,
) -> None:
    """Print a report in the familiar layout."""
    form = ReportFormat.TEXT
    if as_json:
        form = ReportFormat.JSON
    if as_csv:
        form = ReportFormat.CSV
    path = f"/reports/{name.value}?form={form.value}"
    if member:
        path += f"&member={member}"
    typer.echo(request("GET", path).body.decode(), nl=False)
