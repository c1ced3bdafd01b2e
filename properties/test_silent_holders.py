"""Bounds on the last act of a silent holder hold against a simulation.

Entries with clocks of their own renew and read leases in a store that loses and delays
calls; some are cut off, frozen, stopped or started, at any time. One holds a duty until
another takes it. Once any of the others, however late it started, computes the time
until which the holder can have acted, the holder must not have acted after that time,
nor may it ever act again.

``HOLDERS=2000 python -m pytest properties/test_silent_holders.py`` draws more of them.
"""

from __future__ import annotations

import os
import random
from collections.abc import Callable

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from properties.holder_faults import (
    END_MS,
    Fault,
    draw_faults,
    draw_groups,
    draw_split,
)
from properties.holder_simulation import play

HOLDERS = int(os.environ.get("HOLDERS", "600"))


@settings(
    max_examples=HOLDERS,
    deadline=None,
    derandomize="HOLDERS" not in os.environ,
    suppress_health_check=list(HealthCheck),
    print_blob=True,
)
@given(
    number=st.integers(2, 7),
    draw=st.sampled_from((draw_faults, draw_groups)),
    seed=st.integers(0, 2**32),
)
def test_holder_never_acts_after_the_bound_that_others_computed(
    number: int, draw: Callable[[random.Random, int], list[Fault]], seed: int
) -> None:
    world = play(number, draw(random.Random(seed), number), seed)
    assert all(world.acted_ms <= bound_ms + 1 for bound_ms in world.bounds_ms)


@settings(
    max_examples=HOLDERS // 2,
    deadline=None,
    derandomize="HOLDERS" not in os.environ,
    suppress_health_check=list(HealthCheck),
    print_blob=True,
)
@given(number=st.integers(2, 9), seed=st.integers(0, 2**32))
def test_holder_in_a_split_never_acts_after_the_bound_that_others_computed(
    number: int, seed: int
) -> None:
    world = play(number, draw_split(random.Random(seed), number), seed)
    assert all(world.acted_ms <= bound_ms + 1 for bound_ms in world.bounds_ms)


def test_holder_alone_without_the_store_is_proven_inactive() -> None:
    cut = Fault(3_000, END_MS, "cut_store", frozenset({0}))
    world = play(5, [cut], 1)
    assert world.bounds_ms
    assert 3_000 < world.acted_ms <= min(world.bounds_ms) < 8_000


def test_holder_keeps_acting_while_no_entry_reaches_the_store() -> None:
    cut = Fault(3_000, END_MS, "cut_store", frozenset(range(5)))
    world = play(5, [cut], 1)
    assert world.acted_ms > END_MS - 1_000
    assert not world.bounds_ms
