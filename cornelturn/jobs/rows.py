"""Encoding of jobs as rows of the store.

Each job has one row, in one of the parts of its queue. The parts are named by the id
of the queue, so that a job keeps its row when its queue gets another name.
"""

from __future__ import annotations

from dataclasses import astuple, dataclass, field, replace
from enum import StrEnum

import msgspec
import xxhash
from result import Result

from cornelturn.jobs.model import JobSpec, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.row_progress import StepRow, decode_progress, encode_progress
from cornelturn.model.decoding import Int64, try_decode
from cornelturn.model.routes import ApprovalTimes, JobQueue, VersionedQueue
from cornelturn.store.limits import value_bytes

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
    encoded_spec : Raw or None
        Result of `encode_spec` if it is known. Encoding 100 steps takes most of the
        time that a row takes.
    """

    spec: JobSpec
    progress: Progress
    generation: int = 0
    queue: VersionedQueue | None = None
    encoded_spec: msgspec.Raw | None = field(default=None, compare=False, repr=False)

    def is_submitted(self) -> bool:
        """Return whether the job was submitted; a tombstone only blocks submission."""
        return bool(self.spec.steps)


@dataclass(frozen=True, slots=True)
class UnreadableRow:
    """A row that could not be decoded, and why."""

    key: str
    detail: str


class LeftOut(StrEnum):
    """What a row lacks because it would be too large."""

    NOTHING = "nothing"
    FAILED_RUNS = "failed_runs"
    PROGRESS = "progress"


@dataclass(frozen=True, slots=True)
class FittedRow:
    """A row whose value is within the limit of the store."""

    text: str
    left_out: LeftOut = LeftOut.NOTHING


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


class StoredState(msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True):
    """Encoded form of a job row without the definition of the job."""

    steps: tuple[StepRow, ...] = ()
    is_cancelled: bool = False
    is_failed: bool = False
    generation: Int64 = 0
    queue: StoredQueue | None = None


class StoredJob(StoredState, frozen=True, omit_defaults=True, kw_only=True):
    """Encoded form of a job row."""

    spec: JobSpec


class EncodedJob(StoredState, frozen=True, omit_defaults=True, kw_only=True):
    """A job row whose definition is encoded already."""

    spec: msgspec.Raw


class StoredPool(msgspec.Struct, frozen=True):
    """The pool in the definition of a job; the other fields are skipped."""

    pool: str = ""


class StoredOwner(msgspec.Struct, frozen=True):
    """The part of a job row that names its pool."""

    spec: StoredPool


STEP_DEFAULTS = msgspec.to_builtins(Step(count=0)) | {"count": None}
"""Fields of a step that its row leaves out, as readers of any version assume them. All
fields of 100 steps would take half of the largest row."""

ENCODER = msgspec.json.Encoder()
DECODER = msgspec.json.Decoder(StoredJob)
OWNER_DECODER = msgspec.json.Decoder(StoredOwner)


def queue_parts(queue: str) -> list[str]:
    """Return the parts that hold the rows of a queue, by its id or former name."""
    return [f"{queue}.{shard}" for shard in range(SHARDS)]


def job_key(queue: str, job: str) -> str:
    """Return the key of a job's row: table, part and name.

    Parameters
    ----------
    queue : str
        Id of its queue; in rows of earlier versions of this software, the name.
    """
    shard = xxhash.xxh32_intdigest(job.encode()) % SHARDS
    return f"{JOBS_TABLE}/{queue}.{shard}/{job}"


def part_of(key: str) -> str:
    """Return the table and part from the key of a job's row."""
    return key.rsplit("/", 1)[0]


def encode_job(row: JobRow) -> str:
    """Encode a row as JSON."""
    return _encode_job(row, encode_progress(row.spec, row.progress))


def fit_job(row: JobRow, row_bytes: int) -> FittedRow:
    """Encode a row, without what does not fit in the largest value of a row.

    The steps that `RowRoom` opens fit. Failed runs beyond those that it expects are
    left out first: a later owner may then allow their tasks more attempts. A job whose
    done tasks do not fit either ends.
    """
    text = encode_job(row)
    if value_bytes(text) <= row_bytes:
        return FittedRow(text)
    steps = encode_progress(row.spec, row.progress, has_failed_runs=False)
    text = _encode_job(row, steps)
    if value_bytes(text) <= row_bytes:
        return FittedRow(text, LeftOut.FAILED_RUNS)
    return FittedRow(encode_ended(row), LeftOut.PROGRESS)


def encode_ended(row: JobRow) -> str:
    """Encode the row of a job that has ended, in short form.

    It has only what tells callers how the job has ended; one that has not counts as
    failed.
    """
    steps = tuple(Step(step.count) for step in row.spec.steps[:1])
    spec = replace(row.spec, spec="", steps=steps, recurrence=None)
    is_cancelled = row.progress.is_cancelled
    progress = Progress(is_cancelled=is_cancelled, is_failed=not is_cancelled)
    if row.progress.is_complete(row.spec):
        progress = Progress(done={(0, 0): set(range(steps[0].count))})
    return encode_job(replace(row, spec=spec, progress=progress, encoded_spec=None))


def _encode_job(row: JobRow, steps: tuple[StepRow, ...]) -> str:
    progress = row.progress
    stored = EncodedJob(
        spec=row.encoded_spec or encode_spec(row.spec),
        steps=steps,
        is_cancelled=progress.is_cancelled,
        is_failed=progress.is_failed,
        generation=row.generation,
        queue=_stored_queue(row.queue) if row.queue is not None else None,
    )
    return ENCODER.encode(stored).decode()


def encode_spec(spec: JobSpec) -> msgspec.Raw:
    """Encode the definition of a job as its row holds it."""
    document = msgspec.to_builtins(spec)
    document["steps"] = [
        {name: value for name, value in step.items() if value != STEP_DEFAULTS[name]}
        for step in document["steps"]
    ]
    return msgspec.Raw(ENCODER.encode(document))


def encode_tombstone(queue_id: str, job: str) -> str:
    """Encode the row of a job that was cancelled before it was stored."""
    spec = JobSpec(job, queue="", pool="", spec="", steps=(), queue_id=queue_id)
    return encode_job(JobRow(spec, Progress(is_cancelled=True)))


def may_be_of_pool(text: str, pool: str) -> bool:
    """Return whether a row, as far as it can be read, may concern a pool.

    A tombstone names no pool. This costs a small part of `decode_job`.
    """
    owner = try_decode(OWNER_DECODER.decode, text).ok()
    return owner is None or owner.spec.pool in ("", pool)


def decode_job(key: str, text: str) -> Result[JobRow, UnreadableRow]:
    """Decode a row from JSON."""
    decoded = try_decode(lambda data: _job_row(DECODER.decode(data)), text)
    return decoded.map_err(lambda error: UnreadableRow(key, error.detail))


def _job_row(stored: StoredJob) -> JobRow:
    progress = decode_progress(stored.spec, stored.steps)
    progress.is_cancelled = stored.is_cancelled
    progress.is_failed = stored.is_failed
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
