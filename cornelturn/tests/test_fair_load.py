"""What organisations get of a simulated pool that they load for some time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import pytest

from cornelturn.tests.fair_load import OrganisationLoad
from cornelturn.tests.overload import Load

SEEDS = (1, 2, 3)
DURATION_MS = 30_000
ORGANISATIONS = 24
TARGETS = 30
USUAL_RATE = 0.9
"""Jobs per second of each organisation; 0.9 of its weight."""

FLOOD_FACTOR = 7.5


@pytest.fixture
def play() -> Callable[..., OrganisationLoad]:
    """Return a function that plays a load in which one organisation may flood."""

    def run(
        seed: int, flood_factor: float = 1.0, targets: int = TARGETS
    ) -> OrganisationLoad:
        names = [f"o{number:02}" for number in range(ORGANISATIONS)]
        rates = dict.fromkeys(names, USUAL_RATE)
        rates["o00"] *= flood_factor
        load = Load(jobs_per_s=1.0, duration_ms=DURATION_MS, targets=targets)
        played = OrganisationLoad(
            load, seed, rates=rates, weights=dict.fromkeys(names, 1.0)
        )
        played.simulate()
        return played

    return run


def test_a_flood_changes_what_the_others_get_by_at_most_5_percent(play):
    """Guards against excess of one organisation that takes the place of others' work.

    The jobs of a few seeds are counted together, as one job of an organisation is 4%
    of what it gets in one run.
    """
    usual: Counter[str] = Counter()
    flooded: Counter[str] = Counter()
    for seed in SEEDS:
        usual += play(seed).on_time_by_organisation()
        flooded += play(seed, FLOOD_FACTOR).on_time_by_organisation()
    others = [name for name in usual if name != "o00"]
    changes = {name: flooded[name] / usual[name] - 1 for name in others}
    assert max(map(abs, changes.values())) <= 0.05, changes
    assert flooded["o00"] >= usual["o00"]


def test_worst_tenth_gets_at_least_08_of_the_mean_beside_a_flood(play):
    """Guards against organisations that are served last because of their names."""
    on_time: Counter[str] = Counter()
    sent: Counter[str] = Counter()
    for seed in SEEDS:
        played = play(seed, FLOOD_FACTOR, targets=24)
        on_time += played.on_time_by_organisation()
        sent += Counter(played.organisations.values())
    shares = sorted(on_time[name] / sent[name] for name in sent if name != "o00")
    worst = shares[: round(len(shares) * 0.1)]
    assert sum(worst) / len(worst) >= 0.8 * sum(shares) / len(shares), shares
