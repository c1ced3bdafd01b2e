"""Deletes the rows of ended requests after the retention time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok

from cornelturn.clock import Clock
from cornelturn.events.log import log_event
from cornelturn.events.mailbox import Mailbox
from cornelturn.requests.records import (
    REQUEST_PREFIX,
    RequestState,
    decode_record,
)
from cornelturn.store.rows import Delete, Page
from cornelturn.store.table import Table

RETENTION_KEY = "retention"
SWEEP_INTERVAL_S = 60.0
MAX_DELETES_PER_COMMIT = 32
REFUSAL_RETENTION_MS = 600_000
ENDED_STATES = (RequestState.COMPLETED, RequestState.NOT_RUN, RequestState.FAILED)


@dataclass(frozen=True, slots=True)
class SweepDue:
    """Timer: delete the rows whose retention has passed."""


@dataclass(frozen=True, slots=True)
class EndedRow:
    """A row of an ended request, with the time at which it was first read as ended."""

    version: int
    seen_ms: int


@dataclass(slots=True)
class EndedRows:
    """Rows of ended requests, with ages measured on the clock of this process only.

    Rows with an unknown outcome stay until an operator has handled them. Refusals of
    requests that are not durable, whose state nobody asks for later, are kept for a
    short time only: longer than any grant is valid, but short enough that a flood of
    refusals does not pile up.

    Parameters
    ----------
    rows : dict of str to EndedRow
        Rows kept for the whole retention, by key.
    refusals : dict of str to EndedRow
        Rows kept for `REFUSAL_RETENTION_MS`, by key.
    """

    rows: dict[str, EndedRow] = field(default_factory=dict)
    refusals: dict[str, EndedRow] = field(default_factory=dict)

    def update(self, page: Page, now_ms: int) -> None:
        """Apply the rows that have changed since the last page."""
        for key in page.deleted:
            self.discard(key)
        for row in page.rows:
            self.discard(row.key)
            record = decode_record(row.value)
            if record.state in ENDED_STATES:
                is_refusal = record.state is RequestState.NOT_RUN
                is_kept_briefly = is_refusal and not record.is_durable
                rows_by_key = self.refusals if is_kept_briefly else self.rows
                rows_by_key[row.key] = EndedRow(row.version, now_ms)

    def discard(self, key: str) -> None:
        """Remove a row that was deleted or has changed."""
        self.rows.pop(key, None)
        self.refusals.pop(key, None)

    def due_deletions(self, retention_ms: int, now_ms: int) -> list[Delete]:
        """Return deletions of the rows whose retention has passed.

        At most `MAX_DELETES_PER_COMMIT`, the oldest of each kind first.
        """
        refusal_retention_ms = min(retention_ms, REFUSAL_RETENTION_MS)
        deletions = _deletions_before(self.refusals, now_ms - refusal_retention_ms)
        deletions += _deletions_before(self.rows, now_ms - retention_ms)
        return deletions[:MAX_DELETES_PER_COMMIT]


def _deletions_before(rows: dict[str, EndedRow], seen_before_ms: int) -> list[Delete]:
    deletions: list[Delete] = []
    for key, row in rows.items():
        if row.seen_ms > seen_before_ms or len(deletions) >= MAX_DELETES_PER_COMMIT:
            break
        deletions.append(Delete(key, row.version))
    return deletions


@dataclass(slots=True)
class RetentionSweeper:
    """Deletes old rows periodically while this entry has that duty.

    Parameters
    ----------
    retention_ms : int
        Minimum time for which ended requests, and so their idempotency keys, are kept.
    is_owner : callable
        Returns whether this entry has the duty of sweeping.
    revision : int
        Revision of the table up to which rows have been read, 0 to read all.
    """

    table: Table
    clock: Clock
    retention_ms: int
    is_owner: Callable[[], bool]
    mailbox: Mailbox[SweepDue] = field(default_factory=Mailbox)
    ended: EndedRows = field(default_factory=EndedRows)
    revision: int = 0

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async for _ in self.mailbox.messages():
            if self.is_owner():
                await self.sweep()
            else:
                self.ended = EndedRows()
                self.revision = 0

    async def sweep(self) -> None:
        """Read the changed rows and delete those whose retention has passed."""
        match await self.table.scan(REQUEST_PREFIX, self.revision):
            case Err(_):
                return
            case Ok(page):
                self.revision = page.revision
        now_ms = self.clock.now_ms()
        self.ended.update(page, now_ms)
        while deletions := self.ended.due_deletions(self.retention_ms, now_ms):
            result = await self.table.commit(*deletions)
            for delete in deletions:
                self.ended.discard(delete.key)
            log_event("rows_deleted", count=len(deletions), done=result.is_ok())
            if result.is_err():
                self.revision = 0
                return
