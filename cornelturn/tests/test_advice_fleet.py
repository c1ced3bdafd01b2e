"""Fleet tests of a queue whose targets a service must approve.

No worker may get a start without a valid ticket, whatever happens to the answers.
"""

from __future__ import annotations

import pytest

from cornelturn.tests.job_fleet import (
    JobFleet,
    job_id,
    phases,
    wait_until_completed,
)

PHONE = frozenset({"phone"})


@pytest.fixture
def play_approved(play):
    """Return a function that plays a script with a queue that needs approval.

    It fails if any start lacked a valid ticket.
    """

    def run(script, **sizes: int) -> JobFleet:
        fleet = play(script, approval_pools=PHONE, **sizes)
        assert fleet.approvals.rejected_starts == 0
        return fleet

    return run


async def submit(fleet: JobFleet, *numbers: int, widths=(3, 2)) -> list[str]:
    jobs = [job_id(number) for number in numbers]
    for job in jobs:
        assert await fleet.submit("entry-0", "phone", job, phases(*widths)) == 200
    return jobs


def test_job_is_completed_on_approved_workers_only(play_approved):
    async def scenario(fleet: JobFleet) -> None:
        fleet.approvals.is_approved = lambda step, worker: worker == "phone-1"
        jobs = await submit(fleet, 1)
        await fleet.wait_until(lambda: fleet.checker.start_counts)
        assert not fleet.workers["phone-0"].runs
        await wait_until_completed(fleet, jobs)

    fleet = play_approved(scenario)
    assert {call.phase for call in fleet.approvals.calls} == {
        f"{job_id(1)}.0.0",
        f"{job_id(1)}.0.1",
    }
