"""Completed occurrences that are kept as ranges, compared with sets of all tasks.

Guards against occurrences that count as done or not done by mistake, in one copy of the
progress or after merges, and against rows that another version reads differently.
"""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from cornelturn.jobs.index_ranges import IndexRanges, ranges_of
from cornelturn.jobs.index_sets import (
    decode_indices,
    decode_ranges,
    encode_indices,
    encode_ranges,
)
from cornelturn.jobs.model import JobSpec, Recurrence, Step, TaskId
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.row_progress import decode_progress, encode_progress

OCCURRENCES = 6
SPEC = JobSpec(
    "job", "queue", "pool", "text", (Step(2), Step(1)), Recurrence(OCCURRENCES, 0, 0)
)
TASKS = [
    TaskId(SPEC.id, occurrence, number, index)
    for occurrence in range(OCCURRENCES)
    for number, step in enumerate(SPEC.steps)
    for index in range(step.count)
]
ANY_TIME = settings(deadline=None)
"""Examples take several times as long while the machine is busy."""

index_sets = st.sets(st.integers(0, 60))
operations = st.lists(
    st.one_of(
        st.tuples(st.just("end"), st.integers(0, 1), st.sampled_from(TASKS)),
        st.tuples(st.just("fail"), st.integers(0, 1), st.sampled_from(TASKS)),
        st.tuples(st.sampled_from(("merge", "store")), st.integers(0, 1), st.none()),
    ),
    max_size=60,
)


def indices_of(ranges: IndexRanges) -> list[int]:
    return [
        index for first, last in ranges.ranges() for index in range(first, last + 1)
    ]


@ANY_TIME
@given(st.lists(st.tuples(st.integers(0, 60), st.integers(-1, 9))), index_sets)
def test_ranges_hold_the_same_as_a_set(added, other):
    ranges = IndexRanges()
    known: set[int] = set()
    for first, length in added:
        ranges.add_range(first, first + length - 1)
        known.update(range(first, first + length))
    assert indices_of(ranges) == sorted(known)
    assert len(ranges) == len(known)
    assert ranges == ranges_of(known)
    assert ranges.missing_from(ranges_of(other)) == sorted(other - known)
    for index in range(72):
        assert (index in ranges) is (index in known)
        missing = next(number for number in range(index, 99) if number not in known)
        assert ranges.next_missing(index) == missing


@ANY_TIME
@given(st.one_of(index_sets, st.sets(st.integers(0, 3_000), max_size=400)))
def test_text_of_ranges_is_that_of_a_set(indices):
    text = encode_ranges(ranges_of(indices))
    assert text == encode_indices(indices)
    assert indices_of(decode_ranges(text)) == sorted(decode_indices(text))


@ANY_TIME
@given(operations)
def test_progress_is_that_of_all_its_ends(played):
    copies = [Progress(), Progress()]
    known: list[set[TaskId]] = [set(), set()]
    for kind, which, task in played:
        copy = copies[which]
        if kind == "end":
            assert copy.add_done(task) is (task not in known[which])
            known[which].add(task)
            copy.compact(SPEC, [task.occurrence])
        elif kind == "fail":
            copy.add_failed(task, 1)
        elif kind == "merge":
            changed = copy.merge(copies[1 - which])
            new = known[1 - which] - known[which]
            assert {(task.occurrence, task.step) for task in new} <= changed
            known[which] |= known[1 - which]
            copy.compact(SPEC, {occurrence for occurrence, _ in changed})
        else:
            copies[which] = decode_progress(SPEC, encode_progress(SPEC, copy))
        check(copies[which], known[which])


def check(progress: Progress, known: set[TaskId]) -> None:
    assert {task for task in TASKS if progress.is_done(task)} == known
    assert progress.is_complete(SPEC) is (len(known) == len(TASKS))
    assert bool(progress.done) is bool(known)
    for number, step in enumerate(SPEC.steps):
        of_step = sum(task.step == number for task in known)
        assert progress.count_done(SPEC, number) == of_step
        for occurrence in range(OCCURRENCES):
            key = (occurrence, number)
            of_both = sum((task.occurrence, task.step) == key for task in known)
            assert progress.is_step_done(SPEC, *key) is (of_both == step.count)
