"""The task that schedules one pool for as long as this entry owns it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from cornelturn.advice.messages import ApprovalSettled, ConnectApprovals
from cornelturn.clock import Clock
from cornelturn.events.background import start_background
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_warning
from cornelturn.events.mailbox import Mailbox, answer
from cornelturn.events.work_times import WorkTimes
from cornelturn.fleet.cordons import CORDON_TIMEOUT_MS
from cornelturn.interference.controller import PacingBounds
from cornelturn.jobs.model import Resources
from cornelturn.jobs.rows import MAX_TRANSACTION_ROWS
from cornelturn.model.routes import RoutingTable
from cornelturn.ownership.duties import HeldTarget
from cornelturn.ownership.messages import (
    DutyTaken,
    PredecessorAnswered,
    PredecessorsInactive,
    RowWrite,
)
from cornelturn.peering.messages import PoolCounts, PoolLoad
from cornelturn.peering.quota_messages import QuotaGrant, QuotaReport
from cornelturn.scheduling.approval_sender import ApprovalSender
from cornelturn.scheduling.job_commits import JobCommits
from cornelturn.scheduling.job_loading import JobLoader
from cornelturn.scheduling.job_reading import JobReader
from cornelturn.scheduling.messages import (
    BackgroundFailed,
    CommitFinished,
    CordonRequest,
    DeletionFinished,
    JobRowsRead,
    JobRowsScanned,
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
from cornelturn.scheduling.state import DEFAULT_MAX_LEASE_MS
from cornelturn.scheduling.takeover import Takeover
from cornelturn.scheduling.takeover_log import TakeoverLog
from cornelturn.scheduling.target_record import TargetRecord
from cornelturn.scheduling.target_sessions import TargetSessions
from cornelturn.speed.copies import DEFAULT_COPY_SHARE
from cornelturn.store.limits import DEFAULT_LIMITS, ENTRIES_PER_PUT, StoreLimits
from cornelturn.store.port import RowStore
from cornelturn.targets.model import ListedTarget, TargetLife
from cornelturn.targets.session import (
    REPORT_WAIT_MS,
    ContactLost,
    LifeEnded,
    OrderSettled,
    ReportDeclined,
    ReportReceived,
    SessionEvent,
    TargetConnection,
)

TICK_INTERVAL_S = 0.1
"""Interval of the work that no event triggers."""

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
        As in `TargetRecord`.
    may_act : callable
        Returns whether this entry may still act on the duty.
    publish : callable
        Sends a message to all entries that it concerns, this one included.
    send_quota_report, broker_generation : callable
        As in `QuotaReporter`.
    connect_approvals : callable or None
        As in `ApprovalSender`.
    max_lease_ms : int
        Longest lease that a target grants, whatever deadline it gets.
    store_limits : StoreLimits
        Largest rows and calls that the store accepts.
    status_ms : int
        How long the state of a finished job must be shown.
    pacing_bounds : PacingBounds
        Time limits of the pace of filling work.
    copy_share : float
        Share of the capacity of the pool that copies of tasks may take.
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
    pacing_bounds: PacingBounds = field(default_factory=PacingBounds)
    copy_share: float = DEFAULT_COPY_SHARE
    mailbox: Mailbox[OwnerMessage] = field(default_factory=Mailbox)
    scheduler: PoolScheduler = field(init=False)
    sessions: TargetSessions = field(init=False)
    takeover: Takeover = field(init=False)
    takeover_log: TakeoverLog = field(init=False)
    job_reader: JobReader = field(init=False)
    loader: JobLoader = field(init=False)
    target_record: TargetRecord = field(init=False)
    is_stopping: bool = False
    commits: JobCommits = field(init=False)
    background: set[asyncio.Task[None]] = field(default_factory=set)
    started_ms: int = 0
    turn_started_ms: int = 0
    cordon_received_ms: int = 0
    cordon: CordonRequest = field(default_factory=CordonRequest)
    work_times: WorkTimes = field(default_factory=WorkTimes)
    reporter: PoolReporter = field(init=False)
    quota_reporter: QuotaReporter = field(init=False)
    approval_sender: ApprovalSender = field(init=False)
    row_deletion: RowDeletion = field(init=False)

    def __post_init__(self) -> None:
        self.scheduler = PoolScheduler(
            self.ownership.duty,
            self.ownership.generation,
            unix_offset_ms=self.unix_offset_ms,
            metrics=self.metrics,
            max_lease_ms=self.max_lease_ms,
            store_limits=self.store_limits,
            pacing_bounds=self.pacing_bounds,
        )
        self.scheduler.copies.share = self.copy_share
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
        self.loader = JobLoader(
            self.scheduler,
            self.takeover,
            self.takeover_log,
            self.job_reader,
            self.clock,
            self.ownership.revision,
            self.routing,
        )
        self.sessions = TargetSessions(
            self.generation,
            self.clock,
            self.connect_target,
            self._may_renew,
            self._report_wait_ms,
            self.mailbox.post,
            self._post_failure,
        )
        self.target_record = TargetRecord(
            self.scheduler,
            self.takeover,
            self.takeover_log,
            self.store,
            self.clock,
            self.record_targets,
            self.may_act,
            self._start_background,
            self.mailbox.post,
        )
        self.commits = JobCommits(
            self.scheduler,
            self.store,
            self.clock,
            self._start_background,
            self.mailbox.post,
        )
        self.quota_reporter = QuotaReporter(
            self.scheduler,
            self.takeover,
            self.send_quota_report,
            self.broker_generation,
            self.metrics,
        )

        self.approval_sender = ApprovalSender(
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
        self.target_record.adopt(frozenset(self.takeover.unreported))
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
            self.sessions.close_all()
            for task in self.background:
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
                self.loader.add_watched(rows, now_ms, waited_ms)
            case JobRowsScanned(rows):
                self.loader.add_scanned(rows, now_ms)
            case JobsLoaded():
                self.loader.finish_scan(message, now_ms)
            case CommitFinished():
                self.commits.finish(message, now_ms)
            case DeletionFinished():
                self.row_deletion.finish(message, now_ms)
            case CordonRequest(number=number) if number > self.cordon.number:
                self.cordon = message
                self.cordon_received_ms = now_ms
            case CordonRequest():
                return
            case TargetRecordFinished():
                self.target_record.finish(message)
            case PredecessorsInactive(revision=revision, since_ms=since_ms):
                self.takeover.predecessors_inactive(revision, since_ms)
                self.takeover_log.barrier_limited("predecessors_inactive", now_ms)
                self.target_record.rewrite()
            case PredecessorAnswered(runs=runs):
                self.takeover.predecessor_answered(runs, now_ms)
                self.takeover_log.barrier_limited("predecessor_answered", now_ms)
                self.target_record.rewrite()
            case TickDue(posted_ms):
                self.reporter.note_mailbox_wait(now_ms - posted_ms)
                self._tick(now_ms)
            case WritesDue():
                self.commits.wakeup_received()
            case StartsDue():
                return
            case StopRequested(reply):
                self.is_stopping = self.target_record.is_stopping = True
                self._start_background(self._hand_over(reply))
            case ResumeRequested():
                self.is_stopping = self.target_record.is_stopping = False
            case QuotaGrant():
                self.quota_reporter.accept(message)
            case ApprovalSettled():
                self.approval_sender.settle(message, now_ms)
            case BackgroundFailed(error):
                raise error

    def _handle_session_event(self, event: SessionEvent, now_ms: int) -> None:
        scheduler = self.scheduler
        match event:
            case ReportReceived(report, sent_ms):
                scheduler.handle_report(report, sent_ms, now_ms)
                self.loader.note_reported(report.life, report.is_complete)
                if report.life not in self.target_record.recorded:
                    self.target_record.update()
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
        self.loader.start_due_scan(now_ms)
        self.quota_reporter.update_unknown()
        if not self.is_stopping and self.may_act():
            self._plan(now_ms)
            await self._pause_if_due()
            self.approval_sender.ask_due(now_ms)
        with self.work_times.part("write"):
            self.commits.start_due(self.clock.now_ms(), self.is_stopping)
        with self.work_times.part("forget"):
            self._acknowledge_ends()
        self._close_sessions()
        self.quota_reporter.report_due(now_ms)

    def _plan(self, now_ms: int) -> None:
        with self.work_times.part("plan"):
            orders = self.scheduler.plan(now_ms, MAX_STARTS_PER_PLAN)
        with self.work_times.part("give"):
            for target_order in orders:
                self.sessions.send_order(target_order)
        if self.scheduler.has_more_starts():
            # Not at once, so that other tasks run before the plan continues.
            asyncio.get_running_loop().call_soon(self.mailbox.post, StartsDue())

    def _acknowledge_ends(self) -> None:
        for ends in self.scheduler.take_acknowledgements():
            self.sessions.acknowledge(ends.life, ends.sequence)

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
        self.loader.note_reported(life, cause="life_ended")
        self._open_sessions()

    def _note_inherited_leases(self) -> None:
        """Let the takeover wait for leases that restarted targets may have got."""
        self.takeover.inherited_leases = {
            life: view.inherited_lease_ms
            for life, view in self.scheduler.targets.items()
            if view.inherited_lease_ms
        }

    def _open_sessions(self) -> None:
        for view in self.scheduler.targets.values():
            self.sessions.open(view.listed)
        self.target_record.update()

    def _may_renew(self) -> bool:
        return self.may_act() and not self.scheduler.is_fenced

    def _report_wait_ms(self, life: TargetLife) -> int:
        return self.scheduler.pacing.report_wait_ms(life, REPORT_WAIT_MS)

    def _close_sessions(self) -> None:
        for life in self.scheduler.take_ended_lives():
            self.sessions.close(life)

    def has_refused_rows(self) -> bool:
        """Return whether rows lack changes because the store refuses their parts."""
        return self.commits.has_refused_rows()

    # Periodic work and hand-over

    def _tick(self, now_ms: int) -> None:
        self.scheduler.release_lapsed(now_ms)
        for life in self.scheduler.lapsed_lives(self.takeover.partly_listed, now_ms):
            # Ends that a target had before its lease lapsed no longer count.
            self.loader.note_reported(life, cause="lapsed")
        self._open_sessions()
        if self.scheduler.forget_inherited_leases(now_ms):
            self.target_record.rewrite()
        if now_ms - self.cordon_received_ms > CORDON_TIMEOUT_MS:
            self.cordon = CordonRequest()
        self.scheduler.set_cordoned(self.cordon.targets)
        self.reporter.report_due(self.cordon.number, now_ms)
        is_current = self.may_act() and not self.scheduler.is_fenced
        is_calm = self.scheduler.is_fully_loaded and self.commits.is_serving()
        if is_current and is_calm and not self.is_stopping:
            self.row_deletion.delete_due(self.store, now_ms)

    async def _hand_over(self, reply: asyncio.Future[bool]) -> None:
        """Wait briefly for unwritten rows, then record targets that may hide runs."""
        for _ in range(HAND_OVER_TRIES):
            if not self.commits.unwritten_jobs():
                break
            await asyncio.sleep(HAND_OVER_PAUSE_S)
        self.takeover_log.stopped(
            len(self.commits.unwritten_jobs()), self.clock.now_ms()
        )
        record = self.target_record
        answer(reply, await record.write(record.lives_with_hidden_runs()))


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
