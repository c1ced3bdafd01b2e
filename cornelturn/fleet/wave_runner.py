"""Executes maintenance waves: takes instances out of service within the budget."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from cornelturn.clock import Clock
from cornelturn.events.log import log_event
from cornelturn.fleet.budget import BudgetView, measure_budget
from cornelturn.fleet.disruption import Disruptions
from cornelturn.fleet.drain_runner import DrainRunner
from cornelturn.fleet.fencing import Fences
from cornelturn.fleet.wave_rows import WaveRows
from cornelturn.fleet.waves import (
    Wave,
    WaveState,
    is_budget_used_by_failures,
    next_instances,
    wave_instances,
    without_departed,
)
from cornelturn.model.fleet import Instance, InstanceState, Pool
from cornelturn.store.rows import Operation


@dataclass(slots=True)
class WaveRunner:
    """Runs one step at a time of the wave of a pool; all progress is in the table.

    Parameters
    ----------
    on_instances_changed : callable
        Called after rows of instances have changed.
    """

    clock: Clock
    fences: Fences
    disruptions: Disruptions
    waves: WaveRows
    drains: DrainRunner
    on_instances_changed: Callable[[], None]
    last_step_ms: dict[str, int] = field(default_factory=dict)

    async def step(self, pool: Pool, pool_instances: list[Instance]) -> None:
        """Run the next step of the wave of a pool, if it has an open one."""
        row = self.waves.latest(pool.name)
        if row is None:
            return
        if row.wave.state is WaveState.CANCELLED:
            await self._return_draining_to_service(row.wave, pool_instances)
        if not row.wave.is_open():
            self.last_step_ms.pop(pool.name, None)
            return
        fence = await self.fences.acquire(pool.name)
        if fence is None:
            return
        advanced = await self._advance(pool, row.wave, pool_instances, fence)
        if advanced == row.wave:
            return
        if not await self.waves.write(advanced, row.version, fence):
            self.fences.drop(pool.name)
        elif advanced.state is WaveState.DONE:
            log_event("wave_done", pool=pool.name, elapsed_ms=advanced.elapsed_ms)

    def stop_timing(self, pool: str) -> None:
        """Stop measuring the time of a wave that another entry controls now."""
        self.last_step_ms.pop(pool, None)

    async def _advance(
        self,
        pool: Pool,
        wave: Wave,
        pool_instances: list[Instance],
        fence: tuple[Operation, ...],
    ) -> Wave:
        budget = measure_budget(pool, pool_instances, self.disruptions.is_up)
        wave = without_departed(self._with_elapsed(wave), pool_instances)
        taken = await self._take_out_next(wave, pool_instances, budget, fence)
        working = {
            instance.name for instance in wave_instances(wave, pool_instances)
        } | taken
        pending = tuple(name for name in wave.pending if name not in working)
        wave = replace(
            wave, pending=pending, note=self._stall_note(wave, pool_instances, budget)
        )
        is_finished = not pending and not working
        return replace(wave, state=WaveState.DONE) if is_finished else wave

    async def _take_out_next(
        self,
        wave: Wave,
        pool_instances: list[Instance],
        budget: BudgetView,
        fence: tuple[Operation, ...],
    ) -> set[str]:
        taken: set[str] = set()
        for name in next_instances(wave, pool_instances, budget):
            result = await self.disruptions.take_out_of_service(
                name, InstanceState.DRAINING, wave.reason(), fence
            )
            if not self.fences.record_result(wave.pool, result):
                break
            taken.add(name)
            self.on_instances_changed()
        return taken

    def _with_elapsed(self, wave: Wave) -> Wave:
        now_ms = self.clock.now_ms()
        before_ms = self.last_step_ms.get(wave.pool, now_ms)
        self.last_step_ms[wave.pool] = now_ms
        if wave.state is not WaveState.RUNNING:
            return wave
        return replace(wave, elapsed_ms=wave.elapsed_ms + now_ms - before_ms)

    def _stall_note(
        self, wave: Wave, pool_instances: list[Instance], budget: BudgetView
    ) -> str:
        if is_budget_used_by_failures(budget):
            return "held by failures"
        if wave.state is WaveState.PAUSED:
            return "paused"
        delayed = [
            instance.name
            for instance in wave_instances(wave, pool_instances)
            if instance.state is InstanceState.DRAINING
            and self.drains.is_drain_delayed(instance)
        ]
        return f"tasks hold up {', '.join(delayed)}" if delayed else ""

    async def _return_draining_to_service(
        self, wave: Wave, pool_instances: list[Instance]
    ) -> None:
        for instance in wave_instances(wave, pool_instances):
            if instance.state is InstanceState.DRAINING:
                await self.drains.return_to_service(instance)
