"""Read of a whole table that resumes after failed calls and misses no part."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import pytest
from result import Err, Ok

from cornelturn.store.reading import TableReader
from cornelturn.store.rows import Page, Row, TableUnavailable

PARTS = tuple(f"q.{number}" for number in range(8))


@dataclass
class IntermittentStore:
    """A store that fails every second scan."""

    scans: Counter[str] = field(default_factory=Counter)
    calls: int = 0

    async def parts(self, table: str):
        return Ok(list(PARTS))

    async def scan(self, table: str, part: str):
        self.calls += 1
        if self.calls % 2 == 0:
            return Err(TableUnavailable("no answer in time"))
        self.scans[part] += 1
        return Ok(Page(self.calls, (Row(f"{table}/{part}/a", self.calls, "", ""),)))


@pytest.fixture
def store() -> IntermittentStore:
    """Return a store that fails every second scan."""
    return IntermittentStore()


async def test_part_that_was_read_is_not_read_again_after_a_failure(store):
    reader = TableReader(store, "jobs")
    results = [await reader.read_missing() for _ in range(len(PARTS))]
    page = results[-1].unwrap()
    assert len(page.rows) == len(PARTS)
    assert set(store.scans.values()) == {1}
    assert page.revision == min(row.version for row in page.rows)


@dataclass
class GrowingStore:
    """A store in which a new part appears right after the parts were first listed."""

    revision: int = 1
    listed: list[str] = field(default_factory=lambda: ["q.0"])

    async def parts(self, table: str):
        parts = list(self.listed)
        if len(self.listed) == 1:
            self.listed.append("q.1")
            self.revision += 1
        return Ok(parts)

    async def scan(self, table: str, part: str):
        row = Row(f"{table}/{part}/a", self.listed.index(part) + 1, "", "")
        return Ok(Page(self.revision, (row,)))


async def test_part_added_during_a_read_is_read_or_in_later_changes():
    page = (await TableReader(GrowingStore(), "jobs").read_missing()).unwrap()
    read = {row.key for row in page.rows}
    assert "jobs/q.1/a" in read or page.revision < 2
