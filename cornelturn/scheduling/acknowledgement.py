"""Which ends of runs targets may forget, as the rows of their jobs have them."""

from __future__ import annotations

from dataclasses import dataclass

from cornelturn.peering.messages import OpenRuns
from cornelturn.scheduling.state import PoolState
from cornelturn.scheduling.target_view import PendingEnd, TargetView
from cornelturn.speed.pool_copies import PoolCopies
from cornelturn.targets.model import TargetLife


@dataclass(frozen=True, slots=True)
class AcknowledgedEnds:
    """The last end that a target may forget, by its sequence number."""

    life: TargetLife
    sequence: int


@dataclass(slots=True)
class EndAcknowledgement:
    """Acknowledges the ends that are written, and tells which targets have others.

    Parameters
    ----------
    copies : PoolCopies
        Decides which ends must not be acknowledged yet.
    """

    state: PoolState
    copies: PoolCopies

    def take_acknowledgements(self) -> list[AcknowledgedEnds]:
        """Return the last end that each target with unacknowledged ends may forget."""
        acknowledged: list[AcknowledgedEnds] = []
        for life in list(self.state.targets_with_ends):
            view = self.state.targets.get(life)
            if view is not None:
                acknowledged.append(AcknowledgedEnds(life, self.acknowledge(view)))
            if view is None or not view.pending_ends:
                self.state.targets_with_ends.discard(life)
        return acknowledged

    def acknowledge(self, view: TargetView) -> int:
        """Remove a target's written ends, and return the last that it may forget."""
        while view.pending_ends:
            end = view.pending_ends[0]
            if not self._is_written(end) or self.copies.holds_back(end.job):
                break
            view.acknowledged_sequence = end.sequence
            view.pending_ends.popleft()
        return view.acknowledged_sequence

    def open_runs(self) -> tuple[OpenRuns, ...]:
        """Return the jobs with runs or unwritten ends by target, for a successor."""
        open_runs: list[OpenRuns] = []
        for life, view in self.state.targets.items():
            jobs = {run.task.job for run in view.runs}
            jobs.update(
                end.job for end in view.pending_ends if not self._is_written(end)
            )
            open_runs.append(OpenRuns(life, tuple(sorted(jobs))))
        return tuple(open_runs)

    def may_hide_runs(self, view: TargetView) -> bool:
        """Return whether a target has runs, or ends that are not written yet."""
        if view.runs or view.is_partly_listed:
            return True
        return not all(map(self._is_written, view.pending_ends))

    def _is_written(self, end: PendingEnd) -> bool:
        job = self.state.jobs.get(end.job)
        if job is None:
            return not self.state.may_be_unread(end.job)
        if job.row_refusals > 1:
            # Not even the short form can be written; other jobs must not wait for it.
            return True
        return end.change is not None and job.written_changes >= end.change
