"""Bounds of preemption under random loads of two priorities."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from hypothesis import given, settings
from hypothesis import strategies as st

from cornelturn.benchmarks.urgent_load import Alternative, Case, UrgentLoad
from cornelturn.preemption.decision import PreemptionSettings
from cornelturn.preemption.stop_record import MAX_STOPS_PER_TASK
from cornelturn.targets.model import Order, StartOrder, StopOrder, TargetLife
from cornelturn.tests.overload import CAPACITY, Load

TARGETS = 4
LOAD = Load(0, 15_000, TARGETS, estimate_spread=0.25)


@dataclass
class CheckedLoad(UrgentLoad):
    """A load that checks each stop, and records all starts."""

    stops_ms: list[tuple[int, int]] = field(default_factory=list)
    starts: list[tuple[int, Order, TargetLife]] = field(default_factory=list)

    def execute(self, life: TargetLife, order: Order) -> None:
        super().execute(life, order)
        if isinstance(order, StartOrder):
            self.starts.append((self.now_ms, order, life))
        if not isinstance(order, StopOrder):
            return
        task, played = order.run.task, self.runs[order.run]
        assert task.job not in self.urgent
        assert self.scheduler.preemption.stops.counts[task] <= MAX_STOPS_PER_TASK
        self.stops_ms.append((self.now_ms, played.step.need.cpu))
        recent = [cpu for ms, cpu in self.stops_ms if self.now_ms - ms < 1_000]
        share = self.alternative.preemption.share_per_s
        assert sum(recent) <= share * TARGETS * CAPACITY.cpu


@settings(max_examples=10, deadline=None)
@given(
    st.integers(0, 1_000_000),
    st.floats(0.0, 1.0),
    st.floats(0.1, 1.5),
    st.booleans(),
    st.floats(0.05, 1.0),
)
def test_stops_stay_within_their_bounds(seed, long_share, urgent, is_saving, share):
    """Guards against stops beyond the share, of urgent work, or of one task for ever.

    All jobs end, or the load would not.
    """
    case = Case("random", long_share, urgent, is_checkpointing=is_saving)
    preemption = PreemptionSettings(True, share, 10_000)
    played = CheckedLoad(
        LOAD, seed, case=case, alternative=Alternative("on", preemption=preemption)
    )
    played.simulate()


@settings(max_examples=5, deadline=None)
@given(st.integers(0, 1_000_000), st.floats(0.0, 1.0))
def test_without_urgent_work_plans_are_the_same(seed, long_share):
    """Guards against an effect of the setting on pools without urgent work."""
    case = Case("other work", long_share, 0.0)
    off = Alternative("off")
    plans = []
    for alternative in (off, replace(off, preemption=PreemptionSettings(True))):
        played = CheckedLoad(LOAD, seed, case=case, alternative=alternative)
        played.simulate()
        plans.append(played.starts)
    assert plans[0] == plans[1]
