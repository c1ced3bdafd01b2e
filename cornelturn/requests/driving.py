"""Drives durable and adopted requests to their outcome in the background."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from cornelturn.clock import Clock, to_seconds
from cornelturn.model.outcome import NotRun, NotRunReason, Outcome
from cornelturn.requests.claims import Claimed, Claims, ClaimUnavailable, RecordRead
from cornelturn.requests.once import (
    AtMostOnceResult,
    AtMostOnceRunner,
    RunEnded,
    TakenOver,
)
from cornelturn.requests.outcomes import OutcomeRecorder
from cornelturn.requests.records import RequestRecord
from cornelturn.requests.repeatable import IdempotentRunner
from cornelturn.requests.work import Work

DRIVE_RETRY_DELAY_MS = 250
"""Pause before a request is driven again, or its row read again."""

TRANSIENT_REASONS = frozenset(
    {
        NotRunReason.QUEUE_FULL,
        NotRunReason.NO_TARGET,
        NotRunReason.TABLE_UNAVAILABLE,
        NotRunReason.TARGET_UNREACHABLE,
        NotRunReason.DEADLINE_UNREACHABLE,
        NotRunReason.UNKNOWN_QUEUE,
    }
)
"""Reasons that may pass before the deadline, so that the request is driven again."""


@dataclass(slots=True)
class RequestDriver:
    """Runs requests until they have an outcome or another driver.

    Parameters
    ----------
    tasks : dict
        Tasks that drive durable or adopted requests, by request id.
    """

    entry: str
    incarnation: int
    clock: Clock
    claims: Claims
    idempotent: IdempotentRunner
    at_most_once: AtMostOnceRunner
    outcomes: OutcomeRecorder
    tasks: dict[str, asyncio.Task[None]] = field(default_factory=dict)

    def drive(self, work: Work, claimed: Claimed) -> None:
        """Drive a durable request to its outcome in the background."""
        self._start(work.request, self._drive(work, claimed))

    def resume(self, claimed: Claimed) -> None:
        """Probe in the background for the outcome of an earlier driver's run."""
        self._start(claimed.record.request, self._resume(claimed))

    def stop(self, request: str) -> None:
        """Stop driving a request, if it is driven."""
        task = self.tasks.get(request)
        if task is not None:
            task.cancel()

    def _start(self, request: str, driving: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(driving)
        self.tasks[request] = task
        task.add_done_callback(lambda _: self.tasks.pop(request, None))

    async def _drive(self, work: Work, claimed: Claimed) -> None:
        current: Claimed | None = claimed
        while current is not None:
            result = await self._drive_once(work, current)
            match result:
                case RunEnded(NotRun() as outcome) if self._may_drive_again(
                    work, outcome
                ):
                    await asyncio.sleep(to_seconds(DRIVE_RETRY_DELAY_MS))
                case RunEnded(outcome, written):
                    final = self._final_outcome(work, outcome)
                    self.outcomes.record(work, written or current, final)
                    self.outcomes.count(work.queue.name, final)
                    return
                case TakenOver():
                    pass
            current = await self._reread_claim(current)

    async def _drive_once(self, work: Work, claimed: Claimed) -> AtMostOnceResult:
        if work.queue.idempotent:
            return RunEnded(await self.idempotent.run(work), claimed)
        return await self.at_most_once.run(work, claimed.record, claimed.version)

    def _final_outcome(self, work: Work, outcome: Outcome) -> Outcome:
        match outcome:
            case NotRun(reason) if self.clock.now_ms() >= work.deadline_ms:
                return NotRun(NotRunReason.DEADLINE_PASSED, reason.value)
            case _:
                return outcome

    async def _reread_claim(self, claimed: Claimed) -> Claimed | None:
        """Return the present row, None if it has ended or has another driver."""
        record = claimed.record
        while True:
            match await self.claims.read_record(record.member, record.request):
                case RecordRead(RequestRecord() as stored, version):
                    is_ours = stored.is_driven_by(self.entry, self.incarnation)
                    if is_ours and stored.is_open():
                        return Claimed(stored, version)
                    return None
                case RecordRead():
                    return None
                case ClaimUnavailable():
                    await asyncio.sleep(to_seconds(DRIVE_RETRY_DELAY_MS))

    def _may_drive_again(self, work: Work, outcome: NotRun) -> bool:
        is_in_time = self.clock.now_ms() < work.deadline_ms
        return is_in_time and outcome.reason in TRANSIENT_REASONS

    async def _resume(self, claimed: Claimed) -> None:
        outcome = await self.at_most_once.resume(claimed)
        self.claims.record_outcome(claimed, outcome, is_on_time=False)
        self.outcomes.count(claimed.record.queue, outcome)
