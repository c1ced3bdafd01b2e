from __future__ import annotations

from pathlib import Path

import pytest

from cornelturn.tests.processes import Processes
from cornelturn.tests.scenario import Scenario

SCRIPTS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.fixture
async def scenario(tmp_path: Path):
    """Return a scenario on separate processes; they end with the test."""
    processes = Processes(tmp_path)
    yield Scenario(processes)
    await processes.stop()


@pytest.mark.parametrize("script", SCRIPTS, ids=lambda path: path.stem)
async def test_scenario(scenario: Scenario, script: Path) -> None:
    await scenario.run(script.read_text())
