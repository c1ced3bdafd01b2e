"""Rows that fence the controllers: a paused one can write nothing."""

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
    """Epochs of the things that this entry controls.

    Taking a lease writes the row, which makes every write of the holder before
    fail: no time has to pass, and no clock is trusted.
    """

    entry: str
    incarnation: int
    table: Table
    epochs: dict[str, int] = field(default_factory=dict)

    async def acquire(self, name: str) -> tuple[Operation, ...] | None:
        """Return the check that every write carries, None if there is no lease."""
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
        """Forget a lease that is lost or no longer wanted."""
        self.epochs.pop(name, None)

    def record_result(self, name: str, result: DisruptionResult) -> bool:
        """Take note of a result; a conflict may mean that the lease is lost."""
        match result:
            case Disrupted():
                return True
            case NotDisrupted(DisruptionRefusal.CONFLICT, detail):
                self.drop(name)
                log_warning("controller_conflict", name=name, rows=detail)
            case NotDisrupted(reason, detail):
                log_event("disruption_refused", name=name, reason=reason, detail=detail)
        return False
