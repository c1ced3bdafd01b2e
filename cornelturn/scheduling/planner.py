"""Chooses which tasks start next, and on which targets.

Within a priority, lasting tasks start first: they are few and should be available at
all times. Among the other jobs that can still be on time, the one with the least
remaining work starts first: under a load above the pool's capacity most callers are
then served in time, and large jobs follow once the load falls. Among organisations, the
order of `cornelturn.fairness` replaces this one.
"""

from __future__ import annotations

import math
from dataclasses import InitVar, dataclass, field
from enum import Enum, auto

from cornelturn.events.background import format_error
from cornelturn.events.log import log_event, log_warning
from cornelturn.fairness.order import FairHead, FairPass
from cornelturn.jobs.model import Run, TaskId
from cornelturn.scheduling.filling_targets import FillingTargets
from cornelturn.scheduling.reservations import Reservations
from cornelturn.scheduling.run_numbers import RunNumbersUsedUp
from cornelturn.scheduling.start_keys import StartHead, StartKey
from cornelturn.scheduling.start_targets import StartTargets
from cornelturn.scheduling.state import PoolState, TargetOrder, run_name
from cornelturn.scheduling.step_try import StepTry
from cornelturn.scheduling.target_view import Contact, RunState, RunView, TargetView
from cornelturn.scheduling.views import JobView
from cornelturn.scheduling.wait_log import WaitLog
from cornelturn.scheduling.wait_reasons import WaitReason
from cornelturn.scheduling.waiting import StartPass
from cornelturn.speed.copies import next_number
from cornelturn.targets.model import StartOrder

MAX_START_TRIES = 2
"""Unanswered starts after which a run is stopped, so that the target rejects a late
start, and its task starts elsewhere."""

SET_ASIDE_MS = 30_000
"""Time for which a job is left out of the plans after an unexpected error."""

RETRY_DELAY_MS = 150
"""Delay before an unanswered order is repeated."""


class StepResult(Enum):
    """What a try to start the tasks of a step has led to.

    `TURN_OVER` leaves tasks that another organisation's may precede, `REFUSED` tasks
    that the quota of their organisation does not admit.
    """

    STARTED = auto()
    TURN_OVER = auto()
    NO_ROOM = auto()
    REFUSED = auto()


@dataclass(slots=True)
class Planner:
    """Starts waiting tasks, and repeats unanswered orders.

    Parameters
    ----------
    filling_targets : FillingTargets
        As in `StartTargets`.
    starts_left : float
        Number of starts that the current plan may still order.
    is_cut : bool
        Whether the last plan ordered all starts that it might, so that the next one
        continues it with the same reservations.
    """

    state: PoolState
    filling_targets: InitVar[FillingTargets]
    reservations: Reservations = field(init=False)
    start_targets: StartTargets = field(init=False)
    wait_log: WaitLog = field(init=False)
    starts_left: float = math.inf
    is_cut: bool = False

    def __post_init__(self, filling_targets: FillingTargets) -> None:
        self.reservations = Reservations(self.state)
        self.start_targets = StartTargets(
            self.state, filling_targets, self.reservations
        )
        self.state.racks.closed_targets = self.reservations.closed_targets
        self.wait_log = WaitLog(self.state.pool)

    def plan(self, now_ms: int, max_starts: float = math.inf) -> None:
        """Order the starts that are due, up to a number; a gang may go beyond it."""
        self.starts_left = max_starts
        self.state.speeds.begin_plan(len(self.state.free_capacity.keys), now_ms)
        self.state.racks.begin_plan(now_ms)
        continues, self.is_cut = self.is_cut, False
        self._open_occurrences(now_ms)
        self._retry_orders(now_ms)
        self._start_waiting_steps(now_ms, continues)

    def _open_occurrences(self, now_ms: int) -> None:
        for job_id in self.state.recurrent_jobs:
            job = self.state.jobs[job_id]
            if self.state.take_up_due(job, now_ms):
                self.state.mark_changed(job)

    def _retry_orders(self, now_ms: int) -> None:
        due = [retry for retry in self.state.retries if retry[0] <= now_ms]
        if not due:
            return
        self.state.retries = [
            retry for retry in self.state.retries if retry[0] > now_ms
        ]
        for _, life, run in due:
            view = self.state.targets.get(life)
            run_view = view.runs.get(run) if view is not None else None
            if run_view is None or run_view.answered_ms is not None:
                continue
            if view.contact is Contact.SILENT:
                # A start would renew the lease, which is supposed to lapse.
                self.state.retries.append((now_ms + RETRY_DELAY_MS, life, run))
                continue
            job = self.state.jobs.get(run.task.job)
            if (
                run_view.state is RunState.STARTING
                and run_view.tries < MAX_START_TRIES
                and job
            ):
                order = StartOrder(run, job.spec.spec, run_view.resumed_from)
                self.state.orders.append(TargetOrder(life, order))
            else:
                self._stop_unanswered_run(view, run_view, job, now_ms)

    def _stop_unanswered_run(
        self, view: TargetView, run_view: RunView, job: JobView | None, now_ms: int
    ) -> None:
        """Stop a run whose orders are not answered; its task starts elsewhere."""
        if run_view.state is RunState.STARTING and job is not None:
            self.state.avoidance.record_failure(job, run_view.run.task, view, now_ms)
        self.state.stop_run(view, run_view, "unanswered")

    def _start_waiting_steps(self, now_ms: int, continues: bool) -> None:
        self._update_start_order(now_ms)
        waiting = self.state.waiting_steps
        waiting.readmit()
        largest_free_cpu = self.state.free_capacity.largest_free_cpu()
        if largest_free_cpu is None:
            return
        self.reservations.begin_pass()
        if continues:
            self.reservations.forget_missing_jobs()
        else:
            self._update_reservations(now_ms)
        starts = waiting.begin_pass(largest_free_cpu)
        while not self.is_cut and (head := starts.next_head()) is not None:
            self._try_step_alone(starts, head, now_ms)
        starts.finish()

    def _try_step_alone(
        self, starts: StartPass | FairPass, head: StartHead | FairHead, now_ms: int
    ) -> None:
        """Try to start the tasks of a step; an unexpected error costs its job alone.

        Otherwise the owner would end, and each later owner with the same job.
        """
        try:
            self._try_step(starts, head, now_ms)
        except RunNumbersUsedUp:
            # It concerns the owner: only the next one has further numbers.
            raise
        except Exception as error:
            self._set_aside(self.state.jobs[head.key.job], error, now_ms)
            starts.skip(head)

    def _set_aside(self, job: JobView, error: Exception, now_ms: int) -> None:
        """Leave a job out of the plans for some time."""
        job.set_aside_until_ms = now_ms + SET_ASIDE_MS
        self.state.mark_changed(job)
        self.state.metrics.jobs_set_aside.labels(self.state.pool).inc()
        log_warning(
            "job_set_aside",
            job=job.spec.id,
            pool=self.state.pool,
            generation=self.state.generation,
            error=repr(error),
            trace=format_error(error),
        )

    def _try_step(
        self, starts: StartPass | FairPass, head: StartHead | FairHead, now_ms: int
    ) -> None:
        """Start the tasks of a step that fit, and go on with the pass."""
        waiting = self.state.waiting_steps
        job = self.state.jobs[head.key.job]
        step_id = head.key.step_id()
        is_set_aside = now_ms < job.set_aside_until_ms
        if is_set_aside or not self.reservations.may_try(job, step_id):
            starts.skip(head)
            return
        step_try = StepTry(job, step_id, now_ms)
        result = self._start_step(step_try, starts.tasks_per_turn)
        for opened in self.state.open_ahead(job, now_ms):
            added = waiting.open_step(job, opened, now_ms)
            if added is not None:
                starts.add(added, head)
        match result:
            case StepResult.STARTED:
                self.wait_log.reasons.forget_step(step_id)
                self.state.racks.waits.forget_step(step_id)
                starts.advance(head)
            case StepResult.TURN_OVER:
                starts.put_back(head)
            # The fair order is in use from the next plan on; until then a refused step
            # ends its requirement for this pass.
            case StepResult.REFUSED if waiting.fair is not None:
                self._refuse(head.key, now_ms)
                starts.put_back(head)
            case StepResult.NO_ROOM:
                if not self.is_cut:
                    self.wait_log.note(job, step_id, step_try.wait_reason(), now_ms)
                self.state.quota.note_no_room(job.spec.organisation)
                tasks = len(job.waiting_tasks[step_id])
                self.state.speeds.note_no_room(job, step_id.step, tasks)
                if self._may_try_next(step_try):
                    starts.skip(head)

    def _may_try_next(self, step_try: StepTry) -> bool:
        """Return whether a step with a requirement equal to that of one may start."""
        step_id = step_try.step_id
        may_try_shorter = (
            step_try.is_refused
            and self.reservations.may_try_shorter(step_id)
            and self.state.waiting_steps.has_shorter_step(step_id)
        )
        may_try_slow = step_try.waits_for_faster and self.state.speeds.may_try_next()
        return bool(may_try_shorter or may_try_slow or step_try.rack_waits)

    def _update_reservations(self, now_ms: int) -> None:
        """Reserve targets for the first steps, but for those that the quota refuses."""
        refused = self.reservations.update(now_ms)
        if self.state.waiting_steps.fair is not None:
            for key in refused:
                self._refuse(key, now_ms)

    def _refuse(self, key: StartKey, now_ms: int) -> None:
        """Leave out a step until the quota may admit it, and report its demand."""
        job = self.state.jobs[key.job]
        self.wait_log.note(job, key.step_id(), WaitReason.QUOTA, now_ms)
        spec = job.spec
        need = spec.steps[key.step].start_need()
        self.state.quota.note_refused_turn(spec.organisation, need)
        self.state.waiting_steps.refuse(key, need)

    def _update_start_order(self, now_ms: int) -> None:
        """Update the order of the waiting steps."""
        waiting = self.state.waiting_steps
        changed = self.state.changed_jobs | waiting.take_worsened(now_ms)
        jobs = self.state.jobs
        changed |= self.state.fairness.prepare_plan(
            (jobs[job_id] for job_id in tuple(changed) if job_id in jobs), now_ms
        )
        self.state.changed_jobs.clear()
        for job_id in changed:
            job = self.state.jobs.get(job_id)
            if job is None:
                waiting.forget_job(job_id)
                self.wait_log.reasons.forget_job(job_id)
                self.state.racks.waits.forget_job(job_id)
            else:
                self.state.open_ahead(job, now_ms)
                waiting.update_job(job, now_ms)
        for job_id in self.state.fairness.promote_starved(now_ms):
            waiting.update_job(jobs[job_id], now_ms)

    def _start_step(self, step_try: StepTry, max_starts: int | None) -> StepResult:
        """Start the tasks of a step that fit, at most some of them.

        Parameters
        ----------
        max_starts : int or None
            Maximum number of tasks to start, None for all.
        """
        if step_try.step().is_gang:
            return self._start_gang(step_try)
        job, step_id = step_try.job, step_try.step_id
        is_final = job.is_final()
        starts = 0
        for index in job.waiting_tasks[step_id]:
            if self.starts_left <= 0:
                self.is_cut = True
                return StepResult.NO_ROOM
            if starts == max_starts:
                return StepResult.TURN_OVER
            task = step_id.task(index)
            is_startable = not is_final and job.is_unplaced(task)
            if is_startable and not self._is_within_quota(step_try):
                return StepResult.REFUSED
            rack_waits = step_try.rack_waits
            if is_startable and not self._start_task(step_try, task):
                if job.has_failed_somewhere(task) or step_try.rack_waits > rack_waits:
                    # Other tasks may start on the targets where this one failed, or
                    # elsewhere than on a rack for which this one waits.
                    continue
                return StepResult.NO_ROOM
            starts += is_startable
            job.remove_waiting(task)
            self.state.mark_changed(job)
        return StepResult.NO_ROOM if step_try.rack_waits else StepResult.STARTED

    def _start_task(self, step_try: StepTry, task: TaskId) -> bool:
        """Start a task if a target has capacity for it; return whether one has."""
        view = self.start_targets.choose(step_try, task)
        if view is None:
            return False
        run = Run(task, self._next_run_number(step_try.job, [task]))
        self.start_run(step_try.job, run, view, step_try.now_ms)
        return True

    def start_run(self, job: JobView, run: Run, view: TargetView, now_ms: int) -> None:
        """Start a run on a target that has capacity for it."""
        self._reserve_capacity(job, run, view, now_ms)
        self._order_start(job, run, view, now_ms)

    def _is_within_quota(self, step_try: StepTry) -> bool:
        """Return whether its organisation may start a task, or the gang, of a step."""
        organisation = step_try.job.spec.organisation
        need = step_try.step().start_need()
        return self.state.quota.request_start(organisation, need)

    def _start_gang(self, step_try: StepTry) -> StepResult:
        """Start all tasks of a gang, or none while not all of them fit."""
        if self.starts_left <= 0:
            self.is_cut = True
            return StepResult.NO_ROOM
        job, step_id, now_ms = step_try.job, step_try.step_id, step_try.now_ms
        step = step_try.step()
        if len(job.waiting_tasks.indices(step_id)) < step.count:
            return StepResult.STARTED
        if not self._is_within_quota(step_try):
            return StepResult.REFUSED
        for rack in self.start_targets.gang_racks(step_try):
            step_try.only_rack = rack
            reserved = self._reserve_gang(step_try)
            if reserved is not None:
                break
        else:
            return StepResult.NO_ROOM
        for run, view in reserved:
            self._order_start(job, run, view, now_ms)
        self.state.mark_changed(job)
        job.remove_waiting_step(step_id)
        return StepResult.STARTED

    def _reserve_gang(self, step_try: StepTry) -> list[tuple[Run, TargetView]] | None:
        """Reserve capacity for all tasks of a gang, None if they do not all fit."""
        job, step = step_try.job, step_try.step()
        if not self.state.free_capacity.may_fit_together(step):
            return None
        tasks = [step_try.step_id.task(index) for index in range(step.count)]
        if not all(self.state.may_start(job, task) for task in tasks):
            return None
        number = self._next_run_number(job, tasks)
        reserved: list[tuple[Run, TargetView]] = []
        is_whole = False
        try:
            for task in tasks:
                view = self.start_targets.choose(step_try, task)
                if view is None:
                    return None
                run = Run(task, number)
                self._reserve_capacity(job, run, view, step_try.now_ms)
                reserved.append((run, view))
            is_whole = True
        finally:
            if not is_whole:
                for run, reserved_view in reserved:
                    self.state.remove_run(reserved_view, run)
        return reserved

    def _next_run_number(self, job: JobView, tasks: list[TaskId]) -> int:
        """Return a run number higher than all numbers used for some tasks."""
        known = max(map(job.last_run_number, tasks))
        step = job.spec.steps[tasks[0].step]
        return next_number(step, self.state.generation, known)

    def _reserve_capacity(
        self, job: JobView, run: Run, view: TargetView, now_ms: int
    ) -> None:
        """Reserve capacity on a target for a run that is about to start."""
        self.reservations.begin_start(view.life, now_ms)
        self.state.place_run(
            view,
            RunView(
                run,
                job.spec.steps[run.task.step].counted_need(),
                RunState.STARTING,
                started_ms=now_ms,
                is_lasting=self.state.is_lasting_task(job, run.task),
            ),
        )

    def _order_start(
        self, job: JobView, run: Run, view: TargetView, now_ms: int
    ) -> None:
        """Order the start of a run whose capacity is reserved."""
        self.starts_left -= 1
        task_view = job.task(run.task)
        job.times.note_start_ordered(
            run.task.step_id(), not task_view.last_run_number, now_ms
        )
        task_view.last_run_number = run.number
        task_view.placements[run] = view.life
        waited_ms = now_ms - job.arrived_ms
        self.state.metrics.record_start(self.state.pool, not job.has_started, waited_ms)
        job.has_started = True
        self.state.racks.note_start(job, view, view.runs[run])
        fairness = self.state.fairness
        self.state.changed_jobs |= fairness.note_start(job, now_ms)
        organisation = job.spec.organisation
        log_event(
            "run_start",
            run=run_name(run),
            pool=self.state.pool,
            target=view.life.name,
            generation=self.state.generation,
            row_version=job.version,
            report_age_ms=now_ms - view.reported_ms,
            free_cpu=view.free().cpu,
            waited_ms=waited_ms,
            organisation=organisation or None,
            share=fairness.log_share(organisation),
            is_beyond_rate=job.is_beyond_rate,
            is_filling=job.spec.steps[run.task.step].is_filling,
        )
        checkpoint = job.checkpoint(run.task).value
        view.runs[run].resumed_from = checkpoint
        order = StartOrder(run, job.spec.spec, checkpoint)
        self.state.orders.append(TargetOrder(view.life, order))
