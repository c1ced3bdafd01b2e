"""Idempotent requests: retries and hedges within budgets and deadlines."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from cornelturn.clock import Clock, to_seconds
from cornelturn.events.background import start_background
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
from cornelturn.requests.target_client import TargetResult
from cornelturn.requests.work import Work

MAX_TRIES = 4


@dataclass(slots=True)
class Trail:
    """What has been tried for one request.

    Parameters
    ----------
    tries : int
        Attempts that were started, hedges and those that found no target among them.
    running : list of str
        Targets whose answer is awaited.
    failed : tuple of str
        Targets that did not complete the request.
    last : Outcome or None
        Outcome to tell if no other attempt completes.
    """

    tries: int = 0
    running: list[str] = field(default_factory=list)
    failed: tuple[str, ...] = ()
    last: Outcome | None = None

    def start(self, target: str) -> None:
        """Remember an attempt."""
        self.tries += 1
        self.running.append(target)

    def fail(self, target: str, outcome: Outcome) -> None:
        """Remember that an attempt did not complete."""
        self.running.remove(target)
        self.failed = (*self.failed, target)
        self.last = _worse(self.last, outcome)

    def avoid(self) -> tuple[str, ...]:
        """Return the targets that another attempt has little use for."""
        return (*self.running, *self.failed)


@dataclass(frozen=True, slots=True)
class HedgeNow:
    """Another attempt may start now."""


@dataclass(frozen=True, slots=True)
class HedgeLater:
    """Another attempt may be asked for after a pause."""

    pause_ms: int


@dataclass(frozen=True, slots=True)
class NoHedge:
    """No other attempt can help any more."""


HedgeDecision = HedgeNow | HedgeLater | NoHedge


@dataclass(slots=True)
class RepeatableRunner:
    """Runs idempotent requests; never touches the table service."""

    clock: Clock
    attempts: Attempts
    rng: random.Random
    budgets: Budgets = field(default_factory=Budgets)
    exchanges: set[asyncio.Task[TargetResult]] = field(default_factory=set)

    async def run(self, work: Work) -> Outcome:
        """Return the outcome, before the deadline."""
        budgets, now_ms = self.budgets.of(work.queue.name), self.clock.now_ms()
        budgets.retries.earn(now_ms)
        budgets.hedges.earn(now_ms)
        trail = Trail()
        while True:
            granted = await self.attempts.obtain(work, trail.avoid())
            if isinstance(granted, NotRun):
                return trail.last or granted
            outcome = await self._attempt(work, granted, trail)
            if isinstance(outcome, Completed) or not self._may_retry(work, trail):
                return outcome
            log_event(
                "retry",
                request=work.request,
                queue=work.queue.name,
                avoid=granted.target,
                tries=trail.tries,
            )
            await asyncio.sleep(to_seconds(backoff_ms(trail.tries, self.rng)))

    def _may_retry(self, work: Work, trail: Trail) -> bool:
        now_ms = self.clock.now_ms()
        if trail.tries >= MAX_TRIES or now_ms >= work.deadline_ms:
            return False
        if isinstance(trail.last, NotRun):
            return True
        return self.budgets.of(work.queue.name).retries.spend(now_ms)

    async def _attempt(self, work: Work, grant: Grant, trail: Trail) -> Outcome:
        """Run an attempt, and hedge it as long as no answer comes."""
        tasks = {asyncio.create_task(self._exchange(work, grant, trail))}
        pause_s = to_seconds(grant.hedge_after_ms) if grant.hedge_after_ms else None
        try:
            while tasks:
                done, tasks = await asyncio.wait(
                    tasks, timeout=pause_s, return_when=asyncio.FIRST_COMPLETED
                )
                completed = _completed(done)
                if completed is not None:
                    return completed
                if done:
                    continue
                is_waiting = len(trail.running) < len(tasks)
                match self._decide_hedge(work, grant, trail, is_waiting):
                    case HedgeNow():
                        hedge = self._hedge(work, trail)
                        tasks.add(asyncio.create_task(hedge))
                        pause_s = to_seconds(grant.hedge_after_ms)
                    case HedgeLater(pause_ms):
                        pause_s = to_seconds(pause_ms)
                    case NoHedge():
                        pause_s = None
            return trail.last
        finally:
            for task in tasks:
                task.cancel()

    def _decide_hedge(
        self, work: Work, grant: Grant, trail: Trail, is_waiting: bool
    ) -> HedgeDecision:
        """Decide on a hedge of a silent request, at the cost of the budget.

        Parameters
        ----------
        is_waiting : bool
            Whether an earlier hedge still waits for its slot.
        """
        now_ms = self.clock.now_ms()
        left_ms = work.deadline_ms - now_ms
        if trail.tries >= MAX_TRIES or left_ms <= grant.expected_ms:
            return NoHedge()
        if is_waiting:
            return HedgeLater(grant.hedge_after_ms)
        hedges = self.budgets.of(work.queue.name).hedges
        if hedges.spend(now_ms):
            return HedgeNow()
        return HedgeLater(max(hedges.wait_ms(now_ms), grant.hedge_after_ms))

    async def _exchange(self, work: Work, grant: Grant, trail: Trail) -> Outcome:
        """Run an attempt to its end, though its answer may be needed no longer.

        Its target runs it all the same, so it holds its slot for as long.
        """
        trail.start(grant.target)
        left_ms = max(work.deadline_ms - self.clock.now_ms(), 1)
        exchange = self.attempts.exchange(work, grant, left_ms)
        result = await asyncio.shield(start_background(self.exchanges, exchange))
        outcome = outcome_of_result(grant.target, result)
        if not isinstance(outcome, Completed):
            trail.fail(grant.target, outcome)
        return outcome

    async def _hedge(self, work: Work, trail: Trail) -> Outcome | None:
        """Run another attempt, None if no other target can be had."""
        log_event(
            "hedge",
            request=work.request,
            queue=work.queue.name,
            avoid=",".join(trail.running),
        )
        granted = await self.attempts.obtain(work, trail.avoid())
        if isinstance(granted, NotRun):
            return None
        if granted.target in trail.running:
            self.attempts.give_back(granted)
            trail.tries += 1
            return None
        return await self._exchange(work, granted, trail)


def _completed(done: set[asyncio.Task[Outcome | None]]) -> Completed | None:
    """Return the outcome of an attempt that completed, None if none did."""
    outcomes = (task.result() for task in done)
    return next((one for one in outcomes if isinstance(one, Completed)), None)


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
