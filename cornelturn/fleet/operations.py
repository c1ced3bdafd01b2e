"""Operations of operators on the fleet, independent of the transport."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from cornelturn.events.log import log_event
from cornelturn.fleet.bootstrap import assigned_instance
from cornelturn.fleet.budget import BudgetView, measure_budget
from cornelturn.fleet.configuration import (
    ConfigurationManager,
    ProposeResult,
    StoredConfiguration,
    generation_check,
    read_configuration,
)
from cornelturn.fleet.disruption import (
    Disrupted,
    DisruptionRefusal,
    DisruptionResult,
    Disruptions,
    NotDisrupted,
    pool_guard,
)
from cornelturn.fleet.drain_runner import OPERATOR_REASON
from cornelturn.fleet.moves import MOVE_REASON
from cornelturn.fleet.registry import (
    INSTANCE_PREFIX,
    InstanceRegistry,
    decode_instance,
    encode_instance,
    instance_key,
)
from cornelturn.fleet.waves import (
    DrainPolicy,
    Wave,
    WaveState,
    decode_wave,
    encode_wave,
    new_wave,
    wave_key,
)
from cornelturn.model.configuration import Configuration
from cornelturn.model.fleet import Instance, InstanceState
from cornelturn.settings.documents import ConfigurationDocument
from cornelturn.store.rows import (
    ABSENT,
    Operation,
    Put,
    Row,
    TableConflict,
    TableUnavailable,
    version_of,
)
from cornelturn.store.table import OPERATOR_READ_LIMIT_MS, Table

MAX_CHANGE_ATTEMPTS = 5
"""Attempts to change a wave whose row its controller writes at the same time."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """Operation that was refused and changed nothing, with every reason."""

    problems: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class TableUnreachable:
    """The table service did not answer; a change may or may not be committed."""

    detail: str


@dataclass(frozen=True, slots=True)
class LatestWave:
    """Result with the latest wave of a pool."""

    wave: Wave


WaveResult = LatestWave | Rejected | TableUnreachable

RESUMABLE = (InstanceState.DRAINING, InstanceState.QUARANTINED, InstanceState.FAILED)


@dataclass(slots=True)
class FleetOperations:
    """Operations on the configuration, on instances and on waves.

    Parameters
    ----------
    on_instances_changed : callable
        Called after rows of instances have changed.
    """

    table: Table
    configuration_manager: ConfigurationManager
    registry: InstanceRegistry
    disruptions: Disruptions
    on_instances_changed: Callable[[], None]

    # Configuration

    async def replace_configuration(
        self, document: ConfigurationDocument, expected: int
    ) -> ProposeResult | Rejected | TableUnreachable:
        """Replace the whole configuration, or reject it with every reason."""
        proposed = document.to_configuration(expected + 1)
        guards = await self._removed_pool_guards(proposed)
        if isinstance(guards, TableUnreachable):
            return guards
        match await self._read_instances():
            case Err(detail):
                return TableUnreachable(detail)
            case Ok(instances):
                pass
        problems = self._find_problems(document, proposed, instances)
        if problems:
            return Rejected(tuple(problems))
        extra = self._assignments(document, instances)
        return await self.configuration_manager.propose(
            proposed, expected, "configuration", (*extra, *guards)
        )

    async def switch_preset(
        self, name: str, expected: int | None
    ) -> ProposeResult | Rejected | TableUnreachable:
        """Switch to a preset."""
        match await read_configuration(self.table, OPERATOR_READ_LIMIT_MS):
            case Err(error):
                return TableUnreachable(error.detail)
            case Ok(StoredConfiguration(stored)):
                pass
        if all(preset.name != name for preset in stored.presets):
            known = ", ".join(preset.name for preset in stored.presets)
            return Rejected((f"preset: expected one of {known}, found {name}",))
        expected_generation = stored.generation if expected is None else expected
        proposed = replace(stored, preset=name, generation=expected_generation + 1)
        return await self.configuration_manager.propose(
            proposed, expected_generation, f"preset {name}"
        )

    def _find_problems(
        self,
        document: ConfigurationDocument,
        proposed: Configuration,
        instances: list[Instance],
    ) -> list[str]:
        pool_by_instance = {instance.name: instance.pool for instance in instances}
        problems: list[str] = []
        for pool in document.pools:
            for name in pool.instances:
                problems += self._placement_problems(name, pool.name, pool_by_instance)
        sizes = Counter(instance.pool for instance in instances)
        for pool in document.pools:
            sizes[pool.name] += len(set(pool.instances) - set(pool_by_instance))
        for pool in proposed.pools:
            count = sizes[pool.name]
            if count and pool.max_unavailable >= count:
                problems.append(
                    f"pool {pool.name}: expected max_unavailable below the {count} "
                    f"instances, found {pool.max_unavailable}"
                )
        remaining_pools = {pool.name for pool in proposed.pools}
        for pool in sorted({instance.pool for instance in instances} - remaining_pools):
            problems.append(f"pool {pool}: expected no instances, it still has some")
        moving = {instance.move_to for instance in instances if instance.move_to}
        for pool in sorted(moving - remaining_pools):
            problems.append(f"pool {pool}: expected no moves, an instance moves to it")
        return problems

    def _placement_problems(
        self, name: str, pool: str, pool_by_instance: dict[str, str]
    ) -> list[str]:
        if name in pool_by_instance and pool_by_instance[name] != pool:
            return [
                f"instance {name}: expected in one pool, found in "
                f"{pool_by_instance[name]} and {pool}; use instance move"
            ]
        if name not in pool_by_instance and name not in self.registry.listed:
            return [f"instance {name}: expected in the platform's list, not found"]
        return []

    def _assignments(
        self, document: ConfigurationDocument, instances: list[Instance]
    ) -> tuple[Operation, ...]:
        assigned = {instance.name for instance in instances}
        new_instances = [
            assigned_instance(self.registry.listed[name], pool.name)
            for pool in document.pools
            for name in pool.instances
            if name not in assigned
        ]
        return tuple(
            Put(instance_key(instance.name), encode_instance(instance), ABSENT)
            for instance in new_instances
        )

    async def _removed_pool_guards(
        self, proposed: Configuration
    ) -> tuple[Operation, ...] | TableUnreachable:
        """Return writes that prevent instances from joining a removed pool."""
        remaining_pools = {pool.name for pool in proposed.pools}
        guards: list[Operation] = []
        for pool in self.configuration_manager.current.pools:
            if pool.name in remaining_pools:
                continue
            match await pool_guard(self.table, pool.name):
                case Err(error):
                    return TableUnreachable(error.detail)
                case Ok(guard):
                    guards.append(guard)
        return tuple(guards)

    # Instances

    async def assign(self, name: str, pool: str) -> DisruptionResult:
        """Add an instance from the platform's list to a pool."""
        listed = self.registry.listed.get(name)
        if listed is None:
            return NotDisrupted(DisruptionRefusal.UNKNOWN_INSTANCE, name)
        match await read_configuration(self.table, OPERATOR_READ_LIMIT_MS):
            case Err(error):
                return NotDisrupted(DisruptionRefusal.UNAVAILABLE, error.detail)
            case Ok(StoredConfiguration(stored, version)):
                pass
        if stored.pool(pool) is None:
            return NotDisrupted(DisruptionRefusal.UNKNOWN_POOL, pool)
        match await pool_guard(self.table, pool):
            case Err(error):
                return NotDisrupted(DisruptionRefusal.UNAVAILABLE, error.detail)
            case Ok(guard):
                pass
        instance = assigned_instance(listed, pool)
        fence = (generation_check(version), guard)
        result = await self.disruptions.write_instance(instance, ABSENT, fence)
        return self._notify_if_changed(result)

    async def drain(self, name: str) -> DisruptionResult:
        """Take an instance out of service within the budget of its pool."""
        result = await self.disruptions.take_out_of_service(
            name, InstanceState.DRAINING, OPERATOR_REASON
        )
        return self._notify_if_changed(result)

    async def move(self, name: str, pool: str) -> DisruptionResult:
        """Drain an instance and move it to another pool."""
        if self.configuration_manager.current.pool(pool) is None:
            return NotDisrupted(DisruptionRefusal.UNKNOWN_POOL, pool)
        result = await self.disruptions.take_out_of_service(
            name, InstanceState.DRAINING, MOVE_REASON, move_to=pool
        )
        return self._notify_if_changed(result)

    async def resume(self, name: str) -> DisruptionResult:
        """Return an instance to service that an operator or a failure took out."""
        row = await self.disruptions.read(name)
        if isinstance(row, NotDisrupted):
            return row
        instance = row.instance
        if instance.state not in RESUMABLE or instance.reason.startswith("wave:"):
            return NotDisrupted(DisruptionRefusal.WRONG_STATE, instance.state.value)
        returned = replace(
            instance, state=InstanceState.IN_SERVICE, reason="", move_to="", boot=0
        )
        return self._notify_if_changed(
            await self.disruptions.write_instance(returned, row.version)
        )

    def pool_budget(self, pool: str) -> BudgetView | None:
        """Return the budget of a pool as known to this entry, None for no such pool."""
        found_pool = self.configuration_manager.current.pool(pool)
        if found_pool is None:
            return None
        pool_instances = [
            instance
            for instance in self.registry.instances.values()
            if instance.pool == pool
        ]
        return measure_budget(found_pool, pool_instances, self.registry.is_up)

    def _notify_if_changed(self, result: DisruptionResult) -> DisruptionResult:
        if isinstance(result, Disrupted):
            self.on_instances_changed()
        return result

    # Waves

    async def start_wave(self, pool: str, policy: DrainPolicy) -> WaveResult:
        """Start a maintenance wave over a pool."""
        preset = self.configuration_manager.current.preset_in_force()
        if self.configuration_manager.current.pool(pool) is None:
            return Rejected((f"pool: expected a known pool, found {pool}",))
        if preset is None or not preset.maintenance:
            preset_name = preset.name if preset else "none"
            return Rejected(
                (f"preset: expected one that allows maintenance, found {preset_name}",)
            )
        match await self._read_instances():
            case Err(detail):
                return TableUnreachable(detail)
            case Ok(instances):
                pool_instances = [
                    instance for instance in instances if instance.pool == pool
                ]
        match await self.table.read(wave_key(pool), OPERATOR_READ_LIMIT_MS):
            case Err(error):
                return TableUnreachable(error.detail)
            case Ok(row):
                last = decode_wave(row.value) if row is not None else None
                version = version_of(row)
        if last is not None and last.is_open():
            return Rejected((f"wave {last.number} of pool {pool} is still open",))
        number = last.number + 1 if last is not None else 1
        return await self._write_wave(
            new_wave(pool, number, policy, pool_instances), version
        )

    async def change_wave(self, pool: str, state: WaveState) -> WaveResult:
        """Pause, resume or cancel the wave of a pool.

        The controller of the wave writes the same row as the wave advances: on a
        conflict, the change is retried on the new content of the row.
        """
        result: WaveResult = Rejected((f"pool {pool}: no wave",))
        for _ in range(MAX_CHANGE_ATTEMPTS):
            match await self.table.read(wave_key(pool), OPERATOR_READ_LIMIT_MS):
                case Err(error):
                    return TableUnreachable(error.detail)
                case Ok(None):
                    return result
                case Ok(row):
                    wave = decode_wave(row.value)
            if not wave.is_open():
                return Rejected((f"wave {wave.number} is {wave.state.value}",))
            result = await self._write_wave(replace(wave, state=state), row.version)
            if not isinstance(result, Rejected):
                return result
        return result

    async def latest_wave(self, pool: str) -> WaveResult:
        """Return the latest wave of a pool."""
        match await self.table.read(wave_key(pool), OPERATOR_READ_LIMIT_MS):
            case Err(error):
                return TableUnreachable(error.detail)
            case Ok(None):
                return Rejected((f"pool {pool}: no wave",))
            case Ok(Row(value=value)):
                return LatestWave(decode_wave(value))

    async def _write_wave(self, wave: Wave, version: int) -> WaveResult:
        put = Put(wave_key(wave.pool), encode_wave(wave), version)
        match await self.table.commit(put):
            case Ok(_):
                log_event("wave", pool=wave.pool, number=wave.number, state=wave.state)
                return LatestWave(wave)
            case Err(TableConflict()):
                return Rejected((f"pool {wave.pool}: another change came first",))
            case Err(TableUnavailable(detail)):
                return TableUnreachable(detail)

    async def _read_instances(self) -> Result[list[Instance], str]:
        match await self.table.scan(INSTANCE_PREFIX):
            case Err(error):
                return Err(error.detail)
            case Ok(page):
                return Ok([decode_instance(row.value) for row in page.rows])
