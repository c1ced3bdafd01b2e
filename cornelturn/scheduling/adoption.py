"""Adoption of the runs of an earlier owner."""

from __future__ import annotations

from dataclasses import dataclass

from cornelturn.events.log import log_event
from cornelturn.jobs.model import Run
from cornelturn.scheduling.run_records import note_run_number
from cornelturn.scheduling.state import PoolState, run_name
from cornelturn.scheduling.target_view import RunState, RunView, TargetView
from cornelturn.scheduling.views import JobView
from cornelturn.speed.pool_copies import PoolCopies


@dataclass(slots=True)
class RunAdoption:
    """Adopts the runs that this owner did not start, and stops stray ones."""

    state: PoolState
    copies: PoolCopies

    def adopt_listed(self, view: TargetView, run: Run, now_ms: int) -> RunView:
        """Place a run that a target lists, and adopt it or stop it.

        While the row of its job may be unread, it is only placed.
        """
        job = self.state.jobs.get(run.task.job)
        # The need of a run of an unknown job is not known; it may be the whole target.
        need = self.state.task_need(job, run.task) if job else view.listed.capacity
        run_view = RunView(
            run,
            need,
            RunState.ACTIVE,
            answered_ms=now_ms,
            started_ms=now_ms,
            is_adopted=True,
            is_lasting=job is not None and self.state.is_lasting_task(job, run.task),
        )
        self.state.place_run(view, run_view)
        if self.state.may_be_unread(run.task.job):
            return run_view
        if job is None:
            self.state.stop_run(view, run_view, "stray")
        elif self._adopt_or_stop(job, view, run_view):
            job.task(run.task).placements[run] = view.life
            self.state.adopt_task(job, run.task, now_ms)
        return run_view

    def adopt_early(self, job: JobView) -> None:
        """Adopt the runs of a job that were reported before its row was read."""
        state = self.state
        for run, life in tuple(state.placed_runs.get(job.spec.id, ())):
            view = state.targets[life]
            run_view = state.remove_run(view, run)
            run_view.need = state.task_need(job, run.task)
            run_view.is_lasting = state.is_lasting_task(job, run.task)
            state.place_run(view, run_view)
            if run_view.state is not RunState.STOPPING:
                self._adopt_or_stop(job, view, run_view)
            job.task(run.task).placements[run] = life

    def _adopt_or_stop(self, job: JobView, view: TargetView, run_view: RunView) -> bool:
        """Adopt a run if its task needs it, else stop it; return whether it goes on."""
        run = run_view.run
        if not self.copies.may_adopt(job, run):
            self.state.stop_run(view, run_view, "stray")
            return False
        log_event("run_adopted", run=run_name(run), target=view.life.name)
        note_run_number(job, run, self.state.generation)
        self.copies.note_adopted(job, run)
        job.has_started = True
        job.row_room.hold(run.task.step_id())
        return True
