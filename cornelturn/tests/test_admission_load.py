"""What callers get of a simulated pool with admission, compared with none."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from cornelturn.tests.admission_load import (
    TYPICAL,
    AdmissionLoad,
    Decide,
    accept_all,
    by_admission,
    typical_load,
)

SEED = 1
LOAD = replace(TYPICAL, duration_ms=20_000)
BURST = (5_000.0, 11_000.0, 5.0)


@pytest.fixture
def play() -> Callable[[float, Decide], AdmissionLoad]:
    """Return a function that plays a load relative to the capacity."""

    def run(utilisation: float, decide: Decide, burst=(0.0, 0.0, 1.0)) -> AdmissionLoad:
        return typical_load(utilisation, SEED, decide, burst, LOAD)

    return run


@pytest.mark.parametrize("utilisation", [0.6, 1.0])
def test_no_job_is_refused_up_to_the_capacity(play, utilisation):
    # Guards against refusals without overload: every caller gets what it got before.
    admitted, without = play(utilisation, by_admission), play(utilisation, accept_all)
    assert admitted.refused() == set()
    assert admitted.on_time_jobs() == without.on_time_jobs()


@pytest.mark.parametrize("overload", [(2.0,), (0.6, BURST)], ids=["double", "burst"])
def test_overload_refuses_what_could_not_be_on_time(play, overload):
    # Guards against refusals of jobs that would be served, and against returning
    # callers that take the place of those who can still be on time.
    utilisation, *burst = overload
    admitted = play(utilisation, by_admission, *burst)
    without = play(utilisation, accept_all, *burst)
    assert admitted.refused()
    wrong = admitted.refused() & without.on_time_jobs()
    assert len(wrong) <= 0.01 * len(admitted.callers)
    assert admitted.mean_utility() >= 0.98 * without.mean_utility()
    assert admitted.results()["stored"] < without.results()["stored"]
