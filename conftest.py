"""Marks the tests listed in KNOWN-RED.txt as expected failures, and prints them."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"
TEST_FIELD = "test:"
ERROR_EVENTS = ("invariant_broken", "owner_failed", "task_failed")
"""Events of unexpected errors, which end a task, an owner or the process."""


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


@pytest.fixture(autouse=True)
def no_unexpected_error(
    request: pytest.FixtureRequest, caplog: pytest.LogCaptureFixture
) -> Iterator[None]:
    """Fail a test in which the code logs an unexpected error, unless it causes one."""
    yield
    if request.node.get_closest_marker("causes_errors") is not None:
        return
    messages = [record.getMessage() for record in caplog.get_records("call")]
    errors = [
        message
        for message in messages
        if any(f"event={event} " in message for event in ERROR_EVENTS)
    ]
    assert errors == []


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests with their outcomes."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.getreports(outcome):
            terminalreporter.write_line(f"known red, {outcome}: {report.nodeid}")
