"""Grants as they are sent to fronts."""

from __future__ import annotations

from cornelturn.model.ticket import Grant
from cornelturn.routing.decisions import GrantDecision, GrantReason
from cornelturn.routing.ledger import START_WITHIN_MS, RunningGrant
from cornelturn.routing.targets import TargetTable


def grant_decision(
    pool: str,
    targets: TargetTable,
    running: RunningGrant,
    expected_ms: int,
    hedge_ms: int,
    reason: GrantReason,
) -> GrantDecision:
    """Return the grant of a ticket whose slots are in use."""
    ticket = running.ticket
    grant = Grant(
        attempt=ticket.attempt,
        pool=pool,
        target=running.target,
        address=targets.by_name[running.target].instance.address,
        width=running.width,
        start_within_ms=START_WITHIN_MS,
        expected_ms=expected_ms,
        hedge_after_ms=hedge_ms,
    )
    return GrantDecision(running.front, grant, ticket.queue, ticket.member, reason)
