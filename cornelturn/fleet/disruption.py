"""Planned disruptions of instances: one transaction each, within the budget."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

from result import Err, Ok, Result

from cornelturn.events.log import log_event
from cornelturn.fleet.budget import measure_budget
from cornelturn.fleet.configuration import (
    StoredConfiguration,
    generation_check,
    read_configuration,
)
from cornelturn.fleet.registry import (
    INSTANCE_PREFIX,
    decode_instance,
    encode_instance,
    instance_key,
)
from cornelturn.model.fleet import Instance, InstanceState
from cornelturn.store.rows import (
    Operation,
    Put,
    Row,
    TableConflict,
    TableUnavailable,
    version_of,
)
from cornelturn.store.table import OPERATOR_READ_LIMIT_MS, Table

POOL_PREFIX = "pool/"


class DisruptionRefusal(StrEnum):
    """Reason for which a disruption was refused."""

    BUDGET = "budget"
    UNKNOWN_INSTANCE = "unknown_instance"
    UNKNOWN_POOL = "unknown_pool"
    WRONG_STATE = "wrong_state"
    CONFLICT = "conflict"
    UNAVAILABLE = "table_unavailable"


@dataclass(frozen=True, slots=True)
class Disrupted:
    """The row of the instance was written; `revision` is its version."""

    instance: Instance
    revision: int


@dataclass(frozen=True, slots=True)
class NotDisrupted:
    """No row was changed."""

    reason: DisruptionRefusal
    detail: str = ""


@dataclass(frozen=True, slots=True)
class InstanceRow:
    """Instance with the version of its row."""

    instance: Instance
    version: int


DisruptionResult = Disrupted | NotDisrupted


def pool_key(name: str) -> str:
    """Return the key of the row that serialises the disruptions of a pool."""
    return f"{POOL_PREFIX}{name}"


async def pool_guard(table: Table, pool: str) -> Result[Put, TableUnavailable]:
    """Return a write of the pool's row that fails if another write comes first.

    Call this before reading the rows that the write is to protect.
    """
    match await table.read(pool_key(pool), OPERATOR_READ_LIMIT_MS):
        case Err(error):
            return Err(error)
        case Ok(row):
            return Ok(Put(pool_key(pool), "{}", version_of(row)))


@dataclass(slots=True)
class Disruptions:
    """Takes instances out of service and returns them.

    Every disruption writes the row of its pool on condition of the version that was
    read before the budget was computed, so that two disruptions, from whichever
    entries, cannot both use the last unit of the budget.

    Parameters
    ----------
    is_up : callable
        Returns whether the platform lists an instance as running.
    """

    table: Table
    is_up: Callable[[str], bool]

    async def take_out_of_service(
        self,
        name: str,
        state: InstanceState,
        reason: str,
        fence: tuple[Operation, ...] = (),
        move_to: str = "",
    ) -> DisruptionResult:
        """Take an instance out of service if the budget of its pool allows it.

        Parameters
        ----------
        state : InstanceState
            New state of the instance.
        reason : str
            Who requested the disruption, stored in the row.
        fence : tuple of Operation
            Further conditions of the transaction, such as the check of a controller's
            lease.
        move_to : str
            Pool that the instance joins once it is drained.
        """
        row = await self._read(name)
        if isinstance(row, NotDisrupted):
            return row
        instance = decode_instance(row.value)
        if instance.state is not InstanceState.IN_SERVICE:
            return NotDisrupted(DisruptionRefusal.WRONG_STATE, instance.state.value)
        guard = await self._budget_guards(instance.pool, move_to)
        if isinstance(guard, NotDisrupted):
            return guard
        changed = replace(instance, state=state, reason=reason, move_to=move_to)
        return await self._commit(
            changed,
            Put(instance_key(name), encode_instance(changed), row.version),
            *guard,
            *fence,
        )

    async def write_instance(
        self, changed: Instance, version: int, fence: tuple[Operation, ...] = ()
    ) -> DisruptionResult:
        """Write an instance without a check of the budget.

        It is already out of service, returns to service, or is new in its pool.
        """
        put = Put(instance_key(changed.name), encode_instance(changed), version)
        return await self._commit(changed, put, *fence)

    async def read(self, name: str) -> InstanceRow | NotDisrupted:
        """Read an instance with the version of its row."""
        row = await self._read(name)
        if isinstance(row, NotDisrupted):
            return row
        return InstanceRow(decode_instance(row.value), row.version)

    async def _read(self, name: str) -> Row | NotDisrupted:
        match await self.table.read(instance_key(name), OPERATOR_READ_LIMIT_MS):
            case Ok(None):
                return NotDisrupted(DisruptionRefusal.UNKNOWN_INSTANCE, name)
            case Ok(row):
                return row
            case Err(error):
                return NotDisrupted(DisruptionRefusal.UNAVAILABLE, error.detail)

    async def _budget_guards(
        self, pool: str, move_to: str
    ) -> tuple[Operation, ...] | NotDisrupted:
        """Return the conditions under which the budget allows one more disruption.

        They include the row of the destination pool of a move, so that this pool
        cannot be removed in the meantime.
        """
        guards: list[Operation] = []
        for name in (pool, move_to) if move_to else (pool,):
            match await pool_guard(self.table, name):
                case Err(error):
                    return NotDisrupted(DisruptionRefusal.UNAVAILABLE, error.detail)
                case Ok(guard):
                    guards.append(guard)
        match await read_configuration(self.table, OPERATOR_READ_LIMIT_MS):
            case Err(error):
                return NotDisrupted(DisruptionRefusal.UNAVAILABLE, error.detail)
            case Ok(StoredConfiguration(configuration, configuration_version)):
                found_pool = configuration.pool(pool)
        if found_pool is None:
            return NotDisrupted(DisruptionRefusal.UNKNOWN_POOL, pool)
        if move_to and configuration.pool(move_to) is None:
            return NotDisrupted(DisruptionRefusal.UNKNOWN_POOL, move_to)
        match await self.table.scan(INSTANCE_PREFIX):
            case Err(error):
                return NotDisrupted(DisruptionRefusal.UNAVAILABLE, error.detail)
            case Ok(page):
                instances = [decode_instance(row.value) for row in page.rows]
        pool_instances = [instance for instance in instances if instance.pool == pool]
        budget = measure_budget(found_pool, pool_instances, self.is_up)
        if budget.remaining() < 1:
            detail = (
                f"expected fewer than {found_pool.max_unavailable} unavailable, found "
                f"{budget.planned} planned and {budget.failing} failing"
            )
            return NotDisrupted(DisruptionRefusal.BUDGET, detail)
        return *guards, generation_check(configuration_version)

    async def _commit(
        self, instance: Instance, *operations: Operation
    ) -> DisruptionResult:
        match await self.table.commit(*operations):
            case Ok(committed):
                log_event(
                    "instance_state",
                    instance=instance.name,
                    pool=instance.pool,
                    state=instance.state,
                    reason=instance.reason or None,
                )
                return Disrupted(instance, committed.revision)
            case Err(TableConflict(keys)):
                return NotDisrupted(DisruptionRefusal.CONFLICT, ", ".join(keys))
            case Err(error):
                return NotDisrupted(DisruptionRefusal.UNAVAILABLE, error.detail)
