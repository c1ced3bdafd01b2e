"""What reports and answers of targets tell the owner of a pool."""

from __future__ import annotations

from dataclasses import dataclass

from cornelturn.events.log import log_event
from cornelturn.jobs.model import EndKind, Run, RunEnd
from cornelturn.scheduling.planner import RETRY_MS
from cornelturn.scheduling.state import PoolState, run_name
from cornelturn.scheduling.views import (
    JobView,
    PendingEnd,
    RunState,
    RunView,
    TargetView,
)
from cornelturn.targets.model import (
    ActiveRun,
    Declined,
    Executed,
    Order,
    OrderResult,
    OtherLife,
    PaceOrder,
    StartOrder,
    TargetLife,
    TargetReport,
    Unanswered,
)


@dataclass(slots=True)
class ReportReader:
    """Takes in reports and answers."""

    state: PoolState

    def read(
        self, view: TargetView, report: TargetReport, sent_ms: int, now_ms: int
    ) -> None:
        """Take in what a target runs and what has ended there."""
        view.reported_ms = sent_ms
        view.clock_ms = report.clock_ms
        self.state.reported[view.life] = None
        left = self._read_ends(view, report.ended, now_ms)
        for one in report.active:
            self._active(view, one, now_ms)
        listed = {one.run for one in (*left, *report.active)}
        self._drop_missing(view, listed, sent_ms, now_ms)

    def _read_ends(
        self, view: TargetView, ended: tuple[RunEnd, ...], now_ms: int
    ) -> tuple[RunEnd, ...]:
        """Take in the ends that are new; return those that are left for later.

        The row of a job may come after the report of a target that ran it for an
        earlier owner. The target lists that end, and those behind it, again.
        """
        new = [end for end in ended if end.sequence > view.seen]
        for count, end in enumerate(new):
            if self.state.may_be_unread(end.run.task.job):
                return tuple(new[count:])
            self._end(view, end, now_ms)
            view.seen = end.sequence
        return ()

    def settle(
        self, life: TargetLife, order: Order, result: OrderResult, now_ms: int
    ) -> None:
        """Take in the answer to an order."""
        view = self.state.targets.get(life)
        known = view.runs.get(order.run) if view is not None else None
        match result:
            case Declined("fence"):
                self.state.is_fenced = True
            case OtherLife():
                self.state.end_life(life, "other_life", now_ms)
            case _ if known is None or isinstance(order, PaceOrder):
                return
            case Executed():
                known.settled_ms = now_ms
                known.tries = 0
                if known.state is RunState.STARTING and isinstance(order, StartOrder):
                    self._started(known, now_ms)
            case Declined(reason):
                self._declined(view, known, order, reason, now_ms)
            case Unanswered(was_sent=False) if (
                isinstance(order, StartOrder) and not known.is_in_doubt
            ):
                self.state.release(view, order.run, now_ms)
            case Unanswered(was_sent=was_sent):
                known.tries += 1
                known.is_in_doubt |= was_sent and isinstance(order, StartOrder)
                self.state.retries.append((now_ms + RETRY_MS, life, order.run))

    def _started(self, known: RunView, now_ms: int) -> None:
        took_ms = now_ms - known.started_ms
        self.state.metrics.order_answered(self.state.pool, took_ms)
        known.state = RunState.ACTIVE
        job = self.state.jobs.get(known.run.task.job)
        if job is not None:
            job.times.answered(now_ms)

    def _active(self, view: TargetView, one: ActiveRun, now_ms: int) -> None:
        known = view.runs.get(one.run) or self._adopt(view, one.run, now_ms)
        if known.state is RunState.STARTING:
            known.state = RunState.ACTIVE
            known.settled_ms = now_ms
        if known.moved_ms is None or one.percent != known.percent:
            known.moved_ms = view.clock_ms
        known.percent = one.percent
        known.load = one.load
        known.checkpoint = one.checkpoint

    def _drop_missing(
        self, view: TargetView, active: set[Run], sent_ms: int, now_ms: int
    ) -> None:
        """Release runs that a report asked for after their answer does not list."""
        for run, known in list(view.runs.items()):
            if run in active or known.settled_ms is None:
                continue
            if sent_ms > known.settled_ms:
                log_event("run_missing", run=run_name(run), target=view.life.name)
                self.state.release(view, run, now_ms)

    def _adopt(self, view: TargetView, run: Run, now_ms: int) -> RunView:
        """Take over a run that an earlier owner started, or stop a stray one."""
        job = self.state.jobs.get(run.task.job)
        # What a run of an unknown job holds is not known: it may be everything.
        need = self.state.need(job, run.task) if job else view.listed.capacity
        known = RunView(
            run,
            need,
            RunState.ACTIVE,
            settled_ms=now_ms,
            started_ms=now_ms,
            is_lasting=job is not None and self.state.is_lasting(job, run.task),
        )
        self.state.hold(view, known)
        if self.state.may_be_unread(run.task.job):
            return known
        is_wanted = job is not None and self.state.is_wanted(job, run.task)
        if not is_wanted:
            self.state.stop(view, known, "stray")
            return known
        log_event("run_adopted", run=run_name(run), target=view.life.name)
        task = job.task(run.task)
        task.number = max(task.number, run.number)
        task.places[run] = view.life
        job.has_begun = True
        self.state.unwait(job, run.task)
        return known

    def _end(self, view: TargetView, end: RunEnd, now_ms: int) -> None:
        job = self.state.jobs.get(end.run.task.job)
        self.state.ended.add(view.life)
        self.state.metrics.ends.labels(self.state.pool, end.kind).inc()
        log_event(
            "run_end",
            run=run_name(end.run),
            pool=self.state.pool,
            target=view.life.name,
            how=end.kind,
            sequence=end.sequence,
        )
        if job is None:
            self.state.give_back(view, end.run)
            view.pending.append(PendingEnd(end.sequence, end.run.task.job, 0))
            return
        job.times.ended_ms = now_ms
        task = job.task(end.run.task)
        task.number = max(task.number, end.run.number)
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        self._note_end(view, job, end, now_ms)
        self.state.note_unwritten(job)
        view.pending.append(PendingEnd(end.sequence, job.spec.id, job.changes))
        self.state.release(view, end.run, now_ms)
        self.state.refresh(job, now_ms)

    def _note_end(
        self, view: TargetView, job: JobView, end: RunEnd, now_ms: int
    ) -> None:
        step = job.spec.steps[end.run.task.step]
        match end.kind:
            case EndKind.DONE if not step.is_lasting:
                view.failed_jobs.clear()
                if step.is_gang:
                    job.progress.add_step_done(end.run.task.step_id(), step.count)
                    job.changes += 1
                elif job.progress.add_done(end.run.task):
                    job.changes += 1
            case EndKind.FAILED:
                self.state.note_failure(view, end.run.task, now_ms)
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
                self.state.retries.append((now_ms, view.life, order.run))
            case StartOrder(), _:
                view.declining_until_ms = now_ms + RETRY_MS
                self._not_started(view, known, now_ms)
            case _:
                known.tries += 1
                self.state.retries.append((now_ms + RETRY_MS, view.life, order.run))

    def _not_started(self, view: TargetView, known: RunView, now_ms: int) -> None:
        """Give up a start that was declined, once no earlier try can be carried out."""
        if not known.is_in_doubt:
            self.state.release(view, known.run, now_ms)
        elif known.state is not RunState.STOPPING:
            self.state.stop(view, known, "declined")
