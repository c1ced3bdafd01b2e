"""Rows of the duties as this entry knows them, and its writes to them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from cornelturn.events.log import log_warning
from cornelturn.ownership.duties import (
    DutyRow,
    VersionedDuty,
    decode_duty,
    duty_from_key,
    duty_key,
    encode_duty,
)
from cornelturn.ownership.member_rows import MemberRows
from cornelturn.store.port import RowStore
from cornelturn.store.rows import Committed, Put, Row, TableError


@dataclass(slots=True)
class DutyRows:
    """The duties by name, each with the version of its row.

    Parameters
    ----------
    member_rows : MemberRows
        Local copy of all rows; written ones are added to it.
    """

    store: RowStore
    member_rows: MemberRows
    known: dict[str, VersionedDuty] = field(default_factory=dict)

    def holder(self, duty: str) -> str:
        """Return the entry that holds a duty, as last read."""
        known = self.known.get(duty)
        return known.row.holder if known is not None else ""

    def generation(self, duty: str) -> int:
        """Return the generation of a duty, as last read; 0 if there is none."""
        known = self.known.get(duty)
        return known.row.generation if known is not None else 0

    def refresh(self) -> None:
        """Decode the rows that have changed; forget the duties that have none."""
        duty_rows = (
            (duty_from_key(row.key), row) for row in self.member_rows.rows.values()
        )
        self.known = {
            duty: known
            for duty, row in duty_rows
            if duty is not None
            and (known := self._decode_if_changed(duty, row)) is not None
        }

    def apply(self, rows: Iterable[Row]) -> None:
        """Apply rows of duties that other entries have written."""
        for row in rows:
            duty = duty_from_key(row.key)
            if duty is None:
                continue
            self.member_rows.put_if_newer(row)
            known = self._decode_if_changed(duty, row)
            if known is not None:
                self.known[duty] = known

    async def commit(
        self, duty: str, row: DutyRow, version: int
    ) -> Result[Committed, TableError]:
        """Write the row of a duty if its version is as expected."""
        put = Put(duty_key(duty), encode_duty(row), version)
        result = await self.store.commit(put)
        if isinstance(result, Ok):
            revision = result.ok_value.revision
            self.member_rows.put_if_newer(Row(put.key, revision, "", put.value))
            self.known[duty] = VersionedDuty(row, revision)
        return result

    async def probe(
        self, duty: str, known: VersionedDuty
    ) -> Result[Committed, TableError]:
        """Write the row of a duty unchanged, beside other writes of this entry."""
        put = Put(duty_key(duty), encode_duty(known.row), known.version)
        result = await self.store.commit(put)
        if isinstance(result, Ok):
            self._record_probed(duty, known, result.ok_value.revision, put.value)
        return result

    def _record_probed(
        self, duty: str, probed: VersionedDuty, revision: int, value: str
    ) -> None:
        """Record the new version of a row, unless a later one is known by now."""
        self.member_rows.put_if_newer(Row(duty_key(duty), revision, "", value))
        known = self.known.get(duty)
        if known is None or known.version < revision:
            self.known[duty] = VersionedDuty(probed.row, revision)

    def _decode_if_changed(self, duty: str, row: Row) -> VersionedDuty | None:
        """Return a duty, decoding a changed row; the known one if that fails."""
        known = self.known.get(duty)
        if known is not None and known.version == row.version:
            return known
        match decode_duty(row.value):
            case Ok(decoded_row):
                return VersionedDuty(decoded_row, row.version)
            case Err(error):
                log_warning("duty_unreadable", duty=duty, detail=error.detail)
                return known
