"""Full collections of garbage in an entry.

Guards against turns of the event loop of 50 ms and more that go through all modules.
"""

from __future__ import annotations

import asyncio
import gc
from types import SimpleNamespace

import pytest

from cornelturn.cli import platform, run
from cornelturn.cli.client import ExitCode


class StartedEntry:
    """An entry that fails once it was started; it notes what is exempt by then."""

    def __init__(self) -> None:
        self.failed = asyncio.Event()
        self.exempt_count = 0

    async def start(self) -> None:
        self.exempt_count = gc.get_freeze_count()
        self.failed.set()

    async def stop(self) -> None:
        pass


@pytest.fixture
def started(monkeypatch) -> StartedEntry:
    """Return the entry that both front ends start in this test."""
    entry = StartedEntry()
    gc.unfreeze()
    monkeypatch.setattr(run, "EntryProcess", lambda settings: entry)
    monkeypatch.setattr(platform, "build_entry", lambda settings: entry)
    monkeypatch.setattr(run, "configure_logging", lambda level: None)
    yield entry
    gc.unfreeze()


@pytest.mark.parametrize("run_entry", [run.run_entry, platform._run_entry])
async def test_entry_exempts_its_modules_before_it_starts(started, run_entry):
    limits = SimpleNamespace(drain_limit_ms=0)
    settings = SimpleNamespace(log_level="info", limits=limits, name="entry")
    assert await run_entry(settings) is ExitCode.FAILED
    assert started.exempt_count > 10_000
