"""Open waves of upkeep: their orders for machines and their stored progress."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok

from cornelturn.clock import Clock
from cornelturn.events.log import log_event
from cornelturn.fleet.machines import MachineResult
from cornelturn.fleet.rollout import Rollout
from cornelturn.model.decoding import try_decode
from cornelturn.model.upkeep import Machine, UpkeepOrder, UpkeepWave
from cornelturn.peering.messages import TargetLoad
from cornelturn.store.port import RowStore
from cornelturn.store.rows import ABSENT, Committed, Put, Row, TableConflict

ROLLOUTS_TABLE = "rollouts"


class StoredRollout(msgspec.Struct, frozen=True):
    """Stored progress of a wave.

    Parameters
    ----------
    begun : tuple of str
        Machines whose upkeep has begun.
    announced : tuple of str
        Machines whose orders may have been sent and not been answered.
    """

    begun: tuple[str, ...]
    is_completed: bool
    announced: tuple[str, ...] = ()


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
    versions : dict
        Version of the stored progress of each wave, as last read or written. A write
        fails if another owner has written since.
    """

    store: RowStore
    clock: Clock
    status_row: Callable[[int, bool], Put]
    rollouts: dict[int, Rollout] = field(default_factory=dict)
    finished: set[int] = field(default_factory=set)
    unsaved: set[int] = field(default_factory=set)
    versions: dict[int, int] = field(default_factory=dict)

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
        match await self.store.read(rollout_key(wave.number)):
            case Ok(None):
                pass
            case Ok(row):
                self._restore(rollout, row)
                if wave.number in self.finished:
                    return
            case Err(_):
                # The first write conflicts with the row, which is read then.
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

    def _restore(self, rollout: Rollout, row: Row) -> None:
        """Add the progress in a row that another owner has written."""
        number = rollout.wave.number
        self.versions[number] = row.version
        match try_decode(ROLLOUT_DECODER.decode, row.value):
            case Ok(stored) if stored.is_completed:
                del self.rollouts[number]
                self.unsaved.discard(number)
                self.finished.add(number)
            case Ok(stored):
                rollout.restore(stored.begun, stored.announced, self.clock.now_ms())
            case Err(error):
                log_event("rollout_not_read", wave=number, detail=error.detail)

    def observe(self, machines: dict[str, Machine]) -> None:
        """Update the progress of all waves from the list of machines."""
        for number, rollout in self.rollouts.items():
            rollout.observe(machines)
            if rollout.is_completed():
                self.unsaved.add(number)

    def plan(
        self, machines: dict[str, Machine], loads: dict[str, TargetLoad]
    ) -> list[UpkeepOrder]:
        """Return the orders to send once their machines are empty and they are stored.

        Until the progress of the wave announces an order, `is_announced` is false.
        """
        now_ms = self.clock.now_ms()
        orders: list[UpkeepOrder] = []
        for number, rollout in self.rollouts.items():
            for machine in rollout.machines_to_drain(machines, loads, now_ms):
                orders.append(UpkeepOrder(machine, number))
            if rollout.orders_to_announce() != rollout.recorded:
                self.unsaved.add(number)
        return orders

    def is_announced(self, order: UpkeepOrder) -> bool:
        """Return whether a later owner would learn of an order from the store."""
        return order.machine.name in self.rollouts[order.wave].recorded

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
                await self._save_progress_of(rollout)

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

    async def _save_progress_of(self, rollout: Rollout) -> None:
        """Store which upkeeps have begun, and which orders may be sent."""
        begun, announced = set(rollout.begun), rollout.orders_to_announce()
        # Until the answer, the row may hold either these orders or the former ones.
        rollout.recorded &= announced
        if not await self._save(rollout, False):
            return
        rollout.recorded = announced
        if (begun, announced) == (set(rollout.begun), rollout.orders_to_announce()):
            self.unsaved.discard(rollout.wave.number)

    async def _save(self, rollout: Rollout, is_completed: bool) -> bool:
        """Store the progress of a wave; return whether that succeeded."""
        number = rollout.wave.number
        stored = StoredRollout(
            tuple(sorted(rollout.begun)),
            is_completed,
            tuple(sorted(rollout.orders_to_announce())),
        )
        text = msgspec.json.encode(stored).decode()
        put = Put(rollout_key(number), text, self.versions.get(number, ABSENT))
        match await self.store.commit(put):
            case Ok(Committed(revision=revision)):
                self.versions[number] = revision
                return True
            case Err(TableConflict(rows=rows)):
                for row in rows:
                    self._restore(rollout, row)
                return False
            case _:
                return False


def rollout_key(wave: int) -> str:
    """Return the key of the stored progress of a wave."""
    return f"{ROLLOUTS_TABLE}/waves/{wave}"
