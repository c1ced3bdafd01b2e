"""Idempotent requests: retries and hedges within budgets and deadlines."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from cornelturn.clock import Clock, to_seconds
from cornelturn.events.log import log_event
from cornelturn.model.outcome import (
    Completed,
    Failed,
    NotRun,
    Outcome,
    Unknown,
)
from cornelturn.model.ticket import Grant
from cornelturn.requests.attempts import Attempts
from cornelturn.requests.limits import Budgets, backoff_ms
from cornelturn.requests.results import outcome_of_result
from cornelturn.requests.target_client import (
    TargetCompleted,
    TargetResult,
)
from cornelturn.requests.work import Work

MAX_TRIES = 4


@dataclass(slots=True)
class Trail:
    """What has been tried for one request."""

    tries: int = 0
    avoid: tuple[str, ...] = ()
    last: Outcome | None = None

    def note(self, target: str, outcome: Outcome) -> None:
        """Remember a try that did not complete."""
        self.tries += 1
        self.avoid = (*self.avoid, target)
        self.last = outcome


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """A result with the target it came from."""

    target: str
    result: TargetResult


@dataclass(slots=True)
class RepeatableRunner:
    """Runs idempotent requests; never touches the table service."""

    clock: Clock
    attempts: Attempts
    rng: random.Random
    budgets: Budgets = field(default_factory=Budgets)

    async def run(self, work: Work) -> Outcome:
        """Return the outcome, before the deadline."""
        self.budgets.of(work.queue.name).retries.earn()
        self.budgets.of(work.queue.name).hedges.earn()
        trail = Trail()
        while True:
            granted = await self.attempts.obtain(work, trail.avoid)
            if isinstance(granted, NotRun):
                return trail.last or granted
            ended = await self._attempt(work, granted)
            outcome = outcome_of_result(ended.target, ended.result)
            if isinstance(outcome, Completed):
                return outcome
            trail.note(ended.target, _worse(trail.last, outcome))
            if not self._may_retry(work, trail):
                return trail.last
            log_event(
                "retry",
                request=work.request,
                queue=work.queue.name,
                avoid=ended.target,
                tries=trail.tries,
            )
            await asyncio.sleep(to_seconds(backoff_ms(trail.tries, self.rng)))

    def _may_retry(self, work: Work, trail: Trail) -> bool:
        if trail.tries >= MAX_TRIES or self.clock.now_ms() >= work.deadline_ms:
            return False
        if isinstance(trail.last, NotRun):
            return True
        return self.budgets.of(work.queue.name).retries.spend()

    async def _attempt(self, work: Work, grant: Grant) -> AttemptResult:
        first = self._start(work, grant)
        try:
            done, _ = await asyncio.wait({first}, timeout=self._hedge_delay_s(grant))
            if done or not self._may_hedge(work, grant):
                return await first
            return await self._hedge(work, grant, first)
        except asyncio.CancelledError:
            first.cancel()
            raise

    def _start(self, work: Work, grant: Grant) -> asyncio.Task[AttemptResult]:
        return asyncio.create_task(self._exchange(work, grant))

    async def _exchange(self, work: Work, grant: Grant) -> AttemptResult:
        left_ms = max(work.deadline_ms - self.clock.now_ms(), 1)
        result = await self.attempts.exchange(work, grant, left_ms)
        return AttemptResult(grant.target, result)

    def _hedge_delay_s(self, grant: Grant) -> float | None:
        return to_seconds(grant.hedge_after_ms) if grant.hedge_after_ms else None

    def _may_hedge(self, work: Work, grant: Grant) -> bool:
        left_ms = work.deadline_ms - self.clock.now_ms()
        if left_ms <= grant.expected_ms:
            return False
        return self.budgets.of(work.queue.name).hedges.spend()

    async def _hedge(
        self, work: Work, grant: Grant, first: asyncio.Task[AttemptResult]
    ) -> AttemptResult:
        log_event(
            "hedge", request=work.request, queue=work.queue.name, avoid=grant.target
        )
        second = asyncio.create_task(self._second(work, grant))
        pending = {first, second}
        best: AttemptResult | None = None
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    ended = task.result()
                    if ended is None:
                        continue
                    best = ended
                    if isinstance(ended.result, TargetCompleted):
                        return ended
            return best
        finally:
            for task in pending:
                task.cancel()

    async def _second(self, work: Work, grant: Grant) -> AttemptResult | None:
        granted = await self.attempts.obtain(work, (grant.target,))
        if isinstance(granted, NotRun):
            return None
        if granted.target == grant.target:
            self.attempts.give_back(granted)
            return None
        return await self._exchange(work, granted)


def _worse(earlier: Outcome | None, now: Outcome) -> Outcome:
    """Return the outcome to tell if no try completes.

    Once a byte of any try has left, "not run" would no longer be true.
    """
    match earlier, now:
        case (Failed() | Unknown(), NotRun()):
            return earlier
        case (Unknown(), Failed()):
            return earlier
        case _:
            return now
