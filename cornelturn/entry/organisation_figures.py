"""Figures of organisations at one entry: what it is told, tells and shows."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from cornelturn.admission.controller import Admission
from cornelturn.clock import Clock
from cornelturn.model.routes import RoutingTable
from cornelturn.organisation_view.known import KnownFigures
from cornelturn.organisation_view.rows import view_organisations
from cornelturn.organisation_view.shown import ShownView
from cornelturn.peering.messages import InnerMessage, PoolCounts
from cornelturn.peering.organisation_messages import (
    AdmissionRefusals,
    CapsConfirmed,
    FiguresWanted,
    RefusalCount,
)

if TYPE_CHECKING:
    from cornelturn.entry.job_process import JobEntry

TELL_INTERVAL_MS = 1_000
"""Shortest interval of requests for figures, and of messages about refused jobs."""

ASKED_MS = 10_000
"""Time for which an entry requests figures after it was asked, so that who asks again
and again gets current ones."""

WANTED_MS = 4_000
"""Time for which a request of another entry holds; two repetitions may be lost."""


@dataclass(slots=True)
class EntryFigures:
    """Collects figures for operators while they ask; no decision uses them.

    It has no timer: it acts on requests, and on the counts that owners send anyway.

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
    send, send_all : callable
        Send a message to one entry, and to all others.
    asked_ms : int or None
        When an operator last asked this entry, None if that is too long ago.
    askers : dict
        Time of the last request of each other entry.
    """

    entry: str
    clock: Clock
    unix_offset_ms: int
    admission: Admission
    routing: Callable[[], RoutingTable]
    send: Callable[[str, InnerMessage], None]
    send_all: Callable[[InnerMessage], None]
    known: KnownFigures = field(default_factory=KnownFigures)
    askers: dict[str, int] = field(default_factory=dict)
    started_ms: int = field(init=False)
    asked_ms: int | None = None
    requested_ms: int | None = None
    refusals_sent_ms: int | None = None

    def __post_init__(self) -> None:
        self.started_ms = self.clock.now_ms()

    def is_wanted(self) -> bool:
        """Return whether somebody asks for figures, at this entry or another one."""
        now_ms = self.clock.now_ms()
        return self._is_asked(now_ms) or bool(self._current_askers(now_ms))

    def _is_asked(self, now_ms: int) -> bool:
        if self.asked_ms is not None and now_ms - self.asked_ms >= ASKED_MS:
            self.asked_ms = None
        return self.asked_ms is not None

    def _current_askers(self, now_ms: int) -> tuple[str, ...]:
        """Return the entries that have asked lately, and forget the others."""
        for entry, asked_ms in list(self.askers.items()):
            if now_ms - asked_ms >= WANTED_MS:
                del self.askers[entry]
        return tuple(self.askers)

    def publish_counts(self, counts: PoolCounts) -> None:
        """Tell all entries the counts of a pool owned here, its figures only to some.

        Entries that ask get the counts a second time with the figures, which changes
        nothing for their decisions.
        """
        self.send_all(replace(counts, figures=None))
        if counts.figures is not None:
            for entry in self._current_askers(self.clock.now_ms()):
                self.send(entry, counts)
        self.update_pool(counts)

    def update_pool(self, counts: PoolCounts) -> None:
        """Take up the figures of a pool, if there are some; then tell what is due."""
        now_ms = self.clock.now_ms()
        self.known.add_pool(counts, now_ms)
        if self._is_asked(now_ms):
            self._request_if_due(now_ms)
        if self.askers:
            self._tell_refusals_if_due(now_ms)

    def receive(
        self, sender: str, told: AdmissionRefusals | CapsConfirmed | FiguresWanted
    ) -> None:
        """Take up what another entry tells or asks, or the broker in this one tells."""
        match told:
            case AdmissionRefusals():
                self.known.add_refusals(sender, told, self.clock.now_ms())
            case CapsConfirmed():
                self.known.add_caps(told, self.clock.now_ms())
            case FiguresWanted():
                self.askers[sender] = self.clock.now_ms()

    def publish_caps(self, told: CapsConfirmed) -> None:
        """Tell what the broker has confirmed to this entry and those that ask."""
        for entry in self._current_askers(self.clock.now_ms()):
            self.send(entry, told)
        self.receive(self.entry, told)

    def _request_if_due(self, now_ms: int) -> None:
        """Ask the other entries for their figures, unless that was done just now."""
        if _is_due(self.requested_ms, now_ms):
            self.requested_ms = now_ms
            self.send_all(FiguresWanted())

    def _tell_refusals_if_due(self, now_ms: int) -> None:
        """Tell the entries that ask what this one has refused.

        One that has refused nothing says so as well: it may have restarted, and its
        former counts be known.
        """
        if not _is_due(self.refusals_sent_ms, now_ms):
            return
        askers = self._current_askers(now_ms)
        if askers:
            self.refusals_sent_ms = now_ms
            told = self._refusals(now_ms)
            for entry in askers:
                self.send(entry, told)

    def _refusals(self, now_ms: int) -> AdmissionRefusals:
        # A refusal may end after the last organisation has been removed.
        refusals = self.admission.refusals if self.routing().organisations else {}
        counts = tuple(
            RefusalCount(*place, count) for place, count in sorted(refusals.items())
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
        if table.organisations:
            self.asked_ms = now_ms
            self._request_if_due(now_ms)
        self.known.forget_old({item.name for item in table.pools}, now_ms)
        self.known.add_refusals(self.entry, self._refusals(now_ms), now_ms)
        view = view_organisations(self.known, table, now_ms, pool)
        return ShownView(self.entry, view, now_ms, self.unix_offset_ms)


def _is_due(sent_ms: int | None, now_ms: int) -> bool:
    return sent_ms is None or now_ms - sent_ms >= TELL_INTERVAL_MS


def new_entry_figures(entry: JobEntry) -> EntryFigures:
    """Return the figures of an entry that has its job service."""

    def send_all(message: InnerMessage) -> None:
        # An operator may ask before the entry has joined the others.
        if entry.is_joined:
            entry.send_all(message)

    return EntryFigures(
        entry.settings.name,
        entry.clock,
        entry.duties.unix_offset_ms,
        entry.service.admission,
        entry.current_routing,
        entry.send,
        send_all,
    )
