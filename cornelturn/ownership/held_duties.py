"""Duties that this entry holds, and the events of their gain and loss."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from cornelturn.events.log import log_event, log_warning
from cornelturn.ownership.duties import VersionedDuty
from cornelturn.ownership.duty_rows import DutyRows
from cornelturn.ownership.keeper_log import log_duty_taken
from cornelturn.ownership.messages import (
    DutyEvent,
    DutyLost,
    DutyTaken,
    PredecessorAnswered,
    PredecessorsInactive,
)
from cornelturn.ownership.predecessors import Predecessors
from cornelturn.ownership.reconcile_schedule import ReconcileSchedule
from cornelturn.peering.messages import PeerAddress, PoolGivenUp


@dataclass(slots=True)
class HeldDuties:
    """Tracks the duties that this entry holds.

    Parameters
    ----------
    on_event : callable
        Called with each event of a duty, and with queries to send.
    generations : dict
        Generation in which each duty is held.
    given_up : dict
        Generation in which each lost duty was held.
    """

    own: PeerAddress
    duty_rows: DutyRows
    predecessors: Predecessors
    schedule: ReconcileSchedule
    on_event: Callable[[DutyEvent], None]
    generations: dict[str, int] = field(default_factory=dict)
    given_up: dict[str, int] = field(default_factory=dict)

    def update(self) -> None:
        """Take or give up duties whose holder in the rows has changed."""
        for duty, known in self.duty_rows.known.items():
            is_own = (known.row.holder, known.row.incarnation) == (
                self.own.name,
                self.own.incarnation,
            )
            if is_own and duty not in self.generations:
                if known.row.generation > self.given_up.get(duty, 0):
                    self.record_taken(duty, known)
            elif not is_own and duty in self.generations:
                self.give_up(duty)
                log_warning(
                    "duty_lost",
                    duty=duty,
                    holder=known.row.holder,
                    generation=known.row.generation,
                )
                self.on_event(DutyLost(duty))
                # The successor waits for a lease that gives up this generation.
                self.schedule.request_renewal()

    def record_taken(self, duty: str, known: VersionedDuty) -> None:
        """Record that this entry has taken a duty."""
        row = known.row
        self.generations[duty] = row.generation
        has_no_active_predecessor = self.predecessors.by_duty.get(duty) == ()
        asked = self.predecessors.holders_to_query.get(duty)
        log_duty_taken(duty, known, asked, has_no_active_predecessor)
        self.on_event(
            DutyTaken(
                duty,
                row.generation,
                known.version,
                row.targets,
                has_no_active_predecessor,
            )
        )

    def record_released(self, duty: str) -> None:
        """Record that the row of a duty no longer names this entry."""
        self.generations.pop(duty, None)

    def give_up(self, duty: str) -> None:
        """Stop acting on a duty that another entry has taken."""
        generation = self.generations.pop(duty, None)
        if generation is not None:
            self.given_up[duty] = generation
            self.predecessors.forget(duty)

    def receive_predecessor_answer(self, given_up: PoolGivenUp) -> None:
        """Process the report of a predecessor of the runs it left behind."""
        if self.predecessors.record_answer(given_up):
            self.on_event(PredecessorAnswered(given_up.pool, given_up.runs))

    def report_inactive_predecessors(self, now_ms: int) -> None:
        """Report the duties whose predecessors have all become inactive."""
        for inactive in self.predecessors.take_inactive(self.generations, now_ms):
            log_event(
                "holders_gone",
                duty=inactive.duty,
                generation=self.generations[inactive.duty],
                after_ms=now_ms - inactive.since_ms,
            )
            self.on_event(
                PredecessorsInactive(
                    inactive.duty,
                    self.duty_rows.member_rows.revision,
                    inactive.since_ms,
                )
            )

    def query_predecessors(self) -> None:
        """Request the queries to predecessors that have not answered."""
        for query in self.predecessors.due_queries(self.generations):
            self.on_event(query)
