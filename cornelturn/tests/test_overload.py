"""Fairness to large jobs in a pool whose load exceeds its capacity."""

from __future__ import annotations

import pytest

from cornelturn.tests.overload import Load, Overload

SEEDS = (1, 2, 3)
LOADS = (
    Load(jobs_per_s=40.0, estimate_spread=0.9),
    Load(jobs_per_s=60.0, estimate_spread=0.9),
)


@pytest.mark.parametrize("load", LOADS)
@pytest.mark.parametrize("seed", SEEDS)
def test_largest_jobs_are_served_at_least_half_as_often_as_all(load, seed):
    overload = Overload(load, seed)
    overload.simulate()
    assert overload.served_of_largest() >= overload.served() / 2
