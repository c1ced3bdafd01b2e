"""The broker of the quota while this entry holds the duty."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from cornelturn.clock import Clock
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.model.routes import RoutingTable
from cornelturn.ownership.duties import QUOTA_DUTY
from cornelturn.ownership.keeper import DutyKeeper
from cornelturn.ownership.messages import DutyTaken
from cornelturn.peering.organisation_messages import CapsConfirmed
from cornelturn.peering.quota_messages import QuotaGrant, QuotaReport
from cornelturn.quota.broker import QuotaBroker, QuotaReported
from cornelturn.quota.ledger import QuotaLedger


@dataclass(slots=True)
class QuotaDuty:
    """Makes the broker when the duty is taken, and passes reports to it.

    Parameters
    ----------
    broker : QuotaBroker or None
        None while another entry holds the duty.
    """

    clock: Clock
    metrics: JobMetrics
    routing: Callable[[], RoutingTable]
    send: Callable[[str, QuotaGrant], None]
    publish: Callable[[CapsConfirmed], None]
    broker: QuotaBroker | None = None
    task: asyncio.Task[None] | None = None

    def new_broker(self, taken: DutyTaken, keeper: DutyKeeper) -> QuotaBroker:
        """Return a broker that knows nothing of the pools yet."""
        return QuotaBroker(
            ledger=QuotaLedger(taken.generation),
            clock=self.clock,
            routing=self.routing,
            pool_generation=keeper.duty_rows.generation,
            is_current=lambda: keeper.has_read_since(taken.revision),
            may_act=keeper.authority.may_act,
            send=self.send,
            publish=self.publish,
            metrics=self.metrics,
        )

    def start(self, broker: QuotaBroker, task: asyncio.Task[None]) -> None:
        """Replace the broker, which runs in a task."""
        self.end()
        self.broker, self.task = broker, task

    def end(self) -> None:
        """Cancel the broker's task, if there is one."""
        task, self.broker, self.task = self.task, None, None
        if task is not None:
            task.cancel()

    def forget(self, broker: object) -> bool:
        """Forget a broker that has ended; return whether it still had the duty."""
        if self.broker is not broker:
            return False
        self.broker = self.task = None
        return True

    def update(self, report: QuotaReport, entry: str) -> None:
        """Send the report of a pool's owner to the broker."""
        if self.broker is not None:
            self.broker.mailbox.post(QuotaReported(report, entry))

    def generation(self, pool: DutyTaken, keeper: DutyKeeper) -> int:
        """Return the generation of the broker for the owner of a pool, 0 if not known.

        Rows from before the owner took its pool may show a broker that was replaced;
        the later one would not know what that one allots to the pool.
        """
        if not keeper.has_read_since(pool.revision):
            return 0
        return keeper.duty_rows.generation(QUOTA_DUTY)
