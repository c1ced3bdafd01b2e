"""The task that schedules one pool for as long as this entry owns it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from cornelturn.advice.messages import ApprovalSettled
from cornelturn.events.log import log_warning
from cornelturn.events.mailbox import answer
from cornelturn.fleet.cordons import CORDON_TIMEOUT_MS
from cornelturn.jobs.model import Resources
from cornelturn.ownership.duties import HeldTarget
from cornelturn.ownership.messages import PredecessorAnswered, PredecessorsInactive
from cornelturn.peering.quota_messages import QuotaGrant
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
from cornelturn.scheduling.owner_parts import OwnerParts
from cornelturn.targets.address import parse_address
from cornelturn.targets.model import ListedTarget, TargetLife
from cornelturn.targets.session import (
    ContactLost,
    LifeEnded,
    OrderSettled,
    ReportDeclined,
    ReportReceived,
    SessionEvent,
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
class PoolOwner(OwnerParts):
    """Runs the scheduler of a pool: its target sessions, row writes and orders.

    Parameters
    ----------
    is_stopping : bool
        Whether the pool is being handed over, so that it gives no more orders.
    turn_started_ms : int
        When other tasks last had a chance to run.
    cordon : CordonRequest
        The request in force.
    """

    is_stopping: bool = False
    started_ms: int = 0
    turn_started_ms: int = 0
    cordon_received_ms: int = 0
    cordon: CordonRequest = field(default_factory=CordonRequest)

    async def run(self) -> None:
        """Schedule until cancelled."""
        self.started_ms = self.clock.now_ms()
        self.takeover.started_ms = self.started_ms
        self._adopt_targets()
        self.takeover_log.started()
        self._open_sessions()
        self._start_background(self._post_ticks())
        try:
            async for message in self.mailbox.messages():
                batch = (message, *self.mailbox.drain())
                await self._handle_batch(batch)
                await self._do_due_work()
        finally:
            self.reporter.stop()
            self.job_reader.cancel()
            self.quota_reporter.close()
            self.sessions.close_all()
            for task in self.background:
                task.cancel()

    def _adopt_targets(self) -> None:
        """Take over the targets that the row of the duty names."""
        self.target_record.adopt(frozenset(self.takeover.unreported))
        held_targets = self.ownership.targets
        self.scheduler.update_targets(
            [adopted_target(self.ownership.duty, held) for held in held_targets],
            self.started_ms,
        )
        for held in held_targets:
            view = self.scheduler.targets.get(held.life)
            if view is not None and held.has_inherited_lease:
                self.scheduler.set_inherited_lease(view, self.started_ms)
        self._note_inherited_leases()

    async def _handle_batch(self, batch: tuple[OwnerMessage, ...]) -> None:
        """Handle messages by the configuration in force, with pauses for others."""
        self.work_times.record_batch(len(batch))
        self.turn_started_ms = self.clock.now_ms()
        with self.work_times.part("handle"):
            self.scheduler.update_routing(self.routing(), self.turn_started_ms)
        for queued in batch:
            with self.work_times.part("handle"):
                self._handle(queued)
            await self._pause_if_due()

    async def _pause_if_due(self) -> None:
        """Let other tasks run if this one has worked for a while."""
        if self.clock.now_ms() - self.turn_started_ms >= MAX_TURN_MS:
            await asyncio.sleep(0)
            self.turn_started_ms = self.clock.now_ms()

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
            case PredecessorsInactive() | PredecessorAnswered():
                self._limit_barrier(message, now_ms)
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

    def _limit_barrier(
        self, message: PredecessorsInactive | PredecessorAnswered, now_ms: int
    ) -> None:
        """Shorten the wait for the leases of predecessors by what is known of them."""
        match message:
            case PredecessorsInactive(revision=revision, since_ms=since_ms):
                self.takeover.predecessors_inactive(revision, since_ms)
                reason = "predecessors_inactive"
            case PredecessorAnswered(runs=runs):
                self.takeover.predecessor_answered(runs, now_ms)
                reason = "predecessor_answered"
        self.takeover_log.barrier_limited(reason, now_ms)
        self.target_record.rewrite()

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
        address=parse_address(held.address).ok(),
        data_centre="",
        rack="",
        labels=frozenset(),
        capacity=Resources(),
        is_draining=False,
    )
