"""Executes drains, reboots and moves of instances that are out of service."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

from cornelturn.clock import Clock
from cornelturn.events.log import log_event
from cornelturn.fleet.disruption import Disruptions, NotDisrupted
from cornelturn.fleet.fencing import Fences
from cornelturn.fleet.registry import FleetView
from cornelturn.fleet.wave_rows import WaveRows
from cornelturn.fleet.waves import DrainPolicy, encode_wave, wave_key
from cornelturn.model.fleet import Instance, InstanceState
from cornelturn.routing.ledger import START_WITHIN_MS
from cornelturn.store.instances import ListedInstance
from cornelturn.store.rows import Operation, Put

OPERATOR_REASON = "operator"
REBOOT_TIMEOUT_MS = 600_000
REBOOT_RETRY_INTERVAL_MS = 2_000
DELAYED_DRAIN_MS = 4_000


@dataclass(slots=True)
class StateTimer:
    """Time since which, on the local clock, an instance has been in its state.

    Parameters
    ----------
    revision : int
        Revision of the table up to which the instances were known at that time.
    last_call_ms : int or None
        Time of the last reboot call, None before the first.
    """

    state: InstanceState
    since_ms: int
    revision: int
    last_call_ms: int | None = None


@dataclass(frozen=True, slots=True)
class TargetCalls:
    """Calls to targets and to the platform, on which drains and reboots depend.

    Parameters
    ----------
    count_running : callable
        Returns the number of tasks that the target at an address runs, None if
        unknown.
    checkpoint : callable
        Requests the target at an address to checkpoint its tasks.
    is_healthy : callable
        Returns whether the target at an address is healthy.
    reboot : callable
        Reboots an instance unless its boot number is above the given one.
    """

    count_running: Callable[[str], Awaitable[int | None]]
    checkpoint: Callable[[str], Awaitable[bool]]
    is_healthy: Callable[[str], Awaitable[bool]]
    reboot: Callable[[str, int], Awaitable[object]]


@dataclass(slots=True)
class DrainRunner:
    """Runs one step at a time for each instance that is out of service.

    A reboot that has begun is never cancelled: the instance returns to service with a
    higher boot number, at which a reboot call that arrives late has no effect.

    Parameters
    ----------
    is_drained : callable
        Returns whether no dispatcher has work on an instance, as of a revision of the
        table that all live entries have read.
    find_listed : callable
        Returns an instance from the platform's list, None if it is not listed.
    on_instances_changed : callable
        Called after rows of instances have changed.
    """

    clock: Clock
    fences: Fences
    disruptions: Disruptions
    waves: WaveRows
    calls: TargetCalls
    is_drained: Callable[[Instance, int], bool]
    find_listed: Callable[[str], ListedInstance | None]
    on_instances_changed: Callable[[], None]
    state_timers: dict[str, StateTimer] = field(default_factory=dict)

    def observe(self, fleet: FleetView) -> None:
        """Restart the timers of instances that changed state."""
        now_ms = self.clock.now_ms()
        timers: dict[str, StateTimer] = {}
        for instance in fleet.instances:
            timer = self.state_timers.get(instance.name)
            if timer is None or timer.state is not instance.state:
                timer = StateTimer(instance.state, now_ms, fleet.revision)
            timers[instance.name] = timer
        self.state_timers = timers

    async def step(self, instance: Instance) -> None:
        """Run the next step of an instance."""
        match instance.state:
            case InstanceState.DRAINING if instance.move_to:
                if await self._is_empty(instance):
                    await self._finish_move(instance)
            case InstanceState.DRAINING if instance.reason != OPERATOR_REASON:
                await self._step_drain(instance)
            case InstanceState.REBOOTING:
                await self._step_reboot(instance)
            case _:
                pass

    def is_drain_delayed(self, instance: Instance) -> bool:
        """Return whether tasks have delayed the drain of an instance for long."""
        timer = self.state_timers.get(instance.name)
        return (
            timer is not None
            and self.clock.now_ms() - timer.since_ms > DELAYED_DRAIN_MS
        )

    async def return_to_service(self, instance: Instance) -> None:
        """Return an instance to service."""
        returned = replace(
            instance, state=InstanceState.IN_SERVICE, reason="", move_to="", boot=0
        )
        await self._write_change(
            instance, returned, self._wave_progress_write(instance)
        )

    async def _step_drain(self, instance: Instance) -> None:
        if not await self._is_empty(instance):
            await self._checkpoint_if_delayed(instance)
            return
        listed = self.find_listed(instance.name)
        if listed is not None:
            rebooting = InstanceState.REBOOTING
            changed = replace(instance, state=rebooting, boot=listed.boot)
            await self._write_change(instance, changed)

    async def _checkpoint_if_delayed(self, instance: Instance) -> None:
        row = self.waves.latest(instance.pool)
        if row is None or row.wave.policy is not DrainPolicy.CHECKPOINT:
            return
        if self.is_drain_delayed(instance):
            log_event("checkpoint", instance=instance.name, pool=instance.pool)
            await self.calls.checkpoint(instance.address)

    async def _step_reboot(self, instance: Instance) -> None:
        listed = self.find_listed(instance.name)
        timer = self.state_timers[instance.name]
        now_ms = self.clock.now_ms()
        if listed is not None and listed.boot > instance.boot and listed.is_up:
            if await self.calls.is_healthy(instance.address):
                await self.return_to_service(instance)
                return
        elif timer.last_call_ms is None or (
            now_ms - timer.last_call_ms >= REBOOT_RETRY_INTERVAL_MS
        ):
            timer.last_call_ms = now_ms
            log_event("reboot", instance=instance.name, boot=instance.boot)
            await self.calls.reboot(instance.name, instance.boot)
        if now_ms - timer.since_ms > REBOOT_TIMEOUT_MS:
            failed = replace(instance, state=InstanceState.FAILED)
            await self._write_change(instance, failed)

    async def _is_empty(self, instance: Instance) -> bool:
        """Return whether no task runs on an instance or can still start there."""
        timer = self.state_timers[instance.name]
        if self.clock.now_ms() - timer.since_ms < START_WITHIN_MS:
            return False
        if not self.is_drained(instance, timer.revision):
            return False
        return await self.calls.count_running(instance.address) == 0

    async def _finish_move(self, instance: Instance) -> None:
        moved = replace(
            instance,
            pool=instance.move_to,
            state=InstanceState.IN_SERVICE,
            reason="",
            move_to="",
        )
        if await self._write_change(instance, moved):
            log_event(
                "moved", instance=instance.name, source=instance.pool, pool=moved.pool
            )

    def _wave_progress_write(self, instance: Instance) -> tuple[Operation, ...]:
        """Return the write that records a rebooted instance as done in its wave."""
        row = self.waves.latest(instance.pool)
        if row is None or instance.state is not InstanceState.REBOOTING:
            return ()
        if instance.reason != row.wave.reason():
            return ()
        done = replace(row.wave, done=(*row.wave.done, instance.name))
        return (Put(wave_key(instance.pool), encode_wave(done), row.version),)

    async def _write_change(
        self,
        instance: Instance,
        changed: Instance,
        extra: tuple[Operation, ...] = (),
    ) -> bool:
        fence = await self.fences.acquire(instance.pool)
        if fence is None:
            return False
        row = await self.disruptions.read(instance.name)
        if isinstance(row, NotDisrupted) or row.instance != instance:
            self.on_instances_changed()
            return False
        result = await self.disruptions.write_instance(
            changed, row.version, (*fence, *extra)
        )
        is_written = self.fences.record_result(instance.pool, result)
        if is_written:
            self.on_instances_changed()
        await self.waves.refresh()
        return is_written
