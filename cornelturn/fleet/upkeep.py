"""The task that takes machines down for upkeep, wave by wave."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok

from cornelturn.clock import Clock
from cornelturn.events.log import log_event
from cornelturn.events.mailbox import Mailbox
from cornelturn.fleet.machines import MachineResult, Machines
from cornelturn.fleet.rollout import LOAD_LIMIT_MS, Rollout, SeenLoad
from cornelturn.model.upkeep import Machine, UpkeepWave
from cornelturn.peering.messages import CordonWanted, PoolLoad
from cornelturn.store.port import RowStore
from cornelturn.store.rows import Put

STEP_INTERVAL_S = 0.25
"""Interval between two steps of a wave; an upkeep takes seconds."""

ROLLOUTS_TABLE = "rollouts"


class StoredRollout(msgspec.Struct, frozen=True):
    """Machines of a wave whose upkeep has begun."""

    begun: tuple[str, ...]
    is_completed: bool


@dataclass(frozen=True, slots=True)
class StepDue:
    """Time for the next step."""


@dataclass(frozen=True, slots=True)
class WaveSeen:
    """A wave that the operator asks for."""

    wave: UpkeepWave


UpkeepMessage = StepDue | WaveSeen | PoolLoad


@dataclass(slots=True)
class UpkeepController:
    """Runs all waves while this entry holds the duty.

    Parameters
    ----------
    token : int
        Fencing token of the duty.
    may_act : callable
        Tells whether this entry may still use the duty.
    ask : callable
        Tells the owner of a pool which targets to empty.
    status : callable
        Returns the row in which the operator reads how a wave goes.
    """

    token: int
    store: RowStore
    machines: Machines
    clock: Clock
    may_act: Callable[[], bool]
    ask: Callable[[CordonWanted], None]
    status: Callable[[int, bool], Put]
    mailbox: Mailbox[UpkeepMessage] = field(default_factory=Mailbox)
    rollouts: dict[int, Rollout] = field(default_factory=dict)
    finished: set[int] = field(default_factory=set)
    loads: dict[str, SeenLoad] = field(default_factory=dict)
    asked_pools: set[str] = field(default_factory=set)
    is_fenced: bool = False

    async def run(self) -> None:
        """Serve messages for ever."""
        async for message in self.mailbox.messages():
            match message:
                case WaveSeen(wave):
                    await self._begin(wave)
                case PoolLoad(loads=loads):
                    now_ms = self.clock.now_ms()
                    for one in loads:
                        self.loads[one.target] = SeenLoad(
                            one.runs, one.is_cordoned, now_ms
                        )
                case StepDue():
                    await self._step()

    async def _begin(self, wave: UpkeepWave) -> None:
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

    async def _step(self) -> None:
        if not self.rollouts or self.is_fenced or not self.may_act():
            return
        match await self.machines.list_all():
            case Err(error):
                log_event("machines_not_read", detail=error.detail)
                return
            case Ok(found):
                machines = {one.name: one for one in found}
        wanted: list[Machine] = []
        for rollout in list(self.rollouts.values()):
            wanted += await self._advance(rollout, machines)
        self._ask(wanted)

    async def _advance(
        self, rollout: Rollout, machines: dict[str, Machine]
    ) -> list[Machine]:
        """Take emptied machines down; return those that are to be emptied."""
        now_ms = self.clock.now_ms()
        rollout.observe(machines, now_ms)
        if rollout.is_completed():
            await self._complete(rollout)
            return []
        chosen = rollout.to_empty(machines, self.loads, now_ms)
        remaining: list[Machine] = []
        for machine in chosen:
            if self._is_empty(machine, now_ms) and self.may_act():
                await self._take_down(rollout, machine)
            else:
                remaining.append(machine)
        return remaining

    def _is_empty(self, machine: Machine, now_ms: int) -> bool:
        if not machine.target:
            return True
        load = self.loads.get(machine.target)
        if load is None or now_ms - load.told_ms > LOAD_LIMIT_MS:
            return False
        return load.is_cordoned and load.runs == 0

    async def _take_down(self, rollout: Rollout, machine: Machine) -> None:
        wave = rollout.wave.number
        result = await self.machines.upkeep(machine.name, wave, self.token)
        rollout.settle(machine.name, result, self.clock.now_ms())
        log_event(
            "upkeep",
            wave=wave,
            machine=machine.name,
            pool=machine.pool,
            result=result,
            token=self.token,
        )
        if result is MachineResult.FENCED:
            self.is_fenced = True
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

    def _ask(self, wanted: list[Machine]) -> None:
        """Tell each pool's owner; a pool that is no longer asked is told once."""
        by_pool: dict[str, list[str]] = {pool: [] for pool in self.asked_pools}
        for machine in wanted:
            if machine.target:
                by_pool.setdefault(machine.pool, []).append(machine.target)
        for pool, targets in by_pool.items():
            self.ask(CordonWanted(pool, tuple(targets)))
        self.asked_pools = {pool for pool, targets in by_pool.items() if targets}


def rollout_key(wave: int) -> str:
    """Return the key under which the state of a wave is kept."""
    return f"{ROLLOUTS_TABLE}/waves/{wave}"
