"""Orders of a target session whose owner loses the right to act before they are sent.

The process may stall between the decision to start a run and the start order; by then
another entry may own the pool. Stop orders are still sent.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest
from result import Err

from cornelturn.clock import ManualTime
from cornelturn.jobs.model import Run, TaskId
from cornelturn.scheduling.takeover import barrier_ms
from cornelturn.targets.model import (
    Executed,
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
    MIN_CLOCK_RATE,
    OrderSettled,
    SessionEvent,
    TargetClock,
    TargetSession,
)

LIFE = TargetLife("t-1", 1)
RUN = Run(TaskId("0" * 16, 0, 0, 0), 1)

PAUSE_MS = 20_000
"""Time in which an owner may not renew leases, such as a long outage of the store."""


@dataclass
class RecordingConnection:
    """Connection to a target that executes every order; records the orders."""

    orders: list[Order] = field(default_factory=list)

    async def send_order(self, order: Order, lease: Lease) -> OrderResult:
        self.orders.append(order)
        return Executed()

    async def fetch_report(
        self, lease: Lease, acknowledged: int, wait_ms: int
    ) -> ReportResult:
        return Err(Unanswered("no report in this test"))

    async def close(self) -> None:
        return


@pytest.mark.parametrize("order", [StartOrder(RUN, ""), StopOrder(RUN)])
def test_only_stop_orders_are_sent_once_the_owner_may_not_act(
    runner: asyncio.Runner, manual_time: ManualTime, order: Order
):
    connection = RecordingConnection()
    events: list[SessionEvent] = []
    may_act = [True]

    async def send_order_then_revoke() -> None:
        session = TargetSession(
            life=LIFE,
            connection=connection,
            clock=manual_time.clock(),
            token=1,
            lease_ms=LEASE_MS,
            post=events.append,
            may_renew=lambda: may_act[0],
        )
        session.send_order(order)
        may_act[0] = False
        await asyncio.sleep(1)

    runner.run(send_order_then_revoke())
    match order:
        case StartOrder():
            assert connection.orders == []
            (settled,) = events
            assert isinstance(settled, OrderSettled)
            assert isinstance(settled.result, Unanswered)
            assert not settled.result.was_sent
        case StopOrder():
            assert connection.orders == [order]


def test_lease_after_a_long_pause_ends_before_the_next_owner_stops_waiting():
    target_clock = TargetClock()
    target_clock.record_sample(0, 0)
    deadline_ms = target_clock.next_deadline(PAUSE_MS, LEASE_MS)
    slow_clock_ms = PAUSE_MS * MIN_CLOCK_RATE
    lease_ms = (deadline_ms - slow_clock_ms) / MIN_CLOCK_RATE
    assert lease_ms <= barrier_ms(has_no_active_predecessor=True, unconfirmed_ms=0)
