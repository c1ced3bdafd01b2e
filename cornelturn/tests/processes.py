"""Runs a platform, targets and entries as separate processes on loopback addresses."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from asyncio.subprocess import PIPE, Process
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import yaml

from cornelturn.tests.conftest import (
    Caller,
    settings_document,
    total_starts,
    write_single_pool_configuration,
)

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0


@dataclass
class Program:
    """A running process, its log lines and the fields of its start event."""

    process: Process
    started: dict[str, str] = field(default_factory=dict)
    lines: list[str] = field(default_factory=list)
    reader: asyncio.Task | None = None

    async def wait_event(self, event: str) -> dict[str, str]:
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                for line in self.lines:
                    fields = parse_line(line)
                    if fields.get("event") == event:
                        return fields
                await asyncio.sleep(0.02)

    def send(self, number: signal.Signals) -> None:
        os.kill(self.process.pid, number)

    async def read(self) -> None:
        async for line in self.process.stderr or self.process.stdout:
            self.lines.append(line.decode().rstrip())


@dataclass
class Processes:
    """A platform, targets and entries, each a process of its own."""

    folder: Path
    platform_url: str = ""
    targets: dict[str, str] = field(default_factory=dict)
    entries: dict[str, Program] = field(default_factory=dict)
    programs: list[Program] = field(default_factory=list)
    limits: dict[str, int] = field(default_factory=dict)

    async def start(
        self,
        entries: int,
        targets: int,
        run_ms: int = 20,
        limits: dict[str, int] | None = None,
    ) -> None:
        self.limits = limits or {}
        platform = await self._run("standin", "platform")
        self.platform_url = (await platform.wait_event("platform_started"))["url"]
        for number in range(targets):
            name = f"target-{number}"
            arguments = ("--name", name, "--platform", self.platform_url)
            target = await self._run(
                "standin", "target", *arguments, "--run-ms", str(run_ms)
            )
            self.targets[name] = (await target.wait_event("target_started"))["url"]
        write_single_pool_configuration(self.folder, list(self.targets))
        for number in range(entries):
            await self.start_entry(f"entry-{number}")
        for program in self.entries.values():
            await program.wait_event("entry_ready")

    async def start_entry(self, name: str) -> Program:
        path = self.folder / f"{name}.yaml"
        document = settings_document(name, self.platform_url, self.folder)
        document["limits"] = self.limits
        path.write_text(yaml.safe_dump(document))
        program = await self._run("entry", "--settings", str(path))
        program.started = await program.wait_event("entry_started")
        self.entries[name] = program
        return program

    def caller(self, entry: str) -> Caller:
        return Caller(self.entries[entry].started["callers"])

    def operators_url(self, entry: str) -> str:
        return self.entries[entry].started["operators"]

    def has_ended(self, entry: str) -> bool:
        return self.entries[entry].process.returncode is not None

    def kill(self, entry: str) -> None:
        self.entries[entry].send(signal.SIGKILL)

    def freeze(self, entry: str) -> None:
        self.entries[entry].send(signal.SIGSTOP)

    def thaw(self, entry: str) -> None:
        self.entries[entry].send(signal.SIGCONT)

    async def starts(self) -> dict[str, int]:
        answers = [
            await Caller(url).call("GET", "/statistics")
            for url in self.targets.values()
        ]
        return total_starts(yaml.safe_load(answer.body)["starts"] for answer in answers)

    async def stop(self) -> None:
        for program in self.programs:
            # A superseded entry ends by itself, also between this check and the signal.
            if program.process.returncode is None:
                with suppress(ProcessLookupError):
                    program.send(signal.SIGCONT)
                    program.process.kill()
            await program.process.wait()
            program.reader.cancel()

    async def _run(self, *arguments: str) -> Program:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cornelturn", *arguments, stderr=PIPE
        )
        program = Program(process)
        program.reader = asyncio.create_task(program.read())
        self.programs.append(program)
        return program


def parse_line(line: str) -> dict[str, str]:
    pairs = (part.partition("=") for part in line.split(" "))
    return {key: value for key, _, value in pairs}
