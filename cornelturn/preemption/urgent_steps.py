"""Urgent steps of a pool that wait for capacity."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import chain, islice, takewhile

from cornelturn.jobs.model import StepId
from cornelturn.preemption.decision import UrgentStep
from cornelturn.scheduling.reservations import has_failed
from cornelturn.scheduling.start_keys import StartKey
from cornelturn.scheduling.state import PoolState

URGENT_PRIORITY = 0
"""Priority of the queues whose work may have others stopped."""

START_WITHIN_MS = 2_100
"""Time within which urgent work should start."""

MIN_WAIT_MS = 100
"""Time that a step waits before runs are stopped for it. It is short, as what is
stopped later has worked for longer."""

STOP_MS = 400
"""Time that a stop takes: 200 ms on the target, and the order and the report. Work that
ends sooner is not stopped."""

MAX_STEPS = 64
"""Number of first urgent steps that a decision considers. It is well above the number
for which runs are stopped at once, so that the waits of those behind them count too."""


@dataclass(slots=True)
class UrgentSteps:
    """Notes since when urgent steps wait, and what they need.

    Parameters
    ----------
    keys : list of StartKey
        Waiting steps in start order, as of the last update.
    since_ms : dict
        When each of them was first seen waiting.
    """

    state: PoolState
    keys: list[StartKey] = field(default_factory=list)
    since_ms: dict[StepId, int] = field(default_factory=dict)

    def update(self, now_ms: int) -> bool:
        """Update the waiting steps; return whether other work may yield to any."""
        self.keys = list(islice(self._waiting_keys(), MAX_STEPS))
        if not self.keys or not self._has_other_work():
            self.keys.clear()
            self.since_ms.clear()
            return False
        steps = {key.step_id() for key in self.keys}
        self.since_ms = {
            step_id: self.since_ms.get(step_id, now_ms) for step_id in steps
        }
        return True

    def any_waits(self) -> bool:
        """Return whether any of the steps of the last update still waits."""
        return any(map(self._is_waiting, self.since_ms))

    def waited_ms(self, step_id: StepId, now_ms: int) -> int:
        """Return for how long a step has been seen waiting."""
        return now_ms - self.since_ms[step_id]

    def demands(self, now_ms: int) -> list[UrgentStep]:
        """Return what the steps need, in start order."""
        return [self._demand(key, now_ms) for key in self.keys]

    def _is_waiting(self, step_id: StepId) -> bool:
        job = self.state.jobs.get(step_id.job)
        is_open = job is not None and not job.is_final()
        return is_open and step_id in job.waiting_tasks

    def _waiting_keys(self) -> Iterator[StartKey]:
        """Return the urgent steps for which room may be made, in start order."""
        waiting_steps = self.state.waiting_steps
        tried = filter(is_urgent, waiting_steps.tried_keys())
        untried = takewhile(is_urgent, waiting_steps.in_order())
        seen: set[StepId] = set()
        for key in chain(tried, untried):
            step_id = key.step_id()
            if step_id not in seen and self._may_need(step_id):
                seen.add(step_id)
                yield key

    def _may_need(self, step_id: StepId) -> bool:
        """Return whether a step waits for capacity, and would use it."""
        if not self._is_waiting(step_id):
            return False
        job = self.state.jobs[step_id.job]
        step = job.spec.steps[step_id.step]
        if step.is_filling or job.needs_approval() or has_failed(job, step_id):
            return False
        return self.state.quota.admits(job.spec.organisation, step.start_need())

    def _has_other_work(self) -> bool:
        """Return whether any work has a lower priority."""
        return any(job.priority() > URGENT_PRIORITY for job in self.state.jobs.values())

    def _demand(self, key: StartKey, now_ms: int) -> UrgentStep:
        job, step_id = self.state.jobs[key.job], key.step_id()
        step, since_ms = job.spec.steps[key.step], self.since_ms[step_id]
        placed: Counter = Counter()
        if step.max_per_target:
            for run, life in self.state.placed_runs.get(key.job, ()):
                placed[life] += run.task.step_id() == step_id
        return UrgentStep(
            step_id,
            step.counted_need(),
            step.count if step.is_gang else len(job.waiting_tasks[step_id]),
            max(since_ms + START_WITHIN_MS, now_ms + STOP_MS),
            now_ms - since_ms >= MIN_WAIT_MS,
            step.is_gang,
            step.required_label,
            step.max_per_target,
            placed,
        )


def is_urgent(key: StartKey) -> bool:
    """Return whether other work may be stopped for a step."""
    return key.priority == URGENT_PRIORITY
