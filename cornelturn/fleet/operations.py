"""What operators ask for, whatever the transport."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from cornelturn.events.log import log_event
from cornelturn.fleet.bootstrap import assigned_instance
from cornelturn.fleet.budget import BudgetView, measure_budget
from cornelturn.fleet.configuration import (
    ConfigurationKeeper,
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

CHANGE_TRIES = 5
"""Tries of a change to a wave while its controller writes it too."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """A wish that changed nothing, with every reason."""

    problems: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class TableAway:
    """The table service did not answer; whether it took effect is unknown."""

    detail: str


@dataclass(frozen=True, slots=True)
class WaveOf:
    """The latest wave of a pool."""

    wave: Wave


WaveResult = WaveOf | Rejected | TableAway

RESUMABLE = (InstanceState.DRAINING, InstanceState.QUARANTINED, InstanceState.FAILED)


@dataclass(slots=True)
class FleetOperations:
    """Changes of the configuration, of instances and of waves.

    Parameters
    ----------
    changed : callable
        Called after rows of instances have changed.
    """

    table: Table
    keeper: ConfigurationKeeper
    registry: InstanceRegistry
    disruptions: Disruptions
    changed: Callable[[], None]

    # Configuration

    async def replace_configuration(
        self, document: ConfigurationDocument, expected: int
    ) -> ProposeResult | Rejected | TableAway:
        """Have a whole configuration accepted, or rejected with every reason."""
        wanted = document.to_configuration(expected + 1)
        guards = await self._removed_pools(wanted)
        if isinstance(guards, TableAway):
            return guards
        match await self._instances():
            case Err(detail):
                return TableAway(detail)
            case Ok(instances):
                pass
        problems = self._problems(document, wanted, instances)
        if problems:
            return Rejected(tuple(problems))
        extra = self._assignments(document, instances)
        return await self.keeper.propose(
            wanted, expected, "configuration", (*extra, *guards)
        )

    async def switch_preset(
        self, name: str, expected: int | None
    ) -> ProposeResult | Rejected | TableAway:
        """Put a preset in force."""
        match await read_configuration(self.table, OPERATOR_READ_LIMIT_MS):
            case Err(error):
                return TableAway(error.detail)
            case Ok(StoredConfiguration(stored)):
                pass
        if all(preset.name != name for preset in stored.presets):
            known = ", ".join(preset.name for preset in stored.presets)
            return Rejected((f"preset: expected one of {known}, found {name}",))
        seen = stored.generation if expected is None else expected
        wanted = replace(stored, preset=name, generation=seen + 1)
        return await self.keeper.propose(wanted, seen, f"preset {name}")

    def _problems(
        self,
        document: ConfigurationDocument,
        wanted: Configuration,
        instances: list[Instance],
    ) -> list[str]:
        placed = {one.name: one.pool for one in instances}
        problems: list[str] = []
        for pool in document.pools:
            for name in pool.instances:
                problems += self._placement_problems(name, pool.name, placed)
        sizes = Counter(one.pool for one in instances)
        for pool in document.pools:
            sizes[pool.name] += len(set(pool.instances) - set(placed))
        for pool in wanted.pools:
            count = sizes[pool.name]
            if count and pool.max_unavailable >= count:
                problems.append(
                    f"pool {pool.name}: expected max_unavailable below the {count} "
                    f"instances, found {pool.max_unavailable}"
                )
        kept = {pool.name for pool in wanted.pools}
        for pool in sorted({one.pool for one in instances} - kept):
            problems.append(f"pool {pool}: expected no instances, it still has some")
        moving = {one.move_to for one in instances if one.move_to}
        for pool in sorted(moving - kept):
            problems.append(f"pool {pool}: expected no moves, an instance moves to it")
        return problems

    def _placement_problems(
        self, name: str, pool: str, placed: dict[str, str]
    ) -> list[str]:
        if name in placed and placed[name] != pool:
            return [
                f"instance {name}: expected in one pool, found in {placed[name]} and "
                f"{pool}; use instance move"
            ]
        if name not in placed and name not in self.registry.listed:
            return [f"instance {name}: expected in the platform's list, not found"]
        return []

    def _assignments(
        self, document: ConfigurationDocument, instances: list[Instance]
    ) -> tuple[Operation, ...]:
        placed = {one.name for one in instances}
        new = [
            assigned_instance(self.registry.listed[name], pool.name)
            for pool in document.pools
            for name in pool.instances
            if name not in placed
        ]
        return tuple(
            Put(instance_key(one.name), encode_instance(one), ABSENT) for one in new
        )

    async def _removed_pools(
        self, wanted: Configuration
    ) -> tuple[Operation, ...] | TableAway:
        """Return writes that keep instances from entering a removed pool."""
        kept = {pool.name for pool in wanted.pools}
        guards: list[Operation] = []
        for pool in self.keeper.current.pools:
            if pool.name in kept:
                continue
            match await pool_guard(self.table, pool.name):
                case Err(error):
                    return TableAway(error.detail)
                case Ok(guard):
                    guards.append(guard)
        return tuple(guards)

    # Instances

    async def assign(self, name: str, pool: str) -> DisruptionResult:
        """Add an instance of the platform's list to a pool."""
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
        result = await self.disruptions.change(instance, ABSENT, fence)
        return self._noted(result)

    async def drain(self, name: str) -> DisruptionResult:
        """Take an instance out of service within the budget of its pool."""
        result = await self.disruptions.take_out(
            name, InstanceState.DRAINING, OPERATOR_REASON
        )
        return self._noted(result)

    async def move(self, name: str, pool: str) -> DisruptionResult:
        """Drain an instance and let it join another pool."""
        if self.keeper.current.pool(pool) is None:
            return NotDisrupted(DisruptionRefusal.UNKNOWN_POOL, pool)
        result = await self.disruptions.take_out(
            name, InstanceState.DRAINING, MOVE_REASON, move_to=pool
        )
        return self._noted(result)

    async def resume(self, name: str) -> DisruptionResult:
        """Bring an instance back that an operator or a failure took out."""
        found = await self.disruptions.read(name)
        if isinstance(found, NotDisrupted):
            return found
        instance = found.instance
        if instance.state not in RESUMABLE or instance.reason.startswith("wave:"):
            return NotDisrupted(DisruptionRefusal.WRONG_STATE, instance.state.value)
        back = replace(
            instance, state=InstanceState.IN_SERVICE, reason="", move_to="", boot=0
        )
        return self._noted(await self.disruptions.change(back, found.version))

    def budget_of(self, pool: str) -> BudgetView | None:
        """Return how the budget of a pool stands, as known here."""
        known = self.keeper.current.pool(pool)
        if known is None:
            return None
        members = [one for one in self.registry.instances.values() if one.pool == pool]
        return measure_budget(known, members, self.registry.is_up)

    def _noted(self, result: DisruptionResult) -> DisruptionResult:
        if isinstance(result, Disrupted):
            self.changed()
        return result

    # Waves

    async def start_wave(self, pool: str, policy: DrainPolicy) -> WaveResult:
        """Start a maintenance wave over a pool."""
        preset = self.keeper.current.preset_in_force()
        if self.keeper.current.pool(pool) is None:
            return Rejected((f"pool: expected a known pool, found {pool}",))
        if preset is None or not preset.maintenance:
            found = preset.name if preset else "none"
            return Rejected(
                (f"preset: expected one that allows maintenance, found {found}",)
            )
        match await self._instances():
            case Err(detail):
                return TableAway(detail)
            case Ok(instances):
                members = [one for one in instances if one.pool == pool]
        match await self.table.read(wave_key(pool), OPERATOR_READ_LIMIT_MS):
            case Err(error):
                return TableAway(error.detail)
            case Ok(row):
                last = decode_wave(row.value) if row is not None else None
                version = version_of(row)
        if last is not None and last.is_open():
            return Rejected((f"wave {last.number} of pool {pool} is still open",))
        number = last.number + 1 if last is not None else 1
        return await self._write_wave(new_wave(pool, number, policy, members), version)

    async def change_wave(self, pool: str, state: WaveState) -> WaveResult:
        """Pause, resume or cancel the wave of a pool.

        The controller of the wave writes the same row as it goes on: a change that
        comes second is made again on what the row says then.
        """
        result: WaveResult = Rejected((f"pool {pool}: no wave",))
        for _ in range(CHANGE_TRIES):
            match await self.table.read(wave_key(pool), OPERATOR_READ_LIMIT_MS):
                case Err(error):
                    return TableAway(error.detail)
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

    async def wave_of(self, pool: str) -> WaveResult:
        """Return the latest wave of a pool."""
        match await self.table.read(wave_key(pool), OPERATOR_READ_LIMIT_MS):
            case Err(error):
                return TableAway(error.detail)
            case Ok(None):
                return Rejected((f"pool {pool}: no wave",))
            case Ok(Row(value=value)):
                return WaveOf(decode_wave(value))

    async def _write_wave(self, wave: Wave, version: int) -> WaveResult:
        put = Put(wave_key(wave.pool), encode_wave(wave), version)
        match await self.table.commit(put):
            case Ok(_):
                log_event("wave", pool=wave.pool, number=wave.number, state=wave.state)
                return WaveOf(wave)
            case Err(TableConflict()):
                return Rejected((f"pool {wave.pool}: another change came first",))
            case Err(TableUnavailable(detail)):
                return TableAway(detail)

    async def _instances(self) -> Result[list[Instance], str]:
        match await self.table.scan(INSTANCE_PREFIX):
            case Err(error):
                return Err(error.detail)
            case Ok(page):
                return Ok([decode_instance(row.value) for row in page.rows])
