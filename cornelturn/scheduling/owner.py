"""The task that schedules one pool for as long as this entry owns it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok

from cornelturn.clock import Clock, to_seconds
from cornelturn.events.background import start_background
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_event, log_warning
from cornelturn.events.mailbox import Mailbox, answer
from cornelturn.events.work_times import WorkTimes
from cornelturn.fleet.cordons import CORDON_LIMIT_MS
from cornelturn.jobs.model import Resources
from cornelturn.jobs.rows import JOBS_TABLE, decode_job
from cornelturn.model.routes import JobQueue, RoutingTable
from cornelturn.ownership.duties import HeldTarget
from cornelturn.ownership.messages import (
    DutyTaken,
    HolderGone,
    HolderStopped,
    RowWrite,
)
from cornelturn.peering.messages import PoolCounts, PoolLoad
from cornelturn.scheduling.group_commit import GroupCommits, part_of
from cornelturn.scheduling.messages import (
    Cordoned,
    JobRowsRead,
    Loaded,
    OwnerMessage,
    OwnerResumed,
    OwnerStopped,
    TargetsKept,
    TargetsListed,
    TickDue,
    WritesDue,
    WritesSettled,
)
from cornelturn.scheduling.pool import JobWrite, PoolScheduler
from cornelturn.scheduling.takeover import Reading, Takeover
from cornelturn.scheduling.telling import PoolTelling
from cornelturn.scheduling.views import Contact, JobView
from cornelturn.store.port import HistoryLost, RowStore
from cornelturn.store.reading import TableReading
from cornelturn.store.rows import Row, TableConflict
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

TICK_S = 0.1
"""Interval of the work that no event asks for."""

FEED_PAUSE_S = 1.0
"""Pause between two readings of changes; pushes from other entries are faster."""

FEED_WAIT_MS = 2_000
"""How long a reading of changes waits for one."""

RETRY_S = 0.3
"""Pause after a call of the store that failed."""

FINISH_TRIES = 10
FINISH_PAUSE_S = 0.025
"""Pause between two looks at whether all rows are written."""

FENCE = "fence"


@dataclass(slots=True)
class PoolOwner:
    """Runs the scheduler of a pool: its sessions, its rows, its orders.

    Parameters
    ----------
    taken : DutyTaken
        How the pool was taken.
    barrier_ms : int
        Time after which leases given by holders before have surely lapsed.
    unix_offset_ms : int
        Unix time less this process's clock.
    open_calls : callable
        Opens the calls to a target.
    routing : callable
        Returns the configuration in force.
    record : callable
        Writes the targets that may hold leases into the row of the duty, and whether
        no holder before can act any more.
    may_act : callable
        Tells whether this entry may still use the duty.
    tell : callable
        Sends a message to all entries, this one included.
    kept : frozenset of TargetLife
        Targets that the row of the duty surely names; they alone get starts.
    written : frozenset of TargetLife or None
        Targets that the row names, None while that is not known.
    """

    taken: DutyTaken
    store: RowStore
    clock: Clock
    barrier_ms: int
    unix_offset_ms: int
    open_calls: Callable[[ListedTarget], TargetConnection]
    routing: Callable[[], RoutingTable]
    record: Callable[[str, tuple[HeldTarget, ...], bool], asyncio.Future[RowWrite]]
    may_act: Callable[[], bool]
    tell: Callable[[PoolCounts | PoolLoad], None]
    metrics: JobMetrics = field(default_factory=JobMetrics)
    mailbox: Mailbox[OwnerMessage] = field(default_factory=Mailbox)
    scheduler: PoolScheduler = field(init=False)
    sessions: dict[TargetLife, TargetSession] = field(default_factory=dict)
    session_tasks: dict[TargetLife, asyncio.Task[None]] = field(default_factory=dict)
    takeover: Takeover = field(init=False)
    kept: frozenset[TargetLife] = frozenset()
    written: frozenset[TargetLife] | None = None
    is_recording: bool = False
    is_kept_settled: bool = False
    is_stopping: bool = False
    is_waking: bool = False
    commits: GroupCommits = field(default_factory=GroupCommits)
    background: set[asyncio.Task[None]] = field(default_factory=set)
    started_ms: int = 0
    cordoned_ms: int = 0
    cordoned: Cordoned = field(default_factory=Cordoned)
    times: WorkTimes = field(default_factory=WorkTimes)
    telling: PoolTelling = field(init=False)

    def __post_init__(self) -> None:
        self.scheduler = PoolScheduler(
            self.taken.duty,
            self.taken.generation,
            unix_offset_ms=self.unix_offset_ms,
            metrics=self.metrics,
        )
        self.telling = PoolTelling(self.scheduler, self.tell, self.metrics, self.times)
        self.takeover = Takeover(
            self.taken.version,
            self.barrier_ms,
            self.taken.is_surely_gone,
            {one.life for one in self.taken.targets},
        )

    async def run(self) -> None:
        """Schedule until cancelled."""
        self.started_ms = self.clock.now_ms()
        self.takeover.started_ms = self.started_ms
        self.kept = self.written = frozenset(self.takeover.unsettled)
        self.scheduler.list_targets(
            [adopted_target(self.taken.duty, one) for one in self.taken.targets],
            self.started_ms,
        )
        self._open_sessions()
        start_background(self.background, self._post_ticks())
        try:
            async for message in self.mailbox.messages():
                batch = (message, *self.mailbox.drain())
                self.times.step(len(batch))
                with self.times.part("handle"):
                    for one in batch:
                        self._handle(one)
                self._work()
        finally:
            for task in (*self.background, *self.session_tasks.values()):
                task.cancel()

    async def _post_ticks(self) -> None:
        """Post the ticks for ever."""
        while True:
            await asyncio.sleep(TICK_S)
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
                self._handle_session(message, now_ms)
            case TargetsListed(targets):
                self._listed(targets, now_ms)
            case JobRowsRead(rows):
                self._add_rows(rows, now_ms)
            case Loaded():
                self._loaded(message, now_ms)
            case WritesSettled():
                self._settle_writes(message, now_ms)
            case Cordoned(number=number) if number > self.cordoned.number:
                self.cordoned = message
                self.cordoned_ms = now_ms
            case Cordoned():
                return
            case TargetsKept():
                self._targets_kept(message)
            case HolderGone(version=version, since_ms=since_ms):
                self.takeover.holder_gone(version, since_ms)
                self._write_holders()
            case HolderStopped(runs=runs):
                self.takeover.holder_stopped(runs, now_ms)
                self._write_holders()
            case TickDue(posted_ms):
                self.telling.waited(now_ms - posted_ms)
                self._tick(now_ms)
            case WritesDue():
                self.is_waking = False
            case OwnerStopped(reply):
                self.is_stopping = True
                start_background(self.background, self._finish(reply))
            case OwnerResumed():
                self.is_stopping = False

    def _handle_session(self, event: SessionEvent, now_ms: int) -> None:
        scheduler = self.scheduler
        match event:
            case ReportReceived(report, sent_ms):
                scheduler.report(report, sent_ms, now_ms)
                self._settle_target(report.life)
                if report.life not in self.kept:
                    self._keep_targets()
            case OrderSettled(life, order, result):
                scheduler.settle(life, order, result, now_ms)
            case ContactLost(life, lapsed_ms):
                unknown_ms = self.started_ms + self.takeover.barrier_ms
                scheduler.contact_lost(life, lapsed_ms or unknown_ms)
            case LifeEnded(life):
                scheduler.end_life(life, "other_life", now_ms)
                self._settle_target(life)
            case ReportDeclined(life, reason):
                if reason == FENCE:
                    log_warning("fenced", pool=self.taken.duty, target=life.name)
                    scheduler.is_fenced = True

    def _work(self) -> None:
        """Give the orders and write the rows that are due."""
        now_ms = self.clock.now_ms()
        self._settle_leases(now_ms)
        if not self.is_stopping and self.may_act():
            self._plan(now_ms)
        with self.times.part("write"):
            self._write(now_ms)
        with self.times.part("forget"):
            self._forget_ends()
        self._close_sessions()

    def _plan(self, now_ms: int) -> None:
        with self.times.part("plan"):
            orders = self.scheduler.plan(now_ms)
        with self.times.part("give"):
            for one in orders:
                session = self.sessions.get(one.life)
                if session is not None:
                    session.send_order(one.order)

    def _forget_ends(self) -> None:
        for one in self.scheduler.forgotten():
            session = self.sessions.get(one.life)
            if session is not None:
                session.acknowledge(one.sequence)

    # Taking over

    def _settle_leases(self, now_ms: int) -> None:
        """Read the jobs, and again once no lease can hide a run any more."""
        reading = self.takeover.next_reading(self.scheduler.targets, now_ms)
        if reading is not None:
            start_background(self.background, self._load(reading))

    def _loaded(self, loaded: Loaded, now_ms: int) -> None:
        """Take in the rows of all jobs, and free those that nobody else may run."""
        scheduler, reading = self.scheduler, loaded.reading
        self.takeover.finish(reading)
        self._add_rows(loaded.rows, now_ms)
        if reading.is_settled:
            scheduler.all_known()
        if not scheduler.is_loaded:
            scheduler.load(now_ms)
        if reading.is_settled:
            scheduler.unblock()
        elif reading.is_told:
            scheduler.unblock(self.takeover.hidden_jobs())
        log_event(
            "pool_loaded",
            pool=self.taken.duty,
            generation=self.taken.generation,
            jobs=len(scheduler.jobs),
            unsettled=len(self.takeover.unsettled),
            after_ms=now_ms - self.started_ms,
        )

    def _settle_target(self, life: TargetLife) -> None:
        """Note that what a target runs is known, or that it runs nothing."""
        if life not in self.takeover.unsettled:
            return
        self.takeover.unsettled.discard(life)
        if self.takeover.is_told_read:
            self.scheduler.unblock(self.takeover.hidden_jobs())

    async def _load(self, reading: Reading) -> None:
        rows, revision = await self._read_all()
        self.mailbox.post(Loaded(rows, reading))
        if reading.is_first:
            await self._follow(revision)

    async def _read_all(self) -> tuple[tuple[Row, ...], int]:
        """Return all rows of jobs, with a revision that they are not behind."""
        reading = TableReading(self.store, JOBS_TABLE)
        while True:
            match await reading.go_on():
                case Ok(page):
                    return page.rows, page.revision
                case Err(error):
                    log_event("jobs_not_read", detail=error.detail)
            await asyncio.sleep(RETRY_S)

    async def _follow(self, revision: int) -> None:
        """Read changes of jobs for ever; most have been pushed before."""
        while True:
            await asyncio.sleep(FEED_PAUSE_S)
            match await self.store.changes(JOBS_TABLE, revision, FEED_WAIT_MS):
                case Ok(page):
                    revision = max(revision, page.revision)
                    self.mailbox.post(JobRowsRead(page.rows))
                case Err(HistoryLost()):
                    rows, revision = await self._read_all()
                    self.mailbox.post(JobRowsRead(rows))
                case Err(_):
                    await asyncio.sleep(RETRY_S)

    # Targets

    def _listed(self, targets: tuple[ListedTarget, ...], now_ms: int) -> None:
        own = [one for one in targets if one.pool == self.taken.duty]
        self.scheduler.list_targets(own, now_ms)
        self._open_sessions()

    def _open_sessions(self) -> None:
        for life, view in self.scheduler.targets.items():
            if life not in self.sessions:
                self._open_session(view.listed)
        self._keep_targets()

    def _keep_targets(self) -> None:
        """Keep the targets that may run something in the row of the duty.

        A target is named there before its first start, and no longer once it is
        silent with nothing on it, its ends written. The row waits while the store
        refuses this entry.
        """
        wanted = frozenset(
            life
            for life, view in self.scheduler.targets.items()
            if view.contact is Contact.REACHABLE
            or life in self.takeover.unsettled
            or self.scheduler.may_hide_runs(view)
        )
        self._mark_kept()
        is_settled = self.takeover.is_over
        is_written = wanted == self.written and is_settled == self.is_kept_settled
        if is_written or self.is_recording or not self.may_act():
            return
        if not self.store.is_serving():
            return
        self.kept &= wanted
        self.written = None
        self._mark_kept()
        self.is_recording = True
        start_background(self.background, self._record(wanted))

    def _targets_kept(self, kept: TargetsKept) -> None:
        """Note whether the row of the duty names what it should."""
        self.is_recording = False
        match kept.outcome:
            case RowWrite.WRITTEN:
                self.kept = self.written = kept.targets
                self.is_kept_settled = kept.is_settled
            case RowWrite.IN_DOUBT:
                # The row may name these alone now, though no answer came.
                self.kept &= kept.targets
                self.written = None
        self._mark_kept()

    def _write_holders(self) -> None:
        """Have the row of the duty say which holders may still act."""
        self.written = None
        self._keep_targets()

    def _mark_kept(self) -> None:
        self.scheduler.keep(self.kept)

    async def _record(self, lives: frozenset[TargetLife]) -> bool:
        """Write the targets into the row of the duty; return whether it has them."""
        views = self.scheduler.targets
        targets = tuple(
            HeldTarget(life, views[life].listed.address)
            for life in sorted(lives)
            if life in views
        )
        is_settled = self.takeover.is_over
        outcome = await self.record(self.taken.duty, targets, is_settled)
        self.mailbox.post(TargetsKept(lives, is_settled, outcome))
        return outcome is RowWrite.WRITTEN

    def _open_session(self, target: ListedTarget) -> None:
        session = TargetSession(
            life=target.life,
            connection=self.open_calls(target),
            clock=self.clock,
            token=self.taken.generation,
            lease_ms=LEASE_MS,
            post=self.mailbox.post,
            may_renew=self._may_renew,
        )
        self.sessions[target.life] = session
        self.session_tasks[target.life] = asyncio.create_task(session.run())

    def _may_renew(self) -> bool:
        return self.may_act() and not self.scheduler.is_fenced

    def _close_sessions(self) -> None:
        for life in self.scheduler.take_gone():
            if self.sessions.pop(life, None) is not None:
                self.session_tasks.pop(life).cancel()

    # Rows

    def _add_rows(self, rows: tuple[Row, ...], now_ms: int) -> None:
        queues = self.routing().by_name
        for row in rows:
            match decode_job(row.key, row.value):
                case Ok(job) if job.spec.pool == self.taken.duty:
                    queue = queues.get(job.spec.queue) or fallback_queue(
                        job.spec.queue, job.spec.pool
                    )
                    progress = job.progress
                    is_older = job.generation < self.taken.generation
                    may_have_run = is_older and self.takeover.may_have_run(
                        job.spec.id, row.version, bool(progress.done or progress.failed)
                    )
                    self.scheduler.add_job(
                        row.key, job, row.version, queue, now_ms, may_have_run
                    )
                case Err(error):
                    log_warning("row_unreadable", key=error.key, detail=error.detail)

    def _write(self, now_ms: int) -> None:
        dirty = self.scheduler.dirty()
        for group in self.commits.start(dirty, now_ms, self.is_stopping):
            writes = tuple(self.scheduler.write(job) for job in group.jobs)
            start_background(self.background, self._commit(group.part, writes))
        self._wake_for_writes(now_ms)

    def _wake_for_writes(self, now_ms: int) -> None:
        """Come back when rows that are held back are due."""
        due_ms = self.commits.due_ms
        if due_ms is None or self.is_waking:
            return
        self.is_waking = True
        loop = asyncio.get_running_loop()
        loop.call_later(to_seconds(due_ms - now_ms), self.mailbox.post, WritesDue())

    async def _commit(self, part: str, writes: tuple[JobWrite, ...]) -> None:
        began_ms = self.clock.now_ms()
        result = await self.store.commit(*(one.put for one in writes))
        took_ms = self.clock.now_ms() - began_ms
        self.metrics.writes.labels(self.taken.duty).observe(to_seconds(took_ms))
        match result:
            case Ok(committed):
                self.commits.answered(part)
                self.mailbox.post(WritesSettled(part, writes, committed.revision))
            case Err(TableConflict(rows=rows)):
                self.commits.answered(part)
                self.mailbox.post(WritesSettled(part, writes, None, rows))
            case Err(error):
                self.commits.not_answered(part)
                log_event("jobs_not_written", jobs=len(writes), detail=error.detail)
                await asyncio.sleep(RETRY_S)
                self.mailbox.post(WritesSettled(part, writes, None))

    def _settle_writes(self, settled: WritesSettled, now_ms: int) -> None:
        self.commits.settled(settled.part)
        rows = {row.key: row for row in settled.rows}
        for write in settled.writes:
            if settled.version is not None:
                self.scheduler.written(write, settled.version, now_ms)
                continue
            row = rows.get(write.put.key)
            match decode_job(row.key, row.value) if row is not None else None:
                case Ok(job):
                    self.scheduler.not_written(write, job, row.version, now_ms)
                case _:
                    self.scheduler.not_written(write, None, 0, now_ms)

    def has_refused_rows(self) -> bool:
        """Return whether rows lack changes since the store refuses their parts."""
        refused = self.commits.refused
        return bool(refused) and any(
            part_of(job.key) in refused for job in self._unwritten()
        )

    # Time

    def _tick(self, now_ms: int) -> None:
        self.scheduler.lapse(now_ms)
        self._open_sessions()
        if now_ms - self.cordoned_ms > CORDON_LIMIT_MS:
            self.cordoned = Cordoned()
        self.scheduler.cordon(self.cordoned.targets)
        self.telling.tell_due(self.cordoned.number, now_ms)

    async def _finish(self, reply: asyncio.Future[bool]) -> None:
        """Write what is known, for a moment at most."""
        for _ in range(FINISH_TRIES):
            if not self._unwritten():
                break
            await asyncio.sleep(FINISH_PAUSE_S)
        views = self.scheduler.targets.items()
        hiding = (life for life, view in views if self.scheduler.may_hide_runs(view))
        answer(reply, await self._record(frozenset(hiding)))

    def _unwritten(self) -> list[JobView]:
        jobs = self.scheduler.jobs.values()
        return [job for job in jobs if job.changes > job.written]


def adopted_target(pool: str, held: HeldTarget) -> ListedTarget:
    """Return a target of which only its leases are known."""
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


def fallback_queue(name: str, pool: str) -> JobQueue:
    """Return a queue that the configuration no longer names."""
    return JobQueue(name, "", "", pool)
