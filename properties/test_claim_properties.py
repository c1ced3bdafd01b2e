"""Claims of one request by two drivers, under any loss and order of their commits.

The request starts at most once, and a recorded refusal holds.
"""

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
UNAVAILABLE = Err(TableUnavailable("away"))


class Loss(Enum):
    """Which part of a commit is lost.

    With `LATE` the commit gets no answer, but may be executed later.
    """

    NOTHING = "nothing"
    REQUEST = "request"
    ANSWER = "answer"
    LATE = "late"


@dataclass
class LossyTable:
    """Table service whose commits may be lost, executed without an answer, or late."""

    memory: MemoryTable = field(default_factory=MemoryTable)
    loss: Loss = Loss.NOTHING
    late_commits: list[tuple[WireOperation, ...]] = field(default_factory=list)

    async def read(self, key: str) -> Ok[Row | None]:
        wire = self.memory.rows.get(key)
        row = wire and Row(wire.key, wire.version, wire.token, wire.value)
        return Ok(row)

    async def commit(self, *operations: Operation, limit_ms: int = 0):
        wire = tuple(wire_operation(operation, "t") for operation in operations)
        match self.loss:
            case Loss.REQUEST:
                return UNAVAILABLE
            case Loss.LATE:
                self.late_commits.append(wire)
                return UNAVAILABLE
        failed = self.memory.transact(wire)
        if self.loss is Loss.ANSWER:
            return UNAVAILABLE
        if failed:
            return Err(TableConflict(failed))
        return Ok(Committed(self.memory.revision))


@dataclass
class Driver:
    """An entry with its submission of the request.

    Parameters
    ----------
    record, version : RequestRecord or None, int
        Record that it may still claim or refuse, and the version of its row.
    in_doubt : tuple or None
        Record and version of a commit that got no answer.
    claimed : Claimed or None
        Claim of its start.
    record_to_adopt : RecordRead or None
        Open record of the other driver, as read before an adoption.
    """

    name: str
    record: RequestRecord | None = None
    version: int = 0
    in_doubt: tuple[RequestRecord, int] | None = None
    claimed: Claimed | None = None
    record_to_adopt: RecordRead | None = None


driver_indexes = st.integers(0, 1)
losses = st.sampled_from([Loss.NOTHING, *Loss])


def any_driver_has(name: str):
    """Return a precondition: an attribute of some driver is set."""
    return precondition(
        lambda self: any(getattr(driver, name) for driver in self.drivers)
    )


class ClaimMachine(RuleBasedStateMachine):
    """Two drivers and one request; each confirmed claim counts as a start."""

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

    def run_with_loss(self, work, loss: Loss = Loss.NOTHING):
        self.table.loss = loss
        return self.runner.run(work)

    def read_row(self) -> RecordRead:
        return self.run_with_loss(self.claims.read_record(MEMBER, REQUEST))

    @rule(index=driver_indexes)
    def submit(self, index: int) -> None:
        """Look up the key; a record that may run waits to be claimed or refused."""
        driver, stored = self.drivers[index], self.read_row()
        if driver.record or driver.in_doubt:
            return
        if stored.record is None or stored.record.state is RequestState.NOT_RUN:
            accepted = RequestState.ACCEPTED
            driver.record = RequestRecord(
                REQUEST, MEMBER, "collection", accepted, "f", driver.name, 1
            )
            driver.version = stored.version

    @any_driver_has("record")
    @rule(index=driver_indexes, loss=losses)
    def accept(self, index: int, loss: Loss) -> None:
        driver = self.drivers[index]
        if driver.record is None:
            return
        result = self.run_with_loss(
            self.claims.write_open(driver.record, driver.version), loss
        )
        match result:
            case Claimed():
                driver.version = result.version
            case ClaimUnavailable():
                driver.in_doubt = (driver.record, driver.version)
                driver.record = None
            case _:
                driver.record = None

    @any_driver_has("record")
    @rule(index=driver_indexes, loss=losses)
    def start(self, index: int, loss: Loss) -> None:
        driver = self.drivers[index]
        if driver.record is None:
            return
        attempt = AttemptId(driver.name, 1, 1)
        grant = Grant(attempt, "phone", "target-0", "http://t", 1, 1_000, 0, 0)
        work = self.claims.claim_start(driver.record, driver.version, grant, 1_000)
        result = self.run_with_loss(work, loss)
        match result:
            case Claimed():
                self.starts += 1
                driver.claimed = result
            case ClaimUnavailable():
                driver.in_doubt = (driver.record, driver.version)
        driver.record = None

    @any_driver_has("record")
    @rule(index=driver_indexes, loss=losses)
    def refuse(self, index: int, loss: Loss) -> None:
        """Refuse; a confirmed refusal means that nothing has started."""
        driver = self.drivers[index]
        if driver.record is None:
            return
        refusal = NotRun(NotRunReason.QUEUE_FULL)
        work = self.claims.record_refusal(driver.record, driver.version, refusal)
        if isinstance(self.run_with_loss(work, loss), Claimed):
            assert self.starts == 0
        driver.record = None

    @any_driver_has("in_doubt")
    @rule(index=driver_indexes)
    def resolve_in_doubt(self, index: int) -> None:
        driver = self.drivers[index]
        if driver.in_doubt is not None:
            self.run_with_loss(self.claims._resolve_in_doubt(*driver.in_doubt))
            driver.in_doubt = None

    @any_driver_has("claimed")
    @rule(index=driver_indexes)
    def finish(self, index: int) -> None:
        driver = self.drivers[index]
        if driver.claimed is not None:
            outcome = Completed(b"answer", "text/plain", "target-0", 1)
            self.run_with_loss(
                self.claims._record_outcome(driver.claimed, outcome, True)
            )
            driver.claimed = None

    @rule(index=driver_indexes)
    def read_for_adoption(self, index: int) -> None:
        """Read the row for a later adoption, whether its driver is alive or not."""
        stored = self.read_row()
        is_open = stored.record is not None and stored.record.is_open()
        if is_open and stored.record.driver != self.drivers[index].name:
            self.drivers[index].record_to_adopt = stored

    @any_driver_has("record_to_adopt")
    @rule(index=driver_indexes, loss=losses)
    def adopt(self, index: int, loss: Loss) -> None:
        driver, stored = self.drivers[index], self.drivers[index].record_to_adopt
        if stored is None:
            return
        driver.record_to_adopt = None
        work = self.claims.adopt(stored.record, stored.version, driver.name, 1)
        result = self.run_with_loss(work, loss)
        if isinstance(result, Claimed) and result.record.state is RequestState.ACCEPTED:
            driver.record, driver.version = result.record, result.version

    @precondition(lambda self: self.table.late_commits)
    @rule()
    def deliver_late_commit(self) -> None:
        if self.table.late_commits:
            self.table.memory.transact(self.table.late_commits.pop(0))

    @invariant()
    def starts_at_most_once(self) -> None:
        assert self.starts <= 1

    @invariant()
    def is_listed_while_open(self) -> None:
        stored = self.read_row()
        listed = [key for key in self.table.memory.rows if key.startswith("open/")]
        is_open = stored.record is not None and stored.record.is_open()
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
    machine.read_for_adoption(1)
    machine.start(0, Loss.NOTHING)
    machine.adopt(1, Loss.NOTHING)
    machine.start(1, Loss.NOTHING)
    machine.teardown()
    assert machine.starts == 1
