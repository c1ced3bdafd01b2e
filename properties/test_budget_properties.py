"""Waves keep to the availability budget for any mix of failures and planned work."""

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
def instances_and_down(draw: st.DrawFn) -> tuple[list[Instance], set[str]]:
    """Return instances in arbitrary states and the names of those that are down."""
    instances = [
        replace(instance, state=draw(st.sampled_from(list(InstanceState))))
        for instance in make_instances("phone", draw(st.integers(1, 12)))
    ]
    down = draw(st.sets(st.sampled_from([instance.name for instance in instances])))
    return instances, down


@FIXED
@given(instances_and_down(), st.integers(0, 12))
def test_wave_never_takes_out_more_than_the_budget_leaves(
    drawn: tuple[list[Instance], set[str]], max_unavailable: int
) -> None:
    instances, down = drawn
    pool = Pool("phone", max_unavailable)
    budget = measure_budget(pool, instances, lambda name: name not in down)
    wave = new_wave("phone", 1, DrainPolicy.WAIT, instances)
    chosen = next_instances(wave, instances, budget)
    unavailable = {
        instance.name
        for instance in instances
        if instance.state is not InstanceState.IN_SERVICE or instance.name in down
    }
    assert budget.unavailable() == len(unavailable)
    assert not chosen or len(unavailable) + len(chosen) <= max_unavailable


@FIXED
@given(instances_and_down(), st.integers(0, 12))
def test_wave_takes_only_pending_instances_in_service(
    drawn: tuple[list[Instance], set[str]], max_unavailable: int
) -> None:
    instances, _ = drawn
    budget = measure_budget(Pool("phone", max_unavailable), instances, lambda _: True)
    wave = replace(
        new_wave("phone", 1, DrainPolicy.WAIT, instances),
        pending=tuple(instance.name for instance in instances[::2]),
    )
    by_name = {instance.name: instance for instance in instances}
    for name in next_instances(wave, instances, budget):
        assert name in wave.pending
        assert by_name[name].state is InstanceState.IN_SERVICE
