"""Outlooks of occurrences, and starts while occurrences become late.

Guards against occurrences with a wrong outlook, and against starts that depend on how
many occurrences are open while their outlooks change.
"""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from cornelturn.jobs.model import JobSpec, Recurrence
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.routes import JobQueue
from cornelturn.scheduling.outlooks import DueTimes, Outlook
from cornelturn.scheduling.step_opening import OPEN_AHEAD
from properties.test_due_occurrence_properties import (
    ANY_TIME,
    MAX_OCCURRENCES,
    Pool,
    make_pool,
    play,
    rounds,
    step_lists,
)

recurrences = st.builds(
    Recurrence,
    st.integers(1, MAX_OCCURRENCES),
    st.integers(0, 60),
    st.sampled_from((0, 1, 5, 10)),
)
jobs = st.lists(st.tuples(step_lists(), recurrences), min_size=1, max_size=3)


@dataclass(slots=True)
class LatePool(Pool):
    """A pool whose jobs are late after a few plans."""

    slack_ms: int = 0

    def add(self, number: int, spec_of: tuple, progress: Progress) -> None:
        job_steps, recurrence = spec_of
        job = f"{number:016x}"
        queue = JobQueue("q", "host", "/q/", "pool", slack_ms=self.slack_ms)
        spec = JobSpec(job, queue.name, "pool", "text", job_steps, recurrence)
        key = job_key(queue.name, job)
        row = JobRow(spec, progress)
        self.scheduler.add_job(key, row, number + 1, queue, self.now_ms)


@ANY_TIME
@given(jobs, rounds, st.integers(0, 60))
def test_pool_starts_the_same_while_occurrences_become_late(specs, played, slack_ms):
    pools = tuple(
        LatePool(make_pool(ahead).scheduler, slack_ms=slack_ms)
        for ahead in (OPEN_AHEAD, MAX_OCCURRENCES)
    )
    for pool in pools:
        for number, spec in enumerate(specs):
            pool.add(number, spec, Progress())
    play(pools, [], played)


times = st.integers(-50, 150)


@ANY_TIME
@given(recurrences, times, times, times, st.integers(-20, 40), st.integers(0, 40))
def test_outlooks_are_those_of_each_occurrence(
    recurrence, arrived_ms, first_due_ms, now_ms, on_time_ms, further_ms
):
    late_ms = on_time_ms + further_ms
    due_times = DueTimes(recurrence, arrived_ms, first_due_ms)
    forecast = due_times.forecast(now_ms, on_time_ms, late_ms)
    for occurrence in range(recurrence.count):
        due_ms = first_due_ms + occurrence * recurrence.interval_ms
        waited_ms = now_ms - max(arrived_ms, due_ms)
        expected = Outlook(1 + (waited_ms > on_time_ms) + (waited_ms > late_ms))
        assert forecast.outlooks.of(occurrence) is expected
    of_ranges = {
        occurrence: outlook
        for outlook, occurrences in forecast.outlooks.ranges(recurrence.count)
        for occurrence in occurrences
    }
    assert of_ranges == {
        number: forecast.outlooks.of(number) for number in range(recurrence.count)
    }
    if forecast.until_ms is not None:
        unchanged = due_times.forecast(forecast.until_ms, on_time_ms, late_ms)
        assert unchanged.outlooks == forecast.outlooks
        later = due_times.forecast(forecast.until_ms + 1, on_time_ms, late_ms)
        assert later.outlooks != forecast.outlooks
