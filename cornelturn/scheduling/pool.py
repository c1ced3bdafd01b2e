"""Decisions of the owner of a pool: what runs where, and what has ended.

No sockets: events come in with the time, orders come out as data. The work that
this answers is a pool whose targets do not guard their own capacity.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelturn.events.log import log_event, log_warning
from cornelturn.jobs.model import (
    EndKind,
    Need,
    Run,
    RunEnd,
    Step,
    StepId,
    TaskId,
)
from cornelturn.jobs.rows import JobRow, encode_job
from cornelturn.model.routes import JobQueue
from cornelturn.placement.room import Candidate, choose_target
from cornelturn.scheduling.views import (
    Contact,
    JobView,
    PendingEnd,
    RunState,
    RunView,
    TargetView,
)
from cornelturn.store.rows import ABSENT, Put
from cornelturn.targets.model import (
    Carried,
    Declined,
    ListedTarget,
    Order,
    OrderResult,
    OtherLife,
    PaceOrder,
    StartOrder,
    StopOrder,
    TargetLife,
    TargetReport,
    Unanswered,
)

RUNS_A_GENERATION = 1_000
"""Run numbers of a task that each owner may use, so that they rise over owners."""

MAX_TRIES = 2
"""Starts without an answer before the run is barred and goes elsewhere."""

RETRY_MS = 150
"""Pause before an order without an answer is repeated."""

FAILURES_TO_AVOID = 3
"""Failed runs in a row, of several jobs, after which a target is avoided."""

AVOID_MS = 6_000
"""How long a target is avoided; as long as usual disturbances last."""

MAX_FINISHED = 50_000
"""Jobs that are over and remembered: far more than end within the history that the
store shows."""

STALL_MS = 1_500
"""Time without progress after which a batch run is taken for stuck."""


@dataclass(frozen=True, slots=True)
class GiveOrder:
    """An order for a target."""

    life: TargetLife
    order: Order


@dataclass(frozen=True, slots=True)
class JobWrite:
    """A row to write, with the count of changes that it holds."""

    job: str
    put: Put
    changes: int


@dataclass(slots=True)
class PoolScheduler:
    """The state of one pool.

    Parameters
    ----------
    pool : str
        Name of the pool.
    generation : int
        Number of this ownership, from 1; also the fencing token.
    unix_offset_ms : int
        Unix time less the owner's clock.
    finished : dict
        Version of the row of each job that is over; the history of the store also
        shows the versions before.
    """

    pool: str
    generation: int
    targets: dict[TargetLife, TargetView] = field(default_factory=dict)
    jobs: dict[str, JobView] = field(default_factory=dict)
    orders: list[GiveOrder] = field(default_factory=list)
    retries: list[tuple[int, TargetLife, Run]] = field(default_factory=list)
    finished: dict[str, int] = field(default_factory=dict)
    reports: dict[TargetLife, tuple[TargetReport, int]] = field(default_factory=dict)
    unix_offset_ms: int = 0
    is_loaded: bool = False
    is_fenced: bool = False

    # Targets

    def list_targets(self, listed: Iterable[ListedTarget], now_ms: int) -> None:
        """Take in the targets of the pool as the list shows them."""
        found = {one.life: one for one in listed}
        for life, target in found.items():
            view = self.targets.get(life)
            if view is None:
                self.targets[life] = TargetView(target)
                continue
            if target.is_draining and not view.listed.is_draining:
                log_event("target_draining", pool=self.pool, target=life.name)
            view.listed = target
            view.is_listed = True
        newest = {life.name: life for life in sorted(found)}
        for life, view in list(self.targets.items()):
            view.is_listed = life in found
            later = newest.get(life.name)
            if later is not None and later.born_ms > life.born_ms:
                self.end_life(life, "restarted", now_ms)

    def end_life(self, life: TargetLife, reason: str, now_ms: int) -> None:
        """Forget a life of a target that runs nothing any more."""
        view = self.targets.pop(life, None)
        if view is None:
            return
        log_event(
            "target_gone",
            pool=self.pool,
            target=life.name,
            reason=reason,
            runs=len(view.runs),
        )
        for run in list(view.runs):
            self._release(view, run)

    def contact_lost(self, life: TargetLife, lapsed_ms: int) -> None:
        """Note that a target does not answer."""
        view = self.targets.get(life)
        if view is None:
            return
        view.lapsed_ms = lapsed_ms
        if view.contact is not Contact.SILENT:
            view.contact = Contact.SILENT
            log_warning("target_silent", pool=self.pool, target=life.name)

    def lapse(self, now_ms: int) -> None:
        """Take back the tasks of silent targets whose leases have lapsed."""
        for life, view in list(self.targets.items()):
            if view.contact is not Contact.SILENT or view.lapsed_ms is None:
                continue
            if now_ms < view.lapsed_ms:
                continue
            if not view.is_listed:
                self.end_life(life, "lapsed", now_ms)
                continue
            for run in list(view.runs):
                log_event("run_lapsed", run=run_name(run), target=life.name)
                self._release(view, run)

    # Jobs

    def add_job(
        self,
        key: str,
        row: JobRow,
        version: int,
        queue: JobQueue,
        now_ms: int,
        may_have_run: bool = False,
    ) -> None:
        """Take in the row of a job, new or changed by somebody else.

        Parameters
        ----------
        may_have_run : bool
            Whether an earlier owner may still run tasks of it, unseen.
        """
        spec = row.spec
        job = self.jobs.get(spec.id)
        if job is None:
            if version <= self.finished.get(spec.id, ABSENT):
                return
            state = row.progress.state(spec)
            if state.is_final() and not self._has_runs(spec.id):
                self._remember_finished(spec.id, version)
                return
            job = JobView(key, spec, row.progress, version, queue, now_ms)
            job.is_blocked = may_have_run
            self.jobs[spec.id] = job
            self._adopt_needs(job)
        elif version > job.version:
            job.version = version
            job.progress.merge(row.progress)
        self._refresh(job, now_ms)

    def load(self, now_ms: int) -> None:
        """Note that all rows are known, and take in the reports kept so far."""
        self.is_loaded = True
        early, self.reports = self.reports, {}
        for report, sent_ms in early.values():
            self.report(report, sent_ms, now_ms)

    def unblock(self) -> None:
        """Note that no run of an earlier owner can go on unseen."""
        for job in self.jobs.values():
            job.is_blocked = False

    def cancel(self, job: JobView, now_ms: int) -> None:
        """Note that the caller has cancelled a job."""
        job.progress.is_cancelled = True
        self._refresh(job, now_ms)

    def writes(self) -> list[JobWrite]:
        """Return the rows that lack a change; each is on its way until settled."""
        found: list[JobWrite] = []
        for job in self.jobs.values():
            if job.is_dirty():
                job.is_writing = True
                text = encode_job(JobRow(job.spec, job.progress))
                put = Put(job.key, text, job.version)
                found.append(JobWrite(job.spec.id, put, job.changes))
        return found

    def written(self, write: JobWrite, version: int, now_ms: int) -> None:
        """Note that a row holds the changes up to a count."""
        job = self.jobs.get(write.job)
        if job is None:
            return
        job.is_writing = False
        job.version = max(job.version, version)
        job.written = max(job.written, write.changes)
        if job.progress.state(job.spec).is_final():
            self._finish(job)

    def not_written(
        self, write: JobWrite, row: JobRow | None, version: int, now_ms: int
    ) -> None:
        """Note that a commit failed, with the row as the store has it, if known."""
        job = self.jobs.get(write.job)
        if job is None:
            return
        job.is_writing = False
        if row is not None:
            job.version = version
            job.progress.merge(row.progress)
            self._refresh(job, now_ms)

    # Reports and answers

    def report(self, report: TargetReport, sent_ms: int, now_ms: int) -> None:
        """Take in what a target runs and what has ended there.

        Parameters
        ----------
        sent_ms : int
            When the report was asked for.
        """
        view = self.targets.get(report.life)
        if view is None:
            return
        if view.contact is not Contact.REACHABLE:
            log_event("target_reachable", pool=self.pool, target=report.life.name)
            view.contact = Contact.REACHABLE
            view.lapsed_ms = None
        if not self.is_loaded:
            self.reports[report.life] = (report, sent_ms)
            return
        for end in report.ended:
            if end.sequence > view.seen:
                self._end(view, end, now_ms)
                view.seen = end.sequence
        active = {one.run for one in report.active}
        for one in report.active:
            known = view.runs.get(one.run)
            if known is None:
                known = self._adopt(view, one.run, now_ms)
            if known.state is RunState.STARTING:
                known.state = RunState.ACTIVE
                known.settled_ms = now_ms
            if one.percent != known.percent:
                known.moved_ms = now_ms
            known.percent = one.percent
            known.load = one.load
            known.checkpoint = one.checkpoint
        self._drop_missing(view, active, sent_ms)

    def settle(
        self, life: TargetLife, order: Order, result: OrderResult, now_ms: int
    ) -> None:
        """Take in the answer to an order."""
        view = self.targets.get(life)
        known = view.runs.get(order.run) if view is not None else None
        match result:
            case Declined("fence"):
                self.is_fenced = True
            case OtherLife():
                self.end_life(life, "other_life", now_ms)
            case _ if known is None or isinstance(order, PaceOrder):
                return
            case Carried():
                known.settled_ms = now_ms
                known.tries = 0
                if known.state is RunState.STARTING and isinstance(order, StartOrder):
                    known.state = RunState.ACTIVE
                    known.moved_ms = now_ms
            case Declined(reason):
                self._declined(view, known, order, reason, now_ms)
            case Unanswered(was_sent=False) if (
                isinstance(order, StartOrder) and known.tries == 0
            ):
                self._release(view, order.run)
            case Unanswered():
                known.tries += 1
                self.retries.append((now_ms + RETRY_MS, life, order.run))

    def forgettable(self, view: TargetView) -> int:
        """Return the last end that a target may forget."""
        while view.pending:
            end = view.pending[0]
            job = self.jobs.get(end.job)
            if job is not None and job.written < end.change:
                break
            view.forgotten = end.sequence
            view.pending.popleft()
        return view.forgotten

    # Planning

    def plan(self, now_ms: int) -> list[GiveOrder]:
        """Return the orders that are due."""
        if self.is_loaded and not self.is_fenced:
            self._open_occurrences(now_ms)
            self._repeat(now_ms)
            self._evacuate(now_ms)
            self._stop_stalled(now_ms)
            self._start_waiting(now_ms)
        found, self.orders = self.orders, []
        return found

    def _open_occurrences(self, now_ms: int) -> None:
        for job in list(self.jobs.values()):
            if job.spec.recurrence is not None:
                self._refresh(job, now_ms)

    def _start_waiting(self, now_ms: int) -> None:
        waiting = [
            job for job in self.jobs.values() if job.waiting and not job.is_blocked
        ]
        waiting.sort(key=lambda job: self._order(job, now_ms))
        candidates = [view for view in self.targets.values() if view.takes_work()]
        if not candidates:
            return
        for job in waiting:
            for step_id in sorted(job.waiting):
                self._start_step(job, step_id, candidates, now_ms)

    def _order(self, job: JobView, now_ms: int) -> tuple[int, bool, int, str]:
        due_ms = job.due_ms()
        return job.queue.priority, due_ms < now_ms, due_ms, job.spec.id

    def _start_step(
        self,
        job: JobView,
        step_id: StepId,
        targets: list[TargetView],
        now_ms: int,
    ) -> None:
        step = job.spec.steps[step_id.step]
        indices = job.waiting[step_id]
        if step.is_gang:
            self._start_gang(job, step_id, targets, now_ms)
            return
        for index in sorted(indices):
            task = step_id.task(index)
            if not self._is_wanted(job, task):
                indices.discard(index)
                continue
            view = self._choose(job, step, task, targets, now_ms)
            if view is None:
                break
            indices.discard(index)
            run = Run(task, self._next_number(job, [task]))
            self._reserve(job, run, view, now_ms)
            self._start(job, run, view, now_ms)
        if not indices:
            del job.waiting[step_id]

    def _start_gang(
        self,
        job: JobView,
        step_id: StepId,
        targets: list[TargetView],
        now_ms: int,
    ) -> None:
        """Start all tasks of a step, or none while there is not room for all."""
        step = job.spec.steps[step_id.step]
        tasks = [step_id.task(index) for index in range(step.count)]
        if job.progress.is_step_done(job.spec, step_id.occurrence, step_id.step):
            del job.waiting[step_id]
            return
        if not all(self._is_wanted(job, task) for task in tasks):
            return
        number = self._next_number(job, tasks)
        reserved: list[tuple[Run, TargetView]] = []
        for task in tasks:
            view = self._choose(job, step, task, targets, now_ms)
            if view is None:
                for run, taken in reserved:
                    taken.remove(run)
                return
            run = Run(task, number)
            self._reserve(job, run, view, now_ms)
            reserved.append((run, view))
        for run, view in reserved:
            self._start(job, run, view, now_ms)
        del job.waiting[step_id]

    def _choose(
        self,
        job: JobView,
        step: Step,
        task: TaskId,
        targets: list[TargetView],
        now_ms: int,
    ) -> TargetView | None:
        failed_on = job.task(task).failed_on
        step_id = task.step_id()
        is_counted = bool(step.max_per_target) or step.is_lasting
        candidates = [
            Candidate(
                view.life.name,
                view.listed.rack,
                view.listed.labels,
                view.free(),
                view.count_of_step(step_id) if is_counted else 0,
                view.avoided_until_ms > now_ms or view.life.name in failed_on,
            )
            for view in targets
        ]
        name = choose_target(step, candidates)
        return next((view for view in targets if view.life.name == name), None)

    def _next_number(self, job: JobView, tasks: list[TaskId]) -> int:
        """Return a run number above all that were used for some tasks."""
        base = (self.generation - 1) * RUNS_A_GENERATION
        return max(base, *(job.task(task).number for task in tasks)) + 1

    def _reserve(self, job: JobView, run: Run, view: TargetView, now_ms: int) -> None:
        """Take room for a run that is about to start."""
        view.add(
            RunView(
                run,
                job.spec.steps[run.task.step].counted_need(),
                RunState.STARTING,
                started_ms=now_ms,
                moved_ms=now_ms,
            )
        )

    def _start(self, job: JobView, run: Run, view: TargetView, now_ms: int) -> None:
        """Order the start of a run whose room is reserved."""
        known = job.task(run.task)
        known.number = run.number
        known.places[run] = view.life
        job.has_begun = True
        log_event(
            "run_start",
            run=run_name(run),
            pool=self.pool,
            target=view.life.name,
            free_cpu=view.free().cpu,
            waited_ms=now_ms - job.arrived_ms,
        )
        order = StartOrder(run, job.spec.spec, known.checkpoint)
        self.orders.append(GiveOrder(view.life, order))

    def _repeat(self, now_ms: int) -> None:
        due = [one for one in self.retries if one[0] <= now_ms]
        if not due:
            return
        self.retries = [one for one in self.retries if one[0] > now_ms]
        for _, life, run in due:
            view = self.targets.get(life)
            known = view.runs.get(run) if view is not None else None
            if known is None or known.settled_ms is not None:
                continue
            if view.contact is Contact.SILENT:
                # A start would renew the lease that is to lapse.
                self.retries.append((now_ms + RETRY_MS, life, run))
                continue
            job = self.jobs.get(run.task.job)
            if known.state is RunState.STARTING and known.tries < MAX_TRIES and job:
                checkpoint = job.task(run.task).checkpoint
                order = StartOrder(run, job.spec.spec, checkpoint)
                self.orders.append(GiveOrder(life, order))
            else:
                self._stop(view, known, "unanswered")

    def _evacuate(self, now_ms: int) -> None:
        """Move the tasks of leaving targets, within what their steps allow."""
        for view in self.targets.values():
            if not (view.is_cordoned or view.listed.is_draining):
                continue
            for known in list(view.runs.values()):
                if known.state is RunState.ACTIVE and self._may_move(view, known):
                    known.planned_stop = True
                    self._stop(view, known, "evacuated")

    def _may_move(self, view: TargetView, known: RunView) -> bool:
        job = self.jobs.get(known.run.task.job)
        if job is None:
            return True
        step = job.spec.steps[known.run.task.step]
        if step.is_lasting and view.listed.is_draining:
            return True
        if step.is_lasting:
            return self._away(job, known.run.task.step_id()) < max(
                1, step.max_unavailable
            )
        return step.is_checkpointing and not step.is_gang

    def _away(self, job: JobView, step_id: StepId) -> int:
        """Return how many tasks of a lasting step are not at work."""
        count = job.spec.steps[step_id.step].count
        at_work = 0
        for index in range(count):
            task = step_id.task(index)
            at_work += any(
                self._is_at_work(run, life)
                for run, life in job.task(task).places.items()
            )
        return count - at_work

    def _is_at_work(self, run: Run, life: TargetLife) -> bool:
        view = self.targets.get(life)
        known = view.runs.get(run) if view is not None else None
        if known is None or view.contact is not Contact.REACHABLE:
            return False
        return known.state is RunState.ACTIVE and known.percent >= 100

    def _stop_stalled(self, now_ms: int) -> None:
        """Move batch runs that make no progress while their target answers."""
        for view in self.targets.values():
            if view.contact is not Contact.REACHABLE:
                continue
            for known in list(view.runs.values()):
                if known.state is not RunState.ACTIVE:
                    continue
                if now_ms - known.moved_ms < STALL_MS:
                    continue
                job = self.jobs.get(known.run.task.job)
                if job is None:
                    continue
                step = job.spec.steps[known.run.task.step]
                if step.is_lasting or step.is_gang:
                    continue
                job.task(known.run.task).failed_on.add(view.life.name)
                self._note_failure(view, now_ms)
                self._stop(view, known, "stalled")

    # Details

    def _end(self, view: TargetView, end: RunEnd, now_ms: int) -> None:
        job = self.jobs.get(end.run.task.job)
        log_event(
            "run_end",
            run=run_name(end.run),
            pool=self.pool,
            target=view.life.name,
            how=end.kind,
            sequence=end.sequence,
        )
        if job is None:
            view.remove(end.run)
            view.pending.append(PendingEnd(end.sequence, end.run.task.job, 0))
            return
        task = job.task(end.run.task)
        task.number = max(task.number, end.run.number)
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        self._note_end(view, job, end, now_ms)
        view.pending.append(PendingEnd(end.sequence, job.spec.id, job.changes))
        self._release(view, end.run)
        self._refresh(job, now_ms)

    def _note_end(
        self, view: TargetView, job: JobView, end: RunEnd, now_ms: int
    ) -> None:
        step = job.spec.steps[end.run.task.step]
        match end.kind:
            case EndKind.DONE if not step.is_lasting:
                view.failures = 0
                if step.is_gang:
                    job.progress.add_step_done(end.run.task.step_id(), step.count)
                    job.changes += 1
                elif job.progress.add_done(end.run.task):
                    job.changes += 1
            case EndKind.FAILED:
                job.task(end.run.task).failed_on.add(view.life.name)
                self._note_failure(view, now_ms)
                if step.is_lasting:
                    return
                task = end.run.task
                counted = task.step_id().task(0) if step.is_gang else task
                failed = job.progress.add_failed(counted, end.run.number)
                job.changes += 1
                if failed >= job.queue.max_attempts:
                    job.progress.is_failed = True
            case _:
                return

    def _note_failure(self, view: TargetView, now_ms: int) -> None:
        view.failures += 1
        if view.failures >= FAILURES_TO_AVOID:
            view.avoided_until_ms = now_ms + AVOID_MS
            log_event("target_avoided", target=view.life.name, failures=view.failures)

    def _declined(
        self,
        view: TargetView,
        known: RunView,
        order: Order,
        reason: str,
        now_ms: int,
    ) -> None:
        log_event("declined", run=run_name(order.run), reason=reason)
        match order, reason:
            case StartOrder(), "old":
                # It has run here; its end is listed, or it was barred.
                known.state = RunState.STOPPING
                known.settled_ms = now_ms
            case StartOrder(), "late":
                known.tries += 1
                self.retries.append((now_ms, view.life, order.run))
            case StartOrder(), _:
                view.avoided_until_ms = now_ms + RETRY_MS
                self._release(view, order.run)
            case _:
                known.tries += 1
                self.retries.append((now_ms + RETRY_MS, view.life, order.run))

    def _drop_missing(self, view: TargetView, active: set[Run], sent_ms: int) -> None:
        """Release runs that a report asked for after their answer does not list."""
        for run, known in list(view.runs.items()):
            if run in active or known.settled_ms is None:
                continue
            if sent_ms > known.settled_ms:
                log_event("run_missing", run=run_name(run), target=view.life.name)
                self._release(view, run)

    def _adopt(self, view: TargetView, run: Run, now_ms: int) -> RunView:
        """Take over a run that an earlier owner started, or stop a stray one."""
        job = self.jobs.get(run.task.job)
        # What a run of an unknown job holds is not known: it may be everything.
        need = self._need(job, run.task) if job else view.listed.capacity
        known = RunView(
            run,
            need,
            RunState.ACTIVE,
            settled_ms=now_ms,
            started_ms=now_ms,
            moved_ms=now_ms,
        )
        view.add(known)
        is_wanted = job is not None and self._is_wanted(job, run.task)
        if not is_wanted:
            self._stop(view, known, "stray")
            return known
        log_event("run_adopted", run=run_name(run), target=view.life.name)
        task = job.task(run.task)
        task.number = max(task.number, run.number)
        task.places[run] = view.life
        job.has_begun = True
        self._unwait(job, run.task)
        return known

    def _is_wanted(self, job: JobView, task: TaskId) -> bool:
        if job.progress.state(job.spec).is_final() or job.progress.is_done(task):
            return False
        return not job.task(task).places

    def _need(self, job: JobView, task: TaskId) -> Need:
        return job.spec.steps[task.step].counted_need()

    def _adopt_needs(self, job: JobView) -> None:
        """Count the room of runs that were seen before their job."""
        for view in self.targets.values():
            for run in [one for one in view.runs if one.task.job == job.spec.id]:
                known = view.remove(run)
                known.need = self._need(job, run.task)
                view.add(known)
                job.task(run.task).places[run] = view.life

    def _has_runs(self, job: str) -> bool:
        return any(
            run.task.job == job for view in self.targets.values() for run in view.runs
        )

    def _stop(self, view: TargetView, known: RunView, reason: str) -> None:
        log_event(
            "run_stop",
            run=run_name(known.run),
            target=view.life.name,
            reason=reason,
        )
        known.state = RunState.STOPPING
        known.settled_ms = None
        self.orders.append(GiveOrder(view.life, StopOrder(known.run)))

    def _release(self, view: TargetView, run: Run) -> None:
        """Give back the room of a run; its task waits again if it is not done."""
        known = view.remove(run)
        job = self.jobs.get(run.task.job)
        if job is None:
            return
        task = job.task(run.task)
        if known is not None and known.checkpoint and not task.checkpoint:
            task.checkpoint = known.checkpoint
        task.places.pop(run, None)
        self._wait(job, run.task)

    def _wait(self, job: JobView, task: TaskId) -> None:
        if job.progress.state(job.spec).is_final() or job.progress.is_done(task):
            return
        if not job.task(task).places and task.step_id() in job.opened:
            job.waiting.setdefault(task.step_id(), set()).add(task.index)

    def _unwait(self, job: JobView, task: TaskId) -> None:
        indices = job.waiting.get(task.step_id())
        if indices is not None:
            indices.discard(task.index)
            if not indices:
                del job.waiting[task.step_id()]

    def _refresh(self, job: JobView, now_ms: int) -> None:
        """Open steps, and end what a final job still has."""
        if job.progress.state(job.spec).is_final():
            job.waiting.clear()
            self._stop_all(job)
            self._finish(job)
            return
        for occurrence in range(self._due_occurrences(job, now_ms)):
            for number, step in enumerate(job.spec.steps):
                step_id = StepId(job.spec.id, occurrence, number)
                if step_id in job.opened:
                    continue
                if not job.progress.is_step_open(job.spec, occurrence, number):
                    continue
                job.opened.add(step_id)
                for index in range(step.count):
                    self._wait(job, step_id.task(index))

    def _due_occurrences(self, job: JobView, now_ms: int) -> int:
        """Return how many occurrences of a job are due."""
        recurrence = job.spec.recurrence
        if recurrence is None:
            return 1
        elapsed_ms = now_ms + self.unix_offset_ms - recurrence.first_due_ms
        if elapsed_ms < 0:
            return 0
        if recurrence.interval_ms <= 0:
            return recurrence.count
        return min(recurrence.count, elapsed_ms // recurrence.interval_ms + 1)

    def _stop_all(self, job: JobView) -> None:
        for task in job.tasks.values():
            for run, life in list(task.places.items()):
                view = self.targets.get(life)
                known = view.runs.get(run) if view is not None else None
                if known is not None and known.state is not RunState.STOPPING:
                    self._stop(view, known, "job_final")

    def _finish(self, job: JobView) -> None:
        """Forget a job that is final, written and has no runs."""
        if job.changes > job.written or self._has_runs(job.spec.id):
            return
        self._remember_finished(job.spec.id, job.version)
        if self.jobs.pop(job.spec.id, None) is not None:
            log_event(
                "job_final",
                job=job.spec.id,
                queue=job.spec.queue,
                state=job.progress.state(job.spec),
            )

    def _remember_finished(self, job: str, version: int) -> None:
        self.finished[job] = version
        if len(self.finished) > MAX_FINISHED:
            del self.finished[next(iter(self.finished))]

    def pending(self) -> dict[str, int]:
        """Return the jobs of each queue of which no task has started."""
        counts: dict[str, int] = {}
        for job in self.jobs.values():
            if not job.has_begun and job.spec.recurrence is None:
                counts[job.spec.queue] = counts.get(job.spec.queue, 0) + 1
        return counts


def run_name(run: Run) -> str:
    """Return how a run is named in logs."""
    return f"{run.task}#{run.number}"
