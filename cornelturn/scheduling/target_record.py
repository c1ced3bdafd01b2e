"""Keeps the row of a pool's duty in step with the targets that may have runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from cornelturn.clock import Clock
from cornelturn.ownership.duties import HeldTarget
from cornelturn.ownership.messages import RowWrite
from cornelturn.scheduling.messages import TargetRecordFinished
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.takeover import Takeover
from cornelturn.scheduling.takeover_log import TakeoverLog
from cornelturn.scheduling.target_view import Contact, TargetView
from cornelturn.store.port import RowStore
from cornelturn.targets.model import TargetLife


@dataclass(slots=True)
class TargetRecord:
    """Has at most one write of the row in flight, apart from that of a hand-over.

    Parameters
    ----------
    record_targets : callable
        Writes the targets that may hold leases into the row of the duty, and whether
        no predecessor can act any more.
    may_act : callable
        Returns whether this entry may still act on the duty.
    may_have_reached_other_life : callable
        Returns whether a start for a target may have reached another life of it.
    start : callable
        Runs a write in the background.
    post : callable
        Receives its outcome as a message to the owner.
    recorded : frozenset of TargetLife
        Targets that are certain to be in the row of the duty; only these get starts.
    in_row : frozenset of TargetLife or None
        Targets in the row, None while they are not known.
    is_in_flight : bool
        Whether a write of the row has no outcome yet.
    is_row_settled : bool
        Whether the row states that no predecessor can act any more.
    is_stopping : bool
        Whether the owner hands the pool over.
    """

    scheduler: PoolScheduler
    takeover: Takeover
    log: TakeoverLog
    store: RowStore
    clock: Clock
    record_targets: Callable[
        [str, tuple[HeldTarget, ...], bool], asyncio.Future[RowWrite]
    ]
    may_act: Callable[[], bool]
    may_have_reached_other_life: Callable[[TargetLife], bool]
    start: Callable[[Coroutine[Any, Any, None]], None]
    post: Callable[[TargetRecordFinished], None]
    recorded: frozenset[TargetLife] = frozenset()
    in_row: frozenset[TargetLife] | None = None
    is_in_flight: bool = False
    is_row_settled: bool = False
    is_stopping: bool = False

    def adopt(self, lives: frozenset[TargetLife]) -> None:
        """Take over the targets that the row had when the pool was taken."""
        self.recorded = self.in_row = lives

    def update(self) -> None:
        """Write the targets that may have runs into the row of the duty.

        A target is added before its first start, and removed once it is silent, has
        no runs and all its ends are written. Nothing is written while the store
        refuses this entry.
        """
        required = self.lives_with_hidden_runs() | {
            life
            for life, view in self.scheduler.targets.items()
            if view.contact is Contact.REACHABLE
        }
        self._mark_recorded()
        is_settled = self.takeover.is_settled()
        is_current = required == self.in_row and is_settled == self.is_row_settled
        if is_current or self.is_in_flight or not self.may_act():
            return
        if not self.store.is_serving():
            return
        self.recorded &= required
        self.in_row = None
        self._mark_recorded()
        self.is_in_flight = True
        self.start(self.write(required))

    def rewrite(self) -> None:
        """Write the row of the duty again, as predecessors can no longer act."""
        self.in_row = None
        self.update()

    def finish(self, finished: TargetRecordFinished) -> None:
        """Record the outcome of a write of targets into the row of the duty."""
        self.is_in_flight = False
        match finished.outcome:
            case RowWrite.WRITTEN:
                self.recorded = self.in_row = finished.targets
                self.is_row_settled = finished.is_settled
            case RowWrite.IN_DOUBT:
                # Without an answer, the row may contain only these targets now.
                self.recorded &= finished.targets
                self.in_row = None
        self._mark_recorded()

    def lives_with_hidden_runs(self) -> frozenset[TargetLife]:
        """Return the targets on which the next owner may find runs or ends."""
        now_ms = self.clock.now_ms()
        return frozenset(
            life
            for life, view in self.scheduler.targets.items()
            if self.takeover.may_hide_runs(life, now_ms)
            or self.scheduler.may_hide_runs(view)
        )

    def write(self, lives: frozenset[TargetLife]) -> Coroutine[Any, Any, bool]:
        """Return the write of targets into the row, as they are known now.

        Its result is whether they are in the row.
        """
        self.log.row_due(lives, self.clock.now_ms())
        views = self.scheduler.targets
        targets = tuple(
            HeldTarget(
                life,
                views[life].listed.address_text(),
                has_inherited_lease=self._may_have_inherited_lease(views[life]),
            )
            for life in sorted(lives)
            if life in views
        )
        return self._write(lives, targets, self.takeover.is_settled())

    async def _write(
        self,
        lives: frozenset[TargetLife],
        targets: tuple[HeldTarget, ...],
        is_settled: bool,
    ) -> bool:
        outcome = await self.record_targets(self.scheduler.pool, targets, is_settled)
        self.post(TargetRecordFinished(lives, is_settled, outcome))
        return outcome is RowWrite.WRITTEN

    def _mark_recorded(self) -> None:
        self.scheduler.set_recorded(self.recorded)

    def _may_have_inherited_lease(self, view: TargetView) -> bool:
        """Return whether a target, for all that is known, may hold the longest lease.

        An owner that stops will not notice a restart that no report has shown yet. A
        start on a connection that belongs to the life gives a later one no lease.
        """
        return bool(view.inherited_lease_ms) or (
            self.is_stopping
            and self.scheduler.may_have_restarted(view)
            and self.may_have_reached_other_life(view.life)
        )
