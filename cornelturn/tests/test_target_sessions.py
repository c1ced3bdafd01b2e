"""Sessions of the targets of a pool when one of the targets cannot be called.

Guards against an owner that ends because no connection to a listed target can be made:
each later owner would read the same list and end in the same way.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from result import Ok

from cornelturn.clock import ManualTime
from cornelturn.scheduling.target_sessions import TargetSessions
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import ListedTarget, TargetReport
from cornelturn.targets.session import ContactLost, ReportReceived, SessionEvent
from cornelturn.tests.pool_jobs import LIFE, OTHER_LIFE, target

BROKEN_PORT = 7
EVENT_LIMIT_S = 2.0


class ReportingConnection:
    """Connection to a target that has no runs."""

    def __init__(self, listed: ListedTarget) -> None:
        self.listed = listed

    async def fetch_report(self, lease, acknowledged, wait_ms):
        await asyncio.sleep(0)
        return Ok(TargetReport(self.listed.life, 0, (), ()))

    async def close(self) -> None:
        """Close nothing."""


def connect(listed: ListedTarget) -> ReportingConnection:
    if listed.address.port == BROKEN_PORT:
        raise ValueError("broken address")
    return ReportingConnection(listed)


async def wait_for(events: asyncio.Queue[SessionEvent], kind: type, life) -> None:
    """Wait for an event of a target."""
    async with asyncio.timeout(EVENT_LIMIT_S):
        while True:
            event = await events.get()
            match event:
                case ReportReceived(report=TargetReport(life=reported)):
                    found = reported
                case _:
                    found = event.life
            if isinstance(event, kind) and found == life:
                return


@pytest.mark.parametrize(
    "address", [TargetAddress.loopback(BROKEN_PORT), None], ids=str
)
async def test_target_that_cannot_be_called_costs_it_alone(address):
    events: asyncio.Queue[SessionEvent] = asyncio.Queue()
    errors: list[BaseException] = []
    sessions = TargetSessions(
        1,
        ManualTime().clock(),
        connect,
        may_renew=lambda: True,
        report_wait_ms=lambda life: 0,
        post=events.put_nowait,
        failed=errors.append,
    )
    broken = target(LIFE, address=address)
    sessions.open(broken)
    sessions.open(target(OTHER_LIFE))
    await wait_for(events, ContactLost, LIFE)
    await wait_for(events, ReportReceived, OTHER_LIFE)
    # The same entry of the list changes nothing; one with a usable address does.
    session = sessions.by_life[LIFE]
    sessions.open(broken)
    assert sessions.by_life[LIFE] is session
    sessions.open(replace(broken, address=TargetAddress.loopback(1)))
    await wait_for(events, ReportReceived, LIFE)
    sessions.close_all()
    assert errors == []
