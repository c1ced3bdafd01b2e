"""Open waves of upkeep: their orders for machines and their stored progress."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from cornelturn.clock import Clock
from cornelturn.events.log import log_event
from cornelturn.fleet.machines import MachineResult
from cornelturn.fleet.rollout import Rollout
from cornelturn.model.decoding import DocumentError, try_decode
from cornelturn.model.upkeep import Machine, UpkeepOrder, UpkeepWave
from cornelturn.peering.messages import TargetLoad
from cornelturn.store.port import RowStore
from cornelturn.store.rows import Put, Row, TableUnavailable

ROLLOUTS_TABLE = "rollouts"


class StoredRollout(msgspec.Struct, frozen=True):
    """Stored progress of a wave: the machines whose upkeep has begun."""

    begun: tuple[str, ...]
    is_completed: bool


ROLLOUT_DECODER = msgspec.json.Decoder(StoredRollout)


@dataclass(slots=True)
class Upkeep:
    """Plans and tracks all waves of upkeep for the machine owner.

    Parameters
    ----------
    status_row : callable
        Returns the row that shows the operator whether a wave is completed.
    unsaved : set of int
        Waves whose progress is not stored yet.
    """

    store: RowStore
    clock: Clock
    status_row: Callable[[int, bool], Put]
    rollouts: dict[int, Rollout] = field(default_factory=dict)
    finished: set[int] = field(default_factory=set)
    unsaved: set[int] = field(default_factory=set)

    async def add_wave(self, wave: UpkeepWave, seen_ms: int) -> None:
        """Add a wave that the operator requested, and read its stored progress.

        Parameters
        ----------
        seen_ms : int
            Time at which the request was first read. The duration of the wave counts
            from it, also across changes of the machine owner.
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
                # Orders are idempotent: one for a finished machine returns DONE.
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
        """Read the stored progress of a wave, None if there is none."""
        match await self.store.read(rollout_key(number)):
            case Ok(Row(value=text)):
                return try_decode(ROLLOUT_DECODER.decode, text)
            case other:
                return other

    def observe(self, machines: dict[str, Machine]) -> None:
        """Update the progress of all waves from the list of machines."""
        for number, rollout in self.rollouts.items():
            rollout.observe(machines)
            if rollout.is_completed():
                self.unsaved.add(number)

    def plan(
        self, machines: dict[str, Machine], loads: dict[str, TargetLoad]
    ) -> list[UpkeepOrder]:
        """Return the orders to send once their machines are empty."""
        now_ms = self.clock.now_ms()
        return [
            UpkeepOrder(machine, rollout.wave.number)
            for rollout in self.rollouts.values()
            for machine in rollout.machines_to_drain(machines, loads, now_ms)
        ]

    def mark_ordered(self, order: UpkeepOrder) -> None:
        """Record that an order was sent."""
        is_off = not order.machine.target
        self.rollouts[order.wave].mark_ordered(order.machine.name, is_off)

    def record_result(self, order: UpkeepOrder, result: MachineResult) -> None:
        """Record the result of an order."""
        rollout = self.rollouts.get(order.wave)
        if rollout is None:
            return
        rollout.record_result(order.machine.name, result, self.clock.now_ms())
        if result is MachineResult.DONE:
            self.unsaved.add(order.wave)

    def has_pending_order(self, machine: str) -> bool:
        """Return whether an order for a machine is in flight or was not answered."""
        return any(
            rollout.has_pending_order(machine) for rollout in self.rollouts.values()
        )

    def machines_due(self) -> set[str]:
        """Return the machines whose upkeep has not begun."""
        return {
            name
            for rollout in self.rollouts.values()
            for name in rollout.wave.machines
            if name not in rollout.begun and name not in rollout.departed
        }

    async def save_progress(self) -> None:
        """Store the progress of the waves; what fails stays in `unsaved`."""
        for number in sorted(self.unsaved):
            rollout = self.rollouts[number]
            if rollout.is_completed():
                await self._complete(rollout)
            else:
                await self._save_begun(rollout)

    async def _complete(self, rollout: Rollout) -> None:
        """Store the end of a completed wave and drop it."""
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
        """Store the progress of a wave; return whether that succeeded."""
        stored = StoredRollout(tuple(sorted(rollout.begun)), is_completed)
        text = msgspec.json.encode(stored).decode()
        result = await self.store.commit(Put(rollout_key(rollout.wave.number), text))
        return result.is_ok()


def rollout_key(wave: int) -> str:
    """Return the key of the stored progress of a wave."""
    return f"{ROLLOUTS_TABLE}/waves/{wave}"
