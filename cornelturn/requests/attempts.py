"""Attempts of requests at targets.

Each acquires a grant, sends the request once and reports how that ended.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

from cornelturn.clock import Clock, to_seconds
from cornelturn.model.outcome import NotRun, NotRunReason
from cornelturn.model.ticket import (
    AttemptId,
    Grant,
    Refusal,
    Report,
    ReportKind,
    Ticket,
)
from cornelturn.requests.front import Front
from cornelturn.requests.target_client import (
    Exchange,
    TargetCheckpointed,
    TargetClient,
    TargetCompleted,
    TargetFailed,
    TargetLeaving,
    TargetNotReached,
    TargetResult,
    TargetSilent,
)
from cornelturn.requests.work import Work


@dataclass(slots=True)
class AttemptRunner:
    """Runs the attempts of one incarnation of an entry.

    Parameters
    ----------
    entry : str
        Name of the entry.
    incarnation : int
        Incarnation of the entry, part of each attempt id.
    sequences : iterator of int
        Numbers of the attempts of this incarnation.
    grant_received_ms : dict
        Time at which each grant that is not used yet was received.
    """

    entry: str
    incarnation: int
    clock: Clock
    front: Front
    targets: TargetClient
    sequences: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    grant_received_ms: dict[AttemptId, int] = field(default_factory=dict)

    async def acquire_grant(self, work: Work, avoid: tuple[str, ...]) -> Grant | NotRun:
        """Return a grant for a new attempt, or the reason for a refusal.

        Without an answer before the deadline, the reason is `DEADLINE_PASSED`.
        """
        left_ms = work.deadline_ms - self.clock.now_ms()
        if left_ms <= 0:
            return NotRun(NotRunReason.DEADLINE_PASSED)
        ticket = self._create_ticket(work, left_ms, avoid)
        try:
            async with asyncio.timeout(to_seconds(left_ms)):
                reply = await self.front.acquire_grant(work.queue.pool, ticket)
        except TimeoutError:
            return NotRun(NotRunReason.DEADLINE_PASSED)
        match reply:
            case Grant():
                self.grant_received_ms[reply.attempt] = self.clock.now_ms()
                return reply
            case Refusal(_, reason, detail, hold_off_ms):
                return NotRun(reason, detail, hold_off_ms)

    async def execute(self, work: Work, grant: Grant, timeout_ms: int) -> TargetResult:
        """Send the request to its target, report how it ended, and return the result.

        A grant that was not used in time is returned, as its target may have been
        drained since.
        """
        received_ms = self.grant_received_ms.pop(grant.attempt)
        if self.clock.now_ms() - received_ms > grant.start_within_ms:
            self.return_grant(grant)
            return TargetNotReached("the grant expired before the start")
        exchange = Exchange(
            address=grant.address,
            queue=work.queue.name,
            request=work.request,
            attempt=grant.attempt,
            payload=work.payload,
            content_type=work.content_type,
            timeout_ms=timeout_ms,
            headers=work.headers,
            uses_new_connection=not work.queue.idempotent,
        )
        started_ms = self.clock.now_ms()
        kind = ReportKind.CANCELLED
        try:
            result = await self.targets.send(exchange)
            kind = report_kind(result)
            return result
        finally:
            run_ms = self.clock.now_ms() - started_ms
            self.front.report_end(
                Report(grant.attempt, grant.pool, grant.target, kind, run_ms)
            )

    def return_grant(self, grant: Grant) -> None:
        """Return an unused grant to the dispatcher."""
        self.grant_received_ms.pop(grant.attempt, None)
        self.front.report_end(
            Report(grant.attempt, grant.pool, grant.target, ReportKind.NOT_STARTED)
        )

    def _create_ticket(
        self, work: Work, left_ms: int, avoid: tuple[str, ...]
    ) -> Ticket:
        attempt = AttemptId(self.entry, self.incarnation, next(self.sequences))
        return Ticket(
            attempt=attempt,
            request=work.request,
            queue=work.queue.name,
            member=work.member,
            deadline_left_ms=left_ms,
            size=work.size,
            avoid=avoid,
        )


def report_kind(result: TargetResult) -> ReportKind:
    """Return how a result is reported to the dispatcher."""
    match result:
        case TargetCompleted():
            return ReportKind.COMPLETED
        case TargetFailed():
            return ReportKind.FAILED
        case TargetSilent():
            return ReportKind.UNKNOWN
        case TargetNotReached():
            return ReportKind.UNREACHABLE
        case TargetLeaving():
            return ReportKind.LEAVING
        case TargetCheckpointed():
            return ReportKind.CANCELLED
