"""Rows of the maintenance waves of all pools, as read from the table."""

from __future__ import annotations

from dataclasses import dataclass, field

from result import Err, Ok

from cornelturn.fleet.waves import (
    WAVE_PREFIX,
    Wave,
    decode_wave,
    encode_wave,
    wave_key,
)
from cornelturn.store.rows import Operation, Put
from cornelturn.store.table import Table


@dataclass(frozen=True, slots=True)
class WaveRow:
    """Wave with the version of its row."""

    wave: Wave
    version: int


@dataclass(slots=True)
class WaveRows:
    """Latest wave of each pool, read incrementally and written conditionally."""

    table: Table
    rows: dict[str, WaveRow] = field(default_factory=dict)
    revision: int = 0

    async def refresh(self) -> bool:
        """Read the rows that have changed; return False if the table is unavailable."""
        match await self.table.scan(WAVE_PREFIX, self.revision):
            case Err(_):
                return False
            case Ok(page):
                self.revision = page.revision
        for row in page.rows:
            wave = decode_wave(row.value)
            self.rows[wave.pool] = WaveRow(wave, row.version)
        return True

    def latest(self, pool: str) -> WaveRow | None:
        """Return the latest wave of a pool."""
        return self.rows.get(pool)

    async def write(
        self, wave: Wave, version: int, fence: tuple[Operation, ...]
    ) -> bool:
        """Write a wave; return False if that failed, such as after another write."""
        put = Put(wave_key(wave.pool), encode_wave(wave), version)
        match await self.table.commit(put, *fence):
            case Ok(committed):
                self.rows[wave.pool] = WaveRow(wave, committed.revision)
                return True
            case Err(_):
                return False
