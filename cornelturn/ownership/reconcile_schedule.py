"""When the keeper of duties renews the lease of this entry and reads the rows."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from cornelturn.clock import to_seconds
from cornelturn.events.mailbox import Mailbox
from cornelturn.ownership.messages import KeeperMessage, ReconcileDue

RENEW_INTERVAL_S = 1.0
"""Time between two renewals; a lease lapses after two and a half of them."""

RECONCILE_DELAY_S = 0.05
"""Delay of a reconcile after entries join or leave, so that one covers several."""


@dataclass(slots=True)
class ReconcileSchedule:
    """Posts the requests to reconcile; at most one of each kind waits in the mailbox.

    Parameters
    ----------
    mailbox : Mailbox
        Mailbox of the keeper.
    is_renewal_pending : bool
        Whether a reconcile with a renewal of the lease waits in the mailbox.
    is_reconcile_pending : bool
        Whether a reconcile without one waits in the mailbox.
    is_delayed : bool
        Whether a reconcile is due after `RECONCILE_DELAY_S`.
    lapse_timer : TimerHandle or None
        Timer of the next lapse of a lease.
    """

    mailbox: Mailbox[KeeperMessage]
    is_renewal_pending: bool = False
    is_reconcile_pending: bool = False
    is_delayed: bool = False
    lapse_timer: asyncio.TimerHandle | None = None

    async def renew_periodically(self) -> None:
        """Request a renewal at a fixed interval; renewals do not queue up."""
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            self.request_renewal()

    def request_renewal(self) -> None:
        """Request a renewal of the lease and a read of the rows now."""
        if not self.is_renewal_pending:
            self.is_renewal_pending = True
            self.mailbox.post(ReconcileDue())

    def request_reconcile(self) -> None:
        """Request a read of the rows now, since a duty has changed."""
        if not self.is_reconcile_pending:
            self.is_reconcile_pending = True
            self.mailbox.post(ReconcileDue(is_renewal=False))

    def request_delayed_reconcile(self) -> None:
        """Request a read of the rows soon, since entries join or leave in bursts."""
        if not self.is_delayed:
            self.is_delayed = True
            loop = asyncio.get_running_loop()
            loop.call_later(RECONCILE_DELAY_S, self._end_delay)

    def record_start(self, *, is_renewal: bool) -> None:
        """Record that a reconcile starts, so that the next one can be requested."""
        self.is_reconcile_pending = False
        if is_renewal:
            self.is_renewal_pending = False

    def set_lapse_timer(self, lapse_ms: int | None, now_ms: int) -> None:
        """Request a reconcile when a lease lapses, in place of the earlier timer.

        Parameters
        ----------
        lapse_ms : int or None
            Next lapse of the lease of a holder of duties, None if there is none.
        """
        if self.lapse_timer is not None:
            self.lapse_timer.cancel()
            self.lapse_timer = None
        if lapse_ms is not None:
            loop = asyncio.get_running_loop()
            delay_s = to_seconds(lapse_ms - now_ms)
            self.lapse_timer = loop.call_later(delay_s, self.request_reconcile)

    def _end_delay(self) -> None:
        self.is_delayed = False
        self.request_reconcile()
