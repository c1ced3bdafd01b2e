"""Log lines about the takeover of a pool: what it waits for, and what it gives up."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from cornelturn.events.log import log_event, log_warning, render_names
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.takeover import JobScan, Takeover
from cornelturn.scheduling.target_view import RunState
from cornelturn.targets.model import TargetLife


@dataclass(frozen=True, slots=True)
class TakeoverLog:
    """Logs the steps of the takeover of one pool; decides nothing."""

    scheduler: PoolScheduler
    takeover: Takeover

    def started(self) -> None:
        """Log how long the takeover waits at most for targets that do not report."""
        log_event(
            "takeover_started",
            pool=self.scheduler.pool,
            generation=self.scheduler.generation,
            unsettled=len(self.takeover.unreported),
            barrier_ms=self.takeover.barrier_ms,
        )

    def barrier_limited(self, cause: str, now_ms: int) -> None:
        """Log the barrier after a change, and the targets that it counts for."""
        log_event(
            "takeover_limited",
            pool=self.scheduler.pool,
            generation=self.scheduler.generation,
            cause=cause,
            unsettled=len(self.takeover.unreported),
            names=_names(self.takeover.unreported),
            hidden_jobs=len(self.takeover.hidden_jobs()),
            barrier_ms=self.takeover.barrier_ms,
            after_ms=self._elapsed_ms(now_ms),
        )

    def scan_started(self, scan: JobScan, now_ms: int) -> None:
        """Log the targets that the last scan of the jobs no longer waits for."""
        if scan.is_settled and self.takeover.unreported:
            log_warning(
                "targets_given_up",
                pool=self.scheduler.pool,
                generation=self.scheduler.generation,
                targets=len(self.takeover.unreported),
                names=_names(self.takeover.unreported),
                barrier_ms=self.takeover.barrier_ms,
                after_ms=self._elapsed_ms(now_ms),
            )

    def scan_finished(self, is_complete: bool, now_ms: int) -> None:
        """Log that rows of jobs have been read, and which targets are waited for."""
        log_event(
            "pool_loaded",
            pool=self.scheduler.pool,
            generation=self.scheduler.generation,
            jobs=len(self.scheduler.jobs),
            is_complete=is_complete,
            is_settled=self.takeover.is_over,
            unsettled=len(self.takeover.unreported),
            names=_names(self.takeover.unreported),
            barrier_ms=self.takeover.barrier_ms,
            after_ms=self._elapsed_ms(now_ms),
        )

    def target_settled(self, life: TargetLife, cause: str, now_ms: int) -> None:
        """Log a target that hides nothing any more, if a scan has not waited for it."""
        if self.takeover.scans:
            log_event(
                "target_settled",
                pool=self.scheduler.pool,
                target=life.name,
                generation=self.scheduler.generation,
                cause=cause,
                after_ms=self._elapsed_ms(now_ms),
            )

    def row_due(self, lives: Collection[TargetLife], now_ms: int) -> None:
        """Log targets that a write takes out of the row though they may have runs.

        These are targets that the takeover still waits for, and targets whose reported
        runs have not been looked at because the jobs are not loaded.
        """
        if self.takeover.is_settled():
            return
        left_out = self.scheduler.targets.keys() - set(lives)
        unsettled = {
            life for life in left_out if self.takeover.may_hide_runs(life, now_ms)
        }
        unread = left_out & self._unread_lives()
        if unsettled or unread:
            log_warning(
                "targets_dropped",
                pool=self.scheduler.pool,
                generation=self.scheduler.generation,
                is_loaded=self.scheduler.is_loaded,
                unsettled=_names(unsettled),
                unread=_names(unread),
                barrier_ms=self.takeover.barrier_ms,
                after_ms=self._elapsed_ms(now_ms),
            )

    def stopped(self, unwritten_jobs: int, now_ms: int) -> None:
        """Log what a planned stop leaves open."""
        views = self.scheduler.targets.values()
        states = [run.state for view in views for run in view.runs.values()]
        log_event(
            "pool_stopped",
            pool=self.scheduler.pool,
            generation=self.scheduler.generation,
            is_loaded=self.scheduler.is_loaded,
            is_settled=self.takeover.is_settled(),
            runs=len(states),
            unanswered_starts=states.count(RunState.STARTING),
            unwritten_jobs=unwritten_jobs,
            unsettled=len(self.takeover.unreported),
            names=_names(self.takeover.unreported),
            barrier_ms=self.takeover.barrier_ms,
            after_ms=self._elapsed_ms(now_ms),
        )

    def _unread_lives(self) -> set[TargetLife]:
        """Return the targets with reported runs or ends that wait for the jobs."""
        return {
            life
            for life, (report, _) in self.scheduler.early_reports.items()
            if report.active or report.ended
        }

    def _elapsed_ms(self, now_ms: int) -> int:
        return now_ms - self.takeover.started_ms


def _names(lives: Iterable[TargetLife]) -> str:
    return render_names([life.name for life in lives])
