from __future__ import annotations

import asyncio
import os
import sys
from asyncio.subprocess import PIPE
from dataclasses import dataclass
from pathlib import Path

import msgspec
import pytest
import yaml

from cornelturn.cli.client import ExitCode
from cornelturn.tests.conftest import OPERATOR_TOKEN, StartFleet, settings_document
from cornelturn.tests.processes import Processes


@dataclass
class Ran:
    """A command that has ended."""

    code: int
    output: str
    error: str


async def run(*arguments: str, url: str = "", token: str = OPERATOR_TOKEN) -> Ran:
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
    return Ran(process.returncode, output.decode(), error.decode())


async def test_operators_commands(start_processes: StartFleet) -> None:
    fleet: Processes = await start_processes(entries=2, targets=3)
    url = fleet.entries["entry-0"].started["operators"]

    async def good(*arguments: str) -> str:
        ran = await run(*arguments, url=url)
        assert (ran.code, ran.error) == (ExitCode.OK, "")
        return ran.output

    async def refused(code: ExitCode, *arguments: str, token: str = "x") -> str:
        ran = await run(*arguments, url=url, token=token)
        assert ran.code == code
        assert ran.error.startswith("error: ")
        return ran.error

    pools = msgspec.json.decode(await good("pool", "list", "--json"))
    assert [(one["name"], one["instances"]) for one in pools] == [("phone", 3)]
    assert "generation 2" in await good("pool", "add", "spare")
    await good("queue", "assign", "lookup", "--pool", "phone", "--overflow", "spare")
    assert "overflow=spare" in await good("queue", "list")
    switched = await good("preset", "switch", "maintenance", "--wait")
    assert "in force at 2 entries" in switched
    assert "* maintenance" in await good("preset", "list")
    assert "draining" in await good("instance", "drain", "target-0")
    operator = OPERATOR_TOKEN
    error = await refused(
        ExitCode.REFUSED, "instance", "drain", "target-1", token=operator
    )
    assert "expected fewer than 1 unavailable" in error
    assert "in_service" in await good("instance", "resume", "target-0")
    await good("maintenance", "start", "--pool", "phone")
    await good("maintenance", "cancel", "--pool", "phone")
    error = await refused(
        ExitCode.CONFLICT,
        *("preset", "switch", "peak", "--generation", "1"),
        token=operator,
    )
    assert "won" in error
    await refused(ExitCode.NOT_ALLOWED, "pool", "list")
    assert "END OF REPORT CT010" in await good("report", "fleet")
    assert (await good("report", "presets", "--csv")).startswith("generation,preset")
    assert await good("request", "list")
    document = await good("configuration", "show")
    assert yaml.safe_load(document)["preset"] == "maintenance"


async def test_entry_that_is_away_is_told_as_such() -> None:
    ran = await run("pool", "list", url="http://127.0.0.1:1")
    assert ran.code == ExitCode.UNAVAILABLE


@pytest.mark.parametrize("example", ["cascade-ledger", "consorzio"])
async def test_examples_are_good(example: str) -> None:
    path = Path(__file__).parents[2] / "examples" / example / "entry-1.yaml"
    ran = await run("settings", "check", str(path))
    assert (ran.code, ran.error) == (ExitCode.OK, "")


async def test_wrong_settings_name_every_error(tmp_path: Path) -> None:
    document = settings_document("Entry 1", "http://127.0.0.1:1", tmp_path)
    document["inner"]["key"] = "secret"
    document["unknown"] = 1
    path = tmp_path / "entry.yaml"
    path.write_text(yaml.safe_dump(document))
    ran = await run("entry", "--settings", str(path))
    assert ran.code == ExitCode.USAGE
    for part in ("name", "inner.key", "unknown"):
        assert f"{part}: " in ran.error
    assert "secret" not in ran.error
