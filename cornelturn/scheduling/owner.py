"""The task that schedules one pool for as long as this entry owns it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok

from cornelturn.advice.messages import AdviceSettled, ConnectApprovals
from cornelturn.clock import Clock, to_seconds
from cornelturn.events.background import start_background, watch_task
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_event, log_warning
from cornelturn.events.mailbox import Mailbox, answer
from cornelturn.events.work_times import WorkTimes
from cornelturn.fleet.cordons import CORDON_TIMEOUT_MS
from cornelturn.jobs.model import Resources
from cornelturn.jobs.rows import MAX_TRANSACTION_ROWS, decode_job
from cornelturn.model.routes import RoutingTable
from cornelturn.ownership.duties import HeldTarget
from cornelturn.ownership.messages import (
    DutyTaken,
    PredecessorAnswered,
    PredecessorsInactive,
    RowWrite,
)
from cornelturn.peering.messages import PoolCounts, PoolLoad, QuotaGrant, QuotaReport
from cornelturn.scheduling.advice_desk import AdviceDesk
from cornelturn.scheduling.group_commit import GroupCommits, part_of
from cornelturn.scheduling.job_reading import JobReader
from cornelturn.scheduling.messages import (
    BackgroundFailed,
    CommitFinished,
    CordonRequest,
    DeletionFinished,
    JobRowsRead,
    JobsLoaded,
    OwnerMessage,
    ResumeRequested,
    StartsDue,
    StopRequested,
    TargetRecordFinished,
    TargetsListed,
    TickDue,
    WritesDue,
)
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.quota_reporting import QuotaReporter
from cornelturn.scheduling.reporting import PoolReporter
from cornelturn.scheduling.retention import DEFAULT_STATUS_MS
from cornelturn.scheduling.row_deletion import RowDeletion
from cornelturn.scheduling.row_writing import JobWrite
from cornelturn.scheduling.state import DEFAULT_MAX_LEASE_MS
from cornelturn.scheduling.takeover import Takeover
from cornelturn.scheduling.takeover_log import TakeoverLog
from cornelturn.scheduling.views import Contact, JobView, TargetView
from cornelturn.store.limits import DEFAULT_LIMITS, ENTRIES_PER_PUT, StoreLimits
from cornelturn.store.port import RowStore
from cornelturn.store.rows import CallTooLarge, Row, TableConflict
from cornelturn.targets.model import ListedTarget, TargetLife
from cornelturn.targets.session import (
    LEASE_MS,
    ContactLost,
    LifeEnded,
    OrderSettled,
    ReportDeclined,
    ReportReceived,
    SessionEvent,
    TargetConnection,
    TargetSession,
)

TICK_INTERVAL_S = 0.1
"""Interval of the work that no event triggers."""

STORE_RETRY_S = 0.3
"""Pause after a failed call of the store."""

MAX_TURN_MS = 10
"""Work after which the owner lets other tasks run; a part of its work takes longer only
if it is one report or the rows of one commit."""

MAX_STARTS_PER_PLAN = 128
"""Starts that one plan orders, so that it does not hold the event loop for long."""

HAND_OVER_TRIES = 10
HAND_OVER_PAUSE_S = 0.025
"""Pause between two checks whether all rows are written."""

FENCE_REASON = "fence"


@dataclass(slots=True)
class PoolOwner:
    """Runs the scheduler of a pool: its target sessions, row writes and orders.

    Parameters
    ----------
    ownership : DutyTaken
        Pool, generation and earlier targets, as of when the pool was taken.
    barrier_ms : int
        Time since the start after which no lease of a predecessor can be valid.
    unix_offset_ms : int
        Unix time minus the time of this process's clock.
    connect_target : callable
        Opens the connection to a target.
    routing : callable
        Returns the configuration in force.
    record_targets : callable
        Writes the targets that may hold leases into the row of the duty, and whether
        no predecessor can act any more.
    may_act : callable
        Returns whether this entry may still act on the duty.
    publish : callable
        Sends a message to all entries that it concerns, this one included.
    send_quota_report, broker_generation : callable
        As in `QuotaReporter`.
    connect_approvals : callable or None
        As in `AdviceDesk`.
    max_lease_ms : int
        Longest lease that a target grants, whatever deadline it gets.
    store_limits : StoreLimits
        Largest rows and calls that the store accepts.
    status_ms : int
        How long the state of a finished job must be shown.
    recorded_targets : frozenset of TargetLife
        Targets that are certain to be in the row of the duty; only these get starts.
    row_targets : frozenset of TargetLife or None
        Targets in the row, None while they are not known.
    """

    ownership: DutyTaken
    store: RowStore
    clock: Clock
    barrier_ms: int
    unix_offset_ms: int
    connect_target: Callable[[ListedTarget], TargetConnection]
    routing: Callable[[], RoutingTable]
    record_targets: Callable[
        [str, tuple[HeldTarget, ...], bool], asyncio.Future[RowWrite]
    ]
    may_act: Callable[[], bool]
    publish: Callable[[PoolCounts | PoolLoad], None]
    send_quota_report: Callable[[QuotaReport], None] = lambda _: None
    broker_generation: Callable[[], int] = lambda: 0
    connect_approvals: ConnectApprovals | None = None
    metrics: JobMetrics = field(default_factory=JobMetrics)
    max_lease_ms: int = DEFAULT_MAX_LEASE_MS
    store_limits: StoreLimits = DEFAULT_LIMITS
    status_ms: int = DEFAULT_STATUS_MS
    mailbox: Mailbox[OwnerMessage] = field(default_factory=Mailbox)
    scheduler: PoolScheduler = field(init=False)
    sessions: dict[TargetLife, TargetSession] = field(default_factory=dict)
    session_tasks: dict[TargetLife, asyncio.Task[None]] = field(default_factory=dict)
    takeover: Takeover = field(init=False)
    takeover_log: TakeoverLog = field(init=False)
    job_reader: JobReader = field(init=False)
    recorded_targets: frozenset[TargetLife] = frozenset()
    row_targets: frozenset[TargetLife] | None = None
    is_recording: bool = False
    is_row_settled: bool = False
    is_stopping: bool = False
    is_wakeup_scheduled: bool = False
    commits: GroupCommits = field(default_factory=GroupCommits)
    background: set[asyncio.Task[None]] = field(default_factory=set)
    started_ms: int = 0
    turn_started_ms: int = 0
    cordon_received_ms: int = 0
    cordon: CordonRequest = field(default_factory=CordonRequest)
    work_times: WorkTimes = field(default_factory=WorkTimes)
    reporter: PoolReporter = field(init=False)
    quota_reporter: QuotaReporter = field(init=False)
    advice_desk: AdviceDesk = field(init=False)
    row_deletion: RowDeletion = field(init=False)

    def __post_init__(self) -> None:
        self.scheduler = PoolScheduler(
            self.ownership.duty,
            self.ownership.generation,
            unix_offset_ms=self.unix_offset_ms,
            metrics=self.metrics,
            max_lease_ms=self.max_lease_ms,
            store_limits=self.store_limits,
        )
        self.reporter = PoolReporter(
            self.scheduler, self.publish, self.metrics, self.work_times
        )
        self.job_reader = JobReader(self.store, self.mailbox.post, self._post_failure)
        self.row_deletion = RowDeletion(
            self.ownership.duty,
            self.scheduler.ended_rows,
            self.status_ms,
            self.metrics,
            self._start_background,
            self.mailbox.post,
            min(
                MAX_TRANSACTION_ROWS, self.store_limits.call_entries // ENTRIES_PER_PUT
            ),
        )
        self.takeover = Takeover(
            self.ownership.revision,
            self.barrier_ms,
            self.ownership.has_no_active_predecessor,
            {held.life for held in self.ownership.targets},
        )
        self.takeover_log = TakeoverLog(self.scheduler, self.takeover)
        self.quota_reporter = QuotaReporter(
            self.scheduler,
            self.takeover,
            self.send_quota_report,
            self.broker_generation,
            self.metrics,
        )

        self.advice_desk = AdviceDesk(
            self.scheduler.approvals,
            self.connect_approvals,
            self.clock,
            self.mailbox.post,
            self._start_background,
        )

    @property
    def generation(self) -> int:
        """Return the generation of this ownership, which is its fencing token."""
        return self.ownership.generation

    async def run(self) -> None:
        """Schedule until cancelled."""
        self.started_ms = self.clock.now_ms()
        self.takeover.started_ms = self.started_ms
        self.recorded_targets = self.row_targets = frozenset(self.takeover.unreported)
        self.scheduler.update_targets(
            [
                adopted_target(self.ownership.duty, held)
                for held in self.ownership.targets
            ],
            self.started_ms,
        )
        for held in self.ownership.targets:
            view = self.scheduler.targets.get(held.life)
            if view is not None and held.has_inherited_lease:
                self.scheduler.set_inherited_lease(view, self.started_ms)
        self._note_inherited_leases()
        self.takeover_log.started()
        self._open_sessions()
        self._start_background(self._post_ticks())
        try:
            async for message in self.mailbox.messages():
                batch = (message, *self.mailbox.drain())
                self.work_times.record_batch(len(batch))
                self.turn_started_ms = self.clock.now_ms()
                with self.work_times.part("handle"):
                    self.scheduler.update_routing(self.routing(), self.turn_started_ms)
                for queued in batch:
                    with self.work_times.part("handle"):
                        self._handle(queued)
                    await self._pause_if_due()
                await self._do_due_work()
        finally:
            self.reporter.stop()
            self.job_reader.cancel()
            self.quota_reporter.close()
            for task in (*self.background, *self.session_tasks.values()):
                task.cancel()

    async def _pause_if_due(self) -> None:
        """Let other tasks run if this one has worked for a while."""
        if self.clock.now_ms() - self.turn_started_ms >= MAX_TURN_MS:
            await asyncio.sleep(0)
            self.turn_started_ms = self.clock.now_ms()

    def _start_background(self, work: Coroutine[Any, Any, None]) -> None:
        start_background(self.background, work, self._post_failure)

    def _post_failure(self, error: BaseException) -> None:
        """Let the owner end with the error of one of its tasks, which it relies on."""
        self.mailbox.post(BackgroundFailed(error))

    async def _post_ticks(self) -> None:
        """Post ticks until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.mailbox.post(TickDue(self.clock.now_ms()))

    def _handle(self, message: OwnerMessage) -> None:
        now_ms = self.clock.now_ms()
        match message:
            case (
                ReportReceived()
                | OrderSettled()
                | ContactLost()
                | LifeEnded()
                | ReportDeclined()
            ):
                self._handle_session_event(message, now_ms)
            case TargetsListed(targets):
                self._update_targets(targets, now_ms)
            case JobRowsRead(rows, waited_ms):
                self._add_rows(self._without_deleted(rows), now_ms, waited_ms)
            case JobsLoaded():
                self._finish_scan(message, now_ms)
            case CommitFinished():
                self._finish_commit(message, now_ms)
            case DeletionFinished():
                self.row_deletion.finish(message, now_ms)
            case CordonRequest(number=number) if number > self.cordon.number:
                self.cordon = message
                self.cordon_received_ms = now_ms
            case CordonRequest():
                return
            case TargetRecordFinished():
                self._finish_target_record(message)
            case PredecessorsInactive(revision=revision, since_ms=since_ms):
                self.takeover.predecessors_inactive(revision, since_ms)
                self.takeover_log.barrier_limited("predecessors_inactive", now_ms)
                self._rewrite_duty_row()
            case PredecessorAnswered(runs=runs):
                self.takeover.predecessor_answered(runs, now_ms)
                self.takeover_log.barrier_limited("predecessor_answered", now_ms)
                self._rewrite_duty_row()
            case TickDue(posted_ms):
                self.reporter.note_mailbox_wait(now_ms - posted_ms)
                self._tick(now_ms)
            case WritesDue():
                self.is_wakeup_scheduled = False
            case StartsDue():
                return
            case StopRequested(reply):
                self.is_stopping = True
                self._start_background(self._hand_over(reply))
            case ResumeRequested():
                self.is_stopping = False
            case QuotaGrant():
                self.quota_reporter.accept(message)
            case AdviceSettled():
                self.advice_desk.settle(message, now_ms)
            case BackgroundFailed(error):
                raise error

    def _handle_session_event(self, event: SessionEvent, now_ms: int) -> None:
        scheduler = self.scheduler
        match event:
            case ReportReceived(report, sent_ms):
                scheduler.handle_report(report, sent_ms, now_ms)
                self._note_reported(report.life, report.is_complete)
                if report.life not in self.recorded_targets:
                    self._update_duty_row()
            case OrderSettled(life, order, result):
                scheduler.handle_order_result(life, order, result, now_ms)
            case ContactLost(life, lapsed_ms):
                unknown_ms = self.started_ms + self.takeover.barrier_ms
                scheduler.contact_lost(life, lapsed_ms or unknown_ms)
            case LifeEnded(life, successor):
                self._end_life(life, successor, now_ms)
            case ReportDeclined(life, reason):
                if reason == FENCE_REASON:
                    log_warning("fenced", pool=self.ownership.duty, target=life.name)
                    scheduler.is_fenced = True

    async def _do_due_work(self) -> None:
        """Give the orders and write the rows that are due."""
        now_ms = self.clock.now_ms()
        self._start_due_scan(now_ms)
        self.quota_reporter.update_unknown()
        if not self.is_stopping and self.may_act():
            self._plan(now_ms)
            await self._pause_if_due()
            self.advice_desk.ask_due(now_ms)
        with self.work_times.part("write"):
            self._start_commits(self.clock.now_ms())
        with self.work_times.part("forget"):
            self._acknowledge_ends()
        self._close_sessions()
        self.quota_reporter.report_due(now_ms)

    def _plan(self, now_ms: int) -> None:
        with self.work_times.part("plan"):
            orders = self.scheduler.plan(now_ms, MAX_STARTS_PER_PLAN)
        with self.work_times.part("give"):
            for target_order in orders:
                session = self.sessions.get(target_order.life)
                if session is not None:
                    session.send_order(target_order.order)
        if self.scheduler.has_more_starts():
            # Not at once, so that other tasks run before the plan continues.
            asyncio.get_running_loop().call_soon(self.mailbox.post, StartsDue())

    def _acknowledge_ends(self) -> None:
        for ends in self.scheduler.take_acknowledgements():
            session = self.sessions.get(ends.life)
            if session is not None:
                session.acknowledge(ends.sequence)

    # Takeover

    def _start_due_scan(self, now_ms: int) -> None:
        """Start a scan if one is due; the last waits until no lease can hide a run."""
        was_partly_listed = bool(self.takeover.partly_listed)
        scan = self.takeover.next_scan(self.scheduler.targets, now_ms)
        if was_partly_listed and not self.takeover.partly_listed:
            self._unblock_jobs()
        if scan is not None:
            self.takeover_log.scan_started(scan, now_ms)
            self.job_reader.start_scan(scan)

    def _finish_scan(self, loaded: JobsLoaded, now_ms: int) -> None:
        """Add rows of jobs, and unblock jobs that no predecessor may still run."""
        scheduler, scan = self.scheduler, loaded.scan
        self.takeover.add_read_parts(scan, loaded.parts)
        if loaded.is_complete:
            self.takeover.finish_scan(scan)
        self._add_rows(loaded.rows, now_ms)
        if loaded.is_complete:
            scheduler.is_fully_loaded = True
            if self.takeover.is_over:
                scheduler.mark_all_jobs_read()
        if not scheduler.is_loaded:
            scheduler.mark_loaded(now_ms)
        self._unblock_jobs()
        self.takeover_log.scan_finished(loaded.is_complete, now_ms)

    def _note_reported(
        self, life: TargetLife, is_complete: bool = True, cause: str = "reported"
    ) -> None:
        """Record that a target has listed its runs and ends, or that it has none."""
        if self.takeover.note_report(life, is_complete):
            self.takeover_log.target_settled(life, cause, self.clock.now_ms())
            self._unblock_jobs()

    def _unblock_jobs(self) -> None:
        """Unblock the jobs that no predecessor may still run."""
        blocked = [job for job in self.scheduler.jobs.values() if job.is_blocked]
        hidden = {job.spec.id for job in blocked if self._may_have_run(job)}
        self.scheduler.unblock_jobs(hidden)

    def _may_have_run(self, job: JobView) -> bool:
        has_progress = bool(job.progress.done or job.progress.failed)
        return self.takeover.may_have_run(
            job.spec.id, job.version, has_progress, part_of(job.key)
        )

    # Targets

    def _update_targets(self, targets: tuple[ListedTarget, ...], now_ms: int) -> None:
        own = [target for target in targets if target.pool == self.ownership.duty]
        self.scheduler.update_targets(own, now_ms)
        self.takeover.replace_lives(self.scheduler.successors)
        self._note_inherited_leases()
        self._open_sessions()

    def _end_life(
        self, life: TargetLife, successor: TargetLife | None, now_ms: int
    ) -> None:
        """Record that a life has ended; its successor may have runs during a takeover.

        It has seen no fencing token, so it executes orders of predecessors too.
        """
        self.scheduler.end_life(life, "other_life", now_ms, successor)
        self.takeover.replace_lives(self.scheduler.successors)
        self._note_inherited_leases()
        self._note_reported(life, cause="life_ended")
        self._open_sessions()

    def _note_inherited_leases(self) -> None:
        """Let the takeover wait for leases that restarted targets may have got."""
        self.takeover.inherited_leases = {
            life: view.inherited_lease_ms
            for life, view in self.scheduler.targets.items()
            if view.inherited_lease_ms
        }

    def _open_sessions(self) -> None:
        for life, view in self.scheduler.targets.items():
            if life not in self.sessions:
                self._open_session(view.listed)
        self._update_duty_row()

    def _update_duty_row(self) -> None:
        """Write the targets that may have runs into the row of the duty.

        A target is added before its first start, and removed once it is silent, has
        no runs and all its ends are written. Nothing is written while the store
        refuses this entry.
        """
        required = self._lives_with_hidden_runs() | {
            life
            for life, view in self.scheduler.targets.items()
            if view.contact is Contact.REACHABLE
        }
        self._mark_recorded()
        is_settled = self.takeover.is_settled()
        is_current = required == self.row_targets and is_settled == self.is_row_settled
        if is_current or self.is_recording or not self.may_act():
            return
        if not self.store.is_serving():
            return
        self.recorded_targets &= required
        self.row_targets = None
        self._mark_recorded()
        self.is_recording = True
        self._start_background(self._record_targets(required))

    def _lives_with_hidden_runs(self) -> frozenset[TargetLife]:
        """Return the targets on which the next owner may find runs or ends."""
        now_ms = self.clock.now_ms()
        return frozenset(
            life
            for life, view in self.scheduler.targets.items()
            if self.takeover.may_hide_runs(life, now_ms)
            or self.scheduler.may_hide_runs(view)
        )

    def _finish_target_record(self, finished: TargetRecordFinished) -> None:
        """Record the outcome of a write of targets into the row of the duty."""
        self.is_recording = False
        match finished.outcome:
            case RowWrite.WRITTEN:
                self.recorded_targets = self.row_targets = finished.targets
                self.is_row_settled = finished.is_settled
            case RowWrite.IN_DOUBT:
                # Without an answer, the row may contain only these targets now.
                self.recorded_targets &= finished.targets
                self.row_targets = None
        self._mark_recorded()

    def _rewrite_duty_row(self) -> None:
        """Write the row of the duty again, as predecessors can no longer act."""
        self.row_targets = None
        self._update_duty_row()

    def _mark_recorded(self) -> None:
        self.scheduler.set_recorded(self.recorded_targets)

    def _record_targets(
        self, lives: frozenset[TargetLife]
    ) -> Coroutine[Any, Any, bool]:
        """Return the write of targets into the row, as they are known now.

        Its result is whether they are in the row.
        """
        self.takeover_log.row_due(lives, self.clock.now_ms())
        views = self.scheduler.targets
        targets = tuple(
            HeldTarget(
                life,
                views[life].listed.address,
                has_inherited_lease=self._may_have_inherited_lease(views[life]),
            )
            for life in sorted(lives)
            if life in views
        )
        return self._write_targets(lives, targets, self.takeover.is_settled())

    async def _write_targets(
        self,
        lives: frozenset[TargetLife],
        targets: tuple[HeldTarget, ...],
        is_settled: bool,
    ) -> bool:
        outcome = await self.record_targets(self.ownership.duty, targets, is_settled)
        self.mailbox.post(TargetRecordFinished(lives, is_settled, outcome))
        return outcome is RowWrite.WRITTEN

    def _may_have_inherited_lease(self, view: TargetView) -> bool:
        """Return whether a target, for all that is known, may hold the longest lease.

        An owner that stops will not notice a restart that no report has shown yet.
        """
        return bool(view.inherited_lease_ms) or (
            self.is_stopping and self.scheduler.may_have_restarted(view)
        )

    def _open_session(self, target: ListedTarget) -> None:
        session = TargetSession(
            life=target.life,
            connection=self.connect_target(target),
            clock=self.clock,
            token=self.ownership.generation,
            lease_ms=LEASE_MS,
            post=self.mailbox.post,
            may_renew=self._may_renew,
        )
        self.sessions[target.life] = session
        task = asyncio.create_task(session.run())
        watch_task(task, self._post_failure)
        self.session_tasks[target.life] = task

    def _may_renew(self) -> bool:
        return self.may_act() and not self.scheduler.is_fenced

    def _close_sessions(self) -> None:
        for life in self.scheduler.take_ended_lives():
            if self.sessions.pop(life, None) is not None:
                self.session_tasks.pop(life).cancel()

    # Rows

    def _add_rows(self, rows: tuple[Row, ...], now_ms: int, waited_ms: int = 0) -> None:
        queues = self.routing().queues_by_name
        for row in rows:
            match decode_job(row.key, row.value):
                case Ok(job) if job.spec.pool == self.ownership.duty:
                    queue = queues.get(job.spec.queue)
                    progress = job.progress
                    is_older = job.generation < self.ownership.generation
                    may_have_run = is_older and self.takeover.may_have_run(
                        job.spec.id,
                        row.version,
                        bool(progress.done or progress.failed),
                        part_of(row.key),
                    )
                    self.scheduler.add_job(
                        row.key,
                        job,
                        row.version,
                        queue,
                        now_ms,
                        may_have_run,
                        waited_ms,
                    )
                case Ok(job) if not job.is_submitted():
                    queue = queues.get(job.spec.queue)
                    if queue is not None and queue.pool == self.ownership.duty:
                        self.scheduler.ended_rows.note(
                            row.key, job.spec.id, row.version, now_ms
                        )
                case Err(error):
                    log_warning("row_unreadable", key=error.key, detail=error.detail)

    def _without_deleted(self, rows: tuple[Row, ...]) -> tuple[Row, ...]:
        """Leave out changes of jobs whose rows were deleted before this ownership.

        The scan of the takeover reads all rows up to its revision that still exist, and
        jobs of that time are blocked until it has read their part.
        """
        revision, jobs = self.ownership.revision, self.scheduler.jobs
        return tuple(
            row
            for row in rows
            if row.version > revision or row.key.rpartition("/")[2] in jobs
        )

    def _start_commits(self, now_ms: int) -> None:
        dirty = self.scheduler.dirty_jobs()
        for group in self.commits.start_commits(dirty, now_ms, self.is_stopping):
            writes = self.scheduler.rows.start_call(group.jobs)
            self._start_background(self._commit(group.part, writes))
        self._schedule_wakeup(now_ms)

    def _schedule_wakeup(self, now_ms: int) -> None:
        """Schedule a message for the time when delayed rows are due."""
        due_ms = self.commits.due_ms
        if due_ms is None or self.is_wakeup_scheduled:
            return
        self.is_wakeup_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(to_seconds(due_ms - now_ms), self.mailbox.post, WritesDue())

    async def _commit(self, part: str, writes: tuple[JobWrite, ...]) -> None:
        started_ms = self.clock.now_ms()
        result = await self.store.commit(*(write.put for write in writes))
        took_ms = self.clock.now_ms() - started_ms
        self.metrics.write_latency.labels(self.ownership.duty).observe(
            to_seconds(took_ms)
        )
        match result:
            case Ok(committed):
                self.commits.commit_accepted(part)
                self.mailbox.post(CommitFinished(part, writes, committed.revision))
            case Err(TableConflict(rows=rows)):
                self.commits.commit_accepted(part)
                self.mailbox.post(CommitFinished(part, writes, None, rows))
            case Err(CallTooLarge() as error):
                self.commits.commit_accepted(part)
                log_warning(
                    "call_too_large", part=part, rows=len(writes), detail=error.detail
                )
                await asyncio.sleep(STORE_RETRY_S)
                self.mailbox.post(CommitFinished(part, writes, None, is_too_large=True))
            case Err(error):
                self.commits.commit_refused(part)
                log_event("jobs_not_written", jobs=len(writes), detail=error.detail)
                await asyncio.sleep(STORE_RETRY_S)
                self.mailbox.post(CommitFinished(part, writes, None))

    def _finish_commit(self, finished: CommitFinished, now_ms: int) -> None:
        self.commits.commit_finished(finished.part)
        if finished.is_too_large:
            self.commits.separate(finished.writes)
        elif finished.version is not None:
            self.commits.rejoin(finished.writes)
        if finished.is_too_large and len(finished.writes) == 1:
            self.scheduler.rows.refuse_write(finished.writes[0])
            return
        rows = {row.key: row for row in finished.rows}
        for write in finished.writes:
            if finished.version is not None:
                self.scheduler.finish_write(write, finished.version, now_ms)
                continue
            row = rows.get(write.put.key)
            match decode_job(row.key, row.value) if row is not None else None:
                case Ok(job):
                    self.scheduler.fail_write(write, job, row.version, now_ms)
                case _:
                    self.scheduler.fail_write(write, None, 0, now_ms)

    def has_refused_rows(self) -> bool:
        """Return whether rows lack changes because the store refuses their parts."""
        refused_parts = self.commits.refused_parts
        return bool(refused_parts) and any(
            part_of(job.key) in refused_parts for job in self._unwritten_jobs()
        )

    # Periodic work and hand-over

    def _tick(self, now_ms: int) -> None:
        self.scheduler.release_lapsed(now_ms)
        for life in self.scheduler.lapsed_lives(self.takeover.partly_listed, now_ms):
            # Ends that a target had before its lease lapsed no longer count.
            self._note_reported(life, cause="lapsed")
        self._open_sessions()
        if self.scheduler.forget_inherited_leases(now_ms):
            self._rewrite_duty_row()
        if now_ms - self.cordon_received_ms > CORDON_TIMEOUT_MS:
            self.cordon = CordonRequest()
        self.scheduler.set_cordoned(self.cordon.targets)
        self.reporter.report_due(self.cordon.number, now_ms)
        is_current = self.may_act() and not self.scheduler.is_fenced
        is_calm = self.scheduler.is_fully_loaded and not self.commits.refused_parts
        if is_current and is_calm and not self.is_stopping:
            self.row_deletion.delete_due(self.store, now_ms)

    async def _hand_over(self, reply: asyncio.Future[bool]) -> None:
        """Wait briefly for unwritten rows, then record targets that may hide runs."""
        for _ in range(HAND_OVER_TRIES):
            if not self._unwritten_jobs():
                break
            await asyncio.sleep(HAND_OVER_PAUSE_S)
        self.takeover_log.stopped(len(self._unwritten_jobs()), self.clock.now_ms())
        answer(reply, await self._record_targets(self._lives_with_hidden_runs()))

    def _unwritten_jobs(self) -> list[JobView]:
        jobs = self.scheduler.jobs.values()
        return [job for job in jobs if job.changes > job.written_changes]


def adopted_target(pool: str, held: HeldTarget) -> ListedTarget:
    """Return a target that is known only from the row of the duty."""
    return ListedTarget(
        life=held.life,
        pool=pool,
        address=held.address,
        data_centre="",
        rack="",
        labels=frozenset(),
        capacity=Resources(),
        is_draining=False,
    )
