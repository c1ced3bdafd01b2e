"""Which lookups are hedged, and how often, while a target does not answer."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

import pytest

from cornelturn.clock import loop_clock, to_seconds
from cornelturn.model.outcome import Completed, NotRun, Outcome
from cornelturn.model.ticket import AttemptId, Grant
from cornelturn.model.work import Queue, WorkClass
from cornelturn.requests.limits import (
    BUDGET_BASE_TOKENS,
    BUDGET_REFILL_INTERVAL_MS,
    HEDGE_FRACTION,
)
from cornelturn.requests.repeatable import MAX_TRIES, IdempotentRunner
from cornelturn.requests.target_client import (
    TargetCompleted,
    TargetNotReached,
    TargetResult,
    TargetSilent,
)
from cornelturn.requests.work import Work
from cornelturn.tests.conftest import SEED

LOOKUP = Queue("lookup", "phone", WorkClass.URGENT, True, 0.5, 5_000, 20)
HEDGE_AFTER_MS = 60
LATE_ANSWER_MS = 100
"""Time to the answer of a healthy target that is delayed beyond the hedge delay."""
PROMPT_ANSWER_MS = 20
REFUSING = "refusing"
"""Target that refuses connections."""


@dataclass
class ScriptedAttemptRunner:
    """Grants targets in a scripted order, and simulates their answers.

    Parameters
    ----------
    first_grants : list of str
        Targets of the attempts that avoid no target, in order.
    answer_ms : dict
        Time to the answer of each target that answers; the others are silent.
    hedge_grants : list of str
        Targets of the first attempts that avoid a target; later ones get the first
        target that answers and is not avoided.
    sent : list of str
        Targets to which requests were sent, in order.
    """

    first_grants: list[str]
    answer_ms: dict[str, int]
    hedge_grants: list[str] = field(default_factory=list)
    sent: list[str] = field(default_factory=list)
    grant_count: int = 0

    async def acquire_grant(self, work: Work, avoid: tuple[str, ...]) -> Grant | NotRun:
        self.grant_count += 1
        target = self._choose(avoid)
        attempt = AttemptId("entry-1", 1, self.grant_count)
        return Grant(attempt, "phone", target, "", 1, 2_000, 20, HEDGE_AFTER_MS)

    async def execute(self, work: Work, grant: Grant, timeout_ms: int) -> TargetResult:
        self.sent.append(grant.target)
        if grant.target == REFUSING:
            return TargetNotReached("refused")
        answer_ms = self.answer_ms.get(grant.target)
        if answer_ms is None:
            await asyncio.sleep(to_seconds(timeout_ms))
            return TargetSilent("timeout", timeout_ms)
        await asyncio.sleep(to_seconds(answer_ms))
        return TargetCompleted(work.payload, "text/plain", answer_ms)

    def return_grant(self, grant: Grant) -> None:
        """Do nothing: returned grants are not counted."""

    def _choose(self, avoid: tuple[str, ...]) -> str:
        scripted = self.hedge_grants if avoid else self.first_grants
        if scripted:
            return scripted.pop(0)
        return next(
            (target for target in self.answer_ms if target not in avoid), avoid[0]
        )


def lookup(number: int, deadline_ms: int) -> Work:
    payload = b"%d" % number
    return Work(f"r-{number}", "mill", LOOKUP, payload, "text/plain", deadline_ms)


async def run_concurrently(
    attempts: ScriptedAttemptRunner, count: int
) -> Sequence[Outcome]:
    """Run `count` lookups through one front, all started at the same time."""
    clock = loop_clock()
    idempotent_runner = IdempotentRunner(clock, attempts, random.Random(SEED))
    deadline_ms = clock.now_ms() + LOOKUP.deadline_ms
    runs = (
        idempotent_runner.run(lookup(number, deadline_ms)) for number in range(count)
    )
    return await asyncio.gather(*runs)


def bodies(outcomes: Sequence[Outcome]) -> list[bytes]:
    return [
        outcome.body if isinstance(outcome, Completed) else b"" for outcome in outcomes
    ]


def test_late_lookups_leave_hedges_for_lookups_on_a_silent_target(
    runner: asyncio.Runner,
) -> None:
    first_grants = ["late", "late", "silent", "silent"]
    attempts = ScriptedAttemptRunner(first_grants, {"late": LATE_ANSWER_MS})
    outcomes = runner.run(run_concurrently(attempts, 4))
    assert bodies(outcomes) == [b"%d" % number for number in range(4)]


def test_more_silent_lookups_than_base_tokens_are_all_hedged(
    runner: asyncio.Runner,
) -> None:
    count = round(BUDGET_BASE_TOKENS) + 2
    attempts = ScriptedAttemptRunner(["silent"] * count, {"prompt": PROMPT_ANSWER_MS})
    outcomes = runner.run(run_concurrently(attempts, count))
    assert bodies(outcomes) == [b"%d" % number for number in range(count)]
    assert attempts.sent.count("prompt") == count


@pytest.mark.parametrize("first_hedge", [REFUSING, "also silent", "silent"])
def test_lookup_whose_hedge_does_not_complete_is_hedged_again(
    runner: asyncio.Runner, first_hedge: str
) -> None:
    attempts = ScriptedAttemptRunner(
        ["silent"], {"prompt": PROMPT_ANSWER_MS}, [first_hedge]
    )
    outcomes = runner.run(run_concurrently(attempts, 1))
    assert bodies(outcomes) == [b"0"]
    assert attempts.sent.count("prompt") == 1


def test_hedges_stay_within_their_budget(runner: asyncio.Runner) -> None:
    count = 40
    attempts = ScriptedAttemptRunner(["silent"] * count, {"prompt": PROMPT_ANSWER_MS})
    runner.run(run_concurrently(attempts, count))
    refilled = LOOKUP.deadline_ms / BUDGET_REFILL_INTERVAL_MS
    allowed = BUDGET_BASE_TOKENS + HEDGE_FRACTION * count + refilled
    assert attempts.sent.count("prompt") <= allowed


def test_lookup_in_a_pool_of_one_target_requests_at_most_max_tries_grants(
    runner: asyncio.Runner,
) -> None:
    attempts = ScriptedAttemptRunner(["silent"], {})
    runner.run(run_concurrently(attempts, 1))
    assert attempts.grant_count <= MAX_TRIES
