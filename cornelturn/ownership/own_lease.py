"""The lease of this entry: its renewals, and its end at a planned stop."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum, auto

from result import Err, Ok

from cornelturn.clock import Clock
from cornelturn.events.log import log_warning
from cornelturn.fleet.lease import LeaseRow, decode_lease, encode_lease
from cornelturn.ownership.authority import ActingAuthority
from cornelturn.ownership.duties import entry_key
from cornelturn.ownership.evidence import HolderEvidence
from cornelturn.peering.messages import PeerAddress
from cornelturn.store.port import RowStore
from cornelturn.store.rows import ABSENT, Committed, Put, Row, TableConflict


class Renewal(Enum):
    """Outcome of a renewal."""

    WRITTEN = auto()
    CONFLICT = auto()
    FAILED = auto()


@dataclass(slots=True)
class OwnLease:
    """Writes the lease of this entry.

    Parameters
    ----------
    processor : float
        Cores that this entry may use.
    renewals : int
        Number of renewals sent so far.
    last_row : LeaseRow or None
        Lease as last written.
    version : int
        Version of the last renewal that was acknowledged.
    """

    own: PeerAddress
    store: RowStore
    clock: Clock
    authority: ActingAuthority
    evidence: HolderEvidence
    processor: float
    renewals: int = 0
    last_row: LeaseRow | None = None
    version: int = ABSENT

    async def renew(self, given_up: Mapping[str, int], revision: int | None) -> Renewal:
        """Renew the lease; the first time, replace that of an earlier incarnation.

        Parameters
        ----------
        given_up : mapping
            Generation in which each lost duty was held.
        revision : int or None
            Revision up to which this entry has read the rows.
        """
        previous = None if self.renewals else await self._previous()
        self.renewals += 1
        now_ms = self.clock.now_ms()
        row = LeaseRow(
            self.own,
            self.renewals,
            dict(given_up),
            self.processor,
            revision or 0,
            self.authority.time_since_outage_report_ms(now_ms),
            self.evidence.row_exists_since(now_ms),
            self.evidence.read_since_revision,
            dict(self.evidence.departed),
        )
        self.last_row = row
        self.authority.record_renewal_sent(self.renewals, now_ms)
        expected = previous.version if previous is not None else None
        put = Put(entry_key(self.own.name), encode_lease(row), expected)
        match await self.store.commit(put):
            case Ok(Committed(revision=written)):
                self.version = written
                self.evidence.record_renewal(now_ms, written, self.clock.now_ms())
                self._adopt(previous)
                return Renewal.WRITTEN
            case Err(TableConflict()):
                return Renewal.CONFLICT
            case Err(_):
                return Renewal.FAILED

    async def end(self) -> None:
        """Write into the lease that this incarnation has stopped.

        The row stays until the next incarnation replaces it, which thus learns since
        when it exists. If an unanswered renewal has changed the row, this write fails
        and the lease lapses.
        """
        if self.last_row is not None:
            text = encode_lease(replace(self.last_row, is_over=True))
            await self.store.commit(Put(entry_key(self.own.name), text, self.version))

    async def _previous(self) -> Row | None:
        """Return the lease of an earlier incarnation, if there is one."""
        result = await self.store.read(entry_key(self.own.name))
        return result.unwrap_or(None)

    def _adopt(self, previous: Row | None) -> None:
        """Adopt what the lease of an earlier incarnation proves, if it decodes."""
        if previous is None:
            return
        match decode_lease(previous.value):
            case Ok(lease):
                self.evidence.record_replaced_lease(lease, previous.version)
            case Err(error):
                log_warning("lease_unreadable", key=previous.key, detail=error.detail)
