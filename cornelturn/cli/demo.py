"""A demonstration: a small fleet in one process, which serves HTTP requests."""

from __future__ import annotations

import asyncio
import random
import secrets
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import typer
import yaml
from result import Err, Ok

from cornelturn.entry.process import EntryProcess, ListenerAddresses
from cornelturn.events.log import configure_logging
from cornelturn.http.auth import token_digest
from cornelturn.settings.models import EntrySettings
from cornelturn.standins.platform import PlatformStandin
from cornelturn.standins.target import TargetStandin
from cornelturn.store.http_client import call, open_session
from cornelturn.store.wire import WireInstance

ENTRY_COUNT = 3
TARGET_COUNT = 4
SLOTS_PER_TARGET = 8
CALL_TIMEOUT_MS = 20_000
LOOKUPS_PER_SECOND = 30
COLLECTIONS_PER_SECOND = 6
PROGRESS_INTERVAL_S = 1.0
MEMBER = "mill"
RANDOM_SEED = 7


@dataclass(frozen=True, slots=True)
class DemoAnswer:
    """Result of one request.

    Parameters
    ----------
    status : int or None
        HTTP status, None if no answer came.
    """

    queue: str
    status: int | None
    is_correct: bool
    elapsed_ms: float

    def verdict(self) -> str:
        """Return what the caller got."""
        if self.status is None:
            return "no answer"
        return "right answer" if self.is_correct else "wrong answer"


@dataclass(slots=True)
class Demo:
    """Stand-ins and entries, and the caller that sends them requests.

    Parameters
    ----------
    folder : Path
        Folder for the configuration file.
    """

    folder: Path
    token: str = field(default_factory=lambda: secrets.token_urlsafe(16))
    platform: PlatformStandin = field(default_factory=PlatformStandin)
    targets: list[TargetStandin] = field(default_factory=list)
    entries: list[EntryProcess] = field(default_factory=list)
    addresses: list[ListenerAddresses] = field(default_factory=list)
    answers: list[DemoAnswer] = field(default_factory=list)
    rng: random.Random = field(default_factory=lambda: random.Random(RANDOM_SEED))

    async def start(self) -> None:
        """Start the stand-ins and the entries."""
        platform_url = await self.platform.start()
        for number in range(TARGET_COUNT):
            target = TargetStandin(f"target-{number}", run_ms=40)
            address = await target.start()
            self.targets.append(target)
            self.platform.instances[target.name] = WireInstance(
                name=target.name,
                data_centre=f"dc-{number % 2 + 1}",
                rack=f"rack-{number % 2 + 1}",
                address=address,
                slots=SLOTS_PER_TARGET,
                cores=64.0,
                memory_mb=262_144,
            )
        configuration = self.folder / "configuration.yaml"
        configuration.write_text(yaml.safe_dump(self._configuration_document()))
        key = secrets.token_hex(16)
        for number in range(ENTRY_COUNT):
            settings = self._settings_document(number, platform_url, key, configuration)
            entry = EntryProcess(EntrySettings.model_validate(settings))
            self.addresses.append(await entry.start())
            self.entries.append(entry)
        for entry in self.entries:
            await entry.wait_ready()

    async def send_load(self, seconds: int) -> None:
        """Send requests for a number of seconds and wait for all answers."""
        tasks: set[asyncio.Task[None]] = set()
        end_s = time.monotonic() + seconds
        progress_task = asyncio.create_task(self._print_progress())
        requests_per_second = LOOKUPS_PER_SECOND + COLLECTIONS_PER_SECOND
        while time.monotonic() < end_s:
            is_lookup = self.rng.random() < LOOKUPS_PER_SECOND / requests_per_second
            queue = "lookup" if is_lookup else "collection"
            tasks.add(asyncio.create_task(self.send_request(queue, len(tasks))))
            await asyncio.sleep(self.rng.expovariate(requests_per_second))
        await asyncio.gather(*tasks)
        progress_task.cancel()

    async def print_report(self) -> bool:
        """Print the results and return whether all answers were correct."""
        counts = Counter(
            (answer.queue, str(answer.status or "none"), answer.verdict())
            for answer in self.answers
        )
        for (queue, status, verdict), count in sorted(counts.items()):
            typer.echo(f"{queue:12s} status {status}  {verdict:13s} {count:6d}")
        for queue in ("lookup", "collection"):
            latencies_ms = sorted(
                answer.elapsed_ms for answer in self.answers if answer.queue == queue
            )
            if latencies_ms:
                median_ms = latencies_ms[len(latencies_ms) // 2]
                typer.echo(
                    f"{queue:12s} median {median_ms:.0f} ms, "
                    f"slowest {latencies_ms[-1]:.0f}"
                )
        starts = Counter()
        for target in self.targets:
            starts.update(target.starts())
        repeated = sum(count > 1 for count in starts.values())
        typer.echo(f"requests started more than once: {repeated}")
        for entry in self.entries:
            await entry.parts.usage.write()
        typer.echo("")
        for name in ("fleet", "queues"):
            typer.echo(await self._read_report(name), nl=False)
        return all(answer.is_correct for answer in self.answers)

    async def stop(self) -> None:
        """Stop the entries, the targets and the platform."""
        for entry in self.entries:
            await entry.stop()
        for target in self.targets:
            await target.stop()
        await self.platform.stop()

    async def send_request(self, queue: str, number: int) -> None:
        """Send a request and record its answer, or that none came."""
        addresses = self.addresses[number % len(self.addresses)]
        body = f"reference {number}".encode()
        headers = [(b"Authorization", f"Bearer {self.token}".encode())]
        if queue == "collection":
            headers.append((b"Idempotency-Key", f"collection-{number}".encode()))
        session = open_session(addresses.callers, CALL_TIMEOUT_MS)
        started_s = time.monotonic()
        path = f"/queues/{queue}/requests"
        result = await call(
            session, "POST", path, CALL_TIMEOUT_MS, body, headers, "text/plain"
        )
        elapsed_ms = (time.monotonic() - started_s) * 1_000
        await session.close()
        match result:
            case Ok(answer):
                expected = queue.encode() + b":" + body
                is_correct = answer.status == 200 and answer.body == expected
                status = answer.status
            case Err(_):
                status, is_correct = None, False
        self.answers.append(DemoAnswer(queue, status, is_correct, elapsed_ms))

    async def _print_progress(self) -> None:
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_S)
            typer.echo(f"answers so far: {len(self.answers)}", err=True)

    async def _read_report(self, name: str) -> str:
        session = open_session(self.addresses[0].operators, CALL_TIMEOUT_MS)
        headers = [(b"Authorization", f"Bearer {self.token}".encode())]
        path = f"/reports/{name}"
        result = await call(session, "GET", path, CALL_TIMEOUT_MS, headers=headers)
        await session.close()
        match result:
            case Ok(answer):
                return answer.body.decode().replace("\f", "\n")
            case Err(error):
                return f"report {name}: {error}\n"

    def _configuration_document(self) -> dict:
        names = [target.name for target in self.targets]
        return {
            "preset": "ordinary",
            "pools": [
                {"name": "phone", "max_unavailable": 1, "instances": names[:2]},
                {"name": "office", "max_unavailable": 1, "instances": names[2:]},
            ],
            "queues": [
                {
                    "name": "lookup",
                    "pool": "phone",
                    "work_class": "urgent",
                    "idempotent": True,
                    "share": 0.7,
                    "deadline_ms": 2_000,
                    "run_ms": 40,
                    "overflow": ["office"],
                },
                {
                    "name": "collection",
                    "pool": "office",
                    "work_class": "long",
                    "idempotent": False,
                    "share": 0.7,
                    "deadline_ms": 15_000,
                    "run_ms": 40,
                },
            ],
            "presets": [
                {"name": "ordinary"},
                {"name": "peak"},
                {"name": "maintenance", "maintenance": True},
            ],
        }

    def _settings_document(
        self, number: int, platform_url: str, key: str, configuration: Path
    ) -> dict:
        digest = token_digest(self.token)
        return {
            "name": f"entry-{number}",
            "data_centre": f"dc-{number + 1}",
            "operators": {"token_sha256": digest},
            "inner": {"key": key},
            "platform": {
                "table": platform_url,
                "objects": platform_url,
                "instances": platform_url,
            },
            "members": [{"name": MEMBER, "token_sha256": digest}],
            "configuration_file": str(configuration),
            "log_level": "warning",
        }


async def run_demo(seconds: int) -> bool:
    """Run the demonstration and return whether all answers were correct."""
    configure_logging("warning")
    with tempfile.TemporaryDirectory() as folder:
        demo = Demo(Path(folder))
        typer.echo(
            f"starting {ENTRY_COUNT} entries and {TARGET_COUNT} targets", err=True
        )
        await demo.start()
        await demo.send_load(seconds)
        is_all_correct = await demo.print_report()
        await demo.stop()
    return is_all_correct
