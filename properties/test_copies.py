"""Bounds of copies under random loads on targets that are slow for seconds."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from cornelturn.benchmarks.uneven_targets import Case, UnevenLoad, slow_periods
from cornelturn.targets.model import Order, StartOrder, TargetLife
from cornelturn.tests.overload import CAPACITY, Load

TARGETS = 4
SHARE = 0.1


class CountedLoad(UnevenLoad):
    """A load that checks the runs of each task at each start."""

    copies = 0

    def execute(self, life: TargetLife, order: Order) -> None:
        super().execute(life, order)
        if not isinstance(order, StartOrder):
            return
        counts = Counter(run.task for run in self.runs)
        assert max(counts.values()) <= (2 if self.may_run_copies else 1)
        need = sum(
            self.callers[task.job].spec.steps[task.step].need.cpu
            for task, count in counts.items()
            if count == 2
        )
        assert need <= SHARE * TARGETS * CAPACITY.cpu
        self.copies += counts[order.run.task] == 2


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 1_000_000), st.floats(0.3, 1.0), st.booleans())
def test_tasks_run_twice_only_within_the_bounds(seed, load, may_run_copies):
    """Guards against third runs, tasks without the flag that run twice, and excess."""
    case = Case("random", TARGETS, load, 0.2, is_lasting=False)
    played = CountedLoad(
        Load(load * TARGETS, 4_000, TARGETS),
        seed,
        periods=slow_periods(case, seed),
        may_run_copies=may_run_copies,
    )
    played.simulate()
    done = [caller.done_ms for caller in played.callers.values()]
    assert None not in done
