"""Targets that a pool keeps because work wants their racks."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from cornelturn.jobs.model import Run
from cornelturn.scheduling.target_view import TargetView
from cornelturn.scheduling.views import JobView
from cornelturn.targets.model import TargetLife


def kept_targets(
    jobs: Iterable[JobView],
    placed_runs: Mapping[str, Collection[tuple[Run, TargetLife]]],
    targets: Mapping[TargetLife, TargetView],
) -> set[TargetLife]:
    """Return the targets on the racks that jobs want.

    A step on one rack wants the rack of its runs; before its first start it may still
    run on any.

    Parameters
    ----------
    placed_runs : mapping
        As in `PoolState`.
    """
    racks: set[str] = set()
    for job in jobs:
        steps = job.spec.steps
        racks.update(step.near_rack for step in steps if step.near_rack)
        if any(step.is_one_rack for step in steps):
            racks.update(
                targets[life].listed.rack
                for run, life in placed_runs.get(job.spec.id, ())
                if steps[run.task.step].is_one_rack
            )
    if not racks:
        return set()
    return {
        life
        for life, view in targets.items()
        if not racks.isdisjoint(view.listed.labels) or view.listed.rack in racks
    }
