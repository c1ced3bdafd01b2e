"""Sessions with targets: the task that owns the connections to one target life.

It renews the lease by asking for reports, sends orders, and posts the answers as events
to the owner of the pool.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

from result import Err, Ok

from cornelturn.clock import Clock, to_seconds
from cornelturn.events.background import start_background
from cornelturn.targets.model import (
    Declined,
    Lease,
    Order,
    OrderResult,
    OtherLife,
    ReportResult,
    StartOrder,
    TargetLife,
    TargetReport,
    Unanswered,
)

LEASE_MS = 5_000
"""Duration of a lease: longer than a pool usually is without an owner."""

REPORT_WAIT_MS = 900
"""Longest time that a report waits for a run to end; bounds the age of reports."""

SILENT_AFTER_FAILURES = 2
"""Consecutive failed reports after which a target counts as silent."""

SILENT_RETRY_MS = 300
"""Pause between two report requests to a silent target."""

ACKNOWLEDGE_WAIT_MS = 150
"""Longest delay of the next report until the ends in the last one are stored."""

MIN_CLOCK_RATE = 0.98
"""Lowest rate of a target's clock relative to true time."""

LAPSE_MARGIN_MS = 300
"""Time that a target takes to stop its runs after a lease has lapsed, plus a margin."""


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """A report of a target was received."""

    report: TargetReport
    sent_ms: int


@dataclass(frozen=True, slots=True)
class OrderSettled:
    """An order was answered, or no answer will come any more."""

    life: TargetLife
    order: Order
    result: OrderResult


@dataclass(frozen=True, slots=True)
class ContactLost:
    """A target does not answer its session.

    Parameters
    ----------
    lapsed_ms : int or None
        When all its leases have lapsed, on the clock of this process; None if it has
        never answered.
    """

    life: TargetLife
    lapsed_ms: int | None


@dataclass(frozen=True, slots=True)
class LifeEnded:
    """The address answers for another life of the target, or for another target.

    Parameters
    ----------
    successor : TargetLife or None
        Life of the same target that answers, None if another target does.
    """

    life: TargetLife
    successor: TargetLife | None = None


@dataclass(frozen=True, slots=True)
class ReportDeclined:
    """A target has refused to report.

    Parameters
    ----------
    reason : str
        ``fence`` if the target has seen the fencing token of a later owner.
    """

    life: TargetLife
    reason: str


SessionEvent = ReportReceived | OrderSettled | ContactLost | LifeEnded | ReportDeclined


class TargetConnection(Protocol):
    """Connection to one life of a target."""

    async def send_order(self, order: Order, lease: Lease) -> OrderResult:
        """Send an order once, without a retry."""

    async def fetch_report(
        self, lease: Lease, acknowledged: int, wait_ms: int
    ) -> ReportResult:
        """Renew the lease and return the active and ended runs.

        Parameters
        ----------
        acknowledged : int
            Number of the last end that is stored; the target drops the ends up to it.
        wait_ms : int
            Longest time that the target may wait for a run to end.
        """

    def may_have_reached_other_life(self) -> bool:
        """Return whether another life of the target may have executed a start."""

    async def close(self) -> None:
        """Close the connections."""


@dataclass(slots=True)
class TargetClock:
    """Estimate of a target's clock from its answers.

    Parameters
    ----------
    sample_ms : int
        Clock of the target at its last answer.
    received_ms : int or None
        Clock of this process at that answer, None before the first one.
    deadline_ms : int
        Latest end of a lease that was sent to the target, on the target's clock.
    """

    sample_ms: int = 0
    received_ms: int | None = None
    deadline_ms: int = 0

    def record_sample(self, sample_ms: int, now_ms: int) -> None:
        """Record the target's clock from an answer."""
        self.sample_ms = sample_ms
        self.received_ms = now_ms

    def next_deadline(self, now_ms: int, lease_ms: int) -> int | None:
        """Return the end of a lease that starts now, None before the first answer.

        The target's clock may be slow, and the lease must not last longer for that.
        """
        if self.received_ms is None:
            return None
        elapsed_ms = int((now_ms - self.received_ms) * MIN_CLOCK_RATE)
        lease_end_ms = self.sample_ms + elapsed_ms + lease_ms
        self.deadline_ms = max(self.deadline_ms, lease_end_ms)
        return lease_end_ms

    def lapsed_ms(self) -> int | None:
        """Return when all leases have lapsed for certain, on this process's clock."""
        if self.received_ms is None:
            return None
        remaining_ms = max(0, self.deadline_ms - self.sample_ms)
        return self.received_ms + round(remaining_ms / MIN_CLOCK_RATE) + LAPSE_MARGIN_MS


@dataclass(slots=True)
class TargetSession:
    """Renews the lease of a target and sends it orders.

    Parameters
    ----------
    token : int
        Fencing token of the owner.
    post : callable
        Receives the events of the session; must not block.
    may_renew : callable
        Returns whether the owner may still grant leases.
    report_wait_ms : callable
        Returns the longest time that the next report may wait for a run to end.
    acknowledged : int
        Number of the last end that is stored and that the target may drop.
    last_listed : int
        Highest number of an end in the last report that had any.
    all_acknowledged : Event
        Set once all listed ends are stored.
    order_tasks : set of Task
        Orders in flight.
    """

    life: TargetLife
    connection: TargetConnection
    clock: Clock
    token: int
    lease_ms: int
    post: Callable[[SessionEvent], None]
    may_renew: Callable[[], bool]
    report_wait_ms: Callable[[], int] = lambda: REPORT_WAIT_MS
    target_clock: TargetClock = field(default_factory=TargetClock)
    acknowledged: int = 0
    last_listed: int = 0
    all_acknowledged: asyncio.Event = field(default_factory=asyncio.Event)
    order_tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def send_order(self, order: Order) -> None:
        """Send an order in the background; its result is posted as an event."""
        start_background(self.order_tasks, self._send_and_post(order))

    def acknowledge(self, acknowledged: int) -> None:
        """Allow the target to drop its ends up to a number."""
        self.acknowledged = max(self.acknowledged, acknowledged)
        if self.acknowledged >= self.last_listed:
            self.all_acknowledged.set()

    async def run(self) -> None:
        """Request reports until cancelled; each request renews the lease."""
        failures = 0
        try:
            while True:
                # Read the clock first: if the process stalls after this line, the lease
                # that it sends ends earlier, not later.
                sent_ms = self.clock.now_ms()
                if not self.may_renew():
                    await asyncio.sleep(to_seconds(SILENT_RETRY_MS))
                    continue
                if await self._request_report(failures, sent_ms):
                    failures = 0
                    await self._wait_for_acknowledgement()
                    continue
                failures += 1
                if failures >= SILENT_AFTER_FAILURES:
                    lapsed_ms = self.target_clock.lapsed_ms()
                    self.post(ContactLost(self.life, lapsed_ms))
                    await asyncio.sleep(to_seconds(SILENT_RETRY_MS))
        finally:
            for task in list(self.order_tasks):
                task.cancel()
            await self.connection.close()

    async def _request_report(self, failures: int, sent_ms: int) -> bool:
        """Request one report; a silent target gets no lease, so that its runs lapse."""
        deadline_ms = None
        if failures < SILENT_AFTER_FAILURES:
            deadline_ms = self.target_clock.next_deadline(sent_ms, self.lease_ms)
        may_wait = not failures and deadline_ms is not None
        wait_ms = self.report_wait_ms() if may_wait else 0
        lease = Lease(self.token, deadline_ms)
        match await self.connection.fetch_report(lease, self.acknowledged, wait_ms):
            case Ok(report):
                self._handle_report(report, sent_ms)
                return True
            case Err(OtherLife()):
                self.post(LifeEnded(self.life))
                return False
            case Err(Declined(reason)):
                self.post(ReportDeclined(self.life, reason))
                return False
            case Err(_):
                return False

    def _handle_report(self, report: TargetReport, sent_ms: int) -> None:
        if report.life != self.life and self.life.born_ms:
            self.post(LifeEnded(self.life, successor=report.life))
            return
        report = replace(report, life=self.life)
        self.target_clock.record_sample(report.clock_ms, self.clock.now_ms())
        if report.ended:
            self.last_listed = max(end.sequence for end in report.ended)
        self.post(ReportReceived(report, sent_ms))

    async def _wait_for_acknowledgement(self) -> None:
        if self.acknowledged >= self.last_listed:
            return
        self.all_acknowledged.clear()
        try:
            async with asyncio.timeout(to_seconds(ACKNOWLEDGE_WAIT_MS)):
                await self.all_acknowledged.wait()
        except TimeoutError:
            return

    async def _send_and_post(self, order: Order) -> None:
        match await self._send_order(order):
            case OtherLife(successor=TargetLife() as successor):
                unsent = Unanswered("a later life answers", was_sent=False)
                self.post(OrderSettled(self.life, order, unsent))
                self.post(LifeEnded(self.life, successor))
            case result:
                self.post(OrderSettled(self.life, order, result))

    async def _send_order(self, order: Order) -> OrderResult:
        deadline_ms = None
        if isinstance(order, StartOrder):
            # The process may have stalled since the scheduler decided on the start.
            now_ms = self.clock.now_ms()
            if not self.may_renew():
                return Unanswered("the owner may no longer act", was_sent=False)
            deadline_ms = self.target_clock.next_deadline(now_ms, self.lease_ms)
        return await self.connection.send_order(order, Lease(self.token, deadline_ms))
