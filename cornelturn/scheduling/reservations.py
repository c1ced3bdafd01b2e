"""Targets that are kept for the first waiting steps which fit nowhere at the moment.

A target is reserved only for a step that can start there once its batch runs have
ended. Until then it runs tasks that are expected to end before (backfill).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import islice
from typing import NamedTuple

from cornelturn.jobs.model import Resources, Step, StepId
from cornelturn.placement.index import FreeCapacity, Preference
from cornelturn.scheduling.start_keys import (
    CapacityRequirement,
    StartKey,
    capacity_requirement,
)
from cornelturn.scheduling.state import PoolState
from cornelturn.scheduling.target_view import RunState, RunView, TargetView
from cornelturn.scheduling.views import JobView
from cornelturn.targets.model import TargetLife

RESERVED_STEPS = 2
"""Number of first waiting steps for which targets are reserved if they fit nowhere."""

MAX_EXAMINED_STEPS = 8
"""Number of first waiting steps among which these are searched; each of them that can
never start costs a pass through all targets."""

DEMAND_DELAY_MS = 1_000
"""Age of a job from which work at the head of the order asks for an allotment, to
reserve a target. Most work finds free capacity sooner, and needs no idle allotment."""

MAX_REFUSED_STEPS = 32
"""Number of steps of jobs that a reserved target may refuse in a pass as they would run
for too long, before the other steps with the same requirement are left for the next
pass. Occurrences of a step run equally long and count once: a job with many due
occurrences would otherwise keep the short work of others from reserved targets."""


@dataclass(slots=True)
class Reservation:
    """A target that is kept for a step.

    Parameters
    ----------
    fits_ms : int or None
        When the step is expected to fit there, by the runs before the first start of
        the plan: lasting tasks that start there meanwhile do not change it. None while
        that was not needed.
    """

    step: StepId
    fits_ms: int | None = None


class ReservationBasis(NamedTuple):
    """What the reservations follow from; while it is the same, they stay.

    Parameters
    ----------
    capacity_changes : int
        Number of changes of the free capacity of targets.
    first_steps : tuple of StartKey
        The first waiting steps.
    failed_tasks : tuple of int
        Number of tasks with failed runs of the job of each of them.
    admitted : tuple of bool
        Whether the quota admits each of them.
    """

    capacity_changes: int
    first_steps: tuple[StartKey, ...]
    failed_tasks: tuple[int, ...]
    admitted: tuple[bool, ...]


@dataclass(slots=True)
class Reservations:
    """Reserves targets for the first waiting steps, anew after each change.

    A reserved target becomes emptier, so that it is chosen again.

    Parameters
    ----------
    by_target : dict
        Reservations in force.
    can_fit : dict
        Whether any target could take a step with a requirement.
    refused : set
        Job and number of the steps that reserved targets have refused in this pass.
    held : set of TargetLife
        Targets on which room is made for urgent work; only that may start there.
    """

    state: PoolState
    by_target: dict[TargetLife, Reservation] = field(default_factory=dict)
    can_fit: dict[CapacityRequirement, bool] = field(default_factory=dict)
    basis: ReservationBasis | None = None
    refused: set[tuple[str, int]] = field(default_factory=set)
    held: set[TargetLife] = field(default_factory=set)

    def update(self, now_ms: int) -> list[StartKey]:
        """Reserve targets for the first steps that may use a reservation.

        Return the first steps that wait for an allotment to reserve a target: a step
        too large for what becomes free is never tried otherwise.
        """
        basis = self._current_basis()
        if basis == self.basis:
            for reservation in self.by_target.values():
                reservation.fits_ms = None
        else:
            self.basis = basis
            self.by_target.clear()
            self.can_fit.clear()
            self._reserve(basis)
        if all(basis.admitted):
            return []
        return [
            key
            for key, is_admitted in zip(basis.first_steps, basis.admitted, strict=True)
            if not is_admitted and self._asks_for_allotment(key, now_ms)
        ]

    def _current_basis(self) -> ReservationBasis:
        first_steps = tuple(
            islice(self.state.waiting_steps.in_order(), MAX_EXAMINED_STEPS)
        )
        jobs = self.state.jobs
        return ReservationBasis(
            self.state.free_capacity.change_count,
            first_steps,
            tuple(len(jobs[key.job].progress.failed) for key in first_steps),
            tuple(map(self._is_admitted, first_steps)),
        )

    def _is_admitted(self, key: StartKey) -> bool:
        spec = self.state.jobs[key.job].spec
        need = spec.steps[key.step].start_need()
        return self.state.quota.admits(spec.organisation, need)

    def _asks_for_allotment(self, key: StartKey, now_ms: int) -> bool:
        job, step_id = self.state.jobs[key.job], key.step_id()
        if now_ms - job.arrived_ms < DEMAND_DELAY_MS:
            return False
        return self._can_fit(step_id, job.spec.steps[key.step])

    def _reserve(self, basis: ReservationBasis) -> None:
        remaining = RESERVED_STEPS
        for key, is_admitted in zip(basis.first_steps, basis.admitted, strict=True):
            job, step_id = self.state.jobs[key.job], key.step_id()
            step = job.spec.steps[key.step]
            if not is_admitted or has_failed(job, step_id):
                continue
            if job.needs_approval():
                # Its tickets may end before the target has room.
                continue
            if step_id in self.state.racks.plan.waited_before:
                # It would not use a target of another rack.
                continue
            if not self._can_fit(step_id, step):
                continue
            capacity = self._find_target(step_id, step)
            if capacity is not None:
                self.by_target[capacity.life] = Reservation(step_id)
            remaining -= 1
            if not remaining:
                return

    def forget_missing_jobs(self) -> None:
        """Remove the reservations of jobs that have ended."""
        for life, reservation in list(self.by_target.items()):
            if reservation.step.job not in self.state.jobs:
                del self.by_target[life]

    def preference(
        self, life: TargetLife, job: JobView, step_id: StepId, now_ms: int
    ) -> Preference:
        """Return whether a batch step may use a target, by its reservations.

        It is excluded from a reserved one if it would run for too long.
        """
        if life in self.held:
            return Preference.EXCLUDED if job.priority() else Preference.PREFERRED
        reservation = self.by_target.get(life)
        if reservation is None or reservation.step == step_id:
            return Preference.PREFERRED
        is_gang = job.spec.steps[step_id.step].is_gang
        run_ms = job.step_run_ms[step_id.step]
        fits_ms = self._fits_ms(life, reservation, now_ms)
        if is_gang or run_ms <= 0 or now_ms + run_ms > fits_ms:
            return Preference.EXCLUDED
        return Preference.AVOIDED

    def closed_targets(self, job: JobView, step_id: StepId) -> set[TargetLife]:
        """Return the targets that are reserved or held for other work than a step."""
        closed = {
            life
            for life, reservation in self.by_target.items()
            if reservation.step != step_id
        }
        if not self.held:
            return closed
        return closed | self.held if job.priority() else closed - self.held

    def has_held_room(self, job: JobView, step_id: StepId) -> bool:
        """Return whether a step would start on the targets that are held for it.

        Runs may have been stopped there, so that it does not wait for a better target.
        """
        if job.priority() or not self.held:
            return False
        step = job.spec.steps[step_id.step]
        missing = step.count if step.is_gang else 1
        for life in self.held:
            view = self.state.targets.get(life)
            if view is None or not view.is_schedulable():
                continue
            if may_take(view, step_id, step):
                missing -= count_fitting(view.free(), step, missing)
        return missing <= 0

    def begin_start(self, life: TargetLife, now_ms: int) -> None:
        """Compute when a reserved step fits on a target, before a run starts there."""
        reservation = self.by_target.get(life)
        if reservation is not None:
            self._fits_ms(life, reservation, now_ms)

    def _fits_ms(self, life: TargetLife, reservation: Reservation, now_ms: int) -> int:
        if reservation.fits_ms is None:
            reservation.fits_ms = self._expected_fit_ms(life, reservation.step, now_ms)
        return reservation.fits_ms

    def begin_pass(self) -> None:
        """Forget which steps were refused; there may be more capacity since."""
        self.refused.clear()

    def may_try(self, job: JobView, step_id: StepId) -> bool:
        """Return whether to try a step; one that is refused for certain is passed over.

        An occurrence of a refused step is refused as well, unless the number of its own
        tasks on a target, or its own approvals, decide where it fits.
        """
        if (step_id.job, step_id.step) not in self.refused:
            return True
        step = job.spec.steps[step_id.step]
        return bool(step.max_per_target) or job.needs_approval()

    def may_try_shorter(self, step_id: StepId) -> bool:
        """Return whether a shorter step may be tried after one that was refused.

        Steps with equal requirements fit alike, but on a reserved target only those
        start that run for a short time.
        """
        self.refused.add((step_id.job, step_id.step))
        return len(self.refused) <= MAX_REFUSED_STEPS

    def _can_fit(self, step_id: StepId, step: Step) -> bool:
        """Return whether the targets can take a step once their batch runs have ended.

        Their lasting runs stay. A gang must fit as a whole.
        """
        requirement = capacity_requirement(step_id, step)
        if requirement not in self.can_fit:
            self.can_fit[requirement] = self._search_fit(step_id, step)
        return self.can_fit[requirement]

    def _search_fit(self, step_id: StepId, step: Step) -> bool:
        missing = step.count if step.is_gang else 1
        for capacity in self.state.free_capacity.emptiest_first():
            view = self.state.targets[capacity.life]
            if may_take(view, step_id, step):
                missing -= count_fitting(view.free_after_batch(), step, missing)
                if missing <= 0:
                    return True
        return False

    def _find_target(self, step_id: StepId, step: Step) -> FreeCapacity | None:
        """Return the emptiest target that a step can use later, None if it fits now."""
        need = step.counted_need()
        found: FreeCapacity | None = None
        for capacity in self.state.free_capacity.emptiest_first():
            if found is not None and capacity.free.cpu < need.cpu:
                break
            if capacity.life in self.by_target:
                continue
            view = self.state.targets[capacity.life]
            if not may_take(view, step_id, step):
                continue
            if need.fits_in(capacity.free):
                return None
            found = found or capacity
        return found

    def _expected_fit_ms(self, life: TargetLife, step_id: StepId, now_ms: int) -> int:
        """Return when enough batch runs of a target are expected to have ended."""
        view = self.state.targets[life]
        need = self.state.jobs[step_id.job].spec.steps[step_id.step].counted_need()
        free, fits_ms = view.free(), now_ms
        ends = sorted(
            (expected_end_ms(self.state, run_view, now_ms), number, run_view.need)
            for number, run_view in enumerate(view.runs.values())
            if not run_view.is_lasting
        )
        for end_ms, _, run_need in ends:
            if need.fits_in(free):
                break
            free, fits_ms = free.plus(run_need), end_ms
        return fits_ms


def may_take(view: TargetView, step_id: StepId, step: Step) -> bool:
    """Return whether a target can take a task of a step once its batch runs ended."""
    limit = step.max_per_target
    return (
        step.counted_need().fits_in(view.free_after_batch())
        and (not step.required_label or step.required_label in view.listed.labels)
        and (not limit or view.count_step_tasks(step_id) < limit)
    )


def count_fitting(free: Resources, step: Step, wanted: int) -> int:
    """Return how many tasks of a step fit in some capacity, at most those wanted."""
    limit = min(wanted, step.max_per_target or wanted)
    return step.counted_need().count_in(free, limit)


def has_failed(job: JobView, step_id: StepId) -> bool:
    """Return whether each waiting task of a step has failed before.

    Such a task may fail again, so no capacity is kept free for it.
    """
    if not job.progress.failed:
        return False
    return all(
        job.progress.has_failed(job.counted_task(step_id.task(index)))
        for index in job.waiting_tasks[step_id]
    )


def expected_end_ms(state: PoolState, run_view: RunView, now_ms: int) -> int:
    """Return when a batch run is expected to end, by its rate or else its estimate."""
    job = state.jobs.get(run_view.run.task.job)
    if job is None or run_view.state is RunState.STOPPING:
        return now_ms
    rest_ms = run_view.rated_rest_ms()
    if rest_ms is not None:
        return now_ms + round(rest_ms)
    run_ms = job.step_run_ms[run_view.run.task.step]
    return max(now_ms, run_view.started_ms + run_ms)
