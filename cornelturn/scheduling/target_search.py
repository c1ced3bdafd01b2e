"""Judges the targets with room for a task, and notes what keeps it from them."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.jobs.model import TaskId
from cornelturn.placement.index import Preference
from cornelturn.scheduling.reservations import Reservations
from cornelturn.scheduling.state import PoolState
from cornelturn.scheduling.step_try import StepTry
from cornelturn.scheduling.target_view import TargetView
from cornelturn.targets.model import TargetLife


@dataclass(slots=True)
class TargetSearch:
    """A search for the target of one task that is not lasting.

    Parameters
    ----------
    home : str
        Rack that the task prefers, empty for none.
    has_slow_targets : bool
        Whether any target of the pool counts as slow.
    has_waited : bool
        Whether the task waits for a faster target than one with room.
    has_slow_place : bool
        Whether a slow target may take the task.
    has_near_place : bool
        Whether a target of its rack that is reserved for others may take it meanwhile.
    has_avoided_near : bool
        Whether a target of its rack may take it that is avoided for its runs.
    fits_faster : bool or None
        Whether a target at full speed can run it, now or later; None until asked.
    """

    state: PoolState
    reservations: Reservations
    step_try: StepTry
    task: TaskId
    home: str
    has_slow_targets: bool = field(init=False)
    has_waited: bool = False
    has_slow_place: bool = False
    has_near_place: bool = False
    has_avoided_near: bool = False
    fits_faster: bool | None = None

    def __post_init__(self) -> None:
        self.has_slow_targets = self.state.speeds.has_slow_targets()

    def preference(self, life: TargetLife) -> Preference:
        """Return whether the task may get a target with room, and how willingly."""
        is_slow = self.has_slow_targets and self.state.speeds.is_slow(life)
        if is_slow and not self._may_use_slow(life):
            return Preference.EXCLUDED
        view = self.state.targets[life]
        by_reservation = self._allowed(view)
        if by_reservation is Preference.EXCLUDED:
            return Preference.EXCLUDED
        rack, home = view.listed.rack, self.home
        if is_slow or self._is_avoided(view):
            self.has_slow_place |= is_slow
            self.has_avoided_near |= bool(home) and home in view.listed.labels
            return Preference.AVOIDED
        wanted = self.state.racks.waits.wanted_until_ms
        if wanted and rack in wanted and rack != home:
            # Others wait for capacity there.
            return Preference.AVOIDED
        if by_reservation is Preference.AVOIDED and home:
            # A short task that fits here is done sooner than elsewhere.
            is_near = home in view.listed.labels
            self.has_near_place |= is_near and self.state.racks.has_cost()
        return by_reservation

    def _may_use_slow(self, life: TargetLife) -> bool:
        """Return whether a slow target is to be considered."""
        if self.has_slow_place:
            # Only a target at full speed is better.
            return False
        step_try = self.step_try
        must_wait = self.state.speeds.must_wait(
            step_try.job, self.task.step, life, step_try.now_ms
        )
        if must_wait and self.fits_faster is None:
            self.fits_faster = self._fits_faster()
        if must_wait and self.fits_faster:
            self.has_waited = True
            return False
        return True

    def _allowed(self, view: TargetView) -> Preference:
        """Return the preference by all that may exclude a target but its speed."""
        job, step_id, now_ms = self.step_try.job, self.step_try.step_id, self._now_ms()
        if not view.is_schedulable() or view.declining_until_ms > now_ms:
            return Preference.EXCLUDED
        by_reservation = self.reservations.preference(view.life, job, step_id, now_ms)
        if by_reservation is Preference.EXCLUDED:
            self.step_try.is_refused = True
            return Preference.EXCLUDED
        limit = self.step_try.step().max_per_target
        if limit and view.count_step_tasks(step_id) >= limit:
            return Preference.EXCLUDED
        if not self._has_approval(view.life):
            return Preference.EXCLUDED
        if self.state.avoidance.is_deferred(job, self.task, view, now_ms):
            return Preference.EXCLUDED
        return by_reservation

    def _is_avoided(self, view: TargetView) -> bool:
        job = self.step_try.job
        return self.state.avoidance.is_avoided(job, self.task, view, self._now_ms())

    def _has_approval(self, life: TargetLife) -> bool:
        job, step_id = self.step_try.job, self.step_try.step_id
        return self.state.has_approval(job, step_id, life, self._now_ms())

    def _fits_faster(self) -> bool:
        """Return whether the step can run on a target at full speed, now or later."""
        need = self.step_try.step().counted_need()
        return any(
            not self.state.speeds.is_slow(life)
            and need.fits_in(self.state.targets[life].free_after_batch())
            and self._has_approval(life)
            for life in self.state.free_capacity.keys
        )

    def _now_ms(self) -> int:
        return self.step_try.now_ms
