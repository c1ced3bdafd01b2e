"""Runs each scenario on separate processes, or in memory on a fake clock."""

from __future__ import annotations

from pathlib import Path

import pytest

from cornelturn.tests.processes import Processes
from cornelturn.tests.scenario import Scenario, run_under_fake_clock

FOLDER = Path(__file__).parent / "scenarios"
SCRIPTS = sorted(FOLDER.glob("*.txt"))
FAKE_CLOCK_SCRIPTS = SCRIPTS + sorted((FOLDER / "fake_clock").glob("*.txt"))
SEEDS = (1, 2)


@pytest.fixture
async def scenario(tmp_path: Path):
    """Return a scenario on separate processes, which are stopped after the test."""
    processes = Processes(tmp_path)
    yield Scenario(processes)
    await processes.stop()


@pytest.mark.parametrize("script", SCRIPTS, ids=lambda path: path.stem)
async def test_scenario(scenario: Scenario, script: Path) -> None:
    await scenario.run(script.read_text())


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("script", FAKE_CLOCK_SCRIPTS, ids=lambda path: path.stem)
def test_scenario_under_a_fake_clock(tmp_path: Path, script: Path, seed: int) -> None:
    run_under_fake_clock(tmp_path, script.read_text(), seed)
