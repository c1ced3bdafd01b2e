"""Which lookups are hedged, and when, while a target of their pool is silent."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

import pytest

from cornelturn.clock import loop_clock, to_seconds
from cornelturn.model.outcome import Completed, NotRun, Outcome
from cornelturn.model.ticket import AttemptId, Grant
from cornelturn.model.work import Queue, WorkClass
from cornelturn.requests.limits import BUDGET_FLOOR, BUDGET_REFILL_MS, HEDGE_FRACTION
from cornelturn.requests.repeatable import MAX_TRIES, RepeatableRunner
from cornelturn.requests.target_client import (
    TargetCompleted,
    TargetNotReached,
    TargetResult,
    TargetSilent,
)
from cornelturn.requests.work import Work
from cornelturn.tests.conftest import SEED
from cornelturn.tests.network import FakeTimeLoop

LOOKUP = Queue("lookup", "phone", WorkClass.URGENT, True, 0.5, 5_000, 20)
HEDGE_AFTER_MS = 60
LATE_MS = 100
"""Answer of a healthy target that is held up beyond the hedge delay."""
PROMPT_MS = 20
REFUSING = "refusing"
"""Target that refuses connections."""


@dataclass
class ScriptedAttempts:
    """Grants targets in order, and plays what each of them does.

    Parameters
    ----------
    grants : list of str
        Targets of the attempts that avoid nothing, in order.
    answer_ms : dict
        Time to the answer of each target that answers; the others are silent.
    hedges : list of str
        Targets of the first attempts that avoid another; those after them get the
        first target that answers and that they need not avoid.
    """

    grants: list[str]
    answer_ms: dict[str, int]
    hedges: list[str] = field(default_factory=list)
    sent: list[str] = field(default_factory=list)
    sequence: int = 0

    async def obtain(self, work: Work, avoid: tuple[str, ...]) -> Grant | NotRun:
        self.sequence += 1
        target = self._choose(avoid)
        attempt = AttemptId("entry-1", 1, self.sequence)
        return Grant(attempt, "phone", target, "", 1, 2_000, 20, HEDGE_AFTER_MS)

    async def exchange(self, work: Work, grant: Grant, timeout_ms: int) -> TargetResult:
        self.sent.append(grant.target)
        if grant.target == REFUSING:
            return TargetNotReached("refused")
        answer_ms = self.answer_ms.get(grant.target)
        if answer_ms is None:
            await asyncio.sleep(to_seconds(timeout_ms))
            return TargetSilent("timeout", timeout_ms)
        await asyncio.sleep(to_seconds(answer_ms))
        return TargetCompleted(work.payload, "text/plain", answer_ms)

    def give_back(self, grant: Grant) -> None:
        """Nothing is counted."""

    def _choose(self, avoid: tuple[str, ...]) -> str:
        scripted = self.hedges if avoid else self.grants
        if scripted:
            return scripted.pop(0)
        return next((one for one in self.answer_ms if one not in avoid), avoid[0])


@pytest.fixture
def runner() -> Iterator[asyncio.Runner]:
    """Return a runner with a fake clock."""
    with asyncio.Runner(loop_factory=FakeTimeLoop) as found:
        yield found


def lookup(number: int, deadline_ms: int) -> Work:
    payload = b"%d" % number
    return Work(f"r-{number}", "mill", LOOKUP, payload, "text/plain", deadline_ms)


async def run_at_once(attempts: ScriptedAttempts, count: int) -> Sequence[Outcome]:
    """Run so many lookups through one front, all from the same moment."""
    clock = loop_clock()
    repeatable = RepeatableRunner(clock, attempts, random.Random(SEED))
    deadline_ms = clock.now_ms() + LOOKUP.deadline_ms
    runs = (repeatable.run(lookup(number, deadline_ms)) for number in range(count))
    return await asyncio.gather(*runs)


def bodies(outcomes: Sequence[Outcome]) -> list[bytes]:
    return [one.body if isinstance(one, Completed) else b"" for one in outcomes]


def test_hedges_of_late_lookups_leave_those_on_a_silent_target_their_own(
    runner: asyncio.Runner,
) -> None:
    grants = ["late", "late", "silent", "silent"]
    attempts = ScriptedAttempts(grants, {"late": LATE_MS})
    outcomes = runner.run(run_at_once(attempts, 4))
    assert bodies(outcomes) == [b"%d" % number for number in range(4)]


def test_more_silent_lookups_than_the_floor_of_the_budget_are_all_hedged(
    runner: asyncio.Runner,
) -> None:
    count = round(BUDGET_FLOOR) + 2
    attempts = ScriptedAttempts(["silent"] * count, {"prompt": PROMPT_MS})
    outcomes = runner.run(run_at_once(attempts, count))
    assert bodies(outcomes) == [b"%d" % number for number in range(count)]
    assert attempts.sent.count("prompt") == count


@pytest.mark.parametrize("first_hedge", [REFUSING, "also silent", "silent"])
def test_lookup_whose_hedge_brings_nothing_is_hedged_again(
    runner: asyncio.Runner, first_hedge: str
) -> None:
    attempts = ScriptedAttempts(["silent"], {"prompt": PROMPT_MS}, [first_hedge])
    outcomes = runner.run(run_at_once(attempts, 1))
    assert bodies(outcomes) == [b"0"]
    assert attempts.sent.count("prompt") == 1


def test_hedges_stay_within_their_budget(runner: asyncio.Runner) -> None:
    count = 40
    attempts = ScriptedAttempts(["silent"] * count, {"prompt": PROMPT_MS})
    runner.run(run_at_once(attempts, count))
    refilled = LOOKUP.deadline_ms / BUDGET_REFILL_MS
    allowed = BUDGET_FLOOR + HEDGE_FRACTION * count + refilled
    assert attempts.sent.count("prompt") <= allowed


def test_lookup_whose_pool_has_one_target_asks_for_no_more_slots_than_attempts(
    runner: asyncio.Runner,
) -> None:
    attempts = ScriptedAttempts(["silent"], {})
    runner.run(run_at_once(attempts, 1))
    assert attempts.sequence <= MAX_TRIES
