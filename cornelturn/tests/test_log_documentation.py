"""docs/LOGS.md must list each event that entries log, with its fields."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import cornelturn

PACKAGE = Path(cornelturn.__file__).parent
DOCUMENT = PACKAGE.parent / "docs" / "LOGS.md"
ROW = re.compile(r"^\| `(\w+)` \| ([^|]*) \|", re.MULTILINE)
LOGGERS = {"log_event", "log_warning", "log_debug"}
UNDOCUMENTED_PARTS = {"tests", "standins", "benchmarks"}


def logged_fields() -> dict[str, set[str]]:
    """Return the fields of each event that the code logs by a literal name."""
    fields_by_event: dict[str, set[str]] = {}
    for path in PACKAGE.rglob("*.py"):
        if UNDOCUMENTED_PARTS & set(path.relative_to(PACKAGE).parts):
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Name):
                continue
            if node.func.id in LOGGERS and isinstance(node.args[0], ast.Constant):
                names = {keyword.arg for keyword in node.keywords if keyword.arg}
                fields_by_event.setdefault(node.args[0].value, set()).update(names)
    return fields_by_event


def documented_fields() -> dict[str, set[str]]:
    """Return the fields of each event that the document lists."""
    text = DOCUMENT.read_text().partition("## Metrics")[0]
    return {
        event: set(re.findall(r"`(\w+)`", fields))
        for event, fields in ROW.findall(text)
    }


def test_events_and_fields_of_the_code_are_those_of_the_document():
    code, document = logged_fields(), documented_fields()
    missing = {
        event: sorted(fields - document.get(event, set()))
        for event, fields in code.items()
        if event not in document or fields - document[event]
    }
    assert missing == {}
    assert set(document) - set(code) <= {"upkeep", "machine_move", "lines_dropped"}
