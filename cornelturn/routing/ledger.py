"""Grants in use at one pool, and the rules by which their slots are released."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.model.ticket import AttemptId, HeldGrant, Report, ReportKind, Ticket
from cornelturn.routing.shares import QueueState
from cornelturn.routing.targets import TargetTable

START_WITHIN_MS = 2_000
"""Time within which a front has to start a granted ticket."""

GRANT_LEASE_MS = 5_000
"""Time for which a grant stays in use after its front last reported it."""

LENT_QUEUE = ""
"""Queue of the grants to tickets of other pools."""


@dataclass(slots=True)
class RunningGrant:
    """A granted ticket and the slots that it uses.

    Parameters
    ----------
    queue : str
        Queue of this pool, `LENT_QUEUE` for a ticket of another pool.
    granted_ms, confirmed_ms : int
        When it was granted, and when its front last reported it.
    occupied_until_ms : int
        Time until which the slots stay in use if the front stops reporting.
    charged_ms : float
        Run time charged to the member when the grant was made.
    """

    ticket: Ticket
    front: str
    target: str
    width: int
    queue: str
    granted_ms: int
    confirmed_ms: int
    occupied_until_ms: int
    charged_ms: float = 0.0


@dataclass(slots=True)
class GrantLedger:
    """Grants in use, consistent with the slot counts of targets and queues.

    Parameters
    ----------
    targets : TargetTable
        Targets whose slots are in use.
    queues : dict of str to QueueState
        Queues that use the slots; shared with the dispatcher.
    lent_slots : int
        Slots used by tickets of other pools.
    """

    targets: TargetTable
    queues: dict[str, QueueState]
    grants: dict[AttemptId, RunningGrant] = field(default_factory=dict)
    lent_slots: int = 0

    def occupy(
        self,
        front: str,
        ticket: Ticket,
        queue: str,
        target: str,
        width: int,
        p99_ms: int,
        now_ms: int,
    ) -> RunningGrant:
        """Grant slots of a target to a ticket."""
        grant = RunningGrant(
            ticket=ticket,
            front=front,
            target=target,
            width=width,
            queue=queue,
            granted_ms=now_ms,
            confirmed_ms=now_ms,
            occupied_until_ms=now_ms + p99_ms,
        )
        self.add(grant)
        return grant

    def add(self, grant: RunningGrant) -> None:
        """Add a grant and count its slots as used."""
        self.targets.occupy(grant.target, grant.width)
        self._count_slots(grant, grant.width)
        self.grants[grant.ticket.attempt] = grant

    def release(self, attempt: AttemptId) -> None:
        """Remove a grant and free its slots."""
        grant = self.grants.pop(attempt)
        self.targets.vacate(grant.target, grant.width)
        self._count_slots(grant, -grant.width)

    def record_result(self, grant: RunningGrant, report: Report) -> None:
        """Record the run time and correct the charge of the member to it."""
        state = self.queues.get(grant.queue)
        if state is None:
            return
        if report.kind is ReportKind.COMPLETED:
            state.record_run(grant.ticket.member, report.run_ms)
        extra_ms = (report.run_ms - grant.charged_ms) * grant.width
        state.waiting.adjust_cost(grant.ticket.member, extra_ms)

    def confirm(self, front: str, held: HeldGrant, now_ms: int) -> None:
        """Record that a front still holds a grant; add the grant if it is unknown."""
        existing = self.grants.get(held.ticket.attempt)
        if existing is not None:
            existing.confirmed_ms = now_ms
            return
        if held.target not in self.targets.by_name:
            return
        queue = held.ticket.queue if held.ticket.queue in self.queues else LENT_QUEUE
        self.add(
            RunningGrant(
                ticket=held.ticket,
                front=front,
                target=held.target,
                width=held.width,
                queue=queue,
                granted_ms=now_ms - held.running_ms,
                confirmed_ms=now_ms,
                occupied_until_ms=now_ms,
            )
        )

    def release_unreported(
        self, front: str, incarnation: int, reported: set[AttemptId], now_ms: int
    ) -> None:
        """Release grants that a front no longer reports.

        A grant younger than `START_WITHIN_MS` stays, since it may not have reached
        the front yet. So do grants of an earlier incarnation of the front, since
        their targets may still be running them.
        """
        unreported = [
            attempt
            for attempt, grant in self.grants.items()
            if grant.front == front
            and attempt.incarnation == incarnation
            and attempt not in reported
            and grant.granted_ms + START_WITHIN_MS <= now_ms
        ]
        for attempt in unreported:
            self.release(attempt)

    def release_expired(self, now_ms: int) -> None:
        """Release grants of silent fronts once their expected run time has passed."""
        expired = [
            attempt
            for attempt, grant in self.grants.items()
            if grant.confirmed_ms + GRANT_LEASE_MS <= now_ms
            and grant.occupied_until_ms <= now_ms
        ]
        for attempt in expired:
            self.release(attempt)

    def _count_slots(self, grant: RunningGrant, width: int) -> None:
        if grant.queue == LENT_QUEUE:
            self.lent_slots += width
        elif grant.queue in self.queues:
            self.queues[grant.queue].used_slots += width
