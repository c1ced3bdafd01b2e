"""The commands, run as processes: what they print, and their exit codes."""

from __future__ import annotations

import asyncio
import os
import sys
from asyncio.subprocess import PIPE
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import unquote, urlsplit

import msgspec
import pytest
import yaml

from cornelturn.cli.client import ExitCode
from cornelturn.cli.demo import Demo
from cornelturn.cli.operators import quoted
from cornelturn.entry.process import ListenerAddresses
from cornelturn.tests.conftest import OPERATOR_TOKEN, StartFleet, settings_document
from cornelturn.tests.processes import Processes

UNREACHABLE_URL = "http://127.0.0.1:1"


@dataclass
class CommandResult:
    """Result of a command that has ended."""

    code: int
    output: str
    error: str


async def run_command(
    *arguments: str, url: str = "", token: str = OPERATOR_TOKEN
) -> CommandResult:
    environment = {
        **os.environ,
        "CORNELTURN_OPERATORS_URL": url,
        "CORNELTURN_OPERATORS_TOKEN": token,
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cornelturn",
        *arguments,
        stdout=PIPE,
        stderr=PIPE,
        env=environment,
    )
    output, error = await process.communicate()
    return CommandResult(process.returncode, output.decode(), error.decode())


async def test_operator_commands(start_processes: StartFleet) -> None:
    fleet: Processes = await start_processes(entries=2, targets=3)
    url = fleet.entries["entry-0"].started["operators"]

    async def run_ok(*arguments: str) -> str:
        result = await run_command(*arguments, url=url)
        assert (result.code, result.error) == (ExitCode.OK, "")
        return result.output

    async def run_rejected(code: ExitCode, *arguments: str, token: str = "x") -> str:
        result = await run_command(*arguments, url=url, token=token)
        assert result.code == code
        assert result.error.startswith("error: ")
        return result.error

    pools = msgspec.json.decode(await run_ok("pool", "list", "--json"))
    assert [(pool["name"], pool["instances"]) for pool in pools] == [("phone", 3)]
    assert "generation 2" in await run_ok("pool", "add", "spare")
    await run_ok("queue", "assign", "lookup", "--pool", "phone", "--overflow", "spare")
    assert "overflow=spare" in await run_ok("queue", "list")
    switch_output = await run_ok("preset", "switch", "maintenance", "--wait")
    assert "in force at 2 entries" in switch_output
    assert "* maintenance" in await run_ok("preset", "list")
    assert "draining" in await run_ok("instance", "drain", "target-0")
    operator_token = OPERATOR_TOKEN
    error = await run_rejected(
        ExitCode.REFUSED, "instance", "drain", "target-1", token=operator_token
    )
    assert "expected fewer than 1 unavailable" in error
    assert "in_service" in await run_ok("instance", "resume", "target-0")
    await run_ok("maintenance", "start", "--pool", "phone")
    await run_ok("maintenance", "cancel", "--pool", "phone")
    error = await run_rejected(
        ExitCode.CONFLICT,
        *("preset", "switch", "peak", "--generation", "1"),
        token=operator_token,
    )
    assert "won" in error
    await run_rejected(ExitCode.NOT_ALLOWED, "pool", "list")
    assert "END OF REPORT CT010" in await run_ok("report", "fleet")
    assert (await run_ok("report", "presets", "--csv")).startswith("generation,preset")
    assert await run_ok("request", "list")
    document = await run_ok("configuration", "show")
    assert yaml.safe_load(document)["preset"] == "maintenance"


async def test_unreachable_entry_exits_with_unavailable() -> None:
    result = await run_command("pool", "list", url=UNREACHABLE_URL)
    assert result.code == ExitCode.UNAVAILABLE


@pytest.mark.parametrize("example", ["cascade-ledger", "consorzio"])
async def test_example_settings_are_valid(example: str) -> None:
    path = Path(__file__).parents[2] / "examples" / example / "entry-1.yaml"
    result = await run_command("settings", "check", str(path))
    assert (result.code, result.error) == (ExitCode.OK, "")


async def test_invalid_settings_print_every_error(tmp_path: Path) -> None:
    document = settings_document("Entry 1", "http://127.0.0.1:1", tmp_path)
    document["inner"]["key"] = "secret"
    document["unknown"] = 1
    path = tmp_path / "entry.yaml"
    path.write_text(yaml.safe_dump(document))
    result = await run_command("entry", "--settings", str(path))
    assert result.code == ExitCode.USAGE
    for part in ("name", "inner.key", "unknown"):
        assert f"{part}: " in result.error
    assert "secret" not in result.error


@pytest.mark.parametrize("name", ["a/b", "a b", "a?pool=b&c"])
def test_name_is_one_segment_of_a_path(name: str) -> None:
    path = f"/instances/{quoted(name)}/drain"
    segments = urlsplit(path).path.split("/")
    assert [unquote(segment) for segment in segments] == [
        "",
        "instances",
        name,
        "drain",
    ]


async def test_demo_counts_calls_without_an_answer(tmp_path: Path) -> None:
    demo = Demo(tmp_path, addresses=[ListenerAddresses(UNREACHABLE_URL, "", "")])
    await demo.send_request("lookup", 0)
    (answer,) = demo.answers
    assert answer.verdict() == "no answer"
