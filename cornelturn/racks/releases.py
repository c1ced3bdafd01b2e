"""Expected releases of capacity by the runs on the targets of a pool."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from cornelturn.placement.index import FreeCapacity
from cornelturn.racks.room import Release
from cornelturn.racks.run_times import RackRunTimes
from cornelturn.scheduling.target_view import RunState, RunView, TargetView
from cornelturn.scheduling.views import JobView
from cornelturn.targets.model import TargetLife

MAX_RELEASES_AGE_MS = 250
"""Age up to which the expected releases of a target are used while its runs stay the
same. Progress in reports is half a second old anyway."""


class KnownReleases(NamedTuple):
    """Expected releases of a target, with the capacity for which they hold."""

    capacity: FreeCapacity
    at_ms: int
    releases: list[Release]


@dataclass(slots=True)
class ExpectedReleases:
    """Expects when runs end, and keeps that for a short time.

    Parameters
    ----------
    targets, jobs
        As in `PoolState`.
    known : dict
        Expected releases of each target, for this plan or a recent one.
    """

    targets: Mapping[TargetLife, TargetView]
    jobs: Mapping[str, JobView]
    run_times: RackRunTimes
    known: dict[TargetLife, KnownReleases] = field(default_factory=dict)

    def of_target(self, capacity: FreeCapacity, now_ms: int) -> list[Release]:
        """Return what the runs of a target release, in order of time."""
        known = self.known.get(capacity.life)
        # A start or end of a run puts a new object into the index, even an equal one.
        if (
            known is None
            or known.capacity is not capacity
            or now_ms - known.at_ms > MAX_RELEASES_AGE_MS
        ):
            if len(self.known) > len(self.targets):
                self.known.clear()
            releases = self._find(self.targets[capacity.life], now_ms)
            known = KnownReleases(capacity, now_ms, releases)
            self.known[capacity.life] = known
        return known.releases.copy()

    def _find(self, view: TargetView, now_ms: int) -> list[Release]:
        releases: list[Release] = []
        for run_view in view.runs.values():
            end_ms = self._expected_end_ms(run_view, view, now_ms)
            if end_ms is not None:
                releases.append(Release(end_ms, run_view.need))
        releases.sort(key=lambda release: release.at_ms)
        return releases

    def _expected_end_ms(
        self, run_view: RunView, view: TargetView, now_ms: int
    ) -> int | None:
        """Return when a run is expected to end, None if that is not known.

        The start of an adopted run counts from its adoption, so that it ends sooner.
        """
        if run_view.state is RunState.STOPPING:
            return now_ms
        job = self.jobs.get(run_view.run.task.job)
        if job is None or run_view.is_lasting:
            return None
        rest_ms = run_view.rated_rest_ms()
        if rest_ms is not None:
            return now_ms + round(rest_ms)
        step_id = run_view.run.task.step_id()
        run_ms = self.run_times.on_target_ms(job, step_id, view)
        if run_ms <= 0:
            return None
        elapsed_ms = now_ms - run_view.started_ms
        # One that is overdue is expected to take as long again as it is overdue.
        return now_ms + abs(run_ms - elapsed_ms)
