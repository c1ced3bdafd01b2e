"""Fairness to large jobs in a pool whose load exceeds its capacity."""

from __future__ import annotations

import pytest

from cornelturn.tests.overload import Load, Overload

SEEDS = (1, 2, 3)
LOADS = (Load(per_s=40.0, estimate_spread=0.9), Load(per_s=60.0, estimate_spread=0.9))


@pytest.mark.parametrize("load", LOADS)
@pytest.mark.parametrize("seed", SEEDS)
def test_largest_jobs_are_served_half_as_often_as_all_or_more(load, seed):
    overload = Overload(load, seed)
    overload.play()
    assert overload.served_of_largest() >= overload.served() / 2
