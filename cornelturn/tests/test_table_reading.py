"""A reading of a table goes on after calls that failed."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import pytest
from result import Err, Ok

from cornelturn.store.port import NO_PART, read_table
from cornelturn.store.reading import TableReading
from cornelturn.store.rows import Page, Row, TableUnavailable

PARTS = tuple(f"q.{number}" for number in range(8))
FIRST_CALL = 1
"""Revision that the first call tells, from before the parts are listed."""


@dataclass
class FailingParts:
    """A store that fails every second reading of a part."""

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


LATE_ROW = Row("jobs/new/a", 6, "", "")


@dataclass
class PartThatBegins:
    """A store in which a part begins while the list of the parts is on its way."""

    revision: int = 5

    async def parts(self, table: str):
        self.revision = 7
        return Ok(["old"])

    async def scan(self, table: str, part: str):
        return Ok(Page(self.revision, (Row(f"{table}/{part}/a", 3, "", ""),)))


@pytest.fixture
def store() -> FailingParts:
    """Return a store that fails now and then."""
    return FailingParts()


async def test_part_that_was_read_is_not_read_again_after_a_failure(store):
    reading = TableReading(store, "jobs")
    results = [await reading.go_on() for _ in (NO_PART, *PARTS)]
    page = results[-1].unwrap()
    assert len(page.rows) == len(PARTS)
    assert store.scans == Counter((NO_PART, *PARTS))
    assert page.revision == FIRST_CALL < min(row.version for row in page.rows)


async def read_whole(store: PartThatBegins) -> Page:
    """Return all rows, as the members are read."""
    return (await read_table(store, "jobs")).unwrap()


async def read_in_steps(store: PartThatBegins) -> Page:
    """Return all rows, as jobs are read."""
    return (await TableReading(store, "jobs").go_on()).unwrap()


@pytest.mark.parametrize("read", [read_whole, read_in_steps])
async def test_rows_of_a_part_that_begins_meanwhile_are_read_or_among_the_changes(read):
    page = await read(PartThatBegins())
    assert LATE_ROW in page.rows or page.revision < LATE_ROW.version


@dataclass
class GrowingTable:
    """A store in which a part appears just after the parts have been listed."""

    revision: int = 1
    listed: list[str] = field(default_factory=lambda: ["q.0"])

    async def parts(self, table: str):
        found = list(self.listed)
        if len(self.listed) == 1:
            self.listed.append("q.1")
            self.revision += 1
        return Ok(found)

    async def scan(self, table: str, part: str):
        if part not in self.listed:
            return Ok(Page(self.revision, ()))
        row = Row(f"{table}/{part}/a", self.listed.index(part) + 1, "", "")
        return Ok(Page(self.revision, (row,)))


async def test_part_that_appears_during_a_reading_is_read_or_in_the_changes_after_it():
    page = (await TableReading(GrowingTable(), "jobs").go_on()).unwrap()
    read = {row.key for row in page.rows}
    assert "jobs/q.1/a" in read or page.revision < 2
