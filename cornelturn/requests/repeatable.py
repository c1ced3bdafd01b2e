"""Runs idempotent requests, with retries and hedges within budgets and deadlines."""

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
from cornelturn.requests.attempts import AttemptRunner
from cornelturn.requests.limits import Budgets, backoff_ms
from cornelturn.requests.results import outcome_of_result
from cornelturn.requests.target_client import TargetResult
from cornelturn.requests.work import Work

MAX_TRIES = 4


@dataclass(slots=True)
class AttemptHistory:
    """Attempts of one request so far.

    Parameters
    ----------
    tries : int
        Attempts that were started, including hedges and those that found no target.
    running_targets : list of str
        Targets that have not answered yet.
    failed_targets : tuple of str
        Targets that did not complete the request.
    last_outcome : Outcome or None
        Outcome to report if no other attempt completes.
    """

    tries: int = 0
    running_targets: list[str] = field(default_factory=list)
    failed_targets: tuple[str, ...] = ()
    last_outcome: Outcome | None = None

    def record_start(self, target: str) -> None:
        """Record the start of an attempt."""
        self.tries += 1
        self.running_targets.append(target)

    def record_failure(self, target: str, outcome: Outcome) -> None:
        """Record that an attempt did not complete."""
        self.running_targets.remove(target)
        self.failed_targets = (*self.failed_targets, target)
        self.last_outcome = _outcome_to_report(self.last_outcome, outcome)

    def targets_to_avoid(self) -> tuple[str, ...]:
        """Return the targets that another attempt should avoid."""
        return (*self.running_targets, *self.failed_targets)


@dataclass(frozen=True, slots=True)
class HedgeNow:
    """A hedge may start now."""


@dataclass(frozen=True, slots=True)
class HedgeLater:
    """Decide again about a hedge after a delay."""

    delay_ms: int


@dataclass(frozen=True, slots=True)
class NoHedge:
    """No further hedge can complete the request."""


HedgeDecision = HedgeNow | HedgeLater | NoHedge


@dataclass(slots=True)
class IdempotentRunner:
    """Runs idempotent requests; never uses the table service.

    Parameters
    ----------
    running_exchanges : set of asyncio.Task
        Exchanges with targets, including those whose answer is no longer needed.
    """

    clock: Clock
    attempts: AttemptRunner
    rng: random.Random
    budgets: Budgets = field(default_factory=Budgets)
    running_exchanges: set[asyncio.Task[TargetResult]] = field(default_factory=set)

    async def run(self, work: Work) -> Outcome:
        """Return the outcome, before the deadline."""
        budgets, now_ms = self.budgets.for_queue(work.queue.name), self.clock.now_ms()
        budgets.retries.record_first_attempt(now_ms)
        budgets.hedges.record_first_attempt(now_ms)
        history = AttemptHistory()
        while True:
            grant = await self.attempts.acquire_grant(work, history.targets_to_avoid())
            if isinstance(grant, NotRun):
                return history.last_outcome or grant
            outcome = await self._run_hedged(work, grant, history)
            if isinstance(outcome, Completed) or not self._may_retry(work, history):
                return outcome
            log_event(
                "retry",
                request=work.request,
                queue=work.queue.name,
                avoid=grant.target,
                tries=history.tries,
            )
            await asyncio.sleep(to_seconds(backoff_ms(history.tries, self.rng)))

    def _may_retry(self, work: Work, history: AttemptHistory) -> bool:
        now_ms = self.clock.now_ms()
        if history.tries >= MAX_TRIES or now_ms >= work.deadline_ms:
            return False
        if isinstance(history.last_outcome, NotRun):
            return True
        return self.budgets.for_queue(work.queue.name).retries.try_spend(now_ms)

    async def _run_hedged(
        self, work: Work, grant: Grant, history: AttemptHistory
    ) -> Outcome:
        """Run an attempt, and hedge it while there is no answer."""
        tasks = {asyncio.create_task(self._execute_attempt(work, grant, history))}
        pause_s = to_seconds(grant.hedge_after_ms) if grant.hedge_after_ms else None
        try:
            while tasks:
                done, tasks = await asyncio.wait(
                    tasks, timeout=pause_s, return_when=asyncio.FIRST_COMPLETED
                )
                completed = _first_completed(done)
                if completed is not None:
                    return completed
                if done:
                    continue
                is_hedge_waiting = len(history.running_targets) < len(tasks)
                match self._decide_hedge(work, grant, history, is_hedge_waiting):
                    case HedgeNow():
                        hedge = self._hedge(work, history)
                        tasks.add(asyncio.create_task(hedge))
                        pause_s = to_seconds(grant.hedge_after_ms)
                    case HedgeLater(delay_ms):
                        pause_s = to_seconds(delay_ms)
                    case NoHedge():
                        pause_s = None
            return history.last_outcome
        finally:
            for task in tasks:
                task.cancel()

    def _decide_hedge(
        self, work: Work, grant: Grant, history: AttemptHistory, is_hedge_waiting: bool
    ) -> HedgeDecision:
        """Decide whether to hedge a request without an answer; spend budget if so.

        Parameters
        ----------
        is_hedge_waiting : bool
            Whether an earlier hedge still waits for its grant.
        """
        now_ms = self.clock.now_ms()
        left_ms = work.deadline_ms - now_ms
        if history.tries >= MAX_TRIES or left_ms <= grant.expected_ms:
            return NoHedge()
        if is_hedge_waiting:
            return HedgeLater(grant.hedge_after_ms)
        hedges = self.budgets.for_queue(work.queue.name).hedges
        if hedges.try_spend(now_ms):
            return HedgeNow()
        return HedgeLater(max(hedges.refill_wait_ms(now_ms), grant.hedge_after_ms))

    async def _execute_attempt(
        self, work: Work, grant: Grant, history: AttemptHistory
    ) -> Outcome:
        """Run an attempt to its end, even if its answer is no longer needed.

        The target runs it in any case, so the attempt holds its slot until then.
        """
        history.record_start(grant.target)
        left_ms = max(work.deadline_ms - self.clock.now_ms(), 1)
        exchange = self.attempts.execute(work, grant, left_ms)
        result = await asyncio.shield(
            start_background(self.running_exchanges, exchange)
        )
        outcome = outcome_of_result(grant.target, result)
        if not isinstance(outcome, Completed):
            history.record_failure(grant.target, outcome)
        return outcome

    async def _hedge(self, work: Work, history: AttemptHistory) -> Outcome | None:
        """Run another attempt; return None if no other target is available."""
        log_event(
            "hedge",
            request=work.request,
            queue=work.queue.name,
            avoid=",".join(history.running_targets),
        )
        grant = await self.attempts.acquire_grant(work, history.targets_to_avoid())
        if isinstance(grant, NotRun):
            return None
        if grant.target in history.running_targets:
            self.attempts.return_grant(grant)
            history.tries += 1
            return None
        return await self._execute_attempt(work, grant, history)


def _first_completed(done: set[asyncio.Task[Outcome | None]]) -> Completed | None:
    """Return the outcome of an attempt that completed, None if none did."""
    outcomes = (task.result() for task in done)
    return next(
        (outcome for outcome in outcomes if isinstance(outcome, Completed)), None
    )


def _outcome_to_report(earlier: Outcome | None, latest: Outcome) -> Outcome:
    """Return the outcome to report if no attempt completes.

    Once any attempt has sent a byte, "not run" would be false.
    """
    match earlier, latest:
        case (Failed() | Unknown(), NotRun()):
            return earlier
        case (Unknown(), Failed()):
            return earlier
        case _:
            return latest
