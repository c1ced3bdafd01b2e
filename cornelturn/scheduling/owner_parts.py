"""The parts of the owner of a pool, and how they are connected."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from cornelturn.advice.messages import ConnectApprovals
from cornelturn.clock import Clock
from cornelturn.events.background import start_background
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.mailbox import Mailbox
from cornelturn.events.work_times import WorkTimes
from cornelturn.jobs.rows import MAX_TRANSACTION_ROWS
from cornelturn.model.routes import RoutingTable
from cornelturn.ownership.duties import HeldTarget
from cornelturn.ownership.messages import DutyTaken, RowWrite
from cornelturn.peering.messages import PoolCounts, PoolLoad
from cornelturn.peering.quota_messages import QuotaReport
from cornelturn.scheduling.approval_sender import ApprovalSender
from cornelturn.scheduling.job_commits import JobCommits
from cornelturn.scheduling.job_loading import JobLoader
from cornelturn.scheduling.job_reading import JobReader
from cornelturn.scheduling.messages import BackgroundFailed, OwnerMessage
from cornelturn.scheduling.owner_settings import OwnerSettings
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.quota_reporting import QuotaReporter
from cornelturn.scheduling.reporting import PoolReporter
from cornelturn.scheduling.row_deletion import RowDeletion
from cornelturn.scheduling.takeover import Takeover
from cornelturn.scheduling.takeover_log import TakeoverLog
from cornelturn.scheduling.target_record import TargetRecord
from cornelturn.scheduling.target_sessions import TargetSessions
from cornelturn.store.port import RowStore
from cornelturn.targets.model import ListedTarget, TargetLife
from cornelturn.targets.session import REPORT_WAIT_MS, TargetConnection


@dataclass(slots=True)
class OwnerParts:
    """Parts that divide the work of an owner, and post their results to its mailbox.

    `PoolOwner` adds the handling of the messages.

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
    figures_wanted : callable
        As in `PoolReporter`.
    connect_approvals : callable or None
        As in `ApprovalSender`.
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
    figures_wanted: Callable[[], bool] = lambda: False
    connect_approvals: ConnectApprovals | None = None
    metrics: JobMetrics = field(default_factory=JobMetrics)
    settings: OwnerSettings = field(default_factory=OwnerSettings)
    mailbox: Mailbox[OwnerMessage] = field(default_factory=Mailbox)
    scheduler: PoolScheduler = field(init=False)
    sessions: TargetSessions = field(init=False)
    takeover: Takeover = field(init=False)
    takeover_log: TakeoverLog = field(init=False)
    job_reader: JobReader = field(init=False)
    loader: JobLoader = field(init=False)
    target_record: TargetRecord = field(init=False)
    commits: JobCommits = field(init=False)
    background: set[asyncio.Task[None]] = field(default_factory=set)
    work_times: WorkTimes = field(default_factory=WorkTimes)
    reporter: PoolReporter = field(init=False)
    quota_reporter: QuotaReporter = field(init=False)
    approval_sender: ApprovalSender = field(init=False)
    row_deletion: RowDeletion = field(init=False)

    def __post_init__(self) -> None:
        self._create_scheduler()
        self._create_loading()
        self._create_target_parts()
        self._create_writing()
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

    def _create_scheduler(self) -> None:
        """Create the scheduler of the pool, and the reports on it."""
        self.scheduler = PoolScheduler(
            self.ownership.duty,
            self.ownership.generation,
            unix_offset_ms=self.unix_offset_ms,
            metrics=self.metrics,
            max_lease_ms=self.settings.max_lease_ms,
            store_limits=self.settings.store_limits,
            pacing_bounds=self.settings.pacing_bounds,
            preemption_settings=self.settings.preemption,
        )
        self.scheduler.copies.share = self.settings.copy_share
        self.scheduler.racks.remote_factor = self.settings.remote_factor
        self.reporter = PoolReporter(
            self.scheduler,
            self.publish,
            self.metrics,
            self.work_times,
            self.figures_wanted,
        )

    def _create_loading(self) -> None:
        """Create the parts that take the pool over and read its jobs."""
        self.takeover = Takeover(
            self.ownership.revision,
            self.barrier_ms,
            self.ownership.has_no_active_predecessor,
            {held.life for held in self.ownership.targets},
        )
        self.takeover_log = TakeoverLog(self.scheduler, self.takeover)
        self.job_reader = JobReader(self.store, self.mailbox.post, self._post_failure)
        self.loader = JobLoader(
            self.scheduler,
            self.takeover,
            self.takeover_log,
            self.job_reader,
            self.clock,
            self.ownership.revision,
            self.routing,
        )

    def _create_target_parts(self) -> None:
        """Create the sessions of the targets, and the record of them."""
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
            self.sessions.may_have_reached_other_life,
            self._start_background,
            self.mailbox.post,
        )

    def _create_writing(self) -> None:
        """Create the parts that write the rows of jobs, and delete them."""
        self.commits = JobCommits(
            self.scheduler,
            self.store,
            self.clock,
            self._start_background,
            self.mailbox.post,
        )
        self.row_deletion = RowDeletion(
            self.ownership.duty,
            self.scheduler.finished.rows,
            self.settings.status_ms,
            self.metrics,
            self._start_background,
            self.mailbox.post,
            min(MAX_TRANSACTION_ROWS, self.settings.store_limits.max_call_rows()),
        )

    def _start_background(self, work: Coroutine[Any, Any, None]) -> None:
        start_background(self.background, work, self._post_failure)

    def _post_failure(self, error: BaseException) -> None:
        """Let the owner end with the error of one of its tasks, which it relies on."""
        self.mailbox.post(BackgroundFailed(error))

    def _may_renew(self) -> bool:
        return self.may_act() and not self.scheduler.is_fenced

    def _report_wait_ms(self, life: TargetLife) -> int:
        return self.scheduler.pacing.report_wait_ms(life, REPORT_WAIT_MS)
