"""Figures of organisations at one entry: what it is told, tells and shows."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cornelturn.admission.controller import Admission
from cornelturn.clock import Clock
from cornelturn.model.routes import RoutingTable
from cornelturn.organisation_view.known import KnownFigures
from cornelturn.organisation_view.rows import view_organisations
from cornelturn.organisation_view.shown import ShownView
from cornelturn.peering.messages import PoolCounts
from cornelturn.peering.organisation_messages import (
    AdmissionRefusals,
    CapsConfirmed,
    RefusalCount,
)

if TYPE_CHECKING:
    from cornelturn.entry.job_process import JobEntry

REFUSALS_INTERVAL_MS = 1_000
"""Shortest interval of messages about refused jobs."""

REFRESH_INTERVAL_MS = 5_000
"""Interval at which unchanged counts are repeated, as the message may have been lost
or other entries may have joined."""


@dataclass(slots=True)
class EntryFigures:
    """Collects figures for operators; no decision uses them.

    Parameters
    ----------
    entry : str
        Name of this entry.
    unix_offset_ms : int
        Unix time minus the time of the process's clock.
    admission : Admission
        Has the refusals of this entry.
    routing : callable
        Returns the configuration in force.
    send_all : callable
        Sends a message to all other entries.
    """

    entry: str
    clock: Clock
    unix_offset_ms: int
    admission: Admission
    routing: Callable[[], RoutingTable]
    send_all: Callable[[AdmissionRefusals | CapsConfirmed], None]
    known: KnownFigures = field(default_factory=KnownFigures)
    started_ms: int = field(init=False)
    sent: tuple[RefusalCount, ...] = ()
    sent_ms: int = 0
    checked_ms: int = field(init=False)

    def __post_init__(self) -> None:
        self.started_ms = self.checked_ms = self.clock.now_ms()

    def update_pool(self, counts: PoolCounts) -> None:
        """Take up the figures of a pool; then tell what is due.

        Owners send figures every second while organisations are configured, so that
        this needs no timer, which would cost something without any.
        """
        if counts.figures is None:
            return
        now_ms = self.clock.now_ms()
        self.known.add_pool(counts, now_ms)
        if now_ms - self.checked_ms >= REFUSALS_INTERVAL_MS:
            self.checked_ms = now_ms
            self._report_if_due(now_ms)

    def receive(self, sender: str, told: AdmissionRefusals | CapsConfirmed) -> None:
        """Take up what another entry tells, or the broker in this one."""
        match told:
            case AdmissionRefusals():
                self.known.add_refusals(sender, told, self.clock.now_ms())
            case CapsConfirmed():
                self.known.add_caps(told, self.clock.now_ms())

    def publish_caps(self, told: CapsConfirmed) -> None:
        """Tell all entries, this one included, what the broker has confirmed."""
        self.send_all(told)
        self.receive(self.entry, told)

    def _report_if_due(self, now_ms: int) -> None:
        """Tell the other entries what this one has refused, if that has changed."""
        self.known.forget_old({pool.name for pool in self.routing().pools}, now_ms)
        told = self._refusals(now_ms)
        is_repeated = told.counts == self.sent
        if not told.counts:
            return
        if is_repeated and now_ms - self.sent_ms < REFRESH_INTERVAL_MS:
            return
        self.sent, self.sent_ms = told.counts, now_ms
        self.send_all(told)

    def _refusals(self, now_ms: int) -> AdmissionRefusals:
        counts = tuple(
            RefusalCount(*place, count)
            for place, count in sorted(self.admission.refusals.items())
        )
        return AdmissionRefusals(now_ms - self.started_ms, counts)

    def show(self, pool: str) -> ShownView | None:
        """Return the rows of one pool, or of all pools for an empty name.

        None if the configuration lacks the pool and no owner has told of it.
        """
        now_ms, table = self.clock.now_ms(), self.routing()
        if not table.organisations:
            self.known.clear()
        names = {item.name for item in table.pools} | self.known.pools.keys()
        if pool and pool not in names:
            return None
        self.known.add_refusals(self.entry, self._refusals(now_ms), now_ms)
        view = view_organisations(self.known, table, now_ms, pool)
        return ShownView(self.entry, view, now_ms, self.unix_offset_ms)


def new_entry_figures(entry: JobEntry) -> EntryFigures:
    """Return the figures of an entry that has its job service."""
    return EntryFigures(
        entry.settings.name,
        entry.clock,
        entry.duties.unix_offset_ms,
        entry.service.admission,
        entry.current_routing,
        entry.send_all,
    )
