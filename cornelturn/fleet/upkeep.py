"""Waves of upkeep: takes machines down, wave by wave."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from cornelturn.clock import Clock
from cornelturn.events.log import log_event
from cornelturn.fleet.machines import MachineResult
from cornelturn.fleet.rollout import Rollout
from cornelturn.model.decoding import DocumentError, decoded
from cornelturn.model.upkeep import Machine, UpkeepOrder, UpkeepWave
from cornelturn.peering.messages import TargetLoad
from cornelturn.store.port import RowStore
from cornelturn.store.rows import Put, Row, TableUnavailable

ROLLOUTS_TABLE = "rollouts"


class StoredRollout(msgspec.Struct, frozen=True):
    """Machines of a wave whose upkeep has begun."""

    begun: tuple[str, ...]
    is_completed: bool


ROLLOUT_DECODER = msgspec.json.Decoder(StoredRollout)


@dataclass(slots=True)
class Upkeep:
    """All waves, on behalf of the owner of the machines.

    Parameters
    ----------
    status_row : callable
        Returns the row in which the operator reads how a wave goes.
    unsaved : set of int
        Waves that have got further than the store shows.
    """

    store: RowStore
    clock: Clock
    status_row: Callable[[int, bool], Put]
    rollouts: dict[int, Rollout] = field(default_factory=dict)
    finished: set[int] = field(default_factory=set)
    unsaved: set[int] = field(default_factory=set)

    async def add_wave(self, wave: UpkeepWave, seen_ms: int) -> None:
        """Take in a wave that the operator asks for.

        Parameters
        ----------
        seen_ms : int
            When it was first seen; its time goes on while its owner changes.
        """
        if wave.number in self.rollouts or wave.number in self.finished:
            return
        rollout = Rollout(wave, seen_ms)
        self.rollouts[wave.number] = rollout
        match await self._read_rollout(wave.number):
            case Ok(None):
                pass
            case Ok(stored):
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
        await self.store.commit(self.status_row(wave.number, False))

    async def _read_rollout(
        self, number: int
    ) -> Result[StoredRollout | None, TableUnavailable | DocumentError]:
        """Return what is stored of a wave, None if nothing is."""
        match await self.store.read(rollout_key(number)):
            case Ok(Row(value=text)):
                return decoded(ROLLOUT_DECODER.decode, text)
            case other:
                return other

    def observe(self, machines: dict[str, Machine]) -> None:
        """Take in the list of machines."""
        for number, rollout in self.rollouts.items():
            rollout.observe(machines)
            if rollout.is_completed():
                self.unsaved.add(number)

    def plan(
        self, machines: dict[str, Machine], loads: dict[str, TargetLoad]
    ) -> list[UpkeepOrder]:
        """Return the orders to give once their machines are empty."""
        now_ms = self.clock.now_ms()
        return [
            UpkeepOrder(machine, rollout.wave.number)
            for rollout in self.rollouts.values()
            for machine in rollout.machines_to_empty(machines, loads, now_ms)
        ]

    def mark_ordered(self, order: UpkeepOrder) -> None:
        """Note that an order is on its way."""
        is_off = not order.machine.target
        self.rollouts[order.wave].mark_ordered(order.machine.name, is_off)

    def record_result(self, order: UpkeepOrder, result: MachineResult) -> None:
        """Take in the answer to an order."""
        rollout = self.rollouts.get(order.wave)
        if rollout is None:
            return
        rollout.record_result(order.machine.name, result, self.clock.now_ms())
        if result is MachineResult.DONE:
            self.unsaved.add(order.wave)

    def has_pending_order(self, machine: str) -> bool:
        """Return whether an order for a machine is on its way or was not answered."""
        return any(
            rollout.has_pending_order(machine) for rollout in self.rollouts.values()
        )

    def machines_due(self) -> set[str]:
        """Return the machines whose upkeep has yet to begin."""
        return {
            name
            for rollout in self.rollouts.values()
            for name in rollout.wave.machines
            if name not in rollout.begun and name not in rollout.departed
        }

    async def save_progress(self) -> None:
        """Write how far waves have got; what fails stays unwritten."""
        for number in sorted(self.unsaved):
            rollout = self.rollouts[number]
            if rollout.is_completed():
                await self._complete(rollout)
            else:
                await self._save_begun(rollout)

    async def _complete(self, rollout: Rollout) -> None:
        """End a wave that is done."""
        number = rollout.wave.number
        result = await self.store.commit(self.status_row(number, True))
        if result.is_err() or not await self._save(rollout, True):
            return
        log_event("wave_completed", wave=number)
        del self.rollouts[number]
        self.unsaved.discard(number)
        self.finished.add(number)

    async def _save_begun(self, rollout: Rollout) -> None:
        written = set(rollout.begun)
        if await self._save(rollout, False) and written == set(rollout.begun):
            self.unsaved.discard(rollout.wave.number)

    async def _save(self, rollout: Rollout, is_completed: bool) -> bool:
        """Write the state of a wave; return whether the store has it."""
        stored = StoredRollout(tuple(sorted(rollout.begun)), is_completed)
        text = msgspec.json.encode(stored).decode()
        result = await self.store.commit(Put(rollout_key(rollout.wave.number), text))
        return result.is_ok()


def rollout_key(wave: int) -> str:
    """Return the key under which the state of a wave is kept."""
    return f"{ROLLOUTS_TABLE}/waves/{wave}"
