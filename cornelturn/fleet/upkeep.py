"""Waves of upkeep: takes machines down, wave by wave."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok

from cornelturn.capacity.sizing import TargetUse
from cornelturn.clock import Clock
from cornelturn.events.log import log_event
from cornelturn.fleet.machines import MachineOrders, MachineResult
from cornelturn.fleet.rollout import Rollout
from cornelturn.model.upkeep import Machine, UpkeepWave
from cornelturn.store.port import RowStore
from cornelturn.store.rows import Put

ROLLOUTS_TABLE = "rollouts"


class StoredRollout(msgspec.Struct, frozen=True):
    """Machines of a wave whose upkeep has begun."""

    begun: tuple[str, ...]
    is_completed: bool


@dataclass(slots=True)
class Upkeep:
    """All waves, on behalf of the owner of the machines.

    Parameters
    ----------
    orders : MachineOrders
        Orders under the owner's fencing token.
    status : callable
        Returns the row in which the operator reads how a wave goes.
    """

    orders: MachineOrders
    store: RowStore
    clock: Clock
    status: Callable[[int, bool], Put]
    rollouts: dict[int, Rollout] = field(default_factory=dict)
    finished: set[int] = field(default_factory=set)

    async def begin(self, wave: UpkeepWave) -> None:
        """Take in a wave that the operator asks for."""
        if wave.number in self.rollouts or wave.number in self.finished:
            return
        rollout = Rollout(wave)
        self.rollouts[wave.number] = rollout
        match await self.store.read(rollout_key(wave.number)):
            case Ok(None):
                pass
            case Ok(row):
                stored = msgspec.json.decode(row.value, type=StoredRollout)
                if stored.is_completed:
                    del self.rollouts[wave.number]
                    self.finished.add(wave.number)
                    return
                rollout.begun = dict.fromkeys(stored.begun, self.clock.now_ms())
            case Err(_):
                # Orders are idempotent: a machine that was done answers so.
                log_event("rollout_not_read", wave=wave.number)
        log_event(
            "wave_seen",
            wave=wave.number,
            machines=len(wave.machines),
            max_down=wave.max_down,
            duration_ms=wave.duration_ms,
            begun=len(rollout.begun),
        )
        await self.store.commit(self.status(wave.number, False))

    async def step(
        self, machines: dict[str, Machine], uses: dict[str, TargetUse]
    ) -> list[Machine]:
        """Take emptied machines down; return those that are to be emptied."""
        wanted: list[Machine] = []
        for rollout in list(self.rollouts.values()):
            wanted += await self._advance(rollout, machines, uses)
        return wanted

    def due(self) -> set[str]:
        """Return the machines whose upkeep has yet to begin."""
        return {
            name
            for rollout in self.rollouts.values()
            for name in rollout.wave.machines
            if name not in rollout.begun and name not in rollout.gone
        }

    async def _advance(
        self,
        rollout: Rollout,
        machines: dict[str, Machine],
        uses: dict[str, TargetUse],
    ) -> list[Machine]:
        now_ms = self.clock.now_ms()
        rollout.observe(machines, now_ms)
        if rollout.is_completed():
            await self._complete(rollout)
            return []
        remaining: list[Machine] = []
        for machine in rollout.to_empty(machines, uses, now_ms):
            if _is_empty(machine, uses) and self.orders.may_give():
                await self._take_down(rollout, machine)
            else:
                remaining.append(machine)
        return remaining

    async def _take_down(self, rollout: Rollout, machine: Machine) -> None:
        wave = rollout.wave.number
        result = await self.orders.upkeep(machine, wave)
        rollout.settle(machine.name, result, self.clock.now_ms())
        if result is MachineResult.DONE:
            await self._store(rollout, False)

    async def _complete(self, rollout: Rollout) -> None:
        number = rollout.wave.number
        result = await self.store.commit(self.status(number, True))
        if result.is_err():
            return
        await self._store(rollout, True)
        log_event("wave_completed", wave=number)
        del self.rollouts[number]
        self.finished.add(number)

    async def _store(self, rollout: Rollout, is_completed: bool) -> None:
        stored = StoredRollout(tuple(sorted(rollout.begun)), is_completed)
        text = msgspec.json.encode(stored).decode()
        await self.store.commit(Put(rollout_key(rollout.wave.number), text))


def _is_empty(machine: Machine, uses: dict[str, TargetUse]) -> bool:
    if not machine.target:
        return True
    use = uses.get(machine.target)
    return use is not None and use.is_cordoned and use.runs == 0


def rollout_key(wave: int) -> str:
    """Return the key under which the state of a wave is kept."""
    return f"{ROLLOUTS_TABLE}/waves/{wave}"
