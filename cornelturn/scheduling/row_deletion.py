"""Deletes the rows of finished jobs for the owner of a pool, at a low rate."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from result import Err, Ok

from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_event
from cornelturn.jobs.rows import MAX_TRANSACTION_ROWS
from cornelturn.scheduling.messages import DeletionFinished
from cornelturn.scheduling.retention import RETENTION_MARGIN_MS, EndedRows
from cornelturn.store.port import RowStore
from cornelturn.store.rows import TableConflict

DELETION_INTERVAL_MS = 1_000
"""Time between two calls: a part takes 300 a second, of all entries together."""

REFUSAL_PAUSE_MS = 10_000
"""Pause after a call that the store refused or did not answer; no row is urgent."""


@dataclass(slots=True)
class RowDeletion:
    """Has at most one deletion in flight.

    Parameters
    ----------
    status_ms : int
        How long the state of a finished job must be shown.
    start : callable
        Runs a call of the store in the background.
    post : callable
        Receives its result as a message to the owner.
    max_rows : int
        Rows that one call may delete.
    next_ms : int
        When the next call may start.
    """

    pool: str
    rows: EndedRows
    status_ms: int
    metrics: JobMetrics
    start: Callable[[Coroutine[Any, Any, None]], None]
    post: Callable[[DeletionFinished], None]
    max_rows: int = MAX_TRANSACTION_ROWS
    is_in_flight: bool = False
    next_ms: int = 0

    def delete_due(self, store: RowStore, now_ms: int) -> None:
        """Start the deletion of rows that are due, unless the store is degraded."""
        if self.is_in_flight or now_ms < self.next_ms or not store.is_serving():
            return
        self.next_ms = now_ms + DELETION_INTERVAL_MS
        retention_ms = self.status_ms + RETENTION_MARGIN_MS
        batch = self.rows.due_batch(retention_ms, now_ms, self.max_rows)
        if batch is None:
            return
        self.is_in_flight = True

        async def delete() -> None:
            result = await store.commit(*batch.deletions())
            self.post(DeletionFinished(batch, result))

        self.start(delete())

    def finish(self, finished: DeletionFinished, now_ms: int) -> None:
        """Record the result of a deletion."""
        self.is_in_flight = False
        batch = finished.batch
        match finished.result:
            case Ok(_):
                self.rows.forget(batch)
                self._log(finished, "deleted", "")
            case Err(TableConflict(keys=keys)):
                # Without the changed rows, the others are deleted by the next call.
                self.rows.forget(batch, keys or None)
                self._log(finished, "conflict", f"{len(keys)} changed")
            case Err(error):
                self.next_ms = now_ms + REFUSAL_PAUSE_MS
                self._log(finished, "refused", error.detail)

    def _log(self, finished: DeletionFinished, outcome: str, detail: str) -> None:
        batch = finished.batch
        rows = len(batch.versions)
        self.metrics.row_deletions.labels(self.pool, outcome).inc(rows)
        log_event(
            "rows_deletion",
            pool=self.pool,
            part=batch.part,
            outcome=outcome,
            rows=rows,
            kept=self.rows.count,
            untracked=self.rows.untracked,
            detail=detail,
        )
