"""The broker of the quota while this entry holds the duty."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cornelturn.clock import Clock
from cornelturn.entry.fleet_wide_duty import FleetWideDuty
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.process_work import ProcessPart
from cornelturn.model.routes import RoutingTable
from cornelturn.ownership.duties import QUOTA_DUTY
from cornelturn.ownership.keeper import DutyKeeper
from cornelturn.ownership.messages import DutyTaken
from cornelturn.peering.organisation_messages import CapsConfirmed
from cornelturn.peering.quota_messages import QuotaGrant, QuotaReport
from cornelturn.quota.broker import QuotaBroker, QuotaReported
from cornelturn.quota.ledger import QuotaLedger


@dataclass(slots=True)
class QuotaDuty(FleetWideDuty[QuotaBroker]):
    """Creates the broker when the duty is taken, and passes reports to it.

    Parameters
    ----------
    send : callable
        Sends a grant to an entry.
    publish : callable
        Sends the confirmed caps to all entries that show them.
    """

    part = ProcessPart.OWNER
    clock: Clock
    metrics: JobMetrics
    routing: Callable[[], RoutingTable]
    send: Callable[[str, QuotaGrant], None]
    publish: Callable[[CapsConfirmed], None]

    def new_owner(self, taken: DutyTaken, keeper: DutyKeeper) -> QuotaBroker:
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

    def update(self, report: QuotaReport, entry: str) -> None:
        """Send the report of a pool's owner to the broker."""
        if self.owner is not None:
            self.owner.mailbox.post(QuotaReported(report, entry))

    def broker_generation(self, pool: DutyTaken, keeper: DutyKeeper) -> int:
        """Return the generation of the broker for the owner of a pool, 0 if not known.

        Rows from before the owner took its pool may show a broker that was replaced;
        the later one would not know what that one allots to the pool.
        """
        if not keeper.has_read_since(pool.revision):
            return 0
        return keeper.duty_rows.generation(QUOTA_DUTY)
