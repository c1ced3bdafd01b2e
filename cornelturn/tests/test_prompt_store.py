"""What a caller who waits is told of calls to the store and to peers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest
from result import Err, Ok, Result

from cornelturn.store.health import CallKind
from cornelturn.store.prompt import AWAY, LATE, LIMIT_PATIENCES, PromptStore
from cornelturn.store.rows import (
    ABSENT,
    Committed,
    Put,
    Row,
    TableConflict,
    TableUnavailable,
)
from cornelturn.tests.network import FakeTimeLoop

PUT = Put("jobs/q/1", "text", ABSENT)
DONE = Ok(Committed(7))
REFUSED = Err(TableUnavailable("status 503", is_in_doubt=False))
RESET = Err(TableUnavailable("reset", is_in_doubt=True))


@dataclass
class Way:
    """A store, or a way to it, with one result for all writes."""

    result: Result[Committed, TableUnavailable]
    row: Row | None = None
    is_sound: bool = True
    is_out: bool = False
    writes: list[Put] = field(default_factory=list)

    async def commit(self, put: Put, limit_s: float = 0.0):
        self.writes.append(put)
        return self.result

    async def read(self, key: str, limit_s: float = 0.0):
        return Ok(self.row)

    def is_away(self) -> bool:
        return self.is_out

    def is_serving(self) -> bool:
        return self.is_sound and not self.is_out

    def patience_ms(self, kind: CallKind) -> int:
        return 200


@pytest.mark.parametrize(
    ("own", "peers", "told"),
    [
        (Way(REFUSED), Way(DONE), REFUSED),
        (Way(REFUSED, is_sound=False), Way(DONE), DONE),
        (Way(REFUSED, is_sound=False), Way(Err(AWAY)), Err(AWAY)),
        (Way(REFUSED, is_sound=False), Way(Err(LATE)), Err(LATE)),
        (Way(RESET, is_sound=False), Way(DONE), DONE),
        (Way(RESET, is_sound=False), Way(Err(AWAY)), RESET),
        (Way(DONE, is_out=True), Way(Err(AWAY)), Err(AWAY)),
        (Way(DONE, is_out=True), Way(Err(LATE)), Err(LATE)),
    ],
)
async def test_only_what_nobody_may_have_stored_is_refused(own, peers, told):
    assert await PromptStore(own, peers).commit(PUT) == told


async def test_nothing_is_sent_to_a_store_that_is_away():
    own = Way(DONE, is_out=True)
    assert await PromptStore(own).commit(PUT) == Err(AWAY)
    assert not own.writes


async def test_row_that_a_cut_off_write_has_left_is_a_conflict():
    row = Row(PUT.key, 9, "", "text")
    own = Way(RESET, row)
    match await PromptStore(own).commit(PUT):
        case Err(TableConflict(rows=rows)):
            assert rows == (row,)
            assert len(own.writes) == 1
        case other:
            pytest.fail(f"expected a conflict, found {other}")


@dataclass
class LateWay(Way):
    """A store whose writes take many times its patience."""

    async def commit(self, put: Put, limit_s: float = 0.0):
        self.writes.append(put)
        await asyncio.sleep(0.07)
        return self.result

    def patience_ms(self, kind: CallKind) -> int:
        return 10


async def test_write_to_a_slow_store_is_waited_for_while_its_caller_has_time():
    own = LateWay(DONE)
    assert await PromptStore(own).commit(PUT, 500) == DONE
    assert len(own.writes) <= LIMIT_PATIENCES


async def test_overdue_row_that_is_not_there_is_written_by_the_way_for_repetitions():
    own, again = LateWay(DONE), Way(Ok(Committed(9)))
    assert await PromptStore(own).commit(PUT, 500, again.commit) == Ok(Committed(9))
    assert len(own.writes) == 1


@dataclass
class SilentWay(Way):
    """A store that answers no write."""

    async def commit(self, put: Put, limit_s: float = 0.0):
        self.writes.append(put)
        assert len(self.writes) <= LIMIT_PATIENCES
        await asyncio.Event().wait()


def test_timer_that_fires_early_repeats_no_call():
    async def calls() -> None:
        for _ in range(100):
            await asyncio.sleep(0.0137)
            assert await PromptStore(SilentWay(DONE)).commit(PUT, 1_200) == Err(LATE)

    # Sums of its times are rounded, so that waits end a little before their end.
    with asyncio.Runner(loop_factory=FakeTimeLoop) as runner:
        runner.run(calls())
