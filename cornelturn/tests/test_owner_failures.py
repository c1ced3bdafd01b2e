"""Unexpected errors in the owner of a pool: its pool goes on, and so does the entry.

Guards against an error that ends the whole process, and against one in a task of the
owner that nobody notices, so that the pool stands still.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import pytest

from cornelturn.fleet.machine_owner import WaveRequested
from cornelturn.scheduling.messages import TargetsListed
from cornelturn.scheduling.owner import PoolOwner
from cornelturn.store.port import RowStore
from cornelturn.store.rows import Operation
from cornelturn.tests.job_fleet import JobFleet, submit_jobs, wait_until_completed

pytestmark = pytest.mark.causes_errors

TAKEOVER_S = 3.0


@dataclass
class BrokenStore:
    """Store whose writes end with an error that no caller expects."""

    store: RowStore

    def __getattr__(self, name: str):
        return getattr(self.store, name)

    async def commit(self, *operations: Operation):
        raise RuntimeError("commit")


class BrokenConnection:
    """Connection to a target whose calls end with an error that nobody expects."""

    async def send_order(self, order, lease):
        raise RuntimeError("order")

    async def fetch_report(self, lease, acknowledged, wait_ms):
        raise RuntimeError("report")

    async def close(self) -> None:
        """Close nothing."""


def break_writes(owner: PoolOwner) -> None:
    """Let the tasks that write rows of jobs fail."""
    owner.commits.store = BrokenStore(owner.store)


def break_sessions(owner: PoolOwner) -> None:
    """Let the tasks that talk to the targets fail."""
    for session in owner.sessions.by_life.values():
        session.connection = BrokenConnection()


def post_malformed_message(owner: PoolOwner) -> None:
    """Let the handling of a message fail."""
    owner.mailbox.post(TargetsListed(None))


@pytest.mark.parametrize(
    "break_owner", [break_writes, break_sessions, post_malformed_message]
)
def test_failed_owner_costs_neither_its_pool_nor_its_entry(
    play, break_owner: Callable[[PoolOwner], None]
):
    async def scenario(fleet: JobFleet) -> None:
        await wait_until_completed(fleet, await submit_jobs(fleet, 2))
        entry = fleet.entries[fleet.owners()["phone"]]
        owner = entry.duties.owned_pools["phone"].owner
        break_owner(owner)
        await wait_until_completed(fleet, await submit_jobs(fleet, 4, first=100))
        assert not entry.failed.is_set()
        owners = (
            other.duties.owned_pools["phone"].owner
            for other in fleet.entries.values()
            if "phone" in other.duties.owned_pools
        )
        assert owner not in owners

    fleet = play(scenario, entries=3, workers=3)
    assert fleet.checker.violations == []
    assert set(fleet.checker.start_counts.values()) == {1}


def test_failed_owner_of_the_machines_is_replaced_without_the_end_of_its_entry(play):
    async def scenario(fleet: JobFleet) -> None:
        (entry,) = (
            entry
            for entry in fleet.entries.values()
            if entry.duties.machines.owner is not None
        )
        failed_owner = entry.duties.machines.owner
        failed_owner.mailbox.post(WaveRequested(None, 0))

        def has_new_owner() -> bool:
            machines = (other.duties.machines for other in fleet.entries.values())
            owners = [owned.owner for owned in machines if owned.owner is not None]
            return owners not in ([], [failed_owner])

        await fleet.wait_until(has_new_owner, TAKEOVER_S)
        assert not entry.failed.is_set()

    play(scenario, entries=3)
