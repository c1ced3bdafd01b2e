"""Deletion of the rows of finished jobs: which rows, when, and what must not follow."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field

import pytest
from result import Err, Ok

from cornelturn.events.job_metrics import JobMetrics
from cornelturn.jobs.rows import JOBS_TABLE, job_key
from cornelturn.ownership.messages import HandOverDue
from cornelturn.platform.standin.documents import id_of_queue, job_id, phases
from cornelturn.scheduling.messages import DeletionFinished, JobRowsRead
from cornelturn.scheduling.retention import DEFAULT_STATUS_MS as STATUS_MS
from cornelturn.scheduling.retention import (
    MAX_BATCH_WAIT_MS,
    MAX_ENDED_ROWS,
    MAX_TRANSACTION_ROWS,
    RETENTION_MARGIN_MS,
    EndedRows,
)
from cornelturn.scheduling.row_deletion import DELETION_INTERVAL_MS as INTERVAL_MS
from cornelturn.scheduling.row_deletion import REFUSAL_PAUSE_MS, RowDeletion
from cornelturn.store.rows import Committed, Delete, TableConflict, TableUnavailable
from cornelturn.tests.job_fleet import JobFleet, wait_until_completed

RETENTION_MS = STATUS_MS + RETENTION_MARGIN_MS
DUE_MS = RETENTION_MS + MAX_BATCH_WAIT_MS
JOB = job_id(1)
LOADING_DELAY_MS = 100
"""Delay of each answer of the store; a multiple of the interval of `wait_until`."""


@dataclass
class Deletions:
    """A store that answers deletions as told, and rows known since 0, in one part."""

    count: int
    is_available: bool = True
    answers: list[Err] = field(default_factory=list)
    calls: list[tuple[Delete, ...]] = field(default_factory=list)
    finished: list[DeletionFinished] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rows = EndedRows()
        for number in range(self.count):
            self.rows.note(f"jobs/q.0/{number}", str(number), number + 1, 0)
        self.deletion = RowDeletion(
            "pool", self.rows, STATUS_MS, JobMetrics(), self.run, self.finished.append
        )

    def is_serving(self) -> bool:
        return self.is_available

    async def commit(self, *operations: Delete) -> Ok | Err:
        self.calls.append(operations)
        return self.answers.pop() if self.answers else Ok(Committed(1))

    def run(self, work: Coroutine) -> None:
        with pytest.raises(StopIteration):
            work.send(None)

    def call_at(self, now_ms: int) -> int:
        """Let one call start and be answered; return how many there were so far."""
        self.deletion.delete_due(self, now_ms)
        while self.finished:
            self.deletion.finish(self.finished.pop(), now_ms)
        return len(self.calls)


def test_row_is_not_due_before_its_state_may_be_forgotten():
    deletions = Deletions(MAX_TRANSACTION_ROWS + 1)
    assert deletions.call_at(RETENTION_MS - 1) == 0
    assert deletions.call_at(RETENTION_MS + INTERVAL_MS) == 1
    assert deletions.rows.count == 1
    # The last row waits for others; a call for each row would be expensive.
    assert deletions.call_at(DUE_MS - 1) == 1
    assert deletions.call_at(DUE_MS + INTERVAL_MS) == 2
    assert deletions.calls[1] == (Delete("jobs/q.0/40", 41),)


def test_row_that_is_read_again_keeps_its_time_and_a_later_version_does_not():
    rows = EndedRows()
    rows.note("jobs/q.0/a", "a", 5, 0)
    rows.note("jobs/q.0/a", "a", 5, 9)
    assert rows.due_batch(RETENTION_MS, DUE_MS).versions == {"a": 5}
    rows.note("jobs/q.0/a", "a", 6, 9)
    assert rows.due_batch(RETENTION_MS, DUE_MS) is None


def test_conflict_forgets_the_changed_row_and_deletes_the_others():
    deletions = Deletions(3)
    deletions.answers = [Err(TableConflict(("jobs/q.0/1",)))]
    assert deletions.call_at(DUE_MS) == 1
    assert deletions.call_at(DUE_MS + INTERVAL_MS) == 2
    assert [row.key for row in deletions.calls[1]] == ["jobs/q.0/0", "jobs/q.0/2"]
    assert deletions.rows.count == 0


def test_degraded_store_gets_no_deletion_and_a_refusal_pauses_them():
    deletions = Deletions(3)
    deletions.is_available = False
    assert deletions.call_at(DUE_MS) == 0
    deletions.is_available = True
    deletions.answers = [Err(TableUnavailable("status 429", is_in_doubt=False))]
    assert deletions.call_at(DUE_MS) == 1
    assert deletions.rows.count == 3
    assert deletions.call_at(DUE_MS + REFUSAL_PAUSE_MS - 1) == 1
    assert deletions.call_at(DUE_MS + REFUSAL_PAUSE_MS) == 2
    assert deletions.rows.count == 0


def test_history_of_50_000_jobs_is_deleted_in_small_batches():
    deletions = Deletions(MAX_ENDED_ROWS + 1)
    assert deletions.rows.untracked == 1
    now_ms = RETENTION_MS
    while deletions.rows.count:
        deletions.call_at(now_ms)
        now_ms += INTERVAL_MS
    assert {len(call) for call in deletions.calls} == {MAX_TRANSACTION_ROWS}


def job_rows(fleet: JobFleet) -> list[str]:
    return sorted(key[2] for key in fleet.store.rows if key[0] == JOBS_TABLE)


def owner_of(fleet: JobFleet):
    entry = fleet.entries[fleet.owners()["phone"]]
    return entry.duties.owned_pools["phone"].owner


def test_state_is_shown_until_its_time_although_the_owner_is_replaced(play):
    async def day(fleet: JobFleet) -> None:
        assert await fleet.submit("entry-0", "phone", JOB, phases(1)) == 200
        # A tombstone, as no such job was submitted.
        await fleet.call("entry-0", "DELETE", f"/phone/{job_id(2)}")
        assert job_rows(fleet) == [JOB, job_id(2)]
        old = owner_of(fleet)
        submitted = (await old.store.read(job_key(id_of_queue("phone"), JOB))).unwrap()
        await wait_until_completed(fleet, [JOB])
        await asyncio.sleep(STATUS_MS / 1_000 - 1)
        assert await fleet.job_state("entry-0", "phone", JOB) == "completed"
        old_entry = fleet.entries[fleet.owners()["phone"]]
        old_entry.duties.handle_event(HandOverDue("phone"))
        await fleet.wait_until(lambda: "phone" not in old_entry.duties.owned_pools)
        await fleet.wait_until(lambda: "phone" in fleet.owners())
        # The new owner counts from its takeover.
        await asyncio.sleep(RETENTION_MS / 1_000 - 10)
        assert await fleet.job_state("entry-0", "phone", JOB) == "completed"
        await asyncio.sleep(MAX_BATCH_WAIT_MS / 1_000 + 30)
        assert job_rows(fleet) == []
        # A late change of the job, for its owner and for one that never saw its row.
        owner_of(fleet).mailbox.post(JobRowsRead((submitted,)))
        await asyncio.sleep(2)
        name = fleet.owners()["phone"]
        # The next owner is found before it has read any rows.
        fleet.store.answer_delay_ms = LOADING_DELAY_MS
        fleet.kill_entry(name)
        await fleet.wait_until(lambda: fleet.holders("phone"), 40)
        (name,) = fleet.holders("phone")
        owner = fleet.entries[name].duties.owned_pools["phone"].owner
        assert not owner.scheduler.is_loaded
        owner.mailbox.post(JobRowsRead((submitted,)))
        await fleet.wait_until(lambda: owner.takeover.is_over, 40)
        assert JOB not in owner.scheduler.jobs
        owner.mailbox.post(JobRowsRead((submitted,)))
        await asyncio.sleep(2)
        assert JOB not in owner.scheduler.jobs

    fleet = play(day)
    assert set(fleet.checker.start_counts.values()) == {1}
