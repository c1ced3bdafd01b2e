"""While no target differs, plans are those of the code without estimates of speed."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from cornelturn.benchmarks.uneven_targets import UnevenLoad
from cornelturn.targets.model import Order, TargetLife
from cornelturn.tests.overload import Load

loads = st.builds(
    Load,
    jobs_per_s=st.floats(1.0, 8.0),
    duration_ms=st.just(3_000),
    targets=st.integers(2, 4),
    run_ms=st.sampled_from((150.0, 800.0, 3_000.0)),
    spread=st.sampled_from((0.0, 0.5, 1.0)),
    estimate_spread=st.sampled_from((0.0, 0.5)),
)


class OrderedLoad(UnevenLoad):
    """A load that notes its orders."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.orders: list[tuple[int, TargetLife, Order]] = []

    def execute(self, life: TargetLife, order: Order) -> None:
        self.orders.append((self.now_ms, life, order))
        super().execute(life, order)


@settings(max_examples=25, deadline=None)
@given(loads, st.integers(0, 1_000_000))
def test_orders_are_the_same_while_no_target_differs(load, seed):
    """Guards against targets that count as slow for late reports or stale progress."""
    played = [OrderedLoad(load, seed, is_enabled=value) for value in (False, True)]
    for item in played:
        item.simulate()
    assert played[0].orders == played[1].orders
    assert not played[1].scheduler.speeds.estimates.slow
