"""Stand-in for the tail latency of serving runs beside filling runs on a worker."""

from __future__ import annotations

import asyncio
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from cornelturn.clock import to_seconds
from cornelturn.jobs.model import CPU_UNITS_PER_CORE, Run, Step
from cornelturn.platform.standin.worker import RunningTask, WorkerStandin

SAMPLE_MS = 50
"""Interval at which the loads of all runs are computed."""

FIGURE_AGE_MS = 500
"""Age of the loads that a report states."""


def _step(worker: WorkerStandin, run: Run) -> Step | None:
    job = worker.checker.jobs.get(run.task.job)
    return job.steps[run.task.step] if job is not None else None


@dataclass(frozen=True, slots=True)
class Sample:
    """Load of each run on a worker at one time."""

    time_ms: int
    loads: dict[Run, int]


@dataclass(slots=True)
class InterferenceStandin:
    """Plays the tail latency of the serving runs of workers, and judges the paces.

    Parameters
    ----------
    workers : callable
        Returns the workers whose runs are played.
    own_share : float
        Tail latency of each serving run by its own load, as a share of its limit.
    factor : callable
        Returns the logarithm of the growth for each core that a filling image uses
        beside a serving image.
    noise : float
        Standard deviation of the figures, as a share of them.
    samples : dict
        Recent samples of each worker.
    overloads_ms : dict
        How long each serving run has been over its limit because of filling work.
    longest_ms : int
        Longest such time of any run so far.
    done_cores_ms : float
        Filling work done, in milliseconds of a core.
    """

    workers: Callable[[], list[WorkerStandin]]
    factor: Callable[[str, str], float]
    own_share: float = 0.5
    noise: float = 0.1
    rng: random.Random = field(default_factory=lambda: random.Random(3))
    samples: dict[str, deque[Sample]] = field(default_factory=dict)
    overloads_ms: dict[Run, int] = field(default_factory=dict)
    longest_ms: int = 0
    done_cores_ms: float = 0.0

    async def run(self) -> None:
        """Play until cancelled."""
        while True:
            for worker in self.workers():
                worker.run_load = self.load
                self._sample(worker)
            await asyncio.sleep(to_seconds(SAMPLE_MS))

    def load(self, worker: WorkerStandin, task: RunningTask) -> int:
        """Return the load that a report states: imprecise and old."""
        samples = self.samples.get(worker.label, deque())
        seen_ms = worker.now_ms() - FIGURE_AGE_MS
        for sample in reversed(samples):
            if sample.time_ms <= seen_ms:
                return round(
                    sample.loads.get(task.run, 0)
                    * self.rng.lognormvariate(0, self.noise)
                )
        return 0

    def _sample(self, worker: WorkerStandin) -> None:
        loads: dict[Run, int] = {}
        filling: list[tuple[str, float]] = []
        for run, task in worker.runs.items():
            step = _step(worker, run)
            if step is not None and step.is_filling:
                loads[run] = step.need.cpu * task.pace // 100
                filling.append((step.image, loads[run] / CPU_UNITS_PER_CORE))
        self.done_cores_ms += SAMPLE_MS * sum(cores for _, cores in filling)
        for run in worker.runs:
            step = _step(worker, run)
            if step is None or not step.tail_limit_ms:
                continue
            growth = sum(
                self.factor(step.image, image) * cores for image, cores in filling
            )
            share = self.own_share * math.exp(growth)
            loads[run] = round(step.tail_limit_ms * share)
            self._judge(run, share, is_disturbed=growth > 0)
        samples = self.samples.setdefault(worker.label, deque(maxlen=40))
        samples.append(Sample(worker.now_ms(), loads))

    def _judge(self, run: Run, share: float, is_disturbed: bool) -> None:
        is_over = share > 1 and self.own_share <= 1 and is_disturbed
        overload_ms = self.overloads_ms.get(run, 0) + SAMPLE_MS if is_over else 0
        self.overloads_ms[run] = overload_ms
        self.longest_ms = max(self.longest_ms, overload_ms)
