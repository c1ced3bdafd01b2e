"""Task that runs waves, drains and moves for the pools that this entry controls."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.events.mailbox import Mailbox
from cornelturn.fleet.drain_runner import DrainRunner
from cornelturn.fleet.fencing import Fences
from cornelturn.fleet.mover import MOVES_KEY, Mover
from cornelturn.fleet.registry import FleetView
from cornelturn.fleet.wave_rows import WaveRows
from cornelturn.fleet.wave_runner import WaveRunner
from cornelturn.model.configuration import Configuration
from cornelturn.model.fleet import Pool
from cornelturn.routing.rendezvous import rendezvous_owner

STEP_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class StepDue:
    """Timer: run the next step of each pool."""


@dataclass(frozen=True, slots=True)
class EntriesChanged:
    """Set of ready entries, among which the pools are distributed."""

    ready: frozenset[str]


ControllerMessage = StepDue | EntriesChanged | Configuration | FleetView


@dataclass(slots=True)
class Controller:
    """Runs one step at a time for each pool that this entry controls.

    Every write carries a check of the row that fences the pool. All progress is
    stored in the table, so that another controller can continue after a crash.
    """

    entry: str
    fences: Fences
    waves: WaveRows
    wave_runner: WaveRunner
    drains: DrainRunner
    mover: Mover
    mailbox: Mailbox[ControllerMessage] = field(default_factory=Mailbox)
    ready: frozenset[str] = frozenset()
    configuration: Configuration = field(default_factory=Configuration)
    fleet: FleetView = field(default_factory=lambda: FleetView((), frozenset()))

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async for message in self.mailbox.messages():
            match message:
                case EntriesChanged(ready):
                    self.ready = ready
                case Configuration():
                    self.configuration = message
                case FleetView():
                    self.fleet = message
                    self.drains.observe(message)
                    await self._step()
                case StepDue():
                    await self._step()

    async def _step(self) -> None:
        owned = [pool for pool in self.configuration.pools if self._owns(pool.name)]
        owns_moves = self._owns(MOVES_KEY)
        if owned and not await self.waves.refresh():
            return
        for pool in owned:
            await self._step_pool(pool)
        if owns_moves:
            await self.mover.step(self.configuration, list(self.fleet.instances))

    async def _step_pool(self, pool: Pool) -> None:
        pool_instances = [
            instance for instance in self.fleet.instances if instance.pool == pool.name
        ]
        await self.wave_runner.step(pool, pool_instances)
        for instance in pool_instances:
            await self.drains.step(instance)

    def _owns(self, name: str) -> bool:
        is_owner = rendezvous_owner(name, self.ready) == self.entry
        if not is_owner:
            self.fences.drop(name)
            self.wave_runner.stop_timing(name)
        return is_owner
