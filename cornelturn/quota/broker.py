"""Task that sets the allotments of all pools while this entry holds the duty."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from cornelturn.clock import Clock, to_seconds
from cornelturn.events.background import start_background
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_event
from cornelturn.events.mailbox import Mailbox, post_every
from cornelturn.model.routes import RoutingTable
from cornelturn.peering.organisation_messages import CapsConfirmed, ConfirmedCap
from cornelturn.peering.quota_messages import QuotaGrant, QuotaReport
from cornelturn.quota.cap_log import CapLog
from cornelturn.quota.confirmation import CapConfirmations
from cornelturn.quota.ledger import QuotaLedger

PLAN_INTERVAL_MS = 20
"""Shortest interval of plans, each of which considers all reports since the last."""

CHECK_INTERVAL_S = 0.25
"""Interval of checks of the configuration and of the owners of the pools."""

PUBLISH_INTERVAL_MS = 1_000
"""Shortest interval of messages about confirmed caps, which people read. They are
repeated, so that entries notice the loss of the broker."""


@dataclass(frozen=True, slots=True)
class QuotaReported:
    """Report of a pool's owner, and the entry where that runs."""

    report: QuotaReport
    entry: str


@dataclass(frozen=True, slots=True)
class CheckDue:
    """Timer: take up the configuration and the generations of the pools' owners."""


@dataclass(frozen=True, slots=True)
class PlanDue:
    """Timer: plan with the reports that came since the last plan."""


BrokerMessage = QuotaReported | CheckDue | PlanDue


@dataclass(slots=True)
class QuotaBroker:
    """Takes reports of the pools' owners and sends them their allotments.

    Parameters
    ----------
    ledger : QuotaLedger
        What is known of the pools; a new broker starts without any.
    routing : callable
        Returns the configuration in force.
    pool_generation : callable
        Returns the generation of a pool's owner, as last read.
    is_current : callable
        Returns whether the rows of the duties were read since this one was taken.
    may_act : callable
        Returns whether this entry may still act on the duty.
    send : callable
        Sends a grant to an entry.
    publish : callable
        Sends the confirmed caps to the entries that show them, this one included.
    published_ms : int
        When the confirmed caps were last published.
    entries : dict
        Entry of the owner of each pool that has reported.
    table : RoutingTable or None
        Configuration that the ledger has, None before the first check.
    planned_ms : int
        When this broker last planned.
    """

    ledger: QuotaLedger
    clock: Clock
    routing: Callable[[], RoutingTable]
    pool_generation: Callable[[str], int]
    is_current: Callable[[], bool]
    may_act: Callable[[], bool]
    send: Callable[[str, QuotaGrant], None]
    publish: Callable[[CapsConfirmed], None]
    metrics: JobMetrics
    mailbox: Mailbox[BrokerMessage] = field(default_factory=Mailbox)
    cap_log: CapLog = field(default_factory=CapLog)
    confirmations: CapConfirmations = field(default_factory=CapConfirmations)
    published_ms: int = 0
    entries: dict[str, str] = field(default_factory=dict)
    table: RoutingTable | None = None
    planned_ms: int = 0
    is_plan_scheduled: bool = False
    background: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def generation(self) -> int:
        """Return the generation of this ownership, which is its fencing token."""
        return self.ledger.generation

    async def run(self) -> None:
        """Handle messages until cancelled."""
        start_background(
            self.background, post_every(self.mailbox, CheckDue(), CHECK_INTERVAL_S)
        )
        self._check()
        try:
            async for message in self.mailbox.messages():
                for received in (message, *self.mailbox.drain()):
                    self._handle(received)
                self._plan_when_due()
        finally:
            for task in self.background:
                task.cancel()
            self.metrics.quota.record_caps({})

    def _handle(self, message: BrokerMessage) -> None:
        match message:
            case QuotaReported(report, entry):
                if self.ledger.add_report(report, self.clock.now_ms()):
                    self.entries[report.pool] = entry
                    if self.confirmations.note_report(report, self.clock.now_ms()):
                        self._confirm_caps()
            case CheckDue():
                self._check()
            case PlanDue():
                self.is_plan_scheduled = False

    def _check(self) -> None:
        table = self.routing()
        if table is not self.table:
            self.table = table
            self.ledger.set_organisations(table.version, table.organisations)
            self.confirmations.set_caps(table.version, self.ledger.caps)
            self.metrics.quota.record_caps(self.ledger.caps)
        self._update_pools(table)
        self.cap_log.update(self.ledger, self.clock.now_ms())
        self._confirm_caps()
        self._publish_caps_if_due()

    def _confirm_caps(self) -> None:
        """Confirm and log the caps that the owners of all pools have by now."""
        if not self.may_act():
            return
        now_ms = self.clock.now_ms()
        for item in self.confirmations.confirm(self.ledger.pools, now_ms):
            log_event(
                "quota_confirmed",
                version=item.version,
                organisation=item.organisation,
                cap_cpu=item.cap.cpu,
                cap_mem_mb=item.cap.mem_mb,
                cap_gpu=item.cap.gpu,
                spread_ms=item.spread_ms,
                pools=len(self.ledger.pools),
            )

    def _publish_caps_if_due(self) -> None:
        now_ms = self.clock.now_ms()
        is_due = now_ms - self.published_ms >= PUBLISH_INTERVAL_MS
        if not is_due or not self.ledger.caps or not self.may_act():
            return
        self.published_ms = now_ms
        caps = tuple(
            ConfirmedCap(
                item.organisation,
                item.cap,
                item.version,
                item.spread_ms,
                now_ms - item.confirmed_ms,
            )
            for item in self.confirmations.confirmed.values()
        )
        self.publish(CapsConfirmed(self.generation, caps))

    def _update_pools(self, table: RoutingTable) -> None:
        if not self.is_current():
            return
        generations = {
            pool.name: self.pool_generation(pool.name) for pool in table.pools
        }
        self.ledger.set_pools(generations, self.clock.now_ms())

    def _plan_when_due(self) -> None:
        """Plan now, or schedule that if the last plan is too recent."""
        if not self.ledger.changed or self.is_plan_scheduled:
            return
        wait_ms = self.planned_ms + PLAN_INTERVAL_MS - self.clock.now_ms()
        if wait_ms <= 0:
            wait_ms = PLAN_INTERVAL_MS
            if not self._plan() or not self.ledger.changed:
                return
        self.is_plan_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(to_seconds(wait_ms), self.mailbox.post, PlanDue())

    def _plan(self) -> bool:
        """Send the grants that are due; return whether this broker may grant."""
        now_ms = self.planned_ms = self.clock.now_ms()
        if not self.ledger.is_open and self.table is not None:
            self._update_pools(self.table)
        if not self.ledger.is_open or not self.may_act():
            return False
        for grant in self.ledger.plan(now_ms):
            self.send(self.entries[grant.pool], grant)
        return True
