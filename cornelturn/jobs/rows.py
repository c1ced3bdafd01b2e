"""Encoding of jobs as rows of the store.

Each job has one row, in one of the parts of its queue.
"""

from __future__ import annotations

from dataclasses import astuple, dataclass

import msgspec
import xxhash
from result import Result

from cornelturn.jobs.model import JobSpec
from cornelturn.jobs.progress import Progress
from cornelturn.model.decoding import Int64, try_decode
from cornelturn.model.routes import ApprovalTimes, JobQueue, VersionedQueue

JOBS_TABLE = "jobs"
SHARDS = 8
"""Parts of a queue: the store writes a part one transaction at a time."""

MAX_TRANSACTION_ROWS = 40
"""Maximum number of rows in one transaction."""


@dataclass(frozen=True, slots=True)
class JobRow:
    """A job with its progress, as the store holds it.

    Parameters
    ----------
    generation : int
        Lowest generation of the pool's ownership that may start tasks of the job, as
        far as the writer knew; 0 if any may.
    queue : VersionedQueue or None
        Its queue as the writer knew it, without the host and the path prefix, so that
        an owner can judge the job before it has the configuration, and after the
        queue was removed. None in rows of earlier versions of this software.
    """

    spec: JobSpec
    progress: Progress
    generation: int = 0
    queue: VersionedQueue | None = None

    def is_submitted(self) -> bool:
        """Return whether the job was submitted; a tombstone only blocks submission."""
        return bool(self.spec.steps)


@dataclass(frozen=True, slots=True)
class UnreadableRow:
    """A row that could not be decoded, and why."""

    key: str
    detail: str


class StepRow(msgspec.Struct, frozen=True, array_like=True):
    """Progress of one step: indices of done tasks, then failed runs by task index."""

    occurrence: Int64
    step: Int64
    done: tuple[Int64, ...]
    failed: tuple[tuple[Int64, tuple[Int64, ...]], ...]


class StoredQueue(msgspec.Struct, frozen=True, array_like=True):
    """Encoded form of a queue, as one version of the configuration defines it.

    ``approval`` has the three times; earlier versions lack it and ignore it.
    """

    version: Int64
    priority: Int64
    max_attempts: Int64
    slack_factor: float
    slack_ms: Int64
    needs_approval: bool
    approval: tuple[Int64, Int64, Int64] = (0, 0, 0)


class StoredJob(msgspec.Struct, frozen=True, omit_defaults=True):
    """Encoded form of a job row."""

    spec: JobSpec
    steps: tuple[StepRow, ...] = ()
    is_cancelled: bool = False
    is_failed: bool = False
    generation: Int64 = 0
    queue: StoredQueue | None = None


ENCODER = msgspec.json.Encoder()
DECODER = msgspec.json.Decoder(StoredJob)


def queue_parts(queue: str) -> list[str]:
    """Return the parts that hold the rows of a queue."""
    return [f"{queue}.{shard}" for shard in range(SHARDS)]


def job_key(queue: str, job: str) -> str:
    """Return the key of a job's row: table, part and name."""
    shard = xxhash.xxh32_intdigest(job.encode()) % SHARDS
    return f"{JOBS_TABLE}/{queue}.{shard}/{job}"


def part_of(key: str) -> str:
    """Return the table and part from the key of a job's row."""
    return key.rsplit("/", 1)[0]


def encode_job(row: JobRow) -> str:
    """Encode a row as JSON."""
    progress = row.progress
    step_keys = set(progress.done) | {key[:2] for key in progress.failed}
    steps = tuple(_step_row(progress, key) for key in sorted(step_keys))
    stored = StoredJob(
        row.spec,
        steps,
        progress.is_cancelled,
        progress.is_failed,
        row.generation,
        _stored_queue(row.queue) if row.queue is not None else None,
    )
    return ENCODER.encode(stored).decode()


def encode_tombstone(queue: str, job: str) -> str:
    """Encode the row of a job that was cancelled before it was stored."""
    spec = JobSpec(job, queue, pool="", spec="", steps=())
    return encode_job(JobRow(spec, Progress(is_cancelled=True)))


def decode_job(key: str, text: str) -> Result[JobRow, UnreadableRow]:
    """Decode a row from JSON."""
    stored = try_decode(DECODER.decode, text)
    return stored.map(_job_row).map_err(lambda error: UnreadableRow(key, error.detail))


def _job_row(stored: StoredJob) -> JobRow:
    progress = Progress(
        is_cancelled=stored.is_cancelled,
        is_failed=stored.is_failed,
    )
    for step in stored.steps:
        if step.done:
            progress.done[step.occurrence, step.step] = set(step.done)
        for index, runs in step.failed:
            progress.failed[step.occurrence, step.step, index] = set(runs)
    queue = _queue(stored.queue, stored.spec) if stored.queue is not None else None
    return JobRow(stored.spec, progress, stored.generation, queue)


def _stored_queue(versioned: VersionedQueue) -> StoredQueue:
    queue = versioned.queue
    return StoredQueue(
        versioned.version,
        queue.priority,
        queue.max_attempts,
        queue.slack_factor,
        queue.slack_ms,
        queue.approval is not None,
        astuple(queue.approval or ApprovalTimes()),
    )


def _queue(stored: StoredQueue, spec: JobSpec) -> VersionedQueue:
    queue = JobQueue(
        name=spec.queue,
        host="",
        path_prefix="",
        pool=spec.pool,
        priority=stored.priority,
        max_attempts=stored.max_attempts,
        slack_factor=stored.slack_factor,
        slack_ms=stored.slack_ms,
        approval=ApprovalTimes(*stored.approval) if stored.needs_approval else None,
    )
    return VersionedQueue(queue, stored.version)


def _step_row(progress: Progress, key: tuple[int, int]) -> StepRow:
    failed = tuple(
        (task[2], tuple(sorted(runs)))
        for task, runs in sorted(progress.failed.items())
        if task[:2] == key
    )
    return StepRow(*key, tuple(sorted(progress.done.get(key, ()))), failed)
