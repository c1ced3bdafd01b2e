"""Approval of targets in a pool: what to ask about next, and the tickets of starts."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from heapq import nsmallest
from typing import NamedTuple

from cornelturn.advice.knowledge import StepAdvice
from cornelturn.advice.messages import (
    ApprovalRequest,
    ApprovalSettled,
    Approved,
    Busy,
    Failed,
)
from cornelturn.advice.selection import (
    Option,
    choose_targets,
    max_names,
    renewal_ms,
    timeout_ms,
)
from cornelturn.events.log import log_event, log_warning
from cornelturn.jobs.model import Resources, Step, StepId
from cornelturn.scheduling.reservations import count_fitting
from cornelturn.scheduling.state import PoolState, TargetOrder
from cornelturn.scheduling.target_view import TargetView
from cornelturn.scheduling.views import JobView
from cornelturn.targets.model import StartOrder, TargetLife

RECHECK_MS = 100
"""Interval at which a step with sufficient tickets is looked at again."""

MAX_EXAMINED_STEPS = 20
"""Most steps whose targets are examined at once, so that a burst does not hold up the
owner; each takes a look at all targets of the pool."""


class Urgency(NamedTuple):
    """Sort key of a step to ask about: those that cannot start at all come first.

    Parameters
    ----------
    rank : int
        0 for a waiting step without a ticket, 1 for a step that will open soon, 2 for
        a waiting step that has tickets.
    """

    rank: int
    priority: int
    arrived_ms: int
    step: StepId


@dataclass(slots=True)
class PoolApprovals:
    """Decides about requests for approval, and adds tickets to starts.

    Parameters
    ----------
    jobs : set of str
        Jobs on queues that need approval; nothing is done while there are none.
    next_scan_ms : int
        Until then no step needs a request, unless a job changes.
    """

    state: PoolState
    jobs: set[str] = field(default_factory=set)
    next_scan_ms: int = 0

    def update_jobs(self) -> None:
        """Take up the jobs that have changed since the last plan; due before it."""
        for job_id in self.state.changed_jobs:
            job = self.state.jobs.get(job_id)
            if job is not None and job.needs_approval():
                self.jobs.add(job_id)
                self.next_scan_ms = 0
            elif job_id in self.jobs:
                self.jobs.discard(job_id)
                self.state.advice.forget_job(job_id)

    def add_tickets(self, now_ms: int) -> None:
        """Add tickets to the starts; stop a repeated start whose ticket has ended.

        Its first try may have been executed, and no start goes out without a ticket.
        """
        if not self.jobs:
            return
        orders, self.state.orders = self.state.orders, []
        for target_order in orders:
            match target_order.order:
                case StartOrder(run=run) as order if self._needs_approval(run.task.job):
                    self._add_ticket(target_order.life, order, now_ms)
                case _:
                    self.state.orders.append(target_order)

    def _add_ticket(self, life: TargetLife, order: StartOrder, now_ms: int) -> None:
        """Order a start with its ticket, or stop its run if that has ended."""
        run = order.run
        ticket = self.state.advice.ticket(run.task.step_id(), life, now_ms)
        if ticket:
            with_ticket = replace(order, ticket=ticket)
            self.state.orders.append(TargetOrder(life, with_ticket))
            return
        view = self.state.targets.get(life)
        run_view = view.runs.get(run) if view is not None else None
        if run_view is not None:
            self.state.stop_run(view, run_view, "ticket_expired")

    def _needs_approval(self, job_id: str) -> bool:
        job = self.state.jobs.get(job_id) if job_id in self.jobs else None
        return job is not None and job.needs_approval()

    def next_request(self, now_ms: int) -> ApprovalRequest | None:
        """Return the request that is most urgent, None if none is due."""
        if not self.jobs or now_ms < self.next_scan_ms:
            return None
        due = self._due_steps(now_ms)
        for urgency in nsmallest(MAX_EXAMINED_STEPS, due):
            request = self._request(urgency, now_ms)
            if request is not None:
                return request
            self._step_advice(urgency.step).next_ask_ms = now_ms + RECHECK_MS
        if len(due) <= MAX_EXAMINED_STEPS:
            self.next_scan_ms = now_ms + RECHECK_MS
        return None

    def settle(self, settled: ApprovalSettled, now_ms: int) -> None:
        """Take up the outcome of a request."""
        request = settled.request
        job = self.state.jobs.get(request.step.job)
        if job is None or request.step.job not in self.jobs:
            return
        advice = self._step_advice(request.step)
        self.next_scan_ms = 0
        took_ms = now_ms - settled.sent_ms
        match settled.result:
            case Approved(tickets):
                self.state.advice.accept(request, tickets, settled.sent_ms)
                self.state.mark_changed(job)
                if advice.tickets and not advice.has_ticket(now_ms):
                    # The call took longer than the tickets are valid.
                    advice.note_failure(now_ms)
                    self._log_failure(request, advice, "too late", took_ms)
                else:
                    advice.failures = 0
                log_event(
                    "advice_answered",
                    step=str(request.step),
                    pool=self.state.pool,
                    named=len(request.lives),
                    approved=sum(life.name in tickets for life in request.lives),
                    refused=len(advice.refused),
                    took_ms=took_ms,
                )
            case Busy():
                advice.note_failure(now_ms)
                self._log_failure(request, advice, "busy", took_ms)
            case Failed(detail):
                advice.note_failure(now_ms)
                self._log_failure(request, advice, detail, took_ms)

    def _log_failure(
        self, request: ApprovalRequest, advice: StepAdvice, detail: str, took_ms: int
    ) -> None:
        log_warning(
            "advice_failed",
            step=str(request.step),
            pool=self.state.pool,
            failures=advice.failures,
            took_ms=took_ms,
            detail=detail,
        )

    def _step_advice(self, step_id: StepId) -> StepAdvice:
        return self.state.advice.step(step_id)

    def _due_steps(self, now_ms: int) -> list[Urgency]:
        """Return the steps to ask about, if their tickets do not suffice."""
        due: list[Urgency] = []
        for job_id in self.jobs:
            job = self.state.jobs.get(job_id)
            if job is None or job.is_blocked or not job.needs_approval():
                continue
            ranks = [(step_id, 0) for step_id in job.waiting_tasks]
            ranks += [(step_id, 1) for step_id in self._steps_ahead(job, now_ms)]
            for step_id, rank in ranks:
                advice = self.state.advice.find(step_id)
                if advice is not None and advice.next_ask_ms > now_ms:
                    continue
                has_ticket = advice is not None and advice.has_ticket(now_ms)
                priority, arrived_ms = job.priority(), job.arrived_ms
                due.append(
                    Urgency(2 if has_ticket else rank, priority, arrived_ms, step_id)
                )
        return due

    def _steps_ahead(self, job: JobView, now_ms: int) -> list[StepId]:
        """Return the steps whose preceding steps are about to end.

        A ticket must still be valid when they have ended, and run times are estimates,
        so half of its validity is left for an end that comes later than expected.
        """
        if job.spec.recurrence is None and len(job.opened_steps.opened) == len(
            job.spec.steps
        ):
            return []
        if job.is_final():
            return []
        lead_ms = job.queue.approval.validity_ms // 2
        ahead: list[StepId] = []
        for occurrence in {occurrence for occurrence, _ in job.opened_steps.opened}:
            for number, step in enumerate(job.spec.steps):
                step_id = StepId(job.spec.id, occurrence, number)
                if step_id in job.opened_steps:
                    continue
                ready_ms = self._expected_ready_ms(job, step, occurrence)
                if ready_ms is not None and ready_ms - now_ms <= lead_ms:
                    ahead.append(step_id)
        return ahead

    def _expected_ready_ms(
        self, job: JobView, step: Step, occurrence: int
    ) -> int | None:
        """Return when the preceding steps end, None if they do not all run."""
        ready_ms = 0
        for number in step.after:
            if job.progress.is_step_done(job.spec, occurrence, number):
                continue
            earlier = StepId(job.spec.id, occurrence, number)
            if earlier not in job.opened_steps or earlier in job.waiting_tasks:
                return None
            run_ms = job.step_run_ms[number]
            for index in range(job.spec.steps[number].count):
                for run, life in job.placements(earlier.task(index)).items():
                    view = self.state.targets.get(life)
                    run_view = view.runs.get(run) if view is not None else None
                    if run_view is not None:
                        ready_ms = max(ready_ms, run_view.started_ms + run_ms)
        return ready_ms

    def _request(self, urgency: Urgency, now_ms: int) -> ApprovalRequest | None:
        """Return the request about a step, None if it needs none."""
        step_id = urgency.step
        job = self.state.jobs[step_id.job]
        step, times = job.spec.steps[step_id.step], job.queue.approval
        advice = self._step_advice(step_id)
        until_ms = now_ms + renewal_ms(times)
        fitting, later = self._options(step, step_id)
        width = len(job.waiting_tasks.by_step.get(step_id, ())) or step.count
        share, limit = self.state.advice.approved_share(), max_names(times)
        lives = choose_targets(advice, fitting, width, share, limit, until_ms)
        has_ticket = any(
            advice.ticket(option.life, until_ms) for option in fitting + later
        )
        if not lives and not has_ticket:
            lives = choose_targets(advice, later, width, share, limit, until_ms)
        if not lives:
            return None
        return ApprovalRequest(
            step_id,
            lives,
            times.validity_ms,
            timeout_ms(times, len(lives), advice.failures),
        )

    def _options(
        self, step: Step, step_id: StepId
    ) -> tuple[list[Option], list[Option]]:
        """Return the targets where tasks fit now, and those where they fit later.

        Both are in the order of the planner: the fullest first for batch tasks, and the
        emptiest for lasting ones and where others must end first.
        """
        fitting: list[Option] = []
        later: list[Option] = []
        far: set[TargetLife] = set()
        need = step.counted_need()
        for capacity in self.state.free_capacity.emptiest_first():
            life, labels = capacity.life, capacity.labels
            if step.required_label and step.required_label not in labels:
                continue
            if step.near_rack and step.near_rack not in labels:
                far.add(life)
            view = self.state.targets[life]
            slots = _slots(step, step_id, need, capacity.free, view)
            if slots > 0:
                fitting.append(Option(life, slots))
            elif need.fits_in(view.free_after_batch()):
                later.append(Option(life, 1))
        if not step.is_lasting:
            fitting.reverse()
        if far:
            fitting.sort(key=lambda option: option.life in far)
            later.sort(key=lambda option: option.life in far)
        return fitting, later


def _slots(
    step: Step, step_id: StepId, need: Resources, free: Resources, view: TargetView
) -> int:
    """Return how many tasks of a step fit on a target now."""
    if not need.fits_in(free):
        return 0
    slots = count_fitting(free, step, step.count)
    if step.max_per_target:
        slots = min(slots, step.max_per_target - view.count_step_tasks(step_id))
    return max(0, slots)
