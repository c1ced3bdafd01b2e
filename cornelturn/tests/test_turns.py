"""Share of jobs on time while the queues of a fleet reach their peaks in turn."""

from __future__ import annotations

import pytest

from cornelturn.tests.turns import QUEUES, Burst, Takeover, TurnSimulation

BURSTS = (
    Burst("education", 3_200, 9_300, 2.2),
    Burst("employment", 13_000, 17_000, 1.7),
)
"""More load than all machines carry, from the peak of a queue into that of the next."""

TAKEOVERS = (Takeover("education", 6_500, 12_500),)

BASELINE_BUFFER_SHARE = 0.5
"""Share of its base size that an idle pool of the baseline keeps."""

NOISE_SHARE = 0.03
"""Difference between two variants below which the benchmark reports noise."""


def on_time_shares(simulation: TurnSimulation) -> dict[str, float]:
    """Run a simulation and return the share of jobs on time of each queue."""
    simulation.run()
    return {queue.pool: simulation.on_time_share(queue.pool) for queue in QUEUES}


@pytest.fixture
def with_large_buffers(monkeypatch: pytest.MonkeyPatch):
    """Return a function that simulates idle pools with half of their base size."""

    def shares_on_time(simulation: TurnSimulation) -> dict[str, float]:
        with monkeypatch.context() as patch:
            patch.setattr(
                "cornelturn.capacity.sizing.BUFFER_SHARE", BASELINE_BUFFER_SHARE
            )
            return on_time_shares(simulation)

    return shares_on_time


def test_idle_pools_free_machines_for_overloaded_queues(
    with_large_buffers,
):
    shares, baseline = (
        on_time_shares(TurnSimulation(BURSTS)),
        with_large_buffers(TurnSimulation(BURSTS)),
    )
    for pool in ("employment", "references"):
        assert shares[pool] >= baseline[pool] + NOISE_SHARE


def test_worst_queue_of_a_quiet_day_is_served_as_well_as_with_large_buffers(
    with_large_buffers,
):
    assert min(on_time_shares(TurnSimulation()).values()) >= min(
        with_large_buffers(TurnSimulation()).values()
    )


def test_held_back_jobs_keep_no_machines_from_the_next_queue():
    shares = on_time_shares(TurnSimulation(BURSTS, TAKEOVERS))
    baseline = on_time_shares(
        TurnSimulation(BURSTS, TAKEOVERS, reports_held_back=False)
    )
    assert shares["employment"] >= baseline["employment"] + NOISE_SHARE
