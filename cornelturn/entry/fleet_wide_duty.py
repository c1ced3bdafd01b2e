"""The owner of a duty that concerns all pools, while this entry holds the duty."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import ClassVar, Generic, TypeVar

from cornelturn.events.process_work import ProcessPart
from cornelturn.fleet.machine_owner import MachineOwner
from cornelturn.ownership.keeper import DutyKeeper
from cornelturn.ownership.messages import DutyTaken
from cornelturn.quota.broker import QuotaBroker

Owner = TypeVar("Owner", MachineOwner, QuotaBroker)


@dataclass(slots=True)
class FleetWideDuty(ABC, Generic[Owner]):
    """Creates the owner when the duty is taken, and keeps it while its task runs.

    Parameters
    ----------
    part : ProcessPart
        Part of the process to which the work of the owner is attributed.
    owner : MachineOwner or QuotaBroker or None
        None while another entry holds the duty.
    """

    part: ClassVar[ProcessPart]
    owner: Owner | None = field(default=None, init=False)
    task: asyncio.Task[None] | None = field(default=None, init=False)

    @abstractmethod
    def new_owner(self, taken: DutyTaken, keeper: DutyKeeper) -> Owner:
        """Return an owner for a duty that this entry has taken."""

    def start(self, owner: Owner, task: asyncio.Task[None]) -> None:
        """Replace the owner, which runs in a task."""
        self.end()
        self.owner, self.task = owner, task

    def end(self) -> None:
        """Cancel the owner's task, if there is one."""
        task, self.owner, self.task = self.task, None, None
        if task is not None:
            task.cancel()

    def forget(self, owner: object) -> bool:
        """Forget an owner that has ended; return whether it still had the duty."""
        if self.owner is not owner:
            return False
        self.owner = self.task = None
        return True
