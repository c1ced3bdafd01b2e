"""Chooses the target on which a waiting task starts."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from cornelturn.jobs.model import TaskId
from cornelturn.placement.index import ANY_LABEL, Preference
from cornelturn.placement.target_choice import Candidate, choose_target
from cornelturn.scheduling.filling_targets import FillingTargets
from cornelturn.scheduling.reservations import Reservations
from cornelturn.scheduling.state import PoolState
from cornelturn.scheduling.step_try import StepTry
from cornelturn.scheduling.target_view import TargetView
from cornelturn.targets.model import TargetLife


@dataclass(slots=True)
class StartTargets:
    """Chooses the targets of the tasks that start next.

    Parameters
    ----------
    filling_targets : FillingTargets
        Chooses the targets of filling tasks where the pool also serves users.
    """

    state: PoolState
    filling_targets: FillingTargets
    reservations: Reservations

    def choose(self, step_try: StepTry, task: TaskId) -> TargetView | None:
        """Return the target for a task, None if it can start on none.

        What kept the task from targets with room is noted in `step_try`.
        """
        step = step_try.step()
        if step.is_lasting:
            return self._choose_spread(step_try, task)
        job, step_id, now_ms = step_try.job, step_try.step_id, step_try.now_ms
        needs_approval = job.needs_approval()
        speeds = self.state.speeds
        has_slow_targets = speeds.has_slow_targets()
        racks = self.state.racks
        home = step_try.only_rack
        if not home and (step.near_rack or step.is_one_rack):
            home = racks.home(job, step_id)
            if racks.waits_like_others(job, step_id, task, home, now_ms):
                step_try.rack_waits += 1
                return None
        wanted = racks.waits.wanted_until_ms
        has_waited = has_slow_place = has_near_place = has_avoided_near = False
        fits_faster: bool | None = None

        def prefer(life: TargetLife) -> Preference:
            nonlocal has_waited, has_slow_place, fits_faster
            nonlocal has_near_place, has_avoided_near
            is_slow = has_slow_targets and speeds.is_slow(life)
            if is_slow:
                if has_slow_place:
                    # Only a target at full speed is better.
                    return Preference.EXCLUDED
                must_wait = speeds.must_wait(job, task.step, life, now_ms)
                if must_wait and fits_faster is None:
                    fits_faster = self._fits_faster(step_try)
                if must_wait and fits_faster:
                    has_waited = True
                    return Preference.EXCLUDED
            view = self.state.targets[life]
            limit = step.max_per_target
            if not view.is_schedulable() or view.declining_until_ms > now_ms:
                return Preference.EXCLUDED
            by_reservation = self.reservations.preference(life, job, step_id, now_ms)
            if by_reservation is Preference.EXCLUDED:
                step_try.is_refused = True
                return Preference.EXCLUDED
            if limit and view.count_step_tasks(step_id) >= limit:
                return Preference.EXCLUDED
            if needs_approval and not self.state.advice.ticket(step_id, life, now_ms):
                return Preference.EXCLUDED
            if self.state.avoidance.is_deferred(job, task, view, now_ms):
                return Preference.EXCLUDED
            if is_slow:
                has_slow_place = True
                has_avoided_near |= bool(home) and home in view.listed.labels
                return Preference.AVOIDED
            if self.state.avoidance.is_avoided(job, task, view, now_ms):
                has_avoided_near |= bool(home) and home in view.listed.labels
                return Preference.AVOIDED
            if wanted and view.listed.rack in wanted and view.listed.rack != home:
                # Others wait for capacity there.
                return Preference.AVOIDED
            if by_reservation is Preference.AVOIDED and home and racks.is_enabled:
                # A short task that fits here is done sooner than elsewhere.
                has_near_place |= home in view.listed.labels
            return by_reservation

        if step.is_filling and self.state.neighbours.serving:
            life = self.filling_targets.choose(step, prefer, now_ms)
        elif home:

            def labels() -> Iterator[str]:
                yield home
                if step_try.only_rack or has_near_place:
                    return
                if has_avoided_near:
                    # The task starts there rather than wait, which claims nothing.
                    if racks.pays_to_wait(job, step_id, home, now_ms):
                        return
                    yield step.required_label
                    return
                # Where it fits nowhere it has no choice, and may hold a reservation.
                has_choice = self.state.free_capacity.has_fitting(step)
                may_wait = has_choice and not step.is_gang
                if may_wait and racks.must_wait(job, step_id, task, home, now_ms):
                    step_try.rack_waits += 1
                    return
                yield step.required_label

            life = self.state.free_capacity.choose_fullest(step, prefer, labels())
        else:
            life = self.state.free_capacity.choose_fullest(step, prefer)
        if life is None and has_waited:
            step_try.waits_for_faster = True
            speeds.note_passed_over()
        return self.state.targets[life] if life is not None else None

    def gang_racks(self, step_try: StepTry) -> Iterator[str]:
        """Return the racks on which a gang is tried, empty for all targets.

        The next one is taken only if the gang did not fit on the last.
        """
        step, racks = step_try.step(), self.state.racks
        if racks.is_enabled and (step.near_rack or step.is_one_rack):
            job, step_id = step_try.job, step_try.step_id
            yield from racks.gang_racks(job, step_id)
            if racks.must_gang_wait(job, step_id, step_try.now_ms):
                step_try.rack_waits += 1
                return
            yield from racks.other_gang_racks(job, step_id)
        yield ANY_LABEL

    def _fits_faster(self, step_try: StepTry) -> bool:
        """Return whether a step can run on a target at full speed, now or later."""
        need = step_try.step().counted_need()
        needs_approval = step_try.job.needs_approval()
        ticket = self.state.advice.ticket
        return any(
            not self.state.speeds.is_slow(life)
            and need.fits_in(self.state.targets[life].free_after_batch())
            and (not needs_approval or ticket(step_try.step_id, life, step_try.now_ms))
            for life in self.state.free_capacity.keys
        )

    def _choose_spread(self, step_try: StepTry, task: TaskId) -> TargetView | None:
        """Choose among all targets for a lasting task; there are few of these."""
        job, step_id, now_ms = step_try.job, step_try.step_id, step_try.now_ms
        step = step_try.step()
        needs_approval = job.needs_approval()
        serving = self.state.neighbours.serving
        targets = [
            view
            for view in self.state.targets.values()
            if view.is_schedulable()
            and view.declining_until_ms <= now_ms
            and not (
                needs_approval
                and not self.state.advice.ticket(step_id, view.life, now_ms)
            )
        ]
        candidates = [
            Candidate(
                view.life.name,
                view.listed.rack,
                view.listed.labels,
                view.free(),
                view.count_step_tasks(step_id),
                self.state.avoidance.is_avoided(job, task, view, now_ms)
                or (step.is_filling and view.life in serving),
            )
            for view in targets
        ]
        name = choose_target(step, candidates)
        return next((view for view in targets if view.life.name == name), None)
