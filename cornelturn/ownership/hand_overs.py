"""The choice of a duty to hand over to another entry."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cornelturn.events.log import log_event
from cornelturn.ownership.duties import FLEET_WIDE_DUTIES
from cornelturn.ownership.duty_choice import duty_to_hand_over
from cornelturn.ownership.duty_rows import DutyRows
from cornelturn.ownership.held_duties import HeldDuties
from cornelturn.ownership.member_leases import MemberLeases
from cornelturn.ownership.messages import DutyEvent, HandOverDue
from cornelturn.peering.messages import PeerAddress

HAND_OVER_PAUSE_MS = 2_000
"""Pause after a hand-over, in which the new holder appears in the rows."""


@dataclass(slots=True)
class HandOvers:
    """Requests hand-overs that balance the load of the entries.

    Parameters
    ----------
    on_event : callable
        Called with each hand-over that is due.
    last_ms : int
        When this entry last requested a hand-over.
    """

    own: PeerAddress
    members: MemberLeases
    duty_rows: DutyRows
    held: HeldDuties
    on_event: Callable[[DutyEvent], None]
    last_ms: int = 0

    def balance(self, now_ms: int) -> None:
        """Hand a duty over if another entry would have a lower load with it.

        The machines stay with their owner: two owners must not give orders for one
        machine at the same time. The quota stays too: its next broker waits for reports
        of all pools. A pool stays until it is settled, and while no entry
        with a lower load has been seen to reach the store.
        """
        if now_ms - self.last_ms < HAND_OVER_PAUSE_MS:
            return
        held, known = self.held.generations, self.duty_rows.known
        pools = [
            duty
            for duty in held
            if duty not in FLEET_WIDE_DUTIES and known[duty].row.is_settled
        ]
        entries = self.members.candidates_for_hand_over(now_ms)
        duty = duty_to_hand_over(self.own.name, pools, known, entries)
        if duty is not None:
            self.last_ms = now_ms
            log_event("duty_handed_over", duty=duty, generation=held[duty])
            self.on_event(HandOverDue(duty))
