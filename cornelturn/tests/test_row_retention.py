"""Deletion of the rows of finished jobs: which rows, when, and what must not follow."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from result import Err, Ok, Result

from cornelturn.events.job_metrics import JobMetrics
from cornelturn.jobs.rows import JOBS_TABLE, job_key
from cornelturn.ownership.messages import HandOverDue
from cornelturn.scheduling.messages import DeletionFinished, JobRowsRead
from cornelturn.scheduling.retention import (
    DEFAULT_STATUS_MS,
    MAX_BATCH_ROWS,
    MAX_BATCH_WAIT_MS,
    MAX_ENDED_ROWS,
    RETENTION_MARGIN_MS,
    EndedRows,
)
from cornelturn.scheduling.row_deletion import (
    DELETION_INTERVAL_MS,
    REFUSAL_PAUSE_MS,
    RowDeletion,
)
from cornelturn.store.rows import (
    Committed,
    Delete,
    TableConflict,
    TableError,
    TableUnavailable,
)
from cornelturn.tests.job_fleet import JobFleet, job_id, phases, wait_until_completed

RETENTION_MS = DEFAULT_STATUS_MS + RETENTION_MARGIN_MS
DUE_MS = RETENTION_MS + MAX_BATCH_WAIT_MS
JOB = job_id(1)


@dataclass
class Deletions:
    """A store that answers deletions as told, and the part that sends them."""

    is_serving_now: bool = True
    answers: list[Result[Committed, TableError]] = field(default_factory=list)
    calls: list[tuple[Delete, ...]] = field(default_factory=list)
    rows: EndedRows = field(default_factory=EndedRows)
    finished: list[DeletionFinished] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.deletion = RowDeletion(
            "pool", self.rows, DEFAULT_STATUS_MS, JobMetrics(), self.run, self.post
        )

    def is_serving(self) -> bool:
        return self.is_serving_now

    async def commit(self, *operations: Delete) -> Result[Committed, TableError]:
        self.calls.append(operations)
        return self.answers.pop(0) if self.answers else Ok(Committed(1))

    def run(self, work) -> None:
        with pytest.raises(StopIteration):
            work.send(None)

    def post(self, message: DeletionFinished) -> None:
        self.finished.append(message)

    def call_at(self, now_ms: int) -> int:
        """Let one call start and be answered; return how many there were so far."""
        self.deletion.delete_due(self, now_ms)
        while self.finished:
            self.deletion.finish(self.finished.pop(), now_ms)
        return len(self.calls)


@pytest.fixture
def make_deletions() -> Callable[..., Deletions]:
    """Return a factory of deletions of some rows known since 0, in one part."""

    def make(count: int) -> Deletions:
        deletions = Deletions()
        for number in range(count):
            deletions.rows.note(f"jobs/q.0/{number}", str(number), number + 1, 0)
        return deletions

    return make


def test_row_is_not_due_before_its_state_may_be_forgotten(make_deletions):
    deletions = make_deletions(MAX_BATCH_ROWS + 1)
    assert deletions.call_at(RETENTION_MS - 1) == 0
    assert deletions.call_at(RETENTION_MS + DELETION_INTERVAL_MS) == 1
    assert deletions.rows.count == 1
    # The last row waits for others; a call for each row would be expensive.
    assert deletions.call_at(DUE_MS - 1) == 1
    assert deletions.call_at(DUE_MS + DELETION_INTERVAL_MS) == 2
    assert deletions.calls[1] == (Delete("jobs/q.0/40", 41),)


def test_row_that_is_read_again_keeps_its_time_and_a_later_version_does_not():
    rows = EndedRows()
    rows.note("jobs/q.0/a", "a", 5, 0)
    rows.note("jobs/q.0/a", "a", 5, 9)
    assert rows.due_batch(RETENTION_MS, DUE_MS).versions == {"a": 5}
    rows.note("jobs/q.0/a", "a", 6, 9)
    assert rows.due_batch(RETENTION_MS, DUE_MS) is None


def test_conflict_forgets_the_changed_row_and_deletes_the_others(make_deletions):
    deletions = make_deletions(3)
    deletions.answers = [Err(TableConflict(("jobs/q.0/1",)))]
    assert deletions.call_at(DUE_MS) == 1
    assert deletions.call_at(DUE_MS + DELETION_INTERVAL_MS) == 2
    assert [row.key for row in deletions.calls[1]] == ["jobs/q.0/0", "jobs/q.0/2"]
    assert deletions.rows.count == 0


def test_degraded_store_gets_no_deletion_and_a_refusal_pauses_them(make_deletions):
    deletions = make_deletions(3)
    deletions.is_serving_now = False
    assert deletions.call_at(DUE_MS) == 0
    deletions.is_serving_now = True
    deletions.answers = [Err(TableUnavailable("status 429", is_in_doubt=False))]
    assert deletions.call_at(DUE_MS) == 1
    assert deletions.rows.count == 3
    assert deletions.call_at(DUE_MS + REFUSAL_PAUSE_MS - 1) == 1
    assert deletions.call_at(DUE_MS + REFUSAL_PAUSE_MS) == 2
    assert deletions.rows.count == 0


def test_history_of_50_000_jobs_is_deleted_in_small_batches(make_deletions):
    deletions = make_deletions(MAX_ENDED_ROWS + 1)
    assert deletions.rows.untracked == 1
    now_ms = RETENTION_MS
    while deletions.rows.count:
        deletions.call_at(now_ms)
        now_ms += DELETION_INTERVAL_MS
    assert {len(call) for call in deletions.calls} == {MAX_BATCH_ROWS}


def job_rows(fleet: JobFleet) -> list[str]:
    return [key[2] for key in fleet.store.rows if key[0] == JOBS_TABLE]


def owner_of(fleet: JobFleet):
    entry = fleet.entries[fleet.owners()["phone"]]
    return entry.duties.owned_pools["phone"].owner


def test_state_is_shown_until_its_time_although_the_owner_is_replaced(play):
    async def day(fleet: JobFleet) -> None:
        assert await fleet.submit("entry-0", "phone", JOB, phases(1)) == 200
        # A tombstone, as no such job was submitted.
        await fleet.call("entry-0", "DELETE", f"/phone/{job_id(2)}")
        assert sorted(job_rows(fleet)) == [JOB, job_id(2)]
        old = owner_of(fleet)
        submitted = (await old.store.read(job_key("q-phone", JOB))).unwrap()
        await wait_until_completed(fleet, [JOB])
        await asyncio.sleep(DEFAULT_STATUS_MS / 1_000 - 1)
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
        fleet.kill_entry(name)
        await fleet.wait_until(lambda: fleet.owners().get("phone"), 40)
        await fleet.wait_until(lambda: owner_of(fleet).takeover.is_over, 40)
        owner_of(fleet).mailbox.post(JobRowsRead((submitted,)))
        await asyncio.sleep(2)
        assert JOB not in owner_of(fleet).scheduler.jobs

    fleet = play(day)
    assert set(fleet.checker.start_counts.values()) == {1}
