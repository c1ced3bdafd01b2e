"""Claims of one request by several drivers, under any loss and any order."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from result import Err, Ok

from cornelturn.model.outcome import Completed, NotRun, NotRunReason
from cornelturn.model.ticket import AttemptId, Grant
from cornelturn.requests.claims import Claimed, Claims, ClaimUnavailable, RecordRead
from cornelturn.requests.records import RequestRecord, RequestState
from cornelturn.standins.table import MemoryTable
from cornelturn.store.rows import (
    Committed,
    Operation,
    Row,
    TableConflict,
    TableUnavailable,
)
from cornelturn.store.wire import WireOperation, wire_operation

MEMBER, REQUEST = "mill", "request-1"
AWAY = Err(TableUnavailable("away"))


class Loss(Enum):
    """What becomes of a commit."""

    NOTHING = "nothing"
    REQUEST = "request"
    ANSWER = "answer"
    LATE = "late"


@dataclass
class LossyTable:
    """Table service whose commits are lost, unanswered, or late."""

    memory: MemoryTable = field(default_factory=MemoryTable)
    loss: Loss = Loss.NOTHING
    late: list[tuple[WireOperation, ...]] = field(default_factory=list)

    async def read(self, key: str) -> Ok[Row | None]:
        wire = self.memory.rows.get(key)
        row = wire and Row(wire.key, wire.version, wire.token, wire.value)
        return Ok(row)

    async def commit(self, *operations: Operation, limit_ms: int = 0):
        wire = tuple(wire_operation(one, "t") for one in operations)
        match self.loss:
            case Loss.REQUEST:
                return AWAY
            case Loss.LATE:
                self.late.append(wire)
                return AWAY
        failed = self.memory.transact(wire)
        if self.loss is Loss.ANSWER:
            return AWAY
        if failed:
            return Err(TableConflict(failed))
        return Ok(Committed(self.memory.revision))


@dataclass
class Driver:
    """An entry with a submission of the request, as far as it has come."""

    name: str
    record: RequestRecord | None = None
    version: int = 0
    doubtful: tuple[RequestRecord, int] | None = None
    claimed: Claimed | None = None
    seen: RecordRead | None = None


drivers = st.integers(0, 1)
losses = st.sampled_from([Loss.NOTHING, *Loss])


def some(name: str):
    """Return a condition: a driver has something in an attribute."""
    return precondition(lambda self: any(getattr(one, name) for one in self.drivers))


class ClaimMachine(RuleBasedStateMachine):
    """Two drivers and one request; a claim that is answered is a start."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.table = LossyTable()
        self.claims = Claims(self.table, None)
        self.drivers = [Driver(f"entry-{number}") for number in range(2)]
        self.starts = 0
        self.submit(0)
        self.submit(1)

    def teardown(self) -> None:
        self.runner.close()

    def do(self, work, loss: Loss = Loss.NOTHING):
        self.table.loss = loss
        return self.runner.run(work)

    def row(self) -> RecordRead:
        return self.do(self.claims.read(MEMBER, REQUEST))

    @rule(at=drivers)
    def submit(self, at: int) -> None:
        """Look the key up; what may run is kept until it is claimed or refused."""
        driver, found = self.drivers[at], self.row()
        if driver.record or driver.doubtful:
            return
        if found.record is None or found.record.state is RequestState.NOT_RUN:
            accepted = RequestState.ACCEPTED
            driver.record = RequestRecord(
                REQUEST, MEMBER, "collection", accepted, "f", driver.name, 1
            )
            driver.version = found.version

    @some("record")
    @rule(at=drivers, loss=losses)
    def accept(self, at: int, loss: Loss) -> None:
        driver = self.drivers[at]
        if driver.record is None:
            return
        result = self.do(self.claims.insert(driver.record, driver.version), loss)
        match result:
            case Claimed():
                driver.version = result.version
            case ClaimUnavailable():
                driver.doubtful = (driver.record, driver.version)
                driver.record = None
            case _:
                driver.record = None

    @some("record")
    @rule(at=drivers, loss=losses)
    def start(self, at: int, loss: Loss) -> None:
        driver = self.drivers[at]
        if driver.record is None:
            return
        attempt = AttemptId(driver.name, 1, 1)
        grant = Grant(attempt, "phone", "target-0", "http://t", 1, 1_000, 0, 0)
        work = self.claims.start(driver.record, driver.version, grant, 1_000)
        result = self.do(work, loss)
        match result:
            case Claimed():
                self.starts += 1
                driver.claimed = result
            case ClaimUnavailable():
                driver.doubtful = (driver.record, driver.version)
        driver.record = None

    @some("record")
    @rule(at=drivers, loss=losses)
    def refuse(self, at: int, loss: Loss) -> None:
        """Refuse; what was told holds at that moment."""
        driver = self.drivers[at]
        if driver.record is None:
            return
        refusal = NotRun(NotRunReason.QUEUE_FULL)
        work = self.claims.refuse(driver.record, driver.version, refusal)
        if isinstance(self.do(work, loss), Claimed):
            assert self.starts == 0
        driver.record = None

    @some("doubtful")
    @rule(at=drivers)
    def disown(self, at: int) -> None:
        driver = self.drivers[at]
        if driver.doubtful is not None:
            self.do(self.claims._disown(*driver.doubtful))
            driver.doubtful = None

    @some("claimed")
    @rule(at=drivers)
    def finish(self, at: int) -> None:
        driver = self.drivers[at]
        if driver.claimed is not None:
            outcome = Completed(b"answer", "text/plain", "target-0", 1)
            self.do(self.claims._finish(driver.claimed, outcome, True))
            driver.claimed = None

    @rule(at=drivers)
    def look(self, at: int) -> None:
        """Read the row in order to adopt it later, whoever is alive."""
        found = self.row()
        is_open = found.record is not None and found.record.is_open()
        if is_open and found.record.driver != self.drivers[at].name:
            self.drivers[at].seen = found

    @some("seen")
    @rule(at=drivers, loss=losses)
    def adopt(self, at: int, loss: Loss) -> None:
        driver, found = self.drivers[at], self.drivers[at].seen
        if found is None:
            return
        driver.seen = None
        work = self.claims.adopt(found.record, found.version, driver.name, 1)
        result = self.do(work, loss)
        if isinstance(result, Claimed) and result.record.state is RequestState.ACCEPTED:
            driver.record, driver.version = result.record, result.version

    @precondition(lambda self: self.table.late)
    @rule()
    def arrive_late(self) -> None:
        if self.table.late:
            self.table.memory.transact(self.table.late.pop(0))

    @invariant()
    def starts_at_most_once(self) -> None:
        assert self.starts <= 1

    @invariant()
    def is_listed_once_while_open(self) -> None:
        found = self.row()
        listed = [key for key in self.table.memory.rows if key.startswith("open/")]
        is_open = found.record is not None and found.record.is_open()
        assert not is_open or len(listed) >= 1


TestClaims = ClaimMachine.TestCase
TestClaims.settings = settings(
    max_examples=200,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
)


def test_adoption_loses_against_a_start_that_came_first() -> None:
    machine = ClaimMachine()
    machine.accept(0, Loss.NOTHING)
    machine.look(1)
    machine.start(0, Loss.NOTHING)
    machine.adopt(1, Loss.NOTHING)
    machine.start(1, Loss.NOTHING)
    machine.teardown()
    assert machine.starts == 1
