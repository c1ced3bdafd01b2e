"""Carries waves out: takes instances out within the budget, keeps the account."""

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
    is_failure_wave,
    next_instances,
    wave_members,
    without_gone,
)
from cornelturn.model.fleet import Instance, InstanceState, Pool
from cornelturn.store.rows import Operation


@dataclass(slots=True)
class WaveRunner:
    """One step of the wave of a pool at a time; all progress is in the table.

    Parameters
    ----------
    changed : callable
        Called after rows of instances have changed.
    """

    clock: Clock
    fences: Fences
    disruptions: Disruptions
    waves: WaveRows
    drains: DrainRunner
    changed: Callable[[], None]
    last_step_ms: dict[str, int] = field(default_factory=dict)

    async def step(self, pool: Pool, members: list[Instance]) -> None:
        """Advance the wave of a pool, if it has one that is open."""
        row = self.waves.of(pool.name)
        if row is None:
            return
        if row.wave.state is WaveState.CANCELLED:
            await self._bring_back_draining(row.wave, members)
        if not row.wave.is_open():
            self.last_step_ms.pop(pool.name, None)
            return
        fence = await self.fences.fence(pool.name)
        if fence is None:
            return
        advanced = await self._advance(pool, row.wave, members, fence)
        if advanced == row.wave:
            return
        if not await self.waves.write(advanced, row.version, fence):
            self.fences.drop(pool.name)
        elif advanced.state is WaveState.DONE:
            log_event("wave_done", pool=pool.name, elapsed_ms=advanced.elapsed_ms)

    def forget(self, pool: str) -> None:
        """Stop measuring a pool that another entry controls now."""
        self.last_step_ms.pop(pool, None)

    async def _advance(
        self,
        pool: Pool,
        wave: Wave,
        members: list[Instance],
        fence: tuple[Operation, ...],
    ) -> Wave:
        budget = measure_budget(pool, members, self.disruptions.is_up)
        wave = without_gone(self._with_elapsed(wave), members)
        taken = await self._take_out(wave, members, budget, fence)
        working = {one.name for one in wave_members(wave, members)} | taken
        pending = tuple(name for name in wave.pending if name not in working)
        wave = replace(wave, pending=pending, note=self._note(wave, members, budget))
        is_finished = not pending and not working
        return replace(wave, state=WaveState.DONE) if is_finished else wave

    async def _take_out(
        self,
        wave: Wave,
        members: list[Instance],
        budget: BudgetView,
        fence: tuple[Operation, ...],
    ) -> set[str]:
        taken: set[str] = set()
        for name in next_instances(wave, members, budget):
            result = await self.disruptions.take_out(
                name, InstanceState.DRAINING, wave.reason(), fence
            )
            if not self.fences.settle(wave.pool, result):
                break
            taken.add(name)
            self.changed()
        return taken

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
            if one.state is InstanceState.DRAINING and self.drains.is_held_up(one)
        ]
        return f"tasks hold up {', '.join(held)}" if held else ""

    async def _bring_back_draining(self, wave: Wave, members: list[Instance]) -> None:
        for instance in wave_members(wave, members):
            if instance.state is InstanceState.DRAINING:
                await self.drains.bring_back(instance)
