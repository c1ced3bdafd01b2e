"""Figures of the organisations in a pool, which operators are shown."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cornelturn.peering.organisation_messages import PoolFigures, PoolOrganisation
from cornelturn.quota.amounts import amount_of
from cornelturn.scheduling.pool import PoolScheduler

FIGURES_INTERVAL_MS = 1_000
"""Shortest interval of the figures: people read them, and no decision uses them."""


@dataclass(slots=True)
class OrganisationReporter:
    """Collects the figures of a pool, nothing while no organisation is configured.

    Parameters
    ----------
    is_wanted : callable
        Returns whether somebody asks for the figures. Refusals count in any case.
    started_ms : int or None
        When the owner first could report, None before that.
    """

    scheduler: PoolScheduler
    is_wanted: Callable[[], bool] = lambda: True
    started_ms: int | None = None
    reported_ms: int = -FIGURES_INTERVAL_MS

    def report_due(self, now_ms: int) -> PoolFigures | None:
        """Return the figures if they are due.

        The waiting tasks must have been counted.
        """
        if not self.scheduler.fairness.organisations:
            return None
        if self.started_ms is None:
            self.started_ms = now_ms
        if now_ms - self.reported_ms < FIGURES_INTERVAL_MS or not self.is_wanted():
            return None
        self.reported_ms = now_ms
        capacity = self.scheduler.fairness.shares.capacity.total
        return PoolFigures(
            now_ms - self.started_ms, amount_of(capacity), tuple(self._rows())
        )

    def _rows(self) -> list[PoolOrganisation]:
        usage, waiting = self.scheduler.usage, self.scheduler.fairness.waiting_work
        refusals = self.scheduler.waiting_steps.refused.counts
        names = {
            *usage.runs,
            *(name for name, tasks in waiting.tasks.items() if tasks),
            *refusals,
        }
        return [
            PoolOrganisation(
                name,
                amount_of(usage.of(name)),
                usage.runs.get(name, 0),
                waiting.tasks[name],
                waiting.cpu[name],
                refusals[name],
            )
            for name in sorted(names)
        ]
