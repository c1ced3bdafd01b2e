"""Deletion of the rows of ended requests: which rows, and after what time."""

from __future__ import annotations

import pytest

from cornelturn.clock import ManualTime
from cornelturn.requests.records import RequestRecord, RequestState, encode_record
from cornelturn.requests.retention import (
    REFUSAL_RETENTION_MS,
    EndedRows,
    RetentionSweeper,
)
from cornelturn.store.rows import Delete, Page, Row
from cornelturn.tests.conftest import StartFleet

RETENTION_MS = 1_000


def page(version: int, state: RequestState) -> Page:
    record = RequestRecord("r", "mill", "collection", state, "f", "entry-1", 1)
    row = Row("request/mill/r", version, "t", encode_record(record))
    return Page(version, (row,))


@pytest.mark.parametrize("state", [RequestState.COMPLETED, RequestState.FAILED])
def test_ended_rows_are_deleted_after_the_retention(state: RequestState) -> None:
    ended = EndedRows()
    ended.update(page(5, state), 0)
    assert ended.due_deletions(RETENTION_MS, RETENTION_MS - 1) == []
    assert ended.due_deletions(RETENTION_MS, RETENTION_MS) == [
        Delete("request/mill/r", 5)
    ]


def test_refusals_are_kept_for_a_short_time_only() -> None:
    ended = EndedRows()
    ended.update(page(5, RequestState.NOT_RUN), 0)
    day_ms = 24 * 3_600_000
    assert ended.due_deletions(day_ms, REFUSAL_RETENTION_MS - 1) == []
    assert ended.due_deletions(day_ms, REFUSAL_RETENTION_MS) == [
        Delete("request/mill/r", 5)
    ]
    ended.update(page(6, RequestState.COMPLETED), REFUSAL_RETENTION_MS)
    assert ended.due_deletions(day_ms, 2 * REFUSAL_RETENTION_MS) == []


@pytest.mark.parametrize(
    "state", [RequestState.UNKNOWN, RequestState.ACCEPTED, RequestState.STARTED]
)
def test_open_and_unknown_rows_are_never_due(state: RequestState) -> None:
    ended = EndedRows()
    ended.update(page(5, RequestState.NOT_RUN), 0)
    ended.update(page(6, state), 10)
    assert ended.due_deletions(RETENTION_MS, 10 * RETENTION_MS) == []


async def test_sweep_deletes_old_rows_and_keeps_open_ones(
    start_fleet: StartFleet, manual_time: ManualTime
) -> None:
    fleet = await start_fleet()
    await fleet.caller().post("collection", b"x", Idempotency_Key="k")

    def rows() -> list[str]:
        return [key for key in fleet.platform.table.rows if key.startswith("request/")]

    def is_ended() -> bool:
        values = [fleet.platform.table.rows[key].value for key in rows()]
        return all('"completed"' in value for value in values)

    await fleet.wait_for(is_ended)
    table = fleet.entries[0].parts.table
    clock = manual_time.clock()
    sweeper = RetentionSweeper(table, clock, RETENTION_MS, lambda: True)
    await sweeper.sweep()
    assert len(rows()) == 1
    manual_time.advance_ms(RETENTION_MS)
    await sweeper.sweep()
    assert rows() == []
