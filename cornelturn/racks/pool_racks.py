"""Racks of a pool: which work waits for one, and where steps on one rack run."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterator, Mapping
from dataclasses import dataclass, field
from statistics import median
from typing import NamedTuple

from cornelturn.jobs.model import Run, Step, StepId, TaskId
from cornelturn.placement.index import FreeCapacity, FreeCapacityIndex
from cornelturn.racks.choice import StepNeed, racks_with_room, roomiest_rack
from cornelturn.racks.room import RackRoom, Release, TargetRoom
from cornelturn.racks.waits import Prospect, RackWaits, remote_delay_ms
from cornelturn.scheduling.target_view import RunState, RunView, TargetView
from cornelturn.scheduling.views import JobView
from cornelturn.speed.pool_speeds import PoolSpeeds
from cornelturn.targets.model import TargetLife

DEFAULT_REMOTE_FACTOR = 2.0
"""Factor of the run time away from the data, unless the settings state another one."""

MIN_LEARNT_TIMES = 2
"""Completed runs of a step whose times replace its declared run time."""

MAX_WAITING_STEPS = 64
"""Steps that may wait for racks in a plan, as each one costs a search. Further ones go
elsewhere: if they ended the plan for their requirement, free targets would stay idle
while there are as many."""

MAX_RELEASES_AGE_MS = 250
"""Age up to which the expected releases of a target are used while its runs stay the
same. Progress in reports is half a second old anyway."""


class KnownReleases(NamedTuple):
    """Expected releases of a target, with the capacity for which they hold."""

    capacity: FreeCapacity
    at_ms: int
    releases: list[Release]


ClosedTargets = Callable[[JobView, StepId], Collection[TargetLife]]


def no_closed_targets(job: JobView, step_id: StepId) -> Collection[TargetLife]:
    """Return no target."""
    return ()


@dataclass(slots=True)
class PoolRacks:
    """Decides how the planner uses racks, from the runs on their targets.

    Parameters
    ----------
    targets, jobs, placed_runs, free_capacity, speeds
        As in `PoolState`.
    remote_factor : float
        Factor by which a task takes longer when it runs away from its data.
    closed_targets : ClosedTargets
        Returns the targets that are kept for others; a step does not wait for these.
    rooms : dict
        Expected capacity of the racks that this plan has asked about.
    known_releases : dict
        Expected releases of each target, for this plan or a recent one.
    homes : dict
        Racks of the steps on one rack that this plan has tried.
    prospects : dict
        What the steps lose elsewhere that may wait in this plan.
    split : set of StepId
        Steps on one rack that run on several already.
    claimed : set of TaskId
        Tasks of this plan that wait for a rack.
    leaving : set of StepId
        Steps of this plan of which no more tasks wait for a rack.
    waiting, waited_before : set of StepId
        Steps that wait for a rack in this plan, and in the one before it.
    """

    targets: Mapping[TargetLife, TargetView]
    jobs: Mapping[str, JobView]
    placed_runs: Mapping[str, Collection[tuple[Run, TargetLife]]]
    free_capacity: FreeCapacityIndex
    speeds: PoolSpeeds
    remote_factor: float = DEFAULT_REMOTE_FACTOR
    waits: RackWaits = field(default_factory=RackWaits)
    closed_targets: ClosedTargets = no_closed_targets
    rooms: dict[str, RackRoom] = field(default_factory=dict)
    known_releases: dict[TargetLife, KnownReleases] = field(default_factory=dict)
    homes: dict[StepId, str] = field(default_factory=dict)
    prospects: dict[StepId, Prospect] = field(default_factory=dict)
    split: set[StepId] = field(default_factory=set)
    claimed: set[TaskId] = field(default_factory=set)
    leaving: set[StepId] = field(default_factory=set)
    waiting: set[StepId] = field(default_factory=set)
    waited_before: set[StepId] = field(default_factory=set)

    def has_cost(self) -> bool:
        """Return whether distance costs time; if not, work only prefers its rack."""
        return self.remote_factor > 1

    def begin_plan(self, now_ms: int) -> None:
        """Forget what held for the last plan."""
        self.waits.begin_plan(now_ms)
        if self.waiting or self.waited_before:
            self.waited_before, self.waiting = self.waiting, set()
        self.rooms.clear()
        self.homes.clear()
        self.prospects.clear()
        self.split.clear()
        self.claimed.clear()
        self.leaving.clear()

    def home(self, job: JobView, step_id: StepId) -> str:
        """Return the rack on which the tasks of a step are to run, empty for any."""
        step = job.spec.steps[step_id.step]
        if not self.has_cost() or not step.is_one_rack or step.is_gang:
            return step.near_rack
        home = self.homes.get(step_id)
        if home is None:
            home = self.homes[step_id] = self._step_rack(job, step_id, step)
        return home

    def _step_rack(self, job: JobView, step_id: StepId, step: Step) -> str:
        """Return the rack of a step on one rack: that of its runs, or a new one."""
        used = Counter(
            self.targets[life].listed.rack
            for run, life in self.placed_runs.get(job.spec.id, ())
            if run.task.step_id() == step_id
        )
        if len(used) > 1:
            self.split.add(step_id)
        for rack in (
            *sorted(used, key=lambda rack: (-used[rack], rack)),
            step.near_rack,
        ):
            if rack and self.free_capacity.has_label(rack):
                return rack
        need = self._need(job, step_id, len(job.waiting_tasks[step_id]))
        racks = self.free_capacity.racks()
        fitting = racks_with_room(racks, need, self.waits.wanted_until_ms)
        return next(fitting, "") or roomiest_rack(racks, need)

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
        if step_id not in self.waiting or job.progress.failed:
            return False
        return self.must_wait(job, step_id, task, rack, now_ms)

    def must_wait(
        self, job: JobView, step_id: StepId, task: TaskId, rack: str, now_ms: int
    ) -> bool:
        """Return whether a task waits for its rack, which has no room for it now.

        Tasks that need the approval of a target do not: what is released may have none.
        """
        if task in self.claimed:
            return True
        life = self._awaited_target(job, step_id, rack, now_ms)
        if life is None:
            self.leaving.add(step_id)
            return False
        need = job.spec.steps[step_id.step].counted_need()
        run_ms = self._prospect(job, step_id, now_ms).run_ms
        self._room(rack, now_ms).claim(life, need, run_ms)
        self.claimed.add(task)
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
        if not self.has_cost() or step_id in self.leaving or job.needs_approval():
            return None
        if step_id in self.split or not self._may_wait_too(step_id):
            return None
        if not self._has_other_rack(rack):
            return None
        need = job.spec.steps[step_id.step].counted_need()
        room = self._room(rack, now_ms)
        wait_ms, life = room.find(need, self._usable(room, job, step_id))
        if life is None:
            return None
        prospect = self._prospect(job, step_id, now_ms)
        return life if prospect.must_wait(wait_ms) else None

    def _may_wait_too(self, step_id: StepId) -> bool:
        """Return whether a step may wait besides those that wait in this plan."""
        return step_id in self.waiting or len(self.waiting) < MAX_WAITING_STEPS

    def _prospect(self, job: JobView, step_id: StepId, now_ms: int) -> Prospect:
        """Return what a step loses elsewhere; it is the same for all of its tasks.

        A task of a step on one rack slows down the others too if it goes elsewhere, so
        that its job is not on time by that.
        """
        prospect = self.prospects.get(step_id)
        if prospect is None:
            run_ms = self.run_ms(job, step_id)
            slack_ms = math.inf
            if not job.spec.steps[step_id.step].is_one_rack:
                continue_by_ms = job.forecast(now_ms).until_ms
                if continue_by_ms is not None:
                    slack_ms = continue_by_ms - now_ms
            prospect = self.prospects[step_id] = Prospect(
                run_ms,
                remote_delay_ms(run_ms, self.remote_factor),
                self.waits.waited_ms(step_id, now_ms),
                slack_ms,
            )
        return prospect

    def _note_wait(self, step_id: StepId, rack: str, now_ms: int) -> None:
        self.waits.note_wait(step_id, rack, now_ms)
        self.waiting.add(step_id)

    def gang_racks(self, job: JobView, step_id: StepId) -> Iterator[str]:
        """Return the racks with room for a whole gang, the best first."""
        step = job.spec.steps[step_id.step]
        racks = self.free_capacity.racks()
        if not step.is_one_rack or self._awaits_near_rack(step):
            racks = [rack for rack in racks if rack.rack == step.near_rack]
        need = self._need(job, step_id, step.count)
        yield from racks_with_room(racks, need, self.waits.wanted_until_ms)

    def other_gang_racks(self, job: JobView, step_id: StepId) -> Iterator[str]:
        """Return the racks for a gang on one rack that does not wait for its own."""
        step = job.spec.steps[step_id.step]
        if step.is_one_rack and self._awaits_near_rack(step):
            racks = self.free_capacity.racks()
            racks = [rack for rack in racks if rack.rack != step.near_rack]
            need = self._need(job, step_id, step.count)
            yield from racks_with_room(racks, need, self.waits.wanted_until_ms)

    def _awaits_near_rack(self, step: Step) -> bool:
        return bool(step.near_rack) and self.free_capacity.has_label(step.near_rack)

    def must_gang_wait(self, job: JobView, step_id: StepId, now_ms: int) -> bool:
        """Return whether a gang that fits on no rack waits for one.

        It waits for its preferred rack, or the one with most room for it.
        """
        step = job.spec.steps[step_id.step]
        if not self.has_cost() or job.needs_approval():
            return False
        if not self._may_wait_too(step_id):
            return False
        rack = step.near_rack
        if step.is_one_rack and not self._awaits_near_rack(step):
            rack = roomiest_rack(
                self.free_capacity.racks(), self._need(job, step_id, step.count)
            )
        if not rack or not self._has_other_rack(rack):
            return False
        prospect = self._prospect(job, step_id, now_ms)
        room, need = self._room(rack, now_ms), step.counted_need()
        usable = self._usable(room, job, step_id)
        if not prospect.must_wait(room.gang_wait_ms(need, step.count, usable)):
            return False
        room.claim_gang(need, step.count, prospect.run_ms, usable)
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
        run_ms = self._run_ms_on(job, run_view.run.task.step_id(), view)
        for room in self.rooms.values():
            room.note_start(view.life, run_view.need, run_ms)

    def _room(self, rack: str, now_ms: int) -> RackRoom:
        """Return the expected capacity of a rack."""
        room = self.rooms.get(rack)
        if room is None:
            room = self.rooms[rack] = RackRoom(now_ms)
            for capacity in self.free_capacity.with_label(rack):
                if self.targets[capacity.life].declining_until_ms > now_ms:
                    continue
                room.targets[capacity.life] = TargetRoom(
                    capacity.free,
                    capacity.free,
                    now_ms,
                    self._releases(capacity, now_ms),
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
            and (not limit or view.count_step_tasks(step_id) < limit)
        ]

    def _releases(self, capacity: FreeCapacity, now_ms: int) -> list[Release]:
        """Return what the runs of a target release, in order of time."""
        known = self.known_releases.get(capacity.life)
        if (
            known is None
            or known.capacity is not capacity
            or now_ms - known.at_ms > MAX_RELEASES_AGE_MS
        ):
            if len(self.known_releases) > len(self.targets):
                self.known_releases.clear()
            releases = self._find_releases(self.targets[capacity.life], now_ms)
            known = KnownReleases(capacity, now_ms, releases)
            self.known_releases[capacity.life] = known
        return known.releases.copy()

    def _find_releases(self, view: TargetView, now_ms: int) -> list[Release]:
        releases: list[Release] = []
        for run_view in view.runs.values():
            end_ms = self._expected_end_ms(run_view, view, now_ms)
            if end_ms is not None:
                releases.append(Release(end_ms, run_view.need))
        releases.sort(key=lambda release: release.at_ms)
        return releases

    def _expected_end_ms(
        self, run_view: RunView, view: TargetView, now_ms: int
    ) -> int | None:
        """Return when a run is expected to end, None if that is not known.

        The start of an adopted run counts from its adoption, so that it ends sooner.
        """
        if run_view.state is RunState.STOPPING:
            return now_ms
        job = self.jobs.get(run_view.run.task.job)
        if job is None or run_view.is_lasting:
            return None
        rate_ms = run_view.progress.ms_per_percent()
        if rate_ms is not None:
            return now_ms + round((100 - run_view.percent) * rate_ms)
        run_ms = self._run_ms_on(job, run_view.run.task.step_id(), view)
        if run_ms <= 0:
            return None
        elapsed_ms = now_ms - run_view.started_ms
        # One that is overdue is expected to take as long again as it is overdue.
        return now_ms + abs(run_ms - elapsed_ms)

    def _run_ms_on(self, job: JobView, step_id: StepId, view: TargetView) -> int:
        """Return the expected run time on a target, which may be far from the data."""
        run_ms = self.run_ms(job, step_id)
        near_rack = job.spec.steps[step_id.step].near_rack
        if near_rack and near_rack not in view.listed.labels:
            return round(run_ms * self.remote_factor)
        return run_ms

    def run_ms(self, job: JobView, step_id: StepId) -> int:
        """Return the run time of a step near its data as learnt, or as declared."""
        learnt = self.speeds.estimates.step_times.groups.get(step_id)
        if learnt is not None and len(learnt.times) >= MIN_LEARNT_TIMES:
            return round(median(took for _, took in learnt.times.values()))
        return job.step_run_ms[step_id.step]
