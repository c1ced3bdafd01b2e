"""What an entry shows of organisations at one time, independent of its format."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime

from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.organisation_view.rows import OrganisationRows


@dataclass(frozen=True, slots=True)
class ShownView:
    """Rows with what is needed to state their times.

    Parameters
    ----------
    entry : str
        Entry that shows them.
    now_ms : int
        Time of the process's clock.
    unix_offset_ms : int
        Unix time minus the time of that clock.
    """

    entry: str
    view: OrganisationRows
    now_ms: int
    unix_offset_ms: int

    def timestamp(self, time_ms: int) -> str:
        """Return a time of the process's clock in the format of the logs."""
        unix_s = (time_ms + self.unix_offset_ms) / MILLISECONDS_PER_SECOND
        moment = datetime.fromtimestamp(unix_s, UTC)
        return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")
