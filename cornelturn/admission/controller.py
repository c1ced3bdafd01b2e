"""Decides for one entry which jobs it accepts, by the newest reports of the owners."""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from cornelturn.admission.backlog import (
    BacklogRow,
    need_class,
    size_class,
)
from cornelturn.admission.estimate import (
    Estimate,
    Prospect,
    Service,
    SubmittedJob,
    estimate,
)
from cornelturn.admission.pool_knowledge import (
    OwnAccept,
    PoolKnowledge,
    first_cpu_of,
)
from cornelturn.admission.returns import ReturnTimes
from cornelturn.fairness.groups import WorkClass
from cornelturn.fairness.shares import Weights
from cornelturn.jobs.model import JobSpec
from cornelturn.model.organisations import Organisation, RefusalReason
from cornelturn.model.routes import JobQueue
from cornelturn.peering.messages import PoolCounts
from cornelturn.scheduling.outlooks import Outlook

TOKEN_TOLERANCE = 0.1
"""Part of a token that an organisation may lack. Its tokens between two reports are
estimated, and an error counts in favour of the caller."""

REMEMBERED_IDS = 20_000
"""Ids of jobs that this entry has sent to the store and need not look up again."""

MAX_LOGGED_WAIT_MS = 3_600_000
"""Wait that is logged for one that has no end."""

KEPT_BY_IDLE_POOL = 0.5
"""Part of its processors that another pool keeps while machines are moved from it."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """The job is accepted.

    Parameters
    ----------
    waited_ms : int
        Time since this entry first refused it, 0 if it has not.
    """

    waited_ms: int = 0


@dataclass(frozen=True, slots=True)
class Rejected:
    """The job cannot be served in time by what is known.

    Parameters
    ----------
    is_over_rate : bool
        Whether its organisation submits more than its rate.
    late_by_ms : float
        Time by which it would miss its objective.
    own_ms : float
        Time that the whole pool takes for the job.
    wait_ms, report_age_ms, backlog : int
        What decided it: the expected wait, the age of the report, and the work of all
        waiting jobs of the pool, in thousandths of a core times milliseconds.
    """

    is_over_rate: bool
    late_by_ms: float
    own_ms: float
    wait_ms: int
    report_age_ms: int
    backlog: int

    def reason(self) -> RefusalReason:
        """Return the reason in metrics, log lines and the figures for operators."""
        if self.is_over_rate:
            return RefusalReason.OVER_RATE
        return RefusalReason.OVERLOAD


Decision = Admitted | Rejected


@dataclass(frozen=True, slots=True)
class Assessment:
    """A job to decide about, how fast its pool serves work, and what it can expect."""

    job: SubmittedJob
    service: Service
    expected: Estimate


@dataclass(slots=True)
class Admission:
    """Accepts or refuses jobs; the time comes in as an argument.

    Parameters
    ----------
    organisations : tuple of Organisation
        Those of the configuration; without any, all jobs are accepted.
    pools : dict
        What is known of each pool.
    sent_ids : OrderedDict
        Jobs that this entry has sent to the store; they are never refused.
    refused_ids : OrderedDict
        Jobs that this entry has refused, with the time of the first refusal.
    refusals : Counter
        Refusals since the start by organisation and reason, for operators only.
    """

    organisations: tuple[Organisation, ...] = ()
    weights: Weights = field(default_factory=Weights)
    pools: dict[str, PoolKnowledge] = field(default_factory=dict)
    sent_ids: OrderedDict[str, None] = field(default_factory=OrderedDict)
    refused_ids: OrderedDict[str, int] = field(default_factory=OrderedDict)
    refusals: Counter[tuple[str, str]] = field(default_factory=Counter)

    def update_organisations(self, organisations: tuple[Organisation, ...]) -> None:
        """Take up the organisations of the configuration in force."""
        if organisations is self.organisations:
            return
        self.organisations = organisations
        self.weights = Weights.from_organisations(organisations)
        if not organisations:
            self.pools.clear()
            self.sent_ids.clear()
            self.refused_ids.clear()
            self.refusals.clear()

    def update(self, counts: PoolCounts, now_ms: int) -> None:
        """Take up the report of a pool's owner, unless a later owner has reported.

        An owner of an earlier version reports no backlog; its pool accepts all jobs.
        """
        if not self.organisations:
            return
        known = self.pools.get(counts.pool)
        if known is not None and known.generation > counts.generation:
            return
        if counts.backlog is None:
            self.pools.pop(counts.pool, None)
            return
        if known is None:
            self.pools[counts.pool] = PoolKnowledge(
                counts.generation, counts.backlog, now_ms
            )
            return
        known.update(counts.generation, counts.backlog, now_ms)

    def decide(self, spec: JobSpec, queue: JobQueue, now_ms: int) -> Decision:
        """Decide whether a job is accepted by what this entry knows."""
        if self.is_sent(spec):
            return Admitted()
        assessment = self.assess(spec, queue, now_ms)
        if assessment is None or assessment.expected.prospect is not Prospect.TOO_LATE:
            return Admitted(self._waited_ms(spec.id, now_ms))
        return self.reject(spec.pool, assessment, now_ms)

    def is_sent(self, spec: JobSpec) -> bool:
        """Return whether this entry has sent a job to the store."""
        return spec.id in self.sent_ids

    def assess(self, spec: JobSpec, queue: JobQueue, now_ms: int) -> Assessment | None:
        """Return what a job can expect, None if that is not known or does not matter.

        Jobs without an end or an objective are always accepted, as are those that idle
        targets can start at once, and all jobs of a pool without targets: it is not
        known when these come back.
        """
        known = self.pools.get(spec.pool)
        if not self.organisations or known is None or not known.is_recent(now_ms):
            return None
        if not has_end(spec) or known.has_idle_targets(spec):
            return None
        job = self._submitted_job(spec, queue, known, now_ms)
        if job.objective_ms <= 0:
            return None
        service = self._service(spec.pool, job, now_ms)
        if service.rate + service.room <= 0:
            return None
        expected = estimate(job, known.rows(), service, self.weights)
        return Assessment(job, service, expected)

    def reject(self, pool: str, assessment: Assessment, now_ms: int) -> Rejected:
        """Return the refusal of a job, with what decided it."""
        known = self.pools[pool]
        job, service = assessment.job, assessment.service
        expected = assessment.expected
        return Rejected(
            job.work_class is WorkClass.BEYOND_RATE,
            expected.late_by_ms,
            job.work / max(1.0, service.rate + service.room),
            round(min(expected.wait_ms, MAX_LOGGED_WAIT_MS)),
            known.age_ms(now_ms),
            sum(row.work for row in known.rows()),
        )

    def schedule_return_ms(self, spec: JobSpec, rejected: Rejected, now_ms: int) -> int:
        """Schedule the return of a refused caller; return the delay until then.

        To be called once it is known that the job is not stored: a caller whose job is
        accepted does not return.
        """
        known = self.pools.get(spec.pool)
        returns = known.returns if known is not None else ReturnTimes()
        return returns.schedule_return_ms(
            spec.id, rejected.late_by_ms, rejected.own_ms, now_ms
        )

    def _service(self, pool: str, job: SubmittedJob, now_ms: int) -> Service:
        known = self.pools[pool]
        return Service(
            known.rate(job.need),
            known.backlog.room + self._idle_elsewhere(pool, now_ms),
            known.age_ms(now_ms),
        )

    def _waited_ms(self, job: str, now_ms: int) -> int:
        """Return the time since a job was first refused here, 0 if it was not."""
        return now_ms - self.refused_ids.get(job, now_ms)

    def note_refused(self, spec: JobSpec, now_ms: int) -> None:
        """Record that a caller was told of a refusal."""
        self.refused_ids.setdefault(spec.id, now_ms)
        if len(self.refused_ids) > REMEMBERED_IDS:
            self.refused_ids.popitem(last=False)

    def note_sent(self, spec: JobSpec, queue: JobQueue, now_ms: int) -> None:
        """Record that a job is being stored: it counts until the owner reports it."""
        if not self.organisations:
            return
        is_new = spec.id not in self.sent_ids
        self.sent_ids[spec.id] = None
        if len(self.sent_ids) > REMEMBERED_IDS:
            self.sent_ids.popitem(last=False)
        known = self.pools.get(spec.pool)
        if not is_new or known is None or not has_end(spec):
            return
        if not known.is_recent(now_ms):
            return
        job = self._submitted_job(spec, queue, known, now_ms)
        row = BacklogRow(
            job.priority,
            job.work_class,
            Outlook.ON_TIME,
            job.organisation,
            size_class(job.declared_work),
            job.need,
            job.work,
        )
        tokens = known.tokens(spec.organisation, self.weights, now_ms)
        known.accepts.append(
            OwnAccept(row, now_ms, tokens >= 1, first_cpu_of(spec)),
        )

    def _submitted_job(
        self, spec: JobSpec, queue: JobQueue, known: PoolKnowledge, now_ms: int
    ) -> SubmittedJob:
        factor = known.factor(spec.queue_key())
        declared_work = declared_work_of(spec)
        chain_ms = spec.longest_chain_ms([step.estimated_ms for step in spec.steps])
        tokens = known.tokens(spec.organisation, self.weights, now_ms)
        is_beyond = tokens < 1 - TOKEN_TOLERANCE
        return SubmittedJob(
            queue.priority,
            WorkClass.BEYOND_RATE if is_beyond else WorkClass.WITHIN_RATE,
            spec.organisation,
            max(need_class(step.need.cpu) for step in spec.steps),
            declared_work,
            round(declared_work * factor),
            chain_ms * factor,
            queue.objective_ms(chain_ms),
            self._waited_ms(spec.id, now_ms),
        )

    def _idle_elsewhere(self, pool: str, now_ms: int) -> float:
        """Return the processors of other pools that moves may bring to this one."""
        return sum(
            max(0.0, known.backlog.idle - KEPT_BY_IDLE_POOL * known.backlog.capacity)
            for name, known in self.pools.items()
            if name != pool and known.is_recent(now_ms) and not known.backlog.rows
        )


def has_end(spec: JobSpec) -> bool:
    """Return whether a job has one end that its caller waits for."""
    return spec.recurrence is None and not any(step.is_lasting for step in spec.steps)


def declared_work_of(spec: JobSpec) -> int:
    """Return the work of a job by its estimates."""
    return sum(
        step.count * step.need.cpu * max(1, step.estimated_ms) for step in spec.steps
    )
