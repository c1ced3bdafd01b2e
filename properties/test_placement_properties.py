"""Compares the index of free capacity and the start order with an exhaustive search."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import example, given, settings
from hypothesis import strategies as st

from cornelturn.jobs.model import EndKind, JobSpec, Resources, RunEnd, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.routes import JobQueue
from cornelturn.placement.index import FreeCapacity, FreeCapacityIndex, Preference
from cornelturn.placement.target_choice import Candidate, choose_target
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.state import TargetOrder
from cornelturn.targets.model import Executed, StartOrder, TargetLife, TargetReport
from properties.placement_search import expected_starts
from properties.processor_time import processor_time_limit
from properties.scheduling_rounds import (
    NAMES,
    STEP_MS,
    Arrival,
    Round,
    active_on,
    batch_steps,
    labels,
    listed_target,
    listed_targets,
    needs,
    report_progress,
    rounds,
)

candidates = st.builds(
    Candidate,
    name=st.sampled_from(NAMES),
    rack=st.just("r1"),
    labels=labels,
    free=needs,
    is_avoided=st.booleans(),
)


@given(st.lists(candidates, max_size=20), batch_steps)
def test_index_chooses_the_same_as_a_search_of_all_targets(changes, step):
    step = replace(step, max_per_target=0)
    index = FreeCapacityIndex()
    by_name: dict[str, Candidate] = {}
    for candidate in changes:
        by_name[candidate.name] = candidate
        index.put(
            FreeCapacity(
                TargetLife(candidate.name, 1), candidate.labels, candidate.free
            )
        )
        found = index.choose_fullest(step, lambda life: _preference(by_name[life.name]))
        expected = choose_target(step, by_name.values())
        assert (found.name if found is not None else None) == expected


@given(st.lists(candidates, max_size=10), batch_steps, st.sets(st.sampled_from(NAMES)))
def test_index_omits_discarded_and_excluded_targets(changes, step, excluded):
    step = replace(step, max_per_target=0)
    index = FreeCapacityIndex()
    by_name = {candidate.name: candidate for candidate in changes}
    for candidate in by_name.values():
        index.put(
            FreeCapacity(
                TargetLife(candidate.name, 1), candidate.labels, candidate.free
            )
        )
    index.choose_fullest(step, lambda life: Preference.PREFERRED)
    for name in NAMES[:3]:
        index.discard(TargetLife(name, 1))
        by_name.pop(name, None)

    def prefer(life: TargetLife) -> Preference:
        if life.name in excluded:
            return Preference.EXCLUDED
        return _preference(by_name[life.name])

    found = index.choose_fullest(step, prefer)
    rest = [candidate for name, candidate in by_name.items() if name not in excluded]
    assert (found.name if found is not None else None) == choose_target(step, rest)


def _preference(candidate: Candidate) -> Preference:
    return Preference.AVOIDED if candidate.is_avoided else Preference.PREFERRED


def _round(*steps: Step, ended: int = 0) -> Round:
    """Return a round in which jobs of one step arrive, after `ended` runs end."""
    return Round(
        [Arrival((step,), 0, 60_000) for step in steps],
        [(1, EndKind.DONE)] * ended,
        frozenset(),
    )


LASTING_IN_THE_WAY = (
    _round(Step(1, Resources(3, 1), is_lasting=True)),
    _round(Step(13, Resources(1, 1), 1)),
    _round(Step(1, Resources(6, 1), 1), Step(4, Resources(1, 1), 3_000), ended=5),
)
"""A step that would fit on the emptiest of two targets only without its lasting run."""

LASTING_ON_A_RESERVED_TARGET = (
    _round(Step(1, Resources(1, 1), 9_000)),
    _round(Step(1, Resources(5, 1), 1_000)),
    _round(
        Step(1, Resources(1, 1), is_lasting=True),
        Step(1, Resources(7, 1), 1),
        Step(1, Resources(1, 1), 60_000),
    ),
)
"""A lasting step that starts on a target reserved for another one, which fits there
later for it. The last step would end between these times, and must not start."""


@settings(deadline=None)
@given(listed_targets, st.lists(rounds, min_size=1, max_size=6))
@example([(frozenset(), Resources(8, 64))] * 2, LASTING_IN_THE_WAY)
@example([(frozenset(), Resources(8, 64))], LASTING_ON_A_RESERVED_TARGET)
@processor_time_limit()
def test_plan_starts_the_same_as_a_search_of_all_jobs_and_targets(
    targets, rounds_played
):
    scheduler = PoolScheduler("pool", 1)
    # The search knows no cost of distance.
    scheduler.racks.remote_factor = 1.0
    listed = [
        listed_target(name, *labels_and_capacity)
        for name, labels_and_capacity in zip(NAMES, targets, strict=False)
    ]
    scheduler.update_targets(listed, 0)
    for target in listed:
        scheduler.handle_report(TargetReport(target.life, 0, (), ()), 0, 0)
    scheduler.mark_loaded(0)
    active: list[TargetOrder] = []
    sequence = 0
    jobs = 0
    for number, played in enumerate(rounds_played):
        now_ms = number * STEP_MS
        scheduler.set_cordoned(played.cordoned)
        for arrival in played.arrivals:
            jobs += 1
            _add(scheduler, arrival, jobs, now_ms)
        report_progress(scheduler, active, number)
        for index, kind in played.ends:
            if not active:
                break
            ended = active.pop(index % len(active))
            sequence += 1
            end = RunEnd(sequence, ended.order.run, kind)
            others = active_on(ended.life, active, number)
            report = TargetReport(ended.life, 0, others, (end,))
            scheduler.handle_report(report, now_ms - 1, now_ms)
        expected = expected_starts(scheduler, now_ms)
        orders = scheduler.plan(now_ms)
        started = [item for item in orders if isinstance(item.order, StartOrder)]
        starts = [(item.order.run.task, item.life.name) for item in started]
        assert starts == expected
        for item in started:
            scheduler.handle_order_result(item.life, item.order, Executed(), now_ms)
        active += started


def _add(scheduler: PoolScheduler, arrival: Arrival, number: int, now_ms: int) -> None:
    queue = JobQueue(
        "lookups",
        "host",
        "/lookups/",
        "pool",
        priority=arrival.priority,
        max_attempts=2,
        slack_ms=arrival.slack_ms,
    )
    job = f"{number:016x}"
    row = JobRow(JobSpec(job, queue.name, "pool", "text", arrival.steps), Progress())
    scheduler.add_job(job_key(queue.name, job), row, number, queue, now_ms)
