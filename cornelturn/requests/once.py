"""Non-idempotent requests: at most one start, claimed before the first byte."""

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
from cornelturn.requests.attempts import Attempts
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
    TaskUnknown,
)
from cornelturn.requests.work import Work
from cornelturn.store.table import COMMIT_LIMIT_MS

MAX_TRIES = 4
PROBE_MIN_MS = 1_000
PROBE_MAX_MS = 5_000
PROBE_GROWTH = 1.5
NEVER_SEEN_LIMIT = 5
UNREACHABLE_LIMIT = 60


@dataclass(frozen=True, slots=True)
class RunEnded:
    """The request came to an outcome.

    Parameters
    ----------
    claimed : Claimed or None
        The row, None if nothing was claimed.
    """

    outcome: Outcome
    claimed: Claimed | None


@dataclass(frozen=True, slots=True)
class TakenOver:
    """Another driver has the request."""


OnceResult = RunEnded | TakenOver


@dataclass(slots=True)
class Misses:
    """Questions about a started request that a target did not answer.

    A target that reboots with checkpointed tasks is away for a while.
    """

    never_seen: int = 0
    unreachable: int = 0

    def are_too_many(self) -> bool:
        """Return whether the outcome has to be given up."""
        is_unseen = self.never_seen >= NEVER_SEEN_LIMIT
        return is_unseen or self.unreachable >= UNREACHABLE_LIMIT

    def detail(self) -> str:
        """Return why the outcome is not known."""
        if self.never_seen >= NEVER_SEEN_LIMIT:
            return "the target does not know the request"
        return "the target cannot be reached"


@dataclass(slots=True)
class OnceRunner:
    """Runs non-idempotent requests."""

    clock: Clock
    attempts: Attempts
    claims: Claims
    targets: TargetClient

    async def run(self, work: Work, record: RequestRecord, version: int) -> OnceResult:
        """Start the request at most once and follow it to its outcome.

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
        last = NotRun(NotRunReason.TARGET_UNREACHABLE)
        for _ in range(MAX_TRIES):
            granted = await self.attempts.obtain(work, avoid)
            if isinstance(granted, NotRun):
                return RunEnded(granted, claimed)
            result = await self._claim(work, record, version, granted)
            match result:
                case Claimed():
                    claimed = result
                    version = claimed.version
                case ClaimLost():
                    return TakenOver()
                case NotRun():
                    return RunEnded(result, None)
            outcome = await self._send(work, granted)
            if not isinstance(outcome, NotRun):
                return RunEnded(outcome, claimed)
            last = outcome
            avoid = (*avoid, granted.target)
        return RunEnded(last, claimed)

    async def resume(self, claimed: Claimed) -> Outcome:
        """Follow a start made by a driver that is gone, without starting again."""
        record = claimed.record
        log_event("resume", request=record.request, target=record.target)
        return await self._follow(record.target_address, record.request, record.target)

    async def _claim(
        self, work: Work, record: RequestRecord, version: int, grant: Grant
    ) -> Claimed | ClaimLost | NotRun:
        left_ms = max(work.deadline_ms - self.clock.now_ms(), 1)
        limit_ms = min(left_ms, COMMIT_LIMIT_MS)
        result = await self.claims.start(record, version, grant, limit_ms)
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
                self.attempts.give_back(grant)
                return result
            case ClaimUnavailable(detail):
                self.attempts.give_back(grant)
                if not record.is_durable:
                    started = replace(
                        record, state=RequestState.STARTED, attempt=str(grant.attempt)
                    )
                    self.claims.disown(started, version)
                return NotRun(NotRunReason.TABLE_UNAVAILABLE, detail)

    async def _send(self, work: Work, grant: Grant) -> Outcome:
        """Send the attempt; when its connection falls silent, ask the target."""
        exchange = asyncio.create_task(
            self.attempts.exchange(work, grant, MAX_EXCHANGE_MS)
        )
        follow = asyncio.create_task(self._follow_late(work, grant))
        try:
            await asyncio.wait({exchange, follow}, return_when=asyncio.FIRST_COMPLETED)
            if exchange.done():
                return await self._judge(work, grant, exchange.result())
            return follow.result()
        finally:
            exchange.cancel()
            follow.cancel()

    async def _follow_late(self, work: Work, grant: Grant) -> Outcome:
        await asyncio.sleep(to_seconds(max(grant.hedge_after_ms, PROBE_MIN_MS)))
        return await self._follow(grant.address, work.request, grant.target)

    async def _judge(self, work: Work, grant: Grant, result: TargetResult) -> Outcome:
        match result:
            case TargetCheckpointed():
                log_event("checkpointed", request=work.request, target=grant.target)
                return await self._follow(grant.address, work.request, grant.target)
            case TargetSilent(detail):
                log_warning(
                    "target_silent",
                    request=work.request,
                    target=grant.target,
                    detail=detail,
                )
                return await self._follow(grant.address, work.request, grant.target)
            case _:
                return outcome_of_result(grant.target, result)

    async def _follow(self, address: str, request: str, target: str) -> Outcome:
        """Ask the target about a started request until it tells the outcome."""
        started_ms = self.clock.now_ms()
        misses = Misses()
        pause_ms = PROBE_MIN_MS
        while True:
            told = await self.targets.ask(address, request)
            match told:
                case TaskAnswer("completed", _, body, content_type):
                    run_ms = self.clock.now_ms() - started_ms
                    return Completed(body, content_type, target, run_ms)
                case TaskAnswer("failed"):
                    return Failed("the target reported a failure", target)
                case TaskAnswer():
                    misses = Misses()
                    pause_ms = min(round(pause_ms * PROBE_GROWTH), PROBE_MAX_MS)
                case TaskNeverSeen():
                    misses.never_seen += 1
                    pause_ms = PROBE_MIN_MS
                case TaskUnknown():
                    misses.unreachable += 1
                    pause_ms = PROBE_MIN_MS
            if misses.are_too_many():
                return Unknown(misses.detail(), target)
            await asyncio.sleep(to_seconds(pause_ms))
