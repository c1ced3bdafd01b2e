"""Runs non-idempotent requests: at most one start, claimed before the first byte.

When a started request gets no answer, its target is probed for the outcome.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from cornelturn.clock import Clock, to_seconds
from cornelturn.events.log import log_event, log_warning
from cornelturn.model.outcome import (
    Completed,
    Failed,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
)
from cornelturn.model.ticket import Grant
from cornelturn.requests.attempts import AttemptRunner
from cornelturn.requests.claims import (
    Claimed,
    ClaimLost,
    Claims,
    ClaimUnavailable,
)
from cornelturn.requests.records import RequestRecord, RequestState
from cornelturn.requests.results import outcome_of_result
from cornelturn.requests.target_client import (
    MAX_EXCHANGE_MS,
    TargetCheckpointed,
    TargetClient,
    TargetResult,
    TargetSilent,
    TaskAnswer,
    TaskNeverSeen,
    TaskQueryFailed,
)
from cornelturn.requests.work import Work
from cornelturn.store.table import COMMIT_LIMIT_MS

MAX_TRIES = 4
PROBE_MIN_INTERVAL_MS = 1_000
PROBE_MAX_INTERVAL_MS = 5_000
PROBE_INTERVAL_FACTOR = 1.5
MAX_NEVER_SEEN_REPLIES = 5
MAX_UNREACHABLE_PROBES = 60


@dataclass(frozen=True, slots=True)
class RunEnded:
    """The request has an outcome.

    Parameters
    ----------
    claimed : Claimed or None
        The row as claimed, None if nothing was claimed.
    """

    outcome: Outcome
    claimed: Claimed | None


@dataclass(frozen=True, slots=True)
class TakenOver:
    """Another driver has taken over the request."""


AtMostOnceResult = RunEnded | TakenOver


@dataclass(slots=True)
class ProbeFailures:
    """Consecutive probes of a target that gave no state of the request.

    Many probes without a reply are allowed, as a target that reboots with checkpointed
    tasks is unreachable for a while.

    Parameters
    ----------
    never_seen : int
        Replies that the target has never seen the request.
    unreachable : int
        Probes without a usable reply.
    """

    never_seen: int = 0
    unreachable: int = 0

    def is_limit_reached(self) -> bool:
        """Return whether the outcome counts as unknown."""
        is_unseen = self.never_seen >= MAX_NEVER_SEEN_REPLIES
        return is_unseen or self.unreachable >= MAX_UNREACHABLE_PROBES

    def detail(self) -> str:
        """Return why the outcome is unknown."""
        if self.never_seen >= MAX_NEVER_SEEN_REPLIES:
            return "the target does not know the request"
        return "the target cannot be reached"


@dataclass(slots=True)
class AtMostOnceRunner:
    """Runs non-idempotent requests."""

    clock: Clock
    attempts: AttemptRunner
    claims: Claims
    targets: TargetClient

    async def run(
        self, work: Work, record: RequestRecord, version: int
    ) -> AtMostOnceResult:
        """Start the request at most once and return its outcome.

        Parameters
        ----------
        work : Work
            The request.
        record : RequestRecord
            Record before the start.
        version : int
            Version of its row, `ABSENT` if there is none.
        """
        avoid: tuple[str, ...] = ()
        claimed: Claimed | None = None
        last_outcome = NotRun(NotRunReason.TARGET_UNREACHABLE)
        for _ in range(MAX_TRIES):
            grant = await self.attempts.acquire_grant(work, avoid)
            if isinstance(grant, NotRun):
                return RunEnded(grant, claimed)
            result = await self._claim(work, record, version, grant)
            match result:
                case Claimed():
                    claimed = result
                    version = claimed.version
                case ClaimLost():
                    return TakenOver()
                case NotRun():
                    return RunEnded(result, None)
            outcome = await self._send(work, grant)
            if not isinstance(outcome, NotRun):
                return RunEnded(outcome, claimed)
            last_outcome = outcome
            avoid = (*avoid, grant.target)
        return RunEnded(last_outcome, claimed)

    async def resume(self, claimed: Claimed) -> Outcome:
        """Probe for the outcome of a run that an earlier driver started; start none."""
        record = claimed.record
        log_event("resume", request=record.request, target=record.target)
        return await self._probe_until_final(
            record.target_address, record.request, record.target
        )

    async def _claim(
        self, work: Work, record: RequestRecord, version: int, grant: Grant
    ) -> Claimed | ClaimLost | NotRun:
        left_ms = max(work.deadline_ms - self.clock.now_ms(), 1)
        limit_ms = min(left_ms, COMMIT_LIMIT_MS)
        result = await self.claims.claim_start(record, version, grant, limit_ms)
        match result:
            case Claimed():
                log_event(
                    "claim",
                    request=work.request,
                    attempt=str(grant.attempt),
                    target=grant.target,
                )
                return result
            case ClaimLost():
                self.attempts.return_grant(grant)
                return result
            case ClaimUnavailable(detail):
                self.attempts.return_grant(grant)
                if not record.is_durable:
                    started = replace(
                        record, state=RequestState.STARTED, attempt=str(grant.attempt)
                    )
                    self.claims.resolve_in_doubt(started, version)
                return NotRun(NotRunReason.TABLE_UNAVAILABLE, detail)

    async def _send(self, work: Work, grant: Grant) -> Outcome:
        """Send the request; probe the target if no answer comes for some time."""
        exchange = asyncio.create_task(
            self.attempts.execute(work, grant, MAX_EXCHANGE_MS)
        )
        probe = asyncio.create_task(self._probe_after_delay(work, grant))
        try:
            await asyncio.wait({exchange, probe}, return_when=asyncio.FIRST_COMPLETED)
            if exchange.done():
                return await self._resolve_result(work, grant, exchange.result())
            return probe.result()
        finally:
            exchange.cancel()
            probe.cancel()

    async def _probe_after_delay(self, work: Work, grant: Grant) -> Outcome:
        await asyncio.sleep(
            to_seconds(max(grant.hedge_after_ms, PROBE_MIN_INTERVAL_MS))
        )
        return await self._probe_until_final(grant.address, work.request, grant.target)

    async def _resolve_result(
        self, work: Work, grant: Grant, result: TargetResult
    ) -> Outcome:
        match result:
            case TargetCheckpointed():
                log_event("checkpointed", request=work.request, target=grant.target)
                return await self._probe_until_final(
                    grant.address, work.request, grant.target
                )
            case TargetSilent(detail):
                log_warning(
                    "target_silent",
                    request=work.request,
                    target=grant.target,
                    detail=detail,
                )
                return await self._probe_until_final(
                    grant.address, work.request, grant.target
                )
            case _:
                return outcome_of_result(grant.target, result)

    async def _probe_until_final(
        self, address: str, request: str, target: str
    ) -> Outcome:
        """Probe the target about a started request until the outcome is final."""
        started_ms = self.clock.now_ms()
        failures = ProbeFailures()
        pause_ms = PROBE_MIN_INTERVAL_MS
        while True:
            reply = await self.targets.query_task(address, request)
            match reply:
                case TaskAnswer("completed", _, body, content_type):
                    run_ms = self.clock.now_ms() - started_ms
                    return Completed(body, content_type, target, run_ms)
                case TaskAnswer("failed"):
                    return Failed("the target reported a failure", target)
                case TaskAnswer():
                    failures = ProbeFailures()
                    pause_ms = min(
                        round(pause_ms * PROBE_INTERVAL_FACTOR), PROBE_MAX_INTERVAL_MS
                    )
                case TaskNeverSeen():
                    failures.never_seen += 1
                    pause_ms = PROBE_MIN_INTERVAL_MS
                case TaskQueryFailed():
                    failures.unreachable += 1
                    pause_ms = PROBE_MIN_INTERVAL_MS
            if failures.is_limit_reached():
                return Unknown(failures.detail(), target)
            await asyncio.sleep(to_seconds(pause_ms))
