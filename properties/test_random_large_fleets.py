"""Random faults on 43 entries and five pools: no work is lost, repeated or stalled.

``LARGE_DAYS=50 python -m pytest properties/test_random_large_fleets.py`` simulates
more days.
"""

from __future__ import annotations

import os

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cornelturn.tests.fleet_troubles import KINDS, Trouble
from cornelturn.tests.large_fleet import LOAD_S, hold_to_the_rules, play_large_day

DAYS = int(os.environ.get("LARGE_DAYS", "1"))

TROUBLES = st.lists(
    st.builds(
        Trouble,
        start_s=st.floats(1.0, LOAD_S - 2.0).map(lambda value: round(value, 1)),
        duration_s=st.floats(1.0, 6.0).map(lambda value: round(value, 1)),
        kind=st.sampled_from(KINDS),
        share=st.sampled_from((0.1, 0.2, 0.4)),
    ),
    min_size=2,
    max_size=7,
)


@settings(
    max_examples=DAYS,
    deadline=None,
    derandomize="LARGE_DAYS" not in os.environ,
    suppress_health_check=list(HealthCheck),
    print_blob=True,
)
@given(troubles=TROUBLES, seed=st.integers(0, 1_000))
def test_rules_hold_on_random_days_of_large_fleets(
    troubles: list[Trouble], seed: int
) -> None:
    hold_to_the_rules(play_large_day(troubles, seed))
