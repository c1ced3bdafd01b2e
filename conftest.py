"""Marks the tests listed in KNOWN-RED.txt as expected failures, and prints them."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"
TEST_FIELD = "test:"


def read_known_red() -> list[str]:
    """Return the test ids that the file lists, one per line ``test: ID``."""
    lines = KNOWN_RED.read_text().splitlines()
    return [
        line.removeprefix(TEST_FIELD).strip()
        for line in lines
        if line.startswith(TEST_FIELD)
    ]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests, and no others, as expected failures."""
    known_red_ids = read_known_red()
    for item in items:
        if item.nodeid in known_red_ids:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests with their outcomes."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.getreports(outcome):
            terminalreporter.write_line(f"known red, {outcome}: {report.nodeid}")
