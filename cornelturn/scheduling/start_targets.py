"""Chooses the target on which a waiting task starts."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from cornelturn.jobs.model import TaskId
from cornelturn.placement.index import ANY_LABEL
from cornelturn.placement.target_choice import Candidate, choose_target
from cornelturn.scheduling.filling_targets import FillingTargets
from cornelturn.scheduling.reservations import Reservations
from cornelturn.scheduling.state import PoolState
from cornelturn.scheduling.step_try import StepTry
from cornelturn.scheduling.target_search import TargetSearch
from cornelturn.scheduling.target_view import TargetView


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
        racks = self.state.racks
        home = step_try.only_rack
        if not home and (step.near_rack or step.is_one_rack):
            home = racks.home(job, step_id)
            if racks.waits_like_others(job, step_id, task, home, now_ms):
                step_try.rack_waits += 1
                return None
        search = TargetSearch(self.state, self.reservations, step_try, task, home)
        if step.is_filling and self.state.neighbours.serving:
            life = self.filling_targets.choose(step, search.preference, now_ms)
        else:
            labels = self._labels(search) if home else None
            life = self.state.free_capacity.choose_fullest(
                step, search.preference, labels
            )
        if life is None and search.has_waited:
            step_try.waits_for_faster = True
            self.state.speeds.note_passed_over()
        return self.state.targets[life] if life is not None else None

    def _labels(self, search: TargetSearch) -> Iterator[str]:
        """Return the labels to search for a task with a home rack, that rack first.

        Each next one is asked for once no target with the last is preferred.
        """
        step_try, home = search.step_try, search.home
        job, step_id, now_ms = step_try.job, step_try.step_id, step_try.now_ms
        step, racks = step_try.step(), self.state.racks
        yield home
        if step_try.only_rack or search.has_near_place:
            return
        if search.has_avoided_near:
            # The task starts there rather than wait, which claims nothing.
            if not racks.pays_to_wait(job, step_id, home, now_ms):
                yield step.required_label
            return
        # Where it fits nowhere it has no choice, and may hold a reservation.
        has_choice = self.state.free_capacity.has_fitting(step)
        has_held_room = self.reservations.has_held_room(job, step_id)
        may_wait = has_choice and not has_held_room and not step.is_gang
        if may_wait and racks.must_wait(job, step_id, search.task, home, now_ms):
            step_try.rack_waits += 1
            return
        yield step.required_label

    def gang_racks(self, step_try: StepTry) -> Iterator[str]:
        """Return the racks on which a gang is tried, empty for all targets.

        The next one is taken only if the gang did not fit on the last.
        """
        step, racks = step_try.step(), self.state.racks
        if racks.has_cost() and (step.near_rack or step.is_one_rack):
            job, step_id = step_try.job, step_try.step_id
            yield from racks.gang_racks(job, step_id)
            has_held_room = self.reservations.has_held_room(job, step_id)
            if not has_held_room and racks.must_gang_wait(
                job, step_id, step_try.now_ms
            ):
                step_try.rack_waits += 1
                return
            yield from racks.other_gang_racks(job, step_id)
        yield ANY_LABEL

    def _choose_spread(self, step_try: StepTry, task: TaskId) -> TargetView | None:
        """Choose among all targets for a lasting task; there are few of these."""
        job, step_id, now_ms = step_try.job, step_try.step_id, step_try.now_ms
        step = step_try.step()
        serving = self.state.neighbours.serving
        targets = [
            view
            for view in self.state.targets.values()
            if view.is_schedulable()
            and view.declining_until_ms <= now_ms
            and self.state.has_approval(job, step_id, view.life, now_ms)
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
