"""An operator's change to a wave while its controller writes the same row."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from unittest.mock import Mock

import pytest
from result import Err, Ok

from cornelturn.fleet.operations import FleetOperations, LatestWave
from cornelturn.fleet.waves import (
    DrainPolicy,
    WaveState,
    decode_wave,
    encode_wave,
    new_wave,
    wave_key,
)
from cornelturn.store.rows import Committed, Put, Row, TableConflict


@dataclass
class BusyTable:
    """Table whose row another writer changes after each of the first reads."""

    row: Row
    changes_left: int = 1
    puts: list[Put] = field(default_factory=list)

    async def read(self, key: str, limit_ms: int):
        """Return the row, then simulate a write by another writer."""
        row_before = self.row
        if self.changes_left:
            self.changes_left -= 1
            self.row = replace(row_before, version=row_before.version + 1)
        return Ok(row_before)

    async def commit(self, put: Put):
        """Accept the row if its version is as expected."""
        if put.expected != self.row.version:
            return Err(TableConflict((put.key,), (self.row,)))
        self.puts.append(put)
        return Ok(Committed(self.row.version + 1))


@pytest.fixture
def table() -> BusyTable:
    """Return a table with a running wave."""
    wave = new_wave("phone", 1, DrainPolicy.WAIT, [])
    return BusyTable(Row(wave_key("phone"), 3, "", encode_wave(wave)))


def test_cancel_that_conflicts_with_the_controller_is_retried(table):
    operations = FleetOperations(table, Mock(), Mock(), Mock(), Mock())
    result = asyncio.run(operations.change_wave("phone", WaveState.CANCELLED))
    assert isinstance(result, LatestWave)
    assert decode_wave(table.puts[0].value).state is WaveState.CANCELLED
