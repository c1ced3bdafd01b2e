"""Racks of a pool: which work waits for one, and where steps on one rack run."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from cornelturn.jobs.model import Run, Step, StepId, TaskId
from cornelturn.placement.index import FreeCapacityIndex, RackCapacity
from cornelturn.racks.choice import StepNeed, racks_with_room, roomiest_rack
from cornelturn.racks.plan import RackPlan
from cornelturn.racks.releases import ExpectedReleases
from cornelturn.racks.room import RackRoom, TargetRoom
from cornelturn.racks.run_times import RackRunTimes
from cornelturn.racks.waits import Prospect, RackWaits
from cornelturn.scheduling.target_view import RunView, TargetView
from cornelturn.scheduling.views import JobView
from cornelturn.targets.model import TargetLife

MAX_WAITING_STEPS = 64
"""Steps that may wait for racks in a plan, as each one costs a search. Further ones go
elsewhere: if they ended the plan for their requirement, free targets would stay idle
while there are as many."""

ClosedTargets = Callable[[JobView, StepId], Collection[TargetLife]]


def no_closed_targets(job: JobView, step_id: StepId) -> Collection[TargetLife]:
    """Return no target."""
    return ()


@dataclass(slots=True)
class PoolRacks:
    """Decides how the planner uses racks, from the runs on their targets.

    Parameters
    ----------
    targets, jobs, placed_runs, free_capacity
        As in `PoolState`.
    closed_targets : ClosedTargets
        Returns the targets that are kept for others; a step does not wait for these.
    plan : RackPlan
        What holds for the current plan, or the last one between plans.
    """

    targets: Mapping[TargetLife, TargetView]
    jobs: Mapping[str, JobView]
    placed_runs: Mapping[str, Collection[tuple[Run, TargetLife]]]
    free_capacity: FreeCapacityIndex
    run_times: RackRunTimes
    releases: ExpectedReleases = field(init=False)
    waits: RackWaits = field(default_factory=RackWaits)
    closed_targets: ClosedTargets = no_closed_targets
    plan: RackPlan = field(default_factory=RackPlan)

    def __post_init__(self) -> None:
        self.releases = ExpectedReleases(self.targets, self.jobs, self.run_times)

    @property
    def remote_factor(self) -> float:
        """Factor by which a task takes longer when it runs away from its data."""
        return self.run_times.remote_factor

    @remote_factor.setter
    def remote_factor(self, factor: float) -> None:
        self.run_times.remote_factor = factor

    def has_cost(self) -> bool:
        """Return whether distance costs time; if not, work only prefers its rack."""
        return self.remote_factor > 1

    def begin_plan(self, now_ms: int) -> None:
        """Forget what held for the last plan."""
        self.waits.begin_plan(now_ms)
        self.plan = RackPlan(waited_before=self.plan.waiting)

    def home(self, job: JobView, step_id: StepId) -> str:
        """Return the rack on which the tasks of a step are to run, empty for any."""
        step = job.spec.steps[step_id.step]
        if not self.has_cost() or not step.is_one_rack or step.is_gang:
            return step.near_rack
        home = self.plan.homes.get(step_id)
        if home is None:
            home = self.plan.homes[step_id] = self._step_rack(job, step_id, step)
        return home

    def _step_rack(self, job: JobView, step_id: StepId, step: Step) -> str:
        """Return the rack of a step on one rack: that of its runs, or a new one."""
        used = Counter(
            self.targets[life].listed.rack
            for run, life in self.placed_runs.get(job.spec.id, ())
            if run.task.step_id() == step_id
        )
        if len(used) > 1:
            self.plan.split.add(step_id)
        for rack in (
            *sorted(used, key=lambda rack: (-used[rack], rack)),
            step.near_rack,
        ):
            if rack and self.free_capacity.has_label(rack):
                return rack
        need = self._need(job, step_id, len(job.waiting_tasks[step_id]))
        racks = self.free_capacity.racks()
        return next(self._with_room(racks, need), "") or roomiest_rack(racks, need)

    def _need(self, job: JobView, step_id: StepId, count: int) -> StepNeed:
        """Return what some tasks of a step need to run on one rack."""
        step = job.spec.steps[step_id.step]
        closed = self.closed_targets(job, step_id)
        return StepNeed(
            step.counted_need(),
            count,
            step.max_per_target,
            step.required_label,
            frozenset(life.name for life in closed),
        )

    def waits_like_others(
        self, job: JobView, step_id: StepId, task: TaskId, rack: str, now_ms: int
    ) -> bool:
        """Return whether a task waits like others of its step in this plan.

        They found no room on the rack, and there is none since. One that has failed may
        use other targets than they.
        """
        if step_id not in self.plan.waiting or job.progress.failed:
            return False
        return self.must_wait(job, step_id, task, rack, now_ms)

    def must_wait(
        self, job: JobView, step_id: StepId, task: TaskId, rack: str, now_ms: int
    ) -> bool:
        """Return whether a task waits for its rack, which has no room for it now.

        One that waits claims the capacity that it is expected to get.
        """
        if task in self.plan.claimed:
            return True
        life = self._awaited_target(job, step_id, rack, now_ms)
        if life is None:
            self.plan.leaving.add(step_id)
            return False
        need = job.spec.steps[step_id.step].counted_need()
        run_ms = self._prospect(job, step_id, now_ms).run_ms
        self._room(rack, now_ms).claim(life, need, run_ms)
        self.plan.note_claim(task, life)
        self._note_wait(step_id, rack, now_ms)
        return True

    def pays_to_wait(
        self, job: JobView, step_id: StepId, rack: str, now_ms: int
    ) -> bool:
        """Return whether a task of a step is done sooner on its rack than elsewhere."""
        return self._awaited_target(job, step_id, rack, now_ms) is not None

    def _awaited_target(
        self, job: JobView, step_id: StepId, rack: str, now_ms: int
    ) -> TargetLife | None:
        """Return the target of a rack for which a wait pays, None if there is none."""
        if not self._may_wait(job, step_id) or not self._has_other_rack(rack):
            return None
        need = job.spec.steps[step_id.step].counted_need()
        room = self._room(rack, now_ms)
        wait_ms, life = room.find(need, self._usable(room, job, step_id))
        if life is None:
            return None
        prospect = self._prospect(job, step_id, now_ms)
        return life if prospect.must_wait(wait_ms) else None

    def _may_wait(self, job: JobView, step_id: StepId) -> bool:
        """Return whether a step may wait for a rack at all.

        One that needs the approval of a target may not: what is released may have none.
        """
        if not self.has_cost() or job.needs_approval():
            return False
        if step_id in self.plan.leaving or step_id in self.plan.split:
            return False
        waiting = self.plan.waiting
        return step_id in waiting or len(waiting) < MAX_WAITING_STEPS

    def _prospect(self, job: JobView, step_id: StepId, now_ms: int) -> Prospect:
        """Return what a step loses elsewhere; it is the same for all of its tasks.

        A task of a step on one rack slows down the others too if it goes elsewhere, so
        that its job is not on time by that.
        """
        prospect = self.plan.prospects.get(step_id)
        if prospect is None:
            run_ms = self.run_times.near_ms(job, step_id)
            slack_ms = math.inf
            if not job.spec.steps[step_id.step].is_one_rack:
                continue_by_ms = job.forecast(now_ms).until_ms
                if continue_by_ms is not None:
                    slack_ms = continue_by_ms - now_ms
            prospect = self.plan.prospects[step_id] = Prospect(
                run_ms,
                self.run_times.delay_ms(run_ms),
                self.waits.waited_ms(step_id, now_ms),
                slack_ms,
            )
        return prospect

    def _note_wait(self, step_id: StepId, rack: str, now_ms: int) -> None:
        self.waits.note_wait(step_id, rack, now_ms)
        self.plan.waiting.add(step_id)

    def gang_racks(self, job: JobView, step_id: StepId) -> Iterator[str]:
        """Return the racks with room for a whole gang, the best first."""
        step = job.spec.steps[step_id.step]
        racks = self.free_capacity.racks()
        if not step.is_one_rack or self._has_near_rack(step):
            racks = [rack for rack in racks if rack.rack == step.near_rack]
        return self._with_room(racks, self._need(job, step_id, step.count))

    def other_gang_racks(self, job: JobView, step_id: StepId) -> Iterator[str]:
        """Return the racks for a gang on one rack that does not wait for its own."""
        step = job.spec.steps[step_id.step]
        if not step.is_one_rack or not self._has_near_rack(step):
            return iter(())
        racks = self.free_capacity.racks()
        racks = [rack for rack in racks if rack.rack != step.near_rack]
        return self._with_room(racks, self._need(job, step_id, step.count))

    def _with_room(
        self, racks: Iterable[RackCapacity], need: StepNeed
    ) -> Iterator[str]:
        """Return the racks with room for a need; those that others want come last."""
        return racks_with_room(racks, need, self.waits.wanted_until_ms)

    def _has_near_rack(self, step: Step) -> bool:
        """Return whether a step prefers a rack that has targets."""
        return bool(step.near_rack) and self.free_capacity.has_label(step.near_rack)

    def must_gang_wait(self, job: JobView, step_id: StepId, now_ms: int) -> bool:
        """Return whether a gang that fits on no rack waits for one.

        It waits for its preferred rack, or the one with most room for it.
        """
        if not self._may_wait(job, step_id):
            return False
        step = job.spec.steps[step_id.step]
        rack, need = step.near_rack, self._need(job, step_id, step.count)
        if step.is_one_rack and not self._has_near_rack(step):
            rack = roomiest_rack(self.free_capacity.racks(), need)
        if not rack or not self._has_other_rack(rack):
            return False
        prospect = self._prospect(job, step_id, now_ms)
        room = self._room(rack, now_ms)
        usable = self._usable(room, job, step_id)
        if not prospect.must_wait(room.gang_wait_ms(need, usable)):
            return False
        room.claim_gang(need, prospect.run_ms, usable)
        self._note_wait(step_id, rack, now_ms)
        return True

    def _has_other_rack(self, rack: str) -> bool:
        """Return whether targets of another rack accept work."""
        return any(
            capacity.targets and capacity.rack != rack
            for capacity in self.free_capacity.racks()
        )

    def note_start(self, job: JobView, view: TargetView, run_view: RunView) -> None:
        """Record a start of this plan, once it has asked about a rack."""
        if not self.plan.rooms:
            return
        step_id = run_view.run.task.step_id()
        run_ms = self.run_times.on_target_ms(job, step_id, view)
        for room in self.plan.rooms.values():
            room.note_start(view.life, run_view.need, run_ms)

    def _room(self, rack: str, now_ms: int) -> RackRoom:
        """Return the expected capacity of a rack."""
        room = self.plan.rooms.get(rack)
        if room is None:
            room = self.plan.rooms[rack] = RackRoom(now_ms)
            for capacity in self.free_capacity.with_label(rack):
                if self.targets[capacity.life].declining_until_ms > now_ms:
                    continue
                room.targets[capacity.life] = TargetRoom(
                    capacity.free,
                    capacity.free,
                    now_ms,
                    self.releases.of_target(capacity, now_ms),
                )
        return room

    def _usable(
        self, room: RackRoom, job: JobView, step_id: StepId
    ) -> Collection[TargetLife]:
        """Return the targets of a rack that a step may use once they have room."""
        step = job.spec.steps[step_id.step]
        label, limit = step.required_label, step.max_per_target
        closed = self.closed_targets(job, step_id)
        if not label and not limit and room.targets.keys().isdisjoint(closed):
            return room.targets
        views = (self.targets[life] for life in room.targets if life not in closed)
        return [
            view.life
            for view in views
            if (not label or label in view.listed.labels)
            and (not limit or self._count_tasks(step_id, view) < limit)
        ]

    def _count_tasks(self, step_id: StepId, view: TargetView) -> int:
        """Return how many tasks of a step have, or have claimed, capacity there."""
        return view.count_step_tasks(step_id) + self.plan.claims[step_id, view.life]
