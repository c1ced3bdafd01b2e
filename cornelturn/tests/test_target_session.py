"""What the session of a target sends once its owner may act no more."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest
from result import Err

from cornelturn.clock import ManualTime
from cornelturn.jobs.model import Run, TaskId
from cornelturn.targets.model import (
    Carried,
    Lease,
    Order,
    OrderResult,
    ReportResult,
    StartOrder,
    StopOrder,
    TargetLife,
    Unanswered,
)
from cornelturn.targets.session import (
    LEASE_MS,
    OrderSettled,
    SessionEvent,
    TargetSession,
)
from cornelturn.tests.network import FakeTimeLoop

LIFE = TargetLife("t-1", 1)
RUN = Run(TaskId("0" * 16, 0, 0, 0), 1)


@dataclass
class RecordedCalls:
    """Calls to a target that carries every order out."""

    orders: list[Order] = field(default_factory=list)

    async def order(self, order: Order, lease: Lease) -> OrderResult:
        self.orders.append(order)
        return Carried()

    async def report(self, lease: Lease, seen: int, wait_ms: int) -> ReportResult:
        return Err(Unanswered("not asked"))

    async def close(self) -> None:
        return


@pytest.fixture
def runner() -> Iterator[asyncio.Runner]:
    """Return a runner with a fake clock."""
    with asyncio.Runner(loop_factory=FakeTimeLoop) as found:
        yield found


@pytest.mark.parametrize("order", [StartOrder(RUN, ""), StopOrder(RUN)])
def test_start_that_was_held_up_until_its_owner_may_act_no_more_is_not_sent(
    runner: asyncio.Runner, manual_time: ManualTime, order: Order
):
    calls = RecordedCalls()
    events: list[SessionEvent] = []
    may_act = [True]

    async def give() -> None:
        session = TargetSession(
            life=LIFE,
            calls=calls,
            clock=manual_time.clock(),
            token=1,
            lease_ms=LEASE_MS,
            post=events.append,
            may_renew=lambda: may_act[0],
        )
        session.give(order)
        may_act[0] = False
        await asyncio.sleep(1)

    runner.run(give())
    match order:
        case StartOrder():
            assert calls.orders == []
            (settled,) = events
            assert isinstance(settled, OrderSettled)
            assert isinstance(settled.result, Unanswered)
            assert not settled.result.was_sent
        case StopOrder():
            assert calls.orders == [order]
