"""Connection to a target that this entry cannot call."""

from __future__ import annotations

from dataclasses import dataclass

from result import Err

from cornelturn.targets.model import (
    Lease,
    Order,
    OrderResult,
    ReportResult,
    Unanswered,
)


@dataclass(frozen=True, slots=True)
class UnreachableConnection:
    """Connection that sends nothing; its target counts as silent.

    Parameters
    ----------
    detail : str
        Why the target cannot be called.
    """

    detail: str

    async def send_order(self, order: Order, lease: Lease) -> OrderResult:
        """Return that the order was not sent."""
        return self._unanswered()

    async def fetch_report(
        self, lease: Lease, acknowledged: int, wait_ms: int
    ) -> ReportResult:
        """Return that no report was requested."""
        return Err(self._unanswered())

    def may_have_reached_other_life(self) -> bool:
        """Return whether a start may have reached another life; nothing is sent."""
        return False

    async def close(self) -> None:
        """Close nothing."""

    def _unanswered(self) -> Unanswered:
        return Unanswered(self.detail, was_sent=False)
