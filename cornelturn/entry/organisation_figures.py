"""Figures of organisations at one entry: it receives, sends and shows them."""

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

MIN_SEND_INTERVAL_MS = 1_000
"""Shortest interval of requests for figures, and of messages about refused jobs."""

OPERATOR_REQUEST_MS = 10_000
"""Time for which an entry requests figures after an operator has, so that repeated
requests of the operator are answered with current ones."""

PEER_REQUEST_MS = 4_000
"""Time for which a request of another entry holds; two repetitions may be lost."""


@dataclass(slots=True)
class EntryFigures:
    """Collects figures for operators while they request them; no decision uses them.

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
    requesters : dict
        Time of the last request of each other entry.
    started_ms : int
        From when on this entry counts refusals.
    operator_request_ms : int or None
        When an operator last requested figures here, None if that is too long ago.
    request_sent_ms, refusals_sent_ms : int or None
        When the other entries were last sent a request, and the refusals.
    """

    entry: str
    clock: Clock
    unix_offset_ms: int
    admission: Admission
    routing: Callable[[], RoutingTable]
    send: Callable[[str, InnerMessage], None]
    send_all: Callable[[InnerMessage], None]
    known: KnownFigures = field(default_factory=KnownFigures)
    requesters: dict[str, int] = field(default_factory=dict)
    started_ms: int = field(init=False)
    operator_request_ms: int | None = None
    request_sent_ms: int | None = None
    refusals_sent_ms: int | None = None

    def __post_init__(self) -> None:
        self.started_ms = self.clock.now_ms()

    def is_wanted(self) -> bool:
        """Return whether figures are requested, at this entry or another one."""
        now_ms = self.clock.now_ms()
        return self._is_requested_here(now_ms) or bool(self._current_requesters(now_ms))

    def _is_requested_here(self, now_ms: int) -> bool:
        if (
            self.operator_request_ms is not None
            and now_ms - self.operator_request_ms >= OPERATOR_REQUEST_MS
        ):
            self.operator_request_ms = None
        return self.operator_request_ms is not None

    def _current_requesters(self, now_ms: int) -> tuple[str, ...]:
        """Return the entries that have requested figures lately; forget the others."""
        for entry, requested_ms in list(self.requesters.items()):
            if now_ms - requested_ms >= PEER_REQUEST_MS:
                del self.requesters[entry]
        return tuple(self.requesters)

    def publish_counts(self, counts: PoolCounts) -> None:
        """Send the counts of an own pool to all entries, its figures only to some.

        Entries that request figures get the counts a second time with them, which
        changes nothing for their decisions.
        """
        self.send_all(replace(counts, figures=None))
        if counts.figures is not None:
            for entry in self._current_requesters(self.clock.now_ms()):
                self.send(entry, counts)
        self.update_pool(counts)

    def update_pool(self, counts: PoolCounts) -> None:
        """Take up the figures of a pool, if there are some; then send what is due."""
        now_ms = self.clock.now_ms()
        self.known.add_pool(counts, now_ms)
        if self._is_requested_here(now_ms):
            self._request_if_due(now_ms)
        if self.requesters:
            self._send_refusals_if_due(now_ms)

    def receive(
        self, sender: str, message: AdmissionRefusals | CapsConfirmed | FiguresWanted
    ) -> None:
        """Take up a message of another entry, or of the broker in this one."""
        match message:
            case AdmissionRefusals():
                self.known.add_refusals(sender, message, self.clock.now_ms())
            case CapsConfirmed():
                self.known.add_caps(message, self.clock.now_ms())
            case FiguresWanted():
                self.requesters[sender] = self.clock.now_ms()

    def publish_caps(self, message: CapsConfirmed) -> None:
        """Send the confirmed caps to this entry and those that request figures."""
        for entry in self._current_requesters(self.clock.now_ms()):
            self.send(entry, message)
        self.receive(self.entry, message)

    def _request_if_due(self, now_ms: int) -> None:
        """Request the figures of the other entries, unless that was done just now."""
        if _is_due(self.request_sent_ms, now_ms):
            self.request_sent_ms = now_ms
            self.send_all(FiguresWanted())

    def _send_refusals_if_due(self, now_ms: int) -> None:
        """Send the refusals of this entry to those that request figures.

        They are sent without any count too: this entry may have restarted, and the
        others still have its former counts.
        """
        if not _is_due(self.refusals_sent_ms, now_ms):
            return
        requesters = self._current_requesters(now_ms)
        if requesters:
            self.refusals_sent_ms = now_ms
            message = self._refusals(now_ms)
            for entry in requesters:
                self.send(entry, message)

    def _refusals(self, now_ms: int) -> AdmissionRefusals:
        # A refusal may end after the last organisation has been removed.
        refusals = self.admission.refusals if self.routing().organisations else {}
        counts = tuple(
            RefusalCount(*place, count) for place, count in sorted(refusals.items())
        )
        return AdmissionRefusals(now_ms - self.started_ms, counts)

    def show(self, pool: str) -> ShownView | None:
        """Return the rows of one pool, or of all pools for an empty name.

        None if the configuration lacks the pool and no owner has sent figures of it.
        """
        now_ms, table = self.clock.now_ms(), self.routing()
        configured = {item.name for item in table.pools}
        if not table.organisations:
            self.known.clear()
        self.known.forget_old(configured, now_ms)
        if pool and pool not in configured | self.known.pools.keys():
            return None
        if table.organisations:
            self.operator_request_ms = now_ms
            self._request_if_due(now_ms)
        self.known.add_refusals(self.entry, self._refusals(now_ms), now_ms)
        view = view_organisations(self.known, table, now_ms, pool)
        return ShownView(self.entry, view, now_ms, self.unix_offset_ms)


def _is_due(sent_ms: int | None, now_ms: int) -> bool:
    return sent_ms is None or now_ms - sent_ms >= MIN_SEND_INTERVAL_MS


def new_entry_figures(entry: JobEntry) -> EntryFigures:
    """Return the figures of an entry that has its job service."""

    def send_all(message: InnerMessage) -> None:
        # An operator may request figures before the entry has joined the others.
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
