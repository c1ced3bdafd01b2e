"""Fencing of controllers: one that was replaced while paused can write nothing."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from result import Err, Ok

from cornelturn.events.log import log_event, log_warning
from cornelturn.fleet.disruption import (
    Disrupted,
    DisruptionRefusal,
    DisruptionResult,
    NotDisrupted,
)
from cornelturn.store.rows import Check, Operation, Put, version_of
from cornelturn.store.table import Table

CONTROLLER_PREFIX = "controller/"


@dataclass(frozen=True, slots=True)
class ControllerRow:
    """Row that fences a controller; its version is the epoch of the lease."""

    holder: str
    incarnation: int


@dataclass(slots=True)
class Fences:
    """Epochs of the leases that this entry holds as a controller.

    Acquiring a lease writes its row, which makes every later write of the previous
    holder fail. This needs no waiting time and relies on no clock.
    """

    entry: str
    incarnation: int
    table: Table
    epochs: dict[str, int] = field(default_factory=dict)

    async def acquire(self, name: str) -> tuple[Operation, ...] | None:
        """Acquire a lease unless it is held; return the check that each write carries.

        Returns None if the lease could not be acquired.
        """
        key = f"{CONTROLLER_PREFIX}{name}"
        epoch = self.epochs.get(name)
        if epoch is not None:
            return (Check(key, epoch),)
        match await self.table.read(key):
            case Err(_):
                return None
            case Ok(row):
                version = version_of(row)
        value = msgspec.json.encode(ControllerRow(self.entry, self.incarnation))
        match await self.table.commit(Put(key, value.decode(), version)):
            case Ok(committed):
                self.epochs[name] = committed.revision
                log_event("controller", name=name, epoch=committed.revision)
                return (Check(key, committed.revision),)
            case Err(_):
                return None

    def drop(self, name: str) -> None:
        """Drop a lease that is lost or no longer needed."""
        self.epochs.pop(name, None)

    def record_result(self, name: str, result: DisruptionResult) -> bool:
        """Record the result of a write and return whether it succeeded.

        A conflict drops the lease, since it may be lost.
        """
        match result:
            case Disrupted():
                return True
            case NotDisrupted(DisruptionRefusal.CONFLICT, detail):
                self.drop(name)
                log_warning("controller_conflict", name=name, rows=detail)
            case NotDisrupted(reason, detail):
                log_event("disruption_refused", name=name, reason=reason, detail=detail)
        return False
