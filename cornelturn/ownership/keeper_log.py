"""Log lines of the duty keeper: rows of duties, and the authority to act on them."""

from __future__ import annotations

from dataclasses import dataclass

from cornelturn.events.log import log_event, log_warning, render_names
from cornelturn.ownership.authority import ActingAuthority
from cornelturn.ownership.duties import DutyRow, Holder, VersionedDuty, target_names
from cornelturn.ownership.messages import RowWrite


@dataclass(slots=True)
class AuthorityLog:
    """Logs when an entry with duties gains or loses the authority to act.

    Parameters
    ----------
    is_acting : bool
        Whether it had the authority at the last check.
    is_extended : bool
        Whether it had it by outage reports alone.
    """

    entry: str
    authority: ActingAuthority
    is_acting: bool = True
    is_extended: bool = False

    def update(self, duties: int, may_act: bool, now_ms: int) -> None:
        """Log what has changed since the last check.

        Parameters
        ----------
        duties : int
            Number of duties that the entry holds.
        """
        self._log_acting(duties, not duties or may_act)
        is_extended = bool(duties) and self.authority.is_extended(now_ms)
        self._log_extension(duties, is_extended, now_ms)

    def _log_acting(self, duties: int, is_acting: bool) -> None:
        if is_acting == self.is_acting:
            return
        self.is_acting = is_acting
        if is_acting:
            log_event("orders_resumed", entry=self.entry, duties=duties)
        else:
            log_warning("orders_paused", entry=self.entry, duties=duties)

    def _log_extension(self, duties: int, is_extended: bool, now_ms: int) -> None:
        if is_extended == self.is_extended:
            return
        self.is_extended = is_extended
        unread_ms = now_ms - self.authority.confirmed_ms
        if is_extended:
            log_event(
                "orders_extended",
                entry=self.entry,
                duties=duties,
                unread_ms=unread_ms,
                reporters=render_names(self.authority.reporters(now_ms)),
            )
        else:
            log_event("orders_not_extended", entry=self.entry, unread_ms=unread_ms)


def log_duty_taken(
    duty: str, known: VersionedDuty, asked: Holder | None, is_surely_gone: bool
) -> None:
    """Log a duty that this entry has taken, and who is asked for its open runs."""
    row = known.row
    log_event(
        "duty_taken",
        duty=duty,
        generation=row.generation,
        row_version=known.version,
        targets=len(row.targets),
        names=render_names(target_names(row)),
        is_surely_gone=is_surely_gone,
        earlier=render_holders(row.earlier),
        asked=asked.entry if asked is not None else None,
    )


def log_row_written(
    duty: str, previous: DutyRow, row: DutyRow, version: int, outcome: RowWrite
) -> None:
    """Log a write of the row of a duty, and the targets that it adds or removes."""
    names, previous_names = target_names(row), target_names(previous)
    log_event(
        "duty_row_written",
        duty=duty,
        generation=row.generation,
        row_version=version,
        outcome=outcome,
        targets=len(names),
        added=render_names(names - previous_names),
        removed=render_names(previous_names - names),
        is_settled=row.is_settled,
        earlier=render_holders(row.earlier),
    )


def log_duty_released(duty: str, row: DutyRow, *, is_written: bool) -> None:
    """Log an attempt to release a duty, with the row that it leaves."""
    log_event(
        "duty_released",
        duty=duty,
        generation=row.generation,
        is_written=is_written,
        targets=len(row.targets),
        names=render_names(target_names(row)),
        is_settled=row.is_settled,
    )


def render_holders(holders: tuple[Holder, ...] | None) -> str:
    """Return the entries and generations of holders."""
    if holders is None:
        return "unknown"
    return render_names([f"{holder.entry}#{holder.generation}" for holder in holders])
