"""Reservation of a target for a ticket that needs several slots."""

from __future__ import annotations

from dataclasses import dataclass

from cornelturn.model.ticket import AttemptId
from cornelturn.routing.targets import TargetTable


@dataclass(slots=True)
class TargetReservation:
    """A target closed to new work until a ticket that needs several slots fits.

    Parameters
    ----------
    attempt : AttemptId or None
        Attempt of the ticket, None while nothing is reserved.
    """

    targets: TargetTable
    attempt: AttemptId | None = None
    target: str = ""

    def reserve(self, attempt: AttemptId) -> None:
        """Reserve the emptiest target unless one is reserved."""
        if self.attempt is not None:
            return
        name = self.targets.emptiest()
        if name is not None:
            self.attempt, self.target = attempt, name
            self._set_reserved(True)

    def clear(self) -> None:
        """Open the target to other work."""
        self.attempt = None
        if self.target in self.targets.by_name:
            self._set_reserved(False)

    def _set_reserved(self, is_reserved: bool) -> None:
        self.targets.by_name[self.target].is_reserved = is_reserved
        self.targets.refresh(self.target)
