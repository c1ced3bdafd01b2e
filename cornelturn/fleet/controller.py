"""The task that controls the pools of this entry: waves, drains and moves."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import msgspec
from result import Err, Ok

from cornelturn.clock import Clock
from cornelturn.events.log import log_event, log_warning
from cornelturn.events.mailbox import Mailbox
from cornelturn.fleet.budget import BudgetView, measure_budget
from cornelturn.fleet.disruption import (
    Disrupted,
    DisruptionRefusal,
    DisruptionResult,
    Disruptions,
    NotDisrupted,
)
from cornelturn.fleet.moves import (
    MOVE_REASON,
    Move,
    PoolDemand,
    SizePlanner,
    plan_moves,
)
from cornelturn.fleet.registry import FleetView
from cornelturn.fleet.waves import (
    DrainPolicy,
    Wave,
    WaveState,
    decode_wave,
    encode_wave,
    is_failure_wave,
    next_instances,
    wave_key,
    wave_members,
    without_gone,
)
from cornelturn.model.configuration import Configuration
from cornelturn.model.fleet import Instance, InstanceState
from cornelturn.platform.instances import ListedInstance
from cornelturn.platform.rows import ABSENT, Check, Operation, Put
from cornelturn.platform.table import Table
from cornelturn.routing.dispatcher import START_WITHIN_MS
from cornelturn.routing.rendezvous import rendezvous_owner

CONTROLLER_PREFIX = "controller/"
DEMAND_PREFIX = "demand/"
MOVES_KEY = "moves"
STEP_INTERVAL_S = 0.5
REBOOT_LIMIT_MS = 600_000
REBOOT_REPEAT_MS = 2_000
OPERATOR_REASON = "operator"
DEFAULT_SLOTS = 8


@dataclass(frozen=True, slots=True)
class StepDue:
    """Time for the next step of every pool."""


@dataclass(frozen=True, slots=True)
class EntriesChanged:
    """The entries that share the pools."""

    ready: frozenset[str]


ControllerMessage = StepDue | EntriesChanged | Configuration | FleetView


@dataclass(frozen=True, slots=True)
class ControllerRow:
    """Row that fences the controller of a pool; its version is the epoch."""

    holder: str
    incarnation: int


@dataclass(slots=True)
class DrainClock:
    """When this controller first saw an instance in its present state."""

    state: InstanceState
    since_ms: int
    revision: int
    last_call_ms: int | None = None


@dataclass(slots=True)
class Controller:
    """Carries out waves, drains and moves, one step at a time.

    Every write carries a check of the controller's row, so that a paused
    controller can write nothing after another has taken over. All progress is in
    the table: after a crash the next controller goes on.

    Parameters
    ----------
    is_drained : callable
        Tells whether no dispatcher here has work on an instance, as of a
        revision of the table that all live entries have seen.
    count_running, checkpoint, is_healthy : callable
        Ask a target by its address.
    reboot : callable
        Reboots an instance unless it has started since a boot number.
    listed : callable
        Returns an instance of the platform's list.
    changed : callable
        Called after rows of instances have changed.
    """

    entry: str
    incarnation: int
    table: Table
    clock: Clock
    disruptions: Disruptions
    is_drained: Callable[[Instance, int], bool]
    count_running: Callable[[str], Awaitable[int | None]]
    checkpoint: Callable[[str], Awaitable[bool]]
    is_healthy: Callable[[str], Awaitable[bool]]
    reboot: Callable[[str, int], Awaitable[object]]
    listed: Callable[[str], ListedInstance | None]
    changed: Callable[[], None]
    mailbox: Mailbox[ControllerMessage] = field(default_factory=Mailbox)
    ready: frozenset[str] = frozenset()
    configuration: Configuration = field(default_factory=Configuration)
    fleet: FleetView = field(default_factory=lambda: FleetView((), frozenset()))
    epochs: dict[str, int] = field(default_factory=dict)
    drains: dict[str, DrainClock] = field(default_factory=dict)
    planner: SizePlanner = field(default_factory=SizePlanner)
    last_step_ms: dict[str, int] = field(default_factory=dict)

    async def run(self) -> None:
        """Serve messages for ever."""
        async for message in self.mailbox.messages():
            match message:
                case EntriesChanged(ready):
                    self.ready = ready
                case Configuration():
                    self.configuration = message
                case FleetView():
                    self.fleet = message
                    self._note_states()
                case StepDue():
                    await self._step_all()

    async def _step_all(self) -> None:
        for pool in self.configuration.pools:
            if self._owns(pool.name):
                await self._step_pool(pool.name)
        if self._owns(MOVES_KEY):
            await self._step_moves()

    # Leases

    def _owns(self, name: str) -> bool:
        is_owner = rendezvous_owner(name, self.ready) == self.entry
        if not is_owner:
            self.epochs.pop(name, None)
            self.last_step_ms.pop(name, None)
        return is_owner

    async def _fence(self, name: str) -> tuple[Operation, ...] | None:
        """Return the check that every write carries, None if there is no lease."""
        key = f"{CONTROLLER_PREFIX}{name}"
        epoch = self.epochs.get(name)
        if epoch is not None:
            return (Check(key, epoch),)
        match await self.table.read(key):
            case Err(_):
                return None
            case Ok(row):
                version = row.version if row is not None else ABSENT
        value = msgspec.json.encode(ControllerRow(self.entry, self.incarnation))
        match await self.table.commit(Put(key, value.decode(), version)):
            case Ok(committed):
                self.epochs[name] = committed.revision
                log_event("controller", name=name, epoch=committed.revision)
                return (Check(key, committed.revision),)
            case Err(_):
                return None

    def _settle(self, name: str, result: DisruptionResult) -> bool:
        """Take note of a result; a conflict may mean that the lease is lost."""
        match result:
            case Disrupted():
                self.changed()
                return True
            case NotDisrupted(DisruptionRefusal.CONFLICT, detail):
                self.epochs.pop(name, None)
                log_warning("controller_conflict", name=name, rows=detail)
            case NotDisrupted(reason, detail):
                log_event("disruption_refused", name=name, reason=reason, detail=detail)
        return False

    # Pools

    async def _step_pool(self, pool: str) -> None:
        members = [one for one in self.fleet.instances if one.pool == pool]
        await self._step_wave(pool, members)
        for instance in members:
            await self._step_instance(pool, instance)

    async def _step_wave(self, pool: str, members: list[Instance]) -> None:
        match await self.table.read(wave_key(pool)):
            case Ok(None) | Err(_):
                return
            case Ok(row):
                wave = decode_wave(row.value)
        if wave.state is WaveState.CANCELLED:
            await self._bring_back_draining(pool, wave, members)
        if not wave.is_open():
            self.last_step_ms.pop(pool, None)
            return
        fence = await self._fence(pool)
        if fence is None:
            return
        changed = await self._advance(wave, members, fence)
        if changed != wave:
            await self._write_wave(pool, changed, row.version, fence)

    async def _advance(
        self, wave: Wave, members: list[Instance], fence: tuple[Operation, ...]
    ) -> Wave:
        known = self.configuration.pool(wave.pool)
        budget = measure_budget(known, members, self.disruptions.is_up)
        wave = without_gone(self._with_elapsed(wave), members)
        taken: list[str] = []
        for name in next_instances(wave, members, budget):
            result = await self.disruptions.take_out(
                name, InstanceState.DRAINING, wave.reason(), fence
            )
            if not self._settle(wave.pool, result):
                break
            taken.append(name)
        working = {one.name for one in wave_members(wave, members)} | set(taken)
        pending = tuple(name for name in wave.pending if name not in working)
        wave = replace(wave, pending=pending, note=self._note(wave, members, budget))
        is_finished = not pending and not working
        return replace(wave, state=WaveState.DONE) if is_finished else wave

    def _with_elapsed(self, wave: Wave) -> Wave:
        now_ms = self.clock.now_ms()
        before_ms = self.last_step_ms.get(wave.pool, now_ms)
        self.last_step_ms[wave.pool] = now_ms
        if wave.state is not WaveState.RUNNING:
            return wave
        return replace(wave, elapsed_ms=wave.elapsed_ms + now_ms - before_ms)

    def _note(self, wave: Wave, members: list[Instance], budget: BudgetView) -> str:
        if is_failure_wave(budget):
            return "held by failures"
        if wave.state is WaveState.PAUSED:
            return "paused"
        held = [
            one.name
            for one in wave_members(wave, members)
            if one.state is InstanceState.DRAINING and self._is_held_up(one)
        ]
        return f"tasks hold up {', '.join(held)}" if held else ""

    def _is_held_up(self, instance: Instance) -> bool:
        drain = self.drains.get(instance.name)
        waited_ms = self.clock.now_ms() - drain.since_ms if drain else 0
        return waited_ms > 2 * START_WITHIN_MS

    async def _write_wave(
        self, pool: str, wave: Wave, version: int, fence: tuple[Operation, ...]
    ) -> None:
        put = Put(wave_key(pool), encode_wave(wave), version)
        match await self.table.commit(put, *fence):
            case Ok(_):
                if wave.state is WaveState.DONE:
                    log_event("wave_done", pool=pool, elapsed_ms=wave.elapsed_ms)
            case Err(_):
                self.epochs.pop(pool, None)

    async def _bring_back_draining(
        self, pool: str, wave: Wave, members: list[Instance]
    ) -> None:
        for instance in wave_members(wave, members):
            if instance.state is InstanceState.DRAINING:
                await self._bring_back(pool, instance)

    # Instances

    def _note_states(self) -> None:
        now_ms = self.clock.now_ms()
        fresh: dict[str, DrainClock] = {}
        for instance in self.fleet.instances:
            known = self.drains.get(instance.name)
            if known is None or known.state is not instance.state:
                known = DrainClock(instance.state, now_ms, self.fleet.revision)
            fresh[instance.name] = known
        self.drains = fresh

    async def _step_instance(self, pool: str, instance: Instance) -> None:
        match instance.state:
            case InstanceState.DRAINING if instance.move_to:
                if await self._is_empty(instance):
                    await self._finish_move(pool, instance)
            case InstanceState.DRAINING if instance.reason != OPERATOR_REASON:
                await self._step_drain(pool, instance)
            case InstanceState.REBOOTING:
                await self._step_reboot(pool, instance)
            case _:
                pass

    async def _step_drain(self, pool: str, instance: Instance) -> None:
        if not await self._is_empty(instance):
            await self._maybe_checkpoint(pool, instance)
            return
        listed = self.listed(instance.name)
        if listed is None:
            return
        await self._change(
            pool,
            instance,
            replace(instance, state=InstanceState.REBOOTING, boot=listed.boot),
        )

    async def _maybe_checkpoint(self, pool: str, instance: Instance) -> None:
        match await self.table.read(wave_key(pool)):
            case Ok(row) if row is not None:
                wave = decode_wave(row.value)
            case _:
                return
        if wave.policy is DrainPolicy.CHECKPOINT and self._is_held_up(instance):
            log_event("checkpoint", instance=instance.name, pool=pool)
            await self.checkpoint(instance.address)

    async def _step_reboot(self, pool: str, instance: Instance) -> None:
        listed = self.listed(instance.name)
        drain = self.drains[instance.name]
        now_ms = self.clock.now_ms()
        if listed is not None and listed.boot > instance.boot and listed.is_up:
            if await self.is_healthy(instance.address):
                await self._bring_back(pool, instance)
                return
        elif drain.last_call_ms is None or (
            now_ms - drain.last_call_ms >= REBOOT_REPEAT_MS
        ):
            drain.last_call_ms = now_ms
            log_event("reboot", instance=instance.name, boot=instance.boot)
            await self.reboot(instance.name, instance.boot)
        if now_ms - drain.since_ms > REBOOT_LIMIT_MS:
            failed = replace(instance, state=InstanceState.FAILED)
            await self._change(pool, instance, failed)

    async def _is_empty(self, instance: Instance) -> bool:
        """Return whether nothing runs on an instance or may still start there."""
        drain = self.drains[instance.name]
        if self.clock.now_ms() - drain.since_ms < START_WITHIN_MS:
            return False
        if not self.is_drained(instance, drain.revision):
            return False
        return await self.count_running(instance.address) == 0

    async def _bring_back(self, pool: str, instance: Instance) -> None:
        back = replace(
            instance, state=InstanceState.IN_SERVICE, reason="", move_to="", boot=0
        )
        extra = await self._wave_done_row(pool, instance)
        if extra is not None:
            await self._change(pool, instance, back, extra)

    async def _wave_done_row(
        self, pool: str, instance: Instance
    ) -> tuple[Operation, ...] | None:
        """Return the write that counts an instance as done, None to wait."""
        match await self.table.read(wave_key(pool)):
            case Err(_):
                return None
            case Ok(None):
                return ()
            case Ok(row):
                wave = decode_wave(row.value)
        is_of_wave = instance.reason == wave.reason()
        if not is_of_wave or instance.state is not InstanceState.REBOOTING:
            return ()
        done = replace(wave, done=(*wave.done, instance.name))
        return (Put(wave_key(pool), encode_wave(done), row.version),)

    async def _change(
        self,
        pool: str,
        instance: Instance,
        changed: Instance,
        extra: tuple[Operation, ...] = (),
    ) -> bool:
        fence = await self._fence(pool)
        if fence is None:
            return False
        found = await self.disruptions.read(instance.name)
        if isinstance(found, NotDisrupted) or found.instance != instance:
            self.changed()
            return False
        result = await self.disruptions.change(changed, found.version, (*fence, *extra))
        return self._settle(pool, result)

    # Moves

    async def _step_moves(self) -> None:
        await self._read_demand()
        instances = list(self.fleet.instances)
        if not instances:
            return
        sizes = Counter(one.move_to or one.pool for one in instances)
        slots = max((one.slots for one in instances), default=DEFAULT_SLOTS)
        wanted = self.planner.wanted(
            self.configuration, sizes, slots, self.clock.now_ms()
        )
        moves = plan_moves(instances, wanted, self._is_idle)
        if not moves:
            return
        fence = await self._fence(MOVES_KEY)
        if fence is None:
            return
        for move in moves:
            await self._start_move(move, fence)

    async def _start_move(self, move: Move, fence: tuple[Operation, ...]) -> None:
        log_event(
            "move",
            instance=move.instance,
            source=move.source,
            destination=move.destination,
        )
        result = await self.disruptions.take_out(
            move.instance,
            InstanceState.DRAINING,
            MOVE_REASON,
            fence,
            move_to=move.destination,
        )
        self._settle(MOVES_KEY, result)

    async def _finish_move(self, pool: str, instance: Instance) -> None:
        moved = replace(
            instance,
            pool=instance.move_to,
            state=InstanceState.IN_SERVICE,
            reason="",
            move_to="",
        )
        if await self._change(pool, instance, moved):
            log_event("moved", instance=instance.name, source=pool, pool=moved.pool)

    async def _read_demand(self) -> None:
        match await self.table.scan(DEMAND_PREFIX):
            case Err(_):
                return
            case Ok(page):
                pass
        for row in page.rows:
            demand = msgspec.json.decode(row.value, type=PoolDemand)
            self.planner.observe(demand, self.clock.now_ms())

    def _is_idle(self, name: str) -> bool:
        listed = self.listed(name)
        return listed is not None and listed.running == 0


def encode_demand(demand: PoolDemand) -> str:
    """Return the JSON text of the demand of a pool."""
    return msgspec.json.encode(demand).decode()
