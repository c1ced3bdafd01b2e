"""The availability budget under any mix of failures and planned work."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from cornelturn.benchmarks.simulation import make_instances
from cornelturn.fleet.budget import measure_budget
from cornelturn.fleet.waves import DrainPolicy, new_wave, next_instances
from cornelturn.model.fleet import Instance, InstanceState, Pool

FIXED = settings(max_examples=200, deadline=None, derandomize=True, database=None)


@st.composite
def members(draw: st.DrawFn) -> tuple[list[Instance], set[str]]:
    """Return instances in any states and the names of those that are down."""
    found = [
        replace(one, state=draw(st.sampled_from(list(InstanceState))))
        for one in make_instances("phone", draw(st.integers(1, 12)))
    ]
    down = draw(st.sets(st.sampled_from([one.name for one in found])))
    return found, down


@FIXED
@given(members(), st.integers(0, 12))
def test_wave_never_takes_out_more_than_the_budget_leaves(
    drawn: tuple[list[Instance], set[str]], max_unavailable: int
) -> None:
    found, down = drawn
    pool = Pool("phone", max_unavailable)
    budget = measure_budget(pool, found, lambda name: name not in down)
    wave = new_wave("phone", 1, DrainPolicy.WAIT, found)
    chosen = next_instances(wave, found, budget)
    unavailable = {
        one.name
        for one in found
        if one.state is not InstanceState.IN_SERVICE or one.name in down
    }
    assert budget.unavailable() == len(unavailable)
    assert not chosen or len(unavailable) + len(chosen) <= max_unavailable


@FIXED
@given(members(), st.integers(0, 12))
def test_wave_takes_only_pending_instances_in_service(
    drawn: tuple[list[Instance], set[str]], max_unavailable: int
) -> None:
    found, _ = drawn
    budget = measure_budget(Pool("phone", max_unavailable), found, lambda _: True)
    wave = replace(
        new_wave("phone", 1, DrainPolicy.WAIT, found),
        pending=tuple(one.name for one in found[::2]),
    )
    by_name = {one.name: one for one in found}
    for name in next_instances(wave, found, budget):
        assert name in wave.pending
        assert by_name[name].state is InstanceState.IN_SERVICE
