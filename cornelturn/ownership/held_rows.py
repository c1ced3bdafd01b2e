"""Writes of this entry to the rows of the duties that it holds."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from cornelturn.events.background import start_background
from cornelturn.events.mailbox import answer
from cornelturn.ownership.duties import FLEET_DUTY, Holder
from cornelturn.ownership.duty_rows import DutyRows
from cornelturn.ownership.held_duties import HeldDuties
from cornelturn.ownership.keeper_log import log_duty_released, log_row_written
from cornelturn.ownership.messages import ProbeDuty, RecordTargets, RowWrite
from cornelturn.ownership.predecessors import Predecessors
from cornelturn.ownership.reconcile_schedule import ReconcileSchedule
from cornelturn.peering.messages import PeerAddress
from cornelturn.store.rows import Committed, TableConflict, TableError


@dataclass(slots=True)
class HeldRows:
    """Writes targets, pool sizes and releases to the rows of held duties.

    Parameters
    ----------
    pool_sizes : dict
        Machines of each pool before any move, as reported by the owner of the machines.
    probe_tasks : set of Task
        Writes of unchanged rows; renewals do not wait for them.
    """

    own: PeerAddress
    duty_rows: DutyRows
    predecessors: Predecessors
    held: HeldDuties
    schedule: ReconcileSchedule
    pool_sizes: dict[str, int] = field(default_factory=dict)
    probe_tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def record_targets(self, command: RecordTargets) -> RowWrite:
        """Write the targets of a duty, unless it is held in another generation."""
        duty = command.duty
        known = self.duty_rows.known.get(duty)
        generation = self.held.generations.get(duty)
        if (
            known is None
            or not generation == command.generation == known.row.generation
        ):
            return RowWrite.NOT_WRITTEN
        row = replace(
            known.row,
            targets=command.targets,
            is_settled=command.is_settled,
            earlier=(() if command.is_settled else self.predecessors.by_duty.get(duty)),
        )
        result = await self.duty_rows.commit(duty, row, known.version)
        outcome = self._write_outcome(result)
        version = self.duty_rows.known[duty].version
        log_row_written(duty, known.row, row, version, outcome)
        return outcome

    async def write_pool_sizes(self) -> None:
        """Write the pool sizes to the row of the fleet's upkeep, for all entries."""
        known = self.duty_rows.known.get(FLEET_DUTY)
        is_held = FLEET_DUTY in self.held.generations
        if not is_held or known is None or not self.pool_sizes:
            return
        if known.row.sizes != self.pool_sizes:
            row = replace(known.row, sizes=self.pool_sizes)
            await self.duty_rows.commit(FLEET_DUTY, row, known.version)

    def start_probe(self, probe: ProbeDuty) -> None:
        """Start to write the row of a duty unchanged, beside other writes."""
        start_background(self.probe_tasks, self._probe(probe))

    async def release(self, duty: str) -> bool:
        """Release a duty; return whether its row no longer names this entry."""
        known = self.duty_rows.known.get(duty)
        if known is None or duty not in self.held.generations:
            return True
        own_holder = Holder(self.own.name, self.own.incarnation, known.row.generation)
        row = replace(known.row, holder="", incarnation=0, released_by=own_holder)
        match await self.duty_rows.commit(duty, row, known.version):
            case Ok(_):
                log_duty_released(duty, row, is_written=True)
                self.held.record_released(duty)
                return True
            case Err(TableConflict(rows=rows)):
                self.duty_rows.apply(rows)
                if self.duty_rows.holder(duty) == self.own.name:
                    return False
                self.held.give_up(duty)
                return True
            case Err(_):
                log_duty_released(duty, row, is_written=False)
                return False

    async def _probe(self, probe: ProbeDuty) -> None:
        known = self.duty_rows.known.get(probe.duty)
        if known is None or probe.duty not in self.held.generations:
            answer(probe.reply, RowWrite.NOT_WRITTEN)
            return
        result = await self.duty_rows.probe(probe.duty, known)
        answer(probe.reply, self._write_outcome(result))

    def _write_outcome(self, result: Result[Committed, TableError]) -> RowWrite:
        """Return the outcome of a write; on a conflict, request a read of the rows."""
        match result:
            case Ok(_):
                return RowWrite.WRITTEN
            case Err(TableConflict()):
                self.schedule.request_reconcile()
                return RowWrite.NOT_WRITTEN
            case Err(error):
                return RowWrite.IN_DOUBT if error.is_in_doubt else RowWrite.NOT_WRITTEN
