"""Updates the state of a pool from the reports and answers of its targets."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace

from cornelturn.events.log import log_event, log_warning
from cornelturn.jobs.model import EndKind, Run, RunEnd
from cornelturn.scheduling.adoption import RunAdoption
from cornelturn.scheduling.planner import RETRY_DELAY_MS
from cornelturn.scheduling.run_numbers import (
    is_of_earlier_owner,
    number_past_refusal,
)
from cornelturn.scheduling.run_records import note_checkpoint, note_run_number
from cornelturn.scheduling.state import EarlyEnd, PoolState, run_name
from cornelturn.scheduling.target_lives import end_life
from cornelturn.scheduling.target_view import PendingEnd, RunState, RunView, TargetView
from cornelturn.scheduling.views import JobView
from cornelturn.speed.pool_copies import PoolCopies
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

INCONCLUSIVE_REASONS = frozenset({"old", "late"})
"""Reasons of a declined start that do not show that the run has never begun."""


@dataclass(slots=True)
class ReportReader:
    """Processes reports, and answers to orders."""

    state: PoolState
    copies: PoolCopies
    adoption: RunAdoption

    def read_report(
        self, view: TargetView, report: TargetReport, sent_ms: int, now_ms: int
    ) -> None:
        """Process the active and ended runs that a target reports."""
        view.reported_ms = sent_ms
        view.clock_ms = report.clock_ms
        self.state.reported_targets[view.life] = None
        self._read_ends(view, report.ended, now_ms)
        for active_run in report.active:
            self._update_run(view, active_run, now_ms)
        view.is_partly_listed = not report.is_complete
        if report.is_complete:
            listed_runs = {active_run.run for active_run in report.active}
            self._release_missing(view, listed_runs, sent_ms, now_ms)

    def _read_ends(
        self, view: TargetView, ended: tuple[RunEnd, ...], now_ms: int
    ) -> None:
        for end in ended:
            if end.sequence <= view.read_sequence:
                continue
            view.read_sequence = end.sequence
            self._log_end(view, end)
            if self.state.may_be_unread(end.run.task.job):
                self._keep_early_end(view, end)
            else:
                self._handle_end(view, end, now_ms)

    def handle_order_result(
        self, life: TargetLife, order: Order, result: OrderResult, now_ms: int
    ) -> None:
        """Process the answer to an order."""
        view = self.state.targets.get(life)
        run_view = view.runs.get(order.run) if view is not None else None
        match result:
            case Declined("fence"):
                self.state.is_fenced = True
            case OtherLife():
                end_life(self.state, life, "other_life", now_ms)
            case _ if run_view is None or isinstance(order, PaceOrder):
                return
            case _ if isinstance(order, StartOrder) and (
                run_view.state is RunState.STOPPING
            ):
                self._handle_superseded_start(view, run_view, result, now_ms)
            case Executed():
                run_view.answered_ms = now_ms
                run_view.tries = 0
                if run_view.state is RunState.STARTING:
                    self._handle_started(run_view, now_ms)
            case Declined(reason):
                self._handle_declined(view, run_view, order, reason, now_ms)
            case Unanswered(was_sent=False) if (
                isinstance(order, StartOrder) and not run_view.is_in_doubt
            ):
                self.state.release_run(view, order.run, now_ms)
            case Unanswered(detail=detail, was_sent=was_sent):
                if isinstance(order, StartOrder):
                    self._note_unanswered_start(
                        view, run_view, detail, was_sent, now_ms
                    )
                run_view.tries += 1
                self.state.retries.append((now_ms + RETRY_DELAY_MS, life, order.run))

    def _handle_superseded_start(
        self, view: TargetView, run_view: RunView, result: OrderResult, now_ms: int
    ) -> None:
        """Process the outcome of a start after which the run was stopped.

        It says nothing about the stop, which stays pending until it is answered. Only
        a run that has certainly not begun needs none.
        """
        match result:
            case Declined(reason):
                log_event("declined", run=run_name(run_view.run), reason=reason)
                has_begun = reason in INCONCLUSIVE_REASONS or run_view.is_in_doubt
            case Unanswered(detail=detail, was_sent=was_sent):
                if was_sent:
                    self._note_unanswered_start(
                        view, run_view, detail, was_sent, now_ms
                    )
                has_begun = run_view.is_in_doubt
            case _:
                return
        if not has_begun:
            self.state.release_run(view, run_view.run, now_ms)

    def _note_unanswered_start(
        self,
        view: TargetView,
        run_view: RunView,
        detail: str,
        was_sent: bool,
        now_ms: int,
    ) -> None:
        """Record that a start has no answer; the target may still carry it out."""
        if not run_view.is_in_doubt:
            log_event(
                "start_unanswered",
                run=run_name(run_view.run),
                target=view.life.name,
                generation=self.state.generation,
                after_ms=now_ms - run_view.started_ms,
                detail=detail,
            )
        run_view.is_in_doubt |= was_sent

    def _handle_started(self, run_view: RunView, now_ms: int) -> None:
        took_ms = now_ms - run_view.started_ms
        self.state.metrics.record_order_answer(self.state.pool, took_ms)
        run_view.state = RunState.ACTIVE
        job = self.state.jobs.get(run_view.run.task.job)
        if job is not None:
            job.times.note_start_answered(now_ms)

    def _update_run(self, view: TargetView, active_run: ActiveRun, now_ms: int) -> None:
        run_view = view.runs.get(active_run.run)
        if run_view is None:
            run_view = self.adoption.adopt_listed(view, active_run.run, now_ms)
        run_view.note_checkpoint(active_run.checkpoint, now_ms)
        run_view.is_reported = True
        if run_view.state is RunState.STARTING:
            run_view.state = RunState.ACTIVE
            run_view.answered_ms = now_ms
        run_view.progress.note_pace(run_view.pace, view.clock_ms)
        running_ms = self._running_ms(run_view, now_ms)
        run_view.progress.note(active_run.percent, view.clock_ms, running_ms)
        run_view.percent = active_run.percent
        run_view.load = active_run.load
        job = self.state.jobs.get(run_view.run.task.job)
        self.state.speeds.note_progress(view, run_view, job, running_ms, now_ms)
        self.copies.note_report(view, run_view, job)

    def _running_ms(self, run_view: RunView, now_ms: int) -> int:
        """Return for how long a run has run from its beginning, 0 if not known.

        A run of an earlier owner may have begun long ago, and one that resumes from a
        checkpoint does not begin at 0 percent.
        """
        job = self.state.jobs.get(run_view.run.task.job)
        if job is None:
            return 0
        if is_of_earlier_owner(run_view.run.number, self.state.generation):
            return 0
        if job.checkpoint(run_view.run.task).value:
            return 0
        return now_ms - run_view.started_ms

    def _release_missing(
        self, view: TargetView, active: set[Run], sent_ms: int, now_ms: int
    ) -> None:
        """Release runs missing from a complete report, if it was requested after their
        last answer.
        """
        for run, run_view in list(view.runs.items()):
            if run in active or run_view.answered_ms is None:
                continue
            if sent_ms > run_view.answered_ms:
                log_event("run_missing", run=run_name(run), target=view.life.name)
                self.state.release_run(view, run, now_ms)

    def _keep_early_end(self, view: TargetView, end: RunEnd) -> None:
        """Keep an end until the row of its job is read; the target keeps it as well."""
        job_id = end.run.task.job
        self.state.remove_run(view, end.run)
        self.state.early_ends.setdefault(job_id, []).append(EarlyEnd(view, end))
        view.pending_ends.append(PendingEnd(end.sequence, job_id, change=None))

    def read_early_ends(self, job: JobView, now_ms: int) -> None:
        """Add the ends that were reported before the row of a new job was read."""
        early_ends = self.state.early_ends.pop(job.spec.id, ())
        for early in early_ends:
            self._record_end(early.view, job, early.end, now_ms)
        for view in {early.view.life: early.view for early in early_ends}.values():
            view.pending_ends = deque(
                replace(pending, change=job.changes)
                if pending.job == job.spec.id
                else pending
                for pending in view.pending_ends
            )

    def _log_end(self, view: TargetView, end: RunEnd) -> None:
        self.state.targets_with_ends.add(view.life)
        self.state.metrics.run_ends.labels(self.state.pool, end.kind).inc()
        log_event(
            "run_end",
            run=run_name(end.run),
            pool=self.state.pool,
            target=view.life.name,
            how=end.kind,
            sequence=end.sequence,
        )

    def _handle_end(self, view: TargetView, end: RunEnd, now_ms: int) -> None:
        job = self.state.jobs.get(end.run.task.job)
        if job is None:
            self.state.remove_run(view, end.run)
            view.pending_ends.append(PendingEnd(end.sequence, end.run.task.job, 0))
            return
        self.state.speeds.note_end(view, job, end, now_ms)
        self._count_work(view, job, end, now_ms)
        self._record_end(view, job, end, now_ms)
        self.copies.settle_end(job, end)
        view.pending_ends.append(PendingEnd(end.sequence, job.spec.id, job.changes))
        self.state.release_run(view, end.run, now_ms)
        ended = end.run.task
        self.state.refresh_job(job, now_ms, [(ended.occurrence, ended.step)])

    def _count_work(
        self, view: TargetView, job: JobView, end: RunEnd, now_ms: int
    ) -> None:
        """Count the work of a task that this owner has seen from its start to its end.

        Adopted and resumed runs are left out: only a part of their work was seen. So
        are filling runs, which use what others leave, at any pace.
        """
        run_view = view.runs.get(end.run)
        step = job.spec.steps[end.run.task.step]
        if (
            run_view is None
            or end.kind is not EndKind.DONE
            or step.is_lasting
            or step.is_filling
            or run_view.is_adopted
            or run_view.resumed_from
        ):
            return
        ran_ms = now_ms - run_view.started_ms
        self.state.ended_work.note_end(
            job.spec.queue_key(), step.need.cpu, ran_ms, step.estimated_ms
        )

    def _record_end(
        self, view: TargetView, job: JobView, end: RunEnd, now_ms: int
    ) -> None:
        """Add an end to the state of its job, which is then written."""
        job.times.last_end_ms = now_ms
        job.row_room.hold(end.run.task.step_id())
        generation = self.state.generation
        note_run_number(job, end.run, generation)
        note_checkpoint(job, end.run, end.checkpoint, generation, has_ended=True)
        self._update_progress(view, job, end, now_ms)
        self.state.mark_unwritten(job)

    def _update_progress(
        self, view: TargetView, job: JobView, end: RunEnd, now_ms: int
    ) -> None:
        step = job.spec.steps[end.run.task.step]
        match end.kind:
            case EndKind.DONE if not step.is_lasting:
                view.failed_jobs.clear()
                job.record_done(end.run.task)
            case EndKind.FAILED:
                self.state.avoidance.record_failure(job, end.run.task, view, now_ms)
                if step.is_lasting or not self.copies.counts_failure(job, end.run):
                    return
                counted = job.counted_task(end.run.task)
                failed = job.progress.add_failed(counted, end.run.number)
                job.changes += 1
                if job.queue is not None and failed >= job.queue.max_attempts:
                    job.progress.is_failed = True
            case _:
                return

    def _handle_declined(
        self,
        view: TargetView,
        run_view: RunView,
        order: Order,
        reason: str,
        now_ms: int,
    ) -> None:
        log_event("declined", run=run_name(order.run), reason=reason)
        match order, reason:
            case StartOrder(), "old":
                # The run has ended here and its end is listed, or a stop came first.
                if run_view.state is RunState.STARTING and not run_view.is_in_doubt:
                    self._leave_refused_numbers(view, order.run)
                run_view.state = RunState.STOPPING
                run_view.answered_ms = now_ms
            case StartOrder(), "late":
                run_view.tries += 1
                self.state.retries.append((now_ms, view.life, order.run))
            case StartOrder(ticket=ticket), "ticket" if ticket:
                # Other steps may still start there.
                self.state.advice.void(order.run.task.step_id(), view.life, now_ms)
                self._abandon_start(view, run_view, now_ms)
            case StartOrder(), _:
                view.declining_until_ms = now_ms + RETRY_DELAY_MS
                self._abandon_start(view, run_view, now_ms)
            case _:
                run_view.tries += 1
                self.state.retries.append(
                    (now_ms + RETRY_DELAY_MS, view.life, order.run)
                )

    def _leave_refused_numbers(self, view: TargetView, run: Run) -> None:
        """Go on with higher numbers, as a target has refused a run at its first start.

        It has ended or stopped a later run of the task, of which no owner knows.
        """
        job = self.state.jobs.get(run.task.job)
        if job is None:
            return
        log_warning("run_number_refused", run=run_name(run), target=view.life.name)
        task = job.task(run.task)
        past = number_past_refusal(self.state.generation)
        task.last_run_number = max(task.last_run_number, past)

    def _abandon_start(self, view: TargetView, run_view: RunView, now_ms: int) -> None:
        """Release a declined run, or stop it if an earlier start may be carried out."""
        if not run_view.is_in_doubt:
            self.state.release_run(view, run_view.run, now_ms)
        elif run_view.state is not RunState.STOPPING:
            self.state.stop_run(view, run_view, "declined")
